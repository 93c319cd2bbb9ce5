/*
 * pool.h - Scheduling of one pool: queue, grants, refusals, preemption.
 *
 * Does no I/O and reads no clock. The pool's user submits grant requests,
 * reports the results of dispatches, and receives decisions through
 * ps_pool_events_t. Times are milliseconds of one monotonic clock.
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
 * struct ps_pool_events - Callbacks for a pool's decisions.
 * @grant: a request may be dispatched to its server
 * @refuse: a request is refused; its job is freed after the call
 * @cancel: a granted request is to be cancelled; PsPool_EndDispatch() is still
 *          expected for it
 *
 * The argument reason is a short explanation for logs and answers, valid
 * during the call.
 */
typedef struct ps_pool_events {
    void (*grant)(struct ps_pool *pool, ps_job_t *job, const char *reason);
    void (*refuse)(struct ps_pool *pool, const ps_grant_request_t *request,
                   const ps_refusal_t *refusal, const char *reason);
    void (*cancel)(struct ps_pool *pool, ps_job_t *job, const char *reason);
} ps_pool_events_t;

/**
 * struct ps_server_choice - Server that a placement has chosen.
 */
typedef struct ps_server_choice {
    int server;             /* index in the pool; -1: none for now */
    double finish_ms;       /* predicted; used by the placement alone */
    uint32_t cached_tokens; /* prompt tokens believed cached there */
    const char *reason;     /* why it was chosen; static text */
} ps_server_choice_t;

/**
 * struct ps_placement - Plug-in: a policy that chooses a server.
 * @name: unique name of the policy
 * @pick: chooses a server for a waiting request, or none for now
 * @next: set by PsPlacement_Register()
 */
typedef struct ps_placement {
    const char *name;
    ps_server_choice_t (*pick)(struct ps_pool *pool, const ps_job_t *job,
                               int64_t now_ms);
    struct ps_placement *next;
} ps_placement_t;

/**
 * struct ps_pool_options - Parts of the scheduling policy. The daemon uses the
 * defaults of PsPool_Init(); benchmarks change them.
 */
typedef struct ps_pool_options {
    bool early_refusal; /* refuse on arrival when the wait is too long */
    bool is_fair;       /* between teams; false: by arrival in a tier */
    bool can_preempt;
    bool use_forecast;          /* false: one fixed output length */
    bool use_prefix;            /* placement considers cached prompt blocks */
    double quantile_top;        /* forecast quantile of tier 0 */
    double quantile_low;        /* forecast quantile of the other tiers */
    double deadline_margin_top; /* part of the time left that is kept in
                                   reserve, 0 to 1; tier 0 */
    double deadline_margin_low; /* the same for the other tiers */
    double wait_factor; /* multiplies predicted waits for early refusals */
    int median_fallback_tier; /* tiers up to it may be placed by the median
                                 length; -1: none */
} ps_pool_options_t;

/**
 * struct ps_pool_stats - Counts since PsPool_Init().
 */
typedef struct ps_pool_stats {
    uint64_t granted;
    uint64_t refused;
    uint64_t preempted;
    uint64_t discarded_prefill_tokens; /* of dispatches without a complete
                                          answer; estimated */
    uint64_t prefill_tokens;           /* of grants; not believed cached */
    uint64_t cached_tokens;            /* of grants; believed cached */
} ps_pool_stats_t;

/**
 * struct ps_pool - One pool at its owner.
 */
typedef struct ps_pool {
    const ps_pool_events_t *events;
    const ps_placement_t *placement;
    void *user; /* for the callbacks */
    ps_pool_options_t options;
    ps_name_t name;
    bool is_model;      /* false: a plain service */
    int queue_limit;    /* most requests that wait */
    int slots;          /* most requests at a time on one server; 0: learned */
    int reserved_slots; /* slots of each server that only tier 0 may use */
    const ps_config_t *config; /* valid until the next PsPool_Configure() */
    ps_server_t servers[PS_POOL_SERVERS_MAX];
    int n_servers;
    GHashTable *jobs; /* ticket to ps_job_t */
    ps_queue_t queue;
    ps_forecast_t forecast;
    ps_suspects_t suspects;
    int n_suspects_running; /* suspects among the granted requests */
    uint64_t last_crash_id; /* of the crashes counted in @suspects */
    int n_preempting;       /* preempted, their ends not reported yet */
    int granted_by_tier[PS_TIERS_MAX];
    uint64_t last_grant_number; /* number of the last grant */
    int64_t next_check_ms; /* next check of the waiting requests' deadlines */
    uint32_t random_state; /* for placements that choose at random */
    ps_pool_stats_t stats;
} ps_pool_t;

