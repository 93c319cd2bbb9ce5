/*
 * fleet_waits.h - How long requests of each rank wait over all daemons.
 *
 * From how many wait and how often any daemon starts one. Load pattern:
 * overload, spread over more daemons than start a request in the time that
 * one may wait, so that a daemon's own starts tell little. Does no I/O; all
 * times are passed in.
 */
#ifndef PS_FLEET_WAITS_H
#define PS_FLEET_WAITS_H

#include "scheduler.h"

/**
 * struct ps_fleet_waits - Start rates of one service. All zero: no starts yet.
 */
typedef struct ps_fleet_waits {
    ps_rank_rates_t rates;
} ps_fleet_waits_t;

/**
 * PsFleetWaits_AddStarts() - Counts requests of a rank that were started.
 * Ranks that no longer fit share the last entry.
 */
void PsFleetWaits_AddStarts(ps_fleet_waits_t *waits, uint32_t rank, int n,
                            int64_t now_ms);

/**
 * PsFleetWaits_Estimate() - Estimates for how long a new request would wait.
 * @counts: waiting requests of each rank, over all daemons
 * @n: number of counts, at most PS_RANKS_MAX
 * @estimates: receives as many
 */
void PsFleetWaits_Estimate(const ps_fleet_waits_t *waits,
                           const ps_waiting_count_t *counts, int n,
                           ps_rank_wait_t *estimates, int64_t now_ms);

#endif
