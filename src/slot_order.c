/* slot_order.c - Order of servers by predicted time and load. */
#include "slot_order.h"

#include <math.h>
#include <stdlib.h>

// A server that is fully used counts as this much slower than when it is
// idle. It spreads work over servers of about the same speed, so that
// differences between them that are only noise have little effect.
#define LOAD_WEIGHT 0.5

// A server is slow if its predicted time is this many times that of the
// quarter of servers that are fastest; a slow period of 600 ms raises the
// estimate by less.
#define SLOW_RATIO 2.0
#define FAST_QUANTILE 0.25

// Part of the output's time that counts besides the first event, as in the
// placement at daemons.
#define OUTPUT_WEIGHT 0.25

// Requests at a time at a server that has just started, until it is known.
#define TRIAL_SLOTS 2

// A server without requests whose predicted time is this many times that of
// the fast ones gets one request as a trial after this time. It doubles with
// each trial after which the server is still worse, up to the longest.
#define TRIAL_RATIO 1.1
#define TRIAL_INTERVAL_MS 2000
#define TRIAL_INTERVAL_MAX_MS 16000

// Part of the mean slots that a plain server gets at least and at most.
#define WEIGHT_MIN 0.3
#define WEIGHT_MAX 1.5

// Plain servers whose speeds differ by less keep their slots alike: slow
// periods of 600 ms and noise make estimates differ by as much.
#define EVEN_RATIO 1.5

// Slots at slow servers are spread when the fast ones have fewer left than
// one for so many daemons: about as many requests come in a round.
#define DAEMONS_PER_SPARE 8

// Time in which one in so many servers of a service may be probed with fewer
// requests: few until one of them has shown that it gains from that, as a
// probe costs a quarter of a server's slots.
#define PROBE_TURN_MS 4000
#define PROBE_TURNS 12
#define PROBE_TURNS_FOUND 3

/* Means over a service's answers. */
typedef struct usual_request {
    double ktokens; /* thousands of prompt tokens read before the first event
                     */
    double events;  /* after the first one */
} usual_request_t;

/* ---- Prediction ------------------------------------------------------- */

static usual_request_t
get_usual_request(const ps_slot_order_t *order)
{
    double ktokens = 0;
    double firsts = 0;
    double events = 0;
    for (int i = 0; i < order->n; i++) {
        const ps_learned_server_t *learned = order->servers[i].learned;
        if (learned) {
            ktokens += learned->model.firsts.sum_x;
            firsts += learned->model.firsts.count;
            events += learned->model.events.count;
        }
    }
    usual_request_t usual = {0};
    if (firsts > 0) {
        usual.ktokens = ktokens / firsts;
        usual.events = events / firsts;
    }
    return usual;
}

static int
compare_doubles(const void *left, const void *right)
{
    double a = *(const double *)left;
    double b = *(const double *)right;
    return (a > b) - (a < b);
}

static bool
is_known(const ps_ordered_server_t *server)
{
    return server->learned && PsServerModel_IsKnown(&server->learned->model);
}

static double
get_time(const ps_ordered_server_t *server)
{
    return server->base_ms;
}

static double
get_late_share(const ps_ordered_server_t *server)
{
    return PsServerModel_GetLateShare(&server->learned->model);
}

// Returns a quantile over the known servers; 0: none is.
static double
get_quantile(const ps_slot_order_t *order,
             double (*get)(const ps_ordered_server_t *server), double quantile)
{
    double *values = g_new(double, order->n + 1);
    int n = 0;
    for (int i = 0; i < order->n; i++) {
        if (is_known(&order->servers[i])) {
            values[n++] = get(&order->servers[i]);
        }
    }
    qsort(values, (size_t)n, sizeof *values, compare_doubles);
    double result = n > 0 ? values[(int)((n - 1) * quantile)] : 0.0;
    g_free(values);
    return result;
}

// Tells whether a server's capacity was found to be below its slots.
static bool
has_found_capacity(const ps_slot_order_t *order)
{
    for (int i = 0; i < order->n; i++) {
        const ps_learned_server_t *learned = order->servers[i].learned;
        if (learned && learned->model.limit.probe_until_ms == 0 &&
            PsConcurrencyLimit_GetCapacity(&learned->model.limit) <
                learned->model.limit.slots) {
            return true;
        }
    }
    return false;
}

