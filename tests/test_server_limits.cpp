// test_server_limits.cpp - Tests the limits that backend servers name, in
// virtual time: notices and their order, turns without an allocator, its
// permits, and the reading of the header.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <memory>

#include "kernel.hpp"

extern "C" {
#include "allocator.h"
#include "dialect_fleet.h"
#include "http_client.h"
#include "rate_bucket.h"
#include "server_limit.h"
}

namespace {

const int64_t kStart = 1000000; // virtual time at which tests start, ms
const int64_t kWindow = 4000;   // in which the users count requests, ms

// The most requests in any window that the users allow.
double
GetAllowed(double rate)
{
    return 1.5 * rate * 4 + 5;
}

int
CountMost(const std::vector<int64_t> &sorted, int64_t from)
{
    int most = 0;
    for (size_t first = 0, i = 0; i < sorted.size(); i++) {
        while (sorted[first] <= sorted[i] - kWindow) {
            first++;
        }
        if (sorted[first] >= from) {
            most = std::max(most, (int)(i - first + 1));
        }
    }
    return most;
}

bool
AddNotice(ps_server_limit_t *limit, double rate, int64_t asked,
          int64_t answered)
{
    ps_limit_notice_t notice = {rate, asked, answered};
    return PsServerLimit_AddNotice(limit, &notice, answered);
}

} // namespace

/* ---- Notices ---------------------------------------------------------- */

TEST(ServerLimit, LaterNoticesHoldAndUncertainOrderHoldsTheStricter)
{
    struct Step {
        const char *name;
        double rate;
        int64_t asked, answered;
        double expected; // limit in force afterwards; -1: none
    };
    const double kNone = PS_SERVER_RATE_NONE;
    const Step steps[] = {
        {"none named", kNone, 0, 10, kNone},
        {"named", 4, 20, 30, 4},
        {"asked before, answered after", kNone, 25, 60, 4},
        {"answered late and out of order", kNone, 5, 15, 4},
        {"higher at an uncertain time", 9, 25, 50, 4},
        {"lower at an uncertain time", 3, 28, 40, 3},
        {"the same again", 3, 50, 90, 3},
        {"higher, asked before the last one was answered", 9, 80, 95, 3},
        {"higher", 9, 90, 100, 9},
        {"withdrawn", kNone, 100, 110, kNone},
        {"named before it was withdrawn", 2, 92, 99, kNone},
        {"named again", 2, 111, 120, 2},
    };
    ps_server_limit_t limit = {};
    for (const Step &step : steps) {
        SCOPED_TRACE(step.name);
        AddNotice(&limit, step.rate, kStart + step.asked,
                  kStart + step.answered);
        EXPECT_EQ(PsServerLimit_IsLimited(&limit), step.expected >= 0);
        EXPECT_EQ(limit.notice.rate, step.expected);
    }
}

TEST(ServerLimit, EndOfALimitIsToldForAWhile)
{
    ps_server_limit_t limit = {};
    AddNotice(&limit, PS_SERVER_RATE_NONE, kStart, kStart + 1);
    EXPECT_FALSE(PsServerLimit_IsTold(&limit, kStart + 1));
    AddNotice(&limit, 3, kStart + 10, kStart + 11);
    EXPECT_TRUE(PsServerLimit_IsTold(&limit, kStart + 100000));
    AddNotice(&limit, PS_SERVER_RATE_NONE, kStart + 20, kStart + 21);
    EXPECT_TRUE(PsServerLimit_IsTold(&limit, kStart + 9000));
    EXPECT_FALSE(PsServerLimit_IsTold(&limit, kStart + 11000));
}

/* ---- Turns and permits ------------------------------------------------ */

// A server whose limit is zero or tiny is still asked now and then, by a
// daemon that knows the others only.
TEST(ServerLimit, ServerThatTakesNothingIsAskedNowAndThen)
{
    ps_server_limit_t limit = {};
    AddNotice(&limit, 0, kStart, kStart);
    int sent = 0;
    for (int64_t now = kStart; now < kStart + 60000; now += 10) {
        if (now == kStart + 20000) {
            PsServerLimit_SetDaemons(&limit, 1, 0, now);
        }
        if (PsServerLimit_MayStart(&limit, now)) {
            ASSERT_GE(now, kStart + 20000) << "other daemons are not known";
            PsServerLimit_CountStart(&limit, now);
            sent++;
        }
    }
    EXPECT_GE(sent, 3);
    EXPECT_LE(sent, 5);
}

