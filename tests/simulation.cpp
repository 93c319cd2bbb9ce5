// simulation.cpp - The simulated daemons, platform, servers and callers.
#include "simulation.hpp"

#include <algorithm>

static const int64_t kStepMs = 50; // interval of RunStep()

struct Simulation::Daemon {
    Simulation *simulation;
    std::string name;
    uint64_t incarnation;
    int64_t paused_until = 0;
    ps_entry_t entry;
    std::map<std::string, std::unique_ptr<ps_call_t>> calls;
    std::string known_owner;
    uint64_t known_epoch = 0;
    const ps_config_t *config;
    std::unique_ptr<ps_owner_t> owner;
    bool is_claiming = false;
    bool is_ledger_busy = false;
};

// An id's latest dispatch. The counts and the epoch are those at its time.
struct Simulation::DispatchRecord {
    std::string server;
    std::string daemon;
    int crashes = 0;       // of the server
    int interruptions = 0; // crashes and pauses of the daemon
    uint64_t epoch = 0;    // of the pool's owner
};

struct Simulation::Caller {
    int id;
    DispatchRecord last_dispatch;
    bool is_finished = false;
    int attempts = 0;
    int dispatches = 0;
    int tier;
    bool idempotent;
    std::string last_entry;
    uint64_t last_incarnation = 0;
    bool refused_not_run = false;
};

static const ps_entry_events_t *entry_events;
static const ps_owner_events_t *owner_events;

Simulation::Simulation(uint64_t seed, const Faults &given, bool model)
    : faults(given), is_model(model), random(seed)
{
    static const ps_entry_events_t entry_table = {
        OnGrantRequest, OnDispatchEnded, OnWithdraw,
        OnDispatch,     OnRefuse,        OnCancel};
    static const ps_owner_events_t owner_table = {
        OnOwnerAnswer, OnOwnerCancel, OnQueryDispatches, OnQueryStreams};
    entry_events = &entry_table;
    owner_events = &owner_table;
    pool = ToName(is_model ? "m" : "s");
    std::string text = MakeConfigText(3, 3);
    ps_buf_t changed;
    PsBuf_Init(&changed);
    if (PsConfig_Parse(&config, ToStr(text), 1) != PS_OK ||
        PsConfig_SetServerState(ToStr(text), is_model ? "e1" : "s1", "leaving",
                                &changed) != PS_OK ||
        PsConfig_Parse(&leaving_config, PsBuf_View(&changed), 2) != PS_OK) {
        abort();
    }
    PsBuf_Finish(&changed);
}

Simulation::~Simulation()
{
    while (!daemons.empty()) {
        CrashDaemon(daemons.begin()->second.get());
    }
    PsConfig_Finish(&config);
    PsConfig_Finish(&leaving_config);
}

double
Simulation::DrawUniform()
{
    return std::uniform_real_distribution<double>(0, 1)(random);
}

int64_t
Simulation::DrawBetween(int64_t low, int64_t high)
{
    return low + (int64_t)(DrawUniform() * (double)(high - low));
}

void
Simulation::Schedule(int64_t when, std::function<void()> action)
{
    events[{std::max(when, now), ++sequence}] = std::move(action);
}

// Runs an action on a daemon, after its pause if it is paused. Nothing runs
// if the daemon has crashed or was restarted since.
void
Simulation::RunOnDaemon(const std::string &name, uint64_t incarnation,
                        std::function<void(Daemon *)> action)
{
    auto found = daemons.find(name);
    if (found == daemons.end() || found->second->incarnation != incarnation) {
        return;
    }
    Daemon *daemon = found->second.get();
    if (daemon->paused_until > now) {
        Schedule(daemon->paused_until + 1, [this, name, incarnation, action] {
            RunOnDaemon(name, incarnation, action);
        });
        return;
    }
    action(daemon);
}

