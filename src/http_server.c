/* http_server.c - Runs libmicrohttpd on a libev loop. */
#include "http_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <strings.h>

#include "http_head.h"
#include "request_body.h"
#include "settings.h"

#define IDLE_TIMEOUT_S 30 /* seconds without data on a connection */
#define CONNECTION_MEMORY_MAX (32 * 1024) /* bytes; limits the headers */
#define DISCONNECT_CHECK_S 0.2 /* between checks of suspended connections */

// The library asks to be run at once for as long as a line that a caller does
// not end fills a connection's memory. After so many runs more than calls back
// it is run after a pause. A head that is too large takes 70.
#define VAIN_RUNS_MAX 500
#define VAIN_RUN_PAUSE_S 0.02

// Bytes of a connection that the kernel keeps beside those in flight.
#define KERNEL_UNSENT_MAX (128 * 1024)

// Bytes of a stream read at a time. The library keeps as many for each
// connection.
#define STREAM_READ_MAX (4 * 1024)

// Read bytes at the start of the unsent ones are removed when there are as
// many, so that moving the others costs little.
#define UNSENT_MOVE_MIN (32 * 1024)

/* ---- Runs of the library ---------------------------------------------- */

// The library has called back.
static void
note_progress(ps_http_server_t *server)
{
    server->n_vain_runs = MAX(server->n_vain_runs - 1, 0);
}

/* ---- Streams ---------------------------------------------------------- */

static void
count_unsent(ps_http_request_t *request)
{
    PsMemoryBudget_Set(request->server->budget, PS_MEMORY_ANSWER,
                       &request->counted[PS_MEMORY_ANSWER],
                       request->unsent.cap);
}

// Stops the library from polling the connection and from calling back for it,
// until resume().
static void
suspend(ps_http_request_t *request)
{
    if (!request->is_suspended) {
        request->is_suspended = true;
        MHD_suspend_connection(request->connection);
    }
}

// Lets the library go on with the connection; it does so when the loop next
// runs it.
static void
resume(ps_http_request_t *request)
{
    if (request->is_suspended) {
        request->is_suspended = false;
        MHD_resume_connection(request->connection);
        request->server->must_run = true;
    }
}

static void
drop_unsent(ps_http_request_t *request)
{
    PsBuf_Finish(&request->unsent);
    request->unsent_start = 0;
    count_unsent(request);
}

static void
take_unsent(ps_http_request_t *request, char *out, size_t n)
{
    ps_buf_t *unsent = &request->unsent;
    memcpy(out, unsent->data + request->unsent_start, n);
    request->unsent_start += n;
    if (request->unsent_start == unsent->len) {
        drop_unsent(request);
    }
    else if (request->unsent_start >= UNSENT_MOVE_MIN &&
             request->unsent_start >= unsent->len / 2) {
        PsBuf_RemoveFront(unsent, request->unsent_start);
        request->unsent_start = 0;
        PsBuf_SetCapacity(unsent, unsent->len);
        count_unsent(request);
    }
}

// Tells whether the stream's next bytes would complete it for the caller while
// it has not ended well.
static bool
holds_last_byte(const ps_http_request_t *request)
{
    return request->written == request->length &&
           (!request->is_stream_ended || request->is_truncated);
}

