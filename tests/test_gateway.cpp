// test_gateway.cpp - Decisions of the gateway in virtual time: quotas, retry
// budgets, shares, the allocator, the roster and the scheduler.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <numeric>

#include "kernel.hpp"

extern "C" {
#include "allocator.h"
#include "catalog.h"
#include "histogram.h"
#include "quota.h"
#include "retry_budget.h"
#include "roster.h"
#include "scheduler.h"
#include "share.h"
}

namespace {

const ps_quota_terms_t kTerms = {8, 0.1, 140000};
const int64_t kStart = 1000000; // some time of the clock

ps_registration_t
Registration(const std::string &name, int slots, int64_t started = 1)
{
    ps_registration_t told = {};
    told.name = Name(name);
    told.started_ms = started;
    told.service = Name("s");
    told.address = Name("127.0.0.1:9000");
    told.slots = slots;
    return told;
}

} // namespace

/* ---- Catalog ---------------------------------------------------------- */

TEST(Catalog, LongestPrefixOfTheHostMatches)
{
    ps_catalog_t *catalog = PsCatalog_New(1);
    auto add = [&](const char *name, const char *host, const char *prefix) {
        ps_route_t route = {};
        route.name = Name(name);
        route.n_targets = 1;
        route.targets[0] = {Name("s"), 1};
        return PsCatalog_AddRoute(catalog, &route, host, prefix);
    };
    EXPECT_EQ(add("root", "A.example", "/"), 0);
    EXPECT_EQ(add("long", "a.example", "/x/y/"), 0);
    EXPECT_EQ(add("short", "a.example", "/x/"), 0);
    EXPECT_EQ(add("other", "b.example", "/x/"), 0);
    EXPECT_EQ(add("twice", "a.example", "/x/"), -1);
    struct Case {
        const char *host, *path, *route;
    };
    const Case cases[] = {
        {"a.example", "/x/y/z", "long"},  {"a.example", "/x/y", "short"},
        {"a.example:80", "/x/", "short"}, {"A.EXAMPLE", "/xy", "root"},
        {"b.example", "/x/q", "other"},   {"b.example", "/", ""},
        {"c.example", "/x/", ""},         {"", "", ""},
        {"a.example", "/x%2Fy/", "root"},
    };
    for (const Case &each : cases) {
        const ps_route_t *route =
            PsCatalog_FindRoute(catalog, each.host, PsStr_FromC(each.path));
        EXPECT_STREQ(route ? route->name.data : "", each.route)
            << each.host << each.path;
    }
    PsCatalog_Unref(catalog);
}

RC_GTEST_PROP(Catalog, SplitsFollowTheirWeights, ())
{
    ps_route_t route = {};
    route.n_targets = *rc::gen::inRange(1, 5);
    uint64_t total = 0;
    for (int i = 0; i < route.n_targets; i++) {
        route.targets[i] = {Name(std::to_string(i)),
                            *rc::gen::inRange<uint32_t>(1, 100)};
        total += route.targets[i].weight;
    }
    std::map<std::string, uint64_t> counts;
    for (uint64_t hash = 0; hash < total; hash++) {
        counts[Text(*PsRoute_PickService(&route, hash))]++;
    }
    for (int i = 0; i < route.n_targets; i++) {
        RC_ASSERT(counts[std::to_string(i)] == route.targets[i].weight);
    }
}

/* ---- Quotas ----------------------------------------------------------- */

// Daemons that never hear of each other keep the sum of any window bounded.
RC_GTEST_PROP(Quota, EvenPartsBoundEveryWindow, ())
{
    const int n = *rc::gen::inRange(1, 12);
    const double rate = *rc::gen::inRange(100, 100000);
    double limit = PsQuota_GetLimit(rate, rate, &kTerms);
    std::vector<ps_quota_t> quotas(n);
    for (ps_quota_t &quota : quotas) {
        PsQuota_Set(&quota, limit, kTerms.window_s);
    }
    std::vector<std::pair<int64_t, double>> passed;
    int64_t now = kStart;
    double largest = 0;
    for (int i = 0; i < 400; i++) {
        now += *rc::gen::inRange(0, 120);
        double units = *rc::gen::inRange(1, (int)(rate / 4) + 2);
        int at = *rc::gen::inRange(0, n);
        if (PsQuota_TakeEven(&quotas[at], units, n, now)) {
            passed.emplace_back(now, units);
            largest = std::max(largest, units - limit / n);
        }
    }
    double allowed = (rate * kTerms.window_s + rate) * (1 + kTerms.overage) +
                     kTerms.slack + n * std::max(largest, 0.0);
    for (size_t i = 0; i < passed.size(); i++) {
        double sum = 0;
        for (size_t k = i;
             k < passed.size() && passed[k].first < passed[i].first + 8000;
             k++) {
            sum += passed[k].second;
        }
        RC_ASSERT(sum <= allowed);
    }
}

