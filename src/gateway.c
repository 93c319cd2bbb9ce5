/* gateway.c - Configuration, members, metrics and shutdown of a gateway. */
#include "gateway.h"

#include <string.h>
#include <xxhash.h>

#include "clock.h"
#include "events_log.h"
#include "exchange.h"
#include "gateway_memory.h"
#include "gateway_metrics.h"
#include "member_doubts.h"
#include "origin_records.h"

#define TICK_S 0.01 /* period of the gateway's periodic work */

#define PAUSE_MS 300 /* longer without a tick: this daemon was paused */

// Largest body in bytes until a configuration sets another limit.
#define DEFAULT_BODY_MAX (8 * 1024 * 1024)

// The API keys of a configuration are relied on until this long before
// revoke_ms has passed since it was confirmed.
#define REVOKE_MARGIN_MS 400

// The gateway is ready if its configuration was confirmed less than this part
// of revoke_ms ago.
#define READY_AGE_SHARE 0.6

// The store is read when the servers or members known here have differed from
// the allocator's for this long, which is longer than a change takes to reach
// all daemons.
#define MISMATCH_MIN_MS 120

// Shortest time between two reads that the allocator's summaries cause: for a
// newer configuration, and for other servers or members.
#define VERSION_READ_INTERVAL_MS 700
#define MISMATCH_READ_INTERVAL_MS 700

// The allocator's summaries must have been fresh for this long before the
// store is polled slowly.
#define SLOW_POLL_DELAY_MS 400

// Age up to which the allocator's last summary, and the configuration that it
// has confirmed, count as fresh. The next allocator is chosen and has read the
// store by then, so that not all daemons read it when one is lost; a read
// after it still is in time for a change that has to be in force in 2 s.
#define SUMMARY_FRESH_MS 1500

// A shutdown stops the requests that are left this long before its grace
// period is over, and ends at the latest so long before it: their callers
// receive their answers in between.
#define GRACE_MARGIN_MS 400
#define GRACE_END_MARGIN_MS 150

// Time without news of the store after which servers of another version may
// have come and left unseen. A registration outlives its server by longer.
#define VERSIONS_MISSED_MS 3000

// Share of the grace period in which new requests are accepted.
#define ACCEPT_SHARE 0.3

// Share of the grace period that a shutdown lasts at least, because callers
// may still send on connections that they keep open.
#define SHUTDOWN_MIN_SHARE 0.7

/* ---- Members ---------------------------------------------------------- */

static gint
compare_names(gconstpointer left, gconstpointer right)
{
    const ps_daemon_info_t *a = left;
    const ps_daemon_info_t *b = right;
    return strcmp(a->name.data, b->name.data);
}

// Divides slots and retries anew among the daemons. This daemon's index is its
// place among them by name.
static void
divide_among_daemons(ps_gateway_t *gateway)
{
    GList *members = g_hash_table_get_values(gateway->members);
    members = g_list_sort(members, compare_names);
    int n_daemons = 0;
    int index = 0;
    for (GList *l = members; l; l = l->next, n_daemons++) {
        const ps_daemon_info_t *member = l->data;
        if (PsName_IsEqual(&member->name, &gateway->self.name)) {
            index = n_daemons;
        }
    }
    g_list_free(members);
    // Daemons that have left may go on taking their turns for a while.
    int n_turns = gateway->has_listed_members
                      ? PsGateway_CountQuotaDaemons(gateway, PsClock_Now())
                      : 0;
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, gateway->dispatchers);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        ps_dispatcher_t *dispatcher = value;
        const ps_gateway_settings_t *settings = &gateway->settings.gateway;
        PsScheduler_SetDaemons(&dispatcher->scheduler, n_daemons, index);
        PsScheduler_SetTurns(&dispatcher->scheduler, n_turns, PsClock_Now());
        PsRetryBudget_SetLimits(
            &dispatcher->retry_budget, settings->retry_window_s,
            settings->retry_ratio, settings->retry_slack,
            gateway->has_listed_members ? n_daemons : 0, PsClock_Now());
    }
}

static void
update_quotas(ps_gateway_t *gateway)
{
    if (!gateway->catalog) {
        return;
    }
    const ps_gateway_settings_t *settings = &gateway->settings.gateway;
    ps_quota_settings_t quota_settings = {settings->quota_window_s,
                                          settings->quota_overage,
                                          settings->quota_slack};
    for (guint i = 0; i < gateway->catalog->teams->len; i++) {
        const ps_team_t *team = gateway->catalog->teams->pdata[i];
        double limit =
            PsQuota_ComputeLimit(team->rate, team->burst, &quota_settings);
        PsQuota_SetLimit(PsGateway_GetQuota(gateway, &team->name), limit,
                         quota_settings.window_s);
        PsAllocator_SetQuotaLimit(&gateway->sharing.allocator, &team->name,
                                  limit, quota_settings.window_s);
        ps_quota_terms_t terms =
            PsQuota_ComputeTerms(team->rate, team->burst, &quota_settings);
        PsQuotaAdmission_SetTeam(&gateway->sharing, &team->name, &terms,
                                 PsClock_Now());
    }
}

/* ---- Events of the store ---------------------------------------------- */