// The library calls this for the next bytes of a stream. It returns 0 and
// suspends the connection when there are none yet.
static ssize_t
read_stream(void *user, uint64_t position, char *out, size_t max)
{
    (void)position;
    ps_http_request_t *request = user;
    note_progress(request->server);
    size_t n_unsent = PsHttpRequest_GetUnsent(request);
    if (n_unsent > 0 && holds_last_byte(request)) {
        n_unsent--;
    }
    size_t n = MIN(n_unsent, MIN(max, STREAM_READ_MAX));
    if (n > 0) {
        take_unsent(request, out, n);
        if (request->on_low && n_unsent - n <= request->low_mark) {
            void (*on_low)(ps_http_request_t *) = request->on_low;
            request->on_low = NULL;
            on_low(request);
        }
        return (ssize_t)n;
    }
    if (request->is_truncated) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    if (request->is_stream_ended) {
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
    note_progress(server);
    return request;
}

// The library calls this with the request target, before it parses the
// headers. The request returned here is the state of the later callbacks. Its
// empty method shows that the headers have not been handled.
static void *
on_uri(void *user, const char *uri, struct MHD_Connection *connection)
{
    ps_http_request_t *request = new_request(user, connection, "");
    PsBuf_AppendC(&request->path, uri);
    return request;
}

static enum MHD_Result
check_field(void *user, enum MHD_ValueKind kind, const char *name,
            const char *value)
{
    (void)kind;
    return PsHttpHead_AddField(user, PsStr_FromC(name), PsStr_FromC(value))
               ? MHD_YES
               : MHD_NO;
}

// Returns why the request's head is malformed; NULL: it is not. Two readers of
// a malformed head could disagree on where the request ends, so that the body
// of one is another one (request smuggling).
static const char *
find_fault(const ps_http_request_t *request, const char *version)
{
    ps_http_head_t head;
    if (PsHttpHead_InitRequest(&head, PsName_View(&request->method),
                               PsBuf_View(&request->path),
                               PsStr_FromC(version))) {
        MHD_get_connection_values(request->connection, MHD_HEADER_KIND,
                                  check_field, &head);
    }
    if (!head.fault) {
        PsHttpHead_EndFields(&head);
    }
    return head.fault;
}

// Tells whether the library would take all that comes for the request's body,
// until the caller closes the connection.
static bool
has_endless_body(const ps_http_request_t *request)
{
    const char *encoding =
        PsHttpRequest_GetHeader(request, "Transfer-Encoding");
    return encoding && strcasecmp(encoding, "chunked") != 0;
}

// Gives the response to the library. After a malformed request the connection
// is closed, as it is not clear where the next request begins.
static enum MHD_Result
queue_response(ps_http_request_t *request)
{
    if (request->server->is_keep_alive_off || request->fault) {
        MHD_add_response_header(request->response, MHD_HTTP_HEADER_CONNECTION,
                                "close");
    }
    enum MHD_Result result = MHD_queue_response(
        request->connection, request->status, request->response);
    MHD_destroy_response(request->response);
    request->response = NULL;
    return result;
}

// Answers a malformed request that its owner does not want to know of.
static enum MHD_Result
refuse_malformed(ps_http_request_t *request)
{
    request->status = MHD_HTTP_BAD_REQUEST;
    request->response =
        MHD_create_response_from_buffer(0, (void *)"", MHD_RESPMEM_PERSISTENT);
    return queue_response(request);
}

// Has a request answered before its body is received. The library closes the
// connection after the response.
static enum MHD_Result
refuse_early(ps_http_request_t *request)
{
    if (request->fault && !request->server->reports_malformed) {
        return refuse_malformed(request);
    }
    request->is_handed_over = true;
    request->server->events->request(request->server, request);
    return request->response ? queue_response(request) : MHD_NO;
}

// Handles the head of a request.
static enum MHD_Result
accept_head(ps_http_request_t *request, const char *method,
            const char *version)
{
    request->method = PsName_FromC(method);
    request->fault = find_fault(request, version);
    if (request->fault) {
        return has_endless_body(request) ? refuse_early(request) : MHD_YES;
    }
    request->is_over_budget = !PsRequestBody_Accept(request);
    return request->is_over_budget ? refuse_early(request) : MHD_YES;
}

// The library calls this several times for a request: after the headers, for
// each part of the body, at its end, and again when the connection is resumed
// with a response or, for an aborted request, without one. The request
// callback is called at the end of the body. MHD_NO makes the library close
// the connection.
static enum MHD_Result
on_request_data(void *user, struct MHD_Connection *connection, const char *url,
                const char *method, const char *version, const char *data,
                size_t *len, void **state)
{
    (void)connection;
    (void)url;
    ps_http_server_t *server = user;
    ps_http_request_t *request = *state;
    note_progress(server);
    if (PsName_IsEmpty(&request->method)) {
        return accept_head(request, method, version);
    }
    if (*len > 0) {
        if (!request->fault) {
            PsRequestBody_Append(request, data, *len);
        }
        *len = 0;
        return MHD_YES;
    }
    if (request->fault && !server->reports_malformed) {
        return refuse_malformed(request);
    }
    if (!request->is_handed_over) {
        request->is_handed_over = true;
        suspend(request);
        server->events->request(server, request);
        return MHD_YES;
    }
    if (request->is_closed && !request->response) {
        return MHD_NO;
    }
    return request->response ? queue_response(request) : MHD_YES;
}

// Calls the closed callback, once, if the request callback was called.
static void
report_closed(ps_http_request_t *request)
{
    if (request->is_handed_over && !request->is_closed) {
        request->is_closed = true;
        request->server->events->closed(request->server, request);
    }
}

// The library calls this when it has sent the response or closed the
// connection; frees the request.
static void
on_request_completed(void *user, struct MHD_Connection *connection,
                     void **state, enum MHD_RequestTerminationCode code)
{
    (void)connection;
    ps_http_server_t *server = user;
    ps_http_request_t *request = *state;
    if (!request) {
        return;
    }
    request->is_timed_out = code == MHD_REQUEST_TERMINATED_TIMEOUT_REACHED;
    report_closed(request);
    g_queue_unlink(&server->requests, &request->link);
    if (request->response) {
        MHD_destroy_response(request->response);
    }
    PsBuf_Finish(&request->path);
    PsRequestBody_Finish(request);
    drop_unsent(request);
    g_free(request);
    *state = NULL;
}

/* ---- Loop ------------------------------------------------------------- */

static void
run_library(ps_http_server_t *server)
{
    server->must_run = false;
    server->n_vain_runs = MIN(server->n_vain_runs + 1, VAIN_RUNS_MAX);
    MHD_run(server->daemon);
}

static void
on_epoll_ready(struct ev_loop *loop, ev_io *io, int events)
{
    (void)loop;
    (void)events;
    run_library(io->data);
}

static void
on_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    run_library(timer->data);
}

