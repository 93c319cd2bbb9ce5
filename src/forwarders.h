/*
 * forwarders.h - Which other daemon carries a request to a server.
 *
 * Requests to a server that this daemon doesn't reach are spread over the
 * daemons that do: each goes to the one of two, chosen at random, that carries
 * fewer of this daemon's requests. Load pattern: half of the daemons or more
 * are cut off at once, and the rest carries for all of them. Does no I/O; all
 * times are passed in.
 */
#ifndef PS_FORWARDERS_H
#define PS_FORWARDERS_H

#include <glib.h>

#include "str.h"

// Time for which a daemon is left out after it has refused a request or could
// not be reached.
#define PS_FORWARDER_AVOID_MS 1000

/**
 * struct ps_forwarder - A daemon as a carrier of this daemon's requests.
 */
typedef struct ps_forwarder {
    ps_name_t name;
    ps_name_t address; /* where it accepts requests of other daemons */
    bool is_member;    /* false: it has left, and carries its last ones */
    int in_progress;   /* requests that it carries for this daemon */
    int64_t avoided_until_ms;
} ps_forwarder_t;

/**
 * struct ps_forwarders - All other daemons.
 */
typedef struct ps_forwarders {
    GHashTable *by_name; /* name to ps_forwarder_t */
    uint32_t random_state;
} ps_forwarders_t;

void PsForwarders_Init(ps_forwarders_t *forwarders, uint32_t seed);
void PsForwarders_Finish(ps_forwarders_t *forwarders);

/**
 * PsForwarders_Set() - Adds a daemon, or sets its address.
 * @address: empty: it carries no requests of others
 */
void PsForwarders_Set(ps_forwarders_t *forwarders, const ps_name_t *name,
                      const ps_name_t *address);
void PsForwarders_Remove(ps_forwarders_t *forwarders, const ps_name_t *name);

/**
 * PsForwarders_Choose() - Chooses a daemon for a request.
 * @is_excluded: tells whether a daemon doesn't reach servers itself; it is
 *               chosen only if all others are; may be NULL
 * @user: for @is_excluded
 *
 * Return: its name, valid until it is removed; NULL: there is none.
 */
ps_forwarder_t *PsForwarders_Choose(ps_forwarders_t *forwarders,
                                    bool (*is_excluded)(void *user,
                                                        const ps_name_t *name),
                                    void *user, int64_t now_ms);

/**
 * PsForwarders_HasAny() - Tells whether there is any daemon to choose from.
 */
bool PsForwarders_HasAny(const ps_forwarders_t *forwarders);

/**
 * PsForwarders_AddRequest() - Counts a request that a daemon carries from now
 * on; PsForwarders_EndRequest() ends it.
 */
void PsForwarders_AddRequest(ps_forwarder_t *forwarder);
void PsForwarders_EndRequest(ps_forwarders_t *forwarders,
                             ps_forwarder_t *forwarder);

/**
 * PsForwarders_Avoid() - Leaves a daemon out for a while.
 */
void PsForwarders_Avoid(ps_forwarder_t *forwarder, int64_t now_ms);

#endif
