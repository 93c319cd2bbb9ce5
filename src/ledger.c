/* ledger.c - Segments of durable intents, written by conditional update. */
#include "ledger.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define RETRY_DELAY_MS 200 /* pause after a failed operation */

/* ---- Types ------------------------------------------------------------ */

typedef struct ledger_segment {
    uint64_t number;  /* part of its key; grows by 1 from segment to segment */
    uint64_t version; /* of its object */
    uint64_t epoch;   /* of the owner that wrote it last */
    uint64_t batch;   /* last batch written to it */
    int64_t written_s; /* time of the last write, wall clock */
    bool is_sealed;    /* gets no more records */
} ledger_segment_t;

/* ---- Internal functions ----------------------------------------------- */

static ps_name_t
segment_key(const ps_ledger_t *ledger, uint64_t number)
{
    return PsName_Format("%s%08llu", ledger->key_prefix.data,
                         (unsigned long long)number);
}

// Adds a record or replaces the one with the same id.
static ps_ledger_record_t *
set_record(ps_ledger_t *ledger, const ps_name_t *id, const ps_name_t *ticket,
           uint64_t segment, bool is_released)
{
    ps_ledger_record_t *record = g_new0(ps_ledger_record_t, 1);
    record->id = *id;
    record->ticket = *ticket;
    record->segment = segment;
    record->is_released = is_released;
    g_hash_table_replace(ledger->records, &record->id, record);
    return record;
}

// Encodes a segment as JSON. Its records map id to ticket, with '!' appended
// when the intent is released.
static char *
encode_segment(const ps_ledger_t *ledger, uint64_t number, bool is_sealed,
               int64_t wall_s)
{
    json_t *records = json_object();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, ledger->records);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const ps_ledger_record_t *record = value;
        if (record->segment == number) {
            json_object_set_new(records, record->id.data,
                                json_sprintf("%s%s", record->ticket.data,
                                             record->is_released ? "!" : ""));
        }
    }
    json_t *root = json_pack(
        "{s:I, s:I, s:b, s:I, s:o}", "epoch", (json_int_t)ledger->epoch,
        "batch", (json_int_t)ledger->writing_batch, "sealed", (int)is_sealed,
        "written", (json_int_t)wall_s, "records", records);
    char *text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    return text;
}

// Adds the records of a segment that was read. An id that is in several
// segments keeps the record of the latest one.
static void
decode_records(ps_ledger_t *ledger, uint64_t number, json_t *records)
{
    const char *key;
    json_t *value;
    json_object_foreach(records, key, value)
    {
        ps_name_t id = PsName_FromC(key);
        const ps_ledger_record_t *existing = PsLedger_GetRecord(ledger, &id);
        if (existing && existing->segment > number) {
            continue;
        }
        ps_name_t ticket = PsName_FromC(json_string_value(value));
        bool is_released =
            ticket.len > 0 && ticket.data[ticket.len - 1] == '!';
        if (is_released) {
            ticket.data[--ticket.len] = '\0';
        }
        set_record(ledger, &id, &ticket, number, is_released);
    }
}

static void
decode_segment(ps_ledger_t *ledger, const ps_ledger_object_t *object,
               bool with_records)
{
    json_t *root = json_loads(object->value, 0, NULL);
    ledger_segment_t segment = {
        .number =
            strtoull(object->key.data + ledger->key_prefix.len, NULL, 10),
        .version = object->version,
        .epoch = (uint64_t)json_integer_value(json_object_get(root, "epoch")),
        .batch = (uint64_t)json_integer_value(json_object_get(root, "batch")),
        .written_s = json_integer_value(json_object_get(root, "written")),
        .is_sealed = json_is_true(json_object_get(root, "sealed")),
    };
    g_array_append_val(ledger->segments, segment);
    if (with_records) {
        decode_records(ledger, segment.number,
                       json_object_get(root, "records"));
    }
    json_decref(root);
}

static ledger_segment_t *
last_segment(const ps_ledger_t *ledger)
{
    guint n = ledger->segments->len;
    return n == 0 ? NULL
                  : &g_array_index(ledger->segments, ledger_segment_t, n - 1);
}

static gint
compare_segments(gconstpointer left, gconstpointer right)
{
    const ledger_segment_t *a = left;
    const ledger_segment_t *b = right;
    return a->number < b->number ? -1 : a->number > b->number;
}

// Opens the next segment. Records that are not known to be written move to it.
static void
open_next_segment(ps_ledger_t *ledger)
{
    ledger->open_segment++;
    ledger->open_version = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, ledger->records);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ps_ledger_record_t *record = value;
        if (record->batch > ledger->durable_batch) {
            record->segment = ledger->open_segment;
        }
    }
}

