/* entry.c - Grant requests, dispatches and result reports of calls. */
#include "entry.h"

// Times after which a grant request is sent again: one that the owner has not
// answered, and one that it has queued.
#define REQUEST_RETRY_MS 500
#define QUEUED_RETRY_MS 5000

// Time after a pause of this process in which no grant requests are sent, so
// that frames that arrived during the pause are read first.
#define PAUSE_DRAIN_MS 300

// Time after which the report of a result is sent again if the owner has not
// acknowledged it.
#define REPORT_RETRY_MS 500

// A waiting call is refused when its owner has not answered for this long. The
// refusal's Retry-After is NO_OWNER_RETRY_MS.
#define OWNER_TIMEOUT_MS 8000
#define NO_OWNER_RETRY_MS 2000

/* ---- Internal functions ----------------------------------------------- */

static ps_call_t *
find_call(const ps_entry_t *entry, const ps_name_t *ticket)
{
    return g_hash_table_lookup(entry->calls, ticket);
}

// Sets a pool's epoch unless a higher one is known.
static void
raise_epoch(ps_entry_t *entry, const ps_name_t *pool, uint64_t epoch)
{
    uint64_t *known = g_hash_table_lookup(entry->epochs, pool);
    if (!known) {
        g_hash_table_insert(entry->epochs, g_memdup2(pool, sizeof *pool),
                            g_memdup2(&epoch, sizeof epoch));
    }
    else if (epoch > *known) {
        *known = epoch;
    }
}

// Sends a call's grant request. Within PAUSE_DRAIN_MS after a pause it only
// makes the request due at the end of that time.
static void
send_grant_request(ps_entry_t *entry, ps_call_t *call, int64_t now_ms)
{
    if (now_ms < entry->hold_requests_until_ms) {
        call->last_request_ms =
            entry->hold_requests_until_ms - REQUEST_RETRY_MS;
        return;
    }
    call->last_request_ms = now_ms;
    entry->events->request_grant(entry, call);
}

// Starts a new attempt, so that grants for earlier grant requests of a call
// are not used.
static void
start_new_attempt(ps_call_t *call)
{
    call->request.attempt++;
    call->is_queued = false;
}

// Reports a dispatch's result. Keeps it, for id_window_ms at most, to retry
// the report until it is acknowledged; with an id it is kept for all of that
// time, since new owners ask for it.
static void
add_report(ps_entry_t *entry, const ps_ended_dispatch_t *report,
           int64_t now_ms)
{
    ps_ended_dispatch_t *ended = g_memdup2(report, sizeof *report);
    ended->ended_ms = now_ms;
    ended->sent_ms = now_ms;
    g_queue_push_tail(&entry->ended, ended);
    entry->events->report_result(entry, ended);
}

static void
report_call_result(ps_entry_t *entry, const ps_call_t *call,
                   const ps_dispatch_result_t *result, int64_t now_ms)
{
    ps_ended_dispatch_t ended = {.ticket = call->request.ticket,
                                 .id = call->request.id,
                                 .is_idempotent = call->request.idempotent,
                                 .pool = call->pool,
                                 .server = call->server,
                                 .token = call->token,
                                 .result = *result};
    add_report(entry, &ended, now_ms);
}

// Reports that a grant is not used. A stream that was to be resumed goes on
// at its server and counts as orphaned.
static void
return_grant(ps_entry_t *entry, const ps_answer_t *answer,
             const ps_call_t *call, int64_t now_ms)
{
    bool is_stream = answer->verdict == PS_VERDICT_RESUME;
    ps_ended_dispatch_t ended = {.ticket = answer->ticket,
                                 .pool = answer->pool,
                                 .server = answer->server,
                                 .token = answer->token};
    ended.result.outcome =
        is_stream ? PS_OUTCOME_ORPHANED : PS_OUTCOME_NOT_SENT;
    if (call) {
        ended.id = call->request.id;
    }
    add_report(entry, &ended, now_ms);
}

// Tells whether the result of a grant has already been reported.
static bool
is_reported(const ps_entry_t *entry, const ps_answer_t *answer)
{
    for (GList *l = entry->ended.tail; l; l = l->prev) {
        const ps_ended_dispatch_t *ended = l->data;
        if (PsName_IsEqual(&ended->ticket, &answer->ticket) &&
            PsName_IsEqual(&ended->token, &answer->token)) {
            return true;
        }
    }
    return false;
}

static void
refuse_call(ps_entry_t *entry, ps_call_t *call, const ps_refusal_t *refusal,
            const char *reason)
{
    call->state = PS_CALL_ENDED;
    g_hash_table_remove(entry->calls, &call->request.ticket);
    entry->events->refuse(entry, call, refusal, reason);
}

