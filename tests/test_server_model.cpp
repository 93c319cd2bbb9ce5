// test_server_model.cpp - Learned speeds and limits of servers: the models,
// and the whole path from samples to grants in virtual time, with the messages
// that daemons send, each load with the setting off and on.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>

#include "kernel.hpp"

extern "C" {
#include "allocator.h"
#include "codec.h"
#include "concurrency_limit.h"
#include "fleet_waits.h"
#include "overcommit.h"
#include "pace_messages.h"
#include "placement.h"
#include "scheduler.h"
#include "sharing.h"
}

namespace {

const int64_t kStart = 1000000;
const int64_t kWarmUpMs = 4000; // not counted

// Requests of one route. Prompts vary by a log-normal distribution.
struct Route {
    double share; // of the requests
    double prompt;
    double events;
    int64_t objective_ms, gap_ms, deadline_ms;
    int tier;
    double on_time_value, late_value;
};

// The stream routes of the deployment cesta.
const std::vector<Route> kStreams = {
    {134, 6670, 48, 600, 250, 15000, 0, 7, 2},
    {151, 688, 36, 300, 250, 12000, 1, 2.4, 0.71},
    {270, 1860, 3, 300, 250, 3000, 2, 0.27, 0.08}};
// Its plain routes; 15 ms of work.
const std::vector<Route> kPlain = {{1, 0, 0, 120, 0, 600, 0, 0.3, 0.09}};

struct Load {
    std::string name;
    int n_daemons = 94;
    int n_servers = 60;
    int slots = 10;
    bool is_engine = true;
    double load = 0.5; // of the capacity
    double slow_part = 0.33; // of the servers
    double slow_factor = 5;
    double near_full_factor = 1; // with the last two slots in use
    bool has_slow_periods = false; // 600 ms of each 4 s, 2.5 times slower
    double noise = 0.15; // of each time
    int64_t report_delay_ms = 2;
    int64_t for_ms = 12000;
    int64_t turns_slow_ms = 0; // one server, for 6 s from then on
    int64_t new_allocator_ms = 0; // lost then, and replaced 600 ms later
    int64_t restart_ms = 0; // a fast server starts again
    unsigned seed = 7;
};

struct Result {
    int sent = 0, on_time = 0, late = 0, refused = 0, past_deadline = 0;
    int at_slow = 0, started = 0, rejected = 0;
    int at_watched = 0, at_watched_after = 0;
    int at_restarted = 0; // started at a server in 100 ms after its restart
    int burst_at_slow = 0; // started there within 2 s of a new allocator
    double value = 0; // of the answers, by route
    std::vector<double> first_ms;
    size_t sample_bytes = 0, pace_bytes = 0, n_reports = 0, n_grants = 0;
    double
    GetFirst(double quantile)
    {
        std::sort(first_ms.begin(), first_ms.end());
        return first_ms.empty()
                   ? 0
                   : first_ms[(size_t)(quantile * (first_ms.size() - 1))];
    }
    double GetSlowShare() const { return (double)at_slow / std::max(started, 1); }
    int GetAnswered() const { return on_time + late; }
    double
    GetBytes() const // of a report and a grant
    {
        return (double)sample_bytes / (double)std::max(n_reports, (size_t)1) +
               (double)pace_bytes / (double)std::max(n_grants, (size_t)1);
    }
    double GetLateShare() const
    {
        return (double)late / std::max(on_time + late, 1);
    }
};

// Daemons with the product's schedulers, one of which divides the slots, and
// servers that read prompts and send events at their speed.
class Site {
  public:
    Site(const Load &load, bool is_on)
        : load(load), is_on(is_on), random(load.seed), times_random(load.seed + 1),
          routes(load.is_engine ? kStreams : kPlain)
    {
        static const ps_scheduler_events_t events = {OnStart, OnRefuse};
        interval_ms = (int64_t)std::clamp(0.3 * load.n_daemons, 20.0, 150.0);
        servers.resize(load.n_servers);
        for (int k = 0; k < load.n_servers; k++) {
            servers[k].name = ToName("r" + std::to_string(k));
            servers[k].is_slow = k < load.slow_part * load.n_servers;
            servers[k].phase = (int64_t)(random() % 4000);
        }
        daemons.resize(load.n_daemons);
        for (size_t i = 0; i < daemons.size(); i++) {
            Daemon &daemon = daemons[i];
            daemon.site = this;
            daemon.name = ToName("d" + std::to_string(i));
            daemon.next_round_ms = now + (int64_t)(random() % interval_ms);
            PsScheduler_Init(&daemon.scheduler, &events, &daemon, &service,
                             (uint32_t)i + 1);
            PsAllocator_Init(&daemon.allocator);
            daemon.allocator.models.is_enabled = is_on;
            daemon.scheduler.is_engine = load.is_engine;
            for (int k = 0; k < load.n_servers; k++) {
                daemon.backends.push_back(nullptr);
                AddBackend(daemon, k);
            }
            PsScheduler_SetDaemons(&daemon.scheduler, load.n_daemons, (int)i);
        }
        leader = &daemons[0];
    }
    ~Site()
    {
        for (Daemon &daemon : daemons) {
            PsScheduler_Finish(&daemon.scheduler);
            PsAllocator_Finish(&daemon.allocator);
            for (ps_backend_t *backend : daemon.backends) {
                PsBackend_Unlist(backend);
            }
        }
    }
    Result
    Run()
    {
        std::poisson_distribution<int> arrivals(load.load * GetCapacity() /
                                                1000.0);
        const int64_t begin = now + 500;
        counted_from = begin + kWarmUpMs;
        const int64_t end = counted_from + load.for_ms;
        for (; now < end + 15000; now++) {
            RunMessages();
            RunDisturbances();
            for (Daemon &daemon : daemons) {
                RunDaemon(daemon);
            }
            const bool is_loaded = now >= begin && now < end;
            for (int n = is_loaded ? arrivals(random) : 0; n > 0; n--) {
                Submit(daemons[random() % daemons.size()]);
            }
        }
        for (; !messages.empty(); now++) {
            RunMessages(); // until the last answers have ended
        }
        return result;
    }
    // Requests a second that the servers can run.
    double
    GetCapacity() const
    {
        double work_ms = 0;
        double shares = 0;
        for (const Route &route : routes) {
            work_ms += route.share * (GetFirstMs(route.prompt) +
                                      kEventMs * std::max(route.events - 1, 0.));
            shares += route.share;
        }
        double slots = 0;
        for (const Server &server : servers) {
            slots += load.slots / (server.is_slow ? load.slow_factor : 1);
        }
        return slots * 1000.0 / (work_ms / shares);
    }
  private:
    static constexpr double kEventMs = 28;
    struct Daemon {
        Site *site;
        ps_name_t name;
        ps_scheduler_t scheduler;
        ps_allocator_t allocator;
        std::vector<ps_backend_t *> backends;
        int64_t next_round_ms;
        int64_t granted_ms = 0;
        int n_ended = 0; // since its last report
        int n_ended_reported = 0; // as the allocator
        ps_overcommit_t overcommit = {};
        ps_fleet_waits_t fleet_waits = {};
    };
    struct Request {
        ps_task_t task = {};
        Daemon *daemon;
        const Route *route;
        int server;
        int events_left;
        int64_t server_start; // of the server that runs it
        int64_t gap_ms = 0; // longest seen
    };
    struct Server {
        ps_name_t name;
        bool is_slow = false;
        int64_t phase = 0;
        int64_t slow_until_ms = 0;
        int64_t started_ms = 1;
        int running = 0;
        std::deque<Request *> waiting;
    };
    double
    GetFirstMs(double prompt) const
    {
        return load.is_engine ? 30 + 0.03 * prompt : 15;
    }
    void
    AddBackend(Daemon &daemon, int k)
    {
        ps_registration_t registration = {};
        registration.name = servers[k].name;
        registration.service = service;
        registration.slots = load.slots;
        registration.started_ms = servers[k].started_ms;
        if (daemon.backends[k]) {
            PsScheduler_RemoveBackend(&daemon.scheduler, daemon.backends[k]);
            PsBackend_Unlist(daemon.backends[k]);
        }
        daemon.backends[k] = PsBackend_New(&registration, now);
        PsScheduler_AddBackend(&daemon.scheduler, daemon.backends[k]);
    }
    static void
    OnStart(ps_scheduler_t *scheduler, ps_task_t *task)
    {
        auto *daemon = (Daemon *)scheduler->user;
        auto *request = (Request *)task->user;
        Site *site = daemon->site;
        const auto at = std::find(daemon->backends.begin(),
                                  daemon->backends.end(), task->backend);
        request->server = (int)(at - daemon->backends.begin());
        site->CountStart(request);
        site->After(2, [site, request] { site->Arrive(request); });
    }
    static void
    OnRefuse(ps_scheduler_t *scheduler, ps_task_t *task, int64_t, const char *)
    {
        Site *site = ((Daemon *)scheduler->user)->site;
        auto *request = (Request *)task->user;
        if (request->task.arrived_ms >= site->counted_from) {
            site->result.refused++;
        }
        delete request;
    }
    void
    CountStart(const Request *request)
    {
        const bool is_slow = servers[request->server].is_slow;
        if (load.new_allocator_ms > 0 &&
            now - kStart >= load.new_allocator_ms &&
            now - kStart < load.new_allocator_ms + 2000) {
            result.burst_at_slow += is_slow ? 1 : 0;
        }
        if (request->server == 0) {
            result.at_watched += load.turns_slow_ms > 0 &&
                                 now - kStart >= load.turns_slow_ms + 2000 &&
                                 now - kStart < load.turns_slow_ms + 6000;
            result.at_watched_after +=
                load.turns_slow_ms > 0 &&
                now - kStart >= load.turns_slow_ms + 9000 &&
                now - kStart < load.turns_slow_ms + 13000;
        }
        result.at_restarted += load.restart_ms > 0 && request->server == 0 &&
                               now - kStart >= load.restart_ms &&
                               now - kStart < load.restart_ms + 100;
        if (request->task.arrived_ms >= counted_from) {
            result.started++;
            result.at_slow += is_slow ? 1 : 0;
        }
    }
    void
    After(int64_t ms, std::function<void()> message)
    {
        messages.emplace(now + ms, std::move(message));
    }
    void
    RunMessages()
    {
        while (!messages.empty() && messages.begin()->first <= now) {
            auto message = std::move(messages.begin()->second);
            messages.erase(messages.begin());
            message();
        }
    }
    void
    RunDisturbances()
    {
        const int64_t at = now - kStart;
        if (load.turns_slow_ms > 0 && at == load.turns_slow_ms) {
            servers.front().slow_until_ms = now + 6000;
        }
        if (load.new_allocator_ms > 0 && at == load.new_allocator_ms) {
            leader = nullptr;
        }
        if (load.new_allocator_ms > 0 && at == load.new_allocator_ms + 600) {
            leader = &daemons[1];
        }
        if (load.restart_ms > 0 && at == load.restart_ms) {
            servers.front().started_ms++;
            servers.front().running = 0;
            for (Daemon &daemon : daemons) {
                AddBackend(daemon, 0);
            }
        }
    }
    void
    Submit(Daemon &daemon)
    {
        std::vector<double> shares;
        for (const Route &route : routes) {
            shares.push_back(route.share);
        }
        std::discrete_distribution<int> pick(shares.begin(), shares.end());
        const Route &route = routes[pick(random)];
        std::lognormal_distribution<double> spread(-0.18, 0.6); // mean 1
        auto *request = new Request;
        request->daemon = &daemon;
        request->route = &route;
        ps_task_t &task = request->task;
        task.user = request;
        task.tier = route.tier;
        task.is_generation = load.is_engine;
        task.arrived_ms = now;
        task.objective_ms = now + route.objective_ms;
        task.gap_target_ms = route.gap_ms;
        task.deadline_ms = now + route.deadline_ms;
        task.wait_deadline_ms =
            now + (load.is_engine ? 1400 : route.deadline_ms * 2 / 3);
        task.prompt_tokens = std::min(route.prompt * spread(random), 54600.);
        request->events_left = std::max(
            (int)std::lround(route.events * spread(random)), 1);
        task.output_tokens = request->events_left * 8.0;
        result.sent += now >= counted_from ? 1 : 0;
        PsScheduler_Submit(&daemon.scheduler, &task, now);
    }
    double
    GetFactor(const Server &server)
    {
        double factor = server.is_slow ? load.slow_factor : 1;
        factor *= now < server.slow_until_ms ? 5 : 1;
        if (load.has_slow_periods && (now + server.phase) % 4000 < 600) {
            factor *= 2.5;
        }
        if (server.running >= load.slots - 1) {
            factor *= load.near_full_factor;
        }
        std::normal_distribution<double> noise(1, load.noise);
        return factor * std::clamp(noise(times_random), 0.3, 2.0);
    }
    void
    Arrive(Request *request)
    {
        Server &server = servers[request->server];
        if (server.running < load.slots) {
            Begin(request);
        }
        else if (server.waiting.size() < 40) {
            server.waiting.push_back(request);
        }
        else {
            result.rejected++;
            End(request, PS_TASK_REJECTED);
        }
    }
    void
    Begin(Request *request)
    {
        Server &server = servers[request->server];
        server.running++;
        request->server_start = server.started_ms;
        const double ms =
            GetFirstMs(request->task.prefill_tokens) * GetFactor(server);
        After(std::max((int64_t)ms, (int64_t)1),
              [this, request] { Emit(request); });
    }
    // Sends the next event; the daemon has it 2 ms later.
    void
    Emit(Request *request)
    {
        Server &server = servers[request->server];
        const bool is_last = --request->events_left == 0;
        if (is_last) {
            server.running -= request->server_start == server.started_ms;
            if (!server.waiting.empty()) {
                Request *next = server.waiting.front();
                server.waiting.pop_front();
                Begin(next);
            }
        }
        else {
            const double ms = kEventMs * GetFactor(server);
            After(std::max((int64_t)ms, (int64_t)1),
                  [this, request] { Emit(request); });
        }
        After(2, [this, request, is_last] {
            ps_task_t &task = request->task;
            if (load.is_engine) {
                if (task.first_event_ms > 0) {
                    request->gap_ms = std::max(request->gap_ms,
                                               now - task.last_event_ms);
                }
                PsScheduler_HandleEvent(&request->daemon->scheduler, &task, 8,
                                        now);
            }
            if (is_last) {
                End(request, PS_TASK_SUCCEEDED);
            }
        });
    }
    void
    End(Request *request, ps_task_result_t how)
    {
        const ps_task_t &task = request->task;
        if (how == PS_TASK_SUCCEEDED) {
            request->daemon->n_ended++;
            if (task.arrived_ms >= counted_from) {
                const int64_t first = load.is_engine ? task.first_event_ms : now;
                result.first_ms.push_back((double)(first - task.arrived_ms));
                const bool is_on_time =
                    first <= task.objective_ms &&
                    (task.gap_target_ms == 0 ||
                     request->gap_ms <= task.gap_target_ms);
                (is_on_time ? result.on_time : result.late)++;
                result.value += is_on_time ? request->route->on_time_value
                                           : request->route->late_value;
                result.past_deadline += now > task.deadline_ms ? 1 : 0;
            }
        }
        PsScheduler_EndTask(&request->daemon->scheduler, &request->task, how,
                            now);
        delete request;
    }
    void
    RunDaemon(Daemon &daemon)
    {
        PsScheduler_Run(&daemon.scheduler, now);
        if (daemon.scheduler.has_granted_limits &&
            now - daemon.granted_ms > 400) {
            PsScheduler_UseEvenShares(&daemon.scheduler);
        }
        if (now < daemon.next_round_ms) {
            return;
        }
        daemon.next_round_ms = now + interval_ms;
        Report(daemon);
        if (&daemon == leader) {
            Divide();
        }
    }
    // Sends a daemon's report, with its samples as they are on the wire.
    void
    Report(Daemon &daemon)
    {
        ps_waiting_count_t waiting[PS_RANKS_MAX], started[PS_RANKS_MAX];
        const int n = PsScheduler_CountWaiting(&daemon.scheduler, waiting,
                                               PS_RANKS_MAX, now);
        const int n_started = PsScheduler_TakeStarts(&daemon.scheduler, started);
        std::vector<ps_slot_count_t> running;
        for (ps_backend_t *backend : daemon.backends) {
            if (backend->running > 0) {
                running.push_back(
                    {PsSharing_HashServer(backend), backend->running});
            }
        }
        Ps__ServiceUse use = PS__SERVICE_USE__INIT;
        const size_t empty = ps__service_use__get_packed_size(&use);
        if (is_on) {
            PsPaceMessages_AddSamples(&use, &daemon.scheduler, now);
        }
        std::vector<uint8_t> packed(ps__service_use__get_packed_size(&use));
        ps__service_use__pack(&use, packed.data());
        PsPaceMessages_FreeSamples(&use);
        if (now >= counted_from) {
            result.sample_bytes += packed.size() - empty;
            result.n_reports++;
        }
        After(load.report_delay_ms,
              [this, &daemon, running, packed,
               ranks = std::vector<ps_waiting_count_t>(waiting, waiting + n),
               starts = std::vector<ps_waiting_count_t>(started,
                                                        started + n_started),
               ended = daemon.n_ended] {
                  if (!leader) {
                      return;
                  }
                  for (const auto &each : starts) {
                      PsFleetWaits_AddStarts(&leader->fleet_waits, each.rank,
                                             each.count, now);
                  }
                  leader->n_ended_reported += ended;
                  ps_reporter_t *reporter = PsAllocator_StartReport(
                      &leader->allocator, &daemon.name, 0, now);
                  ps_service_use_t *use =
                      PsReporter_GetServiceUse(reporter, &service);
                  g_array_append_vals(use->running, running.data(),
                                      (guint)running.size());
                  g_array_append_vals(use->waiting, ranks.data(),
                                      (guint)ranks.size());
                  Ps__ServiceUse *message = ps__service_use__unpack(
                      nullptr, packed.size(), packed.data());
                  ASSERT_NE(message, nullptr);
                  PsPaceMessages_HandleSamples(&leader->allocator.models,
                                               message, now);
                  ps__service_use__free_unpacked(message, nullptr);
              });
        daemon.n_ended = 0;
    }
    void
    Divide()
    {
        ps_allocator_t *allocator = &leader->allocator;
        const double factor =
            load.is_engine
                ? 1.0
                : PsOvercommit_Update(
                      &leader->overcommit,
                      PsAllocator_CountRunning(allocator, &service, now),
                      leader->n_ended_reported, load.slots * load.n_servers,
                      load.n_daemons);
        leader->n_ended_reported = 0;
        std::vector<ps_slot_count_t> slots;
        for (ps_backend_t *backend : leader->backends) {
            const uint32_t hash = PsSharing_HashServer(backend);
            PsPaceMessages_SetServer(&allocator->models, hash, backend,
                                     load.is_engine, now);
            slots.push_back({hash, (int)(load.slots * factor + 0.5)});
        }
        if (!load.is_engine) {
            PsSlotOrder_WeighSlots(&allocator->models, slots.data(),
                                   load.n_servers);
        }
        ps_waiting_count_t counts[PS_RANKS_MAX];
        const int n = PsAllocator_CountWaiting(allocator, &service, counts,
                                               PS_RANKS_MAX, now);
        std::vector<ps_rank_wait_t> waits(n);
        PsFleetWaits_Estimate(&leader->fleet_waits, counts, n, waits.data(),
                              now);
        PsAllocator_DivideSlots(allocator, &service, slots.data(),
                                load.n_servers, load.n_daemons, now);
        for (Daemon &daemon : daemons) {
            auto *reporter = (ps_reporter_t *)g_hash_table_lookup(
                allocator->reporters, &daemon.name);
            if (reporter && now - reporter->reported_ms <= 500) {
                Grant(daemon, PsReporter_GetServiceUse(reporter, &service),
                      waits);
            }
        }
    }
    // Sends a grant, with its paces as they are on the wire.
    void
    Grant(Daemon &daemon, ps_service_use_t *use,
          const std::vector<ps_rank_wait_t> &waits)
    {
        std::map<uint32_t, int> granted;
        for (guint i = 0; i < use->limits->len; i++) {
            const auto &limit =
                g_array_index(use->limits, ps_slot_count_t, i);
            granted[limit.server] = limit.count;
        }
        Ps__ServiceGrant grant = PS__SERVICE_GRANT__INIT;
        PsPaceMessages_AddPaces(&grant, &leader->allocator.models,
                                &leader->scheduler, use);
        std::vector<uint8_t> packed(ps__service_grant__get_packed_size(&grant));
        ps__service_grant__pack(&grant, packed.data());
        PsPaceMessages_FreePaces(&grant);
        if (now >= counted_from) {
            result.pace_bytes += packed.size();
            result.n_grants++;
        }
        After(2, [this, &daemon, granted, waits, packed] {
            if (load.is_engine) {
                PsScheduler_SetFleetWaits(&daemon.scheduler, waits.data(),
                                          (int)waits.size(), now + 400);
            }
            for (ps_backend_t *backend : daemon.backends) {
                const auto at = granted.find(PsSharing_HashServer(backend));
                backend->slot_limit = at == granted.end() ? 0 : at->second;
            }
            daemon.granted_ms = now;
            daemon.scheduler.has_granted_limits = true;
            daemon.scheduler.granted_until_ms = now + 400;
            Ps__ServiceGrant *message = ps__service_grant__unpack(
                nullptr, packed.size(), packed.data());
            ASSERT_NE(message, nullptr);
            PsPaceMessages_ApplyPaces(&daemon.scheduler, message, now);
            ps__service_grant__free_unpacked(message, nullptr);
            PsScheduler_Run(&daemon.scheduler, now);
        });
    }