// Without an allocator, daemons that all lost it at the same time use the
// limit nearly whole and don't exceed it, and saved turns are lost.
RC_GTEST_PROP(ServerLimit, TurnsOfAllDaemonsAddUpToTheRate, ())
{
    const int n = *rc::gen::inRange(1, 40);
    const double rate = *rc::gen::inRange(10, 400) / 10.0;
    const int64_t idle = *rc::gen::inRange(0, 8000);
    std::vector<ps_server_limit_t> limits(n);
    for (int i = 0; i < n; i++) {
        AddNotice(&limits[i], rate, kStart, kStart);
        PsServerLimit_SetDaemons(&limits[i], n, i, kStart);
        PsServerLimit_NoteReport(&limits[i], 1);
        PsServerLimit_Permit(&limits[i], 1, 0, kStart);
    }
    std::vector<int64_t> sent;
    const int64_t kEnd = kStart + 30000;
    for (int64_t now = kStart + idle; now < kEnd; now += 10) {
        for (ps_server_limit_t &limit : limits) {
            if (PsServerLimit_MayStart(&limit, now)) {
                PsServerLimit_CountStart(&limit, now);
                sent.push_back(now);
            }
        }
    }
    RC_ASSERT(CountMost(sent, kStart) <= GetAllowed(rate));
    double seconds = (double)(kEnd - kStart - idle - 400) / 1000.0;
    RC_ASSERT(sent.size() >= rate * seconds * 0.9 - n);
}

namespace {

// Daemons under load that report to an allocator and get its grants, both with
// random delays.
struct Cluster {
    struct Daemon {
        ps_server_limit_t limit = {};
        int slot_limit = 0;
        uint64_t round = 0;
        std::vector<int64_t> running; // ends
        int64_t paused_until = 0;
        bool is_cut = false; // from the allocator
        double load = 0;     // part of the steps with a request
    };
    struct Message {
        int64_t due;
        int daemon;
        uint64_t round, starts, permitted;
        int running, waiting, slot_limit;
        bool is_grant;
    };
    std::vector<Daemon> daemons;
    std::vector<Message> messages;
    std::unique_ptr<ps_allocator_t> allocator;
    ps_name_t service = ToName("s");
    std::vector<int64_t> sent;
    double rate = 0;
    std::map<int, uint64_t> report_rounds;

