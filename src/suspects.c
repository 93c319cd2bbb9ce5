/* suspects.c - Crashes counted by request mark. */
#include "suspects.h"

// Parts in flight at a crash, up to which each of them may be its cause.
#define CAUSES_MAX 64

/* ---- Types ------------------------------------------------------------ */

typedef struct suspect {
    uint64_t hash;
    int n_crashes;
    ps_crash_t crashes[PS_SUSPECT_CRASHES_KEPT];
    int64_t last_crash_ms;
} suspect_t;

/* A crash in a list, with what it is ordered by. */
typedef struct listed_crash {
    ps_crash_t crash;
    bool is_banned;
} listed_crash_t;

/* ---- Internal functions ----------------------------------------------- */

static bool
is_expired(const suspect_t *suspect, int64_t now_ms)
{
    return now_ms - suspect->last_crash_ms > PS_SUSPECT_TTL_MS;
}

// For g_hash_table_foreach_remove() on by_hash; @data is the current time.
static gboolean
is_entry_expired(gpointer key, gpointer value, gpointer data)
{
    (void)key;
    return is_expired(value, *(const int64_t *)data);
}

static const suspect_t *
find(const ps_suspects_t *suspects, uint64_t hash, int64_t now_ms)
{
    const suspect_t *suspect = g_hash_table_lookup(suspects->by_hash, &hash);
    return suspect && !is_expired(suspect, now_ms) ? suspect : NULL;
}

static bool
has_too_many_crashes(const ps_suspects_t *suspects, const suspect_t *suspect)
{
    return suspect->n_crashes >= PsSuspects_GetLimit(suspects, suspect->hash);
}

static const ps_crash_t *
find_crash(const suspect_t *suspect, uint64_t id)
{
    for (int i = 0; i < suspect->n_crashes; i++) {
        if (suspect->crashes[i].id == id) {
            return &suspect->crashes[i];
        }
    }
    return NULL;
}

// Removes the mark with the oldest last crash, banned ones last.
static void
remove_oldest(ps_suspects_t *suspects)
{
    const suspect_t *oldest = NULL;
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, suspects->by_hash);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        const suspect_t *suspect = value;
        bool is_banned = has_too_many_crashes(suspects, suspect);
        bool is_oldest_banned =
            oldest && has_too_many_crashes(suspects, oldest);
        if (!oldest || (is_oldest_banned && !is_banned) ||
            (is_banned == is_oldest_banned &&
             suspect->last_crash_ms < oldest->last_crash_ms)) {
            oldest = suspect;
        }
    }
    if (oldest) {
        g_hash_table_remove(suspects->by_hash, &oldest->hash);
    }
}

static int
compare_listed(gconstpointer a, gconstpointer b)
{
    const listed_crash_t *x = a;
    const listed_crash_t *y = b;
    if (x->is_banned != y->is_banned) {
        return x->is_banned ? -1 : 1;
    }
    return x->crash.at_ms > y->crash.at_ms   ? -1
           : x->crash.at_ms < y->crash.at_ms ? 1
                                             : 0;
}

// Returns the parts that are banned, of suspect_t.
static GPtrArray *
list_banned_parts(const ps_suspects_t *suspects)
{
    GPtrArray *banned = g_ptr_array_new();
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, suspects->by_hash);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        const suspect_t *suspect = value;
        if (PsMark_IsPart(suspect->hash) &&
            has_too_many_crashes(suspects, suspect)) {
            g_ptr_array_add(banned, value);
        }
    }
    return banned;
}

// Counts the parts in flight at each crash of banned parts. Returns uint64_t
// of the crash to their number.
static GHashTable *
count_parts_by_crash(const ps_suspects_t *suspects, const GPtrArray *banned)
{
    GHashTable *n_parts =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, NULL);
    for (guint i = 0; i < banned->len; i++) {
        suspect_t *suspect = banned->pdata[i];
        for (int k = 0; k < suspect->n_crashes; k++) {
            g_hash_table_insert(n_parts, &suspect->crashes[k].id, NULL);
        }
    }
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, suspects->by_hash);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        suspect_t *suspect = value;
        for (int k = 0; k < suspect->n_crashes; k++) {
            gpointer id = &suspect->crashes[k].id;
            gpointer n;
            if (PsMark_IsPart(suspect->hash) &&
                g_hash_table_lookup_extended(n_parts, id, NULL, &n)) {
                g_hash_table_insert(n_parts, id,
                                    GUINT_TO_POINTER(GPOINTER_TO_UINT(n) + 1));
            }
        }
    }
    return n_parts;
}

// Tells whether a part may be the cause of a banned one's crashes: it was in
// flight at one of these, with few others.
static bool
may_be_cause(const suspect_t *suspect, GHashTable *n_parts)
{
    for (int i = 0; i < suspect->n_crashes && PsMark_IsPart(suspect->hash);
         i++) {
        guint n = GPOINTER_TO_UINT(
            g_hash_table_lookup(n_parts, &suspect->crashes[i].id));
        if (n > 0 && n <= CAUSES_MAX) {
            return true;
        }
    }
    return false;
}

