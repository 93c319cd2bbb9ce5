/*
 * place_finish.c - Plug-in: placement by earliest predicted finish.
 *
 * A server qualifies only when the request is predicted to meet its deadlines
 * there and to make no running request of its own or a higher tier late. A
 * request that probes an idle server may itself be late. A request for which
 * no server qualifies waits in the queue.
 */
#include <math.h>

#include "estimate.h"
#include "pool.h"

#define PROBE_IDLE_MS 5000 /* idle time after which a server is probed */
// A server gets no request while processing the prompts granted to it takes
// longer than this.
#define PREFILL_BACKLOG_MAX_MS 400
#define PREFILL_BACKLOG_TOP_MAX_MS 2000 /* the same for tier 0 */
// A busy server that has reported no progress for longer gets no requests.
#define STALL_TIMEOUT_MS 3000

/* ---- Types ------------------------------------------------------------ */

typedef struct prediction {
    double prefill_ms;      /* duration of the processing of its own prompt */
    double first_token_ms;  /* time of the first token, on the pool's clock */
    double finish_ms;       /* time of the last token, on the pool's clock */
    uint32_t cached_tokens; /* prompt tokens believed cached */
} prediction_t;

/* ---- Internal functions ----------------------------------------------- */

static bool
is_stalled(const ps_server_t *server, int64_t now_ms)
{
    return server->running.length > 0 &&
           now_ms - server->last_activity_ms > STALL_TIMEOUT_MS;
}

// Tells whether a running request still meets its deadline with one more
// request on its server. One that is predicted late even without it does not
// count.
static bool
stays_in_time(ps_pool_t *pool, const ps_server_t *server,
              const ps_job_t *running, double prefill_ms, int64_t now_ms)
{
    double remaining_tokens =
        PsEstimate_GetRemainingTokens(pool, running, now_ms);
    double n = server->running.length;
    double start = (double)now_ms;
    if (running->first_token_ms == 0) {
        start = MAX(start, server->prefill_end_ms);
    }
    double deadline = (double)running->request.deadline_ms;
    double before =
        start + remaining_tokens * PsSpeed_GetStepMs(&server->speed, n);
    double after = start + prefill_ms +
                   remaining_tokens * PsSpeed_GetStepMs(&server->speed, n + 1);
    return after <= deadline || before > deadline;
}

// Tells whether the request would make a running request of its own or a
// higher tier miss its deadline.
static bool
would_delay_others(ps_pool_t *pool, const ps_server_t *server,
                   const ps_job_t *job, double prefill_ms, int64_t now_ms)
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

// Predicts the times of a request on a server, for @tokens of output.
static prediction_t
predict(const ps_pool_t *pool, const ps_server_t *server, const ps_job_t *job,
        double tokens, int64_t now_ms)
{
    prediction_t prediction = {0};
    uint32_t cached = pool->options.use_prefix
                          ? PsPrefixCache_GetCachedBlocks(
                                &server->prefix_cache, &job->request)
                          : 0;
    prediction.cached_tokens =
        MIN(cached * PS_TOKENS_PER_BLOCK, job->request.prompt_tokens);
    prediction.prefill_ms = PsSpeed_GetPrefillMs(
        &server->speed, job->request.prompt_tokens - prediction.cached_tokens);
    double step_ms =
        PsSpeed_GetStepMs(&server->speed, server->running.length + 1.0);
    double start = MAX(server->prefill_end_ms, (double)now_ms);
    prediction.first_token_ms = start + prediction.prefill_ms + step_ms;
    prediction.finish_ms = prediction.first_token_ms + tokens * step_ms;
    return prediction;
}

// Limits the prompts that wait at a server: in the pool's queue they are
// ordered by tier, at the server they are not.
static bool
has_prefill_backlog(const ps_server_t *server, const ps_job_t *job,
                    int64_t now_ms)
{
    double backlog_ms = server->prefill_end_ms - (double)now_ms;
    return backlog_ms > (job->request.tier == 0 ? PREFILL_BACKLOG_TOP_MAX_MS
                                                : PREFILL_BACKLOG_MAX_MS);
}

// Tells whether a request probes a server that has been idle: it is placed
// even when predicted to be late, so that an estimate that has become too
// slow gets new samples. Tier 0 is not used for probes.
static bool
is_probe(const ps_server_t *server, const ps_job_t *job, int64_t now_ms)
{
    return server->running.length == 0 &&
           now_ms - server->idle_since_ms > PROBE_IDLE_MS &&
           job->request.tier > 0;
}

// Tells whether a prediction meets the deadlines of the request. Of the time
// left until the deadline, the fraction @margin is kept in reserve.
static bool
is_in_time(const ps_job_t *job, const prediction_t *prediction, double margin,
           int64_t now_ms)
{
    double deadline = (double)job->request.deadline_ms;
    double latest = deadline - margin * (deadline - (double)now_ms);
    double first_deadline = (double)job->request.first_token_ms;
    return prediction->finish_ms <= latest &&
           (first_deadline == 0 ||
            prediction->first_token_ms <= first_deadline);
}

// Chooses the server with the earliest predicted finish among those that
// qualify.
static ps_server_choice_t
pick_earliest(ps_pool_t *pool, const ps_job_t *job, double tokens,
              double margin, int64_t now_ms)
{
    ps_server_choice_t best = {-1, INFINITY, 0, "none"};
    for (int i = 0; i < pool->n_servers; i++) {
        const ps_server_t *server = &pool->servers[i];
        if (!PsPool_IsEligible(pool, i, job, now_ms) ||
            is_stalled(server, now_ms) ||
            has_prefill_backlog(server, job, now_ms)) {
            continue;
        }
        prediction_t prediction = predict(pool, server, job, tokens, now_ms);
        if (prediction.finish_ms >= best.finish_ms ||
            (!is_in_time(job, &prediction, margin, now_ms) &&
             !is_probe(server, job, now_ms)) ||
            would_delay_others(pool, server, job, prediction.prefill_ms,
                               now_ms)) {
            continue;
        }
        best = (ps_server_choice_t){
            i, prediction.finish_ms, prediction.cached_tokens,
            prediction.cached_tokens > 0 ? "earliest finish, prefix cached"
                                         : "earliest finish"};
    }
    return best;
}

// A plain service has no token times to predict from: the server with the
// fewest running requests is chosen. finish_ms holds that number here.
static ps_server_choice_t
pick_least_busy(const ps_pool_t *pool, const ps_job_t *job, int64_t now_ms)
{
    ps_server_choice_t best = {-1, INFINITY, 0, "none"};
    for (int i = 0; i < pool->n_servers; i++) {
        double n_running = pool->servers[i].running.length;
        if (PsPool_IsEligible(pool, i, job, now_ms) &&
            n_running < best.finish_ms) {
            best = (ps_server_choice_t){i, n_running, 0, "least busy"};
        }
    }
    return best;
}

// Tiers up to median_fallback_tier are also placed when only the median output
// length fits, without a margin: waiting for the forecast to fit would cost
// them time and block all lower tiers.
static ps_server_choice_t
pick_by_finish(ps_pool_t *pool, const ps_job_t *job, int64_t now_ms)
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

static ps_placement_t finish_placement = {"finish", pick_by_finish, NULL};

__attribute__((constructor)) static void
register_placement(void)
{
    PsPlacement_Register(&finish_placement);
}
