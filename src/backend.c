/* backend.c - State of one backend server at one daemon. */
#include "backend.h"

#include <xxhash.h>

// A prompt part that was not used for this long counts as evicted from the
// engine's prefix cache.
#define PART_TTL_MS 20000

// Most prompt parts that are recorded for one server.
#define PARTS_MAX 4096

// Factor on the weight of all earlier outcomes when a new one is counted.
#define OUTCOME_DECAY 0.9

// Lengths of the first and of the longest ejection. A server that restarts is
// away for seconds; a trial at one that is still down costs one request.
#define EJECT_MIN_MS 400
#define EJECT_MAX_MS 4000

/* ---- Internal functions ----------------------------------------------- */

static gboolean
is_expired_part(gpointer key, gpointer value, gpointer data)
{
    (void)key;
    int64_t now_ms = *(const int64_t *)data;
    return now_ms - *(const int64_t *)value > PART_TTL_MS;
}

/* ---- Public functions ------------------------------------------------- */

uint64_t
PsRegistration_HashVersion(const ps_registration_t *registration)
{
    uint64_t hash =
        XXH64(registration->version.data, registration->version.len,
              XXH64(registration->service.data, registration->service.len, 0));
    return MAX(hash, 1);
}

ps_backend_t *
PsBackend_New(const ps_registration_t *registration, int64_t now_ms)
{
    static uint32_t last_instance_id;
    ps_backend_t *backend = g_new0(ps_backend_t, 1);
    backend->instance_id = ++last_instance_id;
    backend->is_listed = true;
    backend->cached_parts =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    PsSpeed_Init(&backend->first_event_time);
    PsSpeed_Init(&backend->token_interval);
    PsBackend_Ref(backend);
    PsBackend_Update(backend, registration, now_ms);
    return backend;
}

void
PsBackend_Unlist(ps_backend_t *backend)
{
    backend->is_listed = false;
    PsBackend_Unref(backend);
}

void
PsBackend_Relist(ps_backend_t *backend)
{
    PsBackend_Ref(backend);
    backend->is_listed = true;
    backend->slot_limit = 0;
    backend->reach = (ps_server_reach_t){0};
}

void
PsBackend_Ref(ps_backend_t *backend)
{
    backend->ref_count++;
}

void
PsBackend_Unref(ps_backend_t *backend)
{
    if (--backend->ref_count == 0) {
        g_hash_table_destroy(backend->cached_parts);
        g_free(backend);
    }
}

int
PsBackend_CountOccupied(const ps_backend_t *backend, int64_t now_ms)
{
    return backend->running +
           PsServerRoom_CountAbandoned(&backend->room, now_ms);
}

void
PsBackend_Update(ps_backend_t *backend, const ps_registration_t *registration,
                 int64_t now_ms)
{
    bool has_said_leaving = backend->registration.has_said_leaving;
    backend->registration = *registration;
    backend->registration.has_said_leaving |= has_said_leaving;
    backend->registration.is_leaving |= backend->registration.has_said_leaving;
    backend->version = PsRegistration_HashVersion(registration);
    backend->cold_until_ms = now_ms + registration->cold_left_ms;
}

void
PsBackend_AddCachedPart(ps_backend_t *backend, uint64_t part, int64_t now_ms)
{
    int64_t *last_used_ms = g_hash_table_lookup(backend->cached_parts, &part);
    if (last_used_ms) {
        *last_used_ms = now_ms;
        return;
    }
    if (g_hash_table_size(backend->cached_parts) >= PARTS_MAX) {
        g_hash_table_foreach_remove(backend->cached_parts, is_expired_part,
                                    &now_ms);
    }
    if (g_hash_table_size(backend->cached_parts) < PARTS_MAX) {
        g_hash_table_insert(backend->cached_parts,
                            g_memdup2(&part, sizeof part),
                            g_memdup2(&now_ms, sizeof now_ms));
    }
}

bool
PsBackend_HasCachedPart(const ps_backend_t *backend, uint64_t part,
                        int64_t now_ms)
{
    const int64_t *last_used_ms =
        g_hash_table_lookup(backend->cached_parts, &part);
    return last_used_ms && now_ms - *last_used_ms <= PART_TTL_MS;
}

void
PsBackend_AddOutcome(ps_backend_t *backend, bool is_good)
{
    backend->outcomes = backend->outcomes * OUTCOME_DECAY + 1.0;
    backend->failures =
        backend->failures * OUTCOME_DECAY + (is_good ? 0.0 : 1.0);
}

double
PsBackend_GetFailureRate(const ps_backend_t *backend)
{
    return backend->outcomes > 0 ? backend->failures / backend->outcomes : 0.0;
}

void
PsBackend_Eject(ps_backend_t *backend, int64_t now_ms)
{
    int64_t doubled_ms = backend->ejected_for_ms * 2;
    backend->ejected_for_ms = CLAMP(doubled_ms, EJECT_MIN_MS, EJECT_MAX_MS);
    backend->ejected_until_ms = now_ms + backend->ejected_for_ms;
    backend->is_on_trial = true;
}

void
PsBackend_Readmit(ps_backend_t *backend)
{
    backend->ejected_for_ms = 0;
    backend->ejected_until_ms = 0;
    backend->is_on_trial = false;
    backend->outcomes = 0;
    backend->failures = 0;
}
