/* allocator.c - Division of free slots and quotas. */
#include "allocator.h"

#include <math.h>

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

// Time for which one daemon has the slot for trial requests at an outlier,
// before the next daemon gets it.
#define TRIAL_MS 250

// Part of what is left of a quota that is granted evenly. The rest is granted
// in proportion to what daemons ask for.
#define EVEN_RATIO 0.4

/* ---- Memory ----------------------------------------------------------- */

static void
free_service_use(gpointer data)
{
    ps_service_use_t *use = data;
    g_array_free(use->running, TRUE);
    g_array_free(use->waiting, TRUE);
    g_array_free(use->limits, TRUE);
    PsTeamReports_Finish(&use->teams);
    g_free(use);
}

static void
free_reporter(gpointer data)
{
    ps_reporter_t *reporter = data;
    g_hash_table_destroy(reporter->services);
    g_hash_table_destroy(reporter->teams);
    g_hash_table_destroy(reporter->starts);
    g_free(reporter);
}

static GHashTable *
new_name_table(GDestroyNotify free_value)
{
    return g_hash_table_new_full(PsName_Hash, PsName_EqualKeys, g_free,
                                 free_value);
}

/* ---- Slots ------------------------------------------------------------ */

static bool
is_fresh(const ps_reporter_t *reporter, int64_t now_ms)
{
    return now_ms - reporter->reported_ms <= PS_REPORT_MAX_AGE_MS;
}

// Lists the uses of a service by all daemons with a fresh report.
static GPtrArray *
list_uses(ps_allocator_t *allocator, const ps_name_t *service, int64_t now_ms)
{
    GPtrArray *uses = g_ptr_array_new();
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, allocator->reporters);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        ps_reporter_t *reporter = value;
        if (is_fresh(reporter, now_ms)) {
            g_ptr_array_add(uses, PsReporter_GetServiceUse(reporter, service));
        }
    }
    return uses;
}

static int *
find_count(GArray *counts, uint32_t server)
{
    for (guint i = 0; i < counts->len; i++) {
        ps_slot_count_t *each = &g_array_index(counts, ps_slot_count_t, i);
        if (each->server == server) {
            return &each->count;
        }
    }
    return NULL;
}

static void
add_slot(ps_service_use_t *use, uint32_t server)
{
    int *count = find_count(use->limits, server);
    if (count) {
        (*count)++;
        return;
    }
    ps_slot_count_t one = {server, 1};
    g_array_append_val(use->limits, one);
}

static int
count_running(const GPtrArray *uses, uint32_t server)
{
    int sum = 0;
    for (guint i = 0; i < uses->len; i++) {
        const ps_service_use_t *use = uses->pdata[i];
        const int *running = find_count(use->running, server);
        sum += running ? *running : 0;
    }
    return sum;
}

// Returns the part of a limit that belongs to the daemons with fresh reports.
static double
get_reporting_part(const GPtrArray *uses, int n_daemons)
{
    return (double)uses->len / MAX(n_daemons, (int)uses->len);
}

// Returns how many slots of a server are free for the daemons with fresh
// reports: of all its slots a part in proportion to their number, minus the
// slots that they use.
static int
count_free_slots(const GPtrArray *uses, const ps_slot_count_t *slots,
                 int n_daemons)
{
    double part = get_reporting_part(uses, n_daemons);
    // 1e-9 keeps a rounding error from taking away a whole slot.
    int free_slots = (int)floor(slots->count * part + 1e-9);
    return MAX(free_slots - count_running(uses, slots->server), 0);
}

// Lowers a server's free slots to the requests that its limit allows now. A
// free slot that is granted permits one request.
static int
apply_server_rate(ps_allocator_t *allocator, const GPtrArray *uses,
                  uint32_t server, int free_slots, int n_daemons,
                  int64_t now_ms)
{
    ps_server_bucket_t *limited = g_hash_table_lookup(
        allocator->server_buckets, GUINT_TO_POINTER(server));
    if (!limited) {
        return free_slots;
    }
    double part = get_reporting_part(uses, n_daemons);
    PsRateBucket_SetRate(&limited->bucket, limited->rate * part, now_ms);
    return MIN(free_slots,
               PsRateBucket_CountAllowed(&limited->bucket, now_ms));
}

// Returns the index of the server with the largest part of its slots free; -1:
// none is free.
static int
find_freest(const int *free_slots, const ps_slot_count_t *slots, int n)
{
    int best = -1;
    double most = 0;
    for (int i = 0; i < n; i++) {
        double part = (double)free_slots[i] / MAX(slots[i].count, 1);
        if (part > most) {
            most = part;
            best = i;
        }
    }
    return best;
}

