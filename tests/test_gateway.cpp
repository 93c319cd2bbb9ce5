// test_gateway.cpp - Tests the gateway's decisions in virtual time: whether a
// request has run, routes, the registry of backend servers and the scheduler;
// and latency histograms.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

#include "kernel.hpp"

extern "C" {
#include "attempts.h"
#include "backend_registry.h"
#include "catalog.h"
#include "event_stream.h"
#include "histogram.h"
#include "scheduler.h"
}

namespace {

const int64_t kStart = 1000000; // virtual time at which tests start, ms

ps_registration_t
MakeRegistration(const std::string &name, int slots, int64_t started = 1)
{
    ps_registration_t registration = {};
    registration.name = ToName(name);
    registration.started_ms = started;
    registration.service = ToName("s");
    registration.address = ToName("127.0.0.1:9000");
    registration.slots = slots;
    return registration;
}

} // namespace

/* ---- Attempts --------------------------------------------------------- */

namespace {

// A request may run when an attempt was handed to a connection, unless that
// attempt is known not to have run; what an attempt did stays so.
bool
MayHaveRun(const std::vector<int> &steps)
{
    bool is_open = false;
    bool has_run = false;
    for (int step : steps) {
        has_run |= is_open && step != 1;
        is_open = step == 0;
    }
    return is_open || has_run;
}

} // namespace

// Whatever comes before or after, an attempt that a server may have run keeps
// its request from being promised not to have run.
RC_GTEST_PROP(Attempts, OneAttemptInDoubtIsEnough, ())
{
    // 0: handed to a connection, 1: ended, not run, 2: ended otherwise
    auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3));
    ps_attempts_t attempts = {};
    for (int step : steps) {
        if (step == 0) {
            PsAttempts_HandleSent(&attempts);
        }
        else {
            PsAttempts_HandleEnd(&attempts, step == 1);
        }
    }
    RC_ASSERT(PsAttempts_GetRan(&attempts) ==
              (MayHaveRun(steps) ? PS_RAN_UNKNOWN : PS_RAN_NO));
}

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

/* ---- Backend registry ------------------------------------------------- */

namespace {

// A registry, and a record of its events.
struct RegistryRecorder {
    ps_backend_registry_t registry;
    std::map<std::string, ps_backend_t *> listed; // by name
    std::vector<std::string> log; // of "new NAME", "kept NAME", "removed NAME"

    RegistryRecorder()
    {
        static const ps_backend_registry_events_t events = {OnListed,
                                                            OnUnlisted};
        PsBackendRegistry_Init(&registry, &events, this);
    }
    ~RegistryRecorder()
    {
        PsBackendRegistry_Finish(&registry);
    }
    static void
    OnListed(ps_backend_registry_t *registry, ps_backend_t *backend,
             bool is_new)
    {
        auto *self = (RegistryRecorder *)registry->user;
        self->listed[ToString(backend->registration.name)] = backend;
        self->log.push_back((is_new ? "new " : "kept ") +
                            ToString(backend->registration.name));
    }
    static void
    OnUnlisted(ps_backend_registry_t *registry, ps_backend_t *backend,
               const char *)
    {
        auto *self = (RegistryRecorder *)registry->user;
        self->listed.erase(ToString(backend->registration.name));
        self->log.push_back("removed " + ToString(backend->registration.name));
    }
    void
    Set(const ps_registration_t &registration, int64_t now)
    {
        PsBackendRegistry_Set(&registry, &registration, now);
    }
    void
    Remove(const char *name, int64_t now)
    {
        ps_name_t view = ToName(name);
        PsBackendRegistry_Remove(&registry, &view, now);
    }
    // Lists the registrations of these servers only.
    void
    Retain(const std::vector<const char *> &servers, int64_t now)
    {
        GHashTable *names = g_hash_table_new_full(
            PsName_Hash, PsName_EqualKeys, g_free, nullptr);
        for (const char *server : servers) {
            ps_name_t name = ToName(server);
            g_hash_table_add(names, g_memdup2(&name, sizeof name));
        }
        PsBackendRegistry_RetainOnly(&registry, names, now);
        g_hash_table_destroy(names);
    }
};

} // namespace

