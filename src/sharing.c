/* sharing.c - Sends reports to the allocator and applies its grants. */
#include "sharing.h"

#include <math.h>
#include <xxhash.h>

#include "allocator_choice.h"
#include "allocator_rounds.h"
#include "clock.h"
#include "events_log.h"
#include "gateway.h"
#include "origin_lookups.h"
#include "pace_messages.h"
#include "quota_messages.h"
#include "team_messages.h"

// Interval between reports. It grows with the number of daemons, to bound the
// allocator's load.
#define ROUND_MIN_MS 20
#define ROUND_MAX_MS 150
#define ROUND_PER_DAEMON_MS 0.3

// Times without a grant, and what follows when they are over.
#define GRANT_TTL_MS 400 /* even shares are used from then on */
#define RECONNECT_MS 300 /* the connection may have failed silently */

G_STATIC_ASSERT(RECONNECT_MS == PS_ELECTION_PROBE_MS);

#define CHOICE_INTERVAL_MS 500 /* between checks for a better allocator */

// Age from which an allocator's configuration is stale: two reads of the store
// have failed.
#define CONFIG_AGE_MAX_MS 2500

#define WANTED_DECAY 0.95 /* factor on units asked for, at each report */

G_STATIC_ASSERT(PS_SERVER_LIMIT_ROUNDS >= PS_SHARING_ROUNDS_KEPT);

/* ---- Reports ---------------------------------------------------------- */

uint32_t
PsSharing_HashServer(const ps_backend_t *backend)
{
    return XXH32(backend->registration.name.data,
                 backend->registration.name.len, 0);
}

void
PsSharing_SetLimitNotice(Ps__ServerLimit *message, const ps_backend_t *backend,
                         const ps_limit_notice_t *notice, int64_t now_ms)
{
    message->server = PsSharing_HashServer(backend);
    message->started_ms = backend->registration.started_ms;
    message->has_notice = notice->answered_ms > 0;
    message->rate = notice->rate;
    message->asked_age_ms =
        (uint32_t)CLAMP(now_ms - notice->asked_ms, 0, INT32_MAX);
    message->answered_age_ms =
        (uint32_t)CLAMP(now_ms - notice->answered_ms, 0, INT32_MAX);
}

ps_backend_t *
PsSharing_MergeServerLimit(const ps_scheduler_t *scheduler,
                           const Ps__ServerLimit *message,
                           const ps_name_t *from, int64_t sent_ms,
                           int64_t now_ms)
{
    const GPtrArray *backends = scheduler->backends;
    for (guint i = 0; i < backends->len; i++) {
        ps_backend_t *backend = backends->pdata[i];
        if (PsSharing_HashServer(backend) != message->server ||
            backend->registration.started_ms != message->started_ms) {
            continue;
        }
        ps_limit_notice_t notice = {
            .rate = message->rate,
            .asked_ms = sent_ms - (int64_t)message->asked_age_ms,
            .answered_ms = now_ms - (int64_t)message->answered_age_ms};
        if (message->has_notice && isfinite(message->rate) &&
            PsServerLimit_MergeNotice(&backend->limit, &notice, now_ms)) {
            PsGateway_LogServerLimit(backend, from->data, now_ms);
        }
        return backend;
    }
    return NULL;
}

static ps_spending_t *
get_spending(ps_sharing_t *sharing, const ps_name_t *team)
{
    ps_spending_t *spending = g_hash_table_lookup(sharing->spending, team);
    if (!spending) {
        spending = g_new0(ps_spending_t, 1);
        spending->team = *team;
        g_hash_table_insert(sharing->spending, &spending->team, spending);
    }
    return spending;
}

// Moves a server's outcomes since the last report into the next report.
static void
add_outcomes(Ps__ServiceUse *use, ps_backend_t *backend, int64_t now_ms)
{
    ps_outcomes_t *unreported = &backend->unreported_outcomes;
    // While it isn't known whose failures they are, they are not reported.
    ps_outcomes_t held = {0};
    if (backend->reach.is_checking ||
        PsServerReach_UsesPeers(&backend->reach, now_ms)) {
        held = *unreported;
        held.good = 0;
        unreported->failed = 0;
        unreported->absent = 0;
    }
    if (unreported->good + unreported->failed + unreported->absent == 0) {
        *unreported = held;
        return;
    }
    Ps__ServerOutcomes *outcomes = g_new(Ps__ServerOutcomes, 1);
    ps__server_outcomes__init(outcomes);
    outcomes->server = PsSharing_HashServer(backend);
    outcomes->good = unreported->good;
    outcomes->failed = unreported->failed;
    outcomes->absent = unreported->absent;
    use->outcomes[use->n_outcomes++] = outcomes;
    *unreported = held;
}

