/* backend_registry.c - Backend servers and their missing registrations. */
#include "backend_registry.h"

// Grace period after the store has become available. The users' requirements
// say that live servers register again within it.
#define MISSING_GRACE_MS 2000

// Shortest time between reads of the servers for those that are missing.
#define READ_INTERVAL_MS 200

// Time for which a server without a registration is remembered, should it go
// on running and register again.
#define LAPSED_KEPT_MS (60 * 1000)

/* ---- Types ------------------------------------------------------------ */

typedef struct backend_record {
    ps_name_t name;
    ps_backend_t *backend;
    bool is_missing; /* registration removed; kept in the grace period */
} backend_record_t;

// A server whose registration has lapsed; holds a reference.
typedef struct lapsed_server {
    ps_name_t name;
    ps_backend_t *backend;
    int64_t lapsed_ms;
} lapsed_server_t;

/* ---- Internal functions ----------------------------------------------- */

static void
unlist(ps_backend_registry_t *registry, backend_record_t *record,
       const char *reason)
{
    ps_backend_t *backend = record->backend;
    backend->is_listed = false;
    registry->events->unlisted(registry, backend, reason);
    PsBackend_Unlist(backend);
    record->backend = NULL;
}

static bool
must_keep(const ps_backend_registry_t *registry,
          const backend_record_t *record, int64_t now_ms)
{
    return !record->backend->registration.is_leaving &&
           (registry->is_store_unavailable ||
            now_ms < registry->keep_missing_until_ms);
}

// Tells whether a registration of a restored store is older than what is known
// of the server.
static bool
is_outdated(const ps_backend_registry_t *registry,
            const backend_record_t *record,
            const ps_registration_t *registration, int64_t now_ms)
{
    const ps_registration_t *known = &record->backend->registration;
    bool is_same_start = known->started_ms == registration->started_ms;
    return now_ms < registry->restored_until_ms &&
           (registration->started_ms < known->started_ms ||
            (is_same_start && known->is_leaving && !registration->is_leaving));
}

// Tells whether a registration is of another start of a server, or has moved
// it.
static bool
is_another_server(const ps_registration_t *known,
                  const ps_registration_t *registration)
{
    return known->started_ms != registration->started_ms ||
           !PsName_IsEqual(&known->service, &registration->service) ||
           !PsName_IsEqual(&known->address, &registration->address);
}

/* ---- Lapsed registrations --------------------------------------------- */

static void
free_lapsed(gpointer data)
{
    lapsed_server_t *lapsed = data;
    PsBackend_Unref(lapsed->backend);
    g_free(lapsed);
}

static gboolean
is_forgotten(gpointer key, gpointer value, gpointer data)
{
    (void)key;
    int64_t now_ms = *(const int64_t *)data;
    return now_ms - ((const lapsed_server_t *)value)->lapsed_ms >
           LAPSED_KEPT_MS;
}

// Unlists a server that may go on running, and remembers it.
static void
unlist_lapsed(ps_backend_registry_t *registry, backend_record_t *record,
              const char *reason, int64_t now_ms)
{
    g_hash_table_foreach_remove(registry->lapsed, is_forgotten, &now_ms);
    lapsed_server_t *lapsed = g_new(lapsed_server_t, 1);
    *lapsed = (lapsed_server_t){record->name, record->backend, now_ms};
    PsBackend_Ref(lapsed->backend);
    g_hash_table_replace(registry->lapsed, &lapsed->name, lapsed);
    unlist(registry, record, reason);
}

// Returns the server that has registered again after its registration lapsed;
// NULL: it isn't known, or is another start.
static ps_backend_t *
take_lapsed(ps_backend_registry_t *registry,
            const ps_registration_t *registration)
{
    const lapsed_server_t *lapsed =
        g_hash_table_lookup(registry->lapsed, &registration->name);
    ps_backend_t *backend = NULL;
    if (lapsed &&
        !is_another_server(&lapsed->backend->registration, registration)) {
        backend = lapsed->backend;
        PsBackend_Relist(backend);
    }
    g_hash_table_remove(registry->lapsed, &registration->name);
    return backend;
}

