// team_site.hpp - A deployment in virtual time: callers of several teams,
// daemons that run the product's scheduler and exchange the product's messages
// about teams, and servers with slots. The model is tests/test_fleet.cpp.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>

#include "kernel.hpp"

extern "C" {
#include "allocator.h"
#include "catalog.h"
#include "fleet_waits.h"
#include "team_messages.h"
}

const int64_t kStart = 1000000;
const int64_t kMessageMs = 2; // one way between daemons
const int64_t kGrantMs = 400; // for which a grant holds

enum class Callers { kObey, kEarly, kNever, kMixed };

struct Team {
    double rate = 1; // in proportion to the others
    int tier = 0;
    int events = 48; // of an answer, on average
    int daemon = -1; // where all its requests go; -1: anywhere
    double quota = 0;
    double burst_rate = 0; // instead of @rate, in the second half of each 2 s
};

struct Load {
    int n_daemons = 30;
    int n_servers = 20;
    int slots = 10;
    int64_t prefill_ms = 80;
    int64_t event_ms = 28;
    int64_t objective_ms = 600;
    int64_t limit_ms = 15000;
    std::vector<Team> teams = std::vector<Team>(16);
    double ratio = 1.2; // of all requests to the capacity
    int64_t for_ms = 12000;
    int64_t callers_after_ms = 8000; // to come back
    Callers callers = Callers::kObey;
    bool has_shares = false;
    bool has_plan = false;
    bool counts_from_arrival = false; // the objective of returning requests
    int n_allocators = 1;             // at a time
    bool replaces_allocator = false;  // in the middle
    int64_t third_gone_ms = 0;        // a third of the servers is away so long
};

struct Served {
    int sent = 0, on_time = 0, late = 0, unserved = 0;
    int refused_again = 0;
    double slot_ms = 0; // while requests arrived
    double
    GetValue() const
    {
        return on_time + 0.29 * late - 0.3 * refused_again;
    }
};

struct Result {
    std::vector<Served> teams;
    Served kinds[3]; // of callers, if these are mixed
    int refusals = 0, refused_again = 0, returned = 0;
    double retry_after_ms = 0; // sum
    size_t bytes = 0;          // of teams in reports and grants
    double
    GetValue() const
    {
        double value = -0.3 * refused_again;
        for (const Served &each : teams) {
            value += each.on_time + 0.29 * each.late;
        }
        return value;
    }
    Served
    Sum(size_t from, size_t to) const
    {
        Served sum;
        for (size_t i = from; i < to; i++) {
            sum.sent += teams[i].sent;
            sum.on_time += teams[i].on_time;
            sum.late += teams[i].late;
            sum.unserved += teams[i].unserved;
            sum.slot_ms += teams[i].slot_ms;
        }
        return sum;
    }
};

inline ps_name_t
NameTeam(size_t i)
{
    return ToName("team" + std::to_string(i));
}

