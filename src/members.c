/* members.c - Liveness of members and rendezvous hashing. */
#include "members.h"

#include <jansson.h>
#include <xxhash.h>

/* ---- Internal functions ----------------------------------------------- */

static ps_name_t
get_text(const json_t *root, const char *key)
{
    return PsName_FromC(json_string_value(json_object_get(root, key)));
}

// Returns the score of a member for a pool (rendezvous hashing). The member
// with the highest score should own the pool, so that a change of members
// moves few pools.
static uint64_t
get_score(const ps_name_t *pool, const ps_name_t *member)
{
    return XXH3_64bits_withSeed(member->data, member->len,
                                XXH3_64bits(pool->data, pool->len));
}

/* ---- Public functions ------------------------------------------------- */

void
PsMembers_Init(ps_members_t *members, int64_t lease_ms)
{
    *members = (ps_members_t){.lease_ms = lease_ms};
    members->all = g_array_new(FALSE, TRUE, sizeof(ps_member_t));
}

void
PsMembers_Finish(ps_members_t *members)
{
    g_array_free(members->all, TRUE);
}

void
PsMembers_BeginList(ps_members_t *members)
{
    for (guint i = 0; i < members->all->len; i++) {
        g_array_index(members->all, ps_member_t, i).is_listed = false;
    }
}

ps_status_t
PsMembers_Add(ps_members_t *members, const char *name, const char *text,
              uint64_t version)
{
    json_t *root = json_loads(text, 0, NULL);
    if (!json_is_object(root)) {
        json_decref(root);
        return PsStatus_Fail(PS_INVALID,
                             "member object '%s' is not a JSON object", name);
    }
    ps_name_t key = PsName_FromC(name);
    ps_member_t *member = PsMembers_Get(members, &key);
    if (!member) {
        ps_member_t added = {.name = key};
        g_array_append_val(members->all, added);
        member =
            &g_array_index(members->all, ps_member_t, members->all->len - 1);
    }
    member->is_listed = true;
    if (member->version != version) {
        member->version = version;
        member->stale_ms = -1;
        member->domain = get_text(root, "domain");
        member->caller_address = get_text(root, "caller");
        member->peer_address = get_text(root, "peer");
        member->incarnation =
            (uint64_t)json_integer_value(json_object_get(root, "incarnation"));
        member->is_leaving = json_is_true(json_object_get(root, "leaving"));
    }
    json_decref(root);
    return PS_OK;
}

void
PsMembers_EndList(ps_members_t *members, int64_t step_ms, int64_t now_ms)
{
    int64_t elapsed_ms = now_ms - members->listed_ms;
    int64_t added_ms = members->listed_ms == 0 ? 0 : MIN(elapsed_ms, step_ms);
    members->listed_ms = now_ms;
    for (guint i = members->all->len; i-- > 0;) {
        ps_member_t *member = &g_array_index(members->all, ps_member_t, i);
        if (!member->is_listed) {
            g_array_remove_index(members->all, i);
        }
        else if (member->stale_ms < 0) {
            member->stale_ms = 0;
        }
        else {
            member->stale_ms += added_ms;
        }
    }
}

char *
PsMembers_Encode(const ps_member_t *member, uint64_t renewals)
{
    json_t *root =
        json_pack("{s:s, s:s, s:s, s:I, s:b, s:I}", "domain",
                  member->domain.data, "caller", member->caller_address.data,
                  "peer", member->peer_address.data, "incarnation",
                  (json_int_t)member->incarnation, "leaving",
                  (int)member->is_leaving, "beat", (json_int_t)renewals);
    char *text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    return text;
}

ps_member_t *
PsMembers_Get(const ps_members_t *members, const ps_name_t *name)
{
    for (guint i = 0; i < members->all->len; i++) {
        ps_member_t *member = &g_array_index(members->all, ps_member_t, i);
        if (PsName_IsEqual(&member->name, name)) {
            return member;
        }
    }
    return NULL;
}

bool
PsMembers_IsLive(const ps_members_t *members, const ps_member_t *member)
{
    return !member->is_silent && member->stale_ms < members->lease_ms;
}

int
PsMembers_GetRank(const ps_members_t *members, const ps_name_t *pool,
                  const ps_name_t *name)
{
    const ps_member_t *member = PsMembers_Get(members, name);
    if (!member || !PsMembers_IsLive(members, member) || member->is_leaving) {
        return -1;
    }
    uint64_t score = get_score(pool, name);
    int rank = 0;
    for (guint i = 0; i < members->all->len; i++) {
        const ps_member_t *other =
            &g_array_index(members->all, ps_member_t, i);
        if (other != member && PsMembers_IsLive(members, other) &&
            !other->is_leaving && get_score(pool, &other->name) > score) {
            rank++;
        }
    }
    return rank;
}
