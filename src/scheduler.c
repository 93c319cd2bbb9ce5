/* scheduler.c - Choice of a server, starts and ends of requests. */
#include "scheduler.h"

#include <math.h>
#include <string.h>

#include "even_shares.h"
#include "placement.h"
#include "rollout_samples.h"
#include "task_samples.h"
#include "waiting.h"

#define RUN_TIME_DECAY 0.97       /* weight kept by older times at a server */
#define RUN_TIME_INITIAL_MS 1000  /* assumed at first */
#define FIRST_EVENT_DECAY 0.95    /* weight kept by older times */
#define FIRST_EVENT_INITIAL_MS 80 /* assumed at first */

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

#define EVENT_TOKENS_MAX 10.0 /* most output tokens in one event */
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

/* ---- Starting --------------------------------------------------------- */

// Takes a task from the queue, if it is there, and a slot at a server for it,
// and has it sent. Its prompt parts count as cached at the server from now on.
static void
start_task(ps_scheduler_t *scheduler, ps_task_t *task, ps_backend_t *backend,
           int64_t now_ms)
{
    PsWaiting_Remove(scheduler, task);
    PsWaiting_CountStart(scheduler, task, now_ms);
    scheduler->n_started++;
    scheduler->granted_left = MAX(scheduler->granted_left - 1, 0);
    PsBackend_Ref(backend);
    task->backend = backend;
    task->started_ms = now_ms;
    task->last_event_ms = now_ms;
    task->first_event_ms = 0;
    task->n_events = 0;
    task->was_made_late = false;
    task->prefill_tokens = PsPlacement_GetPrefillTokens(backend, task, now_ms);
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

// Returns the first task in serving order that a server can take, and that
// server in @backend; NULL: none.
static ps_task_t *
find_next(const ps_scheduler_t *scheduler, ps_backend_t **backend,
          int64_t now_ms)
{
    ps_task_t *best = NULL;
    for (GList *l = scheduler->waiting.head; l; l = l->next) {
        ps_task_t *task = l->data;
        if (best && !PsWaiting_ComesBefore(scheduler, task, best, now_ms)) {
            continue;
        }
        ps_backend_t *found = PsPlacement_FindBest(scheduler, task, now_ms);
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
        if (PsPlacement_HasFreeSlot(scheduler, scheduler->backends->pdata[i],
                                    now_ms)) {
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
                         .return_plan = {.random_state = seed},
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
    bool is_first = task->n_tried == 0;
    scheduler->n_returned += is_first && PsWaiting_IsReturning(task) ? 1 : 0;
    if (is_first) {
        PsRolloutUse_AddArrival(&scheduler->rollout);
    }
    if (scheduler->waiting.length == 0 &&
        !PsWaiting_MustYield(scheduler, task, now_ms)) {
        ps_backend_t *backend = PsPlacement_FindBest(scheduler, task, now_ms);
        if (backend) {
            start_task(scheduler, task, backend, now_ms);
            return;
        }
    }
    if (scheduler->backends->len == 0) {
        PsWaiting_Refuse(scheduler, task, "no backend server is known",
                         now_ms);
        return;
    }
    if (now_ms + PsWaiting_GetPauseLeft(scheduler, now_ms) >
        task->wait_deadline_ms) {
        PsWaiting_Refuse(scheduler, task, "all servers have asked for a pause",
                         now_ms);
        return;
    }
    if (!PsWaiting_RefuseIfTooLate(scheduler, task, now_ms)) {
        PsWaiting_Add(scheduler, task, now_ms);
        PsScheduler_Run(scheduler, now_ms);
    }
}

void
PsScheduler_Withdraw(ps_scheduler_t *scheduler, ps_task_t *task)
{
    PsWaiting_Remove(scheduler, task);
}

void
PsScheduler_HandleEvent(ps_scheduler_t *scheduler, ps_task_t *task,
                        double tokens, int64_t now_ms)
{
    ps_backend_t *backend = task->backend;
    PsTaskSamples_HandleEvent(scheduler, task, now_ms);
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
        scheduler->tokens_per_event = tokens;
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
    return PsPlacement_FindBest(scheduler, task, now_ms) != NULL;
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
    PsTaskSamples_HandleEnd(scheduler, task, result, now_ms);
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
    PsWaiting_CountEnd(scheduler, task, now_ms);
    backend->running--;
    task->backend = NULL;
    record_result(scheduler, backend, result, now_ms);
    PsBackend_Unref(backend);
}

void
PsScheduler_MoveTask(ps_scheduler_t *scheduler, ps_task_t *task,
                     int64_t now_ms)
{
    ps_backend_t *backend = PsPlacement_FindBest(scheduler, task, now_ms);
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
    PsWaiting_RefuseOverdue(scheduler, now_ms);
    while (scheduler->waiting.length > 0 &&
           has_any_free_slot(scheduler, now_ms)) {
        ps_backend_t *backend = NULL;
        ps_task_t *task = find_next(scheduler, &backend, now_ms);
        if (!task || PsWaiting_MustYield(scheduler, task, now_ms)) {
            break;
        }
        start_task(scheduler, task, backend, now_ms);
    }
    scheduler->is_running = false;
}

void
PsScheduler_NoteReport(ps_scheduler_t *scheduler, uint64_t round)
{
    int running = 0;
    for (guint i = 0; i < scheduler->backends->len; i++) {
        running += ((ps_backend_t *)scheduler->backends->pdata[i])->running;
    }
    scheduler->report_notes[round % PS_REPORT_NOTES_MAX] =
        (ps_report_note_t){running, scheduler->n_started};
}

// Slots that have become free since the report are in the limits, too, but
// were not granted for the tasks that wait here; what was started since has
// used its slots up.
void
PsScheduler_TakeGrant(ps_scheduler_t *scheduler, uint64_t round,
                      int64_t now_ms)
{
    const ps_report_note_t *note =
        &scheduler->report_notes[round % PS_REPORT_NOTES_MAX];
    int limits = 0;
    for (guint i = 0; i < scheduler->backends->len; i++) {
        limits += ((ps_backend_t *)scheduler->backends->pdata[i])->slot_limit;
    }
    int started = (int)(scheduler->n_started - note->n_started);
    scheduler->granted_left = MAX(limits - note->running - started, 0);
    PsScheduler_Run(scheduler, now_ms);
    scheduler->granted_left = 0;
}
