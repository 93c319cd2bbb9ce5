/* allocator_rounds.c - The allocator's rounds: reports in, grants out. */
#include "allocator_rounds.h"

#include <math.h>

#include "clock.h"
#include "events_log.h"
#include "gateway.h"
#include "member_doubts.h"
#include "origin_lookups.h"
#include "pace_messages.h"
#include "team_messages.h"

// A member that has sent nothing for this long is asked for an answer, and
// again at this interval: it may report to another allocator.
#define PROBE_MS 350

// Age up to which a daemon's word that servers are brittle holds, should its
// reports stop.
#define BRITTLE_REPORT_MAX_AGE_MS 3000

// Shortest time between two writes of the allocator's state to the store.
#define SAVE_INTERVAL_MS 500

// A daemon must have been the allocator for this long before it saves the
// versions that have served: after a start each daemon is, until it knows
// others.
#define SAVE_VERSIONS_DELAY_MS 3000

// Time that a report takes at most, unless links or daemons are disturbed. A
// notice of a server's limit in it may be older than it says by that much.
#define REPORT_DELAY_MAX_MS 100

#define WAIT_MAX_MS 60000.0 /* longer estimates are cut to it */
#define STARTS_MAX 100000   /* more in one report are not counted */

/* The fields that are the same in all grants of a round. */
typedef struct round_data {
    GPtrArray *silent;          /* names of members that do not report */
    GPtrArray *cut_off;         /* names of members that reach no server of
                                   some service */
    Ps__ContentCrash **crashes; /* of banned contents */
    size_t n_crashes;
    uint64_t cleared[PS_MARKS_CLEARED_MAX];
    size_t n_cleared;
    uint64_t servers_hash; /* PsGateway_HashServers() */
    uint64_t members_hash; /* PsGateway_HashMembers() */
} round_data_t;

/* ---- Reports and grants ----------------------------------------------- */

// Tells whether all numbers of units are finite and not negative. Others would
// corrupt the quota's sums for a whole window.
static bool
has_valid_units(const Ps__TeamUse *use_message)
{
    const double all[] = {use_message->spent, use_message->wanted,
                          use_message->total};
    for (size_t i = 0; i < G_N_ELEMENTS(all); i++) {
        if (!isfinite(all[i]) || all[i] < 0) {
            return false;
        }
    }
    return true;
}

static void
handle_server_limits(ps_sharing_t *sharing, ps_reporter_t *reporter,
                     const Ps__ServiceUse *use, const ps_name_t *service,
                     int64_t now_ms)
{
    const ps_dispatcher_t *dispatcher =
        PsGateway_FindDispatcher(sharing->gateway, service);
    for (size_t i = 0; dispatcher && i < use->n_server_limits; i++) {
        const Ps__ServerLimit *message = use->server_limits[i];
        const ps_backend_t *backend = PsSharing_MergeServerLimit(
            &dispatcher->scheduler, message, &reporter->name,
            now_ms - REPORT_DELAY_MAX_MS, now_ms);
        if (backend) {
            PsAllocator_SetStarts(&sharing->allocator, reporter,
                                  message->server, message->starts, now_ms);
        }
        if (backend && message->said_leaving) {
            PsGateway_MarkServerLeaving(sharing->gateway,
                                        &backend->registration,
                                        reporter->name.data, now_ms);
        }
    }
}

