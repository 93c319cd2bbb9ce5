/* quota_pool.c - Division of one team's token bucket among daemons. */
#include "quota_pool.h"

#include <math.h>

// Daemons whose last report is older have left: their claims and their part of
// the refill are not this allocator's any more.
#define REPORT_MAX_AGE_MS 500

// No request is refused in this time after the first claim was brought in.
#define SETTLE_MS 300

// Part of a burst that may have been lost with an allocator.
#define LOST_RATIO 0.15

// Refill for a longer time between two rounds is not counted, since daemons
// that got no grants have refilled their claims themselves.
#define REFILL_MAX_MS 300

// A grant that was not confirmed in this time is repeated.
#define REPEAT_MS 150

// A daemon that has not confirmed so many ceilings is told no others.
#define UNACKED_MAX 32

// A claim is changed only if it is off by more than this part of it, or of the
// daemon's part of the bridge; each change costs two messages.
#define CLAIM_STEP 0.1
#define BRIDGE_STEP 0.25

// Part of the tolerance that is kept for requests within the bucket, because
// the allocator sees them later than they arrive.
#define EXTRA_KEPT 0.5

// A request that arrived less than this ago is decided only if the bucket has
// plenty of room, because earlier ones may not have been reported yet: a round
// takes 28 ms for 94 daemons, and a message up to 3 ms.
#define ORDER_MS 35
#define PLENTY_RATIO 0.2 /* of the burst, that must be left */

// A request that exceeds the bucket by less than its refill in this time may
// be within the quota: spending without asking is charged up to two rounds
// late.
#define LENIENCE_MS 70

/* What the claims to one pool add up to. */
typedef struct sums {
    double held;    /* units that may be spent below the highest ceilings */
    double granted; /* of granted requests that are not spent yet */
    double pending; /* of requests that are granted once claims are lower */
    int n;
} sums_t;

/* ---- Memory ----------------------------------------------------------- */

static void
free_claim(gpointer data)
{
    ps_quota_claim_t *claim = data;
    g_array_free(claim->unacked, TRUE);
    g_array_free(claim->asks, TRUE);
    g_free(claim);
}

// Empties a pool that no daemon has a claim to.
static void
empty(ps_quota_pool_t *pool)
{
    pool->level = 0;
    pool->reference = 0;
    pool->lenience = 0;
    pool->lost = 0;
    pool->settled_ms = 0;
    pool->has_settled = false;
}

/* ---- Claims ----------------------------------------------------------- */

// Returns what a daemon may spend below a ceiling.
static double
get_room(const ps_quota_claim_t *claim, double ceiling)
{
    return MAX(ceiling - claim->total, 0.0);
}

static sums_t
add_up(const ps_quota_pool_t *pool)
{
    sums_t sums = {0};
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, pool->claims);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        const ps_quota_claim_t *claim = value;
        sums.held += get_room(claim, claim->highest);
        sums.granted += claim->granted;
        sums.n++;
    }
    return sums;
}

// Returns the part of a pool that belongs to the daemons with claims to it.
static double
get_part(const ps_quota_pool_t *pool)
{
    int n = (int)g_hash_table_size(pool->claims);
    return (double)n / MAX(pool->n_daemons, MAX(n, 1));
}

// Notes units that a team may not have spent, but which can't be granted.
static void
note_lost(ps_quota_pool_t *pool, double units, int64_t now_ms)
{
    pool->lost += units;
    pool->lost_until_ms = now_ms + (int64_t)(pool->terms.window_s * 1000.0);
}

// Takes what a daemon may still spend out of a pool, and the refill for it
// since its last report.
static void
take_out(ps_quota_pool_t *pool, const ps_quota_claim_t *claim, int64_t now_ms)
{
    int64_t silent_ms =
        CLAMP(now_ms - claim->daemon->heard_ms, 0, REPORT_MAX_AGE_MS);
    double refill = pool->terms.rate * (double)silent_ms / 1000.0 /
                    MAX(pool->n_daemons, 1);
    double units = get_room(claim, claim->highest) + refill;
    double own_part = pool->terms.burst / MAX(pool->n_daemons, 1);
    pool->level -= units;
    pool->reference = MAX(pool->reference - MIN(units, own_part), 0.0);
    note_lost(pool, MIN(units, own_part), now_ms);
}

