/* admin.c - Handles operators' requests. */
#include "admin.h"

#include <stdlib.h>
#include <string.h>

#include "config_edit.h"
#include "counters.h"
#include "daemon.h"
#include "log.h"

// Largest value that the platform takes.
#define CONFIG_BYTES_MAX (1024 * 1024)

#define BACKENDS_PATH "/v1/backends/"

/* ---- Types ------------------------------------------------------------ */

typedef struct admin_route {
    const char *method;
    const char *path;
    bool is_prefix; /* @path matches all paths that begin with it */
    bool is_public; /* no bearer token is needed */
    void (*handle)(ps_daemon_t *daemon, ps_http_request_t *request);
} admin_route_t;

/* ---- Answers ---------------------------------------------------------- */

static void
send_json(ps_http_request_t *request, unsigned int status, json_t *root)
{
    char *text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    PsHttpRequest_PrepareResponse(request, status, "application/json", false);
    PsHttpRequest_SendResponse(request, PsStr_FromC(text));
    free(text);
}

static void
send_error(ps_http_request_t *request, unsigned int status, const char *code,
           const char *message)
{
    send_json(request, status,
              json_pack("{s:{s:s, s:s}}", "error", "code", code, "message",
                        message));
}

/* ---- Reads ------------------------------------------------------------ */

static void
handle_health(ps_daemon_t *daemon, ps_http_request_t *request)
{
    bool is_ready = daemon->cluster.config.version > 0;
    PsHttpRequest_PrepareResponse(request, is_ready ? 200 : 503, "text/plain",
                                  false);
    PsHttpRequest_SendResponse(request,
                               PsStr_FromC(is_ready ? "ok\n" : "starting\n"));
}

static void
handle_metrics(ps_daemon_t *daemon, ps_http_request_t *request)
{
    ps_buf_t out;
    PsBuf_Init(&out);
    PsCounter_Print(&out);
    PsBuf_AppendFormat(&out, "pearstair_platform_reads_total %llu\n",
                       (unsigned long long)daemon->platform.reads);
    PsBuf_AppendFormat(&out, "pearstair_platform_writes_total %llu\n",
                       (unsigned long long)daemon->platform.writes);
    PsBuf_AppendFormat(&out, "pearstair_platform_failures_total %llu\n",
                       (unsigned long long)daemon->platform.failures);
    PsBuf_AppendFormat(&out, "pearstair_peer_bytes_sent_total %llu\n",
                       (unsigned long long)daemon->peers.bytes_sent);
    PsBuf_AppendFormat(&out, "pearstair_peer_bytes_received_total %llu\n",
                       (unsigned long long)daemon->peers.bytes_received);
    PsBuf_AppendFormat(&out, "pearstair_peer_frames_sent_total %llu\n",
                       (unsigned long long)daemon->peers.frames_sent);
    PsBuf_AppendFormat(&out, "pearstair_log_lines_dropped_total %llu\n",
                       (unsigned long long)PsLog_GetDropped());
    PsBuf_AppendFormat(&out, "pearstair_open_requests %u\n",
                       daemon->frontend.exchanges.length);
    PsBuf_AppendFormat(&out, "pearstair_config_version %llu\n",
                       (unsigned long long)daemon->cluster.config.version);
    PsHttpRequest_PrepareResponse(request, 200, "text/plain; version=0.0.4",
                                  false);
    PsHttpRequest_SendResponse(request, PsBuf_View(&out));
    PsBuf_Finish(&out);
}

static void
handle_get_config(ps_daemon_t *daemon, ps_http_request_t *request)
{
    const ps_config_t *config = &daemon->cluster.config;
    if (config->version == 0) {
        send_error(request, 404, "not_found", "no configuration in force");
        return;
    }
    send_json(request, 200,
              json_pack("{s:I, s:o}", "version", (json_int_t)config->version,
                        "config", json_loads(config->text, 0, NULL)));
}

static json_t *
list_members(const ps_daemon_t *daemon)
{
    json_t *list = json_array();
    const ps_members_t *members = &daemon->membership.members;
    for (guint i = 0; i < members->all->len; i++) {
        const ps_member_t *member =
            &g_array_index(members->all, ps_member_t, i);
        const char *state = "live";
        if (!PsMembers_IsLive(members, member)) {
            state = "silent";
        }
        else if (member->is_leaving) {
            state = "leaving";
        }
        json_array_append_new(
            list, json_pack("{s:s, s:s, s:s, s:s}", "name", member->name.data,
                            "domain", member->domain.data, "address",
                            member->caller_address.data, "state", state));
    }
    return list;
}

static json_t *
encode_stats(const ps_pool_stats_t *stats)
{
    return json_pack(
        "{s:I, s:I, s:I, s:I, s:I, s:I}", "granted",
        (json_int_t)stats->granted, "refused", (json_int_t)stats->refused,
        "preempted", (json_int_t)stats->preempted, "prompt_tokens",
        (json_int_t)stats->prefill_tokens, "prompt_tokens_cached",
        (json_int_t)stats->cached_tokens, "prompt_tokens_discarded",
        (json_int_t)stats->discarded_prefill_tokens);
}