void
Simulation::Send(Daemon *from, const std::string &to,
                 std::function<void(Daemon *)> action)
{
    bool is_lost = from->name != to && !faults_ended &&
                   DrawUniform() < faults.message_loss;
    auto found = daemons.find(to);
    if (is_lost || found == daemons.end()) {
        return;
    }
    uint64_t incarnation = found->second->incarnation;
    Schedule(now + DrawBetween(1, 20), [this, to, incarnation, action] {
        RunOnDaemon(to, incarnation, action);
    });
}

/* ---- Entry events ----------------------------------------------------- */

void
Simulation::OnGrantRequest(ps_entry_t *entry, const ps_call_t *call)
{
    auto *daemon = (Daemon *)entry->user;
    Simulation *simulation = daemon->simulation;
    ps_grant_request_t request = call->request;
    simulation->Send(daemon, daemon->known_owner,
                     [simulation, request](Daemon *to) {
                         if (to->owner) {
                             PsOwner_HandleRequest(to->owner.get(), &request,
                                                   simulation->now);
                             simulation->RunOwner(to);
                         }
                     });
}

void
Simulation::OnDispatchEnded(ps_entry_t *entry,
                            const ps_ended_dispatch_t *ended)
{
    auto *daemon = (Daemon *)entry->user;
    Simulation *simulation = daemon->simulation;
    ps_ended_dispatch_t copy = *ended;
    std::string from = daemon->name;
    simulation->Send(
        daemon, daemon->known_owner, [simulation, copy, from](Daemon *to) {
            if (!to->owner || to->owner->state != PS_OWNER_SERVING) {
                return;
            }
            PsOwner_HandleDone(to->owner.get(), &copy.ticket, &copy.token,
                               &copy.id, &copy.result, simulation->now);
            simulation->RunOwner(to);
            simulation->Send(to, from, [copy](Daemon *target) {
                PsEntry_HandleDoneAck(&target->entry, &copy.ticket,
                                      &copy.token, copy.result.outcome);
            });
        });
}

void
Simulation::OnWithdraw(ps_entry_t *entry, const ps_call_t *call)
{
    auto *daemon = (Daemon *)entry->user;
    ps_name_t ticket = call->request.ticket;
    ps_name_t id = call->request.id;
    daemon->simulation->Send(daemon, daemon->known_owner, [=](Daemon *to) {
        if (to->owner) {
            PsOwner_HandleWithdraw(to->owner.get(), &ticket, &id);
        }
    });
}

void
Simulation::OnDispatch(ps_entry_t *entry, ps_call_t *call, const char *)
{
    auto *daemon = (Daemon *)entry->user;
    daemon->simulation->DispatchCall(daemon, call);
}

void
Simulation::OnRefuse(ps_entry_t *entry, ps_call_t *call,
                     const ps_refusal_t *refusal, const char *)
{
    auto *daemon = (Daemon *)entry->user;
    daemon->simulation->HandleRefusal((int)(intptr_t)call->user, refusal->ran);
    daemon->calls.erase(ToString(call->request.ticket));
}

void
Simulation::OnCancel(ps_entry_t *entry, ps_call_t *call, const char *)
{
    auto *daemon = (Daemon *)entry->user;
    daemon->simulation->EndCall(daemon, call, PS_OUTCOME_CANCELLED);
}

/* ---- Owner events ----------------------------------------------------- */

void
Simulation::OnOwnerAnswer(ps_owner_t *owner, const ps_name_t *entry,
                          const ps_answer_t *answer)
{
    auto *daemon = (Daemon *)owner->user;
    Simulation *simulation = daemon->simulation;
    ps_answer_t copy = *answer;
    simulation->Send(daemon, ToString(*entry), [simulation, copy](Daemon *to) {
        ps_answer_t answer = copy;
        if (simulation->faults.accepts_stale_grants) {
            // Disables the check of epoch and attempt: the answer looks as
            // if it answered the entry's latest request.
            answer.epoch = PsEntry_GetEpoch(&to->entry, &answer.pool);
            auto call = to->calls.find(ToString(answer.ticket));
            if (call != to->calls.end()) {
                answer.attempt = call->second->request.attempt;
                call->second->returned_token = ps_name_t{};
            }
        }
        PsEntry_HandleAnswer(&to->entry, &answer, simulation->now);
    });
}