// Adds what this daemon knows from a server itself, its limit and that it
// leaves, and what it has sent there, to the next report.
static void
add_server_limit(Ps__ServiceUse *use, ps_backend_t *backend, uint64_t round,
                 int64_t now_ms)
{
    ps_server_limit_t *limit = &backend->limit;
    PsServerLimit_NoteReport(limit, round);
    bool has_said_leaving = backend->registration.has_said_leaving;
    if (!PsServerLimit_IsTold(limit, now_ms) && !has_said_leaving) {
        return;
    }
    Ps__ServerLimit *message = g_new(Ps__ServerLimit, 1);
    ps__server_limit__init(message);
    PsSharing_SetLimitNotice(message, backend, &limit->own, now_ms);
    message->starts = limit->starts;
    message->said_leaving = has_said_leaving;
    use->server_limits[use->n_server_limits++] = message;
}

// Freed with free_rank_counts().
static Ps__WaitingCount **
make_rank_counts(const ps_waiting_count_t *ranks, int n)
{
    Ps__WaitingCount **counts = g_new0(Ps__WaitingCount *, n + 1);
    for (int i = 0; i < n; i++) {
        counts[i] = g_new(Ps__WaitingCount, 1);
        ps__waiting_count__init(counts[i]);
        counts[i]->rank = ranks[i].rank;
        counts[i]->count = (uint32_t)ranks[i].count;
    }
    return counts;
}

static void
free_rank_counts(Ps__WaitingCount **counts, size_t n)
{
    for (size_t i = 0; i < n; i++) {
        g_free(counts[i]);
    }
    g_free(counts);
}

// Returns a service's part of the report: running requests and outcomes by
// server, and waiting requests by rank. Freed with free_service_use().
static Ps__ServiceUse *
make_service_use(ps_dispatcher_t *dispatcher, const ps_name_t *allocator,
                 uint64_t round, bool learned_limits, int64_t now_ms)
{
    Ps__ServiceUse *use = g_new(Ps__ServiceUse, 1);
    ps__service_use__init(use);
    use->service = (char *)(uintptr_t)dispatcher->name.data;
    use->brittle = dispatcher->scheduler.has_brittle_server;
    const GPtrArray *backends = dispatcher->scheduler.backends;
    use->running = g_new0(Ps__ServerCount *, backends->len + 1);
    use->outcomes = g_new0(Ps__ServerOutcomes *, backends->len + 1);
    use->server_limits = g_new0(Ps__ServerLimit *, backends->len + 1);
    for (guint i = 0; i < backends->len; i++) {
        ps_backend_t *backend = backends->pdata[i];
        add_outcomes(use, backend, now_ms);
        add_server_limit(use, backend, round, now_ms);
        int n_occupied = PsBackend_CountOccupied(backend, now_ms);
        if (n_occupied > 0) {
            Ps__ServerCount *count = g_new(Ps__ServerCount, 1);
            ps__server_count__init(count);
            count->server = PsSharing_HashServer(backend);
            count->count = (uint32_t)n_occupied;
            use->running[use->n_running++] = count;
        }
    }
    ps_waiting_count_t ranks[PS_RANKS_MAX];
    int n = PsScheduler_CountWaiting(&dispatcher->scheduler, ranks,
                                     PS_RANKS_MAX, now_ms);
    use->waiting = make_rank_counts(ranks, n);
    use->n_waiting = (size_t)n;
    n = PsScheduler_TakeStarts(&dispatcher->scheduler, ranks);
    use->started = make_rank_counts(ranks, n);
    use->n_started = (size_t)n;
    if (learned_limits) {
        PsPaceMessages_AddSamples(use, &dispatcher->scheduler, now_ms);
    }
    PsTeamMessages_AddToReport(use, dispatcher, round, now_ms);
    use->rollout = PsRolloutRounds_MakeUse(&dispatcher->scheduler, allocator);
    return use;
}