TEST(Quota, ReturnedUnitsMayBeSpentAgain)
{
    ps_quota_t quota = {};
    PsQuota_Set(&quota, 100, 8);
    EXPECT_TRUE(PsQuota_TakeEven(&quota, 100, 1, kStart));
    EXPECT_FALSE(PsQuota_TakeEven(&quota, 1, 1, kStart + 10));
    PsQuota_Return(&quota, 100);
    EXPECT_TRUE(PsQuota_TakeEven(&quota, 100, 1, kStart + 20));
    EXPECT_FALSE(PsQuota_TakeEven(&quota, 1, 1, kStart + 7900));
    EXPECT_TRUE(PsQuota_TakeEven(&quota, 1, 1, kStart + 8400));
}

// A team spends half of its quota, which is then lowered: it has spent half
// of the lower one. Raised again, all that was spent counts.
TEST(Quota, SpendingCountsInProportionUnderALoweredLimit)
{
    ps_quota_t quota = {};
    PsQuota_Set(&quota, 1000, 8);
    PsQuota_Charge(&quota, 500, kStart);
    PsQuota_Set(&quota, 400, 8);
    EXPECT_DOUBLE_EQ(PsQuota_GetSpent(&quota, kStart + 1000), 200);
    EXPECT_TRUE(PsQuota_TakeEven(&quota, 200, 1, kStart + 1000));
    EXPECT_FALSE(PsQuota_TakeEven(&quota, 1, 1, kStart + 1100));
    PsQuota_Set(&quota, 200, 8);
    EXPECT_DOUBLE_EQ(PsQuota_GetSpent(&quota, kStart + 1200), 200);
    PsQuota_Set(&quota, 1000, 8);
    EXPECT_DOUBLE_EQ(PsQuota_GetSpent(&quota, kStart + 1300), 700);
    // A window after the change the lower limit alone counts.
    PsQuota_Set(&quota, 400, 8);
    EXPECT_FALSE(PsQuota_TakeEven(&quota, 301, 1, kStart + 8500));
    EXPECT_TRUE(PsQuota_TakeEven(&quota, 200, 1, kStart + 8500));
    EXPECT_FALSE(PsQuota_TakeEven(&quota, 1, 1, kStart + 8600));
}

// A daemon that has just started may find that the others have spent the
// window's quota before: its even part opens as that use leaves the window.
TEST(Quota, EvenPartOpensOverTheFirstWindow)
{
    struct Case {
        int64_t after_ms;
        double units;
        bool is_taken;
    };
    const Case cases[] = {{100, 30, false}, // 1.25 of 100 are open
                          {2000, 20, true}, {2000, 10, false},
                          {4000, 30, true}, {8000, 50, true},
                          {8000, 1, false}};
    ps_quota_t quota = {};
    PsQuota_Set(&quota, 400, 8);
    quota.begun_ms = kStart;
    for (const Case &each : cases) {
        EXPECT_EQ(
            PsQuota_TakeEven(&quota, each.units, 4, kStart + each.after_ms),
            each.is_taken)
            << each.after_ms << " ms, " << each.units << " units";
    }
}

/* ---- Retry budget ----------------------------------------------------- */

RC_GTEST_PROP(RetryBudget, RepeatsStayWithinRatioAndSlack, ())
{
    const int n = *rc::gen::inRange(1, 12);
    std::vector<ps_retry_budget_t> budgets(n);
    for (ps_retry_budget_t &budget : budgets) {
        PsRetryBudget_Set(&budget, 10, 0.2, 56, n);
    }
    std::vector<int64_t> requests, repeats;
    int64_t now = kStart;
    for (int i = 0; i < 1500; i++) {
        now += *rc::gen::inRange(0, 30);
        int at = *rc::gen::inRange(0, n);
        PsRetryBudget_AddRequest(&budgets[at], now);
        requests.push_back(now);
        if (PsRetryBudget_Take(&budgets[at], now)) {
            repeats.push_back(now);
        }
    }
    for (int64_t from = kStart; from < now; from += 500) {
        auto within = [&](const std::vector<int64_t> &times) {
            return std::count_if(times.begin(), times.end(), [&](int64_t t) {
                return t >= from && t < from + 10000;
            });
        };
        RC_ASSERT(within(repeats) <= 0.2 * within(requests) + 56);
    }
}

/* ---- Shares ----------------------------------------------------------- */

RC_GTEST_PROP(Share, EachSlotBelongsToExactlyOneDaemon, ())
{
    const int n_servers = *rc::gen::inRange(1, 80);
    const int n_daemons = *rc::gen::inRange(1, 100);
    std::vector<int> slots(n_servers);
    for (int &each : slots) {
        each = *rc::gen::inRange(1, 24);
    }
    std::vector<int> sums(n_servers), totals;
    for (int i = 0; i < n_daemons; i++) {
        std::vector<int> shares(n_servers);
        PsShare_Divide(slots.data(), n_servers, n_daemons, i, shares.data());
        for (int s = 0; s < n_servers; s++) {
            sums[s] += shares[s];
        }
        totals.push_back(std::accumulate(shares.begin(), shares.end(), 0));
    }
    RC_ASSERT(sums == slots);
    auto ends = std::minmax_element(totals.begin(), totals.end());
    RC_ASSERT(*ends.second - *ends.first <= 1);
}

/* ---- Allocator -------------------------------------------------------- */

namespace {

struct Allocator {
    ps_allocator_t core;
    ps_name_t service = Name("s");
    std::vector<ps_slot_count_t> slots;

