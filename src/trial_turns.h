/*
 * trial_turns.h - Which daemons may let a request with a banned mark through.
 *
 * Each such request may end a server, so that few daemons of a fleet may let
 * one through at a time, and others next time: chosen by rendezvous hashing of
 * the mark and the time, so that daemons agree without a message. Does no I/O.
 */
#ifndef PS_TRIAL_TURNS_H
#define PS_TRIAL_TURNS_H

#include <glib.h>

#include "str.h"

// Length of a turn. Within it all daemons learn whether a server has ended.
#define PS_TRIAL_TURN_MS 500

/**
 * PsTrialTurns_IsOwn() - Tells whether it is this daemon's turn.
 * @others: names of the other daemons, ps_name_t
 * @unix_ms: the wall clock
 */
bool PsTrialTurns_IsOwn(const ps_name_t *self, const GPtrArray *others,
                        uint64_t mark, int64_t unix_ms);

#endif
