/* quota_share.c - Claims of a daemon to a team's token bucket. */
#include "quota_share.h"

#include <math.h>

// A report of a team that has got no answer for this long is repeated.
#define REPEAT_MS 150

// Each team is reported at least this often, should a message have been lost
// without a sign of it.
#define REFRESH_MS 4000

/* ---- Internal functions ----------------------------------------------- */

static ps_quota_ask_t *
find_ask(const ps_quota_share_t *share, uint32_t id)
{
    for (guint i = 0; i < share->asks->len; i++) {
        ps_quota_ask_t *ask = &g_array_index(share->asks, ps_quota_ask_t, i);
        if (ask->id == id) {
            return ask;
        }
    }
    return NULL;
}

static void
set_verdicts(ps_quota_share_t *share, const uint32_t *ids, size_t n,
             ps_quota_verdict_t verdict)
{
    for (size_t i = 0; i < n; i++) {
        ps_quota_ask_t *ask = find_ask(share, ids[i]);
        if (!ask || ask->verdict != PS_QUOTA_PENDING) {
            continue;
        }
        ask->verdict = verdict;
        if (verdict == PS_QUOTA_GRANTED) {
            share->reserved += ask->units;
        }
    }
}

// Returns the most that the claim holds without an allocator.
static double
get_own_part(const ps_quota_share_t *share)
{
    return (share->terms.burst + share->terms.extra) /
           MAX(share->n_daemons, 1);
}

/* ---- Public functions ------------------------------------------------- */

void
PsQuotaShare_Init(ps_quota_share_t *share)
{
    *share = (ps_quota_share_t){.n_daemons = 1};
    share->asks = g_array_new(FALSE, FALSE, sizeof(ps_quota_ask_t));
}

void
PsQuotaShare_Finish(ps_quota_share_t *share)
{
    g_array_free(share->asks, TRUE);
}

void
PsQuotaShare_SetTerms(ps_quota_share_t *share, const ps_quota_terms_t *terms,
                      double total)
{
    double before = get_own_part(share);
    share->terms = *terms;
    double part = get_own_part(share);
    if (share->is_started && part < before) {
        share->ceiling = MIN(share->ceiling, total + share->reserved + part);
    }
}

void
PsQuotaShare_Start(ps_quota_share_t *share, double total, int64_t known_ms,
                   int64_t now_ms)
{
    if (share->is_started) {
        return;
    }
    double part = get_own_part(share);
    double refill = share->terms.rate * (double)known_ms / 1000.0 /
                    MAX(share->n_daemons, 1);
    share->is_started = true;
    share->ceiling = total + (known_ms < 0 ? part : MIN(part, refill));
    share->refilled_ms = now_ms;
}

void
PsQuotaShare_Refill(ps_quota_share_t *share, double total, int64_t now_ms)
{
    double passed_s = (double)(now_ms - share->refilled_ms) / 1000.0;
    share->refilled_ms = MAX(share->refilled_ms, now_ms);
    if (passed_s > share->terms.window_s) {
        share->ceiling = MIN(share->ceiling, total + share->reserved);
        return;
    }
    double room = share->ceiling - total;
    double refill =
        share->terms.rate * MAX(passed_s, 0.0) / MAX(share->n_daemons, 1);
    double refilled = MIN(room + refill, get_own_part(share));
    share->ceiling = total + MAX(room, refilled);
}

bool
PsQuotaShare_HasRoom(const ps_quota_share_t *share, double units, double total)
{
    return units <= share->ceiling - total - share->reserved;
}

uint32_t
PsQuotaShare_Ask(ps_quota_share_t *share, double units, int64_t now_ms)
{
    if (share->asks->len >= PS_QUOTA_ASKS_MAX) {
        return 0;
    }
    ps_quota_ask_t ask = {.id = ++share->last_ask,
                          .units = units,
                          .asked_ms = now_ms,
                          .verdict = PS_QUOTA_PENDING};
    g_array_append_val(share->asks, ask);
    share->has_new_ask = true;
    return ask.id;
}

ps_quota_verdict_t
PsQuotaShare_GetVerdict(const ps_quota_share_t *share, uint32_t id)
{
    const ps_quota_ask_t *ask = find_ask(share, id);
    return ask ? ask->verdict : PS_QUOTA_UNKNOWN;
}

void
PsQuotaShare_RemoveAsk(ps_quota_share_t *share, uint32_t id)
{
    for (guint i = 0; i < share->asks->len; i++) {
        const ps_quota_ask_t *ask =
            &g_array_index(share->asks, ps_quota_ask_t, i);
        if (ask->id == id) {
            if (ask->verdict == PS_QUOTA_GRANTED) {
                share->reserved -= ask->units;
            }
            g_array_remove_index(share->asks, i);
            share->has_new_ask = true;
            return;
        }
    }
}

bool
PsQuotaShare_MustReport(const ps_quota_share_t *share, double total,
                        int64_t now_ms)
{
    int64_t age_ms = now_ms - share->sent_ms;
    return share->sent_round == 0 || share->has_new_ask ||
           share->sent_total != total ||
           share->sent_ceiling != share->ceiling ||
           (!(share->is_answered && share->is_confirmed) &&
            age_ms >= REPEAT_MS) ||
           age_ms >= REFRESH_MS;
}

void
PsQuotaShare_NoteReport(ps_quota_share_t *share, double total, uint64_t round,
                        int64_t now_ms)
{
    share->sent_total = total;
    share->sent_ceiling = share->ceiling;
    share->sent_round = round;
    share->sent_ms = now_ms;
    share->has_new_ask = false;
    share->is_answered = false;
}

void
PsQuotaShare_HandleAnswer(ps_quota_share_t *share, uint64_t round,
                          int64_t sent_ms)
{
    share->is_answered |= share->sent_round != 0 && round >= share->sent_round;
    if (share->is_confirmed) {
        share->refilled_ms = MAX(share->refilled_ms, sent_ms);
    }
}

void
PsQuotaShare_Leave(ps_quota_share_t *share)
{
    share->sent_round = 0;
    share->is_confirmed = false;
}

void
PsQuotaShare_KeepUp(ps_quota_share_t *share, double total, int64_t now_ms)
{
    share->ceiling = MAX(share->ceiling, total);
    share->refilled_ms = now_ms;
}

void
PsQuotaShare_ApplyGrant(ps_quota_share_t *share, double ceiling,
                        const uint32_t *granted, size_t n_granted,
                        const uint32_t *refused, size_t n_refused)
{
    share->ceiling = ceiling;
    share->is_merged = true;
    share->is_confirmed = true;
    set_verdicts(share, granted, n_granted, PS_QUOTA_GRANTED);
    set_verdicts(share, refused, n_refused, PS_QUOTA_REFUSED);
}
