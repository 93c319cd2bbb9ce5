/* answer_relay.c - Holds, passes on and paces the bytes of answers. */
#include "answer_relay.h"

#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "event_stream.h"
#include "events_log.h"
#include "origin_lookups.h"
#include "response_headers.h"

// Most bytes of an answer that are held in case the request is sent again.
#define HOLD_MAX ((size_t)64 * 1024)

// A part of a prompt that crashes servers does so when they begin to write the
// answer, at most this long after the first event.
#define PART_CRASH_MAX_MS 250

// A server is not called silent for so long after this daemon has gone on
// reading its answer.
#define RESUME_GRACE_MS 1000

/* ---- Memory ----------------------------------------------------------- */

static ps_memory_budget_t *
get_budget(const ps_exchange_t *exchange)
{
    return &exchange->gateway->memory;
}

static void
count_body(ps_exchange_t *exchange)
{
    PsMemoryBudget_Set(get_budget(exchange), PS_MEMORY_ANSWER,
                       &exchange->answer.counted, exchange->body.cap);
}

static void
drop_body(ps_exchange_t *exchange)
{
    PsBuf_Finish(&exchange->body);
    count_body(exchange);
}

static void
append_body(ps_exchange_t *exchange, ps_str_t data)
{
    PsBuf_AppendTightly(&exchange->body, data.data, data.len);
    count_body(exchange);
}

/* ---- Pauses ----------------------------------------------------------- */

static void
end_pause(ps_answer_t *answer, int64_t now_ms)
{
    if (answer->paused_ms > 0) {
        answer->longest_pause_ms =
            MAX(answer->longest_pause_ms, now_ms - answer->paused_ms);
        answer->paused_ms = 0;
        answer->resumed_ms = now_ms;
    }
}

// The caller has read most of what was unsent.
static void
on_unsent_low(ps_http_request_t *request)
{
    ps_exchange_t *exchange = request->user;
    if (exchange && exchange->is_transferring &&
        exchange->transfer.is_paused) {
        end_pause(&exchange->answer, PsClock_Now());
        PsTransfer_SetPaused(&exchange->transfer, false);
    }
}

static void
pause_if_unread(ps_exchange_t *exchange)
{
    size_t n_unsent = PsHttpRequest_GetUnsent(exchange->request);
    size_t mark = PsMemoryBudget_GetAnswerMark(get_budget(exchange));
    ps_transfer_t *transfer = &exchange->transfer;
    if (n_unsent <= mark || transfer->is_paused || transfer->is_aborted) {
        return;
    }
    exchange->answer.paused_ms = PsClock_Now();
    exchange->gateway->stats.pauses++;
    if (exchange->answer.n_pauses++ == 0) {
        PsEvents_Add("answer.pause", "{s:s,s:s,s:I,s:I}", "id",
                     exchange->inbound.request_id.data, "server",
                     exchange->task.backend->registration.name.data, "unsent",
                     (json_int_t)n_unsent, "ms",
                     (json_int_t)(PsClock_Now() - exchange->arrived_ms));
    }
    PsTransfer_SetPaused(transfer, true);
    PsHttpRequest_NotifyBelow(exchange->request,
                              PsMemoryBudget_GetLowMark(mark), on_unsent_low);
}

/* ---- Events of a stream ----------------------------------------------- */

// Handles a whole event that goes to the caller. Once the answer was paused,
// times between events show how fast the caller reads, and are not learned.
static void
handle_event(ps_exchange_t *exchange, ps_str_t event, int64_t now_ms)
{
    ps_gateway_t *gateway = exchange->gateway;
    PsEventStream_ParseId(event, &exchange->last_event_id);
    exchange->task.version = exchange->task.backend->version;
    if (exchange->n_events++ == 0) {
        if (exchange->route->retry_policy != PS_RETRY_NEVER) {
            PsOriginLookups_Record(gateway, &exchange->inbound.request_id,
                                   exchange->task.version, now_ms);
        }
        exchange->first_event_after_ms = now_ms - exchange->arrived_ms;
        PsHistogram_Add(&gateway->stats.first_event_latency,
                        (double)exchange->first_event_after_ms);
    }
    bool had_just_begun = PsAnswerRelay_HasJustBegun(exchange);
    int tokens = exchange->answer.resumed_ms > 0
                     ? 0
                     : exchange->dispatcher->tokens_per_event;
    PsScheduler_HandleEvent(&exchange->dispatcher->scheduler, &exchange->task,
                            tokens, now_ms);
    if (had_just_begun && !PsAnswerRelay_HasJustBegun(exchange)) {
        PsMarkCrashes_AddSoundParts(&gateway->mark_crashes, exchange->marks,
                                    now_ms);
    }
}

