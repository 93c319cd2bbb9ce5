/*
 * exchange.h - One caller's request through a gateway.
 *
 * Decoded, checked, scheduled, sent to a backend server, and answered. Sent
 * again only where the route lets it be repeated, the retry budget allows it
 * and time is left.
 */
#ifndef PS_EXCHANGE_H
#define PS_EXCHANGE_H

#include "gateway.h"

/**
 * struct ps_exchange - One request.
 */
typedef struct ps_exchange {
    ps_gateway_t *gateway;
    ps_http_request_t *request; /* NULL once it is answered or left */
    ps_catalog_t *catalog;      /* in force when it arrived */
    const ps_route_t *route;
    const ps_team_t *team; /* NULL: public route */
    ps_dispatcher_t *dispatcher;
    ps_inbound_request_t inbound;
    ps_task_t task;
    uint64_t content_hash;
    int64_t arrived_ms;
    int64_t deadline_ms; /* its final answer is due then */
    double quota_units;  /* spent */
    ps_transfer_t transfer;
    bool is_transferring;
    bool may_have_run; /* a server may have run it */
    int sends;
    ps_reply_t reply;
    bool has_response_head;  /* of the current transfer */
    bool is_relaying;        /* the stream's head has gone to the caller */
    ps_buf_t body;           /* whole answer, or an event in progress */
    ps_name_t last_event_id; /* last event relayed */
    uint32_t n_events;
    GList link;
} ps_exchange_t;

/**
 * PsExchange_Start() - Takes a request on.
 */
void PsExchange_Start(ps_gateway_t *gateway, ps_http_request_t *request);

/**
 * PsExchange_HandleDisconnect() - The caller has closed its connection.
 */
void PsExchange_HandleDisconnect(ps_exchange_t *exchange);

/**
 * PsExchange_Run() - Ends it when its time is over, or leaves a silent server.
 *
 * Return: whether it did; then any exchange may have ended, because freed
 * slots start and refuse others.
 */
bool PsExchange_Run(ps_exchange_t *exchange, int64_t now_ms);

const ps_scheduler_events_t *PsExchange_GetSchedulerEvents(void);

#endif
