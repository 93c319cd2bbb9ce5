/* team_messages.c - Teams' requests in reports, teams' counters in grants. */
#include "team_messages.h"

#include "events_log.h"

// Reports between two that name running requests. They run for longer than
// that at engines, and at plain servers a sample tells enough.
#define RUNNING_ROUNDS 4

// Grants to one daemon between two that tell teams' counters, and the time for
// which all do after requests have begun to wait.
#define STATES_ROUNDS 5
#define STATES_EACH_MS 200

#define WEIGHT_INTERVAL_MS 1000 /* between two updates of the weights */
#define LOG_INTERVAL_MS 1000    /* between two lines of one service */

// Bounds of a team's weight: its quota, as a ratio to the mean of all quotas
// in the same unit.
#define WEIGHT_MIN 0.125
#define WEIGHT_MAX 8.0

#define COUNT_MAX 100000        /* more in one report are not counted */
#define COUNTER_MAX_MS 10000000 /* larger counters are told as this */
#define WAIT_MAX_MS 60000.0     /* longer estimates are cut to it */

/* ---- Reports ---------------------------------------------------------- */

void
PsTeamMessages_ApplySettings(ps_dispatcher_t *dispatcher,
                             const ps_gateway_settings_t *settings)
{
    dispatcher->scheduler.team_order.is_enabled = settings->has_team_shares;
    dispatcher->scheduler.has_planned_returns = settings->has_planned_returns;
}

static Ps__TeamCount **
make_counts(const ps_team_count_t *counts, int n)
{
    Ps__TeamCount **messages = g_new0(Ps__TeamCount *, n + 1);
    for (int i = 0; i < n; i++) {
        messages[i] = g_new(Ps__TeamCount, 1);
        ps__team_count__init(messages[i]);
        messages[i]->rank = counts[i].rank;
        messages[i]->team = counts[i].team;
        messages[i]->count = (uint32_t)MAX(counts[i].count, 0);
        messages[i]->started = (uint32_t)MAX(counts[i].started, 0);
    }
    return messages;
}

static void
free_counts(Ps__TeamCount **messages, size_t n)
{
    for (size_t i = 0; i < n; i++) {
        g_free(messages[i]);
    }
    g_free(messages);
}

void
PsTeamMessages_AddToReport(Ps__ServiceUse *use, ps_dispatcher_t *dispatcher,
                           uint64_t round, int64_t now_ms)
{
    ps_scheduler_t *scheduler = &dispatcher->scheduler;
    const ps_team_order_t *order = &scheduler->team_order;
    if (!order->is_enabled) {
        return;
    }
    PsScheduler_NoteReport(scheduler, round);
    // Starts are taken in any case, so that old ones aren't reported later.
    ps_team_count_t counts[PS_TEAM_COUNTS_MAX];
    int n = PsScheduler_CountTeams(scheduler, counts, now_ms);
    if (!PsTeamOrder_IsContended(order, scheduler->waiting.length, now_ms)) {
        return;
    }
    use->waiting_teams = make_counts(counts, n);
    use->n_waiting_teams = (size_t)n;
    if (round % RUNNING_ROUNDS == 0) {
        use->running_teams = make_counts(order->running, order->n_running);
        use->n_running_teams = (size_t)order->n_running;
    }
}

void
PsTeamMessages_FreeInReport(Ps__ServiceUse *use)
{
    free_counts(use->waiting_teams, use->n_waiting_teams);
    free_counts(use->running_teams, use->n_running_teams);
}

static ps_team_count_t
parse_count(const Ps__TeamCount *message)
{
    return (ps_team_count_t){message->rank, message->team,
                             (int)MIN(message->count, COUNT_MAX),
                             (int)MIN(message->started, COUNT_MAX)};
}

// Takes the requests of a daemon that names no teams as those of one team.
static void
take_unnamed(const Ps__ServiceUse *message, ps_service_use_t *use,
             int64_t now_ms)
{
    for (size_t i = 0; i < message->n_waiting; i++) {
        ps_team_count_t count = {
            message->waiting[i]->rank, PS_TEAM_UNNAMED,
            (int)MIN(message->waiting[i]->count, COUNT_MAX), 0};
        g_array_append_val(use->teams.waiting, count);
    }
    ps_team_count_t running = {0, PS_TEAM_UNNAMED, 0, 0};
    for (size_t i = 0; i < message->n_running; i++) {
        running.count += (int)MIN(message->running[i]->count, COUNT_MAX);
    }
    PsTeamReports_SetRunning(&use->teams, &running, 1, now_ms);
}

