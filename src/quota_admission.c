/* quota_admission.c - Claims to quotas in reports, grants and admission. */
#include "quota_admission.h"

#include <math.h>

#include "events_log.h"
#include "gateway.h"
#include "quota_messages.h"
#include "sharing.h"

// The claims are refilled here when the allocator has not confirmed them for
// this long.
#define CONTACT_TTL_MS 400

/* ---- Internal functions ----------------------------------------------- */

static void
free_share(gpointer data)
{
    PsQuotaShare_Finish(data);
    g_free(data);
}

static ps_quota_share_t *
get_share(ps_sharing_t *sharing, const ps_name_t *team)
{
    GHashTable *shares = sharing->quota_admission.shares;
    ps_quota_share_t *share = g_hash_table_lookup(shares, team);
    if (!share) {
        share = g_new(ps_quota_share_t, 1);
        PsQuotaShare_Init(share);
        g_hash_table_insert(shares, g_memdup2(team, sizeof *team), share);
    }
    return share;
}

// Returns the share, ready to be used. Until the members are known, it is not
// known which part of the quota is this daemon's, and the share stays empty.
static ps_quota_share_t *
prepare_share(ps_sharing_t *sharing, const ps_name_t *team, double total,
              int64_t now_ms)
{
    ps_gateway_t *gateway = sharing->gateway;
    ps_quota_share_t *share = get_share(sharing, team);
    share->n_daemons = PsGateway_CountQuotaDaemons(gateway, now_ms);
    if (share->terms.rate > 0 && gateway->has_listed_members) {
        PsQuotaShare_Start(share, total,
                           sharing->quota_admission.has_spent_before
                               ? now_ms - gateway->started_ms
                               : -1,
                           now_ms);
    }
    return share;
}

static void
leave_allocator(ps_quota_admission_t *admission)
{
    if (admission->epoch != 0) {
        PsEvents_Add("quota.leave", "{s:I}", "join",
                     (json_int_t)admission->join);
    }
    admission->epoch = 0;
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, admission->shares);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        PsQuotaShare_Leave(value);
    }
}

static void
log_malformed(const ps_name_t *from, const char *team, const char *reason)
{
    PsEvents_Add("sharing.malformed", "{s:s,s:s,s:s}", "from", from->data,
                 "team", team, "reason", reason);
}

// Turns to an allocator's state that does not have the claims yet.
static void
join_allocator(ps_quota_admission_t *admission, uint64_t epoch, int64_t now_ms)
{
    leave_allocator(admission);
    admission->epoch = epoch;
    admission->join++;
    admission->contact_ms = now_ms;
    PsEvents_Add("quota.join", "{s:I}", "join", (json_int_t)admission->join);
}

// Logs why requests of a daemon were refused.
static void
log_refusals(const ps_quota_pool_t *pool, const ps_quota_claim_t *claim,
             const ps_name_t *team)
{
    for (guint i = 0; i < claim->asks->len; i++) {
        const ps_quota_ask_t *ask =
            &g_array_index(claim->asks, ps_quota_ask_t, i);
        if (ask->verdict == PS_QUOTA_REFUSED) {
            PsEvents_Add(
                "quota.refuse", "{s:s,s:s,s:i,s:f,s:f,s:f,s:f,s:i,s:i}",
                "team", team->data, "from", claim->daemon->name.data, "ask",
                (int)ask->id, "units", ask->units, "bucket", pool->reference,
                "left", pool->level, "rate", pool->terms.rate, "claims",
                (int)g_hash_table_size(pool->claims), "daemons",
                pool->n_daemons);
        }
    }
}

static void
keep_up(ps_sharing_t *sharing, int64_t now_ms)
{
    GHashTableIter each;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&each, sharing->quota_admission.shares);
    while (g_hash_table_iter_next(&each, &key, &value)) {
        const ps_quota_t *quota = PsGateway_GetQuota(sharing->gateway, key);
        PsQuotaShare_KeepUp(value, quota->total_spent, now_ms);
    }
}

/* ---- Public functions ------------------------------------------------- */

