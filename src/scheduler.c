/* scheduler.c - Order of the queue, early refusal and choice of a server. */
#include "scheduler.h"

#include <math.h>
#include <string.h>

#include "even_shares.h"
#include "rollout_samples.h"

#define RATE_INITIAL                                                          \
    3.0               /* starts in PS_RANK_RATE_DECAY_MS, assumed at first */
#define RATE_MIN 0.05 /* the same, assumed at least */
#define RUN_TIME_DECAY 0.97       /* weight kept by older times at a server */
#define RUN_TIME_INITIAL_MS 1000  /* assumed at first */
#define FIRST_EVENT_DECAY 0.95    /* weight kept by older times */
#define FIRST_EVENT_INITIAL_MS 80 /* assumed at first */

// A task is refused if its first event is expected later than this after its
// objective.
#define LATENESS_MAX_MS 400.0

// The same for a new task, where the wait is known for all daemons: the
// inaccuracy of the estimate.
#define FLEET_LATENESS_MAX_MS 50.0

#define RETRY_AFTER_MIN_MS 400.0 /* shortest Retry-After */

// Longest Retry-After. Callers wait for at most a third of the time that they
// have left.
#define RETRY_AFTER_MAX_MS 4000.0

#define EJECTED_RATIO_MAX 0.34 /* of a service's servers, rounded up */
#define EJECT_OUTCOMES_MIN 3.0 /* outcomes before a failure rate counts */
#define EJECT_RATE_EXCESS 0.25 /* failure rate above the other servers' */

// A task is silent after this many times the usual wait for its next event,
// within the two bounds.
#define SILENT_FACTOR 5.0
#define SILENT_MIN_MS 500.0  /* prefill of another request takes less */
#define SILENT_MAX_MS 1100.0 /* callers disconnect after 2 s */

// Time for which the allocator's word that a service is brittle holds.
#define BRITTLE_TOLD_MS 1000

// A request that was given up at a brittle server, or whose connection was
// lost, is expected to run for this many times the usual time.
#define ABANDONED_RUN_FACTOR 2.0

// Longest time after a pause of this daemon for which it runs one request at a
// time at each brittle server until it is granted more. Even shares are used
// after it, as without an allocator.
#define GRANT_WAIT_MS 400

#define EVENT_TOKENS_MAX 10.0 /* most output tokens in one event */
#define COLD_FACTOR 2.0       /* a server that has just started is slower */

// Cost of a server with all its slots in use. It spreads work over servers of
// equal speed.
#define LOAD_COST_MS 4.0

// Taken from the cost of a server of a roll-out's target, as far as requests
// may go there. More than any cost.
#define ROLLOUT_PREFERENCE_MS 1e9

/* ---- Even shares ------------------------------------------------------ */

static gint
compare_names(gconstpointer left, gconstpointer right)
{
    const ps_backend_t *a = *(ps_backend_t *const *)left;
    const ps_backend_t *b = *(ps_backend_t *const *)right;
    return strcmp(a->registration.name.data, b->registration.name.data);
}

// Computes even shares, and uses them unless the allocator has granted slot
// limits. Leaving
// servers count until they are removed, so that daemons that do not know yet
// that a server is leaving compute the same shares. Plain servers, which queue
// requests themselves, get one request more than the share, and at least two.
static void
set_even_shares(ps_scheduler_t *scheduler)
{
    guint n = scheduler->backends->len;
    g_ptr_array_sort(scheduler->backends, compare_names);
    int *slots = g_new0(int, n + 1);
    int *shares = g_new0(int, n + 1);
    for (guint i = 0; i < n; i++) {
        ps_backend_t *backend = scheduler->backends->pdata[i];
        slots[i] = backend->registration.slots;
    }
    PsEvenShares_Divide(slots, (int)n, scheduler->n_daemons,
                        scheduler->daemon_index, shares);
    for (guint i = 0; i < n; i++) {
        ps_backend_t *backend = scheduler->backends->pdata[i];
        backend->even_share = shares[i];
        if (scheduler->has_granted_limits) {
            continue;
        }
        backend->slot_limit = shares[i];
        if (!scheduler->is_engine) {
            backend->slot_limit = MAX(backend->slot_limit + 1, 2);
        }
    }
    g_free(slots);
    g_free(shares);
}

