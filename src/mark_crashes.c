/* mark_crashes.c - Counts the crashes of marks over all daemons. */
#include "mark_crashes.h"

#include <string.h>
#include <xxhash.h>

#include "events_log.h"
#include "mark_trials.h"
#include "trial_turns.h"

// Time for which reports and grants name a cleared mark: several rounds, as
// each may be lost.
#define CLEARED_REPORT_MS 2000

// Time for which a mark that has run to its end is known to be sound.
#define COMPLETED_MS (60 * 1000)

// A part that ran to its end at most this long before a server ended did not
// end it. Load pattern: many servers end at once, with the same part in flight
// at several of them.
#define PART_SOUND_MS 3000

/* ---- Internal functions ----------------------------------------------- */

// Logs a ban that has just come into force.
static void
log_ban(uint64_t mark, const char *from)
{
    ps_name_t hash = PsMark_Format(mark);
    PsEvents_Add("content.banned", "{s:s,s:s,s:s}", "content", hash.data,
                 "kind", PsMark_GetKind(mark), "from", from);
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
    int n = PsSuspects_GetCrashes(&crashes->suspects, crash->mark, now_ms);
    int limit = PsSuspects_GetLimit(&crashes->suspects, crash->mark);
    if (n == limit) {
        log_ban(crash->mark, from);
    }
    if (n >= limit) {
        PsCrashReports_AddAll(&crashes->to_members);
    }
    return true;
}

