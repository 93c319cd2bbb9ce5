/*
 * engine.h - Simulated backend server in virtual time.
 *
 * The server works in steps (continuous batching): each step processes a chunk
 * of prompts and generates a token for every request whose prompt is done. Its
 * prefix cache has a limited size. It simulates plain servers too; their
 * requests have one output token.
 */
#ifndef BENCH_ENGINE_H
#define BENCH_ENGINE_H

#include "prefix_cache.h"
#include "workload.h"

#define BENCH_CHUNK_TOKENS 512 /* prompt tokens processed in one step */

/**
 * struct bench_stream - A request that runs or waits at an engine.
 */
typedef struct bench_stream {
    bench_request_t *request;
    int64_t prompt_tokens_left;
    bool is_prefilling; /* its prompt is not done after this step */
} bench_stream_t;

/**
 * struct bench_engine - A simulated backend server.
 */
typedef struct bench_engine {
    bench_server_speed_t speed;
    double slowdown;       /* factor on all times */
    int64_t down_until_ms; /* crashed until then */
    GPtrArray *running;    /* bench_stream_t, at most speed.max_batch */
    GQueue waiting;        /* bench_stream_t */
    ps_prefix_cache_t cache;
    double step_end_ms;          /* 0: no step is running */
    uint64_t prompt_tokens_done; /* since the start */
    int reported_running;        /* as of the last report */
    int reported_waiting;
} bench_engine_t;

typedef void (*bench_request_callback_t)(void *user, bench_request_t *request);

void BenchEngine_Init(bench_engine_t *engine,
                      const bench_server_speed_t *speed);
void BenchEngine_Finish(bench_engine_t *engine);
/* Adds a request; it waits until the batch has room. */
void BenchEngine_Start(bench_engine_t *engine, bench_request_t *request);
/* Removes a request that runs or waits; has no effect on others. */
void BenchEngine_Cancel(bench_engine_t *engine, bench_request_t *request);

/**
 * BenchEngine_Run() - Runs the steps that end by now.
 * @on_ended: called with @user for each request that is complete
 *
 * Return: the request that crashes the engine, or NULL; call
 * BenchEngine_Crash() then.
 */
bench_request_t *BenchEngine_Run(bench_engine_t *engine, int64_t now_ms,
                                 bench_request_callback_t on_ended,
                                 void *user);

/**
 * BenchEngine_Crash() - Drops all requests and clears the prefix cache.
 * @until_ms: until when the engine stays down
 * @on_broken: called with @user for each request that ran or waited
 */
void BenchEngine_Crash(bench_engine_t *engine, int64_t until_ms,
                       bench_request_callback_t on_broken, void *user);

#endif