// Relays complete events only, so that another backend server can resume the
// stream after the last one. Keeps the start of the next one.
static void
relay_events(ps_exchange_t *exchange, ps_str_t received)
{
    int64_t now_ms = PsClock_Now();
    bool has_start = exchange->body.len > 0;
    if (has_start) {
        append_body(exchange, received);
    }
    ps_str_t data = has_start ? PsBuf_View(&exchange->body) : received;
    size_t relayed = 0;
    size_t end;
    while ((end = PsEventStream_FindEnd(data, relayed)) > 0) {
        ps_str_t event = {data.data + relayed, end - relayed};
        handle_event(exchange, event, now_ms);
        relayed = end;
    }
    if (relayed > 0) {
        PsHttpRequest_WriteStream(exchange->request,
                                  (ps_str_t){data.data, relayed});
    }
    if (!has_start && relayed < data.len) {
        append_body(exchange,
                    (ps_str_t){data.data + relayed, data.len - relayed});
    }
    else if (has_start && relayed == data.len) {
        drop_body(exchange);
    }
    else if (has_start && relayed > 0) {
        PsBuf_RemoveFront(&exchange->body, relayed);
        PsBuf_SetCapacity(&exchange->body, exchange->body.len);
        count_body(exchange);
    }
}

/* ---- Plain answers ---------------------------------------------------- */

// Returns the Content-Length of the answer, or PS_HTTP_LENGTH_UNKNOWN.
static uint64_t
get_length(const ps_exchange_t *exchange)
{
    return PsTransfer_GetLength(&exchange->transfer);
}

static void
copy_headers(ps_exchange_t *exchange)
{
    PsResponseHeaders_Relay(exchange->gateway->dialect, &exchange->transfer,
                            exchange->request);
}

static void
start_stream(ps_exchange_t *exchange, uint64_t length)
{
    exchange->is_relaying = true;
    PsHttpRequest_PrepareStream(
        exchange->request, (unsigned int)exchange->transfer.status, length);
    copy_headers(exchange);
}

static void
pass_data(ps_exchange_t *exchange, ps_str_t data)
{
    if (!exchange->is_relaying) {
        start_stream(exchange, get_length(exchange));
    }
    PsHttpRequest_WriteStream(exchange->request, data);
}

/* ---- Public functions ------------------------------------------------- */

void
PsAnswerRelay_Reset(ps_exchange_t *exchange)
{
    exchange->answer = (ps_answer_t){.counted = exchange->answer.counted,
                                     .n_pauses = exchange->answer.n_pauses};
    drop_body(exchange);
}

void
PsAnswerRelay_HandleHead(ps_exchange_t *exchange)
{
    ps_answer_head_t head = {.reply = exchange->reply,
                             .status = exchange->transfer.status,
                             .is_stream_route = exchange->route->is_stream,
                             .may_retry = exchange->route->retry_policy !=
                                          PS_RETRY_NEVER,
                             .is_relaying = exchange->is_relaying};
    exchange->answer.handling = PsAnswer_Choose(&head);
    if (exchange->answer.handling == PS_ANSWER_EVENTS &&
        !exchange->is_relaying) {
        start_stream(exchange, PS_HTTP_LENGTH_UNKNOWN);
    }
}

void
PsAnswerRelay_HandleData(ps_exchange_t *exchange, ps_str_t data)
{
    ps_answer_t *answer = &exchange->answer;
    answer->n_bytes += data.len;
    switch (answer->handling) {
    case PS_ANSWER_DROP:
        break;
    case PS_ANSWER_HOLD:
        append_body(exchange, data);
        break;
    case PS_ANSWER_PASS:
        pass_data(exchange, data);
        break;
    case PS_ANSWER_EVENTS:
        relay_events(exchange, data);
        break;
    }
    bool is_event_too_long =
        answer->handling == PS_ANSWER_EVENTS &&
        exchange->body.len > PsMemoryBudget_GetEventMax(get_budget(exchange));
    if (is_event_too_long ||
        answer->n_bytes > PsAnswer_GetBytesMax(answer->handling,
                                               exchange->transfer.status)) {
        answer->is_too_long = true;
        exchange->transfer.is_aborted = true;
    }
    if (exchange->is_relaying) {
        pause_if_unread(exchange);
    }
}