static void
on_catalog_changed(void *user, ps_catalog_t *catalog)
{
    ps_gateway_t *gateway = user;
    PsEvents_Add(
        "config.apply", "{s:I,s:I,s:i,s:i,s:i}", "version",
        (json_int_t)catalog->version, "before",
        (json_int_t)(gateway->catalog ? gateway->catalog->version : 0),
        "routes", (int)catalog->routes->len, "services",
        (int)catalog->services->len, "teams", (int)catalog->teams->len);
    for (guint i = 0; i < catalog->teams->len; i++) {
        const ps_team_t *team = catalog->teams->pdata[i];
        PsEvents_Add("config.team", "{s:s,s:i,s:f,s:f}", "team",
                     team->name.data, "tier", team->tier, "rate", team->rate,
                     "burst", team->burst);
    }
    PsCatalog_Unref(gateway->catalog);
    gateway->catalog = catalog;
    for (guint i = 0; i < catalog->services->len; i++) {
        const ps_service_t *service = catalog->services->pdata[i];
        ps_dispatcher_t *dispatcher =
            PsGateway_GetDispatcher(gateway, &service->name);
        dispatcher->scheduler.is_engine = service->is_engine;
        dispatcher->tokens_per_event = service->tokens_per_event;
    }
    PsHttpServer_SetIdleTimeout(&gateway->caller_server,
                                catalog->limits.idle_ms);
    if (catalog->limits.body_bytes > 0) {
        gateway->caller_server.body_max = (size_t)catalog->limits.body_bytes;
    }
    divide_among_daemons(gateway);
    update_quotas(gateway);
}

static void
on_catalog_confirmed(void *user, int64_t sent_ms)
{
    ps_gateway_t *gateway = user;
    gateway->catalog_confirmed_ms =
        MAX(gateway->catalog_confirmed_ms, sent_ms);
}

static void
on_server_changed(void *user, const ps_registration_t *registration)
{
    ps_gateway_t *gateway = user;
    int64_t now_ms = PsClock_Now();
    // A restored store may hold a registration that was removed since.
    if (now_ms < gateway->backend_registry.restored_until_ms &&
        PsChanges_IsServerRemoved(&gateway->changes, &registration->name,
                                  registration->started_ms)) {
        return;
    }
    PsBackendRegistry_Set(&gateway->backend_registry, registration, now_ms);
}

static void
on_server_removed(void *user, const ps_name_t *name)
{
    ps_gateway_t *gateway = user;
    PsBackendRegistry_Remove(&gateway->backend_registry, name, PsClock_Now());
}

static void
on_servers_listed(void *user, GHashTable *names)
{
    ps_gateway_t *gateway = user;
    PsBackendRegistry_RetainOnly(&gateway->backend_registry, names,
                                 PsClock_Now());
}

static void
on_member_changed(void *user, const ps_daemon_info_t *info)
{
    ps_gateway_t *gateway = user;
    if (PsName_IsEqual(&info->name, &gateway->self.name)) {
        return;
    }
    ps_daemon_info_t *known =
        g_hash_table_lookup(gateway->members, &info->name);
    if (known && known->incarnation == info->incarnation) {
        PsMemberDoubts_HandleWrite(known, info, PsClock_Now());
        PsEvents_Add("member.written", "{s:s,s:b}", "name", info->name.data,
                     "doubted", (int)info->is_doubted);
        return;
    }
    PsEvents_Add("member.join", "{s:s,s:s,s:s}", "name", info->name.data,
                 "address", info->caller_address.data, "domain",
                 info->domain.data);
    PsChanges_AddMember(&gateway->changes, info, false,
                        !gateway->is_applying_change, PsClock_Now());
    g_hash_table_remove(gateway->members, &info->name);
    PsRecentMembers_RemoveJoined(&gateway->recent_members, &info->name);
    ps_daemon_info_t *member = g_memdup2(info, sizeof *info);
    member->joined_ms = PsClock_Now();
    g_hash_table_insert(gateway->members, &member->name, member);
    divide_among_daemons(gateway);
    PsForwarders_Set(&gateway->forwarders, &member->name,
                     &member->forward_address);
    PsSharing_HandleMemberChange(&gateway->sharing, member);
}

static void
on_member_removed(void *user, const ps_name_t *name)
{
    ps_gateway_t *gateway = user;
    if (!PsName_IsEqual(name, &gateway->self.name) &&
        g_hash_table_contains(gateway->members, name)) {
        PsEvents_Add("member.leave", "{s:s}", "name", name->data);
        PsChanges_AddMember(&gateway->changes,
                            g_hash_table_lookup(gateway->members, name), true,
                            !gateway->is_applying_change, PsClock_Now());
        PsAllocator_RemoveReporter(&gateway->sharing.allocator, name);
        PsRecentMembers_AddLeft(&gateway->recent_members, name, PsClock_Now());
        PsForwarders_Remove(&gateway->forwarders, name);
        g_hash_table_remove(gateway->members, name);
        divide_among_daemons(gateway);
        PsSharing_HandleMemberChange(&gateway->sharing, &gateway->self);
    }
}

static void
on_members_listed(void *user, GHashTable *names)
{
    ps_gateway_t *gateway = user;
    GList *members = g_hash_table_get_values(gateway->members);
    for (GList *l = members; l; l = l->next) {
        const ps_daemon_info_t *member = l->data;
        if (!g_hash_table_contains(names, &member->name)) {
            ps_name_t name = member->name;
            on_member_removed(gateway, &name);
        }
    }
    g_list_free(members);
    if (!gateway->has_listed_members) {
        gateway->has_listed_members = true;
        divide_among_daemons(gateway);
    }
}

// Takes the versions that have served before this daemon's start. Nothing has
// before the first start of the deployment.
static void
restore_versions(ps_gateway_t *gateway, const ps_stored_state_t *state)
{
    int64_t now_ms = PsClock_Now();
    bool is_first =
        !state->is_stored && gateway->settings.gateway.is_first_start;
    if (state->has_versions) {
        PsVersionHistory_Restore(&gateway->version_history, state->versions,
                                 state->n_versions, state->versions_from_ms,
                                 now_ms);
    }
    else if (is_first) {
        PsVersionHistory_Restore(&gateway->version_history, NULL, 0,
                                 now_ms - PS_STREAM_ORIGIN_MS, now_ms);
    }
    PsEvents_Add(
        "versions.recover", "{s:b,s:b,s:i,s:I}", "stored",
        (int)state->has_versions, "first_start", (int)is_first, "versions",
        (int)gateway->version_history.versions->len, "known_ms",
        (json_int_t)(now_ms - gateway->version_history.known_from_ms));
}