    Load load;
    bool is_on;
    std::mt19937 random;       // of arrivals, the same off and on
    std::mt19937 times_random; // of times at servers
    const std::vector<Route> &routes;
    const ps_name_t service = ToName("s");
    int64_t now = kStart;
    int64_t counted_from = 0;
    int64_t interval_ms;
    std::vector<Server> servers;
    std::vector<Daemon> daemons;
    Daemon *leader; // the allocator; null: lost
    std::multimap<int64_t, std::function<void()>> messages;
    Result result;
};

void
Print(const Load &load, const char *how, Result &result)
{
    printf("%s, load %.1f, %d daemons, %s: sent %d, at slow servers %.1f%%, "
           "late %.1f%%, refused %.1f%%, past deadline %d, rejected %d, value %.2f, first "
           "event %.0f ms (90th %.0f), %.0f bytes a report, %.0f a grant\n",
           load.name.c_str(), load.load, load.n_daemons, how, result.sent,
           100 * result.GetSlowShare(), 100 * result.GetLateShare(),
           100.0 * result.refused / std::max(result.sent, 1),
           result.past_deadline, result.rejected,
           result.value / std::max(result.sent, 1), result.GetFirst(0.5),
           result.GetFirst(0.9),
           (double)result.sample_bytes / (double)std::max(result.n_reports, (size_t)1),
           (double)result.pace_bytes / (double)std::max(result.n_grants, (size_t)1));
}

struct Both {
    Result off, on;
};

Both
RunBoth(const Load &load)
{
    Both both = {Site(load, false).Run(), Site(load, true).Run()};
    Print(load, "off", both.off);
    Print(load, "on ", both.on);
    EXPECT_EQ(both.off.GetBytes(), 0) << "switched off";
    return both;
}

} // namespace

