/*
 * wire.h - Sends and parses the messages of peer.proto.
 *
 * Deadlines are sent as the time left, since daemons have no common clock.
 * @now_ms is the current time of this daemon's clock, which the deadlines in
 * ps_call_t, ps_dispatch_t and ps_grant_request_t refer to.
 */
#ifndef PS_WIRE_H
#define PS_WIRE_H

#include "entry.h"
#include "peers.h"

/* ---- From an entry to a pool's owner ---- */

/* Requests a grant. */
void PsWire_SendAsk(ps_peers_t *peers, const ps_name_t *to,
                    const ps_call_t *call, int64_t now_ms);
/* Reports the result of a dispatch. */
void PsWire_SendDone(ps_peers_t *peers, const ps_name_t *to,
                     const ps_ended_dispatch_t *ended);
/* Tells the owner that a waiting request needs no grant any more. */
void PsWire_SendWithdraw(ps_peers_t *peers, const ps_name_t *to,
                         const ps_call_t *call);
/* Answers a recovery query with the entry's @n dispatches of the pool. */
void PsWire_SendRecoverAnswer(ps_peers_t *peers, const ps_name_t *to,
                              const ps_name_t *pool, uint64_t epoch,
                              const ps_dispatch_t *dispatches, int n,
                              int64_t now_ms);

/* ---- From a pool's owner to an entry ---- */

/* Answers a grant request. */
void PsWire_SendAnswer(ps_peers_t *peers, const ps_name_t *to,
                       const ps_answer_t *answer);
/* Acknowledges that the result in @done was received. */
void PsWire_SendDoneAck(ps_peers_t *peers, const ps_name_t *to,
                        const Ps__Done *done);
/* Tells the entry to cancel a dispatch. */
void PsWire_SendCancel(ps_peers_t *peers, const ps_name_t *to,
                       const ps_name_t *pool, uint64_t epoch,
                       const ps_name_t *ticket, const char *reason);
/* Queries the entry's dispatches of the pool, for a recovery. */
void PsWire_SendRecoverAsk(ps_peers_t *peers, const ps_name_t *to,
                           const ps_name_t *pool, uint64_t epoch);

/* ---- Between any two daemons ---- */

/* Requests the configuration if it is newer than version @newer_than. */
void PsWire_SendConfigFetch(ps_peers_t *peers, const ps_name_t *to,
                            uint64_t newer_than);
/* Sends a configuration's text and version. */
void PsWire_SendConfig(ps_peers_t *peers, const ps_name_t *to,
                       const ps_config_t *config);

/* ---- Received messages ----
 *
 * @from is the sender. Texts are cut at PS_NAME_MAX; tiers, outcomes and block
 * counts that are too large are set to the largest valid value. */
ps_grant_request_t PsWire_ParseAsk(const Ps__Ask *message,
                                   const ps_name_t *from, int64_t now_ms);
ps_answer_t PsWire_ParseAnswer(const Ps__Answer *message);
ps_dispatch_result_t PsWire_ParseDone(const Ps__Done *message);

/**
 * PsWire_ParseRecoverAnswer() - Parses the answer to a recovery query.
 * @from: the entry that answered
 *
 * Return: array of message->n_dispatches, to be freed with g_free().
 */
ps_dispatch_t *PsWire_ParseRecoverAnswer(const Ps__RecoverAnswer *message,
                                         const ps_name_t *from,
                                         int64_t now_ms);

#endif