    Allocator(int n_servers, int each)
    {
        PsAllocator_Init(&core);
        for (int i = 0; i < n_servers; i++) {
            slots.push_back({(uint32_t)(i + 1), each});
        }
    }
    ~Allocator()
    {
        PsAllocator_Finish(&core);
    }
    ps_service_use_t *
    Report(int daemon, int64_t now)
    {
        ps_name_t name = Name("d" + std::to_string(daemon));
        ps_reporter_t *reporter = PsAllocator_Reporter(&core, &name, 0, now);
        return PsReporter_GetService(reporter, &service);
    }
    void
    Divide(int n_daemons, int64_t now)
    {
        PsAllocator_DivideSlots(&core, &service, slots.data(),
                                (int)slots.size(), n_daemons, now);
    }
};

int
Sum(const GArray *counts)
{
    int sum = 0;
    for (guint i = 0; i < counts->len; i++) {
        sum += g_array_index(counts, ps_slot_count_t, i).count;
    }
    return sum;
}

} // namespace

// Slots that nobody uses go to those that wait, in order of rank, and a
// server's slots are never given out twice.
RC_GTEST_PROP(Allocator, GivesOutFreeSlotsOnceAndByRank, ())
{
    const int n_daemons = *rc::gen::inRange(1, 12);
    const int silent = *rc::gen::inRange(0, 3);
    Allocator world(*rc::gen::inRange(1, 12), *rc::gen::inRange(1, 20));
    std::vector<ps_service_use_t *> uses;
    int waiting_high = 0, waiting_low = 0;
    for (int i = 0; i < n_daemons; i++) {
        ps_service_use_t *use = world.Report(i, kStart);
        for (ps_slot_count_t slot : world.slots) {
            slot.count = *rc::gen::inRange(0, slot.count / n_daemons + 1);
            if (slot.count > 0) {
                g_array_append_val(use->running, slot);
            }
        }
        ps_waiting_count_t high = {2, *rc::gen::inRange(0, 5)};
        ps_waiting_count_t low = {5, *rc::gen::inRange(0, 5)};
        waiting_high += high.count;
        waiting_low += low.count;
        g_array_append_val(use->waiting, low);
        g_array_append_val(use->waiting, high);
        uses.push_back(use);
    }
    world.Divide(n_daemons + silent, kStart);
    int left_high = 0, left_low = 0;
    for (ps_service_use_t *use : uses) {
        left_low += g_array_index(use->waiting, ps_waiting_count_t, 0).count;
        left_high += g_array_index(use->waiting, ps_waiting_count_t, 1).count;
    }
    RC_ASSERT(left_high == 0 || left_low == waiting_low);
    (void)waiting_high;
    for (const ps_slot_count_t &slot : world.slots) {
        int given = 0, used = 0;
        for (ps_service_use_t *use : uses) {
            for (guint k = 0; k < use->limits->len; k++) {
                auto &limit = g_array_index(use->limits, ps_slot_count_t, k);
                given += limit.server == slot.server ? limit.count : 0;
            }
            for (guint k = 0; k < use->running->len; k++) {
                auto &count = g_array_index(use->running, ps_slot_count_t, k);
                used += count.server == slot.server ? count.count : 0;
            }
        }
        int part = slot.count * n_daemons / (n_daemons + silent);
        RC_ASSERT(given == std::max(part, used));
    }
}

TEST(Allocator, OldReportsCountForNothing)
{
    Allocator world(2, 8);
    world.Report(0, kStart);
    ps_service_use_t *fresh = world.Report(1, kStart + 1000);
    world.Divide(2, kStart + 1000);
    EXPECT_EQ(Sum(fresh->limits), 8) << "half of the slots of both servers";
}

// Which servers are left out, by what daemons report of them in turn.
TEST(Outliers, FailuresWithoutSuccessLeaveAServerOut)
{
    struct Case {
        const char *what;
        std::vector<ps_outcomes_t> reports;
        bool is_out;
    };
    const Case cases[] = {
        {"one daemon may be cut off", {{0, 0, 1}}, false},
        {"nobody reaches it", {{0, 0, 1}, {0, 0, 2}}, true},
        {"it answers errors alone", {{0, 1, 0}, {0, 1, 0}}, true},
        {"some requests succeed", {{0, 1, 0}, {2, 1, 0}, {0, 1, 0}}, false},
        {"it is back", {{0, 0, 1}, {0, 0, 1}, {1, 0, 0}}, false},
        {"it broke after successes", {{5, 0, 0}, {0, 1, 0}, {0, 0, 1}}, true},
    };
    for (const Case &each : cases) {
        ps_outliers_t outliers;
        PsOutliers_Init(&outliers);
        int64_t now = kStart;
        for (const ps_outcomes_t &outcomes : each.reports) {
            PsOutliers_Note(&outliers, 7, &outcomes, now);
            now += 400;
        }
        const uint32_t servers[] = {7, 8, 9};
        bool is_out[3];
        PsOutliers_Mark(&outliers, servers, 3, is_out, now - 400);
        EXPECT_EQ(is_out[0], each.is_out) << each.what;
        EXPECT_FALSE(is_out[1] || is_out[2]) << each.what;
        PsOutliers_Finish(&outliers);
    }
}

