/*
 * engine.h - A fake engine in virtual time: continuous batching with prompt
 * chunks between decode steps, and a prefix cache of limited size.
 */
#ifndef BENCH_ENGINE_H
#define BENCH_ENGINE_H

#include "prefix_cache.h"
#include "workload.h"

#define BENCH_CHUNK_TOKENS 512 /* prompt tokens processed in one step */

/**
 * struct bench_stream - One request at an engine.
 */
typedef struct bench_stream {
    bench_request_t *request;
    int64_t prompt_left;
    bool is_new; /* counted from the next step on */
} bench_stream_t;

/**
 * struct bench_engine - One engine.
 */
typedef struct bench_engine {
    bench_machine_t machine;
    double slow;           /* factor on all times */
    int64_t dead_until_ms; /* refuses connections until then */
    GPtrArray *running;    /* bench_stream_t, at most machine.batch */
    GQueue waiting;        /* bench_stream_t */
    ps_prefix_cache_t cache;
    double step_end_ms;   /* 0: idle */
    uint64_t processed;   /* prompt tokens */
    int reported_running; /* as of the last report */
    int reported_waiting;
} bench_engine_t;

typedef void (*bench_ended_t)(void *user, bench_request_t *request);

void BenchEngine_Init(bench_engine_t *engine, const bench_machine_t *machine);
void BenchEngine_Finish(bench_engine_t *engine);
void BenchEngine_Start(bench_engine_t *engine, bench_request_t *request);
void BenchEngine_Cancel(bench_engine_t *engine, bench_request_t *request);

/**
 * BenchEngine_Run() - Makes the steps that end by now.
 * @ended: called for each request that is complete
 *
 * Return: the request that crashes the engine, or NULL.
 */
bench_request_t *BenchEngine_Run(bench_engine_t *engine, int64_t now_ms,
                                 bench_ended_t ended, void *user);

/**
 * BenchEngine_Kill() - The engine dies with all that it runs.
 * @broken: called for each request
 */
void BenchEngine_Kill(bench_engine_t *engine, int64_t until_ms,
                      bench_ended_t broken, void *user);

#endif
