/* rollout.c - Exposure and steps of a roll-out. */
#include "rollout.h"

#include <math.h>

// Part of the exposure that is used before the last step, at least. The rest
// pays for the last step, in which all requests go to the target.
#define CANARY_SHARE 0.45

// Part of the slack that is never granted: it covers grants of a second
// allocator and requests that are sent before an order is known.
#define SLACK_RESERVE 0.2

// Time before the limit at which `done` is written: this, and twice the time
// that the store has taken for a write. A slow store answers within 300 ms.
#define WRITE_MARGIN_MS 60
#define WRITE_INITIAL_MS 150

// Length of the last step, in which the requests of usual streams end at the
// old servers, and the part of the order's time that it may take.
#define LAST_MAX_MS 3000
#define LAST_SHARE_MAX 0.3

// Answers of the target that a verdict needs. Fewer will do if no more of them
// were bad than the old version's, and traffic is so little that the exposure
// does not cover more than twice the usual number. With more traffic, few
// answers show that daemons hardly get any from the target's servers.
#define ANSWERS_MIN 40
#define ANSWERS_FEW 5

#define CANARIES_INITIAL 3 /* servers: one of them may be sick */

// More of them are used by the part of sick servers of the old version, up to
// a number.
#define CANARIES_SICK 6.0
#define CANARIES_MAX 8

#define TURN_MS 400           /* for which a server is the first to be used */
#define WIDEN_INTERVAL_MS 500 /* between additions of a server */
#define PULSE_SLOTS 1 /* times a server's slots that are granted at once */
#define PULSE_SHARE                                                           \
    0.2 /* longest part of the order's time for which grants                  \
           are saved up */

#define GRANT_TTL_MS 600      /* a grant may be used for this long */
#define REPORT_MAX_AGE_MS 500 /* daemons with older reports get nothing */
#define WEIGHT_DECAY 0.9      /* of a daemon's requests, at each report */
#define RATE_INTERVAL_MS 500
#define RATE_RISE 1.2 /* the rate may rise by a fifth */

/* ---- Evidence ------------------------------------------------------- */

static bool
has_ended(const ps_rollout_t *rollout)
{
    return rollout->step == PS_ROLLOUT_BACK || rollout->is_written;
}

static void
condemn(ps_rollout_t *rollout)
{
    PsRollout_RollBack(rollout,
                       rollout->evidence.bad_sample >= PS_ROLLOUT_FIRST_EVENT
                           ? "answers are slow"
                           : "answers fail");
}

void
PsRollout_HandleAnswer(ps_rollout_t *rollout,
                       const ps_rollout_answer_t *answer, int64_t now_ms)
{
    if (has_ended(rollout)) {
        return;
    }
    PsRolloutEvidence_AddAnswer(&rollout->evidence, answer, now_ms);
    if (rollout->evidence.is_bad) {
        condemn(rollout);
    }
}

// Rolls back at the end of a step if there is much evidence. Returns whether
// it did.
static bool
check_end_of_step(ps_rollout_t *rollout)
{
    bool is_bad = PsRolloutEvidence_CheckEnd(&rollout->evidence);
    if (is_bad) {
        condemn(rollout);
    }
    return is_bad;
}

/* ---- Exposure --------------------------------------------------------- */

ps_rollout_daemon_t *
PsRollout_GetDaemon(ps_rollout_t *rollout, const ps_name_t *name)
{
    ps_rollout_daemon_t *daemon = g_hash_table_lookup(rollout->daemons, name);
    if (!daemon) {
        daemon = g_new0(ps_rollout_daemon_t, 1);
        daemon->name = *name;
        g_hash_table_insert(rollout->daemons, &daemon->name, daemon);
    }
    return daemon;
}

void
PsRollout_HandleUse(ps_rollout_t *rollout, const ps_name_t *name,
                    uint64_t arrived, uint64_t sent, int running_old,
                    int64_t now_ms)
{
    ps_rollout_daemon_t *daemon = PsRollout_GetDaemon(rollout, name);
    if (daemon->reported_ms == 0) {
        // The record of the last allocator counts these, too.
        rollout->restored_arrived -= MIN(rollout->restored_arrived, arrived);
        rollout->restored_sent -= MIN(rollout->restored_sent, sent);
    }
    if (arrived < daemon->arrived || sent < daemon->sent) {
        // A killed daemon may have used all that it was granted.
        rollout->gone_sent += MAX(daemon->sent, daemon->limit);
        rollout->gone_arrived += daemon->arrived;
        daemon->arrived = 0;
        daemon->sent = 0;
        daemon->limit = 0;
        daemon->next_answer = 0;
    }
    daemon->weight =
        daemon->weight * WEIGHT_DECAY + (double)(arrived - daemon->arrived);
    daemon->arrived = arrived;
    daemon->sent = sent;
    daemon->limit = MAX(daemon->limit, sent);
    daemon->running_old = running_old;
    daemon->reported_ms = now_ms;
}