static const ps_server_config_t *
find_server(const ps_entry_t *entry, const ps_name_t *pool_name,
            const ps_name_t *server)
{
    const ps_pool_config_t *pool =
        entry->config ? PsConfig_FindPool(entry->config, pool_name) : NULL;
    for (int i = 0; pool && i < pool->n_servers; i++) {
        if (PsName_IsEqual(&pool->servers[i].name, server)) {
            return &pool->servers[i];
        }
    }
    return NULL;
}

// Tells whether this daemon's configuration allows dispatches to a server.
static bool
may_dispatch(const ps_entry_t *entry, const ps_answer_t *answer)
{
    const ps_server_config_t *server =
        find_server(entry, &answer->pool, &answer->server);
    return server && server->state == PS_SERVER_JOINING;
}

// Dispatches a call by its grant. A grant that is late, of an older attempt or
// for a server that takes no new work is returned, and a new attempt starts;
// the same grant is ignored when it comes again. A grant to resume an earlier
// dispatch is used in any case.
static void
handle_grant(ps_entry_t *entry, ps_call_t *call, const ps_answer_t *answer,
             int64_t now_ms)
{
    bool is_resume = answer->verdict == PS_VERDICT_RESUME;
    if (PsName_IsEqual(&answer->token, &call->returned_token)) {
        return;
    }
    bool is_late = now_ms >= call->request.deadline_ms;
    if (!is_resume && (answer->attempt != call->request.attempt || is_late ||
                       !may_dispatch(entry, answer))) {
        return_grant(entry, answer, call, now_ms);
        call->returned_token = answer->token;
        call->request.attempt++;
        call->is_queued = false;
        call->last_request_ms = now_ms;
        return;
    }
    call->state = PS_CALL_DISPATCHED;
    call->dispatched_ms = now_ms;
    call->is_resumed = is_resume;
    call->server = answer->server;
    call->address = answer->address;
    call->token = answer->token;
    entry->events->dispatch(entry, call, answer->reason.data);
}

static void
handle_refusal(ps_entry_t *entry, ps_call_t *call, const ps_answer_t *answer)
{
    ps_refusal_t refusal = {answer->code.data, answer->ran,
                            answer->retry_after_ms};
    refuse_call(entry, call, &refusal, answer->reason.data);
}

// Refuses a waiting call that is past its deadline or whose pool's owner does
// not answer, or retries its grant request when that is due.
static void
run_waiting(ps_entry_t *entry, ps_call_t *call, int64_t now_ms)
{
    int64_t retry_ms = call->is_queued ? QUEUED_RETRY_MS : REQUEST_RETRY_MS;
    if (now_ms >= call->request.deadline_ms) {
        ps_refusal_t refusal = {"deadline", PsEntry_GetRan(call), 0};
        entry->events->withdraw(entry, call);
        refuse_call(entry, call, &refusal, "deadline passed while it waited");
    }
    else if (now_ms - call->last_answer_ms > OWNER_TIMEOUT_MS) {
        ps_refusal_t refusal = {"no_owner", PsEntry_GetRan(call),
                                NO_OWNER_RETRY_MS};
        entry->events->withdraw(entry, call);
        refuse_call(entry, call, &refusal, "the pool has no owner");
    }
    else if (now_ms - call->last_request_ms >= retry_ms) {
        send_grant_request(entry, call, now_ms);
    }
}

// Retries unacknowledged reports of results. Removes results that are older
// than id_window_ms, and acknowledged ones without an id.
static void
run_ended(ps_entry_t *entry, int64_t now_ms)
{
    GList *next;
    for (GList *l = entry->ended.head; l; l = next) {
        next = l->next;
        ps_ended_dispatch_t *ended = l->data;
        bool has_id = !PsName_IsEmpty(&ended->id);
        bool is_old = now_ms - ended->ended_ms > entry->id_window_ms;
        if (is_old || (ended->is_acknowledged && !has_id)) {
            g_queue_delete_link(&entry->ended, l);
            g_free(ended);
        }
        else if (!ended->is_acknowledged &&
                 now_ms - ended->sent_ms >= REPORT_RETRY_MS) {
            ended->sent_ms = now_ms;
            entry->events->report_result(entry, ended);
        }
    }
}

/* ---- Public functions ------------------------------------------------- */

void
PsEntry_Init(ps_entry_t *entry, const ps_entry_events_t *events,
             const ps_name_t *name, uint64_t incarnation, int64_t id_window_ms)
{
    *entry = (ps_entry_t){.events = events,
                          .name = *name,
                          .incarnation = incarnation,
                          .id_window_ms = id_window_ms};
    entry->calls = g_hash_table_new(PsName_Hash, PsName_EqualKeys);
    entry->epochs =
        g_hash_table_new_full(PsName_Hash, PsName_EqualKeys, g_free, g_free);
    g_queue_init(&entry->ended);
}

