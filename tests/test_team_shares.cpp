// test_team_shares.cpp - Overload by one of many teams in virtual time: who
// gets the slots, and what becomes of refused callers who come back. Figures
// with the settings off and on are printed.
#include <gtest/gtest.h>

#include "team_site.hpp"

extern "C" {
#include "waiting.h"
}

namespace {

// The first team is the noisy one.
Result
RunAndPrint(const char *what, Load load, bool is_on, bool is_alone = false)
{
    load.has_shares = is_alone ? load.has_shares : is_on;
    load.has_plan = is_alone ? load.has_plan : is_on;
    const Result result = Site(load).Run();
    const Served noisy = result.Sum(0, 1);
    const Served others = result.Sum(1, result.teams.size());
    printf("%-34s %-3s others %5d: on time %5.1f%%, late %4.1f%%; noisy "
           "%5d: on time %5.1f%%, late %4.1f%%; value %.0f, refusals %d, for "
           "each unserved %.2f, refused again %d, retry after %.0f ms, bytes "
           "%zu\n",
           what, is_on ? "on" : "off", others.sent,
           100.0 * others.on_time / std::max(others.sent, 1),
           100.0 * others.late / std::max(others.sent, 1), noisy.sent,
           100.0 * noisy.on_time / std::max(noisy.sent, 1),
           100.0 * noisy.late / std::max(noisy.sent, 1), result.GetValue(),
           result.refusals,
           (double)result.refusals /
               std::max(noisy.unserved + others.unserved, 1),
           result.refused_again,
           result.retry_after_ms / std::max(result.refusals, 1), result.bytes);
    return result;
}

std::vector<Team>
MakeTeams(double noisy)
{
    std::vector<Team> teams(16);
    teams[0].rate = noisy;
    return teams;
}

// The other teams' requests at the same rate, with an idle first team.
Load
WithoutNoise(Load load)
{
    const double others = (double)load.teams.size() - 1;
    load.ratio *= (others + 1) / (others + load.teams[0].rate);
    load.teams[0].rate = 1;
    return load;
}

double
GetOnTime(const Result &result)
{
    const Served others = result.Sum(1, result.teams.size());
    return (double)others.on_time / others.sent;
}

} // namespace

// One of 16 teams sends seven times as much as each other: its requests took
// the slots of all others.
TEST(TeamShares, OthersKeepTheirSlotsBesideANoisyTeam)
{
    for (int n : {3, 30, 94}) {
        for (double ratio : {1.2, 2.0}) {
            Load load = {.n_daemons = n,
                         .n_servers = 60,
                         .teams = MakeTeams(7),
                         .ratio = ratio};
            printf("%d daemons, %.1f times the capacity\n", n, ratio);
            const Result quiet =
                RunAndPrint("without noise", WithoutNoise(load), true);
            RunAndPrint("noisy", load, false);
            const Result noisy = RunAndPrint("noisy", load, true);
            if (ratio < 2) {
                EXPECT_GE(GetOnTime(noisy), 0.95 * GetOnTime(quiet)) << n;
            }
        }
    }
}

// Each setting is of use without the other one.
TEST(TeamShares, EachSettingAlone)
{
    for (int n : {30, 94}) {
        Load load = {.n_daemons = n,
                     .n_servers = 60,
                     .teams = MakeTeams(7),
                     .ratio = 1.2};
        const Result off = RunAndPrint("neither", load, false);
        load.has_shares = true;
        const Result shares = RunAndPrint("team_shares", load, true, true);
        load.has_shares = false;
        load.has_plan = true;
        const Result plan = RunAndPrint("planned_returns", load, true, true);
        EXPECT_GE(GetOnTime(shares), GetOnTime(off) + 0.1) << n;
        EXPECT_GE(plan.GetValue(), off.GetValue()) << n;
    }
}