/* ---- Public functions ------------------------------------------------- */

void
PsBackendRegistry_Init(ps_backend_registry_t *registry,
                       const ps_backend_registry_events_t *events, void *user)
{
    *registry = (ps_backend_registry_t){.events = events, .user = user};
    registry->by_name =
        g_hash_table_new_full(PsName_Hash, PsName_EqualKeys, NULL, g_free);
    registry->lapsed = g_hash_table_new_full(PsName_Hash, PsName_EqualKeys,
                                             NULL, free_lapsed);
}

void
PsBackendRegistry_Finish(ps_backend_registry_t *registry)
{
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, registry->by_name);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        PsBackend_Unlist(((backend_record_t *)value)->backend);
    }
    g_hash_table_destroy(registry->by_name);
    g_hash_table_destroy(registry->lapsed);
}

void
PsBackendRegistry_Set(ps_backend_registry_t *registry,
                      const ps_registration_t *registration, int64_t now_ms)
{
    backend_record_t *record =
        g_hash_table_lookup(registry->by_name, &registration->name);
    if (record && is_outdated(registry, record, registration, now_ms)) {
        return;
    }
    if (record &&
        is_another_server(&record->backend->registration, registration)) {
        unlist(registry, record,
               "registered with another start time, service or address");
        g_hash_table_remove(registry->by_name, &registration->name);
        record = NULL;
    }
    bool is_new = !record;
    if (is_new) {
        record = g_new0(backend_record_t, 1);
        record->name = registration->name;
        record->backend = take_lapsed(registry, registration);
        if (!record->backend) {
            record->backend = PsBackend_New(registration, now_ms);
        }
        g_hash_table_insert(registry->by_name, &record->name, record);
    }
    record->is_missing = false;
    PsBackend_Update(record->backend, registration, now_ms);
    registry->events->listed(registry, record->backend, is_new);
}

ps_backend_t *
PsBackendRegistry_Find(const ps_backend_registry_t *registry,
                       const ps_name_t *name)
{
    const backend_record_t *record =
        g_hash_table_lookup(registry->by_name, name);
    return record ? record->backend : NULL;
}

void
PsBackendRegistry_Remove(ps_backend_registry_t *registry,
                         const ps_name_t *name, int64_t now_ms)
{
    backend_record_t *record = g_hash_table_lookup(registry->by_name, name);
    if (!record) {
        return;
    }
    if (must_keep(registry, record, now_ms)) {
        record->is_missing = true;
        return;
    }
    unlist_lapsed(registry, record, "no longer registered", now_ms);
    g_hash_table_remove(registry->by_name, name);
}

void
PsBackendRegistry_RetainOnly(ps_backend_registry_t *registry,
                             GHashTable *names, int64_t now_ms)
{
    GList *records = g_hash_table_get_values(registry->by_name);
    for (GList *l = records; l; l = l->next) {
        backend_record_t *record = l->data;
        if (g_hash_table_contains(names, &record->name)) {
            record->is_missing = false;
        }
        else {
            ps_name_t name = record->name;
            PsBackendRegistry_Remove(registry, &name, now_ms);
        }
    }
    g_list_free(records);
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
PsBackendRegistry_HandleStoreRestored(ps_backend_registry_t *registry,
                                      int64_t now_ms)
{
    registry->keep_missing_until_ms = now_ms + MISSING_GRACE_MS;
    registry->restored_until_ms = registry->keep_missing_until_ms;
}

bool
PsBackendRegistry_MustRead(ps_backend_registry_t *registry, int64_t now_ms)
{
    if (registry->is_store_unavailable ||
        now_ms < registry->keep_missing_until_ms ||
        now_ms < registry->next_read_ms) {
        return false;
    }
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, registry->by_name);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        if (((const backend_record_t *)value)->is_missing) {
            registry->next_read_ms = now_ms + READ_INTERVAL_MS;
            return true;
        }
    }
    return false;
}
