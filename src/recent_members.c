/* recent_members.c - Daemons that have left lately, with the time. */
#include "recent_members.h"

/* ---- Types ------------------------------------------------------------ */

typedef struct window {
    int64_t length_ms;
    int64_t now_ms;
} window_t;

/* ---- Internal functions ----------------------------------------------- */

// For g_hash_table_foreach_remove(); @data is a window_t.
static gboolean
is_before_window(gpointer key, gpointer value, gpointer data)
{
    (void)key;
    const window_t *window = data;
    return window->now_ms - *(const int64_t *)value > window->length_ms;
}

/* ---- Public functions ------------------------------------------------- */

void
PsRecentMembers_Init(ps_recent_members_t *recent)
{
    recent->left_ms =
        g_hash_table_new_full(PsName_Hash, PsName_EqualKeys, g_free, g_free);
}

void
PsRecentMembers_Finish(ps_recent_members_t *recent)
{
    g_hash_table_destroy(recent->left_ms);
}

void
PsRecentMembers_AddLeft(ps_recent_members_t *recent, const ps_name_t *name,
                        int64_t now_ms)
{
    g_hash_table_replace(recent->left_ms, g_memdup2(name, sizeof *name),
                         g_memdup2(&now_ms, sizeof now_ms));
}

void
PsRecentMembers_RemoveJoined(ps_recent_members_t *recent,
                             const ps_name_t *name)
{
    g_hash_table_remove(recent->left_ms, name);
}

int
PsRecentMembers_CountLeft(ps_recent_members_t *recent, int64_t window_ms,
                          int64_t now_ms)
{
    window_t window = {window_ms, now_ms};
    g_hash_table_foreach_remove(recent->left_ms, is_before_window, &window);
    return (int)g_hash_table_size(recent->left_ms);
}
