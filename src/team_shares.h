/*
 * team_shares.h - How much service each team has had of one service's servers.
 *
 * Virtual counters of slot time divided by weight, over all daemons at the
 * allocator, or of one daemon while it has no grants. Scarce slots go to the
 * team with the lowest counter. Load pattern: one team that sends many times
 * its usual load while the others compete for too few slots. Does no I/O; all
 * times are passed in.
 */
#ifndef PS_TEAM_SHARES_H
#define PS_TEAM_SHARES_H

#include <glib.h>

#include "str.h"

#define PS_TEAM_SHARES_MAX                                                    \
    64 /* teams counted separately; others share one                          \
        */

/**
 * struct ps_team_shares - Counters of all teams of one service.
 */
typedef struct ps_team_shares {
    GHashTable *teams; /* hash of a team's name to its counter */
} ps_team_shares_t;

void PsTeamShares_Init(ps_team_shares_t *shares);
void PsTeamShares_Finish(ps_team_shares_t *shares);

/**
 * PsTeamShares_HashTeam() - Returns the hash that identifies a team in reports
 * and grants; never 0.
 */
uint32_t PsTeamShares_HashTeam(const ps_name_t *team);

/**
 * PsTeamShares_AddService() - Counts service that a team has received.
 * @team: PsTeamShares_HashTeam()
 * @slot_ms: milliseconds of a slot
 */
void PsTeamShares_AddService(ps_team_shares_t *shares, uint32_t team,
                             double slot_ms, int64_t now_ms);

/**
 * PsTeamShares_SetWaiting() - Notes that a team has waiting requests.
 *
 * The counter of a team that was idle rises to the lowest of the active teams,
 * so that it has no credit for that time.
 */
void PsTeamShares_SetWaiting(ps_team_shares_t *shares, uint32_t team,
                             int64_t now_ms);

/**
 * PsTeamShares_GetCounter() - Returns a team's counter; lower ones go first.
 */
double PsTeamShares_GetCounter(const ps_team_shares_t *shares, uint32_t team);

#endif