// Registrations may expire while the store is unavailable, although the
// servers are alive. They are kept for 2 s after the store has become
// available.
TEST(BackendRegistry, KeepsMissingServersForAGracePeriodAfterAnOutage)
{
    RegistryRecorder recorder;
    recorder.Set(MakeRegistration("a", 4), kStart);
    recorder.Set(MakeRegistration("b", 4), kStart);
    ps_registration_t leaving = MakeRegistration("c", 4);
    leaving.is_leaving = true;
    recorder.Set(leaving, kStart);
    PsBackendRegistry_HandleStoreUnavailable(&recorder.registry);
    PsBackendRegistry_HandleStoreAvailable(&recorder.registry, kStart + 5000);
    for (const char *name : {"a", "b", "c"}) {
        recorder.Remove(name, kStart + 5010);
    }
    EXPECT_EQ(recorder.listed.count("a"), 1u);
    EXPECT_EQ(recorder.listed.count("c"), 0u) << "it was leaving before";
    recorder.Set(MakeRegistration("a", 4), kStart + 6000);
    EXPECT_FALSE(
        PsBackendRegistry_MustRead(&recorder.registry, kStart + 6900));
    recorder.Retain({"a"}, kStart + 6900);
    EXPECT_EQ(recorder.listed.count("b"), 1u);
    EXPECT_TRUE(PsBackendRegistry_MustRead(&recorder.registry, kStart + 7100));
    recorder.Retain({"a"}, kStart + 7110);
    EXPECT_EQ(recorder.listed.count("b"), 0u)
        << "removed, as it is still missing after the grace period";
    EXPECT_FALSE(
        PsBackendRegistry_MustRead(&recorder.registry, kStart + 8000));
    EXPECT_EQ(recorder.listed.count("a"), 1u);
    recorder.Remove("a", kStart + 7200);
    EXPECT_TRUE(recorder.listed.empty())
        << "removed while the store is available";
}

// The list that a daemon read last is older than the registrations of servers that are
// back since, if it hears of servers from the allocator and seldom reads the store.
TEST(BackendRegistry, NoServerIsRemovedByAListOfTheGracePeriod)
{
    RegistryRecorder recorder;
    recorder.Set(MakeRegistration("a", 4), kStart);
    PsBackendRegistry_HandleStoreUnavailable(&recorder.registry);
    PsBackendRegistry_HandleStoreAvailable(&recorder.registry, kStart + 5000);
    recorder.Retain({}, kStart + 5010);
    EXPECT_TRUE(PsBackendRegistry_MustRead(&recorder.registry, kStart + 7000));
    EXPECT_FALSE(PsBackendRegistry_MustRead(&recorder.registry, kStart + 7100))
        << "the read is in progress";
    EXPECT_TRUE(PsBackendRegistry_MustRead(&recorder.registry, kStart + 7300))
        << "it got no answer";
    EXPECT_EQ(recorder.listed.count("a"), 1u);
    recorder.Retain({"a"}, kStart + 7310);
    EXPECT_FALSE(
        PsBackendRegistry_MustRead(&recorder.registry, kStart + 8000));
    EXPECT_EQ(recorder.log, std::vector<std::string>{"new a"});
}

// A restored store holds registrations that are older than what is known.
TEST(BackendRegistry, RestoredStoreTakesBackNoStartAndNoLeaving)
{
    RegistryRecorder recorder;
    ps_registration_t leaving = MakeRegistration("a", 4, 2);
    leaving.is_leaving = true;
    recorder.Set(leaving, kStart);
    recorder.Set(MakeRegistration("b", 4, 7), kStart);
    recorder.Set(MakeRegistration("c", 4, 1), kStart);
    PsBackendRegistry_HandleStoreRestored(&recorder.registry, kStart + 100);
    recorder.Set(MakeRegistration("a", 4, 2), kStart + 200);
    recorder.Set(MakeRegistration("b", 4, 6), kStart + 200);
    recorder.Remove("c", kStart + 200);
    EXPECT_TRUE(recorder.listed["a"]->registration.is_leaving);
    EXPECT_EQ(recorder.listed["b"]->registration.started_ms, 7);
    EXPECT_EQ(recorder.listed.count("c"), 1u) << "it may register again";
    recorder.Set(MakeRegistration("a", 4, 3), kStart + 300);
    EXPECT_FALSE(recorder.listed["a"]->registration.is_leaving)
        << "a later start";
    EXPECT_TRUE(PsBackendRegistry_MustRead(&recorder.registry, kStart + 2200));
    recorder.Retain({"a", "b"}, kStart + 2200);
    EXPECT_EQ(recorder.listed.count("c"), 0u);
    recorder.Set(MakeRegistration("b", 4, 6), kStart + 2200);
    EXPECT_EQ(recorder.listed["b"]->registration.started_ms, 6)
        << "the grace period is over";
}

// A server that has said in a response that it leaves does so until it starts
// again, whatever it registers meanwhile.
TEST(BackendRegistry, ServerThatSaidItLeavesDoesSoUntilItsNextStart)
{
    RegistryRecorder recorder;
    recorder.Set(MakeRegistration("a", 4, 1), kStart);
    ps_registration_t said = MakeRegistration("a", 4, 1);
    said.has_said_leaving = true;
    recorder.Set(said, kStart + 10);
    EXPECT_TRUE(recorder.listed["a"]->registration.is_leaving);
    recorder.Set(MakeRegistration("a", 4, 1), kStart + 20);
    EXPECT_TRUE(recorder.listed["a"]->registration.is_leaving);
    recorder.Set(MakeRegistration("a", 4, 2), kStart + 30);
    EXPECT_FALSE(recorder.listed["a"]->registration.is_leaving);
}

