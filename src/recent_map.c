/* recent_map.c - Values by hash that were put lately, in two generations. */
#include "recent_map.h"

/* ---- Internal functions ----------------------------------------------- */

static GHashTable *
make_generation(void)
{
    return g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
}

static void
start_generation(ps_recent_map_t *map, int64_t now_ms)
{
    g_hash_table_destroy(map->older);
    map->older = map->newer;
    map->newer = make_generation();
    map->newer_since_ms = now_ms;
}

static void
expire(ps_recent_map_t *map, int64_t now_ms)
{
    int64_t age_ms = now_ms - map->newer_since_ms;
    if (age_ms > map->kept_ms) {
        start_generation(map, now_ms);
    }
    if (age_ms > 2 * map->kept_ms) { // the generation before is too old
        start_generation(map, now_ms);
    }
}

/* ---- Public functions ------------------------------------------------- */

void
PsRecentMap_Init(ps_recent_map_t *map, int64_t kept_ms)
{
    *map = (ps_recent_map_t){.newer = make_generation(),
                             .older = make_generation(),
                             .kept_ms = kept_ms};
}

void
PsRecentMap_Finish(ps_recent_map_t *map)
{
    g_hash_table_destroy(map->newer);
    g_hash_table_destroy(map->older);
}

void
PsRecentMap_Put(ps_recent_map_t *map, uint64_t hash, uint64_t value,
                int64_t now_ms)
{
    expire(map, now_ms);
    uint64_t *known = g_hash_table_lookup(map->newer, &hash);
    if (known) {
        *known = value;
        return;
    }
    if (g_hash_table_size(map->newer) >= PS_RECENT_MAP_GENERATION_MAX) {
        start_generation(map, now_ms);
    }
    g_hash_table_insert(map->newer, g_memdup2(&hash, sizeof hash),
                        g_memdup2(&value, sizeof value));
}

bool
PsRecentMap_Get(ps_recent_map_t *map, uint64_t hash, uint64_t *value,
                int64_t now_ms)
{
    expire(map, now_ms);
    const uint64_t *known = g_hash_table_lookup(map->newer, &hash);
    if (!known) {
        known = g_hash_table_lookup(map->older, &hash);
    }
    if (known && value) {
        *value = *known;
    }
    return known != NULL;
}

void
PsRecentMap_ForEach(const ps_recent_map_t *map,
                    void (*visit)(void *user, uint64_t hash, uint64_t value),
                    void *user)
{
    const GHashTable *generations[] = {map->older, map->newer};
    for (int i = 0; i < 2; i++) {
        GHashTableIter each;
        gpointer key;
        gpointer value;
        g_hash_table_iter_init(&each, (GHashTable *)(uintptr_t)generations[i]);
        while (g_hash_table_iter_next(&each, &key, &value)) {
            visit(user, *(const uint64_t *)key, *(const uint64_t *)value);
        }
    }
}