static void
free_service_use(Ps__ServiceUse *use)
{
    for (size_t i = 0; i < use->n_running; i++) {
        g_free(use->running[i]);
    }
    for (size_t i = 0; i < use->n_outcomes; i++) {
        g_free(use->outcomes[i]);
    }
    for (size_t i = 0; i < use->n_server_limits; i++) {
        g_free(use->server_limits[i]);
    }
    g_free(use->running);
    free_rank_counts(use->waiting, use->n_waiting);
    free_rank_counts(use->started, use->n_started);
    PsPaceMessages_FreeSamples(use);
    PsTeamMessages_FreeInReport(use);
    g_free(use->outcomes);
    g_free(use->server_limits);
    PsRolloutRounds_FreeUse(use->rollout);
    g_free(use);
}

// Adds what each team has spent and asked for. Records the total spent with
// this round, because the grant that answers it counts from there.
static void
add_team_uses(ps_sharing_t *sharing, Ps__ShareReport *report, int64_t now_ms)
{
    report->teams =
        g_new0(Ps__TeamUse *, g_hash_table_size(sharing->spending) + 1);
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, sharing->spending);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        ps_spending_t *spending = value;
        Ps__TeamUse *use = g_new(Ps__TeamUse, 1);
        ps__team_use__init(use);
        use->team = spending->team.data;
        ps_quota_t *quota =
            PsGateway_GetQuota(sharing->gateway, &spending->team);
        use->spent = PsQuota_GetSpent(quota, now_ms);
        use->total = quota->total_spent;
        use->wanted = spending->requested_units;
        spending->total_at_report[sharing->round % PS_SHARING_ROUNDS_KEPT] =
            quota->total_spent;
        spending->requested_units *= WANTED_DECAY;
        report->teams[report->n_teams++] = use;
    }
}

static void
send_report(ps_sharing_t *sharing, int64_t now_ms)
{
    ps_gateway_t *gateway = sharing->gateway;
    Ps__ShareReport report = PS__SHARE_REPORT__INIT;
    report.round = ++sharing->round;
    sharing->sent_ms[sharing->round % PS_SHARING_ROUNDS_KEPT] = now_ms;
    report.leaving = gateway->is_shutting_down;
    report.cut_off = PsReachChecks_IsCutOff(&gateway->reach_checks);
    report.age_ms = (uint64_t)MAX(now_ms - gateway->started_ms, 0);
    report.services =
        g_new0(Ps__ServiceUse *, g_hash_table_size(gateway->dispatchers) + 1);
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, gateway->dispatchers);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        ps_dispatcher_t *dispatcher = value;
        PsTeamMessages_ApplySettings(dispatcher, &gateway->settings.gateway);
        report.services[report.n_services++] = make_service_use(
            dispatcher, &sharing->allocator_name, report.round,
            gateway->settings.gateway.learned_limits, now_ms);
    }
    bool has_claims = PsQuotaAdmission_AddUses(sharing, &report, now_ms);
    if (!has_claims) {
        add_team_uses(sharing, &report, now_ms);
    }
    report.crashes = PsMarkCrashes_MakeMessages(
        &gateway->mark_crashes.to_allocator, &report.n_crashes, now_ms);
    uint64_t cleared[PS_MARKS_CLEARED_MAX];
    report.cleared = cleared;
    report.n_cleared =
        PsMarkCrashes_ListCleared(&gateway->mark_crashes, cleared, now_ms);
    Ps__Frame frame = PS__FRAME__INIT;
    frame.body_case = PS__FRAME__BODY_SHARE_REPORT;
    frame.share_report = &report;
    PsPeers_Send(&sharing->peers, &sharing->allocator_name, &frame);
    PsMarkCrashes_FreeMessages(report.crashes, report.n_crashes);
    for (size_t i = 0; i < report.n_services; i++) {
        free_service_use(report.services[i]);
    }
    for (size_t i = 0; i < report.n_teams; i++) {
        PsQuotaMessages_FreeUse(report.teams[i]);
    }
    g_free(report.services);
    g_free(report.teams);
}

/* ---- Grants ----------------------------------------------------------- */

