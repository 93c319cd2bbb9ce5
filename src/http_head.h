/*
 * http_head.h - Checks the head of an HTTP/1.1 message: of a response line by
 * line, of a request by its parts.
 *
 * The HTTP libraries are lenient. The client takes the leading digits of a
 * malformed Content-Length for the length, and passes on lines that are not
 * fields: an answer that is read so can be cut short and look complete. The
 * server takes "Content-Length : 5" for another field: the body of a request
 * that is read so is the next request. A head that RFC 9112 does not allow is
 * therefore rejected whole. Does no I/O.
 */
#ifndef PS_HTTP_HEAD_H
#define PS_HTTP_HEAD_H

#include "str.h"

/**
 * enum ps_http_head_part - What the next line belongs to.
 */
typedef enum ps_http_head_part {
    PS_HTTP_HEAD_START,  /* a response, of which no line was added */
    PS_HTTP_HEAD_FIELDS, /* the fields of a response or a request */
    PS_HTTP_HEAD_ENDED   /* the trailer: the final response's head is whole */
} ps_http_head_part_t;

/**
 * struct ps_http_head - The head of a response, and of interim ones before it;
 * or that of a request.
 * @fault: why it is malformed; NULL: it is not
 */
typedef struct ps_http_head {
    ps_http_head_part_t part;
    bool is_request;
    int status; /* of the response that the last line belongs to */
    bool is_http_1_0;
    bool has_length;
    uint64_t length; /* Content-Length, with @has_length */
    bool is_chunked;
    bool has_trailers; /* it announces trailer fields */
    bool has_host;     /* of a request */
    const char *fault;
} ps_http_head_t;

void PsHttpHead_Init(ps_http_head_t *head);

/**
 * PsHttpHead_AddLine() - Adds the next line.
 * @line: with its line end
 *
 * Return: false if the head is malformed, which @head's fault explains. No
 * more lines are to be added then.
 */
bool PsHttpHead_AddLine(ps_http_head_t *head, ps_str_t line);

/**
 * PsHttpHead_InitRequest() - Takes a request's first line. Its fields follow
 * with PsHttpHead_AddField(), then PsHttpHead_EndFields().
 * @version: such as "HTTP/1.1"
 *
 * Return: as PsHttpHead_AddLine().
 */
bool PsHttpHead_InitRequest(ps_http_head_t *head, ps_str_t method,
                            ps_str_t target, ps_str_t version);

/**
 * PsHttpHead_AddField() - Adds a field.
 *
 * Return: as PsHttpHead_AddLine().
 */
bool PsHttpHead_AddField(ps_http_head_t *head, ps_str_t name, ps_str_t value);

/**
 * PsHttpHead_EndFields() - Ends the fields.
 *
 * Return: as PsHttpHead_AddLine().
 */
bool PsHttpHead_EndFields(ps_http_head_t *head);

/**
 * PsHttpHead_SplitField() - Splits a line into a field's name and value.
 * @line: with or without its line end
 * @value: receives the value without surrounding blanks
 *
 * Return: false if the line has no colon.
 */
bool PsHttpHead_SplitField(ps_str_t line, ps_str_t *name, ps_str_t *value);

#endif
