/*
 * caller_request.h - Reads and checks callers' requests.
 */
#ifndef PS_CALLER_REQUEST_H
#define PS_CALLER_REQUEST_H

#include "frontend.h"

/**
 * PsCallerRequest_Parse() - Fills a visit's ask from its headers and body.
 * @tier: receives the tier asked for; unchanged without the header
 * @deadline_ms: receives the time given; unchanged without the header
 *
 * Return: NULL, or a message that says what the request breaks.
 */
const char *PsCallerRequest_Parse(ps_caller_exchange_t *visit, int64_t *tier,
                                  int64_t *deadline_ms);

#endif
