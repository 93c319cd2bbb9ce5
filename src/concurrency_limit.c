/* concurrency_limit.c - Limit by late answers, capacity by throughput. */
#include "concurrency_limit.h"

#include <glib.h>

#define ADJUST_INTERVAL_MS 500

// Excess of the late share over the usual one, above which the limit is
// lowered, and below which it is raised. A slow period of 600 ms makes about
// an eighth of the evidence.
#define LATE_HIGH 0.25
#define LATE_LOW 0.12

// Answers without which nothing is concluded; the limit is raised then, as
// the evidence for it is gone.
#define ANSWERS_MIN 4.0

// Factor of a decrease, and the time until the next one: answers that were
// sent before the last one must have ended.
#define DECREASE 0.8
#define DECREASE_INTERVAL_MS 1500

// Interval between raises without evidence. It bounds the trials at a server
// that is late at any number of requests.
#define BLIND_RAISE_MS 2000

// Time that a server must have run a number of requests, with decay, for that
// point of the curve to be known.
#define POINT_TIME_MIN_MS 1200.0

// The capacity is lowered if the throughput at the highest known point is
// this part of that at the best one, and set to the last point within
// NEAR_BEST of that. A point with a slow period of 600 ms in POINT_TIME_MIN_MS
// has .7 of the throughput.
#define THROUGHPUT_LOSS 0.65
#define NEAR_BEST 0.9

// Late share above which a server is probed, and how: with this part of its
// slots until that point is known, or for this long. Most of its running
// streams end in that time, and it runs fewer for POINT_TIME_MIN_MS.
#define PROBE_LATE_SHARE 0.35
#define PROBE_PART 0.75
#define PROBE_MS 6000

// Time after a probe without effect until the next one.
#define PROBE_INTERVAL_MS 30000

// Interval between raises of the capacity by one. A wrong raise slows all of
// the server's answers for about a second.
#define RAISE_INTERVAL_MS 6000
#define RAISE_INTERVAL_MAX_MS 48000

/* ---- Curve ------------------------------------------------------------ */

// Returns the index of the point for a number of requests. With more slots
// than points, each point stands for several numbers.
static int
get_index(const ps_concurrency_limit_t *limit, double running)
{
    double scale = limit->slots > PS_LIMIT_POINTS_MAX
                       ? (double)PS_LIMIT_POINTS_MAX / limit->slots
                       : 1.0;
    return CLAMP((int)(running * scale + 0.5) - 1, 0, PS_LIMIT_POINTS_MAX - 1);
}

// Returns the number of requests that a point stands for.
static int
get_running(const ps_concurrency_limit_t *limit, int index)
{
    return limit->slots > PS_LIMIT_POINTS_MAX
               ? (index + 1) * limit->slots / PS_LIMIT_POINTS_MAX
               : index + 1;
}

// The times between events of all running requests add up to the time that
// passed, so many times over.
static bool
is_known(const ps_concurrency_limit_t *limit, int index)
{
    return limit->points[index].event_ms >=
           POINT_TIME_MIN_MS * get_running(limit, index);
}

// Returns the events a millisecond at a point.
static double
get_throughput(const ps_concurrency_limit_t *limit, int index)
{
    const ps_limit_point_t *point = &limit->points[index];
    return get_running(limit, index) * point->events / point->event_ms;
}

// Returns the highest known point; -1: none is.
static int
find_highest(const ps_concurrency_limit_t *limit)
{
    int highest = -1;
    for (int i = 0; i < PS_LIMIT_POINTS_MAX; i++) {
        highest = is_known(limit, i) ? i : highest;
    }
    return highest;
}

// Returns the last known point whose throughput is close to the best.
static int
find_knee(const ps_concurrency_limit_t *limit)
{
    double best = 0;
    for (int i = 0; i < PS_LIMIT_POINTS_MAX; i++) {
        if (is_known(limit, i)) {
            best = MAX(best, get_throughput(limit, i));
        }
    }
    int knee = 0;
    for (int i = 0; i < PS_LIMIT_POINTS_MAX; i++) {
        if (is_known(limit, i) &&
            get_throughput(limit, i) >= NEAR_BEST * best) {
            knee = i;
        }
    }
    return knee;
}

// Tells whether a point is known at which the server runs fewer requests than
// a probe would leave it.
static bool
has_lower_point(const ps_concurrency_limit_t *limit, int highest)
{
    for (int i = highest / 2; i < highest; i++) {
        if (is_known(limit, i)) {
            return true;
        }
    }
    return false;
}

/* ---- Capacity --------------------------------------------------------- */

static void
lower_capacity(ps_concurrency_limit_t *limit, int knee, int64_t now_ms)
{
    limit->probe_until_ms = 0;
    limit->capacity = MAX(get_running(limit, knee), 1);
    limit->raise_interval_ms = CLAMP(limit->raise_interval_ms * 2,
                                     RAISE_INTERVAL_MS, RAISE_INTERVAL_MAX_MS);
    limit->next_raise_ms = now_ms + limit->raise_interval_ms;
    // What is known beyond the knee is judged anew after the next raise.
    for (int i = knee + 1; i < PS_LIMIT_POINTS_MAX; i++) {
        limit->points[i] = (ps_limit_point_t){0};
    }
}

