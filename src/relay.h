/*
 * relay.h - A dispatched call's exchange with its backend server.
 *
 * Sends the request once, gives the answer to the caller, and reads a broken
 * stream again from the engine without a second dispatch. An answer that is
 * not whole never looks whole.
 */
#ifndef PS_RELAY_H
#define PS_RELAY_H

#include "frontend.h"

/**
 * PsRelay_Start() - Dispatches a granted call, or resumes its stream.
 */
void PsRelay_Start(ps_caller_exchange_t *visit, int64_t now_ms);

/**
 * PsRelay_Cancel() - Cancels at the server and gives the caller an error.
 * @code: error's code
 */
void PsRelay_Cancel(ps_caller_exchange_t *visit, const char *code,
                    const char *reason);

#endif
