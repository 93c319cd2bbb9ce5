/*
 * dialect.h - What differs between deployments in callers' and servers' HTTP.
 *
 * A dialect decodes the head of a caller's request into fields that say what
 * they hold, writes the head for a backend server, and tells what a backend
 * server's answer means. The gateway decides by these fields alone.
 */
#ifndef PS_DIALECT_H
#define PS_DIALECT_H

#include "http_client.h"
#include "http_server.h"
#include "scheduler.h"

/**
 * struct ps_inbound_request - A caller's request, decoded.
 */
typedef struct ps_inbound_request {
    ps_name_t request_id;
    ps_name_t api_key;     /* API key; empty: none */
    int64_t time_left_ms;  /* that the caller will wait; 0: not told */
    bool has_token_counts; /* the next two were told */
    double prompt_tokens;
    double output_tokens_max;
    double output_tokens_hint;         /* caller's estimate; 0: none */
    int n_parts;                       /* of the prompt, in order */
    uint64_t parts[PS_TASK_PARTS_MAX]; /* each names all parts before it too */
    uint32_t part_tokens[PS_TASK_PARTS_MAX];
    ps_name_t last_event_id; /* the stream goes on after it; empty: new */
} ps_inbound_request_t;

/**
 * struct ps_outbound_request - What the gateway sets on a request to a server.
 */
typedef struct ps_outbound_request {
    int64_t time_left_ms;
    ps_str_t server;        /* name that the server must have */
    ps_str_t team;          /* empty: none */
    ps_str_t last_event_id; /* the stream goes on after it; empty: new */
} ps_outbound_request_t;

/**
 * enum ps_reply - What the head of a server's answer means.
 */
typedef enum ps_reply {
    PS_REPLY_ANSWER,       /* the answer to this request */
    PS_REPLY_NOT_RUN,      /* the server has not run it and will not */
    PS_REPLY_WRONG_SERVER, /* the same, by another server than was expected */
    PS_REPLY_MISMATCH      /* not the answer to this request */
} ps_reply_t;

/**
 * struct ps_dialect - Plug-in: a dialect.
 * @decode: fills in @inbound; false: a field is malformed
 * @write: adds the headers of @request and of @outbound to @transfer
 * @judge: reads the head of an answer to the request with @request_id
 * @is_returned: tells whether an answer's header goes to the caller
 * @request_id: name of the header that answers repeat the request's id in
 */
typedef struct ps_dialect {
    const char *name;
    bool (*decode)(const ps_http_request_t *request,
                   ps_inbound_request_t *inbound);
    void (*encode)(const ps_http_request_t *request,
                   const ps_outbound_request_t *outbound,
                   ps_transfer_t *transfer);
    ps_reply_t (*classify)(const ps_transfer_t *transfer,
                           const ps_name_t *request_id);
    bool (*is_header_relayed)(ps_str_t header);
    const char *request_id_header;
} ps_dialect_t;

#endif