void
PsQuotaAdmission_Init(ps_quota_admission_t *admission, bool is_on,
                      uint64_t incarnation)
{
    // The join of a daemon that starts again differs from that of its earlier
    // processes; an incarnation is a time in microseconds.
    *admission = (ps_quota_admission_t){.is_on = is_on,
                                        .has_spent_before = true,
                                        .join = (uint32_t)(incarnation / 1000),
                                        .next_epoch = incarnation};
    admission->shares = g_hash_table_new_full(PsName_Hash, PsName_EqualKeys,
                                              g_free, free_share);
}

void
PsQuotaAdmission_Finish(ps_quota_admission_t *admission)
{
    g_hash_table_destroy(admission->shares);
}

// Sets what a team's bucket holds for daemons that have started anew: by the
// stored usage, as long as this daemon's start is within a window.
static void
set_credit(ps_sharing_t *sharing, const ps_name_t *team,
           const ps_quota_terms_t *terms, int64_t now_ms)
{
    ps_allocator_t *allocator = &sharing->allocator;
    bool is_late =
        (double)(now_ms - allocator->started_ms) >= terms->window_s * 1000.0;
    PsQuotaPools_SetCredit(
        &allocator->quota_pools, team,
        is_late ? 0
                : PsAllocator_GetQuotaCredit(allocator, team, terms, now_ms));
}

void
PsQuotaAdmission_SetTeam(ps_sharing_t *sharing, const ps_name_t *team,
                         const ps_quota_terms_t *terms, int64_t now_ms)
{
    const ps_quota_t *quota = PsGateway_GetQuota(sharing->gateway, team);
    PsQuotaShare_SetTerms(get_share(sharing, team), terms, quota->total_spent);
    PsQuotaPools_SetTerms(&sharing->allocator.quota_pools, team, terms);
    set_credit(sharing, team, terms, now_ms);
}

void
PsQuotaAdmission_HandleStart(ps_sharing_t *sharing, bool is_first,
                             int64_t now_ms)
{
    sharing->quota_admission.has_spent_before &= !is_first;
    GHashTableIter each;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&each, sharing->quota_admission.shares);
    while (g_hash_table_iter_next(&each, &key, &value)) {
        set_credit(sharing, key, &((ps_quota_share_t *)value)->terms, now_ms);
    }
}

void
PsQuotaAdmission_HandlePause(ps_sharing_t *sharing)
{
    ps_quota_admission_t *admission = &sharing->quota_admission;
    if (admission->is_on) {
        PsQuotaPools_Reset(&sharing->allocator.quota_pools,
                           ++admission->next_epoch);
    }
}

void
PsQuotaAdmission_HandleChoice(ps_sharing_t *sharing)
{
    sharing->quota_admission.has_old_allocator = false;
    leave_allocator(&sharing->quota_admission);
}

bool
PsQuotaAdmission_AddUses(ps_sharing_t *sharing, Ps__ShareReport *report,
                         int64_t now_ms)
{
    ps_quota_admission_t *admission = &sharing->quota_admission;
    if (!admission->is_on) {
        return false;
    }
    if (admission->epoch != 0 &&
        now_ms - admission->contact_ms > CONTACT_TTL_MS) {
        leave_allocator(admission);
    }
    report->quota_by_bucket = true;
    report->quota_epoch = admission->epoch;
    report->quota_join = admission->join;
    if (admission->epoch == 0) {
        return false;
    }
    report->teams =
        g_new0(Ps__TeamUse *, g_hash_table_size(admission->shares) + 1);
    GHashTableIter each;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&each, admission->shares);
    while (g_hash_table_iter_next(&each, &key, &value)) {
        ps_quota_share_t *share = value;
        ps_quota_t *quota = PsGateway_GetQuota(sharing->gateway, key);
        prepare_share(sharing, key, quota->total_spent, now_ms);
        if (!share->is_started || share->terms.rate <= 0 ||
            !PsQuotaShare_MustReport(share, quota->total_spent, now_ms)) {
            continue;
        }
        if (share->sent_round == 0) {
            PsQuotaShare_Refill(share, quota->total_spent, now_ms);
        }
        PsQuotaShare_NoteReport(share, quota->total_spent, report->round,
                                now_ms);
        report->teams[report->n_teams++] = PsQuotaMessages_MakeUse(
            share, key, PsQuota_GetSpent(quota, now_ms), quota->total_spent,
            now_ms);
    }
    return true;
}