// Adds a daemon's claim to a pool, as the daemon brings it in.
static void
bring_in(ps_quota_pool_t *pool, ps_quota_daemon_t *daemon,
         const ps_quota_use_t *use)
{
    ps_quota_claim_t *claim = g_new0(ps_quota_claim_t, 1);
    claim->daemon = daemon;
    claim->total = use->total;
    claim->acked = use->ceiling;
    claim->told = use->ceiling;
    claim->highest = use->ceiling;
    claim->is_new = use->is_new;
    claim->must_send = true;
    claim->unacked = g_array_new(FALSE, FALSE, sizeof(double));
    g_array_append_val(claim->unacked, claim->told);
    claim->asks = g_array_new(FALSE, FALSE, sizeof(ps_quota_ask_t));
    g_hash_table_insert(pool->claims, &daemon->name, claim);
    double room = use->ceiling - use->total;
    double own_part = pool->terms.burst / MAX(pool->n_daemons, 1);
    pool->level += room;
    pool->reference += CLAMP(room, 0.0, own_part);
    pool->lost = MAX(pool->lost - CLAMP(room, 0.0, own_part), 0.0);
}

// Takes the ceiling that is in force at a daemon. Those told before cannot be
// in force any more; those told since may be.
static void
confirm_ceiling(ps_quota_claim_t *claim, double ceiling)
{
    const GArray *told = claim->unacked;
    claim->acked = ceiling;
    for (guint i = 0; i < told->len; i++) {
        if (g_array_index(told, double, i) == ceiling) {
            g_array_remove_range(claim->unacked, 0, i);
            break;
        }
    }
    claim->highest = ceiling;
    for (guint i = 0; i < told->len; i++) {
        claim->highest = MAX(claim->highest, g_array_index(told, double, i));
    }
}

// Charges what a daemon has spent since its last report. Granted requests were
// charged to the reference when they were granted.
static void
charge(ps_quota_pool_t *pool, ps_quota_claim_t *claim, double total)
{
    double spent = total - claim->total;
    double expected = CLAMP(spent, 0.0, claim->granted);
    claim->total = total;
    claim->granted -= expected;
    pool->level -= spent;
    // The reference bucket would have refused what it has no room for.
    double units = spent - expected;
    pool->reference -= units <= pool->reference ? units : 0;
}

static bool
is_listed(const ps_quota_use_t *use, uint32_t id)
{
    for (size_t i = 0; i < use->n_asks; i++) {
        if (use->asks[i].id == id) {
            return true;
        }
    }
    return false;
}

// Takes the list of requests that wait at a daemon, and keeps the verdicts for
// those that are still on it.
static void
set_asks(ps_quota_pool_t *pool, ps_quota_claim_t *claim,
         const ps_quota_use_t *use)
{
    for (guint k = 0; k < claim->asks->len; k++) {
        const ps_quota_ask_t *ask =
            &g_array_index(claim->asks, ps_quota_ask_t, k);
        if (ask->verdict == PS_QUOTA_PENDING && ask->is_within &&
            !is_listed(use, ask->id)) {
            pool->reference += ask->units;
        }
    }
    GArray *asks = g_array_new(FALSE, FALSE, sizeof(ps_quota_ask_t));
    for (size_t i = 0; i < use->n_asks; i++) {
        ps_quota_ask_t ask = use->asks[i];
        ask.verdict = PS_QUOTA_PENDING;
        for (guint k = 0; k < claim->asks->len; k++) {
            const ps_quota_ask_t *known =
                &g_array_index(claim->asks, ps_quota_ask_t, k);
            if (known->id == ask.id) {
                ask = *known;
            }
        }
        g_array_append_val(asks, ask);
    }
    g_array_free(claim->asks, TRUE);
    claim->asks = asks;
}

// Gives back what was granted to requests that gave up waiting.
static void
return_unused(ps_quota_pool_t *pool, ps_quota_claim_t *claim)
{
    if (claim->asks->len == 0 && claim->acked == claim->told) {
        pool->reference += claim->granted;
        claim->granted = 0;
    }
}

