/*
 * changes.h - Changes of servers and daemons, told from the allocator to
 * others.
 *
 * A daemon keeps the newest change of each name for some seconds. Only what it
 * read from the store itself is told on, so that no news goes in circles.
 */
#ifndef PS_CHANGES_H
#define PS_CHANGES_H

#include "store_events.h"
#include "peer.pb-c.h"

/**
 * struct ps_change_header - What all news say alike; their first member.
 */
typedef struct ps_change_header {
    ps_name_t name;
    bool is_removed;
    bool is_local; /* read from the store here, and so told to others */
    int64_t recorded_ms;
} ps_change_header_t;

/**
 * struct ps_server_change - A change of a backend server.
 */
typedef struct ps_server_change {
    ps_change_header_t header;
    ps_registration_t registration;
} ps_server_change_t;

/**
 * struct ps_member_change - A daemon that has joined or is gone.
 */
typedef struct ps_member_change {
    ps_change_header_t header;
    ps_daemon_info_t info;
} ps_member_change_t;

/**
 * struct ps_changes - The changes of the last seconds.
 */
typedef struct ps_changes {
    GArray *servers; /* ps_server_change_t */
    GArray *members; /* ps_member_change_t */
} ps_changes_t;

void PsChanges_Init(ps_changes_t *news);
void PsChanges_Finish(ps_changes_t *news);

/**
 * PsChanges_AddServer() - Keeps a change in place of older ones of the name.
 * @is_own: read from the store here
 */
void PsChanges_AddServer(ps_changes_t *news, const ps_registration_t *told,
                         bool is_gone, bool is_own, int64_t now_ms);
void PsChanges_AddMember(ps_changes_t *news, const ps_daemon_info_t *info,
                         bool is_gone, bool is_own, int64_t now_ms);

/**
 * PsChanges_IsServerRemoved() - Tells whether this start of a server is known
 * to be gone.
 */
bool PsChanges_IsServerRemoved(const ps_changes_t *news, const ps_name_t *name,
                               int64_t started_ms);

/**
 * PsChanges_AddToGrant() - Adds own news of the last rounds to a grant.
 */
void PsChanges_AddToGrant(const ps_changes_t *news, Ps__ShareGrant *grant,
                          int64_t now_ms);

/**
 * PsChanges_FreeInGrant() - Frees what PsChanges_AddToGrant() has added.
 */
void PsChanges_FreeInGrant(Ps__ShareGrant *grant);
ps_registration_t PsChanges_DecodeServer(const Ps__ServerNews *message);
ps_daemon_info_t PsChanges_DecodeMember(const Ps__MemberNews *message);

#endif