/* Adds a plug-in to the placements that PsPlacement_Find() knows, by name. To
 * be called from a constructor function; @placement is kept, not copied. */
void PsPlacement_Register(ps_placement_t *placement);
const ps_placement_t *PsPlacement_Find(const char *name); /* or NULL */

/**
 * PsPool_Init() - Prepares a pool without servers.
 * @events: must stay valid as long as the pool
 */
void PsPool_Init(ps_pool_t *pool, const ps_pool_events_t *events,
                 const ps_name_t *name);
void PsPool_Finish(ps_pool_t *pool);

/**
 * PsPool_Configure() - Applies a configuration.
 * @config: contains this pool; must stay valid until the next call
 *
 * Servers that are no longer listed get no new work.
 */
void PsPool_Configure(ps_pool_t *pool, const ps_config_t *config,
                      int64_t now_ms);

/**
 * PsPool_Submit() - Queues or refuses a request; PsPool_Run() places it.
 * @request: copied; its ticket must be new to the pool
 *
 * May refuse waiting requests instead, of lower tiers or, when the queue is
 * full, also of the same tier.
 */
void PsPool_Submit(ps_pool_t *pool, const ps_grant_request_t *request,
                   int64_t now_ms);

/**
 * PsPool_AddRecovered() - Adds a request that an earlier owner has granted and
 * that runs at a server.
 * @server: backend server's name
 * @age_ms: time since its dispatch
 *
 * Return: the job; NULL when the server is not in the pool or the ticket is
 * known already.
 */
ps_job_t *PsPool_AddRecovered(ps_pool_t *pool,
                              const ps_grant_request_t *request,
                              const ps_name_t *server, int64_t age_ms,
                              int64_t now_ms);

/**
 * PsPool_Reassign() - Assigns a granted request to another entry, under the
 * ticket of that entry's request.
 *
 * Does nothing when @ticket is not granted or @new_ticket is known already.
 */
void PsPool_Reassign(ps_pool_t *pool, const ps_name_t *ticket,
                     const ps_name_t *new_ticket, const ps_name_t *new_entry);

/**
 * PsPool_Withdraw() - Removes a waiting request without an answer.
 *
 * Return: false when it is not waiting; a granted request is left alone.
 */
bool PsPool_Withdraw(ps_pool_t *pool, const ps_name_t *ticket);

/**
 * PsPool_AddProgress() - Records the progress of a running request.
 * @tokens: output tokens received since the dispatch
 */
void PsPool_AddProgress(ps_pool_t *pool, const ps_name_t *ticket,
                        uint32_t tokens, int64_t now_ms);

/**
 * PsPool_EndDispatch() - Handles the result of a granted request and removes
 * it; PS_OUTCOME_ORPHANED only marks it, since it still runs.
 */
void PsPool_EndDispatch(ps_pool_t *pool, const ps_name_t *ticket,
                        const ps_dispatch_result_t *result, int64_t now_ms);

/**
 * PsPool_HandleLoadReport() - Passes a load report to a server of the pool.
 *
 * See PsServer_HandleLoadReport().
 */
void PsPool_HandleLoadReport(ps_pool_t *pool, const ps_name_t *server,
                             int running, int waiting, int64_t now_ms);

/**
 * PsPool_Run() - Refuses waiting requests that cannot meet their deadlines and
 * places those that can be placed, by tier.
 *
 * A lower tier is placed only when nothing of a higher tier waits for a
 * server.
 */
void PsPool_Run(ps_pool_t *pool, int64_t now_ms);

/* Also for placement plug-ins; NULL when not found */
ps_job_t *PsPool_GetJob(const ps_pool_t *pool, const ps_name_t *ticket);
ps_server_t *PsPool_GetServer(ps_pool_t *pool, const ps_name_t *name);

/**
 * PsPool_IsEligible() - Tells whether a server may get a request now, by its
 * state, its concurrency limit and the rule that suspects run one at a time.
 * @server: index in the pool
 *
 * Requests below tier 0 leave the reserved slots free. After a failure a
 * server gets one request at a time until PsServer_MarkUp().
 */
bool PsPool_IsEligible(const ps_pool_t *pool, int server, const ps_job_t *job,
                       int64_t now_ms);

#endif
