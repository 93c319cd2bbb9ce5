/* backend_registry.c - Backend servers and their missing registrations. */
#include "backend_registry.h"

// Grace period after the store has become available. By the users'
// requirements, live servers have registered again by then.
#define MISSING_GRACE_MS 2000

/* ---- Types ------------------------------------------------------------ */

typedef struct entry {
    ps_name_t name;
    ps_backend_t *backend;
    bool is_missing; /* registration removed; kept in the grace period */
} entry_t;

/* ---- Internal functions ----------------------------------------------- */

static void
unlist(ps_backend_registry_t *registry, entry_t *entry, const char *reason)
{
    ps_backend_t *backend = entry->backend;
    backend->is_listed = false;
    registry->events->unlisted(registry, backend, reason);
    PsBackend_Unlist(backend);
    entry->backend = NULL;
}

static bool
must_keep(const ps_backend_registry_t *registry, const entry_t *entry,
          int64_t now_ms)
{
    return !entry->backend->registration.is_leaving &&
           (registry->is_store_unavailable ||
            now_ms < registry->keep_missing_until_ms);
}

/* ---- Public functions ------------------------------------------------- */

void
PsBackendRegistry_Init(ps_backend_registry_t *registry,
                       const ps_backend_registry_events_t *events, void *user)
{
    *registry = (ps_backend_registry_t){.events = events, .user = user};
    registry->by_name =
        g_hash_table_new_full(PsName_Hash, PsName_EqualKeys, NULL, g_free);
}

void
PsBackendRegistry_Finish(ps_backend_registry_t *registry)
{
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, registry->by_name);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        PsBackend_Unlist(((entry_t *)value)->backend);
    }
    g_hash_table_destroy(registry->by_name);
}

void
PsBackendRegistry_Set(ps_backend_registry_t *registry,
                      const ps_registration_t *registration, int64_t now_ms)
{
    entry_t *entry =
        g_hash_table_lookup(registry->by_name, &registration->name);
    if (entry &&
        (entry->backend->registration.started_ms != registration->started_ms ||
         !PsName_IsEqual(&entry->backend->registration.service,
                         &registration->service) ||
         !PsName_IsEqual(&entry->backend->registration.address,
                         &registration->address))) {
        unlist(registry, entry,
               "registered with another start time, service or address");
        g_hash_table_remove(registry->by_name, &registration->name);
        entry = NULL;
    }
    bool is_new = !entry;
    if (is_new) {
        entry = g_new0(entry_t, 1);
        entry->name = registration->name;
        entry->backend = PsBackend_New(registration, now_ms);
        g_hash_table_insert(registry->by_name, &entry->name, entry);
    }
    entry->is_missing = false;
    PsBackend_Update(entry->backend, registration, now_ms);
    registry->events->listed(registry, entry->backend, is_new);
}

ps_backend_t *
PsBackendRegistry_Find(const ps_backend_registry_t *registry,
                       const ps_name_t *name)
{
    const entry_t *entry = g_hash_table_lookup(registry->by_name, name);
    return entry ? entry->backend : NULL;
}

void
PsBackendRegistry_Remove(ps_backend_registry_t *registry,
                         const ps_name_t *name, int64_t now_ms)
{
    entry_t *entry = g_hash_table_lookup(registry->by_name, name);
    if (!entry) {
        return;
    }
    if (must_keep(registry, entry, now_ms)) {
        entry->is_missing = true;
        return;
    }
    unlist(registry, entry, "no longer registered");
    g_hash_table_remove(registry->by_name, name);
}

void
PsBackendRegistry_RetainOnly(ps_backend_registry_t *registry,
                             GHashTable *names, int64_t now_ms)
{
    GList *entries = g_hash_table_get_values(registry->by_name);
    for (GList *l = entries; l; l = l->next) {
        const entry_t *entry = l->data;
        if (!g_hash_table_contains(names, &entry->name)) {
            ps_name_t name = entry->name;
            PsBackendRegistry_Remove(registry, &name, now_ms);
        }
    }
    g_list_free(entries);
}

void
PsBackendRegistry_HandleStoreUnavailable(ps_backend_registry_t *registry)
{
    registry->is_store_unavailable = true;
}

void
PsBackendRegistry_HandleStoreAvailable(ps_backend_registry_t *registry,
                                       int64_t now_ms)
{
    registry->is_store_unavailable = false;
    registry->keep_missing_until_ms = now_ms + MISSING_GRACE_MS;
}

void
PsBackendRegistry_RemoveMissing(ps_backend_registry_t *registry,
                                int64_t now_ms)
{
    if (registry->is_store_unavailable ||
        now_ms < registry->keep_missing_until_ms) {
        return;
    }
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, registry->by_name);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        entry_t *entry = value;
        if (entry->is_missing) {
            unlist(registry, entry,
                   "did not register again after the store became available");
            g_hash_table_iter_remove(&each);
        }
    }
}
