/* mark_crashes.c - Counts the crashes of marks over all daemons. */
#include "mark_crashes.h"

#include <string.h>
#include <xxhash.h>

#include "events_log.h"

// Time for which reports and grants name a cleared mark: several rounds, as
// each may be lost.
#define CLEARED_REPORT_MS 2000

/* ---- Internal functions ----------------------------------------------- */

// Has a ban that has just come into force told to all daemons.
static void
announce_ban(ps_mark_crashes_t *crashes, uint64_t mark, const char *from)
{
    ps_name_t hash = PsMark_Format(mark);
    PsEvents_Add("content.banned", "{s:s,s:s}", "content", hash.data, "from",
                 from);
    PsCrashReports_AddAll(&crashes->to_members);
}

// Returns the id of a crash of this start of a server.
static uint64_t
get_crash_id(const ps_registration_t *server)
{
    return XXH64(server->name.data, server->name.len,
                 (uint64_t)server->started_ms);
}

// Counts a crash. Returns false if it is not counted.
static bool
count_crash(ps_mark_crashes_t *crashes, const ps_crash_t *crash,
            const char *from, int64_t now_ms)
{
    if (!PsSuspects_AddCrash(&crashes->suspects, crash)) {
        return false;
    }
    crashes->has_unsaved_crash = true;
    if (PsSuspects_GetCrashes(&crashes->suspects, crash->mark, now_ms) ==
        PS_MARK_CRASHES_MAX) {
        announce_ban(crashes, crash->mark, from);
    }
    return true;
}

static bool
ran_to_its_end(ps_mark_crashes_t *crashes, uint64_t mark, int64_t now_ms)
{
    return PsRecentSet_Contains(&crashes->completed, mark, now_ms);
}

// Has other daemons clear a mark, unless they were told lately.
static void
announce_cleared(ps_mark_crashes_t *crashes, uint64_t mark, const char *from,
                 int64_t now_ms)
{
    for (size_t i = 0; i < PS_MARKS_CLEARED_MAX; i++) {
        const ps_cleared_mark_t *cleared = &crashes->cleared[i];
        if (cleared->mark == mark &&
            now_ms - cleared->at_ms <= CLEARED_REPORT_MS) {
            return;
        }
    }
    ps_name_t hash = PsMark_Format(mark);
    PsEvents_Add("content.cleared", "{s:s,s:s}", "content", hash.data, "from",
                 from);
    crashes->cleared[crashes->next_cleared] =
        (ps_cleared_mark_t){mark, now_ms};
    crashes->next_cleared = (crashes->next_cleared + 1) % PS_MARKS_CLEARED_MAX;
}

// Forgets the crashes of a mark, if any are known here.
static void
clear_mark(ps_mark_crashes_t *crashes, uint64_t mark, const char *from,
           int64_t now_ms)
{
    if (PsSuspects_GetCrashes(&crashes->suspects, mark, now_ms) > 0) {
        PsSuspects_Remove(&crashes->suspects, mark);
        crashes->has_unsaved_crash = true;
        announce_cleared(crashes, mark, from, now_ms);
    }
}

static void
count_own_crash(ps_mark_crashes_t *crashes, uint64_t mark,
                const ps_registration_t *server, int64_t now_ms)
{
    if (ran_to_its_end(crashes, mark, now_ms)) {
        return;
    }
    ps_crash_t crash = {.mark = mark,
                        .id = get_crash_id(server),
                        .at_ms = now_ms,
                        .is_own = true};
    if (count_crash(crashes, &crash, "this daemon", now_ms)) {
        PsCrashReports_Add(&crashes->to_allocator, &crash);
    }
}

/* ---- Public functions ------------------------------------------------- */

void
PsMarkCrashes_Init(ps_mark_crashes_t *crashes)
{
    PsSuspects_Init(&crashes->suspects, PS_MARK_CRASHES_MAX);
    PsCrashReports_Init(&crashes->to_allocator, &crashes->suspects, true);
    PsCrashReports_Init(&crashes->to_members, &crashes->suspects, false);
    PsAbandonedRuns_Init(&crashes->abandoned_runs);
    PsRecentSet_Init(&crashes->completed);
    memset(crashes->cleared, 0, sizeof crashes->cleared);
    crashes->next_cleared = 0;
    crashes->has_unsaved_crash = false;
}

void
PsMarkCrashes_Finish(ps_mark_crashes_t *crashes)
{
    PsCrashReports_Finish(&crashes->to_members);
    PsCrashReports_Finish(&crashes->to_allocator);
    PsRecentSet_Finish(&crashes->completed);
    PsSuspects_Finish(&crashes->suspects);
}

bool
PsMarkCrashes_Add(ps_mark_crashes_t *crashes, uint64_t mark,
                  const ps_registration_t *server, int64_t now_ms)
{
    if (!PsMark_IsShared(mark)) {
        count_own_crash(crashes, mark, server, now_ms);
        return false;
    }
    PsMarkCrashes_AddAbandoned(crashes, mark, server, now_ms);
    return true;
}

