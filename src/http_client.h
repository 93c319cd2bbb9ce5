/*
 * http_client.h - HTTP/1.1 requests with curl's multi interface on libev.
 *
 * Curl retries a request by itself when a connection that it reuses turns out
 * to be closed. A request that must be sent at most once therefore gets a new
 * connection (has_own_connection), or its second send is stopped
 * (must_not_resend).
 *
 * A response that is not valid HTTP/1.1 is never complete (http_head.h), nor
 * is one that ends with its connection before the server has received the
 * whole request: a server that ends then may have sent a part of its answer.
 *
 * Curl keeps all lines of a response's heads and trailer until the transfer is
 * finished. They are counted in a memory budget, and a response with too many
 * is malformed. Load pattern: servers that send lines without end.
 */
#ifndef PS_HTTP_CLIENT_H
#define PS_HTTP_CLIENT_H

#include <curl/curl.h>
#include <ev.h>

#include "http_head.h"
#include "memory_budget.h"
#include "str.h"

struct ps_http_client;
struct ps_transfer;

// Most bytes of a response body that is kept in memory, by default.
#define PS_KEPT_BODY_MAX ((size_t)64 * 1024 * 1024)

/**
 * enum ps_transfer_result - How a transfer ended.
 */
typedef enum ps_transfer_result {
    PS_TRANSFER_COMPLETE,  /* the whole response was received */
    PS_TRANSFER_NOT_SENT,  /* no connection was made: no byte was sent */
    PS_TRANSFER_INCOMPLETE /* may have been sent; no complete response */
} ps_transfer_result_t;

/**
 * struct ps_transfer_events - Callbacks of a transfer.
 * @sending: the request is about to be sent on an open connection; may be NULL
 * @headers: status and headers of the final response (not of a 1xx one) were
 *           received; may be NULL
 * @data: bytes of the response body were received; NULL: they are appended to
 *        the transfer's body, up to the request's @body_max
 * @done: the transfer has ended; its memory may be released
 *
 * @headers and @data stop a transfer by setting its is_aborted; they and
 * @sending must not call PsTransfer_Cancel().
 */
typedef struct ps_transfer_events {
    void (*sending)(struct ps_transfer *transfer);
    void (*headers)(struct ps_transfer *transfer);
    void (*data)(struct ps_transfer *transfer, const char *data, size_t len);
    void (*done)(struct ps_transfer *transfer, ps_transfer_result_t result);
} ps_transfer_events_t;

/**
 * struct ps_transfer - One HTTP request and its response.
 *
 * Its memory belongs to the module that uses it and must stay in place until
 * PsTransfer_Finish().
 */
typedef struct ps_transfer {
    const ps_transfer_events_t *events;
    void *user;
    struct ps_http_client *client; /* NULL before the start */
    CURL *easy;
    struct curl_slist *request_headers;
    long status;               /* HTTP status; 0 before the headers */
    ps_http_head_t head;       /* as far as it was received */
    ps_buf_t response_headers; /* header lines, without the status line */
    size_t lines_size;         /* of all lines, with what keeping them takes */
    size_t counted;            /* bytes in the client's budget */
    size_t body_max;           /* copied from the ps_transfer_request_t */
    int sends;                 /* times that curl began to send the request */
    bool must_not_resend;      /* copied from the ps_transfer_request_t */
    bool is_aborted;           /* closed here; a callback may set it */
    bool is_refused;           /* no process listens at the address */
    bool is_timed_out;         /* its time was over */
    bool is_paused;            /* no more of the response is read */
    bool is_malformed;         /* the response is not HTTP/1.1; is_aborted */
    size_t body_len;           /* of the request */
    curl_socket_t socket;      /* of the connection, while it is open */
    int socket_copy;           /* if the response ends with its connection;
                                  -1: none */
    ps_buf_t body;             /* of the response, when events->data is NULL */
    ps_name_t content_type;    /* Content-Type of the response */
    ps_name_t request_id;      /* X-Request-Id of the response, or empty */
    ps_name_t backend;         /* X-Backend of the response, or empty */
    char error[CURL_ERROR_SIZE]; /* curl's message */
} ps_transfer_t;

/**
 * struct ps_transfer_request - What a transfer sends, and how.
 * @method: HTTP method
 * @url: full URL
 * @target: request target sent in place of the URL's path; NULL: the path
 * @body: empty: none
 * @keeps_body: @body stays in place until the transfer ends, and is not copied
 * @timeout_ms: for the whole transfer; 0: none
 * @connect_timeout_ms: to open a connection; 0: the client's default
 * @has_own_connection: uses a new connection and closes it afterwards
 * @must_not_resend: sent at most once, also when a reused connection turns out
 *                   to be closed; the transfer is then incomplete
 * @connects_only: sends nothing; complete when a new connection is open
 * @idle_max_s: seconds; a connection that was idle for longer is not reused;
 *              0: curl's default
 * @body_max: most bytes of a response body that is appended to the transfer's;
 *            the transfer is closed beyond; 0: PS_KEPT_BODY_MAX
 */