// One engine in three is five times slower. At half load the slow ones got a
// sixth of the streams while faster servers had free slots, and one stream in
// eight was late.
TEST(Site, SlowServersGetLittleAtHalfLoad)
{
    const Both both = RunBoth({.name = "two speeds"});
    EXPECT_LT(both.on.GetSlowShare(), 0.03);
    EXPECT_LT(both.on.GetLateShare(), 0.05);
    EXPECT_LE(both.on.refused, both.off.refused);
    EXPECT_LT(both.on.GetBytes(), 100);
}

// At and above the capacity the slow servers are needed: nothing that was
// served before is refused.
TEST(Site, SlowServersAreUsedAtFullLoad)
{
    for (double part : {1.0, 1.5}) {
        const Both both = RunBoth({.name = "two speeds", .load = part});
        EXPECT_GE(both.on.value, 0.98 * both.off.value);
        EXPECT_GE(both.on.GetAnswered(), 0.97 * both.off.GetAnswered());
        EXPECT_LT(both.on.GetBytes(), 100);
    }
}

// All times of a server are three times as long while its last two slots are
// in use: with all slots handed out, the service answered a fifth of what it
// can.
TEST(Site, ServersThatSlowDownWhenNearlyFullAreKeptBelow)
{
    for (double part : {0.5, 0.9, 1.5}) {
        const Both both = RunBoth({.name = "slow when nearly full",
                                   .load = part,
                                   .slow_part = 0,
                                   .near_full_factor = 3,
                                   .for_ms = 25000});
        EXPECT_GE(both.on.value, (part > 0.5 ? 1.3 : 1.0) * both.off.value);
    }
}