static void
on_state_read(void *user, const ps_stored_state_t *state, int64_t age_ms)
{
    ps_gateway_t *gateway = user;
    PsEvents_Add("quota.recover", "{s:i,s:i,s:I}", "teams", state->n_teams,
                 "crashes", (int)state->n_crashes, "age_ms",
                 (json_int_t)age_ms);
    PsMarkCrashes_Restore(&gateway->mark_crashes, state->crashes,
                          state->n_crashes, PsClock_Now());
    gateway->sharing.allocator.window_s =
        gateway->settings.gateway.quota_window_s;
    gateway->sharing.is_stored_usage_empty = state->n_teams == 0;
    PsAllocator_AddQuotaUsage(&gateway->sharing.allocator, state->teams,
                              state->n_teams, age_ms, PsClock_Now());
    PsQuotaAdmission_HandleStart(&gateway->sharing,
                                 !state->is_stored &&
                                     gateway->settings.gateway.is_first_start,
                                 PsClock_Now());
    restore_versions(gateway, state);
    PsOriginRecords_HandleStart(gateway, state);
}

static void
on_origins_read(void *user, const ps_origin_slot_t *slots, size_t n,
                bool is_done)
{
    PsOriginRecords_HandleRead(user, slots, n, is_done);
}

static void
on_origins_written(void *user, bool is_written)
{
    ps_gateway_t *gateway = user;
    PsEvents_Add("origins.written", "{s:b,s:i,s:I}", "kept", (int)is_written,
                 "origins", (int)gateway->origin_log.n_writing, "dropped",
                 (json_int_t)gateway->origin_log.n_dropped);
    PsOriginLog_EndStep(&gateway->origin_log, is_written);
}

static void
on_state_saved(void *user, bool is_saved)
{
    ps_gateway_t *gateway = user;
    gateway->mark_crashes.has_unsaved_crash |= !is_saved;
    gateway->version_history.is_unsaved |= !is_saved;
}

static void
on_store_unavailable(void *user, const char *reason)
{
    ps_gateway_t *gateway = user;
    PsBackendRegistry_HandleStoreUnavailable(&gateway->backend_registry);
    PsEvents_Add("store.lost", "{s:s}", "reason", reason);
}

static void
on_store_available(void *user)
{
    ps_gateway_t *gateway = user;
    PsBackendRegistry_HandleStoreAvailable(&gateway->backend_registry,
                                           PsClock_Now());
    PsEvents_Add("store.back", "{}");
}

// Has the allocator's state written again, also when it is empty.
static void
on_store_restored(void *user)
{
    ps_gateway_t *gateway = user;
    PsBackendRegistry_HandleStoreRestored(&gateway->backend_registry,
                                          PsClock_Now());
    gateway->mark_crashes.has_unsaved_crash = true;
    gateway->version_history.is_unsaved = true;
    gateway->sharing.is_stored_usage_empty = false;
    PsOriginRecords_HandleChoice(gateway);
}

static ps_rollout_round_t *
get_rollout(ps_gateway_t *gateway, const ps_name_t *service)
{
    ps_dispatcher_t *dispatcher = PsGateway_GetDispatcher(gateway, service);
    if (!dispatcher->rollout) {
        dispatcher->rollout = PsRolloutRounds_New();
    }
    return dispatcher->rollout;
}

static void
on_rollout_changed(void *user, const ps_rollout_object_t *object)
{
    ps_rollout_round_t *round = get_rollout(user, &object->service);
    PsRolloutRounds_HandleObject(
        round, &PsGateway_GetDispatcher(user, &object->service)->scheduler,
        object);
}

static void
on_rollout_removed(void *user, const ps_name_t *service)
{
    ps_dispatcher_t *dispatcher = PsGateway_FindDispatcher(user, service);
    if (dispatcher && dispatcher->rollout) {
        PsRolloutRounds_HandleRemoval(dispatcher->rollout,
                                      &dispatcher->scheduler);
    }
}

static void
on_rollouts_listed(void *user, GHashTable *names)
{
    ps_gateway_t *gateway = user;
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, gateway->dispatchers);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        ps_dispatcher_t *dispatcher = value;
        if (!g_hash_table_contains(names, &dispatcher->name)) {
            on_rollout_removed(gateway, &dispatcher->name);
        }
    }
}

static void
on_rollout_status_written(void *user, const ps_name_t *service,
                          ps_store_result_t result,
                          const ps_rollout_object_t *object)
{
    ps_rollout_round_t *round = get_rollout(user, service);
    PsRolloutRounds_HandleStatusWritten(
        round, &PsGateway_GetDispatcher(user, service)->scheduler, result,
        object, PsClock_Now());
}

static void
on_rollout_record_read(void *user, const ps_rollout_record_t *record)
{
    ps_rollout_context_t context = PsGateway_GetRolloutContext(user);
    PsRolloutRounds_HandleRecordRead(get_rollout(user, &record->service),
                                     &context, record, PsClock_Now());
}

static void
on_rollout_record_written(void *user, const ps_name_t *service,
                          ps_store_result_t result, uint64_t revision)
{
    ps_rollout_context_t context = PsGateway_GetRolloutContext(user);
    PsRolloutRounds_HandleRecordWritten(get_rollout(user, service), &context,
                                        result, revision, PsClock_Now());
}

