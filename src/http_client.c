/* http_client.c - Runs curl's multi interface on a libev loop. */
#include "http_client.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <strings.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#define CONNECT_TIMEOUT_MS 1000L         /* to open a TCP connection */
#define UNACKED_TIMEOUT_MS 2000          /* for the TCP ACK of sent bytes */
#define KEEPALIVE_IDLE_S 1               /* idle time before the first probe */
#define KEEPALIVE_INTERVAL_S 1           /* between probes */
#define KEEPALIVE_PROBES 2               /* unanswered probes before a close */
#define IDLE_CONNECTIONS_MAX 1024L       /* idle connections kept */
#define KERNEL_UNREAD_BYTES (256 * 1024) /* for what is not read yet */
#define READ_BUFFER_BYTES 8192L /* of a transfer; kept for each paused one */
#define LINE_OVERHEAD_BYTES 128 /* estimate, of each line that curl keeps */

/* ---- Types ------------------------------------------------------------ */

typedef struct socket_watcher {
    ev_io io;
    ps_http_client_t *client;
} socket_watcher_t;

/* ---- Responses that end with their connection -------------------------- */

// Copies the socket, to learn at the end of the response how its connection
// has ended: curl closes its own before it reports the end.
static void
copy_socket(ps_transfer_t *transfer)
{
    if (transfer->socket != CURL_SOCKET_BAD) {
        transfer->socket_copy = fcntl(transfer->socket, F_DUPFD_CLOEXEC, 0);
    }
}

static void
close_socket_copy(ps_transfer_t *transfer)
{
    if (transfer->socket_copy >= 0) {
        close(transfer->socket_copy);
        transfer->socket_copy = -1;
    }
}

// A reset that follows the end of the server's bytes is not reported by a
// read, so that the state of the socket is asked for.
static bool
was_reset(int fd)
{
    struct tcp_info info = {0};
    socklen_t len = sizeof info;
    return getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &len) == 0 &&
           info.tcpi_state == TCP_CLOSE;
}

// Tells whether the server's host has acknowledged the whole request, on a
// connection that the server has closed.
static bool
was_request_received(const ps_transfer_t *transfer)
{
    curl_off_t n_sent = 0;
    int n_unacked = 0;
    curl_easy_getinfo(transfer->easy, CURLINFO_SIZE_UPLOAD_T, &n_sent);
    if (n_sent < (curl_off_t)transfer->body_len) {
        return false;
    }
    return transfer->socket_copy < 0 ||
           (!was_reset(transfer->socket_copy) &&
            (ioctl(transfer->socket_copy, TIOCOUTQ, &n_unacked) != 0 ||
             n_unacked == 0));
}

// Tells whether the response's body lasts until its connection ends.
static bool
ends_with_connection(const ps_transfer_t *transfer)
{
    bool has_body = transfer->status != 204 && transfer->status != 304;
    return has_body && PsTransfer_EndsWithConnection(transfer);
}

/* ---- Ended transfers -------------------------------------------------- */

// Tells whether the server sent something that is not an HTTP/1.1 response.
static bool
is_malformed_response(const ps_transfer_t *transfer, CURLcode code)
{
    return transfer->head.fault || code == CURLE_WEIRD_SERVER_REPLY ||
           code == CURLE_UNSUPPORTED_PROTOCOL;
}

static void
set_error(ps_transfer_t *transfer, const char *error)
{
    g_strlcpy(transfer->error, error, sizeof transfer->error);
}

// Marks a malformed response. What its head says is not to be believed.
static void
handle_malformed(ps_transfer_t *transfer)
{
    transfer->is_malformed = true;
    transfer->is_aborted = true;
    if (transfer->head.fault) {
        set_error(transfer, transfer->head.fault);
    }
    if (transfer->head.part != PS_HTTP_HEAD_ENDED) {
        const ps_name_t none = {0};
        transfer->status = 0;
        PsBuf_Clear(&transfer->response_headers);
        transfer->content_type = none;
        transfer->request_id = none;
        transfer->backend = none;
    }
}

