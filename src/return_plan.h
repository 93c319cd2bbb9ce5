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

#include <stdint.h>

#define PS_RETRY_AFTER_MAX_MS 10000 /* longest Retry-After */
#define PS_RETURN_LINES_MAX 64      /* ranks and teams planned separately */

/**
 * struct ps_return_request - What is known of a request that is refused.
 */
typedef struct ps_return_request {
    uint32_t rank;        /* that it will have when it returns */
    uint32_t team;        /* hash; 0: teams are not told apart */
    double wait_ms;       /* estimated wait of a new request of the rank */
    double starts_per_s;  /* of the rank, at this daemon */
    int64_t time_left_ms; /* that the caller waits for its answer; 0: not
                             known */
} ps_return_request_t;

/**
 * struct ps_return_line - Returns promised to one team in one rank.
 */
typedef struct ps_return_line {
    uint32_t rank;
    uint32_t team;
    double next_ms; /* earliest time of the next return to promise */
} ps_return_line_t;

/**
 * struct ps_return_plan - Promised returns of one service. All zero: none.
 */
typedef struct ps_return_plan {
    ps_return_line_t lines[PS_RETURN_LINES_MAX];
    int n;
    uint32_t random_state;
} ps_return_plan_t;

/**
 * struct ps_deadline_seen - The longest time left that callers of a route have
 * named, in the current window and the one before.
 */
typedef struct ps_deadline_seen {
    uint32_t route; /* hash of its name */
    int64_t window; /* number of the current window */
    int64_t longest_ms[2];
} ps_deadline_seen_t;

/**
 * struct ps_deadlines_seen - Of all routes. All zero: none was named.
 */
typedef struct ps_deadlines_seen {
    ps_deadline_seen_t routes[PS_RETURN_LINES_MAX];
    int n;
} ps_deadlines_seen_t;

/**
 * PsDeadlinesSeen_Add() - Notes how long a caller waits, and returns the
 * longest time lately named on its route, at most the route's time limit.
 *
 * Callers of a route who all wait for less than its time limit are not taken
 * for ones that return.
 */
int64_t PsDeadlinesSeen_Add(ps_deadlines_seen_t *seen, uint32_t route,
                            int64_t time_limit_ms, int64_t time_left_ms,
                            int64_t now_ms);

/**
 * PsReturnPlan_Promise() - Returns the Retry-After for a refused request, in
 * milliseconds, and counts the return.
 *
 * It is at most PS_RETRY_AFTER_MAX_MS and a third of the time that the caller
 * has left. No slot is kept for the return: the request is ordered like any
 * other of its rank when it arrives.
 */
int64_t PsReturnPlan_Promise(ps_return_plan_t *plan,
                             const ps_return_request_t *request,
                             int64_t now_ms);

/**
 * PsReturnPlan_GetFirstAskedMs() - Returns when a request's caller first
 * asked, by the time that it has used of the route's time limit.
 * @time_limit_ms: PsDeadlinesSeen_Add(); 0: not known
 * @time_left_ms: named by the caller; 0: not named
 */
int64_t PsReturnPlan_GetFirstAskedMs(int64_t time_limit_ms,
                                     int64_t time_left_ms, int64_t now_ms);

#endif