void
Simulation::OnOwnerCancel(ps_owner_t *owner, const ps_name_t *entry,
                          const ps_name_t *ticket, const char *)
{
    auto *daemon = (Daemon *)owner->user;
    ps_name_t copy = *ticket;
    uint64_t epoch = owner->epoch;
    ps_name_t name = owner->name;
    daemon->simulation->Send(daemon, ToString(*entry), [=](Daemon *to) {
        PsEntry_HandleCancel(&to->entry, &name, epoch, &copy, "preempted");
    });
}

void
Simulation::OnQueryDispatches(ps_owner_t *owner, const ps_name_t *member)
{
    auto *daemon = (Daemon *)owner->user;
    Simulation *simulation = daemon->simulation;
    uint64_t epoch = owner->epoch;
    std::string self = daemon->name;
    simulation->Send(daemon, ToString(*member), [=](Daemon *to) {
        ps_dispatch_t *found;
        int n = PsEntry_HandleRecoveryQuery(&to->entry, &simulation->pool,
                                            epoch, &found, simulation->now);
        std::vector<ps_dispatch_t> list(found, found + std::max(n, 0));
        g_free(found);
        if (n < 0) {
            return;
        }
        simulation->SetKnownOwner(to, self, epoch);
        ps_name_t name = ToName(to->name);
        simulation->Send(to, self, [=](Daemon *target) {
            if (target->owner && target->owner->epoch == epoch) {
                PsOwner_HandleRecoveryAnswer(target->owner.get(), &name,
                                             list.data(), (int)list.size(),
                                             simulation->now);
            }
        });
    });
}

void
Simulation::OnQueryStreams(ps_owner_t *owner, const ps_server_config_t *server)
{
    auto *daemon = (Daemon *)owner->user;
    Simulation *simulation = daemon->simulation;
    ps_name_t name = server->name;
    uint64_t epoch = owner->epoch;
    simulation->Send(daemon, daemon->name, [=](Daemon *to) {
        if (!to->owner || to->owner->epoch != epoch) {
            return;
        }
        std::vector<ps_dispatch_t> list;
        for (auto &[token, stream] : simulation->servers[ToString(name)]) {
            if (simulation->faults.forgets_ids) {
                break;
            }
            ps_dispatch_t dispatch = {};
            dispatch.request.id = ToName("t/" + std::to_string(stream.id));
            dispatch.request.idempotent = true;
            dispatch.server = name;
            dispatch.token = ToName(token);
            dispatch.outcome =
                stream.ended ? PS_OUTCOME_COMPLETE : PS_OUTCOME_ORPHANED;
            list.push_back(dispatch);
        }
        PsOwner_HandleRecoveryAnswer(to->owner.get(), &name, list.data(),
                                     (int)list.size(), simulation->now);
    });
}

/* ---- Daemons ---------------------------------------------------------- */

void
Simulation::StartDaemon(const std::string &name)
{
    auto daemon = std::make_unique<Daemon>();
    daemon->simulation = this;
    daemon->name = name;
    daemon->incarnation = ++next_incarnation;
    daemon->known_owner = owner_name;
    daemon->known_epoch = owner_epoch;
    ps_name_t self = ToName(name);
    PsEntry_Init(&daemon->entry, entry_events, &self, daemon->incarnation,
                 faults.forgets_ids ? 1 : 600000);
    daemon->entry.user = daemon.get();
    daemon->config = leaving_since > 0 ? &leaving_config : &config;
    PsEntry_SetConfig(&daemon->entry, daemon->config);
    daemons[name] = std::move(daemon);
}

void
Simulation::CrashDaemon(Daemon *daemon)
{
    interruptions[daemon->name]++;
    PsEntry_Finish(&daemon->entry);
    if (daemon->owner) {
        PsOwner_Finish(daemon->owner.get());
    }
    daemons.erase(daemon->name);
}

