// test_pool.cpp - Tests which requests a pool grants, to which server, and
// which it refuses or preempts: tiers, teams, servers, suspects.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "kernel.hpp"

namespace {

// Records a pool's events and checks each of them against the pool's rules.
class PoolHarness {
  public:
    explicit PoolHarness(const std::string &text, const char *pool_name = "m")
    {
        static const ps_pool_events_t table = {OnGrant, OnRefuse, OnCancel};
        if (PsConfig_Parse(&config, ToStr(text), 1) != PS_OK) {
            ADD_FAILURE() << PsStatus_LastMessage();
        }
        ps_name_t name = ToName(pool_name);
        PsPool_Init(&pool, &table, &name);
        pool.user = this;
        PsPool_Configure(&pool, &config, now);
    }
    ~PoolHarness()
    {
        PsPool_Finish(&pool);
        PsConfig_Finish(&config);
    }

    // Submits a request, with its deadline in ms from now; returns its ticket.
    std::string
    Submit(int tier, const std::string &team, int64_t deadline,
           uint32_t prompt = 100, uint32_t tokens = 50, uint64_t hash = 0)
    {
        ps_grant_request_t request = {};
        std::string ticket = "t" + std::to_string(++n_submitted);
        request.ticket = ToName(ticket);
        request.team = ToName(team);
        request.model = ToName("x");
        request.tier = tier;
        request.idempotent = true;
        request.deadline_ms = now + deadline;
        request.prompt_tokens = prompt;
        request.max_tokens = tokens;
        request.content_hash = hash;
        unanswered.insert(ticket);
        PsPool_Submit(&pool, &request, now);
        return ticket;
    }
    void
    EndDispatch(const std::string &ticket, ps_outcome_t outcome,
                uint32_t tokens = 50)
    {
        ps_name_t name = ToName(ticket);
        ps_dispatch_result_t end = {outcome, 100, 1000, tokens};
        PsPool_EndDispatch(&pool, &name, &end, now);
        running.erase(ticket);
    }
    void
    Run()
    {
        PsPool_Run(&pool, now);
    }
    int
    CountWaiting(int tier) const
    {
        return (int)pool.queue.tiers[tier].jobs.length;
    }

    ps_config_t config;
    ps_pool_t pool;
    int64_t now = 1000;
    int n_submitted = 0;
    std::set<std::string> unanswered;           // tickets
    std::map<std::string, std::string> running; // ticket to server
    std::map<std::string, double> granted_work; // by team
    std::vector<std::string> refused;           // codes
    std::vector<std::string> cancelled;         // tickets
    std::string last_code;                      // of the last refusal
    std::set<std::string> violations; // names of rules that an event broke

