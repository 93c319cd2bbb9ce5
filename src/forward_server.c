/* forward_server.c - Sends requests of other daemons on to servers. */
#include "forward_server.h"

#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "events_log.h"
#include "gateway.h"
#include "response_headers.h"
#include "server_notices.h"

// Longest time to open a connection to the server, since the caller waits.
#define CONNECT_TIMEOUT_MS 300

// Longest time in seconds for which a connection that is used again may have
// been idle.
#define IDLE_MAX_S 1

/* ---- Types ------------------------------------------------------------ */

typedef struct forward {
    ps_forward_server_t *forwarding;
    ps_http_request_t *request; // of the other daemon; NULL: it has left
    ps_backend_t *backend;      // a reference
    ps_name_t from;             // the other daemon
    ps_name_t request_id;
    ps_transfer_t transfer;
    bool has_response_head;
    int64_t started_ms;
    int64_t paused_ms;        // start of the last pause of reading
    int64_t longest_pause_ms; // of the ended pauses
    GList link;
} forward_t;

// What the header of a forwarded request says.
typedef struct forward_order {
    ps_name_t server;
    int64_t started_ms;
    ps_name_t from;
} forward_order_t;

/* ---- Answers to the other daemon -------------------------------------- */

// Answers that the request was not carried to an answer of the server.
static void
send_failure(ps_http_request_t *request, unsigned int status,
             const char *result, const char *reason)
{
    ps_name_t body = PsName_Format("{\"error\":\"%s\"}\n", reason);
    PsHttpRequest_PrepareResponse(request, status, "application/json", false);
    PsHttpRequest_AddResponseHeader(request, PS_FORWARD_RESULT_HEADER, result);
    PsHttpRequest_SendResponse(request, PsName_View(&body));
}

static void
refuse(ps_forward_server_t *forwarding, ps_http_request_t *request,
       const char *result, const char *reason)
{
    forwarding->refused++;
    PsEvents_Add("forward.refuse", "{s:s,s:s}", "result", result, "reason",
                 reason);
    send_failure(request, MHD_HTTP_SERVICE_UNAVAILABLE, result, reason);
}

static void
free_forward(forward_t *forward)
{
    g_queue_unlink(&forward->forwarding->forwards, &forward->link);
    if (forward->request) {
        PsHttpRequest_NotifyBelow(forward->request, 0, NULL);
        forward->request->user = NULL;
    }
    PsTransfer_Finish(&forward->transfer);
    PsBackend_Unref(forward->backend);
    g_free(forward);
}

static void
copy_response_headers(const forward_t *forward)
{
    PsResponseHeaders_Relay(forward->forwarding->gateway->dialect,
                            &forward->transfer, forward->request);
    PsHttpRequest_AddResponseHeader(
        forward->request, PS_FORWARD_RESULT_HEADER,
        PsTransfer_EndsWithConnection(&forward->transfer)
            ? PS_FORWARD_ANSWERED_UNFRAMED
            : PS_FORWARD_ANSWERED);
}

/* ---- The server's response -------------------------------------------- */

static void
on_headers(ps_transfer_t *transfer)
{
    forward_t *forward = transfer->user;
    ps_gateway_t *gateway = forward->forwarding->gateway;
    int64_t now_ms = PsClock_Now();
    forward->has_response_head = true;
    ps_reply_t reply =
        gateway->dialect->classify(transfer, &forward->request_id);
    if (reply == PS_REPLY_MISMATCH) {
        PsReachChecks_HandleSilence(&gateway->reach_checks, forward->backend,
                                    now_ms);
    }
    else {
        PsReachChecks_HandleAnswer(&gateway->reach_checks, forward->backend,
                                   now_ms);
    }
    if (reply == PS_REPLY_ANSWER || reply == PS_REPLY_NOT_RUN) {
        PsServerNotices_Take(gateway, forward->backend, transfer, reply,
                             &forward->request_id, forward->started_ms,
                             now_ms);
    }
    uint64_t length = PsTransfer_GetLength(transfer);
    PsHttpRequest_PrepareStream(forward->request,
                                (unsigned int)transfer->status,
                                length > 0 ? length : PS_HTTP_LENGTH_UNKNOWN);
    copy_response_headers(forward);
}

// The other daemon has read most of what was unsent.
static void
on_unsent_low(ps_http_request_t *request)
{
    forward_t *forward = request->user;
    if (forward && forward->transfer.is_paused) {
        forward->longest_pause_ms =
            MAX(forward->longest_pause_ms, PsClock_Now() - forward->paused_ms);
        PsTransfer_SetPaused(&forward->transfer, false);
    }
}