void
Simulation::PauseDaemon(Daemon *daemon, int64_t ms)
{
    daemon->paused_until = now + ms;
    interruptions[daemon->name]++;
    std::string name = daemon->name;
    uint64_t incarnation = daemon->incarnation;
    // Sequence 0 sorts first at that time: the daemon detects its pause before
    // it handles anything else.
    events[{daemon->paused_until, 0}] = [this, name, incarnation] {
        RunOnDaemon(name, incarnation, [this](Daemon *target) {
            PsEntry_HandlePause(&target->entry, now);
        });
    };
}

// Tells all daemons who owns the pool, as the heartbeats of an owner do.
void
Simulation::SendHeartbeats(Daemon *daemon)
{
    uint64_t epoch = daemon->owner->epoch;
    std::string self = daemon->name;
    std::vector<std::string> names;
    for (auto &[name, other] : daemons) {
        names.push_back(name);
    }
    for (auto &name : names) {
        Send(daemon, name,
             [=](Daemon *to) { SetKnownOwner(to, self, epoch); });
    }
}

void
Simulation::SetKnownOwner(Daemon *daemon, const std::string &owner,
                          uint64_t epoch)
{
    if (epoch > daemon->known_epoch) {
        daemon->known_epoch = epoch;
        daemon->known_owner = owner;
        PsEntry_SetOwner(&daemon->entry, &pool, epoch, now);
    }
}

/* ---- Owners ----------------------------------------------------------- */

void
Simulation::StartOwner(Daemon *daemon, uint64_t epoch)
{
    if (daemon->owner) {
        PsOwner_Finish(daemon->owner.get());
    }
    daemon->owner = std::make_unique<ps_owner_t>();
    std::vector<ps_name_t> members;
    for (auto &[name, other] : daemons) {
        members.push_back(ToName(name));
    }
    if (members.size() > 1 && DrawUniform() < 0.5) {
        // A member that counts as live may never answer.
        members.push_back(ToName("ghost"));
    }
    // In ms: recovery timeout, id window, ledger batch, ledger timeout.
    ps_owner_options_t options = {1500, faults.forgets_ids ? 1 : 600000, 20,
                                  1500};
    ps_name_t self = ToName(daemon->name);
    takeovers++;
    PsOwner_Init(daemon->owner.get(), owner_events, &options, &self, &pool,
                 epoch, daemon, daemon->config, members.data(),
                 (int)members.size(), now);
    if (faults.skips_ledger) {
        daemon->owner->has_ledger = false;
    }
    daemon->is_ledger_busy = false;
}

// An operator sets the first server to leaving. Each daemon receives the
// configuration within 2.25 s, a paused one within 0.25 s after its pause.
void
Simulation::SetServerLeaving()
{
    leaving_since = now;
    for (auto &[name, daemon] : daemons) {
        std::string copy = name;
        uint64_t incarnation = daemon->incarnation;
        Schedule(now + DrawBetween(10, 2000), [=] {
            RunOnDaemon(copy, incarnation, [=](Daemon *) {
                Schedule(now + DrawBetween(1, 250), [=] {
                    RunOnDaemon(copy, incarnation, [=](Daemon *target) {
                        ApplyLeavingConfig(target);
                    });
                });
            });
        });
    }
}

void
Simulation::ApplyLeavingConfig(Daemon *daemon)
{
    if (faults.ignores_leaving_state) {
        return;
    }
    daemon->config = &leaving_config;
    PsEntry_SetConfig(&daemon->entry, &leaving_config);
    if (daemon->owner) {
        PsPool_Configure(&daemon->owner->pool, &leaving_config, now);
    }
}

