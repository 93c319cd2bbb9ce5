/*
 * callers.c - Stand-in for callers that send at a steady rate.
 *
 * Usage: standin-callers RATE SECONDS PATH PREFIX IP:PORT...
 * Sends RATE requests a second for SECONDS to the daemons in turn, each once,
 * with the ids PREFIX-1, PREFIX-2 and so on, whether or not earlier ones were
 * answered. Prints how many were sent, served (status 200 with the whole
 * body), refused (429 or 503) and failed (anything else, or no answer in
 * LIMIT_MS).
 */
#include <ev.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#include "http_client.h"

#define LIMIT_MS 1500
#define TICK_S 0.005

typedef struct call {
    ps_transfer_t transfer;
    ps_name_t id;
} call_t;

static struct ev_loop *loop;
static ps_http_client_t client;
static char **addresses;
static int n_addresses;
static const char *path;
static const char *prefix;
static double rate;
static double seconds;
static double started_s;
static int n_sent;
static int n_ended;
static int n_served;
static int n_refused;

static void
on_done(ps_transfer_t *transfer, ps_transfer_result_t result)
{
    call_t *call = transfer->user;
    ps_name_t wanted = PsName_Format("ok %s", call->id.data);
    bool is_whole =
        PsStr_IsEqual(PsBuf_View(&transfer->body), PsName_View(&wanted));
    n_ended++;
    if (result == PS_TRANSFER_COMPLETE) {
        n_served += transfer->status == 200 && is_whole ? 1 : 0;
        n_refused +=
            transfer->status == 429 || transfer->status == 503 ? 1 : 0;
    }
    PsTransfer_Finish(transfer);
    g_free(call);
}

static void
send_one(void)
{
    static const ps_transfer_events_t events = {.done = on_done};
    call_t *call = g_new0(call_t, 1);
    call->id = PsName_Format("%s-%d", prefix, ++n_sent);
    char *url =
        g_strdup_printf("http://%s%s", addresses[n_sent % n_addresses], path);
    PsTransfer_Init(&call->transfer, &events, call);
    PsTransfer_AddHeader(&call->transfer, "Host", "a.example");
    PsTransfer_AddHeader(&call->transfer, "Request-Id", call->id.data);
    PsTransfer_AddHeader(&call->transfer, "Authorization", "Bearer key-1");
    PsTransfer_AddHeader(&call->transfer, "Deadline-Ms",
                         G_STRINGIFY(LIMIT_MS));
    PsTransfer_Start(&client, &call->transfer, "GET", url, (ps_str_t){NULL, 0},
                     LIMIT_MS, false);
    g_free(url);
}

static void
on_tick(struct ev_loop *unused, ev_timer *timer, int events)
{
    (void)unused;
    (void)events;
    double passed_s = MIN(ev_time() - started_s, seconds);
    while (n_sent < (int)(passed_s * rate)) {
        send_one();
    }
    if (passed_s >= seconds && n_ended == n_sent) {
        ev_timer_stop(loop, timer);
        ev_break(loop, EVBREAK_ALL);
    }
}

int
main(int argc, char **argv)
{
    if (argc < 6) {
        fprintf(stderr, "usage: standin-callers RATE SECONDS PATH PREFIX "
                        "IP:PORT...\n");
        return 2;
    }
    rate = atof(argv[1]);
    seconds = atof(argv[2]);
    path = argv[3];
    prefix = argv[4];
    addresses = argv + 5;
    n_addresses = argc - 5;
    loop = ev_default_loop(EVFLAG_AUTO);
    PsHttpClient_Init(&client, loop);
    started_s = ev_time();
    ev_timer timer;
    ev_timer_init(&timer, on_tick, TICK_S, TICK_S);
    ev_timer_start(loop, &timer);
    ev_run(loop, 0);
    printf("sent %d served %d refused %d failed %d\n", n_sent, n_served,
           n_refused, n_sent - n_served - n_refused);
    PsHttpClient_Finish(&client);
    return 0;
}