// Errors at most servers are not the servers' fault; those that nobody
// reaches are left out in any number.
TEST(Outliers, ErrorsEverywhereLeaveNoneOut)
{
    for (bool is_absent : {false, true}) {
        ps_outliers_t outliers;
        PsOutliers_Init(&outliers);
        uint32_t servers[] = {1, 2, 3, 4, 5};
        ps_outcomes_t bad = {0, is_absent ? 0u : 1u, is_absent ? 1u : 0u};
        for (int i = 0; i < 8; i++) {
            PsOutliers_Note(&outliers, servers[i % 4], &bad, kStart);
        }
        bool is_out[5];
        PsOutliers_Mark(&outliers, servers, 5, is_out, kStart + 10);
        EXPECT_EQ(std::count(is_out, is_out + 5, true), is_absent ? 4 : 0);
        PsOutliers_Finish(&outliers);
    }
}

// A third of the servers crash under load: forty daemons find it out with a
// few requests in all, and each server gets one trial at a time afterwards.
TEST(Allocator, CrashedServersCostFewRequests)
{
    const int kDaemons = 40, kServers = 12, kCrashed = 4;
    const int64_t kRoundMs = 50;
    Allocator world(kServers, 8);
    int wasted = 0;
    for (int64_t now = kStart; now < kStart + 4000; now += kRoundMs) {
        std::vector<ps_service_use_t *> uses;
        for (int i = 0; i < kDaemons; i++) {
            uses.push_back(world.Report(i, now));
        }
        world.Divide(kDaemons, now);
        for (ps_service_use_t *use : uses) {
            for (guint k = 0; k < use->limits->len; k++) {
                auto *limit = &g_array_index(use->limits, ps_slot_count_t, k);
                bool is_crashed = limit->server <= (uint32_t)kCrashed;
                uint32_t count = (uint32_t)limit->count;
                wasted += is_crashed ? limit->count : 0;
                ps_outcomes_t outcomes = {is_crashed ? 0 : count, 0,
                                          is_crashed ? count : 0};
                PsOutliers_Note(&world.core.outliers, limit->server, &outcomes,
                                now);
            }
        }
    }
    // One round finds it out; then a trial each round.
    EXPECT_LE(wasted, kCrashed * 8 + kCrashed * 4000 / kRoundMs);
}

// A team spends its window's quota, all daemons are killed and start again:
// with the record they do not give the quota out a second time.
TEST(Allocator, RecordBoundsAWindowAcrossAKillOfAll)
{
    struct Case {
        const char *what;
        bool has_record;
        double most; // of the limit, right after the start
    };
    const Case cases[] = {{"with the record", true, 0.05},
                          {"nothing known", false, 0.05}};
    const ps_name_t team = Name("t"), daemon = Name("d");
    for (const Case &each : cases) {
        ps_spent_record_t records[4];
        Allocator before(1, 1);
        PsAllocator_SetLimit(&before.core, &team, 1000, 8);
        ps_reporter_t *reporter =
            PsAllocator_Reporter(&before.core, &daemon, 0, kStart);
        PsAllocator_NoteSpent(&before.core, reporter, &team, 1, 1, 1, kStart);
        PsAllocator_NoteSpent(&before.core, reporter, &team, 1000, 9, 1000,
                              kStart + 10);
        int n = PsAllocator_MakeRecord(&before.core, records, 4, kStart + 10);
        ASSERT_EQ(n, 1);

        int64_t now = kStart + 500;
        Allocator after(1, 1);
        after.core.started_ms = now;
        PsAllocator_SetLimit(&after.core, &team, 1000, 8);
        if (each.has_record) {
            PsAllocator_TakeRecord(&after.core, records, n, 490, now);
        }
        auto granted = [&](int64_t at) {
            ps_reporter_t *again =
                PsAllocator_Reporter(&after.core, &daemon, 1, at);
            PsAllocator_NoteSpent(&after.core, again, &team, 0, 1, 0, at);
            PsAllocator_DivideQuotas(&after.core, 1, at);
            auto *use =
                (ps_team_use_t *)g_hash_table_lookup(again->teams, &team);
            return use->granted;
        };
        EXPECT_LE(granted(now), each.most * 1000) << each.what;
        if (each.has_record) {
            EXPECT_LE(granted(now + 5000), 50) << each.what;
        }
        EXPECT_GE(granted(now + 9000), 990) << each.what;
    }
}