void
Simulation::TryClaimPool(Daemon *daemon)
{
    auto owner = daemons.find(owner_name);
    bool is_owner_down =
        owner == daemons.end() || owner->second->paused_until > now + 500 ||
        (owner->second->name == daemon->name && !daemon->owner);
    bool is_wrongly_suspected =
        !faults_ended &&
        DrawUniform() < faults.false_suspicion * kStepMs / 1000.0;
    if (daemon->is_claiming || daemon->owner ||
        (!is_owner_down && !is_wrongly_suspected) ||
        now < platform_down_until) {
        return;
    }
    daemon->is_claiming = true;
    uint64_t expected = owner_epoch;
    std::string name = daemon->name;
    uint64_t incarnation = daemon->incarnation;
    Schedule(now + DrawBetween(2, 40), [=] {
        bool has_won = owner_epoch == expected && now >= platform_down_until;
        if (has_won) {
            owner_epoch++;
            owner_name = name;
        }
        Schedule(now + DrawBetween(2, 20), [=] {
            RunOnDaemon(name, incarnation, [=](Daemon *target) {
                target->is_claiming = false;
                if (has_won) {
                    StartOwner(target, expected + 1);
                }
            });
        });
    });
}

void
Simulation::RunOwner(Daemon *daemon)
{
    if (!daemon->owner) {
        return;
    }
    PsOwner_Run(daemon->owner.get(), now);
    if (daemon->owner->has_ledger) {
        RunLedgerOp(daemon);
    }
}

void
Simulation::RunLedgerOp(Daemon *daemon)
{
    if (daemon->is_ledger_busy) {
        return;
    }
    const ps_ledger_op_t *op =
        PsLedger_StartOp(&daemon->owner->ledger, now, now / 1000);
    if (op->kind == PS_LEDGER_OP_NONE) {
        return;
    }
    daemon->is_ledger_busy = true;
    ps_ledger_op_t copy = *op;
    std::string value = op->value ? op->value : "";
    std::string name = daemon->name;
    uint64_t incarnation = daemon->incarnation;
    uint64_t epoch = daemon->owner->epoch;
    // An operation may be applied late, it may fail, and its answer may get
    // lost.
    Schedule(now + DrawBetween(1, DrawUniform() < 0.1 ? 400 : 30), [=] {
        ps_status_t status = PS_OK;
        uint64_t written = 0;
        std::vector<std::pair<std::string, Object>> list;
        std::string key = ToString(copy.key);
        if (now < platform_down_until) {
            status = DrawUniform() < 0.5 ? PS_UNAVAILABLE : PS_UNKNOWN;
        }
        else if (copy.kind == PS_LEDGER_OP_LIST) {
            for (auto &[at, object] : objects) {
                if (at.compare(0, key.size(), key) == 0) {
                    list.push_back({at, object});
                }
            }
        }
        else {
            auto found = objects.find(key);
            uint64_t current =
                found == objects.end() ? 0 : found->second.version;
            if (current != copy.version) {
                status = PS_CONFLICT;
            }
            else if (copy.kind == PS_LEDGER_OP_DELETE) {
                objects.erase(key);
            }
            else {
                written = ++version;
                objects[key] = Object{value, written};
            }
            if (!faults_ended && DrawUniform() < faults.lost_write_answer) {
                status = PS_UNKNOWN;
            }
        }
        Schedule(now + DrawBetween(1, 10), [=] {
            RunOnDaemon(name, incarnation, [=](Daemon *target) {
                if (!target->owner || target->owner->epoch != epoch) {
                    return;
                }
                target->is_ledger_busy = false;
                std::vector<ps_ledger_object_t> found;
                for (auto &[at, object] : list) {
                    found.push_back(
                        {ToName(at), object.version, object.value.c_str()});
                }
                PsLedger_HandleOpResult(&target->owner->ledger, status,
                                        written, found.data(),
                                        (int)found.size(), now);
                RunOwner(target);
            });
        });
    });
}

/* ---- Servers ---------------------------------------------------------- */

