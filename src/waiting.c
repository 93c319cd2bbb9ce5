/* waiting.c - Order of the queue, estimated waits and early refusal. */
#include "waiting.h"

#define RATE_INITIAL                                                          \
    3.0               /* starts in PS_RANK_RATE_DECAY_MS, assumed at first */
#define RATE_MIN 0.05 /* the same, assumed at least */

// A task whose caller first asked longer ago than this is one that returns.
#define RETURN_MIN_MS 50

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

/* ---- Internal functions ----------------------------------------------- */

// Returns a task's rank: by tier, and within a tier late tasks last.
static uint32_t
get_rank(const ps_scheduler_t *scheduler, const ps_task_t *task,
         int64_t now_ms)
{
    return (uint32_t)MAX(task->tier, 0) * 2 +
           (PsWaiting_IsLate(scheduler, task, now_ms) ? 1 : 0);
}

// Returns a rank's start rate, decayed to now; ranks that no longer fit in the
// table share its last entry.
static ps_rank_rate_t *
get_rank_rate(ps_scheduler_t *scheduler, uint32_t rank, int64_t now_ms)
{
    return PsRankRates_Get(&scheduler->rates, rank, RATE_INITIAL, now_ms);
}

// Returns the time by which tasks of one rank and team are ordered.
static int64_t
get_order_ms(const ps_task_t *task)
{
    return task->first_asked_ms > 0 ? task->first_asked_ms : task->arrived_ms;
}

// Returns the lowest own counter of the teams with waiting tasks; negative:
// none waits.
static double
get_lowest_counter(const ps_scheduler_t *scheduler)
{
    double lowest = -1;
    for (const GList *l = scheduler->waiting.head; l; l = l->next) {
        const ps_task_t *task = l->data;
        double counter =
            PsTeamShares_GetCounter(&scheduler->team_order.own, task->team);
        lowest = lowest < 0 ? counter : MIN(lowest, counter);
    }
    return lowest;
}

// Returns how long tasks of a rank wait over all daemons, as told.
static double
get_fleet_wait(const ps_scheduler_t *scheduler, uint32_t rank)
{
    for (int i = 0; i < scheduler->n_fleet_waits; i++) {
        if (scheduler->fleet_waits[i].rank == rank) {
            return scheduler->fleet_waits[i].ms;
        }
    }
    return 0;
}

// Estimates how long a task waits behind others of its rank at this daemon.
static double
estimate_behind(ps_scheduler_t *scheduler, uint32_t rank, int ahead,
                int64_t now_ms)
{
    if (ahead == 0) {
        return 0;
    }
    ps_rank_rate_t *rate = get_rank_rate(scheduler, rank, now_ms);
    return ahead * PS_RANK_RATE_DECAY_MS / MAX(rate->starts, RATE_MIN);
}

