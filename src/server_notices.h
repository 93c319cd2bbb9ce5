/*
 * server_notices.h - What a backend server says of itself in a response.
 *
 * A server may name a limit of requests, ask for a pause, and say that it
 * leaves. Each holds for the start of it that responded, here from now on,
 * also without the store and the allocator; limits and leaving are reported to
 * the latter.
 */
#ifndef PS_SERVER_NOTICES_H
#define PS_SERVER_NOTICES_H

#include "gateway.h"

/**
 * PsServerNotices_Take() - Takes the notices in the headers of a response.
 * @backend: the server that responded
 * @reply: what the response means
 * @request_id: of the request that it answers, for the log
 * @asked_ms: when the request was sent
 */
void PsServerNotices_Take(ps_gateway_t *gateway, ps_backend_t *backend,
                          const ps_transfer_t *transfer, ps_reply_t reply,
                          const ps_name_t *request_id, int64_t asked_ms,
                          int64_t now_ms);

#endif