/* ---- Backend servers -------------------------------------------------- */

// Notes which versions a service has servers of.
static void
note_versions(ps_gateway_t *gateway, const ps_dispatcher_t *dispatcher)
{
    const GPtrArray *backends = dispatcher->scheduler.backends;
    uint64_t *versions = g_new(uint64_t, backends->len + 1);
    for (guint i = 0; i < backends->len; i++) {
        versions[i] = ((const ps_backend_t *)backends->pdata[i])->version;
    }
    PsVersionHistory_Update(&gateway->version_history, &dispatcher->name,
                            versions, backends->len, PsClock_Now());
    g_free(versions);
}

static void
on_listed(ps_backend_registry_t *registry, ps_backend_t *backend, bool is_new)
{
    ps_gateway_t *gateway = registry->user;
    const ps_registration_t *registration = &backend->registration;
    PsEvents_Add("server.listed", "{s:s,s:s,s:s,s:s,s:s,s:i,s:b,s:b,s:I}",
                 "name", registration->name.data, "service",
                 registration->service.data, "domain",
                 registration->domain.data, "address",
                 registration->address.data, "version",
                 registration->version.data, "slots", registration->slots,
                 "leaving", (int)registration->is_leaving, "new", (int)is_new,
                 "started_ms", (json_int_t)registration->started_ms);
    if (is_new || registration->is_leaving) {
        PsChanges_AddServer(&gateway->changes, registration, false,
                            !gateway->is_applying_change, PsClock_Now());
    }
    ps_dispatcher_t *dispatcher =
        PsGateway_GetDispatcher(gateway, &registration->service);
    PsScheduler_AddBackend(&dispatcher->scheduler, backend);
    note_versions(gateway, dispatcher);
    PsScheduler_Run(&dispatcher->scheduler, PsClock_Now());
}

static void
on_unlisted(ps_backend_registry_t *registry, ps_backend_t *backend,
            const char *reason)
{
    ps_gateway_t *gateway = registry->user;
    PsEvents_Add("server.unlisted", "{s:s,s:s,s:s}", "name",
                 backend->registration.name.data, "service",
                 backend->registration.service.data, "reason", reason);
    PsMarkCrashes_Settle(&gateway->mark_crashes, &backend->registration,
                         !backend->registration.is_leaving, PsClock_Now());
    if (!backend->registration.is_leaving) {
        PsMarkCrashes_HandleServerEnd(&gateway->mark_crashes,
                                      &backend->registration, PsClock_Now());
    }
    PsChanges_AddServer(&gateway->changes, &backend->registration, true,
                        !gateway->is_applying_change, PsClock_Now());
    ps_dispatcher_t *dispatcher =
        PsGateway_GetDispatcher(gateway, &backend->registration.service);
    PsScheduler_RemoveBackend(&dispatcher->scheduler, backend);
    note_versions(gateway, dispatcher);
    PsAllocator_RemoveServer(&gateway->sharing.allocator,
                             PsSharing_HashServer(backend));
}

/* ---- Callers ---------------------------------------------------------- */

static void
on_request(ps_http_server_t *server, ps_http_request_t *request)
{
    PsExchange_Start(server->user, request);
}

static void
on_closed(ps_http_server_t *server, ps_http_request_t *request)
{
    (void)server;
    if (request->user) {
        PsExchange_HandleDisconnect(request->user);
    }
}

static const ps_http_server_events_t caller_events = {on_request, on_closed};

/* ---- Loop ------------------------------------------------------------- */

static void
run_dispatchers(ps_gateway_t *gateway, int64_t now_ms)
{
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, gateway->dispatchers);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        ps_scheduler_t *scheduler = &((ps_dispatcher_t *)value)->scheduler;
        PsRolloutRounds_UpdateVersions(scheduler, now_ms);
        PsScheduler_Run(scheduler, now_ms);
    }
}

// Restarts at the oldest exchange after each one that ended or moved to
// another server: the slot that it freed may have started, refused or ended
// others.
static void
run_exchanges(ps_gateway_t *gateway, int64_t now_ms)
{
    GList *l = gateway->exchanges.head;
    while (l) {
        bool has_changed = PsExchange_Run(l->data, now_ms);
        l = has_changed ? gateway->exchanges.head : l->next;
    }
}

// The allocator polls the store fast for all daemons. The others poll it
// slowly while the allocator's summaries are fresh and confirm the
// configuration.
static void
update_poll_rate(ps_gateway_t *gateway, int64_t now_ms)
{
    const ps_sharing_t *sharing = &gateway->sharing;
    bool is_allocator =
        PsName_IsEqual(&sharing->allocator_name, &gateway->self.name);
    bool relies_on_allocator =
        !is_allocator &&
        now_ms - gateway->last_summary_ms < SUMMARY_FRESH_MS &&
        now_ms - gateway->catalog_confirmed_ms < SUMMARY_FRESH_MS;
    if (!relies_on_allocator && gateway->catalog) {
        gateway->slow_poll_after_ms = now_ms + SLOW_POLL_DELAY_MS;
    }
    ps_poll_rate_t rate = PS_POLL_NORMAL;
    // Its own reports don't make a daemon read for others.
    if (is_allocator && g_hash_table_size(sharing->allocator.reporters) > 1) {
        rate = PS_POLL_FAST;
    }
    else if (relies_on_allocator && now_ms >= gateway->slow_poll_after_ms) {
        rate = PS_POLL_SLOW;
    }
    gateway->store_ops->set_poll_rate(gateway->store_ops, rate);
}