void
PsQuotaAdmission_HandleReport(ps_sharing_t *sharing, const ps_name_t *from,
                              const Ps__ShareReport *report, int64_t now_ms)
{
    ps_quota_pools_t *pools = &sharing->allocator.quota_pools;
    if (pools->epoch == 0) {
        return;
    }
    if (report->quota_epoch != pools->epoch) {
        PsQuotaPools_RemoveDaemon(pools, from, now_ms);
        return;
    }
    ps_quota_daemon_t *daemon =
        PsQuotaPools_HandleReport(pools, from, report->quota_join, now_ms);
    for (size_t i = 0; daemon && i < report->n_teams; i++) {
        ps_quota_ask_t asks[PS_QUOTA_ASKS_MAX];
        ps_quota_use_t use;
        ps_name_t team = PsName_FromC(report->teams[i]->team);
        if (!PsQuotaMessages_ParseUse(report->teams[i], &use, asks, now_ms)) {
            log_malformed(from, team.data, "quota claim is not valid");
            continue;
        }
        PsQuotaPools_SetUse(pools, daemon, &team, &use);
    }
}

// Tells whether a daemon with a fresh report has to be granted units.
static bool
has_units_reporter(const ps_allocator_t *allocator, int64_t now_ms)
{
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, allocator->reporters);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        const ps_reporter_t *reporter = value;
        if (!reporter->is_quota_by_bucket &&
            PsReporter_IsFresh(reporter, now_ms)) {
            return true;
        }
    }
    return false;
}

void
PsQuotaAdmission_Divide(ps_sharing_t *sharing, int n_daemons, int64_t now_ms)
{
    ps_allocator_t *allocator = &sharing->allocator;
    if (allocator->quota_pools.epoch == 0 ||
        has_units_reporter(allocator, now_ms)) {
        PsAllocator_DivideQuotas(allocator, n_daemons, now_ms);
    }
    PsQuotaPools_Divide(&allocator->quota_pools, n_daemons, now_ms);
}

bool
PsQuotaAdmission_AddGrants(ps_sharing_t *sharing,
                           const ps_reporter_t *reporter,
                           Ps__ShareGrant *grant, int64_t now_ms)
{
    ps_quota_pools_t *pools = &sharing->allocator.quota_pools;
    grant->quota_epoch = pools->epoch;
    if (pools->epoch == 0 || !reporter->is_quota_by_bucket) {
        return false;
    }
    ps_quota_daemon_t *daemon =
        PsQuotaPools_FindDaemon(pools, &reporter->name);
    if (!daemon) {
        return true;
    }
    grant->quota_join = daemon->join;
    grant->teams =
        g_new0(Ps__TeamGrant *, g_hash_table_size(pools->pools) + 1);
    GHashTableIter each;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&each, pools->pools);
    while (g_hash_table_iter_next(&each, &key, &value)) {
        const ps_quota_claim_t *claim =
            PsQuotaPool_TakeGrant(value, daemon, now_ms);
        if (claim) {
            log_refusals(value, claim, key);
            grant->teams[grant->n_teams++] =
                PsQuotaMessages_MakeGrant(claim, key);
        }
    }
    return true;
}

void
PsQuotaAdmission_FreeGrants(Ps__ShareGrant *grant)
{
    for (size_t i = 0; i < grant->n_teams; i++) {
        PsQuotaMessages_FreeGrant(grant->teams[i]);
    }
    g_free(grant->teams);
    grant->teams = NULL;
    grant->n_teams = 0;
}