// Returns why a response that curl takes for complete is not; NULL: it is.
static const char *
find_early_end(const ps_transfer_t *transfer)
{
    // A transfer that only opens a connection has no response.
    if (transfer->status == 0) {
        return NULL;
    }
    // Curl takes it for the end of a response without a length.
    if (transfer->head.part != PS_HTTP_HEAD_ENDED) {
        return "connection closed within the head";
    }
    if (ends_with_connection(transfer) && !was_request_received(transfer)) {
        return "connection closed before the request was received";
    }
    return NULL;
}

static ps_transfer_result_t
get_result(ps_transfer_t *transfer, CURLcode code)
{
    if (code == CURLE_OK) {
        const char *early_end = find_early_end(transfer);
        if (early_end) {
            set_error(transfer, early_end);
        }
        return early_end ? PS_TRANSFER_INCOMPLETE : PS_TRANSFER_COMPLETE;
    }
    long os_error = 0;
    curl_easy_getinfo(transfer->easy, CURLINFO_OS_ERRNO, &os_error);
    transfer->is_refused =
        code == CURLE_COULDNT_CONNECT && os_error == ECONNREFUSED;
    transfer->is_timed_out = code == CURLE_OPERATION_TIMEDOUT;
    if (transfer->sends == 0) {
        return PS_TRANSFER_NOT_SENT;
    }
    if (is_malformed_response(transfer, code)) {
        handle_malformed(transfer);
    }
    return PS_TRANSFER_INCOMPLETE;
}

// Reports the end of a transfer. The done callback may release the transfer.
static void
finish_transfer(ps_http_client_t *client, CURL *easy, CURLcode code)
{
    ps_transfer_t *transfer;
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&transfer);
    transfer->status = transfer->head.status;
    ps_transfer_result_t result = get_result(transfer, code);
    close_socket_copy(transfer);
    curl_multi_remove_handle(client->multi, easy);
    transfer->events->done(transfer, result);
}

static void
finish_ended_transfers(ps_http_client_t *client)
{
    CURLMsg *message;
    int n_queued;
    while ((message = curl_multi_info_read(client->multi, &n_queued))) {
        if (message->msg == CURLMSG_DONE) {
            finish_transfer(client, message->easy_handle,
                            message->data.result);
        }
    }
}

/* ---- Loop ------------------------------------------------------------- */

static void
on_socket_ready(struct ev_loop *loop, ev_io *io, int events)
{
    (void)loop;
    socket_watcher_t *watcher = (socket_watcher_t *)io;
    ps_http_client_t *client = watcher->client;
    int mask = (events & EV_READ ? CURL_CSELECT_IN : 0) |
               (events & EV_WRITE ? CURL_CSELECT_OUT : 0);
    curl_multi_socket_action(client->multi, io->fd, mask, &client->running);
    finish_ended_transfers(client);
}

static void
on_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    ps_http_client_t *client = timer->data;
    curl_multi_socket_action(client->multi, CURL_SOCKET_TIMEOUT, 0,
                             &client->running);
    finish_ended_transfers(client);
}

// Curl calls this to set its one timer; a negative timeout stops it.
static int
on_timeout_change(CURLM *multi, long timeout_ms, void *user)
{
    (void)multi;
    ps_http_client_t *client = user;
    ev_timer_stop(client->loop, &client->timer);
    if (timeout_ms >= 0) {
        ev_timer_set(&client->timer, (double)timeout_ms / 1000.0, 0.0);
        ev_timer_start(client->loop, &client->timer);
    }
    return 0;
}

// Notes the socket of a transfer, which CURLINFO_ACTIVESOCKET does not tell
// once the server has closed its side.
static void
note_socket(CURL *easy, curl_socket_t fd)
{
    ps_transfer_t *transfer = NULL;
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&transfer);
    if (transfer) {
        transfer->socket = fd;
    }
}

// Curl calls this when the events that it waits for on a socket change. The
// watcher of a socket is stored with curl_multi_assign().
static int
on_socket_change(CURL *easy, curl_socket_t fd, int action, void *user,
                 void *data)
{
    ps_http_client_t *client = user;
    socket_watcher_t *watcher = data;
    if (watcher) {
        ev_io_stop(client->loop, &watcher->io);
    }
    if (action == CURL_POLL_REMOVE) {
        g_free(watcher);
        curl_multi_assign(client->multi, fd, NULL);
        return 0;
    }
    note_socket(easy, fd);
    if (!watcher) {
        watcher = g_new0(socket_watcher_t, 1);
        watcher->client = client;
        curl_multi_assign(client->multi, fd, watcher);
    }
    int events = (action & CURL_POLL_IN ? EV_READ : 0) |
                 (action & CURL_POLL_OUT ? EV_WRITE : 0);
    ev_io_init(&watcher->io, on_socket_ready, fd, events);
    ev_io_start(client->loop, &watcher->io);
    return 0;
}