// Estimates how long a task of a rank and team waits. Without fleet waits,
// those of its rank that wait here and go before it count.
// @task: waiting: it is not ahead of itself, nor are those that came later;
// NULL: a new one
static double
estimate_wait(ps_scheduler_t *scheduler, uint32_t rank, uint32_t team,
              const ps_task_t *task, int64_t now_ms)
{
    const ps_team_order_t *order = &scheduler->team_order;
    if (now_ms < scheduler->fleet_waits_until_ms) {
        return order->is_enabled && PsTeamOrder_IsTold(order, now_ms)
                   ? PsTeamOrder_GetWait(order, rank, team)
                   : get_fleet_wait(scheduler, rank);
    }
    double key =
        order->is_enabled ? PsTeamOrder_GetKey(order, team, now_ms) : 0;
    int ahead = 0;
    const GList *l = scheduler->waiting.head;
    for (; l && l->data != task; l = l->next) {
        const ps_task_t *other = l->data;
        bool is_ahead = !order->is_enabled || other->team == team ||
                        PsTeamOrder_GetKey(order, other->team, now_ms) <= key;
        ahead +=
            is_ahead && get_rank(scheduler, other, now_ms) == rank ? 1 : 0;
    }
    return estimate_behind(scheduler, rank, ahead, now_ms);
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

// Promises a refused task its return. It will have missed its objective then,
// so that it goes behind all that can be on time.
static int64_t
promise_return(ps_scheduler_t *scheduler, const ps_task_t *task,
               int64_t now_ms)
{
    uint32_t rank = (uint32_t)MAX(task->tier, 0) * 2 + 1;
    uint32_t team = scheduler->team_order.is_enabled ? task->team : 0;
    double wait_ms = estimate_wait(scheduler, rank - 1, team, NULL, now_ms) +
                     estimate_wait(scheduler, rank, team, NULL, now_ms);
    wait_ms += (double)PsWaiting_GetPauseLeft(scheduler, now_ms);
    ps_return_request_t request = {
        .rank = rank,
        .team = team,
        .wait_ms = wait_ms,
        .starts_per_s = get_rank_rate(scheduler, rank, now_ms)->starts *
                        1000.0 / PS_RANK_RATE_DECAY_MS,
        .time_left_ms =
            task->deadline_ms > 0 ? MAX(task->deadline_ms - now_ms, 1) : 0};
    return PsReturnPlan_Promise(&scheduler->return_plan, &request, now_ms);
}

// Returns a Retry-After in milliseconds: RETRY_AFTER_MIN_MS, or until a server
// ends its pause, plus twice the time that the queue takes to drain, varied at
// random by up to a quarter so that callers do not retry all at once.
static int64_t
get_retry_after(ps_scheduler_t *scheduler, int64_t now_ms)
{
    double wait = 2.0 * scheduler->waiting.length / get_start_rate(scheduler);
    wait += (double)PsWaiting_GetPauseLeft(scheduler, now_ms);
    // Linear congruential generator; its upper 24 bits are used.
    scheduler->random_state = scheduler->random_state * 1664525U + 1013904223U;
    double spread = 0.75 + 0.5 * (scheduler->random_state >> 8) / 16777216.0;
    return (int64_t)CLAMP((RETRY_AFTER_MIN_MS + wait) * spread,
                          RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
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
            PsWaiting_Refuse(scheduler, task, "gave way to a higher tier",
                             now_ms);
        }
    }
}

// Tells whether a task waits as long as it may: its caller has come back, and
// would hardly do so again. It goes behind all that can be on time.
static bool
must_be_kept(const ps_scheduler_t *scheduler, const ps_task_t *task)
{
    return scheduler->has_planned_returns && PsWaiting_IsReturning(task) &&
           PsWaiting_IsLate(scheduler, task, task->arrived_ms);
}

// Tells whether a task that can't be on time is to be refused early, since
// others of its tier that can be are waiting: its caller has the more time to
// come back.
static bool
must_give_way(ps_scheduler_t *scheduler, const ps_task_t *task, int64_t now_ms)
{
    if (!scheduler->has_planned_returns) {
        return false;
    }
    uint32_t rank = (uint32_t)MAX(task->tier, 0) * 2;
    return PsScheduler_EstimateWait(scheduler, rank, now_ms) > 0;
}

// Tells whether a task's first event is expected more than LATENESS_MAX_MS
// after its objective or, if that is later, after the time at which it would
// come if the task were started now. A task that has failed at a server waits
// up to its wait deadline: its caller would get a failure at once instead.
static bool
would_be_too_late(ps_scheduler_t *scheduler, const ps_task_t *task,
                  int64_t now_ms)
{
    if (task->n_tried > 0) {
        return false;
    }
    uint32_t rank = get_rank(scheduler, task, now_ms);
    double wait = estimate_wait(scheduler, rank, task->team, task, now_ms);
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
    if (now_ms >= scheduler->fleet_waits_until_ms || task->n_tried > 0 ||
        PsWaiting_IsLate(scheduler, task, now_ms)) {
        return false;
    }
    uint32_t rank = get_rank(scheduler, task, now_ms);
    double wait = estimate_wait(scheduler, rank, task->team, task, now_ms);
    return (double)now_ms + wait + scheduler->mean_first_event_ms >
           (double)task->objective_ms + FLEET_LATENESS_MAX_MS;
}

