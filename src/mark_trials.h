/*
 * mark_trials.h - Which requests with a banned mark are sent to find out
 * whether the mark crashes servers.
 *
 * Load pattern: several servers crash for reasons of their own, with the same
 * part of all prompts in flight at each of them, and then one by another part.
 * What all these requests share was in flight at as many crashes as a cause
 * would have been. Only a request that is sent shows the difference: a few
 * are, of those that have no likelier cause, one after another. Does no I/O.
 */
#ifndef PS_MARK_TRIALS_H
#define PS_MARK_TRIALS_H

#include "mark_shares.h"
#include "suspects.h"

/**
 * PsMarkTrials_IsDue() - Tells whether a request with a banned shared mark may
 * be sent to find out.
 * @marks: array of uint64_t; those of the request
 */
bool PsMarkTrials_IsDue(const ps_suspects_t *suspects,
                        const ps_mark_shares_t *shares, uint64_t mark,
                        const GArray *marks, int64_t now_ms);

#endif
