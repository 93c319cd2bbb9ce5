/*
 * frontend.h - HTTP server for callers.
 *
 * Matches each request to a rule, refuses it or starts its call, and sends
 * the answer.
 */
#ifndef PS_FRONTEND_H
#define PS_FRONTEND_H

#include "entry.h"
#include "http_client.h"
#include "http_server.h"

struct ps_daemon;

/**
 * struct ps_caller_exchange - A caller's request and its answer in progress.
 */
typedef struct ps_caller_exchange {
    ps_call_t call;
    struct ps_daemon *daemon;
    ps_http_request_t *request; /* NULL once the caller has disconnected */
    bool is_model_request;      /* POST to a completions path */
    bool wants_stream;
    ps_transfer_t transfer; /* to the backend server */
    bool is_transferring;
    bool is_resuming;     /* the transfer reads an answer that the
                             server has kept */
    bool is_streaming;    /* the answer's head has been sent to the caller */
    bool has_last_event;  /* the stream's last event was seen */
    bool is_wrong_answer; /* the answer has another dispatch's token */
    size_t relayed_bytes; /* stream bytes sent to the caller */
    size_t skip_bytes;    /* bytes of a resumed stream still to skip */
    ps_buf_t answer;      /* whole answer, or start of a stream's line */
    ev_timer deadline_timer;
    GList link;
} ps_caller_exchange_t;

/**
 * struct ps_frontend - A daemon's HTTP server for callers.
 */
typedef struct ps_frontend {
    struct ps_daemon *daemon;
    ps_http_server_t server;
    GQueue exchanges; /* in progress, oldest first */
} ps_frontend_t;

/**
 * PsFrontend_Init() - Listens on the callers' address.
 *
 * Return: PS_OK or PS_UNAVAILABLE with the reason.
 */
ps_status_t PsFrontend_Init(ps_frontend_t *frontend, struct ps_daemon *daemon);
void PsFrontend_Finish(ps_frontend_t *frontend);

/**
 * PsFrontend_SendProgress() - Sends the new token counts of dispatched calls
 * to their pools' owners.
 */
void PsFrontend_SendProgress(ps_frontend_t *frontend);

/**
 * PsFrontend_SendError() - Sends an error as the caller's answer.
 * @code: error code; sets the HTTP status, 500 for an unknown one
 * @ran: whether the request ran, as far as known
 * @retry_after_ms: 0: no Retry-After header
 * @message: text for people
 */
void PsFrontend_SendError(ps_http_request_t *request, const char *code,
                          ps_ran_t ran, int64_t retry_after_ms,
                          const char *message);

/**
 * PsCallerExchange_Free() - Frees an exchange and what it holds.
 */
void PsCallerExchange_Free(ps_caller_exchange_t *exchange);

/**
 * PsFrontend_GetEntryEvents() - Returns the callbacks for the daemon's entry.
 */
const ps_entry_events_t *PsFrontend_GetEntryEvents(void);

#endif
