/*
 * even_shares.h - Divides the slots of backend servers among the daemons.
 *
 * Every daemon works the same division out from the same lists, without
 * messages: each slot of each server belongs to exactly one daemon, and all
 * daemons get the same number of slots to within one. Requests beyond a
 * share wait at the daemon, where tiers and deadlines are known, and not in
 * a server's own queue. Load pattern: overload, with load reports too old to
 * show which slots the other daemons have just filled.
 */
#ifndef PS_EVEN_SHARES_H
#define PS_EVEN_SHARES_H

/**
 * PsEvenShares_Divide() - Gives one daemon's part of each server's slots.
 * @slots: of each server, in an order that all daemons agree on
 * @n_servers: how many
 * @n_daemons: how many daemons share them
 * @index: this daemon's place among them, from 0
 * @shares: receives the parts, as many as @slots
 */
void PsEvenShares_Divide(const int *slots, int n_servers, int n_daemons,
                         int index, int *shares);

#endif
