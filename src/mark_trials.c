/* mark_trials.c - Decides on requests that test a banned mark. */
#include "mark_trials.h"

// A mark in so many of the requests is common.
#define COMMON_SHARE 0.125

// Trials that end servers until the mark is refused for good. One may end with
// its server for another reason, which is likelier for a common mark: crashes
// without a trial say little of it.
#define TRIALS_MAX 1
#define COMMON_TRIALS_MAX 2

// Time after a crash until a trial: servers end one after another while their
// cause is not known everywhere.
#define TRIAL_AFTER_MS 1000

// The same for a content without a body: no other mark of its requests could
// be the cause in its place.
#define CONTENT_TRIAL_AFTER_MS 20000

// Time after a crash from which one request may be sent that has another
// suspected part: no request without it has come. The part goes with the mark:
// it was in so many of its crashes, and is in so many of its requests.
#define COMPANION_AFTER_MS 20000
#define COMPANION_CRASHES 0.75
#define COMPANION_REQUESTS 0.8

/* ---- Internal functions ----------------------------------------------- */

// Tells whether a suspected part goes with the mark, so that no request may
// come with the mark alone.
static bool
is_companion(const ps_suspects_t *suspects, const ps_mark_shares_t *shares,
             uint64_t mark, uint64_t other, int64_t now_ms)
{
    int n = PsSuspects_GetCrashes(suspects, mark, now_ms);
    return PsSuspects_CountCommon(suspects, mark, other, now_ms) >=
               n * COMPANION_CRASHES &&
           PsMarkShares_Get(shares, other) >=
               PsMarkShares_Get(shares, mark) * COMPANION_REQUESTS;
}

// Returns how many suspected parts a request has beside the mark; -1: one of
// them is no companion of the mark, and may be the cause in its place.
static int
count_companions(const ps_suspects_t *suspects, const ps_mark_shares_t *shares,
                 uint64_t mark, const GArray *marks, int64_t now_ms)
{
    int n = 0;
    for (guint i = 0; i < marks->len; i++) {
        uint64_t other = g_array_index(marks, uint64_t, i);
        if (other == mark || !PsMark_IsPart(other) ||
            PsSuspects_GetCrashes(suspects, other, now_ms) == 0) {
            continue;
        }
        if (!is_companion(suspects, shares, mark, other, now_ms)) {
            return -1;
        }
        n++;
    }
    return n;
}

/* ---- Public functions ------------------------------------------------- */

bool
PsMarkTrials_IsDue(const ps_suspects_t *suspects,
                   const ps_mark_shares_t *shares, uint64_t mark,
                   const GArray *marks, int64_t now_ms)
{
    int64_t calm_ms = now_ms - PsSuspects_GetLastCrash(suspects, mark, now_ms);
    int n_trials = PsSuspects_CountTrials(suspects, mark, marks, now_ms);
    int n_companions = count_companions(suspects, shares, mark, marks, now_ms);
    if (n_companions != 0) {
        return n_companions > 0 && n_trials == 0 &&
               calm_ms >= COMPANION_AFTER_MS;
    }
    bool is_common = PsMarkShares_Get(shares, mark) >= COMMON_SHARE;
    return n_trials < (is_common ? COMMON_TRIALS_MAX : TRIALS_MAX) &&
           calm_ms >=
               (PsMark_IsPart(mark) ? TRIAL_AFTER_MS : CONTENT_TRIAL_AFTER_MS);
}