static json_t *
list_owners(const ps_daemon_t *daemon)
{
    json_t *list = json_array();
    const ps_config_t *config = &daemon->cluster.config;
    for (int i = 0; i < config->n_pools; i++) {
        const ps_name_t *pool = &config->pools[i].name;
        const ps_owner_record_t *record =
            PsClusterState_FindOwner(&daemon->cluster, pool);
        const ps_owner_t *owner = PsOwnedPools_Get(&daemon->owned_pools, pool);
        json_t *item =
            json_pack("{s:s, s:s, s:I}", "pool", pool->data, "owner",
                      record ? record->owner.data : "", "epoch",
                      (json_int_t)(record ? record->epoch : 0));
        if (owner) {
            json_object_set_new(item, "waiting",
                                json_integer(owner->pool.queue.len));
            json_object_set_new(
                item, "granted",
                json_integer((json_int_t)g_hash_table_size(owner->pool.jobs) -
                             owner->pool.queue.len));
            json_object_set_new(item, "since_claim",
                                encode_stats(&owner->pool.stats));
            json_object_set_new(
                item, "serving",
                json_boolean(owner->state == PS_OWNER_SERVING));
        }
        json_array_append_new(list, item);
    }
    return list;
}

static void
handle_status(ps_daemon_t *daemon, ps_http_request_t *request)
{
    send_json(request, 200,
              json_pack("{s:s, s:s, s:b, s:I, s:i, s:I, s:o, s:o}", "daemon",
                        daemon->settings.name.data, "domain",
                        daemon->settings.domain.data, "leaving",
                        (int)daemon->is_shutting_down, "config_version",
                        (json_int_t)daemon->cluster.config.version,
                        "open_requests",
                        (int)daemon->frontend.exchanges.length, "pauses",
                        (json_int_t)daemon->pauses, "members",
                        list_members(daemon), "pools", list_owners(daemon)));
}

static json_t *
encode_server(const ps_daemon_t *daemon, const ps_pool_config_t *pool,
              const ps_server_config_t *config)
{
    json_t *item = json_pack(
        "{s:s, s:s, s:s, s:s, s:s}", "name", config->name.data, "pool",
        pool->name.data, "address", config->address.data, "domain",
        config->domain.data, "state", PsServerState_Name(config->state));
    ps_owner_t *owner = PsOwnedPools_Get(&daemon->owned_pools, &pool->name);
    ps_server_t *server =
        owner ? PsPool_GetServer(&owner->pool, &config->name) : NULL;
    if (server) {
        json_object_set_new(item, "running",
                            json_integer(server->running.length));
        json_object_set_new(item, "reachable",
                            json_boolean(server->down_backoff_ms == 0));
        json_object_set_new(
            item, "step_ms",
            json_real(PsSpeed_GetStepMs(&server->speed,
                                        MAX(server->running.length, 1))));
        json_object_set_new(item, "prefill_tokens_per_ms",
                            json_real(server->speed.prefill_rate));
    }
    return item;
}

static void
handle_backends(ps_daemon_t *daemon, ps_http_request_t *request)
{
    json_t *list = json_array();
    const ps_config_t *config = &daemon->cluster.config;
    for (int p = 0; p < config->n_pools; p++) {
        const ps_pool_config_t *pool = &config->pools[p];
        for (int s = 0; s < pool->n_servers; s++) {
            json_array_append_new(
                list, encode_server(daemon, pool, &pool->servers[s]));
        }
    }
    send_json(request, 200, json_pack("{s:o}", "backends", list));
}

/* ---- Edits ------------------------------------------------------------ */

static void
handle_put_config(ps_daemon_t *daemon, ps_http_request_t *request)
{
    const char *if_match = PsHttpRequest_GetHeader(request, "If-Match");
    const char *if_none_match =
        PsHttpRequest_GetHeader(request, "If-None-Match");
    guint64 version = 0;
    if (request->is_too_large) {
        send_error(request, 413, "too_large",
                   "a configuration takes at most 1 MiB");
        return;
    }
    bool is_new = if_none_match && strcmp(if_none_match, "*") == 0;
    if (!is_new &&
        (!if_match || !g_ascii_string_to_unsigned(if_match, 10, 1, G_MAXINT64,
                                                  &version, NULL))) {
        send_error(request, 428, "version_needed",
                   "If-Match takes the version that you have edited; "
                   "If-None-Match: * for the first one");
        return;
    }
    PsConfigEdit_Replace(daemon, request, PsBuf_View(&request->body), version);
}

static void
handle_set_server_state(ps_daemon_t *daemon, ps_http_request_t *request)
{
    char *name = g_strdup(request->path.data + strlen(BACKENDS_PATH));
    char *query = strchr(name, '?');
    if (query) {
        *query = '\0';
    }
    const char *state = PsHttpRequest_GetQuery(request, "state");
    if (!state || !*name) {
        send_error(request, 400, "bad_request",
                   "POST /v1/backends/NAME?state=joining|leaving|stopped");
    }
    else {
        PsConfigEdit_SetServerState(daemon, request, name, state);
    }
    g_free(name);
}