// The noisy team's tier is below or above that of half of the others.
TEST(TeamShares, TiersComeBeforeTeams)
{
    for (int tier : {0, 1}) {
        Load load = {.n_servers = 60, .teams = MakeTeams(7), .ratio = 1.2};
        load.teams[0].tier = tier;
        for (size_t i = 1; i < load.teams.size(); i++) {
            load.teams[i].tier = (int)i % 2;
        }
        printf("noisy in tier %d\n", tier);
        RunAndPrint("two tiers", load, false);
        const Result result = RunAndPrint("two tiers", load, true);
        Served upper, lower;
        for (size_t i = 1; i < load.teams.size(); i++) {
            const Served one = result.Sum(i, i + 1);
            Served &sum = load.teams[i].tier == 0 ? upper : lower;
            sum.sent += one.sent;
            sum.on_time += one.on_time;
        }
        printf("others on time: upper tier %.1f%%, lower tier %.1f%%\n",
               100.0 * upper.on_time / upper.sent,
               100.0 * lower.on_time / lower.sent);
        EXPECT_GE(upper.on_time, 0.97 * upper.sent);
        // Beside a noisy team of the upper tier, 4.3 of 8 parts are left.
        EXPECT_GE(lower.on_time, (tier == 1 ? 0.95 : 0.5) * lower.sent);
    }
}

// Service is slot time: of two noisy teams the one with answers of 480 events
// gets no more slots than the one with answers of 10.
TEST(TeamShares, UnequalWorkIsCountedInSlotTime)
{
    Load load = {.n_servers = 60,
                 .teams = MakeTeams(7),
                 .ratio = 1.5,
                 .for_ms = 20000,
                 .callers_after_ms = 30000};
    load.teams[0] = {.rate = 0.7, .events = 480};
    load.teams[1] = {.rate = 33, .events = 10};
    RunAndPrint("answers of 480 and 10 events", load, false);
    const Result result =
        RunAndPrint("answers of 480 and 10 events", load, true);
    const Served rest = result.Sum(2, load.teams.size());
    const double ratio = result.teams[0].slot_ms / result.teams[1].slot_ms;
    printf("teams with answers of 48 events: on time %.1f%%; slot time of "
           "long answers to that of short ones: %.2f\n",
           100.0 * rest.on_time / rest.sent, ratio);
    EXPECT_GE(rest.on_time, 0.95 * rest.sent);
    EXPECT_LE(ratio, 1.25);
}

// A team whose requests all come to one daemon gets as much as one whose
// requests are spread over all.
TEST(TeamShares, OneDaemonOrAll)
{
    for (bool is_on : {false, true}) {
        Load load = {.n_daemons = 94, .n_servers = 60, .ratio = 1.5};
        load.teams[1].daemon = 5;
        const Result result =
            RunAndPrint("one team at one daemon", load, is_on);
        const Served one = result.Sum(1, 2);
        const Served rest = result.Sum(2, load.teams.size());
        const double at_one = (double)one.on_time / one.sent;
        const double spread = (double)rest.on_time / rest.sent;
        printf("on time at one daemon %.1f%%, spread %.1f%%\n", 100 * at_one,
               100 * spread);
        if (is_on) {
            EXPECT_NEAR(at_one, spread, 0.12);
        }
    }
}

// Weights by quota let a large team keep what it usually has; with equal ones
// it pays for a small team's noise.
TEST(TeamShares, WeightsFollowQuotas)
{
    double on_time[2];
    for (bool has_quotas : {false, true}) {
        Load load = {.n_servers = 60, .teams = MakeTeams(7), .ratio = 1.2};
        for (size_t i = 0; i < load.teams.size(); i++) {
            const bool is_large = i >= 13;
            load.teams[i].rate = i == 0 ? 7 : is_large ? 4 : 1;
            load.teams[i].quota = !has_quotas ? 0 : is_large ? 4000 : 1000;
        }
        const Result result = RunAndPrint(
            has_quotas ? "weights by quota" : "equal weights", load, true);
        const Served large = result.Sum(13, 16);
        const Served small = result.Sum(1, 13);
        on_time[has_quotas] = (double)large.on_time / large.sent;
        printf("on time: large %.1f%%, small %.1f%%\n",
               100 * on_time[has_quotas], 100.0 * small.on_time / small.sent);
    }
    EXPECT_GE(on_time[1], 0.95);
    EXPECT_GE(on_time[1], on_time[0]);
}

