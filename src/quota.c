/* quota.c - Spending in a sliding window of buckets. */
#include "quota.h"

#include <glib.h>

#define TOLERANCE_USED 0.5 /* of overage and slack; rounds are not exact */

/* ---- Internal functions ----------------------------------------------- */

static void
move_window(ps_quota_t *quota, int64_t now_ms)
{
    int64_t bucket = now_ms / MAX(quota->bucket_ms, 1);
    int64_t first =
        MAX(quota->current + 1, bucket - PS_QUOTA_BUCKETS + 1);
    for (int64_t b = first; b <= bucket; b++) {
        quota->spent[b % PS_QUOTA_BUCKETS] = 0;
    }
    quota->current = MAX(quota->current, bucket);
}

/* ---- Public functions ------------------------------------------------- */

double
PsQuota_GetLimit(double rate, double burst, const ps_quota_terms_t *terms)
{
    if (rate <= 0) {
        return 0;
    }
    double plain = rate * terms->window_s + burst;
    return plain + TOLERANCE_USED * (terms->overage * plain + terms->slack);
}

void
PsQuota_Set(ps_quota_t *quota, double limit, double window_s,
            int64_t started_ms)
{
    quota->limit = limit;
    quota->started_ms = started_ms;
    quota->bucket_ms =
        (int64_t)(window_s * 1000.0 / (PS_QUOTA_BUCKETS - 1));
}

double
PsQuota_GetSpent(ps_quota_t *quota, int n_daemons, int64_t now_ms)
{
    move_window(quota, now_ms);
    double window_ms = (double)quota->bucket_ms * (PS_QUOTA_BUCKETS - 1);
    double unknown_ms = window_ms - (double)(now_ms - quota->started_ms);
    double spent = MAX(unknown_ms, 0.0) / MAX(window_ms, 1.0) *
                   quota->limit / MAX(n_daemons, 1);
    for (int i = 0; i < PS_QUOTA_BUCKETS; i++) {
        spent += quota->spent[i];
    }
    return spent;
}

void
PsQuota_Charge(ps_quota_t *quota, double units, int64_t now_ms)
{
    move_window(quota, now_ms);
    quota->spent[quota->current % PS_QUOTA_BUCKETS] += units;
    quota->total += units;
}

bool
PsQuota_TakeEven(ps_quota_t *quota, double units, int n_daemons,
                 int64_t now_ms)
{
    double part = quota->limit / MAX(n_daemons, 1);
    double needed = MIN(units, part);
    if (quota->limit > 0 &&
        PsQuota_GetSpent(quota, n_daemons, now_ms) + needed > part) {
        return false;
    }
    PsQuota_Charge(quota, units, now_ms);
    return true;
}

void
PsQuota_Return(ps_quota_t *quota, double units)
{
    double *newest = &quota->spent[quota->current % PS_QUOTA_BUCKETS];
    *newest = MAX(*newest - units, 0.0);
    quota->total -= units;
}
