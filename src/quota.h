/*
 * quota.h - A team's quota, shared out evenly over the daemons.
 *
 * Each daemon spends from a part of its own, so the sum over all daemons
 * stays bounded whichever of them cannot reach each other. Load pattern: one
 * team sends many times its usual, at all daemons at once, also right after
 * its quota was lowered. Pure: time is an argument.
 */
#ifndef PS_QUOTA_H
#define PS_QUOTA_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct ps_quota - What one daemon may still let pass of one team.
 */
typedef struct ps_quota {
    double rate;  /* per second, this daemon's part; 0: no quota */
    double depth; /* most that can be saved up */
    double level; /* may be negative after a large request */
    int64_t filled_ms;
} ps_quota_t;

/**
 * struct ps_quota_terms - How far a quota may be exceeded for a while.
 * @window_s: span over which the sum is judged, seconds
 * @overage: share by which rate and burst may be exceeded
 * @slack: units that may be exceeded besides
 */
typedef struct ps_quota_terms {
    double window_s;
    double overage;
    double slack;
} ps_quota_terms_t;

/**
 * PsQuota_Set() - Sets a daemon's part; what was spent stays spent.
 * @rate: team's units a second over all daemons; 0: no quota
 * @burst: team's burst over all daemons
 * @n_daemons: daemons that share it, at least 1
 */
void PsQuota_Set(ps_quota_t *quota, double rate, double burst, int n_daemons,
                 const ps_quota_terms_t *terms, int64_t now_ms);

/**
 * PsQuota_Take() - Spends units if the part allows it.
 * @wait_ms: receives the time after which it would be allowed
 */
bool PsQuota_Take(ps_quota_t *quota, double units, int64_t now_ms,
                  int64_t *wait_ms);

/**
 * PsQuota_Return() - Gives back units of a request that did not run.
 */
void PsQuota_Return(ps_quota_t *quota, double units);

#endif
