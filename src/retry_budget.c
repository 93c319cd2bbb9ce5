/* retry_budget.c - Retries counted in a sliding window of buckets. */
#include "retry_budget.h"

#include <glib.h>
#include <math.h>

// Fraction of ratio and slack that is used, as requests arrive unevenly.
#define TOLERANCE_USED 0.8

// Fraction of the ratio that a process uses until a whole window is known. The
// process before it may have used the rest.
#define RATIO_USED_AFTER_START 0.15

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

static bool
is_window_known(const ps_retry_budget_t *budget, int64_t now_ms)
{
    int64_t window_ms = budget->bucket_ms * (PS_RETRY_BUCKETS - 1);
    return now_ms - budget->known_from_ms >= window_ms;
}

static double
get_usable_ratio(const ps_retry_budget_t *budget, int64_t now_ms)
{
    return budget->ratio * (is_window_known(budget, now_ms)
                                ? TOLERANCE_USED
                                : RATIO_USED_AFTER_START);
}

// Returns how many retries are allowed beyond the ratio: the smallest share of
// the slack in the window.
static double
get_usable_share(const ps_retry_budget_t *budget, int64_t now_ms)
{
    if (!is_window_known(budget, now_ms)) {
        return 0;
    }
    double smallest = budget->share;
    for (int i = 0; i < PS_RETRY_BUCKETS; i++) {
        smallest = MIN(smallest, budget->shares[i]);
    }
    return smallest;
}

/* ---- Public functions ------------------------------------------------- */

void
PsRetryBudget_Init(ps_retry_budget_t *budget, int64_t known_from_ms)
{
    *budget = (ps_retry_budget_t){.known_from_ms = known_from_ms};
}

void
PsRetryBudget_SetLimits(ps_retry_budget_t *budget, double window_s,
                        double ratio, double slack, int n_daemons,
                        int64_t now_ms)
{
    // The bucket in progress comes on top of a whole window of buckets.
    int64_t bucket_ms =
        (int64_t)ceil(window_s * 1000.0 / (PS_RETRY_BUCKETS - 1));
    double share = n_daemons > 0 ? slack * TOLERANCE_USED / n_daemons : 0;
    bool is_first = budget->bucket_ms == 0;
    if (!is_first && budget->bucket_ms != bucket_ms) {
        int reserved = budget->reserved;
        PsRetryBudget_Init(budget, now_ms);
        budget->reserved = reserved;
        is_first = true;
    }
    budget->bucket_ms = bucket_ms;
    budget->ratio = ratio;
    if (is_first) {
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
PsRetryBudget_Reserve(ps_retry_budget_t *budget, int64_t now_ms)
{
    ps_retry_use_t use = PsRetryBudget_GetUse(budget, now_ms);
    if (use.retries + 1 > use.allowed) {
        return false;
    }
    budget->reserved++;
    return true;
}

void
PsRetryBudget_CountSent(ps_retry_budget_t *budget, int64_t now_ms)
{
    move_window(budget, now_ms);
    budget->reserved--;
    budget->retries[budget->current % PS_RETRY_BUCKETS]++;
}

void
PsRetryBudget_Release(ps_retry_budget_t *budget)
{
    budget->reserved--;
}

ps_retry_use_t
PsRetryBudget_GetUse(ps_retry_budget_t *budget, int64_t now_ms)
{
    move_window(budget, now_ms);
    ps_retry_use_t use = {.requests = sum_buckets(budget->requests),
                          .retries =
                              sum_buckets(budget->retries) + budget->reserved};
    use.allowed = get_usable_ratio(budget, now_ms) * use.requests +
                  get_usable_share(budget, now_ms);
    return use;
}
