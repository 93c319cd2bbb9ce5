/* mark_shares.c - Counts requests by mark, in two generations. */
#include "mark_shares.h"

#include "marks.h"

#define GENERATION_MS 10000

/* ---- Internal functions ----------------------------------------------- */

static void
init_counts(ps_mark_counts_t *counts)
{
    counts->by_mark =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    counts->n_requests = 0;
}

static guint
get_count(const ps_mark_counts_t *counts, uint64_t mark)
{
    return GPOINTER_TO_UINT(g_hash_table_lookup(counts->by_mark, &mark));
}

static void
count_mark(ps_mark_counts_t *counts, uint64_t mark)
{
    guint n = get_count(counts, mark);
    if (n > 0 || g_hash_table_size(counts->by_mark) < PS_MARK_SHARES_MAX) {
        g_hash_table_replace(counts->by_mark, g_memdup2(&mark, sizeof mark),
                             GUINT_TO_POINTER(n + 1));
    }
}

static void
start_generation(ps_mark_shares_t *shares, int64_t now_ms)
{
    g_hash_table_destroy(shares->older.by_mark);
    shares->older = shares->newer;
    init_counts(&shares->newer);
    shares->newer_since_ms = now_ms;
}

/* ---- Public functions ------------------------------------------------- */

void
PsMarkShares_Init(ps_mark_shares_t *shares)
{
    init_counts(&shares->newer);
    init_counts(&shares->older);
    shares->newer_since_ms = 0;
}

void
PsMarkShares_Finish(ps_mark_shares_t *shares)
{
    g_hash_table_destroy(shares->newer.by_mark);
    g_hash_table_destroy(shares->older.by_mark);
}

void
PsMarkShares_Add(ps_mark_shares_t *shares, const GArray *marks, int64_t now_ms)
{
    int64_t age_ms = now_ms - shares->newer_since_ms;
    if (age_ms > GENERATION_MS) {
        start_generation(shares, now_ms);
    }
    if (age_ms > 2 * GENERATION_MS) { // the generation before is too old
        start_generation(shares, now_ms);
    }
    shares->newer.n_requests++;
    for (guint i = 0; i < marks->len; i++) {
        uint64_t mark = g_array_index(marks, uint64_t, i);
        if (PsMark_IsShared(mark)) {
            count_mark(&shares->newer, mark);
        }
    }
}

double
PsMarkShares_Get(const ps_mark_shares_t *shares, uint64_t mark)
{
    guint n = shares->newer.n_requests + shares->older.n_requests;
    guint n_with =
        get_count(&shares->newer, mark) + get_count(&shares->older, mark);
    return n > 0 ? (double)n_with / n : 1.0;
}