  private:
    void
    CheckRule(bool is_obeyed, const char *rule)
    {
        if (!is_obeyed) {
            violations.insert(rule);
        }
    }
    static void
    OnGrant(ps_pool_t *pool, ps_job_t *job, const char *)
    {
        auto *self = (PoolHarness *)pool->user;
        const ps_server_t &server = pool->servers[job->server];
        self->CheckRule(server.config.state == PS_SERVER_JOINING,
                        "a leaving server gets no request");
        self->CheckRule(server.is_listed,
                        "only a listed server gets a request");
        for (int t = 0; t < job->request.tier; t++) {
            self->CheckRule(!self->HasUnsuspectedWaiting(t),
                            "tier order: a higher tier goes first");
        }
        int limit = pool->slots > 0 ? pool->slots : PS_POOL_SERVERS_MAX;
        self->CheckRule((int)server.running.length <= limit,
                        "no more requests than slots");
        if (job->request.tier > 0 && pool->slots > 0) {
            self->CheckRule((int)server.running.length <=
                                pool->slots - pool->reserved_slots,
                            "reserved slots are for tier 0");
        }
        self->CheckRule(
            self->unanswered.erase(ToString(job->request.ticket)) == 1,
            "each request is granted or refused once");
        self->running[ToString(job->request.ticket)] =
            ToString(server.config.name);
        self->granted_work[ToString(job->request.team)] += job->work;
        self->CheckRule(pool->n_suspects_running <= 1,
                        "suspects run one at a time");
    }
    static void
    OnRefuse(ps_pool_t *pool, const ps_grant_request_t *request,
             const ps_refusal_t *refusal, const char *)
    {
        auto *self = (PoolHarness *)pool->user;
        self->last_code = refusal->code;
        self->refused.push_back(refusal->code);
        self->CheckRule(self->unanswered.erase(ToString(request->ticket)) == 1,
                        "each request is granted or refused once");
        self->CheckRule(refusal->ran == PS_RAN_NO, "no refused request ran");
        if (self->last_code == "capacity") {
            self->CheckRule(refusal->retry_after_ms > 0, "retry after is set");
            for (int t = request->tier + 1; t < PS_TIERS_MAX; t++) {
                self->CheckRule(self->CountWaiting(t) == 0,
                                "no lower tier waits after a refusal");
                self->CheckRule(pool->granted_by_tier[t] == 0,
                                "no lower tier was granted after a refusal");
            }
        }
    }
    static void
    OnCancel(ps_pool_t *pool, ps_job_t *job, const char *)
    {
        auto *self = (PoolHarness *)pool->user;
        self->cancelled.push_back(ToString(job->request.ticket));
    }
    int
    HasUnsuspectedWaiting(int tier) const
    {
        for (GList *l = pool.queue.tiers[tier].jobs.head; l; l = l->next) {
            auto *job = (ps_job_t *)l->data;
            if (PsSuspects_GetCrashes(&pool.suspects,
                                      job->request.content_hash, now) == 0) {
                return 1;
            }
        }
        return 0;
    }
};

} // namespace

// Random tiers, teams, lengths, outcomes and server states, at random times.
RC_GTEST_PROP(Pool, EventsObeyTheRulesUnderRandomLoad, ())
{
    bool has_slots = *rc::gen::arbitrary<bool>();
    std::string extra =
        has_slots ? ",\"slots\":3,\"kept_slots\":1,\"queue_limit\":12"
                  : ",\"queue_limit\":30";
    PoolHarness harness(MakeConfigText(3, 1, extra));
    int steps = *rc::gen::inRange(20, 200);
    for (int i = 0; i < steps; i++) {
        int action = *rc::gen::inRange(0, 12);
        if (action < 6) {
            std::string team =
                "team" + std::to_string(*rc::gen::inRange(0, 3));
            uint64_t hash = (uint64_t)*rc::gen::inRange(0, 30);
            harness.Submit(*rc::gen::inRange(0, 3), team,
                           *rc::gen::inRange(200, 30000),
                           (uint32_t)*rc::gen::inRange(1, 8000),
                           (uint32_t)*rc::gen::inRange(1, 900), hash);
        }
        else if (action < 10 && !harness.running.empty()) {
            auto it = harness.running.begin();
            std::advance(
                it, *rc::gen::inRange<int>(0, (int)harness.running.size()));
            static const ps_outcome_t outcomes[] = {
                PS_OUTCOME_COMPLETE, PS_OUTCOME_COMPLETE, PS_OUTCOME_CANCELLED,
                PS_OUTCOME_UNREACHABLE, PS_OUTCOME_BROKEN};
            harness.EndDispatch(it->first, outcomes[*rc::gen::inRange(0, 5)],
                                (uint32_t)*rc::gen::inRange(1, 900));
        }
        else if (action == 10) {
            int server = *rc::gen::inRange(0, 3);
            harness.pool.servers[server].config.state =
                (ps_server_state_t)*rc::gen::inRange(0, 3);
        }
        harness.now += *rc::gen::inRange(0, 500);
        harness.Run();
        RC_ASSERT(harness.violations == std::set<std::string>{});
    }
    // No request may stay unanswered after its deadline.
    for (int i = 0; i < 400; i++) {
        harness.now += 100;
        harness.Run();
    }
    RC_ASSERT(harness.unanswered.empty());
    RC_ASSERT(harness.violations == std::set<std::string>{});
}

