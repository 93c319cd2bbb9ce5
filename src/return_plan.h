/*
 * return_plan.h - When refused callers of one service are told to come back.
 *
 * Promised returns are spaced by the rate at which requests of their rank are
 * started, behind those that wait already and those that were promised before.
 * Load pattern: overload for seconds, in which callers that come back too
 * early are refused again and again. Does no I/O; all times are passed in.
 */
#ifndef PS_RETURN_PLAN_H
#define PS_RETURN_PLAN_H

#include "rank_rates.h"

#define PS_RETRY_AFTER_MAX_MS 10000 /* longest Retry-After */

/**
 * struct ps_refusal - What is known of a request that is refused.
 */
typedef struct ps_refusal {
    uint32_t rank;
    double wait_ms;       /* estimated wait of a new request of the rank */
    double starts_per_s;  /* of the rank, at this daemon */
    int64_t time_left_ms; /* that the caller waits for its answer */
} ps_refusal_t;

/**
 * struct ps_return_plan - Promised returns of each rank. All zero: none.
 */
typedef struct ps_return_plan {
    uint32_t ranks[PS_RANKS_MAX];
    double next_ms[PS_RANKS_MAX]; /* time of the next return to promise */
    int n;
    uint32_t random_state;
} ps_return_plan_t;

/**
 * PsReturnPlan_Promise() - Returns the Retry-After for a refused request, in
 * milliseconds, and counts the return.
 */
int64_t PsReturnPlan_Promise(ps_return_plan_t *plan,
                             const ps_refusal_t *refusal, int64_t now_ms);

/**
 * PsReturnPlan_GetFirstAskedMs() - Returns when a request's caller first
 * asked, by the time that it has used of the route's time limit.
 * @time_limit_ms: of the route; 0: not set
 * @time_left_ms: named by the caller; 0: not named
 */
int64_t PsReturnPlan_GetFirstAskedMs(int64_t time_limit_ms,
                                     int64_t time_left_ms, int64_t now_ms);

#endif