/* ---- Connections ------------------------------------------------------ */

// Makes the kernel close connections to hosts that no longer answer, such as
// a VM that lost power.
static int
on_socket_created(void *user, curl_socket_t fd, curlsocktype purpose)
{
    (void)purpose;
    ps_http_client_t *client = user;
    client->connects++;
    const int on = 1;
    const int idle = KEEPALIVE_IDLE_S;
    const int interval = KEEPALIVE_INTERVAL_S;
    const int probes = KEEPALIVE_PROBES;
    const unsigned int unacked_timeout_ms = UNACKED_TIMEOUT_MS;
    const int unread = KERNEL_UNREAD_BYTES;
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &unread, sizeof unread);
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof idle);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof interval);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked_timeout_ms,
               sizeof unacked_timeout_ms);
    return CURL_SOCKOPT_OK;
}

// Curl calls this on a connection before each send of the request, its own
// retries included.
static int
on_before_send(void *user, char *remote_ip, char *local_ip, int remote_port,
               int local_port)
{
    (void)remote_ip;
    (void)local_ip;
    (void)remote_port;
    (void)local_port;
    ps_transfer_t *transfer = user;
    if (transfer->sends > 0 && transfer->must_not_resend) {
        return CURL_PREREQFUNC_ABORT;
    }
    transfer->sends++;
    if (transfer->events->sending) {
        transfer->events->sending(transfer);
    }
    return CURL_PREREQFUNC_OK;
}

/* ---- Responses -------------------------------------------------------- */

// Curl calls this with a part of the response body. A count other than that of
// the bytes passed makes curl end the transfer.
static size_t
on_data(char *data, size_t size, size_t count, void *user)
{
    ps_transfer_t *transfer = user;
    if (transfer->events->data) {
        transfer->events->data(transfer, data, size * count);
    }
    else if (size * count <= transfer->body_max - transfer->body.len) {
        PsBuf_Append(&transfer->body, data, size * count);
    }
    else {
        transfer->is_aborted = true;
    }
    return transfer->is_aborted ? 0 : size * count;
}

// Parses a header line if it starts with @name, which includes the colon.
static bool
parse_header(ps_str_t line, const char *name, ps_name_t *value_out)
{
    size_t len = strlen(name);
    if (line.len <= len || strncasecmp(line.data, name, len) != 0) {
        return false;
    }
    const char *value = line.data + len;
    size_t value_len = line.len - len;
    while (value_len > 0 && *value == ' ') {
        value++;
        value_len--;
    }
    while (value_len > 0 &&
           (value[value_len - 1] == '\r' || value[value_len - 1] == '\n')) {
        value_len--;
    }
    *value_out = PsName_FromStr((ps_str_t){value, value_len});
    return true;
}

// The head of the final response is whole.
static void
handle_head_end(ps_transfer_t *transfer)
{
    transfer->status = transfer->head.status;
    if (transfer->body_len > 0 && ends_with_connection(transfer)) {
        copy_socket(transfer);
    }
    if (transfer->events->headers) {
        transfer->events->headers(transfer);
    }
}

static void
add_header_line(ps_transfer_t *transfer, ps_str_t line)
{
    PsBuf_Append(&transfer->response_headers, line.data, line.len);
    if (!parse_header(line, "Content-Type:", &transfer->content_type) &&
        !parse_header(line, "X-Request-Id:", &transfer->request_id)) {
        parse_header(line, "X-Backend:", &transfer->backend);
    }
}

// Counts a line that curl keeps until the transfer is finished. Returns false
// if there are too many.
static bool
hold_line(ps_transfer_t *transfer, ps_str_t line)
{
    ps_memory_budget_t *budget = transfer->client->budget;
    transfer->lines_size += line.len + LINE_OVERHEAD_BYTES;
    PsMemoryBudget_Set(budget, PS_MEMORY_ANSWER, &transfer->counted,
                       transfer->lines_size + transfer->response_headers.cap);
    if (transfer->lines_size > PsMemoryBudget_GetFieldsMax(budget)) {
        transfer->head.fault = "head and trailer fields are too long";
        return false;
    }
    return true;
}