// Each server is 2.5 times slower for 600 ms of each 4 s: that must not lower
// limits, or requests are refused that were served before.
TEST(Site, SlowPeriodsDoNotLowerLimits)
{
    for (double part : {0.5, 0.9}) {
        const Both both = RunBoth({.name = "slow periods",
                                   .load = part,
                                   .slow_part = 0,
                                   .has_slow_periods = true});
        EXPECT_GE(both.on.value, 0.98 * both.off.value);
        EXPECT_GE(both.on.GetAnswered(), 0.98 * both.off.GetAnswered());
        EXPECT_LT(both.on.GetBytes(), 100);
    }
    const Both both =
        RunBoth({.name = "two speeds, slow periods", .has_slow_periods = true});
    EXPECT_LT(both.on.GetSlowShare(), 0.03);
    EXPECT_LT(both.on.GetLateShare(), 0.05);
}

// A server is five times slower for 6 s. Two seconds after the change it gets
// less than others, and some seconds after its recovery it is used again.
TEST(Site, ServerThatTurnsSlowIsAvoidedAndComesBack)
{
    const Both both = RunBoth({.name = "one turns slow",
                               .load = 0.8,
                               .slow_part = 0,
                               .turns_slow_ms = 6000});
    printf("started there while slow: off %d, on %d; after: off %d, on %d\n",
           both.off.at_watched, both.on.at_watched, both.off.at_watched_after,
           both.on.at_watched_after);
    EXPECT_LE(both.on.at_watched, both.off.at_watched);
    EXPECT_GE(both.on.at_watched_after, 5);
}

