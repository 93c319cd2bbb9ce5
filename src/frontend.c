/* frontend.c - Matches callers' requests to rules and starts calls. */
#include "frontend.h"

#include <string.h>

#include "caller_request.h"
#include "counters.h"
#include "daemon.h"
#include "log.h"
#include "relay.h"
#include "wire.h"

// Retry-After of a refusal because this daemon is full, starts or shuts down.
#define BUSY_RETRY_MS 1000

/* ---- Types ------------------------------------------------------------ */

typedef struct code_status {
    const char *code;
    unsigned int status;
} code_status_t;

/* ---- Globals ---------------------------------------------------------- */

static const code_status_t code_table[] = {
    {"bad_request", 400},        {"too_large", 413},
    {"refused_by_rule", 403},    {"no_rule", 404},
    {"unknown_model", 404},      {"too_many_tokens", 413},
    {"in_progress", 409},        {"already_done", 409},
    {"outcome_unknown", 409},    {"crashes_servers", 422},
    {"server_failed", 502},      {"wrong_answer", 502},
    {"deadline", 504},           {"capacity", 503},
    {"preempted", 503},          {"no_owner", 503},
    {"ledger_unavailable", 503}, {"draining", 503},
    {"starting", 503},           {"entry_full", 503},
};

static ps_counter_t requests_total = {"pearstair_requests_total",
                                      "Requests of callers.", NULL, 0, NULL};
static ps_counter_t errors_total = {"pearstair_errors_total",
                                    "Error answers given to callers.", NULL, 0,
                                    NULL};

/* ---- Error answers ---------------------------------------------------- */

static unsigned int
get_status(const char *code)
{
    for (size_t i = 0; i < G_N_ELEMENTS(code_table); i++) {
        if (strcmp(code_table[i].code, code) == 0) {
            return code_table[i].status;
        }
    }
    return 500;
}

void
PsFrontend_SendError(ps_http_request_t *request, const char *code,
                     ps_ran_t ran, int64_t retry_after_ms, const char *message)
{
    errors_total.value++;
    json_t *root = json_pack("{s:{s:s, s:s, s:s}}", "error", "code", code,
                             "message", message, "ran", PsRan_Name(ran));
    if (retry_after_ms > 0) {
        json_object_set_new(json_object_get(root, "error"), "retry_after_ms",
                            json_integer(retry_after_ms));
    }
    char *text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    PsHttpRequest_PrepareResponse(request, get_status(code),
                                  "application/json", false);
    if (retry_after_ms > 0) {
        char seconds[24];
        g_snprintf(seconds, sizeof seconds, "%lld",
                   (long long)((retry_after_ms + 999) / 1000));
        PsHttpRequest_AddResponseHeader(request, "Retry-After", seconds);
    }
    PsHttpRequest_SendResponse(request, PsStr_FromC(text));
    free(text);
}

static void
send_request_error(ps_http_request_t *request, const char *code,
                   const char *message)
{
    PsFrontend_SendError(request, code, PS_RAN_NO, 0, message);
}

/* ---- Exchanges -------------------------------------------------------- */

static ps_caller_exchange_t *
new_exchange(ps_frontend_t *frontend, ps_http_request_t *request)
{
    ps_caller_exchange_t *exchange = g_new0(ps_caller_exchange_t, 1);
    exchange->daemon = frontend->daemon;
    exchange->request = request;
    exchange->call.user = exchange;
    exchange->link.data = exchange;
    PsBuf_Init(&exchange->answer);
    request->user = exchange;
    g_queue_push_tail_link(&frontend->exchanges, &exchange->link);
    return exchange;
}

void
PsCallerExchange_Free(ps_caller_exchange_t *exchange)
{
    if (exchange->request) {
        exchange->request->user = NULL;
    }
    if (ev_is_active(&exchange->deadline_timer)) {
        ev_timer_stop(exchange->daemon->loop, &exchange->deadline_timer);
    }
    if (exchange->transfer.easy) {
        PsTransfer_Finish(&exchange->transfer);
    }
    PsBuf_Finish(&exchange->answer);
    g_queue_unlink(&exchange->daemon->frontend.exchanges, &exchange->link);
    g_free(exchange);
}

/* ---- Rules ------------------------------------------------------------ */

static bool
is_idempotent_method(const ps_name_t *method)
{
    return PsName_IsEqualC(method, "GET") || PsName_IsEqualC(method, "HEAD");
}

