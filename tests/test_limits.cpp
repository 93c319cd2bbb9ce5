// test_limits.cpp - Tests quotas, retry budgets, even shares, the allocator
// and its detection of outliers, and crashes of contents, in virtual time.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <numeric>
#include <set>

#include "kernel.hpp"

extern "C" {
#include "abandoned_runs.h"
#include "allocator.h"
#include "crash_reports.h"
#include "even_shares.h"
#include "outliers.h"
#include "quota.h"
#include "recent_members.h"
#include "recent_map.h"
#include "retry_budget.h"
}

namespace {

// The window is 8 s; a quota may be exceeded by a tenth plus 140000 units.
const ps_quota_settings_t kQuotaSettings = {8, 0.1, 140000};
const int64_t kStart = 1000000; // virtual time at which tests start, ms

} // namespace

/* ---- Quotas ----------------------------------------------------------- */

// Daemons that can't reach each other each stay within an even share, so that
// their sum over any window is bounded. Each daemon may exceed its share by
// one request that is larger than the share.
RC_GTEST_PROP(Quota, EvenSharesBoundEveryWindow, ())
{
    const int n = *rc::gen::inRange(1, 12);
    const double rate = *rc::gen::inRange(100, 100000);
    double limit = PsQuota_ComputeLimit(rate, rate, &kQuotaSettings);
    std::vector<ps_quota_t> quotas(n);
    for (ps_quota_t &quota : quotas) {
        PsQuota_SetLimit(&quota, limit, kQuotaSettings.window_s);
    }
    std::vector<std::pair<int64_t, double>> charges;
    int64_t now = kStart;
    double largest_excess = 0; // of one request over its daemon's share
    for (int i = 0; i < 400; i++) {
        now += *rc::gen::inRange(0, 120);
        double units = *rc::gen::inRange(1, (int)(rate / 4) + 2);
        int at = *rc::gen::inRange(0, n);
        if (PsQuota_ChargeEvenShare(&quotas[at], units, n, now)) {
            charges.emplace_back(now, units);
            largest_excess = std::max(largest_excess, units - limit / n);
        }
    }
    double allowed = (rate * kQuotaSettings.window_s + rate) *
                         (1 + kQuotaSettings.overage) +
                     kQuotaSettings.slack + n * std::max(largest_excess, 0.0);
    for (size_t i = 0; i < charges.size(); i++) {
        double sum = 0;
        for (size_t k = i;
             k < charges.size() && charges[k].first < charges[i].first + 8000;
             k++) {
            sum += charges[k].second;
        }
        RC_ASSERT(sum <= allowed);
    }
}

TEST(Quota, RefundedUnitsMayBeSpentAgain)
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

// A team within its quota must not be refused because the quota is lowered.
// Half of the higher limit, spent before, counts as half of the lower one.
// When the limit is raised again, all spending counts in full.
TEST(Quota, LoweredLimitScalesEarlierSpending)
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
    // One window after the change only the lower limit counts.
    PsQuota_SetLimit(&quota, 400, 8);
    EXPECT_FALSE(PsQuota_ChargeEvenShare(&quota, 301, 1, kStart + 8500));
    EXPECT_TRUE(PsQuota_ChargeEvenShare(&quota, 200, 1, kStart + 8500));
    EXPECT_FALSE(PsQuota_ChargeEvenShare(&quota, 1, 1, kStart + 8600));
}

// The other daemons may have spent the window's quota before a daemon starts.
// Its even share therefore grows from 0 as that spending leaves the window.
TEST(Quota, EvenShareGrowsOverTheFirstWindow)
{
    struct Case {
        int64_t after_ms;
        double units;
        bool is_charged;
    };
    const Case cases[] = {{100, 30, false}, // 1.25 units may be spent by then
                          {2000, 20, true}, {2000, 10, false},
                          {4000, 30, true}, {8000, 50, true},
                          {8000, 1, false}};
    ps_quota_t quota = {};
    PsQuota_SetLimit(&quota, 400, 8);
    quota.known_from_ms = kStart;
    for (const Case &each : cases) {
        EXPECT_EQ(PsQuota_ChargeEvenShare(&quota, each.units, 4,
                                          kStart + each.after_ms),
                  each.is_charged)
            << each.after_ms << " ms, " << each.units << " units";
    }
}

/* ---- Retry budget ----------------------------------------------------- */

// A budget's window of 10 s, in whole buckets.
const int64_t kWindowMs = 10013;

// Returns how many of the times lie within 10 s from a time on.
static int64_t
CountWithin(const std::vector<int64_t> &times, int64_t from)
{
    return std::count_if(times.begin(), times.end(), [&](int64_t t) {
        return t >= from && t < from + 10000;
    });
}

// Returns how many retries the users allow in the 10 s from a time on: by the
// requests in that window, the one before it or the one half a window earlier.
static double
GetAllowedRetries(const std::vector<int64_t> &requests, int64_t from)
{
    int64_t most = std::max({CountWithin(requests, from),
                             CountWithin(requests, from - 10000),
                             CountWithin(requests, from - 5000)});
    return 0.2 * most + 56;
}

// Sends a retry at once if the budget allows it.
static bool
SendRetry(ps_retry_budget_t *budget, int64_t now)
{
    bool is_allowed = PsRetryBudget_Reserve(budget, now);
    if (is_allowed) {
        PsRetryBudget_CountSent(budget, now);
    }
    return is_allowed;
}

RC_GTEST_PROP(RetryBudget, RetriesStayWithinRatioAndSlack, ())
{
    const int n = *rc::gen::inRange(1, 12);
    std::vector<ps_retry_budget_t> budgets(n);
    for (ps_retry_budget_t &budget : budgets) {
        PsRetryBudget_Init(&budget, kStart - kWindowMs);
        PsRetryBudget_SetLimits(&budget, 10, 0.2, 56, n, kStart);
    }
    std::vector<int64_t> requests, retries;
    int64_t now = kStart;
    for (int i = 0; i < 1500; i++) {
        now += *rc::gen::inRange(0, 30);
        int at = *rc::gen::inRange(0, n);
        PsRetryBudget_AddRequest(&budgets[at], now);
        requests.push_back(now);
        if (SendRetry(&budgets[at], now)) {
            retries.push_back(now);
        }
    }
    for (int64_t from = kStart; from < now; from += 500) {
        RC_ASSERT(CountWithin(retries, from) <=
                  0.2 * CountWithin(requests, from) + 56);
    }
}