// What a daemon has spent before its first report to this allocator counts,
// once.
TEST(Allocator, SpendingBeforeTheFirstReportCounts)
{
    struct Case {
        const char *what;
        int64_t age_ms;     // of the daemon
        bool has_record;    // of 200 units, taken in 0.5 s before
        double spent;       // told by the first report
        double least, most; // granted then, of a limit of 1000
    };
    const Case cases[] = {
        {"all have started lately", 700, true, 200, 400, 600},
        {"the allocator alone has", 60000, true, 200, 750, 800},
        {"the record missed some", 60000, true, 500, 450, 500},
        {"another one divided before", 60000, false, 500, 450, 500},
        {"nothing spent", 700, true, 0, 600, 700},
    };
    const ps_name_t team = Name("t"), daemon = Name("d");
    for (const Case &each : cases) {
        Allocator after(1, 1);
        PsAllocator_SetLimit(&after.core, &team, 1000, 8);
        ps_spent_record_t record = {};
        record.team = team;
        record.spent[0] = 200;
        after.core.started_ms = each.has_record ? kStart : 0;
        if (each.has_record) {
            PsAllocator_TakeRecord(&after.core, &record, 1, 400, kStart);
        }
        ps_reporter_t *reporter =
            PsAllocator_Reporter(&after.core, &daemon, 1, kStart + 500);
        reporter->age_ms = each.age_ms;
        PsAllocator_NoteSpent(&after.core, reporter, &team, each.spent, 1,
                              each.spent * 9, kStart + 500);
        PsAllocator_DivideQuotas(&after.core, 1, kStart + 500);
        auto *use =
            (ps_team_use_t *)g_hash_table_lookup(reporter->teams, &team);
        EXPECT_GE(use->granted, each.least) << each.what;
        EXPECT_LE(use->granted, each.most) << each.what;
    }
}

// A daemon's reports are booked once, and what it gives back for requests that
// did not run is given back here too.
TEST(Allocator, EachUnitIsBookedOnce)
{
    struct Step {
        const char *what;
        double spent, total;
        double booked; // then
    };
    const Step steps[] = {
        {"first report", 50, 50, 50},     {"nothing new", 50, 50, 50},
        {"more", 150, 150, 150},          {"given back", 90, 90, 90},
        {"all given back", 0, 0, 0},      {"nothing new again", 0, 0, 0},
        {"spent after that", 40, 40, 40},
    };
    const ps_name_t team = Name("t"), daemon = Name("d");
    Allocator world(1, 1);
    PsAllocator_SetLimit(&world.core, &team, 1000, 8);
    int64_t now = kStart;
    for (const Step &step : steps) {
        now += 300;
        ps_reporter_t *reporter =
            PsAllocator_Reporter(&world.core, &daemon, 1, now);
        PsAllocator_NoteSpent(&world.core, reporter, &team, step.spent, 1,
                              step.total, now);
        auto *pooled =
            (ps_quota_t *)g_hash_table_lookup(world.core.pooled, &team);
        EXPECT_DOUBLE_EQ(PsQuota_GetSpent(pooled, now), step.booked)
            << step.what;
    }
}

TEST(Quota, UnitsOfAnOlderMomentAreReturnedToo)
{
    ps_quota_t quota = {};
    PsQuota_Set(&quota, 1000, 8);
    PsQuota_Charge(&quota, 100, kStart);
    PsQuota_Charge(&quota, 20, kStart + 600);
    PsQuota_Return(&quota, 90); // waited, and was refused
    EXPECT_DOUBLE_EQ(PsQuota_GetSpent(&quota, kStart + 700), 30);
}

// The allocator that takes over from another one records what it has heard.
TEST(Allocator, RecordsGoOnAfterATakeover)
{
    const ps_name_t team = Name("t");
    Allocator after(1, 1);
    PsAllocator_SetLimit(&after.core, &team, 1000, 8);
    for (int i = 0; i < 10; i++) {
        ps_name_t daemon = Name("d" + std::to_string(i));
        ps_reporter_t *reporter =
            PsAllocator_Reporter(&after.core, &daemon, 1, kStart);
        reporter->age_ms = 60000;
        PsAllocator_NoteSpent(&after.core, reporter, &team, 60, 1, 900,
                              kStart);
    }
    ps_spent_record_t record = {};
    ASSERT_EQ(PsAllocator_MakeRecord(&after.core, &record, 1, kStart + 10), 1);
    double sum = 0;
    for (double part : record.spent) {
        sum += part;
    }
    EXPECT_NEAR(sum, 600, 60);
}

// What was spent after the last record is unknown; the record's age tells how
// much it may be.
TEST(Allocator, OldRecordsLeaveLittleToGrant)
{
    struct Case {
        const char *what;
        int records;
        int64_t age_ms;    // of the record when it is read
        int64_t passed_ms; // since the start
        double most;       // granted then, of a limit of 1000
    };
    const Case cases[] = {
        {"fresh", 1, 400, 0, 750},
        {"after a restart", 1, 2500, 0, 750},
        {"the store was away", 1, 11000, 0, 0},
        {"for a while", 1, 6000, 0, 375},
        {"and the daemons came back long ago", 1, 11000, 6000, 600},
        {"no team had spent much", 0, 20000, 0, 850}};
    const ps_name_t team = Name("t"), daemon = Name("d");
    for (const Case &each : cases) {
        Allocator after(1, 1);
        PsAllocator_SetLimit(&after.core, &team, 1000, 8);
        ps_spent_record_t record = {};
        record.team = team;
        record.spent[0] = 100;
        after.core.started_ms = kStart - each.passed_ms;
        PsAllocator_TakeRecord(&after.core, &record, each.records, each.age_ms,
                               kStart);
        ps_reporter_t *reporter =
            PsAllocator_Reporter(&after.core, &daemon, 1, kStart);
        PsAllocator_NoteSpent(&after.core, reporter, &team, 0, 1, 0, kStart);
        PsAllocator_DivideQuotas(&after.core, 1, kStart);
        auto *use =
            (ps_team_use_t *)g_hash_table_lookup(reporter->teams, &team);
        EXPECT_LE(use->granted, each.most) << each.what;
        EXPECT_GE(use->granted, each.most * 0.9) << each.what;
        PsAllocator_DivideQuotas(&after.core, 1, kStart + 400);
        PsAllocator_Reporter(&after.core, &daemon, 1, kStart + 9000);
        PsAllocator_DivideQuotas(&after.core, 1, kStart + 9000);
        EXPECT_EQ(use->granted, 1000) << each.what << ", a window later";
    }
}