// Takes what the allocator knows of servers' limits, and what it permits this
// daemon to send there beyond what the answered report said.
static void
apply_server_limits(const ps_sharing_t *sharing,
                    const ps_dispatcher_t *dispatcher,
                    const Ps__ServiceGrant *grant, uint64_t round,
                    int64_t now_ms)
{
    int64_t sent_ms = sharing->sent_ms[round % PS_SHARING_ROUNDS_KEPT];
    for (size_t i = 0; i < grant->n_server_limits; i++) {
        const Ps__ServerLimit *message = grant->server_limits[i];
        ps_backend_t *backend = PsSharing_MergeServerLimit(
            &dispatcher->scheduler, message, &sharing->allocator_name, sent_ms,
            now_ms);
        if (backend) {
            PsServerLimit_Permit(&backend->limit, round, message->starts,
                                 now_ms);
        }
    }
}

static void
apply_waits(ps_scheduler_t *scheduler, const Ps__ServiceGrant *grant,
            int64_t now_ms)
{
    ps_rank_wait_t waits[PS_RANKS_MAX];
    int n = (int)MIN(grant->n_waits, PS_RANKS_MAX);
    for (int i = 0; i < n; i++) {
        waits[i] = (ps_rank_wait_t){grant->waits[i]->rank,
                                    (double)grant->waits[i]->ms};
    }
    PsScheduler_SetFleetWaits(scheduler, waits, n, now_ms + GRANT_TTL_MS);
}

// Sets the slot limits of a service; a server without a granted limit gets 0.
static void
apply_service_grant(ps_sharing_t *sharing, const Ps__ServiceGrant *grant,
                    uint64_t round, int64_t now_ms)
{
    ps_name_t name = PsName_FromC(grant->service);
    ps_dispatcher_t *dispatcher =
        PsGateway_GetDispatcher(sharing->gateway, &name);
    const GPtrArray *backends = dispatcher->scheduler.backends;
    for (guint i = 0; i < backends->len; i++) {
        ps_backend_t *backend = backends->pdata[i];
        uint32_t hash = PsSharing_HashServer(backend);
        backend->slot_limit = 0;
        for (size_t k = 0; k < grant->n_limits; k++) {
            if (grant->limits[k]->server == hash) {
                backend->slot_limit = (int)grant->limits[k]->count;
            }
        }
    }
    apply_server_limits(sharing, dispatcher, grant, round, now_ms);
    dispatcher->scheduler.has_granted_limits = true;
    dispatcher->scheduler.granted_until_ms = now_ms + GRANT_TTL_MS;
    if (grant->brittle) {
        dispatcher->scheduler.brittle_told_ms = now_ms;
    }
    if (grant->has_waits) {
        apply_waits(&dispatcher->scheduler, grant, now_ms);
    }
    if (sharing->gateway->settings.gateway.learned_limits) {
        PsPaceMessages_ApplyPaces(&dispatcher->scheduler, grant, now_ms);
    }
    PsTeamMessages_HandleGrant(&dispatcher->scheduler, grant,
                               now_ms + GRANT_TTL_MS);
    PsScheduler_TakeGrant(&dispatcher->scheduler, round, now_ms);
    PsRolloutRounds_ApplyGrant(&dispatcher->scheduler, grant->rollout,
                               GRANT_TTL_MS, now_ms);
    PsScheduler_Run(&dispatcher->scheduler, now_ms);
}

// Applies changes of servers and members that the allocator has read from the
// store, and its summary of the store.
static void
apply_store_state(ps_sharing_t *sharing, const Ps__ShareGrant *grant,
                  int64_t now_ms)
{
    bool is_self =
        PsName_IsEqual(&sharing->allocator_name, &sharing->peers.self);
    for (size_t i = 0; !is_self && i < grant->n_news; i++) {
        ps_registration_t registration = PsChanges_ParseServer(grant->news[i]);
        PsGateway_ApplyServerChange(sharing->gateway, &registration,
                                    grant->news[i]->gone, now_ms);
    }
    for (size_t i = 0; !is_self && i < grant->n_member_news; i++) {
        ps_daemon_info_t info = PsChanges_ParseMember(grant->member_news[i]);
        PsGateway_ApplyMemberChange(sharing->gateway, &info,
                                    grant->member_news[i]->gone);
    }
    // The grant was made after the report that it answers was sent, so the
    // configuration was confirmed no earlier than its age before that time.
    int64_t sent_ms = sharing->sent_ms[grant->round % PS_SHARING_ROUNDS_KEPT];
    ps_store_summary_t summary = {.version = grant->config_version,
                                  .confirmed_ms =
                                      sent_ms - (int64_t)grant->config_age_ms,
                                  .servers_hash = grant->servers_hash,
                                  .members_hash = grant->members_hash,
                                  .store_era = grant->store_era};
    PsGateway_HandleStoreSummary(sharing->gateway, &summary, now_ms);
}

