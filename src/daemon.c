/* daemon.c - Runs a daemon's components on one event loop. */
#include "daemon.h"

#include <signal.h>
#include <string.h>

#include "log.h"
#include "wire.h"

#define TICK_INTERVAL_S 0.05     /* period of on_tick() */
#define PROGRESS_INTERVAL_S 0.25 /* period of progress reports to owners */
#define HEARTBEAT_FANOUT 2       /* random members that get each heartbeat */

// Longest time that a shutdown waits for owners to acknowledge results, from
// when callers no longer use lists of entries that name this daemon.
#define ACK_WAIT_MS 2000

// Longest time that a shutdown waits at its end for platform calls, such as
// the removal of this daemon's registration.
#define REMOVE_WAIT_MS 1000

/* ---- Messages --------------------------------------------------------- */

static void
handle_heartbeat(ps_daemon_t *daemon, const ps_name_t *from,
                 const Ps__Heartbeat *heartbeat)
{
    for (size_t i = 0; i < heartbeat->n_owned; i++) {
        ps_name_t pool = PsName_FromC(heartbeat->owned[i]->pool);
        PsClusterState_SetOwner(&daemon->cluster, &pool, from,
                                heartbeat->owned[i]->epoch, 0);
    }
    if (heartbeat->config_version > daemon->cluster.config.version) {
        PsWire_SendConfigFetch(&daemon->peers, from,
                               daemon->cluster.config.version);
    }
    ps_member_t *member = PsMembers_Get(&daemon->membership.members, from);
    if (member && heartbeat->leaving) {
        member->is_leaving = true;
    }
}

static void
handle_recover_ask(ps_daemon_t *daemon, const ps_name_t *from,
                   const Ps__RecoverAsk *message)
{
    ps_name_t pool = PsName_FromC(message->pool);
    ps_dispatch_t *dispatches;
    int64_t now_ms = PsDaemon_GetMonotonicMs();
    int n = PsEntry_HandleRecoveryQuery(&daemon->entry, &pool, message->epoch,
                                        &dispatches, now_ms);
    if (n >= 0) {
        PsWire_SendRecoverAnswer(&daemon->peers, from, &pool, message->epoch,
                                 dispatches, n, now_ms);
        // Only a pool's new owner sends the query.
        PsClusterState_SetOwner(&daemon->cluster, &pool, from, message->epoch,
                                0);
    }
    g_free(dispatches);
}

static void
handle_done_ack(ps_daemon_t *daemon, const Ps__DoneAck *message)
{
    ps_name_t ticket = PsName_FromC(message->ticket);
    ps_name_t token = PsName_FromC(message->token);
    PsEntry_HandleDoneAck(&daemon->entry, &ticket, &token,
                          (ps_outcome_t)message->outcome);
}

static void
handle_cancel(ps_daemon_t *daemon, const Ps__Cancel *message)
{
    ps_name_t pool = PsName_FromC(message->pool);
    ps_name_t ticket = PsName_FromC(message->ticket);
    PsEntry_HandleCancel(&daemon->entry, &pool, message->epoch, &ticket,
                         message->reason);
}

static void
on_frame(ps_peers_t *peers, const ps_name_t *from, const Ps__Frame *frame)
{
    ps_daemon_t *daemon = peers->user;
    int64_t now_ms = PsDaemon_GetMonotonicMs();
    if (PsOwnedPools_HandleFrame(&daemon->owned_pools, from, frame, now_ms)) {
        return;
    }
    switch (frame->body_case) {
    case PS__FRAME__BODY_HEARTBEAT:
        handle_heartbeat(daemon, from, frame->heartbeat);
        break;
    case PS__FRAME__BODY_ANSWER: {
        ps_answer_t answer = PsWire_ParseAnswer(frame->answer);
        PsEntry_HandleAnswer(&daemon->entry, &answer, now_ms);
        break;
    }
    case PS__FRAME__BODY_DONE_ACK:
        handle_done_ack(daemon, frame->done_ack);
        break;
    case PS__FRAME__BODY_RECOVER_ASK:
        handle_recover_ask(daemon, from, frame->recover_ask);
        break;
    case PS__FRAME__BODY_CANCEL:
        handle_cancel(daemon, frame->cancel);
        break;
    case PS__FRAME__BODY_CONFIG_FETCH:
        if (daemon->cluster.config.version > frame->config_fetch->newer_than) {
            PsWire_SendConfig(&daemon->peers, from, &daemon->cluster.config);
        }
        break;
    case PS__FRAME__BODY_CONFIG:
        PsClusterState_ApplyConfig(&daemon->cluster,
                                   PsStr_FromC(frame->config->text),
                                   frame->config->version, from->data);
        break;
    default:
        break;
    }
}

