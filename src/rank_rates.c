/* rank_rates.c - Counts and start rates by rank. */
#include "rank_rates.h"

#include <glib.h>
#include <math.h>

/* ---- Internal functions ----------------------------------------------- */

// Returns the index of a rank's rate; the number of rates: it has none.
static int
find_rate(const ps_rank_rates_t *rates, uint32_t rank)
{
    int i = 0;
    while (i < rates->n && rates->rates[i].rank != rank) {
        i++;
    }
    return i;
}

static double
get_decayed(const ps_rank_rate_t *rate, int64_t now_ms)
{
    return rate->starts *
           exp(-(double)(now_ms - rate->at_ms) / PS_RANK_RATE_DECAY_MS);
}

/* ---- Public functions ------------------------------------------------- */

int
PsWaitingCounts_Add(ps_waiting_count_t *counts, int n, int max, uint32_t rank,
                    int added)
{
    int i = 0;
    while (i < n && counts[i].rank != rank) {
        i++;
    }
    if (i == n && n < max) {
        counts[n++] = (ps_waiting_count_t){rank, 0};
    }
    if (i < n) {
        counts[i].count += added;
    }
    return n;
}

ps_rank_rate_t *
PsRankRates_Get(ps_rank_rates_t *rates, uint32_t rank, double initial,
                int64_t now_ms)
{
    int i = find_rate(rates, rank);
    if (i == rates->n && i < PS_RANKS_MAX) {
        rates->rates[rates->n++] = (ps_rank_rate_t){rank, initial, now_ms};
    }
    ps_rank_rate_t *rate = &rates->rates[MIN(i, PS_RANKS_MAX - 1)];
    rate->starts = get_decayed(rate, now_ms);
    rate->at_ms = now_ms;
    return rate;
}

double
PsRankRates_GetStarts(const ps_rank_rates_t *rates, uint32_t rank,
                      int64_t now_ms)
{
    int i = MIN(find_rate(rates, rank), PS_RANKS_MAX - 1);
    return i < rates->n ? get_decayed(&rates->rates[i], now_ms) : 0.0;
}
