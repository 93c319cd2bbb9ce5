/*
 * members.h - The daemons of a deployment, as seen by one of them.
 *
 * Liveness is by observation: a member whose object has not changed over the
 * lease, counted only while the platform answers, is not live. Rendezvous
 * hashing over the live members says who should own a pool.
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
    uint64_t version; /* of its object when last seen to change */
    int64_t stale_ms; /* unchanged over this time */
    bool is_silent;   /* its peers hear nothing from it */
    bool is_listed;   /* in the latest list */
    bool was_live;    /* at the user's last look */
} ps_member_t;

/**
 * struct ps_members - All known daemons.
 */
typedef struct ps_members {
    GArray *all; /* of ps_member_t, by name */
    int64_t lease_ms;
    int64_t listed_ms; /* time of the latest list; 0: none */
} ps_members_t;

void PsMembers_Init(ps_members_t *members, int64_t lease_ms);
void PsMembers_Finish(ps_members_t *members);

/**
 * PsMembers_BeginList() - Starts taking in a complete list of the platform.
 */
void PsMembers_BeginList(ps_members_t *members);

/**
 * PsMembers_Add() - Takes in one member of the list.
 * @text: its object's JSON
 * @version: its object's version
 *
 * Return: PS_OK or PS_INVALID.
 */
ps_status_t PsMembers_Add(ps_members_t *members, const char *name,
                          const char *text, uint64_t version);

/**
 * PsMembers_EndList() - Ends a list and ages members that have not changed.
 * @step_ms: longest time that one list may age a member by
 */
void PsMembers_EndList(ps_members_t *members, int64_t step_ms, int64_t now_ms);

/**
 * PsMembers_Encode() - Writes a member's object.
 * @beat: grows with each renewal
 *
 * Return: JSON text, freed by the caller with free().
 */
char *PsMembers_Encode(const ps_member_t *member, uint64_t beat);

ps_member_t *PsMembers_Get(const ps_members_t *members,
                           const ps_name_t *name); /* or NULL */
bool PsMembers_IsLive(const ps_members_t *members, const ps_member_t *member);

/**
 * PsMembers_GetRank() - Ranks a daemon among the live ones for a pool.
 *
 * Return: 0 for the one that should own it; -1 when it is not live.
 */
int PsMembers_GetRank(const ps_members_t *members, const ps_name_t *pool,
                      const ps_name_t *name);

#endif
