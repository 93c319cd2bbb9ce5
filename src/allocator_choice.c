/* allocator_choice.c - Weighted rendezvous hashing of the allocator. */
#include "allocator_choice.h"

#include "events_log.h"
#include "gateway.h"
#include "quota_admission.h"
#include "rendezvous.h"

#define AVOID_MS 3000 /* time in which a daemon is not chosen again */

/* ---- Internal functions ----------------------------------------------- */

// Returns a member's score, weighted by the square of its processor share.
static double
get_score(const ps_daemon_info_t *member)
{
    double share = MAX(member->cpu_share, 0.01);
    return PsRendezvous_GetScore(&member->name, 0, share * share);
}

static bool
is_avoided(const ps_sharing_t *sharing, const ps_name_t *name, int64_t now_ms)
{
    const int64_t *until = g_hash_table_lookup(sharing->avoided, name);
    return until && now_ms < *until;
}

/* ---- Public functions ------------------------------------------------- */

void
PsAllocatorChoice_Choose(ps_sharing_t *sharing, int64_t now_ms)
{
    const ps_daemon_info_t *best = NULL;
    double highest = -1;
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, sharing->gateway->members);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        const ps_daemon_info_t *member = value;
        if (get_score(member) > highest &&
            !is_avoided(sharing, &member->name, now_ms)) {
            highest = get_score(member);
            best = member;
        }
    }
    if (best && !PsName_IsEqual(&best->name, &sharing->allocator_name)) {
        PsEvents_Add("sharing.allocator", "{s:s,s:s,s:i}", "name",
                     best->name.data, "before", sharing->allocator_name.data,
                     "members",
                     (int)g_hash_table_size(sharing->gateway->members));
        // The previous allocator may have saved quota usage that names teams.
        sharing->is_stored_usage_empty &=
            PsName_IsEmpty(&sharing->allocator_name);
        sharing->allocator_name = best->name;
        sharing->allocator_since_ms = now_ms;
        PsCrashReports_AddAll(&sharing->gateway->mark_crashes.to_allocator);
        PsQuotaAdmission_HandleChoice(sharing);
    }
}

void
PsAllocatorChoice_Avoid(ps_sharing_t *sharing, int64_t now_ms)
{
    int64_t until = now_ms + AVOID_MS;
    PsEvents_Add("sharing.silent", "{s:s,s:I}", "allocator",
                 sharing->allocator_name.data, "last_grant_ms",
                 (json_int_t)(now_ms - sharing->granted_ms));
    g_hash_table_replace(
        sharing->avoided,
        g_memdup2(&sharing->allocator_name, sizeof sharing->allocator_name),
        g_memdup2(&until, sizeof until));
    PsAllocatorChoice_Choose(sharing, now_ms);
}
