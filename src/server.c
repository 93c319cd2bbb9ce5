/* server.c - State of one backend server at its pool's owner. */
#include "server.h"

#include <math.h>

#define INITIAL_BUSY_BATCH 8.0 /* concurrent requests assumed at first */
#define INITIAL_LIMIT 64       /* concurrent requests before any report */
#define LIMIT_MAX 512          /* concurrent requests */
#define DOWN_MIN_MS 500        /* pause after the first failure */
#define DOWN_MAX_MS 10000      /* longest pause */

/* ---- Public functions ------------------------------------------------- */

void
PsServer_UpdateBatchIntegral(ps_server_t *server, int64_t now_ms)
{
    int64_t elapsed_ms = now_ms - server->batch_integral_ms;
    server->batch_integral += (double)elapsed_ms * server->running.length;
    server->batch_integral_ms = now_ms;
}

void
PsServer_Init(ps_server_t *server, int64_t now_ms)
{
    *server = (ps_server_t){0};
    PsSpeed_Init(&server->speed);
    PsPrefixCache_Init(&server->prefix_cache, PS_PREFIX_CACHE_BLOCKS_DEFAULT);
    g_queue_init(&server->running);
    server->concurrency_limit = INITIAL_LIMIT;
    server->batch_integral_ms = now_ms;
    server->idle_since_ms = now_ms;
    server->last_activity_ms = now_ms;
    server->busy_batch = INITIAL_BUSY_BATCH;
    server->reported_running = -1;
}

void
PsServer_UpdatePrefillEnd(ps_server_t *server, int64_t now_ms)
{
    double tokens = 0;
    for (GList *l = server->running.head; l; l = l->next) {
        const ps_job_t *job = l->data;
        tokens += job->first_token_ms == 0 ? job->prefill_tokens : 0;
    }
    server->prefill_end_ms =
        (double)now_ms + PsSpeed_GetPrefillMs(&server->speed, tokens);
}

void
PsServer_MarkDown(ps_server_t *server, int64_t now_ms)
{
    int64_t backoff_ms = server->down_backoff_ms * 2;
    server->down_backoff_ms = CLAMP(backoff_ms, DOWN_MIN_MS, DOWN_MAX_MS);
    server->down_until_ms = now_ms + server->down_backoff_ms;
}

void
PsServer_MarkUp(ps_server_t *server, int64_t now_ms)
{
    server->last_activity_ms = now_ms;
    server->down_backoff_ms = 0;
    server->down_until_ms = 0;
}

void
PsServer_Finish(ps_server_t *server)
{
    PsPrefixCache_Finish(&server->prefix_cache);
}

void
PsServer_HandleLoadReport(ps_server_t *server, int running, int waiting,
                          int64_t now_ms)
{
    server->reported_running = running;
    server->reported_waiting = waiting;
    if (waiting > 0 && running > 0) {
        server->concurrency_limit = MIN(server->concurrency_limit, running);
    }
    else if ((int)server->running.length >= server->concurrency_limit) {
        server->concurrency_limit =
            MIN(server->concurrency_limit + 1, LIMIT_MAX);
    }
    if (server->running.length == 0) {
        PsServer_MarkUp(server, now_ms);
    }
}

uint32_t
PsServer_GetPrefilledTokens(const ps_server_t *server, const ps_job_t *job,
                            int64_t now_ms)
{
    if (job->first_token_ms > 0) {
        return job->prefill_tokens;
    }
    double done =
        (double)(now_ms - job->granted_ms) * server->speed.prefill_rate -
        job->ahead_tokens;
    return (uint32_t)CLAMP(done, 0.0, (double)job->prefill_tokens);
}

ps_job_t *
PsServer_FindVictim(ps_server_t *server, int tier, int64_t now_ms)
{
    ps_job_t *victim = NULL;
    double min_waste = INFINITY;
    for (GList *l = server->running.head; l; l = l->next) {
        ps_job_t *job = l->data;
        if (job->request.tier <= tier || !job->request.idempotent ||
            job->is_preempted || job->is_recovered) {
            continue;
        }
        // The tier's factor exceeds the tokens of usual requests, so that the
        // lowest tier goes first. Of equal waste, the newest goes first.
        double waste = PsServer_GetPrefilledTokens(server, job, now_ms) +
                       job->output_tokens - 1e6 * job->request.tier;
        if (waste <= min_waste) {
            min_waste = waste;
            victim = job;
        }
    }
    return victim;
}