// Where all servers are slow, late answers are better than none.
TEST(Site, ServiceOfSlowServersIsUsedAtItsFullCapacity)
{
    for (double part : {0.5, 1.0, 1.5}) {
        const Both both = RunBoth({.name = "all slow",
                                   .load = part,
                                   .slow_part = 1,
                                   .for_ms = 25000});
        EXPECT_GE(both.on.GetAnswered(), 0.95 * both.off.GetAnswered());
    }
}

TEST(Site, NoiseAloneChangesNothing)
{
    for (double part : {0.5, 1.0}) {
        const Both both = RunBoth(
            {.name = "noise", .load = part, .slow_part = 0, .noise = 0.6});
        EXPECT_GE(both.on.value, 0.98 * both.off.value);
        EXPECT_GE(both.on.GetAnswered(), 0.98 * both.off.GetAnswered());
    }
}

TEST(Site, FewDaemonsAndOldReports)
{
    for (double part : {0.5, 1.0}) {
        const Both few = RunBoth(
            {.name = "two speeds", .n_daemons = 3, .load = part});
        EXPECT_GE(few.on.value, 0.98 * few.off.value);
    }
    for (int64_t ms : {20, 100, 400}) {
        const Both both =
            RunBoth({.name = "reports " + std::to_string(ms) + " ms old",
                     .report_delay_ms = ms});
        EXPECT_LT(both.on.GetSlowShare(), 0.03);
        EXPECT_LT(both.on.GetLateShare(), 0.05);
    }
}

// The allocator is lost, and another one takes its place 600 ms later, which
// knows nothing but what it was told as a daemon.
TEST(Site, NewAllocatorDoesNotSendABurstToSlowServers)
{
    const Both both =
        RunBoth({.name = "new allocator", .new_allocator_ms = 8000});
    printf("started at slow servers in 2 s: off %d, on %d\n",
           both.off.burst_at_slow, both.on.burst_at_slow);
    EXPECT_LE(both.on.burst_at_slow, 15);
    EXPECT_LT(both.on.GetLateShare(), 0.05);
}

// A server that has started again is not known: it must not get as many
// requests at once as it has slots.
TEST(Site, RestartedServerGetsABoundedTrial)
{
    const Both both =
        RunBoth({.name = "restart",
                 .load = 0.9,
                 .slow_part = 0,
                 .restart_ms = 8000});
    printf("started there in 100 ms: off %d, on %d\n", both.off.at_restarted,
           both.on.at_restarted);
    EXPECT_LE(both.on.at_restarted, 4);
    EXPECT_LT(both.on.at_restarted, both.off.at_restarted);
    EXPECT_GE(both.on.value, 0.98 * both.off.value);
}

// Plain services: what they serve is not less, and fast servers get more. Three
// seeds are added up: one differs by 1% between two runs of the same code.
TEST(Site, PlainServicesServeNoLess)
{
    for (double part : {0.4, 0.8, 1.2}) {
        for (double slow_part : {0.0, 0.33}) {
            int on_answered = 0, off_answered = 0;
            double on_late = 0, off_late = 0;
            for (unsigned seed : {7, 17, 27}) {
                const Both both =
                    RunBoth({.name = slow_part > 0 ? "plain, one of 3 slow"
                                                   : "plain",
                             .n_servers = 3,
                             .slots = 6,
                             .is_engine = false,
                             .load = part,
                             .slow_part = slow_part,
                             .has_slow_periods = true,
                             .seed = seed});
                on_answered += both.on.GetAnswered();
                off_answered += both.off.GetAnswered();
                on_late += both.on.GetLateShare() / 3;
                off_late += both.off.GetLateShare() / 3;
            }
            printf("answered: off %d, on %d; late: off %.4f, on %.4f\n",
                   off_answered, on_answered, off_late, on_late);
            EXPECT_GE(on_answered, 0.99 * off_answered);
            EXPECT_LE(on_late, off_late + 0.005);
        }
    }
}

/* ---- Models ------------------------------------------------------------ */

namespace {

ps_server_sample_t
MakeEvents(int n, double each_ms)
{
    ps_server_sample_t sample = {};
    sample.events = (uint32_t)n;
    sample.event_ms = n * each_ms;
    return sample;
}

// Adds what a server with this many streams does in @ms.
void
RunModel(ps_server_model_t *model, int running, double event_ms, int64_t ms,
         int64_t *now)
{
    for (const int64_t end = *now + ms; *now < end; *now += 50) {
        ps_model_round_t round = {};
        round.running = running;
        round.slots = 10;
        PsServerModel_NoteRound(model, &round, *now);
        const ps_server_sample_t sample =
            MakeEvents((int)std::lround(running * 50 / event_ms), event_ms);
        if (sample.events > 0) {
            PsServerModel_AddSample(model, &sample, *now);
        }
    }
}

} // namespace

TEST(ServerModel, FollowsAChangeWithinSecondsAndOutlastsSlowPeriods)
{
    ps_server_model_t model = {};
    int64_t now = kStart;
    RunModel(&model, 5, 25, 10000, &now);
    EXPECT_NEAR(PsServerModel_GetPace(&model).event_ms, 25, 1);
    RunModel(&model, 5, 62.5, 600, &now);
    EXPECT_LT(PsServerModel_GetPace(&model).event_ms, 25 * 1.4);
    RunModel(&model, 5, 25, 3400, &now);
    EXPECT_LT(PsServerModel_GetPace(&model).event_ms, 25 * 1.2);
    RunModel(&model, 5, 125, 3000, &now);
    EXPECT_GT(PsServerModel_GetPace(&model).event_ms, 25 * 2.5);
    RunModel(&model, 5, 125, 6000, &now);
    EXPECT_GT(PsServerModel_GetPace(&model).event_ms, 25 * 4);
}