static void
on_silent(ps_peers_t *peers, const ps_name_t *peer)
{
    ps_daemon_t *daemon = peers->user;
    PsLog_Info("member", "Peer %s is silent; it counts as not live.",
               peer->data);
    PsMembership_SetSilent(&daemon->membership, peer, true);
}

static void
on_silence_ended(ps_peers_t *peers, const ps_name_t *peer)
{
    ps_daemon_t *daemon = peers->user;
    PsLog_Info("member", "Peer %s sends frames again.", peer->data);
    PsMembership_SetSilent(&daemon->membership, peer, false);
}

static const ps_peers_events_t peers_events = {on_frame, on_silent,
                                               on_silence_ended};

/* ---- Heartbeats ------------------------------------------------------- */

// Marks the owners of all pools as in use, so that the peer links report an
// owner that goes silent.
static void
mark_owners_used(ps_daemon_t *daemon, int64_t now_ms)
{
    const ps_config_t *config = &daemon->cluster.config;
    for (int i = 0; i < config->n_pools; i++) {
        const ps_owner_record_t *owner =
            PsClusterState_FindOwner(&daemon->cluster, &config->pools[i].name);
        if (owner) {
            PsPeers_MarkUsed(&daemon->peers, &owner->owner, now_ms);
        }
    }
}

// Fills @items and @list, which points to them, with name and epoch of each
// pool that this daemon owns. Returns their number.
static int
list_owned_pools(ps_daemon_t *daemon, Ps__PoolEpoch *items,
                 Ps__PoolEpoch **list)
{
    GHashTableIter iter;
    gpointer value;
    int n = 0;
    g_hash_table_iter_init(&iter, daemon->owned_pools.by_name);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const ps_owned_pool_t *owned_pool = value;
        ps__pool_epoch__init(&items[n]);
        items[n].pool = (char *)(uintptr_t)owned_pool->owner.name.data;
        items[n].epoch = owned_pool->owner.epoch;
        list[n] = &items[n];
        n++;
    }
    return n;
}

static void
send_to_all(ps_daemon_t *daemon, Ps__Frame *frame)
{
    const GArray *all = daemon->membership.members.all;
    for (guint i = 0; i < all->len; i++) {
        const ps_member_t *member = &g_array_index(all, ps_member_t, i);
        if (!PsName_IsEqual(&member->name, &daemon->settings.name)) {
            PsPeers_Send(&daemon->peers, &member->name, frame);
        }
    }
}

// Sends a frame to a few random members. A new configuration version or owner
// so reaches all members within a few heartbeats, also those that exchange no
// other frames.
static void
send_to_random(ps_daemon_t *daemon, Ps__Frame *frame)
{
    const GArray *all = daemon->membership.members.all;
    for (int i = 0; i < HEARTBEAT_FANOUT && all->len > 1; i++) {
        guint index = g_random_int() % all->len;
        const ps_member_t *member = &g_array_index(all, ps_member_t, index);
        if (!PsName_IsEqual(&member->name, &daemon->settings.name)) {
            PsPeers_Send(&daemon->peers, &member->name, frame);
        }
    }
}

