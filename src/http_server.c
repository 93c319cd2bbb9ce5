/* http_server.c - Libmicrohttpd in external mode, driven by libev. */
#include "http_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <string.h>
#include <strings.h>

#include "settings.h"

#define CONNECTION_TIMEOUT_S 30       /* for a silent or slow sender */
#define CONNECTION_MEMORY (32 * 1024) /* bytes, headers included */
#define WATCH_INTERVAL_S 0.2          /* between looks at suspended callers */
#define STREAM_BLOCK (16 * 1024)      /* bytes read at a time */

/* ---- Streams ---------------------------------------------------------- */

static void
suspend(ps_http_request_t *request)
{
    if (!request->is_suspended) {
        request->is_suspended = true;
        MHD_suspend_connection(request->connection);
    }
}

static void
resume(ps_http_request_t *request)
{
    if (request->is_suspended) {
        request->is_suspended = false;
        MHD_resume_connection(request->connection);
        request->server->must_run = true;
    }
}

static ssize_t
read_stream(void *user, uint64_t position, char *out, size_t max)
{
    (void)position;
    ps_http_request_t *request = user;
    size_t n = MIN(request->unsent.len, max);
    if (n > 0) {
        memcpy(out, request->unsent.data, n);
        PsBuf_RemoveFront(&request->unsent, n);
        return (ssize_t)n;
    }
    if (request->is_truncated) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    if (request->is_ended) {
        return MHD_CONTENT_READER_END_OF_STREAM;
    }
    suspend(request);
    return 0;
}

/* ---- Connections ------------------------------------------------------ */

static ps_http_request_t *
new_request(ps_http_server_t *server, struct MHD_Connection *connection,
            const char *method)
{
    ps_http_request_t *request = g_new0(ps_http_request_t, 1);
    request->server = server;
    request->connection = connection;
    request->method = PsName_FromC(method);
    request->link.data = request;
    g_queue_push_tail_link(&server->requests, &request->link);
    return request;
}

static void *
on_uri(void *user, const char *uri, struct MHD_Connection *connection)
{
    ps_http_request_t *request = new_request(user, connection, "");
    PsBuf_AppendC(&request->path, uri);
    return request;
}

static enum MHD_Result
count_length(void *user, enum MHD_ValueKind kind, const char *name,
             const char *value)
{
    (void)kind;
    int *bad = user;
    if (strcasecmp(name, "Transfer-Encoding") == 0) {
        *bad += value && strcasecmp(value, "chunked") == 0 ? 1 : 2;
    }
    else if (strcasecmp(name, "Content-Length") == 0) {
        *bad += 1;
    }
    return MHD_YES;
}

// Tells whether two readers could disagree on where the request ends.
static bool
has_ambiguous_length(const ps_http_request_t *request)
{
    int marks = 0;
    MHD_get_connection_values(request->connection, MHD_HEADER_KIND,
                              count_length, &marks);
    return marks > 1;
}

static enum MHD_Result
queue_answer(ps_http_request_t *request)
{
    if (request->server->is_keep_alive_off || request->is_malformed) {
        MHD_add_response_header(request->response, MHD_HTTP_HEADER_CONNECTION,
                                "close");
    }
    enum MHD_Result result = MHD_queue_response(
        request->connection, request->status, request->response);
    MHD_destroy_response(request->response);
    request->response = NULL;
    return result;
}

static void
take_body(ps_http_request_t *request, const char *data, size_t len)
{
    if (request->body.len + len > request->server->body_max) {
        request->is_too_large = true;
        PsBuf_Clear(&request->body);
    }
    if (!request->is_too_large) {
        PsBuf_Append(&request->body, data, len);
    }
}

static enum MHD_Result
on_access(void *user, struct MHD_Connection *connection, const char *url,
          const char *method, const char *version, const char *data,
          size_t *len, void **state)
{
    (void)connection;
    (void)url;
    (void)version;
    ps_http_server_t *server = user;
    ps_http_request_t *request = *state;
    if (PsName_IsEmpty(&request->method)) {
        request->method = PsName_FromC(method);
        request->is_malformed = has_ambiguous_length(request);
        return MHD_YES;
    }
    if (*len > 0) {
        if (!request->is_malformed) {
            take_body(request, data, *len);
        }
        *len = 0;
        return MHD_YES;
    }
    if (!request->is_handed_over) {
        request->is_handed_over = true;
        suspend(request);
        server->events->request(server, request);
        return MHD_YES;
    }
    return request->response ? queue_answer(request) : MHD_YES;
}

static void
tell_closed(ps_http_request_t *request)
{
    if (request->is_handed_over && !request->is_closed) {
        request->is_closed = true;
        request->server->events->closed(request->server, request);
    }
}

static void
on_completed(void *user, struct MHD_Connection *connection, void **state,
             enum MHD_RequestTerminationCode code)
{
    (void)connection;
    (void)code;
    ps_http_server_t *server = user;
    ps_http_request_t *request = *state;
    if (!request) {
        return;
    }
    tell_closed(request);
    g_queue_unlink(&server->requests, &request->link);
    if (request->response) {
        MHD_destroy_response(request->response);
    }
    PsBuf_Finish(&request->path);
    PsBuf_Finish(&request->body);
    PsBuf_Finish(&request->unsent);
    g_free(request);
    *state = NULL;
}

