/* even_shares.c - Even division of slots without messages. */
#include "even_shares.h"

void
PsEvenShares_Divide(const int *slots, int n_servers, int n_daemons, int index,
                    int *shares)
{
    int first = 0; /* index of the daemon that gets the next odd slot */
    for (int i = 0; i < n_servers; i++) {
        if (n_daemons < 1) {
            shares[i] = slots[i];
            continue;
        }
        int odd = slots[i] % n_daemons;
        int position = (index - first + n_daemons) % n_daemons;
        shares[i] = slots[i] / n_daemons + (position < odd ? 1 : 0);
        first = (first + odd) % n_daemons;
    }
}
