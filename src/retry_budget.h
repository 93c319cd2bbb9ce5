/*
 * retry_budget.h - Limits how many retries this daemon sends to a service.
 *
 * Load pattern: a service fails or rejects a large part of its requests, and
 * each daemon would double the load by retrying all of them, also while
 * daemons leave, or are killed and start again. Each daemon counts its own
 * requests in a sliding window; the slack is divided among the daemons. Does
 * no I/O; all times are passed in.
 */
#ifndef PS_RETRY_BUDGET_H
#define PS_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#define PS_RETRY_BUCKETS 20 /* of the window, one of them in progress */

/**
 * struct ps_retry_budget - Requests and retries of one service.
 */
typedef struct ps_retry_budget {
    int64_t bucket_ms; /* length of one bucket */
    int64_t current;   /* number of the newest bucket: time / @bucket_ms */
    uint32_t requests[PS_RETRY_BUCKETS]; /* at number % PS_RETRY_BUCKETS */
    uint32_t retries[PS_RETRY_BUCKETS];  /* sent; likewise */
    double shares[PS_RETRY_BUCKETS]; /* likewise: this daemon's smallest share
                                        of the slack in the bucket */
    int64_t known_from_ms; /* retries before then are unknown, since another
                              process may have sent them */
    int reserved;          /* retries that are not sent yet */
    double ratio;          /* retries allowed per request */
    double share; /* retries allowed in addition: this daemon's part now */
} ps_retry_budget_t;

/**
 * struct ps_retry_use - What is counted in a budget's window.
 */
typedef struct ps_retry_use {
    double requests;
    double retries; /* sent and reserved ones */
    double allowed; /* retries that the budget allows with these requests */
} ps_retry_use_t;

/**
 * PsRetryBudget_Init() - Initializes an empty budget.
 * @known_from_ms: retries before then are unknown, such as those of a former
 * process of this daemon; no slack and little of the ratio is used until a
 * window has passed since
 */
void PsRetryBudget_Init(ps_retry_budget_t *budget, int64_t known_from_ms);

/**
 * PsRetryBudget_SetLimits() - Sets how many retries are allowed.
 * @window_s: seconds over which requests and retries are counted
 * @ratio: retries allowed per request
 * @slack: retries allowed in addition in a window, over all daemons
 * @n_daemons: daemons that the slack is divided among; 0: not known yet, so
 * that none of it is used
 *
 * What was counted is dropped when @window_s changes, as after a start. A
 * share that grows is used only when a window has passed, since the daemons
 * that have left may have used theirs.
 */
void PsRetryBudget_SetLimits(ps_retry_budget_t *budget, double window_s,
                             double ratio, double slack, int n_daemons,
                             int64_t now_ms);
void PsRetryBudget_AddRequest(ps_retry_budget_t *budget, int64_t now_ms);

/**
 * PsRetryBudget_Reserve() - Reserves a retry if the budget allows it.
 *
 * A retry may wait for a server and for a connection, and counts in the window
 * in which it is sent. Each reservation is ended by one of the two functions
 * below.
 *
 * Return: false if the budget does not allow it; the request must not be
 * retried then.
 */
bool PsRetryBudget_Reserve(ps_retry_budget_t *budget, int64_t now_ms);

/**
 * PsRetryBudget_CountSent() - Counts a reserved retry that is being sent.
 */
void PsRetryBudget_CountSent(ps_retry_budget_t *budget, int64_t now_ms);

/**
 * PsRetryBudget_Release() - Gives back a reserved retry that was not sent.
 */
void PsRetryBudget_Release(ps_retry_budget_t *budget);

/**
 * PsRetryBudget_GetUse() - Returns what is counted in the window before now.
 */
ps_retry_use_t PsRetryBudget_GetUse(ps_retry_budget_t *budget, int64_t now_ms);

#endif
