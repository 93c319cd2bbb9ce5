/*
 * quota.h - Meters what a team has spent in a sliding window.
 *
 * A quota of a rate and a burst allows rate x window + burst units in any
 * window. Each daemon meters the requests that it admits and reports the sums
 * to the allocator. Without grants each daemon stays within an even share, so
 * that the sum over all daemons stays bounded even if they cannot reach each
 * other. Load pattern: one team sends many times its usual load, to all
 * daemons at once, also right after its quota was lowered. Does no I/O; all
 * times are passed in.
 */
#ifndef PS_QUOTA_H
#define PS_QUOTA_H

#include <stdbool.h>
#include <stdint.h>

/* Buckets of the window: 32 that make up its length and the current one */
#define PS_QUOTA_BUCKETS 33

/**
 * struct ps_quota_settings - The window, and how far a quota may be exceeded.
 * @window_s: length of the sliding window, seconds
 * @overage: fraction of rate x window + burst that may be spent beyond it
 * @slack: units that may be spent beyond it as well
 */
typedef struct ps_quota_settings {
    double window_s;
    double overage;
    double slack;
} ps_quota_settings_t;

/**
 * struct ps_quota - Spending of one team, at one daemon or over all.
 */
typedef struct ps_quota {
    double limit; /* units in a window over all daemons; 0: no quota */
    int64_t bucket_ms;
    int64_t current; /* number of the newest bucket: its time / bucket_ms */
    double spent[PS_QUOTA_BUCKETS];
    double bucket_limits[PS_QUOTA_BUCKETS]; /* highest limit in force when the
                                               bucket was charged; 0: unknown
                                             */
    double total_spent;    /* units charged since the start, less refunds */
    int64_t known_from_ms; /* spending before then is unknown; 0: there was
                              none */
} ps_quota_t;

/**
 * struct ps_quota_terms - A team's quota as a token bucket over all daemons.
 *
 * The bucket holds at most @burst + @extra units. Daemons may hold claims to
 * @bridge units more than it has, while a change of their claims is on its
 * way. Requests that are beyond the quota by so little that this may be an
 * error of the order in which they were reported get @lenience units in a
 * window, and as many in addition when none were given before. In any window
 * of w seconds at most
 * @rate x w + @burst + @extra + @bridge + 2 x @lenience units are spent.
 */
typedef struct ps_quota_terms {
    double rate;   /* units per second; 0: no quota */
    double burst;  /* units */
    double extra;  /* units of the tolerance that may be spent */
    double bridge; /* units of the tolerance that overlapping claims may use */
    double lenience; /* units of the tolerance */
    double window_s;
} ps_quota_terms_t;

/**
 * PsQuota_ComputeTerms() - Computes the token bucket of a quota.
 */
ps_quota_terms_t PsQuota_ComputeTerms(double rate, double burst,
                                      const ps_quota_settings_t *settings);

/**
 * PsQuota_ComputeLimit() - Computes the units that may be spent in any window.
 * @rate: units per second over all daemons; 0: no quota
 * @burst: units in addition to the rate
 */
double PsQuota_ComputeLimit(double rate, double burst,
                            const ps_quota_settings_t *settings);

/**
 * PsQuota_SetLimit() - Sets the limit and the window.
 *
 * What was spent before remains charged. Under a lowered limit it is scaled
 * down in proportion, so that a team within its quota is not refused for what
 * the higher limit allowed before.
 * @limit: units in a window; 0: no quota
 */
void PsQuota_SetLimit(ps_quota_t *quota, double limit, double window_s);

/**
 * PsQuota_GetSpent() - Returns the units spent in the window before now.
 */
double PsQuota_GetSpent(ps_quota_t *quota, int64_t now_ms);

/**
 * PsQuota_GetSpentBetween() - Returns the units spent in a part of the window.
 * @from_ms, @to_ms: ages of its ends, @from_ms being the lesser; in whole
 * buckets
 */
double PsQuota_GetSpentBetween(ps_quota_t *quota, int64_t from_ms,
                               int64_t to_ms, int64_t now_ms);

/**
 * PsQuota_ChargePast() - Charges units that were spent some time ago; they do
 * not count in the total.
 */
void PsQuota_ChargePast(ps_quota_t *quota, double units, int64_t age_ms,
                        int64_t now_ms);

/**
 * PsQuota_Charge() - Charges units now.
 */
void PsQuota_Charge(ps_quota_t *quota, double units, int64_t now_ms);

/**
 * PsQuota_ChargeEvenShare() - Charges units if they fit into an even share of
 * the limit.
 * @n_daemons: daemons that share the limit
 *
 * During the first window after the quota's known_from_ms the share grows
 * linearly from 0 to its full size. A request larger than the full share
 * counts as the share, so that it passes when nothing else was spent.
 *
 * Return: false if they do not fit; nothing is charged then.
 */
bool PsQuota_ChargeEvenShare(ps_quota_t *quota, double units, int n_daemons,
                             int64_t now_ms);

/**
 * PsQuota_Refund() - Gives back the units of a request that did not run, from
 * the newest charges first.
 */
void PsQuota_Refund(ps_quota_t *quota, double units);

#endif
