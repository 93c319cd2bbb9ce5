/* retry_budget.c - Retries counted in a sliding window of buckets. */
#include "retry_budget.h"

#include <glib.h>

// Fraction of ratio and slack that is used, as requests arrive unevenly.
#define TOLERANCE_USED 0.8

/* ---- Internal functions ----------------------------------------------- */

// Moves the window to now: clears the buckets that begin since the last call.
static void
move_window(ps_retry_budget_t *budget, int64_t now_ms)
{
    int64_t bucket = now_ms / MAX(budget->bucket_ms, 1);
    int64_t first_new =
        MAX(budget->current + 1, bucket - PS_RETRY_BUCKETS + 1);
    for (int64_t b = first_new; b <= bucket; b++) {
        budget->requests[b % PS_RETRY_BUCKETS] = 0;
        budget->retries[b % PS_RETRY_BUCKETS] = 0;
        budget->shares[b % PS_RETRY_BUCKETS] = budget->share;
    }
    budget->current = MAX(budget->current, bucket);
}

static double
sum_buckets(const uint32_t *counts)
{
    double total = 0;
    for (int i = 0; i < PS_RETRY_BUCKETS; i++) {
        total += counts[i];
    }
    return total;
}

// Returns the smallest share of the slack in the window.
static double
get_smallest_share(const ps_retry_budget_t *budget)
{
    double smallest = budget->share;
    for (int i = 0; i < PS_RETRY_BUCKETS; i++) {
        smallest = MIN(smallest, budget->shares[i]);
    }
    return smallest;
}

/* ---- Public functions ------------------------------------------------- */

void
PsRetryBudget_SetLimits(ps_retry_budget_t *budget, double window_s,
                        double ratio, double slack, int n_daemons,
                        int64_t now_ms)
{
    bool is_new = budget->bucket_ms == 0;
    double share = slack * TOLERANCE_USED / MAX(n_daemons, 1);
    // The bucket in progress comes on top of a whole window of buckets.
    budget->bucket_ms = (int64_t)(window_s * 1000.0 / (PS_RETRY_BUCKETS - 1));
    budget->ratio = ratio * TOLERANCE_USED;
    if (is_new) {
        budget->share = share;
    }
    move_window(budget, now_ms);
    budget->share = share;
    double *current = &budget->shares[budget->current % PS_RETRY_BUCKETS];
    *current = MIN(*current, share);
}

void
PsRetryBudget_AddRequest(ps_retry_budget_t *budget, int64_t now_ms)
{
    move_window(budget, now_ms);
    budget->requests[budget->current % PS_RETRY_BUCKETS]++;
}

bool
PsRetryBudget_AddRetry(ps_retry_budget_t *budget, int64_t now_ms)
{
    ps_retry_use_t use = PsRetryBudget_GetUse(budget, now_ms);
    if (use.retries + 1 > use.allowed) {
        return false;
    }
    budget->retries[budget->current % PS_RETRY_BUCKETS]++;
    return true;
}

ps_retry_use_t
PsRetryBudget_GetUse(ps_retry_budget_t *budget, int64_t now_ms)
{
    move_window(budget, now_ms);
    ps_retry_use_t use = {.requests = sum_buckets(budget->requests),
                          .retries = sum_buckets(budget->retries)};
    use.allowed = budget->ratio * use.requests + get_smallest_share(budget);
    return use;
}
