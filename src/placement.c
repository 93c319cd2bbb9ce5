/* placement.c - Cost of placing a task at a server, and the least costly one.
 */
#include "placement.h"

#include <math.h>
#include <stdlib.h>

// Longest time after a pause of this daemon for which it runs one request at a
// time at each brittle server until it is granted more. Even shares are used
// after it, as without an allocator.
#define GRANT_WAIT_MS 400

#define COLD_FACTOR 2.0 /* a server that has just started is slower */

// Cost of a server with all its slots in use. It spreads work over servers of
// equal speed.
#define LOAD_COST_MS 4.0

// The same for a plain server, for each of this daemon's requests there.
#define PLAIN_LOAD_COST_MS 40.0

#define OUTPUT_WEIGHT 0.25 /* of the time after the first event */

// Weight of this daemon's own estimate of a plain answer's time: its few
// samples say less than how many requests it has there.
#define OWN_PLAIN_WEIGHT 0.1

// A predicted first event that is late costs this many times its delay, in
// addition to the time itself.
#define LATENESS_WEIGHT 2.0

// Cost of an answer that ends after its caller's deadline. Any other place
// costs less.
#define DEADLINE_COST_MS 1e6

// Cost of a server in another failure domain, as a part of the predicted
// time: less than the difference between a fast and a slow server, more than
// that between two whose estimates differ by noise.
#define DOMAIN_SHARE 0.15

// Taken from the cost of a server of a roll-out's target, as far as requests
// may go there. More than any cost.
#define ROLLOUT_PREFERENCE_MS 1e9

/* ---- Free slots ------------------------------------------------------- */

static bool
has_version(const ps_task_t *task, const ps_backend_t *backend)
{
    return task->version == 0 || task->version == backend->version;
}

static bool
was_tried(const ps_task_t *task, const ps_backend_t *backend)
{
    for (int i = 0; i < task->n_tried; i++) {
        if (task->tried[i] == backend->instance_id) {
            return true;
        }
    }
    return false;
}

// Returns how many requests this daemon may run at a server. A brittle one
// gets no more than its slots from all daemons: without fresh grants, this
// daemon's share of them, or less if the allocator may have given that to
// others in a pause of this daemon.
static int
get_slot_limit(const ps_scheduler_t *scheduler, const ps_backend_t *backend,
               int64_t now_ms)
{
    bool has_grants =
        scheduler->has_granted_limits && now_ms < scheduler->granted_until_ms;
    if (!has_grants && PsScheduler_IsBrittle(scheduler, now_ms)) {
        bool is_awaited = scheduler->paused_until_ms > 0 &&
                          now_ms - scheduler->paused_until_ms < GRANT_WAIT_MS;
        int limit = MIN(backend->slot_limit, backend->even_share);
        return is_awaited ? MIN(limit, 1) : limit;
    }
    return backend->slot_limit;
}

bool
PsPlacement_HasFreeSlot(const ps_scheduler_t *scheduler,
                        const ps_backend_t *backend, int64_t now_ms)
{
    if (!backend->is_listed || backend->registration.is_leaving ||
        now_ms < backend->ejected_until_ms ||
        now_ms < backend->paused_until_ms) {
        return false;
    }
    if (!PsServerLimit_MayStart(&backend->limit, now_ms) ||
        PsServerRoom_IsFull(&backend->room, now_ms)) {
        return false;
    }
    int limit = get_slot_limit(scheduler, backend, now_ms);
    return PsBackend_CountOccupied(backend, now_ms) <
           (backend->is_on_trial ? MIN(limit, 1) : limit);
}

/* ---- Prediction ------------------------------------------------------- */

double
PsPlacement_GetPrefillTokens(const ps_backend_t *backend,
                             const ps_task_t *task, int64_t now_ms)
{
    double cached = 0;
    for (int i = 0; i < task->n_parts; i++) {
        if (!PsBackend_HasCachedPart(backend, task->part_hashes[i], now_ms)) {
            break;
        }
        cached += task->part_tokens[i];
    }
    return MAX(task->prompt_tokens - cached, 0.0);
}