// A daemon that has not heard of the store for some time, itself or from the
// allocator, may have missed servers of another version.
static void
check_versions(ps_gateway_t *gateway, int64_t now_ms)
{
    if (gateway->catalog_confirmed_ms > 0 &&
        now_ms - gateway->catalog_confirmed_ms > VERSIONS_MISSED_MS) {
        PsVersionHistory_Forget(&gateway->version_history, now_ms);
    }
}

// After a pause of this daemon, what others have sent since waits at its
// sockets: the time of the pause shows no silence of theirs.
static void
check_pause(ps_gateway_t *gateway, int64_t now_ms)
{
    int64_t passed_ms = now_ms - gateway->last_tick_ms;
    if (gateway->last_tick_ms > 0 && passed_ms > PAUSE_MS) {
        PsEvents_Add("daemon.paused", "{s:I}", "ms", (json_int_t)passed_ms);
        PsSharing_HandlePause(&gateway->sharing, now_ms);
        GHashTableIter each;
        gpointer value;
        g_hash_table_iter_init(&each, gateway->dispatchers);
        while (g_hash_table_iter_next(&each, NULL, &value)) {
            ps_dispatcher_t *dispatcher = value;
            dispatcher->scheduler.paused_until_ms = now_ms;
        }
    }
    gateway->last_tick_ms = now_ms;
}

static double
get_shutdown_left_ms(const ps_gateway_t *gateway, int64_t now_ms)
{
    return gateway->settings.gateway.grace_s * 1000.0 -
           (double)(now_ms - gateway->shutdown_started_ms);
}

// Ends all requests of callers and of other daemons shortly before the process
// ends. Those that wait for a server go first, so that none of them is sent in
// a slot that another one frees.
static void
stop_requests(ps_gateway_t *gateway, int64_t now_ms)
{
    PsEvents_Add("daemon.stop_requests", "{s:i,s:i}", "in_progress",
                 (int)gateway->exchanges.length, "carried",
                 (int)gateway->forward_server.forwards.length);
    gateway->has_stopped_requests = true;
    GList *next;
    for (GList *l = gateway->exchanges.head; l; l = next) {
        next = l->next;
        if (!PsExchange_IsAtServer(l->data)) {
            PsExchange_Stop(l->data, now_ms);
        }
    }
    for (GList *l = gateway->exchanges.head; l; l = next) {
        next = l->next;
        PsExchange_Stop(l->data, now_ms);
    }
    PsForwardServer_Stop(&gateway->forward_server);
}

static void
on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    ps_gateway_t *gateway = timer->data;
    int64_t now_ms = PsClock_Now();
    check_pause(gateway, now_ms);
    check_versions(gateway, now_ms);
    if (PsBackendRegistry_MustRead(&gateway->backend_registry, now_ms)) {
        gateway->store_ops->read_now(gateway->store_ops, false, true, false);
    }
    PsReachChecks_Run(&gateway->reach_checks, now_ms);
    PsGatewayMemory_Run(gateway, now_ms);
    PsSharing_Run(&gateway->sharing, now_ms);
    PsOriginRecords_Run(gateway, now_ms);
    update_poll_rate(gateway, now_ms);
    run_dispatchers(gateway, now_ms);
    run_exchanges(gateway, now_ms);
    if (gateway->is_shutting_down && !gateway->has_stopped_requests &&
        get_shutdown_left_ms(gateway, now_ms) <= GRACE_MARGIN_MS) {
        stop_requests(gateway, now_ms);
    }
    PsEvents_Flush();
}

/* ---- Public functions ------------------------------------------------- */

static ps_status_t
listen_all(ps_gateway_t *gateway,
           const ps_http_server_events_t *readiness_events,
           const ps_http_server_events_t *directory_events)
{
    const ps_settings_t *settings = &gateway->settings;
    struct ev_loop *loop = gateway->loop;
    ps_status_t status =
        PsHttpServer_Init(&gateway->caller_server, &caller_events, gateway,
                          loop, &settings->caller_address, DEFAULT_BODY_MAX);
    PsMemoryBudget_Init(&gateway->memory, settings->gateway.memory_mb);
    PsHttpServer_SetBudget(&gateway->caller_server, &gateway->memory);
    PsHttpServer_ReportMalformed(&gateway->caller_server);
    if (status == PS_OK) {
        status = PsHttpServer_Init(&gateway->readiness_server,
                                   readiness_events, gateway, loop,
                                   &settings->gateway.ready_address, 0);
    }
    if (status == PS_OK) {
        status = PsHttpServer_Init(&gateway->directory_server,
                                   directory_events, gateway, loop,
                                   &settings->gateway.directory_address, 0);
    }
    if (status == PS_OK) {
        status = PsHttpServer_Init(&gateway->metrics_server,
                                   PsGatewayMetrics_GetEvents(), gateway, loop,
                                   &settings->admin_address, 0);
    }
    if (status == PS_OK) {
        status = PsForwardServer_Init(&gateway->forward_server, gateway);
    }
    return status;
}

