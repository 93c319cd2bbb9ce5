/*
 * team_division.h - Whose waiting requests get the slots of one service.
 *
 * The allocator's part of fair sharing: in each round, slots for a rank go one
 * by one to the team with the lowest counter, and among the daemons with
 * waiting requests of that team in turn. Does no I/O; all times are passed in.
 */
#ifndef PS_TEAM_DIVISION_H
#define PS_TEAM_DIVISION_H

#include <glib.h>

#include "team_order.h"

/**
 * struct ps_team_reports - One daemon's requests of one service, by team.
 */
typedef struct ps_team_reports {
    GArray *waiting;    /* ps_team_count_t */
    GArray *running;    /* ps_team_count_t; of the last report that had any */
    int64_t running_ms; /* time of that report; 0: none */
} ps_team_reports_t;

/**
 * struct ps_team_division - State of one service at the allocator.
 */
typedef struct ps_team_division {
    ps_team_shares_t shares;
    ps_team_count_t counts[PS_TEAM_COUNTS_MAX]; /* waiting, over all daemons */
    int n_counts;
    ps_team_state_t states[PS_TEAM_SHARES_MAX]; /* for the grants */
    int n_states;
    ps_team_wait_t waits[PS_TEAM_COUNTS_MAX]; /* for the grants */
    int n_waits;
    bool is_contended;       /* requests wait */
    int64_t contended_ms;    /* since when; 0: not */
    int n_weighted;          /* teams when the weights were last set */
    int64_t next_weights_ms; /* when they are set again */
    int64_t next_log_ms;     /* of the division by team */
    guint turn;              /* of the daemons */
} ps_team_division_t;

void PsTeamReports_Init(ps_team_reports_t *reports);
void PsTeamReports_Finish(ps_team_reports_t *reports);

/**
 * PsTeamReports_SetRunning() - Replaces the running requests of a daemon.
 */
void PsTeamReports_SetRunning(ps_team_reports_t *reports,
                              const ps_team_count_t *counts, int n,
                              int64_t now_ms);

/**
 * PsTeamDivision_StartRound() - Charges the service since the last round and
 * takes the reports of this one.
 * @reports: of the daemons with a fresh report
 */
void PsTeamDivision_StartRound(ps_team_division_t *division,
                               ps_team_reports_t *const *reports, int n,
                               int64_t now_ms);

/**
 * PsTeamDivision_TakeNext() - Chooses the next waiting request of a rank.
 *
 * Return: index of the daemon whose request it is; -1: none is left.
 */
int PsTeamDivision_TakeNext(ps_team_division_t *division,
                            ps_team_reports_t *const *reports, int n,
                            uint32_t rank);

#endif
