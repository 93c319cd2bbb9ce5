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

// Time in which a slow server without requests gets a slot for a trial once.
#define TRIAL_INTERVAL_MS 2000

// Time for which a slot for a trial is kept at its daemon.
#define TRIAL_MS 250

// Slots at slow servers are spread when the fast ones have fewer left than
// one for so many daemons: about as many requests come in a round.
#define DAEMONS_PER_SPARE 8

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
            firsts += learned->model.firsts.weight;
            events += learned->model.events.weight;
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

// Returns a quantile of the predicted times of known servers; 0: none is.
static double
get_quantile(const ps_slot_order_t *order, double quantile)
{
    double *times = g_new(double, order->n + 1);
    int n = 0;
    for (int i = 0; i < order->n; i++) {
        const ps_ordered_server_t *each = &order->servers[i];
        if (each->learned && PsServerModel_IsKnown(&each->learned->model)) {
            times[n++] = each->base_ms;
        }
    }
    qsort(times, (size_t)n, sizeof *times, compare_doubles);
    double result = n > 0 ? times[(int)((n - 1) * quantile)] : 0.0;
    g_free(times);
    return result;
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

/* ---- Public functions ------------------------------------------------- */

void
PsSlotOrder_Init(ps_slot_order_t *order, const ps_slot_count_t *slots, int n)
{
    *order = (ps_slot_order_t){.n = n};
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

void
PsSlotOrder_Predict(ps_slot_order_t *order, const ps_server_models_t *models,
                    int64_t now_ms)
{
    for (int i = 0; models->is_enabled && i < order->n; i++) {
        ps_ordered_server_t *each = &order->servers[i];
        each->learned = PsServerModels_Find(models, each->server);
        if (each->learned) {
            PsServerModel_NoteRound(&each->learned->model, each->running,
                                    each->learned->slots, now_ms);
        }
    }
    usual_request_t usual = get_usual_request(order);
    for (int i = 0; i < order->n; i++) {
        ps_ordered_server_t *each = &order->servers[i];
        if (each->learned && PsServerModel_IsKnown(&each->learned->model)) {
            predict_server(each, &usual);
        }
    }
    double median_ms = get_quantile(order, 0.5);
    double fast_ms = get_quantile(order, FAST_QUANTILE);
    order->is_learned = median_ms > 0;
    for (int i = 0; i < order->n; i++) {
        ps_ordered_server_t *each = &order->servers[i];
        if (!each->learned || !PsServerModel_IsKnown(&each->learned->model)) {
            each->base_ms = median_ms;
        }
        if (each->learned) {
            each->learned->is_slow = each->base_ms > SLOW_RATIO * fast_ms;
        }
    }
}

// Returns how many requests a server takes within its limit; one that is not
// known yet, in a service with servers that are, gets TRIAL_SLOTS.
static int
get_limit(const ps_slot_order_t *order, const ps_ordered_server_t *server)
{
    const ps_learned_server_t *learned = server->learned;
    if (!order->is_learned || !learned || !learned->is_engine) {
        return server->slots;
    }
    return PsServerModel_IsKnown(&learned->model)
               ? PsConcurrencyLimit_Get(&learned->model.limit)
               : TRIAL_SLOTS;
}

// Returns how many of a server's free slots have been handed out.
static int
count_given(const ps_ordered_server_t *server, int n_free)
{
    return server->n_free - n_free - server->withheld;
}

// Takes the free slots beyond the limit out of @n_free, which is returned.
static int
withhold(const ps_slot_order_t *order, ps_ordered_server_t *server, int n_free)
{
    int taken = server->running + count_given(server, n_free);
    int within = MAX(get_limit(order, server) - taken, 0);
    server->withheld = MAX(n_free - within, 0);
    return n_free - server->withheld;
}

void
PsSlotOrder_Withhold(ps_slot_order_t *order, int *free_slots)
{
    for (int i = 0; i < order->n; i++) {
        ps_ordered_server_t *each = &order->servers[i];
        each->n_free = free_slots[i];
        free_slots[i] = withhold(order, each, free_slots[i]);
    }
}

bool
PsSlotOrder_Release(ps_slot_order_t *order, int *free_slots)
{
    bool has_any = false;
    for (int i = 0; i < order->n; i++) {
        has_any |= order->servers[i].withheld > 0;
        free_slots[i] += order->servers[i].withheld;
        order->servers[i].withheld = 0;
    }
    return has_any;
}

// Tells whether an unused slow server is to get a slot for a trial now.
static bool
take_trial(ps_learned_server_t *learned, int running, int64_t now_ms)
{
    if (running > 0) {
        return false;
    }
    if (now_ms - learned->trial_ms >= TRIAL_INTERVAL_MS + TRIAL_MS) {
        learned->trial_ms = now_ms;
        learned->n_trials++;
    }
    return now_ms - learned->trial_ms < TRIAL_MS;
}

void
PsSlotOrder_LimitSpare(ps_slot_order_t *order, int *free_slots, int n_daemons,
                       int64_t now_ms)
{
    int n_fast = 0;
    for (int i = 0; i < order->n; i++) {
        free_slots[i] = withhold(order, &order->servers[i], free_slots[i]);
        const ps_learned_server_t *learned = order->servers[i].learned;
        n_fast += learned && learned->is_slow ? 0 : free_slots[i];
    }
    if (n_fast * DAEMONS_PER_SPARE < n_daemons) {
        return;
    }
    for (int i = 0; i < order->n; i++) {
        const ps_ordered_server_t *each = &order->servers[i];
        ps_learned_server_t *learned = each->learned;
        if (learned && learned->is_engine && learned->is_slow) {
            bool is_trial = take_trial(learned, each->running, now_ms);
            free_slots[i] = MIN(free_slots[i], is_trial ? 1 : 0);
        }
    }
}

int
PsSlotOrder_FindBest(const ps_slot_order_t *order, const int *free_slots)
{
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
