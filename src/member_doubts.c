/* member_doubts.c - Decides when lost members are removed. */
#include "member_doubts.h"

// A member that has sent nothing for this long is dead, to an allocator with
// most reports.
#define DEAD_MS 3000

// The same to one with fewer, until it doubts the member.
#define DOUBT_AFTER_MS 6000

// Time in which a doubt can be denied. It covers a list of members by a daemon
// whose watch was cut off.
#define ANSWER_MS 10000

#define RETRY_MS 2000     /* between two writes about a member */
#define INTERVAL_MS 30000 /* after a denial, until it is doubted again */
#define PACE_MS 100       /* between doubts of different members */

/* ---- Internal functions ----------------------------------------------- */

static ps_member_action_t
remove_once(ps_daemon_info_t *member)
{
    bool is_requested = member->is_removal_requested;
    member->is_removal_requested = true;
    return is_requested ? PS_MEMBER_KEEP : PS_MEMBER_REMOVE;
}

static bool
may_doubt(const ps_daemon_info_t *member, int64_t now_ms)
{
    return member->revision > 0 && now_ms - member->doubted_ms > RETRY_MS &&
           (member->denied_ms == 0 ||
            now_ms - member->denied_ms > INTERVAL_MS);
}

/* ---- Public functions ------------------------------------------------- */

ps_member_action_t
PsMemberDoubts_Decide(ps_daemon_info_t *member, const ps_member_sight_t *sight,
                      int64_t *next_doubt_ms, int64_t now_ms)
{
    if (member->is_doubted &&
        now_ms - sight->heard_ms <= PS_MEMBER_SILENT_MS &&
        now_ms - member->denied_ms > RETRY_MS) {
        member->denied_ms = now_ms;
        return PS_MEMBER_DENY;
    }
    if (sight->has_most) {
        return sight->silent_ms > DEAD_MS ? remove_once(member)
                                          : PS_MEMBER_KEEP;
    }
    if (!sight->is_allocator || sight->silent_ms <= DOUBT_AFTER_MS) {
        return PS_MEMBER_KEEP;
    }
    if (member->is_doubted) {
        return now_ms - member->doubted_ms > ANSWER_MS ? remove_once(member)
                                                       : PS_MEMBER_KEEP;
    }
    if (now_ms < *next_doubt_ms || !may_doubt(member, now_ms)) {
        return PS_MEMBER_KEEP;
    }
    *next_doubt_ms = now_ms + PACE_MS;
    member->doubted_ms = now_ms;
    return PS_MEMBER_DOUBT;
}

void
PsMemberDoubts_HandleWrite(ps_daemon_info_t *member,
                           const ps_daemon_info_t *written, int64_t now_ms)
{
    member->revision = written->revision;
    member->is_removal_requested = false;
    if (written->is_doubted) {
        member->doubted_ms = now_ms;
    }
    else {
        member->denied_ms = member->is_doubted ? now_ms : member->denied_ms;
        member->joined_ms = now_ms;
    }
    member->is_doubted = written->is_doubted;
}
