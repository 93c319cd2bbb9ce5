/*
 * quota_pools.h - The token buckets of all teams at the allocator, and the
 * daemons whose claims are in them. Does no I/O; all times are passed in.
 */
#ifndef PS_QUOTA_POOLS_H
#define PS_QUOTA_POOLS_H

#include "quota_pool.h"

/**
 * struct ps_quota_pools - All pools of an allocator.
 */
typedef struct ps_quota_pools {
    GHashTable *daemons; /* name to ps_quota_daemon_t */
    GHashTable *pools;   /* team to ps_quota_pool_t */
    uint64_t epoch;      /* of the allocator's state; 0: not in use. Daemons
                            bring in their claims again when it changes */
} ps_quota_pools_t;

void PsQuotaPools_Init(ps_quota_pools_t *pools);
void PsQuotaPools_Finish(ps_quota_pools_t *pools);

/**
 * PsQuotaPools_Reset() - Forgets all claims, which daemons have given to
 * another allocator in a pause of this one, or will bring in again.
 * @epoch: other than all before
 */
void PsQuotaPools_Reset(ps_quota_pools_t *pools, uint64_t epoch);

/**
 * PsQuotaPools_SetTerms() - Sets a team's quota.
 */
void PsQuotaPools_SetTerms(ps_quota_pools_t *pools, const ps_name_t *team,
                           const ps_quota_terms_t *terms);

/**
 * PsQuotaPools_SetCredit() - Sets what daemons that have all started anew may
 * spend at first.
 */
void PsQuotaPools_SetCredit(ps_quota_pools_t *pools, const ps_name_t *team,
                            double units);

/**
 * PsQuotaPools_HandleReport() - Notes a daemon's report. With another @join
 * than before, its claims are counted anew.
 *
 * Return: the daemon, owned by the pools; NULL: it was silent for too long and
 * has to bring in its claims again, with another @join.
 */
ps_quota_daemon_t *PsQuotaPools_HandleReport(ps_quota_pools_t *pools,
                                             const ps_name_t *name,
                                             uint32_t join, int64_t now_ms);

/**
 * PsQuotaPools_FindDaemon() - Finds a daemon whose claims are in the pools;
 * NULL: none of that name, or it has to bring them in again.
 */
ps_quota_daemon_t *PsQuotaPools_FindDaemon(const ps_quota_pools_t *pools,
                                           const ps_name_t *name);

/**
 * PsQuotaPools_RemoveDaemon() - Takes a daemon's claims out of the pools.
 */
void PsQuotaPools_RemoveDaemon(ps_quota_pools_t *pools, const ps_name_t *name,
                               int64_t now_ms);

/**
 * PsQuotaPools_SetUse() - Takes a daemon's use of a team's quota.
 */
void PsQuotaPools_SetUse(ps_quota_pools_t *pools, ps_quota_daemon_t *daemon,
                         const ps_name_t *team, const ps_quota_use_t *use);

/**
 * PsQuotaPools_Divide() - Refills the pools, decides on waiting requests and
 * sets the ceilings of daemons' claims.
 * @n_daemons: all daemons, reporting or not
 */
void PsQuotaPools_Divide(ps_quota_pools_t *pools, int n_daemons,
                         int64_t now_ms);

#endif