/* ---- Division --------------------------------------------------------- */

static void
remove_silent(ps_quota_pool_t *pool, int64_t now_ms)
{
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, pool->claims);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        const ps_quota_claim_t *claim = value;
        if (now_ms - claim->daemon->heard_ms > REPORT_MAX_AGE_MS) {
            claim->daemon->left_join = claim->daemon->join;
            take_out(pool, claim, now_ms);
            g_hash_table_iter_remove(&each);
        }
    }
}

static void
refill(ps_quota_pool_t *pool, int64_t now_ms)
{
    int64_t passed_ms = CLAMP(now_ms - pool->refilled_ms, 0, REFILL_MAX_MS);
    double part = get_part(pool);
    double units = pool->terms.rate * part * (double)passed_ms / 1000.0;
    double most = (pool->terms.burst + pool->terms.extra) * part;
    pool->refilled_ms = now_ms;
    // It is lower only if claims were larger than the bucket, before a quota
    // was lowered.
    double least = -pool->terms.bridge * part;
    pool->level = CLAMP(pool->level + units, least, MAX(most, least));
    double lenience = pool->terms.lenience * part;
    pool->lenience = MIN(pool->lenience + lenience * (double)passed_ms /
                                              1000.0 / pool->terms.window_s,
                         lenience);
}

// Refills the reference bucket up to a time.
static void
advance_reference(ps_quota_pool_t *pool, int64_t to_ms)
{
    int64_t passed_ms = CLAMP(to_ms - pool->reference_ms, 0, REFILL_MAX_MS);
    double part = get_part(pool);
    double units = pool->terms.rate * part * (double)passed_ms / 1000.0;
    pool->reference_ms = MAX(pool->reference_ms, to_ms);
    pool->reference = MIN(pool->reference + units, pool->terms.burst * part);
    // A whole bucket would have been refilled for silent daemons as well.
    double missed = pool->terms.rate * (1 - part) * (double)passed_ms / 1000.0;
    if (missed > 0) {
        note_lost(pool, missed, to_ms);
    }
    pool->lost = MIN(pool->lost, pool->terms.burst - pool->reference);
    if (to_ms > pool->lost_until_ms) {
        pool->lost = 0;
    }
}

// Tells whether it can be decided now if a request is within the reference
// bucket, and whether it is.
static bool
test_reference(ps_quota_pool_t *pool, ps_quota_ask_t *ask, int64_t now_ms)
{
    if (ask->is_within) {
        return true;
    }
    double plenty = PLENTY_RATIO * pool->terms.burst;
    bool is_plenty = pool->reference - ask->units >= plenty;
    if (!is_plenty && now_ms - ask->asked_ms < ORDER_MS) {
        return false;
    }
    if (!is_plenty) {
        advance_reference(pool, ask->asked_ms);
    }
    ask->is_within = ask->units <= pool->reference;
    pool->reference -= ask->is_within ? ask->units : 0;
    return true;
}

// Gives the stored credit to daemons that have started anew, once, when all
// claims are there. If just some have, the others' claims tell what is left.
static void
add_credit(ps_quota_pool_t *pool)
{
    int n_new = 0;
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, pool->claims);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        n_new += ((ps_quota_claim_t *)value)->is_new ? 1 : 0;
    }
    if (n_new * 2 > pool->n_daemons) {
        double units = pool->credit * n_new / pool->n_daemons;
        pool->level += units;
        pool->reference += units;
    }
}

// Waits until the daemons have brought in their claims.
static void
settle(ps_quota_pool_t *pool, int64_t now_ms)
{
    if (g_hash_table_size(pool->claims) == 0) {
        empty(pool);
    }
    else if (pool->settled_ms == 0) {
        pool->settled_ms = now_ms + SETTLE_MS;
    }
    else if (!pool->has_settled && now_ms >= pool->settled_ms) {
        pool->has_settled = true;
        add_credit(pool);
        double missing = 1 - get_part(pool) + LOST_RATIO;
        note_lost(pool, missing * pool->terms.burst, now_ms);
    }
}