/* ---- Loop ------------------------------------------------------------- */

static void
run_daemon(ps_http_server_t *server)
{
    server->must_run = false;
    MHD_run(server->daemon);
}

static void
on_readable(struct ev_loop *loop, ev_io *io, int events)
{
    (void)loop;
    (void)events;
    run_daemon(io->data);
}

static void
on_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    run_daemon(timer->data);
}

// Runs once for all connections resumed in this turn, then sets the timer.
static void
on_prepare(struct ev_loop *loop, ev_prepare *prepare, int events)
{
    (void)events;
    ps_http_server_t *server = prepare->data;
    for (int i = 0; server->must_run && i < 4; i++) {
        run_daemon(server);
    }
    MHD_UNSIGNED_LONG_LONG wait_ms;
    ev_timer_stop(loop, &server->timer);
    double wait = -1.0;
    if (server->must_run) {
        wait = 0.0;
    }
    else if (MHD_get_timeout(server->daemon, &wait_ms) == MHD_YES) {
        wait = (double)wait_ms / 1000.0;
    }
    if (wait >= 0.0) {
        ev_timer_set(&server->timer, wait, 0.0);
        ev_timer_start(loop, &server->timer);
    }
}

static int
get_fd(const ps_http_request_t *request)
{
    const union MHD_ConnectionInfo *info = MHD_get_connection_info(
        request->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    return info ? info->connect_fd : -1;
}

// Gives a request whose caller has left back to the library.
static void
drop_request(ps_http_request_t *request)
{
    tell_closed(request);
    request->is_truncated = true;
    if (!request->response && !request->is_answered) {
        request->status = MHD_HTTP_SERVICE_UNAVAILABLE;
        request->response = MHD_create_response_from_buffer(
            0, (void *)"", MHD_RESPMEM_PERSISTENT);
    }
    resume(request);
}

// A suspended connection is not polled by the library: look for callers that
// have closed theirs.
static void
on_watch(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    ps_http_server_t *server = timer->data;
    GList *next;
    for (GList *l = server->requests.head; l; l = next) {
        next = l->next;
        ps_http_request_t *request = l->data;
        struct pollfd fd = {.fd = get_fd(request), .events = POLLRDHUP};
        if (request->is_suspended && !request->is_closed &&
            poll(&fd, 1, 0) == 1 &&
            (fd.revents & (POLLRDHUP | POLLHUP | POLLERR))) {
            drop_request(request);
        }
    }
}

static void
on_connection(void *user, struct MHD_Connection *connection, void **state,
              enum MHD_ConnectionNotificationCode code)
{
    (void)state;
    ps_http_server_t *server = user;
    if (code == MHD_CONNECTION_NOTIFY_STARTED && server->idle_timeout_s > 0) {
        MHD_set_connection_option(connection, MHD_CONNECTION_OPTION_TIMEOUT,
                                  server->idle_timeout_s);
    }
}

static void
start_watchers(ps_http_server_t *server)
{
    const union MHD_DaemonInfo *info =
        MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_EPOLL_FD);
    ev_io_init(&server->io, on_readable, info->epoll_fd, EV_READ);
    ev_prepare_init(&server->prepare, on_prepare);
    ev_timer_init(&server->timer, on_timeout, 0.0, 0.0);
    ev_timer_init(&server->disconnect_timer, on_watch, WATCH_INTERVAL_S,
                  WATCH_INTERVAL_S);
    server->io.data = server;
    server->prepare.data = server;
    server->timer.data = server;
    server->disconnect_timer.data = server;
    ev_io_start(server->loop, &server->io);
    ev_prepare_start(server->loop, &server->prepare);
    ev_timer_start(server->loop, &server->disconnect_timer);
}

/* ---- Public functions ------------------------------------------------- */

ps_status_t
PsHttpServer_Init(ps_http_server_t *server,
                  const ps_http_server_events_t *events, void *user,
                  struct ev_loop *loop, const ps_name_t *address,
                  size_t body_max)
{
    *server = (ps_http_server_t){
        .events = events, .user = user, .loop = loop, .body_max = body_max};
    g_queue_init(&server->requests);
    ps_name_t host;
    int port;
    PsAddress_Split(address, &host, &port);
    struct sockaddr_in in = {.sin_family = AF_INET,
                             .sin_port = htons((uint16_t)port)};
    inet_pton(AF_INET, host.data, &in.sin_addr);
    server->daemon = MHD_start_daemon(
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, (uint16_t)port, NULL, NULL,
        on_access, server, MHD_OPTION_SOCK_ADDR, &in,
        MHD_OPTION_NOTIFY_COMPLETED, on_completed, server,
        MHD_OPTION_URI_LOG_CALLBACK, on_uri, server,
        MHD_OPTION_NOTIFY_CONNECTION, on_connection, server,
        MHD_OPTION_CONNECTION_TIMEOUT, (unsigned int)CONNECTION_TIMEOUT_S,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY,
        MHD_OPTION_CONNECTION_LIMIT, 8192U, MHD_OPTION_LISTEN_BACKLOG_SIZE,
        1024U, MHD_OPTION_END);
    if (!server->daemon) {
        return PsStatus_Fail(PS_UNAVAILABLE, "cannot listen on %s",
                             address->data);
    }
    start_watchers(server);
    return PS_OK;
}

