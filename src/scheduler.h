/*
 * scheduler.h - Queues, refuses and places the requests of one service.
 *
 * Each daemon has one scheduler for each service and decides alone, within
 * its slot limits at the backend servers. Waiting requests are ordered
 * strictly by tier; within a tier, requests that can still meet their
 * objective come first, and the late ones form a rank of their own. Within a
 * rank they are ordered by arrival, or by team and the time at which their
 * callers first asked. Load
 * pattern: bursts to twice the capacity, on servers of unequal speed. Does no
 * I/O; all times are passed in, in milliseconds of one clock.
 */
#ifndef PS_SCHEDULER_H
#define PS_SCHEDULER_H

#include <glib.h>

#include "backend.h"
#include "rank_rates.h"
#include "return_plan.h"
#include "team_order.h"
#include "rollout_use.h"

#define PS_TASK_PARTS_MAX 8    /* prompt parts recorded for one request */
#define PS_REPORT_NOTES_MAX 64 /* reports for which grants are expected */
#define PS_TASK_TRIED_MAX 4    /* servers recorded as tried by one request */

struct ps_scheduler;

/**
 * enum ps_task_result - How a request ended at a backend server.
 */
typedef enum ps_task_result {
    PS_TASK_SUCCEEDED, /* complete answer that shows no server fault */
    PS_TASK_FAILED,    /* server error, or a broken or unrelated answer */
    PS_TASK_REJECTED,  /* the server has not run it */
    PS_TASK_PAUSED,    /* the same, and it asks for a pause; it is not sick */
    PS_TASK_UNREACHABLE,  /* no connection to the server */
    PS_TASK_WRONG_SERVER, /* another server answers at its address */
    PS_TASK_CANCELLED     /* ended by this daemon; no sign of a fault */
} ps_task_result_t;

/**
 * struct ps_task - One request at its scheduler; owned by the scheduler's
 * user.
 */
typedef struct ps_task {
    void *user;
    int tier;           /* 0 is served first */
    bool is_generation; /* prompt for a model engine, placed where parts of
                           it are cached */
    uint32_t team;      /* PsTeamShares_HashTeam(); 0: none */
    int64_t arrived_ms;
    int64_t first_asked_ms; /* when its caller asked for the first time; 0: at
                               @arrived_ms */
    int64_t deadline_ms;    /* for which its caller waits; 0: not known */
    int64_t objective_ms; /* time by which a stream's first event, or else the
                             whole answer, should have come */
    int64_t wait_deadline_ms; /* refused if it still waits then */
    int64_t gap_target_ms;    /* longest pause between events; 0: not set */
    double prompt_tokens;
    double output_tokens; /* expected */
    int n_parts;
    uint64_t part_hashes[PS_TASK_PARTS_MAX]; /* each covers all parts before
                                                it, too */
    uint32_t part_tokens[PS_TASK_PARTS_MAX]; /* of each part alone */
    uint64_t version; /* of the servers that can run it, as in ps_backend_t;
                         0: any */
    uint32_t route;   /* hash of its name */
    int n_tried;
    uint32_t tried[PS_TASK_TRIED_MAX]; /* instance_id of servers tried */
    /* set by the scheduler */
    bool is_waiting;
    bool was_found_late; /* could not meet its objective while it waited */
    double charged_ms;   /* charged to the team when it was started; 0: it is
                            not at a server, or teams are not counted */
    GList link;
    ps_backend_t *backend;  /* NULL: not at a server */
    int64_t started_ms;     /* sent to @backend */
    int64_t first_event_ms; /* time of the first event; 0: none yet */
    int n_events;           /* of the stream at @backend */
    int64_t last_event_ms;  /* time of the latest event; @started_ms before the
                               first */
    bool was_made_late;     /* by its server: the first event or a pause */
    double prefill_tokens;  /* prompt tokens that the server has not cached */
    double prefill_backlog_tokens; /* prefill pending at the server when the
                                      task was sent, its own included */
} ps_task_t;

/**
 * struct ps_rank_wait - How long tasks of one rank wait over all daemons.
 */
typedef struct ps_rank_wait {
    uint32_t rank;
    double ms;
} ps_rank_wait_t;

/**
 * struct ps_report_note - What ran when a report was made.
 */
typedef struct ps_report_note {
    int running;
    uint64_t n_started; /* tasks, up to then */
} ps_report_note_t;

/**
 * struct ps_scheduler_events - Callbacks of a scheduler.
 * @start: send the task to its backend server now
 * @refuse: the task has not run and will not run; the scheduler no longer
 * uses it
 */
typedef struct ps_scheduler_events {
    void (*start)(struct ps_scheduler *scheduler, ps_task_t *task);
    void (*refuse)(struct ps_scheduler *scheduler, ps_task_t *task,
                   int64_t retry_after_ms, const char *reason);
} ps_scheduler_events_t;

/**
 * struct ps_scheduler - Requests of one service at one daemon.
 */