void
PsDaemon_SendHeartbeat(ps_daemon_t *daemon, ps_heartbeat_target_t to)
{
    guint max = g_hash_table_size(daemon->owned_pools.by_name) + 1;
    Ps__PoolEpoch *items = g_new0(Ps__PoolEpoch, max);
    Ps__PoolEpoch **list = g_new0(Ps__PoolEpoch *, max);
    Ps__Heartbeat heartbeat = PS__HEARTBEAT__INIT;
    heartbeat.config_version = daemon->cluster.config.version;
    heartbeat.leaving = daemon->is_shutting_down;
    heartbeat.n_owned = (size_t)list_owned_pools(daemon, items, list);
    heartbeat.owned = list;
    Ps__Frame frame = PS__FRAME__INIT;
    frame.body_case = PS__FRAME__BODY_HEARTBEAT;
    frame.heartbeat = &heartbeat;
    if (to == PS_HEARTBEAT_ALL) {
        send_to_all(daemon, &frame);
    }
    else if (to == PS_HEARTBEAT_RANDOM) {
        send_to_random(daemon, &frame);
    }
    else {
        PsPeers_SendHeartbeats(&daemon->peers, &frame,
                               daemon->settings.takeover_ms,
                               PsDaemon_GetMonotonicMs());
    }
    g_free(list);
    g_free(items);
}

static void
on_heartbeat_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    ps_daemon_t *daemon = timer->data;
    mark_owners_used(daemon, PsDaemon_GetMonotonicMs());
    PsDaemon_SendHeartbeat(daemon, PS_HEARTBEAT_IN_USE);
    PsDaemon_SendHeartbeat(daemon, PS_HEARTBEAT_RANDOM);
}

/* ---- Changes ---------------------------------------------------------- */

void
PsDaemon_HandleConfigChange(ps_daemon_t *daemon)
{
    PsEntry_SetConfig(&daemon->entry, &daemon->cluster.config);
    PsOwnedPools_Configure(&daemon->owned_pools);
}

void
PsDaemon_HandleOwnerChange(ps_daemon_t *daemon, const ps_name_t *pool,
                           uint64_t epoch)
{
    PsEntry_SetOwner(&daemon->entry, pool, epoch, PsDaemon_GetMonotonicMs());
}

/* ---- Graceful shutdown ------------------------------------------------ */

static bool
has_other_live_member(const ps_daemon_t *daemon)
{
    const ps_members_t *members = &daemon->membership.members;
    for (guint i = 0; i < members->all->len; i++) {
        const ps_member_t *member =
            &g_array_index(members->all, ps_member_t, i);
        if (!PsName_IsEqual(&member->name, &daemon->settings.name) &&
            !member->is_leaving && PsMembers_IsLive(members, member)) {
            return true;
        }
    }
    return false;
}

static bool
has_unacknowledged_results(const ps_daemon_t *daemon)
{
    for (GList *l = daemon->entry.ended.head; l; l = l->next) {
        const ps_ended_dispatch_t *ended = l->data;
        if (!ended->is_acknowledged) {
            return true;
        }
    }
    return false;
}

// Returns for how many milliseconds after the start of a shutdown callers may
// still use a list of entries that names this daemon.
static int64_t
get_entries_lifetime_ms(const ps_daemon_t *daemon)
{
    return 2 * daemon->settings.entries_ttl_ms;
}

// Tells whether the shutdown has to wait: for callers with an older list of
// entries, for open requests, for another member to claim the owned pools, or
// for owners to acknowledge ended dispatches.
static bool
is_shutdown_blocked(const ps_daemon_t *daemon, int64_t elapsed_ms)
{
    bool owns = g_hash_table_size(daemon->owned_pools.by_name) > 0;
    return elapsed_ms < get_entries_lifetime_ms(daemon) ||
           daemon->frontend.exchanges.length > 0 ||
           PsHttpServer_GetRequestCount(&daemon->frontend.server) > 0 ||
           (owns && has_other_live_member(daemon)) ||
           (has_unacknowledged_results(daemon) &&
            elapsed_ms < get_entries_lifetime_ms(daemon) + ACK_WAIT_MS);
}

