/* team_shares.c - Virtual counters of slot time by team. */
#include "team_shares.h"

#include <glib.h>
#include <math.h>
#include <string.h>
#include <xxhash.h>

#define RUN_INITIAL_MS 1000.0 /* assumed time at a server */
#define RUN_MIN_MS 10.0       /* the same, assumed at least */
#define RUN_DECAY 0.98        /* weight kept by older rounds */

// Longest time between two rounds that is charged: after a gap it isn't known
// who used the slots in it.
#define CHARGE_MAX_MS 200

// Starts in PS_RANK_RATE_DECAY_MS that are assumed at least, as in
// fleet_waits.c.
#define STARTS_MIN 2.0

// Longest time of a team's share of the slots by which its counter may be
// ahead of the lowest one, and the requests that it may be ahead in any case.
// The others are served first within it. A team that was noisy for long has
// made up for it after this time. With 16 requests alone a noisy team had
// 16.5% on time at twice the capacity and 94 daemons, with this 14.0%.
#define LEAD_MAX_MS 3000.0
#define LEAD_MIN_RUNS 16.0

// Entries of teams without requests for this long may be used for others.
#define TEAM_IDLE_MS 60000

/* ---- Internal functions ----------------------------------------------- */

static int
find_team(const ps_team_shares_t *shares, uint32_t team)
{
    for (int i = 0; i < shares->n; i++) {
        if (shares->teams[i].team == team) {
            return i;
        }
    }
    return -1;
}

static double
get_run_ms(const ps_team_shares_t *shares)
{
    double run_ms = shares->run_ms > 0 ? shares->run_ms : RUN_INITIAL_MS;
    return MAX(run_ms, RUN_MIN_MS);
}

// Returns the lowest counter of the teams that have waiting requests in this
// round, or had some in the last one; infinity: none.
static double
get_lowest(const ps_team_shares_t *shares, bool is_last_round)
{
    double lowest = INFINITY;
    for (int i = 0; i < shares->n; i++) {
        const ps_team_share_t *each = &shares->teams[i];
        if (is_last_round ? each->was_waiting : each->is_waiting) {
            lowest = MIN(lowest, PsTeamShares_GetKey(shares, each));
        }
    }
    return lowest;
}

static int
find_idle(const ps_team_shares_t *shares, int64_t now_ms)
{
    for (int i = 0; i < PS_TEAM_SHARES_MAX; i++) {
        if (now_ms - shares->teams[i].active_ms > TEAM_IDLE_MS) {
            return i;
        }
    }
    return PS_TEAM_SHARES_MAX;
}

// Returns the starts of a rank and of worse ones: their slots would go to the
// better rank if more of it waited.
static double
get_starts(const ps_rank_rates_t *rates, uint32_t rank, int64_t now_ms)
{
    double starts = 0;
    for (int i = 0; i < rates->n; i++) {
        if (rates->rates[i].rank >= rank) {
            starts +=
                PsRankRates_GetStarts(rates, rates->rates[i].rank, now_ms);
        }
    }
    return starts;
}

// Learns the mean time at a server from how many run and how many are started.
static void
learn_run_time(ps_team_shares_t *shares, int64_t now_ms)
{
    int running = 0;
    for (int i = 0; i < shares->n; i++) {
        running += shares->teams[i].running;
    }
    double starts = get_starts(&shares->rates, 0, now_ms);
    if (running > 0 && starts >= STARTS_MIN) {
        double run_ms = running * PS_RANK_RATE_DECAY_MS / starts;
        shares->run_ms = shares->run_ms > 0 ? shares->run_ms * RUN_DECAY +
                                                  run_ms * (1.0 - RUN_DECAY)
                                            : RUN_INITIAL_MS;
    }
}

