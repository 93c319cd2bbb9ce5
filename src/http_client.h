/*
 * http_client.h - HTTP transfers by curl's multi interface on the loop.
 *
 * A transfer is never repeated by the library: each one that must not be sent
 * twice has a connection of its own.
 */
#ifndef PS_HTTP_CLIENT_H
#define PS_HTTP_CLIENT_H

#include <curl/curl.h>
#include <ev.h>

#include "str.h"

struct ps_transfer;

/**
 * enum ps_transfer_result - How a transfer ended.
 */
typedef enum ps_transfer_result {
    PS_TRANSFER_COMPLETE,  /* the response is complete */
    PS_TRANSFER_NOT_SENT,  /* no connection: no byte was sent */
    PS_TRANSFER_INCOMPLETE /* sent, and no complete response */
} ps_transfer_result_t;

/**
 * struct ps_transfer_events - What a transfer tells its user.
 * @head: the response's status and headers are complete; may be NULL
 * @data: bytes of the response body; may be NULL
 * @done: the transfer has ended and is the user's again
 *
 * In @head and @data a transfer is stopped by setting its is_aborted, never
 * by PsTransfer_Cancel().
 */
typedef struct ps_transfer_events {
    void (*headers)(struct ps_transfer *transfer);
    void (*data)(struct ps_transfer *transfer, const char *data, size_t len);
    void (*done)(struct ps_transfer *transfer, ps_transfer_result_t result);
} ps_transfer_events_t;

/**
 * struct ps_transfer - One HTTP exchange; memory of the user.
 */
typedef struct ps_transfer {
    const ps_transfer_events_t *events;
    void *user;
    CURL *easy;
    struct curl_slist *request_headers;
    long status;               /* HTTP status; 0 before the headers */
    ps_buf_t response_headers; /* header lines of the response */
    int sends;              /* times the request was given to a connection */
    bool must_not_resend;   /* no second send, whatever the library wants */
    bool is_aborted;        /* set by the user: the connection is closed */
    ps_buf_t body;          /* response, when @events->data is NULL */
    ps_name_t content_type; /* Content-Type of the response */
    ps_name_t request_id;   /* X-Request-Id of the response, or empty */
    ps_name_t backend;      /* X-Backend of the response, or empty */
    char error[CURL_ERROR_SIZE];
} ps_transfer_t;

/**
 * struct ps_transfer_request - What a transfer sends, and how.
 * @method: HTTP method
 * @url: full URL
 * @target: request target sent in place of the URL's path; NULL: the path
 * @body: copied; empty: none
 * @timeout_ms: for all of it; 0: none
 * @is_single: on a connection of its own
 * @is_single_send: sent at most once, also where an idle connection was lost
 * @idle_max_s: connections that were idle for longer are not used; 0: any
 */
typedef struct ps_transfer_request {
    const char *method;
    const char *url;
    const char *target;
    ps_str_t body;
    int64_t timeout_ms;
    bool has_own_connection;
    bool must_not_resend;
    int idle_max_s;
} ps_transfer_request_t;

/**
 * struct ps_http_client - The multi handle on a loop.
 */
typedef struct ps_http_client {
    struct ev_loop *loop;
    CURLM *multi;
    ev_timer timer;
    int running;
    uint64_t connects; /* new connections */
} ps_http_client_t;

void PsHttpClient_Init(ps_http_client_t *client, struct ev_loop *loop);
void PsHttpClient_Finish(ps_http_client_t *client);

/**
 * PsTransfer_Init() - Prepares a transfer.
 * @events: kept
 * @user: for the user's own use
 */
void PsTransfer_Init(ps_transfer_t *transfer,
                     const ps_transfer_events_t *events, void *user);
void PsTransfer_Finish(ps_transfer_t *transfer);

/**
 * PsTransfer_AddHeader() - Adds a request header; call before the start.
 */
void PsTransfer_AddHeader(ps_transfer_t *transfer, const char *name,
                          const char *value);

/**
 * PsTransfer_Start() - Starts a transfer.
 * @method: HTTP method
 * @url: full URL
 * @body: request body, copied; empty: none
 * @timeout_ms: for all of it; 0: none
 * @is_single: on a connection of its own, so that it is sent at most once
 */
void PsTransfer_Start(ps_http_client_t *client, ps_transfer_t *transfer,
                      const char *method, const char *url, ps_str_t body,
                      int64_t timeout_ms, bool is_single);

/**
 * PsTransfer_StartRequest() - Starts a transfer with all its options.
 */
void PsTransfer_StartRequest(ps_http_client_t *client, ps_transfer_t *transfer,
                             const ps_transfer_request_t *request);

/**
 * PsTransfer_GetHeader() - Returns a header of the response.
 *
 * Return: its value, with NULL data when there is none.
 */
ps_str_t PsTransfer_GetHeader(const ps_transfer_t *transfer, const char *name);

/**
 * PsTransfer_NextHeader() - Walks over the headers of the response.
 * @position: starts at 0
 *
 * Return: false after the last one.
 */
bool PsTransfer_NextHeader(const ps_transfer_t *transfer, size_t *position,
                           ps_str_t *name, ps_str_t *value);

/**
 * PsTransfer_Cancel() - Stops a transfer without its done event.
 */
void PsTransfer_Cancel(ps_http_client_t *client, ps_transfer_t *transfer);

#endif
