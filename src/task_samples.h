/*
 * task_samples.h - Counts what a daemon's own requests show of their servers.
 *
 * Adds to the sample of the server where a task runs; reports take it from
 * there. Intervals that a pause of this daemon falls into are not counted.
 * Does no I/O; all times are passed in.
 */
#ifndef PS_TASK_SAMPLES_H
#define PS_TASK_SAMPLES_H

#include "scheduler.h"

/**
 * PsTaskSamples_HandleEvent() - Counts an event of a stream; to be called
 * before the scheduler records its time in the task.
 */
void PsTaskSamples_HandleEvent(const ps_scheduler_t *scheduler,
                               ps_task_t *task, int64_t now_ms);

/**
 * PsTaskSamples_HandleEnd() - Counts how a task ended, while it is still at
 * its server.
 */
void PsTaskSamples_HandleEnd(const ps_scheduler_t *scheduler,
                             const ps_task_t *task, ps_task_result_t result,
                             int64_t now_ms);

#endif
