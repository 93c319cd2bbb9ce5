/* relay.c - One exchange with a backend server for one call. */
#include "relay.h"

#include <string.h>

#include "counters.h"
#include "daemon.h"
#include "log.h"

#define ANSWER_MAX (16 * 1024 * 1024) /* bytes of a whole answer */
#define LATE_SHARE 1.0        /* of its time that a model answer may be late */
#define LATE_WAIT_MS 30000    /* a call that must not be cut may be late by */
#define PREEMPT_RETRY_MS 2000 /* Retry-After of a preempted call */
#define CANCEL_TIMEOUT_MS 2000 /* for a cancel order */
#define EVENT_PREFIX "data:"
#define EVENT_LAST "[DONE]"
#define LINE_KEPT 64 /* bytes of a stream's line that are looked at */

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
static ps_counter_t good_total = {"pearstair_answers_in_time_total",
                                  "Whole answers within the deadline.", NULL,
                                  0, NULL};
static ps_counter_t late_total = {"pearstair_answers_late_total",
                                  "Whole answers after the deadline.", NULL, 0,
                                  NULL};

__attribute__((constructor)) static void
register_counters(void)
{
    PsCounter_Register(&dispatches_total);
    PsCounter_Register(&resumes_total);
    PsCounter_Register(&wasted_total);
    PsCounter_Register(&good_total);
    PsCounter_Register(&late_total);
}

/* ---- Ends ------------------------------------------------------------- */

static void
log_end(const ps_caller_exchange_t *visit, ps_outcome_t outcome,
        int64_t now_ms)
{
    const ps_call_t *call = &visit->call;
    PsLog_Info("relay", "Ended %s on %s as %s: %s, %u tokens in %lld ms.",
               call->ask.ticket.data, call->server.data, call->token.data,
               PsOutcome_Name(outcome), call->tokens,
               (long long)(now_ms - call->accepted_ms));
}

static void
end_visit(ps_caller_exchange_t *visit, ps_outcome_t outcome)
{
    int64_t now_ms = PsDaemon_Now();
    ps_call_t *call = &visit->call;
    log_end(visit, outcome, now_ms);
    if (outcome == PS_OUTCOME_COMPLETE) {
        bool in_time = now_ms <= call->ask.deadline_ms;
        good_total.value += in_time ? 1 : 0;
        late_total.value += in_time ? 0 : 1;
    }
    else if (visit->is_model_request) {
        wasted_total.value += call->ask.prompt_tokens;
    }
    PsEntry_End(&visit->daemon->entry, call, outcome, now_ms);
    PsCallerExchange_Free(visit);
}

// Ends with an error; a stream that has begun is cut visibly.
static void
fail_visit(ps_caller_exchange_t *visit, ps_outcome_t outcome, const char *code,
           int64_t retry_after_ms, const char *message)
{
    ps_ran_t ran = visit->call.tokens > 0 ? PS_RAN_YES : PS_RAN_UNKNOWN;
    if (visit->request && visit->is_streaming) {
        PsHttpRequest_EndStream(visit->request, false);
    }
    else if (visit->request) {
        PsFrontend_SendError(visit->request, code, ran, retry_after_ms,
                             message);
    }
    end_visit(visit, outcome);
}

/* ---- Answers ---------------------------------------------------------- */

// Looks at one line of a stream: each event but the last is one token.
static void
take_line(ps_caller_exchange_t *visit)
{
    ps_str_t line = PsBuf_View(&visit->answer);
    size_t prefix = strlen(EVENT_PREFIX);
    if (line.len > prefix && memcmp(line.data, EVENT_PREFIX, prefix) == 0) {
        if (g_strstr_len(line.data, (gssize)line.len, EVENT_LAST)) {
            visit->has_last_event = true;
        }
        else {
            PsEntry_SetTokens(&visit->call, visit->call.tokens + 1,
                              PsDaemon_Now());
        }
    }
    PsBuf_Clear(&visit->answer);
}

static void
scan_stream(ps_caller_exchange_t *visit, ps_str_t data)
{
    while (data.len > 0) {
        const char *end = memchr(data.data, '\n', data.len);
        size_t n = end ? (size_t)(end - data.data) : data.len;
        size_t room = LINE_KEPT - MIN(visit->answer.len, (size_t)LINE_KEPT);
        PsBuf_Append(&visit->answer, data.data, MIN(n, room));
        if (!end) {
            return;
        }
        take_line(visit);
        data.data += n + 1;
        data.len -= n + 1;
    }
}

static void
relay_stream(ps_caller_exchange_t *visit, ps_str_t data)
{
    if (!visit->is_streaming) {
        visit->is_streaming = true;
        PsHttpRequest_PrepareResponse(visit->request,
                                      (unsigned)visit->transfer.status,
                                      visit->transfer.content_type.data, true);
        PsHttpRequest_AddResponseHeader(visit->request, "X-Backend",
                                        visit->call.server.data);
    }
    size_t skipped = MIN(visit->skip_bytes, data.len);
    visit->skip_bytes -= skipped;
    data.data += skipped;
    data.len -= skipped;
    if (data.len == 0) {
        return;
    }
    visit->relayed_bytes += data.len;
    scan_stream(visit, data);
    if (visit->request) {
        PsHttpRequest_WriteStream(visit->request, data);
    }
}