// Lists the crashes of banned marks, of parts that may be the cause of a
// banned one's, and those of others seen since a time: here only, or reported
// by other daemons too.
static size_t
list_crashes(const ps_suspects_t *suspects, int64_t since_ms,
             bool with_reported, ps_crash_t *crashes, size_t max,
             int64_t now_ms)
{
    GArray *all = g_array_new(FALSE, FALSE, sizeof(listed_crash_t));
    GPtrArray *banned = list_banned_parts(suspects);
    GHashTable *n_parts = count_parts_by_crash(suspects, banned);
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, suspects->by_hash);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        const suspect_t *suspect = value;
        if (is_expired(suspect, now_ms)) {
            continue;
        }
        bool is_banned = has_too_many_crashes(suspects, suspect);
        bool is_cause = !is_banned && may_be_cause(suspect, n_parts);
        for (int i = 0; i < suspect->n_crashes; i++) {
            const ps_crash_t *crash = &suspect->crashes[i];
            if (crash->is_unconfirmed) {
                continue;
            }
            if (is_banned || is_cause ||
                ((crash->is_own || with_reported) &&
                 crash->at_ms >= since_ms)) {
                listed_crash_t listed = {*crash, is_banned};
                g_array_append_val(all, listed);
            }
        }
    }
    g_array_sort(all, compare_listed);
    size_t n = MIN(all->len, max);
    for (size_t i = 0; i < n; i++) {
        crashes[i] = g_array_index(all, listed_crash_t, i).crash;
    }
    g_array_unref(all);
    g_hash_table_destroy(n_parts);
    g_ptr_array_unref(banned);
    return n;
}

// Tells whether all crashes of @left are crashes of @right too.
static bool
has_all_crashes(const suspect_t *right, const suspect_t *left)
{
    for (int i = 0; i < left->n_crashes; i++) {
        if (!find_crash(right, left->crashes[i].id)) {
            return false;
        }
    }
    return true;
}

static int
count_trials(const suspect_t *suspect)
{
    int n = 0;
    for (int i = 0; i < suspect->n_crashes; i++) {
        n += suspect->crashes[i].is_trial ? 1 : 0;
    }
    return n;
}

static bool
contains_mark(const GArray *marks, uint64_t mark)
{
    for (guint i = 0; i < marks->len; i++) {
        if (g_array_index(marks, uint64_t, i) == mark) {
            return true;
        }
    }
    return false;
}

// Keeps the crash of a trial in place of another one's. Trials are counted.
static bool
replace_other(suspect_t *suspect, const ps_crash_t *trial)
{
    for (int i = 0; i < suspect->n_crashes; i++) {
        if (!suspect->crashes[i].is_trial) {
            suspect->crashes[i] = *trial;
            return true;
        }
    }
    return false;
}

// Tells whether the crash of a trial may have been caused by a banned part
// that was tried too, and that a request lacks.
static bool
has_other_cause(const ps_suspects_t *suspects, uint64_t crash_id,
                const GArray *marks, int64_t now_ms)
{
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, suspects->by_hash);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        const suspect_t *other = value;
        const ps_crash_t *crash = find_crash(other, crash_id);
        if (PsMark_IsPart(other->hash) && !is_expired(other, now_ms) &&
            has_too_many_crashes(suspects, other) && crash &&
            crash->is_trial && !contains_mark(marks, other->hash)) {
            return true;
        }
    }
    return false;
}

/* ---- Public functions ------------------------------------------------- */

void
PsSuspects_Init(ps_suspects_t *suspects, int crashes_max, int part_crashes_max)
{
    suspects->by_hash =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    suspects->crashes_max = MIN(crashes_max, PS_SUSPECT_CRASHES_KEPT);
    suspects->part_crashes_max =
        MIN(part_crashes_max, PS_SUSPECT_CRASHES_KEPT);
}

void
PsSuspects_Finish(ps_suspects_t *suspects)
{
    g_hash_table_destroy(suspects->by_hash);
}

bool
PsSuspects_AddCrash(ps_suspects_t *suspects, const ps_crash_t *crash)
{
    if (crash->mark == 0) {
        return false;
    }
    suspect_t *suspect = g_hash_table_lookup(suspects->by_hash, &crash->mark);
    if (suspect && is_expired(suspect, crash->at_ms)) {
        suspect->n_crashes = 0;
    }
    const ps_crash_t *known = suspect ? find_crash(suspect, crash->id) : NULL;
    if (known) {
        bool is_new_trial = crash->is_trial && !known->is_trial;
        ps_crash_t *kept = &suspect->crashes[known - suspect->crashes];
        kept->is_own |= crash->is_own;
        kept->is_unconfirmed &= crash->is_unconfirmed;
        kept->is_trial |= crash->is_trial;
        return is_new_trial;
    }
    if (!suspect) {
        if (g_hash_table_size(suspects->by_hash) >= PS_SUSPECTS_MAX) {
            remove_oldest(suspects);
        }
        suspect = g_new0(suspect_t, 1);
        suspect->hash = crash->mark;
        g_hash_table_insert(suspects->by_hash, &suspect->hash, suspect);
    }
    suspect->last_crash_ms = MAX(suspect->last_crash_ms, crash->at_ms);
    if (suspect->n_crashes == PS_SUSPECT_CRASHES_KEPT) {
        return crash->is_trial && replace_other(suspect, crash);
    }
    suspect->crashes[suspect->n_crashes++] = *crash;
    return true;
}

