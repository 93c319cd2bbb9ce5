/* response_headers.c - Copies the headers that are relayed. */
#include "response_headers.h"

#include <glib.h>

void
PsResponseHeaders_Relay(const ps_dialect_t *dialect,
                        const ps_transfer_t *transfer,
                        ps_http_request_t *request)
{
    size_t position = 0;
    ps_str_t name;
    ps_str_t value;
    while (PsTransfer_NextHeader(transfer, &position, &name, &value)) {
        if (dialect->is_header_relayed(name)) {
            char *header = g_strndup(name.data, name.len);
            char *text = g_strndup(value.data, value.len);
            PsHttpRequest_AddResponseHeader(request, header, text);
            g_free(header);
            g_free(text);
        }
    }
}
