/* scheduler.c - Order of waiting, early refusal and choice of a server. */
#include "scheduler.h"

#include <math.h>
#include <string.h>

#include "even_shares.h"

#define RATE_KEEP_MS 500.0      /* span over which start rates are taken */
#define RATE_FIRST 3.0          /* starts in it, before any is known */
#define RATE_LEAST 0.05         /* starts in it that still count */
#define HOLD_KEEP 0.97          /* weight kept of older times at a server */
#define HOLD_USUAL_MS 1000      /* before any is known */
#define FIRST_EVENT_KEEP 0.95   /* weight kept of older first-event times */
#define FIRST_EVENT_USUAL_MS 80 /* before any is known */
#define LATE_WAIT_MAX_MS                                                      \
    400.0                    /* a longer wait past the objective: refused     \
                              */
#define RETRY_LEAST_MS 400.0 /* shortest Retry-After */
#define RETRY_MOST_MS                                                         \
    4000.0                     /* longest; callers wait a third of their time \
                                */
#define EJECTED_SHARE_MAX 0.34 /* of a service's servers */
#define EJECT_OUTCOMES_LEAST 3.0 /* outcomes before a rate is believed */
#define EJECT_RATE_OVER 0.25     /* failure rate above the service's mean */
#define SILENT_FACTOR 5.0        /* times the usual wait */
#define SILENT_LEAST_MS 500.0    /* a prompt read beside it takes less */
#define SILENT_MOST_MS 1100.0    /* callers leave after 2 s */
#define EVENT_TOKENS_MOST 10.0   /* output tokens in one event */
#define LOAD_STEP_MS 4.0         /* spreads work over servers of equal speed */
#define COLD_FACTOR 2.0          /* a server that has just started is slower */

/* ---- Shares ----------------------------------------------------------- */

static gint
compare_names(gconstpointer left, gconstpointer right)
{
    const ps_backend_t *a = *(ps_backend_t *const *)left;
    const ps_backend_t *b = *(ps_backend_t *const *)right;
    return strcmp(a->registration.name.data, b->registration.name.data);
}

// Leaving servers keep their place until they are gone, so that daemons that
// have not heard of it yet work out the same shares.
static void
share_slots(ps_scheduler_t *scheduler)
{
    guint n = scheduler->backends->len;
    if (scheduler->has_granted_limits) {
        return;
    }
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
        backend->slot_limit = shares[i];
        if (!scheduler->is_engine) {
            backend->slot_limit = MAX(backend->slot_limit + 1, 2);
        }
    }
    g_free(slots);
    g_free(shares);
}

/* ---- Health ----------------------------------------------------------- */

static bool
may_eject_one_more(const ps_scheduler_t *scheduler, int64_t now_ms)
{
    guint ejected = 0;
    for (guint i = 0; i < scheduler->backends->len; i++) {
        const ps_backend_t *backend = scheduler->backends->pdata[i];
        ejected += now_ms < backend->ejected_until_ms ? 1 : 0;
    }
    return ejected + 1 <=
           (guint)ceil(EJECTED_SHARE_MAX * scheduler->backends->len);
}

