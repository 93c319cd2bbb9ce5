/* exchange.c - Admission, sending, relaying and retries of one request. */
#include "exchange.h"

#include <string.h>
#include <xxhash.h>

#include "answer_relay.h"
#include "clock.h"
#include "events_log.h"
#include "exchange_task.h"
#include "origin_lookups.h"
#include "server_notices.h"
#include "team_shares.h"
#include "trial_turns.h"

// Most attempts of one request, failed connections included.
#define SENDS_MAX 4

// Longest time in seconds for which a connection that is used again may have
// been idle. A backend server may be closing a connection that was idle for
// longer. A request on it is then lost if its route forbids retries, so that
// the limit is lower for such a request.
#define IDLE_MAX_S 1
#define IDLE_MAX_RETRYABLE_S 3

// Longest time that other daemons are asked for the version that began a
// stream.
#define ORIGIN_WAIT_MAX_MS 300

// Age up to which the configuration's confirmation shows that this daemon
// hears of new servers: from the store or the allocator.
#define HEARD_LATELY_MS 1500

// A request waits this long for the allocator's verdict on its team's quota,
// and no longer than this part of its time. Another daemon becomes the
// allocator within about 1 s.
#define QUOTA_WAIT_MAX_MS 1500
#define QUOTA_WAIT_SHARE 0.4

// Retry-After values, by reason.
#define RETRY_OTHER_DAEMON_MS 20 /* another daemon can serve it at once */
#define RETRY_NO_MEMORY_MS 200   /* another daemon may have room at once */
#define RETRY_REJECTED_MS 300   /* servers that reject are full for a moment */
#define RETRY_OVER_QUOTA_MS 200 /* the allocator's next rounds grant more */

/* ---- Responses to the caller ------------------------------------------ */

static void
close_transfer(ps_exchange_t *exchange)
{
    PsTransfer_Finish(&exchange->transfer);
    PsServerPath_Close(&exchange->path);
    exchange->is_transferring = false;
}

// Refunds what a request that has not run was charged to its team's quota.
static void
refund_unless_run(ps_exchange_t *exchange)
{
    if (exchange->team && exchange->quota_units > 0 &&
        PsAttempts_GetRan(&exchange->attempts) == PS_RAN_NO) {
        PsQuota_Refund(
            PsGateway_GetQuota(exchange->gateway, &exchange->team->name),
            exchange->quota_units);
    }
}

static void
free_exchange(ps_exchange_t *exchange)
{
    if (exchange->is_transferring) {
        PsTransfer_Cancel(&exchange->gateway->http_client,
                          &exchange->transfer);
        close_transfer(exchange);
    }
    refund_unless_run(exchange);
    if (exchange->quota_ask != 0) {
        PsQuotaAdmission_Withdraw(&exchange->gateway->sharing,
                                  &exchange->team->name, exchange->quota_ask);
    }
    if (exchange->has_reserved_retry) {
        PsRetryBudget_Release(&exchange->dispatcher->retry_budget);
    }
    g_queue_unlink(&exchange->gateway->exchanges, &exchange->link);
    PsAnswerRelay_Release(exchange);
    if (exchange->request) {
        exchange->request->user = NULL;
    }
    if (exchange->marks) {
        g_array_unref(exchange->marks);
    }
    PsCatalog_Unref(exchange->catalog);
    g_free(exchange);
}

static void
log_end(ps_exchange_t *exchange, int status, const char *outcome,
        const char *reason)
{
    PsHistogram_Add(&exchange->gateway->stats.total_latency,
                    (double)(PsClock_Now() - exchange->arrived_ms));
    PsEvents_Add("request.end", "{s:s,s:i,s:s,s:s,s:i,s:I,s:i,s:I,s:i}", "id",
                 exchange->inbound.request_id.data, "status", status,
                 "outcome", outcome, "reason", reason, "sends",
                 exchange->sends, "ms",
                 (json_int_t)(PsClock_Now() - exchange->arrived_ms), "events",
                 (int)exchange->n_events, "first_event_ms",
                 (json_int_t)exchange->first_event_after_ms, "pauses",
                 exchange->answer.n_pauses);
}

// Sends a response of the gateway itself and ends the exchange.
static void
send_own_response(ps_exchange_t *exchange, unsigned int status,
                  int64_t retry_after_ms, const char *outcome,
                  const char *reason)
{
    log_end(exchange, (int)status, outcome, reason);
    if (exchange->request) {
        ps_name_t body = PsName_Format("{\"error\":\"%s\"}\n", reason);
        PsHttpRequest_PrepareResponse(exchange->request, status,
                                      "application/json", false);
        if (retry_after_ms > 0) {
            ps_name_t retry_after = PsName_Format(
                "%lld.%03lld", (long long)(retry_after_ms / 1000),
                (long long)(retry_after_ms % 1000));
            PsHttpRequest_AddResponseHeader(exchange->request, "Retry-After",
                                            retry_after.data);
        }
        PsHttpRequest_AddResponseHeader(
            exchange->request, exchange->gateway->dialect->request_id_header,
            exchange->inbound.request_id.data);
        PsHttpRequest_SendResponse(exchange->request, PsName_View(&body));
    }
    free_exchange(exchange);
}

// Ends an answer that the caller is already receiving before its end.
static void
cut_answer(ps_exchange_t *exchange, ps_answer_cut_t cut, const char *reason)
{
    exchange->gateway->stats.failed++;
    log_end(exchange, (int)exchange->request->status, "cut", reason);
    PsAnswerRelay_Cut(exchange, cut);
    free_exchange(exchange);
}

