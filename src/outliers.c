/* outliers.c - Finds servers at which the requests of all daemons fail. */
#include "outliers.h"

// Reports of failures alone that make a server an outlier. One is not enough:
// the daemon that sent it may be cut off from the server.
#define BAD_REPORTS_MIN 2
// For this long after a success, two rounds of the allocator, reports of
// failures do not make a server an outlier.
#define SUCCESS_TTL_MS 120
#define RECORD_TTL_MS 10000 /* from the last report to the record's expiry */

// Part of a service's servers that may be outliers because requests fail. If
// more fail, the cause is not the servers.
#define FAILED_RATIO_MAX 0.5

typedef struct server_record {
    int64_t success_ms;  /* time of the last success */
    int64_t reported_ms; /* time of the last report */
    int bad_reports;     /* reports of failures alone since the last success */
    bool is_absent;      /* the last bad report says unreachable */
} server_record_t;

/* ---- Internal functions ----------------------------------------------- */

static gboolean
is_expired(gpointer key, gpointer value, gpointer data)
{
    (void)key;
    int64_t now_ms = *(const int64_t *)data;
    return now_ms - ((server_record_t *)value)->reported_ms > RECORD_TTL_MS;
}

static server_record_t *
get_record(ps_outliers_t *outliers, uint32_t server, int64_t now_ms)
{
    gpointer key = GUINT_TO_POINTER(server);
    server_record_t *record = g_hash_table_lookup(outliers->by_server, key);
    if (!record) {
        g_hash_table_foreach_remove(outliers->by_server, is_expired, &now_ms);
        record = g_new0(server_record_t, 1);
        g_hash_table_insert(outliers->by_server, key, record);
    }
    return record;
}

// Returns a server's record if enough reports say that requests fail there, or
// NULL.
static const server_record_t *
find_outlier(const ps_outliers_t *outliers, uint32_t server, int64_t now_ms)
{
    const server_record_t *record =
        g_hash_table_lookup(outliers->by_server, GUINT_TO_POINTER(server));
    bool is_outlier = record && record->bad_reports >= BAD_REPORTS_MIN &&
                      now_ms - record->success_ms > SUCCESS_TTL_MS &&
                      now_ms - record->reported_ms <= RECORD_TTL_MS;
    return is_outlier ? record : NULL;
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
    server_record_t *record = get_record(outliers, server, now_ms);
    record->reported_ms = now_ms;
    if (outcomes->good > 0) {
        record->success_ms = now_ms;
        record->bad_reports = 0;
    }
    else if (outcomes->failed + outcomes->absent > 0) {
        record->bad_reports++;
        record->is_absent = outcomes->absent > 0;
    }
}

void
PsOutliers_Find(const ps_outliers_t *outliers, const uint32_t *servers, int n,
                bool *is_outlier, int64_t now_ms)
{
    int failed = 0;
    for (int i = 0; i < n; i++) {
        const server_record_t *outlier =
            find_outlier(outliers, servers[i], now_ms);
        is_outlier[i] = outlier != NULL;
        failed += outlier && !outlier->is_absent ? 1 : 0;
    }
    if (failed <= FAILED_RATIO_MAX * n) {
        return;
    }
    for (int i = 0; i < n; i++) {
        const server_record_t *outlier =
            find_outlier(outliers, servers[i], now_ms);
        is_outlier[i] = outlier && outlier->is_absent;
    }
}