// Handles a grant of an allocator that is shutting down: removes it from the
// members, so that nothing is sent to it any more, and chooses another one.
static void
remove_leaving_allocator(ps_sharing_t *sharing, int64_t now_ms)
{
    ps_name_t name = sharing->allocator_name;
    PsAllocatorChoice_Avoid(sharing, now_ms);
    const ps_daemon_info_t *info =
        g_hash_table_lookup(sharing->gateway->members, &name);
    if (info && !PsName_IsEqual(&name, &sharing->gateway->self.name)) {
        ps_daemon_info_t removed = *info;
        PsGateway_ApplyMemberChange(sharing->gateway, &removed, true);
    }
}

static void
set_names(GHashTable *names, char *const *texts, size_t n)
{
    g_hash_table_remove_all(names);
    for (size_t i = 0; i < n; i++) {
        ps_name_t name = PsName_FromC(texts[i]);
        g_hash_table_add(names, g_memdup2(&name, sizeof name));
    }
}

// Applies a grant: changes of registrations, quota grants, silent members,
// crashes of banned contents and slot limits. A grant that answers a report
// that is no longer remembered, or was sent before a pause, is ignored.
static void
handle_grant(ps_sharing_t *sharing, const Ps__ShareGrant *grant,
             int64_t now_ms)
{
    // Unsigned, so that a round that was never sent is ignored, too.
    if (sharing->round - grant->round >= PS_SHARING_ROUNDS_KEPT) {
        return;
    }
    // What was granted before or in a pause of this daemon may have been given
    // to others since.
    if (sharing->sent_ms[grant->round % PS_SHARING_ROUNDS_KEPT] <
        sharing->woken_ms) {
        return;
    }
    if (sharing->uses_even_shares) {
        PsEvents_Add("sharing.granted", "{s:s}", "allocator",
                     sharing->allocator_name.data);
    }
    sharing->uses_even_shares = false;
    sharing->granted_ms = now_ms;
    PsElection_HandleGrant(&sharing->election);
    apply_store_state(sharing, grant, now_ms);
    if (grant->leaving) {
        remove_leaving_allocator(sharing, now_ms);
        return;
    }
    // An allocator that cannot read the store is replaced if this daemon can.
    int64_t own_age_ms = now_ms - sharing->gateway->catalog_confirmed_ms;
    if (grant->config_age_ms > CONFIG_AGE_MAX_MS &&
        own_age_ms < CONFIG_AGE_MAX_MS) {
        PsAllocatorChoice_Avoid(sharing, now_ms);
    }
    sharing->grants_received++;
    bool has_claims = PsQuotaAdmission_HandleGrant(
        sharing, grant,
        sharing->sent_ms[grant->round % PS_SHARING_ROUNDS_KEPT], now_ms);
    for (size_t i = 0; !has_claims && i < grant->n_teams; i++) {
        double units = grant->teams[i]->units;
        ps_name_t team = PsName_FromC(grant->teams[i]->team);
        if (!isfinite(units) || units < 0) {
            PsEvents_Add("sharing.malformed", "{s:s,s:s,s:s}", "from",
                         sharing->allocator_name.data, "team", team.data,
                         "reason",
                         "grant has a negative or non-finite number of units");
            continue; // the last grant holds until it expires
        }
        ps_spending_t *spending = get_spending(sharing, &team);
        spending->granted = units;
        spending->grant_base =
            spending->total_at_report[grant->round % PS_SHARING_ROUNDS_KEPT];
        spending->granted_ms = now_ms;
    }
    set_names(sharing->silent_members, grant->silent, grant->n_silent);
    set_names(sharing->cut_off_members, grant->cut_off, grant->n_cut_off);
    ps_mark_crashes_t *crashes = &sharing->gateway->mark_crashes;
    PsMarkCrashes_MergeCleared(crashes, grant->cleared, grant->n_cleared,
                               &sharing->allocator_name, now_ms);
    PsMarkCrashes_Merge(crashes, grant->crashes, grant->n_crashes,
                        &sharing->allocator_name, now_ms);
    for (size_t i = 0; i < grant->n_services; i++) {
        apply_service_grant(sharing, grant->services[i], grant->round, now_ms);
    }
}

