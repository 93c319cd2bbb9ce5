// test_pool.cpp - A pool's decisions: tiers, teams, servers, suspects.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "kernel.hpp"

namespace {

// A pool whose events are recorded and checked as they come.
class Bench {
  public:
    explicit Bench(const std::string &text, const char *pool_name = "m")
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
    ~Bench()
    {
        PsPool_Finish(&pool);
        PsConfig_Finish(&config);
    }

    // Submits a request; returns its ticket.
    std::string
    Submit(int tier, const std::string &team, int64_t deadline,
           uint32_t prompt = 100, uint32_t tokens = 50, uint64_t hash = 0)
    {
        ps_grant_request_t ask = {};
        std::string ticket = "t" + std::to_string(++count);
        ask.ticket = ToName(ticket);
        ask.team = ToName(team);
        ask.model = ToName("x");
        ask.tier = tier;
        ask.idempotent = true;
        ask.deadline_ms = now + deadline;
        ask.prompt_tokens = prompt;
        ask.max_tokens = tokens;
        ask.content_hash = hash;
        open.insert(ticket);
        PsPool_Submit(&pool, &ask, now);
        return ticket;
    }
    void
    End(const std::string &ticket, ps_outcome_t outcome, uint32_t tokens = 50)
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
    Waiting(int tier) const
    {
        return (int)pool.queue.tiers[tier].jobs.length;
    }

    ps_config_t config;
    ps_pool_t pool;
    int64_t now = 1000;
    int count = 0;
    std::set<std::string> open;                 // no answer yet
    std::map<std::string, std::string> running; // ticket to server
    std::map<std::string, double> work;         // granted, by team
    std::vector<std::string> refused;           // codes
    std::vector<std::string> cancelled;
    std::string last_code;
    std::set<std::string> faults; // broken rules found in events