void
Simulation::DispatchCall(Daemon *daemon, ps_call_t *call)
{
    std::string server = ToString(call->server);
    std::string token = ToString(call->token);
    std::string ticket = ToString(call->request.ticket);
    std::string name = daemon->name;
    uint64_t incarnation = daemon->incarnation;
    int id = (int)(intptr_t)call->user;
    bool is_down = server_down[server] > now;
    if (call->is_resumed) {
        resumes++;
        auto stream = servers[server].find(token);
        if (is_down || stream == servers[server].end()) {
            Schedule(now + 5, [=] {
                RunOnDaemon(name, incarnation, [=](Daemon *target) {
                    auto found = target->calls.find(ticket);
                    if (found != target->calls.end()) {
                        EndCall(target, found->second.get(), PS_OUTCOME_LOST);
                    }
                });
            });
            return;
        }
        int64_t ends = stream->second.ends;
        Schedule(std::max(ends, now + 5), [=] {
            FinishStream(name, incarnation, ticket, server, token);
        });
        return;
    }
    if (is_down ||
        (!faults_ended && DrawUniform() < faults.connection_refusal)) {
        Schedule(now + DrawBetween(1, 5), [=] {
            RunOnDaemon(name, incarnation, [=](Daemon *target) {
                auto found = target->calls.find(ticket);
                if (found != target->calls.end()) {
                    PsEntry_HandleNotSent(&target->entry, found->second.get(),
                                          now);
                }
            });
        });
        return;
    }
    if (leaving_since > 0 && now > leaving_since + 3000 &&
        server == (is_model ? "e1" : "s1")) {
        late_dispatches++;
    }
    int64_t ends = now + DrawBetween(20, DrawUniform() < 0.2 ? 6000 : 800);
    servers[server][token] = Stream{id, ends, false};
    Caller &caller = callers[(size_t)id];
    if (caller.dispatches > 0 && IsDispatchForgotten(caller.last_dispatch)) {
        forgotten_dispatches++;
    }
    else {
        caller.dispatches++;
    }
    caller.last_dispatch = DispatchRecord{server, name, crashes[server],
                                          interruptions[name], owner_epoch};
    Schedule(ends,
             [=] { FinishStream(name, incarnation, ticket, server, token); });
}

// Tells whether every record of a dispatch may be lost: the server that ran it
// has crashed since, the daemon that sent it has crashed or was paused, and
// the pool has another owner. Only then may an id run twice.
bool
Simulation::IsDispatchForgotten(const DispatchRecord &dispatch)
{
    return crashes[dispatch.server] > dispatch.crashes &&
           interruptions[dispatch.daemon] > dispatch.interruptions &&
           owner_epoch > dispatch.epoch;
}

// A server ends a stream; the call that reads it gets the whole answer. The
// server keeps the ended stream until it crashes.
void
Simulation::FinishStream(const std::string &name, uint64_t incarnation,
                         const std::string &ticket, const std::string &server,
                         const std::string &token)
{
    auto stream = servers[server].find(token);
    if (stream == servers[server].end()) {
        return;
    }
    stream->second.ended = true;
    int id = stream->second.id;
    RunOnDaemon(name, incarnation, [=](Daemon *daemon) {
        auto found = daemon->calls.find(ticket);
        if (found == daemon->calls.end()) {
            return;
        }
        ps_call_t *call = found->second.get();
        if (call->state != PS_CALL_DISPATCHED) {
            return;
        }
        HandleAnswer((int)(intptr_t)call->user, true,
                     (int)(intptr_t)call->user == id);
        PsEntry_SetTokens(call, 10, now);
        PsEntry_End(&daemon->entry, call, PS_OUTCOME_COMPLETE, now);
        daemon->calls.erase(ticket);
    });
}

void
Simulation::CrashServer(const std::string &server)
{
    std::vector<std::string> tokens;
    for (auto &[token, stream] : servers[server]) {
        tokens.push_back(token);
    }
    servers[server].clear();
    crashes[server]++;
    server_down[server] = now + DrawBetween(500, 3000);
    for (auto &[name, daemon] : daemons) {
        std::vector<std::string> broken;
        for (auto &[ticket, call] : daemon->calls) {
            if (call->state == PS_CALL_DISPATCHED &&
                ToString(call->server) == server) {
                broken.push_back(ticket);
            }
        }
        for (auto &ticket : broken) {
            RunOnDaemon(name, daemon->incarnation, [=](Daemon *target) {
                auto found = target->calls.find(ticket);
                if (found != target->calls.end() &&
                    found->second->state == PS_CALL_DISPATCHED) {
                    EndCall(target, found->second.get(), PS_OUTCOME_BROKEN);
                }
            });
        }
    }
}

