/*
 * content_crashes.h - The crashes of request contents that a gateway knows.
 *
 * Each daemon reports what it has seen to the allocator, and the allocator
 * tells all daemons of the crashes of banned contents.
 *
 * Many callers may send the same request without a body, which is then in
 * flight at crashes that others cause. Such a content counts only for servers
 * that have ended, and is cleared everywhere as soon as one daemon has seen it
 * run to its end lately.
 */
#ifndef PS_CONTENT_CRASHES_H
#define PS_CONTENT_CRASHES_H

#include "abandoned_runs.h"
#include "backend.h"
#include "crash_reports.h"
#include "peer.pb-c.h"
#include "recent_set.h"

// Crashes of servers, as seen by all daemons, until a content is refused.
#define PS_CONTENT_CRASHES_MAX 3

// Set in the hash of a content without a body, clear in all others.
#define PS_CONTENT_NO_BODY 1u

// Contents that are told to others as cleared, the latest ones.
#define PS_CONTENTS_CLEARED_MAX 64

/**
 * struct ps_cleared_content - A suspected content that ran to its end.
 */
typedef struct ps_cleared_content {
    uint64_t content; /* its hash; 0: unused entry */
    int64_t at_ms;    /* when it was cleared here */
} ps_cleared_content_t;

/**
 * struct ps_content_crashes - Crashes known to one daemon.
 */
typedef struct ps_content_crashes {
    ps_suspects_t suspects;
    ps_abandoned_runs_t abandoned_runs;
    ps_recent_set_t completed; /* contents that ran to their end lately */
    ps_crash_reports_t to_allocator;
    ps_crash_reports_t to_members; /* used while this is the allocator */
    ps_cleared_content_t cleared[PS_CONTENTS_CLEARED_MAX];
    size_t next_cleared;    /* index of the entry that is replaced next */
    bool has_unsaved_crash; /* what is known here may differ from the store */
} ps_content_crashes_t;

void PsContentCrashes_Init(ps_content_crashes_t *crashes);
void PsContentCrashes_Finish(ps_content_crashes_t *crashes);

/**
 * PsContentCrashes_Add() - Counts a crash that this daemon has seen.
 * @content: hash of the content in flight; 0 is ignored
 * @server: that the connection was lost to; each start of it counts once
 *
 * A content that ran to its end here lately is not the cause and is ignored:
 * many callers may send the same one. One without a body counts when the
 * server turns out to have ended.
 *
 * Return: whether it counts only once the server is known to have ended.
 */
bool PsContentCrashes_Add(ps_content_crashes_t *crashes, uint64_t content,
                          const ps_registration_t *server, int64_t now_ms);

/**
 * PsContentCrashes_AddCompleted() - Notes a content that ran to its end. One
 * without a body is cleared.
 */
void PsContentCrashes_AddCompleted(ps_content_crashes_t *crashes,
                                   uint64_t content, int64_t now_ms);

/**
 * PsContentCrashes_AddAbandoned() - Notes a request that is given up at a
 * server before the end of its response.
 */
void PsContentCrashes_AddAbandoned(ps_content_crashes_t *crashes,
                                   uint64_t content,
                                   const ps_registration_t *server,
                                   int64_t now_ms);

/**
 * PsContentCrashes_HandleServerEnd() - Counts the end of a server as a crash
 * for the contents that were given up there shortly before.
 */
void PsContentCrashes_HandleServerEnd(ps_content_crashes_t *crashes,
                                      const ps_registration_t *server,
                                      int64_t now_ms);

/**
 * PsContentCrashes_Merge() - Counts the crashes in a report or grant.
 * @from: the daemon that sent it, for the log
 */
void PsContentCrashes_Merge(ps_content_crashes_t *crashes,
                            Ps__ContentCrash *const *messages, size_t n,
                            const ps_name_t *from, int64_t now_ms);

/**
 * PsContentCrashes_MergeCleared() - Clears the contents in a report or grant.
 * @from: the daemon that sent it, for the log
 */
void PsContentCrashes_MergeCleared(ps_content_crashes_t *crashes,
                                   const uint64_t *contents, size_t n,
                                   const ps_name_t *from, int64_t now_ms);

/**
 * PsContentCrashes_ListCleared() - Lists the contents cleared lately, for the
 * next report or grant.
 * @contents: receives at most PS_CONTENTS_CLEARED_MAX hashes
 *
 * Return: number of contents.
 */
size_t PsContentCrashes_ListCleared(const ps_content_crashes_t *crashes,
                                    uint64_t *contents, int64_t now_ms);

/**
 * PsContentCrashes_Restore() - Counts crashes that were read from the store.
 */
void PsContentCrashes_Restore(ps_content_crashes_t *crashes,
                              const ps_crash_t *stored, size_t n,
                              int64_t now_ms);

/**
 * PsContentCrashes_MakeMessages() - Makes the messages of the next report.
 * @reports: to_allocator or to_members
 * @n: receives their number
 *
 * Return: to be freed with PsContentCrashes_FreeMessages().
 */
Ps__ContentCrash **PsContentCrashes_MakeMessages(ps_crash_reports_t *reports,
                                                 size_t *n, int64_t now_ms);
void PsContentCrashes_FreeMessages(Ps__ContentCrash **messages, size_t n);

#endif
