/* relay.c - Sends calls to backend servers and relays the answers. */
#include "relay.h"

#include <string.h>

#include "counters.h"
#include "daemon.h"
#include "log.h"

#define ANSWER_MAX (16 * 1024 * 1024) /* bytes kept of a whole answer */
#define UNSENT_MAX (256 * 1024) /* bytes of a stream; its server is paused */
#define UNSENT_LOW (64 * 1024)  /* and read on */
#define PREEMPT_RETRY_MS 2000   /* Retry-After of a preempted call */
#define CANCEL_TIMEOUT_MS 2000  /* of a cancel request to a server */
#define EVENT_PREFIX "data:"
#define EVENT_LAST "[DONE]"
#define LINE_PREFIX_MAX 64 /* bytes of a stream's line that are parsed */

// How late an answer may be before its call ends: for an idempotent model
// request, which can be cancelled, a share of its time limit; for any other,
// which must not be cut, a fixed time.
#define LATE_MODEL_SHARE 1.0
#define LATE_OTHER_MS 30000

/* ---- Globals ---------------------------------------------------------- */

static ps_counter_t dispatches_total = {"pearstair_dispatches_total",
                                        "Requests sent to backend servers.",
                                        NULL, 0, NULL};
static ps_counter_t resumes_total = {"pearstair_resumes_total",
                                     "Streams read again after a break.", NULL,
                                     0, NULL};
static ps_counter_t wasted_total = {
    "pearstair_wasted_prompt_tokens_total",
    "Prompt tokens of dispatches that gave no whole answer.", NULL, 0, NULL};
static ps_counter_t in_time_total = {"pearstair_answers_in_time_total",
                                     "Whole answers within the deadline.",
                                     NULL, 0, NULL};
static ps_counter_t late_total = {"pearstair_answers_late_total",
                                  "Whole answers after the deadline.", NULL, 0,
                                  NULL};

__attribute__((constructor)) static void
register_counters(void)
{
    PsCounter_Register(&dispatches_total);
    PsCounter_Register(&resumes_total);
    PsCounter_Register(&wasted_total);
    PsCounter_Register(&in_time_total);
    PsCounter_Register(&late_total);
}

/* ---- End of a call ---------------------------------------------------- */

static void
log_end(const ps_caller_exchange_t *exchange, ps_outcome_t outcome,
        int64_t now_ms)
{
    const ps_call_t *call = &exchange->call;
    PsLog_Info("relay", "Ended %s on %s as %s: %s, %u tokens in %lld ms.",
               call->request.ticket.data, call->server.data, call->token.data,
               PsOutcome_Name(outcome), call->tokens,
               (long long)(now_ms - call->accepted_ms));
}

// Ends a call: counts whether its answer was in time or its prompt tokens were
// wasted, informs the entry and frees the exchange.
static void
end_exchange(ps_caller_exchange_t *exchange, ps_outcome_t outcome)
{
    int64_t now_ms = PsDaemon_GetMonotonicMs();
    ps_call_t *call = &exchange->call;
    log_end(exchange, outcome, now_ms);
    if (outcome == PS_OUTCOME_COMPLETE) {
        bool in_time = now_ms <= call->request.deadline_ms;
        in_time_total.value += in_time ? 1 : 0;
        late_total.value += in_time ? 0 : 1;
    }
    else if (exchange->is_model_request) {
        wasted_total.value += call->request.prompt_tokens;
    }
    PsEntry_End(&exchange->daemon->entry, call, outcome, now_ms);
    PsCallerExchange_Free(exchange);
}

// Sends an error and ends the call. A stream that has begun is cut so that the
// caller sees it as incomplete.
static void
fail_exchange(ps_caller_exchange_t *exchange, ps_outcome_t outcome,
              const char *code, int64_t retry_after_ms, const char *message)
{
    ps_ran_t ran = exchange->call.tokens > 0 ? PS_RAN_YES : PS_RAN_UNKNOWN;
    if (exchange->request && exchange->is_streaming) {
        PsHttpRequest_EndStream(exchange->request, false);
    }
    else if (exchange->request) {
        PsFrontend_SendError(exchange->request, code, ran, retry_after_ms,
                             message);
    }
    end_exchange(exchange, outcome);
}

/* ---- Answers ---------------------------------------------------------- */

// Handles one line of a stream, whose first LINE_PREFIX_MAX bytes are in the
// answer buffer: each event but the last counts as one token.
static void
scan_line(ps_caller_exchange_t *exchange)
{
    ps_str_t line = PsBuf_View(&exchange->answer);
    size_t prefix = strlen(EVENT_PREFIX);
    if (line.len > prefix && memcmp(line.data, EVENT_PREFIX, prefix) == 0) {
        if (g_strstr_len(line.data, (gssize)line.len, EVENT_LAST)) {
            exchange->has_last_event = true;
        }
        else {
            PsEntry_SetTokens(&exchange->call, exchange->call.tokens + 1,
                              PsDaemon_GetMonotonicMs());
        }
    }
    PsBuf_Clear(&exchange->answer);
}

