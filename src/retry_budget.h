/*
 * retry_budget.h - How many second sends a service may get from this daemon.
 *
 * Load pattern: a service fails or rejects a large part of its requests, and
 * each daemon would double the load by sending all of them once more. Each
 * daemon counts its own requests in a sliding window; the slack is shared out
 * over the daemons. Pure: time is an argument.
 */
#ifndef PS_RETRY_BUDGET_H
#define PS_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#define PS_RETRY_BUCKETS 20 /* parts of the window */

/**
 * struct ps_retry_budget - Requests and repeats of one service.
 */
typedef struct ps_retry_budget {
    int64_t bucket_ms;
    int64_t current; /* number of the newest bucket */
    uint32_t requests[PS_RETRY_BUCKETS];
    uint32_t retries[PS_RETRY_BUCKETS];
    double ratio; /* repeats allowed for each request */
    double slack; /* repeats allowed besides, this daemon's part */
} ps_retry_budget_t;

/**
 * PsRetryBudget_SetLimits() - Sets the terms.
 * @window_s: seconds over which repeats are counted
 * @ratio: repeats allowed for each request
 * @slack: repeats allowed besides in a window, over all daemons
 */
void PsRetryBudget_SetLimits(ps_retry_budget_t *budget, double window_s,
                             double ratio, double slack, int n_daemons);
void PsRetryBudget_AddRequest(ps_retry_budget_t *budget, int64_t now_ms);

/**
 * PsRetryBudget_Take() - Spends one repeat if the window allows it.
 */
bool PsRetryBudget_Take(ps_retry_budget_t *budget, int64_t now_ms);

#endif
