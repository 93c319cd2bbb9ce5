/*
 * caller_request.h - Parses and checks callers' requests.
 */
#ifndef PS_CALLER_REQUEST_H
#define PS_CALLER_REQUEST_H

#include "frontend.h"

/**
 * PsCallerRequest_Parse() - Parses a request's headers and body into the
 * grant request of its call.
 * @exchange: its call's request, is_model_request and wants_stream are set
 * @tier: receives X-Tier; unchanged without the header
 * @deadline_ms: receives X-Deadline-Ms, counted from now; unchanged without
 *               the header
 *
 * Return: NULL, or a message for the caller that says what is invalid.
 */
const char *PsCallerRequest_Parse(ps_caller_exchange_t *exchange,
                                  int64_t *tier, int64_t *deadline_ms);

#endif
