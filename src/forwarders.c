/* forwarders.c - Spreads requests over the daemons that can carry them. */
#include "forwarders.h"

/* ---- Internal functions ----------------------------------------------- */

// Returns a number below @n from a linear congruential generator, of which the
// upper bits are used.
static guint
pick_random(ps_forwarders_t *forwarders, guint n)
{
    forwarders->random_state =
        forwarders->random_state * 1664525U + 1013904223U;
    return (guint)(((uint64_t)forwarders->random_state * n) >> 32);
}

static bool
is_usable(const ps_forwarder_t *forwarder, int64_t now_ms)
{
    return forwarder->is_member && !PsName_IsEmpty(&forwarder->address) &&
           now_ms >= forwarder->avoided_until_ms;
}

/* ---- Public functions ------------------------------------------------- */

void
PsForwarders_Init(ps_forwarders_t *forwarders, uint32_t seed)
{
    forwarders->by_name =
        g_hash_table_new_full(PsName_Hash, PsName_EqualKeys, NULL, g_free);
    forwarders->random_state = seed;
}

void
PsForwarders_Finish(ps_forwarders_t *forwarders)
{
    g_hash_table_destroy(forwarders->by_name);
}

void
PsForwarders_Set(ps_forwarders_t *forwarders, const ps_name_t *name,
                 const ps_name_t *address)
{
    ps_forwarder_t *forwarder = g_hash_table_lookup(forwarders->by_name, name);
    if (!forwarder) {
        forwarder = g_new0(ps_forwarder_t, 1);
        forwarder->name = *name;
        g_hash_table_insert(forwarders->by_name, &forwarder->name, forwarder);
    }
    forwarder->address = *address;
    forwarder->is_member = true;
}

void
PsForwarders_Remove(ps_forwarders_t *forwarders, const ps_name_t *name)
{
    ps_forwarder_t *forwarder = g_hash_table_lookup(forwarders->by_name, name);
    if (forwarder && forwarder->in_progress > 0) {
        forwarder->is_member = false;
    }
    else if (forwarder) {
        g_hash_table_remove(forwarders->by_name, name);
    }
}

ps_forwarder_t *
PsForwarders_Choose(ps_forwarders_t *forwarders,
                    bool (*is_excluded)(void *user, const ps_name_t *name),
                    void *user, int64_t now_ms)
{
    GPtrArray *usable = g_ptr_array_new();
    GPtrArray *excluded = g_ptr_array_new();
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, forwarders->by_name);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        ps_forwarder_t *forwarder = value;
        if (is_usable(forwarder, now_ms)) {
            bool is_last = is_excluded && is_excluded(user, &forwarder->name);
            g_ptr_array_add(is_last ? excluded : usable, forwarder);
        }
    }
    const GPtrArray *from = usable->len > 0 ? usable : excluded;
    ps_forwarder_t *best = NULL;
    for (int i = 0; i < 2 && from->len > 0; i++) {
        ps_forwarder_t *forwarder =
            from->pdata[pick_random(forwarders, from->len)];
        if (!best || forwarder->in_progress < best->in_progress) {
            best = forwarder;
        }
    }
    g_ptr_array_unref(usable);
    g_ptr_array_unref(excluded);
    return best;
}

bool
PsForwarders_HasAny(const ps_forwarders_t *forwarders)
{
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, forwarders->by_name);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        if (is_usable(value, INT64_MAX)) {
            return true;
        }
    }
    return false;
}

void
PsForwarders_AddRequest(ps_forwarder_t *forwarder)
{
    forwarder->in_progress++;
}

void
PsForwarders_EndRequest(ps_forwarders_t *forwarders, ps_forwarder_t *forwarder)
{
    forwarder->in_progress--;
    if (forwarder->in_progress == 0 && !forwarder->is_member) {
        g_hash_table_remove(forwarders->by_name, &forwarder->name);
    }
}

void
PsForwarders_Avoid(ps_forwarder_t *forwarder, int64_t now_ms)
{
    forwarder->avoided_until_ms = now_ms + PS_FORWARDER_AVOID_MS;
}
