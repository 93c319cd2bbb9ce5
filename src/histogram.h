/*
 * histogram.h - Latency histograms in the Prometheus text format.
 *
 * The bucket bounds are fixed, in milliseconds, so that the histograms of all
 * daemons can be added up.
 */
#ifndef PS_HISTOGRAM_H
#define PS_HISTOGRAM_H

#include <stdint.h>

#include "str.h"

// Finite bucket bounds; one more bucket counts what is above them.
#define PS_HISTOGRAM_BOUNDS 14

/**
 * struct ps_histogram - Latencies counted by bucket; starts zeroed.
 */
typedef struct ps_histogram {
    uint64_t counts[PS_HISTOGRAM_BOUNDS + 1];
    double sum_ms;
} ps_histogram_t;

/**
 * PsHistogram_Add() - Counts one latency.
 * @ms: milliseconds; a negative latency counts as 0
 */
void PsHistogram_Add(ps_histogram_t *histogram, double ms);

/**
 * PsHistogram_Print() - Appends the histogram in the Prometheus text format.
 * @name: metric name, which should end with its unit, milliseconds
 */
void PsHistogram_Print(const ps_histogram_t *histogram, const char *name,
                       ps_buf_t *out);

#endif