  private:
    void
    Check(bool is_kept, const char *rule)
    {
        if (!is_kept) {
            faults.insert(rule);
        }
    }
    static void
    OnGrant(ps_pool_t *pool, ps_job_t *job, const char *)
    {
        auto *self = (Bench *)pool->user;
        const ps_server_t &server = pool->servers[job->server];
        self->Check(server.config.state == PS_SERVER_JOINING, "leaving");
        self->Check(server.is_listed, "listed");
        for (int t = 0; t < job->request.tier; t++) {
            self->Check(!self->HasPlainWaiting(t), "tier order");
        }
        int limit = pool->slots > 0 ? pool->slots : PS_POOL_SERVERS_MAX;
        self->Check((int)server.running.length <= limit, "slots");
        if (job->request.tier > 0 && pool->slots > 0) {
            self->Check((int)server.running.length <=
                            pool->slots - pool->reserved_slots,
                        "kept slots");
        }
        self->Check(self->open.erase(ToString(job->request.ticket)) == 1,
                    "one end");
        self->running[ToString(job->request.ticket)] =
            ToString(server.config.name);
        self->work[ToString(job->request.team)] += job->work;
        self->Check(pool->n_suspects_running <= 1, "suspects");
    }
    static void
    OnRefuse(ps_pool_t *pool, const ps_grant_request_t *ask,
             const ps_refusal_t *refusal, const char *)
    {
        auto *self = (Bench *)pool->user;
        self->last_code = refusal->code;
        self->refused.push_back(refusal->code);
        self->Check(self->open.erase(ToString(ask->ticket)) == 1, "one end");
        self->Check(refusal->ran == PS_RAN_NO, "ran");
        if (self->last_code == "capacity") {
            self->Check(refusal->retry_after_ms > 0, "retry after");
            for (int t = ask->tier + 1; t < PS_TIERS_MAX; t++) {
                self->Check(self->Waiting(t) == 0, "lower tier waits");
                self->Check(pool->granted_by_tier[t] == 0,
                            "lower tier served");
            }
        }
    }
    static void
    OnCancel(ps_pool_t *pool, ps_job_t *job, const char *)
    {
        auto *self = (Bench *)pool->user;
        self->cancelled.push_back(ToString(job->request.ticket));
    }
    int
    HasPlainWaiting(int tier) const
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

// Any burst and mix of tiers, teams, lengths, ends and server marks.
RC_GTEST_PROP(Pool, KeepsItsRulesUnderAnyMix, ())
{
    bool has_slots = *rc::gen::arbitrary<bool>();
    std::string extra =
        has_slots ? ",\"slots\":3,\"kept_slots\":1,\"queue_limit\":12"
                  : ",\"queue_limit\":30";
    Bench bench(MakeConfigText(3, 1, extra));
    int steps = *rc::gen::inRange(20, 200);
    for (int i = 0; i < steps; i++) {
        int what = *rc::gen::inRange(0, 12);
        if (what < 6) {
            std::string team =
                "team" + std::to_string(*rc::gen::inRange(0, 3));
            uint64_t hash = (uint64_t)*rc::gen::inRange(0, 30);
            bench.Submit(*rc::gen::inRange(0, 3), team,
                         *rc::gen::inRange(200, 30000),
                         (uint32_t)*rc::gen::inRange(1, 8000),
                         (uint32_t)*rc::gen::inRange(1, 900), hash);
        }
        else if (what < 10 && !bench.running.empty()) {
            auto it = bench.running.begin();
            std::advance(it,
                         *rc::gen::inRange<int>(0, (int)bench.running.size()));
            static const ps_outcome_t outcomes[] = {
                PS_OUTCOME_COMPLETE, PS_OUTCOME_COMPLETE, PS_OUTCOME_CANCELLED,
                PS_OUTCOME_REFUSED, PS_OUTCOME_BROKEN};
            bench.End(it->first, outcomes[*rc::gen::inRange(0, 5)],
                      (uint32_t)*rc::gen::inRange(1, 900));
        }
        else if (what == 10) {
            int server = *rc::gen::inRange(0, 3);
            bench.pool.servers[server].config.state =
                (ps_server_state_t)*rc::gen::inRange(0, 3);
        }
        bench.now += *rc::gen::inRange(0, 500);
        bench.Run();
        RC_ASSERT(bench.faults == std::set<std::string>{});
    }
    // What still waits is given up by its deadline, never held past it.
    for (int i = 0; i < 400; i++) {
        bench.now += 100;
        bench.Run();
    }
    RC_ASSERT(bench.open.empty());
    RC_ASSERT(bench.faults == std::set<std::string>{});
}

TEST(Pool, LowerTierYieldsInAFullQueue)
{
    Bench bench(MakeConfigText(1, 1, ",\"slots\":1,\"queue_limit\":2"));
    bench.Submit(2, "a", 60000);
    bench.Run();
    bench.Submit(2, "a", 60000);
    bench.Submit(1, "a", 60000);
    EXPECT_TRUE(bench.refused.empty());
    bench.Submit(0, "a", 60000);
    EXPECT_EQ(bench.refused, std::vector<std::string>{"capacity"});
    EXPECT_EQ(bench.Waiting(2), 0);
    EXPECT_EQ(bench.Waiting(1), 1);
    EXPECT_EQ(bench.Waiting(0), 1);
}

TEST(Pool, TopTierTakesAGrantBackBeforeItIsLost)
{
    Bench bench(MakeConfigText(1, 1, ",\"slots\":1"));
    std::string low = bench.Submit(2, "a", 60000, 100, 900);
    bench.Run();
    ASSERT_EQ(bench.running.count(low), 1u);
    std::string top = bench.Submit(0, "a", 3000, 100, 50);
    bench.Run();
    EXPECT_TRUE(bench.cancelled.empty());
    bench.now += 800;
    bench.Run();
    ASSERT_EQ(bench.cancelled, std::vector<std::string>{low});
    bench.End(low, PS_OUTCOME_CANCELLED, 5);
    bench.Run();
    EXPECT_EQ(bench.running.count(top), 1u);
}

TEST(Pool, ImpossibleDeadlineIsRefusedAtOnce)
{
    Bench bench(MakeConfigText(2, 1));
    bench.Submit(0, "a", 100, 8000, 500);
    EXPECT_EQ(bench.refused, std::vector<std::string>{"deadline"});
}

TEST(Pool, TeamsShareByWeight)
{
    Bench bench(MakeConfigText(1, 1, ",\"slots\":2"));
    for (int i = 0; i < 300; i++) {
        bench.Submit(1, "big", 600000);
        bench.Submit(1, "small", 600000);
    }
    for (int i = 0; i < 120; i++) {
        bench.Run();
        bench.now += 100;
        bench.End(bench.running.begin()->first, PS_OUTCOME_COMPLETE);
    }
    double ratio = bench.work["big"] / bench.work["small"];
    EXPECT_NEAR(ratio, 2.0, 0.2);
}

TEST(Pool, OneTeamsBurstDoesNotDelayAnother)
{
    Bench bench(MakeConfigText(1, 1, ",\"slots\":1"));
    for (int i = 0; i < 200; i++) {
        bench.Submit(1, "loud", 600000);
    }
    bench.Run();
    std::string quiet = bench.Submit(1, "quiet", 600000);
    for (int i = 0; i < 2; i++) {
        bench.End(bench.running.begin()->first, PS_OUTCOME_COMPLETE);
        bench.Run();
    }
    EXPECT_EQ(bench.open.count(quiet), 0u);
}

// A content that kills each server it runs on, sent without end.
RC_GTEST_PROP(Pool, ACrashingContentCostsAtMostTwoServers, ())
{
    Bench bench(MakeConfigText(9, 1));
    const uint64_t culprit = 4711;
    int deaths = 0;
    int culprit_refused = 0;
    int companions_refused = 0;
    uint64_t next = 100000;
    for (int i = 0; i < 120; i++) {
        bench.now += *rc::gen::inRange(1, 300);
        bool is_culprit = *rc::gen::inRange(0, 3) == 0;
        size_t before = bench.refused.size();
        bench.Submit(1, "a", 60000, 100, 50, is_culprit ? culprit : ++next);
        bench.Run();
        if (bench.refused.size() > before) {
            bool is_final = bench.last_code == "crashes_servers";
            culprit_refused += is_culprit && is_final;
            companions_refused += !is_culprit;
        }
        // A running culprit kills its server and what runs beside it.
        std::string dead;
        for (auto &[ticket, server] : bench.running) {
            ps_name_t name = ToName(ticket);
            ps_job_t *job = PsPool_GetJob(&bench.pool, &name);
            if (job && job->request.content_hash == culprit) {
                dead = server;
            }
        }
        if (!dead.empty()) {
            deaths++;
            std::vector<std::string> beside;
            for (auto &[ticket, server] : bench.running) {
                if (server == dead) {
                    beside.push_back(ticket);
                }
            }
            for (auto &ticket : beside) {
                bench.End(ticket, PS_OUTCOME_BROKEN);
            }
        }
        else if (bench.running.size() > 4) {
            bench.End(bench.running.begin()->first, PS_OUTCOME_COMPLETE);
        }
    }
    RC_ASSERT(deaths <= 2);
    RC_ASSERT(companions_refused == 0);
    RC_ASSERT(culprit_refused > 0);
}

TEST(Pool, AnUnreachableServerIsTriedAgainOneRequestAtATime)
{
    Bench bench(MakeConfigText(1, 1));
    std::string first = bench.Submit(1, "a", 60000);
    bench.Run();
    bench.End(first, PS_OUTCOME_REFUSED);
    std::string second = bench.Submit(1, "a", 60000);
    std::string third = bench.Submit(1, "a", 60000);
    bench.Run();
    EXPECT_EQ(bench.running.size(), 0u);
    bench.now += 600;
    bench.Run();
    EXPECT_EQ(bench.running.size(), 1u);
    bench.End(bench.running.begin()->first, PS_OUTCOME_COMPLETE);
    bench.Run();
    EXPECT_EQ(bench.open.size(), 0u);
}

TEST(Pool, AServerThatFallsBehindGetsLess)
{
    Bench bench(MakeConfigText(2, 1));
    std::map<std::string, int> placed;
    for (int i = 0; i < 200; i++) {
        std::string ticket = bench.Submit(1, "a", 60000, 100, 50);
        bench.Run();
        ASSERT_EQ(bench.running.count(ticket), 1u);
        std::string server = bench.running[ticket];
        placed[server] += i >= 100 ? 1 : 0;
        ps_name_t name = ToName(ticket);
        int64_t step = server == "e1" ? 200 : 20;
        PsPool_AddProgress(&bench.pool, &name, 1, bench.now + 50);
        PsPool_AddProgress(&bench.pool, &name, 21, bench.now + 50 + 20 * step);
        ps_dispatch_result_t end = {PS_OUTCOME_COMPLETE, 50, 50 + 50 * step,
                                    50};
        bench.now += 100;
        PsPool_EndDispatch(&bench.pool, &name, &end, bench.now);
        bench.running.erase(ticket);
    }
    EXPECT_LT(placed["e1"], 20);
    EXPECT_GT(placed["e2"], 80);
}
