/*
 * scheduler.h - Waiting, refusing and placing of one service's requests.
 *
 * Each daemon has one scheduler for each service and decides alone, within
 * its share of the servers' slots. Waiting requests are ordered strictly by
 * tier; inside a tier those that can still meet their objective come first.
 * Load pattern: bursts to twice the capacity on servers of unequal speed.
 * Pure: no I/O, and time is an argument, in milliseconds of one clock.
 */
#ifndef PS_SCHEDULER_H
#define PS_SCHEDULER_H

#include <glib.h>

#include "backend.h"

#define PS_TASK_PARTS_MAX 8 /* prompt parts known of one request */
#define PS_TASK_TRIED_MAX 4 /* servers remembered that had it before */
#define PS_RANKS_MAX 16     /* ranks told apart in a count of what waits */

struct ps_scheduler;

/**
 * enum ps_task_result - How a request ended at a backend server.
 */
typedef enum ps_task_result {
    PS_TASK_SUCCEEDED, /* a whole answer that says nothing bad of the server */
    PS_TASK_FAILED,    /* a server's error, a broken or a foreign answer */
    PS_TASK_REJECTED,  /* the server has not run it */
    PS_TASK_UNREACHABLE,  /* no connection: the server is not there */
    PS_TASK_WRONG_SERVER, /* another server answers at its address */
    PS_TASK_CANCELLED /* stopped from here; nothing is said of the server */
} ps_task_result_t;

/**
 * struct ps_task - One request at its scheduler; memory of the user.
 */
typedef struct ps_task {
    void *user;
    int tier;
    bool is_generation;
    int64_t arrived_ms;
    int64_t due_ms; /* objective for the first event or whole answer */
    int64_t wait_deadline_ms; /* waits no longer */
    double prompt_tokens;
    double output_tokens; /* expected */
    int n_parts;
    uint64_t part_hashes[PS_TASK_PARTS_MAX]; /* each names all parts before it
                                                too */
    uint32_t part_tokens[PS_TASK_PARTS_MAX];
    int n_tried;
    uint32_t tried[PS_TASK_TRIED_MAX];
    /* set by the scheduler */
    bool is_waiting;
    bool was_found_late; /* its objective passed while it waited */
    GList link;
    ps_backend_t *backend; /* NULL: not at a server */
    int64_t started_ms;
    int64_t first_event_ms; /* first event; 0: none yet */
    int64_t last_event_ms;  /* latest event */
    double prefill_tokens;
    double prefill_backlog_tokens; /* prompts in hand when it was sent, its own
                                      included */
} ps_task_t;

/**
 * struct ps_waiting_count - Requests of one rank that wait.
 */
typedef struct ps_waiting_count {
    uint32_t rank; /* 0 comes first */
    int count;
} ps_waiting_count_t;

/**
 * struct ps_rank_rate - How often tasks of one rank are started.
 */
typedef struct ps_rank_rate {
    uint32_t rank;
    double starts; /* fading count */
    int64_t at_ms; /* time of @starts */
} ps_rank_rate_t;

/**
 * struct ps_scheduler_events - What a scheduler tells its user.
 * @start: send the task to its backend server now
 * @refuse: the task has not run and will not; it is the user's again
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
    bool is_engine;
    GPtrArray *backends; /* ps_backend_t by name; listed ones */
    GQueue waiting;      /* ps_task_t, in order of arrival */
    int n_daemons;
    int daemon_index; /* this daemon's place among them */
    ps_rank_rate_t rates[PS_RANKS_MAX];
    int n_rates;
    double mean_run_ms;         /* fading mean of times at a server */
    double mean_first_event_ms; /* fading mean of waits for a first event */
    uint32_t random_state;
    bool has_granted_limits; /* the backend servers' shares were granted */
    bool is_running;         /* guards against a start that calls back */
} ps_scheduler_t;

void PsScheduler_Init(ps_scheduler_t *scheduler,
                      const ps_scheduler_events_t *events, void *user,
                      const ps_name_t *service, uint32_t seed);
void PsScheduler_Finish(ps_scheduler_t *scheduler);

/**
 * PsScheduler_SetDaemons() - Sets among how many daemons slots are shared.
 */
void PsScheduler_SetDaemons(ps_scheduler_t *scheduler, int n_daemons,
                            int index);

/**
 * PsScheduler_AddBackend() - A backend server joins, or its registration
 * changed.
 */
void PsScheduler_AddBackend(ps_scheduler_t *scheduler, ps_backend_t *backend);
void PsScheduler_RemoveBackend(ps_scheduler_t *scheduler,
                               ps_backend_t *backend);

/**
 * PsScheduler_Submit() - Starts, queues or refuses a task.
 */
void PsScheduler_Submit(ps_scheduler_t *scheduler, ps_task_t *task,
                        int64_t now_ms);

/**
 * PsScheduler_Withdraw() - Takes a waiting task back.
 */
void PsScheduler_Withdraw(ps_scheduler_t *scheduler, ps_task_t *task);

/**
 * PsScheduler_HandleEvent() - A started task's stream has brought an event.
 * @tokens: output tokens in it
 */
void PsScheduler_HandleEvent(ps_scheduler_t *scheduler, ps_task_t *task,
                             double tokens, int64_t now_ms);

/**
 * PsScheduler_IsSilent() - Tells whether a started task's server has been
 * silent for much longer than it and its peers usually are.
 */
bool PsScheduler_IsSilent(const ps_scheduler_t *scheduler,
                          const ps_task_t *task, int64_t now_ms);

/**
 * PsScheduler_CanMoveTask() - Tells whether another server has room for a
 * started task right now.
 */
bool PsScheduler_CanMoveTask(const ps_scheduler_t *scheduler,
                             const ps_task_t *task, int64_t now_ms);

/**
 * PsScheduler_MoveTask() - Ends a task at its silent server and starts it at
 * another that has room, ahead of what waits; PsScheduler_CanMoveTask() was
 * true.
 */
void PsScheduler_MoveTask(ps_scheduler_t *scheduler, ps_task_t *task,
                          int64_t now_ms);

/**
 * PsScheduler_EndTask() - A started task has left its server.
 */
void PsScheduler_EndTask(ps_scheduler_t *scheduler, ps_task_t *task,
                         ps_task_result_t end, int64_t now_ms);

/**
 * PsScheduler_Run() - Places what it can and gives up what waits too long.
 */
void PsScheduler_Run(ps_scheduler_t *scheduler, int64_t now_ms);

/**
 * PsScheduler_UseEvenShares() - Goes back from granted shares to even ones.
 */
void PsScheduler_UseEvenShares(ps_scheduler_t *scheduler);

/**
 * PsScheduler_CountWaiting() - Counts what waits by its order.
 * @counts: receives at most @max counts
 *
 * Return: how many.
 */
int PsScheduler_CountWaiting(const ps_scheduler_t *scheduler,
                             ps_waiting_count_t *counts, int max,
                             int64_t now_ms);

/**
 * PsScheduler_EstimateWait() - Estimates how long a new task of a rank would
 * wait, in milliseconds, from what waits and how often such tasks are started.
 */
double PsScheduler_EstimateWait(ps_scheduler_t *scheduler, uint32_t rank,
                                int64_t now_ms);

#endif
