// test_rollout.cpp - Roll-outs of good and bad versions in virtual time: the
// allocator's decisions and the daemons' placement, with messages of some
// milliseconds, for fleets of several sizes and with faults.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <queue>

#include "kernel.hpp"

extern "C" {
#include "rollout.h"
#include "rollout_use.h"
}

namespace {

const int64_t kStart = 1000000;
const int kSlots = 10;
const uint64_t kOld = 11;
const uint64_t kTarget = 22;

enum Kind { kGood, kAtOnce, kLater, kUnderLoad, kOneRoute, kSlow, kKinds };
const char *const kKindNames[] = {"good",       "bad at once",  "bad later",
                                  "under load", "on one route", "slow"};
enum Fault { kNone, kKills, kCut, kAllocatorLost, kAllocatorFrozen, kStoreDown };

struct Trial {
    Kind kind = kGood;
    int daemons = 9;
    double per_second = 500;
    int64_t duration_ms = 12000;
    unsigned seed = 1;
    Fault fault = kNone;
    bool has_slow_servers = false; // one in three takes five times as long
    bool has_sick_server = false;  // one target server fails every second one
};

struct Outcome {
    ps_rollout_step_t step;
    std::string reason;
    int64_t ended_ms = 0; // since the order; when the status was written
    uint64_t sent = 0;    // to the target until the time limit
    uint64_t total = 0;
    int bad = 0;                  // answers that are the version's fault
    int64_t after_50th_ms = -1;   // until the last request at the target
    int old_running_at_done = 0;
    double share = 0;    // of the answers concerned that are bad
    double evidence = 0; // highest, in units of the threshold
    bool IsWithinBound(double share, double slack) const
    {
        return (double)sent <= share * (double)total + slack;
    }
};

struct Server {
    bool is_target;
    int running = 0;
    double factor = 1;
    int64_t phase_ms = 0;
};

struct Event {
    int64_t at_ms;
    int kind; // 0 sample, 1 end
    int daemon;
    int server;
    uint64_t start; // of the daemon
    ps_rollout_answer_t answer;
    bool is_versions_fault;
    bool operator<(const Event &other) const { return at_ms > other.at_ms; }
};

struct Route {
    double share;
    bool is_stream;
    double first_ms;
    int n_events;
    double natural_failures;
};
// As on the site "cesta", by its rates.
const Route kRoutes[] = {{0.18, true, 150, 48, 0.002},
                         {0.20, true, 60, 36, 0.002},
                         {0.36, true, 40, 3, 0.002},
                         {0.18, false, 15, 0, 0.002},
                         {0.08, false, 15, 0, 0.14}};

class Fleet {
  public:
    explicit Fleet(const Trial &setup) : setup(setup), random(setup.seed)
    {
        // As many servers as carry the load when two thirds are in use.
        int n = std::max(6, (int)(setup.per_second * 0.75 / kSlots / 0.66));
        for (int i = 0; i < 2 * n; i++) {
            Server server;
            server.is_target = i >= n;
            server.phase_ms = (int64_t)(random() % 4000);
            if (setup.has_slow_servers && random() % 3 == 0) {
                server.factor = 5;
            }
            servers.push_back(server);
        }
        sick = setup.has_sick_server ? n + (int)(random() % 3) : -1;
        n_servers = n;
        daemons.resize(setup.daemons);
        for (int i = 0; i < setup.daemons; i++) {
            daemons[i].name = ToName("d" + std::to_string(i));
            daemons[i].next_round_ms = kStart + (int64_t)(random() % 20);
            StartDaemon(daemons[i], kStart);
        }
        interval_ms = std::max<int64_t>(20, (int64_t)(0.3 * setup.daemons));
        share = 0.1 + 0.5 * Uniform();
        bad_route = (int)(random() % 5);
        turns_bad_ms =
            kStart + (int64_t)((0.2 + 0.5 * Uniform()) * setup.duration_ms);
        StartAllocator(kStart + 30, false);
    }
    ~Fleet()
    {
        PsRollout_Finish(&rollout);
        for (Daemon &daemon : daemons) {
            PsRolloutUse_Finish(&daemon.use);
        }
    }