/* ---- Health ----------------------------------------------------------- */

// Tells whether one more server may be ejected, by EJECTED_RATIO_MAX.
static bool
can_eject(const ps_scheduler_t *scheduler, int64_t now_ms)
{
    guint ejected = 0;
    for (guint i = 0; i < scheduler->backends->len; i++) {
        const ps_backend_t *backend = scheduler->backends->pdata[i];
        ejected += now_ms < backend->ejected_until_ms ? 1 : 0;
    }
    return ejected + 1 <=
           (guint)ceil(EJECTED_RATIO_MAX * scheduler->backends->len);
}

// Returns the failure rate over all servers of the service but one.
static double
get_others_failure_rate(const ps_scheduler_t *scheduler,
                        const ps_backend_t *except)
{
    double outcomes = 0;
    double failures = 0;
    for (guint i = 0; i < scheduler->backends->len; i++) {
        const ps_backend_t *backend = scheduler->backends->pdata[i];
        if (backend != except) {
            outcomes += backend->outcomes;
            failures += backend->failures;
        }
    }
    return outcomes > 0 ? failures / outcomes : 0.0;
}

// Counts how a request ended at a server. Ejects the server if it was
// unreachable, failed on trial or fails clearly more often than the others.
static void
record_result(ps_scheduler_t *scheduler, ps_backend_t *backend,
              ps_task_result_t result, int64_t now_ms)
{
    if (result == PS_TASK_CANCELLED || result == PS_TASK_PAUSED) {
        return;
    }
    if (result == PS_TASK_SUCCEEDED) {
        if (backend->is_on_trial) {
            PsBackend_Readmit(backend);
        }
        PsBackend_AddOutcome(backend, true);
        backend->unreported_outcomes.good++;
        return;
    }
    PsBackend_AddOutcome(backend, false);
    bool is_absent =
        result == PS_TASK_UNREACHABLE || result == PS_TASK_WRONG_SERVER;
    backend->unreported_outcomes.absent += is_absent ? 1 : 0;
    backend->unreported_outcomes.failed += result == PS_TASK_FAILED ? 1 : 0;
    bool must_eject = is_absent || backend->is_on_trial;
    if (!must_eject && backend->outcomes >= EJECT_OUTCOMES_MIN) {
        double excess = PsBackend_GetFailureRate(backend) -
                        get_others_failure_rate(scheduler, backend);
        must_eject = excess > EJECT_RATE_EXCESS;
    }
    if (must_eject && now_ms >= backend->ejected_until_ms &&
        can_eject(scheduler, now_ms)) {
        PsBackend_Eject(backend, now_ms);
    }
}

/* ---- Placement -------------------------------------------------------- */

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

static bool
has_free_slot(const ps_scheduler_t *scheduler, const ps_backend_t *backend,
              int64_t now_ms)
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

// Returns the prompt tokens beyond the longest prefix that the server has
// cached.
static double
get_prefill_tokens(const ps_backend_t *backend, const ps_task_t *task,
                   int64_t now_ms)
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

// Predicts the milliseconds until the first event of a task sent now. The
// speed model first_event_time takes thousands of prompt tokens to prefill in
// place of a batch size.
static double
predict_first_event(const ps_backend_t *backend, const ps_task_t *task,
                    double prefill_tokens, int64_t now_ms)
{
    (void)task;
    double tokens =
        (prefill_tokens + backend->pending_prefill_tokens) / 1000.0;
    double ms = PsSpeed_GetStepMs(&backend->first_event_time, tokens);
    return now_ms < backend->cold_until_ms ? ms * COLD_FACTOR : ms;
}

// Returns the cost of placing a task at a server, in predicted milliseconds.
// For a generation: the time to the first event, a quarter of the time of the
// output, and LOAD_COST_MS by load. For other tasks the running requests count
// most.
static double
predict_cost(const ps_backend_t *backend, const ps_task_t *task,
             int64_t now_ms)
{
    double load_ms =
        LOAD_COST_MS * backend->running / MAX(backend->slot_limit, 1);
    if (!task->is_generation) {
        return PsSpeed_GetStepMs(&backend->first_event_time, 0.0) * 0.1 +
               LOAD_COST_MS * 10.0 * backend->running;
    }
    double prefill_tokens = get_prefill_tokens(backend, task, now_ms);
    double token_ms =
        PsSpeed_GetStepMs(&backend->token_interval, backend->running + 1.0);
    return predict_first_event(backend, task, prefill_tokens, now_ms) +
           task->output_tokens * token_ms * 0.25 + load_ms;
}