// Tells whether a server is late so often that it may be beyond its knee, and
// nothing is known of it with fewer requests.
static bool
must_probe(const ps_concurrency_limit_t *limit,
           const ps_limit_evidence_t *evidence, int highest, int64_t now_ms)
{
    double answers = evidence->on_time + evidence->late;
    return evidence->may_probe && now_ms >= limit->next_probe_ms &&
           highest > 1 && answers >= ANSWERS_MIN &&
           evidence->late > PROBE_LATE_SHARE * answers &&
           !has_lower_point(limit, highest);
}

// Ends a probe that has shown no loss of throughput with more requests.
static void
end_probe(ps_concurrency_limit_t *limit, int64_t now_ms)
{
    int probed = get_index(limit, limit->capacity);
    if (now_ms >= limit->probe_until_ms ||
        has_lower_point(limit, probed + 1)) {
        limit->probe_until_ms = 0;
        limit->next_probe_ms = now_ms + PROBE_INTERVAL_MS;
        limit->capacity = limit->slots;
    }
}

static void
adjust_capacity(ps_concurrency_limit_t *limit,
                const ps_limit_evidence_t *evidence, int64_t now_ms)
{
    int highest = find_highest(limit);
    if (highest > 0) {
        int knee = find_knee(limit);
        if (get_throughput(limit, highest) <
            THROUGHPUT_LOSS * get_throughput(limit, knee)) {
            lower_capacity(limit, knee, now_ms);
            return;
        }
    }
    if (limit->probe_until_ms > 0) {
        end_probe(limit, now_ms);
    }
    else if (must_probe(limit, evidence, highest, now_ms)) {
        limit->capacity = MAX((int)(limit->capacity * PROBE_PART), 1);
        limit->probe_until_ms = now_ms + PROBE_MS;
    }
    else if (limit->capacity == limit->slots) {
        limit->raise_interval_ms = 0;
    }
    else if (now_ms >= limit->next_raise_ms) {
        limit->capacity++;
        limit->next_raise_ms = now_ms + RAISE_INTERVAL_MS;
    }
}

/* ---- Limit ------------------------------------------------------------ */

static void
adjust_limit(ps_concurrency_limit_t *limit,
             const ps_limit_evidence_t *evidence, int64_t now_ms)
{
    double answers = evidence->on_time + evidence->late;
    if (answers < ANSWERS_MIN) {
        limit->limit += 1.0;
        limit->next_adjust_ms = now_ms + BLIND_RAISE_MS;
        return;
    }
    double excess = evidence->late / answers - evidence->usual_late_share;
    if (excess > LATE_HIGH) {
        double used = MIN(limit->limit, MAX(evidence->peak_running, 1));
        limit->limit = used * DECREASE;
        limit->next_adjust_ms = now_ms + DECREASE_INTERVAL_MS;
        limit->n_lowered++;
    }
    else if (excess < LATE_LOW &&
             evidence->peak_running >= (int)limit->limit) {
        limit->limit += 1.0;
    }
}

/* ---- Public functions ------------------------------------------------- */

void
PsConcurrencyLimit_AddEvents(ps_concurrency_limit_t *limit, double running,
                             double events, double event_ms)
{
    ps_limit_point_t *point = &limit->points[get_index(limit, running)];
    point->events += events;
    point->event_ms += event_ms;
}

void
PsConcurrencyLimit_Decay(ps_concurrency_limit_t *limit, double keep)
{
    for (int i = 0; i < PS_LIMIT_POINTS_MAX; i++) {
        limit->points[i].events *= keep;
        limit->points[i].event_ms *= keep;
    }
}

bool
PsConcurrencyLimit_Update(ps_concurrency_limit_t *limit,
                          const ps_limit_evidence_t *evidence, int slots,
                          int64_t now_ms)
{
    slots = MAX(slots, 1);
    if (limit->slots != slots) {
        *limit = (ps_concurrency_limit_t){
            .limit = slots, .capacity = slots, .slots = slots};
    }
    if (now_ms < limit->next_adjust_ms) {
        return false;
    }
    limit->next_adjust_ms = now_ms + ADJUST_INTERVAL_MS;
    adjust_capacity(limit, evidence, now_ms);
    adjust_limit(limit, evidence, now_ms);
    limit->limit = CLAMP(limit->limit, 1.0, limit->capacity);
    return true;
}

int
PsConcurrencyLimit_Get(const ps_concurrency_limit_t *limit)
{
    return (int)limit->limit;
}

int
PsConcurrencyLimit_GetCapacity(const ps_concurrency_limit_t *limit)
{
    return limit->capacity;
}
