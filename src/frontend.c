/* frontend.c - Checks callers' requests, matches rules and starts calls. */
#include "frontend.h"

#include <string.h>

#include "counters.h"
#include "daemon.h"
#include "caller_request.h"
#include "log.h"
#include "relay.h"
#include "wire.h"

#define BUSY_RETRY_MS 1000 /* Retry-After of a full or starting daemon */

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
status_of(const char *code)
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
    PsHttpRequest_PrepareResponse(request, status_of(code), "application/json",
                                  false);
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
refuse_bad(ps_http_request_t *request, const char *code, const char *message)
{
    PsFrontend_SendError(request, code, PS_RAN_NO, 0, message);
}

/* ---- Visits ----------------------------------------------------------- */

static ps_caller_exchange_t *
new_visit(ps_frontend_t *front, ps_http_request_t *request)
{
    ps_caller_exchange_t *visit = g_new0(ps_caller_exchange_t, 1);
    visit->daemon = front->daemon;
    visit->request = request;
    visit->call.user = visit;
    visit->link.data = visit;
    PsBuf_Init(&visit->answer);
    request->user = visit;
    g_queue_push_tail_link(&front->exchanges, &visit->link);
    return visit;
}

void
PsCallerExchange_Free(ps_caller_exchange_t *visit)
{
    if (visit->request) {
        visit->request->user = NULL;
    }
    if (ev_is_active(&visit->deadline_timer)) {
        ev_timer_stop(visit->daemon->loop, &visit->deadline_timer);
    }
    if (visit->transfer.easy) {
        PsTransfer_Finish(&visit->transfer);
    }
    PsBuf_Finish(&visit->answer);
    g_queue_unlink(&visit->daemon->frontend.exchanges, &visit->link);
    g_free(visit);
}

/* ---- Rules ------------------------------------------------------------ */

static bool
is_idempotent_method(const ps_name_t *method)
{
    return PsName_IsEqualC(method, "GET") || PsName_IsEqualC(method, "HEAD");
}

static ps_rule_input_t
describe(const ps_caller_exchange_t *visit, int tier)
{
    const ps_http_request_t *request = visit->request;
    ps_rule_input_t seen = {.model = visit->call.ask.model,
                            .path = PsHttpRequest_GetPath(request),
                            .method = request->method,
                            .team = visit->call.ask.team,
                            .tier = tier,
                            .prompt_tokens = visit->call.ask.prompt_tokens,
                            .idempotent =
                                visit->is_model_request ||
                                is_idempotent_method(&request->method)};
    return seen;
}

static void
apply_rule(ps_caller_exchange_t *visit, const ps_rule_t *rule,
           const ps_rule_input_t *seen, int64_t deadline_ms, int64_t now_ms)
{
    const ps_config_t *config = &visit->daemon->cluster.config;
    const ps_action_t *action = &rule->action;
    ps_grant_request_t *ask = &visit->call.ask;
    int tier = action->tier >= 0 ? action->tier : seen->tier;
    ask->tier = MIN(tier, config->n_tiers - 1);
    const ps_tier_config_t *defaults = &config->tiers[ask->tier];
    int64_t first = action->first_token_ms > 0 ? action->first_token_ms
                                               : defaults->first_token_ms;
    if (deadline_ms == 0) {
        deadline_ms = action->deadline_ms > 0 ? action->deadline_ms
                                              : defaults->deadline_ms;
    }
    ask->deadline_ms = now_ms + deadline_ms;
    ask->first_token_ms = first > 0 ? now_ms + first : 0;
    ask->rule = rule->name;
    ask->idempotent =
        action->idempotent >= 0 ? action->idempotent : seen->idempotent;
    visit->call.pool = action->pool;
}

// Refuses what a rule forbids; returns whether it did.
static bool
refuse_by_rule(ps_caller_exchange_t *visit, const ps_rule_t *rule)
{
    const ps_grant_request_t *ask = &visit->call.ask;
    if (!rule) {
        refuse_bad(visit->request,
                   visit->is_model_request ? "unknown_model" : "no_rule",
                   "no rule matches the request");
        return true;
    }
    const ps_action_t *action = &rule->action;
    if (!PsName_IsEmpty(&action->refuse)) {
        refuse_bad(visit->request, "refused_by_rule", action->refuse.data);
        return true;
    }
    if ((action->max_prompt_tokens > 0 &&
         ask->prompt_tokens > action->max_prompt_tokens) ||
        (action->max_tokens > 0 && ask->max_tokens > action->max_tokens)) {
        refuse_bad(visit->request, "too_many_tokens",
                   "the rule's limit of tokens is exceeded");
        return true;
    }
    return false;
}