// Returns what a roll-out needs to know of a task that may go to a server.
static ps_rollout_request_t
get_rollout_request(const ps_scheduler_t *scheduler, const ps_task_t *task,
                    const ps_backend_t *backend, int64_t now_ms)
{
    ps_rollout_request_t request = {task->route, scheduler->mean_run_ms};
    if (task->is_generation && PsRolloutUse_IsRunning(&scheduler->rollout)) {
        request.run_ms =
            predict_first_event(backend, task, task->prompt_tokens, now_ms) +
            task->output_tokens * PsSpeed_GetStepMs(&backend->token_interval,
                                                    backend->running + 1.0);
    }
    return request;
}

// Returns the server of least cost that has a free slot and was not tried yet;
// NULL: none.
static ps_backend_t *
find_best_backend(const ps_scheduler_t *scheduler, const ps_task_t *task,
                  int64_t now_ms)
{
    ps_backend_t *best = NULL;
    double lowest = INFINITY;
    for (guint i = 0; i < scheduler->backends->len; i++) {
        ps_backend_t *backend = scheduler->backends->pdata[i];
        if (!has_free_slot(scheduler, backend, now_ms) ||
            was_tried(task, backend) || !has_version(task, backend)) {
            continue;
        }
        ps_rollout_request_t request =
            get_rollout_request(scheduler, task, backend, now_ms);
        if (!PsRolloutUse_MayPlace(&scheduler->rollout, &request,
                                   backend->version, now_ms)) {
            continue;
        }
        double cost = predict_cost(backend, task, now_ms);
        if (PsRolloutUse_Prefers(&scheduler->rollout, backend->version)) {
            cost -= ROLLOUT_PREFERENCE_MS;
        }
        if (cost < lowest) {
            lowest = cost;
            best = backend;
        }
    }
    return best;
}

// Tells whether a task would miss its objective even if it were started now.
static bool
is_late(const ps_scheduler_t *scheduler, const ps_task_t *task, int64_t now_ms)
{
    return (double)now_ms + scheduler->mean_first_event_ms >
           (double)task->objective_ms;
}

// Returns a task's rank: by tier, and within a tier late tasks last.
static uint32_t
get_rank(const ps_scheduler_t *scheduler, const ps_task_t *task,
         int64_t now_ms)
{
    return (uint32_t)MAX(task->tier, 0) * 2 +
           (is_late(scheduler, task, now_ms) ? 1 : 0);
}

// Returns a rank's start rate, decayed to now; ranks that no longer fit in the
// table share its last entry.
static ps_rank_rate_t *
get_rank_rate(ps_scheduler_t *scheduler, uint32_t rank, int64_t now_ms)
{
    return PsRankRates_Get(&scheduler->rates, rank, RATE_INITIAL, now_ms);
}

// Takes a task from the queue, if it is there, and a slot at a server for it,
// and has it sent. Its prompt parts count as cached at the server from now on.
static void
start_task(ps_scheduler_t *scheduler, ps_task_t *task, ps_backend_t *backend,
           int64_t now_ms)
{
    if (task->is_waiting) {
        g_queue_unlink(&scheduler->waiting, &task->link);
        task->is_waiting = false;
    }
    uint32_t rank = get_rank(scheduler, task, now_ms);
    ps_rank_rate_t *rate = get_rank_rate(scheduler, rank, now_ms);
    rate->starts += 1.0;
    scheduler->unreported_starts[rate - scheduler->rates.rates]++;
    PsBackend_Ref(backend);
    task->backend = backend;
    task->started_ms = now_ms;
    task->last_event_ms = now_ms;
    task->first_event_ms = 0;
    task->n_events = 0;
    task->prefill_tokens = get_prefill_tokens(backend, task, now_ms);
    task->prefill_backlog_tokens =
        backend->pending_prefill_tokens + task->prefill_tokens;
    if (task->n_tried < PS_TASK_TRIED_MAX) {
        task->tried[task->n_tried++] = backend->instance_id;
    }
    for (int i = 0; i < task->n_parts; i++) {
        PsBackend_AddCachedPart(backend, task->part_hashes[i], now_ms);
    }
    backend->running++;
    PsServerLimit_CountStart(&backend->limit, now_ms);
    PsRolloutUse_AddStart(&scheduler->rollout, backend->version);
    backend->pending_prefill_tokens += task->prefill_tokens;
    scheduler->events->start(scheduler, task);
}

