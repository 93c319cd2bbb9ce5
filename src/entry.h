/*
 * entry.h - Calls of an entry, from acceptance to the reported result.
 *
 * An entry is a daemon in its role towards callers, and the only one to
 * dispatch the requests that it has accepted. Each call requests a grant from
 * its pool's owner, and its request is sent to a server at most once. Its
 * result is reported to the owner until it is acknowledged or too old.
 *
 * Does no I/O and reads no clock; times are milliseconds of one monotonic
 * clock.
 */
#ifndef PS_ENTRY_H
#define PS_ENTRY_H

#include "config.h"
#include "owner.h"

struct ps_entry;

/**
 * enum ps_call_state - Progress of a call.
 */
typedef enum ps_call_state {
    PS_CALL_WAITING,    /* has no grant in use: not sent to a server */
    PS_CALL_DISPATCHED, /* being sent to, or running at, the server */
    PS_CALL_ENDED
} ps_call_state_t;

/**
 * struct ps_call - One caller's request; the entry's user owns the memory.
 */
typedef struct ps_call {
    ps_grant_request_t request;
    ps_name_t pool;
    ps_call_state_t state;
    bool is_queued; /* the owner has queued the grant request */

    ps_name_t returned_token; /* token of the last grant that was not used */
    int64_t accepted_ms;
    int64_t last_request_ms; /* last grant request sent */
    int64_t last_answer_ms;  /* last answer of an owner, or acceptance */
    int64_t dispatched_ms;
    int64_t first_token_ms;   /* when the first token came; 0: none yet */
    uint32_t tokens;          /* output tokens so far */
    uint32_t reported_tokens; /* output tokens reported to the owner */
    bool is_resumed;          /* reads the answer of an earlier dispatch */
    bool is_disconnected;     /* the caller has closed its connection */
    ps_name_t server;         /* of the grant in use, as the next two */
    ps_name_t address;
    ps_name_t token;
    void *user;
} ps_call_t;

/**
 * struct ps_ended_dispatch - An ended dispatch and the report of its result.
 */
typedef struct ps_ended_dispatch {
    ps_name_t ticket;
    ps_name_t id; /* of the request; empty: none */
    bool is_idempotent;
    ps_name_t pool;
    ps_name_t server;
    ps_name_t token;
    ps_dispatch_result_t result;
    int64_t ended_ms;
    int64_t sent_ms;      /* last report to the owner */
    bool is_acknowledged; /* by the owner; then kept only for new owners, if it
                             has an id */
} ps_ended_dispatch_t;

/**
 * struct ps_entry_events - Callbacks of an entry.
 * @request_grant: send a grant request to the pool's owner
 * @report_result: send the result of a dispatch to the pool's owner
 * @withdraw: tell the pool's owner that a waiting call needs no grant any more
 * @dispatch: send the call's request to its server, now and once, or read the
 *            answer of the earlier dispatch if the call is_resumed
 * @refuse: answer the caller with a refusal; the entry no longer uses the call
 * @cancel: cancel the request at the server; PsEntry_End() is to follow
 */
typedef struct ps_entry_events {
    void (*request_grant)(struct ps_entry *entry, const ps_call_t *call);
    void (*report_result)(struct ps_entry *entry,
                          const ps_ended_dispatch_t *ended);
    void (*withdraw)(struct ps_entry *entry, const ps_call_t *call);
    void (*dispatch)(struct ps_entry *entry, ps_call_t *call,
                     const char *reason);
    void (*refuse)(struct ps_entry *entry, ps_call_t *call,
                   const ps_refusal_t *refusal, const char *reason);
    void (*cancel)(struct ps_entry *entry, ps_call_t *call,
                   const char *reason);
} ps_entry_events_t;

/**
 * struct ps_entry - All calls of one daemon.
 */
typedef struct ps_entry {
    const ps_entry_events_t *events;
    void *user;
    ps_name_t name;
    uint64_t incarnation;
    uint64_t last_ticket;           /* number in the last ticket */
    int64_t hold_requests_until_ms; /* no grant requests are sent before */
    GHashTable *calls;              /* ticket to ps_call_t, not owned */
    GHashTable *epochs;             /* pool to highest epoch seen */
    GQueue ended;                   /* ps_ended_dispatch_t, oldest first */
    int64_t id_window_ms;           /* how long ended dispatches are kept */
    const ps_config_t *config;
} ps_entry_t;

/**
 * PsEntry_Init() - Prepares an entry without calls.
 * @events: kept; valid as long as the entry
 * @name: this daemon's name
 * @incarnation: differs at each start; makes the tickets unique
 * @id_window_ms: how long results of requests with an id are kept, and
 *                unacknowledged reports are retried at most
 */
void PsEntry_Init(ps_entry_t *entry, const ps_entry_events_t *events,
                  const ps_name_t *name, uint64_t incarnation,
                  int64_t id_window_ms);
void PsEntry_Finish(ps_entry_t *entry);

