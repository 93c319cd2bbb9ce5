/*
 * dialect.h - The HTTP headers that a deployment uses.
 *
 * A dialect parses the headers of callers' requests, sets the headers of
 * requests to backend servers, and tells what a backend server's response
 * means. The rest of the gateway does not depend on header names.
 */
#ifndef PS_DIALECT_H
#define PS_DIALECT_H

#include "http_client.h"
#include "http_server.h"
#include "marks.h"
#include "scheduler.h"

// Between daemons: the server to which a request is to be carried, its start
// and the daemon that asks for it. A dialect never passes one of a caller on.
#define PS_FORWARD_HEADER "Pearstair-Forward"

// In the answers to these: whose answer it is. A dialect relays none.
#define PS_FORWARD_RESULT_HEADER "Pearstair-Forward-Result"
#define PS_FORWARD_ANSWERED "answered" /* the server's answer */
#define PS_FORWARD_ANSWERED_UNFRAMED                                          \
    "answered, unframed" /* the same; it ends with the server's connection */
#define PS_FORWARD_REFUSED "refused"     /* nothing was sent */
#define PS_FORWARD_UNREACHED "unreached" /* the same: no connection opens */
#define PS_FORWARD_LOST "lost" /* it was sent, and no answer came back */

/**
 * struct ps_inbound_request - What the headers of a caller's request say.
 */
typedef struct ps_inbound_request {
    ps_name_t request_id;
    ps_name_t api_key;     /* empty: none */
    int64_t time_left_ms;  /* how long the caller waits; 0: not given */
    bool has_token_counts; /* the next two fields were given */
    double prompt_tokens;
    double output_tokens_max;
    double output_tokens_hint;         /* the caller's estimate; 0: none */
    int n_parts;                       /* parts of the prompt, in order */
    uint64_t parts[PS_TASK_PARTS_MAX]; /* hashes, each of a part and all parts
                                          before it */
    uint32_t part_tokens[PS_TASK_PARTS_MAX];
    ps_name_t last_event_id; /* resume the stream after it; empty: new */
    ps_name_t resumed_id;    /* of the request that began that stream; empty:
                                not given */
} ps_inbound_request_t;

/**
 * struct ps_outbound_request - What the gateway sets in a request to a backend
 * server.
 */
typedef struct ps_outbound_request {
    int64_t time_left_ms;
    ps_str_t server;        /* name of the server that the request is for */
    ps_str_t team;          /* empty: none */
    ps_str_t last_event_id; /* resume the stream after it; empty: new */
} ps_outbound_request_t;

/**
 * enum ps_reply - What the headers of a backend server's response mean.
 */
typedef enum ps_reply {
    PS_REPLY_ANSWER,  /* it is the response to this request */
    PS_REPLY_NOT_RUN, /* the server has not run the request and will not */
    PS_REPLY_WRONG_SERVER, /* another server than the intended one answered;
                              it has not run the request and will not */
    PS_REPLY_MISMATCH      /* it is not the response to this request */
} ps_reply_t;

/**
 * enum ps_header_reading - Whether a response has a header with a number.
 */
typedef enum ps_header_reading {
    PS_HEADER_ABSENT,
    PS_HEADER_NAMED,
    PS_HEADER_MALFORMED /* no decimal number, or several headers */
} ps_header_reading_t;

/**
 * struct ps_dialect - Interface of a dialect.
 * @name: short name of the dialect
 * @parse_request: parses a request's headers; returns false if one is
 * malformed
 * @add_part_marks: appends the marks (uint64_t) of the parts of the prompt,
 * all but the last one
 * @add_request_headers: adds to @transfer the headers of @request that are
 *                       passed on, and those for @outbound
 * @classify: reads the headers of the response to request @request_id
 * @is_check_answer: tells whether the response to a status check is of the
 *                   server that it was sent to
 * @read_limit: reads the requests a second that the response's server takes
 * @read_pause: reads for how many seconds the response's server, which turned
 * the request away, wants no others
 * @read_brittle: reads how many requests a second the response's server can
 * reject without falling over
 * @says_leaving: tells whether the response's server says that it leaves
 * @is_header_relayed: tells whether a response's header goes to the caller
 * @request_id_header: name of the header in which responses repeat the
 *                     request's id
 */
typedef struct ps_dialect {
    const char *name;
    bool (*parse_request)(const ps_http_request_t *request,
                          ps_inbound_request_t *inbound);
    void (*add_part_marks)(const ps_http_request_t *request, GArray *marks);
    void (*add_request_headers)(const ps_http_request_t *request,
                                const ps_outbound_request_t *outbound,
                                ps_transfer_t *transfer);
    ps_reply_t (*classify)(const ps_transfer_t *transfer,
                           const ps_name_t *request_id);
    bool (*is_check_answer)(const ps_transfer_t *transfer,
                            const ps_name_t *server);
    ps_header_reading_t (*read_limit)(const ps_transfer_t *transfer,
                                      double *rate);
    ps_header_reading_t (*read_pause)(const ps_transfer_t *transfer,
                                      double *seconds);
    ps_header_reading_t (*read_brittle)(const ps_transfer_t *transfer,
                                        double *rejections);
    bool (*says_leaving)(const ps_transfer_t *transfer);
    bool (*is_header_relayed)(ps_str_t header);
    const char *request_id_header;
} ps_dialect_t;

#endif
