/* exchange.c - A request's way from its caller to a server and back. */
#include "exchange.h"

#include <string.h>
#include <xxhash.h>

#include "clock.h"
#include "events_log.h"

#define PATIENCE_MS 1400         /* callers leave a silent stream after 2 s */
#define PLAIN_PATIENCE_SHARE 0.5 /* of a plain call's time, spent waiting */
#define MARGIN_MS 30        /* an answer has to be back before the limit */
#define ELSEWHERE_MS 20     /* Retry-After where another daemon can serve */
#define TIME_USUAL_MS 15000 /* where neither route nor caller sets a limit */
#define SENDS_MAX 4         /* connections tried, refused ones included */
#define IDLE_ONCE_S 1       /* an older idle connection may be closing */
#define IDLE_REPEAT_S 3     /* the same, where a repeat is allowed */
#define BODY_MAX (16 * 1024 * 1024) /* bytes of a whole answer */
#define EVENT_MAX (1024 * 1024)     /* bytes of one event */
#define RETRY_REJECTED_MS 300   /* servers that reject are full for a moment */
#define RETRY_OVER_QUOTA_MS 200 /* the next rounds grant more */
#define OUTPUT_SHARE 0.3        /* of the most output tokens, without a hint */

/* ---- Answers ---------------------------------------------------------- */

static void
close_transfer(ps_exchange_t *exchange)
{
    PsTransfer_Finish(&exchange->transfer);
    exchange->is_transferring = false;
}

static void
free_exchange(ps_exchange_t *exchange)
{
    if (exchange->request) {
        exchange->request->user = NULL;
    }
    if (exchange->is_transferring) {
        PsTransfer_Cancel(&exchange->gateway->http_client,
                          &exchange->transfer);
        close_transfer(exchange);
    }
    g_queue_unlink(&exchange->gateway->exchanges, &exchange->link);
    PsBuf_Finish(&exchange->body);
    PsCatalog_Unref(exchange->catalog);
    g_free(exchange);
}

static void
log_end(ps_exchange_t *exchange, int status, const char *outcome,
        const char *reason)
{
    PsHistogram_Add(&exchange->gateway->stats.total_latency,
                    (double)(PsClock_Now() - exchange->arrived_ms));
    PsEvents_Add("request.end", "{s:s,s:i,s:s,s:s,s:i,s:I,s:i}", "id",
                 exchange->inbound.request_id.data, "status", status,
                 "outcome", outcome, "reason", reason, "sends",
                 exchange->sends, "ms",
                 (json_int_t)(PsClock_Now() - exchange->arrived_ms), "events",
                 (int)exchange->n_events);
}

// Answers in this daemon's own name; the exchange ends.
static void
answer_self(ps_exchange_t *exchange, unsigned int status,
            int64_t retry_after_ms, const char *outcome, const char *reason)
{
    log_end(exchange, (int)status, outcome, reason);
    if (exchange->request) {
        ps_name_t body = PsName_Format("{\"error\":\"%s\"}\n", reason);
        PsHttpRequest_PrepareResponse(exchange->request, status,
                                      "application/json", false);
        if (retry_after_ms > 0) {
            ps_name_t after = PsName_Format(
                "%lld.%03lld", (long long)(retry_after_ms / 1000),
                (long long)(retry_after_ms % 1000));
            PsHttpRequest_AddResponseHeader(exchange->request, "Retry-After",
                                            after.data);
        }
        PsHttpRequest_AddResponseHeader(
            exchange->request, exchange->gateway->dialect->request_id_header,
            exchange->inbound.request_id.data);
        PsHttpRequest_SendResponse(exchange->request, PsName_View(&body));
    }
    free_exchange(exchange);
}

// The request has not run and will not.
static void
answer_not_run(ps_exchange_t *exchange, unsigned int status,
               int64_t retry_after_ms, const char *reason)
{
    exchange->gateway->stats.refused++;
    if (exchange->team && exchange->quota_units > 0) {
        PsQuota_Refund(
            PsGateway_GetQuota(exchange->gateway, &exchange->team->name),
            exchange->quota_units);
    }
    answer_self(exchange, status, retry_after_ms, "refused", reason);
}