typedef struct pending_ask {
    ps_quota_claim_t *claim;
    ps_quota_ask_t *ask;
} pending_ask_t;

static gint
compare_arrival(gconstpointer a, gconstpointer b)
{
    const pending_ask_t *x = a;
    const pending_ask_t *y = b;
    return (x->ask->asked_ms > y->ask->asked_ms) -
           (x->ask->asked_ms < y->ask->asked_ms);
}

// Lists the requests without a verdict, in order of arrival.
static GArray *
list_pending(const ps_quota_pool_t *pool)
{
    GArray *pending = g_array_new(FALSE, FALSE, sizeof(pending_ask_t));
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, pool->claims);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        ps_quota_claim_t *claim = value;
        for (guint i = 0; i < claim->asks->len; i++) {
            ps_quota_ask_t *ask =
                &g_array_index(claim->asks, ps_quota_ask_t, i);
            if (ask->verdict == PS_QUOTA_PENDING) {
                pending_ask_t one = {claim, ask};
                g_array_append_val(pending, one);
            }
        }
    }
    g_array_sort(pending, compare_arrival);
    return pending;
}

// Adds units to the pool for a request that the reference bucket may have no
// room for just because requests that were admitted elsewhere without asking
// are charged in the wrong order.
static bool
use_lenience(ps_quota_pool_t *pool, ps_quota_ask_t *ask)
{
    double margin = pool->terms.rate * LENIENCE_MS / 1000.0;
    if (ask->units > pool->reference + margin || ask->units > pool->lenience) {
        return false;
    }
    pool->lenience -= ask->units;
    pool->level += ask->units;
    ask->is_within = true;
    return true;
}

// Sets a daemon's ceiling, unless claims would then overlap by more than the
// bridge.
static bool
raise_claim(const ps_quota_pool_t *pool, sums_t *sums, ps_quota_claim_t *claim,
            double told)
{
    double raised = get_room(claim, told) - get_room(claim, claim->highest);
    double unheld =
        pool->level + pool->terms.bridge * get_part(pool) - sums->held;
    if (raised > MAX(unheld, 0.0)) {
        return false;
    }
    if (claim->unacked->len >= UNACKED_MAX) {
        return false;
    }
    g_array_append_val(claim->unacked, told);
    claim->told = told;
    claim->must_send = true;
    if (raised > 0) {
        claim->highest = told;
        sums->held += raised;
    }
    return true;
}

// Decides on one request. It stays pending while claims of other daemons would
// overlap with it by more than the bridge; these are lowered then.
static void
decide(ps_quota_pool_t *pool, sums_t *sums, const pending_ask_t *pending,
       int64_t now_ms)
{
    ps_quota_ask_t *ask = pending->ask;
    sums->pending -= ask->is_within ? ask->units : 0;
    if (!test_reference(pool, ask, now_ms)) {
        sums->pending += ask->units <= pool->reference ? ask->units : 0;
        return;
    }
    double part = get_part(pool);
    double left = pool->level - sums->granted - sums->pending;
    double kept = pool->reference + EXTRA_KEPT * pool->terms.extra * part;
    if (!ask->is_within && ask->units > left - kept &&
        !use_lenience(pool, ask)) {
        // It is not known whether a request exceeds the quota that would be
        // within it if nothing had been lost. It waits for refill.
        if (!pool->has_settled || ask->units <= pool->reference + pool->lost) {
            return;
        }
        ask->verdict = PS_QUOTA_REFUSED;
        pending->claim->must_send = true;
        return;
    }
    ps_quota_claim_t *claim = pending->claim;
    double told = MAX(claim->told, claim->total) + ask->units;
    if (!raise_claim(pool, sums, claim, told)) {
        sums->pending += ask->units;
        return;
    }
    ask->verdict = PS_QUOTA_GRANTED;
    claim->granted += ask->units;
    sums->granted += ask->units;
}

