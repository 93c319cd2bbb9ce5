/*
 * http_server.h - HTTP connections of callers by libmicrohttpd on the loop.
 *
 * A request is handed over when its body is complete and stays suspended
 * until it is answered, whole or as a stream. Its user hears at once when the
 * caller closes the connection.
 */
#ifndef PS_HTTP_SERVER_H
#define PS_HTTP_SERVER_H

#include <ev.h>
#include <glib.h>
#include <microhttpd.h>

#include "status.h"
#include "str.h"

#define PS_HTTP_STREAM_BUFFER_MAX                                             \
    (8 * 1024 * 1024) /* unread bytes of one stream */

struct ps_http_server;

/**
 * struct ps_http_request - One request of a caller.
 */
typedef struct ps_http_request {
    struct ps_http_server *server;
    struct MHD_Connection *connection;
    ps_name_t method;
    ps_buf_t path; /* with the query string */
    ps_buf_t body;
    void *user; /* for the user's own use */
    bool is_too_large;
    bool is_malformed;   /* its length is ambiguous; the body was not read */
    bool is_handed_over; /* the user has it */
    bool is_suspended;
    bool is_answered; /* a response has been set */
    bool is_stream;
    bool is_ended;     /* the stream has no more data */
    bool is_truncated; /* the stream must not look complete */
    bool is_closed;    /* the user has been told */
    ps_buf_t unsent;   /* stream bytes not read yet */
    struct MHD_Response *response;
    unsigned int status;
    GList link;
} ps_http_request_t;

/**
 * struct ps_http_server_events - What a server tells its user.
 * @request: a request is complete
 * @closed: the connection has ended or the caller has left; the request is
 *          not to be used after it
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
    struct MHD_Daemon *daemon;
    size_t body_max;
    unsigned int
        idle_timeout_s;     /* silence allowed on a connection; 0: default */
    bool is_keep_alive_off; /* answers close their connections */
    ev_io io;
    ev_prepare prepare;
    ev_timer timer;
    ev_timer disconnect_timer; /* looks for callers that have left */
    bool must_run;             /* a connection was resumed in this turn */
    GQueue requests;           /* all open ones */
} ps_http_server_t;

/**
 * PsHttpServer_Init() - Listens.
 * @address: IP:PORT
 * @body_max: bytes of the largest request body
 *
 * Return: PS_OK or PS_UNAVAILABLE with the reason.
 */
ps_status_t PsHttpServer_Init(ps_http_server_t *server,
                              const ps_http_server_events_t *events,
                              void *user, struct ev_loop *loop,
                              const ps_name_t *address, size_t body_max);
void PsHttpServer_Finish(ps_http_server_t *server);

/**
 * PsHttpServer_SetIdleTimeout() - Sets how long a connection may be silent.
 * @idle_ms: rounded up to seconds; applies to new connections
 */
void PsHttpServer_SetIdleTimeout(ps_http_server_t *server, int64_t idle_ms);

/**
 * PsHttpServer_DisableKeepAlive() - Answers close their connections from now
 * on; new ones are still accepted.
 */
void PsHttpServer_DisableKeepAlive(ps_http_server_t *server);
int PsHttpServer_GetRequestCount(const ps_http_server_t *server);

/**
 * PsHttpRequest_GetPath() - Returns the path without its query string.
 */
ps_name_t PsHttpRequest_GetPath(const ps_http_request_t *request);

/**
 * PsHttpRequest_GetHeader() - Returns a request header, or NULL.
 */
const char *PsHttpRequest_GetHeader(const ps_http_request_t *request,
                                    const char *name);

/**
 * PsHttpRequest_ForEachHeader() - Calls back with each request header.
 */
void PsHttpRequest_ForEachHeader(const ps_http_request_t *request,
                                 void (*each)(void *user, const char *name,
                                              const char *value),
                                 void *user);

/**
 * PsHttpRequest_GetQuery() - Returns a query argument, or NULL.
 */
const char *PsHttpRequest_GetQuery(const ps_http_request_t *request,
                                   const char *name);

/**
 * PsHttpRequest_PrepareResponse() - Sets status and type of the answer to
 * come.
 * @type: Content-Type; NULL: none
 * @is_stream: whether PsHttpRequest_WriteStream() follows
 */
void PsHttpRequest_PrepareResponse(ps_http_request_t *request,
                                   unsigned int status, const char *type,
                                   bool is_stream);

/**
 * PsHttpRequest_AddResponseHeader() - Adds a header to the prepared answer.
 */
void PsHttpRequest_AddResponseHeader(ps_http_request_t *request,
                                     const char *name, const char *value);

/**
 * PsHttpRequest_SendResponse() - Sends the prepared answer whole.
 */
void PsHttpRequest_SendResponse(ps_http_request_t *request, ps_str_t body);

/**
 * PsHttpRequest_WriteStream() - Appends to the prepared stream.
 */
void PsHttpRequest_WriteStream(ps_http_request_t *request, ps_str_t data);

/**
 * PsHttpRequest_EndStream() - Ends the stream.
 * @is_whole: false: the caller sees that it is cut
 */
void PsHttpRequest_EndStream(ps_http_request_t *request, bool is_whole);

#endif
