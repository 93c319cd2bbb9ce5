/*
 * rollout.h - Steps, exposure and verdict of one roll-out of a version.
 *
 * Used by the allocator while an order is in force that moves a service to
 * servers of another version, the target. Daemons report how many requests
 * they got and sent to the target, and how answers of both versions ended. The
 * roll-out says how many requests each daemon may send to the target, compares
 * the versions by route, and ends the roll-out. docs/design/rollouts.md has
 * the reasons for the steps and the figures of the test. Does no I/O; all
 * times are passed in, in milliseconds of one clock.
 */
#ifndef PS_ROLLOUT_H
#define PS_ROLLOUT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "rollout_evidence.h"
#include "str.h"

#define PS_ROLLOUT_ALTS 3 /* rates of bad answers that are tested for */

/**
 * enum ps_rollout_step - Steps of a roll-out, in order. The last two are
 * final.
 */
typedef enum ps_rollout_step {
    PS_ROLLOUT_CANARY, /* a part of the requests goes to the target */
    PS_ROLLOUT_LAST,   /* new requests go to the target, older ones end */
    PS_ROLLOUT_DONE,
    PS_ROLLOUT_BACK /* rolled back */
} ps_rollout_step_t;

/**
 * struct ps_rollout_order - What bounds a roll-out.
 */
typedef struct ps_rollout_order {
    int64_t started_ms; /* when the order was written */
    int64_t limit_ms;   /* its time limit */
    double exposure;    /* share of all requests that may go to the target */
    double slack;       /* requests in addition */
} ps_rollout_order_t;

/**
 * struct ps_rollout_daemon - What one daemon has reported.
 */
typedef struct ps_rollout_daemon {
    ps_name_t name;
    uint64_t arrived;   /* requests since the order was known there */
    uint64_t sent;      /* of these, sent to the target */
    uint64_t limit;     /* @sent may grow to this */
    int64_t granted_ms; /* when @limit last rose */
    int64_t reported_ms;
    uint64_t next_answer; /* number of the next sample that counts */
    int running_old;      /* its requests at servers of other versions */
    int free_slots;       /* granted at servers of the target */
    double weight;        /* decayed number of requests */
    double credit;        /* fraction of a request that it may send */
} ps_rollout_daemon_t;

/**
 * struct ps_rollout - One roll-out at the allocator.
 */
typedef struct ps_rollout {
    ps_rollout_order_t order;
    ps_rollout_step_t step;
    bool is_written;     /* the store has the status of a final step */
    const char *reason;  /* why it has ended; NULL before */
    GHashTable *daemons; /* name to ps_rollout_daemon_t */
    ps_rollout_evidence_t evidence;
    uint64_t gone_sent; /* by daemons that are not in @daemons */
    uint64_t gone_arrived;
    uint64_t restored_sent; /* of a record, by daemons that haven't reported */
    uint64_t restored_arrived;
    double rate; /* requests per millisecond over all daemons */
    uint64_t rated_arrivals;
    int64_t rated_ms;
    int n_new;           /* servers of the target that take new work */
    int n_old;           /* of other versions */
    int n_canaries;      /* servers of the target that are used */
    int n_active;        /* of these, at a time */
    int canary_slots;    /* of these */
    int64_t widened_ms;  /* when @n_canaries last rose */
    int64_t released_ms; /* when requests were last granted */
    int64_t write_ms;    /* time that a write to the store takes */
} ps_rollout_t;

void PsRollout_Init(ps_rollout_t *rollout, const ps_rollout_order_t *order,
                    int64_t now_ms);
void PsRollout_Finish(ps_rollout_t *rollout);

/**
 * PsRollout_Restore() - Takes the counts of a record of another allocator.
 *
 * What a daemon reports first is part of them.
 */
void PsRollout_Restore(ps_rollout_t *rollout, uint64_t arrived, uint64_t sent);

/**
 * PsRollout_GetDaemon() - Finds or adds a daemon; owned by the roll-out.
 */
ps_rollout_daemon_t *PsRollout_GetDaemon(ps_rollout_t *rollout,
                                         const ps_name_t *name);

/**
 * PsRollout_HandleUse() - Takes the counts of a daemon's report, since the
 * daemon learnt of the order.
 *
 * Lower counts than before are those of a new start of the daemon.
 */
void PsRollout_HandleUse(ps_rollout_t *rollout, const ps_name_t *name,
                         uint64_t arrived, uint64_t sent, int running_old,
                         int64_t now_ms);

/**
 * PsRollout_HandleStep() - Takes the step that a daemon knows of, from this or
 * another allocator. A roll-back by another one holds.
 */
void PsRollout_HandleStep(ps_rollout_t *rollout, ps_rollout_step_t step);

/**
 * PsRollout_HandleAnswer() - Takes a sample; rolls back if the target has
 * become too bad.
 */
void PsRollout_HandleAnswer(ps_rollout_t *rollout,
                            const ps_rollout_answer_t *answer, int64_t now_ms);

/**
 * PsRollout_SetServers() - Sets how many servers there are.
 * @slots: of each server of the target
 */
void PsRollout_SetServers(ps_rollout_t *rollout, int n_old, int n_new,
                          int slots);

/**
 * PsRollout_GetDoneTime() - Returns when the status `done` is to be written.
 */
int64_t PsRollout_GetDoneTime(const ps_rollout_t *rollout);

/**
 * PsRollout_ListHeldRoutes() - Lists the routes of which the target has had
 * more requests than of others. Their requests go to the old version for now,
 * so that faults on rare routes show as early.
 * @routes: receives at most PS_ROLLOUT_HELD_MAX hashes
 *
 * Return: their number.
 */
int PsRollout_ListHeldRoutes(const ps_rollout_t *rollout, uint32_t *routes);

/**
 * PsRollout_IsInUse() - Tells whether a server of the target may get new
 * requests. In the canary step few are used at a time, in turns: these are
 * fully loaded.
 * @index: of the server among those of the target, in an order that stays
 */
bool PsRollout_IsInUse(const ps_rollout_t *rollout, int index, int64_t now_ms);

/**
 * PsRollout_Run() - Takes the next step if it is due.
 *
 * Return: whether a step was taken.
 */
bool PsRollout_Run(ps_rollout_t *rollout, int64_t now_ms);

/**
 * PsRollout_Divide() - Sets how many requests each daemon may send to the
 * target: ps_rollout_daemon_t.limit.
 * @n_daemons: all daemons, reporting or not
 */
void PsRollout_Divide(ps_rollout_t *rollout, int n_daemons, int64_t now_ms);

/**
 * PsRollout_RollBack() - Ends a roll-out unless its end was written.
 * @reason: a string that is never freed
 */
void PsRollout_RollBack(ps_rollout_t *rollout, const char *reason);

/**
 * PsRollout_GetToldStep() - Returns the step that daemons are told: the target
 * alone is used only from when the store has the status.
 */
ps_rollout_step_t PsRollout_GetToldStep(const ps_rollout_t *rollout);

uint64_t PsRollout_CountSent(const ps_rollout_t *rollout);
uint64_t PsRollout_CountArrived(const ps_rollout_t *rollout);

#endif