ps_status_t
PsGateway_Init(ps_gateway_t *gateway, struct ev_loop *loop,
               const ps_settings_t *settings, const ps_dialect_t *dialect,
               const ps_http_server_events_t *readiness_events,
               const ps_http_server_events_t *directory_events)
{
    static const ps_backend_registry_events_t registry_events = {on_listed,
                                                                 on_unlisted};
    *gateway = (ps_gateway_t){
        .settings = *settings, .loop = loop, .dialect = dialect};
    gateway->started_ms = PsClock_Now();
    PsHttpClient_Init(&gateway->http_client, loop);
    PsHttpClient_SetBudget(&gateway->http_client, &gateway->memory);
    PsChanges_Init(&gateway->changes);
    PsBackendRegistry_Init(&gateway->backend_registry, &registry_events,
                           gateway);
    PsMarkCrashes_Init(&gateway->mark_crashes);
    PsStreamOrigins_Init(&gateway->stream_origins);
    PsOriginLog_Init(&gateway->origin_log);
    PsVersionHistory_Init(&gateway->version_history, PS_STREAM_ORIGIN_MS,
                          gateway->started_ms);
    PsReachChecks_Init(&gateway->reach_checks, gateway);
    gateway->dispatchers = g_hash_table_new(PsName_Hash, PsName_EqualKeys);
    gateway->quotas =
        g_hash_table_new_full(PsName_Hash, PsName_EqualKeys, g_free, g_free);
    gateway->members =
        g_hash_table_new_full(PsName_Hash, PsName_EqualKeys, NULL, g_free);
    gateway->self = (ps_daemon_info_t){
        .name = settings->name,
        .domain = settings->domain,
        .caller_address = settings->caller_address,
        .peer_address = settings->peer_address,
        .forward_address = settings->gateway.forward_address,
        .incarnation = (uint64_t)g_get_real_time(),
        .cpu_share = settings->gateway.cpu_share};
    ps_daemon_info_t *self = g_memdup2(&gateway->self, sizeof gateway->self);
    g_hash_table_insert(gateway->members, &self->name, self);
    PsRecentMembers_Init(&gateway->recent_members);
    PsForwarders_Init(&gateway->forwarders,
                      (uint32_t)gateway->self.incarnation);
    g_queue_init(&gateway->exchanges);
    ev_timer_init(&gateway->tick, on_tick, TICK_S, TICK_S);
    gateway->tick.data = gateway;
    ev_timer_start(loop, &gateway->tick);
    ps_status_t status = PsSharing_Init(&gateway->sharing, gateway, loop);
    gateway->sharing.allocator.started_ms = gateway->started_ms;
    return status == PS_OK
               ? listen_all(gateway, readiness_events, directory_events)
               : status;
}

void
PsGateway_Finish(ps_gateway_t *gateway)
{
    ev_timer_stop(gateway->loop, &gateway->tick);
    PsHttpServer_Finish(&gateway->caller_server);
    PsHttpServer_Finish(&gateway->readiness_server);
    PsHttpServer_Finish(&gateway->directory_server);
    PsHttpServer_Finish(&gateway->metrics_server);
    PsSharing_Finish(&gateway->sharing);
    PsCatalog_Unref(gateway->catalog);
    PsChanges_Finish(&gateway->changes);
    PsForwardServer_Finish(&gateway->forward_server);
    PsReachChecks_Finish(&gateway->reach_checks);
    PsMarkCrashes_Finish(&gateway->mark_crashes);
    PsStreamOrigins_Finish(&gateway->stream_origins);
    PsVersionHistory_Finish(&gateway->version_history);
    PsOriginLog_Finish(&gateway->origin_log);
    PsRecentMembers_Finish(&gateway->recent_members);
    PsEvents_Flush();
}

const ps_store_events_t *
PsGateway_GetStoreEvents(void)
{
    static const ps_store_events_t events = {
        .catalog_changed = on_catalog_changed,
        .catalog_confirmed = on_catalog_confirmed,
        .server_changed = on_server_changed,
        .server_removed = on_server_removed,
        .servers_listed = on_servers_listed,
        .member_changed = on_member_changed,
        .member_removed = on_member_removed,
        .members_listed = on_members_listed,
        .state_read = on_state_read,
        .state_saved = on_state_saved,
        .origins_read = on_origins_read,
        .origins_written = on_origins_written,
        .unavailable = on_store_unavailable,
        .available = on_store_available,
        .restored = on_store_restored,
        .rollout_changed = on_rollout_changed,
        .rollout_removed = on_rollout_removed,
        .rollouts_listed = on_rollouts_listed,
        .rollout_status_written = on_rollout_status_written,
        .rollout_record_read = on_rollout_record_read,
        .rollout_record_written = on_rollout_record_written};
    return &events;
}

void
PsGateway_StartShutdown(ps_gateway_t *gateway)
{
    if (gateway->is_shutting_down) {
        return;
    }
    gateway->is_shutting_down = true;
    gateway->shutdown_started_ms = PsClock_Now();
    PsHttpServer_DisableKeepAlive(&gateway->caller_server);
    PsHttpServer_DisableKeepAlive(&gateway->forward_server.server);
    PsEvents_Add("daemon.leave", "{s:i}", "in_progress",
                 (int)gateway->exchanges.length);
}

bool
PsGateway_HasShutDown(const ps_gateway_t *gateway)
{
    if (!gateway->is_shutting_down) {
        return false;
    }
    double left_ms = get_shutdown_left_ms(gateway, PsClock_Now());
    double grace_ms = gateway->settings.gateway.grace_s * 1000.0;
    bool may_end_early = gateway->has_stopped_requests ||
                         left_ms <= grace_ms * (1 - SHUTDOWN_MIN_SHARE);
    return left_ms <= GRACE_END_MARGIN_MS ||
           (may_end_early && gateway->exchanges.length == 0 &&
            PsForwardServer_IsIdle(&gateway->forward_server) &&
            PsHttpServer_GetRequestCount(&gateway->caller_server) == 0);
}

bool
PsGateway_AcceptsRequests(const ps_gateway_t *gateway, int64_t now_ms)
{
    double grace_ms = gateway->settings.gateway.grace_s * 1000.0;
    return !gateway->is_shutting_down ||
           (!gateway->has_stopped_requests &&
            get_shutdown_left_ms(gateway, now_ms) >
                grace_ms * (1 - ACCEPT_SHARE));
}

