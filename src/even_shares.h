/*
 * even_shares.h - Divides the slots of backend servers evenly among daemons.
 *
 * Every daemon computes the same division from the same lists, without
 * messages: each slot of each server belongs to exactly one daemon, and all
 * daemons get the same number of slots to within one. Requests beyond a
 * share wait at the daemon, where tiers and deadlines are known, and not in
 * a server's own queue. Load pattern: overload, with load reports too old to
 * show which slots the other daemons have just filled.
 */
#ifndef PS_EVEN_SHARES_H
#define PS_EVEN_SHARES_H

/**
 * PsEvenShares_Divide() - Computes one daemon's share of each server's slots.
 * @slots: slots of each server, in the same order at all daemons
 * @n_servers: number of servers
 * @n_daemons: number of daemons; below 1: all slots go to this one
 * @index: this daemon's index among them, from 0
 * @shares: receives @n_servers shares
 */
void PsEvenShares_Divide(const int *slots, int n_servers, int n_daemons,
                         int index, int *shares);

#endif