/* ---- Admission -------------------------------------------------------- */

// Finds the newest open call of the lowest tier below @tier in a state.
static ps_caller_exchange_t *
find_lower(const ps_frontend_t *front, int tier, ps_call_state_t state)
{
    ps_caller_exchange_t *found = NULL;
    for (GList *l = front->exchanges.tail; l; l = l->prev) {
        ps_caller_exchange_t *visit = l->data;
        const ps_grant_request_t *ask = &visit->call.ask;
        if (visit->call.state != state || PsName_IsEmpty(&ask->ticket) ||
            ask->tier <= tier || !visit->request ||
            (state == PS_CALL_DISPATCHED &&
             (!ask->idempotent || !visit->is_model_request))) {
            continue;
        }
        if (!found || ask->tier > found->call.ask.tier) {
            found = visit;
        }
    }
    return found;
}

// Makes room at a full entry: a lower tier gives way, waiting calls first.
static bool
make_room(ps_frontend_t *front, int tier)
{
    ps_caller_exchange_t *lower = find_lower(front, tier, PS_CALL_WAITING);
    if (lower) {
        ps_http_request_t *request = lower->request;
        ps_ran_t ran = PsEntry_GetRan(&lower->call);
        PsEntry_HandleDisconnect(&front->daemon->entry, &lower->call,
                                 PsDaemon_Now());
        PsFrontend_SendError(request, "entry_full", ran, BUSY_RETRY_MS,
                             "this entry is full");
        PsCallerExchange_Free(lower);
        return true;
    }
    lower = find_lower(front, tier, PS_CALL_DISPATCHED);
    if (lower) {
        PsRelay_Cancel(lower, "preempted", "this entry is full");
        return true;
    }
    return false;
}

static bool
has_room(ps_frontend_t *front, const ps_caller_exchange_t *visit)
{
    int64_t limit = front->daemon->settings.max_open_requests;
    if ((int64_t)front->exchanges.length <= limit) {
        return true;
    }
    return make_room(front, visit->call.ask.tier);
}

static void
start_call(ps_caller_exchange_t *visit, int64_t now_ms)
{
    ps_daemon_t *daemon = visit->daemon;
    PsEntry_Accept(&daemon->entry, &visit->call, now_ms);
    PsLog_Info("route",
               "Routed %s by rule %s to pool %s: team %s, tier %d, "
               "%u prompt tokens, id %s.",
               visit->call.ask.ticket.data, visit->call.ask.rule.data,
               visit->call.pool.data, visit->call.ask.team.data,
               visit->call.ask.tier, visit->call.ask.prompt_tokens,
               PsName_IsEmpty(&visit->call.ask.id) ? "-"
                                                   : visit->call.ask.id.data);
}

// Checks a request and starts its call; false when it has been refused.
static bool
admit(ps_frontend_t *front, ps_caller_exchange_t *visit)
{
    int64_t now_ms = PsDaemon_Now();
    ps_http_request_t *request = visit->request;
    int64_t tier = front->daemon->cluster.config.n_tiers - 1;
    int64_t deadline_ms = 0;
    const char *fault = PsCallerRequest_Parse(visit, &tier, &deadline_ms);
    if (fault) {
        refuse_bad(request, "bad_request", fault);
        return false;
    }
    ps_rule_input_t seen = describe(visit, (int)tier);
    const ps_rule_t *rule =
        PsRules_Match(&front->daemon->cluster.config.rules, &seen);
    if (refuse_by_rule(visit, rule)) {
        return false;
    }
    apply_rule(visit, rule, &seen, deadline_ms, now_ms);
    if (!has_room(front, visit)) {
        PsFrontend_SendError(request, "entry_full",
                             PsEntry_GetRan(&visit->call), BUSY_RETRY_MS,
                             "this entry is full");
        return false;
    }
    start_call(visit, now_ms);
    return true;
}