// When all daemons have sent requests and retries.
struct SentByAll {
    std::vector<int64_t> requests, retries;

    // Sends a retry if the budget allows it, and before it, one time in four,
    // a request.
    void
    Load(ps_retry_budget_t *budget, int64_t now)
    {
        if (*rc::gen::inRange(0, 4) == 0) {
            PsRetryBudget_AddRequest(budget, now);
            requests.push_back(now);
        }
        if (SendRetry(budget, now)) {
            retries.push_back(now);
        }
    }
    void
    Check() const
    {
        for (int64_t from : retries) {
            RC_ASSERT(CountWithin(retries, from) <=
                      GetAllowedRetries(requests, from));
        }
    }
};

// A daemon that leaves has used its share of the slack; those that stay must
// not use it again in the same window.
RC_GTEST_PROP(RetryBudget, SharesOfDaemonsThatLeaveAreNotUsedTwice, ())
{
    const int n = *rc::gen::inRange(2, 12);
    std::vector<ps_retry_budget_t> budgets(n);
    for (ps_retry_budget_t &budget : budgets) {
        PsRetryBudget_Init(&budget, kStart - kWindowMs);
    }
    std::vector<int> live(n);
    std::iota(live.begin(), live.end(), 0);
    int64_t now = kStart;
    auto divide = [&] {
        for (int i : live) {
            PsRetryBudget_SetLimits(&budgets[i], 10, 0.2, 56, (int)live.size(),
                                    now);
        }
    };
    divide();
    SentByAll sent;
    for (int i = 0; i < 1500; i++) {
        now += *rc::gen::inRange(0, 30);
        if (live.size() > 1 && *rc::gen::inRange(0, 100) == 0) {
            live.erase(live.begin() + *rc::gen::inRange<int>(0, live.size()));
            divide();
        }
        ps_retry_budget_t *budget =
            &budgets[live[*rc::gen::inRange<int>(0, live.size())]];
        sent.Load(budget, now);
    }
    sent.Check();
}

// A process that starts again does not know what the one before it has sent.
RC_GTEST_PROP(RetryBudget, ProcessesThatStartAgainUseNoSlackTwice, ())
{
    const int n = *rc::gen::inRange(1, 12);
    std::vector<ps_retry_budget_t> budgets(n);
    auto start = [&](int i, int64_t at) {
        PsRetryBudget_Init(&budgets[i], at);
        PsRetryBudget_SetLimits(&budgets[i], 10, 0.2, 56, n, at);
    };
    for (int i = 0; i < n; i++) {
        start(i, kStart - kWindowMs);
    }
    int64_t now = kStart;
    SentByAll sent;
    for (int i = 0; i < 1500; i++) {
        now += *rc::gen::inRange(0, 30);
        if (*rc::gen::inRange(0, 200) == 0) {
            for (int k = 0; k < n; k++) {
                start(k, now);
            }
        }
        ps_retry_budget_t *budget = &budgets[*rc::gen::inRange(0, n)];
        sent.Load(budget, now);
    }
    sent.Check();
}

// Nearly all requests fail while all processes start again: what the former
// ones have sent for the requests of a whole window counts beside what the new
// ones send for theirs.
RC_GTEST_PROP(RetryBudget, RatioIsNotUsedTwiceAcrossAStart, ())
{
    const int n = *rc::gen::inRange(1, 9);
    const int64_t fails_at = kStart + *rc::gen::inRange(10000, 20000);
    const int64_t down = *rc::gen::inRange(0, 600);
    std::vector<ps_retry_budget_t> budgets(n);
    auto start = [&](int64_t at) {
        for (ps_retry_budget_t &budget : budgets) {
            PsRetryBudget_Init(&budget, at);
            PsRetryBudget_SetLimits(&budget, 10, 0.2, 56, n, at);
        }
    };
    start(kStart - kWindowMs);
    std::vector<int64_t> requests, retries;
    int64_t next_kill = fails_at + *rc::gen::inRange(1000, 6000);
    int64_t up_at = 0;
    for (int64_t now = kStart; now < kStart + 40000; now += 5) {
        requests.push_back(now);
        if (now >= next_kill) {
            up_at = now + down;
            start(up_at);
            next_kill = now + *rc::gen::inRange(1000, 6000);
        }
        if (now >= up_at) {
            ps_retry_budget_t *budget = &budgets[(now / 5) % n];
            PsRetryBudget_AddRequest(budget, now);
            if (now >= fails_at && SendRetry(budget, now)) {
                retries.push_back(now);
            }
        }
    }
    for (int64_t from : retries) {
        RC_ASSERT(CountWithin(retries, from) <=
                  0.2 * CountWithin(requests, from) + 56);
    }
}

// Two bursts of retries, of which the first waits: they must not arrive within
// one window.
RC_GTEST_PROP(RetryBudget, RetriesThatWaitCountWhenTheyAreSent, ())
{
    ps_retry_budget_t budget;
    PsRetryBudget_Init(&budget, kStart - kWindowMs);
    PsRetryBudget_SetLimits(&budget, 10, 0.2, 56, 1, kStart);
    const int64_t wait = *rc::gen::inRange(0, 4800);
    std::multiset<int64_t> waiting;
    std::vector<int64_t> sent;
    int n_ended = 0;
    for (int64_t now = kStart; now < kStart + 25000; now += 10) {
        while (!waiting.empty() && *waiting.begin() <= now) {
            waiting.erase(waiting.begin());
            if (++n_ended % 20 == 0) {
                PsRetryBudget_Release(&budget);
            }
            else {
                PsRetryBudget_CountSent(&budget, now);
                sent.push_back(now);
            }
        }
        if (PsRetryBudget_Reserve(&budget, now)) {
            waiting.insert(now < kStart + 5000 ? now + wait : now);
        }
    }
    RC_ASSERT(sent.size() > 56u);
    for (int64_t from : sent) {
        RC_ASSERT(CountWithin(sent, from) <= 56);
    }
}