typedef struct ps_scheduler {
    const ps_scheduler_events_t *events;
    void *user;
    ps_name_t service;
    bool is_engine;      /* model engines with batches; false: plain servers */
    GPtrArray *backends; /* ps_backend_t in use; sorted by name when even
                            shares are computed */
    GQueue waiting;      /* ps_task_t, in order of arrival */
    int n_daemons;
    int daemon_index; /* this daemon's index among @n_daemons */
    int n_turns;      /* daemons that take turns at servers with a limit; 0:
                         not known yet */
    ps_rank_rates_t rates;
    uint32_t unreported_starts[PS_RANKS_MAX]; /* of the rates' ranks */
    ps_rank_wait_t fleet_waits[PS_RANKS_MAX]; /* told by the allocator */
    int n_fleet_waits;
    int64_t fleet_waits_until_ms; /* they are too old then */
    ps_team_order_t team_order;
    ps_return_plan_t return_plan;
    uint64_t n_returned;         /* tasks whose callers came back */
    uint64_t n_returned_refused; /* of these, refused again */
    bool has_planned_returns;    /* Retry-After comes from @return_plan */
    double mean_run_ms;          /* moving average of times at a server */
    double mean_first_event_ms;  /* moving average of times to first event */
    uint32_t random_state;
    bool has_brittle_server;  /* one has told this daemon so */
    int64_t brittle_told_ms;  /* when the allocator last said that there is
                                 one; 0: never */
    int64_t granted_until_ms; /* granted slot limits are too old then */
    int64_t paused_until_ms;  /* end of this daemon's last pause, in which it
                                 read no events; 0: none */
    bool has_granted_limits;  /* slot limits come from the allocator; false:
                                 from even shares */
    int granted_left; /* free slots of the grant that is being taken, for any
                         task that waits here */
    ps_report_note_t report_notes[PS_REPORT_NOTES_MAX]; /* by round */
    uint64_t n_started;       /* tasks, since the start */
    ps_rollout_use_t rollout; /* which versions may be used */
    bool is_running; /* PsScheduler_Run() is active; stops it from re-entry */
    /* learned speeds */
    ps_name_t domain;        /* of this daemon; empty: no server is preferred
                                for its failure domain */
    double tokens_per_event; /* of the last event; 0: not known */
    ps_server_pace_t median_pace; /* assumed at servers without a told one */
    int64_t median_told_ms;       /* 0: never */
} ps_scheduler_t;

/**
 * PsScheduler_Init() - Initializes a scheduler without backend servers, for a
 * single daemon.
 * @events: must outlive the scheduler
 * @user: for the callbacks
 * @seed: of the random variation of Retry-After times
 */
void PsScheduler_Init(ps_scheduler_t *scheduler,
                      const ps_scheduler_events_t *events, void *user,
                      const ps_name_t *service, uint32_t seed);

/**
 * PsScheduler_Finish() - Frees the scheduler's own memory; its tasks and
 * backend servers stay with their owners.
 */
void PsScheduler_Finish(ps_scheduler_t *scheduler);

/**
 * PsScheduler_SetDaemons() - Sets how many daemons share the slots.
 * @daemon_index: this daemon's index among them, from 0
 */
void PsScheduler_SetDaemons(ps_scheduler_t *scheduler, int n_daemons,
                            int daemon_index);

/**
 * PsScheduler_SetTurns() - Sets how many daemons take turns at servers that
 * have named a limit; 0: not known yet.
 */
void PsScheduler_SetTurns(ps_scheduler_t *scheduler, int n_turns,
                          int64_t now_ms);

/**
 * PsScheduler_AddBackend() - Adds a backend server, or recomputes the even
 * shares after its registration has changed.
 *
 * The scheduler takes no reference: the server must be removed before it is
 * freed.
 */
void PsScheduler_AddBackend(ps_scheduler_t *scheduler, ps_backend_t *backend);

/**
 * PsScheduler_RemoveBackend() - Removes a backend server. Tasks that run there
 * are not ended.
 */
void PsScheduler_RemoveBackend(ps_scheduler_t *scheduler,
                               ps_backend_t *backend);

/**
 * PsScheduler_HasVersion() - Tells whether a server of this version takes new
 * work.
 */
bool PsScheduler_HasVersion(const ps_scheduler_t *scheduler, uint64_t version);

/**
 * PsScheduler_Submit() - Starts, queues or refuses a task.
 */
void PsScheduler_Submit(ps_scheduler_t *scheduler, ps_task_t *task,
                        int64_t now_ms);

/**
 * PsScheduler_Withdraw() - Removes a task from the queue if it waits there.
 */
void PsScheduler_Withdraw(ps_scheduler_t *scheduler, ps_task_t *task);

/**
 * PsScheduler_HandleEvent() - Records that a started task's stream has
 * brought an event.
 * @tokens: output tokens in the event
 */
void PsScheduler_HandleEvent(ps_scheduler_t *scheduler, ps_task_t *task,
                             double tokens, int64_t now_ms);