// Ends the exchange without a backend server's answer. This alone promises
// callers that a request has not run and will not, by @refusal. A request that
// may have run gets @failure, which promises nothing. An answer that has begun
// is cut for the reason @cut.
static void
end_unanswered(ps_exchange_t *exchange, unsigned int refusal,
               unsigned int failure, int64_t retry_after_ms,
               ps_answer_cut_t cut, const char *reason)
{
    if (exchange->is_relaying) {
        cut_answer(exchange, cut, reason);
    }
    else if (PsAttempts_GetRan(&exchange->attempts) != PS_RAN_NO) {
        exchange->gateway->stats.failed++;
        send_own_response(exchange, failure, 0, "failed", reason);
    }
    else {
        exchange->gateway->stats.refused++;
        send_own_response(exchange, refusal, retry_after_ms, "refused",
                          reason);
    }
}

// Ends the exchange with a refusal, or with 502 if the request may have run.
static void
refuse_request(ps_exchange_t *exchange, unsigned int status,
               int64_t retry_after_ms, const char *reason)
{
    end_unanswered(exchange, status, 502, retry_after_ms, PS_ANSWER_CUT_SERVER,
                   reason);
}

/* ---- Sending ---------------------------------------------------------- */

static uint64_t
get_content(const ps_exchange_t *exchange)
{
    return g_array_index(exchange->marks, uint64_t, 0);
}

// Tells whether this daemon may let a request with a banned mark through now.
static bool
has_turn(const ps_gateway_t *gateway, uint64_t mark)
{
    GPtrArray *others = PsGateway_ListOthers(gateway);
    bool is_own = PsTrialTurns_IsOwn(&gateway->self.name, others, mark,
                                     g_get_real_time() / 1000);
    g_ptr_array_unref(others);
    return is_own;
}

// Returns the request's mark that has crashed too many servers for it to be
// sent; 0: none.
static uint64_t
find_banned(ps_exchange_t *exchange, int64_t now_ms)
{
    ps_mark_crashes_t *crashes = &exchange->gateway->mark_crashes;
    ps_banned_mark_t banned =
        PsMarkCrashes_FindBanned(crashes, exchange->marks, now_ms);
    if (banned.is_unclear && !exchange->is_trial &&
        (!banned.needs_turn || has_turn(exchange->gateway, banned.mark))) {
        exchange->is_trial =
            PsMarkCrashes_StartTrial(crashes, &banned, now_ms);
    }
    return banned.is_unclear && exchange->is_trial ? 0 : banned.mark;
}

// Ends the exchange because of a banned mark.
static void
end_banned(ps_exchange_t *exchange, uint64_t mark, int64_t now_ms)
{
    ps_name_t hash = PsMark_Format(mark);
    exchange->gateway->stats.banned_requests++;
    PsEvents_Add("content.refused", "{s:s,s:s,s:s,s:i}", "id",
                 exchange->inbound.request_id.data, "content", hash.data,
                 "kind", PsMark_GetKind(mark), "crashes",
                 PsSuspects_GetCrashes(
                     &exchange->gateway->mark_crashes.suspects, mark, now_ms));
    refuse_request(exchange, 503, 0,
                   PsMark_IsPart(mark)
                       ? "a part of the prompt was in flight at crashes"
                       : "content was in flight at crashes");
}

static bool
may_retry(const ps_exchange_t *exchange)
{
    return exchange->route->retry_policy != PS_RETRY_NEVER;
}

// A retry counts when it is sent, not when it is decided: it may have waited
// for a server and for a connection.
static void
on_sending(ps_transfer_t *transfer)
{
    ps_exchange_t *exchange = transfer->user;
    PsAttempts_HandleSent(&exchange->attempts);
    if (exchange->has_reserved_retry) {
        exchange->has_reserved_retry = false;
        PsRetryBudget_CountSent(&exchange->dispatcher->retry_budget,
                                PsClock_Now());
    }
}

static void on_headers(ps_transfer_t *transfer);
static void on_data(ps_transfer_t *transfer, const char *data, size_t len);
static void on_done(ps_transfer_t *transfer, ps_transfer_result_t result);

// Starts the transfer to the task's server over the path that is open.
static void
start_transfer(ps_exchange_t *exchange, int64_t now_ms)
{
    static const ps_transfer_events_t events = {on_sending, on_headers,
                                                on_data, on_done};
    const ps_backend_t *backend = exchange->task.backend;
    exchange->has_response_head = false;
    PsAnswerRelay_Reset(exchange);
    PsTransfer_Init(&exchange->transfer, &events, exchange);
    exchange->is_transferring = true;
    ps_outbound_request_t outbound = {
        .time_left_ms = exchange->deadline_ms - now_ms,
        .server = PsName_View(&backend->registration.name),
        .last_event_id = PsName_View(&exchange->last_event_id)};
    if (exchange->team) {
        outbound.team = PsName_View(&exchange->team->name);
    }
    exchange->gateway->dialect->add_request_headers(
        exchange->request, &outbound, &exchange->transfer);
    ps_transfer_request_t request = {
        .method = exchange->request->method.data,
        .target = exchange->request->path.data,
        .body = PsBuf_View(&exchange->request->body),
        .keeps_body = true,
        .timeout_ms = 0,
        .must_not_resend = true,
        .idle_max_s = may_retry(exchange) ? IDLE_MAX_RETRYABLE_S : IDLE_MAX_S};
    exchange->path.ops->prepare(&exchange->path, &exchange->transfer,
                                &request);
    PsTransfer_StartRequest(&exchange->gateway->http_client,
                            &exchange->transfer, &request);
}

static void
send_request(ps_exchange_t *exchange, int64_t now_ms)
{
    exchange->sends++;
    exchange->gateway->stats.sends++;
    PsServerPath_Open(&exchange->path, exchange->gateway,
                      exchange->task.backend, now_ms);
    start_transfer(exchange, now_ms);
}

