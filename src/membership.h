/*
 * membership.h - Renews this daemon's member object and lists all members.
 */
#ifndef PS_MEMBERSHIP_H
#define PS_MEMBERSHIP_H

#include <ev.h>

#include "members.h"
#include "platform.h"

struct ps_daemon;

/**
 * struct ps_membership - This daemon's registration and the known members.
 */
typedef struct ps_membership {
    struct ps_daemon *daemon;
    ps_members_t members;
    ps_member_t self;
    uint64_t version;  /* of the own member object; 0: none known */
    uint64_t renewals; /* renewals so far */
    bool is_writing;
    bool is_listing;
    int n_malformed; /* member objects in the last list */
    bool is_removed; /* the own object is deleted and not written again */
    ev_timer timer;
} ps_membership_t;

void PsMembership_Init(ps_membership_t *membership, struct ps_daemon *daemon);
void PsMembership_Finish(ps_membership_t *membership);

/**
 * PsMembership_SetLeaving() - Announces that this daemon is leaving, and
 * renews its member object every 0.5 s from now on.
 */
void PsMembership_SetLeaving(ps_membership_t *membership);

/**
 * PsMembership_Remove() - Deletes the own member object.
 */
void PsMembership_Remove(ps_membership_t *membership);

/**
 * PsMembership_SetSilent() - Sets whether a member is silent on the peer
 * links.
 *
 * A silent member counts as not live.
 */
void PsMembership_SetSilent(ps_membership_t *membership, const ps_name_t *name,
                            bool is_silent);

#endif