// Splits a stream's bytes into lines. The answer buffer keeps the start of the
// current line between two calls.
static void
scan_stream(ps_caller_exchange_t *exchange, ps_str_t data)
{
    while (data.len > 0) {
        const char *end = memchr(data.data, '\n', data.len);
        size_t n = end ? (size_t)(end - data.data) : data.len;
        size_t room = LINE_PREFIX_MAX -
                      MIN(exchange->answer.len, (size_t)LINE_PREFIX_MAX);
        PsBuf_Append(&exchange->answer, data.data, MIN(n, room));
        if (!end) {
            return;
        }
        scan_line(exchange);
        data.data += n + 1;
        data.len -= n + 1;
    }
}

// The caller has read most of what was unsent.
static void
on_unsent_low(ps_http_request_t *request)
{
    ps_caller_exchange_t *exchange = request->user;
    if (exchange && exchange->is_transferring &&
        exchange->transfer.is_paused) {
        PsTransfer_SetPaused(&exchange->transfer, false);
    }
}

// Reads no more of the server's answer until the caller has read most of what
// is unsent.
static void
pause_if_unread(ps_caller_exchange_t *exchange)
{
    if (PsHttpRequest_GetUnsent(exchange->request) > UNSENT_MAX &&
        !exchange->transfer.is_paused) {
        PsTransfer_SetPaused(&exchange->transfer, true);
        PsHttpRequest_NotifyBelow(exchange->request, UNSENT_LOW,
                                  on_unsent_low);
    }
}

// Passes a stream's bytes on to the caller, except those that were relayed
// before the stream was resumed.
static void
relay_stream(ps_caller_exchange_t *exchange, ps_str_t data)
{
    if (!exchange->is_streaming) {
        exchange->is_streaming = true;
        PsHttpRequest_PrepareResponse(
            exchange->request, (unsigned)exchange->transfer.status,
            exchange->transfer.content_type.data, true);
        PsHttpRequest_AddResponseHeader(exchange->request, "X-Backend",
                                        exchange->call.server.data);
    }
    size_t skipped = MIN(exchange->skip_bytes, data.len);
    exchange->skip_bytes -= skipped;
    data.data += skipped;
    data.len -= skipped;
    if (data.len == 0) {
        return;
    }
    exchange->relayed_bytes += data.len;
    scan_stream(exchange, data);
    if (exchange->request) {
        PsHttpRequest_WriteStream(exchange->request, data);
        pause_if_unread(exchange);
    }
}

// Detects an answer to another dispatch by its X-Request-Id. One that is not a
// token was made by the server and is not compared.
static bool
detect_wrong_answer(ps_caller_exchange_t *exchange)
{
    const ps_name_t *id = &exchange->transfer.request_id;
    exchange->is_wrong_answer =
        PsOwner_IsToken(id) && !PsName_IsEqual(id, &exchange->call.token);
    return exchange->is_wrong_answer;
}

// Handles bytes of an answer: relays a stream, and collects a whole answer. A
// stream whose caller has left before its start is only scanned.
static void
on_data(ps_transfer_t *transfer, const char *data, size_t len)
{
    ps_caller_exchange_t *exchange = transfer->user;
    ps_str_t bytes = {data, len};
    if (exchange->is_wrong_answer || detect_wrong_answer(exchange)) {
        return;
    }
    if (exchange->wants_stream && transfer->status == 200 &&
        (exchange->request || exchange->is_streaming)) {
        relay_stream(exchange, bytes);
    }
    else if (exchange->wants_stream && transfer->status == 200) {
        scan_stream(exchange, bytes);
    }
    else if (exchange->answer.len + len <= ANSWER_MAX) {
        PsBuf_Append(&exchange->answer, data, len);
    }
}

// Sets the number of output tokens from a whole completion's usage.
static void
read_token_count(ps_caller_exchange_t *exchange)
{
    json_t *root =
        json_loadb(exchange->answer.data, exchange->answer.len, 0, NULL);
    json_t *usage = json_object_get(root, "usage");
    json_t *tokens = json_object_get(usage, "completion_tokens");
    exchange->call.tokens = (uint32_t)json_integer_value(tokens);
    json_decref(root);
}

