/*
 * answer_relay.h - Relays a server's answer to the caller as fast as the
 * caller reads.
 *
 * When the caller reads more slowly than the server sends, reading from the
 * server is paused above a mark of unsent bytes and goes on below a lower one.
 * How an answer ends is decided by answer.h.
 */
#ifndef PS_ANSWER_RELAY_H
#define PS_ANSWER_RELAY_H

#include "exchange.h"

/**
 * PsAnswerRelay_Reset() - Prepares for the answer of another transfer.
 */
void PsAnswerRelay_Reset(ps_exchange_t *exchange);

/**
 * PsAnswerRelay_HandleHead() - Chooses how the answer is handled. The head of
 * a stream goes to the caller.
 */
void PsAnswerRelay_HandleHead(ps_exchange_t *exchange);

/**
 * PsAnswerRelay_HandleData() - Takes bytes of the answer.
 *
 * Closes the connection of an answer that exceeds a bound.
 */
void PsAnswerRelay_HandleData(ps_exchange_t *exchange, ps_str_t data);

/**
 * PsAnswerRelay_IsHoldFull() - Tells whether no more of an answer is held:
 * then it is passed on from here on, or given up for another attempt.
 */
bool PsAnswerRelay_IsHoldFull(const ps_exchange_t *exchange);

/**
 * PsAnswerRelay_StartPassing() - Passes on what is held and what comes later.
 */
void PsAnswerRelay_StartPassing(ps_exchange_t *exchange);

/**
 * PsAnswerRelay_GetFacts() - Returns how the transfer has ended.
 */
ps_answer_facts_t PsAnswerRelay_GetFacts(const ps_exchange_t *exchange,
                                         ps_transfer_result_t result);

/**
 * PsAnswerRelay_SendWhole() - Ends the caller's answer as complete.
 */
void PsAnswerRelay_SendWhole(ps_exchange_t *exchange);

/**
 * PsAnswerRelay_Cut() - Ends the caller's answer as incomplete.
 */
void PsAnswerRelay_Cut(ps_exchange_t *exchange, ps_answer_cut_t cut);

/**
 * PsAnswerRelay_Release() - Frees what is held of the answer.
 */
void PsAnswerRelay_Release(ps_exchange_t *exchange);

/**
 * PsAnswerRelay_IsUnread() - Tells whether a silence of the server may be due
 * to this daemon, which does not read its answer or did not until lately.
 */
bool PsAnswerRelay_IsUnread(const ps_exchange_t *exchange, int64_t now_ms);

/**
 * PsAnswerRelay_GetWritingTime() - Returns for how long a server has been
 * sending events of a stream, in milliseconds.
 */
int64_t PsAnswerRelay_GetWritingTime(const ps_exchange_t *exchange);

/**
 * PsAnswerRelay_HasJustBegun() - Tells whether a part of the prompt can still
 * be what ends the server.
 */
bool PsAnswerRelay_HasJustBegun(const ps_exchange_t *exchange);

#endif
