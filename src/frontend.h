/*
 * frontend.h - Callers' HTTP: from a request to a matched rule and a call.
 */
#ifndef PS_FRONTEND_H
#define PS_FRONTEND_H

#include "entry.h"
#include "http_client.h"
#include "http_server.h"

struct ps_daemon;

/**
 * struct ps_caller_exchange - One caller's request while it is served.
 */
typedef struct ps_caller_exchange {
    ps_call_t call;
    struct ps_daemon *daemon;
    ps_http_request_t *request; /* NULL once the caller has left */
    bool is_model_request;
    bool wants_stream;
    ps_transfer_t transfer;
    bool is_transferring;
    bool is_resuming;     /* the transfer reads the stream again */
    bool is_streaming;    /* the answer's head has been sent */
    bool has_last_event;  /* the stream's last event was seen */
    bool is_wrong_answer; /* the answer belongs to another dispatch */
    size_t relayed_bytes; /* stream bytes given to the caller */
    size_t skip_bytes;    /* bytes of a resumed stream given before */
    ps_buf_t answer;      /* whole answer, or a stream's line in progress */
    ev_timer deadline_timer;
    GList link;
} ps_caller_exchange_t;

/**
 * struct ps_frontend - The callers' side of a daemon.
 */
typedef struct ps_frontend {
    struct ps_daemon *daemon;
    ps_http_server_t server;
    GQueue exchanges; /* open ones, oldest first */
} ps_frontend_t;

/**
 * PsFrontend_Init() - Listens for callers.
 *
 * Return: PS_OK or PS_UNAVAILABLE.
 */
ps_status_t PsFrontend_Init(ps_frontend_t *front, struct ps_daemon *daemon);
void PsFrontend_Finish(ps_frontend_t *front);

/**
 * PsFrontend_SendProgress() - Reports streams' token counts to pools' owners.
 */
void PsFrontend_SendProgress(ps_frontend_t *front);

/**
 * PsFrontend_SendError() - Sends a final error answer.
 * @message: for people
 */
void PsFrontend_SendError(ps_http_request_t *request, const char *code,
                          ps_ran_t ran, int64_t retry_after_ms,
                          const char *message);

/**
 * PsCallerExchange_Free() - Ends a visit.
 */
void PsCallerExchange_Free(ps_caller_exchange_t *visit);

/**
 * PsFrontend_GetEntryEvents() - Returns the events that serve an entry.
 */
const ps_entry_events_t *PsFrontend_GetEntryEvents(void);

#endif
