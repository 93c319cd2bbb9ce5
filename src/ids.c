/* ids.c - Table of request ids, which expire some time after their end. */
#include "ids.h"

#define EXPIRE_INTERVAL_MS 1000 /* between scans of the table */

/* ---- Types ------------------------------------------------------------ */

typedef struct expiry {
    int64_t now_ms;
    int64_t window_ms;
} expiry_t;

/* ---- Internal functions ----------------------------------------------- */

static gboolean
is_expired(gpointer key, gpointer value, gpointer data)
{
    (void)key;
    const ps_id_record_t *record = value;
    const expiry_t *expiry = data;
    return record->state == PS_ID_ENDED &&
           expiry->now_ms - record->ended_ms > expiry->window_ms;
}

/* ---- Public functions ------------------------------------------------- */

void
PsIds_Init(ps_ids_t *ids, int64_t window_ms)
{
    ids->by_id =
        g_hash_table_new_full(PsName_Hash, PsName_EqualKeys, NULL, g_free);
    ids->window_ms = window_ms;
    ids->next_expire_ms = 0;
}

void
PsIds_Finish(ps_ids_t *ids)
{
    g_hash_table_destroy(ids->by_id);
}

ps_id_record_t *
PsIds_Get(const ps_ids_t *ids, const ps_name_t *id)
{
    return PsName_IsEmpty(id) ? NULL : g_hash_table_lookup(ids->by_id, id);
}

ps_id_record_t *
PsIds_Add(ps_ids_t *ids, const ps_grant_request_t *request)
{
    if (PsName_IsEmpty(&request->id)) {
        return NULL;
    }
    ps_id_record_t *record = g_new0(ps_id_record_t, 1);
    record->id = request->id;
    record->ticket = request->ticket;
    record->entry = g_intern_string(request->entry.data);
    record->server = "";
    record->address = "";
    record->is_idempotent = request->idempotent;
    g_hash_table_replace(ids->by_id, &record->id, record);
    return record;
}

void
PsIds_Remove(ps_ids_t *ids, const ps_name_t *id)
{
    g_hash_table_remove(ids->by_id, id);
}

void
PsIds_SetEnded(ps_id_record_t *record, ps_outcome_t outcome, int64_t now_ms)
{
    record->state = PS_ID_ENDED;
    record->outcome = outcome;
    record->ended_ms = now_ms;
}

void
PsIds_Expire(ps_ids_t *ids, int64_t now_ms)
{
    if (now_ms < ids->next_expire_ms) {
        return;
    }
    ids->next_expire_ms = now_ms + EXPIRE_INTERVAL_MS;
    expiry_t expiry = {now_ms, ids->window_ms};
    g_hash_table_foreach_remove(ids->by_id, is_expired, &expiry);
}
