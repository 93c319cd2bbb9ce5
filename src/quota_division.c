/* quota_division.c - Division of teams' quotas among daemons. */
#include "allocator.h"

// When a team has spent this part of its limit, its further spending is paced:
// it may spend only at the limit's even rate, measured over PACE_SPAN_MS.
#define PACED_RATIO 0.7
#define PACE_SPAN_MS 750

// A team's usage is saved in the store when it is at least this part of the
// team's limit. Smaller usage is lost when all daemons restart.
#define SAVED_RATIO 0.15

// Spending within this time (milliseconds) after the last write of the stored
// usage is not estimated. The time covers the interval between two writes, and
// a restart after the last one.
#define STORED_USAGE_FRESH_MS 3000.0

// Part of what is left of a quota that is granted evenly. The rest is granted
// in proportion to what daemons ask for.
#define EVEN_RATIO 0.4

/* ---- Usage ------------------------------------------------------------ */

static ps_team_use_t *
get_team_use(ps_reporter_t *reporter, const ps_name_t *team)
{
    ps_team_use_t *use = g_hash_table_lookup(reporter->teams, team);
    if (!use) {
        use = g_new0(ps_team_use_t, 1);
        g_hash_table_insert(reporter->teams, g_memdup2(team, sizeof *team),
                            use);
    }
    return use;
}

// Tells whether a daemon was started less than a quota window ago.
static bool
has_started_in_window(const ps_allocator_t *allocator,
                      const ps_reporter_t *reporter)
{
    return (double)reporter->age_ms < allocator->window_s * 1000.0;
}

// Charges what a daemon has spent in the window before its first report here.
// A daemon that has started within the window may have spent all of it just
// now. For other daemons it is spread over the window, unless the usage read
// from the store covers it already.
static void
charge_initial_use(ps_allocator_t *allocator, ps_quota_t *quota,
                   const ps_reporter_t *reporter, double spent, int64_t now_ms)
{
    double window_ms = allocator->window_s * 1000.0;
    if (has_started_in_window(allocator, reporter)) {
        PsQuota_Charge(quota, spent, now_ms);
        return;
    }
    bool is_stored = allocator->has_stored_usage &&
                     (double)(now_ms - allocator->started_ms) < window_ms;
    for (int k = 0; !is_stored && k < PS_QUOTA_USAGE_PARTS; k++) {
        PsQuota_ChargePast(quota, spent / PS_QUOTA_USAGE_PARTS,
                           (int64_t)(window_ms * k / PS_QUOTA_USAGE_PARTS),
                           now_ms);
    }
}

// Estimates the units that were spent before this daemon's start, are not in
// the stored usage, and are not reported because the daemons that spent them
// have restarted. Assumes spending at the quota's rate until the start.
// @restarted_ratio: part of the daemons that have started within the window
static double
estimate_unsaved(const ps_allocator_t *allocator, double limit,
                 double restarted_ratio, int64_t now_ms)
{
    double window_ms = allocator->window_s * 1000.0;
    double start_ms = (double)allocator->started_ms;
    double window_start_ms = (double)now_ms - window_ms;
    if (allocator->started_ms == 0 || start_ms <= window_start_ms) {
        return 0;
    }
    double from_ms =
        allocator->has_stored_usage
            ? (double)allocator->stored_usage_ms + STORED_USAGE_FRESH_MS
            : start_ms - window_ms;
    double share = (start_ms - MAX(from_ms, window_start_ms)) / window_ms;
    share =
        MAX(share, 0.0) + (allocator->has_stored_usage ? SAVED_RATIO : 0.0);
    return limit * MIN(share, 1.0) * restarted_ratio;
}

static ps_quota_t *
get_team_quota(ps_allocator_t *allocator, const ps_name_t *team)
{
    ps_quota_t *quota = g_hash_table_lookup(allocator->team_quotas, team);
    if (!quota) {
        quota = g_new0(ps_quota_t, 1);
        PsQuota_SetLimit(quota, 0, allocator->window_s);
        g_hash_table_insert(allocator->team_quotas,
                            g_memdup2(team, sizeof *team), quota);
    }
    return quota;
}

/* ---- Division --------------------------------------------------------- */

// Returns the units that a team near its limit may spend now: what the limit's
// even rate allows in PACE_SPAN_MS, minus what was spent in it. Without
// pacing, all its requests would be served for half a window and none in the
// other half, and those that are retried would be late.
static double
get_paced_units(const ps_allocator_t *allocator, ps_quota_t *quota,
                double part, int64_t now_ms)
{
    double units_per_ms = quota->limit * part / (allocator->window_s * 1000.0);
    double spent = PsQuota_GetSpentBetween(quota, 0, PACE_SPAN_MS, now_ms);
    return MAX(units_per_ms * PACE_SPAN_MS - spent, 0.0);
}