void
PsHttpServer_Finish(ps_http_server_t *server)
{
    if (!server->daemon) {
        return;
    }
    for (GList *l = server->requests.head; l; l = l->next) {
        drop_request(l->data);
    }
    ev_io_stop(server->loop, &server->io);
    ev_prepare_stop(server->loop, &server->prepare);
    ev_timer_stop(server->loop, &server->timer);
    ev_timer_stop(server->loop, &server->disconnect_timer);
    run_daemon(server);
    MHD_stop_daemon(server->daemon);
    server->daemon = NULL;
}

void
PsHttpServer_SetIdleTimeout(ps_http_server_t *server, int64_t idle_ms)
{
    server->idle_timeout_s = (unsigned int)((idle_ms + 999) / 1000);
}

void
PsHttpServer_DisableKeepAlive(ps_http_server_t *server)
{
    server->is_keep_alive_off = true;
}

int
PsHttpServer_GetRequestCount(const ps_http_server_t *server)
{
    return (int)server->requests.length;
}

ps_name_t
PsHttpRequest_GetPath(const ps_http_request_t *request)
{
    const char *path = request->path.data ? request->path.data : "";
    return PsName_FromStr((ps_str_t){path, strcspn(path, "?")});
}

const char *
PsHttpRequest_GetHeader(const ps_http_request_t *request, const char *name)
{
    return MHD_lookup_connection_value(request->connection, MHD_HEADER_KIND,
                                       name);
}

typedef struct walk {
    void (*each)(void *user, const char *name, const char *value);
    void *user;
} walk_t;

static enum MHD_Result
walk_header(void *user, enum MHD_ValueKind kind, const char *name,
            const char *value)
{
    (void)kind;
    const walk_t *walk = user;
    walk->each(walk->user, name, value ? value : "");
    return MHD_YES;
}

void
PsHttpRequest_ForEachHeader(const ps_http_request_t *request,
                            void (*each)(void *user, const char *name,
                                         const char *value),
                            void *user)
{
    walk_t walk = {each, user};
    MHD_get_connection_values(request->connection, MHD_HEADER_KIND,
                              walk_header, &walk);
}

const char *
PsHttpRequest_GetQuery(const ps_http_request_t *request, const char *name)
{
    return MHD_lookup_connection_value(request->connection,
                                       MHD_GET_ARGUMENT_KIND, name);
}

void
PsHttpRequest_PrepareResponse(ps_http_request_t *request, unsigned int status,
                              const char *type, bool is_stream)
{
    if (request->is_closed || request->is_answered) {
        return;
    }
    request->status = status;
    request->is_stream = is_stream;
    request->response =
        is_stream
            ? MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, STREAM_BLOCK,
                                                read_stream, request, NULL)
            : NULL;
    if (!is_stream) {
        request->response = MHD_create_response_from_buffer(
            0, (void *)"", MHD_RESPMEM_PERSISTENT);
    }
    if (type) {
        PsHttpRequest_AddResponseHeader(request, "Content-Type", type);
    }
    if (is_stream) {
        request->is_answered = true;
        resume(request);
    }
}

void
PsHttpRequest_AddResponseHeader(ps_http_request_t *request, const char *name,
                                const char *value)
{
    if (request->response) {
        MHD_add_response_header(request->response, name, value);
    }
}

// Copies the headers of the empty response to the one with the body.
static enum MHD_Result
copy_header(void *user, enum MHD_ValueKind kind, const char *name,
            const char *value)
{
    (void)kind;
    if (strcasecmp(name, "Content-Length") != 0) {
        MHD_add_response_header(user, name, value);
    }
    return MHD_YES;
}

void
PsHttpRequest_SendResponse(ps_http_request_t *request, ps_str_t body)
{
    if (request->is_closed || request->is_answered) {
        return;
    }
    struct MHD_Response *whole = MHD_create_response_from_buffer(
        body.len, (void *)(uintptr_t)body.data, MHD_RESPMEM_MUST_COPY);
    MHD_get_response_headers(request->response, copy_header, whole);
    MHD_destroy_response(request->response);
    request->response = whole;
    request->is_answered = true;
    resume(request);
}

void
PsHttpRequest_WriteStream(ps_http_request_t *request, ps_str_t data)
{
    if (request->is_closed) {
        return;
    }
    PsBuf_Append(&request->unsent, data.data, data.len);
    if (request->unsent.len > PS_HTTP_STREAM_BUFFER_MAX) {
        PsBuf_Clear(&request->unsent);
        request->is_truncated = true;
    }
    resume(request);
}

void
PsHttpRequest_EndStream(ps_http_request_t *request, bool is_whole)
{
    if (request->is_closed) {
        return;
    }
    request->is_ended = true;
    request->is_truncated = !is_whole;
    resume(request);
}