/* ---- Roster ----------------------------------------------------------- */

namespace {

struct Roster {
    ps_roster_t core;
    std::map<std::string, ps_backend_t *> listed;
    std::vector<std::string> log;

    Roster()
    {
        static const ps_roster_events_t events = {OnListed, OnUnlisted};
        PsRoster_Init(&core, &events, this);
    }
    ~Roster()
    {
        PsRoster_Finish(&core);
    }
    static void
    OnListed(ps_roster_t *roster, ps_backend_t *backend, bool is_new)
    {
        auto *self = (Roster *)roster->user;
        self->listed[Text(backend->told.name)] = backend;
        self->log.push_back((is_new ? "new " : "kept ") +
                            Text(backend->told.name));
    }
    static void
    OnUnlisted(ps_roster_t *roster, ps_backend_t *backend, const char *)
    {
        auto *self = (Roster *)roster->user;
        self->listed.erase(Text(backend->told.name));
        self->log.push_back("gone " + Text(backend->told.name));
    }
    void
    Put(const ps_registration_t &told, int64_t now)
    {
        PsRoster_Put(&core, &told, now);
    }
    void
    Remove(const char *name, int64_t now)
    {
        ps_name_t view = Name(name);
        PsRoster_Remove(&core, &view, now);
    }
};

} // namespace

TEST(Roster, KeepsLapsedServersForAMomentAfterTheStoresReturn)
{
    Roster roster;
    roster.Put(Registration("a", 4), kStart);
    roster.Put(Registration("b", 4), kStart);
    ps_registration_t leaving = Registration("c", 4);
    leaving.is_leaving = true;
    roster.Put(leaving, kStart);
    PsRoster_StoreLost(&roster.core);
    PsRoster_StoreBack(&roster.core, kStart + 5000);
    for (const char *name : {"a", "b", "c"}) {
        roster.Remove(name, kStart + 5010);
    }
    EXPECT_EQ(roster.listed.count("a"), 1u);
    EXPECT_EQ(roster.listed.count("c"), 0u) << "it was leaving before";
    roster.Put(Registration("a", 4), kStart + 6000);
    PsRoster_Run(&roster.core, kStart + 6900);
    EXPECT_EQ(roster.listed.count("b"), 1u);
    PsRoster_Run(&roster.core, kStart + 7100);
    EXPECT_EQ(roster.listed.count("b"), 0u) << "still missing: gone";
    EXPECT_EQ(roster.listed.count("a"), 1u);
    roster.Remove("a", kStart + 7200);
    EXPECT_TRUE(roster.listed.empty()) << "the store was stable";
}

TEST(Roster, TheSameNameStartedAgainIsAnEmptyServer)
{
    Roster roster;
    roster.Put(Registration("a", 4, 1), kStart);
    uint64_t part = 7;
    PsBackend_NotePart(roster.listed["a"], part, kStart);
    uint32_t serial = roster.listed["a"]->serial;
    roster.Put(Registration("a", 4, 1), kStart + 10);
    EXPECT_EQ(roster.listed["a"]->serial, serial);
    roster.Put(Registration("a", 4, 2), kStart + 20);
    EXPECT_NE(roster.listed["a"]->serial, serial);
    EXPECT_FALSE(PsBackend_HasPart(roster.listed["a"], part, kStart + 20));
    EXPECT_EQ(roster.log, (std::vector<std::string>{"new a", "kept a",
                                                    "gone a", "new a"}));
}

/* ---- Scheduler -------------------------------------------------------- */

namespace {

// One daemon's scheduler with servers that serve each task in a fixed time.
struct World {
    ps_scheduler_t core;
    std::vector<ps_backend_t *> backends;
    std::map<ps_task_t *, ps_backend_t *> running;
    std::vector<std::pair<ps_task_t *, int64_t>> started;
    std::vector<ps_task_t *> refused;
    std::vector<int64_t> retry_after;
    int64_t now = kStart;

