/* quota.c - Spending in a sliding window of buckets. */
#include "quota.h"

#include <glib.h>

#define TOLERANCE_USED 0.5 /* of overage and slack; rounds are not exact */

/* ---- Internal functions ----------------------------------------------- */

static void
move_window(ps_quota_t *quota, int64_t now_ms)
{
    int64_t bucket = now_ms / MAX(quota->bucket_ms, 1);
    int64_t first = MAX(quota->current + 1, bucket - PS_QUOTA_BUCKETS + 1);
    for (int64_t b = first; b <= bucket; b++) {
        quota->spent[b % PS_QUOTA_BUCKETS] = 0;
        quota->bucket_limits[b % PS_QUOTA_BUCKETS] = 0;
    }
    quota->current = MAX(quota->current, bucket);
}

static void
add(ps_quota_t *quota, int64_t bucket, double units)
{
    int i = (int)(bucket % PS_QUOTA_BUCKETS);
    quota->spent[i] += units;
    quota->bucket_limits[i] = MAX(quota->bucket_limits[i], quota->limit);
}

// Returns what was spent in a part of the window as it counts now.
static double
count(const ps_quota_t *quota, int i)
{
    bool is_lowered =
        quota->limit > 0 && quota->bucket_limits[i] > quota->limit;
    return is_lowered
               ? quota->spent[i] * quota->limit / quota->bucket_limits[i]
               : quota->spent[i];
}

// Returns the share of the window that lies after the start.
static double
get_open_share(const ps_quota_t *quota, int64_t now_ms)
{
    double window_ms = (double)quota->bucket_ms * (PS_QUOTA_BUCKETS - 1);
    return quota->known_from_ms > 0 && window_ms > 0
               ? MIN((double)(now_ms - quota->known_from_ms) / window_ms, 1.0)
               : 1.0;
}

/* ---- Public functions ------------------------------------------------- */

double
PsQuota_ComputeLimit(double rate, double burst,
                     const ps_quota_settings_t *terms)
{
    if (rate <= 0) {
        return 0;
    }
    double plain = rate * terms->window_s + burst;
    return plain + TOLERANCE_USED * (terms->overage * plain + terms->slack);
}

void
PsQuota_SetLimit(ps_quota_t *quota, double limit, double window_s)
{
    quota->limit = limit;
    quota->bucket_ms = (int64_t)(window_s * 1000.0 / (PS_QUOTA_BUCKETS - 1));
}

double
PsQuota_GetSpent(ps_quota_t *quota, int64_t now_ms)
{
    move_window(quota, now_ms);
    double spent = 0;
    for (int i = 0; i < PS_QUOTA_BUCKETS; i++) {
        spent += count(quota, i);
    }
    return spent;
}

double
PsQuota_GetSpentBetween(ps_quota_t *quota, int64_t from_ms, int64_t to_ms,
                        int64_t now_ms)
{
    move_window(quota, now_ms);
    int64_t width = MAX(quota->bucket_ms, 1);
    double spent = 0;
    for (int64_t back = from_ms / width; back < to_ms / width; back++) {
        int64_t bucket = quota->current - back;
        if (back < PS_QUOTA_BUCKETS && bucket >= 0) {
            spent += count(quota, (int)(bucket % PS_QUOTA_BUCKETS));
        }
    }
    return spent;
}

void
PsQuota_ChargePast(ps_quota_t *quota, double units, int64_t age_ms,
                   int64_t now_ms)
{
    move_window(quota, now_ms);
    int64_t back = age_ms / MAX(quota->bucket_ms, 1);
    int64_t bucket = quota->current - back;
    if (back < PS_QUOTA_BUCKETS && bucket >= 0) {
        add(quota, bucket, units);
    }
}

void
PsQuota_Charge(ps_quota_t *quota, double units, int64_t now_ms)
{
    move_window(quota, now_ms);
    add(quota, quota->current, units);
    quota->total_spent += units;
}

bool
PsQuota_ChargeEvenShare(ps_quota_t *quota, double units, int n_daemons,
                        int64_t now_ms)
{
    double part = quota->limit / MAX(n_daemons, 1);
    double needed = MIN(units, part);
    double open = part * get_open_share(quota, now_ms);
    if (quota->limit > 0 && PsQuota_GetSpent(quota, now_ms) + needed > open) {
        return false;
    }
    PsQuota_Charge(quota, units, now_ms);
    return true;
}

void
PsQuota_Refund(ps_quota_t *quota, double units)
{
    quota->total_spent -= units;
    for (int back = 0; back < PS_QUOTA_BUCKETS && units > 0; back++) {
        int64_t bucket = quota->current - back;
        if (bucket < 0) {
            return;
        }
        double *spent = &quota->spent[bucket % PS_QUOTA_BUCKETS];
        double taken = MIN(*spent, units);
        *spent -= taken;
        units -= taken;
    }
}
