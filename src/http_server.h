/*
 * http_server.h - HTTP server with libmicrohttpd on a libev loop.
 *
 * A request is passed to the request callback when its body is complete. Its
 * connection is suspended until there is a response to send, whole or as a
 * stream. The closed callback tells when the request ends, also when the
 * caller disconnects while the connection is suspended. The server itself
 * never answers a request that it has passed on.
 *
 * A request whose head is not HTTP/1.1 (http_head.h) gets status 400, and its
 * connection is closed: where the next request begins is not known.
 */
#ifndef PS_HTTP_SERVER_H
#define PS_HTTP_SERVER_H

#include <ev.h>
#include <glib.h>
#include <microhttpd.h>

#include "memory_budget.h"
#include "status.h"
#include "str.h"

/* Bytes; a stream with more unsent data ends there, incomplete. Writers stop
   before: see PsHttpRequest_NotifyBelow(). */
#define PS_HTTP_STREAM_BUFFER_MAX (8 * 1024 * 1024)

#define PS_HTTP_LENGTH_UNKNOWN UINT64_MAX /* of a stream */

struct ps_http_server;

/**
 * struct ps_http_request - One HTTP request and its response.
 *
 * Owned by the server; valid from the request callback until the closed
 * callback returns.
 */
typedef struct ps_http_request {
    struct ps_http_server *server;
    struct MHD_Connection *connection;
    ps_name_t method;
    ps_buf_t path; /* with the query string */
    ps_buf_t body;
    void *user;           /* for the callbacks */
    bool is_too_large;    /* the body exceeds body_max and was not kept */
    const char *fault;    /* why its head is malformed, and the body was not
                             kept; NULL: it is not */
    bool is_over_budget;  /* the body was not kept for want of memory */
    bool is_handed_over;  /* the request callback was called */
    bool is_suspended;    /* the library does not poll the connection */
    bool is_answered;     /* a whole response was set, or a stream started */
    bool is_stream;       /* the response is sent with WriteStream() */
    bool is_stream_ended; /* the stream has no more data */
    bool is_truncated;    /* the stream ends with an error */
    bool is_overrun;      /* the stream has lost bytes; later ones are not
                             taken */
    bool is_closed;       /* the closed callback was called */
    bool is_timed_out;    /* closed because the caller was idle for too long */
    size_t body_length;   /* bytes of the body that are expected, or were
                             refused for want of memory */
    ps_buf_t unsent;      /* stream bytes, from @unsent_start on */
    size_t unsent_start;  /* bytes before it were read by the library */
    uint64_t length;      /* of the stream, or PS_HTTP_LENGTH_UNKNOWN */
    uint64_t written;     /* bytes of the stream so far */
    size_t low_mark;      /* unsent bytes at which @on_low is called */
    void (*on_low)(struct ps_http_request *request); /* NULL: none */
    size_t counted[PS_MEMORY_USES]; /* in the server's budget */
    struct MHD_Response *response;  /* prepared; NULL once queued */
    unsigned int status;            /* HTTP status of the response */
    GList link;                     /* in the server's requests */
} ps_http_request_t;

/**
 * struct ps_http_server_events - Callbacks of a server.
 * @request: a request was received whole; it may be too large or, if these
 *           are reported, malformed, and is then not to be run.
 *           One that is over the budget may come without its body, and is to
 *           be answered at once
 * @closed: the response was sent, the caller disconnected or the server is
 *          stopped; the request must not be used afterwards
 */
typedef struct ps_http_server_events {
    void (*request)(struct ps_http_server *server, ps_http_request_t *request);
    void (*closed)(struct ps_http_server *server, ps_http_request_t *request);
} ps_http_server_events_t;

/**
 * struct ps_http_server - A listening server.
 */
typedef struct ps_http_server {
    const ps_http_server_events_t *events;
    void *user;
    struct ev_loop *loop;
    struct MHD_Daemon *daemon;   /* the library's server */
    ps_memory_budget_t *budget;  /* of all requests; NULL: none */
    size_t body_max;             /* bytes of the largest request body */
    unsigned int idle_timeout_s; /* of new connections; 0: 30 s */
    bool is_keep_alive_off;      /* responses close their connections */
    bool reports_malformed;      /* passes malformed requests on */
    ev_io io;                    /* the library's epoll descriptor */
    ev_prepare prepare;          /* runs the library before the loop polls */
    ev_timer timer;              /* the timeout that the library asks for */
    ev_timer disconnect_timer;   /* checks suspended connections */
    bool must_run;   /* a connection was resumed since the library last ran */
    int n_vain_runs; /* of the library, less its calls back */
    GQueue requests; /* ps_http_request_t, all open ones */
} ps_http_server_t;

/**
 * PsHttpServer_Init() - Starts to listen.
 * @events: not copied
 * @user: for the callbacks, as server->user
 * @address: IP:PORT to listen on
 * @body_max: bytes of the largest request body
 *
 * Return: PS_OK or PS_UNAVAILABLE with the reason.
 */
ps_status_t PsHttpServer_Init(ps_http_server_t *server,
                              const ps_http_server_events_t *events,
                              void *user, struct ev_loop *loop,
                              const ps_name_t *address, size_t body_max);