    World(int n_servers, int slots, bool is_engine = true)
    {
        static const ps_scheduler_events_t events = {OnStart, OnRefuse};
        ps_name_t service = Name("s");
        PsScheduler_Init(&core, &events, this, &service, 1);
        core.is_engine = is_engine;
        for (int i = 0; i < n_servers; i++) {
            ps_registration_t told =
                Registration("b" + std::to_string(i), slots);
            backends.push_back(PsBackend_New(&told, now));
            PsScheduler_List(&core, backends.back());
        }
    }
    ~World()
    {
        for (auto &each : running) {
            PsBackend_Release(each.second); // the task may be gone
        }
        for (ps_backend_t *backend : backends) {
            PsBackend_Drop(backend);
        }
        PsScheduler_Finish(&core);
    }
    static void
    OnStart(ps_scheduler_t *scheduler, ps_task_t *task)
    {
        auto *self = (World *)scheduler->user;
        self->started.emplace_back(task, self->now);
        self->running[task] = task->backend;
    }
    static void
    OnRefuse(ps_scheduler_t *scheduler, ps_task_t *task,
             int64_t retry_after_ms, const char *)
    {
        auto *self = (World *)scheduler->user;
        self->refused.push_back(task);
        self->retry_after.push_back(retry_after_ms);
    }
    ps_task_t
    Task(int tier, int64_t due = 400, int64_t patience = 1400)
    {
        ps_task_t task = {};
        task.tier = tier;
        task.is_generation = true;
        task.arrived_ms = now;
        task.due_ms = now + due;
        task.give_up_ms = now + patience;
        return task;
    }
    void
    Submit(ps_task_t *task)
    {
        PsScheduler_Submit(&core, task, now);
    }
    void
    End(ps_task_t *task, ps_task_end_t end = PS_TASK_GOOD)
    {
        running.erase(task);
        PsScheduler_End(&core, task, end, now);
    }
};

} // namespace

TEST(Scheduler, HigherTierFirstThenWhatCanStillBeOnTime)
{
    World world(1, 1);
    ps_task_t first = world.Task(0), low = world.Task(2), late, fresh, high;
    world.Submit(&first);
    world.Submit(&low);
    late = world.Task(1, 100);
    world.Submit(&late);
    world.now += 150;
    fresh = world.Task(1);
    high = world.Task(0);
    world.Submit(&fresh);
    world.Submit(&high);
    const ps_task_t *expected[] = {&high, &fresh, &late, &low};
    ps_task_t *last = &first;
    for (const ps_task_t *next : expected) {
        world.End(last);
        ASSERT_EQ(world.started.back().first, next);
        last = world.started.back().first;
    }
    EXPECT_TRUE(world.refused.empty());
}

TEST(Scheduler, NothingIsRefusedWithFreeSlotsAndNothingWaiting)
{
    World world(3, 4);
    std::vector<ps_task_t> tasks(12);
    for (ps_task_t &task : tasks) {
        task = world.Task(2, 1); // hopeless from the start
        world.Submit(&task);
    }
    EXPECT_EQ(world.started.size(), 12u);
    EXPECT_TRUE(world.refused.empty());
}

TEST(Scheduler, RetryAfterIsSpread)
{
    World world(1, 1);
    std::vector<ps_task_t> tasks(200);
    for (ps_task_t &task : tasks) {
        task = world.Task(1, 50, 60);
        world.Submit(&task);
        world.now += 7;
        PsScheduler_Run(&world.core, world.now);
    }
    std::set<int64_t> times(world.retry_after.begin(),
                            world.retry_after.end());
    EXPECT_GT(world.refused.size(), 100u);
    EXPECT_GT(times.size(), world.refused.size() / 4);
}

// Load pattern: twice what the servers can do, for 8 s. What is served comes
// in time, refusals come soon, and no task is forgotten.
TEST(Scheduler, OverloadIsServedInTimeOrRefusedSoon)
{
    World world(4, 5);
    std::vector<std::unique_ptr<ps_task_t>> tasks;
    std::map<ps_task_t *, int64_t> ends, firsts;
    std::map<ps_task_t *, int64_t> refused_at;
    std::mt19937 random(7);
    size_t seen_refused = 0;
    double next = 0;
    for (int64_t t = 0; t < 8000; t += 5) {
        world.now = kStart + t;
        while (next <= t) { // 40 a second against 20 slots of a second each
            tasks.push_back(
                std::make_unique<ps_task_t>(world.Task((int)(random() % 3))));
            world.Submit(tasks.back().get());
            next += 25;
        }
        for (auto &each : world.started) {
            int64_t spread = (int64_t)(random() % 200) * 5; // 0.5 to 1.5 s
            ends.emplace(each.first, each.second + 500 + spread);
            firsts.emplace(each.first, each.second + 50);
        }
        for (auto &each : ends) {
            bool is_first = firsts[each.first] == world.now;
            if (is_first && world.running.count(each.first)) {
                PsScheduler_NoteEvent(&world.core, each.first, 5, world.now);
            }
            if (each.second <= world.now && world.running.count(each.first)) {
                world.End(each.first);
            }
        }
        PsScheduler_Run(&world.core, world.now);
        for (; seen_refused < world.refused.size(); seen_refused++) {
            refused_at[world.refused[seen_refused]] = world.now;
        }
    }
    int in_time = 0, top = 0, top_refused = 0;
    for (auto &each : world.started) {
        in_time += each.second <= each.first->due_ms ? 1 : 0;
    }
    double held = 0;
    for (auto &each : refused_at) {
        held += (double)(each.second - each.first->arrived_ms);
        top_refused += each.first->tier == 0 ? 1 : 0;
    }
    for (auto &task : tasks) {
        top += task->tier == 0 ? 1 : 0;
    }
    EXPECT_EQ(tasks.size(), world.started.size() + world.refused.size() +
                                world.core.waiting.length);
    EXPECT_GE(in_time, 0.9 * world.started.size());
    EXPECT_GE(world.started.size(), 140u) << "of 160 that fit";
    EXPECT_LE(held / refused_at.size(), 500) << "ms, mean";
    EXPECT_LE(top_refused, 0.1 * top);
}

