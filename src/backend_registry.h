/*
 * backend_registry.h - The backend servers that a daemon believes in.
 *
 * Follows registrations. A server whose registration lapsed while the store
 * was away is kept for a moment after the store's return, because a living
 * server registers again. Pure: time is an argument.
 */
#ifndef PS_BACKEND_REGISTRY_H
#define PS_BACKEND_REGISTRY_H

#include "backend.h"

struct ps_backend_registry;

/**
 * struct ps_backend_registry_events - What a roster tells its user.
 * @listed: a server is new or its registration has changed
 * @unlisted: a server is gone; it is freed with its last holder
 */
typedef struct ps_backend_registry_events {
    void (*listed)(struct ps_backend_registry *roster, ps_backend_t *backend,
                   bool is_new);
    void (*unlisted)(struct ps_backend_registry *roster, ps_backend_t *backend,
                     const char *reason);
} ps_backend_registry_events_t;

/**
 * struct ps_backend_registry - All servers, by name.
 */
typedef struct ps_backend_registry {
    const ps_backend_registry_events_t *events;
    void *user;
    GHashTable *by_name; /* ps_name_t to its entry */
    bool is_store_lost;
    int64_t keep_missing_until_ms; /* missing servers are kept until then */
} ps_backend_registry_t;

void PsBackendRegistry_Init(ps_backend_registry_t *roster,
                            const ps_backend_registry_events_t *events,
                            void *user);
void PsBackendRegistry_Finish(ps_backend_registry_t *roster);
void PsBackendRegistry_Set(ps_backend_registry_t *roster,
                           const ps_registration_t *told, int64_t now_ms);
ps_backend_t *PsBackendRegistry_Find(const ps_backend_registry_t *roster,
                                     const ps_name_t *name); /* or NULL */
void PsBackendRegistry_Remove(ps_backend_registry_t *roster,
                              const ps_name_t *name, int64_t now_ms);

/**
 * PsBackendRegistry_RetainOnly() - Removes all servers whose names are not in
 * a set.
 */
void PsBackendRegistry_RetainOnly(ps_backend_registry_t *roster,
                                  GHashTable *names, int64_t now_ms);
void PsBackendRegistry_HandleStoreLost(ps_backend_registry_t *roster);
void PsBackendRegistry_HandleStoreBack(ps_backend_registry_t *roster,
                                       int64_t now_ms);

/**
 * PsBackendRegistry_RemoveMissing() - Drops servers that are still missing
 * after the store's return.
 */
void PsBackendRegistry_RemoveMissing(ps_backend_registry_t *roster,
                                     int64_t now_ms);

#endif
