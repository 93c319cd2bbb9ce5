/*
 * rollout_use.h - One daemon's part in a roll-out of one service.
 *
 * Holds what the daemon knows of the order, says which servers a request may
 * be sent to, and records what daemons report: requests, those sent to the
 * target version, and samples of answers. A daemon that isn't sure sends to
 * the old version only. Does no I/O; all times are passed in.
 */
#ifndef PS_ROLLOUT_USE_H
#define PS_ROLLOUT_USE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "rollout.h"
#include "str.h"

#define PS_ROLLOUT_VERSIONS_MAX 8     /* versions known at a time */
#define PS_ROLLOUT_ANSWERS_KEPT 20000 /* samples kept for a new allocator */

/**
 * struct ps_known_version - A version that the service has servers of.
 */
typedef struct ps_known_version {
    uint64_t version; /* as in ps_backend_t */
    int64_t seen_ms;  /* when its first server was seen */
    bool is_present;
} ps_known_version_t;

/**
 * struct ps_rollout_request - What counts of a request.
 */
typedef struct ps_rollout_request {
    uint32_t route; /* hash of its name */
    double run_ms;  /* how long it is expected to run */
} ps_rollout_request_t;

/**
 * struct ps_rollout_use - Owned by the service's scheduler. All zero:
 * roll-outs are off.
 */
typedef struct ps_rollout_use {
    bool is_on;      /* the setting rollout_exposure is above 0 */
    uint64_t order;  /* identifies the order; 0: none is known */
    uint64_t target; /* version, as in ps_backend_t */
    ps_rollout_step_t step;
    uint64_t arrived; /* requests since the order is known */
    uint64_t sent;    /* of these, sent to the target */
    uint64_t limit;   /* @sent may grow to this */
    int64_t limit_until_ms;
    int64_t done_ms; /* when the old servers may stop, in the last step */
    uint32_t held_routes[PS_ROLLOUT_HELD_MAX];
    int n_held_routes;     /* their requests go to the old version for now */
    GArray *answers;       /* ps_rollout_answer_t */
    uint64_t first_answer; /* number of the first one in @answers */
    uint64_t next_report;  /* number of the next one to report */
    uint64_t reported_to;  /* hash of the name of the allocator that gets them
                            */
    uint64_t blocked; /* target of an earlier order that was not done; 0: none
                       */
    bool is_removed;  /* the order was removed */
    ps_known_version_t versions[PS_ROLLOUT_VERSIONS_MAX];
    int n_versions;
} ps_rollout_use_t;

void PsRolloutUse_Finish(ps_rollout_use_t *use);

/**
 * PsRolloutUse_SetOrder() - Takes what is known of an order. The step of a
 * known order never goes back.
 * @order: 0: there is none
 */
void PsRolloutUse_SetOrder(ps_rollout_use_t *use, uint64_t order,
                           uint64_t target, ps_rollout_step_t step);

/**
 * PsRolloutUse_HandleRemoval() - The order was removed. A target that was not
 * done stays unused as long as there are servers of another version.
 */
void PsRolloutUse_HandleRemoval(ps_rollout_use_t *use);

/**
 * PsRolloutUse_SetLimit() - Permits requests to the target.
 * @limit: of @sent
 */
void PsRolloutUse_SetLimit(ps_rollout_use_t *use, uint64_t limit,
                           int64_t until_ms);

/**
 * PsRolloutUse_SetVersions() - Takes the versions of the servers that take new
 * work.
 */
void PsRolloutUse_SetVersions(ps_rollout_use_t *use, const uint64_t *versions,
                              int n, int64_t now_ms);

/**
 * PsRolloutUse_MayPlace() - Tells whether a new request may be sent to a
 * server of this version.
 *
 * A version that turns up beside another one is not used for some seconds
 * unless an order names it: its order may not be known here yet.
 */
bool PsRolloutUse_MayPlace(const ps_rollout_use_t *use,
                           const ps_rollout_request_t *request,
                           uint64_t version, int64_t now_ms);

/**
 * PsRolloutUse_IsExcluded() - Tells whether servers of this version get no
 * requests at all for now.
 */
bool PsRolloutUse_IsExcluded(const ps_rollout_use_t *use, uint64_t version,
                             int64_t now_ms);

/**
 * PsRolloutUse_Prefers() - Tells whether a server of this version comes before
 * others: one of the target, as far as requests may be sent there.
 */
bool PsRolloutUse_Prefers(const ps_rollout_use_t *use, uint64_t version);

/**
 * PsRolloutUse_IsRunning() - Tells whether an order is being carried out, so
 * that samples are recorded.
 */
bool PsRolloutUse_IsRunning(const ps_rollout_use_t *use);
void PsRolloutUse_AddArrival(ps_rollout_use_t *use);
void PsRolloutUse_AddStart(ps_rollout_use_t *use, uint64_t version);
void PsRolloutUse_AddAnswer(ps_rollout_use_t *use,
                            const ps_rollout_answer_t *answer);

#endif