// Notes the running requests in the models, which adjusts limits.
static void
note_round(const ps_slot_order_t *order, int64_t now_ms)
{
    double late_share = get_quantile(order, get_late_share, FAST_QUANTILE);
    uint32_t turn = (uint32_t)(now_ms / PROBE_TURN_MS);
    uint32_t n_turns =
        has_found_capacity(order) ? PROBE_TURNS_FOUND : PROBE_TURNS;
    for (int i = 0; i < order->n; i++) {
        const ps_ordered_server_t *each = &order->servers[i];
        if (each->learned) {
            ps_model_round_t round = {
                .running = each->running,
                .slots = each->learned->slots,
                .usual_late_share = late_share,
                .may_probe = each->learned->is_engine &&
                             (each->server + turn) % n_turns == 0};
            PsServerModel_NoteRound(&each->learned->model, &round, now_ms);
        }
    }
}

static void
predict_server(ps_ordered_server_t *server, const usual_request_t *usual)
{
    const ps_server_model_t *model = &server->learned->model;
    ps_server_pace_t pace = PsServerModel_GetPace(model);
    double event_ms = PsServerModel_GetEventMs(model, 1.0);
    double weight = OUTPUT_WEIGHT * usual->events;
    server->base_ms = pace.first_base_ms +
                      pace.first_slope_ms * usual->ktokens + weight * event_ms;
    server->slope_ms =
        weight * (PsServerModel_GetEventMs(model, 2.0) - event_ms);
}

/* ---- Trials ----------------------------------------------------------- */

// Notes that a trial has begun, or that a server is in use anyway.
static void
end_trial(ps_learned_server_t *learned, int64_t now_ms)
{
    if (learned->is_on_trial) {
        learned->is_on_trial = false;
        learned->n_trials++;
        PsServerModel_StartTrial(&learned->model);
        learned->trial_interval_ms =
            MIN(learned->trial_interval_ms * 2, TRIAL_INTERVAL_MAX_MS);
    }
    learned->next_trial_ms = now_ms + learned->trial_interval_ms;
}

// Finds the unused server whose trial has been due for longest. Without
// trials, it would stay unused after it has become fast again.
static void
find_trial(ps_slot_order_t *order, double fast_ms, int64_t now_ms)
{
    int64_t earliest_ms = now_ms;
    for (int i = 0; i < order->n; i++) {
        const ps_ordered_server_t *each = &order->servers[i];
        ps_learned_server_t *learned = each->learned;
        if (!learned || !learned->is_engine) {
            continue;
        }
        bool is_worse = each->base_ms > TRIAL_RATIO * fast_ms;
        if (!is_worse || learned->trial_interval_ms == 0) {
            learned->is_on_trial = false;
            learned->trial_interval_ms = TRIAL_INTERVAL_MS;
            learned->next_trial_ms = now_ms + TRIAL_INTERVAL_MS;
        }
        else if (each->running > 0) {
            end_trial(learned, now_ms);
        }
        else if (learned->next_trial_ms < earliest_ms) {
            earliest_ms = learned->next_trial_ms;
            order->trial = i;
        }
    }
}

// Returns how many of a server's free slots have been handed out.
static int
count_given(const ps_ordered_server_t *server, int n_free)
{
    return server->n_free - n_free - server->withheld;
}

/* ---- Public functions ------------------------------------------------- */

int *
PsSlotCounts_Find(GArray *counts, uint32_t server)
{
    for (guint i = 0; i < counts->len; i++) {
        ps_slot_count_t *each = &g_array_index(counts, ps_slot_count_t, i);
        if (each->server == server) {
            return &each->count;
        }
    }
    return NULL;
}

void
PsSlotCounts_Add(GArray *counts, uint32_t server)
{
    int *count = PsSlotCounts_Find(counts, server);
    if (count) {
        (*count)++;
        return;
    }
    ps_slot_count_t one = {server, 1};
    g_array_append_val(counts, one);
}

void
PsSlotOrder_Init(ps_slot_order_t *order, const ps_slot_count_t *slots, int n)
{
    *order = (ps_slot_order_t){.n = n, .trial = -1};
    order->servers = g_new0(ps_ordered_server_t, n + 1);
    for (int i = 0; i < n; i++) {
        order->servers[i].server = slots[i].server;
        order->servers[i].slots = slots[i].count;
    }
}