/**
 * PsScheduler_UpdateBrittle() - To be called when a server has told this
 * daemon that it is brittle, or isn't any more.
 */
void PsScheduler_UpdateBrittle(ps_scheduler_t *scheduler);

/**
 * PsScheduler_IsBrittle() - Tells whether a server of the service falls over
 * when it has to reject too many requests.
 *
 * None of its servers is sent more than it runs at once then: all of them are
 * likely to be so, one that has just started too. Load pattern: daemons stand
 * still, start anew or lose the allocator under more load than the servers
 * bear, and the requests of a server that falls go to the others.
 */
bool PsScheduler_IsBrittle(const ps_scheduler_t *scheduler, int64_t now_ms);

/**
 * PsScheduler_RestartTask() - Counts a task's time at its server from now on,
 * as nothing was sent there before.
 */
void PsScheduler_RestartTask(ps_task_t *task, int64_t now_ms);

/**
 * PsScheduler_IsSilent() - Tells whether a started task has had no event for
 * several times the usual wait.
 */
bool PsScheduler_IsSilent(const ps_scheduler_t *scheduler,
                          const ps_task_t *task, int64_t now_ms);

/**
 * PsScheduler_CanMoveTask() - Tells whether a server that has not been tried
 * has a free slot for a started task right now.
 */
bool PsScheduler_CanMoveTask(const ps_scheduler_t *scheduler,
                             const ps_task_t *task, int64_t now_ms);

/**
 * PsScheduler_MoveTask() - Ends a task as failed at its silent server and
 * starts it at another one, before any waiting task.
 *
 * PsScheduler_CanMoveTask() must have returned true for the same time.
 */
void PsScheduler_MoveTask(ps_scheduler_t *scheduler, ps_task_t *task,
                          int64_t now_ms);

/**
 * PsScheduler_EndTask() - Frees the slot of a started task, records how it
 * ended and starts waiting tasks. Does nothing for a task that is not at a
 * server.
 */
void PsScheduler_EndTask(ps_scheduler_t *scheduler, ps_task_t *task,
                         ps_task_result_t result, int64_t now_ms);

/**
 * PsScheduler_Run() - Refuses tasks that wait too long and starts as many
 * others as there are free slots.
 */
void PsScheduler_Run(ps_scheduler_t *scheduler, int64_t now_ms);

/**
 * PsScheduler_NoteReport() - Notes what ran when a report was made.
 * @round: of the report
 */
void PsScheduler_NoteReport(ps_scheduler_t *scheduler, uint64_t round);

/**
 * PsScheduler_TakeGrant() - Runs after the slot limits of a grant were set.
 * @round: of the report that it answers
 */
void PsScheduler_TakeGrant(ps_scheduler_t *scheduler, uint64_t round,
                           int64_t now_ms);

/**
 * PsScheduler_UseEvenShares() - Replaces the granted slot limits by even
 * shares.
 */
void PsScheduler_UseEvenShares(ps_scheduler_t *scheduler);

/**
 * PsScheduler_CountWaiting() - Counts the waiting tasks of each rank.
 * @counts: receives at most @max counts
 *
 * Return: number of counts.
 */
int PsScheduler_CountWaiting(const ps_scheduler_t *scheduler,
                             ps_waiting_count_t *counts, int max,
                             int64_t now_ms);

/**
 * PsScheduler_CountTeams() - Counts the waiting tasks of each rank and team,
 * and the starts since the last call. Runs only with the order of teams.
 * @counts: receives at most PS_TEAM_COUNTS_MAX counts
 *
 * Return: number of counts.
 */
int PsScheduler_CountTeams(ps_scheduler_t *scheduler, ps_team_count_t *counts,
                           int64_t now_ms);

/**
 * PsScheduler_TakeStarts() - Lists how many tasks of each rank were started
 * since the last call.
 * @counts: receives at most PS_RANKS_MAX of them
 *
 * Return: their number.
 */
int PsScheduler_TakeStarts(ps_scheduler_t *scheduler,
                           ps_waiting_count_t *counts);

/**
 * PsScheduler_SetFleetWaits() - Sets how long tasks wait over all daemons.
 * @waits: of the ranks in which any wait
 *
 * A daemon's own few starts tell little where there are many daemons: its
 * tasks wait as long as those of others. Load pattern: overload, spread over
 * more daemons than start a task in the time that one may wait.
 */
void PsScheduler_SetFleetWaits(ps_scheduler_t *scheduler,
                               const ps_rank_wait_t *waits, int n,
                               int64_t until_ms);

/**
 * PsScheduler_EstimateWait() - Estimates how long a new task of a rank would
 * wait, in milliseconds: as told for all daemons, or from how many tasks of
 * the rank wait here and how often tasks of the rank are started.
 */
double PsScheduler_EstimateWait(ps_scheduler_t *scheduler, uint32_t rank,
                                int64_t now_ms);

#endif
