/*
 * abandoned_runs.h - Requests that were abandoned at a server that may have
 * crashed.
 *
 * A server that loses power does not close its connections: a request there
 * falls silent, and is moved, times out, or its caller leaves. That the server
 * has crashed is known only later, from its registration. Does no I/O; all
 * times are passed in.
 */
#ifndef PS_ABANDONED_RUNS_H
#define PS_ABANDONED_RUNS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define PS_ABANDONED_RUNS_MAX 4096 /* kept; the oldest are replaced */

// Time in which a server's end has to become known: its registration is
// removed within some heartbeats, or it registers again after its restart.
#define PS_ABANDONED_RUN_TTL_MS 15000

/**
 * struct ps_abandoned_run - A mark of a request that got no end of a response.
 */
typedef struct ps_abandoned_run {
    uint64_t mark;     /* 0: unused entry */
    uint64_t crash_id; /* that a crash of its server has */
    int64_t at_ms;     /* when it was abandoned */
    bool is_trial;     /* it was sent to find out whether it is the cause */
} ps_abandoned_run_t;

/**
 * struct ps_abandoned_runs - The latest of them.
 */
typedef struct ps_abandoned_runs {
    ps_abandoned_run_t runs[PS_ABANDONED_RUNS_MAX];
    size_t next; /* index of the entry that is replaced next */
} ps_abandoned_runs_t;

/**
 * PsAbandonedRuns_Init() - Initializes an empty list.
 */
void PsAbandonedRuns_Init(ps_abandoned_runs_t *abandoned);

/**
 * PsAbandonedRuns_Add() - Adds a request.
 * @mark: one of its marks; 0 is ignored
 */
void PsAbandonedRuns_Add(ps_abandoned_runs_t *abandoned, uint64_t mark,
                         uint64_t crash_id, bool is_trial, int64_t now_ms);

/**
 * PsAbandonedRuns_TakeNext() - Removes a request at a server that has crashed.
 * @taken: receives the request
 *
 * Return: false if there are no more.
 */
bool PsAbandonedRuns_TakeNext(ps_abandoned_runs_t *abandoned,
                              uint64_t crash_id, int64_t now_ms,
                              ps_abandoned_run_t *taken);

#endif
