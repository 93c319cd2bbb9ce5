/*
 * entry.h - An entry's calls: from acceptance to the reported end.
 *
 * The entry is the only dispatcher of what it has accepted. Each call asks
 * its pool's owner, is dispatched at most once, and its end is reported until
 * the owner acknowledges it. Pure: no I/O, and time is an argument.
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
    PS_CALL_WAITING,    /* no grant yet: it has certainly not run */
    PS_CALL_DISPATCHED, /* handed to the backend server */
    PS_CALL_ENDED
} ps_call_state_t;

/**
 * struct ps_call - One caller's request; memory of the user.
 */
typedef struct ps_call {
    ps_grant_request_t ask;
    ps_name_t pool;
    ps_call_state_t state;
    bool is_queued; /* the owner has said that it waits */

    ps_name_t returned_token; /* token of the last grant that was not used */
    int64_t accepted_ms;
    int64_t last_ask_ms;    /* latest ask */
    int64_t last_answer_ms; /* latest sign of an owner */
    int64_t dispatched_ms;
    int64_t first_token_ms; /* absolute; 0: none */
    uint32_t tokens;
    uint32_t reported_tokens;
    bool is_resumed; /* takes over a stream that ran before */
    bool is_disconnected;
    ps_name_t server;
    ps_name_t address;
    ps_name_t token;
    void *user;
} ps_call_t;

/**
 * struct ps_ended_dispatch - An ended dispatch, kept for recovery rounds.
 */
typedef struct ps_ended_dispatch {
    ps_name_t ticket;
    ps_name_t id;
    bool is_idempotent;
    ps_name_t pool;
    ps_name_t server;
    ps_name_t token;
    ps_dispatch_result_t end;
    int64_t ended_ms;
    int64_t sent_ms;
    bool is_acknowledged;
} ps_ended_dispatch_t;

/**
 * struct ps_entry_events - What an entry tells its user.
 * @ask: send an ask to a pool's owner
 * @done: send an end to a pool's owner
 * @withdraw: tell a pool's owner that a waiting call is gone
 * @dispatch: send the call's request to its server, now and once
 * @finish: give the caller its final answer without a dispatch; the call is
 *          the user's again
 * @cancel: cancel at the server; PsEntry_End() is expected
 */
typedef struct ps_entry_events {
    void (*ask)(struct ps_entry *entry, const ps_call_t *call);
    void (*done)(struct ps_entry *entry, const ps_ended_dispatch_t *ended);
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
    uint64_t next_ticket;
    int64_t hold_asks_until_ms; /* after a pause: no asks before */
    GHashTable *calls;          /* ticket to ps_call_t, not owned */
    GHashTable *epochs;         /* pool to highest epoch seen */
    GQueue ended;               /* ps_ended_dispatch_t, oldest first */
    int64_t id_window_ms;
    const ps_config_t *config;
} ps_entry_t;

void PsEntry_Init(ps_entry_t *entry, const ps_entry_events_t *events,
                  const ps_name_t *name, uint64_t incarnation,
                  int64_t id_window_ms);
void PsEntry_Finish(ps_entry_t *entry);

/**
 * PsEntry_SetConfig() - Sets the configuration that dispatches are held to.
 */
void PsEntry_SetConfig(ps_entry_t *entry, const ps_config_t *config);

/**
 * PsEntry_Accept() - Takes a call on and asks its pool's owner.
 * @call: its ask (without ticket and entry) and pool are set; kept until its
 *        finish event or PsEntry_End()
 */
void PsEntry_Accept(ps_entry_t *entry, ps_call_t *call, int64_t now_ms);

/**
 * PsEntry_SetOwner() - A pool has a new owner: waiting calls ask it.
 * @epoch: grants of older epochs are refused from now on
 */
void PsEntry_SetOwner(ps_entry_t *entry, const ps_name_t *pool, uint64_t epoch,
                      int64_t now_ms);

/**
 * PsEntry_HandlePause() - This process was paused.
 *
 * Grants that answer earlier asks are not used. Old and new calls ask a
 * little later, when what came in during the pause, such as a newer epoch or
 * configuration, has been read.
 */
void PsEntry_HandlePause(ps_entry_t *entry, int64_t now_ms);

/**
 * PsEntry_HandleAnswer() - Takes an owner's answer.
 */
void PsEntry_HandleAnswer(ps_entry_t *entry, const ps_answer_t *answer,
                          int64_t now_ms);

/**
 * PsEntry_HandleCancel() - An owner takes a grant back.
 */
void PsEntry_HandleCancel(ps_entry_t *entry, const ps_name_t *pool,
                          uint64_t epoch, const ps_name_t *ticket,
                          const char *reason);

/**
 * PsEntry_SetTokens() - Notes output tokens of a dispatched call.
 * @tokens: in all so far
 */
void PsEntry_SetTokens(ps_call_t *call, uint32_t tokens, int64_t now_ms);

/**
 * PsEntry_End() - Ends a dispatched call; the call is the user's again.
 */
void PsEntry_End(ps_entry_t *entry, ps_call_t *call, ps_outcome_t outcome,
                 int64_t now_ms);

/**
 * PsEntry_HandleNotSent() - The server refused the connection: the call was
 * not dispatched, and asks again.
 */
void PsEntry_HandleNotSent(ps_entry_t *entry, ps_call_t *call, int64_t now_ms);

/**
 * PsEntry_HandleDisconnect() - The caller has closed its connection.
 *
 * A waiting call is withdrawn and is the user's again (returns true). A
 * dispatched call with an id goes on, so that its answer can be resumed.
 */
bool PsEntry_HandleDisconnect(ps_entry_t *entry, ps_call_t *call,
                              int64_t now_ms);

/**
 * PsEntry_HandleDoneAck() - An owner has taken an end in.
 */
void PsEntry_HandleDoneAck(ps_entry_t *entry, const ps_name_t *ticket,
                           const ps_name_t *token, ps_outcome_t outcome);

/**
 * PsEntry_HandleRecoverAsk() - Answers a recovery question and moves to its
 * epoch.
 * @dispatches: receives an array, freed by the caller with g_free()
 *
 * Return: number of dispatches; -1 when the epoch is older than one seen.
 */
int PsEntry_HandleRecoverAsk(ps_entry_t *entry, const ps_name_t *pool,
                             uint64_t epoch, ps_dispatch_t **dispatches,
                             int64_t now_ms);

/**
 * PsEntry_GetRan() - What this entry knows of a waiting call's request.
 *
 * A request with an id may have run through another entry, even after the
 * owner had queued it here: only the owner can tell that it has not.
 */
ps_ran_t PsEntry_GetRan(const ps_call_t *call);

/**
 * PsEntry_Run() - Gives up what is late and sends again what went unheard.
 */
void PsEntry_Run(ps_entry_t *entry, int64_t now_ms);

/**
 * PsEntry_GetEpoch() - Returns the highest epoch seen of a pool; 0: none.
 */
uint64_t PsEntry_GetEpoch(const ps_entry_t *entry, const ps_name_t *pool);

#endif
