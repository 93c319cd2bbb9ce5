/*
 * place_finish.c - Plug-in: placement by predicted finish.
 *
 * A server is chosen only when the request is predicted to end in time there
 * and no running request of its own or a higher tier is predicted to become
 * late by it.
 */
#include <math.h>

#include "estimate.h"
#include "pool.h"

#define PROBE_IDLE_MS 5000 /* an idle server gets a probe after this */
#define AHEAD_MS 400       /* prompt work a server may have in hand */
#define AHEAD_TOP_MS 2000  /* the same, for a request of tier 0 */
#define STALL_MS 3000      /* no sign of work: nothing new is placed */

/* ---- Types ------------------------------------------------------------ */

typedef struct prediction {
    double prefill_ms; /* of its own prompt */
    double first_ms;   /* first token, absolute */
    double finish_ms;  /* absolute */
    uint32_t saved_tokens;
} prediction_t;

/* ---- Internal functions ----------------------------------------------- */

static bool
is_stalled(const ps_server_t *server, int64_t now_ms)
{
    return server->running.length > 0 &&
           now_ms - server->last_activity_ms > STALL_MS;
}

// Tells whether a running request stays in time with one more beside it.
static bool
stays_in_time(ps_pool_t *pool, const ps_server_t *server,
              const ps_job_t *running, double prefill_ms, int64_t now_ms)
{
    double remaining = PsEstimate_GetRemainingTokens(pool, running, now_ms);
    double n = server->running.length;
    double start = (double)now_ms;
    if (running->first_token_ms == 0) {
        start = MAX(start, server->prefill_end_ms);
    }
    double deadline = (double)running->request.deadline_ms;
    double before = start + remaining * PsSpeed_GetStepMs(&server->speed, n);
    double after = start + prefill_ms +
                   remaining * PsSpeed_GetStepMs(&server->speed, n + 1);
    return after <= deadline || before > deadline;
}

static bool
harms_others(ps_pool_t *pool, const ps_server_t *server, const ps_job_t *job,
             double prefill_ms, int64_t now_ms)
{
    for (GList *l = server->running.head; l; l = l->next) {
        const ps_job_t *running = l->data;
        if (running->request.tier <= job->request.tier &&
            !stays_in_time(pool, server, running, prefill_ms, now_ms)) {
            return true;
        }
    }
    return false;
}

// Predicts what a placement of an answer of @tokens would bring.
static prediction_t
predict(const ps_pool_t *pool, const ps_server_t *server, const ps_job_t *job,
        double tokens, int64_t now_ms)
{
    prediction_t made = {0};
    uint32_t cached = pool->options.use_prefix
                          ? PsPrefixCache_GetCachedBlocks(
                                &server->prefix_cache, &job->request)
                          : 0;
    made.saved_tokens =
        MIN(cached * PS_TOKENS_PER_BLOCK, job->request.prompt_tokens);
    made.prefill_ms = PsSpeed_GetPrefillMs(
        &server->speed, job->request.prompt_tokens - made.saved_tokens);
    double step =
        PsSpeed_GetStepMs(&server->speed, server->running.length + 1.0);
    double start = MAX(server->prefill_end_ms, (double)now_ms);
    made.first_ms = start + made.prefill_ms + step;
    made.finish_ms = made.first_ms + tokens * step;
    return made;
}

// Prompts wait here, where tiers are known, and not in an engine.
static bool
has_prompts_in_hand(const ps_server_t *server, const ps_job_t *job,
                    int64_t now_ms)
{
    double ahead_ms = server->prefill_end_ms - (double)now_ms;
    return ahead_ms > (job->request.tier == 0 ? AHEAD_TOP_MS : AHEAD_MS);
}

// A server that has been idle for long gets a request of a lower tier, so
// that a slow past is found out of date.
static bool
is_probe(const ps_server_t *server, const ps_job_t *job, int64_t now_ms)
{
    return server->running.length == 0 &&
           now_ms - server->idle_since_ms > PROBE_IDLE_MS &&
           job->request.tier > 0;
}

static bool
is_in_time(const ps_job_t *job, const prediction_t *made, double margin,
           int64_t now_ms)
{
    double deadline = (double)job->request.deadline_ms;
    double latest = deadline - margin * (deadline - (double)now_ms);
    double first = (double)job->request.first_token_ms;
    return made->finish_ms <= latest &&
           (first == 0 || made->first_ms <= first);
}

// Chooses the server with the earliest finish among those that are in time.
static ps_server_choice_t
pick_earliest(ps_pool_t *pool, const ps_job_t *job, double tokens,
              double margin, int64_t now_ms)
{
    ps_server_choice_t best = {-1, INFINITY, 0, "none"};
    for (int i = 0; i < pool->n_servers; i++) {
        const ps_server_t *server = &pool->servers[i];
        if (!PsPool_IsEligible(pool, i, job, now_ms) ||
            is_stalled(server, now_ms) ||
            has_prompts_in_hand(server, job, now_ms)) {
            continue;
        }
        prediction_t made = predict(pool, server, job, tokens, now_ms);
        if (made.finish_ms >= best.finish_ms ||
            (!is_in_time(job, &made, margin, now_ms) &&
             !is_probe(server, job, now_ms)) ||
            harms_others(pool, server, job, made.prefill_ms, now_ms)) {
            continue;
        }
        best = (ps_server_choice_t){i, made.finish_ms, made.saved_tokens,
                                    made.saved_tokens > 0
                                        ? "earliest finish, prefix cached"
                                        : "earliest finish"};
    }
    return best;
}

// A plain service has no token times: the least busy server is chosen.
static ps_server_choice_t
pick_least_busy(const ps_pool_t *pool, const ps_job_t *job, int64_t now_ms)
{
    ps_server_choice_t best = {-1, INFINITY, 0, "none"};
    for (int i = 0; i < pool->n_servers; i++) {
        double busy = pool->servers[i].running.length;
        if (PsPool_IsEligible(pool, i, job, now_ms) && busy < best.finish_ms) {
            best = (ps_server_choice_t){i, busy, 0, "least busy"};
        }
    }
    return best;
}

// The top tier does not wait for a cautious forecast to fit: waiting would
// cost it time and hold all lower tiers back.
static ps_server_choice_t
pick_finish(ps_pool_t *pool, const ps_job_t *job, int64_t now_ms)
{
    if (!pool->is_model) {
        return pick_least_busy(pool, job, now_ms);
    }
    double margin = PsEstimate_GetDeadlineMargin(pool, &job->request);
    ps_server_choice_t choice =
        pick_earliest(pool, job, job->forecast_tokens, margin, now_ms);
    if (choice.server < 0 &&
        job->request.tier <= pool->options.median_fallback_tier) {
        choice = pick_earliest(pool, job, job->median_tokens, 0.0, now_ms);
    }
    return choice;
}

/* ---- Registration ----------------------------------------------------- */

static ps_placement_t finish_placement = {"finish", pick_finish, NULL};

__attribute__((constructor)) static void
register_placement(void)
{
    PsPlacement_Register(&finish_placement);
}