/* ---- Waiting and refusing --------------------------------------------- */

// Tells whether @left is to be served before @right.
static bool
comes_before(const ps_scheduler_t *scheduler, const ps_task_t *left,
             const ps_task_t *right, int64_t now_ms)
{
    if (left->tier != right->tier) {
        return left->tier < right->tier;
    }
    bool left_late = is_late(scheduler, left, now_ms);
    bool right_late = is_late(scheduler, right, now_ms);
    if (left_late != right_late) {
        return right_late;
    }
    return left->arrived_ms < right->arrived_ms;
}

// Estimates how many tasks this daemon can start per millisecond: those that
// end while all its slots are in use, or what a server's limit leaves it.
static double
get_start_rate(const ps_scheduler_t *scheduler)
{
    double run_ms = MAX(scheduler->mean_run_ms, 1.0);
    double rate = 0;
    int slots = 0;
    bool is_any_limited = false;
    for (guint i = 0; i < scheduler->backends->len; i++) {
        const ps_backend_t *backend = scheduler->backends->pdata[i];
        if (backend->registration.is_leaving) {
            continue;
        }
        if (PsServerLimit_IsLimited(&backend->limit)) {
            is_any_limited = true;
            rate += PsServerLimit_GetShare(&backend->limit) / 1000.0;
        }
        else {
            slots += backend->slot_limit;
        }
    }
    rate += slots / run_ms;
    return MAX(rate, is_any_limited ? RATE_MIN / PS_RANK_RATE_DECAY_MS
                                    : 0.5 / run_ms);
}

// Returns for how long all servers that take new work have asked for a pause.
static int64_t
get_pause_left(const ps_scheduler_t *scheduler, int64_t now_ms)
{
    int64_t left_ms = INT64_MAX;
    for (guint i = 0; i < scheduler->backends->len; i++) {
        const ps_backend_t *backend = scheduler->backends->pdata[i];
        if (!backend->registration.is_leaving) {
            left_ms = MIN(left_ms, MAX(backend->paused_until_ms - now_ms, 0));
        }
    }
    return left_ms == INT64_MAX ? 0 : left_ms;
}

