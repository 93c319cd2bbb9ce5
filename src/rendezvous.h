/*
 * rendezvous.h - Weighted rendezvous hashing.
 */
#ifndef PS_RENDEZVOUS_H
#define PS_RENDEZVOUS_H

#include "str.h"

/**
 * PsRendezvous_GetScore() - Returns the score of a name; the highest wins with
 * a probability in proportion to its weight.
 * @seed: of the choice; the same one gives the same scores
 * @weight: above 0
 */
double PsRendezvous_GetScore(const ps_name_t *name, uint64_t seed,
                             double weight);

#endif
