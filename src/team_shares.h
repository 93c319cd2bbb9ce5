/*
 * team_shares.h - How much service each team has had of one service's servers.
 *
 * A form of start-time fair queueing: each team has a virtual counter of slot
 * time divided by its weight. Requests that run count as half of their time
 * in advance, so that a team that has just been given slots waits for its next
 * ones. Scarce slots go to the team with the lowest counter. The allocator
 * counts for all daemons, from rounds of reports; a daemon without grants
 * counts its own starts. Load pattern: one team that sends many times its
 * usual load while the others compete for too few slots. Does no I/O; all
 * times are passed in.
 */
#ifndef PS_TEAM_SHARES_H
#define PS_TEAM_SHARES_H

#include <stdbool.h>

#include "rank_rates.h"
#include "str.h"

#define PS_TEAM_SHARES_MAX                                                    \
    64 /* teams counted separately; others share one                          \
        */

#define PS_TEAM_UNNAMED 0 /* requests of daemons that name no teams */

/**
 * struct ps_team_count - Number of requests of one rank and team.
 */
typedef struct ps_team_count {
    uint32_t rank; /* 0 for running requests */
    uint32_t team; /* PsTeamShares_HashTeam(), or PS_TEAM_UNNAMED */
    int count;
    int started; /* since the last report */
} ps_team_count_t;

/**
 * struct ps_team_share - One team's service.
 */
typedef struct ps_team_share {
    uint32_t team;
    double weight;
    double served_ms;      /* slot time divided by weight, with raises */
    int running;           /* requests, in this round */
    int given;             /* slots, in this round */
    bool is_waiting;       /* in this round */
    bool was_waiting;      /* in the round before */
    int64_t active_ms;     /* when it last had any request; 0: never */
    ps_rank_rates_t rates; /* of the team's starts */
} ps_team_share_t;

/**
 * struct ps_team_shares - Counters of all teams of one service. All zero: no
 * team is known.
 */
typedef struct ps_team_shares {
    ps_team_share_t teams[PS_TEAM_SHARES_MAX + 1]; /* the last one is shared */
    int n;
    ps_rank_rates_t rates; /* of all starts */
    double run_ms;         /* mean time at a server; 0: not known */
    int64_t round_ms;      /* time of this round; 0: none yet */
} ps_team_shares_t;

/**
 * PsTeamShares_HashTeam() - Returns the hash that identifies a team in reports
 * and grants; never 0.
 */
uint32_t PsTeamShares_HashTeam(const ps_name_t *team);

/**
 * PsTeamCounts_Add() - Adds to the counts of a rank and team. One that no
 * longer fits is added to the last one.
 *
 * Return: the new number of counts.
 */
int PsTeamCounts_Add(ps_team_count_t *counts, int n, int max,
                     const ps_team_count_t *added);

/**
 * PsTeamShares_Get() - Finds or adds a team; the shared entry if there are too
 * many.
 */
ps_team_share_t *PsTeamShares_Get(ps_team_shares_t *shares, uint32_t team,
                                  int64_t now_ms);

/**
 * PsTeamShares_Find() - Returns the entry of a team, or NULL.
 */
const ps_team_share_t *PsTeamShares_Find(const ps_team_shares_t *shares,
                                         uint32_t team);

/**
 * PsTeamShares_SetWeight() - Sets a team's weight, if the team is known.
 */
void PsTeamShares_SetWeight(ps_team_shares_t *shares, uint32_t team,
                            double weight);

/**
 * PsTeamShares_StartRound() - Charges the requests that ran in the last round
 * for the time since, and forgets what was reported then.
 */
void PsTeamShares_StartRound(ps_team_shares_t *shares, int64_t now_ms);

/**
 * PsTeamShares_AddRunning() - Counts running requests of a team in this round.
 */
void PsTeamShares_AddRunning(ps_team_shares_t *shares, uint32_t team, int n,
                             int64_t now_ms);

/**
 * PsTeamShares_AddAllStarts() - Counts requests of a rank that were started,
 * of all teams. They are reported also while none wait, so that the mean time
 * at a server is known when requests begin to wait.
 */
void PsTeamShares_AddAllStarts(ps_team_shares_t *shares, uint32_t rank, int n,
                               int64_t now_ms);

/**
 * PsTeamShares_AddStarts() - Counts requests of a rank and team that were
 * started.
 */
void PsTeamShares_AddStarts(ps_team_shares_t *shares, uint32_t team,
                            uint32_t rank, int n, int64_t now_ms);

/**
 * PsTeamShares_SetWaiting() - Notes that a team has waiting requests in this
 * round.
 */
void PsTeamShares_SetWaiting(ps_team_shares_t *shares, uint32_t team,
                             int64_t now_ms);

/**
 * PsTeamShares_RaiseIdle() - Raises the counters of teams that have waiting
 * requests in this round and had none in the last one to the lowest counter of
 * the teams that had, so that they have no credit for that time. Bounds the
 * leads over the lowest counter of the teams that wait.
 */
void PsTeamShares_RaiseIdle(ps_team_shares_t *shares);

/**
 * PsTeamShares_BoundLeads() - Lowers counters that are far above @lowest: what
 * a team has had while others didn't use it is no debt.
 * @run_ms: mean time at a server
 */
void PsTeamShares_BoundLeads(ps_team_shares_t *shares, double lowest,
                             double run_ms);

/**
 * PsTeamShares_AddService() - Counts service that a team has received.
 * @slot_ms: milliseconds of a slot; negative: it was charged too much before
 */
void PsTeamShares_AddService(ps_team_shares_t *shares, uint32_t team,
                             double slot_ms, int64_t now_ms);

/**
 * PsTeamShares_GetCounter() - Returns a team's counter; lower ones go first.
 */
double PsTeamShares_GetCounter(const ps_team_shares_t *shares, uint32_t team);

/**
 * PsTeamShares_GetKey() - Returns the counter of an entry.
 */
double PsTeamShares_GetKey(const ps_team_shares_t *shares,
                           const ps_team_share_t *share);

/**
 * PsTeamShares_EstimateWait() - Estimates for how long a new request would
 * wait.
 * @counts: waiting requests of all ranks and teams
 */
double PsTeamShares_EstimateWait(const ps_team_shares_t *shares, uint32_t rank,
                                 uint32_t team, const ps_team_count_t *counts,
                                 int n, int64_t now_ms);

#endif
