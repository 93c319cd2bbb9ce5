/* suspects.c - Crashes counted by request content. */
#include "suspects.h"

#include <inttypes.h>

/* ---- Types ------------------------------------------------------------ */

typedef struct suspect {
    uint64_t hash;
    int crashes;
    int64_t last_crash_ms;
} suspect_t;

/* ---- Internal functions ----------------------------------------------- */

// Tells whether an entry of by_hash is expired; @data is the current time.
static gboolean
is_expired(gpointer key, gpointer value, gpointer data)
{
    (void)key;
    const suspect_t *suspect = value;
    int64_t now_ms = *(const int64_t *)data;
    return now_ms - suspect->last_crash_ms > PS_SUSPECT_TTL_MS;
}

/* ---- Public functions ------------------------------------------------- */

void
PsSuspects_Init(ps_suspects_t *suspects)
{
    suspects->by_hash =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
}

void
PsSuspects_Finish(ps_suspects_t *suspects)
{
    g_hash_table_destroy(suspects->by_hash);
}

void
PsSuspects_AddCrash(ps_suspects_t *suspects, uint64_t hash, int64_t now_ms)
{
    if (hash == 0) {
        return;
    }
    suspect_t *suspect = g_hash_table_lookup(suspects->by_hash, &hash);
    if (!suspect) {
        suspect = g_new0(suspect_t, 1);
        suspect->hash = hash;
        g_hash_table_insert(suspects->by_hash, &suspect->hash, suspect);
    }
    suspect->crashes++;
    suspect->last_crash_ms = now_ms;
}

void
PsSuspects_Remove(ps_suspects_t *suspects, uint64_t hash)
{
    g_hash_table_remove(suspects->by_hash, &hash);
}

int
PsSuspects_GetCrashes(const ps_suspects_t *suspects, uint64_t hash,
                      int64_t now_ms)
{
    const suspect_t *suspect = g_hash_table_lookup(suspects->by_hash, &hash);
    if (!suspect || now_ms - suspect->last_crash_ms > PS_SUSPECT_TTL_MS) {
        return 0;
    }
    return suspect->crashes;
}

bool
PsSuspects_IsBanned(const ps_suspects_t *suspects, uint64_t hash,
                    int64_t now_ms)
{
    return PsSuspects_GetCrashes(suspects, hash, now_ms) >=
           PS_SUSPECT_CRASHES_MAX;
}

ps_name_t
PsSuspects_FormatHash(uint64_t hash)
{
    return PsName_Format("%016" PRIx64, hash);
}

void
PsSuspects_Expire(ps_suspects_t *suspects, int64_t now_ms)
{
    g_hash_table_foreach_remove(suspects->by_hash, is_expired, &now_ms);
}