void
PsAllocatorRounds_HandleReport(ps_sharing_t *sharing, const ps_name_t *from,
                               const Ps__ShareReport *report, int64_t now_ms)
{
    ps_allocator_t *allocator = &sharing->allocator;
    const ps_reporter_t *known =
        g_hash_table_lookup(allocator->reporters, from);
    uint64_t start = known ? known->incarnation : 0;
    if (known && (int64_t)report->age_ms < known->age_ms) {
        start++; // the daemon has started again since its last report
    }
    ps_reporter_t *reporter =
        PsAllocator_StartReport(allocator, from, start, now_ms);
    reporter->round = report->round;
    reporter->age_ms = (int64_t)report->age_ms;
    reporter->is_quota_by_bucket = report->quota_by_bucket;
    for (size_t i = 0; i < report->n_services; i++) {
        const Ps__ServiceUse *use_message = report->services[i];
        ps_name_t service = PsName_FromC(use_message->service);
        ps_service_use_t *use = PsReporter_GetServiceUse(reporter, &service);
        use->is_brittle = use_message->brittle;
        for (size_t k = 0; k < use_message->n_running; k++) {
            ps_slot_count_t count = {use_message->running[k]->server,
                                     (int)use_message->running[k]->count};
            g_array_append_val(use->running, count);
        }
        for (size_t k = 0; k < use_message->n_waiting; k++) {
            ps_waiting_count_t count = {use_message->waiting[k]->rank,
                                        (int)use_message->waiting[k]->count};
            g_array_append_val(use->waiting, count);
        }
        PsTeamMessages_HandleReport(allocator, &service, use_message, use,
                                    now_ms);
        handle_server_limits(sharing, reporter, use_message, &service, now_ms);
        PsPaceMessages_HandleSamples(&allocator->models, use_message, now_ms);
        ps_dispatcher_t *dispatcher =
            PsGateway_FindDispatcher(sharing->gateway, &service);
        if (dispatcher) {
            PsRolloutRounds_HandleUse(dispatcher->rollout, from,
                                      use_message->rollout, now_ms);
        }
        for (size_t k = 0; dispatcher && k < use_message->n_started; k++) {
            const Ps__WaitingCount *started = use_message->started[k];
            PsFleetWaits_AddStarts(&dispatcher->fleet_waits, started->rank,
                                   (int)MIN(started->count, STARTS_MAX),
                                   now_ms);
        }
        for (size_t k = 0; k < use_message->n_outcomes; k++) {
            const Ps__ServerOutcomes *each = use_message->outcomes[k];
            ps_outcomes_t outcomes = {each->good, each->failed, each->absent};
            PsOutliers_AddOutcomes(&allocator->outliers, each->server,
                                   &outcomes, now_ms);
            if (dispatcher) {
                dispatcher->n_ended += (int)(each->good + each->failed);
            }
        }
    }
    for (size_t i = 0; i < report->n_teams; i++) {
        const Ps__TeamUse *use_message = report->teams[i];
        ps_name_t team = PsName_FromC(use_message->team);
        if (!has_valid_units(use_message)) {
            PsEvents_Add(
                "sharing.malformed", "{s:s,s:s,s:s}", "from", from->data,
                "team", team.data, "reason",
                "quota use has a negative or non-finite number of units");
            continue;
        }
        PsAllocator_SetTeamUse(allocator, reporter, &team, use_message->spent,
                               use_message->wanted, use_message->total,
                               now_ms);
    }
    PsQuotaAdmission_HandleReport(sharing, from, report, now_ms);
    ps_mark_crashes_t *crashes = &sharing->gateway->mark_crashes;
    PsMarkCrashes_MergeCleared(crashes, report->cleared, report->n_cleared,
                               from, now_ms);
    PsMarkCrashes_Merge(crashes, report->crashes, report->n_crashes, from,
                        now_ms);
    reporter->is_cut_off = report->cut_off;
    if (report->leaving) {
        reporter->is_leaving = true;
    }
}

// Tells whether a server of a service has told any daemon that it is brittle.
static bool
is_any_told_brittle(const ps_sharing_t *sharing, const ps_name_t *service,
                    int64_t now_ms)
{
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, sharing->allocator.reporters);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        const ps_reporter_t *reporter = value;
        const ps_service_use_t *use =
            g_hash_table_lookup(reporter->services, service);
        if (use && use->is_brittle &&
            now_ms - reporter->reported_ms <= BRITTLE_REPORT_MAX_AGE_MS) {
            return true;
        }
    }
    return false;
}