// Returns for how long the library need not run, in seconds; negative: until
// its descriptor is ready.
static double
get_wait(ps_http_server_t *server)
{
    MHD_UNSIGNED_LONG_LONG wait_ms = 0;
    bool has_timeout = MHD_get_timeout(server->daemon, &wait_ms) == MHD_YES;
    if (!has_timeout || wait_ms > 0) {
        server->n_vain_runs = 0;
        return has_timeout ? (double)wait_ms / 1000.0 : -1.0;
    }
    return server->n_vain_runs == VAIN_RUNS_MAX ? VAIN_RUN_PAUSE_S : 0.0;
}

// Before the loop polls: sends the responses of all connections that were
// resumed in this iteration, then sets the timer for the library's timeout.
// Callbacks may resume more connections while the library runs, so it runs up
// to 4 times, and then again from the timer.
static void
on_before_poll(struct ev_loop *loop, ev_prepare *prepare, int events)
{
    (void)events;
    ps_http_server_t *server = prepare->data;
    for (int i = 0; server->must_run && i < 4; i++) {
        run_library(server);
    }
    ev_timer_stop(loop, &server->timer);
    double wait = server->must_run ? 0.0 : get_wait(server);
    if (wait >= 0.0) {
        ev_timer_set(&server->timer, wait, 0.0);
        ev_timer_start(loop, &server->timer);
    }
}