static bool
is_fresh(int64_t told_ms, int64_t now_ms)
{
    return told_ms > 0 && now_ms - told_ms < PS_PACE_TTL_MS;
}

// Returns the learned pace of a server, or the median of its service for one
// that was not told lately; NULL: none was told lately.
static const ps_server_pace_t *
find_pace(const ps_scheduler_t *scheduler, const ps_backend_t *backend,
          int64_t now_ms)
{
    if (is_fresh(backend->pace_told_ms, now_ms)) {
        return &backend->pace;
    }
    return is_fresh(scheduler->median_told_ms, now_ms)
               ? &scheduler->median_pace
               : NULL;
}

// Predicts from this daemon's own samples. The speed model first_event_time
// takes thousands of prompt tokens to prefill in place of a batch size.
static void
predict_from_samples(const ps_backend_t *backend, const ps_task_t *task,
                     double ktokens, ps_placement_prediction_t *prediction)
{
    prediction->first_event_ms =
        PsSpeed_GetStepMs(&backend->first_event_time, ktokens);
    double token_ms =
        PsSpeed_GetStepMs(&backend->token_interval, backend->running + 1.0);
    prediction->output_ms = task->output_tokens * token_ms;
}

static void
predict_from_pace(const ps_scheduler_t *scheduler,
                  const ps_server_pace_t *pace, const ps_task_t *task,
                  double ktokens, ps_placement_prediction_t *prediction)
{
    double events =
        task->output_tokens / MAX(scheduler->tokens_per_event, 1.0);
    prediction->is_learned = true;
    prediction->first_event_ms =
        pace->first_base_ms + pace->first_slope_ms * ktokens;
    prediction->output_ms = MAX(events - 1.0, 0.0) * pace->event_ms;
}

/* ---- Public functions ------------------------------------------------- */

ps_placement_prediction_t
PsPlacement_Predict(const ps_scheduler_t *scheduler,
                    const ps_backend_t *backend, const ps_task_t *task,
                    int64_t now_ms)
{
    ps_placement_prediction_t prediction = {0};
    double ktokens = 0;
    if (task->is_generation) {
        ktokens = (PsPlacement_GetPrefillTokens(backend, task, now_ms) +
                   backend->pending_prefill_tokens) /
                  1000.0;
    }
    const ps_server_pace_t *pace = find_pace(scheduler, backend, now_ms);
    if (pace) {
        predict_from_pace(scheduler, pace, task, ktokens, &prediction);
    }
    else {
        predict_from_samples(backend, task, ktokens, &prediction);
    }
    bool has_own_pace = pace == &backend->pace;
    if (task->is_generation && !has_own_pace &&
        now_ms < backend->cold_until_ms) {
        prediction.first_event_ms *= COLD_FACTOR;
    }
    if (!task->is_generation) {
        prediction.output_ms = 0;
    }
    return prediction;
}

ps_placement_cost_t
PsPlacement_GetCost(const ps_scheduler_t *scheduler,
                    const ps_backend_t *backend, const ps_task_t *task,
                    int64_t now_ms)
{
    ps_placement_prediction_t prediction =
        PsPlacement_Predict(scheduler, backend, task, now_ms);
    ps_placement_cost_t cost = {.first_event_ms = prediction.first_event_ms,
                                .output_ms =
                                    prediction.output_ms * OUTPUT_WEIGHT,
                                .load_ms = LOAD_COST_MS * backend->running /
                                           MAX(backend->slot_limit, 1)};
    if (!task->is_generation) {
        cost.load_ms = PLAIN_LOAD_COST_MS * backend->running;
        cost.first_event_ms *= prediction.is_learned ? 1.0 : OWN_PLAIN_WEIGHT;
    }
    if (!prediction.is_learned) {
        return cost;
    }
    double first_ms = (double)now_ms + prediction.first_event_ms;
    double late_ms = first_ms - (double)task->objective_ms;
    cost.lateness_ms = MAX(late_ms, 0.0) * LATENESS_WEIGHT;
    if (task->deadline_ms > 0 &&
        first_ms + prediction.output_ms > (double)task->deadline_ms) {
        cost.deadline_ms = DEADLINE_COST_MS;
    }
    if (!PsName_IsEmpty(&scheduler->domain) &&
        !PsName_IsEqual(&scheduler->domain, &backend->registration.domain)) {
        cost.domain_ms = DOMAIN_SHARE * (cost.first_event_ms + cost.output_ms);
    }
    return cost;
}