// Registrations lapse for seconds and come back while their servers run. What a
// server has said holds for its start.
TEST(BackendRegistry, LapsedRegistrationEndsNothingThatTheServerHasSaid)
{
    RegistryRecorder recorder;
    recorder.Set(MakeRegistration("a", 4, 1), kStart);
    recorder.listed["a"]->paused_until_ms = kStart + 3000;
    recorder.listed["a"]->is_brittle = true;
    recorder.listed["a"]->slot_limit = 4;
    PsServerReach_HandleLost(&recorder.listed["a"]->reach, kStart);
    recorder.Remove("a", kStart + 100);
    recorder.Set(MakeRegistration("a", 4, 1), kStart + 500);
    EXPECT_EQ(recorder.listed["a"]->paused_until_ms, kStart + 3000);
    EXPECT_TRUE(recorder.listed["a"]->is_brittle);
    EXPECT_TRUE(recorder.listed["a"]->is_listed);
    EXPECT_EQ(recorder.listed["a"]->slot_limit, 0) << "until it is granted";
    EXPECT_EQ(recorder.listed["a"]->reach.lost_ms, 0);

    ps_registration_t said = MakeRegistration("a", 4, 1);
    said.has_said_leaving = true;
    recorder.Set(said, kStart + 600);
    recorder.Remove("a", kStart + 700);
    recorder.Set(MakeRegistration("a", 4, 1), kStart + 900);
    EXPECT_TRUE(recorder.listed["a"]->registration.is_leaving);

    recorder.Remove("a", kStart + 1000);
    recorder.Set(MakeRegistration("a", 4, 2), kStart + 1100);
    EXPECT_FALSE(recorder.listed["a"]->registration.is_leaving)
        << "another start";
    EXPECT_EQ(recorder.listed["a"]->paused_until_ms, 0);
    EXPECT_EQ(recorder.log, (std::vector<std::string>{
                                "new a", "removed a", "new a", "kept a",
                                "removed a", "new a", "removed a", "new a"}));
}

// A restarted server has lost its cache, although its name is the same.
TEST(BackendRegistry, RestartedServerIsANewOneWithAnEmptyCache)
{
    RegistryRecorder recorder;
    recorder.Set(MakeRegistration("a", 4, 1), kStart);
    uint64_t part_hash = 7;
    PsBackend_AddCachedPart(recorder.listed["a"], part_hash, kStart);
    uint32_t instance_id = recorder.listed["a"]->instance_id;
    recorder.Set(MakeRegistration("a", 4, 1), kStart + 10);
    EXPECT_EQ(recorder.listed["a"]->instance_id, instance_id);
    recorder.Set(MakeRegistration("a", 4, 2), kStart + 20);
    EXPECT_NE(recorder.listed["a"]->instance_id, instance_id);
    EXPECT_FALSE(
        PsBackend_HasCachedPart(recorder.listed["a"], part_hash, kStart + 20));
    EXPECT_EQ(recorder.log, (std::vector<std::string>{"new a", "kept a",
                                                      "removed a", "new a"}));
}

/* ---- Events of a stream ----------------------------------------------- */

TEST(EventStream, EventsEndWithABlankLineAndKeepTheLastId)
{
    struct Case {
        const char *bytes;
        size_t end; // 0: incomplete
        const char *id;
    };
    const Case cases[] = {
        {"", 0, ""},
        {"id: 1\ndata: a\n", 0, ""},
        {"id: 1\ndata: a\n\n", 15, "1"},
        {"id:12\ndata: a\n\nid: 2\n", 15, "12"},
        {"data: a\r\nid: 3\r\n\r\n", 18, "3"},
        {"data: id: 4\n\n", 13, ""},
        {"id: 5\nid: 6\n\n", 13, "6"},
    };
    for (const Case &c : cases) {
        SCOPED_TRACE(c.bytes);
        ps_str_t bytes = PsStr_FromC(c.bytes);
        size_t end = PsEventStream_FindEnd(bytes, 0);
        EXPECT_EQ(end, c.end);
        ps_name_t id = ToName("");
        PsEventStream_ParseId(ps_str_t{bytes.data, end}, &id);
        EXPECT_STREQ(id.data, c.id);
    }
}

/* ---- Scheduler -------------------------------------------------------- */

namespace {

// One daemon's scheduler with backend servers. Tests end the started tasks.
struct SchedulerHarness {
    ps_scheduler_t scheduler;
    std::vector<ps_backend_t *> backends;
    std::map<ps_task_t *, ps_backend_t *> running;
    std::vector<std::pair<ps_task_t *, int64_t>> started; // with its time
    std::vector<ps_task_t *> refused;
    std::vector<int64_t> retry_after; // ms, for each refused task
    int64_t now = kStart;