TEST(ServerModel, FitsPaceByLoadAndFirstEventByPrompt)
{
    ps_server_model_t model = {};
    int64_t now = kStart;
    std::mt19937 random(1);
    for (int i = 0; i < 40; i++) {
        const int running = 1 + (int)(random() % 10);
        RunModel(&model, running, 20 + 2.5 * running, 500, &now);
        ps_server_sample_t first = {};
        first.first_events = 1;
        first.prefill_tokens = (double)(random() % 10000);
        first.first_event_ms = 40 + 0.03 * first.prefill_tokens;
        PsServerModel_AddSample(&model, &first, now);
    }
    EXPECT_TRUE(PsServerModel_IsKnown(&model));
    EXPECT_NEAR(PsServerModel_GetEventMs(&model, 2), 25, 5);
    EXPECT_NEAR(PsServerModel_GetEventMs(&model, 10), 45, 5);
    const ps_server_pace_t pace = PsServerModel_GetPace(&model);
    EXPECT_NEAR(pace.first_base_ms + pace.first_slope_ms * 1, 70, 15);
    EXPECT_NEAR(pace.first_base_ms + pace.first_slope_ms * 8, 280, 20);
    EXPECT_EQ(model.firsts.n, 40u);
}

// A daemon's malformed numbers would spoil the model of all daemons.
TEST(ServerModel, IgnoresMalformedSamples)
{
    for (double bad : {(double)NAN, (double)INFINITY, -1.0, 1e12}) {
        ps_server_model_t model = {};
        ps_server_sample_t sample = MakeEvents(3, 20);
        sample.event_ms = bad;
        PsServerModel_AddSample(&model, &sample, kStart);
        EXPECT_EQ(model.events.n, 0u) << bad;
    }
    ps_server_model_t model = {};
    ps_server_sample_t sample = MakeEvents(3, 20);
    sample.late = 4000000000u;
    PsServerModel_AddSample(&model, &sample, kStart);
    EXPECT_EQ(model.late, 0);
}

TEST(ServerModel, OneTrialOutweighsWhatIsOutOfDate)
{
    ps_server_model_t model = {};
    int64_t now = kStart;
    RunModel(&model, 5, 125, 10000, &now);
    PsServerModel_StartTrial(&model);
    EXPECT_NEAR(PsServerModel_GetPace(&model).event_ms, 125, 5);
    RunModel(&model, 1, 25, 700, &now);
    EXPECT_LT(PsServerModel_GetPace(&model).event_ms, 40);
}

TEST(ServerModels, APaceIsToldWhenItChangesAndFromTimeToTime)
{
    ps_server_models_t models;
    PsServerModels_Init(&models);
    EXPECT_EQ(PsServerModels_Set(&models, 1, 1, 10, true, kStart), nullptr);
    models.is_enabled = true;
    ps_learned_server_t *server =
        PsServerModels_Set(&models, 1, 1, 10, true, kStart);
    ASSERT_NE(server, nullptr);
    PsServerModels_UpdateTold(&models, server, kStart);
    EXPECT_EQ(server->told_version, 0u) << "nothing is known";
    const ps_server_pace_t seed = {30, 50, 30, 10};
    PsLearnedServer_Seed(server, &seed);
    PsServerModels_UpdateTold(&models, server, kStart);
    EXPECT_EQ(server->told_version, 1u);
    PsServerModels_UpdateTold(&models, server, kStart + 4000);
    EXPECT_EQ(server->told_version, 1u) << "unchanged";
    PsServerModels_UpdateTold(&models, server, kStart + 5000);
    EXPECT_EQ(server->told_version, 2u) << "a grant may have been lost";
    server->model.seed.event_ms = 32;
    PsServerModels_UpdateTold(&models, server, kStart + 6000);
    EXPECT_EQ(server->told_version, 2u) << "changed by less than a tenth";
    server->model.seed.event_ms = 40;
    PsServerModels_UpdateTold(&models, server, kStart + 6100);
    EXPECT_EQ(server->told_version, 3u);
    EXPECT_EQ(server->told.event_ms, 40);
    server = PsServerModels_Set(&models, 1, 2, 10, true, kStart + 6200);
    EXPECT_FALSE(PsServerModel_IsKnown(&server->model)) << "started again";
    PsServerModels_Finish(&models);
}

/* ---- Limits ------------------------------------------------------------ */

TEST(ConcurrencyLimit, FollowsTheShareOfLateAnswersWithinItsBounds)
{
    ps_concurrency_limit_t limit = {};
    int64_t now = kStart;
    ps_limit_evidence_t evidence = {};
    auto run = [&](double late, int64_t ms) {
        evidence.on_time = 20 * (1 - late);
        evidence.late = 20 * late;
        for (const int64_t end = now + ms; now < end; now += 28) {
            evidence.peak_running = (int)limit.limit;
            PsConcurrencyLimit_Update(&limit, &evidence, 10, now);
            EXPECT_GE(PsConcurrencyLimit_Get(&limit), 1);
            EXPECT_LE(PsConcurrencyLimit_Get(&limit), 10);
        }
        return PsConcurrencyLimit_Get(&limit);
    };
    EXPECT_EQ(run(0.05, 3000), 10);
    EXPECT_EQ(run(0.2, 3000), 10) << "a slow period of 600 ms";
    EXPECT_LE(run(0.6, 6000), 6);
    EXPECT_EQ(run(1.0, 30000), 1);
    EXPECT_EQ(run(0.0, 10000), 10);
    evidence.usual_late_share = 0.8;
    EXPECT_EQ(run(0.9, 10000), 10) << "as late as all others";
    evidence.on_time = evidence.late = 0;
    limit.limit = 1;
    EXPECT_GE(run(0, 0), 1);
}

// Without evidence the limit returns, so that a server is tried again.
TEST(ConcurrencyLimit, IsRaisedWithoutEvidence)
{
    ps_concurrency_limit_t limit = {};
    const ps_limit_evidence_t none = {};
    PsConcurrencyLimit_Update(&limit, &none, 10, kStart);
    limit.limit = 1;
    for (int64_t now = kStart; now < kStart + 30000; now += 28) {
        PsConcurrencyLimit_Update(&limit, &none, 10, now);
    }
    EXPECT_EQ(PsConcurrencyLimit_Get(&limit), 10);
}