void
PsEntry_Finish(ps_entry_t *entry)
{
    g_hash_table_destroy(entry->calls);
    g_hash_table_destroy(entry->epochs);
    g_queue_clear_full(&entry->ended, g_free);
}

void
PsEntry_SetConfig(ps_entry_t *entry, const ps_config_t *config)
{
    entry->config = config;
}

void
PsEntry_Accept(ps_entry_t *entry, ps_call_t *call, int64_t now_ms)
{
    call->request.ticket =
        PsName_Format("%.40s.%llx.%llu", entry->name.data,
                      (unsigned long long)entry->incarnation,
                      (unsigned long long)++entry->last_ticket);
    call->request.entry = entry->name;
    call->request.attempt = 1;
    call->state = PS_CALL_WAITING;
    call->accepted_ms = now_ms;
    call->last_answer_ms = now_ms;
    g_hash_table_insert(entry->calls, &call->request.ticket, call);
    send_grant_request(entry, call, now_ms);
}

void
PsEntry_SetOwner(ps_entry_t *entry, const ps_name_t *pool, uint64_t epoch,
                 int64_t now_ms)
{
    raise_epoch(entry, pool, epoch);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, entry->calls);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ps_call_t *call = value;
        if (call->state == PS_CALL_WAITING &&
            PsName_IsEqual(&call->pool, pool)) {
            start_new_attempt(call);
            send_grant_request(entry, call, now_ms);
        }
    }
}

void
PsEntry_HandlePause(ps_entry_t *entry, int64_t now_ms)
{
    entry->hold_requests_until_ms = now_ms + PAUSE_DRAIN_MS;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, entry->calls);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ps_call_t *call = value;
        if (call->state == PS_CALL_WAITING) {
            start_new_attempt(call);
            send_grant_request(entry, call, now_ms);
        }
    }
}

void
PsEntry_HandleAnswer(ps_entry_t *entry, const ps_answer_t *answer,
                     int64_t now_ms)
{
    ps_call_t *call = find_call(entry, &answer->ticket);
    bool is_grant = answer->verdict == PS_VERDICT_GRANT ||
                    answer->verdict == PS_VERDICT_RESUME;
    if (answer->epoch < PsEntry_GetEpoch(entry, &answer->pool)) {
        return;
    }
    raise_epoch(entry, &answer->pool, answer->epoch);
    if (!call) {
        if (is_grant && !is_reported(entry, answer)) {
            return_grant(entry, answer, NULL, now_ms);
        }
        return;
    }
    if (call->state != PS_CALL_WAITING) {
        return;
    }
    call->last_answer_ms = now_ms;
    if (is_grant) {
        handle_grant(entry, call, answer, now_ms);
    }
    else if (answer->attempt != call->request.attempt) {
        // The answer is for an older grant request; the newer one gets its
        // own answer.
        return;
    }
    else if (answer->verdict == PS_VERDICT_REFUSE) {
        handle_refusal(entry, call, answer);
    }
    else {
        call->is_queued = true;
    }
}

void
PsEntry_HandleCancel(ps_entry_t *entry, const ps_name_t *pool, uint64_t epoch,
                     const ps_name_t *ticket, const char *reason)
{
    ps_call_t *call = find_call(entry, ticket);
    if (call && call->state == PS_CALL_DISPATCHED &&
        epoch >= PsEntry_GetEpoch(entry, pool)) {
        entry->events->cancel(entry, call, reason);
    }
}

void
PsEntry_SetTokens(ps_call_t *call, uint32_t tokens, int64_t now_ms)
{
    if (tokens > 0 && call->first_token_ms == 0) {
        call->first_token_ms = now_ms;
    }
    call->tokens = tokens;
}

void
PsEntry_End(ps_entry_t *entry, ps_call_t *call, ps_outcome_t outcome,
            int64_t now_ms)
{
    g_assert(call->state == PS_CALL_DISPATCHED);
    call->state = PS_CALL_ENDED;
    ps_dispatch_result_t result = {.outcome = outcome,
                                   .total_ms = now_ms - call->dispatched_ms,
                                   .output_tokens = call->tokens};
    if (call->first_token_ms > 0) {
        result.first_token_ms = call->first_token_ms - call->dispatched_ms;
    }
    g_hash_table_remove(entry->calls, &call->request.ticket);
    report_call_result(entry, call, &result, now_ms);
}

void
PsEntry_HandleNotSent(ps_entry_t *entry, ps_call_t *call, int64_t now_ms)
{
    g_assert(call->state == PS_CALL_DISPATCHED);
    ps_dispatch_result_t result = {.outcome = PS_OUTCOME_UNREACHABLE};
    report_call_result(entry, call, &result, now_ms);
    call->state = PS_CALL_WAITING;
    call->is_queued = false;
    call->returned_token = call->token;
    call->request.attempt++;
    send_grant_request(entry, call, now_ms);
}

