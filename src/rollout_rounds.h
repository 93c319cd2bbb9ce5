/*
 * rollout_rounds.h - Roll-outs in the allocator's rounds, and their messages.
 *
 * Joins an operator's order in the store, the allocator's decisions
 * (rollout.h) and the daemons' placement (rollout_use.h). The allocator writes
 * a record before the first request goes to the target, so that the next
 * allocator goes on from it, and the status at each change. Writes name the
 * revision that they replace: of two allocators one learns of the other, and a
 * status never goes back from a final one.
 */
#ifndef PS_ROLLOUT_ROUNDS_H
#define PS_ROLLOUT_ROUNDS_H

#include "catalog.h"
#include "peer.pb-c.h"
#include "rollout.h"
#include "scheduler.h"
#include "settings.h"
#include "store_events.h"

struct ps_store_ops;

/**
 * enum ps_rollout_phase - How far the allocator is with an order.
 */
typedef enum ps_rollout_phase {
    PS_ROLLOUT_IDLE, /* the record is to be read */
    PS_ROLLOUT_READING,
    PS_ROLLOUT_STARTING, /* the first record is being written */
    PS_ROLLOUT_ACTIVE    /* ps_rollout_round_t.rollout is in use */
} ps_rollout_phase_t;

/**
 * struct ps_rollout_round - The order of one service at one daemon.
 */
typedef struct ps_rollout_round {
    ps_rollout_object_t object;
    bool is_removed;
    uint64_t target; /* hash of service and version */
    /* as the allocator */
    ps_rollout_phase_t phase;
    ps_rollout_t rollout;
    ps_rollout_record_t record;
    ps_rollout_step_t logged_step;
    int64_t allocator_ms;   /* when this daemon last was the allocator */
    int64_t next_read_ms;   /* the record is not read before */
    int64_t next_record_ms; /* the record is not written before */
    int64_t next_status_ms; /* the status is not written before */
    int64_t status_sent_ms; /* 0: no write of the status is in progress */
    int64_t record_sent_ms; /* likewise */
} ps_rollout_round_t;

/**
 * struct ps_rollout_context - What a round needs of the daemon.
 */
typedef struct ps_rollout_context {
    const struct ps_store_ops *store_ops;
    const ps_gateway_settings_t *settings;
    const ps_catalog_t *catalog; /* may be NULL */
    bool is_allocator;           /* for most members */
    int n_daemons;
} ps_rollout_context_t;

/**
 * PsRolloutRounds_New() - Returns a new order; freed with
 * PsRolloutRounds_Free(), which may get NULL.
 */
ps_rollout_round_t *PsRolloutRounds_New(void);
void PsRolloutRounds_Free(ps_rollout_round_t *round);

/**
 * PsRolloutRounds_HandleObject() - Takes an order as the store has it.
 */
void PsRolloutRounds_HandleObject(ps_rollout_round_t *round,
                                  ps_scheduler_t *scheduler,
                                  const ps_rollout_object_t *object);

/**
 * PsRolloutRounds_HandleRemoval() - Ends an order that was removed: the target
 * is not used any more, unless it was done.
 */
void PsRolloutRounds_HandleRemoval(ps_rollout_round_t *round,
                                   ps_scheduler_t *scheduler);
void PsRolloutRounds_HandleStatusWritten(ps_rollout_round_t *round,
                                         ps_scheduler_t *scheduler,
                                         ps_store_result_t result,
                                         const ps_rollout_object_t *object,
                                         int64_t now_ms);
void PsRolloutRounds_HandleRecordRead(ps_rollout_round_t *round,
                                      const ps_rollout_context_t *context,
                                      const ps_rollout_record_t *record,
                                      int64_t now_ms);
void PsRolloutRounds_HandleRecordWritten(ps_rollout_round_t *round,
                                         const ps_rollout_context_t *context,
                                         ps_store_result_t result,
                                         uint64_t revision, int64_t now_ms);

/**
 * PsRolloutRounds_HandleUse() - Takes a daemon's report; @use may be NULL.
 */
void PsRolloutRounds_HandleUse(ps_rollout_round_t *round,
                               const ps_name_t *from,
                               const Ps__RolloutUse *use, int64_t now_ms);

/**
 * PsRolloutRounds_Run() - Takes the steps that are due. To be called before
 * the slots of a round are divided.
 */
void PsRolloutRounds_Run(ps_rollout_round_t *round,
                         const ps_scheduler_t *scheduler,
                         const ps_rollout_context_t *context, int64_t now_ms);

/**
 * PsRolloutRounds_GrantsSlots() - Tells whether slots of a server are to be
 * divided; @round may be NULL.
 */
bool PsRolloutRounds_GrantsSlots(const ps_rollout_round_t *round,
                                 const ps_scheduler_t *scheduler,
                                 const ps_backend_t *backend, int64_t now_ms);

/**
 * PsRolloutRounds_SetFreeSlots() - Sets how many slots of the target's servers
 * a daemon was granted.
 */
void PsRolloutRounds_SetFreeSlots(ps_rollout_round_t *round,
                                  const ps_name_t *daemon, int n);

/**
 * PsRolloutRounds_MakeGrant() - Returns what a daemon is to know; NULL: there
 * is no order. Freed with PsRolloutRounds_FreeGrant(), which may get NULL.
 */
Ps__RolloutGrant *PsRolloutRounds_MakeGrant(const ps_rollout_round_t *round,
                                            const ps_name_t *daemon,
                                            int64_t now_ms);
void PsRolloutRounds_FreeGrant(Ps__RolloutGrant *grant);

/**
 * PsRolloutRounds_MakeUse() - Returns this daemon's report; NULL: no order is
 * known. Freed with PsRolloutRounds_FreeUse(), which may get NULL.
 * @allocator: that gets it; another one than before gets all samples again
 */
Ps__RolloutUse *PsRolloutRounds_MakeUse(ps_scheduler_t *scheduler,
                                        const ps_name_t *allocator);
void PsRolloutRounds_FreeUse(Ps__RolloutUse *use);

/**
 * PsRolloutRounds_ApplyGrant() - Takes the allocator's word; @grant may be
 * NULL.
 * @ttl_ms: how long the grant holds
 */
void PsRolloutRounds_ApplyGrant(ps_scheduler_t *scheduler,
                                const Ps__RolloutGrant *grant, int64_t ttl_ms,
                                int64_t now_ms);

/**
 * PsRolloutRounds_UpdateVersions() - Notes the versions of the servers that
 * take new work, if roll-outs are on.
 */
void PsRolloutRounds_UpdateVersions(ps_scheduler_t *scheduler, int64_t now_ms);

/**
 * PsRolloutRounds_PrintMetrics() - Prints the gauges of an order; @round may
 * be NULL.
 */
void PsRolloutRounds_PrintMetrics(const ps_rollout_round_t *round,
                                  ps_buf_t *out);

#endif
