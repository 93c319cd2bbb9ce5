/* allocator_choice.c - Weighted rendezvous hashing of the allocator. */
#include "allocator_choice.h"

#include "events_log.h"
#include "gateway.h"
#include "origin_lookups.h"
#include "origin_records.h"
#include "quota_admission.h"
#include "rendezvous.h"

/* ---- Internal functions ----------------------------------------------- */

// Returns a member's score, weighted by the square of its processor share.
static double
get_score(const ps_daemon_info_t *member)
{
    double share = MAX(member->cpu_share, 0.01);
    return PsRendezvous_GetScore(&member->name, 0, share * share);
}

// Returns the members as candidates; to be freed by the caller.
static ps_candidate_t *
list_candidates(const ps_sharing_t *sharing, size_t *n)
{
    const ps_gateway_t *gateway = sharing->gateway;
    ps_candidate_t *candidates =
        g_new(ps_candidate_t, g_hash_table_size(gateway->members) + 1);
    *n = 0;
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, gateway->members);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        const ps_daemon_info_t *member = value;
        candidates[(*n)++] = (ps_candidate_t){
            .name = &member->name,
            .incarnation = member->incarnation,
            .score = get_score(member),
            .heard_ms = member->heard_ms,
            .is_self = PsName_IsEqual(&member->name, &gateway->self.name)};
    }
    return candidates;
}

static void
set_allocator(ps_sharing_t *sharing, const ps_name_t *name, int64_t now_ms)
{
    PsEvents_Add("sharing.allocator", "{s:s,s:s,s:i}", "name", name->data,
                 "before", sharing->allocator_name.data, "members",
                 (int)g_hash_table_size(sharing->gateway->members));
    // The previous allocator may have saved quota usage that names teams.
    sharing->is_stored_usage_empty &= PsName_IsEmpty(&sharing->allocator_name);
    sharing->allocator_name = *name;
    sharing->allocator_since_ms = now_ms;
    PsCrashReports_AddAll(&sharing->gateway->mark_crashes.to_allocator);
    PsQuotaAdmission_HandleChoice(sharing);
    PsOriginRecords_HandleChoice(sharing->gateway);
}

/* ---- Public functions ------------------------------------------------- */

void
PsAllocatorChoice_Choose(ps_sharing_t *sharing, int64_t now_ms)
{
    size_t n;
    ps_candidate_t *candidates = list_candidates(sharing, &n);
    const ps_candidate_t *best =
        PsElection_Choose(&sharing->election, candidates, n, now_ms);
    if (best && !PsName_IsEqual(best->name, &sharing->allocator_name)) {
        set_allocator(sharing, best->name, now_ms);
    }
    g_free(candidates);
}

static void
avoid(ps_sharing_t *sharing, bool is_silent, int64_t now_ms)
{
    PsEvents_Add("sharing.silent", "{s:s,s:I,s:b}", "allocator",
                 sharing->allocator_name.data, "last_grant_ms",
                 (json_int_t)(now_ms - sharing->granted_ms), "answers",
                 (int)!is_silent);
    size_t n;
    ps_candidate_t *candidates = list_candidates(sharing, &n);
    if (is_silent) {
        PsElection_AvoidSilent(&sharing->election, candidates, n,
                               &sharing->allocator_name, now_ms);
    }
    else {
        PsElection_Avoid(&sharing->election, candidates, n,
                         &sharing->allocator_name, now_ms);
    }
    g_free(candidates);
    PsAllocatorChoice_Choose(sharing, now_ms);
}

void
PsAllocatorChoice_Avoid(ps_sharing_t *sharing, int64_t now_ms)
{
    avoid(sharing, false, now_ms);
}

void
PsAllocatorChoice_AvoidSilent(ps_sharing_t *sharing, int64_t now_ms)
{
    avoid(sharing, true, now_ms);
}

void
PsAllocatorChoice_Probe(ps_sharing_t *sharing, int64_t now_ms)
{
    size_t n;
    ps_candidate_t *candidates = list_candidates(sharing, &n);
    const ps_name_t **names = g_new(const ps_name_t *, n + 1);
    size_t n_probes =
        PsElection_ListProbes(&sharing->election, candidates, n,
                              &sharing->allocator_name, names, now_ms);
    for (size_t i = 0; i < n_probes; i++) {
        PsOriginLookups_Probe(sharing->gateway, names[i]);
    }
    g_free(names);
    g_free(candidates);
}