/* ---- Entries ---------------------------------------------------------- */

static void
add_entry(const ps_member_t *member, json_t *list)
{
    json_array_append_new(list, json_pack("{s:s, s:s}", "address",
                                          member->caller_address.data,
                                          "domain", member->domain.data));
}

static void
add_entries(const ps_daemon_t *daemon, const char *domain, bool in_domain,
            json_t *list)
{
    const GArray *all = daemon->membership.members.all;
    guint first = all->len > 0 ? g_random_int() % all->len : 0;
    for (guint i = 0; i < all->len; i++) {
        const ps_member_t *member =
            &g_array_index(all, ps_member_t, (first + i) % all->len);
        bool is_near = PsName_IsEqualC(&member->domain, domain);
        if (is_near != in_domain || member->is_leaving ||
            !PsMembers_IsLive(&daemon->membership.members, member)) {
            continue;
        }
        add_entry(member, list);
    }
}

static void
send_entries(ps_frontend_t *front, ps_http_request_t *request)
{
    const ps_daemon_t *daemon = front->daemon;
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

/* ---- Events of the server --------------------------------------------- */

// A request with an id may have run through another entry.
static ps_ran_t
ran_before(const ps_http_request_t *request)
{
    return PsHttpRequest_GetHeader(request, "Idempotency-Key") ? PS_RAN_UNKNOWN
                                                               : PS_RAN_NO;
}

static void
take_call(ps_frontend_t *front, ps_http_request_t *request)
{
    ps_daemon_t *daemon = front->daemon;
    requests_total.value++;
    if (request->is_too_large) {
        refuse_bad(request, "too_large", "the body is too large");
    }
    else if (PsDaemon_RefusesRequests(daemon)) {
        PsFrontend_SendError(request, "draining", ran_before(request),
                             BUSY_RETRY_MS,
                             "this entry is leaving; ask for /v1/entries");
    }
    else if (daemon->cluster.config.version == 0) {
        PsFrontend_SendError(request, "starting", ran_before(request),
                             BUSY_RETRY_MS,
                             "this entry has no configuration yet");
    }
    else {
        ps_caller_exchange_t *visit = new_visit(front, request);
        if (!admit(front, visit)) {
            PsCallerExchange_Free(visit);
        }
    }
}

static void
on_request(ps_http_server_t *server, ps_http_request_t *request)
{
    ps_frontend_t *front = server->user;
    bool is_get = PsName_IsEqualC(&request->method, "GET");
    ps_name_t path = PsHttpRequest_GetPath(request);
    if (is_get && PsName_IsEqualC(&path, "/v1/entries")) {
        send_entries(front, request);
    }
    else if (is_get && PsName_IsEqualC(&path, "/healthz")) {
        PsHttpRequest_PrepareResponse(request, 200, "text/plain", false);
        PsHttpRequest_SendResponse(request, PsStr_FromC("ok\n"));
    }
    else {
        take_call(front, request);
    }
}

static void
on_closed(ps_http_server_t *server, ps_http_request_t *request)
{
    ps_frontend_t *front = server->user;
    ps_caller_exchange_t *visit = request->user;
    if (!visit) {
        return;
    }
    visit->request = NULL;
    PsLog_Info("route", "The caller of %s has left.",
               visit->call.ask.ticket.data);
    if (PsEntry_HandleDisconnect(&front->daemon->entry, &visit->call,
                                 PsDaemon_Now())) {
        PsCallerExchange_Free(visit);
    }
}

static const ps_http_server_events_t server_events = {on_request, on_closed};

/* ---- Events of the entry ---------------------------------------------- */

static const ps_name_t *
owner_of(const ps_daemon_t *daemon, const ps_name_t *pool)
{
    const ps_owner_record_t *owner =
        PsClusterState_GetOwner(&daemon->cluster, pool);
    return owner ? &owner->owner : NULL;
}

static void
on_ask(ps_entry_t *entry, const ps_call_t *call)
{
    ps_daemon_t *daemon = entry->user;
    const ps_name_t *owner = owner_of(daemon, &call->pool);
    if (owner) {
        PsWire_SendAsk(&daemon->peers, owner, call, PsDaemon_Now());
    }
}

static void
on_done_report(ps_entry_t *entry, const ps_ended_dispatch_t *ended)
{
    ps_daemon_t *daemon = entry->user;
    const ps_name_t *owner = owner_of(daemon, &ended->pool);
    if (owner) {
        PsWire_SendDone(&daemon->peers, owner, ended);
    }
}

static void
on_withdraw(ps_entry_t *entry, const ps_call_t *call)
{
    ps_daemon_t *daemon = entry->user;
    const ps_name_t *owner = owner_of(daemon, &call->pool);
    if (owner) {
        PsWire_SendWithdraw(&daemon->peers, owner, call);
    }
}

static void
on_dispatch(ps_entry_t *entry, ps_call_t *call, const char *reason)
{
    (void)entry;
    PsLog_Info("route", "Dispatches %s to %s as %s: %s.",
               call->ask.ticket.data, call->server.data, call->token.data,
               reason);
    PsRelay_Start(call->user, PsDaemon_Now());
}

static void
on_finish(ps_entry_t *entry, ps_call_t *call, const ps_refusal_t *refusal,
          const char *reason)
{
    (void)entry;
    ps_caller_exchange_t *visit = call->user;
    PsLog_Info("route", "Refused %s: %s, ran %s, %s.", call->ask.ticket.data,
               refusal->code, PsRan_Name(refusal->ran), reason);
    if (visit->request) {
        PsFrontend_SendError(visit->request, refusal->code, refusal->ran,
                             refusal->retry_after_ms, reason);
    }
    PsCallerExchange_Free(visit);
}

static void
on_cancel(ps_entry_t *entry, ps_call_t *call, const char *reason)
{
    (void)entry;
    ps_caller_exchange_t *visit = call->user;
    PsRelay_Cancel(visit, "preempted", reason);
}

static const ps_entry_events_t entry_events = {
    on_ask, on_done_report, on_withdraw, on_dispatch, on_finish, on_cancel};

const ps_entry_events_t *
PsFrontend_GetEntryEvents(void)
{
    return &entry_events;
}

/* ---- Progress --------------------------------------------------------- */

static bool
has_news(const ps_caller_exchange_t *visit, const ps_name_t *pool)
{
    const ps_call_t *call = &visit->call;
    return call->state == PS_CALL_DISPATCHED &&
           call->tokens > call->reported_tokens &&
           PsName_IsEqual(&call->pool, pool);
}

static void
send_progress(ps_frontend_t *front, const ps_owner_record_t *owner)
{
    GPtrArray *items = g_ptr_array_new_with_free_func(g_free);
    for (GList *l = front->exchanges.head; l; l = l->next) {
        ps_caller_exchange_t *visit = l->data;
        if (!has_news(visit, &owner->pool)) {
            continue;
        }
        Ps__StreamProgress *item = g_new0(Ps__StreamProgress, 1);
        ps__stream_progress__init(item);
        item->ticket = visit->call.ask.ticket.data;
        item->tokens = visit->call.tokens;
        visit->call.reported_tokens = visit->call.tokens;
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
        PsPeers_Send(&front->daemon->peers, &owner->owner, &frame);
    }
    g_ptr_array_free(items, TRUE);
}

void
PsFrontend_SendProgress(ps_frontend_t *front)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, front->daemon->cluster.owners);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        send_progress(front, value);
    }
}

/* ---- Public functions ------------------------------------------------- */

ps_status_t
PsFrontend_Init(ps_frontend_t *front, ps_daemon_t *daemon)
{
    *front = (ps_frontend_t){.daemon = daemon};
    g_queue_init(&front->exchanges);
    PsCounter_Register(&requests_total);
    PsCounter_Register(&errors_total);
    return PsHttpServer_Init(&front->server, &server_events, front,
                             daemon->loop, &daemon->settings.caller_address,
                             (size_t)daemon->settings.body_bytes);
}

void
PsFrontend_Finish(ps_frontend_t *front)
{
    GList *next;
    for (GList *l = front->exchanges.head; l; l = next) {
        next = l->next;
        ps_caller_exchange_t *visit = l->data;
        if (visit->is_transferring) {
            PsTransfer_Cancel(&front->daemon->client, &visit->transfer);
        }
        PsCallerExchange_Free(visit);
    }
    PsHttpServer_Finish(&front->server);
}