    // @slots: of each server
    SchedulerHarness(int n_servers, int slots, bool is_engine = true)
    {
        static const ps_scheduler_events_t events = {OnStart, OnRefuse};
        ps_name_t service = ToName("s");
        PsScheduler_Init(&scheduler, &events, this, &service, 1);
        scheduler.is_engine = is_engine;
        for (int i = 0; i < n_servers; i++) {
            ps_registration_t registration =
                MakeRegistration("b" + std::to_string(i), slots);
            backends.push_back(PsBackend_New(&registration, now));
            PsScheduler_AddBackend(&scheduler, backends.back());
        }
    }
    ~SchedulerHarness()
    {
        for (auto &each : running) {
            PsBackend_Unref(each.second); // the task may have been freed
        }
        for (ps_backend_t *backend : backends) {
            PsBackend_Unlist(backend);
        }
        PsScheduler_Finish(&scheduler);
    }
    static void
    OnStart(ps_scheduler_t *scheduler, ps_task_t *task)
    {
        auto *self = (SchedulerHarness *)scheduler->user;
        self->started.emplace_back(task, self->now);
        self->running[task] = task->backend;
    }
    static void
    OnRefuse(ps_scheduler_t *scheduler, ps_task_t *task,
             int64_t retry_after_ms, const char *)
    {
        auto *self = (SchedulerHarness *)scheduler->user;
        self->refused.push_back(task);
        self->retry_after.push_back(retry_after_ms);
    }
    // Has the first server say whether it is brittle, and grants slots there for long.
    void
    Grant(bool is_brittle, int slots)
    {
        backends[0]->is_brittle = is_brittle;
        PsScheduler_UpdateBrittle(&scheduler);
        scheduler.has_granted_limits = true;
        scheduler.granted_until_ms = now + 60000;
        backends[0]->slot_limit = slots;
    }
    // Submits tasks that can wait for 4 s.
    void
    SubmitAll(std::vector<ps_task_t> &tasks)
    {
        for (ps_task_t &task : tasks) {
            task = MakeTask(0, 4000, 4000);
            Submit(&task);
        }
    }
    ps_task_t
    MakeTask(int tier, int64_t objective_in_ms = 400, int64_t wait_ms = 1400)
    {
        ps_task_t task = {};
        task.tier = tier;
        task.is_generation = true;
        task.arrived_ms = now;
        task.objective_ms = now + objective_in_ms;
        task.wait_deadline_ms = now + wait_ms;
        return task;
    }
    void
    Submit(ps_task_t *task)
    {
        PsScheduler_Submit(&scheduler, task, now);
    }
    // Late tasks of tier 1 have hardly been started lately then.
    void
    StartLateTaskLongAgo()
    {
        ps_task_t late = MakeTask(1, 1);
        Submit(&late);
        End(&late);
        now += 5000;
    }
    void
    End(ps_task_t *task, ps_task_result_t end = PS_TASK_SUCCEEDED)
    {
        running.erase(task);
        PsScheduler_EndTask(&scheduler, task, end, now);
    }
};

} // namespace

TEST(Scheduler, HigherTierFirstThenTasksThatCanMeetTheirObjective)
{
    SchedulerHarness harness(1, 1);
    ps_task_t first = harness.MakeTask(0), low = harness.MakeTask(2), late,
              fresh, high;
    harness.Submit(&first);
    harness.Submit(&low);
    late = harness.MakeTask(1, 100);
    harness.Submit(&late);
    harness.now += 150;
    fresh = harness.MakeTask(1);
    high = harness.MakeTask(0);
    harness.Submit(&fresh);
    harness.Submit(&high);
    const ps_task_t *expected[] = {&high, &fresh, &late, &low};
    ps_task_t *last = &first;
    for (const ps_task_t *next : expected) {
        harness.End(last);
        ASSERT_EQ(harness.started.back().first, next);
        last = harness.started.back().first;
    }
    EXPECT_TRUE(harness.refused.empty());
}

TEST(Scheduler, NothingIsRefusedWithFreeSlotsAndAnEmptyQueue)
{
    SchedulerHarness harness(3, 4);
    std::vector<ps_task_t> tasks(12);
    for (ps_task_t &task : tasks) {
        task = harness.MakeTask(2, 1); // cannot meet its objective
        harness.Submit(&task);
    }
    EXPECT_EQ(harness.started.size(), 12u);
    EXPECT_TRUE(harness.refused.empty());
}

// Callers that are refused at about the same time must not all retry at the
// same time.
TEST(Scheduler, RetryAfterVaries)
{
    SchedulerHarness harness(1, 1);
    std::vector<ps_task_t> tasks(200);
    for (ps_task_t &task : tasks) {
        task = harness.MakeTask(1, 50, 60);
        harness.Submit(&task);
        harness.now += 7;
        PsScheduler_Run(&harness.scheduler, harness.now);
    }
    std::set<int64_t> times(harness.retry_after.begin(),
                            harness.retry_after.end());
    EXPECT_GT(harness.refused.size(), 100u);
    EXPECT_GT(times.size(), harness.refused.size() / 4);
}

