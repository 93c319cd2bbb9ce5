/*
 * changes.h - Recent changes of backend servers and daemons.
 *
 * The allocator sends each change that it reads from the store to the other
 * daemons, with its grants. A daemon remembers the newest change of each name
 * for some seconds. It forwards only changes that it read from the store
 * itself, so that no change circulates between daemons.
 */
#ifndef PS_CHANGES_H
#define PS_CHANGES_H

#include "peer.pb-c.h"
#include "store_events.h"

/**
 * struct ps_change_header - Common first member of all kinds of changes.
 */
typedef struct ps_change_header {
    ps_name_t name;
    bool is_removed;     /* else added or changed */
    bool is_local;       /* read from the store by this daemon: forwarded */
    int64_t recorded_ms; /* when this daemon learnt of it */
} ps_change_header_t;

/**
 * struct ps_server_change - A change of a backend server.
 */
typedef struct ps_server_change {
    ps_change_header_t header;
    ps_registration_t registration;
} ps_server_change_t;

/**
 * struct ps_member_change - A daemon that was registered or removed.
 */
typedef struct ps_member_change {
    ps_change_header_t header;
    ps_daemon_info_t info;
} ps_member_change_t;

/**
 * struct ps_changes - Changes of the last seconds, at most one for a name.
 */
typedef struct ps_changes {
    GArray *servers; /* ps_server_change_t */
    GArray *members; /* ps_member_change_t */
} ps_changes_t;

void PsChanges_Init(ps_changes_t *changes);
void PsChanges_Finish(ps_changes_t *changes);

/**
 * PsChanges_AddServer() - Adds a change of a backend server.
 * @is_removed: the registration was removed, else added or changed
 * @is_local: this daemon read it from the store
 *
 * Replaces an older change of the same name.
 */
void PsChanges_AddServer(ps_changes_t *changes,
                         const ps_registration_t *registration,
                         bool is_removed, bool is_local, int64_t now_ms);

/**
 * PsChanges_AddMember() - Adds a change of a daemon; see
 * PsChanges_AddServer().
 */
void PsChanges_AddMember(ps_changes_t *changes, const ps_daemon_info_t *info,
                         bool is_removed, bool is_local, int64_t now_ms);

/**
 * PsChanges_IsServerRemoved() - Tells whether the changes say that a start of
 * a backend server was removed.
 * @started_ms: Unix time of the start, from the registration
 */
bool PsChanges_IsServerRemoved(const ps_changes_t *changes,
                               const ps_name_t *name, int64_t started_ms);

/**
 * PsChanges_AddToGrant() - Adds the local changes of the last rounds to a
 * grant.
 *
 * The messages refer to texts in @changes; free them with
 * PsChanges_FreeInGrant() before @changes is used again.
 */
void PsChanges_AddToGrant(const ps_changes_t *changes, Ps__ShareGrant *grant,
                          int64_t now_ms);

/**
 * PsChanges_FreeInGrant() - Frees what PsChanges_AddToGrant() has added.
 */
void PsChanges_FreeInGrant(Ps__ShareGrant *grant);

/**
 * PsChanges_ParseServer() - Copies a backend server's registration out of a
 * grant.
 */
ps_registration_t PsChanges_ParseServer(const Ps__ServerNews *message);

/**
 * PsChanges_ParseMember() - Copies a daemon's registration out of a grant.
 */
ps_daemon_info_t PsChanges_ParseMember(const Ps__MemberNews *message);

#endif