// An answer that carries another dispatch's token is not this caller's; ids
// of another shape are the server's own and say nothing.
static bool
is_crossed(ps_caller_exchange_t *visit)
{
    const ps_name_t *id = &visit->transfer.request_id;
    visit->is_wrong_answer =
        PsOwner_IsToken(id) && !PsName_IsEqual(id, &visit->call.token);
    return visit->is_wrong_answer;
}

static void
on_data(ps_transfer_t *transfer, const char *data, size_t len)
{
    ps_caller_exchange_t *visit = transfer->user;
    ps_str_t bytes = {data, len};
    if (visit->is_wrong_answer || is_crossed(visit)) {
        return;
    }
    if (visit->wants_stream && transfer->status == 200 &&
        (visit->request || visit->is_streaming)) {
        relay_stream(visit, bytes);
    }
    else if (visit->wants_stream && transfer->status == 200) {
        scan_stream(visit, bytes);
    }
    else if (visit->answer.len + len <= ANSWER_MAX) {
        PsBuf_Append(&visit->answer, data, len);
    }
}

// Reads the output length of a whole completion.
static void
count_tokens(ps_caller_exchange_t *visit)
{
    json_t *root = json_loadb(visit->answer.data, visit->answer.len, 0, NULL);
    json_t *usage = json_object_get(root, "usage");
    json_t *tokens = json_object_get(usage, "completion_tokens");
    visit->call.tokens = (uint32_t)json_integer_value(tokens);
    json_decref(root);
}

static void
finish_whole(ps_caller_exchange_t *visit)
{
    if (visit->request && visit->is_streaming) {
        PsHttpRequest_EndStream(visit->request, true);
    }
    else if (visit->request) {
        const char *type = PsName_IsEmpty(&visit->transfer.content_type)
                               ? "application/octet-stream"
                               : visit->transfer.content_type.data;
        PsHttpRequest_PrepareResponse(
            visit->request, (unsigned)visit->transfer.status, type, false);
        PsHttpRequest_AddResponseHeader(visit->request, "X-Backend",
                                        visit->call.server.data);
        PsHttpRequest_SendResponse(visit->request, PsBuf_View(&visit->answer));
    }
    if (visit->is_model_request && !visit->wants_stream &&
        visit->transfer.status == 200 && visit->answer.len > 0) {
        count_tokens(visit);
    }
    end_visit(visit, PS_OUTCOME_COMPLETE);
}

/* ---- Exchanges -------------------------------------------------------- */

static void start_resume(ps_caller_exchange_t *visit);

static bool
can_resume(const ps_caller_exchange_t *visit)
{
    return visit->is_model_request && !visit->is_resuming;
}

static void
finish_resume(ps_caller_exchange_t *visit, ps_transfer_result_t result)
{
    bool is_gone = visit->transfer.status == 404;
    bool is_cut = visit->wants_stream && !visit->has_last_event;
    if (result == PS_TRANSFER_COMPLETE && !is_gone && !is_cut) {
        finish_whole(visit);
    }
    else if (visit->call.is_resumed && is_gone) {
        fail_visit(visit, PS_OUTCOME_LOST, "outcome_unknown", 0,
                   "the engine no longer knows the request");
    }
    else {
        fail_visit(visit, PS_OUTCOME_BROKEN, "server_failed", 0,
                   "the backend server failed during the answer");
    }
}

static void
finish_dispatch(ps_caller_exchange_t *visit, ps_transfer_result_t result)
{
    bool is_stream = visit->wants_stream && visit->transfer.status == 200;
    if (result == PS_TRANSFER_NOT_SENT && !visit->request) {
        end_visit(visit, PS_OUTCOME_REFUSED);
    }
    else if (result == PS_TRANSFER_NOT_SENT) {
        ev_timer_stop(visit->daemon->loop, &visit->deadline_timer);
        PsLog_Info("relay", "Not sent: %s refuses %s.",
                   visit->call.server.data, visit->call.token.data);
        PsEntry_HandleNotSent(&visit->daemon->entry, &visit->call,
                              PsDaemon_Now());
    }
    else if (result == PS_TRANSFER_COMPLETE &&
             (!is_stream || visit->has_last_event)) {
        finish_whole(visit);
    }
    else if (can_resume(visit)) {
        start_resume(visit);
    }
    else {
        fail_visit(visit, PS_OUTCOME_BROKEN, "outcome_unknown", 0,
                   "the connection broke before the answer was whole");
    }
}

static void
on_done(ps_transfer_t *transfer, ps_transfer_result_t result)
{
    ps_caller_exchange_t *visit = transfer->user;
    visit->is_transferring = false;
    if (visit->is_wrong_answer || is_crossed(visit)) {
        fail_visit(visit, PS_OUTCOME_LOST, "wrong_answer", 0,
                   "the backend server answered another request");
    }
    else if (visit->is_resuming) {
        finish_resume(visit, result);
    }
    else {
        finish_dispatch(visit, result);
    }
}

