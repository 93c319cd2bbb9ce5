/* concurrency_limit.c - Additive increase, multiplicative decrease. */
#include "concurrency_limit.h"

#include <glib.h>

#define ADJUST_INTERVAL_MS 500

// Share of late answers above which the limit is lowered, and below which it
// is raised. A slow period of 600 ms makes about an eighth of the evidence.
#define LATE_HIGH 0.3
#define LATE_LOW 0.15

// Answers without which nothing is concluded; the limit is raised then, as
// the evidence for it is gone.
#define ANSWERS_MIN 4.0

#define DECREASE 0.85

// Interval between raises without evidence. It bounds the trials at a server
// that is late at any number of requests.
#define BLIND_RAISE_MS 2000

bool
PsConcurrencyLimit_Update(ps_concurrency_limit_t *limit,
                          const ps_limit_evidence_t *evidence, int slots,
                          int64_t now_ms)
{
    if (limit->limit <= 0 || limit->limit >= limit->slots) {
        limit->limit = slots;
    }
    limit->slots = slots;
    limit->limit = CLAMP(limit->limit, 1.0, MAX(slots, 1));
    if (now_ms < limit->next_adjust_ms) {
        return false;
    }
    limit->next_adjust_ms = now_ms + ADJUST_INTERVAL_MS;
    double answers = evidence->on_time + evidence->late;
    if (answers < ANSWERS_MIN) {
        limit->limit = MIN(limit->limit + 1.0, MAX(slots, 1));
        limit->next_adjust_ms = now_ms + BLIND_RAISE_MS;
        return true;
    }
    double late_share = evidence->late / answers;
    if (late_share > LATE_HIGH) {
        double used = MIN(limit->limit, MAX(evidence->peak_running, 1));
        limit->limit = MAX(used * DECREASE, 1.0);
        limit->n_lowered++;
    }
    else if (late_share < LATE_LOW &&
             evidence->peak_running >= (int)limit->limit) {
        limit->limit = MIN(limit->limit + 1.0, MAX(slots, 1));
    }
    return true;
}

int
PsConcurrencyLimit_Get(const ps_concurrency_limit_t *limit)
{
    return (int)limit->limit;
}