// Takes the next path to the same server, after one over which nothing was
// sent to it. Returns false if there is none, or no time for it.
static bool
take_next_path(ps_exchange_t *exchange, int64_t now_ms)
{
    if (now_ms + PS_DEADLINE_MARGIN_MS >= exchange->deadline_ms ||
        !PsServerPath_OpenNext(&exchange->path, now_ms)) {
        return false;
    }
    PsEvents_Add("request.forward", "{s:s,s:s,s:s,s:I}", "id",
                 exchange->inbound.request_id.data, "server",
                 exchange->task.backend->registration.name.data, "by",
                 exchange->path.forwarder->name.data, "ms",
                 (json_int_t)(now_ms - exchange->arrived_ms));
    PsTransfer_Finish(&exchange->transfer);
    PsScheduler_RestartTask(&exchange->task, now_ms);
    start_transfer(exchange, now_ms);
    return true;
}

static void
on_start(ps_scheduler_t *scheduler, ps_task_t *task)
{
    ps_exchange_t *exchange = task->user;
    int64_t now_ms = PsClock_Now();
    const ps_backend_t *backend = task->backend;
    PsEvents_Add("request.place", "{s:s,s:s,s:s,s:i,s:i,s:i,s:i,s:i,s:I}",
                 "id", exchange->inbound.request_id.data, "server",
                 backend->registration.name.data, "version",
                 backend->registration.version.data, "running",
                 backend->running, "share", backend->slot_limit, "waiting",
                 (int)scheduler->waiting.length, "tier", task->tier, "send",
                 exchange->sends + 1, "ms",
                 (json_int_t)(now_ms - task->arrived_ms));
    // The API key may have been revoked, or a mark banned, while the
    // request waited.
    if (exchange->team &&
        !PsGateway_IsCatalogFresh(exchange->gateway, now_ms)) {
        PsScheduler_EndTask(scheduler, task, PS_TASK_CANCELLED, now_ms);
        refuse_request(exchange, 503, RETRY_OTHER_DAEMON_MS,
                       "API keys not confirmed lately");
        return;
    }
    uint64_t banned = find_banned(exchange, now_ms);
    if (banned != 0) {
        PsScheduler_EndTask(scheduler, task, PS_TASK_CANCELLED, now_ms);
        end_banned(exchange, banned, now_ms);
        return;
    }
    if (exchange->sends == 0) {
        PsHistogram_Add(&exchange->gateway->stats.wait_latency,
                        (double)(now_ms - task->arrived_ms));
    }
    send_request(exchange, now_ms);
}

// Logs the inputs of a refusal; by team, and how long ago the caller first
// asked, if these count.
static void
log_refusal(const ps_exchange_t *exchange, const ps_scheduler_t *scheduler,
            int64_t retry_after_ms, const char *reason)
{
    const ps_task_t *task = &exchange->task;
    const char *id = exchange->inbound.request_id.data;
    int waiting = (int)scheduler->waiting.length;
    int64_t now_ms = PsClock_Now();
    const ps_team_order_t *order = &scheduler->team_order;
    if (!order->is_enabled && !scheduler->has_planned_returns) {
        PsEvents_Add("request.refuse", "{s:s,s:s,s:i,s:i,s:I}", "id", id,
                     "reason", reason, "waiting", waiting, "tier", task->tier,
                     "retry_after_ms", (json_int_t)retry_after_ms);
        return;
    }
    PsEvents_Add("request.refuse", "{s:s,s:s,s:i,s:i,s:I,s:s,s:I,s:b,s:I,s:I}",
                 "id", id, "reason", reason, "waiting", waiting, "tier",
                 task->tier, "retry_after_ms", (json_int_t)retry_after_ms,
                 "team", exchange->team ? exchange->team->name.data : "",
                 "asked_ms_ago", (json_int_t)(now_ms - task->first_asked_ms),
                 "told", (int)PsTeamOrder_IsTold(order, now_ms),
                 "team_wait_ms",
                 (json_int_t)PsTeamOrder_GetWait(
                     order, (uint32_t)MAX(task->tier, 0) * 2, task->team),
                 "counter_ms",
                 (json_int_t)PsTeamOrder_GetKey(order, task->team, now_ms));
}

static void
on_refuse(ps_scheduler_t *scheduler, ps_task_t *task, int64_t retry_after_ms,
          const char *reason)
{
    ps_exchange_t *exchange = task->user;
    int64_t left_ms = exchange->deadline_ms - PsClock_Now();
    log_refusal(exchange, scheduler, retry_after_ms, reason);
    // Retry-After is at most a quarter of the time that the caller has left; a
    // planned return has its own bounds.
    int64_t after_max_ms =
        scheduler->has_planned_returns ? retry_after_ms : left_ms / 4;
    refuse_request(exchange, 503, CLAMP(after_max_ms, 1, retry_after_ms),
                   reason);
}

/* ---- The backend server's response ------------------------------------ */

static ps_lost_run_t
get_lost_run(const ps_exchange_t *exchange)
{
    return (ps_lost_run_t){.marks = exchange->marks,
                           .has_just_begun =
                               PsAnswerRelay_HasJustBegun(exchange),
                           .is_trial = exchange->is_trial,
                           .server = &exchange->task.backend->registration};
}

