// test_simulation.cpp - Simulates daemons under faults and checks what callers
// may rely on: an id runs at most once, a refusal "not run" is true, an answer
// goes to its own caller, every caller gets an answer or a refusal, and a
// leaving server gets no new requests.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "simulation.hpp"

namespace {

const int kDaemons = 5;
const int kRequests = 40;
const int64_t kLoadMs = 20000;

struct FaultCase {
    const char *name;
    Faults faults;
};

Faults
MakeFaults(std::function<void(Faults &)> set)
{
    Faults faults;
    set(faults);
    return faults;
}

// Each fault alone, then several at once.
std::vector<FaultCase>
GetFaultCases()
{
    return {
        {"none", MakeFaults([](Faults &) {})},
        {"messages lost", MakeFaults([](Faults &f) { f.message_loss = 0.1; })},
        {"daemons crash",
         MakeFaults([](Faults &f) { f.daemon_crash = 0.05; })},
        {"daemons pause",
         MakeFaults([](Faults &f) { f.daemon_pause = 0.08; })},
        {"owners wrongly suspected",
         MakeFaults([](Faults &f) { f.false_suspicion = 0.3; })},
        {"platform outages",
         MakeFaults([](Faults &f) { f.platform_outage = 0.1; })},
        {"write answers lost",
         MakeFaults([](Faults &f) { f.lost_write_answer = 0.3; })},
        {"servers crash", MakeFaults([](Faults &f) { f.server_crash = 0.1; })},
        {"connections refused",
         MakeFaults([](Faults &f) { f.connection_refusal = 0.2; })},
        {"callers send retries",
         MakeFaults([](Faults &f) { f.caller_retry = 0.3; })},
        {"crashes and pauses", MakeFaults([](Faults &f) {
             f.daemon_crash = 0.05;
             f.daemon_pause = 0.08;
             f.caller_retry = 0.2;
         })},
        {"suspicion and lost messages", MakeFaults([](Faults &f) {
             f.false_suspicion = 0.3;
             f.message_loss = 0.1;
             f.caller_retry = 0.2;
         })},
        {"outage and takeover", MakeFaults([](Faults &f) {
             f.platform_outage = 0.1;
             f.false_suspicion = 0.2;
             f.lost_write_answer = 0.2;
             f.daemon_crash = 0.03;
         })},
        {"refusals and lost messages", MakeFaults([](Faults &f) {
             f.connection_refusal = 0.3;
             f.message_loss = 0.2;
             f.caller_retry = 0.2;
         })},
        {"all", MakeFaults([](Faults &f) {
             f.message_loss = 0.05;
             f.daemon_crash = 0.03;
             f.daemon_pause = 0.05;
             f.false_suspicion = 0.1;
             f.platform_outage = 0.05;
             f.lost_write_answer = 0.1;
             f.server_crash = 0.03;
             f.connection_refusal = 0.05;
             f.caller_retry = 0.1;
         })},
    };
}

void
CheckCase(const FaultCase &fault, uint64_t seed, bool is_model)
{
    Simulation simulation(seed, fault.faults, is_model);
    simulation.Run(kDaemons, kRequests, kLoadMs);
    SCOPED_TRACE(std::string(fault.name) + ", seed " + std::to_string(seed));
    EXPECT_LE(simulation.max_dispatches, 1)
        << "an id is dispatched at most once";
    EXPECT_EQ(simulation.wrong_not_run, 0)
        << "a request refused as not run has not run";
    EXPECT_EQ(simulation.wrong_answers, 0)
        << "a caller gets its own, whole answer";
    EXPECT_EQ(simulation.unanswered, 0)
        << "each caller gets an answer or a refusal";
    EXPECT_EQ(simulation.late_dispatches, 0)
        << "a leaving server gets no new requests";
}

// Counts the seeds, of 30, whose simulation violates a check.
int
CountDetections(const Faults &faults, bool is_model,
                std::function<bool(const Simulation &)> is_violated)
{
    int detections = 0;
    for (uint64_t seed = 1; seed <= 30; seed++) {
        Simulation simulation(seed, faults, is_model);
        simulation.Run(kDaemons, kRequests, kLoadMs);
        detections += is_violated(simulation) ? 1 : 0;
    }
    return detections;
}

} // namespace

