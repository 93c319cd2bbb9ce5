/* quota.c - Sliding window of buckets that meters a team's spending. */
#include "quota.h"

#include <glib.h>

// Fraction of overage and slack that is added to the limit. The rest absorbs
// the inexactness of the allocator's rounds.
#define TOLERANCE_USED 0.5

// Parts of the tolerance that a token bucket uses. The rest covers daemons
// that differ in their count of daemons for a moment, and refill that is
// counted twice when a daemon loses its allocator.
#define EXTRA_PART 0.3
#define BRIDGE_PART 0.3
#define LENIENCE_PART 0.1

/* ---- Internal functions ----------------------------------------------- */

// Moves the window to the present: clears the buckets that have left it, for
// reuse. A bucket of time is stored at its number modulo PS_QUOTA_BUCKETS.
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

// Charges units to a bucket, and notes the highest limit in force there.
static void
charge_bucket(ps_quota_t *quota, int64_t bucket, double units)
{
    int i = (int)(bucket % PS_QUOTA_BUCKETS);
    quota->spent[i] += units;
    quota->bucket_limits[i] = MAX(quota->bucket_limits[i], quota->limit);
}

// Returns what was spent in a bucket, scaled down if the limit was lowered
// since.
static double
get_bucket_spent(const ps_quota_t *quota, int i)
{
    bool is_lowered =
        quota->limit > 0 && quota->bucket_limits[i] > quota->limit;
    return is_lowered
               ? quota->spent[i] * quota->limit / quota->bucket_limits[i]
               : quota->spent[i];
}

// Returns the fraction of the window for which the spending is known, 0 to 1.
static double
get_known_fraction(const ps_quota_t *quota, int64_t now_ms)
{
    double window_ms = (double)quota->bucket_ms * (PS_QUOTA_BUCKETS - 1);
    return quota->known_from_ms > 0 && window_ms > 0
               ? MIN((double)(now_ms - quota->known_from_ms) / window_ms, 1.0)
               : 1.0;
}

/* ---- Public functions ------------------------------------------------- */

ps_quota_terms_t
PsQuota_ComputeTerms(double rate, double burst,
                     const ps_quota_settings_t *settings)
{
    if (rate <= 0) {
        return (ps_quota_terms_t){.window_s = settings->window_s};
    }
    double tolerance =
        settings->overage * (rate * settings->window_s + burst) +
        settings->slack;
    return (ps_quota_terms_t){.rate = rate,
                              .burst = burst,
                              .extra = EXTRA_PART * tolerance,
                              .bridge = BRIDGE_PART * tolerance,
                              .lenience = LENIENCE_PART * tolerance,
                              .window_s = settings->window_s};
}

double
PsQuota_ComputeLimit(double rate, double burst,
                     const ps_quota_settings_t *settings)
{
    if (rate <= 0) {
        return 0;
    }
    double base = rate * settings->window_s + burst;
    return base +
           TOLERANCE_USED * (settings->overage * base + settings->slack);
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
        spent += get_bucket_spent(quota, i);
    }
    return spent;
}

double
PsQuota_GetSpentBetween(ps_quota_t *quota, int64_t from_ms, int64_t to_ms,
                        int64_t now_ms)
{
    move_window(quota, now_ms);
    int64_t bucket_ms = MAX(quota->bucket_ms, 1);
    double spent = 0;
    for (int64_t age = from_ms / bucket_ms; age < to_ms / bucket_ms; age++) {
        int64_t bucket = quota->current - age;
        if (age < PS_QUOTA_BUCKETS && bucket >= 0) {
            spent += get_bucket_spent(quota, (int)(bucket % PS_QUOTA_BUCKETS));
        }
    }
    return spent;
}

void
PsQuota_ChargePast(ps_quota_t *quota, double units, int64_t age_ms,
                   int64_t now_ms)
{
    move_window(quota, now_ms);
    int64_t age = age_ms / MAX(quota->bucket_ms, 1);
    int64_t bucket = quota->current - age;
    if (age < PS_QUOTA_BUCKETS && bucket >= 0) {
        charge_bucket(quota, bucket, units);
    }
}

void
PsQuota_Charge(ps_quota_t *quota, double units, int64_t now_ms)
{
    move_window(quota, now_ms);
    charge_bucket(quota, quota->current, units);
    quota->total_spent += units;
}

bool
PsQuota_ChargeEvenShare(ps_quota_t *quota, double units, int n_daemons,
                        int64_t now_ms)
{
    double share = quota->limit / MAX(n_daemons, 1);
    double needed = MIN(units, share);
    double available = share * get_known_fraction(quota, now_ms);
    if (quota->limit > 0 &&
        PsQuota_GetSpent(quota, now_ms) + needed > available) {
        return false;
    }
    PsQuota_Charge(quota, units, now_ms);
    return true;
}

void
PsQuota_Refund(ps_quota_t *quota, double units)
{
    quota->total_spent -= units;
    for (int age = 0; age < PS_QUOTA_BUCKETS && units > 0; age++) {
        int64_t bucket = quota->current - age;
        if (bucket < 0) {
            return;
        }
        double *spent = &quota->spent[bucket % PS_QUOTA_BUCKETS];
        double refunded = MIN(*spent, units);
        *spent -= refunded;
        units -= refunded;
    }
}