// Load pattern: twice the capacity for 8 s. At least 90 % of the started tasks
// start before the time of their objective, refusals take at most 500 ms on
// average, at most a tenth of tier 0 is refused, and no task is lost.
TEST(Scheduler, OverloadIsServedInTimeOrRefusedSoon)
{
    SchedulerHarness harness(4, 5);
    std::vector<std::unique_ptr<ps_task_t>> tasks;
    std::map<ps_task_t *, int64_t> ends, firsts;
    std::map<ps_task_t *, int64_t> refused_at;
    std::mt19937 random(7);
    size_t refused_seen = 0;
    double next = 0;
    for (int64_t t = 0; t < 8000; t += 5) {
        harness.now = kStart + t;
        // 40 tasks a second; 20 slots, 1 s a task on average
        while (next <= t) {
            tasks.push_back(std::make_unique<ps_task_t>(
                harness.MakeTask((int)(random() % 3))));
            harness.Submit(tasks.back().get());
            next += 25;
        }
        for (auto &each : harness.started) {
            int64_t spread = (int64_t)(random() % 200) * 5; // 0.5 to 1.5 s
            ends.emplace(each.first, each.second + 500 + spread);
            firsts.emplace(each.first, each.second + 50);
        }
        for (auto &each : ends) {
            bool is_first = firsts[each.first] == harness.now;
            if (is_first && harness.running.count(each.first)) {
                PsScheduler_HandleEvent(&harness.scheduler, each.first, 5,
                                        harness.now);
            }
            if (each.second <= harness.now &&
                harness.running.count(each.first)) {
                harness.End(each.first);
            }
        }
        PsScheduler_Run(&harness.scheduler, harness.now);
        for (; refused_seen < harness.refused.size(); refused_seen++) {
            refused_at[harness.refused[refused_seen]] = harness.now;
        }
    }
    int in_time = 0, n_top_tier = 0, top_tier_refused = 0;
    for (auto &each : harness.started) {
        in_time += each.second <= each.first->objective_ms ? 1 : 0;
    }
    double total_wait_ms = 0;
    for (auto &each : refused_at) {
        total_wait_ms += (double)(each.second - each.first->arrived_ms);
        top_tier_refused += each.first->tier == 0 ? 1 : 0;
    }
    for (auto &task : tasks) {
        n_top_tier += task->tier == 0 ? 1 : 0;
    }
    EXPECT_EQ(tasks.size(), harness.started.size() + harness.refused.size() +
                                harness.scheduler.waiting.length);
    EXPECT_GE(in_time, 0.9 * harness.started.size());
    EXPECT_GE(harness.started.size(), 140u) << "of 160 that the slots can run";
    EXPECT_LE(total_wait_ms / refused_at.size(), 500)
        << "ms until a refusal, on average";
    EXPECT_LE(top_tier_refused, 0.1 * n_top_tier);
}

// Guards against a lone task that counts itself as waiting before itself. Load
// pattern: plain requests with an objective of 120 ms at daemons that start a
// few in a second and have a free slot in the next round.
TEST(Scheduler, LoneTaskThatBecomesLateIsNotRefused)
{
    SchedulerHarness harness(1, 1);
    harness.StartLateTaskLongAgo();
    ps_task_t first = harness.MakeTask(0), task;
    harness.Submit(&first);
    task = harness.MakeTask(1, 120, 300);
    harness.Submit(&task);
    harness.now += 200;
    PsScheduler_Run(&harness.scheduler, harness.now);
    EXPECT_TRUE(harness.refused.empty());
    harness.End(&first);
    EXPECT_EQ(harness.started.back().first, &task);
}

// Guards against a refusal, which its caller gets as a failure, of a retry that
// only waits for a server to come free. Load pattern: plain requests of 15 ms
// with an objective of 120 ms, of which one in seven fails at its server.
TEST(Scheduler, FailedTaskIsNotRefusedForItsObjective)
{
    SchedulerHarness harness(2, 1);
    harness.StartLateTaskLongAgo();
    ps_task_t other = harness.MakeTask(0), task;
    harness.Submit(&other);
    task = harness.MakeTask(1, 120, 5000);
    harness.Submit(&task);
    ASSERT_EQ(harness.started.size(), 3u);
    harness.End(&task, PS_TASK_FAILED);
    harness.Submit(&task);
    harness.now += 1000;
    PsScheduler_Run(&harness.scheduler, harness.now);
    EXPECT_TRUE(harness.refused.empty());
    harness.End(&other);
    ASSERT_EQ(harness.started.size(), 4u);
    EXPECT_EQ(harness.started.back().first, &task);
}

