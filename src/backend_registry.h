/*
 * backend_registry.h - The backend servers that a daemon uses, by name.
 *
 * Follows the registrations in the store. A registration may expire while the
 * store is unavailable, although its server is alive. Such a server is kept
 * for a grace period after the store has become available, in which a live
 * server registers again. Load pattern: registrations lapse and come back
 * while their servers run, as they lose the path to the store for some
 * seconds. Does no I/O; all times are passed in.
 */
#ifndef PS_BACKEND_REGISTRY_H
#define PS_BACKEND_REGISTRY_H

#include "backend.h"

struct ps_backend_registry;

/**
 * struct ps_backend_registry_events - Callbacks of a registry.
 * @listed: a server was added, or its registration was set again if @is_new is
 *          false
 * @unlisted: a server was removed; it is freed with its last reference
 */
typedef struct ps_backend_registry_events {
    void (*listed)(struct ps_backend_registry *registry, ps_backend_t *backend,
                   bool is_new);
    void (*unlisted)(struct ps_backend_registry *registry,
                     ps_backend_t *backend, const char *reason);
} ps_backend_registry_events_t;

/**
 * struct ps_backend_registry - All backend servers, by name.
 */
typedef struct ps_backend_registry {
    const ps_backend_registry_events_t *events;
    void *user;
    GHashTable *by_name; /* name to backend_record_t */
    GHashTable *lapsed;  /* name to servers that are no longer registered */
    bool is_store_unavailable;
    int64_t keep_missing_until_ms; /* end of the grace period */
    int64_t next_read_ms;          /* earliest read for missing servers */
    int64_t restored_until_ms; /* registrations may be older than those known
                                  until then */
} ps_backend_registry_t;

/**
 * PsBackendRegistry_Init() - Initializes an empty registry.
 * @events: must outlive the registry
 * @user: for the callbacks
 */
void PsBackendRegistry_Init(ps_backend_registry_t *registry,
                            const ps_backend_registry_events_t *events,
                            void *user);

/**
 * PsBackendRegistry_Finish() - Releases all servers without calling the
 * callbacks.
 */
void PsBackendRegistry_Finish(ps_backend_registry_t *registry);

/**
 * PsBackendRegistry_Set() - Adds a server or updates its registration.
 *
 * A server that registers with another start time, service or address is
 * removed and added as a new one. One whose registration had lapsed is the
 * same as before, with all that it has said. In the grace period after the
 * store was restored, a registration of an earlier start, or one that is not
 * leaving any more, is ignored.
 */
void PsBackendRegistry_Set(ps_backend_registry_t *registry,
                           const ps_registration_t *registration,
                           int64_t now_ms);
ps_backend_t *PsBackendRegistry_Find(const ps_backend_registry_t *registry,
                                     const ps_name_t *name); /* or NULL */

/**
 * PsBackendRegistry_Remove() - Removes a server whose registration was
 * removed.
 *
 * While the store is unavailable and in the grace period after it, the server
 * is only marked as missing, unless it was leaving.
 */
void PsBackendRegistry_Remove(ps_backend_registry_t *registry,
                              const ps_name_t *name, int64_t now_ms);

/**
 * PsBackendRegistry_RetainOnly() - Removes, as PsBackendRegistry_Remove()
 * does, all servers whose names are not in a set.
 */
void PsBackendRegistry_RetainOnly(ps_backend_registry_t *registry,
                                  GHashTable *names, int64_t now_ms);

/**
 * PsBackendRegistry_HandleStoreUnavailable() - Keeps servers whose
 * registrations are removed from now on.
 */
void PsBackendRegistry_HandleStoreUnavailable(ps_backend_registry_t *registry);

/**
 * PsBackendRegistry_HandleStoreAvailable() - Starts the grace period.
 */
void PsBackendRegistry_HandleStoreAvailable(ps_backend_registry_t *registry,
                                            int64_t now_ms);

/**
 * PsBackendRegistry_HandleStoreRestored() - Starts the grace period in which
 * registrations may be missing or older than those known.
 */
void PsBackendRegistry_HandleStoreRestored(ps_backend_registry_t *registry,
                                           int64_t now_ms);

/**
 * PsBackendRegistry_MustRead() - Tells whether all registrations have to be
 * read: the grace period is over, and servers are still missing. After a read
 * that brings no list it does so again.
 *
 * They are removed only by a list that is read after it. A daemon that seldom
 * reads the store would otherwise remove servers that have registered again.
 */
bool PsBackendRegistry_MustRead(ps_backend_registry_t *registry,
                                int64_t now_ms);

#endif