bool
PsEntry_HandleDisconnect(ps_entry_t *entry, ps_call_t *call, int64_t now_ms)
{
    call->is_disconnected = true;
    if (call->state == PS_CALL_WAITING) {
        entry->events->withdraw(entry, call);
        call->state = PS_CALL_ENDED;
        g_hash_table_remove(entry->calls, &call->request.ticket);
        return true;
    }
    if (PsName_IsEmpty(&call->request.id) && call->request.idempotent) {
        entry->events->cancel(entry, call, "caller left");
        return false;
    }
    ps_dispatch_result_t result = {.outcome = PS_OUTCOME_ORPHANED};
    report_call_result(entry, call, &result, now_ms);
    return false;
}

void
PsEntry_HandleDoneAck(ps_entry_t *entry, const ps_name_t *ticket,
                      const ps_name_t *token, ps_outcome_t outcome)
{
    for (GList *l = entry->ended.tail; l; l = l->prev) {
        ps_ended_dispatch_t *ended = l->data;
        if (PsName_IsEqual(&ended->ticket, ticket) &&
            PsName_IsEqual(&ended->token, token) &&
            ended->result.outcome == outcome) {
            ended->is_acknowledged = true;
            return;
        }
    }
}

// Adds a pool's dispatches in progress to an array.
static void
add_running(const ps_entry_t *entry, const ps_name_t *pool, GArray *out,
            int64_t now_ms)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, entry->calls);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const ps_call_t *call = value;
        if (call->state != PS_CALL_DISPATCHED ||
            !PsName_IsEqual(&call->pool, pool)) {
            continue;
        }
        ps_dispatch_t dispatch = {.request = call->request,
                                  .server = call->server,
                                  .token = call->token,
                                  .outcome = call->is_disconnected
                                                 ? PS_OUTCOME_ORPHANED
                                                 : PS_OUTCOME_RUNNING,
                                  .age_ms = now_ms - call->dispatched_ms};
        g_array_append_val(out, dispatch);
    }
}

// Adds a pool's ended dispatches of requests with an id to an array. A new
// owner needs them to recognize retries. Reports which only say that the
// request was not sent, or that its caller has gone, are left out.
static void
add_ended(const ps_entry_t *entry, const ps_name_t *pool, GArray *out,
          int64_t now_ms)
{
    for (GList *l = entry->ended.head; l; l = l->next) {
        const ps_ended_dispatch_t *ended = l->data;
        ps_outcome_t outcome = ended->result.outcome;
        if (outcome == PS_OUTCOME_ORPHANED || outcome == PS_OUTCOME_NOT_SENT ||
            outcome == PS_OUTCOME_UNREACHABLE || PsName_IsEmpty(&ended->id) ||
            !PsName_IsEqual(&ended->pool, pool)) {
            continue;
        }
        ps_dispatch_t dispatch = {
            .request = {.ticket = ended->ticket,
                        .id = ended->id,
                        .idempotent = ended->is_idempotent},
            .server = ended->server,
            .token = ended->token,
            .outcome = outcome,
            .age_ms = now_ms - ended->ended_ms};
        g_array_append_val(out, dispatch);
    }
}

int
PsEntry_HandleRecoveryQuery(ps_entry_t *entry, const ps_name_t *pool,
                            uint64_t epoch, ps_dispatch_t **dispatches,
                            int64_t now_ms)
{
    *dispatches = NULL;
    if (epoch < PsEntry_GetEpoch(entry, pool)) {
        return -1;
    }
    raise_epoch(entry, pool, epoch);
    GArray *out = g_array_new(FALSE, TRUE, sizeof(ps_dispatch_t));
    add_ended(entry, pool, out, now_ms);
    add_running(entry, pool, out, now_ms);
    int n = (int)out->len;
    *dispatches = (ps_dispatch_t *)(void *)g_array_free(out, FALSE);
    return n;
}

ps_ran_t
PsEntry_GetRan(const ps_call_t *call)
{
    return PsName_IsEmpty(&call->request.id) ? PS_RAN_NO : PS_RAN_UNKNOWN;
}

void
PsEntry_Run(ps_entry_t *entry, int64_t now_ms)
{
    GList *calls = g_hash_table_get_values(entry->calls);
    for (GList *l = calls; l; l = l->next) {
        ps_call_t *call = l->data;
        if (call->state == PS_CALL_WAITING) {
            run_waiting(entry, call, now_ms);
        }
    }
    g_list_free(calls);
    run_ended(entry, now_ms);
}

uint64_t
PsEntry_GetEpoch(const ps_entry_t *entry, const ps_name_t *pool)
{
    const uint64_t *epoch = g_hash_table_lookup(entry->epochs, pool);
    return epoch ? *epoch : 0;
}