TEST(Scheduler, FailingServerIsEjectedAndTriedAgain)
{
    SchedulerHarness harness(4, 2);
    ps_backend_t *failing_server = harness.backends[0];
    int sent = 0;
    for (int i = 0; i < 200; i++) {
        ps_task_t task = harness.MakeTask(0);
        harness.Submit(&task);
        bool is_bad = task.backend == failing_server;
        sent += is_bad ? 1 : 0;
        harness.End(&task, is_bad ? PS_TASK_FAILED : PS_TASK_SUCCEEDED);
        harness.now += 20;
    }
    EXPECT_LE(sent, 14) << "of about 50 without ejection";
    EXPECT_GE(sent, 2);
    sent = 0;
    for (int i = 0; i < 400; i++) { // the server works again
        ps_task_t task = harness.MakeTask(0);
        harness.Submit(&task);
        sent += task.backend == failing_server ? 1 : 0;
        harness.End(&task);
        harness.now += 20;
    }
    EXPECT_GE(sent, 20);
}

// When its ejection ends, a server gets one request as a trial. The allocator
// chooses the daemon that sends it: the slot limits of the others are 0.
TEST(Scheduler, TrialOfAnEjectedServerNeedsASlotLimit)
{
    SchedulerHarness harness(3, 2);
    ps_backend_t *failing_server = harness.backends[0];
    PsBackend_Eject(failing_server, harness.now);
    harness.scheduler.has_granted_limits = true;
    failing_server->slot_limit = 0;
    harness.now += 1000;
    for (int i = 0; i < 20; i++) {
        ps_task_t task = harness.MakeTask(0);
        harness.Submit(&task);
        EXPECT_NE(task.backend, failing_server) << "the slot limit is 0";
        harness.End(&task);
    }
    failing_server->slot_limit = 2;
    int tries = 0;
    std::vector<ps_task_t> tasks(6, harness.MakeTask(0));
    for (ps_task_t &task : tasks) {
        harness.Submit(&task);
        tries += task.backend == failing_server ? 1 : 0;
    }
    EXPECT_EQ(tries, 1) << "one request at a time";
    for (ps_task_t &task : tasks) {
        PsScheduler_Withdraw(&harness.scheduler, &task);
        harness.End(&task);
    }
}

TEST(Scheduler, SomeServersStayInUseWhenAllFail)
{
    SchedulerHarness harness(3, 2);
    for (int i = 0; i < 100; i++) {
        ps_task_t task = harness.MakeTask(0);
        harness.Submit(&task);
        ASSERT_TRUE(task.backend) << "request " << i;
        harness.End(&task, PS_TASK_FAILED);
        harness.now += 20;
    }
    int ejected = 0;
    for (ps_backend_t *backend : harness.backends) {
        ejected += harness.now < backend->ejected_until_ms ? 1 : 0;
    }
    EXPECT_LE(ejected, 2);
}

TEST(Scheduler, LeavingAndUnlistedServersGetNoTasks)
{
    SchedulerHarness harness(2, 2);
    ps_registration_t registration = harness.backends[0]->registration;
    registration.is_leaving = true;
    PsBackend_Update(harness.backends[0], &registration, harness.now);
    PsScheduler_AddBackend(&harness.scheduler, harness.backends[0]);
    PsScheduler_RemoveBackend(&harness.scheduler, harness.backends[1]);
    harness.backends[1]->is_listed = false;
    ps_task_t task = harness.MakeTask(0);
    harness.Submit(&task);
    EXPECT_FALSE(task.backend);
    harness.now += 2000;
    PsScheduler_Run(&harness.scheduler, harness.now);
    EXPECT_EQ(harness.refused.size(), 1u);
}

// A task that needs a version of the servers' software waits for a free slot
// at one of these servers, while others that came later are started elsewhere.
TEST(Scheduler, TaskStartsOnlyAtServersOfItsVersion)
{
    SchedulerHarness harness(3, 1);
    for (int i = 0; i < 3; i++) {
        ps_registration_t registration = harness.backends[i]->registration;
        registration.version = ToName(i == 0 ? "v1" : "v2");
        PsBackend_Update(harness.backends[i], &registration, harness.now);
    }
    const uint64_t v1 = harness.backends[0]->version;
    ASSERT_NE(v1, harness.backends[1]->version);
    ASSERT_EQ(harness.backends[1]->version, harness.backends[2]->version);
    std::vector<ps_task_t> tasks(5);
    for (ps_task_t &task : tasks) {
        task = harness.MakeTask(0);
    }
    tasks[0].version = tasks[1].version = v1;
    for (int i = 0; i < 4; i++) {
        harness.Submit(&tasks[i]);
    }
    EXPECT_EQ(tasks[0].backend, harness.backends[0]);
    EXPECT_FALSE(tasks[1].backend);
    EXPECT_TRUE(tasks[2].backend && tasks[3].backend);
    EXPECT_FALSE(
        PsScheduler_CanMoveTask(&harness.scheduler, &tasks[0], harness.now));
    harness.End(&tasks[2]);
    EXPECT_FALSE(tasks[1].backend);
    harness.End(&tasks[0]);
    EXPECT_EQ(tasks[1].backend, harness.backends[0]);
    tasks[4].version = v1;
    harness.Submit(&tasks[4]);
    harness.now += 1500;
    PsScheduler_Run(&harness.scheduler, harness.now);
    EXPECT_EQ(harness.refused, std::vector<ps_task_t *>{&tasks[4]});
}