/**
 * PsEntry_SetConfig() - Sets the configuration that grants are checked
 * against.
 * @config: kept until the next call
 */
void PsEntry_SetConfig(ps_entry_t *entry, const ps_config_t *config);

/**
 * PsEntry_Accept() - Starts a call: requests a grant from its pool's owner.
 * @call: its pool and request are set, but for the request's ticket, entry and
 *        attempt; kept until its refuse event, PsEntry_End(), or a
 *        PsEntry_HandleDisconnect() that returns true
 */
void PsEntry_Accept(ps_entry_t *entry, ps_call_t *call, int64_t now_ms);

/**
 * PsEntry_SetOwner() - Sends the waiting calls' grant requests to a new owner.
 * @epoch: epoch of the new owner; answers of older epochs are ignored from now
 *         on
 */
void PsEntry_SetOwner(ps_entry_t *entry, const ps_name_t *pool, uint64_t epoch,
                      int64_t now_ms);

/**
 * PsEntry_HandlePause() - Handles a pause of this process.
 *
 * Grants for earlier grant requests are not used. Waiting and new calls send
 * their grant requests 300 ms later, when frames that arrived during the
 * pause, such as a newer epoch or configuration, have been read.
 */
void PsEntry_HandlePause(ps_entry_t *entry, int64_t now_ms);

/**
 * PsEntry_HandleAnswer() - Handles an owner's answer to a grant request.
 *
 * A grant that cannot be used, such as one for an older attempt or after the
 * deadline, is returned to the owner. One to resume an earlier dispatch is
 * used whatever its attempt and time.
 */
void PsEntry_HandleAnswer(ps_entry_t *entry, const ps_answer_t *answer,
                          int64_t now_ms);

/**
 * PsEntry_HandleCancel() - Cancels a dispatched call for its pool's owner.
 * @epoch: epoch of the owner; an older one than seen is ignored
 */
void PsEntry_HandleCancel(ps_entry_t *entry, const ps_name_t *pool,
                          uint64_t epoch, const ps_name_t *ticket,
                          const char *reason);

/**
 * PsEntry_SetTokens() - Sets the output tokens of a dispatched call.
 * @tokens: number received so far
 */
void PsEntry_SetTokens(ps_call_t *call, uint32_t tokens, int64_t now_ms);

/**
 * PsEntry_End() - Ends a dispatched call and reports its result.
 * @call: not used by the entry any more
 */
void PsEntry_End(ps_entry_t *entry, ps_call_t *call, ps_outcome_t outcome,
                 int64_t now_ms);

/**
 * PsEntry_HandleNotSent() - Handles a failed connection to the server: the
 * request was not sent, and the call requests another grant.
 */
void PsEntry_HandleNotSent(ps_entry_t *entry, ps_call_t *call, int64_t now_ms);

/**
 * PsEntry_HandleDisconnect() - Handles the caller's closed connection.
 *
 * A waiting call is withdrawn. A dispatched call without an id is cancelled if
 * it is idempotent. Other dispatched calls go on: one with an id so that its
 * answer can be resumed, one that is not idempotent because it must not be
 * cut.
 *
 * Return: true for a withdrawn call; the entry no longer uses it.
 */
bool PsEntry_HandleDisconnect(ps_entry_t *entry, ps_call_t *call,
                              int64_t now_ms);

/**
 * PsEntry_HandleDoneAck() - Marks the report of a result as acknowledged.
 * @outcome: as reported; a dispatch has two reports if it was orphaned first
 */
void PsEntry_HandleDoneAck(ps_entry_t *entry, const ps_name_t *ticket,
                           const ps_name_t *token, ps_outcome_t outcome);

/**
 * PsEntry_HandleRecoveryQuery() - Lists a pool's running dispatches, and ended
 * ones of requests with an id, for a new owner's recovery query.
 * @epoch: epoch of the new owner; answers of older epochs are ignored from now
 *         on
 * @dispatches: receives an array, to be freed with g_free()
 *
 * Return: number of dispatches; -1 when the epoch is older than one seen.
 */
int PsEntry_HandleRecoveryQuery(ps_entry_t *entry, const ps_name_t *pool,
                                uint64_t epoch, ps_dispatch_t **dispatches,
                                int64_t now_ms);

/**
 * PsEntry_GetRan() - Tells whether a waiting call's request may have run.
 *
 * A request with an id may have run through another entry, even after the
 * owner queued it for this one; only the owner knows.
 *
 * Return: PS_RAN_NO without an id, else PS_RAN_UNKNOWN.
 */
ps_ran_t PsEntry_GetRan(const ps_call_t *call);

/**
 * PsEntry_Run() - Refuses waiting calls that are past their deadline or have
 * no owner, and retries unanswered grant requests and reports.
 */
void PsEntry_Run(ps_entry_t *entry, int64_t now_ms);

/**
 * PsEntry_GetEpoch() - Returns the highest epoch seen of a pool, or 0.
 */
uint64_t PsEntry_GetEpoch(const ps_entry_t *entry, const ps_name_t *pool);

#endif