// It was sent and has no answer: a server may have run it.
static void
answer_failed(ps_exchange_t *exchange, unsigned int status, const char *reason)
{
    exchange->gateway->stats.failed++;
    if (exchange->is_relaying) {
        log_end(exchange, 200, "cut", reason);
        PsHttpRequest_EndStream(exchange->request, false);
        free_exchange(exchange);
        return;
    }
    answer_self(exchange, status, 0, "failed", reason);
}

static void
copy_head(ps_exchange_t *exchange, unsigned int status, bool is_stream)
{
    PsHttpRequest_PrepareResponse(exchange->request, status, NULL, is_stream);
    size_t position = 0;
    ps_str_t name;
    ps_str_t value;
    while (
        PsTransfer_NextHeader(&exchange->transfer, &position, &name, &value)) {
        if (exchange->gateway->dialect->is_header_relayed(name)) {
            char *header = g_strndup(name.data, name.len);
            char *text = g_strndup(value.data, value.len);
            PsHttpRequest_AddResponseHeader(exchange->request, header, text);
            g_free(header);
            g_free(text);
        }
    }
}

/* ---- Sending ---------------------------------------------------------- */

static bool
may_repeat(const ps_exchange_t *exchange)
{
    return exchange->route->retry_policy != PS_RETRY_NEVER;
}

static void on_head(ps_transfer_t *transfer);
static void on_data(ps_transfer_t *transfer, const char *data, size_t len);
static void on_done(ps_transfer_t *transfer, ps_transfer_result_t result);

static void
send_now(ps_exchange_t *exchange, int64_t now_ms)
{
    static const ps_transfer_events_t events = {on_head, on_data, on_done};
    const ps_backend_t *backend = exchange->task.backend;
    exchange->has_response_head = false;
    exchange->sends++;
    exchange->gateway->stats.sends++;
    PsBuf_Clear(&exchange->body);
    PsTransfer_Init(&exchange->transfer, &events, exchange);
    exchange->is_transferring = true;
    ps_outbound_request_t outbound = {
        .time_left_ms = exchange->deadline_ms - now_ms,
        .server = PsName_View(&backend->registration.name),
        .last_event_id = PsName_View(&exchange->last_event_id)};
    if (exchange->team) {
        outbound.team = PsName_View(&exchange->team->name);
    }
    exchange->gateway->dialect->encode(exchange->request, &outbound,
                                       &exchange->transfer);
    ps_name_t url =
        PsName_Format("http://%s/", backend->registration.address.data);
    ps_transfer_request_t request = {
        .method = exchange->request->method.data,
        .url = url.data,
        .target = exchange->request->path.data,
        .body = PsBuf_View(&exchange->request->body),
        .timeout_ms = 0,
        .must_not_resend = true,
        .idle_max_s = may_repeat(exchange) ? IDLE_REPEAT_S : IDLE_ONCE_S};
    PsTransfer_StartRequest(&exchange->gateway->http_client,
                            &exchange->transfer, &request);
}

static void
on_start(ps_scheduler_t *scheduler, ps_task_t *task)
{
    ps_exchange_t *exchange = task->user;
    int64_t now_ms = PsClock_Now();
    const ps_backend_t *backend = task->backend;
    PsEvents_Add("request.place", "{s:s,s:s,s:i,s:i,s:i,s:i,s:i,s:I}", "id",
                 exchange->inbound.request_id.data, "server",
                 backend->registration.name.data, "running", backend->running,
                 "share", backend->slot_limit, "waiting",
                 (int)scheduler->waiting.length, "tier", task->tier, "send",
                 exchange->sends + 1, "ms",
                 (json_int_t)(now_ms - task->arrived_ms));
    if (exchange->team &&
        !PsGateway_IsCatalogFresh(exchange->gateway, now_ms)) {
        PsScheduler_EndTask(scheduler, task, PS_TASK_CANCELLED, now_ms);
        if (exchange->may_have_run || exchange->is_relaying) {
            answer_failed(exchange, 502, "API keys not confirmed lately");
            return;
        }
        answer_not_run(exchange, 503, ELSEWHERE_MS,
                       "API keys not confirmed lately");
        return;
    }
    if (exchange->sends == 0) {
        PsHistogram_Add(&exchange->gateway->stats.wait_latency,
                        (double)(now_ms - task->arrived_ms));
    }
    send_now(exchange, now_ms);
}