    Outcome Run()
    {
        const int64_t limit_ms = kStart + setup.duration_ms;
        double next_arrival = (double)kStart;
        for (now = kStart; now < limit_ms + 7000; now++) {
            while (!events.empty() && events.top().at_ms <= now) {
                Event event = events.top();
                events.pop();
                HandleEvent(event);
            }
            while (next_arrival <= (double)now) {
                next_arrival +=
                    -std::log(1 - Uniform()) * 1000 / setup.per_second;
                if (!is_old_gone) {
                    Submit(now < limit_ms);
                }
            }
            InjectFaults();
            RunRounds();
        }
        outcome.step = told_final;
        outcome.evidence = rollout.evidence.highest;
        outcome.share = share;
        if (getenv("ROLLOUT_SHOW") &&
            (outcome.step == PS_ROLLOUT_BACK) == (setup.kind == kGood)) {
            const ps_rollout_evidence_t &found = rollout.evidence;
            printf("seed %u: %s after %lld ms, route %u, sample %d, %llu bad "
                   "of %llu, expected %.1f, evidence %.2f, share %.2f\n",
                   setup.seed, outcome.reason.c_str(),
                   (long long)outcome.ended_ms, found.bad_route,
                   (int)found.bad_sample,
                   (unsigned long long)found.bad_answers,
                   (unsigned long long)found.answers, found.expected_bad,
                   found.highest, share);
        }
        return outcome;
    }

  private:
    struct Daemon {
        ps_name_t name;
        ps_rollout_use_t use = {};
        int64_t next_round_ms;
        uint64_t start = 0;
        int64_t dead_until_ms = 0;
        int running_old = 0;
    };
    struct Message {
        int64_t at_ms;
        int daemon;
        bool is_grant;
        // report
        uint64_t arrived, sent, first;
        int running_old;
        ps_rollout_step_t step;
        std::vector<ps_rollout_answer_t> answers;
        uint64_t start;
        // grant
        uint64_t limit;
    };

    Trial setup;
    std::mt19937 random;
    std::vector<Server> servers;
    std::vector<Daemon> daemons;
    std::priority_queue<Event> events;
    std::deque<Message> messages;
    ps_rollout_t rollout = {};
    Outcome outcome;
    int n_servers;
    int sick;
    int64_t interval_ms;
    int64_t now = kStart;
    double share;
    int bad_route;
    int64_t turns_bad_ms;
    int64_t fiftieth_ms = 0;
    bool has_allocator = false;
    int64_t no_allocator_until_ms = 0;
    bool is_taken_over = false;
    int64_t next_allocator_ms = 0;
    int64_t next_record_ms = 0;
    int64_t write_due_ms = 0;
    int64_t last_write_ms = 0;
    uint64_t record_arrived = 0, record_sent = 0;
    ps_rollout_step_t told_final = PS_ROLLOUT_CANARY;
    bool is_old_gone = false;
    int slot_offset = 0;
    bool has_killed = false;

    double Uniform() { return random() / 4294967296.0; }
    bool Happens(double p) { return Uniform() < p; }

    void StartDaemon(Daemon &daemon, int64_t at_ms)
    {
        PsRolloutUse_Finish(&daemon.use);
        daemon.use = {};
        daemon.use.is_on = true;
        daemon.start++;
        const uint64_t versions[] = {kOld, kTarget};
        PsRolloutUse_SetVersions(&daemon.use, versions, 2, at_ms);
        PsRolloutUse_SetOrder(&daemon.use, 1, kTarget, PS_ROLLOUT_CANARY);
        daemon.running_old = 0;
    }