/* ---- Public functions ------------------------------------------------- */

bool
PsWaiting_IsLate(const ps_scheduler_t *scheduler, const ps_task_t *task,
                 int64_t now_ms)
{
    return (double)now_ms + scheduler->mean_first_event_ms >
           (double)task->objective_ms;
}

bool
PsWaiting_ComesBefore(const ps_scheduler_t *scheduler, const ps_task_t *left,
                      const ps_task_t *right, int64_t now_ms)
{
    if (left->tier != right->tier) {
        return left->tier < right->tier;
    }
    bool left_late = PsWaiting_IsLate(scheduler, left, now_ms);
    bool right_late = PsWaiting_IsLate(scheduler, right, now_ms);
    if (left_late != right_late) {
        return right_late;
    }
    const ps_team_order_t *order = &scheduler->team_order;
    if (order->is_enabled && left->team != right->team) {
        double left_key = PsTeamOrder_GetKey(order, left->team, now_ms);
        double right_key = PsTeamOrder_GetKey(order, right->team, now_ms);
        if (left_key != right_key) {
            return left_key < right_key;
        }
    }
    return get_order_ms(left) < get_order_ms(right);
}

bool
PsWaiting_IsReturning(const ps_task_t *task)
{
    return task->arrived_ms - get_order_ms(task) > RETURN_MIN_MS;
}

bool
PsWaiting_MustYield(const ps_scheduler_t *scheduler, const ps_task_t *task,
                    int64_t now_ms)
{
    const ps_team_order_t *order = &scheduler->team_order;
    if (!scheduler->is_engine || scheduler->granted_left > 0 ||
        !scheduler->has_granted_limits || !PsTeamOrder_IsTold(order, now_ms)) {
        return false;
    }
    uint32_t rank = get_rank(scheduler, task, now_ms);
    double key = PsTeamOrder_GetKey(order, task->team, now_ms);
    for (int i = 0; i < order->n_waits; i++) {
        const ps_team_wait_t *each = &order->waits[i];
        double other = PsTeamOrder_GetKey(order, each->team, now_ms);
        if (each->rank < rank ||
            (each->rank == rank && other + scheduler->mean_run_ms < key)) {
            return true;
        }
    }
    return false;
}

int64_t
PsWaiting_GetPauseLeft(const ps_scheduler_t *scheduler, int64_t now_ms)
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

void
PsWaiting_Add(ps_scheduler_t *scheduler, ps_task_t *task, int64_t now_ms)
{
    if (scheduler->team_order.is_enabled) {
        double lowest = get_lowest_counter(scheduler);
        PsTeamOrder_RaiseIdle(&scheduler->team_order, task->team, lowest,
                              scheduler->mean_run_ms, now_ms);
    }
    task->is_waiting = true;
    g_queue_push_tail_link(&scheduler->waiting, &task->link);
}

void
PsWaiting_Remove(ps_scheduler_t *scheduler, ps_task_t *task)
{
    if (task->is_waiting) {
        g_queue_unlink(&scheduler->waiting, &task->link);
        task->is_waiting = false;
    }
}

void
PsWaiting_CountStart(ps_scheduler_t *scheduler, ps_task_t *task,
                     int64_t now_ms)
{
    uint32_t rank = get_rank(scheduler, task, now_ms);
    ps_rank_rate_t *rate = get_rank_rate(scheduler, rank, now_ms);
    rate->starts += 1.0;
    scheduler->unreported_starts[rate - scheduler->rates.rates]++;
    if (scheduler->team_order.is_enabled) {
        task->charged_ms = scheduler->mean_run_ms;
        PsTeamOrder_CountStart(&scheduler->team_order, task->team, rank,
                               scheduler->mean_run_ms, scheduler->n_daemons,
                               now_ms);
    }
}