// Removes this daemon from the members when the shutdown need not wait any
// more, or after drain_ms. Stops the loop when platform calls have ended, or
// after REMOVE_WAIT_MS.
static void
run_shutdown(ps_daemon_t *daemon, int64_t now_ms)
{
    int64_t elapsed_ms = now_ms - daemon->shutdown_started_ms;
    if (is_shutdown_blocked(daemon, elapsed_ms) &&
        elapsed_ms < daemon->settings.drain_ms) {
        daemon->last_busy_ms = now_ms;
        return;
    }
    PsMembership_Remove(&daemon->membership);
    if (daemon->platform.calls.length == 0 ||
        now_ms - daemon->last_busy_ms > REMOVE_WAIT_MS) {
        ev_break(daemon->loop, EVBREAK_ALL);
    }
}

bool
PsDaemon_RefusesRequests(const ps_daemon_t *daemon)
{
    return daemon->is_shutting_down &&
           PsDaemon_GetMonotonicMs() - daemon->shutdown_started_ms >
               get_entries_lifetime_ms(daemon);
}

void
PsDaemon_StartShutdown(ps_daemon_t *daemon)
{
    if (daemon->is_shutting_down) {
        return;
    }
    PsLog_Info("main", "Graceful shutdown started; %u requests are open.",
               daemon->frontend.exchanges.length);
    daemon->is_shutting_down = true;
    daemon->shutdown_started_ms = PsDaemon_GetMonotonicMs();
    PsMembership_SetLeaving(&daemon->membership);
    PsDaemon_SendHeartbeat(daemon, PS_HEARTBEAT_ALL);
}

static void
on_signal(struct ev_loop *loop, ev_signal *watcher, int events)
{
    (void)loop;
    (void)events;
    PsDaemon_StartShutdown(watcher->data);
}

/* ---- Loop ------------------------------------------------------------- */

// Detects that this process was paused. Runs before all other callbacks of an
// iteration, so that grants that arrived during the pause are not used: the
// pool may have a new owner by now.
static void
on_check(struct ev_loop *loop, ev_check *check, int events)
{
    (void)loop;
    (void)events;
    ps_daemon_t *daemon = check->data;
    int64_t now_ms = PsDaemon_GetMonotonicMs();
    // Shortest time between two iterations that counts as a pause: half of
    // the time after which peers treat this daemon as silent.
    int64_t pause_min_ms = daemon->settings.takeover_ms / 2;
    if (now_ms - daemon->last_iteration_ms > pause_min_ms) {
        daemon->pauses++;
        PsLog_Warn(
            "main",
            "The process was paused for %lld ms; earlier grants are not used.",
            (long long)(now_ms - daemon->last_iteration_ms));
        PsPeers_ResetSilence(&daemon->peers, now_ms);
        PsEntry_HandlePause(&daemon->entry, now_ms);
    }
    daemon->last_iteration_ms = now_ms;
}

static void
on_prepare(struct ev_loop *loop, ev_prepare *prepare, int events)
{
    (void)loop;
    (void)events;
    ps_daemon_t *daemon = prepare->data;
    if (daemon->owned_pools.is_run_due) {
        PsOwnedPools_Run(&daemon->owned_pools, PsDaemon_GetMonotonicMs());
    }
}

static void
on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    ps_daemon_t *daemon = timer->data;
    int64_t now_ms = PsDaemon_GetMonotonicMs();
    PsEntry_Run(&daemon->entry, now_ms);
    PsOwnedPools_Run(&daemon->owned_pools, now_ms);
    if (daemon->is_shutting_down) {
        run_shutdown(daemon, now_ms);
    }
}

static void
on_progress(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    ps_daemon_t *daemon = timer->data;
    PsFrontend_SendProgress(&daemon->frontend);
}

static void
start_timer(ps_daemon_t *daemon, ev_timer *timer,
            void (*callback)(struct ev_loop *, ev_timer *, int),
            double seconds)
{
    ev_timer_init(timer, callback, seconds, seconds);
    timer->data = daemon;
    ev_timer_start(daemon->loop, timer);
}