// Without an allocator daemons count their own starts; a new one knows no
// counters, and of two each knows half.
TEST(TeamShares, HoldsWithoutAllocatorWithANewOneAndWithTwo)
{
    for (const char *what : {"no allocator", "new allocator", "two"}) {
        Load load = {.n_servers = 60, .teams = MakeTeams(7), .ratio = 1.2};
        const std::string name = what;
        load.n_allocators = name == "no allocator" ? 0 : name == "two" ? 2 : 1;
        load.replaces_allocator = name == "new allocator";
        const Result off = RunAndPrint(what, load, false);
        const Result on = RunAndPrint(what, load, true);
        EXPECT_GE(GetOnTime(on), GetOnTime(off) + 0.1) << what;
        EXPECT_GE(on.GetValue(), off.GetValue()) << what;
    }
}

// The servers are just full before and after, so that there is nothing to
// gain.
TEST(TeamShares, AThirdOfTheServersIsGoneForTwoSeconds)
{
    Load load = {.n_servers = 60,
                 .teams = MakeTeams(3),
                 .ratio = 1.0,
                 .third_gone_ms = 2000};
    const Result off = RunAndPrint("a third gone for 2 s", load, false);
    const Result on = RunAndPrint("a third gone for 2 s", load, true);
    EXPECT_GE(GetOnTime(on), GetOnTime(off));
    EXPECT_GE(on.GetValue(), 0.98 * off.GetValue());
}

// Callers that ignore Retry-After gain nothing by it.
void
CompareKinds(const Result &result)
{
    const Served &obey = result.kinds[(int)Callers::kObey];
    const Served &early = result.kinds[(int)Callers::kEarly];
    printf("of those who obey %.1f%% are on time and %.1f%% late, worth %.3f "
           "each; of those who come back early %.1f%% and %.1f%%, %.3f\n",
           100.0 * obey.on_time / obey.sent, 100.0 * obey.late / obey.sent,
           obey.GetValue() / obey.sent, 100.0 * early.on_time / early.sent,
           100.0 * early.late / early.sent, early.GetValue() / early.sent);
    // In one run the difference varies by 0.012 (standard deviation).
    EXPECT_LE(early.GetValue() / early.sent,
              obey.GetValue() / obey.sent + 0.02);
    EXPECT_LE((double)(early.on_time + early.late) / early.sent,
              (double)(obey.on_time + obey.late) / obey.sent);
}

// What becomes of refused callers that come back as told, 50 ms later, never,
// or a third each; and what a returning request's objective counts from.
TEST(ReturnPlan, CallersThatComeBack)
{
    const char *names[] = {"obey", "early", "never", "mixed"};
    for (Callers callers :
         {Callers::kObey, Callers::kEarly, Callers::kNever, Callers::kMixed}) {
        for (double ratio : {1.2, 2.0}) {
            Load load = {.n_servers = 60, .ratio = ratio, .callers = callers};
            printf("callers: %s, %.1f times the capacity\n",
                   names[(int)callers], ratio);
            const Result off = RunAndPrint("all teams alike", load, false);
            const Result on = RunAndPrint("first attempt", load, true);
            load.counts_from_arrival = true;
            RunAndPrint("from arrival", load, true);
            EXPECT_GE(on.GetValue(), off.GetValue());
            if (callers == Callers::kNever) {
                continue; // late ones are refused earlier, which costs nothing
            }
            EXPECT_LT(on.refusals, off.refusals);
            if (callers == Callers::kMixed) {
                CompareKinds(on);
            }
        }
    }
}

// The load is half and twice the capacity in turn, 2 s each: the returns are
// to fall into the times with room.
TEST(ReturnPlan, ReturnsFallIntoTheRoomAfterABurst)
{
    for (double high : {1.5, 2.0}) {
        Load load = {.n_servers = 60, .ratio = 0.5, .for_ms = 16000};
        for (Team &team : load.teams) {
            team.burst_rate = high * 2;
        }
        printf("0.5 and %.1f times the capacity in turn\n", high);
        const Result off = RunAndPrint("bursts", load, false);
        const Result on = RunAndPrint("bursts, first attempt", load, true);
        load.counts_from_arrival = true;
        RunAndPrint("bursts, from arrival", load, true);
        EXPECT_GE(on.GetValue(), off.GetValue());
        if (high == 2) {
            EXPECT_LT(on.refused_again, 0.8 * off.refused_again);
        }
    }
}

