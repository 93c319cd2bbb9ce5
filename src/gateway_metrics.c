/* gateway_metrics.c - Metrics of a daemon in gateway mode, as text. */
#include "gateway_metrics.h"

#include <string.h>

#include "clock.h"
#include "events_log.h"
#include "gateway.h"
#include "pace_messages.h"

/* ---- Metrics ---------------------------------------------------------- */

static void
print_metric(ps_buf_t *out, const char *name, double value)
{
    PsBuf_AppendFormat(out, "# TYPE %s %s\n%s %.17g\n", name,
                       strstr(name, "_total") ? "counter" : "gauge", name,
                       value);
}

// Prints a gauge for each service. Names of services are free text, so that
// quotes and backslashes are escaped.
static void
print_service_metric(ps_buf_t *out, const char *name, const ps_name_t *service,
                     double value)
{
    char *label = g_strescape(service->data, NULL);
    PsBuf_AppendFormat(out, "%s{service=\"%s\"} %.17g\n", name, label, value);
    g_free(label);
}

static void
print_retry_budgets(const ps_gateway_t *gateway, ps_buf_t *out)
{
    static const char allowed[] = "pearstair_retries_allowed";
    static const char counted[] = "pearstair_retries_counted";
    PsBuf_AppendFormat(out, "# TYPE %s gauge\n# TYPE %s gauge\n", allowed,
                       counted);
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, gateway->dispatchers);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        ps_dispatcher_t *dispatcher = value;
        ps_retry_use_t use =
            PsRetryBudget_GetUse(&dispatcher->retry_budget, PsClock_Now());
        print_service_metric(out, allowed, &dispatcher->name, use.allowed);
        print_service_metric(out, counted, &dispatcher->name, use.retries);
        PsRolloutRounds_PrintMetrics(dispatcher->rollout, out);
    }
}

// Prints, for each service, the callers that came back after a refusal, those
// that were refused again, and the teams whose requests wait at any daemon.
static void
print_returns(const ps_gateway_t *gateway, ps_buf_t *out)
{
    static const char returned[] = "pearstair_returned_total";
    static const char refused[] = "pearstair_returned_refused_total";
    static const char teams[] = "pearstair_teams_waiting";
    PsBuf_AppendFormat(out,
                       "# TYPE %s counter\n# TYPE %s counter\n"
                       "# TYPE %s gauge\n",
                       returned, refused, teams);
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, gateway->dispatchers);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        const ps_dispatcher_t *dispatcher = value;
        const ps_scheduler_t *scheduler = &dispatcher->scheduler;
        const ps_team_order_t *order = &scheduler->team_order;
        bool is_told = PsTeamOrder_IsTold(order, PsClock_Now());
        print_service_metric(out, returned, &dispatcher->name,
                             (double)scheduler->n_returned);
        print_service_metric(out, refused, &dispatcher->name,
                             (double)scheduler->n_returned_refused);
        print_service_metric(out, teams, &dispatcher->name,
                             is_told ? order->n_told : 0);
    }
}

static void
print_memory(const ps_gateway_t *gateway, ps_buf_t *out)
{
    static const char *const uses[PS_MEMORY_USES] = {"request_body", "answer",
                                                     "overhead"};
    const ps_memory_budget_t *memory = &gateway->memory;
    PsBuf_AppendC(out, "# TYPE pearstair_bytes_held gauge\n");
    for (int i = 0; i < PS_MEMORY_USES; i++) {
        PsBuf_AppendFormat(out, "pearstair_bytes_held{use=\"%s\"} %zu\n",
                           uses[i], memory->held[i]);
    }
    print_metric(out, "pearstair_bytes_held_max", (double)memory->most_held);
    print_metric(out, "pearstair_bytes_limit", (double)memory->limit);
    print_metric(out, "pearstair_memory_refused_total",
                 (double)memory->n_refused);
    print_metric(out, "pearstair_answer_pauses_total",
                 (double)gateway->stats.pauses);
    PsBuf_AppendC(out, "# TYPE pearstair_answers_cut_total counter\n");
    for (int i = 0; i < PS_ANSWER_CUTS; i++) {
        PsBuf_AppendFormat(out,
                           "pearstair_answers_cut_total{reason=\"%s\"} "
                           "%" G_GUINT64_FORMAT "\n",
                           PsAnswer_GetCutName((ps_answer_cut_t)i),
                           gateway->stats.cuts[i]);
    }
}

