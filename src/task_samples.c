/* task_samples.c - Samples of servers from the events of tasks. */
#include "task_samples.h"

// Part of the objective that a task must have left when it is sent, for its
// server to be held to what is left. A task that has waited longer is late
// because of the wait.
#define OBJECTIVE_LEFT_MIN 0.5

static ps_server_sample_t *
get_sample(const ps_task_t *task, int64_t now_ms)
{
    ps_backend_t *backend = task->backend;
    if (PsServerSample_IsEmpty(&backend->sample)) {
        backend->sample_since_ms = now_ms;
    }
    return &backend->sample;
}

// Returns the time that the server has for the first event, or for a plain
// answer.
static double
get_allowed_ms(const ps_task_t *task)
{
    double whole = (double)(task->objective_ms - task->arrived_ms);
    double left = (double)(task->objective_ms - task->started_ms);
    return MAX(left, whole * OBJECTIVE_LEFT_MIN);
}

static bool
is_pause_too_long(const ps_task_t *task, int64_t now_ms)
{
    return task->gap_target_ms > 0 && task->first_event_ms > 0 &&
           now_ms - task->last_event_ms > task->gap_target_ms;
}

// Tells whether this daemon was paused since the task's last event or start.
static bool
was_paused(const ps_scheduler_t *scheduler, const ps_task_t *task)
{
    return task->last_event_ms < scheduler->paused_until_ms;
}

void
PsTaskSamples_HandleEvent(const ps_scheduler_t *scheduler, ps_task_t *task,
                          int64_t now_ms)
{
    if (was_paused(scheduler, task)) {
        return;
    }
    ps_server_sample_t *sample = get_sample(task, now_ms);
    if (task->first_event_ms == 0) {
        double ms = (double)(now_ms - task->started_ms);
        sample->first_events++;
        sample->first_event_ms += ms;
        sample->prefill_tokens += task->prefill_backlog_tokens;
        task->was_made_late |= ms > get_allowed_ms(task);
        return;
    }
    sample->events++;
    sample->event_ms += (double)(now_ms - task->last_event_ms);
    task->was_made_late |= is_pause_too_long(task, now_ms);
}

void
PsTaskSamples_HandleEnd(const ps_scheduler_t *scheduler, const ps_task_t *task,
                        ps_task_result_t result, int64_t now_ms)
{
    if ((result != PS_TASK_SUCCEEDED && result != PS_TASK_FAILED &&
         result != PS_TASK_CANCELLED) ||
        was_paused(scheduler, task)) {
        return;
    }
    double ms = (double)(now_ms - task->started_ms);
    bool has_no_event = task->first_event_ms == 0;
    bool is_late =
        task->was_made_late || (has_no_event && ms > get_allowed_ms(task)) ||
        (result != PS_TASK_SUCCEEDED && is_pause_too_long(task, now_ms));
    if (!is_late && result != PS_TASK_SUCCEEDED) {
        return;
    }
    ps_server_sample_t *sample = get_sample(task, now_ms);
    sample->late += is_late ? 1 : 0;
    sample->on_time += is_late ? 0 : 1;
    if (has_no_event && result == PS_TASK_SUCCEEDED) {
        sample->first_events++;
        sample->first_event_ms += ms;
    }
}
