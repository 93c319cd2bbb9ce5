/*
 * exchange.h - One caller's request and its response.
 *
 * A request is decoded, admitted, scheduled and sent to a backend server,
 * whose response is relayed. A failed attempt is retried if the route's retry
 * policy and the retry budget allow it and time is left.
 */
#ifndef PS_EXCHANGE_H
#define PS_EXCHANGE_H

#include "answer.h"
#include "attempts.h"
#include "gateway.h"
#include "server_path.h"

/**
 * struct ps_answer - The answer of the current transfer, and how it is paced.
 */
typedef struct ps_answer {
    ps_answer_handling_t handling;
    uint64_t n_bytes;         /* received */
    size_t counted;           /* bytes of the exchange's body in the budget */
    bool is_too_long;         /* closed for a bound */
    int n_pauses;             /* of reading, in all attempts */
    int64_t paused_ms;        /* since when it is not read; 0: it is */
    int64_t resumed_ms;       /* end of the last pause; 0: none yet */
    int64_t longest_pause_ms; /* of the ended pauses */
} ps_answer_t;

/**
 * struct ps_exchange - One request in progress.
 */
typedef struct ps_exchange {
    ps_gateway_t *gateway;
    ps_http_request_t *request; /* NULL once the caller has disconnected */
    ps_catalog_t *catalog;      /* in force at its arrival; a reference */
    const ps_route_t *route;
    const ps_team_t *team;       /* NULL: no API key is needed */
    ps_dispatcher_t *dispatcher; /* NULL until the request is admitted */
    ps_inbound_request_t inbound;
    ps_task_t task;
    GArray *marks; /* uint64_t, its content's first; NULL until the
                      request is admitted */
    bool is_trial; /* sent once although it has a banned part */
    int64_t arrived_ms;
    int64_t deadline_ms; /* the response is due by then */
    double quota_units;  /* charged to the team */
    double asked_units;  /* of the team's quota, with @quota_ask */
    uint32_t quota_ask;  /* the allocator is asked whether the quota has room
                            for the request; 0: it is not */
    ps_transfer_t transfer;
    ps_server_path_t path;   /* of @transfer to the server */
    bool is_transferring;    /* @transfer is in use */
    ps_attempts_t attempts;  /* whether the request has run */
    int sends;               /* attempts so far */
    bool has_reserved_retry; /* a retry that is not sent yet */
    ps_reply_t reply;        /* valid with @has_response_head */
    bool has_response_head;  /* of the current transfer */
    ps_answer_t answer;
    bool is_relaying; /* an answer's headers have gone to the caller */
    ps_buf_t
        body; /* held part of the answer, or a stream's incomplete event */
    ps_name_t last_event_id; /* of the last event relayed; before, of the one
                                after which the caller resumes the stream */
    uint32_t n_events;       /* events relayed */
    int64_t first_event_after_ms; /* of a stream, since @arrived_ms; 0: none
                                     yet */
    uint64_t origin_request; /* hash of the id of the request whose stream it
                                takes up, while others are asked for its
                                version; 0: they are not */
    int origins_asked;       /* members that have not answered yet; 0: none
                                could be asked yet */
    int64_t origin_due_ms;   /* no answer is waited for later */
    GList link;
} ps_exchange_t;

/**
 * PsExchange_Start() - Admits a request and submits it to its service.
 *
 * A request that is not admitted is refused at once. The exchange frees itself
 * when it ends.
 */
void PsExchange_Start(ps_gateway_t *gateway, ps_http_request_t *request);

/**
 * PsExchange_HandleDisconnect() - Ends an exchange whose caller disconnected.
 */
void PsExchange_HandleDisconnect(ps_exchange_t *exchange);

/**
 * PsExchange_IsAtServer() - Tells whether the request has a backend server, to
 * which it was sent or is about to be.
 */
bool PsExchange_IsAtServer(const ps_exchange_t *exchange);

/**
 * PsExchange_Stop() - Ends an exchange because this daemon's process ends.
 *
 * Its caller gets a refusal if the request has not run, and else an error that
 * promises nothing. A slot that it frees may start a waiting exchange.
 */
void PsExchange_Stop(ps_exchange_t *exchange, int64_t now_ms);

/**
 * PsExchange_Run() - Ends an exchange past its deadline, or moves it away from
 * a silent backend server.
 *
 * Return: true if it did. Then other exchanges may have ended too: when a slot
 * is freed, the scheduler starts or refuses waiting ones.
 */
bool PsExchange_Run(ps_exchange_t *exchange, int64_t now_ms);

/**
 * PsExchange_HandleOrigin() - Takes another daemon's answer about the version
 * that began a stream, if the exchange waits for it.
 * @request: hash of the id of the request that began it
 * @version: 0: the other daemon doesn't know
 *
 * Return: true if the exchange goes on because of it. Then other exchanges may
 * have ended.
 */
bool PsExchange_HandleOrigin(ps_exchange_t *exchange, uint64_t request,
                             uint64_t version, const ps_name_t *from,
                             int64_t now_ms);

/**
 * PsExchange_GetSchedulerEvents() - Returns the handlers for schedulers whose
 * tasks are exchanges.
 */
const ps_scheduler_events_t *PsExchange_GetSchedulerEvents(void);

#endif