static void
handle_drain(ps_daemon_t *daemon, ps_http_request_t *request)
{
    PsDaemon_StartShutdown(daemon);
    send_json(request, 202, json_pack("{s:b}", "leaving", 1));
}

static ps_name_t
get_text(const json_t *root, const char *key)
{
    return PsName_FromC(json_string_value(json_object_get(root, key)));
}

static void
handle_rules_test(ps_daemon_t *daemon, ps_http_request_t *request)
{
    json_t *root = json_loadb(request->body.data ? request->body.data : "",
                              request->body.len, 0, NULL);
    if (!json_is_object(root)) {
        send_error(request, 400, "bad_request", "the body is not an object");
        json_decref(root);
        return;
    }
    ps_rule_input_t rule_input = {
        .model = get_text(root, "model"),
        .path = get_text(root, "path"),
        .method = get_text(root, "method"),
        .team = get_text(root, "team"),
        .tier = (int)json_integer_value(json_object_get(root, "tier")),
        .prompt_tokens = (uint32_t)json_integer_value(
            json_object_get(root, "prompt_tokens")),
        .idempotent = json_is_true(json_object_get(root, "idempotent"))};
    json_decref(root);
    const ps_rule_t *rule =
        PsRules_Match(&daemon->cluster.config.rules, &rule_input);
    if (!rule) {
        send_json(request, 200, json_pack("{s:n}", "rule"));
        return;
    }
    send_json(request, 200,
              json_pack("{s:s, s:s, s:s}", "rule", rule->name.data, "pool",
                        rule->action.pool.data, "refuse",
                        rule->action.refuse.data));
}

/* ---- Routes ----------------------------------------------------------- */

static const admin_route_t routes[] = {
    {"GET", "/healthz", false, true, handle_health},
    {"GET", "/metrics", false, true, handle_metrics},
    {"GET", "/v1/config", false, false, handle_get_config},
    {"PUT", "/v1/config", false, false, handle_put_config},
    {"GET", "/v1/status", false, false, handle_status},
    {"GET", "/v1/backends", false, false, handle_backends},
    {"POST", BACKENDS_PATH, true, false, handle_set_server_state},
    {"POST", "/v1/drain", false, false, handle_drain},
    {"POST", "/v1/rules/test", false, false, handle_rules_test},
};

// Compares the token without an early exit, so that the time of an answer does
// not show how many of its characters are right.
static bool
has_token(const ps_daemon_t *daemon, const ps_http_request_t *request)
{
    const char *header = PsHttpRequest_GetHeader(request, "Authorization");
    if (!header || !g_str_has_prefix(header, "Bearer ")) {
        return false;
    }
    const char *given = header + strlen("Bearer ");
    const ps_name_t *token = &daemon->settings.admin_token;
    size_t len = strlen(given);
    unsigned int differs = len == token->len ? 0 : 1;
    for (size_t i = 0; i < len && i < token->len; i++) {
        differs |= (unsigned char)given[i] ^ (unsigned char)token->data[i];
    }
    return differs == 0;
}

static const admin_route_t *
find_route(const ps_http_request_t *request)
{
    for (size_t i = 0; i < G_N_ELEMENTS(routes); i++) {
        const admin_route_t *route = &routes[i];
        bool is_path = route->is_prefix
                           ? g_str_has_prefix(request->path.data, route->path)
                           : strcmp(request->path.data, route->path) == 0;
        if (is_path && PsName_IsEqualC(&request->method, route->method)) {
            return route;
        }
    }
    return NULL;
}

static void
on_request(ps_http_server_t *server, ps_http_request_t *request)
{
    ps_admin_t *admin = server->user;
    const admin_route_t *route = find_route(request);
    bool is_public = route && route->is_public;
    if (!is_public && !has_token(admin->daemon, request)) {
        send_error(request, 401, "unauthorized", "a bearer token is needed");
    }
    else if (!route) {
        send_error(request, 404, "not_found", "no such admin call");
    }
    else {
        route->handle(admin->daemon, request);
    }
}

static void
on_closed(ps_http_server_t *server, ps_http_request_t *request)
{
    (void)server;
    PsConfigEdit_Detach(request);
}

static const ps_http_server_events_t server_events = {on_request, on_closed};

/* ---- Public functions ------------------------------------------------- */

ps_status_t
PsAdmin_Init(ps_admin_t *admin, ps_daemon_t *daemon)
{
    admin->daemon = daemon;
    return PsHttpServer_Init(&admin->server, &server_events, admin,
                             daemon->loop, &daemon->settings.admin_address,
                             CONFIG_BYTES_MAX);
}

void
PsAdmin_Finish(ps_admin_t *admin)
{
    PsHttpServer_Finish(&admin->server);
}