// Tells whether a mark that was in flight at a crash ran to its end here, so
// that it is not the cause: a part shortly before or later, a content lately.
static bool
is_sound(ps_mark_crashes_t *crashes, uint64_t mark, int64_t crashed_ms,
         int64_t now_ms)
{
    uint64_t completed_ms;
    return PsRecentMap_Get(&crashes->completed, mark, &completed_ms, now_ms) &&
           (!PsMark_IsPart(mark) ||
            (int64_t)completed_ms >= crashed_ms - PART_SOUND_MS);
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
    PsEvents_Add("content.cleared", "{s:s,s:s,s:s}", "content", hash.data,
                 "kind", PsMark_GetKind(mark), "from", from);
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
count_own_crash(ps_mark_crashes_t *crashes, const ps_crash_t *crash,
                int64_t now_ms)
{
    if (!is_sound(crashes, crash->mark, crash->at_ms, now_ms) &&
        count_crash(crashes, crash, "this daemon", now_ms) &&
        !crash->is_unconfirmed) {
        PsCrashReports_Add(&crashes->to_allocator, crash);
    }
}

// Notes the parts of a request that may have crashed a server: those that have
// not run to their end here lately, or all if there are none.
static void
add_suspected_parts(ps_mark_crashes_t *crashes, const ps_lost_run_t *run,
                    int64_t now_ms)
{
    bool is_any_unknown = false;
    for (guint i = 1; i < run->marks->len; i++) {
        is_any_unknown |= !PsRecentMap_Get(
            &crashes->completed, g_array_index(run->marks, uint64_t, i), NULL,
            now_ms);
    }
    for (guint i = 1; i < run->marks->len; i++) {
        uint64_t part = g_array_index(run->marks, uint64_t, i);
        if (!is_any_unknown ||
            !PsRecentMap_Get(&crashes->completed, part, NULL, now_ms)) {
            PsAbandonedRuns_Add(&crashes->abandoned_runs, part,
                                get_crash_id(run->server), run->is_trial,
                                now_ms);
        }
    }
}

/* ---- Public functions ------------------------------------------------- */

void
PsMarkCrashes_Init(ps_mark_crashes_t *crashes)
{
    PsSuspects_Init(&crashes->suspects, PS_CONTENT_CRASHES_MAX,
                    PS_PART_CRASHES_MAX);
    PsCrashReports_Init(&crashes->to_allocator, &crashes->suspects, true);
    PsCrashReports_Init(&crashes->to_members, &crashes->suspects, false);
    PsAbandonedRuns_Init(&crashes->abandoned_runs);
    PsRecentMap_Init(&crashes->completed, COMPLETED_MS);
    PsMarkShares_Init(&crashes->shares);
    memset(crashes->cleared, 0, sizeof crashes->cleared);
    crashes->next_cleared = 0;
    crashes->next_trial_ms = 0;
    crashes->has_unsaved_crash = false;
}

void
PsMarkCrashes_Finish(ps_mark_crashes_t *crashes)
{
    PsCrashReports_Finish(&crashes->to_members);
    PsCrashReports_Finish(&crashes->to_allocator);
    PsRecentMap_Finish(&crashes->completed);
    PsMarkShares_Finish(&crashes->shares);
    PsSuspects_Finish(&crashes->suspects);
}

void
PsMarkCrashes_AddLost(ps_mark_crashes_t *crashes, const ps_lost_run_t *run,
                      int64_t now_ms)
{
    uint64_t content = g_array_index(run->marks, uint64_t, 0);
    if (PsMark_IsShared(content)) {
        PsMarkCrashes_AddAbandoned(crashes, run, now_ms);
        return;
    }
    ps_crash_t crash = {.mark = content,
                        .id = get_crash_id(run->server),
                        .at_ms = now_ms,
                        .is_own = true,
                        .is_unconfirmed = run->is_unconfirmed};
    count_own_crash(crashes, &crash, now_ms);
    if (run->has_just_begun) {
        add_suspected_parts(crashes, run, now_ms);
    }
}

void
PsMarkCrashes_Settle(ps_mark_crashes_t *crashes,
                     const ps_registration_t *server, bool is_crash,
                     int64_t now_ms)
{
    GArray *settled = g_array_new(FALSE, FALSE, sizeof(ps_crash_t));
    PsSuspects_Settle(&crashes->suspects, get_crash_id(server), is_crash,
                      settled);
    for (guint i = 0; i < settled->len; i++) {
        const ps_crash_t *crash = &g_array_index(settled, ps_crash_t, i);
        crashes->has_unsaved_crash = true;
        if (is_crash) {
            PsCrashReports_Add(&crashes->to_allocator, crash);
            continue;
        }
        PsAbandonedRuns_Add(&crashes->abandoned_runs, crash->mark, crash->id,
                            crash->is_trial, now_ms);
        ps_name_t hash = PsMark_Format(crash->mark);
        PsEvents_Add("content.not_crashed", "{s:s,s:s,s:s}", "content",
                     hash.data, "kind", PsMark_GetKind(crash->mark), "server",
                     server->name.data);
    }
    g_array_unref(settled);
}

void
PsMarkCrashes_AddCompleted(ps_mark_crashes_t *crashes, const GArray *marks,
                           int64_t now_ms)
{
    uint64_t content = g_array_index(marks, uint64_t, 0);
    PsRecentMap_Put(&crashes->completed, content, (uint64_t)now_ms, now_ms);
    if (PsMark_IsShared(content)) {
        clear_mark(crashes, content, "this daemon", now_ms);
    }
    PsMarkCrashes_AddSoundParts(crashes, marks, now_ms);
}

void
PsMarkCrashes_AddSoundParts(ps_mark_crashes_t *crashes, const GArray *marks,
                            int64_t now_ms)
{
    for (guint i = 1; i < marks->len; i++) {
        uint64_t part = g_array_index(marks, uint64_t, i);
        PsRecentMap_Put(&crashes->completed, part, (uint64_t)now_ms, now_ms);
        clear_mark(crashes, part, "this daemon", now_ms);
    }
}

void
PsMarkCrashes_AddAbandoned(ps_mark_crashes_t *crashes,
                           const ps_lost_run_t *run, int64_t now_ms)
{
    PsAbandonedRuns_Add(&crashes->abandoned_runs,
                        g_array_index(run->marks, uint64_t, 0),
                        get_crash_id(run->server), run->is_trial, now_ms);
    if (run->has_just_begun) {
        add_suspected_parts(crashes, run, now_ms);
    }
}

void
PsMarkCrashes_AddRequest(ps_mark_crashes_t *crashes, const GArray *marks,
                         int64_t now_ms)
{
    PsMarkShares_Add(&crashes->shares, marks, now_ms);
}

ps_banned_mark_t
PsMarkCrashes_FindBanned(const ps_mark_crashes_t *crashes, const GArray *marks,
                         int64_t now_ms)
{
    ps_banned_mark_t found = {0};
    for (guint i = 0; i < marks->len; i++) {
        uint64_t mark = g_array_index(marks, uint64_t, i);
        if (!PsSuspects_IsBanned(&crashes->suspects, mark, now_ms)) {
            continue;
        }
        ps_blame_t blame = PS_BLAME_FULL;
        if (PsMark_IsPart(mark)) {
            blame =
                PsSuspects_GetBlame(&crashes->suspects, mark, marks, now_ms);
        }
        if (blame == PS_BLAME_NONE) {
            continue;
        }
        if (blame == PS_BLAME_SHARED) {
            found = (ps_banned_mark_t){mark, true, false};
        }
        else if (PsMark_IsShared(mark) &&
                 PsMarkTrials_IsDue(&crashes->suspects, &crashes->shares, mark,
                                    marks, now_ms)) {
            found = (ps_banned_mark_t){mark, true, true};
        }
        else {
            return (ps_banned_mark_t){mark, false, false};
        }
    }
    return found;
}

bool
PsMarkCrashes_StartTrial(ps_mark_crashes_t *crashes,
                         const ps_banned_mark_t *banned, int64_t now_ms)
{
    if (now_ms < crashes->next_trial_ms) {
        return false;
    }
    crashes->next_trial_ms = now_ms + PS_TRIAL_TURN_MS;
    uint64_t mark = banned->mark;
    ps_name_t hash = PsMark_Format(mark);
    PsEvents_Add("content.trial", "{s:s,s:s,s:f,s:i}", "content", hash.data,
                 "kind", PsMark_GetKind(mark), "share",
                 PsMarkShares_Get(&crashes->shares, mark), "crashes",
                 PsSuspects_GetCrashes(&crashes->suspects, mark, now_ms));
    return true;
}

void
PsMarkCrashes_HandleServerEnd(ps_mark_crashes_t *crashes,
                              const ps_registration_t *server, int64_t now_ms)
{
    ps_abandoned_run_t run;
    while (PsAbandonedRuns_TakeNext(&crashes->abandoned_runs,
                                    get_crash_id(server), now_ms, &run)) {
        ps_crash_t crash = {.mark = run.mark,
                            .id = run.crash_id,
                            .at_ms = run.at_ms,
                            .is_own = true,
                            .is_trial = run.is_trial};
        count_own_crash(crashes, &crash, now_ms);
        ps_name_t hash = PsMark_Format(run.mark);
        PsEvents_Add(
            "content.server_ended", "{s:s,s:s,s:s,s:I,s:i}", "content",
            hash.data, "kind", PsMark_GetKind(run.mark), "server",
            server->name.data, "after_ms", (json_int_t)(now_ms - run.at_ms),
            "crashes",
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
                            .at_ms = now_ms - (int64_t)messages[i]->age_ms,
                            .is_trial = messages[i]->trial};
        if (PsMark_IsShared(crash.mark) &&
            is_sound(crashes, crash.mark, crash.at_ms, now_ms)) {
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
            PsRecentMap_Put(&crashes->completed, marks[i], (uint64_t)now_ms,
                            now_ms);
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
        messages[i]->trial = crashes[i].is_trial;
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
