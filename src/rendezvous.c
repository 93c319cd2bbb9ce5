/* rendezvous.c - Scores of weighted rendezvous hashing. */
#include "rendezvous.h"

#include <math.h>
#include <xxhash.h>

double
PsRendezvous_GetScore(const ps_name_t *name, uint64_t seed, double weight)
{
    // The hash, scaled to a uniform number between 0 and 1 (53 bits).
    uint64_t hash = XXH64(name->data, name->len, seed);
    double uniform = ((double)(hash >> 11) + 0.5) / 9007199254740992.0;
    return weight / -log(uniform);
}