// A server that has asked for a pause gets nothing until its end and isn't
// ejected. While all have, tasks that can't wait so long are refused, and told
// when it ends.
TEST(Scheduler, ServersGetNothingInTheirPauses)
{
    SchedulerHarness harness(2, 2);
    std::vector<ps_task_t> tasks(5);
    for (ps_task_t &task : tasks) {
        task = harness.MakeTask(0, 4000);
    }
    harness.Submit(&tasks[0]);
    ps_backend_t *first = tasks[0].backend;
    first->paused_until_ms = harness.now + 3000;
    harness.End(&tasks[0], PS_TASK_PAUSED);
    EXPECT_EQ(first->ejected_until_ms, 0);
    harness.Submit(&tasks[1]);
    ps_backend_t *second = tasks[1].backend;
    ASSERT_TRUE(second && second != first);
    second->paused_until_ms = harness.now + 3000;
    harness.End(&tasks[1], PS_TASK_PAUSED);
    harness.Submit(&tasks[3]);
    ASSERT_EQ(harness.refused, std::vector<ps_task_t *>{&tasks[3]});
    EXPECT_GE(harness.retry_after[0], 2000);
    harness.now += 2000;
    tasks[4] = harness.MakeTask(0, 4000);
    harness.Submit(&tasks[4]);
    EXPECT_FALSE(tasks[4].backend);
    harness.now += 1000;
    PsScheduler_Run(&harness.scheduler, harness.now);
    EXPECT_TRUE(tasks[4].backend);
}

// Callers press on three daemons without grants. All together send plain
// servers more than they run at once, to keep their queues filled, but not
// brittle ones, which fall over when they have to reject too many.
TEST(Scheduler, BrittleServersGetNoMoreThanTheyRunAtOnce)
{
    for (bool is_brittle : {false, true}) {
        const int n_servers = 2, slots = 8, n_daemons = 3;
        std::map<std::string, int> running;
        std::vector<std::unique_ptr<SchedulerHarness>> daemons;
        std::vector<ps_task_t> tasks(n_daemons * 30);
        for (int i = 0; i < n_daemons; i++) {
            daemons.push_back(
                std::make_unique<SchedulerHarness>(n_servers, slots, false));
            SchedulerHarness &daemon = *daemons.back();
            PsScheduler_SetDaemons(&daemon.scheduler, n_daemons, i);
            // One server has told so: the other may just have started.
            daemon.backends[0]->is_brittle = is_brittle;
            PsScheduler_UpdateBrittle(&daemon.scheduler);
            for (int k = 0; k < 30; k++) {
                ps_task_t &task = tasks[(size_t)(i * 30 + k)];
                task = daemon.MakeTask(0);
                task.is_generation = false;
                daemon.Submit(&task);
            }
            for (const ps_backend_t *backend : daemon.backends) {
                running[backend->registration.name.data] += backend->running;
            }
        }
        for (const auto &each : running) {
            EXPECT_EQ(each.second > slots, !is_brittle) << each.first;
            EXPECT_GE(each.second, slots) << each.first;
        }
    }
}

// A daemon stands still. Meanwhile the allocator has given its slots to others;
// what callers sent is read when it wakes, before the next grant.
TEST(Scheduler, OldGrantsAreNotUsedAtBrittleServers)
{
    SchedulerHarness daemon(1, 8, false);
    PsScheduler_SetDaemons(&daemon.scheduler, 4, 0);
    daemon.backends[0]->is_brittle = true;
    PsScheduler_UpdateBrittle(&daemon.scheduler);
    daemon.scheduler.has_granted_limits = true;
    daemon.scheduler.granted_until_ms = daemon.now + 400;
    daemon.backends[0]->slot_limit = 7;
    std::vector<ps_task_t> tasks(20);
    auto submit = [&](size_t from, size_t to) {
        for (size_t i = from; i < to; i++) {
            tasks[i] = daemon.MakeTask(0);
            daemon.Submit(&tasks[i]);
        }
    };
    submit(0, 10);
    EXPECT_EQ(daemon.backends[0]->running, 7);
    for (size_t i = 0; i < 7; i++) {
        daemon.End(&tasks[i]);
    }
    while (!daemon.running.empty()) {
        daemon.End(daemon.running.begin()->first);
    }
    daemon.now += 700;
    submit(10, 20);
    EXPECT_EQ(daemon.backends[0]->running, 2);
    daemon.scheduler.granted_until_ms = daemon.now + 400;
    PsScheduler_Run(&daemon.scheduler, daemon.now);
    EXPECT_EQ(daemon.backends[0]->running, 7);
}