// Returns how many requests run for each unit of weight of the active teams.
static double
get_share(const ps_team_shares_t *shares)
{
    double running = 0;
    double weight = 0;
    for (int i = 0; i < shares->n; i++) {
        const ps_team_share_t *each = &shares->teams[i];
        running += each->running;
        weight += each->running > 0 || each->is_waiting ? each->weight : 0.0;
    }
    return weight > 0 ? running / weight : 0.0;
}

// Tells whether a team runs less than its part of all that runs.
static bool
is_below_share(const ps_team_shares_t *shares, const ps_team_share_t *share)
{
    return share->running <= get_share(shares) * share->weight;
}

/* ---- Public functions ------------------------------------------------- */

uint32_t
PsTeamShares_HashTeam(const ps_name_t *team)
{
    return MAX(XXH32(team->data, team->len, 0), 1U);
}

int
PsTeamCounts_Add(ps_team_count_t *counts, int n, int max,
                 const ps_team_count_t *added)
{
    int i = 0;
    while (i < n &&
           (counts[i].rank != added->rank || counts[i].team != added->team)) {
        i++;
    }
    if (i == n && n < max) {
        counts[n++] = (ps_team_count_t){added->rank, added->team, 0, 0};
    }
    i = MIN(i, n - 1);
    counts[i].count += added->count;
    counts[i].started += added->started;
    return n;
}

const ps_team_share_t *
PsTeamShares_Find(const ps_team_shares_t *shares, uint32_t team)
{
    int i = find_team(shares, team);
    if (i < 0 && shares->n > PS_TEAM_SHARES_MAX) {
        i = PS_TEAM_SHARES_MAX;
    }
    return i < 0 ? NULL : &shares->teams[i];
}

ps_team_share_t *
PsTeamShares_Get(ps_team_shares_t *shares, uint32_t team, int64_t now_ms)
{
    int i = find_team(shares, team);
    if (i < 0 && shares->n < PS_TEAM_SHARES_MAX) {
        i = shares->n++;
    }
    else if (i < 0) {
        i = find_idle(shares, now_ms);
        shares->n = MAX(shares->n, i + 1);
    }
    ps_team_share_t *share = &shares->teams[i];
    bool is_new = share->active_ms == 0 ||
                  (i < PS_TEAM_SHARES_MAX && share->team != team);
    if (is_new) {
        *share = (ps_team_share_t){.team = team, .weight = 1.0};
    }
    share->active_ms = now_ms;
    return share;
}

void
PsTeamShares_SetWeight(ps_team_shares_t *shares, uint32_t team, double weight)
{
    int i = find_team(shares, team);
    if (i >= 0 && i < PS_TEAM_SHARES_MAX) {
        shares->teams[i].weight = weight;
    }
}

void
PsTeamShares_StartRound(ps_team_shares_t *shares, int64_t now_ms)
{
    int64_t ms = CLAMP(now_ms - shares->round_ms, 0, CHARGE_MAX_MS);
    learn_run_time(shares, now_ms);
    for (int i = 0; i < shares->n; i++) {
        ps_team_share_t *each = &shares->teams[i];
        each->served_ms += each->running * (double)ms / each->weight;
        each->running = 0;
        each->given = 0;
        each->was_waiting = each->is_waiting;
        each->is_waiting = false;
    }
    shares->round_ms = now_ms;
}

void
PsTeamShares_AddRunning(ps_team_shares_t *shares, uint32_t team, int n,
                        int64_t now_ms)
{
    PsTeamShares_Get(shares, team, now_ms)->running += n;
}

void
PsTeamShares_AddStarts(ps_team_shares_t *shares, uint32_t team, uint32_t rank,
                       int n, int64_t now_ms)
{
    ps_team_share_t *share = PsTeamShares_Get(shares, team, now_ms);
    PsRankRates_Get(&share->rates, rank, 0.0, now_ms)->starts += n;
}

void
PsTeamShares_AddAllStarts(ps_team_shares_t *shares, uint32_t rank, int n,
                          int64_t now_ms)
{
    PsRankRates_Get(&shares->rates, rank, 0.0, now_ms)->starts += n;
}