void
PsMarkCrashes_AddCompleted(ps_mark_crashes_t *crashes, uint64_t mark,
                           int64_t now_ms)
{
    PsRecentSet_Add(&crashes->completed, mark, now_ms);
    if (PsMark_IsShared(mark)) {
        clear_mark(crashes, mark, "this daemon", now_ms);
    }
}

void
PsMarkCrashes_AddAbandoned(ps_mark_crashes_t *crashes, uint64_t mark,
                           const ps_registration_t *server, int64_t now_ms)
{
    PsAbandonedRuns_Add(&crashes->abandoned_runs, mark, get_crash_id(server),
                        now_ms);
}

void
PsMarkCrashes_HandleServerEnd(ps_mark_crashes_t *crashes,
                              const ps_registration_t *server, int64_t now_ms)
{
    ps_abandoned_run_t run;
    while (PsAbandonedRuns_TakeNext(&crashes->abandoned_runs,
                                    get_crash_id(server), now_ms, &run)) {
        count_own_crash(crashes, run.mark, server, now_ms);
        ps_name_t hash = PsMark_Format(run.mark);
        PsEvents_Add(
            "content.server_ended", "{s:s,s:s,s:I,s:i}", "content", hash.data,
            "server", server->name.data, "after_ms",
            (json_int_t)(now_ms - run.at_ms), "crashes",
            PsSuspects_GetCrashes(&crashes->suspects, run.mark, now_ms));
    }
}

void
PsMarkCrashes_Merge(ps_mark_crashes_t *crashes,
                    Ps__ContentCrash *const *messages, size_t n,
                    const ps_name_t *from, int64_t now_ms)
{
    for (size_t i = 0; i < n; i++) {
        ps_crash_t crash = {.mark = messages[i]->content,
                            .id = messages[i]->crash,
                            .at_ms = now_ms - (int64_t)messages[i]->age_ms};
        if (PsMark_IsShared(crash.mark) &&
            ran_to_its_end(crashes, crash.mark, now_ms)) {
            announce_cleared(crashes, crash.mark, "this daemon", now_ms);
            continue;
        }
        if (count_crash(crashes, &crash, from->data, now_ms)) {
            ps_name_t mark = PsMark_Format(crash.mark);
            PsEvents_Add(
                "content.reported", "{s:s,s:s,s:i}", "content", mark.data,
                "from", from->data, "crashes",
                PsSuspects_GetCrashes(&crashes->suspects, crash.mark, now_ms));
        }
    }
}

void
PsMarkCrashes_MergeCleared(ps_mark_crashes_t *crashes, const uint64_t *marks,
                           size_t n, const ps_name_t *from, int64_t now_ms)
{
    for (size_t i = 0; i < n; i++) {
        if (PsMark_IsShared(marks[i])) {
            clear_mark(crashes, marks[i], from->data, now_ms);
            PsRecentSet_Add(&crashes->completed, marks[i], now_ms);
        }
    }
}

size_t
PsMarkCrashes_ListCleared(const ps_mark_crashes_t *crashes, uint64_t *marks,
                          int64_t now_ms)
{
    size_t n = 0;
    for (size_t i = 0; i < PS_MARKS_CLEARED_MAX; i++) {
        const ps_cleared_mark_t *cleared = &crashes->cleared[i];
        if (cleared->mark != 0 &&
            now_ms - cleared->at_ms <= CLEARED_REPORT_MS) {
            marks[n++] = cleared->mark;
        }
    }
    return n;
}

void
PsMarkCrashes_Restore(ps_mark_crashes_t *crashes, const ps_crash_t *stored,
                      size_t n, int64_t now_ms)
{
    bool had_unsaved_crash = crashes->has_unsaved_crash;
    for (size_t i = 0; i < n; i++) {
        count_crash(crashes, &stored[i], "the store", now_ms);
    }
    crashes->has_unsaved_crash = had_unsaved_crash;
}

Ps__ContentCrash **
PsMarkCrashes_MakeMessages(ps_crash_reports_t *reports, size_t *n,
                           int64_t now_ms)
{
    ps_crash_t crashes[PS_CRASH_REPORTS_MAX];
    *n = PsCrashReports_Take(reports, crashes, now_ms);
    Ps__ContentCrash **messages = g_new0(Ps__ContentCrash *, *n + 1);
    for (size_t i = 0; i < *n; i++) {
        messages[i] = g_new(Ps__ContentCrash, 1);
        ps__content_crash__init(messages[i]);
        messages[i]->content = crashes[i].mark;
        messages[i]->crash = crashes[i].id;
        messages[i]->age_ms = (uint32_t)MAX(now_ms - crashes[i].at_ms, 0);
    }
    return messages;
}

void
PsMarkCrashes_FreeMessages(Ps__ContentCrash **messages, size_t n)
{
    for (size_t i = 0; i < n; i++) {
        g_free(messages[i]);
    }
    g_free(messages);
}