    explicit Cluster(int n) : daemons(n)
    {
        StartAllocator();
    }
    ~Cluster()
    {
        PsAllocator_Finish(allocator.get());
    }
    // Begins with an allocator that knows nothing.
    void
    StartAllocator()
    {
        if (allocator) {
            PsAllocator_Finish(allocator.get());
        }
        allocator = std::make_unique<ps_allocator_t>();
        PsAllocator_Init(allocator.get());
        messages.clear();
        report_rounds.clear();
    }
    void
    SendRequest(Daemon &daemon, int64_t now)
    {
        auto &ends = daemon.running;
        ends.erase(std::remove_if(ends.begin(), ends.end(),
                                  [&](int64_t end) { return end <= now; }),
                   ends.end());
        if ((int)ends.size() < daemon.slot_limit &&
            PsServerLimit_MayStart(&daemon.limit, now)) {
            PsServerLimit_CountStart(&daemon.limit, now);
            ends.push_back(now + 30);
            sent.push_back(now);
        }
    }
    void
    Report(int i, int64_t now, int64_t delay)
    {
        Daemon &daemon = daemons[i];
        daemon.round++;
        PsServerLimit_NoteReport(&daemon.limit, daemon.round);
        if (!daemon.is_cut) {
            messages.push_back({now + delay, i, daemon.round,
                                daemon.limit.starts, 0,
                                (int)daemon.running.size(),
                                daemon.load > 0 ? 1 : 0, 0, false});
        }
    }
    void
    Deliver(const Message &message, int64_t now)
    {
        if (message.is_grant) {
            Daemon &daemon = daemons[message.daemon];
            if (!daemon.is_cut) {
                PsServerLimit_Permit(&daemon.limit, message.round,
                                     message.permitted, now);
                daemon.slot_limit = message.slot_limit;
            }
            return;
        }
        ps_name_t name = ToName("d" + std::to_string(message.daemon));
        ps_reporter_t *reporter =
            PsAllocator_StartReport(allocator.get(), &name, 0, now);
        ps_service_use_t *use = PsReporter_GetServiceUse(reporter, &service);
        ps_slot_count_t running = {1, message.running};
        ps_waiting_count_t waiting = {0, message.waiting};
        g_array_append_val(use->running, running);
        g_array_append_val(use->waiting, waiting);
        PsAllocator_SetStarts(allocator.get(), reporter, 1, message.starts,
                              now);
        report_rounds[message.daemon] = message.round;
    }
    void
    DeliverDue(int64_t now)
    {
        std::vector<Message> due;
        for (size_t i = 0; i < messages.size();) {
            bool is_paused = now < daemons[messages[i].daemon].paused_until;
            if (messages[i].due <= now && !is_paused) {
                due.push_back(messages[i]);
                messages.erase(messages.begin() + i);
            }
            else {
                i++;
            }
        }
        for (const Message &message : due) {
            Deliver(message, now);
        }
    }
    void
    Grant(int64_t now, int64_t delay)
    {
        PsAllocator_SetServerRate(allocator.get(), 1, rate, now);
        ps_slot_count_t slots = {1, 60};
        PsAllocator_DivideSlots(allocator.get(), &service, &slots, 1,
                                (int)daemons.size(), now);
        for (const auto &[i, round] : report_rounds) {
            ps_name_t name = ToName("d" + std::to_string(i));
            auto *reporter = (ps_reporter_t *)g_hash_table_lookup(
                allocator->reporters, &name);
            ps_service_use_t *use =
                PsReporter_GetServiceUse(reporter, &service);
            int granted = PsServiceUse_CountGranted(use, 1);
            if (now - reporter->reported_ms <= PS_REPORT_MAX_AGE_MS) {
                messages.push_back({now + delay, i, round, 0,
                                    (uint64_t)granted, 0, 0, granted + 1,
                                    true});
            }
        }
    }
};

} // namespace

// Over random interleavings of loads, delays, lost and new allocators, daemons
// that start again, stand still or are cut off, a server with a limit gets no
// more than the users allow in any window.
RC_GTEST_PROP(ServerLimit, DaemonsTogetherKeepToTheLimit, ())
{
    const int n = *rc::gen::inRange(1, 12);
    Cluster cluster(n);
    cluster.rate = *rc::gen::inRange(2, 200) / 10.0;
    auto start = [&](int i, int64_t now) {
        cluster.daemons[i].limit = {};
        AddNotice(&cluster.daemons[i].limit, cluster.rate, now, now);
        PsServerLimit_SetDaemons(&cluster.daemons[i].limit, n, i, now);
        cluster.daemons[i].slot_limit = 60 / n + 1;
        cluster.daemons[i].running.clear();
    };
    for (int i = 0; i < n; i++) {
        start(i, kStart);
        cluster.daemons[i].load = *rc::gen::inRange(0, 3) * 0.5;
    }
    int64_t without_allocator_until = 0;
    for (int64_t now = kStart; now < kStart + 16000; now += 10) {
        if (*rc::gen::inRange(0, 150) == 0) {
            int i = *rc::gen::inRange(0, n);
            switch (*rc::gen::inRange(0, 5)) {
            case 0:
                start(i, now);
                break;
            case 1:
                cluster.daemons[i].paused_until = now + 1500;
                break;
            case 2:
                cluster.daemons[i].is_cut = !cluster.daemons[i].is_cut;
                break;
            case 3:
                cluster.StartAllocator();
                without_allocator_until = now + *rc::gen::inRange(0, 1500);
                break;
            default:
                cluster.daemons[i].load = *rc::gen::inRange(0, 3) * 0.5;
            }
        }
        for (int i = 0; i < n; i++) {
            if (now >= cluster.daemons[i].paused_until) {
                Cluster::Daemon &daemon = cluster.daemons[i];
                if (*rc::gen::inRange(0, 100) < daemon.load * 100) {
                    cluster.SendRequest(daemon, now);
                }
                if (now % 20 == 0 && now >= without_allocator_until) {
                    cluster.Report(i, now, *rc::gen::inRange(0, 60));
                }
            }
        }
        cluster.DeliverDue(now);
        if (now % 20 == 0 && now >= without_allocator_until) {
            cluster.Grant(now, *rc::gen::inRange(0, 60));
        }
    }
    int most = CountMost(cluster.sent, kStart);
    RC_ASSERT(most <= GetAllowed(cluster.rate));
}

