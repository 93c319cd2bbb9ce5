/*
 * rollout_samples.h - Records what answers show of versions, for a roll-out.
 *
 * Called by the scheduler for each task; does nothing without an order. Does
 * no I/O; all times are passed in.
 */
#ifndef PS_ROLLOUT_SAMPLES_H
#define PS_ROLLOUT_SAMPLES_H

#include "scheduler.h"

/**
 * PsRolloutSamples_AddFirstEvent() - Records the time to a stream's first
 * event.
 */
void PsRolloutSamples_AddFirstEvent(ps_scheduler_t *scheduler,
                                    const ps_task_t *task, double ms);

/**
 * PsRolloutSamples_AddEvent() - Counts an event, and records the stream's pace
 * after some of them.
 */
void PsRolloutSamples_AddEvent(ps_scheduler_t *scheduler, ps_task_t *task,
                               int64_t now_ms);

/**
 * PsRolloutSamples_AddEnd() - Records how a task ended at its server.
 */
void PsRolloutSamples_AddEnd(ps_scheduler_t *scheduler, const ps_task_t *task,
                             ps_task_result_t result, int64_t now_ms);

#endif