// Settles a mark's crash, if it is unconfirmed; returns whether the mark has
// no crash left.
static bool
settle_crash(suspect_t *suspect, uint64_t id, bool is_crash, GArray *settled)
{
    for (int i = 0; i < suspect->n_crashes; i++) {
        ps_crash_t *crash = &suspect->crashes[i];
        if (crash->id != id || !crash->is_unconfirmed) {
            continue;
        }
        crash->is_unconfirmed = false;
        g_array_append_val(settled, *crash);
        if (!is_crash) {
            *crash = suspect->crashes[--suspect->n_crashes];
        }
        break;
    }
    return suspect->n_crashes == 0;
}

void
PsSuspects_Settle(ps_suspects_t *suspects, uint64_t id, bool is_crash,
                  GArray *settled)
{
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, suspects->by_hash);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        if (settle_crash(value, id, is_crash, settled)) {
            g_hash_table_iter_remove(&each);
        }
    }
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
    const suspect_t *suspect = find(suspects, hash, now_ms);
    return suspect ? suspect->n_crashes : 0;
}

int
PsSuspects_CountTrials(const ps_suspects_t *suspects, uint64_t hash,
                       const GArray *marks, int64_t now_ms)
{
    const suspect_t *suspect = find(suspects, hash, now_ms);
    for (int i = 0; suspect && i < suspect->n_crashes; i++) {
        const ps_crash_t *crash = &suspect->crashes[i];
        if (crash->is_trial &&
            !has_other_cause(suspects, crash->id, marks, now_ms)) {
            return count_trials(suspect);
        }
    }
    return 0;
}

int
PsSuspects_CountCommon(const ps_suspects_t *suspects, uint64_t left,
                       uint64_t right, int64_t now_ms)
{
    const suspect_t *a = find(suspects, left, now_ms);
    const suspect_t *b = find(suspects, right, now_ms);
    int n = 0;
    for (int i = 0; a && b && i < a->n_crashes; i++) {
        n += find_crash(b, a->crashes[i].id) ? 1 : 0;
    }
    return n;
}

int64_t
PsSuspects_GetLastCrash(const ps_suspects_t *suspects, uint64_t hash,
                        int64_t now_ms)
{
    const suspect_t *suspect = find(suspects, hash, now_ms);
    return suspect ? suspect->last_crash_ms : 0;
}

int
PsSuspects_GetLimit(const ps_suspects_t *suspects, uint64_t mark)
{
    return PsMark_IsPart(mark) ? suspects->part_crashes_max
                               : suspects->crashes_max;
}

bool
PsSuspects_IsBanned(const ps_suspects_t *suspects, uint64_t hash,
                    int64_t now_ms)
{
    const suspect_t *suspect = find(suspects, hash, now_ms);
    return suspect && has_too_many_crashes(suspects, suspect);
}

ps_blame_t
PsSuspects_GetBlame(const ps_suspects_t *suspects, uint64_t part,
                    const GArray *except, int64_t now_ms)
{
    ps_blame_t blame = PS_BLAME_FULL;
    const suspect_t *suspect = find(suspects, part, now_ms);
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, suspects->by_hash);
    while (suspect && g_hash_table_iter_next(&each, NULL, &value)) {
        const suspect_t *other = value;
        if (other == suspect || !PsMark_IsPart(other->hash) ||
            !has_too_many_crashes(suspects, other) ||
            is_expired(other, now_ms) || !has_all_crashes(other, suspect) ||
            count_trials(other) < count_trials(suspect)) {
            continue;
        }
        if (other->n_crashes > suspect->n_crashes ||
            count_trials(other) > count_trials(suspect)) {
            return PS_BLAME_NONE;
        }
        if (!contains_mark(except, other->hash)) {
            blame = PS_BLAME_SHARED;
        }
    }
    return blame;
}

size_t
PsSuspects_ListCrashes(const ps_suspects_t *suspects, int64_t own_since_ms,
                       ps_crash_t *crashes, size_t max, int64_t now_ms)
{
    return list_crashes(suspects, own_since_ms, false, crashes, max, now_ms);
}

size_t
PsSuspects_ListAllCrashes(const ps_suspects_t *suspects, ps_crash_t *crashes,
                          size_t max, int64_t now_ms)
{
    return list_crashes(suspects, INT64_MIN, true, crashes, max, now_ms);
}

void
PsSuspects_Expire(ps_suspects_t *suspects, int64_t now_ms)
{
    g_hash_table_foreach_remove(suspects->by_hash, is_entry_expired, &now_ms);
}