static void
on_headers(ps_transfer_t *transfer)
{
    ps_exchange_t *exchange = transfer->user;
    int64_t now_ms = PsClock_Now();
    if (!exchange->path.ops->is_server_head(transfer)) {
        return;
    }
    exchange->has_response_head = true;
    exchange->reply = exchange->gateway->dialect->classify(
        transfer, &exchange->inbound.request_id);
    if (exchange->reply == PS_REPLY_ANSWER ||
        exchange->reply == PS_REPLY_NOT_RUN) {
        PsServerNotices_Take(exchange->gateway, exchange->task.backend,
                             transfer, exchange->reply,
                             &exchange->inbound.request_id,
                             exchange->task.started_ms, now_ms);
    }
    if (exchange->reply == PS_REPLY_MISMATCH) {
        exchange->path.has_mismatch = true;
        transfer->is_aborted = true;
    }
    PsAnswerRelay_HandleHead(exchange);
}

static bool take_retry(ps_exchange_t *exchange, ps_task_result_t result,
                       int64_t now_ms);

// No more of the answer is held. A failure is given up if the request can be
// sent again now.
static void
decide_held(ps_exchange_t *exchange)
{
    if (exchange->transfer.status >= 500 &&
        take_retry(exchange, PS_TASK_FAILED, PsClock_Now())) {
        exchange->transfer.is_aborted = true;
    }
    else {
        PsAnswerRelay_StartPassing(exchange);
    }
}

static void
on_data(ps_transfer_t *transfer, const char *data, size_t len)
{
    ps_exchange_t *exchange = transfer->user;
    PsAnswerRelay_HandleData(exchange, (ps_str_t){data, len});
    if (PsAnswerRelay_IsHoldFull(exchange) && !transfer->is_aborted) {
        decide_held(exchange);
    }
}

static void
relay_response(ps_exchange_t *exchange)
{
    exchange->gateway->stats.answered++;
    log_end(exchange, (int)exchange->transfer.status, "answered",
            "relayed the backend server's answer");
    PsAnswerRelay_SendWhole(exchange);
    close_transfer(exchange);
    free_exchange(exchange);
}

// Reserves a retry in the service's budget, and logs what the budget knew.
static bool
reserve_retry(ps_exchange_t *exchange, int64_t now_ms)
{
    // The last retry did not reach its server.
    if (exchange->has_reserved_retry) {
        return true;
    }
    ps_gateway_t *gateway = exchange->gateway;
    ps_retry_budget_t *budget = &exchange->dispatcher->retry_budget;
    ps_retry_use_t use = PsRetryBudget_GetUse(budget, now_ms);
    bool is_allowed = PsRetryBudget_Reserve(budget, now_ms);
    exchange->has_reserved_retry = is_allowed;
    gateway->stats.refused_retries += is_allowed ? 0 : 1;
    PsEvents_Add("retry.budget", "{s:s,s:s,s:b,s:f,s:f,s:f,s:i,s:I}", "id",
                 exchange->inbound.request_id.data, "service",
                 exchange->dispatcher->name.data, "allowed", (int)is_allowed,
                 "retries", use.retries, "requests", use.requests, "limit",
                 use.allowed, "daemons",
                 (int)g_hash_table_size(gateway->members), "age_ms",
                 (json_int_t)(now_ms - gateway->started_ms));
    return is_allowed;
}

// Tells whether the request may be sent once more after a failed attempt, and
// reserves a retry in the budget. An unreachable server was sent nothing: then
// neither the budget nor the route's attempts_max counts, only SENDS_MAX. A
// trial that may have run is not sent again, as it may end one more server.
static bool
take_retry(ps_exchange_t *exchange, ps_task_result_t result, int64_t now_ms)
{
    bool may_have_run = PsAttempts_GetRan(&exchange->attempts) != PS_RAN_NO;
    if ((may_have_run && (exchange->is_trial || !may_retry(exchange))) ||
        now_ms + PS_DEADLINE_MARGIN_MS >= exchange->deadline_ms ||
        exchange->sends >= SENDS_MAX || find_banned(exchange, now_ms) != 0) {
        return false;
    }
    return result == PS_TASK_UNREACHABLE ||
           (exchange->task.n_tried < exchange->route->attempts_max &&
            reserve_retry(exchange, now_ms));
}

static void
send_retry(ps_exchange_t *exchange, const char *reason, int64_t now_ms)
{
    exchange->gateway->stats.retries++;
    exchange->task.wait_deadline_ms =
        MIN(now_ms + PS_STREAM_WAIT_MAX_MS,
            exchange->deadline_ms - PS_DEADLINE_MARGIN_MS);
    PsEvents_Add("request.repeat", "{s:s,s:s,s:i}", "id",
                 exchange->inbound.request_id.data, "reason", reason, "sends",
                 exchange->sends);
    PsScheduler_Submit(&exchange->dispatcher->scheduler, &exchange->task,
                       now_ms);
}

// Tells whether a stream ended within an event, or with its connection before
// the first event.
static bool
was_broken_off(const ps_exchange_t *exchange)
{
    bool has_no_event =
        exchange->n_events == 0 && PsName_IsEmpty(&exchange->last_event_id);
    return exchange->answer.handling == PS_ANSWER_EVENTS &&
           (exchange->body.len > 0 ||
            (has_no_event &&
             exchange->path.ops->ends_with_connection(&exchange->transfer)));
}

// Tells whether no backend server has run an attempt that ended so, nor will.
static bool
shows_not_run(ps_task_result_t result)
{
    return result == PS_TASK_UNREACHABLE || result == PS_TASK_REJECTED ||
           result == PS_TASK_PAUSED || result == PS_TASK_WRONG_SERVER;
}

