/* membership.c - Renews the own member object and lists all members. */
#include "membership.h"

#include <string.h>

#include "daemon.h"
#include "log.h"

/* ---- Internal functions ----------------------------------------------- */

static ps_name_t
own_key(const ps_membership_t *membership)
{
    return PsName_Format(PS_MEMBERS_PREFIX "%s", membership->self.name.data);
}

// Takes the version of the own member object from the platform, so that the
// next renewal is not refused again.
static void
on_own_object_read(void *user, const ps_platform_result_t *result)
{
    ps_membership_t *membership = user;
    membership->is_writing = false;
    if (result->status == PS_OK && result->n_objects == 1) {
        membership->version = result->objects[0].version;
    }
    else if (result->status == PS_NOT_FOUND) {
        membership->version = 0;
    }
}

// Handles the result of a renewal. After a conflict, or when it is unknown
// whether the write took place, the version is read again.
static void
on_written(void *user, const ps_platform_result_t *result)
{
    ps_membership_t *membership = user;
    membership->is_writing = false;
    if (result->status == PS_OK) {
        membership->version = result->version;
        return;
    }
    if (result->status == PS_CONFLICT || result->status == PS_UNKNOWN) {
        ps_name_t key = own_key(membership);
        membership->is_writing = true;
        PsPlatform_Get(&membership->daemon->platform, key.data,
                       on_own_object_read, membership);
    }
}

// Writes the own member object with a new renewal count, which changes its
// version. Other daemons tell by this that this one is live.
static void
renew_object(ps_membership_t *membership)
{
    if (membership->is_writing || membership->is_removed) {
        return;
    }
    membership->is_writing = true;
    ps_name_t key = own_key(membership);
    char *text = PsMembers_Encode(&membership->self, ++membership->renewals);
    PsPlatform_Put(&membership->daemon->platform, key.data,
                   membership->version, PsStr_FromC(text), on_written,
                   membership);
    free(text);
}

// Tells the pools owned by this daemon which members are no longer live.
static void
report_lost_members(ps_membership_t *membership)
{
    const GArray *all = membership->members.all;
    for (guint i = 0; i < all->len; i++) {
        ps_member_t *member = &g_array_index(all, ps_member_t, i);
        bool is_live = PsMembers_IsLive(&membership->members, member);
        if (member->was_live && !is_live) {
            PsLog_Info("member", "Member %s is no longer live.",
                       member->name.data);
            PsOwnedPools_RemoveMember(&membership->daemon->owned_pools,
                                      &member->name,
                                      PsDaemon_GetMonotonicMs());
        }
        member->was_live = is_live;
    }
}

// Handles the list of members. A pause between lists counts as at most two
// renewal intervals, so that it expires no lease by itself.
static void
on_listed(void *user, const ps_platform_result_t *result)
{
    ps_membership_t *membership = user;
    ps_daemon_t *daemon = membership->daemon;
    membership->is_listing = false;
    if (result->status != PS_OK) {
        return;
    }
    PsMembers_BeginList(&membership->members);
    int n_malformed = 0;
    for (int i = 0; i < result->n_objects; i++) {
        const ps_platform_object_t *object = &result->objects[i];
        const char *name = object->key.data + strlen(PS_MEMBERS_PREFIX);
        if (PsMembers_Add(&membership->members, name, object->value,
                          object->version) != PS_OK) {
            n_malformed++;
        }
    }
    if (n_malformed != membership->n_malformed) {
        membership->n_malformed = n_malformed;
        PsLog_Warn(
            "member", "%d member objects are malformed; the last one: %s",
            n_malformed, n_malformed > 0 ? PsStatus_LastMessage() : "none");
    }
    PsMembers_EndList(&membership->members, 2 * daemon->settings.renew_ms,
                      PsDaemon_GetMonotonicMs());
    report_lost_members(membership);
    for (guint i = 0; i < membership->members.all->len; i++) {
        const ps_member_t *member =
            &g_array_index(membership->members.all, ps_member_t, i);
        if (!PsName_IsEqual(&member->name, &membership->self.name)) {
            PsPeers_SetAddress(&daemon->peers, &member->name,
                               &member->peer_address);
        }
    }
}

static void
list_members(ps_membership_t *membership)
{
    if (membership->is_listing) {
        return;
    }
    membership->is_listing = true;
    PsPlatform_List(&membership->daemon->platform, PS_MEMBERS_PREFIX,
                    on_listed, membership);
}

static void
on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    renew_object(timer->data);
    list_members(timer->data);
}

/* ---- Public functions ------------------------------------------------- */

void
PsMembership_Init(ps_membership_t *membership, ps_daemon_t *daemon)
{
    *membership = (ps_membership_t){.daemon = daemon};
    PsMembers_Init(&membership->members, daemon->settings.lease_ms);
    membership->self =
        (ps_member_t){.name = daemon->settings.name,
                      .domain = daemon->settings.domain,
                      .caller_address = daemon->settings.caller_address,
                      .peer_address = daemon->settings.peer_address,
                      .incarnation = daemon->incarnation};
    double renew_s = (double)daemon->settings.renew_ms / 1000.0;
    ev_timer_init(&membership->timer, on_timer, 0.0, renew_s);
    membership->timer.data = membership;
    ev_timer_start(daemon->loop, &membership->timer);
}

void
PsMembership_Finish(ps_membership_t *membership)
{
    ev_timer_stop(membership->daemon->loop, &membership->timer);
    PsMembers_Finish(&membership->members);
}

void
PsMembership_SetLeaving(ps_membership_t *membership)
{
    membership->self.is_leaving = true;
    ev_timer_stop(membership->daemon->loop, &membership->timer);
    ev_timer_set(&membership->timer, 0.0, 0.5);
    ev_timer_start(membership->daemon->loop, &membership->timer);
}

// The result does not matter: if the object was not deleted, its lease
// expires.
static void
on_removed(void *user, const ps_platform_result_t *result)
{
    (void)user;
    (void)result;
}

void
PsMembership_Remove(ps_membership_t *membership)
{
    if (membership->is_removed) {
        return;
    }
    membership->is_removed = true;
    ps_name_t key = own_key(membership);
    PsPlatform_Delete(&membership->daemon->platform, key.data,
                      membership->version, on_removed, membership);
}

void
PsMembership_SetSilent(ps_membership_t *membership, const ps_name_t *name,
                       bool is_silent)
{
    ps_member_t *member = PsMembers_Get(&membership->members, name);
    if (member) {
        member->is_silent = is_silent;
        report_lost_members(membership);
    }
}
