/* overcommit.c - Grants of more slots than plain servers have. */
#include "overcommit.h"

#include <glib.h>

// Slots granted to each daemon at most, where the servers have fewer.
#define STOCK_MAX 4.0

#define ROUND_DECAY 0.6 /* weight kept by older rounds */

// Slots granted for each request that a slot can run in a round.
#define GRANTS_PER_RUN 2.0

// Requests for each slot above which fewer slots are granted, and below which
// more are. Servers queue what is more than they run.
#define LOAD_HIGH 1.5
#define LOAD_LOW 1.0

// Requests for each slot below which the servers are nearly idle.
#define LOAD_IDLE 0.3

#define GROWTH 1.5      /* factor of growth in a round */
#define GROWTH_IDLE 2.5 /* the same where they are nearly idle */
#define SHRINK_MIN 0.5  /* smallest factor of shrinking in a round */

// Requests that end in a round below which the time of a run isn't known.
#define ENDED_MIN 0.5

// Returns how many times the slots may be granted, by the number of daemons
// and by how many requests a slot can run in a round.
static double
get_factor_max(const ps_overcommit_t *overcommit, double slots, int n_daemons)
{
    if (overcommit->ended < ENDED_MIN) {
        return PS_OVERCOMMIT_MIN;
    }
    double runs_per_round = overcommit->ended / MAX(overcommit->running, 0.1);
    return MAX(MIN(STOCK_MAX * n_daemons / slots,
                   PS_OVERCOMMIT_MIN + GRANTS_PER_RUN * runs_per_round),
               PS_OVERCOMMIT_MIN);
}

double
PsOvercommit_Update(ps_overcommit_t *overcommit, int n_running, int n_ended,
                    int n_slots, int n_daemons)
{
    double slots = MAX(n_slots, 1);
    overcommit->running =
        overcommit->running * ROUND_DECAY + (1.0 - ROUND_DECAY) * n_running;
    overcommit->ended =
        overcommit->ended * ROUND_DECAY + (1.0 - ROUND_DECAY) * n_ended;
    double load = overcommit->running / slots;
    if (load > LOAD_HIGH) {
        overcommit->factor *= MAX(LOAD_HIGH / load, SHRINK_MIN);
    }
    else if (load < LOAD_LOW) {
        overcommit->factor *= load < LOAD_IDLE ? GROWTH_IDLE : GROWTH;
    }
    overcommit->factor = CLAMP(overcommit->factor, PS_OVERCOMMIT_MIN,
                               get_factor_max(overcommit, slots, n_daemons));
    return overcommit->factor;
}
