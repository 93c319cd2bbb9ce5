/*
 * ledger.h - Durable intents of non-idempotent requests of one pool.
 *
 * Before the grant of a non-idempotent request with an id leaves the owner,
 * id and ticket stand in a segment object of the platform. Many intents share
 * one conditional write. A new owner seals the open segment and opens the
 * next one, so a write of an earlier owner fails.
 *
 * Pure: the user carries out PsLedger_StartOp() one at a time and reports each
 * with PsLedger_HandleOpResult(). A write whose answer was lost is settled by
 * reading the segment again.
 */
#ifndef PS_LEDGER_H
#define PS_LEDGER_H

#include <glib.h>

#include "status.h"
#include "str.h"

#define PS_LEDGER_SEGMENT_BYTES (64 * 1024) /* a larger segment is sealed */

/**
 * enum ps_ledger_state - Progress of a ledger.
 */
typedef enum ps_ledger_state {
    PS_LEDGER_LOADING, /* reads and seals what earlier owners wrote */
    PS_LEDGER_READY,   /* accepts intents */
    PS_LEDGER_FENCED   /* a later owner has taken over */
} ps_ledger_state_t;

/**
 * enum ps_ledger_op_kind - Platform operations of a ledger.
 */
typedef enum ps_ledger_op_kind {
    PS_LEDGER_OP_NONE,
    PS_LEDGER_OP_LIST,  /* all objects below @key */
    PS_LEDGER_OP_PUT,   /* if @version is current; 0: if absent */
    PS_LEDGER_OP_DELETE /* if @version is current */
} ps_ledger_op_kind_t;

/**
 * struct ps_ledger_op - One operation to carry out.
 */
typedef struct ps_ledger_op {
    ps_ledger_op_kind_t kind;
    ps_name_t key;
    uint64_t version;
    char *value; /* PUT: JSON text, owned by the ledger */
} ps_ledger_op_t;

/**
 * struct ps_ledger_object - One object of a LIST answer.
 */
typedef struct ps_ledger_object {
    ps_name_t key;
    uint64_t version;
    const char *value;
} ps_ledger_object_t;

/**
 * struct ps_ledger_record - Where an id stands in the ledger.
 */
typedef struct ps_ledger_record {
    ps_name_t id;
    ps_name_t ticket;
    bool is_released; /* it is certain that it did not run */
    uint64_t segment;
    uint64_t batch; /* batch that writes it; 0: from an earlier owner */
} ps_ledger_record_t;

/**
 * struct ps_ledger - The ledger of one pool at its owner.
 */
typedef struct ps_ledger {
    ps_ledger_state_t state;
    ps_name_t key_prefix; /* key prefix of the segments */
    uint64_t epoch;
    GHashTable *records;   /* id to ps_ledger_record_t */
    GArray *segments;      /* of ledger_segment_t, in order */
    uint64_t open_segment; /* number of the open segment */
    uint64_t open_version; /* its object's version; 0: not created */
    bool must_seal;        /* the open segment has to be sealed first */
    bool must_list;
    bool is_op_running; /* an operation is in progress */
    bool is_sealing;    /* the write in progress seals the segment */
    ps_ledger_op_t op;
    uint64_t open_batch;    /* number of the batch that fills */
    uint64_t changed_batch; /* last batch with an intent or a release */
    uint64_t durable_batch; /* last batch known to be written */
    uint64_t writing_batch; /* batch of the write in progress */
    int64_t next_op_ms;
    int64_t batch_ms;         /* least time between writes */
    int64_t retention_s;      /* sealed segments are kept this long */
    int64_t failing_since_ms; /* since when writes fail; 0: they do not */
} ps_ledger_t;

/**
 * PsLedger_Init() - Prepares the ledger of a new owner.
 * @pool: pool's name
 * @epoch: owner's epoch
 * @batch_ms: least time between two writes
 * @keep_s: life of sealed segments, in seconds
 */
void PsLedger_Init(ps_ledger_t *ledger, const ps_name_t *pool, uint64_t epoch,
                   int64_t batch_ms, int64_t keep_s);
void PsLedger_Finish(ps_ledger_t *ledger);

/**
 * PsLedger_GetRecord() - Finds an id's record, or NULL.
 */
const ps_ledger_record_t *PsLedger_GetRecord(const ps_ledger_t *ledger,
                                             const ps_name_t *id);

/**
 * PsLedger_AddIntent() - Adds an intent; it replaces an earlier record of the
 * id.
 *
 * Return: the batch that writes it; durable once @durable reaches it.
 */
uint64_t PsLedger_AddIntent(ps_ledger_t *ledger, const ps_name_t *id,
                            const ps_name_t *ticket);

/**
 * PsLedger_ReleaseIntent() - Notes that an id certainly did not run.
 */
void PsLedger_ReleaseIntent(ps_ledger_t *ledger, const ps_name_t *id);

/**
 * PsLedger_StartOp() - Returns the operation to start now, or kind NONE.
 * @now_ms: monotonic clock
 * @wall_s: wall clock, in seconds, for the age of sealed segments
 */
const ps_ledger_op_t *PsLedger_StartOp(ps_ledger_t *ledger, int64_t now_ms,
                                       int64_t wall_s);

/**
 * PsLedger_HandleOpResult() - Reports the operation's result.
 * @status: PS_OK, PS_CONFLICT, PS_UNAVAILABLE, PS_UNKNOWN or other failures
 * @version: of the object written
 * @objects: answer to LIST
 * @n_objects: their number
 */
void PsLedger_HandleOpResult(ps_ledger_t *ledger, ps_status_t status,
                             uint64_t version,
                             const ps_ledger_object_t *objects, int n_objects,
                             int64_t now_ms);

#endif
