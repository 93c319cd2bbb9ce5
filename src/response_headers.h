/*
 * response_headers.h - Headers of a server's response on their way back.
 */
#ifndef PS_RESPONSE_HEADERS_H
#define PS_RESPONSE_HEADERS_H

#include "dialect.h"

/**
 * PsResponseHeaders_Relay() - Adds the headers of a response that are relayed
 * to the prepared response of a request.
 */
void PsResponseHeaders_Relay(const ps_dialect_t *dialect,
                             const ps_transfer_t *transfer,
                             ps_http_request_t *request);

#endif