static int
get_socket(const ps_http_request_t *request)
{
    const union MHD_ConnectionInfo *info = MHD_get_connection_info(
        request->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    return info ? info->connect_fd : -1;
}

// Ends a request that needs no response any more: calls the closed callback
// and resumes the connection. A response that was set is still sent, and a
// stream is truncated. Without one the connection is closed: any status would
// state something of the request that only its owner knows.
static void
abort_request(ps_http_request_t *request)
{
    report_closed(request);
    request->is_truncated = true;
    request->on_low = NULL;
    if (request->response && !request->is_answered) {
        MHD_destroy_response(request->response);
        request->response = NULL;
    }
    resume(request);
}

// Tells whether the library would not notice that the caller has closed the
// connection: it is suspended, or the library waits until it can send.
static bool
needs_check(const ps_http_request_t *request)
{
    bool is_sending = request->is_stream && request->is_answered &&
                      !request->is_stream_ended;
    return (request->is_suspended || is_sending) && !request->is_closed;
}

// Checks whether callers have closed connections for which the library does
// not check that.
static void
on_disconnect_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    ps_http_server_t *server = timer->data;
    GList *next;
    for (GList *l = server->requests.head; l; l = next) {
        next = l->next;
        ps_http_request_t *request = l->data;
        struct pollfd fd = {.fd = get_socket(request), .events = POLLRDHUP};
        if (needs_check(request) && poll(&fd, 1, 0) == 1 &&
            (fd.revents & (POLLRDHUP | POLLHUP | POLLERR))) {
            abort_request(request);
            drop_unsent(request);
        }
    }
}

// Keeps the kernel from holding megabytes for a caller that reads slowly,
// which the budget does not count.
static void
limit_kernel_buffer(struct MHD_Connection *connection)
{
    const union MHD_ConnectionInfo *info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    const int bytes = KERNEL_UNSENT_MAX;
    if (info) {
        setsockopt(info->connect_fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &bytes,
                   sizeof bytes);
    }
}

// Sets the idle timeout of a new connection.
static void
on_connection_change(void *user, struct MHD_Connection *connection,
                     void **state, enum MHD_ConnectionNotificationCode code)
{
    (void)state;
    ps_http_server_t *server = user;
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        limit_kernel_buffer(connection);
    }
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
    ev_io_init(&server->io, on_epoll_ready, info->epoll_fd, EV_READ);
    ev_prepare_init(&server->prepare, on_before_poll);
    ev_timer_init(&server->timer, on_timeout, 0.0, 0.0);
    ev_timer_init(&server->disconnect_timer, on_disconnect_timer,
                  DISCONNECT_CHECK_S, DISCONNECT_CHECK_S);
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
        on_request_data, server, MHD_OPTION_SOCK_ADDR, &in,
        MHD_OPTION_NOTIFY_COMPLETED, on_request_completed, server,
        MHD_OPTION_URI_LOG_CALLBACK, on_uri, server,
        MHD_OPTION_NOTIFY_CONNECTION, on_connection_change, server,
        MHD_OPTION_CONNECTION_TIMEOUT, (unsigned int)IDLE_TIMEOUT_S,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY_MAX,
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
        abort_request(l->data);
    }
    ev_io_stop(server->loop, &server->io);
    ev_prepare_stop(server->loop, &server->prepare);
    ev_timer_stop(server->loop, &server->timer);
    ev_timer_stop(server->loop, &server->disconnect_timer);
    run_library(server);
    MHD_stop_daemon(server->daemon);
    server->daemon = NULL;
}

void
PsHttpServer_SetIdleTimeout(ps_http_server_t *server, int64_t timeout_ms)
{
    server->idle_timeout_s = (unsigned int)((timeout_ms + 999) / 1000);
}

void
PsHttpServer_SetBudget(ps_http_server_t *server, ps_memory_budget_t *budget)
{
    server->budget = budget;
}

void
PsHttpServer_DisableKeepAlive(ps_http_server_t *server)
{
    server->is_keep_alive_off = true;
}

