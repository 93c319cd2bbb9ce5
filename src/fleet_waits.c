/* fleet_waits.c - Waits from start rates over all daemons. */
#include "fleet_waits.h"

// Starts in PS_RANK_RATE_DECAY_MS that are assumed at least, so that a single
// waiting request of a rank that is seldom asked for doesn't have others
// refused.
#define RATE_MIN 2.0

void
PsFleetWaits_AddStarts(ps_fleet_waits_t *waits, uint32_t rank, int n,
                       int64_t now_ms)
{
    PsRankRates_Get(&waits->rates, rank, 0.0, now_ms)->starts += n;
}

void
PsFleetWaits_Estimate(const ps_fleet_waits_t *waits,
                      const ps_waiting_count_t *counts, int n,
                      ps_rank_wait_t *estimates, int64_t now_ms)
{
    for (int k = 0; k < n; k++) {
        double starts =
            PsRankRates_GetStarts(&waits->rates, counts[k].rank, now_ms);
        estimates[k].rank = counts[k].rank;
        estimates[k].ms =
            counts[k].count * PS_RANK_RATE_DECAY_MS / MAX(starts, RATE_MIN);
    }
}