TEST(RetryBudget, SlackNeedsAKnownWindowAndKnownMembers)
{
    struct Case {
        const char *text;
        int64_t known_from_ms;
        int n_daemons;
        double allowed;
    };
    const Case cases[] = {{"after a start", kStart, 4, 0},
                          {"before a window has passed", kStart - 9000, 4, 0},
                          {"after a window", kStart - kWindowMs, 4, 10},
                          {"members unknown", kStart - kWindowMs, 0, 0}};
    for (const Case &each : cases) {
        ps_retry_budget_t budget;
        PsRetryBudget_Init(&budget, each.known_from_ms);
        PsRetryBudget_SetLimits(&budget, 10, 0.2, 50, each.n_daemons, kStart);
        EXPECT_EQ(PsRetryBudget_GetUse(&budget, kStart).allowed, each.allowed)
            << each.text;
    }
}

TEST(RetryBudget, ChangeOfTheWindowCountsAsAStart)
{
    ps_retry_budget_t budget;
    PsRetryBudget_Init(&budget, kStart - kWindowMs);
    PsRetryBudget_SetLimits(&budget, 10, 0.2, 50, 1, kStart);
    EXPECT_TRUE(SendRetry(&budget, kStart));
    PsRetryBudget_SetLimits(&budget, 20, 0.2, 50, 1, kStart + 1000);
    EXPECT_FALSE(SendRetry(&budget, kStart + 20900));
    EXPECT_TRUE(SendRetry(&budget, kStart + 21100));
}

/* ---- Even shares ------------------------------------------------------ */

RC_GTEST_PROP(EvenShares, EachSlotBelongsToExactlyOneDaemon, ())
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

// An allocator for one service "s".
struct AllocatorHarness {
    ps_allocator_t allocator;
    ps_name_t service = ToName("s");
    std::vector<ps_slot_count_t> slots;