static void
log_failure(const ps_exchange_t *exchange, ps_task_result_t result)
{
    const ps_transfer_t *transfer = &exchange->transfer;
    const ps_backend_t *backend = exchange->task.backend;
    PsEvents_Add("request.trouble", "{s:s,s:s,s:i,s:i,s:s,s:i,s:f}", "id",
                 exchange->inbound.request_id.data, "server",
                 backend->registration.name.data, "status",
                 (int)transfer->status, "reply", (int)exchange->reply, "error",
                 transfer->error, "end", (int)result, "failure_rate",
                 PsBackend_GetFailureRate(backend));
}

// Counts a connection that was lost before the end of the response as a crash
// of the server.
static void
count_lost_connection(ps_exchange_t *exchange, int64_t now_ms)
{
    ps_mark_crashes_t *crashes = &exchange->gateway->mark_crashes;
    const ps_registration_t *server = &exchange->task.backend->registration;
    exchange->gateway->stats.lost_connections++;
    ps_lost_run_t run = get_lost_run(exchange);
    run.is_unconfirmed = exchange->task.backend->reach.is_checking;
    if (exchange->path.forwarder) {
        // The other daemon may have been lost in place of the server.
        PsMarkCrashes_AddAbandoned(crashes, &run, now_ms);
    }
    else {
        PsMarkCrashes_AddLost(crashes, &run, now_ms);
    }
    ps_name_t content = PsMark_Format(get_content(exchange));
    ps_name_t parts = PsMark_FormatParts(exchange->marks);
    PsEvents_Add("content.lost_connection",
                 "{s:s,s:s,s:s,s:s,s:b,s:i,s:I,s:i}", "id",
                 exchange->inbound.request_id.data, "content", content.data,
                 "parts", parts.data, "server", server->name.data,
                 "response_began", (int)exchange->has_response_head, "events",
                 (int)exchange->n_events, "writing_ms",
                 (json_int_t)PsAnswerRelay_GetWritingTime(exchange), "crashes",
                 PsSuspects_GetCrashes(&crashes->suspects,
                                       get_content(exchange), now_ms));
}

static const char *
get_failure_reason(ps_task_result_t result)
{
    switch (result) {
    case PS_TASK_UNREACHABLE:
        return "server not reached";
    case PS_TASK_REJECTED:
    case PS_TASK_PAUSED:
        return "server rejected it";
    case PS_TASK_WRONG_SERVER:
        return "another server answered";
    case PS_TASK_CANCELLED:
        return "server cut an answer that the caller reads slowly";
    default:
        return "server failed";
    }
}

static void
on_done(ps_transfer_t *transfer, ps_transfer_result_t result)
{
    ps_exchange_t *exchange = transfer->user;
    int64_t now_ms = PsClock_Now();
    bool is_broken_off =
        result == PS_TRANSFER_COMPLETE && was_broken_off(exchange);
    exchange->path.is_own_cut = PsAnswer_IsOwnCut(
        result, transfer->is_aborted, exchange->answer.longest_pause_ms);
    result = exchange->path.ops->finish(&exchange->path, transfer, result,
                                        is_broken_off, now_ms);
    ps_answer_facts_t facts = PsAnswerRelay_GetFacts(exchange, result);
    ps_answer_verdict_t verdict = PsAnswer_Judge(&facts);
    ps_task_result_t task_result = verdict.task_result;
    PsAttempts_HandleEnd(&exchange->attempts, shows_not_run(task_result));
    if (result == PS_TRANSFER_NOT_SENT && take_next_path(exchange, now_ms)) {
        return;
    }
    if (task_result != PS_TASK_SUCCEEDED) {
        log_failure(exchange, task_result);
    }
    if (verdict.is_lost) {
        count_lost_connection(exchange, now_ms);
    }
    else if (task_result == PS_TASK_SUCCEEDED) {
        PsMarkCrashes_AddCompleted(&exchange->gateway->mark_crashes,
                                   exchange->marks, now_ms);
    }
    PsScheduler_EndTask(&exchange->dispatcher->scheduler, &exchange->task,
                        task_result, now_ms);
    if (task_result == PS_TASK_SUCCEEDED && verdict.is_whole) {
        relay_response(exchange);
    }
    else if (verdict.may_repeat && take_retry(exchange, task_result, now_ms)) {
        close_transfer(exchange);
        send_retry(exchange, get_failure_reason(task_result), now_ms);
    }
    else if (verdict.is_whole) {
        relay_response(exchange);
    }
    else {
        close_transfer(exchange);
        end_unanswered(exchange, 503, 502, RETRY_REJECTED_MS, verdict.cut,
                       get_failure_reason(task_result));
    }
}

/* ---- Admission -------------------------------------------------------- */

static void
set_marks(ps_exchange_t *exchange)
{
    const ps_http_request_t *request = exchange->request;
    ps_str_t team = {NULL, 0};
    if (exchange->team) {
        team = PsName_View(&exchange->team->name);
    }
    uint64_t content = PsMark_HashContent(PsBuf_View(&request->path), team,
                                          PsBuf_View(&request->body));
    exchange->marks = g_array_new(FALSE, FALSE, sizeof content);
    g_array_append_val(exchange->marks, content);
    exchange->gateway->dialect->add_part_marks(request, exchange->marks);
}