/* ---- Peers ------------------------------------------------------------ */

static void
on_frame(ps_peers_t *peers, const ps_name_t *from, const Ps__Frame *frame)
{
    ps_sharing_t *sharing = peers->user;
    int64_t now_ms = PsClock_Now();
    ps_daemon_info_t *member =
        g_hash_table_lookup(sharing->gateway->members, from);
    if (member) {
        member->heard_ms = now_ms;
    }
    if (PsOriginLookups_HandleFrame(sharing->gateway, from, frame, now_ms) ||
        PsReachChecks_HandleFrame(&sharing->gateway->reach_checks, from, frame,
                                  now_ms)) {
        return;
    }
    if (frame->body_case == PS__FRAME__BODY_SHARE_REPORT) {
        PsAllocatorRounds_HandleReport(sharing, from, frame->share_report,
                                       now_ms);
    }
    else if (frame->body_case == PS__FRAME__BODY_SHARE_GRANT &&
             PsName_IsEqual(from, &sharing->allocator_name)) {
        handle_grant(sharing, frame->share_grant, now_ms);
    }
}

static void
ignore_peer(ps_peers_t *peers, const ps_name_t *peer)
{
    (void)peers;
    (void)peer;
}

static const ps_peers_events_t peer_events = {on_frame, ignore_peer,
                                              ignore_peer};

// Returns the time between two reports, in milliseconds.
static int64_t
get_round_interval(const ps_sharing_t *sharing)
{
    guint n = g_hash_table_size(sharing->gateway->members);
    return (int64_t)CLAMP(ROUND_PER_DAEMON_MS * n, ROUND_MIN_MS, ROUND_MAX_MS);
}

// Replaces the granted slot limits of all services by even shares.
static void
use_even_shares(ps_sharing_t *sharing, int64_t now_ms)
{
    if (!sharing->uses_even_shares) {
        PsEvents_Add("sharing.even", "{s:s,s:I}", "allocator",
                     sharing->allocator_name.data, "last_grant_ms",
                     (json_int_t)(now_ms - sharing->granted_ms));
    }
    sharing->uses_even_shares = true;
    g_hash_table_remove_all(sharing->silent_members);
    g_hash_table_remove_all(sharing->cut_off_members);
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, sharing->gateway->dispatchers);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        ps_dispatcher_t *dispatcher = value;
        if (dispatcher->scheduler.has_granted_limits) {
            PsScheduler_UseEvenShares(&dispatcher->scheduler);
            PsScheduler_Run(&dispatcher->scheduler, now_ms);
        }
    }
}

// Uses even shares, reconnects and asks other candidates, or chooses another
// allocator, by how long no grant has arrived.
static void
check_allocator(ps_sharing_t *sharing, int64_t now_ms)
{
    int64_t waited_ms =
        now_ms - MAX(sharing->granted_ms, sharing->allocator_since_ms);
    if (now_ms - sharing->granted_ms > GRANT_TTL_MS) {
        use_even_shares(sharing, now_ms);
    }
    if (waited_ms > RECONNECT_MS &&
        now_ms - sharing->reconnected_ms > RECONNECT_MS) {
        sharing->reconnected_ms = now_ms;
        PsPeers_Reconnect(&sharing->peers, &sharing->allocator_name);
        PsAllocatorChoice_Probe(sharing, now_ms);
    }
    if (waited_ms > PS_ELECTION_WAIT_MS) {
        PsAllocatorChoice_AvoidSilent(sharing, now_ms);
    }
}

/* ---- Public functions ------------------------------------------------- */

