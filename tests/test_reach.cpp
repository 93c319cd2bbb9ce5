// test_reach.cpp - What a daemon believes of its connections to servers, which
// daemons carry its requests, and what lost connections count for.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>

#include "kernel.hpp"

extern "C" {
#include "forwarders.h"
#include "mark_crashes.h"
#include "server_reach.h"
}

namespace {

const int64_t kStart = 1000000;

/* ---- Belief of reach -------------------------------------------------- */

// One step of a day: what the daemon hears of a server, and what it believes
// afterwards.
struct Step {
    const char *what;
    int64_t at_ms;
    bool uses_peers;
    bool is_cut_off;
};

void
Replay(const std::vector<Step> &steps)
{
    ps_server_reach_t reach = {};
    for (const Step &step : steps) {
        int64_t now = kStart + step.at_ms;
        const std::string what = step.what;
        if (what == "answer") {
            PsServerReach_HandleAnswer(&reach, now);
        }
        else if (what == "not opened") {
            PsServerReach_HandleLost(&reach, now);
        }
        else if (what == "others reach it" || what == "others don't") {
            PsServerReach_HandlePeerAnswer(&reach, what == "others reach it",
                                           now);
        }
        EXPECT_EQ(PsServerReach_UsesPeers(&reach, now), step.uses_peers)
            << what << " at " << step.at_ms;
        EXPECT_EQ(PsServerReach_IsCutOff(&reach), step.is_cut_off)
            << what << " at " << step.at_ms;
    }
}

TEST(ServerReach, CutOffDaemonUsesOthersUntilItsConnectionsOpen)
{
    Replay({{"", 0, false, false},
            {"answer", 10, false, false},
            {"not opened", 100, true, false},
            {"others reach it", 105, true, true},
            {"not opened", 900, true, true},
            {"", 60000, true, true},
            {"answer", 60001, false, false},
            {"not opened", 60500, true, false}});
}

TEST(ServerReach, EndedServerIsNotSentToByWayOfOthers)
{
    Replay({{"answer", 0, false, false},
            {"not opened", 100, true, false},
            {"others don't", 130, false, false},
            {"not opened", 1100, false, false},
            {"", 130 + PS_REACH_PEERS_LOST_MS, true, false},
            {"others don't", 1200, false, false},
            {"others reach it", 1250, true, true}}); // a cut after all
}

TEST(ServerReach, EndOfAServerThatWasReachedByOthersEndsTheCut)
{
    Replay({{"not opened", 0, true, false},
            {"others reach it", 10, true, true},
            {"others don't", 5000, false, false},
            {"answer", 5100, false, false}});
}

TEST(ServerReach, ChecksOfOneServerDontOverlap)
{
    ps_server_reach_t reach = {};
    EXPECT_TRUE(PsServerReach_StartCheck(&reach, 500, kStart));
    EXPECT_FALSE(PsServerReach_StartCheck(&reach, 0, kStart + 1000));
    reach.is_checking = false;
    EXPECT_FALSE(PsServerReach_StartCheck(&reach, 500, kStart + 499));
    EXPECT_TRUE(PsServerReach_StartCheck(&reach, 500, kStart + 500));
}

/* ---- Daemons that carry requests -------------------------------------- */

struct Forwarders {
    Forwarders(int n, uint32_t seed)
    {
        PsForwarders_Init(&forwarders, seed);
        for (int i = 1; i <= n; i++) {
            const ps_name_t name = ToName("d" + std::to_string(i));
            const ps_name_t address = ToName("10.0.0.1:7602");
            PsForwarders_Set(&forwarders, &name, &address);
        }
    }
    ~Forwarders()
    {
        PsForwarders_Finish(&forwarders);
    }
    ps_forwarder_t *
    Choose(const std::set<std::string> &cut_off, int64_t now)
    {
        return PsForwarders_Choose(
            &forwarders,
            [](void *user, const ps_name_t *name) {
                return ((std::set<std::string> *)user)->count(name->data) > 0;
            },
            (void *)&cut_off, now);
    }
    ps_forwarders_t forwarders;
};

TEST(Forwarders, CutOffOnesCarryOnlyIfAllAre)
{
    Forwarders all(3, 1);
    for (int i = 0; i < 50; i++) {
        EXPECT_STREQ(all.Choose({"d1", "d3"}, kStart)->name.data, "d2");
    }
    EXPECT_NE(all.Choose({"d1", "d2", "d3"}, kStart), nullptr);
    PsForwarders_Avoid(all.Choose({"d1", "d3"}, kStart), kStart);
    EXPECT_STRNE(all.Choose({"d1", "d3"}, kStart + 1)->name.data, "d2");
    EXPECT_STREQ(
        all.Choose({"d1", "d3"}, kStart + PS_FORWARDER_AVOID_MS)->name.data,
        "d2");
}

TEST(Forwarders, DaemonOfAnOlderBuildCarriesNothing)
{
    Forwarders all(0, 1);
    const ps_name_t name = ToName("old");
    const ps_name_t none = ToName("");
    EXPECT_FALSE(PsForwarders_HasAny(&all.forwarders));
    PsForwarders_Set(&all.forwarders, &name, &none);
    EXPECT_FALSE(PsForwarders_HasAny(&all.forwarders));
    EXPECT_EQ(all.Choose({}, kStart), nullptr);
}

TEST(Forwarders, OneThatLeavesIsKeptForItsLastRequest)
{
    Forwarders all(1, 1);
    ps_forwarder_t *forwarder = all.Choose({}, kStart);
    const ps_name_t name = forwarder->name;
    PsForwarders_AddRequest(forwarder);
    PsForwarders_Remove(&all.forwarders, &name);
    EXPECT_EQ(all.Choose({}, kStart), nullptr);
    EXPECT_EQ(forwarder->in_progress, 1);
    PsForwarders_EndRequest(&all.forwarders, forwarder);
    EXPECT_EQ(g_hash_table_size(all.forwarders.by_name), 0u);
}

// Two thirds of 370 daemons are cut off: each of their requests in progress is
// carried by another daemon, and none carries more than twice the mean.
TEST(Forwarders, RequestsOfManyCutOffDaemonsAreSpread)
{
    const int n_daemons = 370, n_cut_off = 247, n_requests = 60;
    std::set<std::string> cut_off;
    for (int i = 1; i <= n_cut_off; i++) {
        cut_off.insert("d" + std::to_string(i));
    }
    std::map<std::string, int> carried;
    for (int i = 1; i <= n_cut_off; i++) {
        Forwarders daemon(n_daemons, (uint32_t)i * 2654435761U);
        for (int k = 0; k < n_requests; k++) {
            ps_forwarder_t *forwarder = daemon.Choose(cut_off, kStart);
            PsForwarders_AddRequest(forwarder);
            carried[forwarder->name.data]++;
        }
    }
    int most = 0;
    for (const auto &each : carried) {
        EXPECT_EQ(cut_off.count(each.first), 0u);
        most = std::max(most, each.second);
    }
    double mean = (double)n_cut_off * n_requests / (n_daemons - n_cut_off);
    EXPECT_LT(most, 2 * mean);
}

/* ---- What lost connections count for ---------------------------------- */

const uint64_t kContent =
    PsMark_HashContent(ToStr("/x"), ToStr("team"), ToStr("body"));

struct Crashes {
    Crashes()
    {
        PsMarkCrashes_Init(&crashes);
        marks = g_array_new(FALSE, FALSE, sizeof(uint64_t));
        g_array_append_val(marks, kContent);
    }
    ~Crashes()
    {
        g_array_unref(marks);
        PsMarkCrashes_Finish(&crashes);
    }
    void
    Lose(ps_registration_t *server, int64_t now)
    {
        ps_lost_run_t run = {};
        run.marks = marks;
        run.server = server;
        run.is_unconfirmed = true;
        PsMarkCrashes_AddLost(&crashes, &run, now);
    }
    int
    Count(int64_t now)
    {
        return PsSuspects_GetCrashes(&crashes.suspects, kContent, now);
    }
    size_t
    CountReported(int64_t now)
    {
        ps_crash_t reported[PS_CRASH_REPORTS_MAX];
        return PsCrashReports_Take(&crashes.to_allocator, reported, now);
    }
    ps_mark_crashes_t crashes;
    GArray *marks;
};

std::vector<ps_registration_t>
MakeServers(int n)
{
    std::vector<ps_registration_t> servers((size_t)n);
    for (int i = 0; i < n; i++) {
        servers[(size_t)i].name = ToName("r" + std::to_string(i));
        servers[(size_t)i].started_ms = 5;
    }
    return servers;
}

// All connections of a daemon are reset, with the same content in flight at
// three servers: the daemon itself refuses it at once, but tells nobody, and
// serves it again when others turn out to reach the servers.
TEST(LostConnections, OfACutOffDaemonBanNothing)
{
    Crashes daemon;
    auto servers = MakeServers(3);
    for (auto &server : servers) {
        daemon.Lose(&server, kStart);
    }
    EXPECT_NE(
        PsMarkCrashes_FindBanned(&daemon.crashes, daemon.marks, kStart).mark,
        0u);
    EXPECT_EQ(daemon.CountReported(kStart + 20), 0u);
    EXPECT_EQ(daemon.CountReported(kStart + 2000), 0u);
    for (auto &server : servers) {
        PsMarkCrashes_Settle(&daemon.crashes, &server, false, kStart + 2001);
    }
    EXPECT_EQ(daemon.Count(kStart + 2001), 0);
    EXPECT_EQ(daemon.CountReported(kStart + 4000), 0u);
    // One of the servers had ended after all.
    PsMarkCrashes_HandleServerEnd(&daemon.crashes, &servers[0], kStart + 4001);
    EXPECT_EQ(daemon.Count(kStart + 4001), 1);
    EXPECT_EQ(daemon.CountReported(kStart + 4020), 1u);
}

TEST(LostConnections, CountWhenTheServerHasFailed)
{
    Crashes daemon;
    auto servers = MakeServers(2);
    daemon.Lose(&servers[0], kStart);
    daemon.Lose(&servers[1], kStart);
    EXPECT_EQ(daemon.CountReported(kStart), 0u);
    PsMarkCrashes_Settle(&daemon.crashes, &servers[0], true, kStart + 200);
    EXPECT_EQ(daemon.CountReported(kStart + 210), 1u);
    EXPECT_EQ(daemon.Count(kStart + 210), 2);
    PsMarkCrashes_Settle(&daemon.crashes, &servers[0], false, kStart + 300);
    EXPECT_EQ(daemon.Count(kStart + 300), 2) << "it was confirmed before";
}

} // namespace
