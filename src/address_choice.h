/*
 * address_choice.h - Which daemons' addresses a caller gets.
 *
 * Callers connect to one of the addresses at random, so that a daemon's load
 * follows from the number of callers that it is given to. Load pattern: many
 * callers, daemons of which some can carry several times as much as others,
 * and failure domains between which traffic is expensive. Does no I/O.
 */
#ifndef PS_ADDRESS_CHOICE_H
#define PS_ADDRESS_CHOICE_H

#include "str.h"

/**
 * struct ps_address_candidate - A daemon that callers may be given.
 */
typedef struct ps_address_candidate {
    const ps_name_t *name;
    const ps_name_t *address;
    bool is_local;   /* in the caller's failure domain */
    double capacity; /* what it can carry, relative to the others */
    double score;    /* set by PsAddressChoice_Pick() */
} ps_address_candidate_t;

/**
 * PsAddressChoice_Pick() - Picks a caller's daemons by weighted rendezvous
 * hashing.
 *
 * A daemon is picked with a probability that grows with its capacity, and the
 * same caller gets the same daemons as long as they are candidates: a change
 * of one daemon moves only the callers that have it. One address in four is of
 * another failure domain, in case all of the caller's own are lost.
 *
 * @candidates: reordered
 * @caller: hash that identifies the caller
 * @addresses: receives at most @max addresses
 *
 * Return: number of addresses.
 */
int PsAddressChoice_Pick(ps_address_candidate_t *candidates, int n,
                         uint64_t caller, const ps_name_t **addresses,
                         int max);

/**
 * PsAddressChoice_ListAll() - Lists all daemons, those in the caller's failure
 * domain first.
 *
 * Return: number of addresses, at most @max.
 */
int PsAddressChoice_ListAll(const ps_address_candidate_t *candidates, int n,
                            const ps_name_t **addresses, int max);

#endif