/**
 * PsHttpServer_Finish() - Aborts all requests and stops listening.
 *
 * Calls the closed callback of each request passed to the request callback.
 * The connection of one that has no response is closed; no status is sent.
 */
void PsHttpServer_Finish(ps_http_server_t *server);

/**
 * PsHttpServer_SetIdleTimeout() - Sets how long new connections may be idle.
 * @timeout_ms: milliseconds, rounded up to whole seconds
 */
void PsHttpServer_SetIdleTimeout(ps_http_server_t *server, int64_t timeout_ms);

/**
 * PsHttpServer_SetBudget() - Counts bodies and unsent bytes in a budget, and
 * accepts bodies only as far as it has room.
 * @budget: outlives the server
 */
void PsHttpServer_SetBudget(ps_http_server_t *server,
                            ps_memory_budget_t *budget);

/**
 * PsHttpServer_DisableKeepAlive() - Makes each response close its connection.
 *
 * New connections are still accepted.
 */
void PsHttpServer_DisableKeepAlive(ps_http_server_t *server);

/**
 * PsHttpServer_ReportMalformed() - Passes malformed requests on, to be
 * refused.
 */
void PsHttpServer_ReportMalformed(ps_http_server_t *server);

/**
 * PsHttpServer_GetRequestCount() - Returns the number of open requests.
 */
int PsHttpServer_GetRequestCount(const ps_http_server_t *server);

/**
 * PsHttpRequest_GetPath() - Returns the path without its query string, cut at
 * PS_NAME_MAX.
 */
ps_name_t PsHttpRequest_GetPath(const ps_http_request_t *request);

/**
 * PsHttpRequest_GetHeader() - Returns a request header's value, or NULL.
 */
const char *PsHttpRequest_GetHeader(const ps_http_request_t *request,
                                    const char *name);

/**
 * PsHttpRequest_GetCallerIp() - Returns the IPv4 address of the other end of
 * the connection, in network byte order; 0: not known.
 */
uint32_t PsHttpRequest_GetCallerIp(const ps_http_request_t *request);

/**
 * PsHttpRequest_ForEachHeader() - Calls a function for each request header.
 * @each: called with @user and the header's name and value
 */
void PsHttpRequest_ForEachHeader(const ps_http_request_t *request,
                                 void (*each)(void *user, const char *name,
                                              const char *value),
                                 void *user);

/**
 * PsHttpRequest_GetQuery() - Returns a query argument's value, or NULL.
 */
const char *PsHttpRequest_GetQuery(const ps_http_request_t *request,
                                   const char *name);

/**
 * PsHttpRequest_PrepareResponse() - Sets status and type of the response.
 * @status: HTTP status
 * @type: Content-Type; NULL: none
 * @is_stream: true: PsHttpRequest_WriteStream() and EndStream() send the body;
 *             false: PsHttpRequest_SendResponse() does
 *
 * Has no effect when a response was sent or the request was closed. The status
 * and headers of a stream are sent when the loop next runs the library.
 */
void PsHttpRequest_PrepareResponse(ps_http_request_t *request,
                                   unsigned int status, const char *type,
                                   bool is_stream);

/**
 * PsHttpRequest_PrepareStream() - Prepares a stream of known length.
 * @length: bytes, sent as Content-Length, or PS_HTTP_LENGTH_UNKNOWN
 *
 * A stream that ends with another length is incomplete. The last byte is not
 * sent before EndStream().
 */
void PsHttpRequest_PrepareStream(ps_http_request_t *request,
                                 unsigned int status, uint64_t length);

/**
 * PsHttpRequest_AddResponseHeader() - Adds a header to the prepared response.
 *
 * Has no effect once the response is being sent.
 */
void PsHttpRequest_AddResponseHeader(ps_http_request_t *request,
                                     const char *name, const char *value);

/**
 * PsHttpRequest_SendResponse() - Sends the prepared response with its body.
 * @body: copied
 */
void PsHttpRequest_SendResponse(ps_http_request_t *request, ps_str_t body);

/**
 * PsHttpRequest_WriteStream() - Appends data to the response's stream.
 * @data: copied
 *
 * Of a stream with more than PS_HTTP_STREAM_BUFFER_MAX unsent bytes, those so
 * far are sent, and it ends as incomplete.
 */
void PsHttpRequest_WriteStream(ps_http_request_t *request, ps_str_t data);

/**
 * PsHttpRequest_GetUnsent() - Returns how many bytes of the stream the library
 * has not read yet.
 */
size_t PsHttpRequest_GetUnsent(const ps_http_request_t *request);

/**
 * PsHttpRequest_NotifyBelow() - Calls a function, once, when there are no more
 * unsent bytes than this.
 * @on_low: may write to the stream; NULL: ends the wait
 */
void PsHttpRequest_NotifyBelow(ps_http_request_t *request, size_t bytes,
                               void (*on_low)(ps_http_request_t *request));

/**
 * PsHttpRequest_EndStream() - Ends the response's stream.
 * @is_complete: false: the connection is closed without the last chunk, so
 *               that the caller sees an incomplete response
 */
void PsHttpRequest_EndStream(ps_http_request_t *request, bool is_complete);

#endif