static void
finish_complete(ps_caller_exchange_t *exchange)
{
    if (exchange->request && exchange->is_streaming) {
        PsHttpRequest_EndStream(exchange->request, true);
    }
    else if (exchange->request) {
        const char *type = PsName_IsEmpty(&exchange->transfer.content_type)
                               ? "application/octet-stream"
                               : exchange->transfer.content_type.data;
        PsHttpRequest_PrepareResponse(exchange->request,
                                      (unsigned)exchange->transfer.status,
                                      type, false);
        PsHttpRequest_AddResponseHeader(exchange->request, "X-Backend",
                                        exchange->call.server.data);
        PsHttpRequest_SendResponse(exchange->request,
                                   PsBuf_View(&exchange->answer));
    }
    if (exchange->is_model_request && !exchange->wants_stream &&
        exchange->transfer.status == 200 && exchange->answer.len > 0) {
        read_token_count(exchange);
    }
    end_exchange(exchange, PS_OUTCOME_COMPLETE);
}

/* ---- Exchanges -------------------------------------------------------- */

static void start_resume(ps_caller_exchange_t *exchange);

static bool
can_resume(const ps_caller_exchange_t *exchange)
{
    return exchange->is_model_request && !exchange->is_resuming;
}

// Handles the end of a resumed answer. Status 404 means that the backend
// server no longer has it.
static void
finish_resume(ps_caller_exchange_t *exchange, ps_transfer_result_t result)
{
    bool is_unknown = exchange->transfer.status == 404;
    bool is_cut = exchange->wants_stream && !exchange->has_last_event;
    if (result == PS_TRANSFER_COMPLETE && !is_unknown && !is_cut) {
        finish_complete(exchange);
    }
    else if (exchange->call.is_resumed && is_unknown) {
        fail_exchange(exchange, PS_OUTCOME_LOST, "outcome_unknown", 0,
                      "the engine no longer knows the request");
    }
    else {
        fail_exchange(exchange, PS_OUTCOME_BROKEN, "server_failed", 0,
                      "the backend server failed during the answer");
    }
}

// Handles the end of a dispatch: a request that was not sent goes back to the
// entry, and a model's answer that broke off is resumed.
static void
finish_dispatch(ps_caller_exchange_t *exchange, ps_transfer_result_t result)
{
    bool is_stream =
        exchange->wants_stream && exchange->transfer.status == 200;
    if (result == PS_TRANSFER_NOT_SENT && !exchange->request) {
        end_exchange(exchange, PS_OUTCOME_UNREACHABLE);
    }
    else if (result == PS_TRANSFER_NOT_SENT) {
        ev_timer_stop(exchange->daemon->loop, &exchange->deadline_timer);
        PsLog_Info("relay",
                   "No connection to backend server %s; %s was not sent.",
                   exchange->call.server.data, exchange->call.token.data);
        PsEntry_HandleNotSent(&exchange->daemon->entry, &exchange->call,
                              PsDaemon_GetMonotonicMs());
    }
    else if (result == PS_TRANSFER_COMPLETE &&
             (!is_stream || exchange->has_last_event)) {
        finish_complete(exchange);
    }
    else if (can_resume(exchange)) {
        start_resume(exchange);
    }
    else {
        fail_exchange(exchange, PS_OUTCOME_BROKEN, "outcome_unknown", 0,
                      "the connection broke before the answer was whole");
    }
}

static void
on_done(ps_transfer_t *transfer, ps_transfer_result_t result)
{
    ps_caller_exchange_t *exchange = transfer->user;
    exchange->is_transferring = false;
    if (exchange->is_wrong_answer || detect_wrong_answer(exchange)) {
        fail_exchange(exchange, PS_OUTCOME_LOST, "wrong_answer", 0,
                      "the backend server answered another request");
    }
    else if (exchange->is_resuming) {
        finish_resume(exchange, result);
    }
    else {
        finish_dispatch(exchange, result);
    }
}

static const ps_transfer_events_t relay_events = {.data = on_data,
                                                  .done = on_done};

static void
start_transfer(ps_caller_exchange_t *exchange, const char *method,
               const char *path, ps_str_t body)
{
    PsTransfer_AddHeader(&exchange->transfer, "X-Request-Id",
                         exchange->call.token.data);
    char *url =
        g_strdup_printf("http://%s%s", exchange->call.address.data, path);
    exchange->is_transferring = true;
    PsTransfer_Start(&exchange->daemon->http_client, &exchange->transfer,
                     method, url, body, 0, true);
    g_free(url);
}

static void
reset_transfer(ps_caller_exchange_t *exchange)
{
    if (exchange->transfer.easy) {
        PsTransfer_Finish(&exchange->transfer);
    }
    PsTransfer_Init(&exchange->transfer, &relay_events, exchange);
}