static ps_rule_input_t
make_rule_input(const ps_caller_exchange_t *exchange, int tier)
{
    const ps_http_request_t *request = exchange->request;
    ps_rule_input_t rule_input = {
        .model = exchange->call.request.model,
        .path = PsHttpRequest_GetPath(request),
        .method = request->method,
        .team = exchange->call.request.team,
        .tier = tier,
        .prompt_tokens = exchange->call.request.prompt_tokens,
        .idempotent = exchange->is_model_request ||
                      is_idempotent_method(&request->method)};
    return rule_input;
}

// Sets a request's tier, deadlines and pool. The rule's tier ranks before the
// caller's; the caller's deadline ranks before the rule's, and that before the
// tier's default.
// @deadline_ms: time that the caller allows; 0: not given
static void
apply_rule(ps_caller_exchange_t *exchange, const ps_rule_t *rule,
           const ps_rule_input_t *rule_input, int64_t deadline_ms,
           int64_t now_ms)
{
    const ps_config_t *config = &exchange->daemon->cluster.config;
    const ps_action_t *action = &rule->action;
    ps_grant_request_t *grant_request = &exchange->call.request;
    int tier = action->tier >= 0 ? action->tier : rule_input->tier;
    grant_request->tier = MIN(tier, config->n_tiers - 1);
    const ps_tier_config_t *defaults = &config->tiers[grant_request->tier];
    int64_t first_token_ms = action->first_token_ms > 0
                                 ? action->first_token_ms
                                 : defaults->first_token_ms;
    if (deadline_ms == 0) {
        deadline_ms = action->deadline_ms > 0 ? action->deadline_ms
                                              : defaults->deadline_ms;
    }
    grant_request->deadline_ms = now_ms + deadline_ms;
    grant_request->first_token_ms =
        first_token_ms > 0 ? now_ms + first_token_ms : 0;
    grant_request->rule = rule->name;
    grant_request->idempotent =
        action->idempotent >= 0 ? action->idempotent : rule_input->idempotent;
    exchange->call.pool = action->pool;
}

// Refuses a request that no rule matches, or that its rule refuses or limits.
// Returns whether it was refused.
static bool
refuse_by_rule(ps_caller_exchange_t *exchange, const ps_rule_t *rule)
{
    const ps_grant_request_t *grant_request = &exchange->call.request;
    if (!rule) {
        send_request_error(exchange->request,
                           exchange->is_model_request ? "unknown_model"
                                                      : "no_rule",
                           "no rule matches the request");
        return true;
    }
    const ps_action_t *action = &rule->action;
    if (!PsName_IsEmpty(&action->refuse)) {
        send_request_error(exchange->request, "refused_by_rule",
                           action->refuse.data);
        return true;
    }
    if ((action->max_prompt_tokens > 0 &&
         grant_request->prompt_tokens > action->max_prompt_tokens) ||
        (action->max_tokens > 0 &&
         grant_request->max_tokens > action->max_tokens)) {
        send_request_error(exchange->request, "too_many_tokens",
                           "the rule's limit of tokens is exceeded");
        return true;
    }
    return false;
}

/* ---- Admission -------------------------------------------------------- */

// Finds the newest exchange whose call is in a state, among those of the
// lowest tier below @tier (tier 0 is the highest). Of the dispatched calls
// only idempotent model requests are considered, since only these may be
// cancelled.
static ps_caller_exchange_t *
find_lower_tier_exchange(const ps_frontend_t *frontend, int tier,
                         ps_call_state_t state)
{
    ps_caller_exchange_t *found = NULL;
    for (GList *l = frontend->exchanges.tail; l; l = l->prev) {
        ps_caller_exchange_t *exchange = l->data;
        const ps_grant_request_t *grant_request = &exchange->call.request;
        if (exchange->call.state != state ||
            PsName_IsEmpty(&grant_request->ticket) ||
            grant_request->tier <= tier || !exchange->request ||
            (state == PS_CALL_DISPATCHED &&
             (!grant_request->idempotent || !exchange->is_model_request))) {
            continue;
        }
        if (!found || grant_request->tier > found->call.request.tier) {
            found = exchange;
        }
    }
    return found;
}

