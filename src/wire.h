/*
 * wire.h - Sends and parses the messages of peer.proto.
 *
 * Deadlines are sent as the time left, since daemons have no common clock;
 * @now_ms is the time of the clock that the deadlines here are of.
 */
#ifndef PS_WIRE_H
#define PS_WIRE_H

#include "entry.h"
#include "peers.h"

/* From an entry to a pool's owner: a grant request, a dispatch's result, that
 * a waiting request needs no grant any more, and the answer to a recovery
 * query with @n dispatches. */
void PsWire_SendAsk(ps_peers_t *peers, const ps_name_t *to,
                    const ps_call_t *call, int64_t now_ms);
void PsWire_SendDone(ps_peers_t *peers, const ps_name_t *to,
                     const ps_ended_dispatch_t *ended);
void PsWire_SendWithdraw(ps_peers_t *peers, const ps_name_t *to,
                         const ps_call_t *call);
void PsWire_SendRecoverAnswer(ps_peers_t *peers, const ps_name_t *to,
                              const ps_name_t *pool, uint64_t epoch,
                              const ps_dispatch_t *dispatches, int n,
                              int64_t now_ms);

/* From a pool's owner to an entry: the answer to a grant request, that a
 * result was received, that a dispatch is to be cancelled, and a recovery
 * query for the entry's dispatches. */
void PsWire_SendAnswer(ps_peers_t *peers, const ps_name_t *to,
                       const ps_answer_t *answer);
void PsWire_SendDoneAck(ps_peers_t *peers, const ps_name_t *to,
                        const Ps__Done *done);
void PsWire_SendCancel(ps_peers_t *peers, const ps_name_t *to,
                       const ps_name_t *pool, uint64_t epoch,
                       const ps_name_t *ticket, const char *reason);
void PsWire_SendRecoverAsk(ps_peers_t *peers, const ps_name_t *to,
                           const ps_name_t *pool, uint64_t epoch);

/* Between any two daemons: a request for a configuration newer than a version,
 * and a configuration. */
void PsWire_SendConfigFetch(ps_peers_t *peers, const ps_name_t *to,
                            uint64_t newer_than);
void PsWire_SendConfig(ps_peers_t *peers, const ps_name_t *to,
                       const ps_config_t *config);

/* Received messages; @from is the sender. Texts are cut at PS_NAME_MAX, and
 * tiers and block counts are limited to what the types hold. */
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
