/* rollout_samples.c - What the tasks of a scheduler show of two versions. */
#include "rollout_samples.h"

#include <xxhash.h>

#define PACE_EVENTS 5 /* of a stream, after which its pace counts */

// Records a sample of an answer for a roll-out.
static void
add_sample(ps_scheduler_t *scheduler, const ps_task_t *task,
           ps_rollout_sample_t sample, double ratio)
{
    const ps_name_t *name = &task->backend->registration.name;
    if (!PsRolloutUse_IsRunning(&scheduler->rollout)) {
        return;
    }
    ps_rollout_answer_t answer = {
        .route = task->route,
        .server = XXH32(name->data, name->len, 0),
        .is_target = task->backend->version == scheduler->rollout.target,
        .sample = (uint8_t)sample,
        .bucket = PsRolloutEvidence_GetBucket(ratio)};
    PsRolloutUse_AddAnswer(&scheduler->rollout, &answer);
}

// Records the time to the first event by a measure of the prompt, in which the
// two constants only have to be about right.
void
PsRolloutSamples_AddFirstEvent(ps_scheduler_t *scheduler,
                               const ps_task_t *task, double ms)
{
    double work = 20.0 + 20.0 * task->prompt_tokens / 1000.0;
    add_sample(scheduler, task, PS_ROLLOUT_FIRST_EVENT, ms / work);
}

void
PsRolloutSamples_AddEvent(ps_scheduler_t *scheduler, ps_task_t *task,
                          int64_t now_ms)
{
    if (++task->n_events == PACE_EVENTS) {
        add_sample(scheduler, task, PS_ROLLOUT_PACE,
                   (double)(now_ms - task->first_event_ms));
    }
}

// A task that was given up is a slow one if its server had fallen silent.
void
PsRolloutSamples_AddEnd(ps_scheduler_t *scheduler, const ps_task_t *task,
                        ps_task_result_t result, int64_t now_ms)
{
    double ms = (double)(now_ms - task->started_ms);
    if (result == PS_TASK_SUCCEEDED || result == PS_TASK_FAILED) {
        add_sample(scheduler, task,
                   result == PS_TASK_FAILED ? PS_ROLLOUT_FAILED
                                            : PS_ROLLOUT_GOOD,
                   1.0);
    }
    bool is_slow = result == PS_TASK_CANCELLED &&
                   PsScheduler_IsSilent(scheduler, task, now_ms);
    if (!task->is_generation && (result == PS_TASK_SUCCEEDED || is_slow)) {
        add_sample(scheduler, task, PS_ROLLOUT_TOTAL, ms);
    }
    else if (task->is_generation && is_slow && task->first_event_ms == 0) {
        PsRolloutSamples_AddFirstEvent(scheduler, task, ms);
    }
}
