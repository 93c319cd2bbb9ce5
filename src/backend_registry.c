/* backend_registry.c - Registrations, and what to make of missing ones. */
#include "backend_registry.h"

#define LAPSE_GRACE_MS                                                        \
    2000 /* users' letter: living servers are back by then */

/* ---- Types ------------------------------------------------------------ */

typedef struct entry {
    ps_name_t name;
    ps_backend_t *backend;
    bool is_missing; /* not registered; kept until the hold has passed */
} entry_t;

/* ---- Internal functions ----------------------------------------------- */

static void
drop(ps_backend_registry_t *roster, entry_t *entry, const char *reason)
{
    ps_backend_t *backend = entry->backend;
    backend->is_listed = false;
    roster->events->unlisted(roster, backend, reason);
    PsBackend_Unlist(backend);
    entry->backend = NULL;
}

static bool
must_hold(const ps_backend_registry_t *roster, const entry_t *entry,
          int64_t now_ms)
{
    return !entry->backend->registration.is_leaving &&
           (roster->is_store_lost || now_ms < roster->keep_missing_until_ms);
}

/* ---- Public functions ------------------------------------------------- */

void
PsBackendRegistry_Init(ps_backend_registry_t *roster,
                       const ps_backend_registry_events_t *events, void *user)
{
    *roster = (ps_backend_registry_t){.events = events, .user = user};
    roster->by_name =
        g_hash_table_new_full(PsName_Hash, PsName_EqualKeys, NULL, g_free);
}

void
PsBackendRegistry_Finish(ps_backend_registry_t *roster)
{
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, roster->by_name);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        PsBackend_Unlist(((entry_t *)value)->backend);
    }
    g_hash_table_destroy(roster->by_name);
}

void
PsBackendRegistry_Set(ps_backend_registry_t *roster,
                      const ps_registration_t *told, int64_t now_ms)
{
    entry_t *entry = g_hash_table_lookup(roster->by_name, &told->name);
    if (entry &&
        (entry->backend->registration.started_ms != told->started_ms ||
         !PsName_IsEqual(&entry->backend->registration.service,
                         &told->service) ||
         !PsName_IsEqual(&entry->backend->registration.address,
                         &told->address))) {
        drop(roster, entry, "started again");
        g_hash_table_remove(roster->by_name, &told->name);
        entry = NULL;
    }
    bool is_new = !entry;
    if (is_new) {
        entry = g_new0(entry_t, 1);
        entry->name = told->name;
        entry->backend = PsBackend_New(told, now_ms);
        g_hash_table_insert(roster->by_name, &entry->name, entry);
    }
    entry->is_missing = false;
    PsBackend_Update(entry->backend, told, now_ms);
    roster->events->listed(roster, entry->backend, is_new);
}

ps_backend_t *
PsBackendRegistry_Find(const ps_backend_registry_t *roster,
                       const ps_name_t *name)
{
    const entry_t *entry = g_hash_table_lookup(roster->by_name, name);
    return entry ? entry->backend : NULL;
}

void
PsBackendRegistry_Remove(ps_backend_registry_t *roster, const ps_name_t *name,
                         int64_t now_ms)
{
    entry_t *entry = g_hash_table_lookup(roster->by_name, name);
    if (!entry) {
        return;
    }
    if (must_hold(roster, entry, now_ms)) {
        entry->is_missing = true;
        return;
    }
    drop(roster, entry, "no longer registered");
    g_hash_table_remove(roster->by_name, name);
}

void
PsBackendRegistry_RetainOnly(ps_backend_registry_t *roster, GHashTable *names,
                             int64_t now_ms)
{
    GList *known = g_hash_table_get_values(roster->by_name);
    for (GList *l = known; l; l = l->next) {
        const entry_t *entry = l->data;
        if (!g_hash_table_contains(names, &entry->name)) {
            ps_name_t name = entry->name;
            PsBackendRegistry_Remove(roster, &name, now_ms);
        }
    }
    g_list_free(known);
}

void
PsBackendRegistry_HandleStoreLost(ps_backend_registry_t *roster)
{
    roster->is_store_lost = true;
}

void
PsBackendRegistry_HandleStoreBack(ps_backend_registry_t *roster,
                                  int64_t now_ms)
{
    roster->is_store_lost = false;
    roster->keep_missing_until_ms = now_ms + LAPSE_GRACE_MS;
}

void
PsBackendRegistry_RemoveMissing(ps_backend_registry_t *roster, int64_t now_ms)
{
    if (roster->is_store_lost || now_ms < roster->keep_missing_until_ms) {
        return;
    }
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, roster->by_name);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        entry_t *entry = value;
        if (entry->is_missing) {
            drop(roster, entry, "missing after the store's return");
            g_hash_table_iter_remove(&each);
        }
    }
}
