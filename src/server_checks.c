/* server_checks.c - Connections opened to see whether servers accept them. */
#include "server_checks.h"

#include "events_log.h"

#define CONNECT_TIMEOUT_MS 500

/* ---- Types ------------------------------------------------------------ */

typedef struct server_check {
    ps_server_checks_t *checks;
    ps_registration_t server;
    int64_t due_ms;
    bool is_running;
    ps_transfer_t transfer; /* while running */
    GList link;
} server_check_t;

/* ---- Internal functions ----------------------------------------------- */

static void
on_done(ps_transfer_t *transfer, ps_transfer_result_t result)
{
    server_check_t *check = transfer->user;
    ps_server_checks_t *checks = check->checks;
    ps_check_result_t shown = PS_CHECK_NO_ANSWER;
    if (result == PS_TRANSFER_COMPLETE) {
        shown = PS_CHECK_CONNECTED;
    }
    else if (transfer->is_refused) {
        shown = PS_CHECK_REFUSED;
    }
    PsEvents_Add("server.checked", "{s:s,s:b,s:b}", "name",
                 check->server.name.data, "connected",
                 (int)(shown == PS_CHECK_CONNECTED), "refused",
                 (int)(shown == PS_CHECK_REFUSED));
    ps_registration_t server = check->server;
    g_queue_unlink(&checks->checks, &check->link);
    checks->n_running--;
    PsTransfer_Finish(transfer);
    g_free(check);
    checks->events->checked(checks->user, &server, shown);
}

static void
start_check(server_check_t *check)
{
    static const ps_transfer_events_t events = {.done = on_done};
    ps_name_t url = PsName_Format("http://%s/", check->server.address.data);
    ps_transfer_request_t request = {.method = "GET",
                                     .url = url.data,
                                     .timeout_ms = CONNECT_TIMEOUT_MS,
                                     .connects_only = true};
    check->is_running = true;
    check->checks->n_running++;
    PsTransfer_Init(&check->transfer, &events, check);
    PsTransfer_StartRequest(check->checks->http_client, &check->transfer,
                            &request);
}

static bool
is_waiting_for(const server_check_t *check, const ps_registration_t *server)
{
    return !check->is_running &&
           check->server.started_ms == server->started_ms &&
           PsName_IsEqual(&check->server.name, &server->name);
}

/* ---- Public functions ------------------------------------------------- */

void
PsServerChecks_Init(ps_server_checks_t *checks,
                    const ps_server_checks_events_t *events, void *user,
                    ps_http_client_t *http_client)
{
    *checks = (ps_server_checks_t){
        .events = events, .user = user, .http_client = http_client};
    g_queue_init(&checks->checks);
}

void
PsServerChecks_Finish(ps_server_checks_t *checks)
{
    GList *link;
    while ((link = g_queue_pop_head_link(&checks->checks))) {
        server_check_t *check = link->data;
        if (check->is_running) {
            PsTransfer_Cancel(checks->http_client, &check->transfer);
            PsTransfer_Finish(&check->transfer);
        }
        g_free(check);
    }
}

bool
PsServerChecks_Add(ps_server_checks_t *checks, const ps_registration_t *server,
                   int64_t delay_ms, int64_t now_ms)
{
    for (GList *l = checks->checks.head; l; l = l->next) {
        if (is_waiting_for(l->data, server)) {
            return true;
        }
    }
    if (checks->checks.length >= PS_SERVER_CHECKS_MAX) {
        return false;
    }
    server_check_t *check = g_new0(server_check_t, 1);
    check->checks = checks;
    check->server = *server;
    check->due_ms = now_ms + delay_ms;
    check->link.data = check;
    g_queue_push_tail_link(&checks->checks, &check->link);
    return true;
}

void
PsServerChecks_Run(ps_server_checks_t *checks, int64_t now_ms)
{
    GList *next;
    for (GList *l = checks->checks.head;
         l && checks->n_running < PS_SERVER_CHECKS_RUNNING_MAX; l = next) {
        next = l->next;
        server_check_t *check = l->data;
        if (check->is_running || now_ms < check->due_ms) {
            continue;
        }
        if (checks->events->is_needed(checks->user, &check->server)) {
            start_check(check);
        }
        else {
            g_queue_unlink(&checks->checks, &check->link);
            g_free(check);
        }
    }
}
