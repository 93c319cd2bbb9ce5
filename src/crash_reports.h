/*
 * crash_reports.h - Which crashes a daemon reports to others, and when.
 *
 * Crashes are counted over all daemons. Each one is reported at once, and
 * again at intervals, since a report may be lost and a daemon that starts
 * knows none: recent ones and those of banned marks often, the others
 * rarely, because a loss of many servers leaves many. Does no I/O; all times
 * are passed in.
 */
#ifndef PS_CRASH_REPORTS_H
#define PS_CRASH_REPORTS_H

#include "suspects.h"

// Interval at which recent crashes and those of banned marks are reported
// again, and the age up to which a crash is recent.
#define PS_CRASH_REPORTS_INTERVAL_MS 1000
#define PS_CRASH_REPORTS_RECENT_MS 30000

// Interval at which all crashes are reported again.
#define PS_CRASH_REPORTS_ALL_INTERVAL_MS 30000

#define PS_CRASH_REPORTS_MAX 256 /* crashes in one report */

/**
 * struct ps_crash_reports - The crashes that one kind of message reports.
 */
typedef struct ps_crash_reports {
    const ps_suspects_t *suspects; /* the crashes known here */
    bool with_own;      /* reports what was seen here; false: only the crashes
                           of banned marks */
    GArray *unreported; /* ps_crash_t to be reported next */
    int64_t next_recent_ms; /* when recent ones are reported again */
    int64_t next_all_ms;    /* when all are reported again */
} ps_crash_reports_t;

/**
 * PsCrashReports_Init() - Initializes reports of the crashes in a set.
 * @suspects: not copied
 */
void PsCrashReports_Init(ps_crash_reports_t *reports,
                         const ps_suspects_t *suspects, bool with_own);
void PsCrashReports_Finish(ps_crash_reports_t *reports);

/**
 * PsCrashReports_Add() - Adds a crash to the next report.
 */
void PsCrashReports_Add(ps_crash_reports_t *reports, const ps_crash_t *crash);

/**
 * PsCrashReports_AddAll() - Has the next report name all crashes.
 */
void PsCrashReports_AddAll(ps_crash_reports_t *reports);

/**
 * PsCrashReports_Take() - Takes the crashes of the next report.
 * @crashes: receives at most PS_CRASH_REPORTS_MAX crashes
 *
 * Return: number of crashes.
 */
size_t PsCrashReports_Take(ps_crash_reports_t *reports, ps_crash_t *crashes,
                           int64_t now_ms);

#endif