// Makes room at a full entry for a request of @tier: refuses a waiting call of
// a lower tier or, if there is none, cancels a dispatched one. Returns false
// if there is neither.
static bool
make_room(ps_frontend_t *frontend, int tier)
{
    ps_caller_exchange_t *lower =
        find_lower_tier_exchange(frontend, tier, PS_CALL_WAITING);
    if (lower) {
        ps_http_request_t *request = lower->request;
        ps_ran_t ran = PsEntry_GetRan(&lower->call);
        PsEntry_HandleDisconnect(&frontend->daemon->entry, &lower->call,
                                 PsDaemon_GetMonotonicMs());
        PsFrontend_SendError(request, "entry_full", ran, BUSY_RETRY_MS,
                             "this entry is full");
        PsCallerExchange_Free(lower);
        return true;
    }
    lower = find_lower_tier_exchange(frontend, tier, PS_CALL_DISPATCHED);
    if (lower) {
        PsRelay_Cancel(lower, "preempted", "this entry is full");
        return true;
    }
    return false;
}

static bool
ensure_room(ps_frontend_t *frontend, const ps_caller_exchange_t *exchange)
{
    int64_t limit = frontend->daemon->settings.max_open_requests;
    if ((int64_t)frontend->exchanges.length <= limit) {
        return true;
    }
    return make_room(frontend, exchange->call.request.tier);
}

static void
start_call(ps_caller_exchange_t *exchange, int64_t now_ms)
{
    ps_daemon_t *daemon = exchange->daemon;
    PsEntry_Accept(&daemon->entry, &exchange->call, now_ms);
    PsLog_Info("route",
               "Routed %s by rule %s to pool %s: team %s, tier %d, "
               "%u prompt tokens, id %s.",
               exchange->call.request.ticket.data,
               exchange->call.request.rule.data, exchange->call.pool.data,
               exchange->call.request.team.data, exchange->call.request.tier,
               exchange->call.request.prompt_tokens,
               PsName_IsEmpty(&exchange->call.request.id)
                   ? "-"
                   : exchange->call.request.id.data);
}

// Checks a request and starts its call, or refuses it and returns false.
static bool
admit(ps_frontend_t *frontend, ps_caller_exchange_t *exchange)
{
    int64_t now_ms = PsDaemon_GetMonotonicMs();
    ps_http_request_t *request = exchange->request;
    int64_t tier = frontend->daemon->cluster.config.n_tiers - 1;
    int64_t deadline_ms = 0;
    const char *message = PsCallerRequest_Parse(exchange, &tier, &deadline_ms);
    if (message) {
        send_request_error(request, "bad_request", message);
        return false;
    }
    ps_rule_input_t rule_input = make_rule_input(exchange, (int)tier);
    const ps_rule_t *rule =
        PsRules_Match(&frontend->daemon->cluster.config.rules, &rule_input);
    if (refuse_by_rule(exchange, rule)) {
        return false;
    }
    apply_rule(exchange, rule, &rule_input, deadline_ms, now_ms);
    if (!ensure_room(frontend, exchange)) {
        PsFrontend_SendError(request, "entry_full",
                             PsEntry_GetRan(&exchange->call), BUSY_RETRY_MS,
                             "this entry is full");
        return false;
    }
    start_call(exchange, now_ms);
    return true;
}

/* ---- List of entries -------------------------------------------------- */

static void
add_entry(const ps_member_t *member, json_t *list)
{
    json_array_append_new(list, json_pack("{s:s, s:s}", "address",
                                          member->caller_address.data,
                                          "domain", member->domain.data));
}

// Adds the live members inside, or those outside, a failure domain, from a
// random start on, so that callers spread over them.
static void
add_entries(const ps_daemon_t *daemon, const char *domain, bool same_domain,
            json_t *list)
{
    const GArray *all = daemon->membership.members.all;
    guint start = all->len > 0 ? g_random_int() % all->len : 0;
    for (guint i = 0; i < all->len; i++) {
        const ps_member_t *member =
            &g_array_index(all, ps_member_t, (start + i) % all->len);
        bool is_same_domain = PsName_IsEqualC(&member->domain, domain);
        if (is_same_domain != same_domain || member->is_leaving ||
            !PsMembers_IsLive(&daemon->membership.members, member)) {
            continue;
        }
        add_entry(member, list);
    }
}