// Returns how many times the slots of a service's servers are granted. Model
// engines get no more than they run at once, nor do brittle servers.
static double
get_slots_factor(ps_sharing_t *sharing, ps_dispatcher_t *dispatcher,
                 int n_daemons, int64_t now_ms)
{
    if (dispatcher->scheduler.is_engine || dispatcher->is_brittle) {
        return 1.0;
    }
    const GPtrArray *backends = dispatcher->scheduler.backends;
    int n_slots = 0;
    for (guint i = 0; i < backends->len; i++) {
        const ps_backend_t *backend = backends->pdata[i];
        n_slots +=
            backend->registration.is_leaving ? 0 : backend->registration.slots;
    }
    int n_running = PsAllocator_CountRunning(&sharing->allocator,
                                             &dispatcher->name, now_ms);
    int n_ended = dispatcher->n_ended;
    dispatcher->n_ended = 0;
    return PsOvercommit_Update(&dispatcher->overcommit, n_running, n_ended,
                               n_slots, n_daemons);
}

static void
estimate_waits(ps_sharing_t *sharing, ps_dispatcher_t *dispatcher,
               int64_t now_ms)
{
    ps_waiting_count_t counts[PS_RANKS_MAX];
    dispatcher->n_waits = PsAllocator_CountWaiting(
        &sharing->allocator, &dispatcher->name, counts, PS_RANKS_MAX, now_ms);
    PsFleetWaits_Estimate(&dispatcher->fleet_waits, counts,
                          dispatcher->n_waits, dispatcher->waits, now_ms);
}

static bool gets_most_reports(const ps_sharing_t *sharing, int64_t now_ms);

// Takes the steps of a service's roll-out that are due.
static void
run_rollout(ps_sharing_t *sharing, ps_dispatcher_t *dispatcher, int n_daemons,
            int64_t now_ms)
{
    if (!dispatcher->rollout) {
        return;
    }
    ps_rollout_context_t context =
        PsGateway_GetRolloutContext(sharing->gateway);
    context.is_allocator =
        context.is_allocator && gets_most_reports(sharing, now_ms);
    context.n_daemons = n_daemons;
    PsRolloutRounds_Run(dispatcher->rollout, &dispatcher->scheduler, &context,
                        now_ms);
}

// Tells a service's roll-out how many slots of its target each daemon has got.
static void
note_rollout_slots(ps_sharing_t *sharing, const ps_dispatcher_t *dispatcher)
{
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, sharing->allocator.reporters);
    while (dispatcher->rollout &&
           g_hash_table_iter_next(&each, NULL, &value)) {
        const ps_reporter_t *reporter = value;
        const ps_service_use_t *use =
            g_hash_table_lookup(reporter->services, &dispatcher->name);
        const GPtrArray *backends = dispatcher->scheduler.backends;
        int n = 0;
        for (guint i = 0; use && i < backends->len; i++) {
            const ps_backend_t *backend = backends->pdata[i];
            if (backend->version == dispatcher->rollout->target) {
                n += PsServiceUse_CountGranted(use,
                                               PsSharing_HashServer(backend));
            }
        }
        PsRolloutRounds_SetFreeSlots(dispatcher->rollout, &reporter->name, n);
    }
}

static void
divide_service(ps_sharing_t *sharing, ps_dispatcher_t *dispatcher,
               int64_t now_ms)
{
    const GPtrArray *backends = dispatcher->scheduler.backends;
    ps_slot_count_t *slots = g_new0(ps_slot_count_t, backends->len + 1);
    dispatcher->is_brittle =
        is_any_told_brittle(sharing, &dispatcher->name, now_ms);
    int members = (int)g_hash_table_size(sharing->gateway->members);
    double factor = get_slots_factor(sharing, dispatcher, members, now_ms);
    run_rollout(sharing, dispatcher, members, now_ms);
    int n = 0;
    for (guint i = 0; i < backends->len; i++) {
        const ps_backend_t *backend = backends->pdata[i];
        uint32_t server = PsSharing_HashServer(backend);
        PsAllocator_SetServerRate(
            &sharing->allocator, server,
            PsServerLimit_IsLimited(&backend->limit)
                ? MAX(backend->limit.notice.rate, PS_SERVER_RATE_MIN)
                : PS_SERVER_RATE_NONE,
            now_ms);
        PsPaceMessages_SetServer(&sharing->allocator.models, server, backend,
                                 dispatcher->scheduler.is_engine, now_ms);
        if (!backend->registration.is_leaving &&
            PsRolloutRounds_GrantsSlots(dispatcher->rollout,
                                        &dispatcher->scheduler, backend,
                                        now_ms)) {
            slots[n].server = server;
            slots[n++].count =
                (int)(backend->registration.slots * factor + 0.5);
        }
    }
    if (!dispatcher->scheduler.is_engine && !dispatcher->is_brittle) {
        PsSlotOrder_WeighSlots(&sharing->allocator.models, slots, n);
    }
    if (dispatcher->scheduler.is_engine) {
        estimate_waits(sharing, dispatcher, now_ms);
    }
    PsTeamMessages_StartRound(&sharing->allocator, &dispatcher->name,
                              sharing->gateway->catalog, now_ms);
    PsAllocator_DivideSlots(&sharing->allocator, &dispatcher->name, slots, n,
                            members, now_ms);
    note_rollout_slots(sharing, dispatcher);
    g_free(slots);
}