bool
PsQuotaAdmission_HandleGrant(ps_sharing_t *sharing,
                             const Ps__ShareGrant *grant, int64_t sent_ms,
                             int64_t now_ms)
{
    ps_quota_admission_t *admission = &sharing->quota_admission;
    if (!admission->is_on) {
        return false;
    }
    admission->has_old_allocator = grant->quota_epoch == 0;
    if (grant->quota_epoch == 0) {
        leave_allocator(admission);
        keep_up(sharing, now_ms);
        return false;
    }
    if (grant->quota_epoch != admission->epoch) {
        join_allocator(admission, grant->quota_epoch, now_ms);
        return true;
    }
    // After a reconnect an older grant may arrive late.
    if (grant->quota_join != admission->join ||
        grant->round < admission->last_round) {
        return true;
    }
    admission->last_round = grant->round;
    admission->contact_ms = now_ms;
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, admission->shares);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        PsQuotaShare_HandleAnswer(value, grant->round, sent_ms);
    }
    for (size_t i = 0; i < grant->n_teams; i++) {
        const Ps__TeamGrant *team = grant->teams[i];
        ps_name_t name = PsName_FromC(team->team);
        ps_quota_share_t *share =
            g_hash_table_lookup(admission->shares, &name);
        if (!share || !isfinite(team->ceiling) || team->ceiling < 0) {
            log_malformed(&sharing->allocator_name, name.data,
                          "quota ceiling is not valid");
            continue;
        }
        PsQuotaShare_ApplyGrant(share, team->ceiling, team->granted,
                                team->n_granted, team->refused,
                                team->n_refused);
    }
    return true;
}

bool
PsQuotaAdmission_IsUsed(const ps_sharing_t *sharing)
{
    return sharing->quota_admission.is_on &&
           !sharing->quota_admission.has_old_allocator;
}

bool
PsQuotaAdmission_Request(ps_sharing_t *sharing, const ps_name_t *team,
                         double units, uint32_t *ask, int64_t now_ms)
{
    ps_quota_t *quota = PsGateway_GetQuota(sharing->gateway, team);
    ps_quota_share_t *share =
        prepare_share(sharing, team, quota->total_spent, now_ms);
    if (sharing->quota_admission.epoch == 0 && share->is_started) {
        PsQuotaShare_Refill(share, quota->total_spent, now_ms);
    }
    if (PsQuotaShare_HasRoom(share, units, quota->total_spent)) {
        PsQuota_Charge(quota, units, now_ms);
        return true;
    }
    *ask = PsQuotaShare_Ask(share, units, now_ms);
    return false;
}

ps_quota_verdict_t
PsQuotaAdmission_Check(ps_sharing_t *sharing, const ps_name_t *team,
                       double units, uint32_t ask, int64_t now_ms)
{
    ps_quota_t *quota = PsGateway_GetQuota(sharing->gateway, team);
    ps_quota_share_t *share =
        prepare_share(sharing, team, quota->total_spent, now_ms);
    ps_quota_verdict_t verdict = PsQuotaShare_GetVerdict(share, ask);
    if (verdict == PS_QUOTA_PENDING) {
        if (sharing->quota_admission.epoch == 0 && share->is_started) {
            PsQuotaShare_Refill(share, quota->total_spent, now_ms);
        }
        if (PsQuotaShare_HasRoom(share, units, quota->total_spent)) {
            verdict = PS_QUOTA_GRANTED;
        }
    }
    if (verdict != PS_QUOTA_PENDING) {
        PsQuotaShare_RemoveAsk(share, ask);
    }
    if (verdict == PS_QUOTA_GRANTED) {
        PsQuota_Charge(quota, units, now_ms);
    }
    return verdict;
}

bool
PsQuotaAdmission_IsSpendingKnown(const ps_sharing_t *sharing, int64_t now_ms)
{
    const ps_gateway_t *gateway = sharing->gateway;
    double window_ms = gateway->settings.gateway.quota_window_s * 1000.0;
    return !sharing->quota_admission.has_spent_before ||
           (double)(now_ms - gateway->started_ms) >= window_ms;
}

void
PsQuotaAdmission_Withdraw(ps_sharing_t *sharing, const ps_name_t *team,
                          uint32_t ask)
{
    PsQuotaShare_RemoveAsk(get_share(sharing, team), ask);
}
