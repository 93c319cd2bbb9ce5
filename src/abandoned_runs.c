/* abandoned_runs.c - Requests abandoned at servers that may have crashed. */
#include "abandoned_runs.h"

/* ---- Public functions ------------------------------------------------- */

void
PsAbandonedRuns_Init(ps_abandoned_runs_t *abandoned)
{
    *abandoned = (ps_abandoned_runs_t){.next = 0};
}

void
PsAbandonedRuns_Add(ps_abandoned_runs_t *abandoned, uint64_t mark,
                    uint64_t crash_id, bool is_trial, int64_t now_ms)
{
    if (mark == 0) {
        return;
    }
    abandoned->runs[abandoned->next] =
        (ps_abandoned_run_t){mark, crash_id, now_ms, is_trial};
    abandoned->next = (abandoned->next + 1) % PS_ABANDONED_RUNS_MAX;
}

bool
PsAbandonedRuns_TakeNext(ps_abandoned_runs_t *abandoned, uint64_t crash_id,
                         int64_t now_ms, ps_abandoned_run_t *taken)
{
    for (size_t i = 0; i < PS_ABANDONED_RUNS_MAX; i++) {
        ps_abandoned_run_t *run = &abandoned->runs[i];
        if (run->mark != 0 && run->crash_id == crash_id) {
            *taken = *run;
            run->mark = 0;
            if (now_ms - taken->at_ms <= PS_ABANDONED_RUN_TTL_MS) {
                return true;
            }
        }
    }
    return false;
}
