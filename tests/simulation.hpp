// simulation.hpp - Simulates daemons, a platform, servers and callers of one
// pool.
//
// The daemons run the real entries and owners (entry.h, owner.h) in virtual
// time. Messages are delayed, lost and reordered; daemons crash, pause and are
// wrongly suspected; the platform fails or its answers get lost; servers
// refuse connections, crash and are slow. All random draws come from one seed.
#pragma once

#include "kernel.hpp"

// Probabilities of faults, and switches that disable a mechanism to show that
// the checks detect its absence.
struct Faults {
    double message_loss = 0.0;       // for each message between daemons
    double daemon_crash = 0.0;       // for each daemon and second
    double daemon_pause = 0.0;       // for each daemon and second
    double false_suspicion = 0.0;    // of a live owner, for each daemon and
                                     // second
    double platform_outage = 0.0;    // for each second
    double lost_write_answer = 0.0;  // for each write to the platform
    double server_crash = 0.0;       // for each server and second
    double connection_refusal = 0.0; // for each dispatch of a new stream
    double caller_retry = 0.0;       // while its request is in progress; for
                                     // each caller and second
    // Switches
    bool forgets_ids = false;           // keeps ids for 1 ms and hides streams
                                        // from recovery
    bool accepts_stale_grants = false;  // of earlier owners or attempts
    bool skips_ledger = false;          // grants without durable intents
    bool ignores_leaving_state = false; // of the configuration
};

class Simulation {
  public:
    // @is_model: simulates a model pool, otherwise a service pool
    Simulation(uint64_t seed, const Faults &faults, bool is_model);
    ~Simulation();

    // Sends @requests requests to @daemons daemons within @load_ms, with
    // faults; then runs for 90 s without faults. Call it once.
    void Run(int daemons, int requests, int64_t load_ms);

    // Results of Run()
    int max_dispatches = 0; // highest count of dispatches of one id
    int wrong_not_run = 0;  // refusals "not run" of ids that ran
    int wrong_answers = 0;  // answers that belong to another request
    int unanswered = 0;     // callers without an answer or a last refusal that
                            // sent fewer than 6 attempts
    int ids_run_twice = 0;  // ids that ran more than once
    int forgotten_dispatches = 0; // allowed second dispatches, not counted
                                  // above; see IsDispatchForgotten()
    int answered = 0;
    int refused = 0;
    int takeovers = 0;       // owners that started
    int resumes = 0;         // dispatches that read an earlier stream
    int late_dispatches = 0; // to the leaving server, more than 3 s after the
                             // operator set its state

  private:
    struct Daemon;
    struct Server;
    struct Caller;
    struct DispatchRecord;

    void Schedule(int64_t when, std::function<void()> action);
    // Sends a message: runs the action on the other daemon after a delay.
    void Send(Daemon *from, const std::string &to,
              std::function<void(Daemon *)> action);
    void RunOnDaemon(const std::string &name, uint64_t incarnation,
                     std::function<void(Daemon *)> action);
    double DrawUniform();
    int64_t DrawBetween(int64_t low, int64_t high);
    void RunStep();
    void StartDaemon(const std::string &name);
    void CrashDaemon(Daemon *daemon);
    void PauseDaemon(Daemon *daemon, int64_t ms);
    bool IsDispatchForgotten(const DispatchRecord &dispatch);
    void SendRequest(int id);
    void SendHeartbeats(Daemon *daemon);
    void SetKnownOwner(Daemon *daemon, const std::string &owner,
                       uint64_t epoch);
    void SetServerLeaving();
    void ApplyLeavingConfig(Daemon *daemon);
    void TryClaimPool(Daemon *daemon);
    void StartOwner(Daemon *daemon, uint64_t epoch);
    void RunOwner(Daemon *daemon);
    void RunLedgerOp(Daemon *daemon);
    void DispatchCall(Daemon *daemon, ps_call_t *call);
    void FinishStream(const std::string &daemon, uint64_t incarnation,
                      const std::string &ticket, const std::string &server,
                      const std::string &token);
    void CrashServer(const std::string &name);
    void EndCall(Daemon *daemon, ps_call_t *call, ps_outcome_t outcome);
    void HandleAnswer(int id, bool is_whole, bool is_own);
    void HandleRefusal(int id, ps_ran_t ran);

    static void OnGrantRequest(ps_entry_t *entry, const ps_call_t *call);
    static void OnDispatchEnded(ps_entry_t *entry,
                                const ps_ended_dispatch_t *ended);
    static void OnWithdraw(ps_entry_t *entry, const ps_call_t *call);
    static void OnDispatch(ps_entry_t *entry, ps_call_t *call, const char *);
    static void OnRefuse(ps_entry_t *entry, ps_call_t *call,
                         const ps_refusal_t *refusal, const char *);
    static void OnCancel(ps_entry_t *entry, ps_call_t *call, const char *);
    static void OnOwnerAnswer(ps_owner_t *owner, const ps_name_t *entry,
                              const ps_answer_t *answer);
    static void OnOwnerCancel(ps_owner_t *owner, const ps_name_t *entry,
                              const ps_name_t *ticket, const char *);
    static void OnQueryDispatches(ps_owner_t *owner, const ps_name_t *member);
    static void OnQueryStreams(ps_owner_t *owner,
                               const ps_server_config_t *server);

    struct Stream {
        int id;
        int64_t ends; // time of its end
        bool ended;
    };
    struct Object {
        std::string value;
        uint64_t version;
    };

    Faults faults;
    bool is_model;
    ps_name_t pool;
    std::mt19937_64 random;
    int64_t now = 1000;
    uint64_t sequence = 0;
    // by time, then order of scheduling
    std::map<std::pair<int64_t, uint64_t>, std::function<void()>> events;
    ps_config_t config;
    ps_config_t leaving_config; // the same, with the first server leaving
    int64_t leaving_since = 0;  // when the operator set it; 0: not yet
    std::map<std::string, std::unique_ptr<Daemon>> daemons;
    // by server, then token
    std::map<std::string, std::map<std::string, Stream>> servers;
    std::map<std::string, int64_t> server_down; // until then, by server
    std::map<std::string, int> crashes;         // by server
    std::map<std::string, int> interruptions; // crashes and pauses, by daemon
    std::vector<Caller> callers;
    uint64_t next_incarnation = 0;
    bool faults_ended = false;
    // The platform: the ledger's objects, and the pool's owner
    int64_t platform_down_until = 0;
    uint64_t version = 0; // of the last write
    std::map<std::string, Object> objects;
    std::string owner_name;
    uint64_t owner_epoch = 0;
};