    void StartAllocator(int64_t at_ms, bool is_next)
    {
        if (is_next) {
            PsRollout_Finish(&rollout);
        }
        ps_rollout_order_t order = {kStart, kStart + setup.duration_ms, 0.1,
                                    50};
        PsRollout_Init(&rollout, &order, at_ms);
        if (is_next) {
            PsRollout_Restore(&rollout, record_arrived, record_sent);
            for (Daemon &daemon : daemons) {
                daemon.use.next_report = daemon.use.first_answer;
            }
        }
        rollout.write_ms = 70;
        write_due_ms = 0; // the last allocator's write was lost with it
        has_allocator = true;
        next_allocator_ms = at_ms;
    }

    bool IsStoreDown() const
    {
        return setup.fault == kStoreDown && now > kStart + 2500 &&
               now < kStart + 5500;
    }

    bool IsCut(int daemon) const
    {
        return setup.fault == kCut && daemon % 3 == 1 && now > kStart + 2500 &&
               now < kStart + 4500;
    }

    void InjectFaults()
    {
        int64_t at = now - kStart;
        if (setup.fault == kKills && at % 700 == 350) {
            Daemon &daemon = daemons[random() % daemons.size()];
            if (daemon.dead_until_ms <= now) {
                StartDaemon(daemon, now);
                daemon.dead_until_ms = now + 500;
            }
        }
        if (setup.fault == kAllocatorLost && !has_killed && at >= 3000) {
            has_killed = true;
            has_allocator = false;
            messages.clear();
            no_allocator_until_ms = now + 950;
        }
        if (!has_allocator && now >= no_allocator_until_ms) {
            StartAllocator(now, true);
        }
    }

    bool IsAllocatorRunning() const
    {
        bool is_frozen = setup.fault == kAllocatorFrozen &&
                         (now - kStart) % 3000 > 2300;
        return has_allocator && !is_frozen;
    }

    bool IsUp(int i) const { return now >= daemons[i].dead_until_ms; }

    // Whether an answer of the target has a fault of the version.
    bool IsBad(int route, int running) const
    {
        switch (setup.kind) {
        case kAtOnce:
        case kSlow:
            return true;
        case kLater:
            return now >= turns_bad_ms;
        case kUnderLoad:
            return running >= (int)(0.7 * kSlots);
        case kOneRoute:
            return route == bad_route;
        default:
            return false;
        }
    }

    int PickServer(bool is_target)
    {
        if (is_target) {
            for (int i = 0; i < n_servers; i++) {
                if (rollout.step == PS_ROLLOUT_CANARY &&
                    PsRollout_IsInUse(&rollout, i, now) &&
                    servers[n_servers + i].running < kSlots) {
                    return n_servers + i;
                }
            }
            if (rollout.step == PS_ROLLOUT_CANARY) {
                return -1;
            }
        }
        int first = is_target ? n_servers : 0;
        int best = -1;
        for (int i = 0; i < 3; i++) {
            int one = first + (int)(random() % n_servers);
            if (best < 0 || servers[one].running < servers[best].running) {
                best = one;
            }
        }
        return best;
    }

    void Submit(bool is_in_time)
    {
        int index = (int)(random() % daemons.size());
        if (!IsUp(index)) {
            index = (index + 1) % (int)daemons.size();
        }
        Daemon &daemon = daemons[index];
        outcome.total += is_in_time ? 1 : 0;
        PsRolloutUse_AddArrival(&daemon.use);
        int route = 0;
        double u = Uniform();
        while (route < 4 && u > kRoutes[route].share) {
            u -= kRoutes[route++].share;
        }
        ps_rollout_request_t request = {
            (uint32_t)route + 100,
            1.35 * (kRoutes[route].first_ms + 28 * kRoutes[route].n_events)};
        bool is_target =
            PsRolloutUse_MayPlace(&daemon.use, &request, kTarget, now);
        int at = is_target ? PickServer(true) : -1;
        if (at < 0) {
            is_target = false;
            if (!PsRolloutUse_MayPlace(&daemon.use, &request, kOld, now)) {
                return;
            }
            at = PickServer(false);
        }
        Server &server = servers[at];
        PsRolloutUse_AddStart(&daemon.use, is_target ? kTarget : kOld);
        if (is_target) {
            outcome.sent += is_in_time ? 1 : 0;
            if (fiftieth_ms > 0 && !is_old_gone) {
                outcome.after_50th_ms = now - fiftieth_ms;
            }
        }
        else {
            daemon.running_old++;
        }
        bool is_bad =
            is_target && IsBad(route, server.running) && Happens(share);
        server.running++;
        Send(index, at, route, is_bad);
    }

