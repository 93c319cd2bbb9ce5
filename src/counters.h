/*
 * counters.h - Counters and gauges of the program in Prometheus text format.
 *
 * Each is a static variable of the module that counts. A metric with several
 * label sets has one variable for each. These must be registered one after
 * another, since HELP and TYPE are printed where the name changes.
 */
#ifndef PS_COUNTERS_H
#define PS_COUNTERS_H

#include "str.h"

/**
 * struct ps_counter - One counter or gauge.
 * @name: metric name without labels; a counter if it contains "_total"
 * @help: one sentence
 * @labels: label text such as `tier="0"`, or NULL
 * @value: current value, set by the module that counts
 * @next: in the list of registered counters
 */
typedef struct ps_counter {
    const char *name;
    const char *help;
    const char *labels;
    double value;
    struct ps_counter *next;
} ps_counter_t;

/**
 * PsCounter_Register() - Adds a counter to the printed metrics.
 * @counter: not copied; adding it twice has no effect
 */
void PsCounter_Register(ps_counter_t *counter);

/**
 * PsCounter_Print() - Appends all counters in Prometheus text format.
 * @out: buffer appended to
 */
void PsCounter_Print(ps_buf_t *out);

#endif
