/*
 * store_events.h - What a platform's store tells a gateway.
 *
 * The adapter of a store reads, watches and decodes; the gateway believes and
 * decides. Times are on the gateway's clock.
 */
#ifndef PS_STORE_EVENTS_H
#define PS_STORE_EVENTS_H

#include "backend.h"
#include "catalog.h"

/**
 * struct ps_daemon_info - A daemon of the deployment, as it registered itself.
 */
typedef struct ps_daemon_info {
    ps_name_t name;
    ps_name_t domain;
    ps_name_t caller_address;
    ps_name_t peer_address;
    uint64_t incarnation;      /* differs at each start */
    double cpu_share;          /* of a core */
    uint64_t revision;         /* of its object in the store */
    int64_t joined_ms;         /* this daemon learnt of it then */
    bool is_removal_requested; /* its removal was asked for */
} ps_daemon_info_t;

#define PS_QUOTA_USAGE_PARTS 8 /* parts of the window in a record */

/**
 * struct ps_quota_usage - What a team had spent of its quota.
 *
 * The allocator keeps it in the store, so that daemons which all start anew
 * do not give the window's quota out twice.
 */
typedef struct ps_quota_usage {
    ps_name_t team;
    double used_units[PS_QUOTA_USAGE_PARTS]; /* units in each part of the
                                     window, newest first */
} ps_quota_usage_t;

/**
 * struct ps_store_events - News from the store.
 * @catalog: a configuration; a reference is handed over
 * @confirmed: the configuration in force was the newest at @sent_ms
 * @server: a backend server's registration
 * @server_gone: its registration was removed
 * @servers_listed: all registrations were read; those not in @names are gone
 * @member: a daemon's registration
 * @member_gone: it was removed
 * @members_listed: like @servers_listed
 * @spent: the record of the quotas' use, read once at the start; none: 0
 * @lost: the store does not answer
 * @back: it answers again
 */
typedef struct ps_store_events {
    void (*catalog)(void *user, ps_catalog_t *catalog);
    void (*confirmed)(void *user, int64_t sent_ms);
    void (*server)(void *user, const ps_registration_t *told);
    void (*server_removed)(void *user, const ps_name_t *name);
    void (*servers_listed)(void *user, GHashTable *names);
    void (*member)(void *user, const ps_daemon_info_t *member);
    void (*member_removed)(void *user, const ps_name_t *name);
    void (*members_listed)(void *user, GHashTable *names);
    void (*quota_usage)(void *user, const ps_quota_usage_t *records, int n,
                        int64_t age_ms);
    void (*unavailable)(void *user, const char *reason);
    void (*available)(void *user);
} ps_store_events_t;

#endif