void
PsTeamMessages_HandleReport(ps_allocator_t *allocator,
                            const ps_name_t *service,
                            const Ps__ServiceUse *message,
                            ps_service_use_t *use, int64_t now_ms)
{
    ps_team_division_t *division =
        PsAllocator_GetTeamDivision(allocator, service);
    if (!division) {
        return;
    }
    for (size_t i = 0; i < message->n_waiting_teams; i++) {
        ps_team_count_t count = parse_count(message->waiting_teams[i]);
        g_array_append_val(use->teams.waiting, count);
        if (count.started > 0) {
            PsTeamShares_AddStarts(&division->shares, count.team, count.rank,
                                   count.started, now_ms);
        }
    }
    for (size_t i = 0; i < message->n_started; i++) {
        PsTeamShares_AddAllStarts(
            &division->shares, message->started[i]->rank,
            (int)MIN(message->started[i]->count, COUNT_MAX), now_ms);
    }
    if (message->n_waiting_teams == 0 && message->n_waiting > 0) {
        take_unnamed(message, use, now_ms);
        return;
    }
    ps_team_count_t running[PS_TEAM_COUNTS_MAX];
    int n = (int)MIN(message->n_running_teams, PS_TEAM_COUNTS_MAX);
    for (int i = 0; i < n; i++) {
        running[i] = parse_count(message->running_teams[i]);
    }
    if (n > 0) {
        PsTeamReports_SetRunning(&use->teams, running, n, now_ms);
    }
}

/* ---- Rounds ----------------------------------------------------------- */

// Returns the mean quota of all teams with one in the same unit; 0: none.
static double
get_mean_rate(const ps_catalog_t *catalog, bool is_in_tokens)
{
    double sum = 0;
    int n = 0;
    for (guint i = 0; i < catalog->teams->len; i++) {
        const ps_team_t *team = catalog->teams->pdata[i];
        if (team->rate > 0 && team->is_quota_in_tokens == is_in_tokens) {
            sum += team->rate;
            n++;
        }
    }
    return n > 0 ? sum / n : 0.0;
}

// Daemons that name no teams have requests of all teams.
static void
set_weights(ps_team_shares_t *shares, const ps_catalog_t *catalog)
{
    PsTeamShares_SetWeight(shares, PS_TEAM_UNNAMED,
                           MAX(catalog->teams->len, 1));
    const double means[] = {get_mean_rate(catalog, false),
                            get_mean_rate(catalog, true)};
    for (guint i = 0; i < catalog->teams->len; i++) {
        const ps_team_t *team = catalog->teams->pdata[i];
        double mean = means[team->is_quota_in_tokens ? 1 : 0];
        double weight = team->rate > 0 && mean > 0 ? team->rate / mean : 1.0;
        PsTeamShares_SetWeight(shares, PsTeamShares_HashTeam(&team->name),
                               CLAMP(weight, WEIGHT_MIN, WEIGHT_MAX));
    }
}

static const char *
find_team_name(const ps_catalog_t *catalog, uint32_t hash)
{
    for (guint i = 0; i < catalog->teams->len; i++) {
        const ps_team_t *team = catalog->teams->pdata[i];
        if (PsTeamShares_HashTeam(&team->name) == hash) {
            return team->name.data;
        }
    }
    return "";
}

static int
count_waiting(const ps_team_division_t *division, uint32_t team)
{
    int n = 0;
    for (int i = 0; i < division->n_counts; i++) {
        n += division->counts[i].team == team ? division->counts[i].count : 0;
    }
    return n;
}

// Logs who has the service's slots: one object for each team, in a line.
static void
log_division(const ps_team_division_t *division, const ps_name_t *service,
             const ps_catalog_t *catalog)
{
    const ps_team_shares_t *shares = &division->shares;
    json_t *teams = json_array();
    for (int i = 0; i < shares->n; i++) {
        const ps_team_share_t *each = &shares->teams[i];
        if (each->running == 0 && !each->is_waiting) {
            continue;
        }
        json_array_append_new(
            teams, json_pack("{s:s,s:f,s:i,s:i,s:I}", "team",
                             find_team_name(catalog, each->team), "weight",
                             each->weight, "running", each->running, "waiting",
                             count_waiting(division, each->team), "counter_ms",
                             (json_int_t)PsTeamShares_GetKey(shares, each)));
    }
    PsEvents_Add("teams.division", "{s:s,s:f,s:o}", "service", service->data,
                 "run_ms", shares->run_ms, "teams", teams);
}