// A full queue refuses a waiting request of the lowest tier to make room.
TEST(Pool, FullQueueRefusesTheLowestTier)
{
    PoolHarness harness(
        MakeConfigText(1, 1, ",\"slots\":1,\"queue_limit\":2"));
    harness.Submit(2, "a", 60000);
    harness.Run();
    harness.Submit(2, "a", 60000);
    harness.Submit(1, "a", 60000);
    EXPECT_TRUE(harness.refused.empty());
    harness.Submit(0, "a", 60000);
    EXPECT_EQ(harness.refused, std::vector<std::string>{"capacity"});
    EXPECT_EQ(harness.CountWaiting(2), 0);
    EXPECT_EQ(harness.CountWaiting(1), 1);
    EXPECT_EQ(harness.CountWaiting(0), 1);
}

// A tier 0 request waits as long as it can still meet its deadline, and only
// then preempts a lower tier.
TEST(Pool, TopTierPreemptsBeforeItsDeadlineIsLost)
{
    PoolHarness harness(MakeConfigText(1, 1, ",\"slots\":1"));
    std::string low_ticket = harness.Submit(2, "a", 60000, 100, 900);
    harness.Run();
    ASSERT_EQ(harness.running.count(low_ticket), 1u);
    std::string top_ticket = harness.Submit(0, "a", 3000, 100, 50);
    harness.Run();
    EXPECT_TRUE(harness.cancelled.empty());
    harness.now += 800;
    harness.Run();
    ASSERT_EQ(harness.cancelled, std::vector<std::string>{low_ticket});
    harness.EndDispatch(low_ticket, PS_OUTCOME_CANCELLED, 5);
    harness.Run();
    EXPECT_EQ(harness.running.count(top_ticket), 1u);
}

TEST(Pool, ImpossibleDeadlineIsRefusedAtOnce)
{
    PoolHarness harness(MakeConfigText(2, 1));
    harness.Submit(0, "a", 100, 8000, 500);
    EXPECT_EQ(harness.refused, std::vector<std::string>{"deadline"});
}

TEST(Pool, TeamsShareByWeight)
{
    PoolHarness harness(MakeConfigText(1, 1, ",\"slots\":2"));
    for (int i = 0; i < 300; i++) {
        harness.Submit(1, "big", 600000);
        harness.Submit(1, "small", 600000);
    }
    for (int i = 0; i < 120; i++) {
        harness.Run();
        harness.now += 100;
        harness.EndDispatch(harness.running.begin()->first,
                            PS_OUTCOME_COMPLETE);
    }
    double ratio = harness.granted_work["big"] / harness.granted_work["small"];
    EXPECT_NEAR(ratio, 2.0, 0.2);
}

TEST(Pool, OneTeamsBurstDoesNotDelayAnother)
{
    PoolHarness harness(MakeConfigText(1, 1, ",\"slots\":1"));
    for (int i = 0; i < 200; i++) {
        harness.Submit(1, "loud", 600000);
    }
    harness.Run();
    std::string small_ticket = harness.Submit(1, "quiet", 600000);
    for (int i = 0; i < 2; i++) {
        harness.EndDispatch(harness.running.begin()->first,
                            PS_OUTCOME_COMPLETE);
        harness.Run();
    }
    EXPECT_EQ(harness.unanswered.count(small_ticket), 0u);
}