void
PsSlotOrder_Finish(ps_slot_order_t *order)
{
    g_free(order->servers);
}

// Tells whether these are plain servers of about the same speed. Their free
// slots go where most are free, as without predictions: noise in these would
// only make the load uneven.
static bool
are_even_plain(const ps_slot_order_t *order)
{
    double shortest = INFINITY;
    double longest = 0;
    for (int i = 0; i < order->n; i++) {
        const ps_ordered_server_t *each = &order->servers[i];
        if (!each->learned || each->learned->is_engine) {
            return false;
        }
        shortest = MIN(shortest, each->base_ms);
        longest = MAX(longest, each->base_ms);
    }
    return longest < EVEN_RATIO * shortest;
}

void
PsSlotOrder_Predict(ps_slot_order_t *order, const ps_server_models_t *models,
                    int64_t now_ms)
{
    for (int i = 0; models->is_enabled && i < order->n; i++) {
        ps_ordered_server_t *each = &order->servers[i];
        each->learned = PsServerModels_Find(models, each->server);
    }
    note_round(order, now_ms);
    usual_request_t usual = get_usual_request(order);
    int n_known = 0;
    for (int i = 0; i < order->n; i++) {
        ps_ordered_server_t *each = &order->servers[i];
        if (is_known(each)) {
            n_known++;
            predict_server(each, &usual);
        }
    }
    double median_ms = get_quantile(order, get_time, 0.5);
    double fast_ms = get_quantile(order, get_time, FAST_QUANTILE);
    order->is_learned = median_ms > 0;
    order->are_most_known = 2 * n_known > order->n;
    for (int i = 0; i < order->n; i++) {
        ps_ordered_server_t *each = &order->servers[i];
        if (!is_known(each)) {
            each->base_ms = median_ms;
        }
        if (each->learned) {
            each->learned->is_slow = each->base_ms > SLOW_RATIO * fast_ms;
        }
    }
    order->is_learned = order->is_learned && !are_even_plain(order);
    find_trial(order, fast_ms, now_ms);
}

// Returns how many requests a server takes within its limit, or within its
// capacity. One that is not known yet gets TRIAL_SLOTS, unless most are not.
static int
get_bound(const ps_slot_order_t *order, const ps_ordered_server_t *server,
          bool is_capacity)
{
    if (!order->is_learned || !server->learned ||
        !server->learned->is_engine) {
        return server->slots;
    }
    const ps_concurrency_limit_t *limit = &server->learned->model.limit;
    if (!is_known(server)) {
        return order->are_most_known ? TRIAL_SLOTS : server->slots;
    }
    return is_capacity ? PsConcurrencyLimit_GetCapacity(limit)
                       : PsConcurrencyLimit_Get(limit);
}

// Takes the free slots beyond @bound requests out of @n_free, which is
// returned.
static int
withhold(ps_ordered_server_t *server, int bound, int n_free)
{
    int taken = server->running + count_given(server, n_free);
    int rest = n_free + server->withheld;
    int kept = CLAMP(bound - taken, 0, rest);
    server->withheld = rest - kept;
    return kept;
}

void
PsSlotOrder_Withhold(ps_slot_order_t *order, int *free_slots)
{
    for (int i = 0; i < order->n; i++) {
        ps_ordered_server_t *each = &order->servers[i];
        each->n_free = free_slots[i];
        free_slots[i] =
            withhold(each, get_bound(order, each, false), free_slots[i]);
    }
}

bool
PsSlotOrder_Release(ps_slot_order_t *order, int *free_slots)
{
    bool has_any = false;
    for (int i = 0; i < order->n; i++) {
        ps_ordered_server_t *each = &order->servers[i];
        int before = free_slots[i];
        int capacity = get_bound(order, each, true);
        free_slots[i] = withhold(each, capacity, free_slots[i]);
        has_any |= free_slots[i] > before;
    }
    return has_any;
}