void
PsTeamMessages_StartRound(ps_allocator_t *allocator, const ps_name_t *service,
                          const ps_catalog_t *catalog, int64_t now_ms)
{
    ps_team_division_t *division =
        PsAllocator_GetTeamDivision(allocator, service);
    if (!division || !catalog) {
        return;
    }
    if (division->shares.n != division->n_weighted ||
        now_ms >= division->next_weights_ms) {
        set_weights(&division->shares, catalog);
        division->n_weighted = division->shares.n;
        division->next_weights_ms = now_ms + WEIGHT_INTERVAL_MS;
    }
    if (division->is_contended && now_ms >= division->next_log_ms) {
        log_division(division, service, catalog);
        division->next_log_ms = now_ms + LOG_INTERVAL_MS;
    }
}

/* ---- Grants ----------------------------------------------------------- */

static Ps__TeamState *
make_state(const ps_team_division_t *division, const ps_team_state_t *state)
{
    Ps__TeamState *message = g_new(Ps__TeamState, 1);
    ps__team_state__init(message);
    message->team = state->team;
    message->counter = (uint32_t)CLAMP(state->counter_ms, 0.0, COUNTER_MAX_MS);
    message->waits = g_new0(Ps__RankWait *, division->n_waits + 1);
    for (int i = 0; i < division->n_waits; i++) {
        const ps_team_wait_t *each = &division->waits[i];
        if (each->team != state->team) {
            continue;
        }
        Ps__RankWait *wait = g_new(Ps__RankWait, 1);
        ps__rank_wait__init(wait);
        wait->rank = each->rank;
        wait->ms = (uint32_t)MIN(each->ms, WAIT_MAX_MS);
        message->waits[message->n_waits++] = wait;
    }
    return message;
}

void
PsTeamMessages_AddToGrant(ps_allocator_t *allocator, const ps_name_t *service,
                          Ps__ServiceGrant *grant, uint64_t round,
                          int64_t now_ms)
{
    const ps_team_division_t *division =
        PsAllocator_GetTeamDivision(allocator, service);
    if (!division || !division->is_contended ||
        (now_ms - division->contended_ms > STATES_EACH_MS &&
         round % STATES_ROUNDS != 0)) {
        return;
    }
    Ps__TeamStates *states = g_new(Ps__TeamStates, 1);
    ps__team_states__init(states);
    states->teams = g_new0(Ps__TeamState *, division->n_states + 1);
    for (int i = 0; i < division->n_states; i++) {
        states->teams[states->n_teams++] =
            make_state(division, &division->states[i]);
    }
    grant->team_states = states;
}

void
PsTeamMessages_FreeInGrant(Ps__ServiceGrant *grant)
{
    Ps__TeamStates *states = grant->team_states;
    for (size_t i = 0; states && i < states->n_teams; i++) {
        for (size_t k = 0; k < states->teams[i]->n_waits; k++) {
            g_free(states->teams[i]->waits[k]);
        }
        g_free(states->teams[i]->waits);
        g_free(states->teams[i]);
    }
    if (states) {
        g_free(states->teams);
        g_free(states);
    }
}

void
PsTeamMessages_HandleGrant(ps_scheduler_t *scheduler,
                           const Ps__ServiceGrant *grant, int64_t until_ms)
{
    const Ps__TeamStates *message = grant->team_states;
    if (!message || !scheduler->team_order.is_enabled) {
        return;
    }
    ps_team_state_t states[PS_TEAM_SHARES_MAX];
    ps_team_wait_t waits[PS_TEAM_COUNTS_MAX];
    int n_waits = 0;
    int n = (int)MIN(message->n_teams, PS_TEAM_SHARES_MAX);
    for (int i = 0; i < n; i++) {
        const Ps__TeamState *team = message->teams[i];
        states[i] = (ps_team_state_t){team->team, (double)team->counter};
        for (size_t k = 0; k < team->n_waits && n_waits < PS_TEAM_COUNTS_MAX;
             k++) {
            waits[n_waits++] = (ps_team_wait_t){
                team->waits[k]->rank, team->team, (double)team->waits[k]->ms};
        }
    }
    PsTeamOrder_SetStates(&scheduler->team_order, states, n, waits, n_waits,
                          until_ms);
}