// Finds out, after the segments were read again, whether the last write took
// place, and whether a later owner has written.
static void
reconcile_open_segment(ps_ledger_t *ledger)
{
    const ledger_segment_t *last = last_segment(ledger);
    if (!last || last->number < ledger->open_segment) {
        ledger->open_version = 0;
        return;
    }
    if (last->number > ledger->open_segment || last->epoch != ledger->epoch) {
        ledger->state = PS_LEDGER_FENCED;
        return;
    }
    ledger->open_version = last->version;
    ledger->durable_batch = MAX(ledger->durable_batch, last->batch);
    if (last->is_sealed) {
        open_next_segment(ledger);
    }
}

// Prepares, after the segments of earlier owners were read, to seal their last
// one and to open the next.
static void
prepare_takeover(ps_ledger_t *ledger)
{
    const ledger_segment_t *last = last_segment(ledger);
    ledger->must_seal = last && !last->is_sealed;
    ledger->open_segment = last ? last->number + 1 : 1;
    ledger->open_version = 0;
    if (last && last->epoch > ledger->epoch) {
        ledger->state = PS_LEDGER_FENCED;
    }
}

// Handles the list of segments. Records are decoded only when a new owner
// loads them; later reads just tell whether the last write took place.
static void
handle_list_result(ps_ledger_t *ledger, const ps_ledger_object_t *objects,
                   int n)
{
    bool is_loading = ledger->state == PS_LEDGER_LOADING;
    g_array_set_size(ledger->segments, 0);
    if (is_loading) {
        g_hash_table_remove_all(ledger->records);
    }
    for (int i = 0; i < n; i++) {
        decode_segment(ledger, &objects[i], is_loading);
    }
    g_array_sort(ledger->segments, compare_segments);
    ledger->must_list = false;
    if (is_loading) {
        prepare_takeover(ledger);
    }
    else {
        reconcile_open_segment(ledger);
    }
}

static void
start_op(ps_ledger_t *ledger, ps_ledger_op_kind_t kind, uint64_t number,
         uint64_t version, char *value)
{
    free(ledger->op.value);
    ledger->op =
        (ps_ledger_op_t){kind, segment_key(ledger, number), version, value};
    ledger->is_op_running = true;
}

// Starts the write that seals an earlier owner's last segment, under this
// epoch.
static void
start_seal(ps_ledger_t *ledger, int64_t wall_s)
{
    const ledger_segment_t *last = last_segment(ledger);
    char *value = encode_segment(ledger, last->number, true, wall_s);
    start_op(ledger, PS_LEDGER_OP_PUT, last->number, last->version, value);
}

// Starts the write of all records of the open segment, as the next batch.
// Seals the segment with this write if its text has become too large.
static void
start_write(ps_ledger_t *ledger, int64_t now_ms, int64_t wall_s)
{
    ledger->writing_batch = ledger->open_batch;
    ledger->open_batch++;
    char *value = encode_segment(ledger, ledger->open_segment, false, wall_s);
    ledger->is_sealing = strlen(value) > PS_LEDGER_SEGMENT_BYTES;
    if (ledger->is_sealing) {
        free(value);
        value = encode_segment(ledger, ledger->open_segment, true, wall_s);
    }
    ledger->next_op_ms = now_ms + ledger->batch_ms;
    start_op(ledger, PS_LEDGER_OP_PUT, ledger->open_segment,
             ledger->open_version, value);
}

// Starts the deletion of the oldest segment if it is sealed and older than the
// retention time.
static bool
start_delete(ps_ledger_t *ledger, int64_t wall_s)
{
    if (ledger->segments->len == 0) {
        return false;
    }
    const ledger_segment_t *oldest =
        &g_array_index(ledger->segments, ledger_segment_t, 0);
    if (!oldest->is_sealed || oldest->number >= ledger->open_segment ||
        wall_s - oldest->written_s < ledger->retention_s) {
        return false;
    }
    start_op(ledger, PS_LEDGER_OP_DELETE, oldest->number, oldest->version,
             NULL);
    return true;
}

static gboolean
is_in_segment(gpointer key, gpointer value, gpointer data)
{
    (void)key;
    const ps_ledger_record_t *record = value;
    return record->segment == *(const uint64_t *)data;
}

// Forgets the oldest segment, which was deleted, and its records.
static void
handle_delete_result(ps_ledger_t *ledger)
{
    uint64_t number =
        g_array_index(ledger->segments, ledger_segment_t, 0).number;
    g_hash_table_foreach_remove(ledger->records, is_in_segment, &number);
    g_array_remove_index(ledger->segments, 0);
}

