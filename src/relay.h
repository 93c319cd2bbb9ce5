/*
 * relay.h - Sends a dispatched call to its backend server.
 *
 * The request is sent once and the answer is relayed to the caller. After a
 * broken connection a model's answer is read again from the backend server,
 * which keeps it, without a second dispatch. A stream that is incomplete never
 * looks complete to the caller.
 */
#ifndef PS_RELAY_H
#define PS_RELAY_H

#include "frontend.h"

/**
 * PsRelay_Start() - Sends a granted call's request, or resumes its stream.
 */
void PsRelay_Start(ps_caller_exchange_t *exchange, int64_t now_ms);

/**
 * PsRelay_Cancel() - Cancels a dispatched call at its backend server, sends
 * the caller an error and ends the call.
 * @code: error code
 * @reason: message of the error
 */
void PsRelay_Cancel(ps_caller_exchange_t *exchange, const char *code,
                    const char *reason);

#endif