// Adds the limits that servers have named to any daemon, and how many requests
// one daemon may send there. This daemon's own grant has no notices: read back
// with the time of the message added, they would become younger in each round.
static void
add_limits_to_grant(Ps__ServiceGrant *grant, const ps_dispatcher_t *dispatcher,
                    const ps_service_use_t *use, bool is_own, int64_t now_ms)
{
    const GPtrArray *backends = dispatcher->scheduler.backends;
    grant->server_limits = g_new0(Ps__ServerLimit *, backends->len + 1);
    for (guint i = 0; i < backends->len; i++) {
        const ps_backend_t *backend = backends->pdata[i];
        if (!PsServerLimit_IsTold(&backend->limit, now_ms)) {
            continue;
        }
        Ps__ServerLimit *message = g_new(Ps__ServerLimit, 1);
        ps__server_limit__init(message);
        PsSharing_SetLimitNotice(message, backend, &backend->limit.notice,
                                 now_ms);
        message->has_notice = message->has_notice && !is_own;
        message->starts =
            (uint64_t)PsServiceUse_CountGranted(use, message->server);
        grant->server_limits[grant->n_server_limits++] = message;
    }
}

// Plain requests wait for less than a round, so that no wait is told for them.
static void
add_waits_to_grant(Ps__ServiceGrant *grant, const ps_dispatcher_t *dispatcher)
{
    grant->has_waits = dispatcher->scheduler.is_engine;
    if (!grant->has_waits) {
        return;
    }
    grant->waits = g_new0(Ps__RankWait *, dispatcher->n_waits + 1);
    for (int i = 0; i < dispatcher->n_waits; i++) {
        Ps__RankWait *wait = g_new(Ps__RankWait, 1);
        ps__rank_wait__init(wait);
        wait->rank = dispatcher->waits[i].rank;
        wait->ms = (uint32_t)MIN(dispatcher->waits[i].ms, WAIT_MAX_MS);
        grant->waits[grant->n_waits++] = wait;
    }
}

static Ps__ServiceGrant *
make_service_grant(const ps_name_t *service, const ps_service_use_t *use)
{
    Ps__ServiceGrant *grant = g_new(Ps__ServiceGrant, 1);
    ps__service_grant__init(grant);
    grant->service = (char *)(uintptr_t)service->data;
    grant->limits = g_new0(Ps__ServerCount *, use->limits->len + 1);
    for (guint i = 0; i < use->limits->len; i++) {
        const ps_slot_count_t *limit =
            &g_array_index(use->limits, ps_slot_count_t, i);
        Ps__ServerCount *count = g_new(Ps__ServerCount, 1);
        ps__server_count__init(count);
        count->server = limit->server;
        count->count = (uint32_t)limit->count;
        grant->limits[grant->n_limits++] = count;
    }
    return grant;
}