static void
on_data(ps_transfer_t *transfer, const char *data, size_t len)
{
    forward_t *forward = transfer->user;
    ps_gateway_t *gateway = forward->forwarding->gateway;
    PsHttpRequest_WriteStream(forward->request, (ps_str_t){data, len});
    size_t mark = PsMemoryBudget_GetAnswerMark(&gateway->memory);
    if (PsHttpRequest_GetUnsent(forward->request) > mark &&
        !transfer->is_paused) {
        forward->paused_ms = PsClock_Now();
        gateway->stats.pauses++;
        PsTransfer_SetPaused(transfer, true);
        PsHttpRequest_NotifyBelow(
            forward->request, PsMemoryBudget_GetLowMark(mark), on_unsent_low);
    }
}

static void
on_done(ps_transfer_t *transfer, ps_transfer_result_t result)
{
    forward_t *forward = transfer->user;
    ps_gateway_t *gateway = forward->forwarding->gateway;
    int64_t now_ms = PsClock_Now();
    PsEvents_Add("forward.end", "{s:s,s:s,s:s,s:i,s:i,s:s,s:I}", "id",
                 forward->request_id.data, "from", forward->from.data,
                 "server", forward->backend->registration.name.data, "status",
                 (int)transfer->status, "result", (int)result, "error",
                 transfer->error, "ms",
                 (json_int_t)(now_ms - forward->started_ms));
    if (result == PS_TRANSFER_NOT_SENT) {
        PsReachChecks_HandleUnopened(&gateway->reach_checks, forward->backend,
                                     transfer->is_refused, now_ms);
    }
    else if (transfer->is_malformed) {
        PsReachChecks_HandleSilence(&gateway->reach_checks, forward->backend,
                                    now_ms);
    }
    else if (result == PS_TRANSFER_INCOMPLETE &&
             !PsAnswer_IsOwnCut(result, transfer->is_aborted,
                                forward->longest_pause_ms)) {
        PsReachChecks_HandleLost(&gateway->reach_checks, forward->backend,
                                 now_ms);
    }
    if (forward->has_response_head) {
        PsHttpRequest_EndStream(forward->request,
                                result == PS_TRANSFER_COMPLETE);
    }
    else if (result == PS_TRANSFER_NOT_SENT) {
        send_failure(forward->request, MHD_HTTP_SERVICE_UNAVAILABLE,
                     PS_FORWARD_UNREACHED, "server not reached");
    }
    else {
        send_failure(forward->request, MHD_HTTP_BAD_GATEWAY, PS_FORWARD_LOST,
                     "connection to the server was lost");
    }
    free_forward(forward);
}

/* ---- The other daemon's request --------------------------------------- */

static void
copy_request_header(void *user, const char *name, const char *value)
{
    forward_t *forward = user;
    const ps_dialect_t *dialect = forward->forwarding->gateway->dialect;
    ps_str_t view = PsStr_FromC(name);
    if (dialect->is_header_relayed(view) &&
        g_ascii_strcasecmp(name, PS_FORWARD_HEADER) != 0) {
        PsTransfer_AddHeader(&forward->transfer, name, value);
    }
}

static void
add_request_headers(forward_t *forward)
{
    const ps_http_request_t *request = forward->request;
    PsHttpRequest_ForEachHeader(request, copy_request_header, forward);
    // An empty value keeps curl from adding the header itself.
    if (!PsHttpRequest_GetHeader(request, "Content-Type")) {
        PsTransfer_AddHeader(&forward->transfer, "Content-Type", "");
    }
    if (!PsHttpRequest_GetHeader(request, "Accept")) {
        PsTransfer_AddHeader(&forward->transfer, "Accept", "");
    }
}

// Parses "SERVER STARTED_MS DAEMON".
static bool
parse_order(const char *text, forward_order_t *order)
{
    char **words = g_strsplit(text ? text : "", " ", 3);
    bool is_valid = g_strv_length(words) == 3;
    if (is_valid) {
        order->server = PsName_FromC(words[0]);
        order->started_ms = g_ascii_strtoll(words[1], NULL, 10);
        order->from = PsName_FromC(words[2]);
    }
    g_strfreev(words);
    return is_valid;
}

// Returns the server if requests may be sent there; NULL: the request was
// turned away.
static ps_backend_t *
admit(ps_forward_server_t *forwarding, ps_http_request_t *request,
      const forward_order_t *order, int64_t now_ms)
{
    const ps_gateway_t *gateway = forwarding->gateway;
    ps_backend_t *backend =
        PsBackendRegistry_Find(&gateway->backend_registry, &order->server);
    if (!PsGateway_AcceptsRequests(gateway, now_ms)) {
        refuse(forwarding, request, PS_FORWARD_REFUSED,
               "this daemon is leaving");
    }
    else if (forwarding->forwards.length >= PS_FORWARDS_MAX) {
        refuse(forwarding, request, PS_FORWARD_REFUSED,
               "too many requests of others");
    }
    else if (!backend ||
             backend->registration.started_ms != order->started_ms) {
        refuse(forwarding, request, PS_FORWARD_REFUSED,
               "this start of the server is not known");
    }
    else if (backend->registration.is_leaving ||
             backend->registration.has_said_leaving ||
             now_ms < backend->paused_until_ms) {
        refuse(forwarding, request, PS_FORWARD_UNREACHED,
               "the server takes no requests from here");
    }
    else if (backend->reach.lost_ms > 0) {
        refuse(forwarding, request, PS_FORWARD_UNREACHED,
               "this daemon doesn't reach the server either");
    }
    else {
        return backend;
    }
    return NULL;
}

