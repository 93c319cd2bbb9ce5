/* quota.c - A token bucket for one daemon's part of a team's quota. */
#include "quota.h"

#include <glib.h>

#define SLACK_SHARE 0.7 /* of the slack; the rest covers members that change */

/* ---- Internal functions ----------------------------------------------- */

static void
fill(ps_quota_t *quota, int64_t now_ms)
{
    double passed = (double)(now_ms - quota->filled_ms);
    quota->filled_ms = now_ms;
    quota->level =
        MIN(quota->level + passed * quota->rate / 1000.0, quota->depth);
}

/* ---- Public functions ------------------------------------------------- */

void
PsQuota_Set(ps_quota_t *quota, double rate, double burst, int n_daemons,
            const ps_quota_terms_t *terms, int64_t now_ms)
{
    bool is_new = quota->filled_ms == 0 || quota->rate == 0;
    if (!is_new) {
        fill(quota, now_ms);
    }
    quota->filled_ms = now_ms;
    double over = terms->overage * (rate * terms->window_s + burst);
    double depth =
        (burst + SLACK_SHARE * (over + terms->slack)) / MAX(n_daemons, 1);
    quota->rate = rate / MAX(n_daemons, 1);
    quota->level = is_new ? depth : MIN(quota->level, depth);
    quota->depth = depth;
}

bool
PsQuota_Take(ps_quota_t *quota, double units, int64_t now_ms, int64_t *wait_ms)
{
    *wait_ms = 0;
    if (quota->rate <= 0) {
        return true;
    }
    fill(quota, now_ms);
    double needed = MIN(units, quota->depth);
    if (quota->level >= needed) {
        quota->level -= units;
        return true;
    }
    *wait_ms = (int64_t)((needed - quota->level) * 1000.0 / quota->rate) + 1;
    return false;
}

void
PsQuota_Return(ps_quota_t *quota, double units)
{
    if (quota->rate > 0) {
        quota->level = MIN(quota->level + units, quota->depth);
    }
}