static void
add_service_grants(ps_sharing_t *sharing, Ps__ShareGrant *grant,
                   ps_reporter_t *reporter, int64_t now_ms)
{
    ps_allocator_t *allocator = &sharing->allocator;
    bool is_own = PsName_IsEqual(&reporter->name, &sharing->peers.self);
    grant->services =
        g_new0(Ps__ServiceGrant *, g_hash_table_size(reporter->services) + 1);
    GHashTableIter each;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&each, reporter->services);
    while (g_hash_table_iter_next(&each, &key, &value)) {
        Ps__ServiceGrant *service = make_service_grant(key, value);
        PsTeamMessages_AddToGrant(allocator, key, service, reporter->round,
                                  now_ms);
        const ps_dispatcher_t *dispatcher =
            PsGateway_FindDispatcher(sharing->gateway, key);
        if (dispatcher) {
            add_limits_to_grant(service, dispatcher, value, is_own, now_ms);
            service->brittle = dispatcher->is_brittle;
            add_waits_to_grant(service, dispatcher);
            PsPaceMessages_AddPaces(service, &sharing->allocator.models,
                                    &dispatcher->scheduler, value);
            service->rollout = PsRolloutRounds_MakeGrant(
                dispatcher->rollout, &reporter->name, now_ms);
        }
        grant->services[grant->n_services++] = service;
    }
}

static void
add_team_grants(const ps_allocator_t *allocator, Ps__ShareGrant *grant,
                ps_reporter_t *reporter)
{
    grant->teams =
        g_new0(Ps__TeamGrant *, g_hash_table_size(reporter->teams) + 1);
    GHashTableIter each;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&each, reporter->teams);
    while (g_hash_table_iter_next(&each, &key, &value)) {
        const ps_quota_t *quota =
            g_hash_table_lookup(allocator->team_quotas, key);
        if (!quota || quota->limit <= 0) {
            continue;
        }
        Ps__TeamGrant *team = g_new(Ps__TeamGrant, 1);
        ps__team_grant__init(team);
        team->team = ((ps_name_t *)key)->data;
        team->units = ((ps_team_use_t *)value)->granted;
        grant->teams[grant->n_teams++] = team;
    }
}

// Adds what this daemon knows of the store to a grant: the configuration's
// version and the time since it was confirmed as the newest, hashes of servers
// and members, and recent changes.
static void
add_store_state(const ps_sharing_t *sharing, Ps__ShareGrant *grant,
                const round_data_t *round)
{
    const ps_gateway_t *gateway = sharing->gateway;
    int64_t age_ms = PsClock_Now() - gateway->catalog_confirmed_ms;
    grant->config_version = gateway->catalog ? gateway->catalog->version : 0;
    grant->config_age_ms = (uint32_t)CLAMP(age_ms, 0, INT32_MAX);
    grant->servers_hash = round->servers_hash;
    grant->members_hash = round->members_hash;
    grant->store_era = gateway->store_ops->get_era(gateway->store_ops);
    PsChanges_AddToGrant(&gateway->changes, grant, PsClock_Now());
}

static void
send_grant(ps_sharing_t *sharing, ps_reporter_t *reporter, round_data_t *round)
{
    Ps__ShareGrant grant = PS__SHARE_GRANT__INIT;
    grant.round = reporter->round;
    add_service_grants(sharing, &grant, reporter, PsClock_Now());
    if (!PsQuotaAdmission_AddGrants(sharing, reporter, &grant,
                                    PsClock_Now())) {
        add_team_grants(&sharing->allocator, &grant, reporter);
    }
    grant.silent = (char **)round->silent->pdata;
    grant.n_silent = round->silent->len;
    grant.cut_off = (char **)round->cut_off->pdata;
    grant.n_cut_off = round->cut_off->len;
    grant.crashes = round->crashes;
    grant.n_crashes = round->n_crashes;
    grant.cleared = round->cleared;
    grant.n_cleared = round->n_cleared;
    grant.leaving = sharing->gateway->is_shutting_down;
    add_store_state(sharing, &grant, round);
    Ps__Frame frame = PS__FRAME__INIT;
    frame.body_case = PS__FRAME__BODY_SHARE_GRANT;
    frame.share_grant = &grant;
    PsPeers_Send(&sharing->peers, &reporter->name, &frame);
    for (size_t i = 0; i < grant.n_services; i++) {
        Ps__ServiceGrant *each = grant.services[i];
        for (size_t k = 0; k < each->n_limits; k++) {
            g_free(each->limits[k]);
        }
        for (size_t k = 0; k < each->n_server_limits; k++) {
            g_free(each->server_limits[k]);
        }
        for (size_t k = 0; k < each->n_waits; k++) {
            g_free(each->waits[k]);
        }
        PsPaceMessages_FreePaces(each);
        PsTeamMessages_FreeInGrant(each);
        PsRolloutRounds_FreeGrant(each->rollout);
        g_free(each->waits);
        g_free(each->limits);
        g_free(each->server_limits);
        g_free(each);
    }
    PsQuotaAdmission_FreeGrants(&grant);
    PsChanges_FreeInGrant(&grant);
    g_free(grant.services);
}