    AllocatorHarness(int n_servers, int slots_each)
    {
        PsAllocator_Init(&allocator);
        for (int i = 0; i < n_servers; i++) {
            slots.push_back({(uint32_t)(i + 1), slots_each});
        }
    }
    ~AllocatorHarness()
    {
        PsAllocator_Finish(&allocator);
    }
    // Starts an empty report of daemon "d0", "d1", ...; returns its use of the
    // service.
    ps_service_use_t *
    StartReport(int daemon, int64_t now)
    {
        ps_name_t name = ToName("d" + std::to_string(daemon));
        ps_reporter_t *reporter =
            PsAllocator_StartReport(&allocator, &name, 0, now);
        return PsReporter_GetServiceUse(reporter, &service);
    }
    void
    DivideSlots(int n_daemons, int64_t now)
    {
        PsAllocator_DivideSlots(&allocator, &service, slots.data(),
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

// Free slots go to waiting requests in order of rank, and no slot of a server
// is granted twice. The slots of daemons that do not report are not granted.
RC_GTEST_PROP(Allocator, GrantsFreeSlotsOnceAndByRank, ())
{
    const int n_daemons = *rc::gen::inRange(1, 12);
    const int silent = *rc::gen::inRange(0, 3);
    AllocatorHarness harness(*rc::gen::inRange(1, 12),
                             *rc::gen::inRange(1, 20));
    std::vector<ps_service_use_t *> uses;
    int waiting_high = 0, waiting_low = 0; // requests, by rank
    for (int i = 0; i < n_daemons; i++) {
        ps_service_use_t *use = harness.StartReport(i, kStart);
        for (ps_slot_count_t slot : harness.slots) {
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
    harness.DivideSlots(n_daemons + silent, kStart);
    int left_high = 0, left_low = 0;
    for (ps_service_use_t *use : uses) {
        left_low += g_array_index(use->waiting, ps_waiting_count_t, 0).count;
        left_high += g_array_index(use->waiting, ps_waiting_count_t, 1).count;
    }
    RC_ASSERT(left_high == 0 || left_low == waiting_low);
    (void)waiting_high;
    for (const ps_slot_count_t &slot : harness.slots) {
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
        int usable = slot.count * n_daemons / (n_daemons + silent);
        RC_ASSERT(given == std::max(usable, used));
    }
}

TEST(Allocator, DaemonsWithOldReportsGetNoSlots)
{
    AllocatorHarness harness(2, 8);
    harness.StartReport(0, kStart);
    ps_service_use_t *fresh = harness.StartReport(1, kStart + 1000);
    harness.DivideSlots(2, kStart + 1000);
    EXPECT_EQ(Sum(fresh->limits), 8) << "half of the slots of both servers";
}

// Each case lists the reports on one server, 400 ms apart. A report counts
// good, failed and absent outcomes.
TEST(Outliers, ServerWithOnlyFailuresIsAnOutlier)
{
    struct Case {
        const char *what;
        std::vector<ps_outcomes_t> reports;
        bool is_outlier;
    };
    const Case cases[] = {
        {"one daemon may be cut off", {{0, 0, 1}}, false},
        {"unreachable in all reports", {{0, 0, 1}, {0, 0, 2}}, true},
        {"only errors", {{0, 1, 0}, {0, 1, 0}}, true},
        {"some requests succeed", {{0, 1, 0}, {2, 1, 0}, {0, 1, 0}}, false},
        {"a success after failures", {{0, 0, 1}, {0, 0, 1}, {1, 0, 0}}, false},
        {"failures after successes", {{5, 0, 0}, {0, 1, 0}, {0, 0, 1}}, true},
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
        bool is_outlier[3];
        PsOutliers_Find(&outliers, servers, 3, is_outlier, now - 400);
        EXPECT_EQ(is_outlier[0], each.is_outlier) << each.what;
        EXPECT_FALSE(is_outlier[1] || is_outlier[2]) << each.what;
        PsOutliers_Finish(&outliers);
    }
}

// When most servers answer errors, the servers are not the cause, and none is
// an outlier. Unreachable servers are outliers in any number.
TEST(Outliers, ErrorsAtMostServersMakeNoOutliers)
{
    for (bool is_absent : {false, true}) {
        ps_outliers_t outliers;
        PsOutliers_Init(&outliers);
        uint32_t servers[] = {1, 2, 3, 4, 5};
        ps_outcomes_t bad = {0, is_absent ? 0u : 1u, is_absent ? 1u : 0u};
        for (int i = 0; i < 8; i++) {
            PsOutliers_AddOutcomes(&outliers, servers[i % 4], &bad, kStart);
        }
        bool is_outlier[5];
        PsOutliers_Find(&outliers, servers, 5, is_outlier, kStart + 10);
        EXPECT_EQ(std::count(is_outlier, is_outlier + 5, true),
                  is_absent ? 4 : 0);
        PsOutliers_Finish(&outliers);
    }
}

// A third of the servers crash under load. Forty daemons together detect it
// with few requests; afterwards each crashed server gets one trial request at
// a time.
TEST(Allocator, CrashedServersCostFewRequests)
{
    const int kDaemons = 40, kServers = 12, kCrashed = 4;
    const int64_t kRoundMs = 50;
    AllocatorHarness harness(kServers, 8);
    int wasted_requests = 0;
    for (int64_t now = kStart; now < kStart + 4000; now += kRoundMs) {
        std::vector<ps_service_use_t *> uses;
        for (int i = 0; i < kDaemons; i++) {
            uses.push_back(harness.StartReport(i, now));
        }
        harness.DivideSlots(kDaemons, now);
        for (ps_service_use_t *use : uses) {
            for (guint k = 0; k < use->limits->len; k++) {
                auto *limit = &g_array_index(use->limits, ps_slot_count_t, k);
                bool is_crashed = limit->server <= (uint32_t)kCrashed;
                uint32_t count = (uint32_t)limit->count;
                wasted_requests += is_crashed ? limit->count : 0;
                ps_outcomes_t outcomes = {is_crashed ? 0 : count, 0,
                                          is_crashed ? count : 0};
                PsOutliers_AddOutcomes(&harness.allocator.outliers,
                                       limit->server, &outcomes, now);
            }
        }
    }
    // All slots of the crashed servers in the first round; then at most one
    // trial a round at each of them.
    EXPECT_LE(wasted_requests, kCrashed * 8 + kCrashed * 4000 / kRoundMs);
}

// A team spends its window's quota, then all daemons are killed and restarted.
// They must not grant the quota of that window a second time.
TEST(Allocator, RecordBoundsSpendingAcrossARestartOfAllDaemons)
{
    struct Case {
        const char *what;
        bool has_record;
        double max_granted; // fraction of the limit, right after the restart
    };
    const Case cases[] = {{"with the record", true, 0.05},
                          {"without a record", false, 0.05}};
    const ps_name_t team = ToName("t"), daemon = ToName("d");
    for (const Case &each : cases) {
        ps_quota_usage_t records[4];
        AllocatorHarness before(1, 1);
        PsAllocator_SetQuotaLimit(&before.allocator, &team, 1000, 8);
        ps_reporter_t *reporter =
            PsAllocator_StartReport(&before.allocator, &daemon, 0, kStart);
        PsAllocator_SetTeamUse(&before.allocator, reporter, &team, 1, 1, 1,
                               kStart);
        PsAllocator_SetTeamUse(&before.allocator, reporter, &team, 1000, 9,
                               1000, kStart + 10);
        int n = PsAllocator_GetQuotaUsage(&before.allocator, records, 4,
                                          kStart + 10);
        ASSERT_EQ(n, 1);

        int64_t now = kStart + 500;
        AllocatorHarness after(1, 1);
        after.allocator.started_ms = now;
        PsAllocator_SetQuotaLimit(&after.allocator, &team, 1000, 8);
        if (each.has_record) {
            PsAllocator_AddQuotaUsage(&after.allocator, records, n, 490, now);
        }
        auto report_and_get_granted = [&](int64_t at) {
            ps_reporter_t *second_reporter =
                PsAllocator_StartReport(&after.allocator, &daemon, 1, at);
            PsAllocator_SetTeamUse(&after.allocator, second_reporter, &team, 0,
                                   1, 0, at);
            PsAllocator_DivideQuotas(&after.allocator, 1, at);
            auto *use = (ps_team_use_t *)g_hash_table_lookup(
                second_reporter->teams, &team);
            return use->granted;
        };
        EXPECT_LE(report_and_get_granted(now), each.max_granted * 1000)
            << each.what;
        if (each.has_record) {
            EXPECT_LE(report_and_get_granted(now + 5000), 50) << each.what;
        }
        EXPECT_GE(report_and_get_granted(now + 9000), 990) << each.what;
    }
}

// What a daemon spent before its first report to this allocator is charged to
// the team's quota, but not twice if the record has it already.
TEST(Allocator, SpendingBeforeTheFirstReportIsCharged)
{
    struct Case {
        const char *what;
        int64_t age_ms;  // of the daemon
        bool has_record; // of 200 units, read 0.5 s before the report
        double spent;    // in the first report
        double min_granted, max_granted; // of a limit of 1000
    };
    const Case cases[] = {
        {"all daemons have started recently", 700, true, 200, 400, 600},
        {"only the allocator has started recently", 60000, true, 200, 750,
         800},
        {"the record lacks some spending", 60000, true, 500, 450, 500},
        {"another allocator granted before", 60000, false, 500, 450, 500},
        {"nothing spent", 700, true, 0, 600, 700},
    };
    const ps_name_t team = ToName("t"), daemon = ToName("d");
    for (const Case &each : cases) {
        AllocatorHarness after(1, 1);
        PsAllocator_SetQuotaLimit(&after.allocator, &team, 1000, 8);
        ps_quota_usage_t record = {};
        record.team = team;
        record.used_units[0] = 200;
        after.allocator.started_ms = each.has_record ? kStart : 0;
        if (each.has_record) {
            PsAllocator_AddQuotaUsage(&after.allocator, &record, 1, 400,
                                      kStart);
        }
        ps_reporter_t *reporter = PsAllocator_StartReport(
            &after.allocator, &daemon, 1, kStart + 500);
        reporter->age_ms = each.age_ms;
        PsAllocator_SetTeamUse(&after.allocator, reporter, &team, each.spent,
                               1, each.spent * 9, kStart + 500);
        PsAllocator_DivideQuotas(&after.allocator, 1, kStart + 500);
        auto *use =
            (ps_team_use_t *)g_hash_table_lookup(reporter->teams, &team);
        EXPECT_GE(use->granted, each.min_granted) << each.what;
        EXPECT_LE(use->granted, each.max_granted) << each.what;
    }
}

// Repeated reports of the same spending are charged once, and units that a
// daemon refunds for requests that did not run are refunded to the team's
// quota.
TEST(Allocator, EachUnitIsChargedOnce)
{
    struct Step {
        const char *what;
        double spent, total;
        double charged; // to the team's quota after the step
    };
    const Step steps[] = {
        {"first report", 50, 50, 50},
        {"nothing new", 50, 50, 50},
        {"more", 150, 150, 150},
        {"some refunded", 90, 90, 90},
        {"all refunded", 0, 0, 0},
        {"nothing new again", 0, 0, 0},
        {"spent after the refund", 40, 40, 40},
    };
    const ps_name_t team = ToName("t"), daemon = ToName("d");
    AllocatorHarness harness(1, 1);
    PsAllocator_SetQuotaLimit(&harness.allocator, &team, 1000, 8);
    int64_t now = kStart;
    for (const Step &step : steps) {
        now += 300;
        ps_reporter_t *reporter =
            PsAllocator_StartReport(&harness.allocator, &daemon, 1, now);
        PsAllocator_SetTeamUse(&harness.allocator, reporter, &team, step.spent,
                               1, step.total, now);
        auto *team_quota = (ps_quota_t *)g_hash_table_lookup(
            harness.allocator.team_quotas, &team);
        EXPECT_DOUBLE_EQ(PsQuota_GetSpent(team_quota, now), step.charged)
            << step.what;
    }
}

// Three of nine daemons are cut off from the others, and removed as dead after
// 3 s; each goes on spending its even share of the quota, as callers still
// reach it. All together stay within the quota in each window.
TEST(Allocator, RemovedDaemonsThatGoOnServingKeepTheirPartOfAQuota)
{
    const int n = 9, n_cut = 3;
    const double limit = 9000, window_s = 8;
    const double kUnits = 7.5; // asked for in 20 ms: 3 times the quota's rate
    const ps_name_t team = ToName("t");
    AllocatorHarness harness(1, 1);
    PsAllocator_SetQuotaLimit(&harness.allocator, &team, limit, window_s);
    ps_recent_members_t recent;
    PsRecentMembers_Init(&recent);
    std::vector<ps_quota_t> quotas(n);
    for (ps_quota_t &quota : quotas) {
        PsQuota_SetLimit(&quota, limit, window_s);
    }
    const int64_t cut_at = kStart + 1000, removed_at = cut_at + 3000;
    int n_members = n;
    std::vector<std::pair<int64_t, double>> spent;
    for (int64_t now = kStart; now < kStart + 20000; now += 20) {
        int n_reporting = now < cut_at ? n : n - n_cut;
        for (int i = n_reporting; now == removed_at && i < n; i++) {
            ps_name_t name = ToName("d" + std::to_string(i));
            PsAllocator_RemoveReporter(&harness.allocator, &name);
            PsRecentMembers_AddLeft(&recent, &name, now);
            n_members--;
        }
        std::vector<ps_reporter_t *> reporters;
        for (int i = 0; i < n_reporting; i++) {
            ps_name_t name = ToName("d" + std::to_string(i));
            ps_reporter_t *reporter =
                PsAllocator_StartReport(&harness.allocator, &name, 1, now);
            reporter->age_ms = 60000;
            PsAllocator_SetTeamUse(&harness.allocator, reporter, &team,
                                   PsQuota_GetSpent(&quotas[i], now), 100,
                                   quotas[i].total_spent, now);
            reporters.push_back(reporter);
        }
        PsAllocator_DivideQuotas(
            &harness.allocator,
            n_members + PsRecentMembers_CountLeft(
                            &recent, (int64_t)(window_s * 1000), now),
            now);
        for (int i = 0; i < n; i++) {
            double units = 0;
            if (now < cut_at) {
                continue; // the team's load begins then
            }
            if (i < n_reporting) {
                auto *use = (ps_team_use_t *)g_hash_table_lookup(
                    reporters[i]->teams, &team);
                units = std::min(use->granted, kUnits);
                PsQuota_Charge(&quotas[i], units, now);
            }
            else if (now < cut_at + 4600 &&
                     PsQuota_ChargeEvenShare(&quotas[i], kUnits, n, now)) {
                units = kUnits; // until its API keys are too old
            }
            spent.push_back({now, units});
        }
    }
    PsRecentMembers_Finish(&recent);
    for (int64_t from = kStart; from < kStart + 12000; from += 250) {
        double sum = 0;
        for (const auto &[at, units] : spent) {
            sum += at >= from && at < from + 8000 ? units : 0;
        }
        EXPECT_LE(sum, limit * 1.001) << "from " << from - kStart;
    }
}

TEST(RecentMembers, CountsThoseThatLeftWithinTheWindow)
{
    const ps_name_t a = ToName("a"), b = ToName("b");
    ps_recent_members_t recent;
    PsRecentMembers_Init(&recent);
    PsRecentMembers_AddLeft(&recent, &a, kStart);
    PsRecentMembers_AddLeft(&recent, &b, kStart + 1000);
    EXPECT_EQ(PsRecentMembers_CountLeft(&recent, 8000, kStart + 8000), 2);
    PsRecentMembers_AddLeft(&recent, &b, kStart + 2000);
    EXPECT_EQ(PsRecentMembers_CountLeft(&recent, 8000, kStart + 8100), 1);
    PsRecentMembers_RemoveJoined(&recent, &b);
    EXPECT_EQ(PsRecentMembers_CountLeft(&recent, 8000, kStart + 8100), 0);
    PsRecentMembers_Finish(&recent);
}

TEST(Quota, RefundReachesOlderCharges)
{
    ps_quota_t quota = {};
    PsQuota_SetLimit(&quota, 1000, 8);
    PsQuota_Charge(&quota, 100, kStart);
    PsQuota_Charge(&quota, 20, kStart + 600);
    PsQuota_Refund(&quota, 90); // of a request that waited and was refused
    EXPECT_DOUBLE_EQ(PsQuota_GetSpent(&quota, kStart + 700), 30);
}

// The record of an allocator that has taken over includes what daemons spent
// before their first reports to it.
TEST(Allocator, RecordIncludesEarlierSpendingAfterATakeover)
{
    const ps_name_t team = ToName("t");
    AllocatorHarness after(1, 1);
    PsAllocator_SetQuotaLimit(&after.allocator, &team, 1000, 8);
    for (int i = 0; i < 10; i++) {
        ps_name_t daemon = ToName("d" + std::to_string(i));
        ps_reporter_t *reporter =
            PsAllocator_StartReport(&after.allocator, &daemon, 1, kStart);
        reporter->age_ms = 60000;
        PsAllocator_SetTeamUse(&after.allocator, reporter, &team, 60, 1, 900,
                               kStart);
    }
    ps_quota_usage_t record = {};
    ASSERT_EQ(
        PsAllocator_GetQuotaUsage(&after.allocator, &record, 1, kStart + 10),
        1);
    double sum = 0;
    for (double part : record.used_units) {
        sum += part;
    }
    EXPECT_NEAR(sum, 600, 60);
}

// What was spent after the last record is unknown. The older the record, the
// more may have been spent, and the less is granted until a window has passed.
TEST(Allocator, OldRecordLeavesLittleToGrant)
{
    struct Case {
        const char *what;
        int records;
        int64_t age_ms;     // of the record when it is read
        int64_t passed_ms;  // since the allocator's start
        double max_granted; // of a limit of 1000
    };
    const Case cases[] = {
        {"fresh", 1, 400, 0, 750},
        {"after a restart", 1, 2500, 0, 750},
        {"the store was unavailable for long", 1, 11000, 0, 0},
        {"the store was unavailable for 6 s", 1, 6000, 0, 375},
        {"unavailable for long, restarted 6 s ago", 1, 11000, 6000, 600},
        {"no team had spent much", 0, 20000, 0, 850}};
    const ps_name_t team = ToName("t"), daemon = ToName("d");
    for (const Case &each : cases) {
        AllocatorHarness after(1, 1);
        PsAllocator_SetQuotaLimit(&after.allocator, &team, 1000, 8);
        ps_quota_usage_t record = {};
        record.team = team;
        record.used_units[0] = 100;
        after.allocator.started_ms = kStart - each.passed_ms;
        PsAllocator_AddQuotaUsage(&after.allocator, &record, each.records,
                                  each.age_ms, kStart);
        ps_reporter_t *reporter =
            PsAllocator_StartReport(&after.allocator, &daemon, 1, kStart);
        PsAllocator_SetTeamUse(&after.allocator, reporter, &team, 0, 1, 0,
                               kStart);
        PsAllocator_DivideQuotas(&after.allocator, 1, kStart);
        auto *use =
            (ps_team_use_t *)g_hash_table_lookup(reporter->teams, &team);
        EXPECT_LE(use->granted, each.max_granted) << each.what;
        EXPECT_GE(use->granted, each.max_granted * 0.9) << each.what;
        PsAllocator_DivideQuotas(&after.allocator, 1, kStart + 400);
        PsAllocator_StartReport(&after.allocator, &daemon, 1, kStart + 9000);
        PsAllocator_DivideQuotas(&after.allocator, 1, kStart + 9000);
        EXPECT_EQ(use->granted, 1000) << each.what << ", a window later";
    }
}

/* ---- Crashes of contents ---------------------------------------------- */

namespace {

ps_crash_t
MakeCrash(uint64_t content, uint64_t id, int64_t at_ms)
{
    ps_crash_t crash = {};
    crash.mark = content;
    crash.id = id;
    crash.at_ms = at_ms;
    crash.is_own = true;
    return crash;
}

// Daemons that report crashes to one of them, the allocator, which tells all
// of the crashes of banned contents.
struct CrashHarness {
    struct Daemon {
        ps_suspects_t suspects;
        ps_crash_reports_t to_allocator, to_members;
        Daemon()
        {
            PsSuspects_Init(&suspects, 3, 3);
            PsCrashReports_Init(&to_allocator, &suspects, true);
            PsCrashReports_Init(&to_members, &suspects, false);
        }
        ~Daemon()
        {
            PsCrashReports_Finish(&to_members);
            PsCrashReports_Finish(&to_allocator);
            PsSuspects_Finish(&suspects);
        }
        bool
        Count(const ps_crash_t &crash)
        {
            int before =
                PsSuspects_GetCrashes(&suspects, crash.mark, crash.at_ms);
            bool is_new = PsSuspects_AddCrash(&suspects, &crash);
            if (is_new && before == 2) {
                PsCrashReports_AddAll(&to_members);
            }
            return is_new;
        }
        // Sends what is due in one kind of report.
        void
        Send(ps_crash_reports_t *reports,
             const std::vector<Daemon *> &receivers, int64_t now)
        {
            ps_crash_t crashes[PS_CRASH_REPORTS_MAX];
            size_t n = PsCrashReports_Take(reports, crashes, now);
            for (Daemon *receiver : receivers) {
                for (size_t i = 0; i < n; i++) {
                    ps_crash_t crash = crashes[i];
                    crash.is_own = false;
                    receiver->Count(crash);
                }
            }
        }
    };
    std::vector<std::unique_ptr<Daemon>> daemons;
    size_t allocator = 0;
    int64_t now = kStart;
    explicit CrashHarness(int n)
    {
        for (int i = 0; i < n; i++) {
            daemons.push_back(std::make_unique<Daemon>());
        }
    }
    // One round of reports and grants; each is lost if @is_lost() says so.
    void
    RunRound(const std::function<bool()> &is_lost)
    {
        now += 20;
        Daemon *receiver = daemons[allocator].get();
        for (auto &daemon : daemons) {
            std::vector<Daemon *> receivers;
            if (daemon.get() == receiver || !is_lost()) {
                receivers.push_back(receiver);
            }
            daemon->Send(&daemon->to_allocator, receivers, now);
        }
        std::vector<Daemon *> members;
        for (auto &daemon : daemons) {
            if (daemon.get() == receiver || !is_lost()) {
                members.push_back(daemon.get());
            }
        }
        receiver->Send(&receiver->to_members, members, now);
    }
};

} // namespace

// A crash that several daemons report, or one of them again, counts once.
TEST(Suspects, ContentIsBannedAtThreeDifferentCrashes)
{
    ps_suspects_t suspects;
    PsSuspects_Init(&suspects, 3, 3);
    struct Case {
        uint64_t content, id;
        bool is_counted;
        int crashes;
        bool is_banned;
    };
    const Case cases[] = {{7, 1, true, 1, false},  {7, 1, false, 1, false},
                          {8, 1, true, 1, false},  {7, 2, true, 2, false},
                          {7, 2, false, 2, false}, {0, 3, false, 0, false},
                          {7, 3, true, 3, true},   {8, 3, true, 2, false}};
    for (const Case &each : cases) {
        ps_crash_t crash = MakeCrash(each.content, each.id, kStart);
        EXPECT_EQ(PsSuspects_AddCrash(&suspects, &crash), each.is_counted)
            << each.content << " " << each.id;
        EXPECT_EQ(PsSuspects_GetCrashes(&suspects, each.content, kStart),
                  each.crashes);
        EXPECT_EQ(PsSuspects_IsBanned(&suspects, each.content, kStart),
                  each.is_banned);
    }
    EXPECT_TRUE(PsSuspects_IsBanned(&suspects, 7, kStart + PS_SUSPECT_TTL_MS));
    EXPECT_FALSE(
        PsSuspects_IsBanned(&suspects, 7, kStart + PS_SUSPECT_TTL_MS + 1));
    // A crash that is reported after its time does not renew the ban.
    ps_crash_t old = MakeCrash(7, 4, kStart);
    PsSuspects_AddCrash(&suspects, &old);
    EXPECT_FALSE(
        PsSuspects_IsBanned(&suspects, 7, kStart + PS_SUSPECT_TTL_MS + 1));
    PsSuspects_Finish(&suspects);
}

// A crash that another daemon has reported, and then this one sees, is this
// one's to report, too: the other may be gone.
TEST(Suspects, ReportedCrashThatIsSeenHereIsListedAsOwn)
{
    ps_suspects_t suspects;
    PsSuspects_Init(&suspects, 3, 3);
    ps_crash_t crash = MakeCrash(7, 1, kStart), listed;
    crash.is_own = false;
    EXPECT_TRUE(PsSuspects_AddCrash(&suspects, &crash));
    EXPECT_EQ(PsSuspects_ListCrashes(&suspects, 0, &listed, 1, kStart), 0u);
    crash.is_own = true;
    EXPECT_FALSE(PsSuspects_AddCrash(&suspects, &crash));
    EXPECT_EQ(PsSuspects_ListCrashes(&suspects, 0, &listed, 1, kStart), 1u);
    crash.is_own = false;
    EXPECT_FALSE(PsSuspects_AddCrash(&suspects, &crash));
    EXPECT_EQ(PsSuspects_ListCrashes(&suspects, 0, &listed, 1, kStart), 1u);
    PsSuspects_Finish(&suspects);
}

// Servers that crash with many requests make many suspects.
TEST(Suspects, MemoryIsBoundedAndBannedContentsStay)
{
    ps_suspects_t suspects;
    PsSuspects_Init(&suspects, 3, 3);
    for (uint64_t id = 1; id <= 3; id++) {
        ps_crash_t crash = MakeCrash(7, id, kStart);
        PsSuspects_AddCrash(&suspects, &crash);
    }
    for (uint64_t i = 0; i < 3 * PS_SUSPECTS_MAX; i++) {
        ps_crash_t crash = MakeCrash(1000 + i, 1, kStart + (int64_t)i);
        EXPECT_TRUE(PsSuspects_AddCrash(&suspects, &crash));
        EXPECT_LE(g_hash_table_size(suspects.by_hash), (guint)PS_SUSPECTS_MAX);
    }
    EXPECT_TRUE(PsSuspects_IsBanned(&suspects, 7, kStart));
    ps_crash_t crashes[PS_CRASH_REPORTS_MAX];
    EXPECT_EQ(PsSuspects_ListCrashes(&suspects, kStart, crashes,
                                     PS_CRASH_REPORTS_MAX, kStart),
              (size_t)PS_CRASH_REPORTS_MAX);
    EXPECT_EQ(crashes[0].mark, 7u);
    EXPECT_EQ(crashes[3].mark, 1000u + 3 * PS_SUSPECTS_MAX - 1);
    EXPECT_EQ(PsSuspects_ListCrashes(&suspects, INT64_MAX, crashes,
                                     PS_CRASH_REPORTS_MAX, kStart),
              3u);
    PsSuspects_Finish(&suspects);
}

// Requests abandoned at a server count when its end becomes known in time.
TEST(AbandonedRuns, ServerEndFindsItsLatestRequests)
{
    ps_abandoned_runs_t abandoned;
    PsAbandonedRuns_Init(&abandoned);
    PsAbandonedRuns_Add(&abandoned, 1, 70, false, kStart);
    PsAbandonedRuns_Add(&abandoned, 0, 70, false, kStart); // no content
    PsAbandonedRuns_Add(&abandoned, 2, 71, false, kStart);
    PsAbandonedRuns_Add(&abandoned, 3, 70, false, kStart + 5000);
    int64_t later = kStart + PS_ABANDONED_RUN_TTL_MS + 1;
    auto take = [&](uint64_t crash, int64_t now) -> uint64_t {
        ps_abandoned_run_t run;
        bool found = PsAbandonedRuns_TakeNext(&abandoned, crash, now, &run);
        return found ? run.mark : 0;
    };
    EXPECT_EQ(take(72, later), 0u);
    EXPECT_EQ(take(70, later), 3u);
    EXPECT_EQ(take(70, later), 0u);
    EXPECT_EQ(take(71, kStart), 2u);
    EXPECT_EQ(take(71, kStart), 0u);
    for (uint64_t i = 1; i <= PS_ABANDONED_RUNS_MAX + 1; i++) {
        PsAbandonedRuns_Add(&abandoned, i, i == 1 ? 80 : 81, false, kStart);
    }
    EXPECT_EQ(take(80, kStart), 0u);
    EXPECT_NE(take(81, kStart), 0u);
}

TEST(RecentMap, KeepsHashesForItsTimeInBoundedMemory)
{
    ps_recent_map_t map;
    const int64_t kKept = 60000;
    PsRecentMap_Init(&map, kKept);
    int64_t now = kStart;
    PsRecentMap_Put(&map, 1, 1 + 5, now);
    EXPECT_TRUE(PsRecentMap_Get(&map, 1, nullptr, now + kKept));
    EXPECT_FALSE(PsRecentMap_Get(&map, 2, nullptr, now));
    uint64_t value = 0;
    EXPECT_TRUE(PsRecentMap_Get(&map, 1, &value, now));
    EXPECT_EQ(value, 6u);
    PsRecentMap_Put(&map, 2, 2 + 5, now + kKept);
    EXPECT_TRUE(PsRecentMap_Get(&map, 2, nullptr, now + 2 * kKept));
    EXPECT_FALSE(PsRecentMap_Get(&map, 1, nullptr, now + 4 * kKept));
    EXPECT_FALSE(PsRecentMap_Get(&map, 2, nullptr, now + 4 * kKept));
    now += 5 * kKept;
    for (uint64_t i = 0; i < 5 * PS_RECENT_MAP_GENERATION_MAX; i++) {
        PsRecentMap_Put(&map, i, i + 5, now);
        ASSERT_TRUE(PsRecentMap_Get(&map, i, nullptr, now));
        ASSERT_LE(g_hash_table_size(map.newer) + g_hash_table_size(map.older),
                  2u * PS_RECENT_MAP_GENERATION_MAX);
    }
    EXPECT_FALSE(PsRecentMap_Get(&map, 1, nullptr, now));
    PsRecentMap_Finish(&map);
}

// A loss of many servers leaves many suspects for half an hour.
TEST(CrashReports, OldCrashesOfSuspectsAreReportedRarely)
{
    ps_suspects_t suspects;
    ps_crash_reports_t reports;
    PsSuspects_Init(&suspects, 3, 3);
    PsCrashReports_Init(&reports, &suspects, true);
    for (uint64_t i = 1; i <= 1000; i++) {
        ps_crash_t crash = MakeCrash(i, i, kStart);
        PsSuspects_AddCrash(&suspects, &crash);
        PsCrashReports_Add(&reports, &crash);
    }
    for (uint64_t id = 1; id <= 3; id++) {
        ps_crash_t crash = MakeCrash(5000, id, kStart);
        PsSuspects_AddCrash(&suspects, &crash);
    }
    struct Case {
        int64_t after_ms;
        size_t reported;
    };
    const Case cases[] = {{0, PS_CRASH_REPORTS_MAX},
                          {20, 0},
                          {1000, PS_CRASH_REPORTS_MAX},
                          {1020, 0},
                          {29000, PS_CRASH_REPORTS_MAX},
                          {30000, PS_CRASH_REPORTS_MAX},
                          {31000, 3},
                          {32000, 3},
                          {60000, PS_CRASH_REPORTS_MAX},
                          {61000, 3}};
    ps_crash_t crashes[PS_CRASH_REPORTS_MAX];
    for (const Case &each : cases) {
        EXPECT_EQ(
            PsCrashReports_Take(&reports, crashes, kStart + each.after_ms),
            each.reported)
            << each.after_ms;
        EXPECT_TRUE(each.reported == 0 || crashes[0].mark == 5000u);
    }
    PsCrashReports_AddAll(&reports); // for another allocator
    EXPECT_EQ(PsCrashReports_Take(&reports, crashes, kStart + 61020),
              (size_t)PS_CRASH_REPORTS_MAX);
    PsCrashReports_Finish(&reports);
    PsSuspects_Finish(&suspects);
}

// Reports and grants get lost, allocators change and daemons start again: once
// three crashes were seen by daemons that live on, all daemons ban the
// content, and none bans it before.
RC_GTEST_PROP(CrashReports, CrashesOutliveLostReportsAndAllocators, ())
{
    const uint64_t content = 4711;
    const int n = *rc::gen::inRange(2, 9);
    const int loss_percent = *rc::gen::inRange(0, 100);
    CrashHarness harness(n);
    std::vector<std::set<uint64_t>> seen(n); // ids of the crashes, by daemon
    uint64_t last_id = 0;
    auto is_lost = [&] { return *rc::gen::inRange(0, 100) < loss_percent; };
    for (int i = 0; i < 60; i++) {
        size_t at = (size_t)*rc::gen::inRange(0, n);
        switch (*rc::gen::inRange(0, 12)) {
        case 0:
        case 1: // many crashes are seen by several daemons
            if (*rc::gen::inRange(0, 2) > 0 || last_id == 0) {
                last_id++;
            }
            seen[at].insert(last_id);
            {
                ps_crash_t crash = MakeCrash(content, last_id, harness.now);
                if (harness.daemons[at]->Count(crash)) {
                    PsCrashReports_Add(&harness.daemons[at]->to_allocator,
                                       &crash);
                }
            }
            break;
        case 2:
            harness.allocator = at;
            break;
        case 3:
            harness.daemons[at] = std::make_unique<CrashHarness::Daemon>();
            seen[at].clear();
            break;
        default:
            harness.RunRound(is_lost);
        }
    }
    std::set<uint64_t> all;
    for (const std::set<uint64_t> &each : seen) {
        all.insert(each.begin(), each.end());
    }
    for (int i = 0; i < 2 * PS_CRASH_REPORTS_INTERVAL_MS / 20 + 2; i++) {
        harness.RunRound([] { return false; });
    }
    for (auto &daemon : harness.daemons) {
        bool is_banned =
            PsSuspects_IsBanned(&daemon->suspects, content, harness.now);
        RC_ASSERT(is_banned || all.size() < 3);
        RC_ASSERT(!is_banned || last_id >= 3);
    }
}