static const ps_transfer_events_t relay_events = {.data = on_data,
                                                  .done = on_done};

static void
start_transfer(ps_caller_exchange_t *visit, const char *method,
               const char *path, ps_str_t body)
{
    PsTransfer_AddHeader(&visit->transfer, "X-Request-Id",
                         visit->call.token.data);
    char *url = g_strdup_printf("http://%s%s", visit->call.address.data, path);
    visit->is_transferring = true;
    PsTransfer_Start(&visit->daemon->client, &visit->transfer, method, url,
                     body, 0, true);
    g_free(url);
}

static void
renew_transfer(ps_caller_exchange_t *visit)
{
    if (visit->transfer.easy) {
        PsTransfer_Finish(&visit->transfer);
    }
    PsTransfer_Init(&visit->transfer, &relay_events, visit);
}

// Reads the stream again from its start; what was relayed is skipped.
static void
start_resume(ps_caller_exchange_t *visit)
{
    resumes_total.value++;
    visit->is_resuming = true;
    visit->skip_bytes = visit->relayed_bytes;
    if (!visit->wants_stream) {
        PsBuf_Clear(&visit->answer);
    }
    renew_transfer(visit);
    PsLog_Info("relay", "Resumes %s on %s after %zu bytes.",
               visit->call.token.data, visit->call.server.data,
               visit->relayed_bytes);
    char *path = g_strdup_printf("/v1/streams/%s", visit->call.token.data);
    start_transfer(visit, "GET", path, PsStr_FromC(NULL));
    g_free(path);
}

static void
copy_header(ps_caller_exchange_t *visit, const char *name)
{
    const char *value = PsHttpRequest_GetHeader(visit->request, name);
    if (value) {
        PsTransfer_AddHeader(&visit->transfer, name, value);
    }
}

static void
start_dispatch(ps_caller_exchange_t *visit)
{
    dispatches_total.value++;
    renew_transfer(visit);
    copy_header(visit, "Content-Type");
    copy_header(visit, "Accept");
    copy_header(visit, "Idempotency-Key");
    if (!PsName_IsEmpty(&visit->call.ask.id)) {
        PsTransfer_AddHeader(&visit->transfer, "X-Call-Id",
                             visit->call.ask.id.data);
    }
    start_transfer(visit, visit->request->method.data,
                   visit->request->path.data,
                   PsBuf_View(&visit->request->body));
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

static void
send_cancel(const ps_caller_exchange_t *visit)
{
    ps_transfer_t *transfer = g_new0(ps_transfer_t, 1);
    PsTransfer_Init(transfer, &cancel_events, NULL);
    char *url =
        g_strdup_printf("http://%s/v1/streams/%s", visit->call.address.data,
                        visit->call.token.data);
    PsTransfer_Start(&visit->daemon->client, transfer, "DELETE", url,
                     PsStr_FromC(NULL), CANCEL_TIMEOUT_MS, false);
    g_free(url);
}

static void
on_deadline(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)events;
    ps_caller_exchange_t *visit = timer->data;
    const ps_call_t *call = &visit->call;
    bool can_cut = visit->is_model_request && call->ask.idempotent;
    int64_t given_ms = call->ask.deadline_ms - call->accepted_ms;
    int64_t wait_ms =
        can_cut ? (int64_t)(LATE_SHARE * (double)given_ms) : LATE_WAIT_MS;
    int64_t late_ms = PsDaemon_Now() - call->ask.deadline_ms;
    if (late_ms < wait_ms) {
        ev_timer_set(timer, (double)(wait_ms - late_ms + 1) / 1000.0, 0.0);
        ev_timer_start(loop, timer);
    }
    else if (can_cut) {
        PsRelay_Cancel(visit, "deadline", "deadline passed while it ran");
    }
    else {
        PsTransfer_Cancel(&visit->daemon->client, &visit->transfer);
        visit->is_transferring = false;
        fail_visit(visit, PS_OUTCOME_BROKEN, "outcome_unknown", 0,
                   "the backend server did not answer");
    }
}

/* ---- Public functions ------------------------------------------------- */

void
PsRelay_Start(ps_caller_exchange_t *visit, int64_t now_ms)
{
    double left = (double)(visit->call.ask.deadline_ms - now_ms) / 1000.0;
    ev_timer_init(&visit->deadline_timer, on_deadline, MAX(left, 0.0), 0.0);
    visit->deadline_timer.data = visit;
    ev_timer_start(visit->daemon->loop, &visit->deadline_timer);
    if (visit->call.is_resumed) {
        start_resume(visit);
    }
    else {
        start_dispatch(visit);
    }
}

void
PsRelay_Cancel(ps_caller_exchange_t *visit, const char *code,
               const char *reason)
{
    if (visit->is_transferring) {
        PsTransfer_Cancel(&visit->daemon->client, &visit->transfer);
        visit->is_transferring = false;
    }
    send_cancel(visit);
    bool is_preempted = strcmp(code, "preempted") == 0;
    fail_visit(visit, PS_OUTCOME_CANCELLED, code,
               is_preempted ? PREEMPT_RETRY_MS : 0, reason);
}