// Tells whether most members have a fresh report here. If not, this daemon was
// probably cut off or paused, and must not remove all others as dead.
static bool
gets_most_reports(const ps_sharing_t *sharing, int64_t now_ms)
{
    guint fresh = 0;
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, sharing->allocator.reporters);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        const ps_reporter_t *reporter = value;
        fresh +=
            now_ms - reporter->reported_ms <= PS_REPORT_MAX_AGE_MS ? 1 : 0;
    }
    return fresh * 2 > g_hash_table_size(sharing->gateway->members);
}

static void
write_doubt(ps_sharing_t *sharing, const ps_daemon_info_t *member,
            bool is_doubted)
{
    const ps_store_ops_t *ops = sharing->gateway->store_ops;
    ps_daemon_info_t written = *member;
    written.is_doubted = is_doubted;
    PsEvents_Add("member.doubt", "{s:s,s:b}", "name", member->name.data,
                 "doubted", (int)is_doubted);
    ops->write_member(ops, &written);
}

static void
check_member(ps_sharing_t *sharing, ps_daemon_info_t *member,
             const ps_member_sight_t *sight, int64_t now_ms)
{
    const ps_store_ops_t *ops = sharing->gateway->store_ops;
    switch (PsMemberDoubts_Decide(member, sight, &sharing->next_doubt_ms,
                                  now_ms)) {
    case PS_MEMBER_KEEP:
        return;
    case PS_MEMBER_DOUBT:
        write_doubt(sharing, member, true);
        return;
    case PS_MEMBER_DENY:
        write_doubt(sharing, member, false);
        return;
    case PS_MEMBER_REMOVE:
        PsEvents_Add("member.dead", "{s:s,s:I,s:b}", "name", member->name.data,
                     "silent_ms", (json_int_t)sight->silent_ms, "doubted",
                     (int)member->is_doubted);
        ops->remove_member(ops, member);
        return;
    }
}

// Lists members that are heard of no more, asks them for an answer, and
// removes those that are dead. Without most reports none is listed: it may be
// this daemon that is cut off.
static GPtrArray *
list_silent(ps_sharing_t *sharing, int64_t now_ms)
{
    GPtrArray *silent = g_ptr_array_new();
    ps_member_sight_t sight = {
        .has_most = gets_most_reports(sharing, now_ms),
        .is_allocator = PsName_IsEqual(&sharing->allocator_name,
                                       &sharing->gateway->self.name)};
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, sharing->gateway->members);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        ps_daemon_info_t *member = value;
        const ps_reporter_t *reporter =
            g_hash_table_lookup(sharing->allocator.reporters, &member->name);
        sight.heard_ms =
            MAX(reporter ? reporter->reported_ms : 0, member->heard_ms);
        int64_t last_seen_ms =
            MAX(sight.heard_ms,
                MAX(member->joined_ms, sharing->allocator_since_ms));
        sight.silent_ms = now_ms - last_seen_ms;
        if ((sight.has_most || sight.is_allocator) &&
            now_ms - MAX(last_seen_ms, member->probed_ms) > PROBE_MS) {
            member->probed_ms = now_ms;
            PsOriginLookups_Probe(sharing->gateway, &member->name);
        }
        if (sight.has_most && sight.silent_ms > PS_MEMBER_SILENT_MS) {
            g_ptr_array_add(silent, member->name.data);
        }
        check_member(sharing, member, &sight, now_ms);
    }
    return silent;
}