bool
PsGateway_IsReady(const ps_gateway_t *gateway)
{
    double age_ms = (double)(PsClock_Now() - gateway->catalog_confirmed_ms);
    return !gateway->is_shutting_down && gateway->catalog &&
           age_ms < READY_AGE_SHARE * gateway->settings.gateway.revoke_ms;
}

static bool
is_available(const ps_gateway_t *gateway, const ps_daemon_info_t *member,
             bool with_cut_off)
{
    if (PsName_IsEqual(&member->name, &gateway->self.name)) {
        return PsGateway_IsReady(gateway) &&
               (with_cut_off ||
                !PsReachChecks_IsCutOff(&gateway->reach_checks));
    }
    return !PsSharing_IsSilent(&gateway->sharing, &member->name) &&
           (with_cut_off ||
            !PsSharing_IsCutOff(&gateway->sharing, &member->name));
}

// Lists the available daemons, with or without those that reach servers only
// by way of others.
static int
list_available(const ps_gateway_t *gateway, const char *domain,
               bool with_cut_off, ps_address_candidate_t *candidates)
{
    int n = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, gateway->members);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const ps_daemon_info_t *member = value;
        if (is_available(gateway, member, with_cut_off)) {
            candidates[n++] = (ps_address_candidate_t){
                .name = &member->name,
                .address = &member->caller_address,
                .is_local = domain && PsName_IsEqualC(&member->domain, domain),
                .capacity = member->cpu_share};
        }
    }
    return n;
}

int
PsGateway_ListAddresses(const ps_gateway_t *gateway, const char *domain,
                        uint64_t caller, const ps_name_t **addresses, int max)
{
    ps_address_candidate_t *candidates =
        g_new(ps_address_candidate_t, g_hash_table_size(gateway->members) + 1);
    int n = list_available(gateway, domain, false, candidates);
    if (n == 0) {
        n = list_available(gateway, domain, true, candidates);
    }
    int sample = (int)gateway->settings.gateway.address_sample;
    n = sample > 0 ? PsAddressChoice_Pick(candidates, n, caller, addresses,
                                          MIN(sample, max))
                   : PsAddressChoice_ListAll(candidates, n, addresses, max);
    g_free(candidates);
    return n;
}

ps_dispatcher_t *
PsGateway_FindDispatcher(const ps_gateway_t *gateway, const ps_name_t *service)
{
    return g_hash_table_lookup(gateway->dispatchers, service);
}

ps_dispatcher_t *
PsGateway_GetDispatcher(ps_gateway_t *gateway, const ps_name_t *service)
{
    ps_dispatcher_t *dispatcher = PsGateway_FindDispatcher(gateway, service);
    if (dispatcher) {
        return dispatcher;
    }
    dispatcher = g_new0(ps_dispatcher_t, 1);
    dispatcher->name = *service;
    PsScheduler_Init(&dispatcher->scheduler, PsExchange_GetSchedulerEvents(),
                     gateway, service, (uint32_t)gateway->self.incarnation);
    dispatcher->scheduler.domain = gateway->settings.domain;
    dispatcher->scheduler.rollout.is_on =
        gateway->settings.gateway.rollout_exposure > 0;
    PsRetryBudget_Init(&dispatcher->retry_budget, gateway->started_ms);
    g_hash_table_insert(gateway->dispatchers, &dispatcher->name, dispatcher);
    divide_among_daemons(gateway);
    return dispatcher;
}

ps_rollout_context_t
PsGateway_GetRolloutContext(ps_gateway_t *gateway)
{
    return (ps_rollout_context_t){
        .store_ops = gateway->store_ops,
        .settings = &gateway->settings.gateway,
        .catalog = gateway->catalog,
        .is_allocator = PsName_IsEqual(&gateway->sharing.allocator_name,
                                       &gateway->self.name)};
}

void
PsGateway_ForEachBackend(const ps_gateway_t *gateway,
                         void (*visit)(void *user, ps_backend_t *backend),
                         void *user)
{
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, gateway->dispatchers);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        const GPtrArray *backends =
            ((ps_dispatcher_t *)value)->scheduler.backends;
        for (guint i = 0; i < backends->len; i++) {
            visit(user, backends->pdata[i]);
        }
    }
}

GPtrArray *
PsGateway_ListOthers(const ps_gateway_t *gateway)
{
    GPtrArray *names = g_ptr_array_new();
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, gateway->members);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        ps_daemon_info_t *member = value;
        if (!PsName_IsEqual(&member->name, &gateway->self.name) &&
            !PsSharing_IsSilent(&gateway->sharing, &member->name)) {
            g_ptr_array_add(names, &member->name);
        }
    }
    return names;
}

ps_quota_t *
PsGateway_GetQuota(ps_gateway_t *gateway, const ps_name_t *team)
{
    ps_quota_t *quota = g_hash_table_lookup(gateway->quotas, team);
    if (!quota) {
        quota = g_new0(ps_quota_t, 1);
        quota->known_from_ms = gateway->started_ms;
        g_hash_table_insert(gateway->quotas, g_memdup2(team, sizeof *team),
                            quota);
    }
    return quota;
}

int
PsGateway_CountQuotaDaemons(ps_gateway_t *gateway, int64_t now_ms)
{
    int64_t window_ms =
        (int64_t)(gateway->settings.gateway.quota_window_s * 1000.0);
    return (int)g_hash_table_size(gateway->members) +
           PsRecentMembers_CountLeft(&gateway->recent_members, window_ms,
                                     now_ms);
}

