/*
 * mark_crashes.h - The crashes of marks of requests that a gateway knows.
 *
 * Each daemon reports what it has seen to the allocator, and the allocator
 * tells all daemons of the crashes of banned marks.
 *
 * Sound requests may have a shared mark too, a content without a body or a
 * part of their prompts, and are then in flight at crashes that others cause.
 * Such a mark counts only for servers that have ended, and is cleared
 * everywhere as soon as one daemon has seen it run to its end. A part is
 * suspected only where its request had not been answered for long, as it
 * crashes servers that begin to write.
 */
#ifndef PS_MARK_CRASHES_H
#define PS_MARK_CRASHES_H

#include "abandoned_runs.h"
#include "backend.h"
#include "crash_reports.h"
#include "mark_shares.h"
#include "peer.pb-c.h"
#include "recent_map.h"

// Crashes of servers, as seen by all daemons, until a content or a part is
// refused. One request is not in flight at enough crashes to have its parts
// refused.
#define PS_CONTENT_CRASHES_MAX 3
#define PS_PART_CRASHES_MAX 4

// Marks that are told to others as cleared, the latest ones.
#define PS_MARKS_CLEARED_MAX 64

/**
 * struct ps_cleared_mark - A suspected mark that ran to its end.
 */
typedef struct ps_cleared_mark {
    uint64_t mark; /* 0: unused entry */
    int64_t at_ms; /* when it was cleared here */
} ps_cleared_mark_t;

/**
 * struct ps_mark_crashes - Crashes known to one daemon.
 */
typedef struct ps_mark_crashes {
    ps_suspects_t suspects;
    ps_abandoned_runs_t abandoned_runs;
    ps_recent_map_t
        completed;           /* marks that ran to their end lately, and when */
    ps_mark_shares_t shares; /* of the requests that arrive here */
    ps_crash_reports_t to_allocator;
    ps_crash_reports_t to_members; /* used while this is the allocator */
    ps_cleared_mark_t cleared[PS_MARKS_CLEARED_MAX];
    size_t next_cleared;    /* index of the entry that is replaced next */
    int64_t next_trial_ms;  /* no trial before */
    bool has_unsaved_crash; /* what is known here may differ from the store */
} ps_mark_crashes_t;

/**
 * struct ps_lost_run - A request that a server did not answer to its end.
 */
typedef struct ps_lost_run {
    const GArray *marks; /* uint64_t, its content's first */
    bool has_just_begun; /* the server had not been answering for long, so that
                            a part may be the cause */
    bool is_trial;       /* PsMarkCrashes_StartTrial() let it through */
    const ps_registration_t *server; /* each start of it counts once */
    bool is_unconfirmed; /* PsMarkCrashes_Settle() tells whether the server
                            has failed */
} ps_lost_run_t;

/**
 * struct ps_banned_mark - Why a request is to be refused.
 */
typedef struct ps_banned_mark {
    uint64_t mark;   /* 0: it is not */
    bool is_unclear; /* another part that the request does not have was in
                        flight at the same crashes; or @needs_turn */
    bool needs_turn; /* it may be no cause at all: a daemon may let a request
                        through in its turn (trial_turns.h) */
} ps_banned_mark_t;

void PsMarkCrashes_Init(ps_mark_crashes_t *crashes);
void PsMarkCrashes_Finish(ps_mark_crashes_t *crashes);

/**
 * PsMarkCrashes_AddLost() - Counts a lost connection as a crash for the marks
 * of the request.
 *
 * A mark that ran to its end here lately is ignored. A shared mark counts when
 * the server turns out to have ended.
 */
void PsMarkCrashes_AddLost(ps_mark_crashes_t *crashes,
                           const ps_lost_run_t *run, int64_t now_ms);

/**
 * PsMarkCrashes_Settle() - Confirms or withdraws the unconfirmed crashes of a
 * start of a server.
 * @is_crash: the server has failed; false: this daemon may have been cut off
 *
 * Until then they count at this daemon only. A request whose crash is
 * withdrawn still counts if the server turns out to have ended.
 */