    void Send(int index, int at, int route, bool is_bad)
    {
        const Route &kind = kRoutes[route];
        Server &server = servers[at];
        std::normal_distribution<double> noise(0, 0.25);
        double factor =
            server.factor * (1 + 0.5 * server.running / kSlots) *
            ((now + server.phase_ms) % 4000 < 570 ? 2.5 : 1);
        bool is_slow = is_bad && setup.kind == kSlow;
        factor *= is_slow ? 3 + 3 * Uniform() : 1;
        bool is_failed = (is_bad && !is_slow) ||
                         Happens(kind.natural_failures) ||
                         (at == sick && Happens(0.5));
        double first = kind.first_ms * factor * std::exp(noise(random));
        double pace = 28 * factor * std::exp(noise(random));
        double total = first + pace * kind.n_events;
        ps_rollout_answer_t answer = {(uint32_t)route + 100, (uint32_t)at + 1,
                                      server.is_target, 0, 0};
        Event event = {0, 0, index, at, daemons[index].start, answer, false};
        if (kind.is_stream) {
            event.answer.sample = PS_ROLLOUT_FIRST_EVENT;
            event.answer.bucket = PsRolloutEvidence_GetBucket(first / kind.first_ms);
            event.at_ms = now + (int64_t)first;
            event.is_versions_fault = is_slow;
            events.push(event);
            event.answer.sample = PS_ROLLOUT_PACE;
            event.answer.bucket = PsRolloutEvidence_GetBucket(pace / 28);
            event.at_ms =
                now + (int64_t)(first + pace * std::min(kind.n_events, 4));
            event.is_versions_fault = false;
            events.push(event);
        }
        else {
            event.answer.sample = PS_ROLLOUT_TOTAL;
            event.answer.bucket = PsRolloutEvidence_GetBucket(first / kind.first_ms);
            event.at_ms = now + (int64_t)first;
            event.is_versions_fault = is_slow;
            events.push(event);
        }
        event.kind = 1;
        event.answer.bucket = 0;
        event.answer.sample = is_failed ? PS_ROLLOUT_FAILED : PS_ROLLOUT_GOOD;
        event.is_versions_fault = is_bad && !is_slow;
        event.at_ms =
            now + (int64_t)(is_failed ? total * Uniform() : total) + 1;
        events.push(event);
    }

    void HandleEvent(const Event &event)
    {
        Daemon &daemon = daemons[event.daemon];
        if (event.is_versions_fault) {
            outcome.bad++;
            if (outcome.bad == 50) {
                fiftieth_ms = now;
                outcome.after_50th_ms = 0;
            }
        }
        if (event.kind == 1) {
            servers[event.server].running--;
        }
        if (event.start != daemon.start) {
            return;
        }
        if (event.kind == 1 && !event.answer.is_target) {
            daemon.running_old--;
        }
        PsRolloutUse_AddAnswer(&daemon.use, &event.answer);
    }

    void SendReport(int index)
    {
        Daemon &daemon = daemons[index];
        ps_rollout_use_t &use = daemon.use;
        Message message = {};
        message.at_ms = now + 2;
        message.daemon = index;
        message.arrived = use.arrived;
        message.sent = use.sent;
        message.running_old = daemon.running_old;
        message.step = use.step;
        message.start = daemon.start;
        message.first = use.next_report;
        uint64_t end = use.first_answer + use.answers->len;
        for (int n = 0; use.next_report < end && n < 500; n++) {
            message.answers.push_back(
                g_array_index(use.answers, ps_rollout_answer_t,
                              use.next_report++ - use.first_answer));
        }
        messages.push_back(message);
    }