// Sends the list of entries; those of the caller's failure domain come first.
static void
send_entries(ps_frontend_t *frontend, ps_http_request_t *request)
{
    const ps_daemon_t *daemon = frontend->daemon;
    const char *domain = PsHttpRequest_GetQuery(request, "domain");
    if (!domain) {
        domain = daemon->settings.domain.data;
    }
    json_t *list = json_array();
    add_entries(daemon, domain, true, list);
    add_entries(daemon, domain, false, list);
    if (json_array_size(list) == 0 && !daemon->is_shutting_down) {
        add_entry(&daemon->membership.self, list);
    }
    json_t *root = json_pack("{s:o, s:I}", "entries", list, "keep_ms",
                             (json_int_t)daemon->settings.entries_ttl_ms);
    char *text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    PsHttpRequest_PrepareResponse(request, 200, "application/json", false);
    PsHttpRequest_SendResponse(request, PsStr_FromC(text));
    free(text);
}

/* ---- HTTP server events ----------------------------------------------- */

// Tells whether a request that starts no call here may have run: one with an
// Idempotency-Key may have run through another entry.
static ps_ran_t
get_ran(const ps_http_request_t *request)
{
    return PsHttpRequest_GetHeader(request, "Idempotency-Key") ? PS_RAN_UNKNOWN
                                                               : PS_RAN_NO;
}

static void
handle_call(ps_frontend_t *frontend, ps_http_request_t *request)
{
    ps_daemon_t *daemon = frontend->daemon;
    requests_total.value++;
    if (request->is_too_large) {
        send_request_error(request, "too_large", "the body is too large");
    }
    else if (PsDaemon_RefusesRequests(daemon)) {
        PsFrontend_SendError(request, "draining", get_ran(request),
                             BUSY_RETRY_MS,
                             "this entry is leaving; ask for /v1/entries");
    }
    else if (daemon->cluster.config.version == 0) {
        PsFrontend_SendError(request, "starting", get_ran(request),
                             BUSY_RETRY_MS,
                             "this entry has no configuration yet");
    }
    else {
        ps_caller_exchange_t *exchange = new_exchange(frontend, request);
        if (!admit(frontend, exchange)) {
            PsCallerExchange_Free(exchange);
        }
    }
}

static void
on_request(ps_http_server_t *server, ps_http_request_t *request)
{
    ps_frontend_t *frontend = server->user;
    bool is_get = PsName_IsEqualC(&request->method, "GET");
    ps_name_t path = PsHttpRequest_GetPath(request);
    if (is_get && PsName_IsEqualC(&path, "/v1/entries")) {
        send_entries(frontend, request);
    }
    else if (is_get && PsName_IsEqualC(&path, "/healthz")) {
        PsHttpRequest_PrepareResponse(request, 200, "text/plain", false);
        PsHttpRequest_SendResponse(request, PsStr_FromC("ok\n"));
    }
    else {
        handle_call(frontend, request);
    }
}

static void
on_closed(ps_http_server_t *server, ps_http_request_t *request)
{
    ps_frontend_t *frontend = server->user;
    ps_caller_exchange_t *exchange = request->user;
    if (!exchange) {
        return;
    }
    exchange->request = NULL;
    // What the server still sends is read for its events only.
    if (exchange->is_transferring && exchange->transfer.is_paused) {
        PsTransfer_SetPaused(&exchange->transfer, false);
    }
    PsLog_Info("route", "The caller of %s has disconnected.",
               exchange->call.request.ticket.data);
    if (PsEntry_HandleDisconnect(&frontend->daemon->entry, &exchange->call,
                                 PsDaemon_GetMonotonicMs())) {
        PsCallerExchange_Free(exchange);
    }
}

static const ps_http_server_events_t server_events = {on_request, on_closed};

/* ---- Entry events ----------------------------------------------------- */

static const ps_name_t *
find_owner(const ps_daemon_t *daemon, const ps_name_t *pool)
{
    const ps_owner_record_t *owner =
        PsClusterState_FindOwner(&daemon->cluster, pool);
    return owner ? &owner->owner : NULL;
}

static void
on_request_grant(ps_entry_t *entry, const ps_call_t *call)
{
    ps_daemon_t *daemon = entry->user;
    const ps_name_t *owner = find_owner(daemon, &call->pool);
    if (owner) {
        PsWire_SendAsk(&daemon->peers, owner, call, PsDaemon_GetMonotonicMs());
    }
}

static void
on_report_result(ps_entry_t *entry, const ps_ended_dispatch_t *ended)
{
    ps_daemon_t *daemon = entry->user;
    const ps_name_t *owner = find_owner(daemon, &ended->pool);
    if (owner) {
        PsWire_SendDone(&daemon->peers, owner, ended);
    }
}

static void
on_withdraw(ps_entry_t *entry, const ps_call_t *call)
{
    ps_daemon_t *daemon = entry->user;
    const ps_name_t *owner = find_owner(daemon, &call->pool);
    if (owner) {
        PsWire_SendWithdraw(&daemon->peers, owner, call);
    }
}