void
PsWaiting_CountEnd(ps_scheduler_t *scheduler, ps_task_t *task, int64_t now_ms)
{
    if (task->charged_ms > 0) {
        PsTeamOrder_CountEnd(&scheduler->team_order, task->team,
                             task->charged_ms,
                             (double)(now_ms - task->started_ms), now_ms);
        task->charged_ms = 0;
    }
}

void
PsWaiting_Refuse(ps_scheduler_t *scheduler, ps_task_t *task,
                 const char *reason, int64_t now_ms)
{
    PsWaiting_Remove(scheduler, task);
    scheduler->n_returned_refused += PsWaiting_IsReturning(task) ? 1 : 0;
    int64_t retry_after_ms = scheduler->has_planned_returns
                                 ? promise_return(scheduler, task, now_ms)
                                 : get_retry_after(scheduler, now_ms);
    scheduler->events->refuse(scheduler, task, retry_after_ms, reason);
}

bool
PsWaiting_RefuseIfTooLate(ps_scheduler_t *scheduler, ps_task_t *task,
                          int64_t now_ms)
{
    if (must_be_kept(scheduler, task) ||
        (!would_be_too_late(scheduler, task, now_ms) &&
         !would_be_late_in_fleet(scheduler, task, now_ms))) {
        return false;
    }
    refuse_lower_tiers(scheduler, task->tier, now_ms);
    PsWaiting_Refuse(scheduler, task, "would wait past its objective", now_ms);
    return true;
}

void
PsWaiting_RefuseOverdue(ps_scheduler_t *scheduler, int64_t now_ms)
{
    GList *next;
    for (GList *l = scheduler->waiting.head; l; l = next) {
        next = l->next;
        ps_task_t *task = l->data;
        if (now_ms >= task->wait_deadline_ms) {
            PsWaiting_Refuse(scheduler, task, "waited too long", now_ms);
        }
        else if (!task->was_found_late &&
                 PsWaiting_IsLate(scheduler, task, now_ms)) {
            task->was_found_late = true;
            if (!must_be_kept(scheduler, task) &&
                (would_be_too_late(scheduler, task, now_ms) ||
                 must_give_way(scheduler, task, now_ms))) {
                PsWaiting_Refuse(scheduler, task, "too late for its objective",
                                 now_ms);
            }
        }
    }
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
PsScheduler_CountTeams(ps_scheduler_t *scheduler, ps_team_count_t *counts,
                       int64_t now_ms)
{
    int n = PsTeamOrder_TakeStarts(&scheduler->team_order, counts);
    for (const GList *l = scheduler->waiting.head; l; l = l->next) {
        const ps_task_t *task = l->data;
        ps_team_count_t one = {get_rank(scheduler, task, now_ms), task->team,
                               1, 0};
        n = PsTeamCounts_Add(counts, n, PS_TEAM_COUNTS_MAX, &one);
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
    for (int i = 0; i < scheduler->n_fleet_waits; i++) {
        scheduler->fleet_waits[i] = waits[i];
    }
    scheduler->fleet_waits_until_ms = until_ms;
}

double
PsScheduler_EstimateWait(ps_scheduler_t *scheduler, uint32_t rank,
                         int64_t now_ms)
{
    if (now_ms < scheduler->fleet_waits_until_ms) {
        return get_fleet_wait(scheduler, rank);
    }
    int ahead = 0;
    for (const GList *l = scheduler->waiting.head; l; l = l->next) {
        ahead += get_rank(scheduler, l->data, now_ms) == rank ? 1 : 0;
    }
    return estimate_behind(scheduler, rank, ahead, now_ms);
}