// Finds the request's route and team. Refuses the request and returns false if
// it cannot be served.
static bool
admit(ps_exchange_t *exchange, int64_t now_ms)
{
    ps_gateway_t *gateway = exchange->gateway;
    ps_http_request_t *request = exchange->request;
    if (!PsGateway_AcceptsRequests(gateway, now_ms)) {
        refuse_request(exchange, 503, RETRY_OTHER_DAEMON_MS,
                       "this daemon is leaving");
        return false;
    }
    if (!gateway->catalog) {
        refuse_request(exchange, 503, RETRY_OTHER_DAEMON_MS,
                       "no configuration yet");
        return false;
    }
    exchange->catalog = PsCatalog_Ref(gateway->catalog);
    const char *host = PsHttpRequest_GetHeader(request, "Host");
    ps_str_t target = PsBuf_View(&request->path);
    ps_str_t path = {target.data, strcspn(target.data, "?")};
    exchange->route =
        PsCatalog_FindRoute(exchange->catalog, host ? host : "", path);
    if (!exchange->route) {
        refuse_request(exchange, 404, 0, "no such route");
        return false;
    }
    if (exchange->catalog->has_teams && !exchange->route->is_public) {
        exchange->team = PsCatalog_FindTeam(exchange->catalog,
                                            exchange->inbound.api_key.data);
        if (!PsGateway_IsCatalogFresh(gateway, now_ms)) {
            refuse_request(exchange, 503, RETRY_OTHER_DAEMON_MS,
                           "API keys not confirmed lately");
            return false;
        }
        if (!exchange->team) {
            refuse_request(exchange, 401, 0, "unknown API key");
            return false;
        }
    }
    return true;
}

// Refuses a request that the team's quota has no room for, or for which it is
// not known whether it has.
static void
refuse_over_quota(ps_exchange_t *exchange, double units, bool is_known,
                  int64_t now_ms)
{
    const ps_team_t *team = exchange->team;
    const ps_sharing_t *sharing = &exchange->gateway->sharing;
    exchange->gateway->stats.quota_refusals += is_known ? 1 : 0;
    exchange->gateway->stats.quota_unknown += is_known ? 0 : 1;
    PsEvents_Add("request.over_quota", "{s:s,s:s,s:f,s:f,s:b,s:b,s:i,s:I}",
                 "id", exchange->inbound.request_id.data, "team",
                 team->name.data, "units", units, "rate", team->rate,
                 "even_share", (int)sharing->uses_even_shares, "use_known",
                 (int)is_known, "ask", (int)exchange->quota_ask, "ms",
                 (json_int_t)(now_ms - exchange->arrived_ms));
    refuse_request(exchange, is_known ? 429 : 503, RETRY_OVER_QUOTA_MS,
                   is_known ? "team is over its quota"
                            : "use of the team's quota is not known yet");
}

// Charges the team's quota with one request, or with its tokens. Returns false
// if it can't be charged now: the request is refused, or the allocator is
// asked whether the quota has room for it.
static bool
charge_quota(ps_exchange_t *exchange, int64_t now_ms)
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
    if (PsQuotaAdmission_IsUsed(sharing)) {
        exchange->asked_units = units;
        if (!PsQuotaAdmission_Request(sharing, &team->name, units,
                                      &exchange->quota_ask, now_ms)) {
            exchange->gateway->stats.quota_asks++;
            if (exchange->quota_ask == 0) {
                refuse_over_quota(exchange, units, false, now_ms);
            }
            return false;
        }
    }
    else if (!PsSharing_ChargeQuota(sharing, &team->name, units, now_ms)) {
        refuse_over_quota(exchange, units,
                          PsSharing_IsSpendingKnown(sharing, now_ms), now_ms);
        return false;
    }
    exchange->quota_units = units;
    return true;
}

// Returns the service that the request goes to: the one with servers of the
// version that it needs, if there is one, or else one of its route's by
// weight.
static const ps_name_t *
pick_service(const ps_exchange_t *exchange)
{
    const ps_route_t *route = exchange->route;
    for (int i = 0; exchange->task.version != 0 && i < route->n_targets; i++) {
        const ps_name_t *service = &route->targets[i].service;
        const ps_dispatcher_t *dispatcher =
            PsGateway_FindDispatcher(exchange->gateway, service);
        if (dispatcher && PsScheduler_HasVersion(&dispatcher->scheduler,
                                                 exchange->task.version)) {
            return service;
        }
    }
    uint64_t hash = XXH64(exchange->inbound.request_id.data,
                          exchange->inbound.request_id.len, 0);
    return PsRoute_PickService(route, hash);
}

static void
submit(ps_exchange_t *exchange, int64_t now_ms)
{
    ps_gateway_t *gateway = exchange->gateway;
    const ps_name_t *service = pick_service(exchange);
    exchange->dispatcher = PsGateway_GetDispatcher(gateway, service);
    PsRetryBudget_AddRequest(&exchange->dispatcher->retry_budget, now_ms);
    ps_name_t content = PsMark_Format(get_content(exchange));
    ps_name_t parts = PsMark_FormatParts(exchange->marks);
    PsEvents_Add(
        "request.accept", "{s:s,s:s,s:s,s:s,s:s,s:s,s:i,s:f,s:f,s:I,s:I,s:I}",
        "id", exchange->inbound.request_id.data, "content", content.data,
        "parts", parts.data, "route", exchange->route->name.data, "team",
        exchange->team ? exchange->team->name.data : "", "service",
        service->data, "tier", exchange->task.tier, "prompt",
        exchange->task.prompt_tokens, "output", exchange->task.output_tokens,
        "config", (json_int_t)exchange->catalog->version, "config_age_ms",
        (json_int_t)(now_ms - gateway->catalog_confirmed_ms), "time_left_ms",
        (json_int_t)exchange->inbound.time_left_ms);
    PsScheduler_Submit(&exchange->dispatcher->scheduler, &exchange->task,
                       now_ms);
}

/* ---- Streams that callers take up ------------------------------------- */

// Returns the version that must have begun a stream whose origin nobody knows,
// because the route's service has had no other; 0: it may be any. A daemon
// that is cut off doesn't know whether there are others.
// @is_answered: other daemons were reached
static uint64_t
find_only_version(const ps_exchange_t *exchange, bool is_answered,
                  int64_t now_ms)
{
    const ps_route_t *route = exchange->route;
    int64_t age_ms = now_ms - exchange->gateway->catalog_confirmed_ms;
    if (route->n_targets != 1 || (!is_answered && age_ms > HEARD_LATELY_MS)) {
        return 0;
    }
    return PsVersionHistory_FindOnly(&exchange->gateway->version_history,
                                     &route->targets[0].service, now_ms);
}

