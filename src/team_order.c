/* team_order.c - Order of teams from told counters, or from own starts. */
#include "team_order.h"

#include <string.h>

// Daemons that are assumed to start as many requests of a team as this one
// between two grants. With all 94, a team whose requests all come to one
// daemon had 61% on time beside 69% of the others; with 4, 65% and 68%.
#define OTHERS_MAX 4

/* ---- Internal functions ----------------------------------------------- */

static int
find_state(const ps_team_order_t *order, uint32_t team)
{
    for (int i = 0; i < order->n_states; i++) {
        if (order->states[i].team == team) {
            return i;
        }
    }
    return -1;
}

/* ---- Public functions ------------------------------------------------- */

void
PsTeamOrder_SetStates(ps_team_order_t *order, const ps_team_state_t *states,
                      int n_states, const ps_team_wait_t *waits, int n_waits,
                      int64_t until_ms)
{
    order->n_states = MIN(n_states, PS_TEAM_SHARES_MAX);
    for (int i = 0; i < order->n_states; i++) {
        order->states[i] = states[i];
    }
    order->n_waits = MIN(n_waits, PS_TEAM_COUNTS_MAX);
    for (int i = 0; i < order->n_waits; i++) {
        order->waits[i] = waits[i];
    }
    order->n_told = order->n_states;
    order->told_until_ms = until_ms;
}

bool
PsTeamOrder_IsTold(const ps_team_order_t *order, int64_t now_ms)
{
    return order->is_enabled && now_ms < order->told_until_ms;
}

double
PsTeamOrder_GetKey(const ps_team_order_t *order, uint32_t team, int64_t now_ms)
{
    if (!PsTeamOrder_IsTold(order, now_ms)) {
        return PsTeamShares_GetCounter(&order->own, team);
    }
    int i = find_state(order, team);
    return i < 0 ? 0.0 : order->states[i].counter_ms;
}

double
PsTeamOrder_GetWait(const ps_team_order_t *order, uint32_t rank, uint32_t team)
{
    for (int i = 0; i < order->n_waits; i++) {
        if (order->waits[i].rank == rank && order->waits[i].team == team) {
            return order->waits[i].ms;
        }
    }
    return 0;
}

void
PsTeamOrder_RaiseIdle(ps_team_order_t *order, uint32_t team, double lowest,
                      double run_ms, int64_t now_ms)
{
    double counter = PsTeamShares_GetCounter(&order->own, team);
    if (counter < lowest) {
        ps_team_share_t *share = PsTeamShares_Get(&order->own, team, now_ms);
        PsTeamShares_AddService(&order->own, team,
                                (lowest - counter) * share->weight, now_ms);
    }
    PsTeamShares_BoundLeads(&order->own, lowest < 0 ? counter : lowest,
                            run_ms);
}

// Other daemons start requests by the same counters.
void
PsTeamOrder_CountStart(ps_team_order_t *order, uint32_t team, uint32_t rank,
                       double run_ms, int n_daemons, int64_t now_ms)
{
    ps_team_count_t start = {rank, team, 0, 1};
    order->n_starts = PsTeamCounts_Add(order->starts, order->n_starts,
                                       PS_TEAM_COUNTS_MAX, &start);
    ps_team_count_t running = {0, team, 1, 0};
    order->n_running = PsTeamCounts_Add(order->running, order->n_running,
                                        PS_TEAM_COUNTS_MAX, &running);
    PsTeamShares_AddService(&order->own, team, run_ms, now_ms);
    if (!PsTeamOrder_IsTold(order, now_ms)) {
        return;
    }
    int i = find_state(order, team);
    if (i < 0 && order->n_states < PS_TEAM_SHARES_MAX) {
        i = order->n_states++;
        order->states[i] = (ps_team_state_t){team, 0.0};
    }
    if (i >= 0) {
        order->states[i].counter_ms += run_ms * MIN(n_daemons, OTHERS_MAX);
    }
}

void
PsTeamOrder_CountEnd(ps_team_order_t *order, uint32_t team, double charged_ms,
                     double run_ms, int64_t now_ms)
{
    PsTeamShares_AddService(&order->own, team, run_ms - charged_ms, now_ms);
    for (int i = 0; i < order->n_running; i++) {
        if (order->running[i].team == team && --order->running[i].count == 0) {
            order->running[i] = order->running[--order->n_running];
            break;
        }
    }
}

bool
PsTeamOrder_IsContended(const ps_team_order_t *order, guint n_waiting,
                        int64_t now_ms)
{
    return n_waiting > 0 ||
           (PsTeamOrder_IsTold(order, now_ms) && order->n_told > 0);
}

int
PsTeamOrder_TakeStarts(ps_team_order_t *order, ps_team_count_t *counts)
{
    int n = order->n_starts;
    memcpy(counts, order->starts, (size_t)n * sizeof *counts);
    order->n_starts = 0;
    return n;
}