ps_status_t
PsSharing_Init(ps_sharing_t *sharing, ps_gateway_t *gateway,
               struct ev_loop *loop)
{
    *sharing = (ps_sharing_t){.gateway = gateway,
                              .uses_even_shares = true,
                              .is_stored_usage_empty = true};
    PsAllocator_Init(&sharing->allocator);
    PsQuotaAdmission_Init(&sharing->quota_admission,
                          gateway->settings.gateway.has_quota_buckets,
                          gateway->self.incarnation);
    PsQuotaAdmission_HandlePause(sharing);
    PsElection_Init(&sharing->election);
    sharing->cut_off_members =
        g_hash_table_new_full(PsName_Hash, PsName_EqualKeys, g_free, NULL);
    sharing->silent_members =
        g_hash_table_new_full(PsName_Hash, PsName_EqualKeys, g_free, NULL);
    sharing->spending =
        g_hash_table_new_full(PsName_Hash, PsName_EqualKeys, NULL, g_free);
    return PsPeers_Init(&sharing->peers, &peer_events, sharing, loop,
                        &gateway->settings.peer_address, &gateway->self.name,
                        gateway->self.incarnation);
}

void
PsSharing_Finish(ps_sharing_t *sharing)
{
    PsPeers_Finish(&sharing->peers);
    PsAllocator_Finish(&sharing->allocator);
    PsQuotaAdmission_Finish(&sharing->quota_admission);
    PsElection_Finish(&sharing->election);
    g_hash_table_destroy(sharing->cut_off_members);
    g_hash_table_destroy(sharing->silent_members);
    g_hash_table_destroy(sharing->spending);
}

void
PsSharing_Run(ps_sharing_t *sharing, int64_t now_ms)
{
    if (!sharing->gateway->catalog) {
        return;
    }
    // Checked at intervals, because a daemon may be chosen again when it is no
    // longer avoided, without any change of the members.
    if (PsName_IsEmpty(&sharing->allocator_name) ||
        now_ms >= sharing->next_choice_ms) {
        sharing->next_choice_ms = now_ms + CHOICE_INTERVAL_MS;
        PsAllocatorChoice_Choose(sharing, now_ms);
    }
    check_allocator(sharing, now_ms);
    if (now_ms < sharing->next_round_ms) {
        return;
    }
    sharing->next_round_ms = now_ms + get_round_interval(sharing);
    send_report(sharing, now_ms);
    if (g_hash_table_size(sharing->allocator.reporters) > 0) {
        PsAllocatorRounds_Run(sharing, now_ms);
    }
}

void
PsSharing_HandlePause(ps_sharing_t *sharing, int64_t now_ms)
{
    sharing->allocator_since_ms = now_ms;
    sharing->woken_ms = now_ms;
    PsQuotaAdmission_HandlePause(sharing);
}

void
PsSharing_HandleMemberChange(ps_sharing_t *sharing,
                             const ps_daemon_info_t *member)
{
    PsPeers_SetAddress(&sharing->peers, &member->name, &member->peer_address);
    PsAllocatorChoice_Choose(sharing, PsClock_Now());
}

bool
PsSharing_IsSilent(const ps_sharing_t *sharing, const ps_name_t *member)
{
    return g_hash_table_contains(sharing->silent_members, member);
}

bool
PsSharing_IsCutOff(const ps_sharing_t *sharing, const ps_name_t *member)
{
    return g_hash_table_contains(sharing->cut_off_members, member);
}

bool
PsSharing_ChargeQuota(ps_sharing_t *sharing, const ps_name_t *team,
                      double units, int64_t now_ms)
{
    ps_spending_t *spending = get_spending(sharing, team);
    ps_quota_t *quota = PsGateway_GetQuota(sharing->gateway, team);
    spending->requested_units += units;
    bool is_granted = !sharing->uses_even_shares && spending->granted_ms > 0 &&
                      now_ms - spending->granted_ms <= GRANT_TTL_MS;
    if (!is_granted) {
        int n = PsGateway_CountQuotaDaemons(sharing->gateway, now_ms);
        return PsQuota_ChargeEvenShare(quota, units, n, now_ms);
    }
    double left =
        spending->granted - (quota->total_spent - spending->grant_base);
    if (left > 0) {
        PsQuota_Charge(quota, units, now_ms);
    }
    return left > 0;
}

bool
PsSharing_IsSpendingKnown(const ps_sharing_t *sharing, int64_t now_ms)
{
    double window_ms =
        sharing->gateway->settings.gateway.quota_window_s * 1000.0;
    return !sharing->uses_even_shares ||
           (double)(now_ms - sharing->gateway->started_ms) >= window_ms;
}