// Submits a request that takes up a stream, or refuses it if it isn't known
// which version began the stream.
// @from: who knows the version; NULL: nobody
// @is_answered: all that were asked have answered
static void
resume_stream(ps_exchange_t *exchange, uint64_t version, const char *from,
              bool is_answered, int64_t now_ms)
{
    exchange->origin_request = 0;
    exchange->task.version =
        from ? version : find_only_version(exchange, is_answered, now_ms);
    ps_name_t hash =
        PsName_Format("%016llx", (unsigned long long)exchange->task.version);
    PsEvents_Add("stream.origin", "{s:s,s:s,s:s,s:s,s:I}", "id",
                 exchange->inbound.request_id.data, "resumes",
                 exchange->inbound.resumed_id.data, "version", hash.data,
                 "from",
                 from                          ? from
                 : exchange->task.version != 0 ? "only version"
                                               : "unknown",
                 "ms", (json_int_t)(now_ms - exchange->arrived_ms));
    if (exchange->task.version == 0) {
        exchange->gateway->stats.unknown_origins++;
        // Another daemon may know it if not all that were asked have answered.
        refuse_request(exchange, 503, is_answered ? 0 : RETRY_OTHER_DAEMON_MS,
                       "not known which version began the stream");
        return;
    }
    submit(exchange, now_ms);
}

// Finds out which version began the stream that the caller takes up: here, or
// by asking other daemons.
static void
find_origin(ps_exchange_t *exchange, int64_t now_ms)
{
    ps_gateway_t *gateway = exchange->gateway;
    gateway->stats.taken_up_streams++;
    if (PsName_IsEmpty(&exchange->inbound.resumed_id)) {
        resume_stream(exchange, 0, NULL, true, now_ms);
        return;
    }
    uint64_t request = PsStreamOrigins_HashId(&exchange->inbound.resumed_id);
    uint64_t version =
        PsStreamOrigins_Find(&gateway->stream_origins, request, now_ms);
    if (version != 0) {
        resume_stream(exchange, version, "this daemon", true, now_ms);
        return;
    }
    bool is_alone = gateway->has_listed_members &&
                    g_hash_table_size(gateway->members) <= 1;
    if (is_alone) {
        resume_stream(exchange, 0, NULL, true, now_ms);
        return;
    }
    exchange->origins_asked = PsOriginLookups_Ask(gateway, request);
    exchange->origin_request = request;
    exchange->origin_due_ms =
        MIN(now_ms + ORIGIN_WAIT_MAX_MS, exchange->deadline_ms);
}

// Goes on with a request that is admitted and charged to its team's quota.
static void
go_on(ps_exchange_t *exchange, int64_t now_ms)
{
    if (exchange->route->is_stream &&
        !PsName_IsEmpty(&exchange->last_event_id)) {
        find_origin(exchange, now_ms);
    }
    else {
        submit(exchange, now_ms);
    }
}

/* ---- Verdicts on quotas ----------------------------------------------- */

// Goes on with a request, or refuses it, once the allocator has decided
// whether the team's quota has room for it. Returns true if it did.
static bool
check_quota_ask(ps_exchange_t *exchange, int64_t now_ms)
{
    ps_sharing_t *sharing = &exchange->gateway->sharing;
    ps_quota_verdict_t verdict = PsQuotaAdmission_Check(
        sharing, &exchange->team->name, exchange->asked_units,
        exchange->quota_ask, now_ms);
    int64_t wait_ms =
        MIN((int64_t)((double)(exchange->deadline_ms - exchange->arrived_ms) *
                      QUOTA_WAIT_SHARE),
            QUOTA_WAIT_MAX_MS);
    bool is_over = now_ms - exchange->arrived_ms >= wait_ms;
    if (verdict == PS_QUOTA_PENDING && !is_over) {
        return false;
    }
    if (verdict == PS_QUOTA_GRANTED) {
        exchange->quota_ask = 0;
        exchange->quota_units = exchange->asked_units;
        go_on(exchange, now_ms);
        return true;
    }
    bool is_known = verdict == PS_QUOTA_REFUSED &&
                    PsQuotaAdmission_IsSpendingKnown(sharing, now_ms);
    refuse_over_quota(exchange, exchange->asked_units, is_known, now_ms);
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
    g_queue_push_tail_link(&gateway->exchanges, &exchange->link);
    gateway->stats.requests++;
    bool is_valid =
        gateway->dialect->parse_request(request, &exchange->inbound);
    if (request->is_too_large) {
        refuse_request(exchange, 413, 0, "body is too large");
        return;
    }
    if (request->is_over_budget) {
        bool can_ever =
            PsMemoryBudget_CanEverHold(&gateway->memory, request->body_length);
        refuse_request(exchange, can_ever ? 503 : 413,
                       can_ever ? RETRY_NO_MEMORY_MS : 0,
                       "no memory for the request");
        return;
    }
    if (!is_valid || request->fault) {
        PsEvents_Add("request.malformed", "{s:s,s:s}", "id",
                     exchange->inbound.request_id.data, "reason",
                     request->fault ? request->fault
                                    : "a field is missing or invalid");
        refuse_request(exchange, 400, 0, "malformed request");
        return;
    }
    if (!admit(exchange, now_ms)) {
        return;
    }
    exchange->last_event_id = exchange->inbound.last_event_id;
    set_marks(exchange);
    PsMarkCrashes_AddRequest(&gateway->mark_crashes, exchange->marks, now_ms);
    uint64_t banned = find_banned(exchange, now_ms);
    if (banned != 0) {
        end_banned(exchange, banned, now_ms);
        return;
    }
    PsExchangeTask_Init(exchange, now_ms);
    if (charge_quota(exchange, now_ms)) {
        go_on(exchange, now_ms);
    }
}