class Site {
  public:
    explicit Site(const Load &load) : load(load), random(load.n_daemons)
    {
        static const ps_scheduler_events_t events = {OnStart, OnRefuse};
        interval_ms = (int64_t)std::clamp(0.3 * load.n_daemons, 20.0, 150.0);
        result.teams.resize(load.teams.size());
        settings.has_team_shares = load.has_shares;
        settings.has_planned_returns = load.has_plan;
        MakeCatalog();
        servers.resize(load.n_servers);
        daemons.resize(load.n_daemons);
        for (size_t i = 0; i < daemons.size(); i++) {
            Daemon &daemon = daemons[i];
            daemon.site = this;
            daemon.name = ToName("d" + std::to_string(i));
            daemon.next_round_ms = now + (int64_t)(random() % interval_ms);
            PsScheduler_Init(daemon.Get(), &events, &daemon, &service,
                             (uint32_t)i + 1);
            daemon.Get()->is_engine = true;
            for (int k = 0; k < load.n_servers; k++) {
                ps_registration_t registration = {};
                registration.name = ToName("r" + std::to_string(k));
                registration.service = service;
                registration.slots = load.slots;
                daemon.backends.push_back(PsBackend_New(&registration, now));
                PsScheduler_AddBackend(daemon.Get(), daemon.backends.back());
            }
            PsScheduler_SetDaemons(daemon.Get(), load.n_daemons, (int)i);
            PsTeamMessages_ApplySettings(&daemon.dispatcher, &settings);
        }
        for (auto &allocator : allocators) {
            PsAllocator_Init(&allocator.allocator);
            allocator.allocator.has_team_shares = load.has_shares;
        }
    }
    ~Site()
    {
        for (auto &allocator : allocators) {
            PsAllocator_Finish(&allocator.allocator);
        }
        for (Daemon &daemon : daemons) {
            PsScheduler_Finish(daemon.Get());
            for (ps_backend_t *backend : daemon.backends) {
                PsBackend_Unlist(backend);
            }
        }
        PsCatalog_Unref(catalog);
    }
    Result
    Run()
    {
        const int64_t begin = now + 1000;
        end_ms = begin + load.for_ms;
        gone_from_ms = begin + load.for_ms / 2;
        for (; now < end_ms + load.callers_after_ms; now++) {
            if (load.third_gone_ms > 0) {
                ChangeServers();
            }
            RunMessages();
            for (Daemon &daemon : daemons) {
                RunDaemon(daemon);
            }
            if (now >= begin && now < end_ms) {
                SendRequests(now - begin);
            }
        }
        return result;
    }

  private:
    struct Daemon {
        Site *site;
        ps_name_t name;
        ps_dispatcher_t dispatcher = {};
        std::vector<ps_backend_t *> backends;
        int64_t next_round_ms;
        int64_t granted_ms = 0;
        uint64_t round = 0;
        ps_scheduler_t *
        Get()
        {
            return &dispatcher.scheduler;
        }
    };
    struct Request {
        ps_task_t task = {};
        Daemon *daemon;
        size_t team;
        int64_t asked_ms; // for the first time
        int64_t run_ms;
        int attempts = 0;
        int kind; // of its caller, if these are mixed
        size_t server;
    };
    struct Server {
        int running = 0;
        std::deque<Request *> waiting;
    };
    struct Allocator {
        ps_allocator_t allocator;
        ps_fleet_waits_t waits = {};
    };