typedef struct ps_transfer_request {
    const char *method;
    const char *url;
    const char *target;
    ps_str_t body;
    bool keeps_body;
    int64_t timeout_ms;
    int64_t connect_timeout_ms;
    bool has_own_connection;
    bool must_not_resend;
    bool connects_only;
    int idle_max_s;
    size_t body_max;
} ps_transfer_request_t;

/**
 * struct ps_http_client - Curl's multi handle and its connections on a loop.
 */
typedef struct ps_http_client {
    struct ev_loop *loop;
    ps_memory_budget_t *budget; /* may be NULL */
    CURLM *multi;
    ev_timer timer;    /* the timeout that curl asks for */
    int running;       /* transfers in progress */
    uint64_t connects; /* sockets opened so far, also for failed connections */
} ps_http_client_t;

void PsHttpClient_Init(ps_http_client_t *client, struct ev_loop *loop);
void PsHttpClient_Finish(ps_http_client_t *client);

/**
 * PsHttpClient_SetBudget() - Counts the lines of responses in a budget.
 * @budget: not copied
 */
void PsHttpClient_SetBudget(ps_http_client_t *client,
                            ps_memory_budget_t *budget);

/**
 * PsTransfer_Init() - Prepares a transfer.
 * @events: not copied
 * @user: for the callbacks, as transfer->user
 */
void PsTransfer_Init(ps_transfer_t *transfer,
                     const ps_transfer_events_t *events, void *user);
void PsTransfer_Finish(ps_transfer_t *transfer); /* not while in progress */

/**
 * PsTransfer_AddHeader() - Adds a request header to a transfer not started.
 * @value: empty: curl does not send its own header of that name
 */
void PsTransfer_AddHeader(ps_transfer_t *transfer, const char *name,
                          const char *value);

/**
 * PsTransfer_Start() - Starts a transfer with the common options.
 * @method: HTTP method
 * @url: full URL
 * @body: request body, copied; empty: none
 * @timeout_ms: for the whole transfer; 0: none
 * @has_own_connection: uses a new connection, so that it is sent at most once
 */
void PsTransfer_Start(ps_http_client_t *client, ps_transfer_t *transfer,
                      const char *method, const char *url, ps_str_t body,
                      int64_t timeout_ms, bool has_own_connection);

/**
 * PsTransfer_StartRequest() - Starts a transfer with all options.
 * @request: not kept
 */
void PsTransfer_StartRequest(ps_http_client_t *client, ps_transfer_t *transfer,
                             const ps_transfer_request_t *request);

/**
 * PsTransfer_EndsWithConnection() - Tells whether the response has neither a
 * length nor chunks, so that its end can't be told from a closed connection.
 */
bool PsTransfer_EndsWithConnection(const ps_transfer_t *transfer);

/**
 * PsTransfer_GetLength() - Returns the response's Content-Length, or
 * UINT64_MAX if it has none.
 */
uint64_t PsTransfer_GetLength(const ps_transfer_t *transfer);

/**
 * PsTransfer_GetHeader() - Returns a header of the response.
 * @name: compared without regard to case
 *
 * Return: value of the first such header, valid until PsTransfer_Finish(); its
 * data is NULL when there is none.
 */
ps_str_t PsTransfer_GetHeader(const ps_transfer_t *transfer, const char *name);

/**
 * PsTransfer_NextHeader() - Iterates over the headers of the response.
 * @position: set to 0 before the first call; each call advances it
 * @name: receives the header's name
 * @value: receives the value without surrounding spaces
 *
 * Return: false when there are no more headers.
 */
bool PsTransfer_NextHeader(const ps_transfer_t *transfer, size_t *position,
                           ps_str_t *name, ps_str_t *value);

/**
 * PsTransfer_SetPaused() - Stops reading the response, or goes on.
 *
 * May be called from the data callback. Going on may call it.
 */
void PsTransfer_SetPaused(ps_transfer_t *transfer, bool is_paused);

/**
 * PsTransfer_Cancel() - Stops a transfer without calling its done callback.
 *
 * PsTransfer_Finish() is still to be called.
 */
void PsTransfer_Cancel(ps_http_client_t *client, ps_transfer_t *transfer);

#endif