static void
on_refuse(ps_scheduler_t *scheduler, ps_task_t *task, int64_t retry_after_ms,
          const char *reason)
{
    ps_exchange_t *exchange = task->user;
    int64_t left_ms = exchange->deadline_ms - PsClock_Now();
    PsEvents_Add("request.refuse", "{s:s,s:s,s:i,s:i,s:I}", "id",
                 exchange->inbound.request_id.data, "reason", reason,
                 "waiting", (int)scheduler->waiting.length, "tier", task->tier,
                 "retry_after_ms", (json_int_t)retry_after_ms);
    if (exchange->may_have_run || exchange->is_relaying) {
        answer_failed(exchange, 502, reason);
        return;
    }
    // Callers wait a third of the time that they have left at most.
    answer_not_run(exchange, 503, CLAMP(left_ms / 4, 1, retry_after_ms),
                   reason);
}

/* ---- Events of a stream ----------------------------------------------- */

static size_t
find_event_end(ps_str_t data, size_t from)
{
    for (size_t i = from; i + 1 < data.len; i++) {
        if (data.data[i] != '\n') {
            continue;
        }
        if (data.data[i + 1] == '\n') {
            return i + 2;
        }
        if (i + 2 < data.len && data.data[i + 1] == '\r' &&
            data.data[i + 2] == '\n') {
            return i + 3;
        }
    }
    return 0;
}

static void
read_event_id(ps_str_t event, ps_name_t *id)
{
    const char *line = event.data;
    const char *end = event.data + event.len;
    while (line < end) {
        const char *stop = memchr(line, '\n', (size_t)(end - line));
        stop = stop ? stop : end;
        if (stop - line > 3 && memcmp(line, "id:", 3) == 0) {
            const char *from = line + 3;
            const char *to = stop;
            from += *from == ' ' ? 1 : 0;
            to -= to > from && to[-1] == '\r' ? 1 : 0;
            *id = PsName_FromStr((ps_str_t){from, (size_t)(to - from)});
        }
        line = stop + 1;
    }
}

// Relays whole events only, so that another server can go on after the last.
static void
relay_events(ps_exchange_t *exchange)
{
    int64_t now_ms = PsClock_Now();
    ps_str_t data = PsBuf_View(&exchange->body);
    size_t done = 0;
    size_t end;
    while ((end = find_event_end(data, done)) > 0) {
        ps_str_t event = {data.data + done, end - done};
        read_event_id(event, &exchange->last_event_id);
        if (exchange->n_events++ == 0) {
            PsHistogram_Add(&exchange->gateway->stats.first_event_latency,
                            (double)(now_ms - exchange->arrived_ms));
        }
        PsScheduler_HandleEvent(
            &exchange->dispatcher->scheduler, &exchange->task,
            exchange->dispatcher->tokens_per_event, now_ms);
        done = end;
    }
    if (done > 0) {
        PsHttpRequest_WriteStream(exchange->request,
                                  (ps_str_t){data.data, done});
        PsBuf_RemoveFront(&exchange->body, done);
    }
}

/* ---- The server's answer ---------------------------------------------- */

static bool
is_stream_answer(const ps_exchange_t *exchange)
{
    return exchange->route->is_stream && exchange->transfer.status == 200 &&
           exchange->reply == PS_REPLY_ANSWER;
}

static void
on_head(ps_transfer_t *transfer)
{
    ps_exchange_t *exchange = transfer->user;
    exchange->has_response_head = true;
    exchange->reply = exchange->gateway->dialect->classify(
        transfer, &exchange->inbound.request_id);
    if (exchange->reply == PS_REPLY_MISMATCH) {
        transfer->is_aborted = true;
    }
    else if (is_stream_answer(exchange) && !exchange->is_relaying) {
        exchange->is_relaying = true;
        copy_head(exchange, (unsigned int)transfer->status, true);
    }
}

static void
on_data(ps_transfer_t *transfer, const char *data, size_t len)
{
    ps_exchange_t *exchange = transfer->user;
    PsBuf_Append(&exchange->body, data, len);
    if (is_stream_answer(exchange)) {
        relay_events(exchange);
    }
    size_t most = is_stream_answer(exchange) ? EVENT_MAX : BODY_MAX;
    transfer->is_aborted = exchange->body.len > most;
}