static void
count_limited(void *count, ps_backend_t *backend)
{
    *(int *)count += PsServerLimit_IsLimited(&backend->limit) ? 1 : 0;
}

static void
count_lost(void *count, ps_backend_t *backend)
{
    *(int *)count += backend->reach.lost_ms > 0 ? 1 : 0;
}

static void
on_metrics(ps_http_server_t *server, ps_http_request_t *request)
{
    const ps_gateway_t *gateway = server->user;
    const ps_gateway_stats_t *stats = &gateway->stats;
    ps_buf_t out;
    PsBuf_Init(&out);
    print_metric(&out, "pearstair_requests_total", (double)stats->requests);
    print_metric(&out, "pearstair_answered_total", (double)stats->answered);
    print_metric(&out, "pearstair_refused_total", (double)stats->refused);
    print_metric(&out, "pearstair_failed_total", (double)stats->failed);
    print_metric(&out, "pearstair_callers_left_total",
                 (double)stats->caller_disconnects);
    print_metric(&out, "pearstair_sends_total", (double)stats->sends);
    print_metric(&out, "pearstair_repeats_total", (double)stats->retries);
    print_metric(&out, "pearstair_lost_connections_total",
                 (double)stats->lost_connections);
    print_metric(&out, "pearstair_contents_suspected",
                 g_hash_table_size(gateway->mark_crashes.suspects.by_hash));
    print_metric(&out, "pearstair_content_refused_total",
                 (double)stats->banned_requests);
    print_metric(&out, "pearstair_quota_asks_total",
                 (double)stats->quota_asks);
    print_metric(&out, "pearstair_quota_refusals_total",
                 (double)stats->quota_refusals);
    print_metric(&out, "pearstair_quota_unknown_total",
                 (double)stats->quota_unknown);
    print_metric(&out, "pearstair_streams_taken_up_total",
                 (double)stats->taken_up_streams);
    print_metric(&out, "pearstair_stream_origins_unknown_total",
                 (double)stats->unknown_origins);
    print_metric(&out, "pearstair_connects_total",
                 (double)gateway->http_client.connects);
    print_metric(&out, "pearstair_log_dropped_total",
                 (double)PsEvents_GetDropped());
    print_metric(&out, "pearstair_in_progress", gateway->exchanges.length);
    double age_ms = (double)(PsClock_Now() - gateway->catalog_confirmed_ms);
    print_metric(&out, "pearstair_config_proof_age_milliseconds", age_ms);
    print_metric(&out, "pearstair_even_shares",
                 gateway->sharing.uses_even_shares);
    print_metric(&out, "pearstair_members",
                 g_hash_table_size(gateway->members));
    int n_limited = 0;
    PsGateway_ForEachBackend(gateway, count_limited, &n_limited);
    print_metric(&out, "pearstair_servers_limited", n_limited);
    int n_lost = 0;
    PsGateway_ForEachBackend(gateway, count_lost, &n_lost);
    print_metric(&out, "pearstair_servers_lost", n_lost);
    print_metric(&out, "pearstair_forwarded_total", (double)stats->forwarded);
    print_metric(&out, "pearstair_carried_total",
                 (double)gateway->forward_server.carried);
    print_metric(&out, "pearstair_carried_refused_total",
                 (double)gateway->forward_server.refused);
    print_memory(gateway, &out);
    print_retry_budgets(gateway, &out);
    PsPaceMessages_PrintMetrics(&gateway->sharing.allocator.models, &out);
    if (gateway->settings.gateway.has_team_shares ||
        gateway->settings.gateway.has_planned_returns) {
        print_returns(gateway, &out);
    }
    PsHistogram_Print(&stats->wait_latency, "pearstair_wait_milliseconds",
                      &out);
    PsHistogram_Print(&stats->first_event_latency,
                      "pearstair_first_event_milliseconds", &out);
    PsHistogram_Print(&stats->total_latency, "pearstair_request_milliseconds",
                      &out);
    PsHttpRequest_PrepareResponse(request, 200, "text/plain; version=0.0.4",
                                  false);
    PsHttpRequest_SendResponse(request, PsBuf_View(&out));
    PsBuf_Finish(&out);
}

static void
on_metrics_closed(ps_http_server_t *server, ps_http_request_t *request)
{
    (void)server;
    (void)request;
}

static const ps_http_server_events_t metrics_events = {on_metrics,
                                                       on_metrics_closed};

/* ---- Public functions ------------------------------------------------- */

const ps_http_server_events_t *
PsGatewayMetrics_GetEvents(void)
{
    return &metrics_events;
}