void
Simulation::EndCall(Daemon *daemon, ps_call_t *call, ps_outcome_t outcome)
{
    HandleRefusal((int)(intptr_t)call->user, PS_RAN_UNKNOWN);
    std::string ticket = ToString(call->request.ticket);
    PsEntry_End(&daemon->entry, call, outcome, now);
    daemon->calls.erase(ticket);
}

/* ---- Callers ---------------------------------------------------------- */

void
Simulation::SendRequest(int id)
{
    Caller &caller = callers[(size_t)id];
    std::vector<std::string> names;
    for (auto &[name, daemon] : daemons) {
        names.push_back(name);
    }
    if (names.empty() || caller.is_finished) {
        return;
    }
    std::string name = names[(size_t)DrawBetween(0, (int64_t)names.size())];
    uint64_t incarnation = daemons[name]->incarnation;
    caller.attempts++;
    caller.last_entry = name;
    caller.last_incarnation = incarnation;
    Schedule(now + DrawBetween(1, 5), [=] {
        RunOnDaemon(name, incarnation, [=](Daemon *daemon) {
            auto call = std::make_unique<ps_call_t>();
            *call = ps_call_t{};
            call->request.id = ToName("t/" + std::to_string(id));
            call->request.team = ToName("t");
            call->request.tier = callers[(size_t)id].tier;
            call->request.idempotent = callers[(size_t)id].idempotent;
            call->request.deadline_ms = now + 20000;
            call->request.prompt_tokens = 100;
            call->request.max_tokens = 10;
            call->request.content_hash = (uint64_t)id + 1;
            call->pool = pool;
            call->user = (void *)(intptr_t)id;
            ps_call_t *accepted = call.get();
            // PsEntry_Accept() sets the ticket.
            PsEntry_Accept(&daemon->entry, accepted, now);
            daemon->calls[ToString(accepted->request.ticket)] =
                std::move(call);
        });
    });
}

void
Simulation::HandleAnswer(int id, bool is_whole, bool is_own)
{
    Caller &caller = callers[(size_t)id];
    wrong_answers += is_whole && is_own ? 0 : 1;
    answered += caller.is_finished ? 0 : 1;
    caller.is_finished = true;
}

void
Simulation::HandleRefusal(int id, ps_ran_t ran)
{
    Caller &caller = callers[(size_t)id];
    refused++;
    if (ran == PS_RAN_NO && caller.dispatches > 0) {
        wrong_not_run++;
    }
    if (ran != PS_RAN_NO && caller.attempts > 2) {
        caller.is_finished = true;
    }
    if (!caller.is_finished && caller.attempts < 6) {
        Schedule(now + DrawBetween(100, 1500),
                 [this, id] { SendRequest(id); });
    }
    else {
        caller.is_finished = true;
    }
}

/* ---- Time ------------------------------------------------------------- */