// Curl calls this with one line at a time, trailers included. A count other
// than that of the bytes passed makes curl end the transfer.
static size_t
on_header(char *data, size_t size, size_t count, void *user)
{
    ps_transfer_t *transfer = user;
    ps_str_t line = {data, size * count};
    ps_http_head_part_t part = transfer->head.part;
    if (!hold_line(transfer, line) ||
        !PsHttpHead_AddLine(&transfer->head, line)) {
        return 0;
    }
    if (part == PS_HTTP_HEAD_START) {
        PsBuf_Clear(&transfer->response_headers);
    }
    else if (transfer->head.part == PS_HTTP_HEAD_FIELDS) {
        add_header_line(transfer, line);
    }
    else if (part == PS_HTTP_HEAD_FIELDS &&
             transfer->head.part == PS_HTTP_HEAD_ENDED) {
        handle_head_end(transfer);
    }
    return transfer->is_aborted ? 0 : size * count;
}

/* ---- Public functions ------------------------------------------------- */

void
PsHttpClient_Init(ps_http_client_t *client, struct ev_loop *loop)
{
    *client = (ps_http_client_t){.loop = loop};
    client->multi = curl_multi_init();
    ev_timer_init(&client->timer, on_timeout, 0.0, 0.0);
    client->timer.data = client;
    curl_multi_setopt(client->multi, CURLMOPT_SOCKETFUNCTION,
                      on_socket_change);
    curl_multi_setopt(client->multi, CURLMOPT_SOCKETDATA, client);
    curl_multi_setopt(client->multi, CURLMOPT_TIMERFUNCTION,
                      on_timeout_change);
    curl_multi_setopt(client->multi, CURLMOPT_TIMERDATA, client);
    curl_multi_setopt(client->multi, CURLMOPT_MAXCONNECTS,
                      IDLE_CONNECTIONS_MAX);
}

void
PsHttpClient_Finish(ps_http_client_t *client)
{
    ev_timer_stop(client->loop, &client->timer);
    curl_multi_cleanup(client->multi);
}

void
PsHttpClient_SetBudget(ps_http_client_t *client, ps_memory_budget_t *budget)
{
    client->budget = budget;
}

void
PsTransfer_Init(ps_transfer_t *transfer, const ps_transfer_events_t *events,
                void *user)
{
    *transfer =
        (ps_transfer_t){.events = events, .user = user, .socket_copy = -1};
    transfer->easy = curl_easy_init();
    PsBuf_Init(&transfer->body);
    PsBuf_Init(&transfer->response_headers);
    // Keeps curl from waiting for "100 Continue" before it sends a large body.
    PsTransfer_AddHeader(transfer, "Expect", "");
}

void
PsTransfer_Finish(ps_transfer_t *transfer)
{
    close_socket_copy(transfer);
    curl_easy_cleanup(transfer->easy);
    curl_slist_free_all(transfer->request_headers);
    PsBuf_Finish(&transfer->body);
    PsBuf_Finish(&transfer->response_headers);
    if (transfer->client) {
        PsMemoryBudget_Set(transfer->client->budget, PS_MEMORY_ANSWER,
                           &transfer->counted, 0);
    }
    transfer->easy = NULL;
}

void
PsTransfer_AddHeader(ps_transfer_t *transfer, const char *name,
                     const char *value)
{
    char *line = g_strdup_printf("%s:%s%s", name, *value ? " " : "", value);
    transfer->request_headers =
        curl_slist_append(transfer->request_headers, line);
    g_free(line);
}

void
PsTransfer_Start(ps_http_client_t *client, ps_transfer_t *transfer,
                 const char *method, const char *url, ps_str_t body,
                 int64_t timeout_ms, bool has_own_connection)
{
    ps_transfer_request_t request = {.method = method,
                                     .url = url,
                                     .body = body,
                                     .timeout_ms = timeout_ms,
                                     .has_own_connection = has_own_connection};
    PsTransfer_StartRequest(client, transfer, &request);
}

