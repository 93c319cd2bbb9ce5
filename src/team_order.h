/*
 * team_order.h - In which order one daemon serves the teams of a service.
 *
 * By the counters that the allocator has told, plus what this daemon has
 * started since; without fresh ones by counters of its own. Load pattern: one
 * team that sends many times its usual load. Does no I/O; all times are passed
 * in.
 */
#ifndef PS_TEAM_ORDER_H
#define PS_TEAM_ORDER_H

#include <glib.h>

#include "team_shares.h"

#define PS_TEAM_COUNTS_MAX 128 /* ranks and teams counted separately */

/**
 * struct ps_team_state - A team's counter, told by the allocator.
 */
typedef struct ps_team_state {
    uint32_t team;
    double counter_ms; /* above the lowest, with own starts since */
} ps_team_state_t;

/**
 * struct ps_team_wait - How long a new request of a team would wait.
 */
typedef struct ps_team_wait {
    uint32_t rank;
    uint32_t team;
    double ms;
} ps_team_wait_t;

/**
 * struct ps_team_order - Order of the teams of one service.
 */
typedef struct ps_team_order {
    bool is_enabled;
    ps_team_state_t states[PS_TEAM_SHARES_MAX];
    int n_states;
    ps_team_wait_t waits[PS_TEAM_COUNTS_MAX];
    int n_waits;
    int64_t told_until_ms; /* states and waits are too old then */
    int n_told;            /* teams with waiting requests, as last told */
    ps_team_shares_t own;  /* by this daemon's own starts */
    ps_team_count_t starts[PS_TEAM_COUNTS_MAX]; /* since the last report */
    int n_starts;
    ps_team_count_t running[PS_TEAM_COUNTS_MAX]; /* at servers now */
    int n_running;
} ps_team_order_t;

/**
 * PsTeamOrder_SetStates() - Replaces what the allocator has told.
 */
void PsTeamOrder_SetStates(ps_team_order_t *order,
                           const ps_team_state_t *states, int n_states,
                           const ps_team_wait_t *waits, int n_waits,
                           int64_t until_ms);

/**
 * PsTeamOrder_IsTold() - Tells whether the allocator's states are fresh.
 */
bool PsTeamOrder_IsTold(const ps_team_order_t *order, int64_t now_ms);

/**
 * PsTeamOrder_GetKey() - Returns a team's place: lower ones go first.
 */
double PsTeamOrder_GetKey(const ps_team_order_t *order, uint32_t team,
                          int64_t now_ms);

/**
 * PsTeamOrder_GetWait() - Returns how long a new request would wait, as told;
 * 0: none of its rank and team waits.
 */
double PsTeamOrder_GetWait(const ps_team_order_t *order, uint32_t rank,
                           uint32_t team);

/**
 * PsTeamOrder_RaiseIdle() - Raises the own counter of a team whose first
 * request waits now.
 * @lowest: counter of the teams with waiting requests; negative: none waits
 * @run_ms: mean time at a server
 */
void PsTeamOrder_RaiseIdle(ps_team_order_t *order, uint32_t team,
                           double lowest, double run_ms, int64_t now_ms);

/**
 * PsTeamOrder_CountStart() - Counts a start.
 * @run_ms: expected time at the server
 * @n_daemons: that start requests like this one
 */
void PsTeamOrder_CountStart(ps_team_order_t *order, uint32_t team,
                            uint32_t rank, double run_ms, int n_daemons,
                            int64_t now_ms);

/**
 * PsTeamOrder_CountEnd() - Counts the end of a start, and corrects the own
 * counter by the real time at the server.
 */
void PsTeamOrder_CountEnd(ps_team_order_t *order, uint32_t team,
                          double charged_ms, double run_ms, int64_t now_ms);

/**
 * PsTeamOrder_IsContended() - Tells whether requests wait anywhere, by the
 * last grant, or here.
 * @n_waiting: requests that wait here
 */
bool PsTeamOrder_IsContended(const ps_team_order_t *order, guint n_waiting,
                             int64_t now_ms);

/**
 * PsTeamOrder_TakeStarts() - Lists the starts since the last call.
 * @counts: receives at most PS_TEAM_COUNTS_MAX of them
 *
 * Return: their number.
 */
int PsTeamOrder_TakeStarts(ps_team_order_t *order, ps_team_count_t *counts);

#endif