void PsMarkCrashes_Settle(ps_mark_crashes_t *crashes,
                          const ps_registration_t *server, bool is_crash,
                          int64_t now_ms);

/**
 * PsMarkCrashes_AddCompleted() - Notes the marks of a request that ran to its
 * end. The shared ones are cleared.
 */
void PsMarkCrashes_AddCompleted(ps_mark_crashes_t *crashes,
                                const GArray *marks, int64_t now_ms);

/**
 * PsMarkCrashes_AddSoundParts() - Clears the parts of a request that a server
 * has been answering for longer than a part needs to crash it.
 */
void PsMarkCrashes_AddSoundParts(ps_mark_crashes_t *crashes,
                                 const GArray *marks, int64_t now_ms);

/**
 * PsMarkCrashes_AddAbandoned() - Notes a request that is given up at a
 * server before the end of its response.
 */
void PsMarkCrashes_AddAbandoned(ps_mark_crashes_t *crashes,
                                const ps_lost_run_t *run, int64_t now_ms);

/**
 * PsMarkCrashes_AddRequest() - Notes the marks of a request that has arrived.
 */
void PsMarkCrashes_AddRequest(ps_mark_crashes_t *crashes, const GArray *marks,
                              int64_t now_ms);

/**
 * PsMarkCrashes_FindBanned() - Finds the mark for which a request is to be
 * refused.
 *
 * Of the banned parts that were in flight at the same crashes, only the one
 * with further crashes counts. While there is none, any of them may be the
 * cause, and a request with some of them shows which.
 *
 * Return: its mark is 0 if there is none.
 */
ps_banned_mark_t PsMarkCrashes_FindBanned(const ps_mark_crashes_t *crashes,
                                          const GArray *marks, int64_t now_ms);

/**
 * PsMarkCrashes_StartTrial() - Tells whether a request whose banned mark may
 * not be the cause is let through to find out: one is from time to time.
 */
bool PsMarkCrashes_StartTrial(ps_mark_crashes_t *crashes,
                              const ps_banned_mark_t *banned, int64_t now_ms);

/**
 * PsMarkCrashes_HandleServerEnd() - Counts the end of a server as a crash
 * for the marks that were lost or given up there shortly before.
 */
void PsMarkCrashes_HandleServerEnd(ps_mark_crashes_t *crashes,
                                   const ps_registration_t *server,
                                   int64_t now_ms);

/**
 * PsMarkCrashes_Merge() - Counts the crashes in a report or grant.
 * @from: the daemon that sent it, for the log
 */
void PsMarkCrashes_Merge(ps_mark_crashes_t *crashes,
                         Ps__ContentCrash *const *messages, size_t n,
                         const ps_name_t *from, int64_t now_ms);

/**
 * PsMarkCrashes_MergeCleared() - Clears the marks in a report or grant.
 * @from: the daemon that sent it, for the log
 */
void PsMarkCrashes_MergeCleared(ps_mark_crashes_t *crashes,
                                const uint64_t *marks, size_t n,
                                const ps_name_t *from, int64_t now_ms);

/**
 * PsMarkCrashes_ListCleared() - Lists the marks cleared lately, for the
 * next report or grant.
 * @marks: receives at most PS_MARKS_CLEARED_MAX hashes
 *
 * Return: number of marks.
 */
size_t PsMarkCrashes_ListCleared(const ps_mark_crashes_t *crashes,
                                 uint64_t *marks, int64_t now_ms);

/**
 * PsMarkCrashes_Restore() - Counts crashes that were read from the store.
 */
void PsMarkCrashes_Restore(ps_mark_crashes_t *crashes,
                           const ps_crash_t *stored, size_t n, int64_t now_ms);

/**
 * PsMarkCrashes_MakeMessages() - Makes the messages of the next report.
 * @reports: to_allocator or to_members
 * @n: receives their number
 *
 * Return: to be freed with PsMarkCrashes_FreeMessages().
 */
Ps__ContentCrash **PsMarkCrashes_MakeMessages(ps_crash_reports_t *reports,
                                              size_t *n, int64_t now_ms);
void PsMarkCrashes_FreeMessages(Ps__ContentCrash **messages, size_t n);

#endif
