/*
 * owner.h - Owner of one pool: the daemon that grants the pool's requests.
 *
 * Handles the grant requests of all entries. Adds to the scheduling of pool.h
 * the detection of retries by request id, the ledger of requests with an id,
 * and the recovery of running dispatches after a change of owner.
 * Does no I/O and reads no clock; times are milliseconds of one monotonic
 * clock.
 */
#ifndef PS_OWNER_H
#define PS_OWNER_H

#include "ids.h"
#include "ledger.h"
#include "pool.h"

/**
 * enum ps_verdict - Decision on a grant request.
 */
typedef enum ps_verdict {
    PS_VERDICT_WAIT,   /* queued; another answer follows */
    PS_VERDICT_GRANT,  /* dispatch now, once */
    PS_VERDICT_REFUSE, /* final */
    PS_VERDICT_RESUME  /* read the answer of an earlier dispatch, which runs or
                          is complete */
} ps_verdict_t;

/**
 * struct ps_answer - Answer to a grant request.
 */
typedef struct ps_answer {
    ps_name_t pool;
    uint64_t epoch;
    ps_name_t ticket;
    uint32_t attempt; /* of the request that it answers */
    ps_verdict_t verdict;
    ps_name_t server;  /* GRANT, RESUME */
    ps_name_t address; /* GRANT, RESUME */
    ps_name_t token;   /* GRANT, RESUME: names the dispatch at the server */
    ps_name_t code;    /* REFUSE */
    ps_ran_t ran;      /* REFUSE */
    int64_t retry_after_ms; /* REFUSE; 0: a retry does not help */
    ps_name_t reason;
} ps_answer_t;

/**
 * struct ps_dispatch - Dispatch that a daemon or a backend server reports in a
 * recovery.
 */
typedef struct ps_dispatch {
    ps_grant_request_t request; /* without a ticket if reported by a server */
    ps_name_t server;
    ps_name_t token;
    ps_outcome_t outcome; /* not ended: RUNNING or ORPHANED */
    int64_t age_ms;       /* since the dispatch; ended: since its end */
} ps_dispatch_t;

struct ps_owner;

/**
 * struct ps_owner_events - Callbacks for what an owner sends.
 * @answer: send an answer to an entry
 * @cancel: tell an entry to cancel a dispatch
 * @query_dispatches: query a member for its dispatches of the pool
 * @query_streams: query a backend server for its streams
 *
 * Answers to the two queries go to PsOwner_HandleRecoveryAnswer().
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
    PS_OWNER_QUERYING_MEMBERS, /* waits for the members' dispatches */
    PS_OWNER_QUERYING_SERVERS, /* waits for the servers' streams and the ledger
                                */
    PS_OWNER_SERVING,          /* grants requests */
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
    ps_name_t self; /* this daemon's name */
    uint64_t epoch;
    ps_owner_state_t state;
    int64_t recovery_timeout_ms;  /* for members, then again for servers */
    int64_t recovery_deadline_ms; /* end of the wait for members or servers */
    int64_t last_query_ms;        /* last queries to members */
    GHashTable *awaited_members;  /* names of those that have not answered */
    GHashTable *awaited_servers;  /* names of those that have not answered */
    GQueue deferred_requests;     /* ps_grant_request_t, during recovery */
    ps_ids_t ids;
    ps_ledger_t ledger;
    bool has_ledger;       /* only pools of plain services have one */
    GQueue pending_grants; /* not sent until the ledger has their intents */
    GQueue unanswered;     /* tickets of requests queued since the last run */
    int64_t ledger_timeout_ms; /* longest wait of a grant for the ledger */
} ps_owner_t;

/**
 * struct ps_owner_options - Settings of an owner.
 */
typedef struct ps_owner_options {
    int64_t recovery_timeout_ms; /* for members, then again for servers */
    int64_t id_window_ms;        /* ended ids are kept this long */
    int64_t ledger_batch_ms;     /* shortest time between ledger writes */
    int64_t ledger_timeout_ms;   /* longest wait of a grant for the ledger */
} ps_owner_options_t;

/**
 * PsOwner_Init() - Starts an owner, which begins with its recovery.
 * @events: must stay valid as long as the owner
 * @self: this daemon's name
 * @pool: pool's name; the pool is part of @config
 * @epoch: epoch of the pool object
 * @user: stored in @owner before the first callback
 * @config: must stay valid until the pool is configured anew
 * @members: live daemons, queried for their dispatches; copied
 * @n_members: their number
 */
void PsOwner_Init(ps_owner_t *owner, const ps_owner_events_t *events,
                  const ps_owner_options_t *options, const ps_name_t *self,
                  const ps_name_t *pool, uint64_t epoch, void *user,
                  const ps_config_t *config, const ps_name_t *members,
                  int n_members, int64_t now_ms);
void PsOwner_Finish(ps_owner_t *owner);

/**
 * PsOwner_HandleRequest() - Handles a grant request of an entry.
 *
 * A ticket that is sent again gets its answer again, and never a second grant.
 * Requests that come during the recovery are answered with WAIT and deferred
 * to its end; a stopped owner ignores them.
 */
void PsOwner_HandleRequest(ps_owner_t *owner,
                           const ps_grant_request_t *request, int64_t now_ms);

/**
 * PsOwner_HandleWithdraw() - Removes a waiting request whose caller has
 * disconnected; a granted one is left alone.
 * @id: request's id, or empty
 */
void PsOwner_HandleWithdraw(ps_owner_t *owner, const ps_name_t *ticket,
                            const ps_name_t *id);

/**
 * PsOwner_HandleDone() - Handles an entry's report of an ended dispatch.
 * @token: of the dispatch that ended
 * @id: request's id, or empty
 *
 * A report may be late or sent again. It changes nothing when the ticket has
 * a dispatch with another token.
 */
void PsOwner_HandleDone(ps_owner_t *owner, const ps_name_t *ticket,
                        const ps_name_t *token, const ps_name_t *id,
                        const ps_dispatch_result_t *result, int64_t now_ms);

/**
 * PsOwner_HandleRecoveryAnswer() - Handles the answer to a recovery query; it
 * may come after the recovery has ended.
 * @member: name of the daemon or backend server that answers
 * @dispatches: its dispatches of the pool
 */
void PsOwner_HandleRecoveryAnswer(ps_owner_t *owner, const ps_name_t *member,
                                  const ps_dispatch_t *dispatches,
                                  int n_dispatches, int64_t now_ms);

/**
 * PsOwner_RemoveMember() - Removes the waiting requests of a member that is no
 * longer live, and marks its dispatches as orphans.
 */
void PsOwner_RemoveMember(ps_owner_t *owner, const ps_name_t *member,
                          int64_t now_ms);

/**
 * PsOwner_Stop() - Ends all granting, since a later owner has taken over.
 */
void PsOwner_Stop(ps_owner_t *owner);

/**
 * PsOwner_Run() - Does the periodic work: ends the recovery when it is due,
 * sends or refuses the grants that wait for the ledger, and runs the pool.
 */
void PsOwner_Run(ps_owner_t *owner, int64_t now_ms);

/**
 * PsOwner_IsToken() - Tells whether a text has the form of a dispatch token:
 * pool's name, epoch and grant number, separated by dots.
 */
bool PsOwner_IsToken(const ps_name_t *text);

#endif