TEST(Scheduler, ASickServerIsLeftOutAndTriedAgain)
{
    World world(4, 2);
    ps_backend_t *sick = world.backends[0];
    int sent = 0;
    for (int i = 0; i < 200; i++) {
        ps_task_t task = world.Task(0);
        world.Submit(&task);
        bool is_bad = task.backend == sick;
        sent += is_bad ? 1 : 0;
        world.End(&task, is_bad ? PS_TASK_FAILED : PS_TASK_GOOD);
        world.now += 20;
    }
    EXPECT_LE(sent, 14) << "of about 50 without ejection";
    EXPECT_GE(sent, 2);
    sent = 0;
    for (int i = 0; i < 400; i++) { // it works again
        ps_task_t task = world.Task(0);
        world.Submit(&task);
        sent += task.backend == sick ? 1 : 0;
        world.End(&task);
        world.now += 20;
    }
    EXPECT_GE(sent, 20);
}

// After a pause an ejected server is tried, unless the allocator has given the
// trial to another daemon.
TEST(Scheduler, ATrialNeedsAShare)
{
    World world(3, 2);
    ps_backend_t *sick = world.backends[0];
    PsBackend_Eject(sick, world.now);
    world.core.is_granted = true;
    sick->share = 0;
    world.now += 1000;
    for (int i = 0; i < 20; i++) {
        ps_task_t task = world.Task(0);
        world.Submit(&task);
        EXPECT_NE(task.backend, sick) << "no share";
        world.End(&task);
    }
    sick->share = 2;
    int tries = 0;
    std::vector<ps_task_t> tasks(6, world.Task(0));
    for (ps_task_t &task : tasks) {
        world.Submit(&task);
        tries += task.backend == sick ? 1 : 0;
    }
    EXPECT_EQ(tries, 1) << "one request at a time";
    for (ps_task_t &task : tasks) {
        PsScheduler_Withdraw(&world.core, &task);
        world.End(&task);
    }
}

TEST(Scheduler, NoServerIsLeftOutWhenAllAreBad)
{
    World world(3, 2);
    for (int i = 0; i < 100; i++) {
        ps_task_t task = world.Task(0);
        world.Submit(&task);
        ASSERT_TRUE(task.backend) << "request " << i;
        world.End(&task, PS_TASK_FAILED);
        world.now += 20;
    }
    int ejected = 0;
    for (ps_backend_t *backend : world.backends) {
        ejected += world.now < backend->ejected_until_ms ? 1 : 0;
    }
    EXPECT_LE(ejected, 2);
}

TEST(Scheduler, LeavingAndUnlistedServersGetNothing)
{
    World world(2, 2);
    ps_registration_t told = world.backends[0]->told;
    told.is_leaving = true;
    PsBackend_Update(world.backends[0], &told, world.now);
    PsScheduler_List(&world.core, world.backends[0]);
    PsScheduler_Unlist(&world.core, world.backends[1]);
    world.backends[1]->is_listed = false;
    ps_task_t task = world.Task(0);
    world.Submit(&task);
    EXPECT_FALSE(task.backend);
    world.now += 2000;
    PsScheduler_Run(&world.core, world.now);
    EXPECT_EQ(world.refused.size(), 1u);
}

// A slow server is left only when another has room right now, so that silence
// never turns into a refusal.
TEST(Scheduler, ASilentServerIsLeftOnlyForOneWithRoom)
{
    World world(2, 1);
    ps_task_t task = world.Task(0), other = world.Task(0);
    world.Submit(&task);
    world.Submit(&other);
    world.now += 3000;
    EXPECT_TRUE(PsScheduler_IsSilent(&world.core, &task, world.now));
    EXPECT_FALSE(PsScheduler_CanMove(&world.core, &task, world.now));
    ps_backend_t *before = task.backend;
    world.End(&other);
    ASSERT_TRUE(PsScheduler_CanMove(&world.core, &task, world.now));
    PsScheduler_Move(&world.core, &task, world.now);
    EXPECT_NE(task.backend, before);
    EXPECT_EQ(before->running, 0);
    EXPECT_FALSE(PsScheduler_IsSilent(&world.core, &task, world.now + 100));
}

/* ---- Histograms ------------------------------------------------------- */

TEST(Histogram, BucketsAreCumulative)
{
    ps_histogram_t histogram = {};
    for (double ms : {0.5, 1.0, 1.5, 400.0, 20000.0, -3.0}) {
        PsHistogram_Add(&histogram, ms);
    }
    ps_buf_t out;
    PsBuf_Init(&out);
    PsHistogram_Print(&histogram, "x", &out);
    std::string text(out.data, out.len);
    for (const char *line :
         {"x_bucket{le=\"1\"} 3\n", "x_bucket{le=\"2\"} 4\n",
          "x_bucket{le=\"300\"} 4\n", "x_bucket{le=\"500\"} 5\n",
          "x_bucket{le=\"15000\"} 5\n", "x_bucket{le=\"+Inf\"} 6\n",
          "x_sum 20403\n", "x_count 6\n"}) {
        EXPECT_NE(text.find(line), std::string::npos) << line << text;
    }
    PsBuf_Finish(&out);
}
