/* allocator.c - Division of free slots. */
#include "allocator.h"

#include <math.h>

// Time for which one daemon has the slot for trial requests at an outlier,
// before the next daemon gets it.
#define TRIAL_MS 250

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
        if (PsReporter_IsFresh(reporter, now_ms)) {
            g_ptr_array_add(uses, PsReporter_GetServiceUse(reporter, service));
        }
    }
    return uses;
}

static void
add_slot(ps_service_use_t *use, uint32_t server)
{
    PsSlotCounts_Add(use->limits, server);
}

static int
count_running(const GPtrArray *uses, uint32_t server)
{
    int sum = 0;
    for (guint i = 0; i < uses->len; i++) {
        const ps_service_use_t *use = uses->pdata[i];
        const int *running = PsSlotCounts_Find(use->running, server);
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
                   int64_t rank, const ps_slot_order_t *order, int *free_slots)
{
    bool has_given = true;
    while (has_given) {
        has_given = false;
        for (guint i = 0; i < uses->len; i++) {
            ps_service_use_t *use =
                uses->pdata[(i + allocator->round_robin_offset) % uses->len];
            ps_waiting_count_t *waiting = find_waiting(use, rank);
            int server = PsSlotOrder_FindBest(order, free_slots);
            if (server < 0) {
                return;
            }
            if (waiting && waiting->count > 0) {
                waiting->count--;
                free_slots[server]--;
                add_slot(use, order->servers[server].server);
                has_given = true;
            }
        }
    }
}

// Lists the reports by team of all uses; freed with g_free().
static ps_team_reports_t **
list_team_reports(const GPtrArray *uses)
{
    ps_team_reports_t **reports = g_new(ps_team_reports_t *, uses->len);
    for (guint i = 0; i < uses->len; i++) {
        reports[i] = &((ps_service_use_t *)uses->pdata[i])->teams;
    }
    return reports;
}

// Gives slots one by one to the waiting requests of a rank, by team.
static void
give_slots_by_team(ps_team_division_t *division, const GPtrArray *uses,
                   ps_team_reports_t *const *reports, int64_t rank,
                   const ps_slot_order_t *order, int *free_slots)
{
    int server;
    int taker;
    while ((server = PsSlotOrder_FindBest(order, free_slots)) >= 0 &&
           (taker = PsTeamDivision_TakeNext(division, reports, (int)uses->len,
                                            (uint32_t)rank)) >= 0) {
        free_slots[server]--;
        add_slot(uses->pdata[taker], order->servers[server].server);
    }
}

// Gives slots to all waiting requests by rank and, with a division by team, by
// team within a rank.
// @reports: by team, of each use; not used without a division
static void
give_slots_to_waiting(ps_allocator_t *allocator, ps_team_division_t *division,
                      ps_team_reports_t *const *reports, const GPtrArray *uses,
                      ps_slot_order_t *order, int *free_slots)
{
    int64_t rank = -1;
    while ((rank = find_next_rank(uses, rank)) >= 0) {
        order->is_last_rank = find_next_rank(uses, rank) < 0;
        if (division) {
            give_slots_by_team(division, uses, reports, rank, order,
                               free_slots);
        }
        else {
            give_slots_to_rank(allocator, uses, rank, order, free_slots);
        }
    }
}

// Gives the remaining free slots to all daemons in turn, so that a new request
// finds a slot at once. If a server is to have a trial, the first daemon gets
// a slot there and no others.
static void
spread_free_slots(ps_allocator_t *allocator, const GPtrArray *uses,
                  const ps_slot_order_t *order, int *free_slots)
{
    const ps_ordered_server_t *slots = order->servers;
    guint turn = allocator->round_robin_offset;
    int trial = PsSlotOrder_TakeSpareTrial(order);
    guint trial_turn = trial >= 0 ? turn % uses->len : G_MAXUINT;
    if (trial >= 0) {
        add_slot(uses->pdata[trial_turn], slots[trial].server);
    }
    if (trial >= 0 && uses->len == 1) {
        return;
    }
    for (int server = 0; server < order->n; server++) {
        for (; free_slots[server] > 0; free_slots[server]--) {
            turn += turn % uses->len == trial_turn ? 1 : 0;
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
    PsQuotaPools_Init(&allocator->quota_pools);
    PsOutliers_Init(&allocator->outliers);
    PsServerModels_Init(&allocator->models);
}

void
PsAllocator_Finish(ps_allocator_t *allocator)
{
    g_hash_table_destroy(allocator->reporters);
    g_hash_table_destroy(allocator->team_quotas);
    g_hash_table_destroy(allocator->team_divisions);
    g_hash_table_destroy(allocator->server_buckets);
    PsQuotaPools_Finish(&allocator->quota_pools);
    PsOutliers_Finish(&allocator->outliers);
    PsServerModels_Finish(&allocator->models);
}

bool
PsReporter_IsFresh(const ps_reporter_t *reporter, int64_t now_ms)
{
    return now_ms - reporter->reported_ms <= PS_REPORT_MAX_AGE_MS;
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
    PsServerModels_Remove(&allocator->models, server);
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
    const int *limit = PsSlotCounts_Find(use->limits, server);
    const int *running = PsSlotCounts_Find(use->running, server);
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
    ps_slot_order_t order;
    PsSlotOrder_Init(&order, slots, n_slots);
    for (int i = 0; i < n_slots; i++) {
        order.servers[i].running = count_running(uses, slots[i].server);
        free_slots[i] = apply_server_rate(
            allocator, uses, slots[i].server,
            count_free_slots(uses, &slots[i], n_daemons), n_daemons, now_ms);
    }
    PsSlotOrder_Predict(&order, &allocator->models, now_ms);
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
    ps_team_reports_t **reports = division ? list_team_reports(uses) : NULL;
    if (division) {
        PsTeamDivision_StartRound(division, reports, (int)uses->len, now_ms);
    }
    PsSlotOrder_Withhold(&order, free_slots);
    give_slots_to_waiting(allocator, division, reports, uses, &order,
                          free_slots);
    if (PsSlotOrder_Release(&order, free_slots)) {
        give_slots_to_waiting(allocator, division, reports, uses, &order,
                              free_slots);
    }
    PsSlotOrder_LimitSpare(&order, free_slots, (int)uses->len);
    spread_free_slots(allocator, uses, &order, free_slots);
    allocator->round_robin_offset++;
    PsSlotOrder_NoteStates(&order);
    g_free(reports);
    PsSlotOrder_Finish(&order);
    g_free(free_slots);
    g_ptr_array_unref(uses);
}
