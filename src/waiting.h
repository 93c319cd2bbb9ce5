/*
 * waiting.h - Order, estimated waits and refusals of a scheduler's queue.
 *
 * A part of scheduler.c: its functions work on the queue of ps_scheduler_t.
 */
#ifndef PS_WAITING_H
#define PS_WAITING_H

#include "scheduler.h"

/**
 * PsWaiting_IsLate() - Tells whether a task would miss its objective even if
 * it were started now.
 */
bool PsWaiting_IsLate(const ps_scheduler_t *scheduler, const ps_task_t *task,
                      int64_t now_ms);

/**
 * PsWaiting_ComesBefore() - Tells whether @left is to be served before @right.
 */
bool PsWaiting_ComesBefore(const ps_scheduler_t *scheduler,
                           const ps_task_t *left, const ps_task_t *right,
                           int64_t now_ms);

/**
 * PsWaiting_IsReturning() - Tells whether a task's caller has been refused
 * before and has come back, as far as that is known.
 */
bool PsWaiting_IsReturning(const ps_task_t *task);

/**
 * PsWaiting_MustYield() - Tells whether a slot that has become free here is to
 * be left to the allocator, since requests wait at other daemons that are to
 * be served before this task.
 *
 * Slots of a grant are for the tasks that wait here. Without this a daemon
 * would go on using its own slots for late tasks, or for a team that has had
 * more than its share, while others wait for a slot elsewhere. Plain requests
 * are over in less time than a slot takes by way of the allocator.
 */
bool PsWaiting_MustYield(const ps_scheduler_t *scheduler,
                         const ps_task_t *task, int64_t now_ms);

/**
 * PsWaiting_GetPauseLeft() - Returns for how long all servers that take new
 * work have asked for a pause.
 */
int64_t PsWaiting_GetPauseLeft(const ps_scheduler_t *scheduler,
                               int64_t now_ms);

/**
 * PsWaiting_Add(), PsWaiting_Remove() - Adds a task to the end of the queue,
 * or takes it from there if it waits.
 */
void PsWaiting_Add(ps_scheduler_t *scheduler, ps_task_t *task, int64_t now_ms);
void PsWaiting_Remove(ps_scheduler_t *scheduler, ps_task_t *task);

/**
 * PsWaiting_CountStart() - Counts a task that is started, for the start rates
 * of its rank and team.
 */
void PsWaiting_CountStart(ps_scheduler_t *scheduler, ps_task_t *task,
                          int64_t now_ms);

/**
 * PsWaiting_CountEnd() - Counts the time at a server of a task that ends
 * there.
 */
void PsWaiting_CountEnd(ps_scheduler_t *scheduler, ps_task_t *task,
                        int64_t now_ms);

/**
 * PsWaiting_Refuse() - Refuses a task, waiting or new.
 */
void PsWaiting_Refuse(ps_scheduler_t *scheduler, ps_task_t *task,
                      const char *reason, int64_t now_ms);

/**
 * PsWaiting_RefuseIfTooLate() - Refuses a new task if its first event would
 * come too late.
 *
 * Return: whether it did.
 */
bool PsWaiting_RefuseIfTooLate(ps_scheduler_t *scheduler, ps_task_t *task,
                               int64_t now_ms);

/**
 * PsWaiting_RefuseOverdue() - Refuses tasks that have reached their wait
 * deadline. A task that has become late is checked once, and refused if its
 * first event would come too late.
 */
void PsWaiting_RefuseOverdue(ps_scheduler_t *scheduler, int64_t now_ms);

#endif
