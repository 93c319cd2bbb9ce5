/* address_choice.c - Weighted rendezvous hashing of callers to daemons. */
#include "address_choice.h"

#include <glib.h>
#include <stdlib.h>

#include "rendezvous.h"

#define REMOTE_PER_ADDRESSES                                                  \
    4                     /* one address in so many is of another domain */
#define CAPACITY_MIN 0.01 /* assumed of a daemon that names less */

/* ---- Internal functions ----------------------------------------------- */

static int
compare_scores(const void *left, const void *right)
{
    const ps_address_candidate_t *a = left;
    const ps_address_candidate_t *b = right;
    return (a->score < b->score) - (a->score > b->score);
}

// Adds the first candidates that are in the caller's domain, or are not, until
// there are @max addresses.
static int
add_addresses(const ps_address_candidate_t *candidates, int n, bool is_local,
              const ps_name_t **addresses, int n_addresses, int max)
{
    for (int i = 0; i < n && n_addresses < max; i++) {
        if (candidates[i].is_local == is_local) {
            addresses[n_addresses++] = candidates[i].address;
        }
    }
    return n_addresses;
}

/* ---- Public functions ------------------------------------------------- */

int
PsAddressChoice_Pick(ps_address_candidate_t *candidates, int n,
                     uint64_t caller, const ps_name_t **addresses, int max)
{
    int n_remote = 0;
    for (int i = 0; i < n; i++) {
        candidates[i].score =
            PsRendezvous_GetScore(candidates[i].name, caller,
                                  MAX(candidates[i].capacity, CAPACITY_MIN));
        n_remote += candidates[i].is_local ? 0 : 1;
    }
    qsort(candidates, (size_t)n, sizeof *candidates, compare_scores);
    int max_local = max - MIN(max / REMOTE_PER_ADDRESSES, n_remote);
    int picked = add_addresses(candidates, n, true, addresses, 0, max_local);
    return add_addresses(candidates, n, false, addresses, picked, max);
}

int
PsAddressChoice_ListAll(const ps_address_candidate_t *candidates, int n,
                        const ps_name_t **addresses, int max)
{
    int listed = add_addresses(candidates, n, true, addresses, 0, max);
    return add_addresses(candidates, n, false, addresses, listed, max);
}