// Reads the answer again from its start, without a second dispatch. Bytes that
// were relayed before are skipped.
static void
start_resume(ps_caller_exchange_t *exchange)
{
    resumes_total.value++;
    exchange->is_resuming = true;
    exchange->skip_bytes = exchange->relayed_bytes;
    if (!exchange->wants_stream) {
        PsBuf_Clear(&exchange->answer);
    }
    reset_transfer(exchange);
    PsLog_Info("relay", "Resuming %s on %s after %zu bytes.",
               exchange->call.token.data, exchange->call.server.data,
               exchange->relayed_bytes);
    char *path = g_strdup_printf("/v1/streams/%s", exchange->call.token.data);
    start_transfer(exchange, "GET", path, PsStr_FromC(NULL));
    g_free(path);
}

static void
copy_header(ps_caller_exchange_t *exchange, const char *name)
{
    const char *value = PsHttpRequest_GetHeader(exchange->request, name);
    if (value) {
        PsTransfer_AddHeader(&exchange->transfer, name, value);
    }
}

static void
start_dispatch(ps_caller_exchange_t *exchange)
{
    dispatches_total.value++;
    reset_transfer(exchange);
    copy_header(exchange, "Content-Type");
    copy_header(exchange, "Accept");
    copy_header(exchange, "Idempotency-Key");
    if (!PsName_IsEmpty(&exchange->call.request.id)) {
        PsTransfer_AddHeader(&exchange->transfer, "X-Call-Id",
                             exchange->call.request.id.data);
    }
    start_transfer(exchange, exchange->request->method.data,
                   exchange->request->path.data,
                   PsBuf_View(&exchange->request->body));
}

/* ---- Cancelling ------------------------------------------------------- */

static void
on_cancel_done(ps_transfer_t *transfer, ps_transfer_result_t result)
{
    (void)result;
    PsTransfer_Finish(transfer);
    g_free(transfer);
}

static const ps_transfer_events_t cancel_events = {.done = on_cancel_done};

// Tells the backend server to stop a request. Its response is ignored.
static void
send_cancel(const ps_caller_exchange_t *exchange)
{
    ps_transfer_t *transfer = g_new0(ps_transfer_t, 1);
    PsTransfer_Init(transfer, &cancel_events, NULL);
    char *url =
        g_strdup_printf("http://%s/v1/streams/%s", exchange->call.address.data,
                        exchange->call.token.data);
    PsTransfer_Start(&exchange->daemon->http_client, transfer, "DELETE", url,
                     PsStr_FromC(NULL), CANCEL_TIMEOUT_MS, false);
    g_free(url);
}

// Ends a call that is late by more than its limit; before that, waits for the
// rest of the limit.
static void
on_deadline(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)events;
    ps_caller_exchange_t *exchange = timer->data;
    const ps_call_t *call = &exchange->call;
    bool can_cancel = exchange->is_model_request && call->request.idempotent;
    int64_t time_limit_ms = call->request.deadline_ms - call->accepted_ms;
    int64_t late_max_ms =
        can_cancel ? (int64_t)(LATE_MODEL_SHARE * (double)time_limit_ms)
                   : LATE_OTHER_MS;
    int64_t late_ms = PsDaemon_GetMonotonicMs() - call->request.deadline_ms;
    if (late_ms < late_max_ms) {
        ev_timer_set(timer, (double)(late_max_ms - late_ms + 1) / 1000.0, 0.0);
        ev_timer_start(loop, timer);
    }
    else if (can_cancel) {
        PsRelay_Cancel(exchange, "deadline", "deadline passed while it ran");
    }
    else {
        PsTransfer_Cancel(&exchange->daemon->http_client, &exchange->transfer);
        exchange->is_transferring = false;
        fail_exchange(exchange, PS_OUTCOME_BROKEN, "outcome_unknown", 0,
                      "the backend server did not answer");
    }
}

/* ---- Public functions ------------------------------------------------- */

void
PsRelay_Start(ps_caller_exchange_t *exchange, int64_t now_ms)
{
    double left_s =
        (double)(exchange->call.request.deadline_ms - now_ms) / 1000.0;
    ev_timer_init(&exchange->deadline_timer, on_deadline, MAX(left_s, 0.0),
                  0.0);
    exchange->deadline_timer.data = exchange;
    ev_timer_start(exchange->daemon->loop, &exchange->deadline_timer);
    if (exchange->call.is_resumed) {
        start_resume(exchange);
    }
    else {
        start_dispatch(exchange);
    }
}

void
PsRelay_Cancel(ps_caller_exchange_t *exchange, const char *code,
               const char *reason)
{
    if (exchange->is_transferring) {
        PsTransfer_Cancel(&exchange->daemon->http_client, &exchange->transfer);
        exchange->is_transferring = false;
    }
    send_cancel(exchange);
    bool is_preempted = strcmp(code, "preempted") == 0;
    fail_exchange(exchange, PS_OUTCOME_CANCELLED, code,
                  is_preempted ? PREEMPT_RETRY_MS : 0, reason);
}