static double
add_terms(const ps_placement_cost_t *cost)
{
    return cost->first_event_ms + cost->output_ms + cost->load_ms +
           cost->lateness_ms + cost->deadline_ms + cost->domain_ms;
}

// Returns what a roll-out needs to know of a task that may go to a server.
static ps_rollout_request_t
get_rollout_request(const ps_scheduler_t *scheduler, const ps_task_t *task,
                    const ps_backend_t *backend, int64_t now_ms)
{
    ps_rollout_request_t request = {task->route, scheduler->mean_run_ms};
    if (task->is_generation && PsRolloutUse_IsRunning(&scheduler->rollout)) {
        ps_placement_prediction_t prediction =
            PsPlacement_Predict(scheduler, backend, task, now_ms);
        request.run_ms = prediction.first_event_ms + prediction.output_ms;
    }
    return request;
}

ps_backend_t *
PsPlacement_FindBest(const ps_scheduler_t *scheduler, const ps_task_t *task,
                     int64_t now_ms)
{
    ps_backend_t *best = NULL;
    double lowest = INFINITY;
    for (guint i = 0; i < scheduler->backends->len; i++) {
        ps_backend_t *backend = scheduler->backends->pdata[i];
        if (!PsPlacement_HasFreeSlot(scheduler, backend, now_ms) ||
            was_tried(task, backend) || !has_version(task, backend)) {
            continue;
        }
        ps_rollout_request_t request =
            get_rollout_request(scheduler, task, backend, now_ms);
        if (!PsRolloutUse_MayPlace(&scheduler->rollout, &request,
                                   backend->version, now_ms)) {
            continue;
        }
        ps_placement_cost_t cost =
            PsPlacement_GetCost(scheduler, backend, task, now_ms);
        double sum = add_terms(&cost);
        if (PsRolloutUse_Prefers(&scheduler->rollout, backend->version)) {
            sum -= ROLLOUT_PREFERENCE_MS;
        }
        if (sum < lowest) {
            lowest = sum;
            best = backend;
        }
    }
    return best;
}

void
PsPlacement_SetPace(ps_backend_t *backend, const ps_server_pace_t *pace,
                    int64_t now_ms)
{
    backend->pace = *pace;
    backend->pace_told_ms = now_ms;
}

static int
compare_paces(const void *left, const void *right)
{
    const ps_server_pace_t *a = left;
    const ps_server_pace_t *b = right;
    double a_ms = a->first_base_ms + a->first_slope_ms + a->event_ms;
    double b_ms = b->first_base_ms + b->first_slope_ms + b->event_ms;
    return (a_ms > b_ms) - (a_ms < b_ms);
}

void
PsPlacement_UpdateMedian(ps_scheduler_t *scheduler, int64_t now_ms)
{
    guint n = 0;
    ps_server_pace_t *paces =
        g_new(ps_server_pace_t, scheduler->backends->len + 1);
    for (guint i = 0; i < scheduler->backends->len; i++) {
        const ps_backend_t *backend = scheduler->backends->pdata[i];
        if (is_fresh(backend->pace_told_ms, now_ms)) {
            paces[n++] = backend->pace;
        }
    }
    if (n > 0) {
        qsort(paces, n, sizeof *paces, compare_paces);
        scheduler->median_pace = paces[n / 2];
        scheduler->median_told_ms = now_ms;
    }
    g_free(paces);
}
