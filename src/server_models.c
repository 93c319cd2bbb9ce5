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
    if (known->added_ms == 0 || known->started_ms != started_ms) {
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
