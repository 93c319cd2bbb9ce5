/* backend.c - State of one backend server at one daemon. */
#include "backend.h"

#define PART_KEEP_MS 20000 /* engines drop what was not used lately */
#define PARTS_MAX 4096     /* prompt parts remembered for each server */
#define OUTCOME_FADE 0.9   /* weight kept of older outcomes */
#define EJECT_FIRST_MS 400 /* first pause; a restart takes seconds */
#define EJECT_MOST_MS 4000 /* longest pause; a trial costs one request */

/* ---- Internal functions ----------------------------------------------- */

static gboolean
is_old_part(gpointer key, gpointer value, gpointer data)
{
    (void)key;
    int64_t now_ms = *(const int64_t *)data;
    return now_ms - *(const int64_t *)value > PART_KEEP_MS;
}

/* ---- Public functions ------------------------------------------------- */

ps_backend_t *
PsBackend_New(const ps_registration_t *told, int64_t now_ms)
{
    static uint32_t last_serial;
    ps_backend_t *backend = g_new0(ps_backend_t, 1);
    backend->instance_id = ++last_serial;
    backend->is_listed = true;
    backend->cached_parts =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    PsSpeed_Init(&backend->first_event_time);
    PsSpeed_Init(&backend->token_interval);
    PsBackend_Ref(backend);
    PsBackend_Update(backend, told, now_ms);
    return backend;
}

void
PsBackend_Unlist(ps_backend_t *backend)
{
    backend->is_listed = false;
    PsBackend_Unref(backend);
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

void
PsBackend_Update(ps_backend_t *backend, const ps_registration_t *told,
                 int64_t now_ms)
{
    backend->registration = *told;
    backend->cold_until_ms = now_ms + told->cold_left_ms;
}

void
PsBackend_AddCachedPart(ps_backend_t *backend, uint64_t part, int64_t now_ms)
{
    int64_t *used = g_hash_table_lookup(backend->cached_parts, &part);
    if (used) {
        *used = now_ms;
        return;
    }
    if (g_hash_table_size(backend->cached_parts) >= PARTS_MAX) {
        g_hash_table_foreach_remove(backend->cached_parts, is_old_part,
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
    const int64_t *used = g_hash_table_lookup(backend->cached_parts, &part);
    return used && now_ms - *used <= PART_KEEP_MS;
}

void
PsBackend_AddOutcome(ps_backend_t *backend, bool is_good)
{
    backend->outcomes = backend->outcomes * OUTCOME_FADE + 1.0;
    backend->failures =
        backend->failures * OUTCOME_FADE + (is_good ? 0.0 : 1.0);
}

double
PsBackend_GetFailureRate(const ps_backend_t *backend)
{
    return backend->outcomes > 0 ? backend->failures / backend->outcomes : 0.0;
}

void
PsBackend_Eject(ps_backend_t *backend, int64_t now_ms)
{
    int64_t next = backend->ejected_for_ms * 2;
    backend->ejected_for_ms = CLAMP(next, EJECT_FIRST_MS, EJECT_MOST_MS);
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
