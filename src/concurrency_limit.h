/*
 * concurrency_limit.h - How many requests at a time a server answers on time.
 *
 * Raised by one while its requests are on time and use it up, and lowered by a
 * factor while a large share of them is late. It is a limit for what is handed
 * out in advance: waiting requests that no other server can take get slots
 * beyond it. Load pattern: servers that slow down before all of their slots
 * are in use. Does no I/O; all times are passed in.
 */
#ifndef PS_CONCURRENCY_LIMIT_H
#define PS_CONCURRENCY_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct ps_limit_evidence - What a limit is adjusted by.
 */
typedef struct ps_limit_evidence {
    double on_time;   /* decaying number of answers */
    double late;      /* of those that the server made late */
    int peak_running; /* most requests at a time since the last adjustment */
} ps_limit_evidence_t;

/**
 * struct ps_concurrency_limit - Limit of one server. All zero: not set yet.
 */
typedef struct ps_concurrency_limit {
    double limit;           /* 0: not set yet */
    int slots;              /* that the server has registered */
    int64_t next_adjust_ms; /* it is not adjusted before */
    uint32_t n_lowered;     /* times it was, since the start */
} ps_concurrency_limit_t;

/**
 * PsConcurrencyLimit_Update() - Adjusts a limit if it is time for it.
 * @slots: that the server has registered; the limit starts there
 *
 * Return: whether the evidence was used; its peak is to be counted anew then.
 */
bool PsConcurrencyLimit_Update(ps_concurrency_limit_t *limit,
                               const ps_limit_evidence_t *evidence, int slots,
                               int64_t now_ms);

/**
 * PsConcurrencyLimit_Get() - Returns the limit: from 1 to the slots; 0 before
 * the first update.
 */
int PsConcurrencyLimit_Get(const ps_concurrency_limit_t *limit);

#endif