// Cancels the transfer. If its server turns out to have crashed, the request
// may be the cause, unless it was never handed to a connection.
static void
abandon_transfer(ps_exchange_t *exchange, int64_t now_ms)
{
    if (exchange->attempts.is_in_doubt) {
        ps_lost_run_t run = get_lost_run(exchange);
        PsMarkCrashes_AddAbandoned(&exchange->gateway->mark_crashes, &run,
                                   now_ms);
    }
    PsTransfer_Cancel(&exchange->gateway->http_client, &exchange->transfer);
    PsAttempts_HandleEnd(&exchange->attempts, false);
    close_transfer(exchange);
}

static void
stop_transfer(ps_exchange_t *exchange, int64_t now_ms, ps_task_result_t result)
{
    abandon_transfer(exchange, now_ms);
    PsScheduler_EndTask(&exchange->dispatcher->scheduler, &exchange->task,
                        result, now_ms);
}

// Takes the request from the queue or from its server, so that it does not run
// later.
static void
withdraw(ps_exchange_t *exchange, int64_t now_ms)
{
    if (exchange->dispatcher) {
        PsScheduler_Withdraw(&exchange->dispatcher->scheduler,
                             &exchange->task);
    }
    if (exchange->is_transferring) {
        stop_transfer(exchange, now_ms, PS_TASK_CANCELLED);
    }
}

void
PsExchange_HandleDisconnect(ps_exchange_t *exchange)
{
    int64_t now_ms = PsClock_Now();
    exchange->gateway->stats.caller_disconnects++;
    bool is_idle = exchange->request->is_timed_out;
    log_end(exchange, 0, "left",
            is_idle ? "caller read nothing for the idle timeout"
                    : "caller closed the connection");
    exchange->request = NULL;
    withdraw(exchange, now_ms);
    free_exchange(exchange);
}

// Moves a request from a backend server that has fallen silent to one that has
// a free slot now. Without such a server the request stays where it is, since
// silence alone is no reason to abandon it.
static bool
move_from_silent_server(ps_exchange_t *exchange, int64_t now_ms)
{
    ps_scheduler_t *scheduler = &exchange->dispatcher->scheduler;
    if (!may_retry(exchange) ||
        !PsScheduler_CanMoveTask(scheduler, &exchange->task, now_ms) ||
        !take_retry(exchange, PS_TASK_CANCELLED, now_ms)) {
        return false;
    }
    PsEvents_Add("request.silent", "{s:s,s:s,s:I,s:i}", "id",
                 exchange->inbound.request_id.data, "server",
                 exchange->task.backend->registration.name.data, "silent_ms",
                 (json_int_t)(now_ms - exchange->task.last_event_ms), "events",
                 (int)exchange->n_events);
    exchange->gateway->stats.retries++;
    abandon_transfer(exchange, now_ms);
    PsScheduler_MoveTask(scheduler, &exchange->task, now_ms);
    return true;
}

bool
PsExchange_IsAtServer(const ps_exchange_t *exchange)
{
    return exchange->is_transferring;
}

void
PsExchange_Stop(ps_exchange_t *exchange, int64_t now_ms)
{
    withdraw(exchange, now_ms);
    end_unanswered(exchange, 503, 502, RETRY_OTHER_DAEMON_MS,
                   PS_ANSWER_CUT_ENDING, "this daemon is ending");
}

bool
PsExchange_Run(ps_exchange_t *exchange, int64_t now_ms)
{
    if (exchange->origin_request != 0 && now_ms >= exchange->origin_due_ms) {
        resume_stream(exchange, 0, NULL, false, now_ms);
        return true;
    }
    if (exchange->origin_request != 0 && exchange->origins_asked == 0) {
        exchange->origins_asked =
            PsOriginLookups_Ask(exchange->gateway, exchange->origin_request);
    }
    if (exchange->quota_ask != 0) {
        return check_quota_ask(exchange, now_ms);
    }
    if (!exchange->dispatcher) {
        return false;
    }
    if (now_ms >= exchange->deadline_ms) {
        withdraw(exchange, now_ms);
        end_unanswered(exchange, 503, 504, 0, PS_ANSWER_CUT_TIME,
                       "time is over");
        return true;
    }
    if (!exchange->is_transferring ||
        PsAnswerRelay_IsUnread(exchange, now_ms) ||
        !PsScheduler_IsSilent(&exchange->dispatcher->scheduler,
                              &exchange->task, now_ms)) {
        return false;
    }
    // A plain answer that comes is not silent, and nothing can replace it.
    if (exchange->is_relaying && exchange->answer.handling == PS_ANSWER_PASS) {
        return false;
    }
    exchange->path.ops->handle_silence(&exchange->path, now_ms);
    return move_from_silent_server(exchange, now_ms);
}

bool
PsExchange_HandleOrigin(ps_exchange_t *exchange, uint64_t request,
                        uint64_t version, const ps_name_t *from,
                        int64_t now_ms)
{
    if (exchange->origin_request == 0 || exchange->origin_request != request) {
        return false;
    }
    exchange->origins_asked--;
    if (version == 0 && exchange->origins_asked > 0) {
        return false;
    }
    resume_stream(exchange, version, version != 0 ? from->data : NULL, true,
                  now_ms);
    return true;
}