static void
on_request(ps_http_server_t *server, ps_http_request_t *request)
{
    static const ps_transfer_events_t events = {NULL, on_headers, on_data,
                                                on_done};
    ps_forward_server_t *forwarding = server->user;
    ps_gateway_t *gateway = forwarding->gateway;
    int64_t now_ms = PsClock_Now();
    forward_order_t order;
    ps_inbound_request_t inbound;
    if (request->is_over_budget) {
        refuse(forwarding, request, PS_FORWARD_REFUSED,
               "no memory for the request");
        return;
    }
    if (request->fault || request->is_too_large ||
        !parse_order(PsHttpRequest_GetHeader(request, PS_FORWARD_HEADER),
                     &order) ||
        !gateway->dialect->parse_request(request, &inbound)) {
        refuse(forwarding, request, PS_FORWARD_REFUSED, "malformed request");
        return;
    }
    ps_backend_t *backend = admit(forwarding, request, &order, now_ms);
    if (!backend) {
        return;
    }
    forward_t *forward = g_new0(forward_t, 1);
    forward->forwarding = forwarding;
    forward->request = request;
    forward->backend = backend;
    forward->from = order.from;
    forward->request_id = inbound.request_id;
    forward->started_ms = now_ms;
    forward->link.data = forward;
    PsBackend_Ref(backend);
    request->user = forward;
    g_queue_push_tail_link(&forwarding->forwards, &forward->link);
    forwarding->carried++;
    PsTransfer_Init(&forward->transfer, &events, forward);
    add_request_headers(forward);
    ps_name_t url =
        PsName_Format("http://%s/", backend->registration.address.data);
    ps_transfer_request_t outbound = {.method = request->method.data,
                                      .url = url.data,
                                      .target = request->path.data,
                                      .body = PsBuf_View(&request->body),
                                      .keeps_body = true,
                                      .connect_timeout_ms = CONNECT_TIMEOUT_MS,
                                      .must_not_resend = true,
                                      .idle_max_s = IDLE_MAX_S};
    PsTransfer_StartRequest(&gateway->http_client, &forward->transfer,
                            &outbound);
}

// The other daemon has its answer, or has given the request up.
static void
on_closed(ps_http_server_t *server, ps_http_request_t *request)
{
    const ps_forward_server_t *forwarding = server->user;
    forward_t *forward = request->user;
    if (forward) {
        forward->request = NULL;
        request->user = NULL;
        PsTransfer_Cancel(&forwarding->gateway->http_client,
                          &forward->transfer);
        free_forward(forward);
    }
}

/* ---- Public functions ------------------------------------------------- */

ps_status_t
PsForwardServer_Init(ps_forward_server_t *forwarding, ps_gateway_t *gateway)
{
    static const ps_http_server_events_t events = {on_request, on_closed};
    const ps_name_t *address = &gateway->settings.gateway.forward_address;
    *forwarding = (ps_forward_server_t){.gateway = gateway};
    g_queue_init(&forwarding->forwards);
    if (PsName_IsEmpty(address)) {
        return PS_OK;
    }
    ps_status_t status = PsHttpServer_Init(&forwarding->server, &events,
                                           forwarding, gateway->loop, address,
                                           gateway->caller_server.body_max);
    PsHttpServer_SetBudget(&forwarding->server, &gateway->memory);
    PsHttpServer_ReportMalformed(&forwarding->server);
    return status;
}

void
PsForwardServer_Finish(ps_forward_server_t *forwarding)
{
    PsHttpServer_Finish(&forwarding->server);
}

// Gives up a request that is carried.
static void
stop_forward(forward_t *forward)
{
    const char *reason = "this daemon is ending";
    PsTransfer_Cancel(&forward->forwarding->gateway->http_client,
                      &forward->transfer);
    if (forward->has_response_head) {
        PsHttpRequest_EndStream(forward->request, false);
    }
    else if (forward->transfer.sends == 0) {
        send_failure(forward->request, MHD_HTTP_SERVICE_UNAVAILABLE,
                     PS_FORWARD_REFUSED, reason);
    }
    else {
        send_failure(forward->request, MHD_HTTP_BAD_GATEWAY, PS_FORWARD_LOST,
                     reason);
    }
    free_forward(forward);
}

void
PsForwardServer_Stop(ps_forward_server_t *forwarding)
{
    GList *next;
    for (GList *l = forwarding->forwards.head; l; l = next) {
        next = l->next;
        stop_forward(l->data);
    }
}

bool
PsForwardServer_IsIdle(const ps_forward_server_t *forwarding)
{
    return forwarding->forwards.length == 0 &&
           PsHttpServer_GetRequestCount(&forwarding->server) == 0;
}