// Updates the list of segments after a write of the open one.
static void
update_open_segment(ps_ledger_t *ledger, uint64_t version, bool is_sealed)
{
    json_t *root = json_loads(ledger->op.value, 0, NULL);
    int64_t written = json_integer_value(json_object_get(root, "written"));
    json_decref(root);
    ledger_segment_t *last = last_segment(ledger);
    if (!last || last->number != ledger->open_segment) {
        ledger_segment_t segment = {.number = ledger->open_segment};
        g_array_append_val(ledger->segments, segment);
        last = last_segment(ledger);
    }
    last->version = version;
    last->epoch = ledger->epoch;
    last->batch = ledger->writing_batch;
    last->written_s = written;
    last->is_sealed = is_sealed;
}

// Handles a successful write: the seal of an earlier owner's segment, or a
// batch of the open segment. The first batch written makes the ledger ready.
static void
handle_put_result(ps_ledger_t *ledger, uint64_t version)
{
    if (ledger->must_seal) {
        ledger->must_seal = false;
        last_segment(ledger)->is_sealed = true;
        last_segment(ledger)->version = version;
        return;
    }
    update_open_segment(ledger, version, ledger->is_sealing);
    ledger->open_version = version;
    ledger->durable_batch = ledger->writing_batch;
    ledger->state = PS_LEDGER_READY;
    if (ledger->is_sealing) {
        open_next_segment(ledger);
    }
}

/* ---- Public functions ------------------------------------------------- */

void
PsLedger_Init(ps_ledger_t *ledger, const ps_name_t *pool, uint64_t epoch,
              int64_t batch_ms, int64_t retention_s)
{
    *ledger = (ps_ledger_t){
        .state = PS_LEDGER_LOADING,
        .key_prefix = PsName_Format("ledger/%.40s/", pool->data),
        .epoch = epoch,
        .must_list = true,
        .open_batch = 1,
        .batch_ms = batch_ms,
        .retention_s = retention_s,
    };
    ledger->records =
        g_hash_table_new_full(PsName_Hash, PsName_EqualKeys, NULL, g_free);
    ledger->segments = g_array_new(FALSE, TRUE, sizeof(ledger_segment_t));
}

void
PsLedger_Finish(ps_ledger_t *ledger)
{
    g_hash_table_destroy(ledger->records);
    g_array_free(ledger->segments, TRUE);
    free(ledger->op.value);
}

const ps_ledger_record_t *
PsLedger_GetRecord(const ps_ledger_t *ledger, const ps_name_t *id)
{
    return g_hash_table_lookup(ledger->records, id);
}

uint64_t
PsLedger_AddIntent(ps_ledger_t *ledger, const ps_name_t *id,
                   const ps_name_t *ticket)
{
    ps_ledger_record_t *record =
        set_record(ledger, id, ticket, ledger->open_segment, false);
    record->batch = ledger->open_batch;
    ledger->changed_batch = ledger->open_batch;
    return record->batch;
}

void
PsLedger_ReleaseIntent(ps_ledger_t *ledger, const ps_name_t *id)
{
    ps_ledger_record_t *record = g_hash_table_lookup(ledger->records, id);
    if (!record) {
        return;
    }
    record->is_released = true;
    record->segment = ledger->open_segment;
    record->batch = ledger->open_batch;
    ledger->changed_batch = ledger->open_batch;
}

const ps_ledger_op_t *
PsLedger_StartOp(ps_ledger_t *ledger, int64_t now_ms, int64_t wall_s)
{
    static const ps_ledger_op_t none = {.kind = PS_LEDGER_OP_NONE};
    if (ledger->is_op_running || ledger->state == PS_LEDGER_FENCED ||
        now_ms < ledger->next_op_ms) {
        return &none;
    }
    if (ledger->must_list) {
        start_op(ledger, PS_LEDGER_OP_LIST, 0, 0, NULL);
        ledger->op.key = ledger->key_prefix;
    }
    else if (ledger->must_seal) {
        start_seal(ledger, wall_s);
    }
    else if (ledger->state == PS_LEDGER_LOADING ||
             ledger->changed_batch > ledger->durable_batch) {
        start_write(ledger, now_ms, wall_s);
    }
    else if (!start_delete(ledger, wall_s)) {
        return &none;
    }
    return &ledger->op;
}

void
PsLedger_HandleOpResult(ps_ledger_t *ledger, ps_status_t status,
                        uint64_t version, const ps_ledger_object_t *objects,
                        int n_objects, int64_t now_ms)
{
    ledger->is_op_running = false;
    if (status != PS_OK) {
        ledger->must_list = true;
        ledger->next_op_ms = now_ms + RETRY_DELAY_MS;
        if (status != PS_CONFLICT && ledger->failing_since_ms == 0) {
            ledger->failing_since_ms = now_ms;
        }
        return;
    }
    ledger->failing_since_ms = 0;
    if (ledger->op.kind == PS_LEDGER_OP_LIST) {
        handle_list_result(ledger, objects, n_objects);
    }
    else if (ledger->op.kind == PS_LEDGER_OP_PUT) {
        handle_put_result(ledger, version);
    }
    else {
        handle_delete_result(ledger);
    }
}