void
PsHttpServer_ReportMalformed(ps_http_server_t *server)
{
    server->reports_malformed = true;
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

uint32_t
PsHttpRequest_GetCallerIp(const ps_http_request_t *request)
{
    const union MHD_ConnectionInfo *info = MHD_get_connection_info(
        request->connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    if (!info || info->client_addr->sa_family != AF_INET) {
        return 0;
    }
    struct sockaddr_in in;
    memcpy(&in, info->client_addr, sizeof in);
    return in.sin_addr.s_addr;
}

typedef struct header_callback {
    void (*each)(void *user, const char *name, const char *value);
    void *user;
} header_callback_t;

static enum MHD_Result
call_for_header(void *user, enum MHD_ValueKind kind, const char *name,
                const char *value)
{
    (void)kind;
    const header_callback_t *callback = user;
    callback->each(callback->user, name, value ? value : "");
    return MHD_YES;
}

void
PsHttpRequest_ForEachHeader(const ps_http_request_t *request,
                            void (*each)(void *user, const char *name,
                                         const char *value),
                            void *user)
{
    header_callback_t callback = {each, user};
    MHD_get_connection_values(request->connection, MHD_HEADER_KIND,
                              call_for_header, &callback);
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
    if (is_stream) {
        PsHttpRequest_PrepareStream(request, status, PS_HTTP_LENGTH_UNKNOWN);
    }
    else {
        request->status = status;
        request->response = MHD_create_response_from_buffer(
            0, (void *)"", MHD_RESPMEM_PERSISTENT);
    }
    if (type) {
        PsHttpRequest_AddResponseHeader(request, "Content-Type", type);
    }
}

void
PsHttpRequest_PrepareStream(ps_http_request_t *request, unsigned int status,
                            uint64_t length)
{
    if (request->is_closed || request->is_answered) {
        return;
    }
    request->status = status;
    request->is_stream = true;
    request->is_answered = true;
    request->length = length;
    // MHD_SIZE_UNKNOWN is PS_HTTP_LENGTH_UNKNOWN.
    request->response = MHD_create_response_from_callback(
        length, STREAM_READ_MAX, read_stream, request, NULL);
    resume(request);
}

void
PsHttpRequest_AddResponseHeader(ps_http_request_t *request, const char *name,
                                const char *value)
{
    if (request->response) {
        MHD_add_response_header(request->response, name, value);
    }
}

// Copies a header of the prepared response to the one that has the body, but
// no Content-Length: the library sets it.
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
    struct MHD_Response *response = MHD_create_response_from_buffer(
        body.len, (void *)(uintptr_t)body.data, MHD_RESPMEM_MUST_COPY);
    MHD_get_response_headers(request->response, copy_header, response);
    MHD_destroy_response(request->response);
    request->response = response;
    request->is_answered = true;
    resume(request);
}

void
PsHttpRequest_WriteStream(ps_http_request_t *request, ps_str_t data)
{
    if (request->is_closed || request->is_overrun) {
        return;
    }
    if (PsHttpRequest_GetUnsent(request) + data.len >
            PS_HTTP_STREAM_BUFFER_MAX ||
        data.len > request->length - request->written) {
        request->is_overrun = true;
        request->is_truncated = true;
    }
    else if (data.len > 0) {
        PsBuf_AppendTightly(&request->unsent, data.data, data.len);
        request->written += data.len;
        count_unsent(request);
    }
    resume(request);
}

size_t
PsHttpRequest_GetUnsent(const ps_http_request_t *request)
{
    return request->unsent.len - request->unsent_start;
}

void
PsHttpRequest_NotifyBelow(ps_http_request_t *request, size_t bytes,
                          void (*on_low)(ps_http_request_t *request))
{
    request->low_mark = bytes;
    request->on_low = on_low;
}

void
PsHttpRequest_EndStream(ps_http_request_t *request, bool is_complete)
{
    if (request->is_closed) {
        return;
    }
    bool has_length = request->length == PS_HTTP_LENGTH_UNKNOWN ||
                      request->length == request->written;
    request->is_stream_ended = true;
    request->is_truncated = !is_complete || !has_length || request->is_overrun;
    request->on_low = NULL;
    resume(request);
}
