// test_limits.cpp - Quotas, retry budgets, shares and the allocator in virtual
// time.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <numeric>

#include "kernel.hpp"

extern "C" {
#include "allocator.h"
#include "outliers.h"
#include "quota.h"
#include "retry_budget.h"
#include "even_shares.h"
}

namespace {

const ps_quota_settings_t kTerms = {8, 0.1, 140000};
const int64_t kStart = 1000000; // some time of the clock

} // namespace

/* ---- Quotas ----------------------------------------------------------- */

// Daemons that never hear of each other keep the sum of any window bounded.
RC_GTEST_PROP(Quota, EvenPartsBoundEveryWindow, ())
{
    const int n = *rc::gen::inRange(1, 12);
    const double rate = *rc::gen::inRange(100, 100000);
    double limit = PsQuota_ComputeLimit(rate, rate, &kTerms);
    std::vector<ps_quota_t> quotas(n);
    for (ps_quota_t &quota : quotas) {
        PsQuota_SetLimit(&quota, limit, kTerms.window_s);
    }
    std::vector<std::pair<int64_t, double>> passed;
    int64_t now = kStart;
    double largest = 0;
    for (int i = 0; i < 400; i++) {
        now += *rc::gen::inRange(0, 120);
        double units = *rc::gen::inRange(1, (int)(rate / 4) + 2);
        int at = *rc::gen::inRange(0, n);
        if (PsQuota_ChargeEvenShare(&quotas[at], units, n, now)) {
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
    PsQuota_SetLimit(&quota, 100, 8);
    EXPECT_TRUE(PsQuota_ChargeEvenShare(&quota, 100, 1, kStart));
    EXPECT_FALSE(PsQuota_ChargeEvenShare(&quota, 1, 1, kStart + 10));
    PsQuota_Refund(&quota, 100);
    EXPECT_TRUE(PsQuota_ChargeEvenShare(&quota, 100, 1, kStart + 20));
    EXPECT_FALSE(PsQuota_ChargeEvenShare(&quota, 1, 1, kStart + 7900));
    EXPECT_TRUE(PsQuota_ChargeEvenShare(&quota, 1, 1, kStart + 8400));
}

// A team spends half of its quota, which is then lowered: it has spent half
// of the lower one. Raised again, all that was spent counts.
TEST(Quota, SpendingCountsInProportionUnderALoweredLimit)
{
    ps_quota_t quota = {};
    PsQuota_SetLimit(&quota, 1000, 8);
    PsQuota_Charge(&quota, 500, kStart);
    PsQuota_SetLimit(&quota, 400, 8);
    EXPECT_DOUBLE_EQ(PsQuota_GetSpent(&quota, kStart + 1000), 200);
    EXPECT_TRUE(PsQuota_ChargeEvenShare(&quota, 200, 1, kStart + 1000));
    EXPECT_FALSE(PsQuota_ChargeEvenShare(&quota, 1, 1, kStart + 1100));
    PsQuota_SetLimit(&quota, 200, 8);
    EXPECT_DOUBLE_EQ(PsQuota_GetSpent(&quota, kStart + 1200), 200);
    PsQuota_SetLimit(&quota, 1000, 8);
    EXPECT_DOUBLE_EQ(PsQuota_GetSpent(&quota, kStart + 1300), 700);
    // A window after the change the lower limit alone counts.
    PsQuota_SetLimit(&quota, 400, 8);
    EXPECT_FALSE(PsQuota_ChargeEvenShare(&quota, 301, 1, kStart + 8500));
    EXPECT_TRUE(PsQuota_ChargeEvenShare(&quota, 200, 1, kStart + 8500));
    EXPECT_FALSE(PsQuota_ChargeEvenShare(&quota, 1, 1, kStart + 8600));
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
    PsQuota_SetLimit(&quota, 400, 8);
    quota.known_from_ms = kStart;
    for (const Case &each : cases) {
        EXPECT_EQ(PsQuota_ChargeEvenShare(&quota, each.units, 4,
                                          kStart + each.after_ms),
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
        PsRetryBudget_SetLimits(&budget, 10, 0.2, 56, n);
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
        PsEvenShares_Divide(slots.data(), n_servers, n_daemons, i,
                            shares.data());
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
    ps_name_t service = ToName("s");
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
        ps_name_t name = ToName("d" + std::to_string(daemon));
        ps_reporter_t *reporter =
            PsAllocator_StartReport(&core, &name, 0, now);
        return PsReporter_GetServiceUse(reporter, &service);
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
            PsOutliers_AddOutcomes(&outliers, 7, &outcomes, now);
            now += 400;
        }
        const uint32_t servers[] = {7, 8, 9};
        bool is_out[3];
        PsOutliers_Find(&outliers, servers, 3, is_out, now - 400);
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
            PsOutliers_AddOutcomes(&outliers, servers[i % 4], &bad, kStart);
        }
        bool is_out[5];
        PsOutliers_Find(&outliers, servers, 5, is_out, kStart + 10);
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
                PsOutliers_AddOutcomes(&world.core.outliers, limit->server,
                                       &outcomes, now);
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
    const ps_name_t team = ToName("t"), daemon = ToName("d");
    for (const Case &each : cases) {
        ps_quota_usage_t records[4];
        Allocator before(1, 1);
        PsAllocator_SetQuotaLimit(&before.core, &team, 1000, 8);
        ps_reporter_t *reporter =
            PsAllocator_StartReport(&before.core, &daemon, 0, kStart);
        PsAllocator_SetTeamUse(&before.core, reporter, &team, 1, 1, 1, kStart);
        PsAllocator_SetTeamUse(&before.core, reporter, &team, 1000, 9, 1000,
                               kStart + 10);
        int n =
            PsAllocator_GetQuotaUsage(&before.core, records, 4, kStart + 10);
        ASSERT_EQ(n, 1);

        int64_t now = kStart + 500;
        Allocator after(1, 1);
        after.core.started_ms = now;
        PsAllocator_SetQuotaLimit(&after.core, &team, 1000, 8);
        if (each.has_record) {
            PsAllocator_AddQuotaUsage(&after.core, records, n, 490, now);
        }
        auto granted = [&](int64_t at) {
            ps_reporter_t *again =
                PsAllocator_StartReport(&after.core, &daemon, 1, at);
            PsAllocator_SetTeamUse(&after.core, again, &team, 0, 1, 0, at);
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
    const ps_name_t team = ToName("t"), daemon = ToName("d");
    for (const Case &each : cases) {
        Allocator after(1, 1);
        PsAllocator_SetQuotaLimit(&after.core, &team, 1000, 8);
        ps_quota_usage_t record = {};
        record.team = team;
        record.used_units[0] = 200;
        after.core.started_ms = each.has_record ? kStart : 0;
        if (each.has_record) {
            PsAllocator_AddQuotaUsage(&after.core, &record, 1, 400, kStart);
        }
        ps_reporter_t *reporter =
            PsAllocator_StartReport(&after.core, &daemon, 1, kStart + 500);
        reporter->age_ms = each.age_ms;
        PsAllocator_SetTeamUse(&after.core, reporter, &team, each.spent, 1,
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
    const ps_name_t team = ToName("t"), daemon = ToName("d");
    Allocator world(1, 1);
    PsAllocator_SetQuotaLimit(&world.core, &team, 1000, 8);
    int64_t now = kStart;
    for (const Step &step : steps) {
        now += 300;
        ps_reporter_t *reporter =
            PsAllocator_StartReport(&world.core, &daemon, 1, now);
        PsAllocator_SetTeamUse(&world.core, reporter, &team, step.spent, 1,
                               step.total, now);
        auto *pooled =
            (ps_quota_t *)g_hash_table_lookup(world.core.team_quotas, &team);
        EXPECT_DOUBLE_EQ(PsQuota_GetSpent(pooled, now), step.booked)
            << step.what;
    }
}

TEST(Quota, UnitsOfAnOlderMomentAreReturnedToo)
{
    ps_quota_t quota = {};
    PsQuota_SetLimit(&quota, 1000, 8);
    PsQuota_Charge(&quota, 100, kStart);
    PsQuota_Charge(&quota, 20, kStart + 600);
    PsQuota_Refund(&quota, 90); // waited, and was refused
    EXPECT_DOUBLE_EQ(PsQuota_GetSpent(&quota, kStart + 700), 30);
}

// The allocator that takes over from another one records what it has heard.
TEST(Allocator, RecordsGoOnAfterATakeover)
{
    const ps_name_t team = ToName("t");
    Allocator after(1, 1);
    PsAllocator_SetQuotaLimit(&after.core, &team, 1000, 8);
    for (int i = 0; i < 10; i++) {
        ps_name_t daemon = ToName("d" + std::to_string(i));
        ps_reporter_t *reporter =
            PsAllocator_StartReport(&after.core, &daemon, 1, kStart);
        reporter->age_ms = 60000;
        PsAllocator_SetTeamUse(&after.core, reporter, &team, 60, 1, 900,
                               kStart);
    }
    ps_quota_usage_t record = {};
    ASSERT_EQ(PsAllocator_GetQuotaUsage(&after.core, &record, 1, kStart + 10),
              1);
    double sum = 0;
    for (double part : record.used_units) {
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
    const ps_name_t team = ToName("t"), daemon = ToName("d");
    for (const Case &each : cases) {
        Allocator after(1, 1);
        PsAllocator_SetQuotaLimit(&after.core, &team, 1000, 8);
        ps_quota_usage_t record = {};
        record.team = team;
        record.used_units[0] = 100;
        after.core.started_ms = kStart - each.passed_ms;
        PsAllocator_AddQuotaUsage(&after.core, &record, each.records,
                                  each.age_ms, kStart);
        ps_reporter_t *reporter =
            PsAllocator_StartReport(&after.core, &daemon, 1, kStart);
        PsAllocator_SetTeamUse(&after.core, reporter, &team, 0, 1, 0, kStart);
        PsAllocator_DivideQuotas(&after.core, 1, kStart);
        auto *use =
            (ps_team_use_t *)g_hash_table_lookup(reporter->teams, &team);
        EXPECT_LE(use->granted, each.most) << each.what;
        EXPECT_GE(use->granted, each.most * 0.9) << each.what;
        PsAllocator_DivideQuotas(&after.core, 1, kStart + 400);
        PsAllocator_StartReport(&after.core, &daemon, 1, kStart + 9000);
        PsAllocator_DivideQuotas(&after.core, 1, kStart + 9000);
        EXPECT_EQ(use->granted, 1000) << each.what << ", a window later";
    }
}