// A team that was idle gets no credit for it, and no debt for what it had
// while others needed nothing.
TEST(TeamShares, CountersOfIdleAndOfBusyTeamsAreBounded)
{
    ps_team_shares_t shares = {};
    int64_t now = kStart;
    auto run_round = [&](int first, int second, bool second_waits) {
        now += 100;
        PsTeamShares_StartRound(&shares, now);
        PsTeamShares_AddRunning(&shares, 1, first, now);
        PsTeamShares_AddRunning(&shares, 2, second, now);
        PsTeamShares_SetWaiting(&shares, 1, now);
        if (second_waits) {
            PsTeamShares_SetWaiting(&shares, 2, now);
        }
        PsTeamShares_RaiseIdle(&shares);
    };
    for (int i = 0; i < 600; i++) {
        run_round(100, 0, false);
    }
    run_round(100, 0, true);
    EXPECT_GE(PsTeamShares_GetCounter(&shares, 2),
              PsTeamShares_GetCounter(&shares, 1) - 1)
        << "the second one was idle for a minute";
    for (int i = 0; i < 600; i++) {
        run_round(100, 10, true);
    }
    EXPECT_LE(PsTeamShares_GetCounter(&shares, 1),
              PsTeamShares_GetCounter(&shares, 2) + 3000 * 55 + 1)
        << "three seconds of half of 110 slots";
    EXPECT_GT(PsTeamShares_GetCounter(&shares, 1),
              PsTeamShares_GetCounter(&shares, 2));
}

TEST(TeamShares, MoreTeamsThanCountersShareOne)
{
    ps_team_shares_t shares = {};
    for (uint32_t team = 1; team <= 200; team++) {
        PsTeamShares_AddService(&shares, team, team, kStart);
    }
    EXPECT_EQ(shares.n, PS_TEAM_SHARES_MAX + 1);
    EXPECT_EQ(PsTeamShares_GetCounter(&shares, 64), 64);
    EXPECT_EQ(PsTeamShares_GetCounter(&shares, 65),
              PsTeamShares_GetCounter(&shares, 200));
    PsTeamShares_AddService(&shares, 300, 7, kStart + 61000);
    EXPECT_EQ(PsTeamShares_GetCounter(&shares, 300), 7)
        << "takes the entry of a team without requests for a minute";
}

// A daemon of an older build names no teams: its requests count as one team's,
// and get slots.
TEST(TeamShares, ReportsWithoutTeamsGetSlots)
{
    ps_allocator_t allocator;
    PsAllocator_Init(&allocator);
    allocator.has_team_shares = true;
    const ps_name_t service = ToName("s"), daemon = ToName("d");
    ps_reporter_t *reporter =
        PsAllocator_StartReport(&allocator, &daemon, 0, kStart);
    ps_service_use_t *use = PsReporter_GetServiceUse(reporter, &service);
    const ps_waiting_count_t waiting = {2, 3};
    g_array_append_val(use->waiting, waiting);
    Ps__WaitingCount count = PS__WAITING_COUNT__INIT;
    count.rank = 2;
    count.count = 3;
    Ps__WaitingCount *counts[] = {&count};
    Ps__ServiceUse message = PS__SERVICE_USE__INIT;
    message.waiting = counts;
    message.n_waiting = 1;
    Ps__ServerCount running = PS__SERVER_COUNT__INIT;
    running.server = 1;
    running.count = 5;
    Ps__ServerCount *all_running[] = {&running};
    message.running = all_running;
    message.n_running = 1;
    PsTeamMessages_HandleReport(&allocator, &service, &message, use, kStart);
    const ps_slot_count_t slots[] = {{1, 2}};
    PsAllocator_DivideSlots(&allocator, &service, slots, 1, 1, kStart);
    const ps_team_division_t *division =
        PsAllocator_GetTeamDivision(&allocator, &service);
    EXPECT_EQ(PsTeamShares_Find(&division->shares, PS_TEAM_UNNAMED)->running,
              5);
    ASSERT_EQ(use->limits->len, 1u);
    EXPECT_EQ(g_array_index(use->limits, ps_slot_count_t, 0).count, 2);
    PsAllocator_Finish(&allocator);
}

