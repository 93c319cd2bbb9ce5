/*
 * mark_crashes.h - The crashes of marks of requests that a gateway knows.
 *
 * Each daemon reports what it has seen to the allocator, and the allocator
 * tells all daemons of the crashes of banned marks.
 *
 * Many callers may send the same request without a body, which is then in
 * flight at crashes that others cause. A shared mark counts only for servers
 * that have ended, and is cleared everywhere as soon as one daemon has seen it
 * run to its end lately.
 */
#ifndef PS_MARK_CRASHES_H
#define PS_MARK_CRASHES_H

#include "abandoned_runs.h"
#include "backend.h"
#include "crash_reports.h"
#include "peer.pb-c.h"
#include "recent_set.h"

// Crashes of servers, as seen by all daemons, until a mark is refused.
#define PS_MARK_CRASHES_MAX 3

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
    ps_recent_set_t completed; /* marks that ran to their end lately */
    ps_crash_reports_t to_allocator;
    ps_crash_reports_t to_members; /* used while this is the allocator */
    ps_cleared_mark_t cleared[PS_MARKS_CLEARED_MAX];
    size_t next_cleared;    /* index of the entry that is replaced next */
    bool has_unsaved_crash; /* what is known here may differ from the store */
} ps_mark_crashes_t;

void PsMarkCrashes_Init(ps_mark_crashes_t *crashes);
void PsMarkCrashes_Finish(ps_mark_crashes_t *crashes);

/**
 * PsMarkCrashes_Add() - Counts a crash that this daemon has seen.
 * @mark: in flight; 0 is ignored
 * @server: that the connection was lost to; each start of it counts once
 *
 * A mark that ran to its end here lately is not the cause and is ignored:
 * many callers may send the same one. A shared one counts when the
 * server turns out to have ended.
 *
 * Return: whether it counts only once the server is known to have ended.
 */
bool PsMarkCrashes_Add(ps_mark_crashes_t *crashes, uint64_t mark,
                       const ps_registration_t *server, int64_t now_ms);

/**
 * PsMarkCrashes_AddCompleted() - Notes a mark that ran to its end. A
 * shared one is cleared.
 */
void PsMarkCrashes_AddCompleted(ps_mark_crashes_t *crashes, uint64_t mark,
                                int64_t now_ms);

/**
 * PsMarkCrashes_AddAbandoned() - Notes a request that is given up at a
 * server before the end of its response.
 */
void PsMarkCrashes_AddAbandoned(ps_mark_crashes_t *crashes, uint64_t mark,
                                const ps_registration_t *server,
                                int64_t now_ms);

/**
 * PsMarkCrashes_HandleServerEnd() - Counts the end of a server as a crash
 * for the marks that were given up there shortly before.
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
