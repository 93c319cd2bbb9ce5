/*
 * quota.h - What a team has spent in a sliding window, and what is left.
 *
 * A quota of a rate and a burst allows rate x window + burst in any window.
 * Each daemon meters what it lets pass itself; the sums are reported to the
 * allocator, and without grants each daemon keeps to an even part, so that
 * the sum over all daemons stays bounded whichever of them cannot reach each
 * other. Load pattern: one team sends many times its usual, at all daemons at
 * once, also right after its quota was lowered. Pure: time is an argument.
 */
#ifndef PS_QUOTA_H
#define PS_QUOTA_H

#include <stdbool.h>
#include <stdint.h>

#define PS_QUOTA_BUCKETS                                                      \
    33 /* parts of the window, one of them in progress                        \
        */

/**
 * struct ps_quota_settings - The window, and how far a quota may be exceeded.
 * @window_s: span over which the sum is judged, seconds
 * @overage: share by which rate and burst may be exceeded
 * @slack: units that may be exceeded besides
 */
typedef struct ps_quota_settings {
    double window_s;
    double overage;
    double slack;
} ps_quota_settings_t;

/**
 * struct ps_quota - One team at one daemon.
 */
typedef struct ps_quota {
    double limit; /* units in a window over all daemons; 0: no quota */
    int64_t bucket_ms;
    int64_t current; /* number of the newest bucket */
    double spent[PS_QUOTA_BUCKETS];
    double bucket_limits[PS_QUOTA_BUCKETS]; /* in force when that was spent; 0:
                                        not known */
    double total_spent;                     /* units since the start */
    int64_t
        known_from_ms; /* what was spent before is unknown; 0: nothing was */
} ps_quota_t;

/**
 * PsQuota_ComputeLimit() - Works out what any window may hold.
 * @rate: units a second over all daemons; 0: no quota
 * @burst: units besides
 */
double PsQuota_ComputeLimit(double rate, double burst,
                            const ps_quota_settings_t *terms);

/**
 * PsQuota_SetLimit() - Sets limit and window.
 *
 * What was spent stays spent. Under a lowered limit it counts in proportion,
 * so that a team within its quota is not refused for what the higher one
 * allowed before.
 */
void PsQuota_SetLimit(ps_quota_t *quota, double limit, double window_s);

/**
 * PsQuota_GetSpent() - Returns the units spent in the window before now.
 */
double PsQuota_GetSpent(ps_quota_t *quota, int64_t now_ms);

/**
 * PsQuota_GetSpentBetween() - Returns the units spent in a part of the window.
 * @from_ms, @to_ms: ages, @from_ms being the lesser
 */
double PsQuota_GetSpentBetween(ps_quota_t *quota, int64_t from_ms,
                               int64_t to_ms, int64_t now_ms);

/**
 * PsQuota_ChargePast() - Notes units that were spent some time ago.
 */
void PsQuota_ChargePast(ps_quota_t *quota, double units, int64_t age_ms,
                        int64_t now_ms);

/**
 * PsQuota_Charge() - Spends units.
 */
void PsQuota_Charge(ps_quota_t *quota, double units, int64_t now_ms);

/**
 * PsQuota_ChargeEvenShare() - Spends units if an even part of the limit allows
 * it.
 * @n_daemons: daemons that share the limit
 *
 * In the first window after @begun_ms the part opens evenly.
 */
bool PsQuota_ChargeEvenShare(ps_quota_t *quota, double units, int n_daemons,
                             int64_t now_ms);

/**
 * PsQuota_Refund() - Gives back units of a request that did not run, the
 * newest ones first.
 */
void PsQuota_Refund(ps_quota_t *quota, double units);

#endif
