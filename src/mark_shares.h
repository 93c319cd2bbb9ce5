/*
 * mark_shares.h - In which share of the recent requests a mark was.
 *
 * A mark that most requests have is in flight at each crash of a server,
 * whatever its cause: the crash says little of it. Requests count when they
 * arrive, whether they are sent or refused. Does no I/O; all times are passed
 * in.
 */
#ifndef PS_MARK_SHARES_H
#define PS_MARK_SHARES_H

#include <glib.h>
#include <stdint.h>

#define PS_MARK_SHARES_MAX 4096 /* marks in each generation */

/**
 * struct ps_mark_counts - Requests of one generation.
 */
typedef struct ps_mark_counts {
    GHashTable *by_mark; /* uint64_t to their number */
    guint n_requests;
} ps_mark_counts_t;

/**
 * struct ps_mark_shares - Counts of the last seconds, in two generations.
 */
typedef struct ps_mark_shares {
    ps_mark_counts_t newer;
    ps_mark_counts_t older;
    int64_t newer_since_ms;
} ps_mark_shares_t;

void PsMarkShares_Init(ps_mark_shares_t *shares);
void PsMarkShares_Finish(ps_mark_shares_t *shares);

/**
 * PsMarkShares_Add() - Counts a request.
 * @marks: array of uint64_t; those that no other request has are left out
 */
void PsMarkShares_Add(ps_mark_shares_t *shares, const GArray *marks,
                      int64_t now_ms);

/**
 * PsMarkShares_Get() - Returns the share of requests with a shared mark, from
 * 0 to 1; 1 if there was no request lately.
 */
double PsMarkShares_Get(const ps_mark_shares_t *shares, uint64_t mark);

#endif
