/*
 * quota_pool.h - The allocator's token bucket of one team.
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
#ifndef PS_QUOTA_POOL_H
#define PS_QUOTA_POOL_H

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
 * PsQuotaPool_New() - Makes an empty pool, freed with PsQuotaPool_Free().
 */
ps_quota_pool_t *PsQuotaPool_New(void);
void PsQuotaPool_Free(gpointer data);

/**
 * PsQuotaPool_Empty() - Forgets all claims.
 */
void PsQuotaPool_Empty(ps_quota_pool_t *pool);

/**
 * PsQuotaPool_RemoveDaemon() - Takes a daemon's claim out of the pool.
 */
void PsQuotaPool_RemoveDaemon(ps_quota_pool_t *pool,
                              const ps_quota_daemon_t *daemon, int64_t now_ms);

/**
 * PsQuotaPool_SetUse() - Takes a daemon's use of the quota, and its claim if
 * it is not in the pool.
 */
void PsQuotaPool_SetUse(ps_quota_pool_t *pool, ps_quota_daemon_t *daemon,
                        const ps_quota_use_t *use);

/**
 * PsQuotaPool_Divide() - Refills the pool, decides on waiting requests and
 * sets the ceilings of daemons' claims.
 * @n_daemons: all daemons, reporting or not
 */
void PsQuotaPool_Divide(ps_quota_pool_t *pool, int n_daemons, int64_t now_ms);

/**
 * PsQuotaPool_TakeGrant() - Finds what a daemon is to be told of a team.
 *
 * Return: its claim, with the ceiling and the verdicts; NULL: nothing is new.
 */
const ps_quota_claim_t *PsQuotaPool_TakeGrant(ps_quota_pool_t *pool,
                                              ps_quota_daemon_t *daemon,
                                              int64_t now_ms);

#endif
