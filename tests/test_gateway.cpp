// test_gateway.cpp - Decisions of the gateway in virtual time: routes, the
// roster and the scheduler.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

#include "kernel.hpp"

extern "C" {
#include "catalog.h"
#include "histogram.h"
#include "backend_registry.h"
#include "scheduler.h"
}

namespace {

const int64_t kStart = 1000000; // some time of the clock

ps_registration_t
Registration(const std::string &name, int slots, int64_t started = 1)
{
    ps_registration_t told = {};
    told.name = ToName(name);
    told.started_ms = started;
    told.service = ToName("s");
    told.address = ToName("127.0.0.1:9000");
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
        route.name = ToName(name);
        route.n_targets = 1;
        route.targets[0] = {ToName("s"), 1};
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
        route.targets[i] = {ToName(std::to_string(i)),
                            *rc::gen::inRange<uint32_t>(1, 100)};
        total += route.targets[i].weight;
    }
    std::map<std::string, uint64_t> counts;
    for (uint64_t hash = 0; hash < total; hash++) {
        counts[ToString(*PsRoute_PickService(&route, hash))]++;
    }
    for (int i = 0; i < route.n_targets; i++) {
        RC_ASSERT(counts[std::to_string(i)] == route.targets[i].weight);
    }
}

/* ---- Roster ----------------------------------------------------------- */

namespace {

struct Roster {
    ps_backend_registry_t core;
    std::map<std::string, ps_backend_t *> listed;
    std::vector<std::string> log;

    Roster()
    {
        static const ps_backend_registry_events_t events = {OnListed,
                                                            OnUnlisted};
        PsBackendRegistry_Init(&core, &events, this);
    }
    ~Roster()
    {
        PsBackendRegistry_Finish(&core);
    }
    static void
    OnListed(ps_backend_registry_t *roster, ps_backend_t *backend, bool is_new)
    {
        auto *self = (Roster *)roster->user;
        self->listed[ToString(backend->registration.name)] = backend;
        self->log.push_back((is_new ? "new " : "kept ") +
                            ToString(backend->registration.name));
    }
    static void
    OnUnlisted(ps_backend_registry_t *roster, ps_backend_t *backend,
               const char *)
    {
        auto *self = (Roster *)roster->user;
        self->listed.erase(ToString(backend->registration.name));
        self->log.push_back("gone " + ToString(backend->registration.name));
    }
    void
    Put(const ps_registration_t &told, int64_t now)
    {
        PsBackendRegistry_Set(&core, &told, now);
    }
    void
    Remove(const char *name, int64_t now)
    {
        ps_name_t view = ToName(name);
        PsBackendRegistry_Remove(&core, &view, now);
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
    PsBackendRegistry_HandleStoreLost(&roster.core);
    PsBackendRegistry_HandleStoreBack(&roster.core, kStart + 5000);
    for (const char *name : {"a", "b", "c"}) {
        roster.Remove(name, kStart + 5010);
    }
    EXPECT_EQ(roster.listed.count("a"), 1u);
    EXPECT_EQ(roster.listed.count("c"), 0u) << "it was leaving before";
    roster.Put(Registration("a", 4), kStart + 6000);
    PsBackendRegistry_RemoveMissing(&roster.core, kStart + 6900);
    EXPECT_EQ(roster.listed.count("b"), 1u);
    PsBackendRegistry_RemoveMissing(&roster.core, kStart + 7100);
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
    PsBackend_AddCachedPart(roster.listed["a"], part, kStart);
    uint32_t serial = roster.listed["a"]->instance_id;
    roster.Put(Registration("a", 4, 1), kStart + 10);
    EXPECT_EQ(roster.listed["a"]->instance_id, serial);
    roster.Put(Registration("a", 4, 2), kStart + 20);
    EXPECT_NE(roster.listed["a"]->instance_id, serial);
    EXPECT_FALSE(
        PsBackend_HasCachedPart(roster.listed["a"], part, kStart + 20));
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
        ps_name_t service = ToName("s");
        PsScheduler_Init(&core, &events, this, &service, 1);
        core.is_engine = is_engine;
        for (int i = 0; i < n_servers; i++) {
            ps_registration_t told =
                Registration("b" + std::to_string(i), slots);
            backends.push_back(PsBackend_New(&told, now));
            PsScheduler_AddBackend(&core, backends.back());
        }
    }
    ~World()
    {
        for (auto &each : running) {
            PsBackend_Unref(each.second); // the task may be gone
        }
        for (ps_backend_t *backend : backends) {
            PsBackend_Unlist(backend);
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
        task.wait_deadline_ms = now + patience;
        return task;
    }
    void
    Submit(ps_task_t *task)
    {
        PsScheduler_Submit(&core, task, now);
    }
    void
    End(ps_task_t *task, ps_task_result_t end = PS_TASK_SUCCEEDED)
    {
        running.erase(task);
        PsScheduler_EndTask(&core, task, end, now);
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
                PsScheduler_HandleEvent(&world.core, each.first, 5, world.now);
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
        world.End(&task, is_bad ? PS_TASK_FAILED : PS_TASK_SUCCEEDED);
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
    world.core.has_granted_limits = true;
    sick->slot_limit = 0;
    world.now += 1000;
    for (int i = 0; i < 20; i++) {
        ps_task_t task = world.Task(0);
        world.Submit(&task);
        EXPECT_NE(task.backend, sick) << "no share";
        world.End(&task);
    }
    sick->slot_limit = 2;
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
    ps_registration_t told = world.backends[0]->registration;
    told.is_leaving = true;
    PsBackend_Update(world.backends[0], &told, world.now);
    PsScheduler_AddBackend(&world.core, world.backends[0]);
    PsScheduler_RemoveBackend(&world.core, world.backends[1]);
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
    EXPECT_FALSE(PsScheduler_CanMoveTask(&world.core, &task, world.now));
    ps_backend_t *before = task.backend;
    world.End(&other);
    ASSERT_TRUE(PsScheduler_CanMoveTask(&world.core, &task, world.now));
    PsScheduler_MoveTask(&world.core, &task, world.now);
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
