/*
 * owner.h - A pool's owner: what stands between asks and the pool.
 *
 * Joins the pool's decisions with request ids, the ledger and the recovery
 * round after a change of owner. Pure: no I/O, and time is an argument.
 */
#ifndef PS_OWNER_H
#define PS_OWNER_H

#include "ids.h"
#include "ledger.h"
#include "pool.h"

/**
 * enum ps_verdict - An owner's answer to an ask.
 */
typedef enum ps_verdict {
    PS_VERDICT_WAIT,   /* queued; ask again only after a change of owner */
    PS_VERDICT_GRANT,  /* dispatch now, once */
    PS_VERDICT_REFUSE, /* final */
    PS_VERDICT_RESUME  /* take over the stream that already runs */
} ps_verdict_t;

/**
 * struct ps_answer - An owner's answer to an ask.
 */
typedef struct ps_answer {
    ps_name_t pool;
    uint64_t epoch;
    ps_name_t ticket;
    uint32_t attempt; /* of the ask that it answers */
    ps_verdict_t verdict;
    ps_name_t server;  /* GRANT, RESUME */
    ps_name_t address; /* GRANT, RESUME */
    ps_name_t token;   /* GRANT, RESUME: names the dispatch at the server */
    ps_name_t code;    /* REFUSE */
    ps_ran_t ran;      /* REFUSE */
    int64_t retry_after_ms;
    ps_name_t reason;
} ps_answer_t;

/**
 * struct ps_dispatch - One dispatch as an entry reports it in a recovery.
 */
typedef struct ps_dispatch {
    ps_grant_request_t request;
    ps_name_t server;
    ps_name_t token;
    ps_outcome_t
        outcome;    /* PS_OUTCOME_RUNNING or PS_OUTCOME_ORPHANED: not ended */
    int64_t age_ms; /* since the dispatch */
} ps_dispatch_t;

struct ps_owner;

/**
 * struct ps_owner_events - What an owner tells its user.
 * @answer: send to the entry
 * @cancel: tell the entry to cancel a dispatch
 * @ask_dispatches: send a recovery question to a member
 * @ask_streams: read which streams a backend server has; ends with
 *               PsOwner_HandleRecoveryAnswer() under the server's name
 */
typedef struct ps_owner_events {
    void (*answer)(struct ps_owner *owner, const ps_name_t *entry,
                   const ps_answer_t *answer);
    void (*cancel)(struct ps_owner *owner, const ps_name_t *entry,
                   const ps_name_t *ticket, const char *reason);
    void (*query_dispatches)(struct ps_owner *owner, const ps_name_t *member);
    void (*query_streams)(struct ps_owner *owner,
                          const ps_server_config_t *server);
} ps_owner_events_t;

/**
 * enum ps_owner_state - Progress of an owner.
 */
typedef enum ps_owner_state {
    PS_OWNER_QUERYING_MEMBERS, /* hears what entries have in progress */
    PS_OWNER_QUERYING_SERVERS, /* hears what engines have in progress */
    PS_OWNER_SERVING,          /* gives grants */
    PS_OWNER_STOPPED           /* a later owner has taken over */
} ps_owner_state_t;

/**
 * struct ps_owner - Owner of one pool.
 */
typedef struct ps_owner {
    const ps_owner_events_t *events;
    void *user;
    ps_pool_t pool;
    ps_name_t name; /* pool's name */
    ps_name_t self; /* daemon's name */
    uint64_t epoch;
    ps_owner_state_t state;
    int64_t recovery_timeout_ms; /* longest wait for entries, then engines */
    int64_t recovery_deadline_ms;
    int64_t last_query_ms;       /* last recovery questions */
    GHashTable *awaited_members; /* members not heard since the start */
    GHashTable *awaited_servers; /* engines not read since the start */
    GQueue deferred_requests;    /* asks that came during the recovery */
    ps_ids_t ids;
    ps_ledger_t ledger;
    bool has_ledger;
    GQueue pending_grants; /* grants that wait for the ledger */
    GQueue unanswered;     /* tickets of asks queued since the last run */
    int64_t ledger_timeout_ms;
} ps_owner_t;

/**
 * struct ps_owner_options - Settings of an owner.
 */
typedef struct ps_owner_options {
    int64_t recovery_timeout_ms; /* longest recovery round */
    int64_t id_window_ms;        /* ended ids are remembered */
    int64_t ledger_batch_ms;     /* least time between ledger writes */
    int64_t ledger_timeout_ms;   /* a grant waits this long for the ledger */
} ps_owner_options_t;

/**
 * PsOwner_Init() - Starts an owner with its recovery round.
 * @self: daemon's name
 * @pool: pool's name, part of @config
 * @epoch: epoch of the pool object
 * @user: for the user's own use, set before the first event
 * @members: live daemons, asked for their dispatches
 * @n_members: their number
 */
void PsOwner_Init(ps_owner_t *owner, const ps_owner_events_t *events,
                  const ps_owner_options_t *options, const ps_name_t *self,
                  const ps_name_t *pool, uint64_t epoch, void *user,
                  const ps_config_t *config, const ps_name_t *members,
                  int n_members, int64_t now_ms);
void PsOwner_Finish(ps_owner_t *owner);

/**
 * PsOwner_HandleRequest() - Takes an entry's ask; the same ticket may come
 * again.
 */
void PsOwner_HandleRequest(ps_owner_t *owner, const ps_grant_request_t *ask,
                           int64_t now_ms);

/**
 * PsOwner_HandleWithdraw() - An entry's caller left before the grant.
 */
void PsOwner_HandleWithdraw(ps_owner_t *owner, const ps_name_t *ticket,
                            const ps_name_t *id);

/**
 * PsOwner_HandleDone() - An entry's report of an end; may come again, and
 * late.
 * @token: of the grant that ended; another grant's report changes nothing
 * @id: request's id, or empty
 */
void PsOwner_HandleDone(ps_owner_t *owner, const ps_name_t *ticket,
                        const ps_name_t *token, const ps_name_t *id,
                        const ps_dispatch_result_t *end, int64_t now_ms);

/**
 * PsOwner_HandleRecoveryAnswer() - An answer in the recovery round; it may
 * come late.
 * @member: a daemon's or a backend server's name
 */
void PsOwner_HandleRecoveryAnswer(ps_owner_t *owner, const ps_name_t *member,
                                  const ps_dispatch_t *dispatches,
                                  int n_dispatches, int64_t now_ms);

/**
 * PsOwner_RemoveMember() - A member is no longer live: its requests wait no
 * longer, its dispatches have no caller.
 */
void PsOwner_RemoveMember(ps_owner_t *owner, const ps_name_t *member,
                          int64_t now_ms);

/**
 * PsOwner_Stop() - A later owner exists: nothing more is granted.
 */
void PsOwner_Stop(ps_owner_t *owner);

/**
 * PsOwner_Run() - Ends the recovery when due, settles held grants, decides.
 */
void PsOwner_Run(ps_owner_t *owner, int64_t now_ms);

/**
 * PsOwner_IsToken() - Tells whether a text has the shape of a grant's token.
 */
bool PsOwner_IsToken(const ps_name_t *text);

#endif
