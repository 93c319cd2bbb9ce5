/* server_checks.c - Status checks that show whether servers are reached. */
#include "server_checks.h"

#include "events_log.h"

#define CHECK_TIMEOUT_MS 500
#define CHECK_BODY_MAX (64 * 1024) /* bytes; only the head is used */

/* ---- Types ------------------------------------------------------------ */

typedef struct server_check {
    ps_server_checks_t *checks;
    ps_registration_t server;
    int64_t due_ms;
    bool is_running;
    bool connects_only;
    ps_transfer_t transfer; /* while running */
    GList link;
} server_check_t;

/* ---- Internal functions ----------------------------------------------- */

static ps_check_result_t
get_result(const server_check_t *check, ps_transfer_result_t result)
{
    const ps_transfer_t *transfer = &check->transfer;
    if (result == PS_TRANSFER_NOT_SENT) {
        return transfer->is_refused ? PS_CHECK_REFUSED : PS_CHECK_UNOPENED;
    }
    bool is_answered = check->connects_only ||
                       (transfer->status != 0 &&
                        check->checks->events->is_own_answer(
                            check->checks->user, &check->server, transfer));
    bool is_waiting = transfer->status == 0 && transfer->is_timed_out;
    return is_answered || is_waiting ? PS_CHECK_REACHED : PS_CHECK_BROKEN;
}

static void
on_done(ps_transfer_t *transfer, ps_transfer_result_t result)
{
    static const char *const names[] = {[PS_CHECK_REACHED] = "reached",
                                        [PS_CHECK_REFUSED] = "refused",
                                        [PS_CHECK_BROKEN] = "broken",
                                        [PS_CHECK_UNOPENED] = "unopened"};
    server_check_t *check = transfer->user;
    ps_server_checks_t *checks = check->checks;
    ps_check_result_t shown = get_result(check, result);
    PsEvents_Add("server.checked", "{s:s,s:s,s:i}", "name",
                 check->server.name.data, "result", names[shown], "status",
                 (int)transfer->status);
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
    ps_server_checks_t *checks = check->checks;
    const char *path = checks->events->find_path(checks->user, &check->server);
    ps_name_t url = PsName_Format("http://%s/", check->server.address.data);
    check->connects_only = !path;
    ps_transfer_request_t request = {.method = "GET",
                                     .url = url.data,
                                     .target = path,
                                     .timeout_ms = CHECK_TIMEOUT_MS,
                                     .has_own_connection = true,
                                     .connects_only = check->connects_only,
                                     .body_max = CHECK_BODY_MAX};
    check->is_running = true;
    checks->n_running++;
    PsTransfer_Init(&check->transfer, &events, check);
    PsTransfer_StartRequest(checks->http_client, &check->transfer, &request);
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
