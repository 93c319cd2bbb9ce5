/* return_plan.c - Spacing of promised returns. */
#include "return_plan.h"

#include <glib.h>

#define RETURN_MIN_MS 100.0 /* shortest Retry-After, if time is left */

// Starts a second that are assumed at least. Where fewer are seen, only the
// first return is promised early, and others for as late as possible.
#define STARTS_MIN_PER_S 0.2

// Part of a Retry-After that is varied at random, so that callers don't return
// together.
#define JITTER_RATIO 0.25

// Length of a window in which the longest time left of a route is noted.
#define SEEN_WINDOW_MS 5000

/* ---- Internal functions ----------------------------------------------- */

// Finds or adds a line; replaces the one with the oldest promise if there are
// too many.
static ps_return_line_t *
get_line(ps_return_plan_t *plan, uint32_t rank, uint32_t team)
{
    ps_return_line_t *oldest = &plan->lines[0];
    for (int i = 0; i < plan->n; i++) {
        ps_return_line_t *each = &plan->lines[i];
        if (each->rank == rank && each->team == team) {
            return each;
        }
        oldest = each->next_ms < oldest->next_ms ? each : oldest;
    }
    ps_return_line_t *line =
        plan->n < PS_RETURN_LINES_MAX ? &plan->lines[plan->n++] : oldest;
    *line = (ps_return_line_t){.rank = rank, .team = team};
    return line;
}

// Counts the teams with promised returns of a rank; they share its starts.
static int
count_lines(const ps_return_plan_t *plan, uint32_t rank, int64_t now_ms)
{
    int n = 0;
    for (int i = 0; i < plan->n; i++) {
        n += plan->lines[i].rank == rank &&
                     plan->lines[i].next_ms > (double)now_ms
                 ? 1
                 : 0;
    }
    return n;
}

// Returns a random number between 0 and 1, from the upper 24 bits of a linear
// congruential generator.
static double
get_random(ps_return_plan_t *plan)
{
    plan->random_state = plan->random_state * 1664525U + 1013904223U;
    return (plan->random_state >> 8) / 16777216.0;
}

// Finds or adds a route; NULL: there are too many.
static ps_deadline_seen_t *
get_seen(ps_deadlines_seen_t *seen, uint32_t route)
{
    for (int i = 0; i < seen->n; i++) {
        if (seen->routes[i].route == route) {
            return &seen->routes[i];
        }
    }
    if (seen->n == PS_RETURN_LINES_MAX) {
        return NULL;
    }
    ps_deadline_seen_t *added = &seen->routes[seen->n++];
    *added = (ps_deadline_seen_t){.route = route};
    return added;
}

/* ---- Public functions ------------------------------------------------- */

int64_t
PsDeadlinesSeen_Add(ps_deadlines_seen_t *seen, uint32_t route,
                    int64_t time_limit_ms, int64_t time_left_ms,
                    int64_t now_ms)
{
    ps_deadline_seen_t *each = get_seen(seen, route);
    if (!each || time_limit_ms <= 0 || time_left_ms <= 0) {
        return 0;
    }
    int64_t window = now_ms / SEEN_WINDOW_MS;
    if (window != each->window) {
        each->longest_ms[1] =
            window == each->window + 1 ? each->longest_ms[0] : 0;
        each->longest_ms[0] = 0;
        each->window = window;
    }
    each->longest_ms[0] = MAX(each->longest_ms[0], time_left_ms);
    return MIN(MAX(each->longest_ms[0], each->longest_ms[1]), time_limit_ms);
}

int64_t
PsReturnPlan_Promise(ps_return_plan_t *plan,
                     const ps_return_request_t *request, int64_t now_ms)
{
    double limit_ms = PS_RETRY_AFTER_MAX_MS;
    if (request->time_left_ms > 0) {
        limit_ms = MIN(limit_ms, (double)request->time_left_ms / 3.0);
    }
    limit_ms = MAX(limit_ms, 1.0);
    ps_return_line_t *line = get_line(plan, request->rank, request->team);
    int n_teams = MAX(count_lines(plan, request->rank, now_ms), 1);
    double per_s = MAX(request->starts_per_s / n_teams, STARTS_MIN_PER_S);
    double at_ms = MAX((double)now_ms + request->wait_ms, line->next_ms);
    // What is promised later than any caller comes back is not counted
    // further, so that a long overload doesn't delay returns after it.
    at_ms = MIN(at_ms, (double)now_ms + limit_ms);
    line->next_ms =
        MIN(at_ms + 1000.0 / per_s, (double)now_ms + PS_RETRY_AFTER_MAX_MS);
    double spread = 1.0 - JITTER_RATIO * get_random(plan);
    double after_ms = (at_ms - (double)now_ms) * spread;
    after_ms = MAX(after_ms, RETURN_MIN_MS * (2.0 - spread));
    return (int64_t)CLAMP(after_ms, 1.0, limit_ms);
}

int64_t
PsReturnPlan_GetFirstAskedMs(int64_t time_limit_ms, int64_t time_left_ms,
                             int64_t now_ms)
{
    if (time_limit_ms <= 0 || time_left_ms <= 0) {
        return now_ms;
    }
    return now_ms - MAX(time_limit_ms - time_left_ms, 0);
}
