/*
 * content_crashes.h - The crashes of request contents that a gateway knows.
 *
 * Each daemon reports what it has seen to the allocator, and the allocator
 * tells all daemons of the crashes of banned contents.
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

/**
 * struct ps_content_crashes - Crashes known to one daemon.
 */
typedef struct ps_content_crashes {
    ps_suspects_t suspects;
    ps_abandoned_runs_t abandoned_runs;
    ps_recent_set_t completed; /* contents that ran to their end lately */
    ps_crash_reports_t to_allocator;
    ps_crash_reports_t to_members; /* used while this is the allocator */
    bool has_unsaved_crash; /* the store may lack a crash that is known here */
} ps_content_crashes_t;

void PsContentCrashes_Init(ps_content_crashes_t *crashes);
void PsContentCrashes_Finish(ps_content_crashes_t *crashes);

/**
 * PsContentCrashes_Add() - Counts a crash that this daemon has seen.
 * @content: hash of the content in flight; 0 is ignored
 * @server: that the connection was lost to; each start of it counts once
 *
 * A content that ran to its end here lately is not the cause and is ignored:
 * many callers may send the same one.
 */
void PsContentCrashes_Add(ps_content_crashes_t *crashes, uint64_t content,
                          const ps_registration_t *server, int64_t now_ms);

/**
 * PsContentCrashes_AddCompleted() - Notes a content that ran to its end.
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
