/* request_body.c - Counts and keeps bodies of requests. */
#include "request_body.h"

#include <stdlib.h>

// Bytes counted for an open request beside its body and answer. Measured with
// 1,000 requests: buffers of libmicrohttpd and curl take 46 KiB, and some 50
// KiB more when the answer is paused at the lowest mark
// (docs/MEASUREMENTS.md).
#define REQUEST_OVERHEAD (96 * 1024)

static void
count_bytes(ps_http_request_t *request, ps_memory_use_t use, size_t bytes)
{
    PsMemoryBudget_Set(request->server->budget, use, &request->counted[use],
                       bytes);
}

static void
drop_body(ps_http_request_t *request)
{
    PsBuf_Finish(&request->body);
    count_bytes(request, PS_MEMORY_REQUEST_BODY, 0);
}

// Counts a body that has grown beyond what was announced, as chunks do.
static bool
count_growth(ps_http_request_t *request)
{
    ps_memory_budget_t *budget = request->server->budget;
    size_t counted = request->counted[PS_MEMORY_REQUEST_BODY];
    size_t cap = request->body.cap;
    if (!budget || request->body.len <= request->body_length) {
        return true;
    }
    if (cap > counted && !PsMemoryBudget_CanHold(budget, cap - counted)) {
        budget->n_refused++;
        request->body_length = cap;
        return false;
    }
    count_bytes(request, PS_MEMORY_REQUEST_BODY, cap);
    return true;
}

/* ---- Public functions ------------------------------------------------- */

bool
PsRequestBody_Accept(ps_http_request_t *request)
{
    const ps_http_server_t *server = request->server;
    const char *text = PsHttpRequest_GetHeader(request, "Content-Length");
    uint64_t length = text ? strtoull(text, NULL, 10) : 0;
    if (!server->budget || length > server->body_max) {
        return true;
    }
    request->body_length = (size_t)length;
    if (!PsMemoryBudget_CanHold(server->budget, request->body_length)) {
        server->budget->n_refused++;
        return false;
    }
    count_bytes(request, PS_MEMORY_OVERHEAD, REQUEST_OVERHEAD);
    count_bytes(request, PS_MEMORY_REQUEST_BODY, request->body_length);
    return true;
}

void
PsRequestBody_Append(ps_http_request_t *request, const char *data, size_t len)
{
    if (request->is_too_large || request->is_over_budget) {
        return;
    }
    if (request->body.len + len > request->server->body_max) {
        request->is_too_large = true;
        drop_body(request);
        return;
    }
    if (!request->body.data && request->body_length > 0) {
        PsBuf_SetCapacity(&request->body, request->body_length);
    }
    PsBuf_AppendTightly(&request->body, data, len);
    if (!count_growth(request)) {
        request->is_over_budget = true;
        drop_body(request);
    }
}

void
PsRequestBody_Finish(ps_http_request_t *request)
{
    drop_body(request);
    count_bytes(request, PS_MEMORY_OVERHEAD, 0);
}
