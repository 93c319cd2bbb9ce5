/*
 * histogram.h - Latency histograms in Prometheus text form.
 *
 * Fixed bounds in milliseconds, so that the histograms of all daemons add up.
 */
#ifndef PS_HISTOGRAM_H
#define PS_HISTOGRAM_H

#include <stdint.h>

#include "str.h"

#define PS_HISTOGRAM_BOUNDS                                                   \
    14 /* finite ones; one more bucket has the rest                           \
        */

/**
 * struct ps_histogram - Observed latencies.
 */
typedef struct ps_histogram {
    uint64_t counts[PS_HISTOGRAM_BOUNDS + 1];
    double sum_ms;
} ps_histogram_t;

/**
 * PsHistogram_Add() - Counts one latency.
 * @ms: negative ones count as 0
 */
void PsHistogram_Add(ps_histogram_t *histogram, double ms);

/**
 * PsHistogram_Print() - Appends the histogram.
 * @name: metric name, with its unit: milliseconds
 */
void PsHistogram_Print(const ps_histogram_t *histogram, const char *name,
                       ps_buf_t *out);

#endif