void
PsRollout_Restore(ps_rollout_t *rollout, uint64_t arrived, uint64_t sent)
{
    rollout->restored_arrived = arrived;
    rollout->restored_sent = sent;
}

// Sums what all daemons have got, sent, and may have sent by now.
static void
count_requests(const ps_rollout_t *rollout, uint64_t *arrived, uint64_t *sent,
               uint64_t *granted)
{
    *arrived = rollout->gone_arrived + rollout->restored_arrived;
    *sent = rollout->gone_sent + rollout->restored_sent;
    *granted = *sent;
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, rollout->daemons);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        const ps_rollout_daemon_t *daemon = value;
        *arrived += daemon->arrived;
        *sent += daemon->sent;
        *granted += MAX(daemon->sent, daemon->limit);
    }
}

uint64_t
PsRollout_CountSent(const ps_rollout_t *rollout)
{
    uint64_t arrived;
    uint64_t sent;
    uint64_t granted;
    count_requests(rollout, &arrived, &sent, &granted);
    return sent;
}

uint64_t
PsRollout_CountArrived(const ps_rollout_t *rollout)
{
    uint64_t arrived;
    uint64_t sent;
    uint64_t granted;
    count_requests(rollout, &arrived, &sent, &granted);
    return arrived;
}

int64_t
PsRollout_GetDoneTime(const ps_rollout_t *rollout)
{
    return rollout->order.limit_ms - WRITE_MARGIN_MS - 2 * rollout->write_ms;
}

// Returns how many requests come between `done`, from when on all go to the
// target, and the time limit, beyond what they add to the bound.
static double
get_done_cost(const ps_rollout_t *rollout, int64_t done_ms)
{
    double ms = (double)MAX(rollout->order.limit_ms - done_ms, 0);
    return rollout->rate * (RATE_RISE - rollout->order.exposure) * ms;
}

// Returns how many requests the last step needs: those that follow the ones
// that run at old servers now, and all after `done`.
static double
get_last_cost(const ps_rollout_t *rollout)
{
    double running = 0;
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, rollout->daemons);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        running += ((const ps_rollout_daemon_t *)value)->running_old;
    }
    return RATE_RISE * running +
           get_done_cost(rollout, PsRollout_GetDoneTime(rollout));
}

// Returns what may be granted now without exceeding the bound of the step.
// @part: of all daemons that report here
static double
get_stock(const ps_rollout_t *rollout, double part, int64_t now_ms)
{
    uint64_t arrived;
    uint64_t sent;
    uint64_t granted;
    count_requests(rollout, &arrived, &sent, &granted);
    double bound = rollout->order.exposure * (double)arrived +
                   rollout->order.slack * (1 - SLACK_RESERVE) * part;
    double most = bound;
    if (rollout->step == PS_ROLLOUT_CANARY) {
        most =
            MAX(CANARY_SHARE * bound, bound - get_last_cost(rollout) * part);
    }
    else if (rollout->step == PS_ROLLOUT_LAST) {
        int64_t done_ms = MAX(now_ms, PsRollout_GetDoneTime(rollout));
        most -= get_done_cost(rollout, done_ms) * part;
    }
    return most - (double)granted;
}

static bool
is_fresh(const ps_rollout_daemon_t *daemon, int64_t now_ms)
{
    return daemon->reported_ms > 0 &&
           now_ms - daemon->reported_ms <= REPORT_MAX_AGE_MS;
}

// Takes back what daemons have not used in time. Returns the sum of the
// weights of those that may get something, and their number in @n_fresh.
static double
expire_grants(ps_rollout_t *rollout, int *n_fresh, int64_t now_ms)
{
    double sum = 0;
    *n_fresh = 0;
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, rollout->daemons);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        ps_rollout_daemon_t *daemon = value;
        // A daemon that has not reported since may have used it.
        if (now_ms - daemon->granted_ms > GRANT_TTL_MS &&
            daemon->reported_ms - daemon->granted_ms > GRANT_TTL_MS) {
            daemon->limit = daemon->sent;
        }
        if (is_fresh(daemon, now_ms)) {
            *n_fresh += 1;
            sum += daemon->free_slots > 0 ? daemon->weight + 0.01 : 0;
        }
    }
    return sum;
}

static double
get_whole_ms(const ps_rollout_t *rollout)
{
    return (double)(rollout->order.limit_ms - rollout->order.started_ms);
}