// Returns the lowest rank above @above in which requests wait; -1: none.
static int64_t
find_next_rank(const GPtrArray *uses, int64_t above)
{
    int64_t best = -1;
    for (guint i = 0; i < uses->len; i++) {
        const ps_service_use_t *use = uses->pdata[i];
        for (guint k = 0; k < use->waiting->len; k++) {
            int64_t rank =
                g_array_index(use->waiting, ps_waiting_count_t, k).rank;
            if (rank > above && (best < 0 || rank < best)) {
                best = rank;
            }
        }
    }
    return best;
}

static ps_waiting_count_t *
find_waiting(const ps_service_use_t *use, int64_t rank)
{
    for (guint k = 0; k < use->waiting->len; k++) {
        ps_waiting_count_t *each =
            &g_array_index(use->waiting, ps_waiting_count_t, k);
        if (each->rank == rank) {
            return each;
        }
    }
    return NULL;
}

// Gives slots one by one, in turn, to the daemons with waiting requests of a
// rank, until none waits or no slot is free.
static void
give_slots_to_rank(ps_allocator_t *allocator, const GPtrArray *uses,
                   int64_t rank, const ps_slot_count_t *slots, int *free_slots,
                   int n)
{
    bool has_given = true;
    while (has_given) {
        has_given = false;
        for (guint i = 0; i < uses->len; i++) {
            ps_service_use_t *use =
                uses->pdata[(i + allocator->round_robin_offset) % uses->len];
            ps_waiting_count_t *waiting = find_waiting(use, rank);
            int server = find_freest(free_slots, slots, n);
            if (server < 0) {
                return;
            }
            if (waiting && waiting->count > 0) {
                waiting->count--;
                free_slots[server]--;
                add_slot(use, slots[server].server);
                has_given = true;
            }
        }
    }
}

// Gives slots one by one to the waiting requests of a rank, by team.
static void
give_slots_by_team(ps_team_division_t *division, const GPtrArray *uses,
                   ps_team_reports_t *const *reports, int64_t rank,
                   const ps_slot_count_t *slots, int *free_slots, int n)
{
    int server;
    int taker;
    while ((server = find_freest(free_slots, slots, n)) >= 0 &&
           (taker = PsTeamDivision_TakeNext(division, reports, (int)uses->len,
                                            (uint32_t)rank)) >= 0) {
        free_slots[server]--;
        add_slot(uses->pdata[taker], slots[server].server);
    }
}

// Gives slots to all waiting requests by rank and team.
static void
give_slots_to_teams(ps_team_division_t *division, const GPtrArray *uses,
                    const ps_slot_count_t *slots, int *free_slots, int n,
                    int64_t now_ms)
{
    ps_team_reports_t **reports = g_new(ps_team_reports_t *, uses->len);
    for (guint i = 0; i < uses->len; i++) {
        reports[i] = &((ps_service_use_t *)uses->pdata[i])->teams;
    }
    PsTeamDivision_StartRound(division, reports, (int)uses->len, now_ms);
    int64_t rank = -1;
    while ((rank = find_next_rank(uses, rank)) >= 0) {
        give_slots_by_team(division, uses, reports, rank, slots, free_slots,
                           n);
    }
    g_free(reports);
}

// Gives the remaining free slots to all daemons in turn, so that a new request
// finds a slot at once.
static void
spread_free_slots(ps_allocator_t *allocator, const GPtrArray *uses,
                  const ps_slot_count_t *slots, int *free_slots, int n)
{
    guint turn = allocator->round_robin_offset;
    for (int server = 0; server < n; server++) {
        for (; free_slots[server] > 0; free_slots[server]--) {
            add_slot(uses->pdata[turn++ % uses->len], slots[server].server);
        }
    }
}

// Takes the free slots of outliers out of the division. An outlier without
// running requests gets one slot for a trial, at one daemon after the other.
static void
withhold_outliers(const ps_allocator_t *allocator, const GPtrArray *uses,
                  const ps_slot_count_t *slots, int *free_slots, int n,
                  int64_t now_ms)
{
    uint32_t *servers = g_new(uint32_t, n);
    bool *is_outlier = g_new0(bool, n);
    for (int i = 0; i < n; i++) {
        servers[i] = slots[i].server;
    }
    PsOutliers_Find(&allocator->outliers, servers, n, is_outlier, now_ms);
    for (int i = 0; i < n; i++) {
        bool is_rate_used_up =
            free_slots[i] == 0 &&
            g_hash_table_contains(allocator->server_buckets,
                                  GUINT_TO_POINTER(servers[i]));
        if (is_outlier[i] && !is_rate_used_up &&
            count_running(uses, servers[i]) == 0) {
            guint turn = (guint)(now_ms / TRIAL_MS) + servers[i];
            add_slot(uses->pdata[turn % uses->len], servers[i]);
        }
        free_slots[i] = is_outlier[i] ? 0 : free_slots[i];
    }
    g_free(servers);
    g_free(is_outlier);
}