// Brittle servers, each full: more than three rejections within a second end one.
// Tasks wait, and each rejection frees the slot that it was sent for.
TEST(Scheduler, RejectionOfABrittleServerIsNotFollowedByAnother)
{
    for (bool is_brittle : {false, true}) {
        SchedulerHarness daemon(1, 8, false);
        daemon.Grant(is_brittle, 1);
        std::vector<ps_task_t> tasks(8);
        daemon.SubmitAll(tasks);
        while (!daemon.running.empty() && daemon.started.size() < 5) {
            daemon.End(daemon.running.begin()->first, PS_TASK_REJECTED);
        }
        EXPECT_EQ(daemon.started.size(), is_brittle ? 1u : 4u);
        daemon.now += 1000;
        PsScheduler_Run(&daemon.scheduler, daemon.now);
        EXPECT_EQ(daemon.started.size(), is_brittle ? 2u : 5u);
    }
}

// Connections are lost while servers run their requests: these take slots until
// they have ended.
TEST(Scheduler, LostRunsTakeSlotsOfBrittleServers)
{
    for (bool is_brittle : {false, true}) {
        SchedulerHarness daemon(1, 4, false);
        daemon.Grant(is_brittle, 4);
        daemon.scheduler.mean_run_ms = 200;
        std::vector<ps_task_t> tasks(12);
        daemon.SubmitAll(tasks);
        daemon.now += 50;
        for (size_t i = 0; i < 3; i++) {
            daemon.End(&tasks[i], PS_TASK_FAILED);
        }
        EXPECT_EQ(daemon.backends[0]->running, is_brittle ? 1 : 4);
        EXPECT_EQ(PsBackend_CountOccupied(daemon.backends[0], daemon.now), 4);
        daemon.now += 500;
        PsScheduler_Run(&daemon.scheduler, daemon.now);
        EXPECT_EQ(daemon.backends[0]->running, 4);
    }
}

// A daemon wakes from a pause. Its slots may belong to others now, so that it sends little
// until it is granted some, or until it is clear that there is no grant.
TEST(Scheduler, WokenDaemonAwaitsAGrantForBrittleServers)
{
    SchedulerHarness daemon(1, 8, false);
    PsScheduler_SetDaemons(&daemon.scheduler, 4, 0);
    daemon.backends[0]->is_brittle = true;
    PsScheduler_UpdateBrittle(&daemon.scheduler);
    daemon.scheduler.paused_until_ms = daemon.now;
    std::vector<ps_task_t> tasks(4);
    daemon.SubmitAll(tasks);
    EXPECT_EQ(daemon.backends[0]->running, 1);
    daemon.now += 400;
    PsScheduler_Run(&daemon.scheduler, daemon.now);
    EXPECT_EQ(daemon.backends[0]->running, 2) << "its even share";
}

// A task moves away from a silent server only if another server has a free
// slot; otherwise it might wait and be refused, although the silent server may
// only be slow.
TEST(Scheduler, TaskMovesFromASilentServerOnlyToAFreeSlot)
{
    SchedulerHarness harness(2, 1);
    ps_task_t task = harness.MakeTask(0), other = harness.MakeTask(0);
    harness.Submit(&task);
    harness.Submit(&other);
    harness.now += 3000;
    EXPECT_TRUE(PsScheduler_IsSilent(&harness.scheduler, &task, harness.now));
    EXPECT_FALSE(
        PsScheduler_CanMoveTask(&harness.scheduler, &task, harness.now));
    ps_backend_t *before = task.backend;
    harness.End(&other);
    ASSERT_TRUE(
        PsScheduler_CanMoveTask(&harness.scheduler, &task, harness.now));
    PsScheduler_MoveTask(&harness.scheduler, &task, harness.now);
    EXPECT_NE(task.backend, before);
    EXPECT_EQ(before->running, 0);
    EXPECT_FALSE(
        PsScheduler_IsSilent(&harness.scheduler, &task, harness.now + 100));
}

// Events that came during a pause of this daemon are not read yet when it
// ends.
TEST(Scheduler, PauseOfThisDaemonIsNoSilenceOfAServer)
{
    SchedulerHarness harness(2, 1);
    ps_task_t task = harness.MakeTask(0);
    harness.Submit(&task);
    harness.now += 3000;
    harness.scheduler.paused_until_ms = harness.now;
    EXPECT_FALSE(PsScheduler_IsSilent(&harness.scheduler, &task, harness.now));
    harness.now += 3000;
    EXPECT_TRUE(PsScheduler_IsSilent(&harness.scheduler, &task, harness.now));
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