// Sets a daemon's ceiling so that it may spend an even share of the pool, and
// what was granted to its waiting requests.
static void
deal(ps_quota_pool_t *pool, sums_t *sums, ps_quota_claim_t *claim)
{
    double left = MAX(pool->level - sums->granted - sums->pending, 0.0);
    double target = left / MAX(sums->n, 1) + claim->granted;
    double now_told = claim->told - claim->total;
    double step =
        MAX(CLAIM_STEP * MAX(target, now_told),
            BRIDGE_STEP * pool->terms.bridge / MAX(pool->n_daemons, 1));
    if (fabs(target - now_told) <= step) {
        return;
    }
    raise_claim(pool, sums, claim, claim->total + target);
}

/* ---- Public functions ------------------------------------------------- */

ps_quota_pool_t *
PsQuotaPool_New(void)
{
    ps_quota_pool_t *pool = g_new0(ps_quota_pool_t, 1);
    pool->n_daemons = 1;
    pool->claims =
        g_hash_table_new_full(PsName_Hash, PsName_EqualKeys, NULL, free_claim);
    return pool;
}

void
PsQuotaPool_Free(gpointer data)
{
    ps_quota_pool_t *pool = data;
    g_hash_table_destroy(pool->claims);
    g_free(pool);
}

void
PsQuotaPool_Empty(ps_quota_pool_t *pool)
{
    g_hash_table_remove_all(pool->claims);
    empty(pool);
}

void
PsQuotaPool_RemoveDaemon(ps_quota_pool_t *pool,
                         const ps_quota_daemon_t *daemon, int64_t now_ms)
{
    const ps_quota_claim_t *claim =
        g_hash_table_lookup(pool->claims, &daemon->name);
    if (claim) {
        take_out(pool, claim, now_ms);
        g_hash_table_remove(pool->claims, &daemon->name);
    }
}

void
PsQuotaPool_SetUse(ps_quota_pool_t *pool, ps_quota_daemon_t *daemon,
                   const ps_quota_use_t *use)
{
    if (pool->terms.rate <= 0) {
        return;
    }
    ps_quota_claim_t *claim = g_hash_table_lookup(pool->claims, &daemon->name);
    if (!claim) {
        bring_in(pool, daemon, use);
        claim = g_hash_table_lookup(pool->claims, &daemon->name);
    }
    else {
        charge(pool, claim, use->total);
        confirm_ceiling(claim, use->ceiling);
    }
    set_asks(pool, claim, use);
    return_unused(pool, claim);
}

void
PsQuotaPool_Divide(ps_quota_pool_t *pool, int n_daemons, int64_t now_ms)
{
    remove_silent(pool, now_ms);
    pool->n_daemons = MAX(n_daemons, 1);
    settle(pool, now_ms);
    refill(pool, now_ms);
    sums_t sums = add_up(pool);
    GArray *pending = list_pending(pool);
    // What earlier rounds found to be within the quota goes first.
    for (guint i = 0; i < pending->len; i++) {
        const ps_quota_ask_t *ask =
            g_array_index(pending, pending_ask_t, i).ask;
        sums.pending += ask->is_within ? ask->units : 0;
    }
    for (guint i = 0; i < pending->len; i++) {
        decide(pool, &sums, &g_array_index(pending, pending_ask_t, i), now_ms);
    }
    advance_reference(pool, now_ms - ORDER_MS);
    g_array_free(pending, TRUE);
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, pool->claims);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        deal(pool, &sums, value);
    }
}

const ps_quota_claim_t *
PsQuotaPool_TakeGrant(ps_quota_pool_t *pool, ps_quota_daemon_t *daemon,
                      int64_t now_ms)
{
    ps_quota_claim_t *claim = g_hash_table_lookup(pool->claims, &daemon->name);
    if (!claim) {
        return NULL;
    }
    bool has_verdict = false;
    for (guint i = 0; i < claim->asks->len; i++) {
        has_verdict |= g_array_index(claim->asks, ps_quota_ask_t, i).verdict !=
                       PS_QUOTA_PENDING;
    }
    bool is_unconfirmed = claim->acked != claim->told || has_verdict;
    if (!claim->must_send &&
        (!is_unconfirmed || now_ms - claim->sent_ms < REPEAT_MS)) {
        return NULL;
    }
    claim->must_send = false;
    claim->sent_ms = now_ms;
    return claim;
}
