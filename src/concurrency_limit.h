/*
 * concurrency_limit.h - How many requests at a time suit a server.
 *
 * There are two bounds. Up to the limit, answers are on time as often as at
 * the best servers of the service: it is raised by one while the server uses
 * it up, and lowered by a factor while more of its answers are late. Slots
 * beyond it are handed out only to requests that wait and that no server
 * within its limit takes, since a late answer is better than none. Up to the
 * capacity, more requests at a time mean more answers: it is where the fitted
 * curve of throughput by running requests is highest. Slots beyond it are not
 * handed out, as they would slow all answers of the server. Load pattern:
 * servers of unequal speed, and servers that slow down before all of their
 * slots are in use. Does no I/O; all times are passed in.
 */
#ifndef PS_CONCURRENCY_LIMIT_H
#define PS_CONCURRENCY_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#define PS_LIMIT_POINTS_MAX 16 /* of the curve, from 1 request on */

/**
 * struct ps_limit_evidence - What a limit is adjusted by.
 */
typedef struct ps_limit_evidence {
    double on_time;          /* decaying number of answers */
    double late;             /* of those that the server made late */
    double usual_late_share; /* of the good servers of its service */
    int peak_running; /* most requests at a time since the last adjustment */
    bool may_probe;   /* it is this server's turn to run fewer requests */
} ps_limit_evidence_t;

/**
 * struct ps_limit_point - Event times at one number of running requests.
 */
typedef struct ps_limit_point {
    double events;   /* decaying number */
    double event_ms; /* decaying sum of the times between them */
} ps_limit_point_t;

/**
 * struct ps_concurrency_limit - Bounds of one server. All zero: not set yet.
 */
typedef struct ps_concurrency_limit {
    double limit;           /* 0: not set yet */
    int capacity;           /* at least @limit */
    int slots;              /* that the server has registered */
    int64_t next_adjust_ms; /* neither is adjusted before */
    ps_limit_point_t points[PS_LIMIT_POINTS_MAX];
    int64_t probe_until_ms;    /* the capacity is lowered until then, to see
                                  the times with fewer requests */
    int64_t next_probe_ms;     /* it is not probed again before */
    int64_t next_raise_ms;     /* the capacity is not raised before */
    int64_t raise_interval_ms; /* doubles each time that a raise was wrong */
    uint32_t n_lowered;        /* times the limit was, since the start */
} ps_concurrency_limit_t;

/**
 * PsConcurrencyLimit_AddEvents() - Adds event times to the curve.
 * @running: requests of all daemons there, meanwhile
 * @event_ms: sum of the times between the events
 */
void PsConcurrencyLimit_AddEvents(ps_concurrency_limit_t *limit,
                                  double running, double events,
                                  double event_ms);

/**
 * PsConcurrencyLimit_Decay() - Lowers the weight of the curve's events.
 * @keep: part of it that is kept
 */
void PsConcurrencyLimit_Decay(ps_concurrency_limit_t *limit, double keep);

/**
 * PsConcurrencyLimit_Update() - Adjusts the bounds if it is time for it.
 * @slots: that the server has registered; both start there
 *
 * Return: whether the evidence was used; its peak is to be counted anew then.
 */
bool PsConcurrencyLimit_Update(ps_concurrency_limit_t *limit,
                               const ps_limit_evidence_t *evidence, int slots,
                               int64_t now_ms);

/**
 * PsConcurrencyLimit_Get() - Returns the limit: from 1 to the capacity; 0
 * before the first update.
 */
int PsConcurrencyLimit_Get(const ps_concurrency_limit_t *limit);

/**
 * PsConcurrencyLimit_GetCapacity() - Returns the capacity: from 1 to the
 * slots; 0 before the first update.
 */
int PsConcurrencyLimit_GetCapacity(const ps_concurrency_limit_t *limit);

#endif