static double
get_peers_failure_rate(const ps_scheduler_t *scheduler,
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

static void
judge(ps_scheduler_t *scheduler, ps_backend_t *backend, ps_task_result_t end,
      int64_t now_ms)
{
    if (end == PS_TASK_CANCELLED) {
        return;
    }
    if (end == PS_TASK_SUCCEEDED) {
        if (backend->is_on_trial) {
            PsBackend_Readmit(backend);
        }
        PsBackend_AddOutcome(backend, true);
        backend->unreported_outcomes.good++;
        return;
    }
    PsBackend_AddOutcome(backend, false);
    bool is_absent = end == PS_TASK_UNREACHABLE || end == PS_TASK_WRONG_SERVER;
    backend->unreported_outcomes.absent += is_absent ? 1 : 0;
    backend->unreported_outcomes.failed += end == PS_TASK_FAILED ? 1 : 0;
    bool is_sick = is_absent || backend->is_on_trial;
    if (!is_sick && backend->outcomes >= EJECT_OUTCOMES_LEAST) {
        double over = PsBackend_GetFailureRate(backend) -
                      get_peers_failure_rate(scheduler, backend);
        is_sick = over > EJECT_RATE_OVER;
    }
    if (is_sick && now_ms >= backend->ejected_until_ms &&
        may_eject_one_more(scheduler, now_ms)) {
        PsBackend_Eject(backend, now_ms);
    }
}

/* ---- Placing ---------------------------------------------------------- */

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

static bool
has_room(const ps_backend_t *backend, int64_t now_ms)
{
    if (!backend->is_listed || backend->registration.is_leaving ||
        now_ms < backend->ejected_until_ms) {
        return false;
    }
    int limit = backend->is_on_trial ? MIN(backend->slot_limit, 1)
                                     : backend->slot_limit;
    return backend->running < limit;
}

static double
get_unread(const ps_backend_t *backend, const ps_task_t *task, int64_t now_ms)
{
    double read = 0;
    for (int i = 0; i < task->n_parts; i++) {
        if (!PsBackend_HasCachedPart(backend, task->part_hashes[i], now_ms)) {
            break;
        }
        read += task->part_tokens[i];
    }
    return MAX(task->prompt_tokens - read, 0.0);
}

// Predicts the milliseconds until the first event.
static double
predict_first(const ps_backend_t *backend, const ps_task_t *task,
              double unread, int64_t now_ms)
{
    (void)task;
    double tokens = (unread + backend->pending_prefill_tokens) / 1000.0;
    double ms = PsSpeed_GetStepMs(&backend->first_event_time, tokens);
    return now_ms < backend->cold_until_ms ? ms * COLD_FACTOR : ms;
}

static double
predict_cost(const ps_backend_t *backend, const ps_task_t *task,
             int64_t now_ms)
{
    double load =
        LOAD_STEP_MS * backend->running / MAX(backend->slot_limit, 1);
    if (!task->is_generation) {
        return PsSpeed_GetStepMs(&backend->first_event_time, 0.0) * 0.1 +
               LOAD_STEP_MS * 10.0 * backend->running;
    }
    double unread = get_unread(backend, task, now_ms);
    double pace =
        PsSpeed_GetStepMs(&backend->token_interval, backend->running + 1.0);
    return predict_first(backend, task, unread, now_ms) +
           task->output_tokens * pace * 0.25 + load;
}

static ps_backend_t *
pick(const ps_scheduler_t *scheduler, const ps_task_t *task, int64_t now_ms)
{
    ps_backend_t *best = NULL;
    double least = INFINITY;
    for (guint i = 0; i < scheduler->backends->len; i++) {
        ps_backend_t *backend = scheduler->backends->pdata[i];
        if (!has_room(backend, now_ms) || was_tried(task, backend)) {
            continue;
        }
        double cost = predict_cost(backend, task, now_ms);
        if (cost < least) {
            least = cost;
            best = backend;
        }
    }
    return best;
}

static bool
is_late(const ps_scheduler_t *scheduler, const ps_task_t *task, int64_t now_ms)
{
    return (double)now_ms + scheduler->mean_first_event_ms >
           (double)task->due_ms;
}

static uint32_t
get_rank(const ps_scheduler_t *scheduler, const ps_task_t *task,
         int64_t now_ms)
{
    return (uint32_t)MAX(task->tier, 0) * 2 +
           (is_late(scheduler, task, now_ms) ? 1 : 0);
}

// Returns a rank's rate, faded to now; ranks beyond the table share the last.
static ps_rank_rate_t *
get_rank_rate(ps_scheduler_t *scheduler, uint32_t rank, int64_t now_ms)
{
    int i = 0;
    while (i < scheduler->n_rates && scheduler->rates[i].rank != rank) {
        i++;
    }
    if (i == scheduler->n_rates && i < PS_RANKS_MAX) {
        scheduler->rates[scheduler->n_rates++] =
            (ps_rank_rate_t){rank, RATE_FIRST, now_ms};
    }
    ps_rank_rate_t *rate = &scheduler->rates[MIN(i, PS_RANKS_MAX - 1)];
    rate->starts *= exp(-(double)(now_ms - rate->at_ms) / RATE_KEEP_MS);
    rate->at_ms = now_ms;
    return rate;
}

static void
start(ps_scheduler_t *scheduler, ps_task_t *task, ps_backend_t *backend,
      int64_t now_ms)
{
    if (task->is_waiting) {
        g_queue_unlink(&scheduler->waiting, &task->link);
        task->is_waiting = false;
    }
    uint32_t rank = get_rank(scheduler, task, now_ms);
    get_rank_rate(scheduler, rank, now_ms)->starts += 1.0;
    PsBackend_Ref(backend);
    task->backend = backend;
    task->started_ms = now_ms;
    task->last_event_ms = now_ms;
    task->first_event_ms = 0;
    task->prefill_tokens = get_unread(backend, task, now_ms);
    task->prefill_backlog_tokens =
        backend->pending_prefill_tokens + task->prefill_tokens;
    if (task->n_tried < PS_TASK_TRIED_MAX) {
        task->tried[task->n_tried++] = backend->instance_id;
    }
    for (int i = 0; i < task->n_parts; i++) {
        PsBackend_AddCachedPart(backend, task->part_hashes[i], now_ms);
    }
    backend->running++;
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

// Estimates how many tasks leave their servers in a millisecond when all of
// this daemon's share is in use.
static double
get_rate(const ps_scheduler_t *scheduler)
{
    int slots = 0;
    for (guint i = 0; i < scheduler->backends->len; i++) {
        const ps_backend_t *backend = scheduler->backends->pdata[i];
        slots += backend->registration.is_leaving ? 0 : backend->slot_limit;
    }
    return MAX(slots, 0.5) / MAX(scheduler->mean_run_ms, 1.0);
}

static int64_t
get_retry_after(ps_scheduler_t *scheduler)
{
    double wait = 2.0 * scheduler->waiting.length / get_rate(scheduler);
    scheduler->random_state = scheduler->random_state * 1664525U + 1013904223U;
    double spread = 0.75 + 0.5 * (scheduler->random_state >> 8) / 16777216.0;
    return (int64_t)CLAMP((RETRY_LEAST_MS + wait) * spread, RETRY_LEAST_MS,
                          RETRY_MOST_MS);
}

static void
refuse(ps_scheduler_t *scheduler, ps_task_t *task, const char *reason)
{
    if (task->is_waiting) {
        g_queue_unlink(&scheduler->waiting, &task->link);
        task->is_waiting = false;
    }
    scheduler->events->refuse(scheduler, task, get_retry_after(scheduler),
                              reason);
}

// Lets lower tiers give way: what waits there is refused before a higher
// tier is.
static void
shed_lower_tiers(ps_scheduler_t *scheduler, int tier)
{
    GList *next;
    for (GList *l = scheduler->waiting.head; l; l = next) {
        next = l->next;
        ps_task_t *task = l->data;
        if (task->tier > tier) {
            refuse(scheduler, task, "gave way to a higher tier");
        }
    }
}

// Tells whether a task's turn would come long after its objective.
static bool
is_hopeless(ps_scheduler_t *scheduler, const ps_task_t *task, int64_t now_ms)
{
    uint32_t rank = get_rank(scheduler, task, now_ms);
    double wait = PsScheduler_EstimateWait(scheduler, rank, now_ms);
    double due = MAX((double)task->due_ms,
                     (double)now_ms + scheduler->mean_first_event_ms);
    return (double)now_ms + wait + scheduler->mean_first_event_ms >
           due + LATE_WAIT_MAX_MS;
}

static bool
refuse_early(ps_scheduler_t *scheduler, ps_task_t *task, int64_t now_ms)
{
    if (!is_hopeless(scheduler, task, now_ms)) {
        return false;
    }
    shed_lower_tiers(scheduler, task->tier);
    refuse(scheduler, task, "would wait past its objective");
    return true;
}

// Gives up what has waited too long, and late work that nothing is left for.
static void
give_up_late(ps_scheduler_t *scheduler, int64_t now_ms)
{
    GList *next;
    for (GList *l = scheduler->waiting.head; l; l = next) {
        next = l->next;
        ps_task_t *task = l->data;
        if (now_ms >= task->wait_deadline_ms) {
            refuse(scheduler, task, "waited too long");
        }
        else if (!task->was_found_late && is_late(scheduler, task, now_ms)) {
            task->was_found_late = true;
            if (is_hopeless(scheduler, task, now_ms)) {
                refuse(scheduler, task, "too late for its objective");
            }
        }
    }
}

static ps_task_t *
get_next(const ps_scheduler_t *scheduler, ps_backend_t **backend,
         int64_t now_ms)
{
    ps_task_t *best = NULL;
    for (GList *l = scheduler->waiting.head; l; l = l->next) {
        ps_task_t *task = l->data;
        if (best && !comes_before(scheduler, task, best, now_ms)) {
            continue;
        }
        ps_backend_t *picked = pick(scheduler, task, now_ms);
        if (picked) {
            best = task;
            *backend = picked;
        }
    }
    return best;
}

static bool
has_any_room(const ps_scheduler_t *scheduler, int64_t now_ms)
{
    for (guint i = 0; i < scheduler->backends->len; i++) {
        if (has_room(scheduler->backends->pdata[i], now_ms)) {
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
    *scheduler = (ps_scheduler_t){.events = events,
                                  .user = user,
                                  .service = *service,
                                  .n_daemons = 1,
                                  .random_state = seed,
                                  .mean_run_ms = HOLD_USUAL_MS,
                                  .mean_first_event_ms = FIRST_EVENT_USUAL_MS};
    scheduler->backends = g_ptr_array_new();
    g_queue_init(&scheduler->waiting);
}

void
PsScheduler_Finish(ps_scheduler_t *scheduler)
{
    g_ptr_array_unref(scheduler->backends);
}

void
PsScheduler_SetDaemons(ps_scheduler_t *scheduler, int n_daemons, int index)
{
    scheduler->n_daemons = MAX(n_daemons, 1);
    scheduler->daemon_index = index;
    share_slots(scheduler);
}

void
PsScheduler_AddBackend(ps_scheduler_t *scheduler, ps_backend_t *backend)
{
    if (!g_ptr_array_find(scheduler->backends, backend, NULL)) {
        g_ptr_array_add(scheduler->backends, backend);
    }
    share_slots(scheduler);
}

void
PsScheduler_RemoveBackend(ps_scheduler_t *scheduler, ps_backend_t *backend)
{
    g_ptr_array_remove(scheduler->backends, backend);
    share_slots(scheduler);
}

void
PsScheduler_UseEvenShares(ps_scheduler_t *scheduler)
{
    scheduler->has_granted_limits = false;
    share_slots(scheduler);
}

int
PsScheduler_CountWaiting(const ps_scheduler_t *scheduler,
                         ps_waiting_count_t *counts, int max, int64_t now_ms)
{
    int n = 0;
    for (const GList *l = scheduler->waiting.head; l; l = l->next) {
        const ps_task_t *task = l->data;
        uint32_t rank = get_rank(scheduler, task, now_ms);
        int i = 0;
        while (i < n && counts[i].rank != rank) {
            i++;
        }
        if (i == n && n < max) {
            counts[n++] = (ps_waiting_count_t){rank, 0};
        }
        if (i < n) {
            counts[i].count++;
        }
    }
    return n;
}

double
PsScheduler_EstimateWait(ps_scheduler_t *scheduler, uint32_t rank,
                         int64_t now_ms)
{
    int ahead = 0;
    for (const GList *l = scheduler->waiting.head; l; l = l->next) {
        ahead += get_rank(scheduler, l->data, now_ms) == rank ? 1 : 0;
    }
    if (ahead == 0) {
        return 0;
    }
    ps_rank_rate_t *rate = get_rank_rate(scheduler, rank, now_ms);
    return ahead * RATE_KEEP_MS / MAX(rate->starts, RATE_LEAST);
}

void
PsScheduler_Submit(ps_scheduler_t *scheduler, ps_task_t *task, int64_t now_ms)
{
    task->link = (GList){.data = task};
    if (scheduler->waiting.length == 0) {
        ps_backend_t *backend = pick(scheduler, task, now_ms);
        if (backend) {
            start(scheduler, task, backend, now_ms);
            return;
        }
    }
    if (scheduler->backends->len == 0) {
        refuse(scheduler, task, "no backend server is known");
        return;
    }
    if (!refuse_early(scheduler, task, now_ms)) {
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
        backend->unreported_outcomes.good++;
        backend->pending_prefill_tokens =
            MAX(backend->pending_prefill_tokens - task->prefill_tokens, 0.0);
        PsSpeed_AddStep(&backend->first_event_time,
                        MAX(task->prefill_backlog_tokens, 1.0) / 1000.0, ms,
                        1.0);
        if (task->is_generation) {
            scheduler->mean_first_event_ms =
                scheduler->mean_first_event_ms * FIRST_EVENT_KEEP +
                ms * (1.0 - FIRST_EVENT_KEEP);
        }
    }
    else if (tokens > 0) {
        double step = (double)(now_ms - task->last_event_ms) / tokens;
        PsSpeed_AddStep(&backend->token_interval, backend->running, step, 0.2);
    }
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
                EVENT_TOKENS_MOST;
    }
    double most =
        CLAMP(usual * SILENT_FACTOR, SILENT_LEAST_MS, SILENT_MOST_MS);
    return (double)(now_ms - task->last_event_ms) > most;
}

bool
PsScheduler_CanMoveTask(const ps_scheduler_t *scheduler, const ps_task_t *task,
                        int64_t now_ms)
{
    return pick(scheduler, task, now_ms) != NULL;
}

// Takes a task off its server without giving the room to others yet.
static void
stop(ps_scheduler_t *scheduler, ps_task_t *task, ps_task_result_t end,
     int64_t now_ms)
{
    ps_backend_t *backend = task->backend;
    if (task->first_event_ms == 0) {
        backend->pending_prefill_tokens =
            MAX(backend->pending_prefill_tokens - task->prefill_tokens, 0.0);
        if (end == PS_TASK_SUCCEEDED && !task->is_generation) {
            PsSpeed_AddStep(&backend->first_event_time, 1.0,
                            (double)(now_ms - task->started_ms), 1.0);
        }
    }
    if (end == PS_TASK_SUCCEEDED || end == PS_TASK_FAILED ||
        end == PS_TASK_CANCELLED) {
        double held = (double)(now_ms - task->started_ms);
        scheduler->mean_run_ms =
            scheduler->mean_run_ms * HOLD_KEEP + held * (1.0 - HOLD_KEEP);
    }
    backend->running--;
    task->backend = NULL;
    judge(scheduler, backend, end, now_ms);
    PsBackend_Unref(backend);
}

void
PsScheduler_MoveTask(ps_scheduler_t *scheduler, ps_task_t *task,
                     int64_t now_ms)
{
    ps_backend_t *backend = pick(scheduler, task, now_ms);
    g_assert(backend);
    stop(scheduler, task, PS_TASK_FAILED, now_ms);
    start(scheduler, task, backend, now_ms);
}

void
PsScheduler_EndTask(ps_scheduler_t *scheduler, ps_task_t *task,
                    ps_task_result_t end, int64_t now_ms)
{
    if (task->backend) {
        stop(scheduler, task, end, now_ms);
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
    give_up_late(scheduler, now_ms);
    while (scheduler->waiting.length > 0 && has_any_room(scheduler, now_ms)) {
        ps_backend_t *backend = NULL;
        ps_task_t *task = get_next(scheduler, &backend, now_ms);
        if (!task) {
            break;
        }
        start(scheduler, task, backend, now_ms);
    }
    scheduler->is_running = false;
}
