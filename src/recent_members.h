/*
 * recent_members.h - Daemons that have left lately.
 *
 * A daemon that leaves, or is removed because the others don't hear it, has
 * used its part of a limit, or goes on using it while callers reach it. Its
 * part is therefore kept for the length of the limit's window. Does no I/O;
 * all times are passed in.
 */
#ifndef PS_RECENT_MEMBERS_H
#define PS_RECENT_MEMBERS_H

#include <glib.h>

#include "str.h"

/**
 * struct ps_recent_members - When each of them left.
 */
typedef struct ps_recent_members {
    GHashTable *left_ms; /* name to the time */
} ps_recent_members_t;

void PsRecentMembers_Init(ps_recent_members_t *recent);
void PsRecentMembers_Finish(ps_recent_members_t *recent);

/**
 * PsRecentMembers_AddLeft() - Notes that a daemon has left.
 */
void PsRecentMembers_AddLeft(ps_recent_members_t *recent,
                             const ps_name_t *name, int64_t now_ms);

/**
 * PsRecentMembers_RemoveJoined() - Forgets a daemon that is a member again.
 */
void PsRecentMembers_RemoveJoined(ps_recent_members_t *recent,
                                  const ps_name_t *name);

/**
 * PsRecentMembers_CountLeft() - Counts the daemons that left within a window
 * and are no members, and forgets those that left before.
 */
int PsRecentMembers_CountLeft(ps_recent_members_t *recent, int64_t window_ms,
                              int64_t now_ms);

#endif
