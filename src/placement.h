/*
 * placement.h - Choice of a server for a task.
 *
 * One cost function compares the servers that have a free slot for it. It
 * predicts times from what the allocator has learned over all daemons, or
 * without that from this daemon's own samples. Does no I/O; all times are
 * passed in.
 */
#ifndef PS_PLACEMENT_H
#define PS_PLACEMENT_H

#include "scheduler.h"

// Time for which a told pace is used: each is told again at a shorter
// interval, so that this covers the loss of an allocator and its successor's
// first seconds.
#define PS_PACE_TTL_MS 12000

/**
 * struct ps_placement_cost - Terms of the cost of a place, in milliseconds.
 * The last three are 0 without a learned pace.
 */
typedef struct ps_placement_cost {
    double first_event_ms; /* predicted until the first event, or for a plain
                              answer */
    double output_ms;      /* weighted time of the rest of the answer */
    double load_ms;        /* by this daemon's running requests there */
    double lateness_ms;    /* predicted first event after the objective */
    double deadline_ms;    /* for an answer that ends after the deadline */
    double domain_ms;      /* for a server of another failure domain */
} ps_placement_cost_t;

/**
 * struct ps_placement_prediction - Predicted times of a task sent now.
 */
typedef struct ps_placement_prediction {
    bool is_learned; /* from a told pace */
    double first_event_ms;
    double output_ms; /* from the first event to the end */
} ps_placement_prediction_t;

/**
 * PsPlacement_Predict() - Predicts a task's times at a server.
 */
ps_placement_prediction_t PsPlacement_Predict(const ps_scheduler_t *scheduler,
                                              const ps_backend_t *backend,
                                              const ps_task_t *task,
                                              int64_t now_ms);

/**
 * PsPlacement_GetCost() - Returns the terms of the cost of placing a task at
 * a server.
 */
ps_placement_cost_t PsPlacement_GetCost(const ps_scheduler_t *scheduler,
                                        const ps_backend_t *backend,
                                        const ps_task_t *task, int64_t now_ms);

/**
 * PsPlacement_GetPrefillTokens() - Returns the prompt tokens beyond the
 * longest prefix that the server has cached.
 */
double PsPlacement_GetPrefillTokens(const ps_backend_t *backend,
                                    const ps_task_t *task, int64_t now_ms);

/**
 * PsPlacement_HasFreeSlot() - Tells whether this daemon may send a request to
 * a server now.
 */
bool PsPlacement_HasFreeSlot(const ps_scheduler_t *scheduler,
                             const ps_backend_t *backend, int64_t now_ms);

/**
 * PsPlacement_FindBest() - Returns the server of least cost that has a free
 * slot and was not tried yet; NULL: none.
 */
ps_backend_t *PsPlacement_FindBest(const ps_scheduler_t *scheduler,
                                   const ps_task_t *task, int64_t now_ms);

/**
 * PsPlacement_SetPace() - Sets a server's pace as the allocator told it.
 */
void PsPlacement_SetPace(ps_backend_t *backend, const ps_server_pace_t *pace,
                         int64_t now_ms);

/**
 * PsPlacement_UpdateMedian() - Computes the pace that is assumed at servers
 * without a told one; to be called after paces were set.
 */
void PsPlacement_UpdateMedian(ps_scheduler_t *scheduler, int64_t now_ms);

#endif