/* ---- Quotas ----------------------------------------------------------- */

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
        if (is_fresh(value, now_ms)) {
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
    double part = get_reporting_part(uses, n_daemons);
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
PsAllocator_Init(ps_allocator_t *allocator)
{
    *allocator = (ps_allocator_t){0};
    allocator->reporters = new_name_table(free_reporter);
    allocator->team_quotas = new_name_table(g_free);
    allocator->team_divisions = new_name_table(g_free);
    allocator->server_buckets =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    PsOutliers_Init(&allocator->outliers);
}

void
PsAllocator_Finish(ps_allocator_t *allocator)
{
    g_hash_table_destroy(allocator->reporters);
    g_hash_table_destroy(allocator->team_quotas);
    g_hash_table_destroy(allocator->team_divisions);
    g_hash_table_destroy(allocator->server_buckets);
    PsOutliers_Finish(&allocator->outliers);
}

ps_service_use_t *
PsReporter_GetServiceUse(ps_reporter_t *reporter, const ps_name_t *service)
{
    ps_service_use_t *use = g_hash_table_lookup(reporter->services, service);
    if (!use) {
        use = g_new0(ps_service_use_t, 1);
        use->running = g_array_new(FALSE, FALSE, sizeof(ps_slot_count_t));
        use->waiting = g_array_new(FALSE, FALSE, sizeof(ps_waiting_count_t));
        use->limits = g_array_new(FALSE, FALSE, sizeof(ps_slot_count_t));
        PsTeamReports_Init(&use->teams);
        g_hash_table_insert(reporter->services,
                            g_memdup2(service, sizeof *service), use);
    }
    return use;
}

ps_reporter_t *
PsAllocator_StartReport(ps_allocator_t *allocator, const ps_name_t *name,
                        uint64_t incarnation, int64_t now_ms)
{
    ps_reporter_t *reporter = g_hash_table_lookup(allocator->reporters, name);
    if (reporter && reporter->incarnation != incarnation) {
        g_hash_table_remove(allocator->reporters, name);
        reporter = NULL;
    }
    if (!reporter) {
        reporter = g_new0(ps_reporter_t, 1);
        reporter->name = *name;
        reporter->incarnation = incarnation;
        reporter->services = new_name_table(free_service_use);
        reporter->teams = new_name_table(g_free);
        reporter->starts =
            g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
        g_hash_table_insert(allocator->reporters,
                            g_memdup2(name, sizeof *name), reporter);
    }
    reporter->reported_ms = now_ms;
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, reporter->services);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        ps_service_use_t *use = value;
        g_array_set_size(use->running, 0);
        g_array_set_size(use->waiting, 0);
        g_array_set_size(use->teams.waiting, 0);
    }
    return reporter;
}

void
PsAllocator_RemoveReporter(ps_allocator_t *allocator, const ps_name_t *name)
{
    g_hash_table_remove(allocator->reporters, name);
}

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
PsAllocator_SetServerRate(ps_allocator_t *allocator, uint32_t server,
                          double rate, int64_t now_ms)
{
    gpointer key = GUINT_TO_POINTER(server);
    if (rate < 0) {
        g_hash_table_remove(allocator->server_buckets, key);
        return;
    }
    ps_server_bucket_t *limited =
        g_hash_table_lookup(allocator->server_buckets, key);
    if (!limited) {
        limited = g_new0(ps_server_bucket_t, 1);
        PsRateBucket_Init(&limited->bucket, rate, now_ms);
        g_hash_table_insert(allocator->server_buckets, key, limited);
    }
    limited->rate = rate;
}

void
PsAllocator_RemoveServer(ps_allocator_t *allocator, uint32_t server)
{
    gpointer key = GUINT_TO_POINTER(server);
    g_hash_table_remove(allocator->server_buckets, key);
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, allocator->reporters);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        g_hash_table_remove(((ps_reporter_t *)value)->starts, key);
    }
}