// What waits gets a limited server's requests nearly whole.
TEST(ServerLimit, PermitsUseTheLimitWhole)
{
    for (double rate : {0.5, 3.6, 20.0}) {
        SCOPED_TRACE(rate);
        Cluster cluster(9);
        cluster.rate = rate;
        for (int i = 0; i < 9; i++) {
            AddNotice(&cluster.daemons[i].limit, rate, kStart, kStart);
            PsServerLimit_SetDaemons(&cluster.daemons[i].limit, 9, i, kStart);
            cluster.daemons[i].load = i < 3 ? 1 : 0;
        }
        for (int64_t now = kStart; now < kStart + 40000; now += 10) {
            for (int i = 0; i < 9; i++) {
                if (cluster.daemons[i].load > 0) {
                    cluster.SendRequest(cluster.daemons[i], now);
                }
                if (now % 20 == 0) {
                    cluster.Report(i, now, 2);
                }
            }
            cluster.DeliverDue(now);
            if (now % 20 == 0) {
                cluster.Grant(now, 2);
            }
        }
        EXPECT_GE(cluster.sent.size(), rate * 40 * 0.9 - 1);
        EXPECT_LE(CountMost(cluster.sent, kStart), GetAllowed(rate));
    }
}

TEST(RateBucket, OverdrawnRequestsAreMadeUpFor)
{
    ps_rate_bucket_t bucket;
    PsRateBucket_Init(&bucket, 4, kStart);
    EXPECT_EQ(PsRateBucket_CountAllowed(&bucket, kStart), 0);
    EXPECT_EQ(PsRateBucket_CountAllowed(&bucket, kStart + 250), 1);
    EXPECT_EQ(PsRateBucket_CountAllowed(&bucket, kStart + 60000), 1);
    PsRateBucket_Charge(&bucket, 3, kStart + 60000);
    EXPECT_EQ(PsRateBucket_CountAllowed(&bucket, kStart + 60500), 0);
    EXPECT_EQ(PsRateBucket_CountAllowed(&bucket, kStart + 60750), 1);
    PsRateBucket_SetRate(&bucket, 400, kStart + 60750);
    EXPECT_EQ(PsRateBucket_CountAllowed(&bucket, kStart + 61750), 100);
}

/* ---- The header ------------------------------------------------------- */

namespace {

// A response whose header names a number, or not.
struct NumberCase {
    long status;
    const char *headers;
    ps_header_reading_t reading;
    double number;
};

using ReadNumber = ps_header_reading_t (*)(const ps_transfer_t *, double *);

void
ExpectNumbers(ReadNumber read, const std::vector<NumberCase> &cases)
{
    for (const NumberCase &c : cases) {
        SCOPED_TRACE(c.headers);
        ps_transfer_t transfer;
        ps_transfer_events_t events = {};
        PsTransfer_Init(&transfer, &events, nullptr);
        transfer.status = c.status;
        PsBuf_Append(&transfer.response_headers, c.headers, strlen(c.headers));
        double number = 0;
        EXPECT_EQ(read(&transfer, &number), c.reading);
        if (c.reading == PS_HEADER_NAMED) {
            EXPECT_EQ(number, c.number);
        }
        PsTransfer_Finish(&transfer);
    }
}

} // namespace

