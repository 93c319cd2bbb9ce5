/*
 * server.h - A backend server as its pool's owner sees it.
 *
 * Its running requests, its estimated speeds, the prompt blocks believed to be
 * in its cache, and whether it accepts connections.
 */
#ifndef PS_SERVER_H
#define PS_SERVER_H

#include "config.h"
#include "prefix_cache.h"
#include "queue.h"
#include "speed.h"

/**
 * struct ps_server - State of a backend server at its pool's owner.
 *
 * Times are milliseconds of the owner's monotonic clock.
 */
typedef struct ps_server {
    ps_server_config_t config;
    bool is_listed; /* in the current configuration */
    ps_speed_t speed;
    ps_prefix_cache_t prefix_cache;
    GQueue running;        /* jobs by server_link */
    int concurrency_limit; /* concurrent requests; learned from reports */
    double batch_integral; /* integral of @running's length over time, in ms */
    int64_t batch_integral_ms; /* time up to which @batch_integral counts */
    double prefill_end_ms;     /* when all granted prompts will be processed */
    double busy_batch;         /* moving average of the running requests while
                                  the pool has a queue */
    int64_t last_activity_ms;  /* last sign of work, or start after idling */
    int64_t idle_since_ms;     /* when its last request ended */
    int64_t down_until_ms;     /* not used until then */
    int64_t down_backoff_ms;   /* length of the last pause; 0: up */
    int reported_running;      /* in the last load report; -1: none yet */
    int reported_waiting;      /* in the last load report; 0 before any */
} ps_server_t;

void PsServer_Init(ps_server_t *server, int64_t now_ms);
void PsServer_Finish(ps_server_t *server);

/**
 * PsServer_UpdateBatchIntegral() - Advances the batch integral to now; to be
 * called before the number of running requests changes.
 */
void PsServer_UpdateBatchIntegral(ps_server_t *server, int64_t now_ms);

/**
 * PsServer_UpdatePrefillEnd() - Recomputes prefill_end_ms from the running
 * requests without a first token.
 */
void PsServer_UpdatePrefillEnd(ps_server_t *server, int64_t now_ms);

/**
 * PsServer_MarkDown() - Excludes a server that could not be reached or has
 * crashed from placement, for a pause that doubles with each failure.
 */
void PsServer_MarkDown(ps_server_t *server, int64_t now_ms);

/**
 * PsServer_MarkUp() - Records a sign of work or health, which ends the pause
 * of PsServer_MarkDown().
 */
void PsServer_MarkUp(ps_server_t *server, int64_t now_ms);

/**
 * PsServer_HandleLoadReport() - Adjusts the concurrency limit to a load
 * report.
 * @running: requests that run on the server
 * @waiting: requests that wait in its own queue
 *
 * A report may be out of date, so it is not used as the current load. Requests
 * that wait at the server lower the limit to the number that run; any other
 * report raises it by one while the limit is reached. A report of a server
 * with no granted request also marks it up.
 */
void PsServer_HandleLoadReport(ps_server_t *server, int running, int waiting,
                               int64_t now_ms);

/**
 * PsServer_GetPrefilledTokens() - Estimates how many prompt tokens of a
 * running request the server has processed; cached ones do not count.
 */
uint32_t PsServer_GetPrefilledTokens(const ps_server_t *server,
                                     const ps_job_t *job, int64_t now_ms);

/**
 * PsServer_FindVictim() - Finds the running request to preempt.
 * @tier: tier of the request that needs the capacity
 *
 * Only idempotent requests of lower tiers qualify that have not been preempted
 * and were not dispatched by an earlier owner. The lowest tier goes first,
 * then the least work lost, then the newest.
 *
 * Return: NULL when there is none.
 */
ps_job_t *PsServer_FindVictim(ps_server_t *server, int tier, int64_t now_ms);

#endif
