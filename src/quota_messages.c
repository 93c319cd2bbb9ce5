/* quota_messages.c - Quota claims in reports and grants. */
#include "quota_messages.h"

#include <math.h>

/* ---- Internal functions ----------------------------------------------- */

// Lists the requests with a verdict. NULL if there are none.
static uint32_t *
list_ids(const ps_quota_claim_t *claim, ps_quota_verdict_t verdict, size_t *n)
{
    uint32_t *ids = g_new0(uint32_t, claim->asks->len + 1);
    *n = 0;
    for (guint i = 0; i < claim->asks->len; i++) {
        const ps_quota_ask_t *ask =
            &g_array_index(claim->asks, ps_quota_ask_t, i);
        if (ask->verdict == verdict) {
            ids[(*n)++] = ask->id;
        }
    }
    return ids;
}

static bool
is_valid(double units)
{
    return isfinite(units) && units >= 0;
}

/* ---- Public functions ------------------------------------------------- */

Ps__TeamUse *
PsQuotaMessages_MakeUse(const ps_quota_share_t *share, const ps_name_t *team,
                        double spent, double total, int64_t now_ms)
{
    Ps__TeamUse *message = g_new(Ps__TeamUse, 1);
    ps__team_use__init(message);
    message->team = (char *)(uintptr_t)team->data;
    message->spent = spent;
    message->total = total;
    message->ceiling = share->ceiling;
    message->is_new = !share->is_merged;
    guint n = share->asks->len;
    message->ask_ids = g_new0(uint32_t, n + 1);
    message->ask_units = g_new0(double, n + 1);
    message->ask_ages_ms = g_new0(uint32_t, n + 1);
    message->n_ask_ids = message->n_ask_units = message->n_ask_ages_ms = n;
    for (guint i = 0; i < n; i++) {
        const ps_quota_ask_t *ask =
            &g_array_index(share->asks, ps_quota_ask_t, i);
        message->ask_ids[i] = ask->id;
        message->ask_units[i] = ask->units;
        message->ask_ages_ms[i] =
            (uint32_t)CLAMP(now_ms - ask->asked_ms, 0, INT32_MAX);
    }
    return message;
}

void
PsQuotaMessages_FreeUse(Ps__TeamUse *message)
{
    g_free(message->ask_ids);
    g_free(message->ask_units);
    g_free(message->ask_ages_ms);
    g_free(message);
}

bool
PsQuotaMessages_ParseUse(const Ps__TeamUse *message, ps_quota_use_t *use,
                         ps_quota_ask_t *asks, int64_t now_ms)
{
    size_t n = message->n_ask_ids;
    if (!is_valid(message->total) || !is_valid(message->ceiling) ||
        n != message->n_ask_units || n != message->n_ask_ages_ms) {
        return false;
    }
    n = MIN(n, PS_QUOTA_ASKS_MAX);
    for (size_t i = 0; i < n; i++) {
        if (!is_valid(message->ask_units[i])) {
            return false;
        }
        asks[i] = (ps_quota_ask_t){
            .id = message->ask_ids[i],
            .units = message->ask_units[i],
            .asked_ms = now_ms - (int64_t)message->ask_ages_ms[i]};
    }
    *use = (ps_quota_use_t){.total = message->total,
                            .ceiling = message->ceiling,
                            .is_new = message->is_new,
                            .asks = asks,
                            .n_asks = n};
    return true;
}

Ps__TeamGrant *
PsQuotaMessages_MakeGrant(const ps_quota_claim_t *claim, const ps_name_t *team)
{
    Ps__TeamGrant *message = g_new(Ps__TeamGrant, 1);
    ps__team_grant__init(message);
    message->team = (char *)(uintptr_t)team->data;
    message->ceiling = claim->told;
    message->granted = list_ids(claim, PS_QUOTA_GRANTED, &message->n_granted);
    message->refused = list_ids(claim, PS_QUOTA_REFUSED, &message->n_refused);
    return message;
}

void
PsQuotaMessages_FreeGrant(Ps__TeamGrant *message)
{
    g_free(message->granted);
    g_free(message->refused);
    g_free(message);
}