// Returns a Retry-After in milliseconds: RETRY_AFTER_MIN_MS, or until a server
// ends its pause, plus twice the time that the queue takes to drain, varied at
// random by up to a quarter so that callers do not retry all at once.
static int64_t
get_retry_after(ps_scheduler_t *scheduler, int64_t now_ms)
{
    double wait = 2.0 * scheduler->waiting.length / get_start_rate(scheduler);
    wait += (double)get_pause_left(scheduler, now_ms);
    // Linear congruential generator; its upper 24 bits are used.
    scheduler->random_state = scheduler->random_state * 1664525U + 1013904223U;
    double spread = 0.75 + 0.5 * (scheduler->random_state >> 8) / 16777216.0;
    return (int64_t)CLAMP((RETRY_AFTER_MIN_MS + wait) * spread,
                          RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
}

static void
refuse_task(ps_scheduler_t *scheduler, ps_task_t *task, const char *reason,
            int64_t now_ms)
{
    if (task->is_waiting) {
        g_queue_unlink(&scheduler->waiting, &task->link);
        task->is_waiting = false;
    }
    scheduler->events->refuse(scheduler, task,
                              get_retry_after(scheduler, now_ms), reason);
}

// Refuses all waiting tasks of lower tiers than @tier. Called before a new
// task of that tier is refused, so that it is not refused while one of a lower
// tier waits.
static void
refuse_lower_tiers(ps_scheduler_t *scheduler, int tier, int64_t now_ms)
{
    GList *next;
    for (GList *l = scheduler->waiting.head; l; l = next) {
        next = l->next;
        ps_task_t *task = l->data;
        if (task->tier > tier) {
            refuse_task(scheduler, task, "gave way to a higher tier", now_ms);
        }
    }
}

// Tells whether a task's first event is expected more than LATENESS_MAX_MS
// after its objective or, if that is later, after the time at which it would
// come if the task were started now.
static bool
would_be_too_late(ps_scheduler_t *scheduler, const ps_task_t *task,
                  int64_t now_ms)
{
    uint32_t rank = get_rank(scheduler, task, now_ms);
    double wait = PsScheduler_EstimateWait(scheduler, rank, now_ms);
    double due = MAX((double)task->objective_ms,
                     (double)now_ms + scheduler->mean_first_event_ms);
    return (double)now_ms + wait + scheduler->mean_first_event_ms >
           due + LATENESS_MAX_MS;
}

// Tells whether a new task would be late for its objective, as all daemons'
// tasks of its rank are: what is on time goes first then, so that it would
// wait in vain.
static bool
would_be_late_in_fleet(ps_scheduler_t *scheduler, const ps_task_t *task,
                       int64_t now_ms)
{
    if (now_ms >= scheduler->fleet_waits_until_ms ||
        is_late(scheduler, task, now_ms)) {
        return false;
    }
    uint32_t rank = get_rank(scheduler, task, now_ms);
    double wait = PsScheduler_EstimateWait(scheduler, rank, now_ms);
    return (double)now_ms + wait + scheduler->mean_first_event_ms >
           (double)task->objective_ms + FLEET_LATENESS_MAX_MS;
}

// Refuses a new task if its first event would come too late; returns whether
// it did.
static bool
refuse_if_too_late(ps_scheduler_t *scheduler, ps_task_t *task, int64_t now_ms)
{
    if (!would_be_too_late(scheduler, task, now_ms) &&
        !would_be_late_in_fleet(scheduler, task, now_ms)) {
        return false;
    }
    refuse_lower_tiers(scheduler, task->tier, now_ms);
    refuse_task(scheduler, task, "would wait past its objective", now_ms);
    return true;
}

// Refuses tasks that have reached their wait deadline. A task that has become
// late is checked once, and refused if its first event would come too late.
static void
refuse_overdue(ps_scheduler_t *scheduler, int64_t now_ms)
{
    GList *next;
    for (GList *l = scheduler->waiting.head; l; l = next) {
        next = l->next;
        ps_task_t *task = l->data;
        if (now_ms >= task->wait_deadline_ms) {
            refuse_task(scheduler, task, "waited too long", now_ms);
        }
        else if (!task->was_found_late && is_late(scheduler, task, now_ms)) {
            task->was_found_late = true;
            if (would_be_too_late(scheduler, task, now_ms)) {
                refuse_task(scheduler, task, "too late for its objective",
                            now_ms);
            }
        }
    }
}

// Returns the first task in serving order that a server can take, and that
// server in @backend; NULL: none.
static ps_task_t *
find_next(const ps_scheduler_t *scheduler, ps_backend_t **backend,
          int64_t now_ms)
{
    ps_task_t *best = NULL;
    for (GList *l = scheduler->waiting.head; l; l = l->next) {
        ps_task_t *task = l->data;
        if (best && !comes_before(scheduler, task, best, now_ms)) {
            continue;
        }
        ps_backend_t *found = find_best_backend(scheduler, task, now_ms);
        if (found) {
            best = task;
            *backend = found;
        }
    }
    return best;
}

static bool
has_any_free_slot(const ps_scheduler_t *scheduler, int64_t now_ms)
{
    for (guint i = 0; i < scheduler->backends->len; i++) {
        if (has_free_slot(scheduler, scheduler->backends->pdata[i], now_ms)) {
            return true;
        }
    }
    return false;
}

/* ---- Public functions ------------------------------------------------- */

void
PsScheduler_Init(ps_scheduler_t *scheduler,
                 const ps_scheduler_events_t *events, void *user,
                 const ps_name_t *service, uint32_t seed)
{
    *scheduler =
        (ps_scheduler_t){.events = events,
                         .user = user,
                         .service = *service,
                         .n_daemons = 1,
                         .random_state = seed,
                         .mean_run_ms = RUN_TIME_INITIAL_MS,
                         .mean_first_event_ms = FIRST_EVENT_INITIAL_MS};
    scheduler->backends = g_ptr_array_new();
    g_queue_init(&scheduler->waiting);
}

void
PsScheduler_Finish(ps_scheduler_t *scheduler)
{
    g_ptr_array_unref(scheduler->backends);
    PsRolloutUse_Finish(&scheduler->rollout);
}

void
PsScheduler_SetDaemons(ps_scheduler_t *scheduler, int n_daemons,
                       int daemon_index)
{
    scheduler->n_daemons = MAX(n_daemons, 1);
    scheduler->daemon_index = daemon_index;
    set_even_shares(scheduler);
}

void
PsScheduler_SetTurns(ps_scheduler_t *scheduler, int n_turns, int64_t now_ms)
{
    scheduler->n_turns = n_turns;
    for (guint i = 0; i < scheduler->backends->len; i++) {
        ps_backend_t *backend = scheduler->backends->pdata[i];
        PsServerLimit_SetDaemons(&backend->limit, n_turns,
                                 scheduler->daemon_index, now_ms);
    }
}

void
PsScheduler_AddBackend(ps_scheduler_t *scheduler, ps_backend_t *backend)
{
    if (!g_ptr_array_find(scheduler->backends, backend, NULL)) {
        g_ptr_array_add(scheduler->backends, backend);
        PsServerLimit_SetDaemons(&backend->limit, scheduler->n_turns,
                                 scheduler->daemon_index, 0);
    }
    PsScheduler_UpdateBrittle(scheduler);
    set_even_shares(scheduler);
}

void
PsScheduler_RemoveBackend(ps_scheduler_t *scheduler, ps_backend_t *backend)
{
    g_ptr_array_remove(scheduler->backends, backend);
    PsScheduler_UpdateBrittle(scheduler);
    set_even_shares(scheduler);
}

void
PsScheduler_UseEvenShares(ps_scheduler_t *scheduler)
{
    scheduler->has_granted_limits = false;
    set_even_shares(scheduler);
}

int
PsScheduler_CountWaiting(const ps_scheduler_t *scheduler,
                         ps_waiting_count_t *counts, int max, int64_t now_ms)
{
    int n = 0;
    for (const GList *l = scheduler->waiting.head; l; l = l->next) {
        const ps_task_t *task = l->data;
        uint32_t rank = get_rank(scheduler, task, now_ms);
        n = PsWaitingCounts_Add(counts, n, max, rank, 1);
    }
    return n;
}

int
PsScheduler_TakeStarts(ps_scheduler_t *scheduler, ps_waiting_count_t *counts)
{
    int n = 0;
    for (int i = 0; i < scheduler->rates.n; i++) {
        if (scheduler->unreported_starts[i] > 0) {
            counts[n++] =
                (ps_waiting_count_t){scheduler->rates.rates[i].rank,
                                     (int)scheduler->unreported_starts[i]};
            scheduler->unreported_starts[i] = 0;
        }
    }
    return n;
}

void
PsScheduler_SetFleetWaits(ps_scheduler_t *scheduler,
                          const ps_rank_wait_t *waits, int n, int64_t until_ms)
{
    scheduler->n_fleet_waits = MIN(n, PS_RANKS_MAX);
    memcpy(scheduler->fleet_waits, waits,
           (size_t)scheduler->n_fleet_waits * sizeof *waits);
    scheduler->fleet_waits_until_ms = until_ms;
}

double
PsScheduler_EstimateWait(ps_scheduler_t *scheduler, uint32_t rank,
                         int64_t now_ms)
{
    if (now_ms < scheduler->fleet_waits_until_ms) {
        for (int i = 0; i < scheduler->n_fleet_waits; i++) {
            if (scheduler->fleet_waits[i].rank == rank) {
                return scheduler->fleet_waits[i].ms;
            }
        }
        return 0;
    }
    int ahead = 0;
    for (const GList *l = scheduler->waiting.head; l; l = l->next) {
        ahead += get_rank(scheduler, l->data, now_ms) == rank ? 1 : 0;
    }
    if (ahead == 0) {
        return 0;
    }
    ps_rank_rate_t *rate = get_rank_rate(scheduler, rank, now_ms);
    return ahead * PS_RANK_RATE_DECAY_MS / MAX(rate->starts, RATE_MIN);
}

bool
PsScheduler_HasVersion(const ps_scheduler_t *scheduler, uint64_t version)
{
    for (guint i = 0; i < scheduler->backends->len; i++) {
        const ps_backend_t *backend = scheduler->backends->pdata[i];
        if (backend->version == version && !backend->registration.is_leaving) {
            return true;
        }
    }
    return false;
}

void
PsScheduler_Submit(ps_scheduler_t *scheduler, ps_task_t *task, int64_t now_ms)
{
    task->link = (GList){.data = task};
    if (task->n_tried == 0) {
        PsRolloutUse_AddArrival(&scheduler->rollout);
    }
    if (scheduler->waiting.length == 0) {
        ps_backend_t *backend = find_best_backend(scheduler, task, now_ms);
        if (backend) {
            start_task(scheduler, task, backend, now_ms);
            return;
        }
    }
    if (scheduler->backends->len == 0) {
        refuse_task(scheduler, task, "no backend server is known", now_ms);
        return;
    }
    if (now_ms + get_pause_left(scheduler, now_ms) > task->wait_deadline_ms) {
        refuse_task(scheduler, task, "all servers have asked for a pause",
                    now_ms);
        return;
    }
    if (!refuse_if_too_late(scheduler, task, now_ms)) {
        task->is_waiting = true;
        g_queue_push_tail_link(&scheduler->waiting, &task->link);
        PsScheduler_Run(scheduler, now_ms);
    }
}

void
PsScheduler_Withdraw(ps_scheduler_t *scheduler, ps_task_t *task)
{
    if (task->is_waiting) {
        g_queue_unlink(&scheduler->waiting, &task->link);
        task->is_waiting = false;
    }
}

void
PsScheduler_HandleEvent(ps_scheduler_t *scheduler, ps_task_t *task,
                        double tokens, int64_t now_ms)
{
    ps_backend_t *backend = task->backend;
    if (task->first_event_ms == 0) {
        double ms = (double)(now_ms - task->started_ms);
        task->first_event_ms = now_ms;
        PsRolloutSamples_AddFirstEvent(scheduler, task, ms);
        backend->unreported_outcomes.good++;
        backend->pending_prefill_tokens =
            MAX(backend->pending_prefill_tokens - task->prefill_tokens, 0.0);
        PsSpeed_AddStep(&backend->first_event_time,
                        MAX(task->prefill_backlog_tokens, 1.0) / 1000.0, ms,
                        1.0);
        if (task->is_generation) {
            scheduler->mean_first_event_ms =
                scheduler->mean_first_event_ms * FIRST_EVENT_DECAY +
                ms * (1.0 - FIRST_EVENT_DECAY);
        }
    }
    else if (tokens > 0) {
        double step = (double)(now_ms - task->last_event_ms) / tokens;
        PsSpeed_AddStep(&backend->token_interval, backend->running, step, 0.2);
    }
    task->last_event_ms = now_ms;
    PsRolloutSamples_AddEvent(scheduler, task, now_ms);
}

void
PsScheduler_UpdateBrittle(ps_scheduler_t *scheduler)
{
    scheduler->has_brittle_server = false;
    for (guint i = 0; i < scheduler->backends->len; i++) {
        const ps_backend_t *backend = scheduler->backends->pdata[i];
        scheduler->has_brittle_server |= backend->is_brittle;
    }
}

bool
PsScheduler_IsBrittle(const ps_scheduler_t *scheduler, int64_t now_ms)
{
    bool is_told = scheduler->brittle_told_ms > 0 &&
                   now_ms - scheduler->brittle_told_ms < BRITTLE_TOLD_MS;
    return scheduler->has_brittle_server || is_told;
}

void
PsScheduler_RestartTask(ps_task_t *task, int64_t now_ms)
{
    task->started_ms = now_ms;
    task->last_event_ms = now_ms;
}

bool
PsScheduler_IsSilent(const ps_scheduler_t *scheduler, const ps_task_t *task,
                     int64_t now_ms)
{
    const ps_backend_t *backend = task->backend;
    double usual;
    if (!task->is_generation) {
        usual = scheduler->mean_run_ms;
    }
    else if (task->first_event_ms == 0) {
        usual = MAX(scheduler->mean_first_event_ms,
                    PsSpeed_GetStepMs(&backend->first_event_time,
                                      task->prefill_backlog_tokens / 1000.0));
    }
    else {
        usual = PsSpeed_GetStepMs(&backend->token_interval, backend->running) *
                EVENT_TOKENS_MAX;
    }
    double silence_max =
        CLAMP(usual * SILENT_FACTOR, SILENT_MIN_MS, SILENT_MAX_MS);
    int64_t since_ms = MAX(task->last_event_ms, scheduler->paused_until_ms);
    return (double)(now_ms - since_ms) > silence_max;
}

bool
PsScheduler_CanMoveTask(const ps_scheduler_t *scheduler, const ps_task_t *task,
                        int64_t now_ms)
{
    return find_best_backend(scheduler, task, now_ms) != NULL;
}

// Notes what the end of a task shows of the room at a brittle server.
static void
note_room(const ps_scheduler_t *scheduler, const ps_task_t *task,
          ps_task_result_t result, int64_t now_ms)
{
    ps_server_room_t *room = &task->backend->room;
    if (result == PS_TASK_REJECTED || result == PS_TASK_PAUSED) {
        PsServerRoom_HandleRejection(room, now_ms);
    }
    else if (result == PS_TASK_FAILED || result == PS_TASK_CANCELLED) {
        double run_ms = scheduler->mean_run_ms * ABANDONED_RUN_FACTOR;
        PsServerRoom_AddAbandoned(room, task->started_ms + (int64_t)run_ms);
    }
}

// Ends a task at its server without starting waiting tasks in its slot.
static void
end_at_backend(ps_scheduler_t *scheduler, ps_task_t *task,
               ps_task_result_t result, int64_t now_ms)
{
    ps_backend_t *backend = task->backend;
    PsRolloutSamples_AddEnd(scheduler, task, result, now_ms);
    if (task->first_event_ms == 0) {
        backend->pending_prefill_tokens =
            MAX(backend->pending_prefill_tokens - task->prefill_tokens, 0.0);
        if (result == PS_TASK_SUCCEEDED && !task->is_generation) {
            PsSpeed_AddStep(&backend->first_event_time, 1.0,
                            (double)(now_ms - task->started_ms), 1.0);
        }
    }
    if (result == PS_TASK_SUCCEEDED || result == PS_TASK_FAILED ||
        result == PS_TASK_CANCELLED) {
        double run_ms = (double)(now_ms - task->started_ms);
        scheduler->mean_run_ms = scheduler->mean_run_ms * RUN_TIME_DECAY +
                                 run_ms * (1.0 - RUN_TIME_DECAY);
    }
    if (PsScheduler_IsBrittle(scheduler, now_ms)) {
        note_room(scheduler, task, result, now_ms);
    }
    backend->running--;
    task->backend = NULL;
    record_result(scheduler, backend, result, now_ms);
    PsBackend_Unref(backend);
}

void
PsScheduler_MoveTask(ps_scheduler_t *scheduler, ps_task_t *task,
                     int64_t now_ms)
{
    ps_backend_t *backend = find_best_backend(scheduler, task, now_ms);
    g_assert(backend);
    end_at_backend(scheduler, task, PS_TASK_FAILED, now_ms);
    start_task(scheduler, task, backend, now_ms);
}

void
PsScheduler_EndTask(ps_scheduler_t *scheduler, ps_task_t *task,
                    ps_task_result_t result, int64_t now_ms)
{
    if (task->backend) {
        end_at_backend(scheduler, task, result, now_ms);
        PsScheduler_Run(scheduler, now_ms);
    }
}

void
PsScheduler_Run(ps_scheduler_t *scheduler, int64_t now_ms)
{
    if (scheduler->is_running || scheduler->waiting.length == 0) {
        return;
    }
    scheduler->is_running = true;
    refuse_overdue(scheduler, now_ms);
    while (scheduler->waiting.length > 0 &&
           has_any_free_slot(scheduler, now_ms)) {
        ps_backend_t *backend = NULL;
        ps_task_t *task = find_next(scheduler, &backend, now_ms);
        if (!task) {
            break;
        }
        start_task(scheduler, task, backend, now_ms);
    }
    scheduler->is_running = false;
}