bool
PsAnswerRelay_IsHoldFull(const ps_exchange_t *exchange)
{
    size_t mark = PsMemoryBudget_GetAnswerMark(get_budget(exchange));
    return exchange->answer.handling == PS_ANSWER_HOLD &&
           exchange->body.len > MIN(HOLD_MAX, mark);
}

void
PsAnswerRelay_StartPassing(ps_exchange_t *exchange)
{
    exchange->answer.handling = PS_ANSWER_PASS;
    pass_data(exchange, PsBuf_View(&exchange->body));
    drop_body(exchange);
    pause_if_unread(exchange);
}

ps_answer_facts_t
PsAnswerRelay_GetFacts(const ps_exchange_t *exchange,
                       ps_transfer_result_t result)
{
    const ps_answer_t *answer = &exchange->answer;
    return (ps_answer_facts_t){.result = result,
                               .has_head = exchange->has_response_head,
                               .reply = exchange->reply,
                               .status = exchange->transfer.status,
                               .handling = answer->handling,
                               .is_relaying = exchange->is_relaying,
                               .is_aborted = exchange->transfer.is_aborted,
                               .is_server_asking_pause =
                                   exchange->task.backend->paused_until_ms >
                                   PsClock_Now(),
                               .is_too_long = answer->is_too_long,
                               .longest_pause_ms = answer->longest_pause_ms};
}

void
PsAnswerRelay_SendWhole(ps_exchange_t *exchange)
{
    ps_http_request_t *request = exchange->request;
    bool is_head = PsName_IsEqualC(&request->method, "HEAD");
    if (is_head && get_length(exchange) != PS_HTTP_LENGTH_UNKNOWN) {
        start_stream(exchange, get_length(exchange));
    }
    if (exchange->is_relaying) {
        PsHttpRequest_EndStream(request, true);
        return;
    }
    PsHttpRequest_PrepareResponse(
        request, (unsigned int)exchange->transfer.status, NULL, false);
    copy_headers(exchange);
    PsHttpRequest_SendResponse(request, PsBuf_View(&exchange->body));
}

void
PsAnswerRelay_Cut(ps_exchange_t *exchange, ps_answer_cut_t cut)
{
    exchange->gateway->stats.cuts[cut]++;
    PsEvents_Add(
        "answer.cut", "{s:s,s:s,s:I,s:I,s:I,s:i}", "id",
        exchange->inbound.request_id.data, "reason", PsAnswer_GetCutName(cut),
        "bytes", (json_int_t)exchange->request->written, "unsent",
        (json_int_t)PsHttpRequest_GetUnsent(exchange->request),
        "longest_pause_ms", (json_int_t)exchange->answer.longest_pause_ms,
        "pauses", exchange->answer.n_pauses);
    PsHttpRequest_EndStream(exchange->request, false);
}

void
PsAnswerRelay_Release(ps_exchange_t *exchange)
{
    if (exchange->request) {
        PsHttpRequest_NotifyBelow(exchange->request, 0, NULL);
    }
    drop_body(exchange);
}

bool
PsAnswerRelay_IsUnread(const ps_exchange_t *exchange, int64_t now_ms)
{
    return exchange->transfer.is_paused ||
           now_ms - exchange->answer.resumed_ms < RESUME_GRACE_MS;
}

int64_t
PsAnswerRelay_GetWritingTime(const ps_exchange_t *exchange)
{
    const ps_task_t *task = &exchange->task;
    return task->first_event_ms > 0
               ? task->last_event_ms - task->first_event_ms
               : 0;
}

bool
PsAnswerRelay_HasJustBegun(const ps_exchange_t *exchange)
{
    return PsAnswerRelay_GetWritingTime(exchange) <= PART_CRASH_MAX_MS;
}
