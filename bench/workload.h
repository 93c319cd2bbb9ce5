/*
 * workload.h - Workload files, the requests drawn from them and their cost.
 */
#ifndef BENCH_WORKLOAD_H
#define BENCH_WORKLOAD_H

#include <glib.h>

#include "pool.h"

#define BENCH_SERVERS_MAX 64 /* of each kind, model and plain */
#define BENCH_TEAMS_MAX 16
#define BENCH_CLASSES_MAX 8

/**
 * struct bench_server_speed - Speed and size of one backend server.
 */
typedef struct bench_server_speed {
    double base_ms;        /* time of a step without requests */
    double ms_per_request; /* added to a step by each request */
    double prefill_tokens_per_ms;
    int max_batch;    /* requests that run at a time */
    int cache_blocks; /* blocks that the prefix cache holds */
} bench_server_speed_t;

/**
 * struct bench_class - A kind of request; token counts are lognormal.
 */
typedef struct bench_class {
    ps_name_t name;
    double share; /* of all requests */
    int tier;
    bool is_service;
    double prompt_median; /* tokens */
    double prompt_sigma;  /* of the logarithm of the tokens */
    double output_median; /* tokens */
    double output_sigma;  /* of the logarithm of the tokens */
    int64_t deadline_ms;  /* after the arrival */
    int n_prefixes;       /* distinct shared prompt prefixes */
    int prefix_tokens;    /* tokens of each */
} bench_class_t;

/**
 * struct bench_workload - Content of a workload file.
 */
typedef struct bench_workload {
    ps_name_t name;
    int64_t duration_ms;
    double burst_factor;  /* on the arrival rate in bursts */
    double burst_s;       /* length of a burst */
    double burst_every_s; /* period, which ends with the burst */
    ps_name_t teams[BENCH_TEAMS_MAX];
    double team_shares[BENCH_TEAMS_MAX]; /* of all requests, in any unit */
    int n_teams;
    bench_server_speed_t engines[BENCH_SERVERS_MAX];
    int n_engines;
    bench_server_speed_t services[BENCH_SERVERS_MAX];
    int n_services;
    bench_class_t classes[BENCH_CLASSES_MAX];
    int n_classes;
} bench_workload_t;

/**
 * struct bench_request - A request and its outcome.
 */
typedef struct bench_request {
    int64_t arrival_ms; /* virtual time, as the other times here */
    int class_index;    /* in the workload's classes */
    int team;           /* index in the workload's teams */
    int entry;          /* daemon that received it */
    int tier;
    uint32_t prompt_tokens;
    uint32_t output_tokens; /* that it will generate */
    int64_t deadline_ms;    /* for the whole answer */
    uint64_t content_hash;
    bool crashes_server; /* crashes the server that runs it */
    ps_grant_request_t grant_request;
    /* outcome */
    bool is_running;
    bool is_complete;
    bool is_refused;
    bool is_cancelled;
    bool is_broken;   /* its server crashed */
    const char *code; /* of a refusal */
    int server;       /* index among the servers of its kind */
    int64_t granted_ms;
    int64_t first_token_ms;      /* 0: none yet */
    int64_t end_ms;              /* answered, refused, cancelled or broken */
    uint32_t tokens_done;        /* output tokens so far */
    uint32_t prompt_tokens_done; /* prompt tokens processed so far */
} bench_request_t;

/**
 * BenchWorkload_Load() - Reads a workload file; exits with status 2 if it
 * cannot be read.
 */
void BenchWorkload_Load(bench_workload_t *workload, const char *path);

/**
 * BenchWorkload_GetCapacity() - Computes the arrival rate that keeps all model
 * servers busy: full batches, no bursts, empty prefix caches.
 *
 * Return: requests a second, plain-service requests included.
 */
double BenchWorkload_GetCapacity(const bench_workload_t *workload);

/**
 * BenchWorkload_GetCost() - Computes how long a model request keeps all model
 * servers busy together, in seconds.
 */
double BenchWorkload_GetCost(const bench_workload_t *workload,
                             uint32_t prompt_tokens, uint32_t output_tokens);

/**
 * BenchWorkload_DrawRequests() - Draws all requests of a run at random.
 * @load: arrival rate as a share of the capacity
 * @noisy_factor: factor on the first team's model requests of one tier
 * @noisy_tier: that tier
 * @n: set to the number of requests
 *
 * Return: the requests in order of arrival; freed with g_free().
 */
bench_request_t *BenchWorkload_DrawRequests(const bench_workload_t *workload,
                                            double load, double noisy_factor,
                                            int noisy_tier, uint32_t seed,
                                            int *n);

#endif
