/* trial_turns.c - Chooses daemons by rendezvous hashing of mark and time. */
#include "trial_turns.h"

#include <xxhash.h>

#define DAEMONS_OF_A_TURN 8 /* one of so many has its turn */

static uint64_t
get_score(const ps_name_t *name, uint64_t seed)
{
    return XXH64(name->data, name->len, seed);
}

bool
PsTrialTurns_IsOwn(const ps_name_t *self, const GPtrArray *others,
                   uint64_t mark, int64_t unix_ms)
{
    int64_t turn = unix_ms / PS_TRIAL_TURN_MS;
    uint64_t seed = XXH64(&turn, sizeof turn, mark);
    guint n_turns = others->len / DAEMONS_OF_A_TURN + 1;
    guint n_before = 0;
    for (guint i = 0; i < others->len; i++) {
        n_before +=
            get_score(others->pdata[i], seed) > get_score(self, seed) ? 1 : 0;
    }
    return n_before < n_turns;
}