TEST(ConcurrencyLimit, CapacityIsWhereTheThroughputIsHighest)
{
    ps_concurrency_limit_t limit = {};
    const ps_limit_evidence_t none = {};
    auto add = [&](int running, double event_ms) {
        PsConcurrencyLimit_AddEvents(&limit, running, 2000 * running / event_ms,
                                     2000 * running);
    };
    PsConcurrencyLimit_Update(&limit, &none, 10, kStart);
    add(6, 28);
    add(10, 60);
    PsConcurrencyLimit_Update(&limit, &none, 10, kStart + 1000);
    EXPECT_EQ(PsConcurrencyLimit_GetCapacity(&limit), 10)
        << "more at a time are still about as many answers";
    limit.points[9] = {};
    add(8, 28);
    add(10, 84);
    PsConcurrencyLimit_Update(&limit, &none, 10, kStart + 4000);
    EXPECT_EQ(PsConcurrencyLimit_GetCapacity(&limit), 8);
    EXPECT_LE(PsConcurrencyLimit_Get(&limit), 8);
    for (int64_t now = kStart + 4000; now < kStart + 40000; now += 28) {
        PsConcurrencyLimit_Update(&limit, &none, 10, now);
    }
    EXPECT_EQ(PsConcurrencyLimit_GetCapacity(&limit), 10) << "tried again";
    PsConcurrencyLimit_Update(&limit, &none, 4, kStart + 41000);
    EXPECT_EQ(PsConcurrencyLimit_GetCapacity(&limit), 4) << "fewer slots";
}

/* ---- Placement --------------------------------------------------------- */

namespace {

// A daemon with servers of its own and of another failure domain.
class Daemon {
  public:
    Daemon()
    {
        static const ps_scheduler_events_t events = {
            [](ps_scheduler_t *, ps_task_t *) {},
            [](ps_scheduler_t *, ps_task_t *, int64_t, const char *) {}};
        const ps_name_t service = ToName("s");
        PsScheduler_Init(&scheduler, &events, nullptr, &service, 1);
        scheduler.is_engine = true;
        scheduler.domain = ToName("a");
        scheduler.tokens_per_event = 8;
        for (const char *name : {"near", "far", "unknown"}) {
            ps_registration_t registration = {};
            registration.name = ToName(name);
            registration.service = service;
            registration.slots = 10;
            registration.domain = ToName(*name == 'f' ? "b" : "a");
            backends.push_back(PsBackend_New(&registration, kStart));
            PsScheduler_AddBackend(&scheduler, backends.back());
        }
        task.is_generation = true;
        task.arrived_ms = kStart;
        task.objective_ms = kStart + 300;
        task.deadline_ms = kStart + 3000;
        task.wait_deadline_ms = kStart + 1400;
        task.prompt_tokens = 1000;
        task.output_tokens = 40 * 8;
    }
    ~Daemon()
    {
        PsScheduler_Finish(&scheduler);
        for (ps_backend_t *backend : backends) {
            PsBackend_Unlist(backend);
        }
    }
    void
    Tell(int server, double event_ms, double first_ms)
    {
        const ps_server_pace_t pace = {event_ms, first_ms, 30, 10};
        PsPlacement_SetPace(backends[server], &pace, kStart);
        PsPlacement_UpdateMedian(&scheduler, kStart);
    }
    std::string
    Find(int64_t now = kStart)
    {
        const ps_backend_t *best = PsPlacement_FindBest(&scheduler, &task, now);
        return best ? ToString(best->registration.name) : "";
    }
    ps_scheduler_t scheduler;
    std::vector<ps_backend_t *> backends;
    ps_task_t task = {};
};

} // namespace

TEST(Placement, PredictsFirstEventAndEndFromTheToldPace)
{
    Daemon daemon;
    daemon.Tell(0, 25, 50);
    const ps_placement_prediction_t prediction = PsPlacement_Predict(
        &daemon.scheduler, daemon.backends[0], &daemon.task, kStart);
    EXPECT_TRUE(prediction.is_learned);
    EXPECT_EQ(prediction.first_event_ms, 80);
    EXPECT_EQ(prediction.output_ms, 39 * 25);
    EXPECT_FALSE(PsPlacement_Predict(&daemon.scheduler, daemon.backends[0],
                                     &daemon.task, kStart + PS_PACE_TTL_MS)
                     .is_learned)
        << "the pace is too old";
}

TEST(Placement, PrefersItsDomainAmongPlacesThatMeetTheObjective)
{
    Daemon daemon;
    daemon.Tell(0, 27, 52);
    daemon.Tell(1, 25, 50);
    daemon.Tell(2, 100, 200);
    EXPECT_EQ(daemon.Find(), "near");
    daemon.Tell(0, 27, 290);
    EXPECT_EQ(daemon.Find(), "far") << "the near one would be late";
    daemon.Tell(0, 60, 100);
    EXPECT_EQ(daemon.Find(), "far") << "the near one is much slower";
}

TEST(Placement, AvoidsPlacesWhereTheAnswerEndsAfterTheDeadline)
{
    Daemon daemon;
    daemon.Tell(0, 100, 10); // ends after 3.9 s
    daemon.Tell(1, 60, 280); // ends in time, its first event is late
    daemon.Tell(2, 100, 10);
    EXPECT_EQ(daemon.Find(), "far");
    daemon.backends[1]->slot_limit = 0;
    EXPECT_NE(daemon.Find(), "") << "there is no other place";
}

TEST(Placement, AssumesTheMedianAtAServerThatIsNotKnown)
{
    Daemon daemon;
    daemon.Tell(0, 140, 250);
    daemon.Tell(1, 28, 50);
    const ps_placement_prediction_t prediction = PsPlacement_Predict(
        &daemon.scheduler, daemon.backends[2], &daemon.task, kStart);
    EXPECT_TRUE(prediction.is_learned);
    EXPECT_EQ(prediction.output_ms, 39 * 140);
}

// Without paces, places are chosen as before: by this daemon's own samples.
TEST(Placement, WithoutPacesCostsAreAsBefore)
{
    Daemon daemon;
    ps_backend_t *far = daemon.backends[1];
    for (int i = 0; i < 50; i++) {
        PsSpeed_AddStep(&far->token_interval, 1, 2, 1);
        PsSpeed_AddStep(&far->first_event_time, 1, 40, 1);
    }
    EXPECT_EQ(daemon.Find(), "far");
    const ps_placement_cost_t cost =
        PsPlacement_GetCost(&daemon.scheduler, far, &daemon.task, kStart);
    EXPECT_EQ(cost.lateness_ms + cost.deadline_ms + cost.domain_ms, 0);
    EXPECT_EQ(cost.output_ms, 0.25 * daemon.task.output_tokens *
                                  PsSpeed_GetStepMs(&far->token_interval, 1));
}

/* ---- Samples ----------------------------------------------------------- */

