/* recent_set.c - Hashes that were added lately, in two generations. */
#include "recent_set.h"

/* ---- Internal functions ----------------------------------------------- */

static GHashTable *
make_generation(void)
{
    return g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
}

static void
start_generation(ps_recent_set_t *set, int64_t now_ms)
{
    g_hash_table_destroy(set->older);
    set->older = set->newer;
    set->newer = make_generation();
    set->newer_since_ms = now_ms;
}

static void
expire(ps_recent_set_t *set, int64_t now_ms)
{
    int64_t age_ms = now_ms - set->newer_since_ms;
    if (age_ms > set->kept_ms) {
        start_generation(set, now_ms);
    }
    if (age_ms > 2 * set->kept_ms) { // the generation before is too old
        start_generation(set, now_ms);
    }
}

/* ---- Public functions ------------------------------------------------- */

void
PsRecentSet_Init(ps_recent_set_t *set, int64_t kept_ms)
{
    *set = (ps_recent_set_t){.newer = make_generation(),
                             .older = make_generation(),
                             .kept_ms = kept_ms};
}

void
PsRecentSet_Finish(ps_recent_set_t *set)
{
    g_hash_table_destroy(set->newer);
    g_hash_table_destroy(set->older);
}

void
PsRecentSet_Add(ps_recent_set_t *set, uint64_t hash, int64_t now_ms)
{
    expire(set, now_ms);
    int64_t *added_ms = g_hash_table_lookup(set->newer, &hash);
    if (added_ms) {
        *added_ms = now_ms;
        return;
    }
    if (g_hash_table_size(set->newer) >= PS_RECENT_SET_GENERATION_MAX) {
        start_generation(set, now_ms);
    }
    g_hash_table_insert(set->newer, g_memdup2(&hash, sizeof hash),
                        g_memdup2(&now_ms, sizeof now_ms));
}

bool
PsRecentSet_Contains(ps_recent_set_t *set, uint64_t hash, int64_t now_ms)
{
    return PsRecentSet_GetTime(set, hash, now_ms) >= 0;
}

int64_t
PsRecentSet_GetTime(ps_recent_set_t *set, uint64_t hash, int64_t now_ms)
{
    expire(set, now_ms);
    const int64_t *added_ms = g_hash_table_lookup(set->newer, &hash);
    if (!added_ms) {
        added_ms = g_hash_table_lookup(set->older, &hash);
    }
    return added_ms ? *added_ms : -1;
}
