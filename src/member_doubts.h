/*
 * member_doubts.h - Removes lost members, and none that lives.
 *
 * An allocator that most members report to knows that one it does not hear is
 * dead. One with fewer reports can't tell dead members from those that it is
 * cut off from, and if most members are lost for good there never is another.
 * It asks in the store: the registration of a silent member says that it is
 * doubted. The member itself, or an allocator that hears it, denies that by
 * writing the registration again. If nobody has, the member is removed, unless
 * its registration has changed since. Does no I/O.
 */
#ifndef PS_MEMBER_DOUBTS_H
#define PS_MEMBER_DOUBTS_H

#include "store_events.h"

// A member that has sent nothing for this long is not named to callers.
#define PS_MEMBER_SILENT_MS 700

/**
 * enum ps_member_action - What is to be done about a member.
 */
typedef enum ps_member_action {
    PS_MEMBER_KEEP,
    PS_MEMBER_DOUBT, /* its registration is to say so */
    PS_MEMBER_DENY,  /* its registration is to say no more so */
    PS_MEMBER_REMOVE /* its registration is to be removed */
} ps_member_action_t;

/**
 * struct ps_member_sight - What a daemon knows of a member.
 * @heard_ms: last frame or report; 0: none
 * @silent_ms: since then, or since this daemon could have heard it
 * @has_most: most members report to this daemon
 * @is_allocator: this daemon has chosen itself
 */
typedef struct ps_member_sight {
    int64_t heard_ms;
    int64_t silent_ms;
    bool has_most;
    bool is_allocator;
} ps_member_sight_t;

/**
 * PsMemberDoubts_Decide() - Decides about a member, and notes in it what is
 * now done.
 * @next_doubt_ms: of this daemon; no member is doubted before
 */
ps_member_action_t PsMemberDoubts_Decide(ps_daemon_info_t *member,
                                         const ps_member_sight_t *sight,
                                         int64_t *next_doubt_ms,
                                         int64_t now_ms);

/**
 * PsMemberDoubts_HandleWrite() - Takes another revision of the registration of
 * a daemon that has not started again.
 */
void PsMemberDoubts_HandleWrite(ps_daemon_info_t *member,
                                const ps_daemon_info_t *written,
                                int64_t now_ms);

#endif