    void
    MakeCatalog()
    {
        catalog = PsCatalog_New(1);
        for (size_t i = 0; i < load.teams.size(); i++) {
            ps_team_t *team = g_new0(ps_team_t, 1);
            team->name = NameTeam(i);
            team->rate = load.teams[i].quota;
            g_ptr_array_add(catalog->teams, team);
        }
    }
    static void
    OnStart(ps_scheduler_t *scheduler, ps_task_t *task)
    {
        Site *site = ((Daemon *)scheduler->user)->site;
        auto *request = (Request *)task->user;
        auto *daemon = (Daemon *)scheduler->user;
        const auto at = std::find(daemon->backends.begin(),
                                  daemon->backends.end(), task->backend);
        request->server = (size_t)(at - daemon->backends.begin());
        site->servers[request->server].waiting.push_back(request);
        site->RunServer(request->server);
    }
    // A server queues what is more than its slots.
    void
    RunServer(size_t index)
    {
        Server &server = servers[index];
        while (server.running < load.slots && !server.waiting.empty()) {
            Request *request = server.waiting.front();
            server.waiting.pop_front();
            server.running++;
            Send(load.prefill_ms, [this, request] {
                PsScheduler_HandleEvent(request->daemon->Get(), &request->task,
                                        8, now);
            });
            Send(request->run_ms, [this, request] { End(request); });
        }
    }
    static void
    OnRefuse(ps_scheduler_t *scheduler, ps_task_t *task, int64_t retry_ms,
             const char *)
    {
        Site *site = ((Daemon *)scheduler->user)->site;
        site->Refuse((Request *)task->user, retry_ms);
    }
    void
    Refuse(Request *request, int64_t retry_ms)
    {
        result.refusals++;
        result.retry_after_ms += (double)retry_ms;
        const int64_t left = request->asked_ms + load.limit_ms - now;
        Callers callers = load.callers;
        if (callers == Callers::kMixed) {
            callers = (Callers)request->kind;
        }
        if (request->attempts > 1 || callers == Callers::kNever) {
            result.refused_again += request->attempts > 1 ? 1 : 0;
            result.kinds[request->kind].refused_again +=
                request->attempts > 1 ? 1 : 0;
            result.teams[request->team].unserved++;
            result.kinds[request->kind].unserved++;
            delete request;
            return;
        }
        if (!load.has_plan) {
            retry_ms = std::clamp<int64_t>(left / 4, 1, retry_ms);
        }
        const int64_t wait =
            callers == Callers::kEarly ? 50 : std::min(retry_ms, left / 3);
        result.returned++;
        Send(wait, [this, request] { Submit(request); });
    }
    void
    End(Request *request)
    {
        servers[request->server].running--;
        RunServer(request->server);
        const ps_task_t &task = request->task;
        Served &served = result.teams[request->team];
        const bool is_on_time =
            task.first_event_ms <= request->asked_ms + load.objective_ms;
        (is_on_time ? served.on_time : served.late)++;
        Served &kind = result.kinds[request->kind];
        (is_on_time ? kind.on_time : kind.late)++;
        served.slot_ms += now < end_ms ? (double)request->run_ms : 0.0;
        PsScheduler_EndTask(request->daemon->Get(), &request->task,
                            PS_TASK_SUCCEEDED, now);
        delete request;
    }
    void
    Send(int64_t after_ms, std::function<void()> message)
    {
        messages.emplace(now + after_ms, std::move(message));
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
    // The capacity in requests a second, if all are as long as the mean of
    // what is sent.
    double
    GetRate(const Team &team, int64_t at_ms) const
    {
        return team.burst_rate > 0 && at_ms % 4000 >= 2000 ? team.burst_rate
                                                           : team.rate;
    }
    void
    SendRequests(int64_t at_ms)
    {
        double sum = 0, work_ms = 0;
        for (const Team &team : load.teams) {
            sum += team.rate;
            work_ms += team.rate *
                       (double)(load.prefill_ms + load.event_ms * team.events);
        }
        const double per_ms =
            load.ratio * load.n_servers * load.slots / (work_ms / sum);
        for (size_t i = 0; i < load.teams.size(); i++) {
            std::poisson_distribution<int> arrivals(
                per_ms * GetRate(load.teams[i], at_ms) / sum);
            for (int n = arrivals(random); n > 0; n--) {
                result.teams[i].sent++;
                auto *request = new Request;
                request->team = i;
                request->asked_ms = now;
                request->kind = (int)(random() % 3);
                result.kinds[request->kind].sent++;
                const int events = load.teams[i].events;
                request->run_ms =
                    load.prefill_ms +
                    load.event_ms * (events / 2 + (int)(random() % events));
                Submit(request);
            }
        }
    }
    void
    Submit(Request *request)
    {
        const int at = load.teams[request->team].daemon;
        request->daemon =
            &daemons[at >= 0 ? (size_t)at : random() % daemons.size()];
        request->attempts++;
        ps_task_t &task = request->task;
        task = {};
        task.user = request;
        task.is_generation = true;
        task.tier = load.teams[request->team].tier;
        task.arrived_ms = now;
        task.deadline_ms = request->asked_ms + load.limit_ms;
        task.first_asked_ms = now;
        if (load.has_shares || load.has_plan) {
            const ps_name_t name = NameTeam(request->team);
            task.team = load.has_shares ? PsTeamShares_HashTeam(&name) : 0;
            task.first_asked_ms = PsReturnPlan_GetFirstAskedMs(
                load.limit_ms, task.deadline_ms - now, now);
        }
        task.objective_ms =
            load.objective_ms + (load.has_plan && !load.counts_from_arrival
                                     ? task.first_asked_ms
                                     : now);
        task.wait_deadline_ms =
            now + std::min<int64_t>(1400, task.deadline_ms - now - 30);
        PsScheduler_Submit(request->daemon->Get(), &task, now);
    }
    void
    ChangeServers()
    {
        const bool is_gone =
            now >= gone_from_ms && now < gone_from_ms + load.third_gone_ms;
        for (Daemon &daemon : daemons) {
            for (int k = 0; k < load.n_servers / 3; k++) {
                daemon.backends[k]->registration.is_leaving = is_gone;
            }
        }
        n_gone = is_gone ? load.n_servers / 3 : 0;
    }
    int
    GetAllocator(const Daemon &daemon) const
    {
        const bool is_new = load.replaces_allocator && now > gone_from_ms;
        return load.n_allocators > 1 ? (int)(&daemon - &daemons[0]) % 2
                                     : (is_new ? 1 : 0);
    }
    void
    RunDaemon(Daemon &daemon)
    {
        ps_scheduler_t *scheduler = daemon.Get();
        if (scheduler->has_granted_limits &&
            now - daemon.granted_ms > kGrantMs) {
            PsScheduler_UseEvenShares(scheduler);
        }
        PsScheduler_Run(scheduler, now);
        const bool is_lost = load.replaces_allocator && now > gone_from_ms &&
                             now < gone_from_ms + 900;
        if (now < daemon.next_round_ms || load.n_allocators == 0 || is_lost) {
            return;
        }
        daemon.next_round_ms = now + interval_ms;
        Report(daemon);
        const size_t index = (size_t)(&daemon - &daemons[0]);
        if (index < 2 && (int)index == GetAllocator(daemons[index])) {
            Divide(allocators[index]);
        }
        else if (index == 1 && GetAllocator(daemon) == 1) {
            Divide(allocators[1]);
        }
    }
    std::string
    PackTeams(Daemon &daemon)
    {
        Ps__ServiceUse use = PS__SERVICE_USE__INIT;
        PsTeamMessages_AddToReport(&use, &daemon.dispatcher, daemon.round,
                                   now);
        std::string packed(ps__service_use__get_packed_size(&use), '\0');
        ps__service_use__pack(&use, (uint8_t *)packed.data());
        PsTeamMessages_FreeInReport(&use);
        result.bytes += packed.size();
        return packed;
    }
    void
    Report(Daemon &daemon)
    {
        ps_scheduler_t *scheduler = daemon.Get();
        daemon.round++;
        ps_waiting_count_t counts[PS_RANKS_MAX];
        const int n =
            PsScheduler_CountWaiting(scheduler, counts, PS_RANKS_MAX, now);
        std::vector<ps_waiting_count_t> waiting(counts, counts + n);
        const int n_started = PsScheduler_TakeStarts(scheduler, counts);
        std::vector<ps_waiting_count_t> started(counts, counts + n_started);
        std::vector<ps_slot_count_t> running;
        for (size_t k = 0; k < daemon.backends.size(); k++) {
            if (daemon.backends[k]->running > 0) {
                running.push_back(
                    {(uint32_t)k + 1, daemon.backends[k]->running});
            }
        }
        Allocator &to = allocators[GetAllocator(daemon)];
        Send(kMessageMs, [this, &daemon, &to, waiting, started, running,
                          teams = PackTeams(daemon), round = daemon.round] {
            for (const auto &each : started) {
                PsFleetWaits_AddStarts(&to.waits, each.rank, each.count, now);
            }
            ps_reporter_t *reporter =
                PsAllocator_StartReport(&to.allocator, &daemon.name, 0, now);
            reporter->round = round;
            ps_service_use_t *use =
                PsReporter_GetServiceUse(reporter, &service);
            g_array_append_vals(use->running, running.data(),
                                (guint)running.size());
            g_array_append_vals(use->waiting, waiting.data(),
                                (guint)waiting.size());
            Ps__ServiceUse *message = ps__service_use__unpack(
                nullptr, teams.size(), (const uint8_t *)teams.data());
            // Started requests are reported anyway; not counted as bytes.
            std::vector<Ps__WaitingCount> counts_started(started.size());
            std::vector<Ps__WaitingCount *> pointers;
            for (size_t i = 0; i < started.size(); i++) {
                ps__waiting_count__init(&counts_started[i]);
                counts_started[i].rank = started[i].rank;
                counts_started[i].count = (uint32_t)started[i].count;
                pointers.push_back(&counts_started[i]);
            }
            message->started = pointers.data();
            message->n_started = pointers.size();
            PsTeamMessages_HandleReport(&to.allocator, &service, message, use,
                                        now);
            message->started = nullptr;
            message->n_started = 0;
            ps__service_use__free_unpacked(message, nullptr);
        });
    }
    void
    Divide(Allocator &from)
    {
        std::vector<ps_slot_count_t> slots;
        for (int k = n_gone; k < load.n_servers; k++) {
            slots.push_back({(uint32_t)k + 1, load.slots});
        }
        ps_waiting_count_t counts[PS_RANKS_MAX];
        const int n = PsAllocator_CountWaiting(&from.allocator, &service,
                                               counts, PS_RANKS_MAX, now);
        std::vector<ps_rank_wait_t> waits(n);
        PsFleetWaits_Estimate(&from.waits, counts, n, waits.data(), now);
        PsTeamMessages_StartRound(&from.allocator, &service, catalog, now);
        PsAllocator_DivideSlots(&from.allocator, &service, slots.data(),
                                (int)slots.size(), load.n_daemons, now);
        for (Daemon &daemon : daemons) {
            auto *reporter = (ps_reporter_t *)g_hash_table_lookup(
                from.allocator.reporters, &daemon.name);
            if (reporter &&
                now - reporter->reported_ms <= PS_REPORT_MAX_AGE_MS) {
                Grant(from, daemon, reporter, waits);
            }
        }
    }
    void
    Grant(Allocator &from, Daemon &daemon, ps_reporter_t *reporter,
          const std::vector<ps_rank_wait_t> &waits)
    {
        const GArray *limits =
            PsReporter_GetServiceUse(reporter, &service)->limits;
        std::vector<int> granted(load.n_servers);
        for (guint i = 0; i < limits->len; i++) {
            const auto &limit = g_array_index(limits, ps_slot_count_t, i);
            granted[limit.server - 1] = limit.count;
        }
        Ps__ServiceGrant grant = PS__SERVICE_GRANT__INIT;
        PsTeamMessages_AddToGrant(&from.allocator, &service, &grant,
                                  reporter->round, now);
        std::string packed(ps__service_grant__get_packed_size(&grant), '\0');
        ps__service_grant__pack(&grant, (uint8_t *)packed.data());
        PsTeamMessages_FreeInGrant(&grant);
        result.bytes += packed.size();
        Send(kMessageMs, [this, &daemon, granted, waits, packed,
                          round = reporter->round] {
            ps_scheduler_t *scheduler = daemon.Get();
            daemon.granted_ms = now;
            PsScheduler_SetFleetWaits(scheduler, waits.data(),
                                      (int)waits.size(), now + kGrantMs);
            for (size_t k = 0; k < granted.size(); k++) {
                daemon.backends[k]->slot_limit = granted[k];
            }
            scheduler->has_granted_limits = true;
            scheduler->granted_until_ms = now + kGrantMs;
            Ps__ServiceGrant *message = ps__service_grant__unpack(
                nullptr, packed.size(), (const uint8_t *)packed.data());
            PsTeamMessages_HandleGrant(scheduler, message, now + kGrantMs);
            ps__service_grant__free_unpacked(message, nullptr);
            PsScheduler_TakeGrant(scheduler, round, now);
        });
    }

    Load load;
    std::mt19937 random;
    ps_name_t service = ToName("s");
    ps_gateway_settings_t settings = {};
    ps_catalog_t *catalog;
    int64_t now = kStart;
    int64_t end_ms;
    int64_t gone_from_ms;
    int64_t interval_ms;
    int n_gone = 0;
    std::vector<Daemon> daemons;
    std::vector<Server> servers;
    std::multimap<int64_t, std::function<void()>> messages;
    Allocator allocators[2] = {};
    Result result;
};
