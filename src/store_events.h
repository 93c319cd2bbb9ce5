/*
 * store_events.h - Events that the store's client reports to the gateway.
 *
 * The client of a platform's store reads, watches and decodes objects. What
 * follows from them is up to the gateway. Times are in milliseconds on the
 * clock of PsClock_Now().
 */
#ifndef PS_STORE_EVENTS_H
#define PS_STORE_EVENTS_H

#include "backend.h"
#include "catalog.h"
#include "origin_log.h"
#include "suspects.h"
#include "version_history.h"

/**
 * struct ps_daemon_info - Registration of a daemon.
 */
typedef struct ps_daemon_info {
    ps_name_t name;
    ps_name_t domain;          /* failure domain */
    ps_name_t caller_address;  /* where callers connect */
    ps_name_t peer_address;    /* where other daemons connect */
    ps_name_t forward_address; /* where it takes their requests; or empty */
    uint64_t incarnation;      /* start time, Unix microseconds */
    double cpu_share;          /* processor share, in cores */
    uint64_t revision;         /* of its object in the store; 0: not known */
    bool is_doubted;           /* its registration says that a daemon takes it
                                  for dead */
    int64_t doubted_ms;        /* when this daemon wrote that, or learnt of
                                  it */
    int64_t denied_ms;         /* when it wrote, or learnt, that it lives after
                                  all; 0: never */
    int64_t joined_ms;         /* when this daemon learnt of it */
    int64_t heard_ms;          /* of its last frame; 0: none yet */
    int64_t probed_ms;         /* when it was last asked for one */
    bool is_removal_requested; /* the store was asked to remove it */
} ps_daemon_info_t;

// Parts of the quota window whose usage is stored separately.
#define PS_QUOTA_USAGE_PARTS 8

/**
 * struct ps_quota_usage - What a team has spent of its quota in the window.
 *
 * The allocator writes it to the store. Without it, daemons that all restart
 * at once would grant the window's quota a second time.
 */
typedef struct ps_quota_usage {
    ps_name_t team;
    double used_units[PS_QUOTA_USAGE_PARTS]; /* by part, newest first */
} ps_quota_usage_t;

#define PS_STORED_TEAMS_MAX 64    /* teams whose usage is stored */
#define PS_STORED_CRASHES_MAX 128 /* crashes that are stored */
#define PS_STORED_VERSIONS_MAX 64 /* versions of services that are stored */

/**
 * struct ps_stored_state - What the allocator keeps in the store, for a start
 * of all daemons at once.
 */
typedef struct ps_stored_state {
    bool is_stored; /* false: no state was ever stored */
    ps_quota_usage_t teams[PS_STORED_TEAMS_MAX];
    int n_teams;
    ps_crash_t crashes[PS_STORED_CRASHES_MAX];
    size_t n_crashes;
    bool has_versions; /* the next three are known; false: too many, stored by
                          another build, or before the store was restored */
    ps_served_version_t versions[PS_STORED_VERSIONS_MAX];
    size_t n_versions;
    int64_t versions_from_ms; /* all that served since are in @versions, up to
                                 when it was written */
} ps_stored_state_t;

/**
 * enum ps_rollout_state - State of an order, as its status says.
 */
typedef enum ps_rollout_state {
    PS_ROLLOUT_STATE_NONE, /* no status, or one of another target */
    PS_ROLLOUT_STATE_RUNNING,
    PS_ROLLOUT_STATE_DONE,
    PS_ROLLOUT_STATE_ROLLED_BACK
} ps_rollout_state_t;

/**
 * struct ps_rollout_object - An operator's order to move a service's traffic
 * to another version.
 */
typedef struct ps_rollout_object {
    ps_name_t service;
    ps_name_t target;    /* version */
    int64_t duration_ms; /* 0: malformed */
    ps_rollout_state_t state;
    uint64_t revision;
} ps_rollout_object_t;

/**
 * struct ps_rollout_record - How far the allocator has got with an order.
 */
typedef struct ps_rollout_record {
    ps_name_t service;
    ps_name_t target;
    uint64_t order;
    int64_t started_unix_ms;
    int step; /* ps_rollout_step_t */
    uint64_t arrived;
    uint64_t sent;
    uint64_t answers;
    uint64_t revision; /* of its object; 0: there is none */
} ps_rollout_record_t;

/**
 * enum ps_store_result - How a conditional write has ended.
 */
typedef enum ps_store_result {
    PS_STORE_WRITTEN,
    PS_STORE_CONFLICT, /* the object has changed since */
    PS_STORE_FAILED    /* not known whether it was written */
} ps_store_result_t;

/**
 * struct ps_store_events - Handlers of the store's events.
 * @catalog_changed: there is a newer configuration; the handler owns a
 * reference
 * @catalog_confirmed: the configuration in force was the newest at @sent_ms
 * @server_changed: a backend server's registration was added or changed
 * @server_removed: a backend server's registration was removed
 * @servers_listed: all registrations were read; those whose names are not in
 *                  the set @names are removed
 * @member_changed: a daemon's registration was added or changed
 * @member_removed: a daemon's registration was removed
 * @members_listed: like @servers_listed, of daemons
 * @state_read: the allocator's state, read once at the start; empty if none is
 *              stored; @age_ms is the time since it was written
 * @state_saved: a write of the allocator's state has ended
 * @origins_read: the slots of origins were read, in any order; @is_done: all
 * @origins_written: a write of a slot has ended
 * @unavailable: the store does not answer
 * @available: the store answers again
 * @restored: the store has come back from an older copy: what was written to
 * it lately is gone until its writers write it again
 * @rollout_changed: an order was added or changed, or has another status
 * @rollout_removed: the order of a service was removed
 * @rollouts_listed: like @servers_listed, of orders
 * @rollout_status_written: a write of an order's status has ended; @object is
 *                          the order after it, NULL if it isn't known
 * @rollout_record_read: a record was read; its revision is 0 if there is none
 * @rollout_record_written: a write of a record has ended; @revision is its new
 *                          one
 */
typedef struct ps_store_events {
    void (*catalog_changed)(void *user, ps_catalog_t *catalog);
    void (*catalog_confirmed)(void *user, int64_t sent_ms);
    void (*server_changed)(void *user, const ps_registration_t *registration);
    void (*server_removed)(void *user, const ps_name_t *name);
    void (*servers_listed)(void *user, GHashTable *names);
    void (*member_changed)(void *user, const ps_daemon_info_t *member);
    void (*member_removed)(void *user, const ps_name_t *name);
    void (*members_listed)(void *user, GHashTable *names);
    void (*state_read)(void *user, const ps_stored_state_t *state,
                       int64_t age_ms);
    void (*state_saved)(void *user, bool is_saved);
    void (*origins_read)(void *user, const ps_origin_slot_t *slots, size_t n,
                         bool is_done);
    void (*origins_written)(void *user, bool is_written);
    void (*unavailable)(void *user, const char *reason);
    void (*available)(void *user);
    void (*restored)(void *user);
    void (*rollout_changed)(void *user, const ps_rollout_object_t *object);
    void (*rollout_removed)(void *user, const ps_name_t *service);
    void (*rollouts_listed)(void *user, GHashTable *names);
    void (*rollout_status_written)(void *user, const ps_name_t *service,
                                   ps_store_result_t result,
                                   const ps_rollout_object_t *object);
    void (*rollout_record_read)(void *user, const ps_rollout_record_t *record);
    void (*rollout_record_written)(void *user, const ps_name_t *service,
                                   ps_store_result_t result,
                                   uint64_t revision);
} ps_store_events_t;

#endif