void
PsGateway_LogServerLimit(const ps_backend_t *backend, const char *from,
                         int64_t now_ms)
{
    const ps_limit_notice_t *notice = &backend->limit.notice;
    PsEvents_Add("server.limit", "{s:s,s:s,s:b,s:f,s:s,s:I}", "name",
                 backend->registration.name.data, "service",
                 backend->registration.service.data, "limited",
                 (int)PsServerLimit_IsLimited(&backend->limit), "rate",
                 MAX(notice->rate, 0.0), "from", from, "age_ms",
                 (json_int_t)(now_ms - notice->answered_ms));
}

void
PsGateway_MarkServerLeaving(ps_gateway_t *gateway,
                            const ps_registration_t *server, const char *from,
                            int64_t now_ms)
{
    const ps_backend_t *known =
        PsBackendRegistry_Find(&gateway->backend_registry, &server->name);
    if (!known || known->registration.started_ms != server->started_ms ||
        known->registration.has_said_leaving) {
        return;
    }
    ps_registration_t leaving = known->registration;
    leaving.has_said_leaving = true;
    PsEvents_Add("server.said_leaving", "{s:s,s:s,s:s}", "name",
                 leaving.name.data, "service", leaving.service.data, "from",
                 from);
    PsBackendRegistry_Set(&gateway->backend_registry, &leaving, now_ms);
}

static void
add_server_hash(void *sum, ps_backend_t *backend)
{
    uint64_t seed = (uint64_t)backend->registration.started_ms * 2 +
                    (backend->registration.is_leaving ? 1 : 0);
    *(uint64_t *)sum += XXH64(backend->registration.name.data,
                              backend->registration.name.len, seed);
}

uint64_t
PsGateway_HashServers(const ps_gateway_t *gateway)
{
    uint64_t sum = 0;
    PsGateway_ForEachBackend(gateway, add_server_hash, &sum);
    return sum;
}

uint64_t
PsGateway_HashMembers(const ps_gateway_t *gateway)
{
    uint64_t sum = 0;
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, gateway->members);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        const ps_daemon_info_t *member = value;
        sum += XXH64(member->name.data, member->name.len, 0);
    }
    return sum;
}

void
PsGateway_HandleStoreSummary(ps_gateway_t *gateway,
                             const ps_store_summary_t *summary, int64_t now_ms)
{
    uint64_t own_version = gateway->catalog ? gateway->catalog->version : 0;
    bool servers_differ =
        summary->servers_hash != PsGateway_HashServers(gateway);
    bool members_differ =
        summary->members_hash != PsGateway_HashMembers(gateway);
    if (!servers_differ && !members_differ) {
        gateway->mismatch_since_ms = 0;
    }
    else if (gateway->mismatch_since_ms == 0) {
        gateway->mismatch_since_ms = now_ms;
    }
    bool has_mismatch = gateway->mismatch_since_ms > 0 &&
                        now_ms - gateway->mismatch_since_ms > MISMATCH_MIN_MS;
    int64_t passed_ms = now_ms - gateway->last_summary_read_ms;
    // Any answer of a restored store shows its era.
    bool must_read_config =
        summary->version > own_version ||
        summary->store_era > gateway->store_ops->get_era(gateway->store_ops);
    if ((must_read_config && passed_ms > VERSION_READ_INTERVAL_MS) ||
        (has_mismatch && passed_ms > MISMATCH_READ_INTERVAL_MS)) {
        gateway->last_summary_read_ms = now_ms;
        gateway->store_ops->read_now(gateway->store_ops, must_read_config,
                                     servers_differ, members_differ);
    }
    if (summary->version == own_version) {
        gateway->catalog_confirmed_ms =
            MAX(gateway->catalog_confirmed_ms, summary->confirmed_ms);
    }
    gateway->last_summary_ms = now_ms;
}

void
PsGateway_ApplyServerChange(ps_gateway_t *gateway,
                            const ps_registration_t *registration,
                            bool is_removed, int64_t now_ms)
{
    gateway->is_applying_change = true;
    const ps_backend_t *known = PsBackendRegistry_Find(
        &gateway->backend_registry, &registration->name);
    bool is_same_start =
        known && known->registration.started_ms == registration->started_ms;
    if (is_removed && is_same_start) {
        PsBackendRegistry_Remove(&gateway->backend_registry,
                                 &registration->name, now_ms);
        gateway->store_ops->forget_server(gateway->store_ops,
                                          &registration->name);
    }
    else if (!is_removed && is_same_start && registration->is_leaving &&
             !known->registration.is_leaving) {
        PsBackendRegistry_Set(&gateway->backend_registry, registration,
                              now_ms);
    }
    else if (!is_removed && !known && !registration->is_leaving &&
             !PsChanges_IsServerRemoved(&gateway->changes, &registration->name,
                                        registration->started_ms)) {
        PsBackendRegistry_Set(&gateway->backend_registry, registration,
                              now_ms);
    }
    gateway->is_applying_change = false;
}

void
PsGateway_ApplyMemberChange(ps_gateway_t *gateway,
                            const ps_daemon_info_t *info, bool is_removed)
{
    gateway->is_applying_change = true;
    const ps_daemon_info_t *known =
        g_hash_table_lookup(gateway->members, &info->name);
    if (is_removed && known && known->incarnation == info->incarnation) {
        on_member_removed(gateway, &info->name);
    }
    else if (!is_removed &&
             (!known || known->incarnation < info->incarnation)) {
        on_member_changed(gateway, info);
    }
    gateway->is_applying_change = false;
}

bool
PsGateway_IsCatalogFresh(const ps_gateway_t *gateway, int64_t now_ms)
{
    double age_ms = (double)(now_ms - gateway->catalog_confirmed_ms);
    return age_ms < gateway->settings.gateway.revoke_ms - REVOKE_MARGIN_MS;
}
