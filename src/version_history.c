/* version_history.c - Versions that have served, and when they left. */
#include "version_history.h"

/* ---- Internal functions ----------------------------------------------- */

static ps_served_version_t *
get(const ps_version_history_t *history, guint i)
{
    return &g_array_index(history->versions, ps_served_version_t, i);
}

static ps_served_version_t *
find(const ps_version_history_t *history, const ps_name_t *service,
     uint64_t version)
{
    for (guint i = 0; i < history->versions->len; i++) {
        ps_served_version_t *known = get(history, i);
        if (known->version == version &&
            PsName_IsEqual(&known->service, service)) {
            return known;
        }
    }
    return NULL;
}

static bool
has_version(const uint64_t *versions, size_t n, uint64_t version)
{
    for (size_t i = 0; i < n; i++) {
        if (versions[i] == version) {
            return true;
        }
    }
    return false;
}

// Tells whether the service of a version has another one.
static bool
has_other(const ps_version_history_t *history,
          const ps_served_version_t *version)
{
    for (guint i = 0; i < history->versions->len; i++) {
        const ps_served_version_t *other = get(history, i);
        if (other->version != version->version &&
            PsName_IsEqual(&other->service, &version->service)) {
            return true;
        }
    }
    return false;
}

static void
remove_old(ps_version_history_t *history, int64_t now_ms)
{
    for (guint i = history->versions->len; i > 0; i--) {
        int64_t left_ms = get(history, i - 1)->left_ms;
        if (left_ms > 0 && now_ms - left_ms > history->kept_ms) {
            g_array_remove_index_fast(history->versions, i - 1);
        }
    }
}

/* ---- Public functions ------------------------------------------------- */

void
PsVersionHistory_Init(ps_version_history_t *history, int64_t kept_ms,
                      int64_t now_ms)
{
    *history = (ps_version_history_t){
        .versions = g_array_new(FALSE, FALSE, sizeof(ps_served_version_t)),
        .kept_ms = kept_ms,
        .known_from_ms = now_ms};
}

void
PsVersionHistory_Finish(ps_version_history_t *history)
{
    g_array_free(history->versions, TRUE);
}

void
PsVersionHistory_Update(ps_version_history_t *history,
                        const ps_name_t *service, const uint64_t *versions,
                        size_t n, int64_t now_ms)
{
    for (size_t i = 0; i < n; i++) {
        ps_served_version_t *known = find(history, service, versions[i]);
        if (!known) {
            ps_served_version_t added = {*service, versions[i], 0};
            g_array_append_val(history->versions, added);
            history->is_unsaved = true;
        }
        else if (known->left_ms > 0) {
            known->left_ms = 0;
            history->is_unsaved = true;
        }
    }
    for (guint i = 0; i < history->versions->len; i++) {
        ps_served_version_t *known = get(history, i);
        if (known->left_ms == 0 && PsName_IsEqual(&known->service, service) &&
            !has_version(versions, n, known->version)) {
            known->left_ms = now_ms;
            history->is_unsaved = true;
        }
    }
    remove_old(history, now_ms);
}

void
PsVersionHistory_Restore(ps_version_history_t *history,
                         const ps_served_version_t *versions, size_t n,
                         int64_t known_from_ms, int64_t now_ms)
{
    for (size_t i = 0; i < n; i++) {
        ps_served_version_t added = versions[i];
        if (added.left_ms == 0) {
            added.left_ms = now_ms;
        }
        ps_served_version_t *known =
            find(history, &added.service, added.version);
        if (!known) {
            g_array_append_val(history->versions, added);
        }
        else if (known->left_ms > 0) {
            known->left_ms = MAX(known->left_ms, added.left_ms);
        }
    }
    history->known_from_ms = MIN(history->known_from_ms, known_from_ms);
    history->is_unsaved = true;
    remove_old(history, now_ms);
}

void
PsVersionHistory_Forget(ps_version_history_t *history, int64_t now_ms)
{
    history->known_from_ms = now_ms;
    history->is_unsaved = true;
}

size_t
PsVersionHistory_List(ps_version_history_t *history,
                      ps_served_version_t *versions, size_t max,
                      int64_t now_ms)
{
    remove_old(history, now_ms);
    for (guint i = 0; i < history->versions->len && i < max; i++) {
        versions[i] = *get(history, i);
    }
    return history->versions->len;
}

uint64_t
PsVersionHistory_FindOnly(ps_version_history_t *history,
                          const ps_name_t *service, int64_t now_ms)
{
    remove_old(history, now_ms);
    if (now_ms - history->known_from_ms < history->kept_ms) {
        return 0;
    }
    uint64_t only = 0;
    for (guint i = 0; i < history->versions->len; i++) {
        const ps_served_version_t *known = get(history, i);
        if (!PsName_IsEqual(&known->service, service)) {
            continue;
        }
        if (only != 0 || known->left_ms > 0) {
            return 0;
        }
        only = known->version;
    }
    return only;
}

bool
PsVersionHistory_IsMixed(ps_version_history_t *history, uint64_t version,
                         int64_t now_ms)
{
    remove_old(history, now_ms);
    for (guint i = 0; i < history->versions->len; i++) {
        const ps_served_version_t *known = get(history, i);
        if (known->version == version && has_other(history, known)) {
            return true;
        }
    }
    return false;
}

int
PsVersionHistory_CountMixed(ps_version_history_t *history, int64_t now_ms)
{
    remove_old(history, now_ms);
    int n = 0;
    for (guint i = 0; i < history->versions->len; i++) {
        n += has_other(history, get(history, i)) ? 1 : 0;
    }
    return n;
}
