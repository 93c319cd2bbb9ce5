/*
 * ledger.h - Write-ahead ledger of the requests with an id of one pool.
 *
 * Before the owner sends the grant of such a request, it stores the id and the
 * ticket, an intent, in a segment object of the platform; only idempotent
 * requests are granted without one while the platform is not available. One
 * conditional write stores a batch of intents. A new owner seals the open
 * segment and opens the next one, so that a write of an earlier owner fails.
 *
 * Does no I/O: the user carries out the operations of PsLedger_StartOp() one
 * at a time and reports the result of each with PsLedger_HandleOpResult().
 * When the answer to a write is lost, the segments are read again to find out
 * whether it took place.
 */
#ifndef PS_LEDGER_H
#define PS_LEDGER_H

#include <glib.h>

#include "status.h"
#include "str.h"

#define PS_LEDGER_SEGMENT_BYTES (64 * 1024) /* a larger segment is sealed */

/**
 * enum ps_ledger_state - State of a ledger.
 */
typedef enum ps_ledger_state {
    PS_LEDGER_LOADING, /* reads and seals earlier owners' segments */
    PS_LEDGER_READY,   /* accepts intents */
    PS_LEDGER_FENCED   /* a later owner has taken over */
} ps_ledger_state_t;

/**
 * enum ps_ledger_op_kind - Platform operations of a ledger.
 */
typedef enum ps_ledger_op_kind {
    PS_LEDGER_OP_NONE,
    PS_LEDGER_OP_LIST,  /* all objects whose key starts with @key */
    PS_LEDGER_OP_PUT,   /* if @version is current; 0: if absent */
    PS_LEDGER_OP_DELETE /* if @version is current */
} ps_ledger_op_kind_t;

/**
 * struct ps_ledger_op - Operation to carry out on the platform.
 */
typedef struct ps_ledger_op {
    ps_ledger_op_kind_t kind;
    ps_name_t key;
    uint64_t version;
    char *value; /* PUT: JSON text, owned by the ledger */
} ps_ledger_op_t;

/**
 * struct ps_ledger_object - One object in the answer to a LIST.
 */
typedef struct ps_ledger_object {
    ps_name_t key;
    uint64_t version;
    const char *value;
} ps_ledger_object_t;

/**
 * struct ps_ledger_record - Record of one id.
 */
typedef struct ps_ledger_record {
    ps_name_t id;
    ps_name_t ticket;
    bool is_released; /* the request certainly has not run */
    uint64_t segment; /* number of its segment */
    uint64_t batch;   /* batch that writes it; 0: of an earlier owner */
} ps_ledger_record_t;

/**
 * struct ps_ledger - The ledger of one pool at its owner.
 */
typedef struct ps_ledger {
    ps_ledger_state_t state;
    ps_name_t key_prefix; /* of the segments' keys */
    uint64_t epoch;
    GHashTable *records;   /* id to ps_ledger_record_t */
    GArray *segments;      /* of ledger_segment_t, in order */
    uint64_t open_segment; /* number of the open segment */
    uint64_t open_version; /* version of its object; 0: not created */
    bool must_seal;        /* an earlier owner's last segment is not sealed */
    bool must_list;        /* the segments have to be read */
    bool is_op_running;  /* @op was started; its result is not reported yet */
    bool is_sealing;     /* the last write seals the open segment */
    ps_ledger_op_t op;   /* last operation started */
    uint64_t open_batch; /* number of the batch that gets new records */
    uint64_t changed_batch;   /* last batch with an intent or a release */
    uint64_t durable_batch;   /* last batch known to be written */
    uint64_t writing_batch;   /* batch of the last write */
    int64_t next_op_ms;       /* no operation starts before this time */
    int64_t batch_ms;         /* shortest time between writes */
    int64_t retention_s;      /* sealed segments are kept this long */
    int64_t failing_since_ms; /* first failure since the last success; 0: none;
                                 conflicts do not count */
} ps_ledger_t;

/**
 * PsLedger_Init() - Prepares the ledger of a new owner.
 * @pool: pool's name
 * @epoch: owner's epoch
 * @batch_ms: shortest time between two writes
 * @retention_s: time for which sealed segments are kept, in seconds
 */
void PsLedger_Init(ps_ledger_t *ledger, const ps_name_t *pool, uint64_t epoch,
                   int64_t batch_ms, int64_t retention_s);
void PsLedger_Finish(ps_ledger_t *ledger);

/**
 * PsLedger_GetRecord() - Finds an id's record.
 *
 * Return: NULL when there is none; the ledger owns it.
 */
const ps_ledger_record_t *PsLedger_GetRecord(const ps_ledger_t *ledger,
                                             const ps_name_t *id);

/**
 * PsLedger_AddIntent() - Adds an intent; it replaces an earlier record of the
 * id.
 *
 * Return: the batch that writes it. The intent is durable once the ledger's
 * durable_batch has reached it.
 */
uint64_t PsLedger_AddIntent(ps_ledger_t *ledger, const ps_name_t *id,
                            const ps_name_t *ticket);

/**
 * PsLedger_ReleaseIntent() - Records that the request of an intent certainly
 * has not run, so that a retry may.
 */
void PsLedger_ReleaseIntent(ps_ledger_t *ledger, const ps_name_t *id);

/**
 * PsLedger_StartOp() - Starts the next operation if one is due.
 * @now_ms: monotonic clock
 * @wall_s: wall clock, in seconds, for the age of sealed segments
 *
 * Return: the operation, valid until its result is reported; its kind is
 * PS_LEDGER_OP_NONE when none is due or one is running.
 */
const ps_ledger_op_t *PsLedger_StartOp(ps_ledger_t *ledger, int64_t now_ms,
                                       int64_t wall_s);

/**
 * PsLedger_HandleOpResult() - Handles the result of the running operation.
 * @status: PS_OK, PS_CONFLICT, PS_UNAVAILABLE, PS_UNKNOWN or other failures
 * @version: of the object written
 * @objects: answer to a LIST
 * @n_objects: their number
 */
void PsLedger_HandleOpResult(ps_ledger_t *ledger, ps_status_t status,
                             uint64_t version,
                             const ps_ledger_object_t *objects, int n_objects,
                             int64_t now_ms);

#endif