// Grants what is left of a team's quota to the daemons with fresh reports.
static void
divide_quota(ps_allocator_t *allocator, const ps_name_t *team,
             ps_quota_t *quota, int n_daemons, int64_t now_ms)
{
    GPtrArray *uses = g_ptr_array_new();
    double wanted = 0;
    double reported = 0;
    guint n_restarted = 0;
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, allocator->reporters);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        if (PsReporter_IsFresh(value, now_ms)) {
            ps_team_use_t *use = get_team_use(value, team);
            wanted += use->wanted;
            reported += use->spent;
            n_restarted += has_started_in_window(allocator, value) ? 1 : 0;
            g_ptr_array_add(uses, use);
        }
    }
    double spent =
        PsQuota_GetSpent(quota, now_ms) +
        estimate_unsaved(allocator, quota->limit,
                         (double)n_restarted / MAX(uses->len, 1), now_ms);
    double part = (double)uses->len / MAX(n_daemons, (int)uses->len);
    double left = MAX(quota->limit * part - MAX(spent, reported), 0.0);
    if (spent > PACED_RATIO * quota->limit) {
        left = MIN(left, get_paced_units(allocator, quota, part, now_ms));
    }
    for (guint i = 0; i < uses->len; i++) {
        ps_team_use_t *use = uses->pdata[i];
        double even = 1.0 / uses->len;
        double wanted_ratio = wanted > 0 ? use->wanted / wanted : even;
        use->granted =
            left * (EVEN_RATIO * even + (1 - EVEN_RATIO) * wanted_ratio);
    }
    g_ptr_array_unref(uses);
}

/* ---- Public functions ------------------------------------------------- */

void
PsAllocator_SetTeamUse(ps_allocator_t *allocator, ps_reporter_t *reporter,
                       const ps_name_t *team, double spent, double wanted,
                       double total, int64_t now_ms)
{
    ps_team_use_t *use = get_team_use(reporter, team);
    ps_quota_t *quota = g_hash_table_lookup(allocator->team_quotas, team);
    if (quota && !use->is_initial_use_charged) {
        use->is_initial_use_charged = true;
        charge_initial_use(allocator, quota, reporter, spent, now_ms);
    }
    else if (quota && total > use->total) {
        PsQuota_Charge(quota, total - use->total, now_ms);
    }
    else if (quota) {
        PsQuota_Refund(quota, use->total - total);
    }
    use->spent = spent;
    use->wanted = wanted;
    use->total = total;
}

void
PsAllocator_AddQuotaUsage(ps_allocator_t *allocator,
                          const ps_quota_usage_t *records, int n,
                          int64_t age_ms, int64_t now_ms)
{
    allocator->has_stored_usage = true;
    // Usage of any team is saved again at short intervals, unless the store is
    // unavailable, so its age counts. Empty usage is saved once and stays
    // valid for as long as no team spends much.
    allocator->stored_usage_ms = n > 0 ? now_ms - age_ms : now_ms;
    double part_ms = allocator->window_s * 1000.0 / PS_QUOTA_USAGE_PARTS;
    for (int i = 0; i < n; i++) {
        ps_quota_t *quota = get_team_quota(allocator, &records[i].team);
        for (int k = 0; k < PS_QUOTA_USAGE_PARTS; k++) {
            PsQuota_ChargePast(quota, records[i].used_units[k],
                               age_ms + (int64_t)(part_ms * k), now_ms);
        }
    }
}

double
PsAllocator_GetQuotaCredit(ps_allocator_t *allocator, const ps_name_t *team,
                           const ps_quota_terms_t *terms, int64_t now_ms)
{
    if (!allocator->has_stored_usage) {
        return 0;
    }
    ps_quota_t *quota = get_team_quota(allocator, team);
    double most = terms->burst + terms->extra;
    double part_s = allocator->window_s / PS_QUOTA_USAGE_PARTS;
    int64_t part_ms = (int64_t)(part_s * 1000.0);
    double level = most;
    for (int k = PS_QUOTA_USAGE_PARTS - 1; k >= 0; k--) {
        double spent = PsQuota_GetSpentBetween(quota, part_ms * k,
                                               part_ms * (k + 1), now_ms);
        level = MIN(level + terms->rate * part_s, most) - spent;
    }
    double unsaved = estimate_unsaved(allocator, quota->limit, 1.0, now_ms);
    return MAX(level - unsaved, 0.0);
}

int
PsAllocator_GetQuotaUsage(ps_allocator_t *allocator, ps_quota_usage_t *records,
                          int max, int64_t now_ms)
{
    int n = 0;
    int64_t part_ms =
        (int64_t)(allocator->window_s * 1000.0 / PS_QUOTA_USAGE_PARTS);
    GHashTableIter each;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&each, allocator->team_quotas);
    while (n < max && g_hash_table_iter_next(&each, &key, &value)) {
        if (PsQuota_GetSpent(value, now_ms) <
            SAVED_RATIO * ((ps_quota_t *)value)->limit) {
            continue;
        }
        records[n].team = *(ps_name_t *)key;
        for (int k = 0; k < PS_QUOTA_USAGE_PARTS; k++) {
            records[n].used_units[k] = PsQuota_GetSpentBetween(
                value, part_ms * k, part_ms * (k + 1), now_ms);
        }
        n++;
    }
    return n;
}

void
PsAllocator_SetQuotaLimit(ps_allocator_t *allocator, const ps_name_t *team,
                          double limit, double window_s)
{
    allocator->window_s = window_s;
    PsQuota_SetLimit(get_team_quota(allocator, team), limit, window_s);
}

void
PsAllocator_DivideQuotas(ps_allocator_t *allocator, int n_daemons,
                         int64_t now_ms)
{
    GHashTableIter each;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&each, allocator->team_quotas);
    while (g_hash_table_iter_next(&each, &key, &value)) {
        divide_quota(allocator, key, value, n_daemons, now_ms);
    }
}