TEST(DialectFleet, LimitsAreDecimalNumbersThatStandOnce)
{
    ExpectNumbers(
        PsDialectFleet_Get()->read_limit,
        {{200, "", PS_HEADER_ABSENT, 0},
         {200, "Server-Limit: 3.6\r\n", PS_HEADER_NAMED, 3.6},
         {200, "server-limit:12\r\n", PS_HEADER_NAMED, 12},
         {200, "Server-Limit: 0\r\n", PS_HEADER_NAMED, 0},
         {200, "Server-Limit: 0.001\r\n", PS_HEADER_NAMED, 0.001},
         {200, "Server-Limit: -1\r\n", PS_HEADER_MALFORMED, 0},
         {200, "Server-Limit: inf\r\n", PS_HEADER_MALFORMED, 0},
         {200, "Server-Limit: nan\r\n", PS_HEADER_MALFORMED, 0},
         {200, "Server-Limit: 1e99\r\n", PS_HEADER_MALFORMED, 0},
         {200, "Server-Limit: 0x10\r\n", PS_HEADER_MALFORMED, 0},
         {200, "Server-Limit: 3, 4\r\n", PS_HEADER_MALFORMED, 0},
         {200, "Server-Limit: 1.2.3\r\n", PS_HEADER_MALFORMED, 0},
         {200, "Server-Limit: .\r\n", PS_HEADER_MALFORMED, 0},
         {200, "Server-Limit: \r\n", PS_HEADER_MALFORMED, 0},
         {200, "Server-Limit: 9999999999999999\r\n", PS_HEADER_MALFORMED, 0},
         {200, "Server-Limit: 3\r\nServer-Limit: 3\r\n", PS_HEADER_MALFORMED,
          0}});
}

TEST(DialectFleet, ServersSayInAnyAnswerThatTheyAreBrittle)
{
    ExpectNumbers(PsDialectFleet_Get()->read_brittle,
                  {{200, "", PS_HEADER_ABSENT, 0},
                   {200, "Server-Brittle: 3\r\n", PS_HEADER_NAMED, 3},
                   {503, "server-brittle: 0\r\n", PS_HEADER_NAMED, 0},
                   {500, "Server-Brittle: 12\r\n", PS_HEADER_NAMED, 12},
                   {200, "Server-Brittle: -1\r\n", PS_HEADER_MALFORMED, 0},
                   {200, "Server-Brittle: yes\r\n", PS_HEADER_MALFORMED, 0},
                   {200, "Server-Brittle: 3\r\nServer-Brittle: 4\r\n",
                    PS_HEADER_MALFORMED, 0}});
}

TEST(DialectFleet, PausesAreAskedForByRefusalsOnly)
{
    ExpectNumbers(PsDialectFleet_Get()->read_pause,
                  {{503, "", PS_HEADER_ABSENT, 0},
                   {503, "Retry-After: 3\r\n", PS_HEADER_NAMED, 3},
                   {503, "retry-after: 0.25\r\n", PS_HEADER_NAMED, 0.25},
                   {429, "Retry-After: 3\r\n", PS_HEADER_ABSENT, 0},
                   {200, "Retry-After: 3\r\n", PS_HEADER_ABSENT, 0},
                   {503, "Retry-After: -3\r\n", PS_HEADER_MALFORMED, 0},
                   {503, "Retry-After: inf\r\n", PS_HEADER_MALFORMED, 0},
                   {503, "Retry-After: Fri, 04 Dec 2026 12:00:00 GMT\r\n",
                    PS_HEADER_MALFORMED, 0},
                   {503, "Retry-After: 3\r\nRetry-After: 4\r\n",
                    PS_HEADER_MALFORMED, 0}});
}

// Only a daemon says that it hasn't sent a request on: a server that could say
// so in its place would make another daemon send the request again.
TEST(DialectFleet, ForwardResultIsNeverRelayed)
{
    for (const char *name :
         {"Pearstair-Forward-Result", "pearstair-forward-result",
          "PEARSTAIR-FORWARD-RESULT"}) {
        EXPECT_FALSE(PsDialectFleet_Get()->is_header_relayed(ToStr(name)))
            << name;
    }
    EXPECT_TRUE(PsDialectFleet_Get()->is_header_relayed(ToStr("Request-Id")));
}
