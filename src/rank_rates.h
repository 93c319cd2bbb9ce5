/*
 * rank_rates.h - Counts by rank: how many requests wait, and how often they
 * are started.
 *
 * Does no I/O; all times are passed in.
 */
#ifndef PS_RANK_RATES_H
#define PS_RANK_RATES_H

#include <stdint.h>

#define PS_RANKS_MAX 16             /* ranks that are counted separately */
#define PS_RANK_RATE_DECAY_MS 500.0 /* time constant of start rates */

/**
 * struct ps_waiting_count - Number of waiting or started requests of one rank.
 */
typedef struct ps_waiting_count {
    uint32_t rank; /* 0 is served first */
    int count;
} ps_waiting_count_t;

/**
 * struct ps_rank_rate - How often tasks of one rank are started.
 */
typedef struct ps_rank_rate {
    uint32_t rank;
    double starts; /* count with exponential decay */
    int64_t at_ms; /* @starts is decayed up to this time */
} ps_rank_rate_t;

/**
 * struct ps_rank_rates - Start rates of all ranks. All zero: none is known.
 */
typedef struct ps_rank_rates {
    ps_rank_rate_t rates[PS_RANKS_MAX];
    int n;
} ps_rank_rates_t;

/**
 * PsWaitingCounts_Add() - Adds to the count of a rank. One that no longer fits
 * is left out.
 * @n: number of counts
 * @max: most counts that fit
 *
 * Return: the new number of counts.
 */
int PsWaitingCounts_Add(ps_waiting_count_t *counts, int n, int max,
                        uint32_t rank, int added);

/**
 * PsRankRates_Get() - Returns a rank's rate, decayed to now. Ranks that no
 * longer fit share the last one.
 * @initial: starts of a rank that is added
 */
ps_rank_rate_t *PsRankRates_Get(ps_rank_rates_t *rates, uint32_t rank,
                                double initial, int64_t now_ms);

/**
 * PsRankRates_GetStarts() - Returns the starts of a rank, decayed to now; 0:
 * it is not known.
 */
double PsRankRates_GetStarts(const ps_rank_rates_t *rates, uint32_t rank,
                             int64_t now_ms);

#endif