// Callers keep sending a request content that crashes every server it runs on.
// Other requests that ran on these servers must not be refused for it.
RC_GTEST_PROP(Pool, CrashingContentCrashesAtMostTwoServers, ())
{
    PoolHarness harness(MakeConfigText(9, 1));
    const uint64_t crashing_hash = 4711;
    int crashes = 0;
    int crashing_refused = 0;
    int others_refused = 0;
    uint64_t next = 100000;
    for (int i = 0; i < 120; i++) {
        harness.now += *rc::gen::inRange(1, 300);
        bool is_crashing = *rc::gen::inRange(0, 3) == 0;
        size_t refused_before = harness.refused.size();
        harness.Submit(1, "a", 60000, 100, 50,
                       is_crashing ? crashing_hash : ++next);
        harness.Run();
        if (harness.refused.size() > refused_before) {
            bool is_final = harness.last_code == "crashes_servers";
            crashing_refused += is_crashing && is_final;
            others_refused += !is_crashing;
        }
        // The crashing content ends all requests that run on its server.
        std::string crashed_server;
        for (auto &[ticket, server] : harness.running) {
            ps_name_t name = ToName(ticket);
            ps_job_t *job = PsPool_GetJob(&harness.pool, &name);
            if (job && job->request.content_hash == crashing_hash) {
                crashed_server = server;
            }
        }
        if (!crashed_server.empty()) {
            crashes++;
            std::vector<std::string> on_server;
            for (auto &[ticket, server] : harness.running) {
                if (server == crashed_server) {
                    on_server.push_back(ticket);
                }
            }
            for (auto &ticket : on_server) {
                harness.EndDispatch(ticket, PS_OUTCOME_BROKEN);
            }
        }
        else if (harness.running.size() > 4) {
            harness.EndDispatch(harness.running.begin()->first,
                                PS_OUTCOME_COMPLETE);
        }
    }
    RC_ASSERT(crashes <= 2);
    RC_ASSERT(others_refused == 0);
    RC_ASSERT(crashing_refused > 0);
}

TEST(Pool, UnreachableServerIsTriedAgainWithOneRequest)
{
    PoolHarness harness(MakeConfigText(1, 1));
    std::string first = harness.Submit(1, "a", 60000);
    harness.Run();
    harness.EndDispatch(first, PS_OUTCOME_UNREACHABLE);
    std::string second = harness.Submit(1, "a", 60000);
    std::string third = harness.Submit(1, "a", 60000);
    harness.Run();
    EXPECT_EQ(harness.running.size(), 0u);
    harness.now += 600;
    harness.Run();
    EXPECT_EQ(harness.running.size(), 1u);
    harness.EndDispatch(harness.running.begin()->first, PS_OUTCOME_COMPLETE);
    harness.Run();
    EXPECT_EQ(harness.unanswered.size(), 0u);
}

// Server e1 takes 200 ms for a token, e2 20 ms.
TEST(Pool, SlowServerGetsFewerRequests)
{
    PoolHarness harness(MakeConfigText(2, 1));
    std::map<std::string, int> placed;
    for (int i = 0; i < 200; i++) {
        std::string ticket = harness.Submit(1, "a", 60000, 100, 50);
        harness.Run();
        ASSERT_EQ(harness.running.count(ticket), 1u);
        std::string server = harness.running[ticket];
        placed[server] += i >= 100 ? 1 : 0;
        ps_name_t name = ToName(ticket);
        int64_t step = server == "e1" ? 200 : 20;
        PsPool_AddProgress(&harness.pool, &name, 1, harness.now + 50);
        PsPool_AddProgress(&harness.pool, &name, 21,
                           harness.now + 50 + 20 * step);
        ps_dispatch_result_t end = {PS_OUTCOME_COMPLETE, 50, 50 + 50 * step,
                                    50};
        harness.now += 100;
        PsPool_EndDispatch(&harness.pool, &name, &end, harness.now);
        harness.running.erase(ticket);
    }
    EXPECT_LT(placed["e1"], 20);
    EXPECT_GT(placed["e2"], 80);
}
