/* fleet_waits.c - Waits from start rates over all daemons. */
#include "fleet_waits.h"

#include <math.h>

#define RATE_DECAY_MS 500.0 /* time constant of start rates */

// Starts in RATE_DECAY_MS that are assumed at least, so that a single waiting
// request of a rank that is seldom asked for doesn't have others refused.
#define RATE_MIN 2.0

/* ---- Internal functions ----------------------------------------------- */

static int
find_rate(const ps_fleet_waits_t *waits, uint32_t rank)
{
    int i = 0;
    while (i < waits->n_rates && waits->rates[i].rank != rank) {
        i++;
    }
    return i;
}

static double
get_starts(const ps_rank_rate_t *rate, int64_t now_ms)
{
    return rate->starts * exp(-(double)(now_ms - rate->at_ms) / RATE_DECAY_MS);
}

/* ---- Public functions ------------------------------------------------- */

void
PsFleetWaits_AddStarts(ps_fleet_waits_t *waits, uint32_t rank, int n,
                       int64_t now_ms)
{
    int i = find_rate(waits, rank);
    if (i == waits->n_rates && i < PS_RANKS_MAX) {
        waits->rates[waits->n_rates++] = (ps_rank_rate_t){rank, 0, now_ms};
    }
    ps_rank_rate_t *rate = &waits->rates[MIN(i, PS_RANKS_MAX - 1)];
    rate->starts = get_starts(rate, now_ms) + n;
    rate->at_ms = now_ms;
}

void
PsFleetWaits_Estimate(const ps_fleet_waits_t *waits,
                      const ps_waiting_count_t *counts, int n,
                      ps_rank_wait_t *estimates, int64_t now_ms)
{
    for (int k = 0; k < n; k++) {
        int i = MIN(find_rate(waits, counts[k].rank), PS_RANKS_MAX - 1);
        double starts =
            i < waits->n_rates ? get_starts(&waits->rates[i], now_ms) : 0.0;
        estimates[k].rank = counts[k].rank;
        estimates[k].ms =
            counts[k].count * RATE_DECAY_MS / MAX(starts, RATE_MIN);
    }
}