// Sets method and body. A POST or PUT without a body is sent with
// Content-Length: 0.
static void
set_body(CURL *easy, const ps_transfer_request_t *request)
{
    bool has_body = strcmp(request->method, "POST") == 0 ||
                    strcmp(request->method, "PUT") == 0;
    if (request->body.len > 0) {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, (long)request->body.len);
        curl_easy_setopt(easy,
                         request->keeps_body ? CURLOPT_POSTFIELDS
                                             : CURLOPT_COPYPOSTFIELDS,
                         request->body.data);
    }
    else if (has_body) {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, 0L);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, "");
    }
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request->method);
    if (strcmp(request->method, "HEAD") == 0) {
        curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    }
}

static void
set_callbacks(CURL *easy, ps_http_client_t *client, ps_transfer_t *transfer)
{
    curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer);
    curl_easy_setopt(easy, CURLOPT_ERRORBUFFER, transfer->error);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_data);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_before_send);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, on_socket_created);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, client);
}

void
PsTransfer_StartRequest(ps_http_client_t *client, ps_transfer_t *transfer,
                        const ps_transfer_request_t *request)
{
    CURL *easy = transfer->easy;
    transfer->sends = 0;
    transfer->is_aborted = false;
    transfer->is_refused = false;
    transfer->is_timed_out = false;
    transfer->is_paused = false;
    transfer->is_malformed = false;
    transfer->client = client;
    transfer->lines_size = 0;
    transfer->body_max =
        request->body_max > 0 ? request->body_max : PS_KEPT_BODY_MAX;
    transfer->body_len = request->body.len;
    transfer->socket = CURL_SOCKET_BAD;
    transfer->must_not_resend = request->must_not_resend;
    PsHttpHead_Init(&transfer->head);
    set_callbacks(easy, client, transfer);
    curl_easy_setopt(easy, CURLOPT_URL, request->url);
    if (request->target) {
        curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, request->target);
    }
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, READ_BUFFER_BYTES);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     request->connect_timeout_ms > 0
                         ? (long)request->connect_timeout_ms
                         : CONNECT_TIMEOUT_MS);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)request->timeout_ms);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->request_headers);
    bool needs_new = request->has_own_connection || request->connects_only;
    long has_own_connection = needs_new ? 1L : 0L;
    curl_easy_setopt(easy, CURLOPT_CONNECT_ONLY,
                     request->connects_only ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, has_own_connection);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, has_own_connection);
    if (request->idle_max_s > 0) {
        curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, (long)request->idle_max_s);
    }
    set_body(easy, request);
    curl_multi_add_handle(client->multi, easy);
}

bool
PsTransfer_NextHeader(const ps_transfer_t *transfer, size_t *position,
                      ps_str_t *name, ps_str_t *value)
{
    ps_str_t headers = PsBuf_View(&transfer->response_headers);
    while (*position < headers.len) {
        const char *line = headers.data + *position;
        const char *end = memchr(line, '\n', headers.len - *position);
        size_t len = end ? (size_t)(end - line) : headers.len - *position;
        *position += len + 1;
        if (PsHttpHead_SplitField((ps_str_t){line, len}, name, value)) {
            return true;
        }
    }
    return false;
}

bool
PsTransfer_EndsWithConnection(const ps_transfer_t *transfer)
{
    return !transfer->head.has_length && !transfer->head.is_chunked;
}

uint64_t
PsTransfer_GetLength(const ps_transfer_t *transfer)
{
    return transfer->head.has_length ? transfer->head.length : UINT64_MAX;
}

ps_str_t
PsTransfer_GetHeader(const ps_transfer_t *transfer, const char *name)
{
    size_t position = 0;
    ps_str_t header_name;
    ps_str_t value;
    while (PsTransfer_NextHeader(transfer, &position, &header_name, &value)) {
        if (PsStr_IsEqualNoCase(header_name, name)) {
            return value;
        }
    }
    return (ps_str_t){NULL, 0};
}

void
PsTransfer_SetPaused(ps_transfer_t *transfer, bool is_paused)
{
    transfer->is_paused = is_paused;
    curl_easy_pause(transfer->easy,
                    is_paused ? CURLPAUSE_RECV : CURLPAUSE_CONT);
}

void
PsTransfer_Cancel(ps_http_client_t *client, ps_transfer_t *transfer)
{
    curl_multi_remove_handle(client->multi, transfer->easy);
    close_socket_copy(transfer);
}
