/*
 * quota_pools.h - The allocator's token buckets, one for each team.
 *
 * A team's pool is the sum of the claims that daemons have brought in, minus
 * what they have reported as spent, plus refill at the part of the rate that
 * belongs to them. All of it is dealt to the daemons as claims, evenly, so
 * that nothing is lost with the allocator. A request that doesn't fit a
 * daemon's claim is decided here, in order of arrival: it is granted if the
 * team's token bucket has room for it, or if the tolerance has some left. A
 * claim counts in full until the daemon has confirmed a lower one; while
 * claims overlap, their sum may exceed the pool by a bounded part of the
 * tolerance. Does no I/O; all times are passed in.
 */
#ifndef PS_QUOTA_POOLS_H
#define PS_QUOTA_POOLS_H

#include "quota_share.h"
#include "str.h"

/**
 * struct ps_quota_daemon - A daemon whose claims are in the pools.
 */
typedef struct ps_quota_daemon {
    ps_name_t name;
    uint32_t join;      /* rises each time it brings in its claims */
    uint32_t left_join; /* its claims of then were taken out, since it was
                           silent; 0: none were */
    int64_t heard_ms;   /* time of its last report */
} ps_quota_daemon_t;

/**
 * struct ps_quota_use - A daemon's use of one team's quota, as it reports it.
 */
typedef struct ps_quota_use {
    double total;               /* units since its start, less refunds */
    double ceiling;             /* in force there */
    bool is_new;                /* no allocator has had its claim before */
    const ps_quota_ask_t *asks; /* requests that wait for a verdict */
    size_t n_asks;
} ps_quota_use_t;

/**
 * struct ps_quota_claim - A daemon's claim to one team's pool.
 */
typedef struct ps_quota_claim {
    ps_quota_daemon_t *daemon;
    double total;    /* as last reported */
    double acked;    /* ceiling in force there, as last reported */
    double told;     /* ceiling last told */
    double highest;  /* highest ceiling that may be in force there */
    double granted;  /* units of granted requests that are not in @total yet */
    GArray *unacked; /* double: ceilings that may be in force there, the oldest
                        first */
    GArray *asks;    /* ps_quota_ask_t */
    int64_t sent_ms; /* when it was told the last time */
    bool must_send;
    bool is_new; /* no allocator has had it before */
} ps_quota_claim_t;

/**
 * struct ps_quota_pool - One team's token bucket.
 */
typedef struct ps_quota_pool {
    ps_quota_terms_t terms;
    double level;         /* units that daemons may spend, dealt or not */
    double reference;     /* level of a bucket of the rate and burst alone, at
                             @reference_ms */
    int64_t reference_ms; /* earlier than the present, so that requests are
                             decided in order of arrival */
    double lenience; /* units left for requests that are beyond the quota by
                        little */
    double credit;   /* units for daemons that have all started anew, by the
                        stored usage */
    double lost;     /* units that the reference bucket may lack, because they
                        went with daemons that are silent */
    int64_t lost_until_ms; /* they count up to then */
    int64_t settled_ms;    /* until then claims are being brought in; 0: there
                              are none */
    bool has_settled;
    int64_t refilled_ms;
    int n_daemons;      /* all that share the quota */
    GHashTable *claims; /* name of a daemon to ps_quota_claim_t */
} ps_quota_pool_t;

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
                         const ps_name_t *team, const ps_quota_use_t *use,
                         int64_t now_ms);

/**
 * PsQuotaPools_Divide() - Refills the pools, decides on waiting requests and
 * sets the ceilings of daemons' claims.
 * @n_daemons: all daemons, reporting or not
 */
void PsQuotaPools_Divide(ps_quota_pools_t *pools, int n_daemons,
                         int64_t now_ms);

/**
 * PsQuotaPools_TakeGrant() - Finds what a daemon is to be told of a team.
 *
 * Return: its claim, with the ceiling and the verdicts; NULL: nothing is new.
 */
const ps_quota_claim_t *PsQuotaPools_TakeGrant(ps_quota_pool_t *pool,
                                               ps_quota_daemon_t *daemon,
                                               int64_t now_ms);

#endif
