/*
 * wire.h - Messages between daemons to and from the kernel's types.
 *
 * Durations travel as time left, so daemons need no common clock.
 */
#ifndef PS_WIRE_H
#define PS_WIRE_H

#include "entry.h"
#include "peers.h"

/* From an entry to an owner */
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

/* From an owner to an entry */
void PsWire_SendAnswer(ps_peers_t *peers, const ps_name_t *to,
                       const ps_answer_t *answer);
void PsWire_SendDoneAck(ps_peers_t *peers, const ps_name_t *to,
                        const Ps__Done *done);
void PsWire_SendCancel(ps_peers_t *peers, const ps_name_t *to,
                       const ps_name_t *pool, uint64_t epoch,
                       const ps_name_t *ticket, const char *reason);
void PsWire_SendRecoverAsk(ps_peers_t *peers, const ps_name_t *to,
                           const ps_name_t *pool, uint64_t epoch);

/* Between any two */
void PsWire_SendConfigFetch(ps_peers_t *peers, const ps_name_t *to,
                            uint64_t newer_than);
void PsWire_SendConfig(ps_peers_t *peers, const ps_name_t *to,
                       const ps_config_t *config);

/* Received messages */
ps_grant_request_t PsWire_ParseAsk(const Ps__Ask *message,
                                   const ps_name_t *from, int64_t now_ms);
ps_answer_t PsWire_ParseAnswer(const Ps__Answer *message);
ps_dispatch_result_t PsWire_ParseDone(const Ps__Done *message);

/**
 * PsWire_ParseRecoverAnswer() - Reads a recovery answer.
 *
 * Return: array of message->n_dispatches, freed with g_free().
 */
ps_dispatch_t *PsWire_ParseRecoverAnswer(const Ps__RecoverAnswer *message,
                                         const ps_name_t *from,
                                         int64_t now_ms);

#endif