void
PsSlotOrder_LimitSpare(ps_slot_order_t *order, int *free_slots, int n_daemons)
{
    if (order->trial >= 0) {
        ps_ordered_server_t *trial = &order->servers[order->trial];
        if (trial->n_free > 0) {
            trial->learned->is_on_trial = true;
        }
        if (trial->n_free == 0 ||
            count_given(trial, free_slots[order->trial]) > 0) {
            order->trial = -1;
        }
        else if (free_slots[order->trial] > 0) {
            free_slots[order->trial]--;
        }
    }
    int n_fast = 0;
    for (int i = 0; i < order->n; i++) {
        ps_ordered_server_t *each = &order->servers[i];
        free_slots[i] =
            withhold(each, get_bound(order, each, false), free_slots[i]);
        const ps_learned_server_t *learned = each->learned;
        n_fast += learned && learned->is_slow ? 0 : free_slots[i];
    }
    if (n_fast * DAEMONS_PER_SPARE < n_daemons) {
        order->trial = -1;
        return;
    }
    for (int i = 0; i < order->n; i++) {
        const ps_learned_server_t *learned = order->servers[i].learned;
        if (learned && learned->is_engine && learned->is_slow) {
            free_slots[i] = 0;
        }
    }
}

static ps_slot_state_t
get_state(const ps_slot_order_t *order, const ps_ordered_server_t *server)
{
    const ps_learned_server_t *learned = server->learned;
    if (!is_known(server)) {
        return PS_SLOTS_NEW;
    }
    if (learned->is_slow) {
        return learned->is_on_trial ? PS_SLOTS_ON_TRIAL : PS_SLOTS_SLOW;
    }
    if (server->running >= get_bound(order, server, true)) {
        return PS_SLOTS_FULL;
    }
    return server->running >= get_bound(order, server, false)
               ? PS_SLOTS_LIMITED
               : PS_SLOTS_OPEN;
}

void
PsSlotOrder_NoteStates(const ps_slot_order_t *order)
{
    for (int i = 0; i < order->n; i++) {
        const ps_ordered_server_t *each = &order->servers[i];
        if (each->learned) {
            each->learned->running = each->running;
            each->learned->state = get_state(order, each);
        }
    }
}

int
PsSlotOrder_TakeSpareTrial(const ps_slot_order_t *order)
{
    return order->trial;
}

static double
get_plain_ms(const ps_learned_server_t *learned)
{
    return MAX(PsServerModel_GetPace(&learned->model).first_base_ms, 1.0);
}

void
PsSlotOrder_WeighSlots(const ps_server_models_t *models,
                       ps_slot_count_t *slots, int n)
{
    double speeds = 0;
    double shortest = INFINITY;
    double longest = 0;
    for (int i = 0; i < n; i++) {
        const ps_learned_server_t *learned =
            PsServerModels_Find(models, slots[i].server);
        if (!learned || !PsServerModel_IsKnown(&learned->model)) {
            return;
        }
        double ms = get_plain_ms(learned);
        speeds += 1.0 / ms;
        shortest = MIN(shortest, ms);
        longest = MAX(longest, ms);
    }
    if (longest < EVEN_RATIO * shortest) {
        return;
    }
    int missing = 0;
    int fastest = 0;
    double highest = 0;
    for (int i = 0; i < n; i++) {
        double speed =
            1.0 / get_plain_ms(PsServerModels_Find(models, slots[i].server));
        double weight = CLAMP(speed * n / speeds, WEIGHT_MIN, WEIGHT_MAX);
        int count = MAX((int)(slots[i].count * weight + 0.5), 1);
        missing += slots[i].count - count;
        slots[i].count = count;
        fastest = speed > highest ? i : fastest;
        highest = MAX(highest, speed);
    }
    if (n > 0) {
        slots[fastest].count += MAX(missing, 0);
    }
}

int
PsSlotOrder_FindBest(const ps_slot_order_t *order, const int *free_slots)
{
    if (order->is_last_rank && order->trial >= 0 &&
        free_slots[order->trial] > 0 &&
        count_given(&order->servers[order->trial], free_slots[order->trial]) ==
            0) {
        return order->trial;
    }
    int best = -1;
    double lowest = INFINITY;
    for (int i = 0; i < order->n; i++) {
        const ps_ordered_server_t *each = &order->servers[i];
        if (free_slots[i] <= 0) {
            continue;
        }
        double slots = MAX(each->slots, 1);
        double taken = each->running + count_given(each, free_slots[i]);
        double cost = -(double)free_slots[i] / slots;
        if (order->is_learned) {
            cost = (each->base_ms + each->slope_ms * taken) *
                   (1.0 + LOAD_WEIGHT * taken / slots);
        }
        if (cost < lowest) {
            lowest = cost;
            best = i;
        }
    }
    return best;
}