void
PsTeamShares_SetWaiting(ps_team_shares_t *shares, uint32_t team,
                        int64_t now_ms)
{
    PsTeamShares_Get(shares, team, now_ms)->is_waiting = true;
}

void
PsTeamShares_RaiseIdle(ps_team_shares_t *shares)
{
    double lowest = get_lowest(shares, true);
    for (int i = 0; i < shares->n; i++) {
        ps_team_share_t *each = &shares->teams[i];
        double missing = lowest - PsTeamShares_GetKey(shares, each);
        if (each->is_waiting && !each->was_waiting && missing > 0 &&
            !isinf(lowest)) {
            each->served_ms += missing;
        }
    }
    PsTeamShares_BoundLeads(shares, get_lowest(shares, false),
                            get_run_ms(shares));
}

void
PsTeamShares_BoundLeads(ps_team_shares_t *shares, double lowest, double run_ms)
{
    double highest =
        lowest + MAX(LEAD_MIN_RUNS * run_ms, LEAD_MAX_MS * get_share(shares));
    for (int i = 0; i < shares->n; i++) {
        ps_team_share_t *each = &shares->teams[i];
        double excess = PsTeamShares_GetKey(shares, each) - highest;
        each->served_ms -= MAX(excess, 0.0);
    }
}

void
PsTeamShares_AddService(ps_team_shares_t *shares, uint32_t team,
                        double slot_ms, int64_t now_ms)
{
    ps_team_share_t *share = PsTeamShares_Get(shares, team, now_ms);
    share->served_ms += slot_ms / share->weight;
}

double
PsTeamShares_GetKey(const ps_team_shares_t *shares,
                    const ps_team_share_t *share)
{
    double ahead = share->running * 0.5 + share->given;
    return share->served_ms + ahead * get_run_ms(shares) / share->weight;
}

double
PsTeamShares_GetCounter(const ps_team_shares_t *shares, uint32_t team)
{
    const ps_team_share_t *share = PsTeamShares_Find(shares, team);
    return share ? PsTeamShares_GetKey(shares, share) : 0.0;
}

// Requests of other teams go first as far as their counters stay below the one
// that the team has after all its requests that wait. A team that runs more
// than its part is in addition held to the rate of its own starts: others will
// go on arriving ahead of it.
double
PsTeamShares_EstimateWait(const ps_team_shares_t *shares, uint32_t rank,
                          uint32_t team, const ps_team_count_t *counts, int n,
                          int64_t now_ms)
{
    const ps_team_share_t *share = PsTeamShares_Find(shares, team);
    int own = 0;
    for (int i = 0; i < n; i++) {
        own += counts[i].rank == rank && counts[i].team == team
                   ? counts[i].count
                   : 0;
    }
    if (!share || own == 0) {
        return 0;
    }
    double run_ms = get_run_ms(shares);
    double key =
        PsTeamShares_GetKey(shares, share) + own * run_ms / share->weight;
    double ahead = own;
    for (int i = 0; i < n; i++) {
        const ps_team_share_t *other =
            PsTeamShares_Find(shares, counts[i].team);
        if (counts[i].rank != rank || counts[i].team == team || !other) {
            continue;
        }
        double lead = key - PsTeamShares_GetKey(shares, other);
        ahead += CLAMP(lead * other->weight / run_ms, 0.0, counts[i].count);
    }
    double starts = get_starts(&shares->rates, rank, now_ms);
    double wait = ahead * PS_RANK_RATE_DECAY_MS / MAX(starts, STARTS_MIN);
    if (is_below_share(shares, share)) {
        return wait;
    }
    double own_starts = get_starts(&share->rates, rank, now_ms);
    return MAX(wait,
               own * PS_RANK_RATE_DECAY_MS / MAX(own_starts, STARTS_MIN));
}
