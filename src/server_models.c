/* server_models.c - Table of learned servers, and when paces are told. */
#include "server_models.h"

#include <math.h>

// A pace is told again at this interval, since a grant may be lost.
#define TELL_INTERVAL_MS 5000

// Shortest time between two changes that are told of one server. It bounds
// the traffic while estimates are noisy.
#define TELL_MIN_MS 500

#define CHANGE_MIN 0.1 /* of a time, that is told */

// Changes of times below this many milliseconds are not told.
#define CHANGE_MIN_MS 1.0

// Without rounds for this long, this daemon was not the allocator, or was
// paused: what it knew is out of date.
#define ROUND_GAP_MS 2000

// Longest and shortest time between two log lines about one server.
#define LOG_INTERVAL_MS 10000
#define LOG_MIN_MS 1000

/* ---- Internal functions ----------------------------------------------- */

static bool
has_changed(double now, double told)
{
    double change = fabs(now - told);
    return change > CHANGE_MIN_MS && change > CHANGE_MIN * MAX(now, told);
}

// Tells whether daemons would predict times that differ by more than a tenth.
// Base and slope of the first event's time are compared at the end points of
// usual prompts, as noise shifts one against the other.
static bool
differs(const ps_server_pace_t *now, const ps_server_pace_t *told)
{
    const double ktokens[] = {1.0, 6.0};
    for (size_t i = 0; i < G_N_ELEMENTS(ktokens); i++) {
        double x = ktokens[i];
        if (has_changed(now->first_base_ms + now->first_slope_ms * x,
                        told->first_base_ms + told->first_slope_ms * x)) {
            return true;
        }
    }
    return has_changed(now->event_ms, told->event_ms);
}

/* ---- Public functions ------------------------------------------------- */

void
PsServerModels_Init(ps_server_models_t *models)
{
    *models = (ps_server_models_t){0};
    models->by_server =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
}

void
PsServerModels_Finish(ps_server_models_t *models)
{
    g_hash_table_destroy(models->by_server);
}

ps_learned_server_t *
PsServerModels_Set(ps_server_models_t *models, uint32_t server,
                   int64_t started_ms, int slots, bool is_engine,
                   int64_t now_ms)
{
    if (!models->is_enabled) {
        g_hash_table_remove_all(models->by_server);
        return NULL;
    }
    ps_learned_server_t *known = PsServerModels_Find(models, server);
    if (!known) {
        known = g_new0(ps_learned_server_t, 1);
        g_hash_table_insert(models->by_server, GUINT_TO_POINTER(server),
                            known);
    }
    bool is_stale = known->model.decayed_ms > 0 &&
                    now_ms - known->model.decayed_ms > ROUND_GAP_MS;
    if (known->added_ms == 0 || known->started_ms != started_ms || is_stale) {
        *known = (ps_learned_server_t){.started_ms = started_ms,
                                       .added_ms = now_ms};
    }
    known->slots = slots;
    known->is_engine = is_engine;
    return known;
}

ps_learned_server_t *
PsServerModels_Find(const ps_server_models_t *models, uint32_t server)
{
    return g_hash_table_lookup(models->by_server, GUINT_TO_POINTER(server));
}

void
PsServerModels_Remove(ps_server_models_t *models, uint32_t server)
{
    g_hash_table_remove(models->by_server, GUINT_TO_POINTER(server));
}

const char *
PsSlotState_GetName(ps_slot_state_t state)
{
    static const char *const names[] = {"open", "new",  "limited",
                                        "full", "slow", "on trial"};
    return names[state];
}

bool
PsLearnedServer_TakeLogTurn(ps_learned_server_t *server, int64_t now_ms)
{
    int limit = PsConcurrencyLimit_Get(&server->model.limit);
    if (limit == 0) {
        return false; // no slots were divided here: another daemon does it
    }
    // Servers become limited and open again with each few requests.
    bool is_slow = server->state >= PS_SLOTS_SLOW;
    bool was_slow = server->logged_state >= PS_SLOTS_SLOW;
    bool has_changed = is_slow != was_slow || limit != server->logged_limit;
    int64_t age_ms = now_ms - server->logged_ms;
    if (age_ms < (has_changed ? LOG_MIN_MS : LOG_INTERVAL_MS)) {
        return false;
    }
    server->logged_state = server->state;
    server->logged_limit = limit;
    server->logged_ms = now_ms;
    return true;
}

ps_server_counts_t
PsServerModels_Count(const ps_server_models_t *models)
{
    ps_server_counts_t counts = {0};
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, models->by_server);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        const ps_learned_server_t *server = value;
        int limit = PsConcurrencyLimit_Get(&server->model.limit);
        if (limit == 0) {
            continue; // another daemon divides the slots
        }
        counts.known += PsServerModel_IsKnown(&server->model) ? 1 : 0;
        counts.slow += server->is_slow ? 1 : 0;
        counts.limited += server->is_engine && limit < server->slots ? 1 : 0;
        counts.trials += server->n_trials;
    }
    return counts;
}

void
PsLearnedServer_Seed(ps_learned_server_t *server, const ps_server_pace_t *pace)
{
    server->model.seed = *pace;
    server->model.has_seed = true;
}

void
PsServerModels_UpdateTold(ps_server_models_t *models,
                          ps_learned_server_t *server, int64_t now_ms)
{
    if (!PsServerModel_IsKnown(&server->model)) {
        return;
    }
    ps_server_pace_t pace = PsServerModel_GetPace(&server->model);
    int64_t age_ms = now_ms - server->told_ms;
    bool is_due = server->told_ms == 0 || age_ms >= TELL_INTERVAL_MS ||
                  (age_ms >= TELL_MIN_MS && differs(&pace, &server->told));
    if (is_due) {
        server->told = pace;
        server->told_ms = now_ms;
        server->told_version = ++models->last_version;
    }
}
