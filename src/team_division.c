/* team_division.c - Choice of team and daemon for each free slot. */
#include "team_division.h"

// Age up to which the running requests of a daemon count: they are not in
// each of its reports.
#define RUNNING_MAX_AGE_MS 500

/* ---- Internal functions ----------------------------------------------- */

static void
add_reports(ps_team_division_t *division, const ps_team_reports_t *reports,
            int64_t now_ms)
{
    for (guint i = 0; i < reports->waiting->len; i++) {
        const ps_team_count_t *each =
            &g_array_index(reports->waiting, ps_team_count_t, i);
        if (each->count > 0) {
            division->n_counts =
                PsTeamCounts_Add(division->counts, division->n_counts,
                                 PS_TEAM_COUNTS_MAX, each);
            PsTeamShares_SetWaiting(&division->shares, each->team, now_ms);
        }
    }
    if (reports->running_ms == 0 ||
        now_ms - reports->running_ms > RUNNING_MAX_AGE_MS) {
        return;
    }
    for (guint i = 0; i < reports->running->len; i++) {
        const ps_team_count_t *each =
            &g_array_index(reports->running, ps_team_count_t, i);
        PsTeamShares_AddRunning(&division->shares, each->team, each->count,
                                now_ms);
    }
}

// Computes what grants tell: the counters of teams with waiting requests,
// above the lowest of them, and the waits of new requests.
static void
set_states(ps_team_division_t *division, int64_t now_ms)
{
    const ps_team_shares_t *shares = &division->shares;
    double lowest = 0;
    division->n_states = 0;
    for (int i = 0; i < shares->n; i++) {
        const ps_team_share_t *each = &shares->teams[i];
        if (!each->is_waiting || division->n_states == PS_TEAM_SHARES_MAX) {
            continue;
        }
        double key = PsTeamShares_GetKey(shares, each);
        lowest = division->n_states == 0 ? key : MIN(lowest, key);
        division->states[division->n_states++] =
            (ps_team_state_t){each->team, key};
    }
    for (int i = 0; i < division->n_states; i++) {
        division->states[i].counter_ms -= lowest;
    }
    division->n_waits = division->n_counts;
    for (int i = 0; i < division->n_counts; i++) {
        const ps_team_count_t *each = &division->counts[i];
        division->waits[i] = (ps_team_wait_t){
            each->rank, each->team,
            PsTeamShares_EstimateWait(shares, each->rank, each->team,
                                      division->counts, division->n_counts,
                                      now_ms)};
    }
}

// Returns the count of the team whose request of a rank is next; NULL: none
// waits any more.
static ps_team_count_t *
find_next_team(ps_team_division_t *division, uint32_t rank)
{
    ps_team_count_t *best = NULL;
    double lowest = 0;
    for (int i = 0; i < division->n_counts; i++) {
        ps_team_count_t *each = &division->counts[i];
        if (each->rank != rank || each->count <= 0) {
            continue;
        }
        double key = PsTeamShares_GetCounter(&division->shares, each->team);
        if (!best || key < lowest) {
            best = each;
            lowest = key;
        }
    }
    return best;
}

// Takes one waiting request of a rank and team from a daemon's report.
static bool
take_from(const ps_team_reports_t *reports, uint32_t rank, uint32_t team)
{
    for (guint i = 0; i < reports->waiting->len; i++) {
        ps_team_count_t *each =
            &g_array_index(reports->waiting, ps_team_count_t, i);
        if (each->rank == rank && each->team == team && each->count > 0) {
            each->count--;
            return true;
        }
    }
    return false;
}

/* ---- Public functions ------------------------------------------------- */

void
PsTeamReports_Init(ps_team_reports_t *reports)
{
    *reports = (ps_team_reports_t){
        .waiting = g_array_new(FALSE, FALSE, sizeof(ps_team_count_t)),
        .running = g_array_new(FALSE, FALSE, sizeof(ps_team_count_t))};
}

void
PsTeamReports_Finish(ps_team_reports_t *reports)
{
    g_array_free(reports->waiting, TRUE);
    g_array_free(reports->running, TRUE);
}

void
PsTeamReports_SetRunning(ps_team_reports_t *reports,
                         const ps_team_count_t *counts, int n, int64_t now_ms)
{
    g_array_set_size(reports->running, 0);
    if (n > 0) {
        g_array_append_vals(reports->running, counts, (guint)n);
    }
    reports->running_ms = now_ms;
}

void
PsTeamDivision_StartRound(ps_team_division_t *division,
                          ps_team_reports_t *const *reports, int n,
                          int64_t now_ms)
{
    PsTeamShares_StartRound(&division->shares, now_ms);
    division->n_counts = 0;
    for (int i = 0; i < n; i++) {
        add_reports(division, reports[i], now_ms);
    }
    PsTeamShares_RaiseIdle(&division->shares);
    division->is_contended = division->n_counts > 0;
    if (!division->is_contended) {
        division->contended_ms = 0;
    }
    else if (division->contended_ms == 0) {
        division->contended_ms = now_ms;
    }
    set_states(division, now_ms);
    division->turn++;
}

int
PsTeamDivision_TakeNext(ps_team_division_t *division,
                        ps_team_reports_t *const *reports, int n,
                        uint32_t rank)
{
    ps_team_count_t *next;
    while ((next = find_next_team(division, rank)) != NULL) {
        for (int i = 0; i < n; i++) {
            int daemon = (int)((division->turn + (guint)i) % (guint)n);
            if (take_from(reports[daemon], rank, next->team)) {
                division->turn = (guint)daemon + 1;
                next->count--;
                // PsTeamShares_Get() doesn't add: the team has been counted.
                PsTeamShares_Get(&division->shares, next->team,
                                 division->shares.round_ms)
                    ->given++;
                return daemon;
            }
        }
        next->count = 0; // counted in one place with others that don't fit
    }
    return -1;
}