    void HandleReport(const Message &message)
    {
        const ps_name_t &name = daemons[message.daemon].name;
        PsRollout_HandleUse(&rollout, &name, message.arrived, message.sent,
                            message.running_old, now);
        PsRollout_HandleStep(&rollout, message.step);
        ps_rollout_daemon_t *known = PsRollout_GetDaemon(&rollout, &name);
        for (size_t i = 0; i < message.answers.size(); i++) {
            if (message.first + i >= known->next_answer) {
                known->next_answer = message.first + i + 1;
                PsRollout_HandleAnswer(&rollout, &message.answers[i], now);
            }
        }
    }

    // Free slots at the target's servers in use go round the daemons.
    void GrantSlots()
    {
        PsRollout_SetServers(&rollout, n_servers, n_servers, kSlots);
        int free = 0;
        for (int i = 0; i < n_servers; i++) {
            free += PsRollout_IsInUse(&rollout, i, now)
                        ? std::max(kSlots - servers[n_servers + i].running, 0)
                        : 0;
        }
        int d = (int)daemons.size();
        for (Daemon &daemon : daemons) {
            PsRollout_GetDaemon(&rollout, &daemon.name)->free_slots = free / d;
        }
        for (int i = 0; i < free % d; i++) {
            const ps_name_t &name = daemons[(slot_offset + i) % d].name;
            PsRollout_GetDaemon(&rollout, &name)->free_slots++;
        }
        slot_offset = (slot_offset + free % d) % d;
    }

    void RunAllocator()
    {
        next_allocator_ms = now + interval_ms;
        GrantSlots();
        PsRollout_Run(&rollout, now);
        PsRollout_Divide(&rollout, (int)daemons.size(), now);
        bool is_final = rollout.step >= PS_ROLLOUT_DONE;
        if (is_final && !rollout.is_written && write_due_ms == 0) {
            write_due_ms = now + 20 + (int64_t)(random() % 100);
            last_write_ms = now;
        }
        if (write_due_ms > 0 && now >= write_due_ms) {
            write_due_ms = IsStoreDown() ? now + 300 : 0;
            if (write_due_ms == 0) {
                FinishRollout();
            }
        }
        if (now >= next_record_ms && !IsStoreDown()) {
            next_record_ms = now + 500;
            record_arrived = PsRollout_CountArrived(&rollout);
            record_sent = PsRollout_CountSent(&rollout);
        }
        for (size_t i = 0; i < daemons.size(); i++) {
            Message grant = {};
            grant.at_ms = now + 2;
            grant.daemon = (int)i;
            grant.is_grant = true;
            grant.step = PsRollout_GetToldStep(&rollout);
            grant.start = daemons[i].start;
            grant.limit =
                PsRollout_GetDaemon(&rollout, &daemons[i].name)->limit;
            messages.push_back(grant);
        }
    }

    void FinishRollout()
    {
        if (told_final != PS_ROLLOUT_CANARY) {
            rollout.step = told_final;
            rollout.is_written = true;
            return;
        }
        rollout.is_written = true;
        told_final = rollout.step;
        outcome.reason = rollout.reason;
        outcome.ended_ms = now - kStart;
        if (told_final == PS_ROLLOUT_DONE) {
            is_old_gone = true;
            for (const Daemon &daemon : daemons) {
                outcome.old_running_at_done += daemon.running_old;
            }
            // All later requests go to the target.
            double left = (double)(kStart + setup.duration_ms - now);
            if (left > 0) {
                double n = left * setup.per_second / 1000;
                outcome.sent += (uint64_t)n;
                outcome.total += (uint64_t)n;
            }
        }
    }

