/*
 * workload.h - Requests drawn from a workload file, and what they cost.
 */
#ifndef BENCH_WORKLOAD_H
#define BENCH_WORKLOAD_H

#include <glib.h>

#include "pool.h"

#define BENCH_SERVERS_MAX 64
#define BENCH_TEAMS_MAX 16
#define BENCH_CLASSES_MAX 8

/**
 * struct bench_machine - Speeds of one server.
 */
typedef struct bench_machine {
    double base_ms;  /* step of an empty engine */
    double slope_ms; /* step added by one more request */
    double prefill;  /* prompt tokens a millisecond */
    int batch;       /* most requests at a time */
    int cache_blocks;
} bench_machine_t;

/**
 * struct bench_class - One kind of requests; lengths are lognormal.
 */
typedef struct bench_class {
    ps_name_t name;
    double share;
    int tier;
    bool is_service;
    double prompt_median;
    double prompt_sigma;
    double output_median;
    double output_sigma;
    int64_t deadline_ms;
    int prefixes;      /* distinct shared prompt prefixes */
    int prefix_tokens; /* length of each */
} bench_class_t;

/**
 * struct bench_workload - A workload file.
 */
typedef struct bench_workload {
    ps_name_t name;
    int64_t duration_ms;
    double burst_factor;
    double burst_s;
    double burst_every_s;
    ps_name_t teams[BENCH_TEAMS_MAX];
    double team_shares[BENCH_TEAMS_MAX];
    int n_teams;
    bench_machine_t engines[BENCH_SERVERS_MAX];
    int n_engines;
    bench_machine_t services[BENCH_SERVERS_MAX];
    int n_services;
    bench_class_t classes[BENCH_CLASSES_MAX];
    int n_classes;
} bench_workload_t;

/**
 * struct bench_request - One request and what became of it.
 */
typedef struct bench_request {
    int64_t arrive_ms;
    int class_index;
    int team;
    int entry; /* daemon that took it */
    int tier;
    uint32_t prompt; /* tokens */
    uint32_t output; /* tokens it will generate */
    int64_t deadline_ms;
    uint64_t hash;
    bool is_crasher;
    ps_grant_request_t ask;
    /* outcome */
    bool is_running;
    bool is_done;
    bool is_refused;
    bool is_cancelled;
    bool was_killed;  /* its server died */
    const char *code; /* of a refusal */
    int server;
    int64_t granted_ms;
    int64_t first_ms;
    int64_t end_ms;
    uint32_t made;      /* output tokens so far */
    uint32_t prefilled; /* prompt tokens processed */
} bench_request_t;

/**
 * BenchWorkload_Load() - Reads a workload file; ends the program on faults.
 */
void BenchWorkload_Load(bench_workload_t *workload, const char *path);

/**
 * BenchWorkload_GetCapacity() - Requests a second that the model servers can
 * finish with full batches, without bursts and without any cache.
 */
double BenchWorkload_GetCapacity(const bench_workload_t *workload);

/**
 * BenchWorkload_GetCost() - Mean share of one server second that a request
 * takes, in seconds of the pool as a whole.
 */
double BenchWorkload_GetCost(const bench_workload_t *workload, uint32_t prompt,
                             uint32_t output);

/**
 * BenchWorkload_Draw() - Draws all requests of a run.
 * @load: share of the capacity
 * @loud: factor on the first team's model requests of one tier
 * @loud_tier: that tier
 * @n: receives their number
 */
bench_request_t *BenchWorkload_Draw(const bench_workload_t *workload,
                                    double load, double loud, int loud_tier,
                                    uint32_t seed, int *n);

#endif