static void
answer_whole(ps_exchange_t *exchange)
{
    unsigned int status = (unsigned int)exchange->transfer.status;
    exchange->gateway->stats.answered++;
    log_end(exchange, (int)status, "answered", "server's answer");
    if (exchange->is_relaying) {
        PsHttpRequest_EndStream(exchange->request, true);
    }
    else {
        copy_head(exchange, status, false);
        PsHttpRequest_SendResponse(exchange->request,
                                   PsBuf_View(&exchange->body));
    }
    close_transfer(exchange);
    free_exchange(exchange);
}

// A server's own 408, 421, 429 or 503 would tell the caller "not run", which
// the server has not said.
static bool
would_promise_not_run(long status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

// Tells whether the request may be sent once more after this end. Spends from
// the retry budget.
static bool
take_repeat(ps_exchange_t *exchange, ps_task_result_t end, int64_t now_ms)
{
    bool has_run = end == PS_TASK_FAILED || end == PS_TASK_CANCELLED;
    if ((has_run && !may_repeat(exchange)) ||
        now_ms + MARGIN_MS >= exchange->deadline_ms ||
        exchange->sends >= SENDS_MAX) {
        return false;
    }
    return end == PS_TASK_UNREACHABLE ||
           (exchange->task.n_tried < exchange->route->attempts_max &&
            PsRetryBudget_Take(&exchange->dispatcher->retry_budget, now_ms));
}

static void
send_again(ps_exchange_t *exchange, const char *reason, int64_t now_ms)
{
    exchange->gateway->stats.retries++;
    exchange->task.wait_deadline_ms =
        MIN(now_ms + PATIENCE_MS, exchange->deadline_ms - MARGIN_MS);
    PsEvents_Add("request.repeat", "{s:s,s:s,s:i}", "id",
                 exchange->inbound.request_id.data, "reason", reason, "sends",
                 exchange->sends);
    PsScheduler_Submit(&exchange->dispatcher->scheduler, &exchange->task,
                       now_ms);
}

static void
give_up(ps_exchange_t *exchange, const char *reason)
{
    if (exchange->may_have_run || exchange->is_relaying) {
        answer_failed(exchange, 502, reason);
    }
    else {
        answer_not_run(exchange, 503, RETRY_REJECTED_MS, reason);
    }
}

static bool
is_whole(const ps_exchange_t *exchange, ps_transfer_result_t result)
{
    bool is_cut_event = is_stream_answer(exchange) && exchange->body.len > 0;
    return result == PS_TRANSFER_COMPLETE && exchange->has_response_head &&
           exchange->reply == PS_REPLY_ANSWER && !is_cut_event;
}

static ps_task_result_t
get_end(const ps_exchange_t *exchange, ps_transfer_result_t result)
{
    if (result == PS_TRANSFER_NOT_SENT) {
        return PS_TASK_UNREACHABLE;
    }
    if (exchange->has_response_head && exchange->reply == PS_REPLY_NOT_RUN) {
        return PS_TASK_REJECTED;
    }
    if (exchange->has_response_head &&
        exchange->reply == PS_REPLY_WRONG_SERVER) {
        return PS_TASK_WRONG_SERVER;
    }
    return is_whole(exchange, result) && exchange->transfer.status < 500
               ? PS_TASK_SUCCEEDED
               : PS_TASK_FAILED;
}

static void
log_trouble(const ps_exchange_t *exchange, ps_task_result_t end)
{
    const ps_transfer_t *transfer = &exchange->transfer;
    const ps_backend_t *backend = exchange->task.backend;
    PsEvents_Add("request.trouble", "{s:s,s:s,s:i,s:i,s:s,s:i,s:f}", "id",
                 exchange->inbound.request_id.data, "server",
                 backend->registration.name.data, "status",
                 (int)transfer->status, "reply", (int)exchange->reply, "error",
                 transfer->error, "end", (int)end, "failure_rate",
                 PsBackend_GetFailureRate(backend));
}

static void
note_death(ps_exchange_t *exchange, int64_t now_ms)
{
    if (exchange->content_hash != 0) {
        PsSharing_AddSuspect(&exchange->gateway->sharing,
                             exchange->content_hash);
        PsSuspects_AddCrash(&exchange->gateway->suspects,
                            exchange->content_hash, now_ms);
    }
}

static const char *
get_trouble(ps_task_result_t end)
{
    switch (end) {
    case PS_TASK_UNREACHABLE:
        return "server not reached";
    case PS_TASK_REJECTED:
        return "server rejected it";
    case PS_TASK_WRONG_SERVER:
        return "another server answered";
    default:
        return "server failed";
    }
}

static void
on_done(ps_transfer_t *transfer, ps_transfer_result_t result)
{
    ps_exchange_t *exchange = transfer->user;
    int64_t now_ms = PsClock_Now();
    ps_task_result_t end = get_end(exchange, result);
    if (end != PS_TASK_SUCCEEDED) {
        log_trouble(exchange, end);
    }
    if (result == PS_TRANSFER_INCOMPLETE && !exchange->has_response_head) {
        note_death(exchange, now_ms);
    }
    bool fits = exchange->is_relaying
                    ? is_stream_answer(exchange)
                    : !would_promise_not_run(transfer->status);
    bool is_answer = is_whole(exchange, result) && fits;
    PsScheduler_EndTask(&exchange->dispatcher->scheduler, &exchange->task, end,
                        now_ms);
    exchange->may_have_run |= end == PS_TASK_FAILED;
    if (end == PS_TASK_SUCCEEDED && is_answer) {
        answer_whole(exchange);
    }
    else if (take_repeat(exchange, end, now_ms)) {
        close_transfer(exchange);
        send_again(exchange, get_trouble(end), now_ms);
    }
    else if (is_answer) {
        answer_whole(exchange);
    }
    else {
        close_transfer(exchange);
        give_up(exchange, get_trouble(end));
    }
}

/* ---- Taking a request on ---------------------------------------------- */

static void
set_task(ps_exchange_t *exchange, int64_t now_ms)
{
    const ps_route_t *route = exchange->route;
    const ps_inbound_request_t *inbound = &exchange->inbound;
    int64_t limit = route->timeout_ms > 0 ? route->timeout_ms : TIME_USUAL_MS;
    if (inbound->time_left_ms > 0) {
        limit = MIN(limit, inbound->time_left_ms);
    }
    exchange->deadline_ms = now_ms + limit;
    ps_task_t *task = &exchange->task;
    task->user = exchange;
    task->is_generation = route->is_generation;
    task->arrived_ms = now_ms;
    task->due_ms =
        now_ms +
        (route->target_latency_ms > 0 ? route->target_latency_ms : limit);
    int64_t patience = route->is_stream
                           ? PATIENCE_MS
                           : (int64_t)((double)limit * PLAIN_PATIENCE_SHARE);
    task->wait_deadline_ms = now_ms + MIN(patience, limit - MARGIN_MS);
    task->prompt_tokens = inbound->prompt_tokens;
    task->output_tokens = inbound->output_tokens_hint > 0
                              ? inbound->output_tokens_hint
                              : inbound->output_tokens_max * OUTPUT_SHARE;
    task->n_parts = inbound->n_parts;
    memcpy(task->part_hashes, inbound->parts, sizeof task->part_hashes);
    memcpy(task->part_tokens, inbound->part_tokens, sizeof task->part_tokens);
    task->tier = route->tier;
    if (exchange->team && exchange->team->tier >= 0) {
        task->tier += exchange->team->tier * 16;
    }
}

// Returns 0 for a request without a body: many callers send the same one.
static uint64_t
hash_content(const ps_exchange_t *exchange)
{
    const ps_http_request_t *request = exchange->request;
    if (request->body.len == 0) {
        return 0;
    }
    uint64_t hash = XXH64(request->path.data, request->path.len, 0);
    if (exchange->team) {
        hash =
            XXH64(exchange->team->name.data, exchange->team->name.len, hash);
    }
    return XXH64(request->body.data, request->body.len, hash);
}

// Finds route and team; answers and returns false when there are none.
static bool
admit(ps_exchange_t *exchange, int64_t now_ms)
{
    ps_gateway_t *gateway = exchange->gateway;
    ps_http_request_t *request = exchange->request;
    if (!PsGateway_AcceptsRequests(gateway, now_ms)) {
        answer_not_run(exchange, 503, ELSEWHERE_MS, "this daemon is leaving");
        return false;
    }
    if (!gateway->catalog) {
        answer_not_run(exchange, 503, ELSEWHERE_MS, "no configuration yet");
        return false;
    }
    exchange->catalog = PsCatalog_Ref(gateway->catalog);
    const char *host = PsHttpRequest_GetHeader(request, "Host");
    ps_str_t whole = PsBuf_View(&request->path);
    ps_str_t view = {whole.data, strcspn(whole.data, "?")};
    exchange->route =
        PsCatalog_FindRoute(exchange->catalog, host ? host : "", view);
    if (!exchange->route) {
        answer_not_run(exchange, 404, 0, "no such route");
        return false;
    }
    if (exchange->catalog->has_teams && !exchange->route->is_public) {
        exchange->team = PsCatalog_FindTeam(exchange->catalog,
                                            exchange->inbound.api_key.data);
        if (!PsGateway_IsCatalogFresh(gateway, now_ms)) {
            answer_not_run(exchange, 503, ELSEWHERE_MS,
                           "API keys not confirmed lately");
            return false;
        }
        if (!exchange->team) {
            answer_not_run(exchange, 401, 0, "unknown API key");
            return false;
        }
    }
    return true;
}

static bool
take_quota(ps_exchange_t *exchange, int64_t now_ms)
{
    const ps_team_t *team = exchange->team;
    if (!team || team->rate <= 0) {
        return true;
    }
    double units = 1;
    if (team->is_quota_in_tokens) {
        units = exchange->inbound.has_token_counts
                    ? exchange->inbound.prompt_tokens +
                          exchange->inbound.output_tokens_max
                    : team->default_tokens;
    }
    ps_sharing_t *sharing = &exchange->gateway->sharing;
    if (!PsSharing_ChargeQuota(sharing, &team->name, units, now_ms)) {
        bool is_known = PsSharing_IsSpendingKnown(sharing, now_ms);
        PsEvents_Add("request.over_quota", "{s:s,s:s,s:f,s:f,s:b,s:b}", "id",
                     exchange->inbound.request_id.data, "team",
                     team->name.data, "units", units, "rate", team->rate,
                     "even_share", (int)sharing->uses_even_shares, "use_known",
                     (int)is_known);
        answer_not_run(exchange, is_known ? 429 : 503, RETRY_OVER_QUOTA_MS,
                       is_known ? "team is over its quota"
                                : "use of the team's quota is not known yet");
        return false;
    }
    exchange->quota_units = units;
    return true;
}

/* ---- Public functions ------------------------------------------------- */

const ps_scheduler_events_t *
PsExchange_GetSchedulerEvents(void)
{
    static const ps_scheduler_events_t events = {on_start, on_refuse};
    return &events;
}

void
PsExchange_Start(ps_gateway_t *gateway, ps_http_request_t *request)
{
    int64_t now_ms = PsClock_Now();
    ps_exchange_t *exchange = g_new0(ps_exchange_t, 1);
    exchange->gateway = gateway;
    exchange->request = request;
    exchange->arrived_ms = now_ms;
    exchange->link.data = exchange;
    request->user = exchange;
    PsBuf_Init(&exchange->body);
    g_queue_push_tail_link(&gateway->exchanges, &exchange->link);
    gateway->stats.requests++;
    bool is_good = gateway->dialect->decode(request, &exchange->inbound);
    if (request->is_too_large) {
        answer_not_run(exchange, 413, 0, "body is too large");
        return;
    }
    if (!is_good || request->is_malformed) {
        answer_not_run(exchange, 400, 0, "malformed request");
        return;
    }
    if (!admit(exchange, now_ms)) {
        return;
    }
    exchange->last_event_id = exchange->inbound.last_event_id;
    exchange->content_hash = hash_content(exchange);
    if (PsSuspects_GetCrashes(&gateway->suspects, exchange->content_hash,
                              now_ms) >= PS_SHARING_CRASHES_MAX) {
        answer_not_run(exchange, 503, 0, "content was in flight at crashes");
        return;
    }
    if (!take_quota(exchange, now_ms)) {
        return;
    }
    set_task(exchange, now_ms);
    uint64_t pick = XXH64(exchange->inbound.request_id.data,
                          exchange->inbound.request_id.len, 0);
    const ps_name_t *service = PsRoute_PickService(exchange->route, pick);
    exchange->dispatcher = PsGateway_GetDispatcher(gateway, service);
    PsRetryBudget_AddRequest(&exchange->dispatcher->retry_budget, now_ms);
    PsEvents_Add(
        "request.accept", "{s:s,s:s,s:s,s:s,s:i,s:f,s:f,s:I,s:I}", "id",
        exchange->inbound.request_id.data, "route", exchange->route->name.data,
        "team", exchange->team ? exchange->team->name.data : "", "service",
        service->data, "tier", exchange->task.tier, "prompt",
        exchange->task.prompt_tokens, "output", exchange->task.output_tokens,
        "config", (json_int_t)exchange->catalog->version, "config_age_ms",
        (json_int_t)(now_ms - gateway->catalog_confirmed_ms));
    PsScheduler_Submit(&exchange->dispatcher->scheduler, &exchange->task,
                       now_ms);
}

static void
stop_transfer(ps_exchange_t *exchange, int64_t now_ms, ps_task_result_t end)
{
    PsTransfer_Cancel(&exchange->gateway->http_client, &exchange->transfer);
    close_transfer(exchange);
    PsScheduler_EndTask(&exchange->dispatcher->scheduler, &exchange->task, end,
                        now_ms);
}

void
PsExchange_HandleDisconnect(ps_exchange_t *exchange)
{
    int64_t now_ms = PsClock_Now();
    exchange->request = NULL;
    exchange->gateway->stats.caller_disconnects++;
    log_end(exchange, 0, "left", "caller closed the connection");
    if (exchange->dispatcher) {
        PsScheduler_Withdraw(&exchange->dispatcher->scheduler,
                             &exchange->task);
    }
    if (exchange->is_transferring) {
        stop_transfer(exchange, now_ms, PS_TASK_CANCELLED);
    }
    free_exchange(exchange);
}

// Goes on at another server when this one has fallen silent and another has
// room at once. Silence alone is no reason to give a request up.
static bool
leave_silent_server(ps_exchange_t *exchange, int64_t now_ms)
{
    ps_scheduler_t *scheduler = &exchange->dispatcher->scheduler;
    if (!may_repeat(exchange) ||
        !PsScheduler_IsSilent(scheduler, &exchange->task, now_ms) ||
        !PsScheduler_CanMoveTask(scheduler, &exchange->task, now_ms) ||
        !take_repeat(exchange, PS_TASK_CANCELLED, now_ms)) {
        return false;
    }
    PsEvents_Add("request.silent", "{s:s,s:s,s:I,s:i}", "id",
                 exchange->inbound.request_id.data, "server",
                 exchange->task.backend->registration.name.data, "silent_ms",
                 (json_int_t)(now_ms - exchange->task.last_event_ms), "events",
                 (int)exchange->n_events);
    exchange->may_have_run = true;
    exchange->gateway->stats.retries++;
    PsTransfer_Cancel(&exchange->gateway->http_client, &exchange->transfer);
    close_transfer(exchange);
    PsScheduler_MoveTask(scheduler, &exchange->task, now_ms);
    return true;
}

static void
end_overdue(ps_exchange_t *exchange, int64_t now_ms)
{
    PsScheduler_Withdraw(&exchange->dispatcher->scheduler, &exchange->task);
    bool was_sent = exchange->is_transferring;
    if (was_sent) {
        stop_transfer(exchange, now_ms, PS_TASK_CANCELLED);
    }
    if (was_sent || exchange->may_have_run || exchange->is_relaying) {
        answer_failed(exchange, 504, "time is over");
    }
    else {
        answer_not_run(exchange, 503, 0, "time is over");
    }
}

bool
PsExchange_Run(ps_exchange_t *exchange, int64_t now_ms)
{
    if (!exchange->dispatcher) {
        return false;
    }
    if (now_ms >= exchange->deadline_ms) {
        end_overdue(exchange, now_ms);
        return true;
    }
    return exchange->is_transferring && leave_silent_server(exchange, now_ms);
}