static GPtrArray *
list_cut_off(const ps_sharing_t *sharing, int64_t now_ms)
{
    GPtrArray *cut_off = g_ptr_array_new();
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, sharing->allocator.reporters);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        ps_reporter_t *reporter = value;
        if (reporter->is_cut_off &&
            now_ms - reporter->reported_ms <= PS_REPORT_MAX_AGE_MS) {
            g_ptr_array_add(cut_off, reporter->name.data);
        }
    }
    return cut_off;
}

// Saves in the store how much teams have spent of their quotas, the crashes of
// contents, and the versions that have served.
static void
save_state(ps_sharing_t *sharing, int64_t now_ms)
{
    if (now_ms < sharing->next_state_save_ms ||
        !gets_most_reports(sharing, now_ms)) {
        return;
    }
    ps_mark_crashes_t *crashes = &sharing->gateway->mark_crashes;
    ps_version_history_t *history = &sharing->gateway->version_history;
    ps_stored_state_t state;
    state.n_teams = PsAllocator_GetQuotaUsage(&sharing->allocator, state.teams,
                                              PS_STORED_TEAMS_MAX, now_ms);
    bool must_save_versions =
        history->is_unsaved &&
        now_ms - sharing->allocator_since_ms >= SAVE_VERSIONS_DELAY_MS;
    // An empty list of teams is saved once, to replace a list with teams.
    if (state.n_teams == 0 && sharing->is_stored_usage_empty &&
        !crashes->has_unsaved_crash && !must_save_versions) {
        return;
    }
    state.n_versions = PsVersionHistory_List(history, state.versions,
                                             PS_STORED_VERSIONS_MAX, now_ms);
    state.has_versions = state.n_versions <= PS_STORED_VERSIONS_MAX;
    state.versions_from_ms = history->known_from_ms;
    state.n_crashes = PsSuspects_ListAllCrashes(
        &crashes->suspects, state.crashes, PS_STORED_CRASHES_MAX, now_ms);
    sharing->next_state_save_ms = now_ms + SAVE_INTERVAL_MS;
    if (sharing->gateway->store_ops->save_state(sharing->gateway->store_ops,
                                                &state)) {
        sharing->is_stored_usage_empty = state.n_teams == 0;
        crashes->has_unsaved_crash = false;
        history->is_unsaved = false;
    }
}

void
PsAllocatorRounds_Run(ps_sharing_t *sharing, int64_t now_ms)
{
    sharing->allocator.models.is_enabled =
        sharing->gateway->settings.gateway.learned_limits;
    sharing->allocator.has_team_shares =
        sharing->gateway->settings.gateway.has_team_shares;
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, sharing->gateway->dispatchers);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        divide_service(sharing, value, now_ms);
    }
    int n_daemons = PsGateway_CountQuotaDaemons(sharing->gateway, now_ms);
    PsQuotaAdmission_Divide(sharing, n_daemons, now_ms);
    save_state(sharing, now_ms);
    round_data_t round = {
        .silent = list_silent(sharing, now_ms),
        .cut_off = list_cut_off(sharing, now_ms),
        .servers_hash = PsGateway_HashServers(sharing->gateway),
        .members_hash = PsGateway_HashMembers(sharing->gateway)};
    round.crashes = PsMarkCrashes_MakeMessages(
        &sharing->gateway->mark_crashes.to_members, &round.n_crashes, now_ms);
    round.n_cleared = PsMarkCrashes_ListCleared(
        &sharing->gateway->mark_crashes, round.cleared, now_ms);
    g_hash_table_iter_init(&each, sharing->allocator.reporters);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        ps_reporter_t *reporter = value;
        if (now_ms - reporter->reported_ms <= PS_REPORT_MAX_AGE_MS) {
            send_grant(sharing, reporter, &round);
        }
    }
    PsMarkCrashes_FreeMessages(round.crashes, round.n_crashes);
    g_ptr_array_unref(round.silent);
    g_ptr_array_unref(round.cut_off);
}
