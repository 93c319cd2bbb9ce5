/* origin_log.c - Decides when origins of streams are stored. */
#include "origin_log.h"

#define STEP_INTERVAL_MS 1000 /* between two calls */

/* ---- Internal functions ----------------------------------------------- */

static const ps_origin_t *
get(const ps_origin_log_t *log, guint i)
{
    return &g_array_index(log->origins, ps_origin_t, i);
}

static void
remove_first(ps_origin_log_t *log, size_t n)
{
    for (guint i = 0; i < n; i++) {
        g_hash_table_remove(log->requests, &get(log, i)->request);
    }
    g_array_remove_range(log->origins, 0, (guint)n);
    log->n_written -= MIN(n, log->n_written);
    log->n_writing -= MIN(n, log->n_writing);
}

// Drops the origins of the slot that was written, and begins another one.
static void
start_slot(ps_origin_log_t *log, int64_t number)
{
    remove_first(log, log->n_written);
    log->slot = number;
}

static bool
start_step(ps_origin_log_t *log, int64_t now_ms)
{
    if (log->is_busy || now_ms < log->next_ms) {
        return false;
    }
    log->is_busy = true;
    log->next_ms = now_ms + STEP_INTERVAL_MS;
    return true;
}

/* ---- Public functions ------------------------------------------------- */

void
PsOriginLog_Init(ps_origin_log_t *log)
{
    *log = (ps_origin_log_t){
        .origins = g_array_new(FALSE, FALSE, sizeof(ps_origin_t)),
        .requests =
            g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL)};
}

void
PsOriginLog_Finish(ps_origin_log_t *log)
{
    g_array_free(log->origins, TRUE);
    g_hash_table_destroy(log->requests);
}

void
PsOriginLog_Add(ps_origin_log_t *log, const ps_origin_t *origin)
{
    if (g_hash_table_contains(log->requests, &origin->request)) {
        return;
    }
    if (log->origins->len >= PS_ORIGINS_MAX) {
        remove_first(log, PS_ORIGINS_MAX / 8);
        log->n_dropped += PS_ORIGINS_MAX / 8;
    }
    g_array_append_val(log->origins, *origin);
    g_hash_table_add(log->requests,
                     g_memdup2(&origin->request, sizeof origin->request));
}

void
PsOriginLog_HandleChoice(ps_origin_log_t *log)
{
    log->has_read = false;
    log->n_written = 0;
}

bool
PsOriginLog_StartRead(ps_origin_log_t *log, int64_t now_ms)
{
    return start_step(log, now_ms);
}

ps_origin_step_t
PsOriginLog_GetStep(ps_origin_log_t *log, int64_t unix_ms, int64_t now_ms,
                    ps_origin_slot_t *slot)
{
    if (log->origins->len == log->n_written || !start_step(log, now_ms)) {
        return PS_ORIGIN_WAIT;
    }
    if (!log->has_read) {
        return PS_ORIGIN_READ;
    }
    int64_t number = unix_ms / PS_ORIGIN_SLOT_MS;
    if (number != log->slot) {
        start_slot(log, number);
    }
    log->is_writing = true;
    log->n_writing = log->origins->len;
    *slot = (ps_origin_slot_t){
        number, (const ps_origin_t *)(const void *)log->origins->data,
        log->n_writing};
    return PS_ORIGIN_WRITE;
}

void
PsOriginLog_HandleRead(ps_origin_log_t *log, const ps_origin_slot_t *slot,
                       int64_t unix_ms)
{
    if (slot->number == unix_ms / PS_ORIGIN_SLOT_MS) {
        for (size_t i = 0; i < slot->n; i++) {
            PsOriginLog_Add(log, &slot->origins[i]);
        }
    }
}

void
PsOriginLog_EndStep(ps_origin_log_t *log, bool is_done)
{
    if (log->is_writing) {
        log->n_written = is_done ? log->n_writing : log->n_written;
    }
    else if (is_done) {
        log->has_read = true;
        log->next_ms = 0;
    }
    log->is_writing = false;
    log->is_busy = false;
}