// Grants are saved up for pulses that fill the slots of the servers in use:
// some faults show only under load.
static bool
must_save_up(const ps_rollout_t *rollout, double stock, int64_t now_ms)
{
    return rollout->step == PS_ROLLOUT_CANARY &&
           stock < rollout->canary_slots &&
           (double)(now_ms - rollout->released_ms) <
               PULSE_SHARE * get_whole_ms(rollout);
}

void
PsRollout_Divide(ps_rollout_t *rollout, int n_daemons, int64_t now_ms)
{
    int n_fresh;
    double weights = expire_grants(rollout, &n_fresh, now_ms);
    double part = MIN((double)n_fresh / MAX(n_daemons, 1), 1.0);
    double stock = get_stock(rollout, part, now_ms);
    // The first daemons that report don't get all.
    bool are_few = 2 * n_fresh < n_daemons;
    if (rollout->step >= PS_ROLLOUT_DONE || stock < 1 || are_few ||
        weights <= 0 || must_save_up(rollout, stock, now_ms)) {
        return;
    }
    rollout->released_ms = now_ms;
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, rollout->daemons);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        ps_rollout_daemon_t *daemon = value;
        if (!is_fresh(daemon, now_ms) || daemon->free_slots <= 0) {
            continue;
        }
        daemon->credit += stock * (daemon->weight + 0.01) / weights;
        uint64_t open = daemon->limit - daemon->sent;
        double most = rollout->step == PS_ROLLOUT_CANARY
                          ? MAX(daemon->free_slots - (double)open, 0)
                          : daemon->credit;
        uint64_t n = (uint64_t)MIN(floor(daemon->credit), most);
        daemon->credit = MIN(daemon->credit - (double)n, 1.0);
        daemon->limit += n;
        daemon->granted_ms = n > 0 ? now_ms : daemon->granted_ms;
    }
}

/* ---- Steps ------------------------------------------------------------ */

void
PsRollout_Init(ps_rollout_t *rollout, const ps_rollout_order_t *order,
               int64_t now_ms)
{
    *rollout = (ps_rollout_t){.order = *order,
                              .rated_ms = now_ms,
                              .widened_ms = now_ms,
                              .write_ms = WRITE_INITIAL_MS,
                              .n_canaries = CANARIES_INITIAL};
    rollout->daemons =
        g_hash_table_new_full(PsName_Hash, PsName_EqualKeys, NULL, g_free);
    PsRolloutEvidence_Init(&rollout->evidence);
}

void
PsRollout_Finish(ps_rollout_t *rollout)
{
    g_hash_table_destroy(rollout->daemons);
    PsRolloutEvidence_Finish(&rollout->evidence);
}

void
PsRollout_SetServers(ps_rollout_t *rollout, int n_old, int n_new, int slots)
{
    rollout->n_old = n_old;
    rollout->n_new = n_new;
    int n = rollout->step == PS_ROLLOUT_CANARY
                ? MIN(rollout->n_canaries, n_new)
                : n_new;
    rollout->evidence.n_used = n;
    double stock = get_stock(rollout, 1.0, rollout->rated_ms);
    rollout->n_active = CLAMP((int)(stock / (PULSE_SLOTS * MAX(slots, 1))),
                              MIN(n, 1), MAX(n, 1));
    rollout->canary_slots = PULSE_SLOTS * rollout->n_active * MAX(slots, 1);
}

void
PsRollout_RollBack(ps_rollout_t *rollout, const char *reason)
{
    if (!has_ended(rollout)) {
        rollout->step = PS_ROLLOUT_BACK;
        rollout->reason = reason;
    }
}

ps_rollout_step_t
PsRollout_GetToldStep(const ps_rollout_t *rollout)
{
    return rollout->step == PS_ROLLOUT_DONE && !rollout->is_written
               ? PS_ROLLOUT_LAST
               : rollout->step;
}

void
PsRollout_HandleStep(ps_rollout_t *rollout, ps_rollout_step_t step)
{
    if (step == PS_ROLLOUT_BACK) {
        PsRollout_RollBack(rollout, "another allocator has rolled it back");
    }
    else if (step == PS_ROLLOUT_LAST && rollout->step == PS_ROLLOUT_CANARY) {
        rollout->step = PS_ROLLOUT_LAST;
    }
}

static void
update_rate(ps_rollout_t *rollout, int64_t now_ms)
{
    int64_t ms = now_ms - rollout->rated_ms;
    if (ms < RATE_INTERVAL_MS) {
        return;
    }
    uint64_t arrived = PsRollout_CountArrived(rollout);
    double rate =
        arrived > rollout->rated_arrivals
            ? (double)(arrived - rollout->rated_arrivals) / (double)ms
            : 0;
    rollout->rate = rollout->rate > 0 ? (rollout->rate + rate) / 2 : rate;
    rollout->rated_arrivals = arrived;
    rollout->rated_ms = now_ms;
}