// Returns of one rank are spaced by its start rate, and promised for no later
// than the caller comes back.
TEST(ReturnPlan, SpacesReturnsWithinItsBounds)
{
    ps_return_plan_t plan = {};
    ps_return_request_t request = {.rank = 1,
                                   .team = 0,
                                   .wait_ms = 500,
                                   .starts_per_s = 10,
                                   .time_left_ms = 12000};
    int64_t last = 0;
    for (int i = 0; i < 20; i++) {
        const int64_t after = PsReturnPlan_Promise(&plan, &request, kStart);
        EXPECT_LE(after, 500 + 100 * i);
        EXPECT_GE((double)after, 0.74 * (500 + 100 * i));
        last = after;
    }
    EXPECT_GT(last, 1700);
    for (int i = 0; i < 200; i++) {
        EXPECT_LE(PsReturnPlan_Promise(&plan, &request, kStart), 4000);
    }
    request.team = 7;
    EXPECT_LE(PsReturnPlan_Promise(&plan, &request, kStart), 500)
        << "another team has a line of its own";
    request.time_left_ms = 600;
    EXPECT_LE(PsReturnPlan_Promise(&plan, &request, kStart), 200);
    request.time_left_ms = 0;
    request.wait_ms = 1e9;
    EXPECT_LE(PsReturnPlan_Promise(&plan, &request, kStart),
              PS_RETRY_AFTER_MAX_MS);
    request.time_left_ms = 1;
    EXPECT_EQ(PsReturnPlan_Promise(&plan, &request, kStart), 1);
}

TEST(ReturnPlan, TimeLeftTellsWhenTheCallerFirstAsked)
{
    EXPECT_EQ(PsReturnPlan_GetFirstAskedMs(15000, 11000, kStart),
              kStart - 4000);
    EXPECT_EQ(PsReturnPlan_GetFirstAskedMs(15000, 0, kStart), kStart);
    EXPECT_EQ(PsReturnPlan_GetFirstAskedMs(0, 11000, kStart), kStart);
    EXPECT_EQ(PsReturnPlan_GetFirstAskedMs(15000, 99000, kStart), kStart)
        << "more than the limit gains nothing";
}

// A caller that states a shorter deadline moves ahead within its own team
// only.
TEST(TeamShares, AnEarlierFirstAttemptGoesFirstWithinItsTeamOnly)
{
    static const ps_scheduler_events_t events = {
        [](ps_scheduler_t *, ps_task_t *) {},
        [](ps_scheduler_t *, ps_task_t *, int64_t, const char *) {}};
    const ps_name_t service = ToName("s");
    ps_scheduler_t scheduler;
    PsScheduler_Init(&scheduler, &events, nullptr, &service, 1);
    scheduler.team_order.is_enabled = true;
    const ps_team_state_t states[] = {{1, 0}, {2, 5000}};
    PsTeamOrder_SetStates(&scheduler.team_order, states, 2, nullptr, 0,
                          kStart + 400);
    auto make = [](uint32_t team, int64_t first_asked_ms) {
        ps_task_t task = {};
        task.team = team;
        task.arrived_ms = kStart;
        task.first_asked_ms = first_asked_ms;
        task.objective_ms = kStart + 1000;
        return task;
    };
    const ps_task_t one = make(1, kStart), two = make(2, kStart),
                    early = make(2, kStart - 300);
    EXPECT_TRUE(PsWaiting_ComesBefore(&scheduler, &early, &two, kStart));
    EXPECT_TRUE(PsWaiting_ComesBefore(&scheduler, &one, &early, kStart));
    EXPECT_TRUE(PsWaiting_ComesBefore(&scheduler, &early, &one, kStart + 400))
        << "the counters are too old and the own ones equal";
    PsScheduler_Finish(&scheduler);
}
