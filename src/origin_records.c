/* origin_records.c - Keeps origins of streams in the store. */
#include "origin_records.h"

#include "clock.h"
#include "events_log.h"
#include "gateway.h"
#include "origin_lookups.h"

/* ---- Internal functions ----------------------------------------------- */

static bool
is_allocator(const ps_gateway_t *gateway)
{
    return PsName_IsEqual(&gateway->sharing.allocator_name,
                          &gateway->self.name);
}

static int64_t
get_unix_ms(void)
{
    return g_get_real_time() / 1000;
}

static void
tell_known(void *user, uint64_t request, uint64_t version)
{
    ps_gateway_t *gateway = user;
    if (version != 0) {
        PsOriginRecords_Tell(gateway, request, version, PsClock_Now());
    }
}

// Tells the allocator of the streams that had begun when a service got its
// second version, or when the allocator was chosen.
static void
check_versions(ps_gateway_t *gateway, int64_t now_ms)
{
    int n = PsVersionHistory_CountMixed(&gateway->version_history, now_ms);
    if (n > gateway->n_mixed_services) {
        PsStreamOrigins_ForEach(&gateway->stream_origins, tell_known, gateway);
    }
    gateway->n_mixed_services = n;
}

/* ---- Public functions ------------------------------------------------- */

void
PsOriginRecords_Tell(ps_gateway_t *gateway, uint64_t request, uint64_t version,
                     int64_t now_ms)
{
    if (!PsVersionHistory_IsMixed(&gateway->version_history, version,
                                  now_ms)) {
        return;
    }
    if (is_allocator(gateway)) {
        ps_origin_t origin = {request, version};
        PsOriginLog_Add(&gateway->origin_log, &origin);
    }
    else {
        PsOriginLookups_SendOrigin(gateway, &gateway->sharing.allocator_name,
                                   request, version);
    }
}

void
PsOriginRecords_Take(ps_gateway_t *gateway, const ps_origin_t *origin,
                     int64_t now_ms)
{
    if (is_allocator(gateway) &&
        PsVersionHistory_IsMixed(&gateway->version_history, origin->version,
                                 now_ms)) {
        PsOriginLog_Add(&gateway->origin_log, origin);
    }
}

void
PsOriginRecords_HandleChoice(ps_gateway_t *gateway)
{
    gateway->n_mixed_services = 0;
    PsOriginLog_HandleChoice(&gateway->origin_log);
}

void
PsOriginRecords_Run(ps_gateway_t *gateway, int64_t now_ms)
{
    const ps_store_ops_t *ops = gateway->store_ops;
    check_versions(gateway, now_ms);
    if (gateway->must_read_origins &&
        PsOriginLog_StartRead(&gateway->origin_log, now_ms)) {
        ops->read_origins(ops);
    }
    if (!is_allocator(gateway)) {
        return;
    }
    ps_origin_slot_t slot;
    switch (PsOriginLog_GetStep(&gateway->origin_log, get_unix_ms(), now_ms,
                                &slot)) {
    case PS_ORIGIN_WAIT:
        return;
    case PS_ORIGIN_READ:
        ops->read_origins(ops);
        return;
    case PS_ORIGIN_WRITE:
        ops->write_origins(ops, &slot);
        return;
    }
}

void
PsOriginRecords_HandleStart(ps_gateway_t *gateway,
                            const ps_stored_state_t *state)
{
    bool may_be_mixed = state->is_stored &&
                        (!state->has_versions ||
                         PsVersionHistory_CountMixed(&gateway->version_history,
                                                     PsClock_Now()) > 0);
    gateway->must_read_origins = may_be_mixed;
}

void
PsOriginRecords_HandleRead(ps_gateway_t *gateway,
                           const ps_origin_slot_t *slots, size_t n,
                           bool is_done)
{
    int64_t now_ms = PsClock_Now();
    int64_t unix_ms = get_unix_ms();
    size_t n_taken = 0;
    for (size_t i = 0; i < n; i++) {
        int64_t age_ms = unix_ms - slots[i].number * PS_ORIGIN_SLOT_MS;
        if (age_ms > PS_STREAM_ORIGIN_MS + PS_ORIGIN_SLOT_MS) {
            continue; // its streams are not taken up any more
        }
        for (size_t k = 0; k < slots[i].n; k++) {
            const ps_origin_t *origin = &slots[i].origins[k];
            PsStreamOrigins_Add(&gateway->stream_origins, origin->request,
                                origin->version, now_ms);
        }
        n_taken += slots[i].n;
        PsOriginLog_HandleRead(&gateway->origin_log, &slots[i], unix_ms);
    }
    PsOriginLog_EndStep(&gateway->origin_log, is_done);
    gateway->must_read_origins &= !is_done;
    PsEvents_Add("origins.read", "{s:b,s:i,s:i}", "whole", (int)is_done,
                 "slots", (int)n, "origins", (int)n_taken);
}
