/* outliers.c - Servers at which requests of all daemons fail. */
#include "outliers.h"

#define REPORTS_LEAST 2      /* without a success: one daemon may be cut off */
#define GOOD_FRESH_MS 120    /* two rounds; a success outweighs failures */
#define FORGET_MS 10000      /* without reports */
#define FAILED_SHARE_MAX 0.5 /* of a service's servers; more: not theirs */

typedef struct ps_server_state {
    int64_t good_ms;  /* last success */
    int64_t noted_ms; /* last report */
    int bad_reports;  /* since the last success */
    bool is_absent;   /* by the last of them */
} ps_server_state_t;

/* ---- Internal functions ----------------------------------------------- */

static gboolean
is_forgotten(gpointer key, gpointer value, gpointer data)
{
    (void)key;
    int64_t now_ms = *(const int64_t *)data;
    return now_ms - ((ps_server_state_t *)value)->noted_ms > FORGET_MS;
}

static ps_server_state_t *
get_state(ps_outliers_t *outliers, uint32_t server, int64_t now_ms)
{
    gpointer key = GUINT_TO_POINTER(server);
    ps_server_state_t *state = g_hash_table_lookup(outliers->by_server, key);
    if (!state) {
        g_hash_table_foreach_remove(outliers->by_server, is_forgotten,
                                    &now_ms);
        state = g_new0(ps_server_state_t, 1);
        g_hash_table_insert(outliers->by_server, key, state);
    }
    return state;
}

static const ps_server_state_t *
find_bad(const ps_outliers_t *outliers, uint32_t server, int64_t now_ms)
{
    const ps_server_state_t *state =
        g_hash_table_lookup(outliers->by_server, GUINT_TO_POINTER(server));
    bool is_bad = state && state->bad_reports >= REPORTS_LEAST &&
                  now_ms - state->good_ms > GOOD_FRESH_MS &&
                  now_ms - state->noted_ms <= FORGET_MS;
    return is_bad ? state : NULL;
}

/* ---- Public functions ------------------------------------------------- */

void
PsOutliers_Init(ps_outliers_t *outliers)
{
    outliers->by_server =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
}

void
PsOutliers_Finish(ps_outliers_t *outliers)
{
    g_hash_table_destroy(outliers->by_server);
}

void
PsOutliers_AddOutcomes(ps_outliers_t *outliers, uint32_t server,
                       const ps_outcomes_t *outcomes, int64_t now_ms)
{
    ps_server_state_t *state = get_state(outliers, server, now_ms);
    state->noted_ms = now_ms;
    if (outcomes->good > 0) {
        state->good_ms = now_ms;
        state->bad_reports = 0;
    }
    else if (outcomes->failed + outcomes->absent > 0) {
        state->bad_reports++;
        state->is_absent = outcomes->absent > 0;
    }
}

void
PsOutliers_Find(const ps_outliers_t *outliers, const uint32_t *servers, int n,
                bool *is_out, int64_t now_ms)
{
    int failed = 0;
    for (int i = 0; i < n; i++) {
        const ps_server_state_t *bad = find_bad(outliers, servers[i], now_ms);
        is_out[i] = bad != NULL;
        failed += bad && !bad->is_absent ? 1 : 0;
    }
    if (failed <= FAILED_SHARE_MAX * n) {
        return;
    }
    for (int i = 0; i < n; i++) {
        const ps_server_state_t *bad = find_bad(outliers, servers[i], now_ms);
        is_out[i] = bad && bad->is_absent;
    }
}