TEST(Simulation, ModelPoolKeepsGuaranteesUnderListedFaults)
{
    for (const FaultCase &fault : GetFaultCases()) {
        for (uint64_t seed = 1; seed <= 12; seed++) {
            CheckCase(fault, seed, true);
        }
    }
}

TEST(Simulation, ServicePoolKeepsGuaranteesUnderListedFaults)
{
    for (const FaultCase &fault : GetFaultCases()) {
        for (uint64_t seed = 1; seed <= 12; seed++) {
            CheckCase(fault, seed, false);
        }
    }
}

RC_GTEST_PROP(Simulation, KeepsGuaranteesUnderRandomFaults, ())
{
    Faults faults;
    auto draw_probability = [](int max_permille) {
        return (double)*rc::gen::inRange(0, max_permille) / 1000.0;
    };
    faults.message_loss = draw_probability(200);
    faults.daemon_crash = draw_probability(80);
    faults.daemon_pause = draw_probability(100);
    faults.false_suspicion = draw_probability(300);
    faults.platform_outage = draw_probability(100);
    faults.lost_write_answer = draw_probability(300);
    faults.server_crash = draw_probability(80);
    faults.connection_refusal = draw_probability(300);
    faults.caller_retry = draw_probability(300);
    bool is_model = *rc::gen::arbitrary<bool>();
    uint64_t seed = *rc::gen::inRange<uint64_t>(1, 1u << 30);
    Simulation simulation(seed, faults, is_model);
    simulation.Run(kDaemons, kRequests, kLoadMs);
    RC_ASSERT(simulation.max_dispatches <= 1);
    RC_ASSERT(simulation.wrong_not_run == 0);
    RC_ASSERT(simulation.wrong_answers == 0);
    RC_ASSERT(simulation.unanswered == 0);
    RC_ASSERT(simulation.late_dispatches == 0);
}

// Each test below disables one mechanism and expects a check to fail in some
// simulation, so that a check that never fails is noticed.

// Daemons that forget ids run a retried request a second time.
TEST(Simulation, ChecksDetectForgottenIds)
{
    Faults faults;
    faults.forgets_ids = true;
    faults.caller_retry = 0.5;
    faults.false_suspicion = 0.3;
    EXPECT_GT(CountDetections(
                  faults, true,
                  [](const Simulation &s) { return s.ids_run_twice > 0; }),
              0);
}

// Grants of earlier owners or earlier attempts run a request a second time.
TEST(Simulation, ChecksDetectStaleGrants)
{
    Faults faults;
    faults.accepts_stale_grants = true;
    faults.daemon_pause = 0.15;
    faults.false_suspicion = 0.4;
    faults.message_loss = 0.1;
    faults.caller_retry = 0.5;
    EXPECT_GT(CountDetections(
                  faults, true,
                  [](const Simulation &s) { return s.ids_run_twice > 0; }),
              0);
}

// Daemons that ignore the leaving state go on sending requests to the server.
TEST(Simulation, ChecksDetectIgnoredLeavingState)
{
    Faults faults;
    faults.ignores_leaving_state = true;
    EXPECT_GT(CountDetections(
                  faults, true,
                  [](const Simulation &s) { return s.late_dispatches > 0; }),
              0);
}

// Without durable intents a new owner does not know which requests of the
// earlier owner may have run.
TEST(Simulation, ChecksDetectSkippedLedger)
{
    Faults faults;
    faults.skips_ledger = true;
    faults.daemon_crash = 0.1;
    faults.daemon_pause = 0.1;
    faults.caller_retry = 0.3;
    EXPECT_GT(CountDetections(
                  faults, false,
                  [](const Simulation &s) { return s.ids_run_twice > 0; }),
              0);
}
