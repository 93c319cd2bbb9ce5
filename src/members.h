/*
 * members.h - The daemons of a deployment, as seen by one of them.
 *
 * A member whose object has not changed for the time of the lease is not live;
 * only time during which the platform answers counts. Rendezvous hashing over
 * the live members says which one should own a pool.
 */
#ifndef PS_MEMBERS_H
#define PS_MEMBERS_H

#include <glib.h>

#include "status.h"
#include "str.h"

#define PS_MEMBERS_PREFIX "members/" /* platform keys of members */

/**
 * struct ps_member - One daemon.
 */
typedef struct ps_member {
    ps_name_t name;
    ps_name_t domain; /* failure domain */
    ps_name_t caller_address;
    ps_name_t peer_address;
    uint64_t incarnation; /* differs at each start */
    bool is_leaving;
    uint64_t version; /* of its object */
    int64_t stale_ms; /* since the object changed; -1: changed in this list */
    bool is_silent;   /* nothing is received from it on the peer link */
    bool is_listed;   /* in the latest list */
    bool was_live;    /* at the last check for lost members */
} ps_member_t;

/**
 * struct ps_members - All known daemons.
 */
typedef struct ps_members {
    GArray *all; /* of ps_member_t, one a name */
    int64_t lease_ms;
    int64_t listed_ms; /* time of the latest list; 0: none */
} ps_members_t;

void PsMembers_Init(ps_members_t *members, int64_t lease_ms);
void PsMembers_Finish(ps_members_t *members);

/**
 * PsMembers_BeginList() - Starts a complete list; PsMembers_Add() and
 * PsMembers_EndList() follow.
 */
void PsMembers_BeginList(ps_members_t *members);

/**
 * PsMembers_Add() - Adds or updates one member of the list.
 * @text: JSON of its object
 * @version: version of its object
 *
 * Return: PS_OK, or PS_INVALID when the text is not a JSON object.
 */
ps_status_t PsMembers_Add(ps_members_t *members, const char *name,
                          const char *text, uint64_t version);

/**
 * PsMembers_EndList() - Ends a list: removes the members that were not in it
 * and adds the time since the last list to stale_ms of those that have not
 * changed.
 * @step_ms: most time added, so that a pause between lists expires no lease
 */
void PsMembers_EndList(ps_members_t *members, int64_t step_ms, int64_t now_ms);

/**
 * PsMembers_Encode() - Encodes a member's object.
 * @renewals: grows with each renewal
 *
 * Return: JSON text, to be freed with free().
 */
char *PsMembers_Encode(const ps_member_t *member, uint64_t renewals);

ps_member_t *PsMembers_Get(const ps_members_t *members,
                           const ps_name_t *name); /* or NULL */
bool PsMembers_IsLive(const ps_members_t *members, const ps_member_t *member);

/**
 * PsMembers_GetRank() - Returns a daemon's rank among the live members that
 * may own a pool.
 *
 * Return: 0 for the one that should own it; -1 if it is not live or is
 * leaving.
 */
int PsMembers_GetRank(const ps_members_t *members, const ps_name_t *pool,
                      const ps_name_t *name);

#endif