void
PsAllocator_SetStarts(ps_allocator_t *allocator, ps_reporter_t *reporter,
                      uint32_t server, uint64_t starts, int64_t now_ms)
{
    gpointer key = GUINT_TO_POINTER(server);
    uint64_t *known = g_hash_table_lookup(reporter->starts, key);
    if (!known) {
        g_hash_table_insert(reporter->starts, key,
                            g_memdup2(&starts, sizeof starts));
        return;
    }
    // A daemon that has started again counts from 0.
    uint64_t sent = starts >= *known ? starts - *known : starts;
    *known = starts;
    ps_server_bucket_t *limited =
        g_hash_table_lookup(allocator->server_buckets, key);
    if (limited && sent > 0) {
        PsRateBucket_Charge(&limited->bucket, (double)sent, now_ms);
    }
}

int
PsServiceUse_CountGranted(const ps_service_use_t *use, uint32_t server)
{
    const int *limit = find_count(use->limits, server);
    const int *running = find_count(use->running, server);
    return MAX((limit ? *limit : 0) - (running ? *running : 0), 0);
}

int
PsAllocator_CountWaiting(ps_allocator_t *allocator, const ps_name_t *service,
                         ps_waiting_count_t *counts, int max, int64_t now_ms)
{
    GPtrArray *uses = list_uses(allocator, service, now_ms);
    int n = 0;
    for (guint i = 0; i < uses->len; i++) {
        const GArray *waiting = ((ps_service_use_t *)uses->pdata[i])->waiting;
        for (guint k = 0; k < waiting->len; k++) {
            const ps_waiting_count_t *each =
                &g_array_index(waiting, ps_waiting_count_t, k);
            n = PsWaitingCounts_Add(counts, n, max, each->rank, each->count);
        }
    }
    g_ptr_array_unref(uses);
    return n;
}

int
PsAllocator_CountRunning(ps_allocator_t *allocator, const ps_name_t *service,
                         int64_t now_ms)
{
    GPtrArray *uses = list_uses(allocator, service, now_ms);
    int sum = 0;
    for (guint i = 0; i < uses->len; i++) {
        const ps_service_use_t *use = uses->pdata[i];
        for (guint k = 0; k < use->running->len; k++) {
            sum += g_array_index(use->running, ps_slot_count_t, k).count;
        }
    }
    g_ptr_array_unref(uses);
    return sum;
}

ps_team_division_t *
PsAllocator_GetTeamDivision(ps_allocator_t *allocator,
                            const ps_name_t *service)
{
    if (!allocator->has_team_shares) {
        return NULL;
    }
    ps_team_division_t *division =
        g_hash_table_lookup(allocator->team_divisions, service);
    if (!division) {
        division = g_new0(ps_team_division_t, 1);
        g_hash_table_insert(allocator->team_divisions,
                            g_memdup2(service, sizeof *service), division);
    }
    return division;
}

void
PsAllocator_DivideSlots(ps_allocator_t *allocator, const ps_name_t *service,
                        const ps_slot_count_t *slots, int n_slots,
                        int n_daemons, int64_t now_ms)
{
    GPtrArray *uses = list_uses(allocator, service, now_ms);
    if (uses->len == 0 || n_slots == 0) {
        g_ptr_array_unref(uses);
        return;
    }
    int *free_slots = g_new(int, n_slots);
    for (int i = 0; i < n_slots; i++) {
        free_slots[i] = apply_server_rate(
            allocator, uses, slots[i].server,
            count_free_slots(uses, &slots[i], n_daemons), n_daemons, now_ms);
    }
    for (guint i = 0; i < uses->len; i++) {
        ps_service_use_t *use = uses->pdata[i];
        g_array_set_size(use->limits, 0);
        if (use->running->len > 0) {
            g_array_append_vals(use->limits, use->running->data,
                                use->running->len);
        }
    }
    withhold_outliers(allocator, uses, slots, free_slots, n_slots, now_ms);
    ps_team_division_t *division =
        PsAllocator_GetTeamDivision(allocator, service);
    if (division) {
        give_slots_to_teams(division, uses, slots, free_slots, n_slots,
                            now_ms);
    }
    int64_t rank = -1;
    while (!division && (rank = find_next_rank(uses, rank)) >= 0) {
        give_slots_to_rank(allocator, uses, rank, slots, free_slots, n_slots);
    }
    spread_free_slots(allocator, uses, slots, free_slots, n_slots);
    allocator->round_robin_offset++;
    g_free(free_slots);
    g_ptr_array_unref(uses);
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