void
Simulation::RunStep()
{
    double second = kStepMs / 1000.0;
    for (auto &[name, daemon] : daemons) {
        if (!faults_ended && daemon->paused_until <= now &&
            DrawUniform() < faults.daemon_pause * second) {
            PauseDaemon(daemon.get(), DrawBetween(1100, 6000));
        }
    }
    std::vector<std::string> names;
    for (auto &[name, daemon] : daemons) {
        names.push_back(name);
    }
    for (auto &name : names) {
        Daemon *daemon = daemons[name].get();
        if (!faults_ended && names.size() > 1 &&
            DrawUniform() < faults.daemon_crash * second) {
            CrashDaemon(daemon);
            Schedule(now + DrawBetween(200, 4000), [this, name] {
                if (!daemons.count(name)) {
                    StartDaemon(name);
                }
            });
            continue;
        }
        if (daemon->paused_until > now) {
            continue;
        }
        PsEntry_Run(&daemon->entry, now);
        // A watch or a heartbeat tells the daemon the current owner after some
        // time.
        if (DrawUniform() < 0.1) {
            SetKnownOwner(daemon, owner_name, owner_epoch);
        }
        if (daemon->owner && now % 200 < kStepMs) {
            SendHeartbeats(daemon);
        }
        if (daemon->owner &&
            (owner_epoch > daemon->owner->epoch ||
             daemon->owner->state == PS_OWNER_STOPPED) &&
            DrawUniform() < 0.2) {
            PsOwner_Finish(daemon->owner.get());
            daemon->owner.reset();
        }
        RunOwner(daemon);
        TryClaimPool(daemon);
    }
    for (int i = 1; i <= 3 && !faults_ended; i++) {
        if (DrawUniform() < faults.server_crash * second) {
            CrashServer((is_model ? "e" : "s") + std::to_string(i));
        }
    }
    if (!faults_ended && now >= platform_down_until &&
        DrawUniform() < faults.platform_outage * second) {
        platform_down_until = now + DrawBetween(300, 8000);
    }
    // Owners notice members that have crashed or are paused.
    for (auto &[name, daemon] : daemons) {
        if (!daemon->owner || daemon->paused_until > now) {
            continue;
        }
        for (int i = 1; i <= 5; i++) {
            std::string other = "d" + std::to_string(i);
            auto found = daemons.find(other);
            bool seems_down =
                found == daemons.end() || found->second->paused_until > now;
            if (seems_down && DrawUniform() < 0.1) {
                ps_name_t member = ToName(other);
                PsOwner_RemoveMember(daemon->owner.get(), &member, now);
            }
        }
    }
    // Callers retry when their entry has crashed, and sometimes without cause.
    for (Caller &caller : callers) {
        if (caller.is_finished || caller.attempts == 0 ||
            caller.attempts >= 6) {
            continue;
        }
        auto found = daemons.find(caller.last_entry);
        bool is_entry_lost =
            found == daemons.end() ||
            found->second->incarnation != caller.last_incarnation;
        if (is_entry_lost ||
            (!faults_ended && DrawUniform() < faults.caller_retry * second)) {
            SendRequest(caller.id);
        }
    }
}

void
Simulation::Run(int n_daemons, int requests, int64_t load_ms)
{
    for (int i = 1; i <= n_daemons; i++) {
        StartDaemon("d" + std::to_string(i));
    }
    callers.resize((size_t)requests);
    for (int i = 0; i < requests; i++) {
        Caller &caller = callers[(size_t)i];
        caller.id = i;
        caller.tier = (int)DrawBetween(0, 3);
        // In an outage the owner grants idempotent requests without the
        // ledger, so that they may run twice. None are sent to a service pool
        // in runs with outages.
        caller.idempotent =
            is_model || (faults.platform_outage == 0 && DrawUniform() < 0.3);
        Schedule(now + DrawBetween(100, load_ms),
                 [this, i] { SendRequest(i); });
    }
    Schedule(now + DrawBetween(1000, load_ms), [this] { SetServerLeaving(); });
    int64_t faults_end_at = now + load_ms;
    int64_t end_at = faults_end_at + 90000;
    for (int64_t at = now; at < end_at; at += kStepMs) {
        Schedule(at, [this] { RunStep(); });
    }
    while (!events.empty() && events.begin()->first.first < end_at) {
        auto first = events.begin();
        now = std::max(now, first->first.first);
        auto action = std::move(first->second);
        events.erase(first);
        faults_ended = now >= faults_end_at;
        action();
    }
    for (const Caller &caller : callers) {
        max_dispatches = std::max(max_dispatches, caller.dispatches);
        ids_run_twice += caller.dispatches > 1 ? 1 : 0;
        unanswered += caller.is_finished || caller.attempts >= 6 ? 0 : 1;
    }
}
