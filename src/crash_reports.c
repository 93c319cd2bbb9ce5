/* crash_reports.c - Which crashes are reported to other daemons, and when. */
#include "crash_reports.h"

#include <string.h>

/* ---- Public functions ------------------------------------------------- */

void
PsCrashReports_Init(ps_crash_reports_t *reports, const ps_suspects_t *suspects,
                    bool with_own)
{
    *reports = (ps_crash_reports_t){
        .suspects = suspects,
        .with_own = with_own,
        .unreported = g_array_new(FALSE, FALSE, sizeof(ps_crash_t))};
}

void
PsCrashReports_Finish(ps_crash_reports_t *reports)
{
    g_array_unref(reports->unreported);
}

void
PsCrashReports_Add(ps_crash_reports_t *reports, const ps_crash_t *crash)
{
    if (reports->unreported->len == PS_CRASH_REPORTS_MAX) {
        g_array_remove_index(reports->unreported, 0);
    }
    g_array_append_val(reports->unreported, *crash);
}

void
PsCrashReports_AddAll(ps_crash_reports_t *reports)
{
    reports->next_recent_ms = 0;
    reports->next_all_ms = 0;
}

size_t
PsCrashReports_Take(ps_crash_reports_t *reports, ps_crash_t *crashes,
                    int64_t now_ms)
{
    size_t n = reports->unreported->len;
    if (now_ms >= reports->next_recent_ms) {
        int64_t own_since_ms = now_ms - PS_CRASH_REPORTS_RECENT_MS;
        reports->next_recent_ms = now_ms + PS_CRASH_REPORTS_INTERVAL_MS;
        if (now_ms >= reports->next_all_ms) {
            reports->next_all_ms = now_ms + PS_CRASH_REPORTS_ALL_INTERVAL_MS;
            own_since_ms = INT64_MIN;
        }
        n = PsSuspects_ListCrashes(
            reports->suspects, reports->with_own ? own_since_ms : INT64_MAX,
            crashes, PS_CRASH_REPORTS_MAX, now_ms);
    }
    else if (n > 0) {
        memcpy(crashes, reports->unreported->data, n * sizeof *crashes);
    }
    g_array_set_size(reports->unreported, 0);
    return n;
}