static void
on_dispatch(ps_entry_t *entry, ps_call_t *call, const char *reason)
{
    (void)entry;
    PsLog_Info("route", "Dispatches %s to %s as %s: %s.",
               call->request.ticket.data, call->server.data, call->token.data,
               reason);
    PsRelay_Start(call->user, PsDaemon_GetMonotonicMs());
}

static void
on_refuse(ps_entry_t *entry, ps_call_t *call, const ps_refusal_t *refusal,
          const char *reason)
{
    (void)entry;
    ps_caller_exchange_t *exchange = call->user;
    PsLog_Info("route", "Refused %s: code %s, ran %s, reason: %s.",
               call->request.ticket.data, refusal->code,
               PsRan_Name(refusal->ran), reason);
    if (exchange->request) {
        PsFrontend_SendError(exchange->request, refusal->code, refusal->ran,
                             refusal->retry_after_ms, reason);
    }
    PsCallerExchange_Free(exchange);
}

static void
on_cancel(ps_entry_t *entry, ps_call_t *call, const char *reason)
{
    (void)entry;
    ps_caller_exchange_t *exchange = call->user;
    PsRelay_Cancel(exchange, "preempted", reason);
}

static const ps_entry_events_t entry_events = {
    on_request_grant, on_report_result, on_withdraw,
    on_dispatch,      on_refuse,        on_cancel};

const ps_entry_events_t *
PsFrontend_GetEntryEvents(void)
{
    return &entry_events;
}

/* ---- Progress --------------------------------------------------------- */

static bool
has_progress(const ps_caller_exchange_t *exchange, const ps_name_t *pool)
{
    const ps_call_t *call = &exchange->call;
    return call->state == PS_CALL_DISPATCHED &&
           call->tokens > call->reported_tokens &&
           PsName_IsEqual(&call->pool, pool);
}

static void
send_progress(ps_frontend_t *frontend, const ps_owner_record_t *owner)
{
    GPtrArray *items = g_ptr_array_new_with_free_func(g_free);
    for (GList *l = frontend->exchanges.head; l; l = l->next) {
        ps_caller_exchange_t *exchange = l->data;
        if (!has_progress(exchange, &owner->pool)) {
            continue;
        }
        Ps__StreamProgress *item = g_new0(Ps__StreamProgress, 1);
        ps__stream_progress__init(item);
        item->ticket = exchange->call.request.ticket.data;
        item->tokens = exchange->call.tokens;
        exchange->call.reported_tokens = exchange->call.tokens;
        g_ptr_array_add(items, item);
    }
    if (items->len > 0) {
        Ps__Progress progress = PS__PROGRESS__INIT;
        progress.pool = (char *)(uintptr_t)owner->pool.data;
        progress.n_streams = items->len;
        progress.streams = (Ps__StreamProgress **)items->pdata;
        Ps__Frame frame = PS__FRAME__INIT;
        frame.body_case = PS__FRAME__BODY_PROGRESS;
        frame.progress = &progress;
        PsPeers_Send(&frontend->daemon->peers, &owner->owner, &frame);
    }
    g_ptr_array_free(items, TRUE);
}

void
PsFrontend_SendProgress(ps_frontend_t *frontend)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, frontend->daemon->cluster.owners);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        send_progress(frontend, value);
    }
}

/* ---- Public functions ------------------------------------------------- */

ps_status_t
PsFrontend_Init(ps_frontend_t *frontend, ps_daemon_t *daemon)
{
    *frontend = (ps_frontend_t){.daemon = daemon};
    g_queue_init(&frontend->exchanges);
    PsCounter_Register(&requests_total);
    PsCounter_Register(&errors_total);
    return PsHttpServer_Init(&frontend->server, &server_events, frontend,
                             daemon->loop, &daemon->settings.caller_address,
                             (size_t)daemon->settings.max_body_bytes);
}

void
PsFrontend_Finish(ps_frontend_t *frontend)
{
    GList *next;
    for (GList *l = frontend->exchanges.head; l; l = next) {
        next = l->next;
        ps_caller_exchange_t *exchange = l->data;
        if (exchange->is_transferring) {
            PsTransfer_Cancel(&frontend->daemon->http_client,
                              &exchange->transfer);
        }
        PsCallerExchange_Free(exchange);
    }
    PsHttpServer_Finish(&frontend->server);
}