// Adds a server while the servers in use leave more of the exposure unused
// than they can take at a time.
static void
widen(ps_rollout_t *rollout, int64_t now_ms)
{
    double sick = PsRolloutEvidence_GetSickShare(&rollout->evidence);
    int least = CANARIES_INITIAL + (int)ceil(CANARIES_SICK * sick);
    rollout->n_canaries = MAX(rollout->n_canaries, MIN(least, CANARIES_MAX));
    if (now_ms - rollout->widened_ms >= WIDEN_INTERVAL_MS &&
        rollout->n_canaries < rollout->n_new &&
        get_stock(rollout, 1.0, now_ms) > 2.0 * rollout->canary_slots) {
        rollout->n_canaries++;
        rollout->widened_ms = now_ms;
    }
}

static bool
has_verdict(const ps_rollout_t *rollout)
{
    const ps_rollout_evidence_t *evidence = &rollout->evidence;
    double most = evidence->expected_bad + 1.5 * sqrt(evidence->expected_bad);
    double bound =
        rollout->order.exposure * (double)PsRollout_CountArrived(rollout) +
        rollout->order.slack;
    return evidence->answers >= ANSWERS_MIN ||
           (bound < 2 * ANSWERS_MIN && evidence->answers >= ANSWERS_FEW &&
            (double)evidence->bad_answers <= MAX(most, 1.0));
}

static void
run_canary(ps_rollout_t *rollout, int64_t now_ms)
{
    int64_t left_ms = PsRollout_GetDoneTime(rollout) - now_ms;
    if (rollout->n_new > 0 && rollout->n_old == 0) {
        rollout->step = PS_ROLLOUT_DONE;
        rollout->reason = "all servers have the target version";
        return;
    }
    widen(rollout, now_ms);
    if (rollout->n_new > 0 && has_verdict(rollout) &&
        (double)left_ms <=
            MIN(LAST_MAX_MS, LAST_SHARE_MAX * get_whole_ms(rollout))) {
        if (!check_end_of_step(rollout)) {
            rollout->step = PS_ROLLOUT_LAST;
        }
    }
    else if (left_ms <= 0) {
        PsRollout_RollBack(rollout, rollout->n_new == 0
                                        ? "no server has the target version"
                                        : "too few answers for a verdict");
    }
}

static void
run_last(ps_rollout_t *rollout, int64_t now_ms)
{
    bool is_due = now_ms >= PsRollout_GetDoneTime(rollout);
    uint64_t arrived;
    uint64_t sent;
    uint64_t granted;
    count_requests(rollout, &arrived, &sent, &granted);
    double left = rollout->order.exposure * (double)arrived +
                  rollout->order.slack - (double)granted -
                  get_done_cost(rollout, now_ms);
    if (rollout->n_new == 0) {
        PsRollout_RollBack(rollout, "no server has the target version");
    }
    else if (left >= 0 && is_due) {
        if (check_end_of_step(rollout)) {
            return;
        }
        rollout->step = PS_ROLLOUT_DONE;
        rollout->reason = "answers are as good as before";
    }
    else if (now_ms >= rollout->order.limit_ms - WRITE_MARGIN_MS) {
        PsRollout_RollBack(rollout, "exposure leaves no room for the end");
    }
}

bool
PsRollout_IsInUse(const ps_rollout_t *rollout, int index, int64_t now_ms)
{
    if (rollout->step != PS_ROLLOUT_CANARY) {
        return true;
    }
    int n = MIN(rollout->n_canaries, rollout->n_new);
    int first = n > 0 ? (int)(now_ms / TURN_MS % n) : 0;
    return index < n && (index - first + n) % n < rollout->n_active;
}

int
PsRollout_ListHeldRoutes(const ps_rollout_t *rollout, uint32_t *routes)
{
    return rollout->step == PS_ROLLOUT_CANARY
               ? PsRolloutEvidence_ListHeldRoutes(&rollout->evidence, routes)
               : 0;
}

bool
PsRollout_Run(ps_rollout_t *rollout, int64_t now_ms)
{
    ps_rollout_step_t before = rollout->step;
    update_rate(rollout, now_ms);
    if (rollout->step == PS_ROLLOUT_CANARY) {
        run_canary(rollout, now_ms);
    }
    else if (rollout->step == PS_ROLLOUT_LAST) {
        run_last(rollout, now_ms);
    }
    return rollout->step != before;
}