static void
start_signal(ps_daemon_t *daemon, ev_signal *watcher, int number)
{
    ev_signal_init(watcher, on_signal, number);
    watcher->data = daemon;
    ev_signal_start(daemon->loop, watcher);
}

static void
start_watchers(ps_daemon_t *daemon)
{
    start_timer(daemon, &daemon->tick_timer, on_tick, TICK_INTERVAL_S);
    start_timer(daemon, &daemon->progress_timer, on_progress,
                PROGRESS_INTERVAL_S);
    start_timer(daemon, &daemon->heartbeat_timer, on_heartbeat_timer,
                (double)daemon->settings.heartbeat_ms / 1000.0);
    start_signal(daemon, &daemon->sigterm_watcher, SIGTERM);
    start_signal(daemon, &daemon->sigint_watcher, SIGINT);
    ev_check_init(&daemon->check_watcher, on_check);
    ev_set_priority(&daemon->check_watcher, EV_MAXPRI);
    daemon->check_watcher.data = daemon;
    ev_check_start(daemon->loop, &daemon->check_watcher);
    ev_prepare_init(&daemon->prepare_watcher, on_prepare);
    ev_set_priority(&daemon->prepare_watcher, EV_MAXPRI);
    daemon->prepare_watcher.data = daemon;
    ev_prepare_start(daemon->loop, &daemon->prepare_watcher);
}

/* ---- Public functions ------------------------------------------------- */

int64_t
PsDaemon_GetMonotonicMs(void)
{
    return g_get_monotonic_time() / 1000;
}

ps_status_t
PsDaemon_Init(ps_daemon_t *daemon, const ps_settings_t *settings)
{
    *daemon = (ps_daemon_t){.settings = *settings};
    signal(SIGPIPE, SIG_IGN);
    daemon->loop = ev_default_loop(EVFLAG_AUTO);
    daemon->incarnation = (uint64_t)g_get_real_time();
    daemon->last_iteration_ms = PsDaemon_GetMonotonicMs();
    PsHttpClient_Init(&daemon->http_client, daemon->loop);
    PsPlatform_Init(&daemon->platform, &daemon->http_client,
                    &settings->platform_address);
    PsEntry_Init(&daemon->entry, PsFrontend_GetEntryEvents(), &settings->name,
                 daemon->incarnation, settings->id_window_ms);
    daemon->entry.user = daemon;
    PsOwnedPools_Init(&daemon->owned_pools, daemon);
    ps_status_t status = PsPeers_Init(&daemon->peers, &peers_events, daemon,
                                      daemon->loop, &settings->peer_address,
                                      &settings->name, daemon->incarnation);
    if (status == PS_OK) {
        status = PsFrontend_Init(&daemon->frontend, daemon);
    }
    if (status == PS_OK) {
        status = PsAdmin_Init(&daemon->admin, daemon);
    }
    if (status != PS_OK) {
        return status;
    }
    PsClusterState_Init(&daemon->cluster, daemon);
    PsMembership_Init(&daemon->membership, daemon);
    start_watchers(daemon);
    return PS_OK;
}

void
PsDaemon_Run(ps_daemon_t *daemon)
{
    PsLog_Info("main", "Daemon %s serves callers on %s.",
               daemon->settings.name.data,
               daemon->settings.caller_address.data);
    ev_run(daemon->loop, 0);
    PsLog_Info("main", "Daemon %s has left.", daemon->settings.name.data);
}

void
PsDaemon_Finish(ps_daemon_t *daemon)
{
    PsFrontend_Finish(&daemon->frontend);
    PsAdmin_Finish(&daemon->admin);
    PsPlatform_Finish(&daemon->platform);
    PsOwnedPools_Finish(&daemon->owned_pools);
    PsClusterState_Finish(&daemon->cluster);
    PsMembership_Finish(&daemon->membership);
    PsEntry_Finish(&daemon->entry);
    PsPeers_Finish(&daemon->peers);
    PsHttpClient_Finish(&daemon->http_client);
}
