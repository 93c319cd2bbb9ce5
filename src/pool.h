/*
 * pool.h - Decisions of a pool's owner: queue, grants, refusals, preemption.
 *
 * Pure: no I/O, and time is an argument. The user of a pool hands in asks and
 * ends and receives grants and refusals through ps_pool_events_t. Times are
 * milliseconds of one monotonic clock.
 */
#ifndef PS_POOL_H
#define PS_POOL_H

#include "config.h"
#include "forecast.h"
#include "queue.h"
#include "request.h"
#include "server.h"
#include "suspects.h"

struct ps_pool;

/**
 * struct ps_pool_events - What a pool tells its user.
 * @grant: a request may be dispatched to its server
 * @refuse: a waiting request is given up; the job ends with the call
 * @cancel: a granted request has to be cancelled; its end is still expected
 */
typedef struct ps_pool_events {
    void (*grant)(struct ps_pool *pool, ps_job_t *job, const char *reason);
    void (*refuse)(struct ps_pool *pool, const ps_grant_request_t *ask,
                   const ps_refusal_t *refusal, const char *reason);
    void (*cancel)(struct ps_pool *pool, ps_job_t *job, const char *reason);
} ps_pool_events_t;

/**
 * struct ps_server_choice - A placement's result.
 */
typedef struct ps_server_choice {
    int server; /* -1: none now */
    double finish_ms;
    uint32_t cached_tokens;
    const char *reason;
} ps_server_choice_t;

/**
 * struct ps_placement - Plug-in: a way to choose a server.
 * @name: name in settings and measurements
 * @pick: chooses a server for a waiting request, or none for now
 */
typedef struct ps_placement {
    const char *name;
    ps_server_choice_t (*pick)(struct ps_pool *pool, const ps_job_t *job,
                               int64_t now_ms);
    struct ps_placement *next;
} ps_placement_t;

/**
 * struct ps_pool_options - Parts of the policy; the defaults are the product.
 */
typedef struct ps_pool_options {
    bool early_refusal;
    bool is_fair;
    bool can_preempt;
    bool use_forecast; /* false: one fixed length */
    bool use_prefix;
    double quantile_top;        /* forecast quantile for tier 0 */
    double quantile_low;        /* forecast quantile for the other tiers */
    double deadline_margin_top; /* share of the time left kept free, tier 0 */
    double deadline_margin_low; /* the same, for the other tiers */
    double wait_factor;         /* predicted waits count this many times */
    int median_fallback_tier;   /* tiers up to it do not wait for caution */
} ps_pool_options_t;

/**
 * struct ps_pool_stats - Counts since the start.
 */
typedef struct ps_pool_stats {
    uint64_t granted;
    uint64_t refused;
    uint64_t preempted;
    uint64_t cancelled_prefill_tokens; /* estimate; then discarded */
    uint64_t prefill_tokens;           /* granted */
    uint64_t cached_tokens;            /* granted and believed cached */
} ps_pool_stats_t;

/**
 * struct ps_pool - One pool at its owner.
 */
typedef struct ps_pool {
    const ps_pool_events_t *events;
    const ps_placement_t *placement;
    void *user;
    ps_pool_options_t options;
    ps_name_t name;
    bool is_model;
    int queue_limit;
    int slots;
    int reserved_slots;
    const ps_config_t *config; /* valid until the next PsPool_Configure() */
    ps_server_t servers[PS_POOL_SERVERS_MAX];
    int n_servers;
    GHashTable *jobs; /* ticket to ps_job_t */
    ps_queue_t queue;
    ps_forecast_t forecast;
    ps_suspects_t suspects;
    int n_suspects_running;
    int n_preempting; /* cancelled, their ends not reported yet */
    int granted_by_tier[PS_TIERS_MAX];
    uint64_t next_grant;
    int64_t next_check_ms; /* waiting requests are looked through then */
    uint32_t random_state; /* state for plug-ins that draw */
    ps_pool_stats_t stats;
} ps_pool_t;

/* Placements */
void PsPlacement_Register(ps_placement_t *placement);
const ps_placement_t *PsPlacement_Find(const char *name); /* or NULL */

/**
 * PsPool_Init() - Prepares a pool without servers.
 * @events: kept; valid as long as the pool
 * @name: pool's name
 */
void PsPool_Init(ps_pool_t *pool, const ps_pool_events_t *events,
                 const ps_name_t *name);
void PsPool_Finish(ps_pool_t *pool);

/**
 * PsPool_Configure() - Applies a configuration that has this pool.
 * @config: kept until the next call
 */
void PsPool_Configure(ps_pool_t *pool, const ps_config_t *config,
                      int64_t now_ms);

/**
 * PsPool_Submit() - Queues or refuses a request; PsPool_Run() places it.
 * @ask: copied; its ticket is not known to the pool
 */
void PsPool_Submit(ps_pool_t *pool, const ps_grant_request_t *ask,
                   int64_t now_ms);

/**
 * PsPool_AddRecovered() - Takes over a dispatch that runs at a server.
 * @server: backend server's name
 * @age_ms: since its dispatch
 *
 * Return: the job, or NULL when the server is not in the pool.
 */
ps_job_t *PsPool_AddRecovered(ps_pool_t *pool, const ps_grant_request_t *ask,
                              const ps_name_t *server, int64_t age_ms,
                              int64_t now_ms);

/**
 * PsPool_Reassign() - Hands a granted request to another entry's ticket.
 */
void PsPool_Reassign(ps_pool_t *pool, const ps_name_t *ticket,
                     const ps_name_t *new_ticket, const ps_name_t *new_entry);

/**
 * PsPool_Withdraw() - Takes back a request that waits; granted ones stay.
 *
 * Return: whether it was waiting.
 */
bool PsPool_Withdraw(ps_pool_t *pool, const ps_name_t *ticket);

/**
 * PsPool_AddProgress() - Learns how many tokens a stream has brought.
 */
void PsPool_AddProgress(ps_pool_t *pool, const ps_name_t *ticket,
                        uint32_t tokens, int64_t now_ms);

/**
 * PsPool_EndDispatch() - Ends a granted request.
 */
void PsPool_EndDispatch(ps_pool_t *pool, const ps_name_t *ticket,
                        const ps_dispatch_result_t *end, int64_t now_ms);

/**
 * PsPool_HandleLoadReport() - Takes in a server's load report; it may be old.
 */
void PsPool_HandleLoadReport(ps_pool_t *pool, const ps_name_t *server,
                             int running, int waiting, int64_t now_ms);

/**
 * PsPool_Run() - Gives up what cannot be served and places what can.
 */
void PsPool_Run(ps_pool_t *pool, int64_t now_ms);

/* Parts for placement plug-ins */
ps_job_t *PsPool_GetJob(const ps_pool_t *pool, const ps_name_t *ticket);
ps_server_t *PsPool_GetServer(ps_pool_t *pool, const ps_name_t *name);
bool PsPool_IsEligible(const ps_pool_t *pool, int server, const ps_job_t *job,
                       int64_t now_ms);

#endif