// What an answer shows of its server, which is judged only by what was left of
// the objective when the request was sent.
TEST(TaskSamples, CountLateAnswersOfTheServerOnly)
{
    struct Case {
        const char *name;
        int64_t sent, first, second, pause_end;
        uint32_t on_time, late;
    };
    const std::vector<Case> cases = {
        {"on time", 0, 200, 230, 0, 1, 0},
        {"first event late", 0, 310, 330, 0, 0, 1},
        {"late for what was left", 140, 310, 330, 0, 0, 1},
        {"waited at the daemon", 280, 420, 440, 0, 1, 0},
        {"waited, and the server is late", 280, 440, 460, 0, 0, 1},
        {"pause too long", 0, 100, 360, 0, 0, 1},
        {"this daemon was paused", 0, 100, 360, 300, 1, 0}};
    for (const Case &each : cases) {
        Daemon daemon;
        daemon.task.gap_target_ms = 250;
        daemon.backends[1]->slot_limit = daemon.backends[2]->slot_limit = 0;
        PsScheduler_Submit(&daemon.scheduler, &daemon.task, kStart + each.sent);
        ASSERT_EQ(daemon.task.backend, daemon.backends[0]);
        PsScheduler_HandleEvent(&daemon.scheduler, &daemon.task, 8,
                                kStart + each.first);
        if (each.pause_end > 0) {
            daemon.scheduler.paused_until_ms = kStart + each.pause_end;
        }
        PsScheduler_HandleEvent(&daemon.scheduler, &daemon.task, 8,
                                kStart + each.second);
        PsScheduler_EndTask(&daemon.scheduler, &daemon.task, PS_TASK_SUCCEEDED,
                            kStart + each.second);
        const ps_server_sample_t &sample = daemon.backends[0]->sample;
        EXPECT_EQ(sample.on_time, each.on_time) << each.name;
        EXPECT_EQ(sample.late, each.late) << each.name;
        EXPECT_EQ(sample.first_events, 1u) << each.name;
        EXPECT_EQ(sample.events, each.pause_end > 0 ? 0u : 1u) << each.name;
    }
}

// A server that has sent nothing when the caller gives up is late; one that
// has rejected the request, or whose caller left early, is not.
TEST(TaskSamples, RequestsWithoutAnAnswer)
{
    struct Case {
        ps_task_result_t result;
        int64_t ms;
        uint32_t late;
    };
    for (const Case &each :
         {Case{PS_TASK_CANCELLED, 900, 1}, Case{PS_TASK_CANCELLED, 100, 0},
          Case{PS_TASK_REJECTED, 900, 0}, Case{PS_TASK_UNREACHABLE, 900, 0}}) {
        Daemon daemon;
        daemon.backends[1]->slot_limit = daemon.backends[2]->slot_limit = 0;
        PsScheduler_Submit(&daemon.scheduler, &daemon.task, kStart);
        PsScheduler_EndTask(&daemon.scheduler, &daemon.task, each.result,
                            kStart + each.ms);
        EXPECT_EQ(daemon.backends[0]->sample.late, each.late) << each.result;
        EXPECT_EQ(daemon.backends[0]->sample.on_time, 0u) << each.result;
    }
}

/* ---- Messages and configuration ---------------------------------------- */

// The longest pause of a route is optional; without it no pause makes an
// answer late.
TEST(Codec, RoutesHaveTheLongestPauseBetweenEvents)
{
    json_t *spec = json_loads(
        "{\"version\":1,\"routes\":["
        "{\"name\":\"t\",\"host\":\"a\",\"pathPrefix\":\"/t/\",\"kind\":"
        "\"streaming\",\"service\":\"m\",\"gapTargetMs\":250},"
        "{\"name\":\"u\",\"host\":\"a\",\"pathPrefix\":\"/u/\",\"kind\":"
        "\"streaming\",\"service\":\"m\"}],\"services\":[{\"name\":\"m\"}]}",
        0, nullptr);
    ASSERT_NE(spec, nullptr);
    ps_catalog_t *catalog = PsCodec_DecodeCatalog(spec);
    ASSERT_NE(catalog, nullptr);
    auto find = [&](const char *path) {
        return PsCatalog_FindRoute(catalog, "a", ToStr(path));
    };
    ASSERT_NE(find("/t/1"), nullptr);
    EXPECT_EQ(find("/t/1")->gap_target_ms, 250);
    ASSERT_NE(find("/u/1"), nullptr);
    EXPECT_EQ(find("/u/1")->gap_target_ms, 0);
    PsCatalog_Unref(catalog);
    json_decref(spec);
}

// A malformed pace would send all requests of a daemon to one server, or none.
TEST(PaceMessages, IgnoresMalformedPaces)
{
    for (float bad : {NAN, INFINITY, -1.0f, 1e9f}) {
        Daemon daemon;
        daemon.Tell(0, 25, 50);
        Ps__ServerPace pace = PS__SERVER_PACE__INIT;
        pace.server = PsSharing_HashServer(daemon.backends[0]);
        pace.event_ms = bad;
        pace.limit = 4000000000u;
        Ps__ServerPace *paces[] = {&pace};
        Ps__ServiceGrant grant = PS__SERVICE_GRANT__INIT;
        grant.paces = paces;
        grant.n_paces = 1;
        PsPaceMessages_ApplyPaces(&daemon.scheduler, &grant, kStart);
        EXPECT_EQ(daemon.backends[0]->pace.event_ms, 25) << bad;
    }
}

// A daemon that was not told the newest paces gets those, and only once.
TEST(PaceMessages, EachDaemonIsToldWhatIsNewToIt)
{
    Daemon daemon;
    ps_server_models_t models;
    PsServerModels_Init(&models);
    models.is_enabled = true;
    const ps_server_pace_t seed = {30, 50, 30, 10};
    for (int i = 0; i < 2; i++) {
        ps_learned_server_t *server = PsServerModels_Set(
            &models, PsSharing_HashServer(daemon.backends[i]), 1, 10, true,
            kStart);
        PsLearnedServer_Seed(server, &seed);
        PsServerModels_UpdateTold(&models, server, kStart);
    }
    ps_service_use_t old_use = {}, new_use = {};
    auto count = [&](ps_service_use_t *use) {
        Ps__ServiceGrant grant = PS__SERVICE_GRANT__INIT;
        PsPaceMessages_AddPaces(&grant, &models, &daemon.scheduler, use);
        const size_t n = grant.n_paces;
        PsPaceMessages_FreePaces(&grant);
        return n;
    };
    EXPECT_EQ(count(&old_use), 2u);
    EXPECT_EQ(count(&old_use), 0u);
    ps_learned_server_t *server = PsServerModels_Find(
        &models, PsSharing_HashServer(daemon.backends[0]));
    server->model.seed.event_ms = 60;
    PsServerModels_UpdateTold(&models, server, kStart + 1000);
    EXPECT_EQ(count(&old_use), 1u);
    EXPECT_EQ(count(&new_use), 2u);
    models.is_enabled = false;
    new_use.told_paces = 0;
    EXPECT_EQ(count(&new_use), 0u) << "switched off";
    PsServerModels_Finish(&models);
}