    void RunRounds()
    {
        for (size_t i = 0; i < daemons.size(); i++) {
            if (now >= daemons[i].next_round_ms && IsUp((int)i)) {
                daemons[i].next_round_ms = now + interval_ms;
                if (has_allocator && now >= kStart + 30) {
                    SendReport((int)i);
                }
            }
        }
        size_t n = messages.size();
        std::deque<Message> later;
        for (size_t i = 0; i < n; i++) {
            const Message &message = messages[i];
            bool is_lost = IsCut(message.daemon) || !IsUp(message.daemon) ||
                           daemons[message.daemon].start != message.start;
            if (message.at_ms > now ||
                (!message.is_grant && !IsAllocatorRunning())) {
                later.push_back(message);
            }
            else if (is_lost) {
                continue;
            }
            else if (message.is_grant) {
                ps_rollout_use_t *use = &daemons[message.daemon].use;
                PsRolloutUse_SetOrder(use, 1, kTarget, message.step);
                PsRolloutUse_SetLimit(use, message.limit, now + 400);
                use->done_ms = PsRollout_GetDoneTime(&rollout);
                use->n_held_routes = PsRollout_ListHeldRoutes(
                    &rollout, use->held_routes);
            }
            else {
                HandleReport(message);
            }
        }
        messages.swap(later);
        if (IsAllocatorRunning() && now >= next_allocator_ms) {
            RunAllocator();
        }
    }
};

struct Summary {
    int runs = 0;
    int done = 0;
    int back = 0;
    int missed = 0;    // with at least 0.3 of the answers concerned bad
    int clear = 0;     // versions of that kind
    int over = 0;      // exposure above the bound
    int late = 0;      // not ended by the time limit
    int too_long = 0;  // sent later than 5 s after the 50th bad answer
    int64_t worst_ms = -1;
    double worst_use = 0; // of the bound
    std::vector<double> ends;
    std::vector<double> evidence;
    int old_running = 0;
    std::map<std::string, int> reasons;
};

// Runs this many seeds, or as many as ROLLOUT_SEEDS says, and prints the
// shares. ROLLOUT_SHOW prints a line for each false alarm and miss.
Summary
RunSeeds(Trial setup, const char *title, int n_seeds = 50)
{
    const char *text = getenv("ROLLOUT_SEEDS");
    int seeds = text ? atoi(text) : n_seeds;
    Summary sum;
    for (int i = 1; i <= seeds; i++) {
        setup.seed = (unsigned)i * 7919;
        Outcome outcome = Fleet(setup).Run();
        sum.runs++;
        sum.done += outcome.step == PS_ROLLOUT_DONE ? 1 : 0;
        sum.back += outcome.step == PS_ROLLOUT_BACK ? 1 : 0;
        sum.reasons[outcome.reason]++;
        sum.late += outcome.ended_ms == 0 ||
                            outcome.ended_ms > setup.duration_ms
                        ? 1
                        : 0;
        bool is_bad = setup.kind != kGood;
        double bound = 0.1 * (double)outcome.total + 50;
        if (is_bad) {
            sum.clear += outcome.share >= 0.3 ? 1 : 0;
            sum.missed += outcome.share >= 0.3 &&
                                  outcome.step != PS_ROLLOUT_BACK
                              ? 1
                              : 0;
            sum.over += (double)outcome.sent > bound ? 1 : 0;
            sum.worst_use =
                std::max(sum.worst_use, (double)outcome.sent / bound);
            sum.worst_ms = std::max(sum.worst_ms, outcome.after_50th_ms);
            sum.too_long += outcome.after_50th_ms > 5000 ? 1 : 0;
        }
        sum.ends.push_back((double)outcome.ended_ms / 1000);
        sum.evidence.push_back(outcome.evidence);
        sum.old_running += outcome.old_running_at_done;
    }
    std::sort(sum.ends.begin(), sum.ends.end());
    std::sort(sum.evidence.begin(), sum.evidence.end());
    printf("%-13s %2d daemons %4.0f/s %2lld s %s: done %.1f%%, rolled back "
           "%.1f%% (missed %d of %d clear ones), late %d, over %d (most %.2f of the bound), >5 s %d (most "
           "%.2f s), end median %.1f s, old at done %.1f, evidence %.2f to %.2f;",
           kKindNames[setup.kind], setup.daemons, setup.per_second,
           (long long)setup.duration_ms / 1000, title,
           100.0 * sum.done / sum.runs, 100.0 * sum.back / sum.runs, sum.missed, sum.clear, sum.late,
           sum.over, sum.worst_use, sum.too_long,
           sum.worst_ms < 0 ? 0.0 : (double)sum.worst_ms / 1000,
           sum.ends[sum.ends.size() / 2],
           sum.done > 0 ? (double)sum.old_running / sum.done : 0.0,
           sum.evidence[0], sum.evidence.back());
    for (const auto &reason : sum.reasons) {
        printf(" %s: %d", reason.first.c_str(), reason.second);
    }
    printf("\n");
    fflush(stdout);
    return sum;
}

// Guards against false alarms and misses, for each kind of version and size of
// fleet.
TEST(Rollout, Kinds)
{
    for (int daemons : {3, 9, 68}) {
        for (int kind = 0; kind < kKinds; kind++) {
            Trial setup;
            setup.kind = (Kind)kind;
            setup.daemons = daemons;
            Summary sum = RunSeeds(setup, "");
            EXPECT_EQ(sum.over, 0) << kKindNames[kind];
        }
    }
}

// Guards against loss of power with short and long orders, and little and much
// traffic.
TEST(Rollout, Sizes)
{
    for (int64_t duration_ms : {6000, 12000, 30000}) {
        for (double per_second : {200.0, 1000.0}) {
            for (int kind = 0; kind < kKinds; kind++) {
                Trial trial;
                trial.kind = (Kind)kind;
                trial.duration_ms = duration_ms;
                trial.per_second = per_second;
                Summary sum = RunSeeds(trial, "");
                EXPECT_EQ(sum.over, 0) << kKindNames[kind];
            }
        }
    }
}

// Guards against more exposure, and false alarms, when daemons are killed, cut
// off, or the allocator or the store is away.
TEST(Rollout, Faults)
{
    const std::pair<Fault, const char *> faults[] = {
        {kKills, "(daemons killed)"},
        {kCut, "(a third cut off)"},
        {kAllocatorLost, "(allocator lost)"},
        {kAllocatorFrozen, "(allocator frozen)"},
        {kStoreDown, "(store down)"}};
    for (const auto &fault : faults) {
        for (Kind kind : {kGood, kAtOnce, kLater}) {
            Trial trial;
            trial.kind = kind;
            trial.fault = fault.first;
            Summary sum = RunSeeds(trial, fault.second);
            EXPECT_EQ(sum.over, 0) << kKindNames[kind];
            EXPECT_EQ(sum.too_long, 0) << kKindNames[kind];
        }
    }
}

// Guards against a verdict without evidence.
TEST(Rollout, LittleTraffic)
{
    for (double per_second : {1.0, 5.0, 20.0}) {
        for (Kind kind : {kGood, kAtOnce}) {
            Trial trial;
            trial.kind = kind;
            trial.per_second = per_second;
            Summary sum = RunSeeds(trial, "(little traffic)");
            EXPECT_EQ(sum.over, 0) << kKindNames[kind];
        }
    }
}

// Guards against false alarms by single servers: one in three servers of both
// versions is slow, or one of the target fails every second request.
TEST(Rollout, SickServers)
{
    for (int daemons : {9, 68}) {
        Trial trial;
        trial.daemons = daemons;
        trial.has_slow_servers = true;
        Summary slow = RunSeeds(trial, "(slow servers)");
        EXPECT_LE(slow.back, slow.runs * 0.04);
        trial.has_slow_servers = false;
        trial.has_sick_server = true;
        Summary sick = RunSeeds(trial, "(sick server)");
        EXPECT_LE(sick.back, sick.runs * 0.04);
    }
}

// A daemon that knows two versions.
class Use : public ::testing::Test {
  protected:
    Use()
    {
        use.is_on = true;
        SetVersions({kOld, kTarget}, kStart);
    }
    ~Use() override { PsRolloutUse_Finish(&use); }
    void SetVersions(std::vector<uint64_t> versions, int64_t now_ms)
    {
        PsRolloutUse_SetVersions(&use, versions.data(), (int)versions.size(),
                                 now_ms);
    }
    bool MayPlace(uint64_t version, int64_t now_ms = kStart)
    {
        return PsRolloutUse_MayPlace(&use, &request, version, now_ms);
    }
    ps_rollout_use_t use = {};
    ps_rollout_request_t request = {7, 100};
};

// Guards against requests to the target without the allocator's word.
TEST_F(Use, UnsureDaemonSendsToOldVersionOnly)
{
    PsRolloutUse_SetOrder(&use, 1, kTarget, PS_ROLLOUT_CANARY);
    EXPECT_TRUE(MayPlace(kOld));
    EXPECT_FALSE(MayPlace(kTarget)) << "nothing is granted yet";
    PsRolloutUse_SetLimit(&use, 1, kStart + 400);
    EXPECT_TRUE(MayPlace(kTarget));
    EXPECT_FALSE(MayPlace(kTarget, kStart + 400)) << "the grant is over";
    PsRolloutUse_AddStart(&use, kTarget);
    EXPECT_FALSE(MayPlace(kTarget)) << "the limit is used up";
    EXPECT_TRUE(MayPlace(kOld));
}

// Guards against a step that goes back, and requests after a final one.
TEST_F(Use, FinalStepStays)
{
    PsRolloutUse_SetOrder(&use, 1, kTarget, PS_ROLLOUT_BACK);
    PsRolloutUse_SetOrder(&use, 1, kTarget, PS_ROLLOUT_CANARY);
    PsRolloutUse_SetLimit(&use, 100, kStart + 400);
    EXPECT_FALSE(MayPlace(kTarget));
    EXPECT_TRUE(MayPlace(kOld));
    PsRolloutUse_SetOrder(&use, 2, kTarget, PS_ROLLOUT_DONE);
    EXPECT_TRUE(MayPlace(kTarget));
    EXPECT_FALSE(MayPlace(kOld)) << "the old servers stop";
    SetVersions({kOld}, kStart);
    EXPECT_TRUE(MayPlace(kOld)) << "there are no others";
}

// Guards against requests to a new version before its order is known, and to
// the target of an order that was changed or removed.
TEST_F(Use, VersionsWithoutOrder)
{
    EXPECT_TRUE(MayPlace(kTarget)) << "it was there when this daemon began";
    SetVersions({kOld}, kStart);
    SetVersions({kOld, kTarget}, kStart + 5000);
    EXPECT_FALSE(MayPlace(kTarget, kStart + 5000));
    EXPECT_TRUE(MayPlace(kOld, kStart + 5000));
    EXPECT_FALSE(MayPlace(33, kStart + 5000)) << "not seen yet";
    EXPECT_TRUE(MayPlace(kTarget, kStart + 15000)) << "no order has come";
    PsRolloutUse_SetOrder(&use, 1, kTarget, PS_ROLLOUT_CANARY);
    PsRolloutUse_SetOrder(&use, 2, 33, PS_ROLLOUT_CANARY);
    EXPECT_FALSE(MayPlace(kTarget, kStart + 15000)) << "the target before";
    PsRolloutUse_HandleRemoval(&use);
    EXPECT_FALSE(MayPlace(33, kStart + 15000));
    EXPECT_TRUE(MayPlace(kOld, kStart + 15000));
}

// Guards against any change of placement where roll-outs are off.
TEST_F(Use, NothingChangesWhenOff)
{
    use.is_on = false;
    SetVersions({kOld}, kStart);
    EXPECT_TRUE(MayPlace(kTarget));
    EXPECT_FALSE(PsRolloutUse_Prefers(&use, kTarget));
}

// In the last step only requests that would outlast the old servers go to the
// target, so that the exposure covers as many of them as possible.
TEST_F(Use, LastStepTakesLongRequests)
{
    PsRolloutUse_SetOrder(&use, 1, kTarget, PS_ROLLOUT_LAST);
    PsRolloutUse_SetLimit(&use, 100, kStart + 400);
    use.done_ms = kStart + 1000;
    EXPECT_FALSE(MayPlace(kTarget));
    request.run_ms = 1000;
    EXPECT_TRUE(MayPlace(kTarget));
}

}
