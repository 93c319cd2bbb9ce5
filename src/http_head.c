/* http_head.c - Checks the head of an HTTP/1.1 response line by line. */
#include "http_head.h"

#include <string.h>

#include <glib.h>

#define LENGTH_DIGITS_MAX 18 /* of a length that fits into 63 bits */
#define STATUS_AT 9          /* bytes before the status: "HTTP/1.1 " */
#define STATUS_LINE_MIN 12   /* bytes with the status */

/* ---- Internal functions ----------------------------------------------- */

static bool
reject(ps_http_head_t *head, const char *fault)
{
    head->fault = fault;
    return false;
}

static ps_str_t
strip_line_end(ps_str_t line)
{
    if (line.len > 0 && line.data[line.len - 1] == '\n') {
        line.len--;
    }
    if (line.len > 0 && line.data[line.len - 1] == '\r') {
        line.len--;
    }
    return line;
}

static bool
is_blank(char c)
{
    return c == ' ' || c == '\t';
}

static ps_str_t
strip_blanks(ps_str_t text)
{
    while (text.len > 0 && is_blank(text.data[0])) {
        text.data++;
        text.len--;
    }
    while (text.len > 0 && is_blank(text.data[text.len - 1])) {
        text.len--;
    }
    return text;
}

// Tells whether there is a control byte other than a tab.
static bool
has_control_byte(ps_str_t text)
{
    for (size_t i = 0; i < text.len; i++) {
        if (g_ascii_iscntrl(text.data[i]) && text.data[i] != '\t') {
            return true;
        }
    }
    return false;
}

// Tells whether a text is a token (RFC 9110, 5.6.2), as field names are.
static bool
is_token(ps_str_t text)
{
    for (size_t i = 0; i < text.len; i++) {
        char c = text.data[i];
        if (!g_ascii_isalnum(c) &&
            (c == '\0' || !strchr("!#$%&'*+-.^_`|~", c))) {
            return false;
        }
    }
    return text.len > 0;
}

static bool
add_length(ps_http_head_t *head, ps_str_t value)
{
    if (head->has_length) {
        return reject(head, "more than one Content-Length");
    }
    if (value.len == 0 || value.len > LENGTH_DIGITS_MAX) {
        return reject(head, "Content-Length is not a length");
    }
    head->length = 0;
    for (size_t i = 0; i < value.len; i++) {
        if (!g_ascii_isdigit(value.data[i])) {
            return reject(head, "Content-Length is not a length");
        }
        head->length = head->length * 10 + (uint64_t)(value.data[i] - '0');
    }
    head->has_length = true;
    return true;
}

static bool
add_encoding(ps_http_head_t *head, ps_str_t value)
{
    if (head->is_chunked || !PsStr_IsEqualNoCase(value, "chunked")) {
        return reject(head, "Transfer-Encoding is not chunked");
    }
    head->is_chunked = true;
    return true;
}

// Takes the line with its end: a second CR before it is a control byte.
static bool
add_field(ps_http_head_t *head, ps_str_t line)
{
    ps_str_t name;
    ps_str_t value;
    if (!PsHttpHead_SplitField(line, &name, &value)) {
        return reject(head, "line without a colon");
    }
    if (!is_token(name)) {
        return reject(head, "field name is not a token");
    }
    if (has_control_byte(value)) {
        return reject(head, "control byte in a field value");
    }
    if (PsStr_IsEqualNoCase(name, "Content-Length")) {
        return add_length(head, value);
    }
    if (PsStr_IsEqualNoCase(name, "Transfer-Encoding")) {
        return add_encoding(head, value);
    }
    head->has_trailers |= PsStr_IsEqualNoCase(name, "Trailer");
    return true;
}

// Curl takes a chunk's size that is damaged after a leading zero for the end
// of the body, and the chunk for trailer fields. Sound servers announce these.
static bool
add_trailer(ps_http_head_t *head)
{
    return head->has_trailers ||
           reject(head, "trailer fields that are not announced");
}

// An interim response (1xx) is followed by another one.
static bool
end_fields(ps_http_head_t *head)
{
    if (head->has_length && head->is_chunked) {
        return reject(head, "both Content-Length and Transfer-Encoding");
    }
    if (head->is_http_1_0 && head->is_chunked) {
        return reject(head, "Transfer-Encoding in HTTP/1.0");
    }
    head->part = head->status < 200 ? PS_HTTP_HEAD_START : PS_HTTP_HEAD_ENDED;
    return true;
}

// Adds a status line: the version, a status of three digits, and the reason.
static bool
start_response(ps_http_head_t *head, ps_str_t line)
{
    PsHttpHead_Init(head);
    if (line.len < STATUS_LINE_MIN || has_control_byte(line) ||
        (memcmp(line.data, "HTTP/1.0 ", STATUS_AT) != 0 &&
         memcmp(line.data, "HTTP/1.1 ", STATUS_AT) != 0) ||
        (line.len > STATUS_LINE_MIN && line.data[STATUS_LINE_MIN] != ' ')) {
        return reject(head, "malformed status line");
    }
    for (size_t i = STATUS_AT; i < STATUS_LINE_MIN; i++) {
        if (!g_ascii_isdigit(line.data[i])) {
            return reject(head, "status is not a number");
        }
        head->status = head->status * 10 + (line.data[i] - '0');
    }
    if (head->status < 100 || head->status > 599) {
        return reject(head, "status is not from 100 to 599");
    }
    // Nothing here asks for another protocol.
    if (head->status == 101) {
        return reject(head, "answer switches protocols");
    }
    head->is_http_1_0 = line.data[STATUS_AT - 2] == '0';
    head->part = PS_HTTP_HEAD_FIELDS;
    return true;
}

/* ---- Public functions ------------------------------------------------- */

void
PsHttpHead_Init(ps_http_head_t *head)
{
    *head = (ps_http_head_t){.part = PS_HTTP_HEAD_START};
}

bool
PsHttpHead_SplitField(ps_str_t line, ps_str_t *name, ps_str_t *value)
{
    line = strip_line_end(line);
    const char *colon = memchr(line.data, ':', line.len);
    if (!colon) {
        return false;
    }
    *name = (ps_str_t){line.data, (size_t)(colon - line.data)};
    *value = strip_blanks((ps_str_t){colon + 1, line.len - name->len - 1});
    return true;
}

bool
PsHttpHead_AddLine(ps_http_head_t *head, ps_str_t line)
{
    ps_str_t text = strip_line_end(line);
    switch (head->part) {
    case PS_HTTP_HEAD_START:
        return start_response(head, text);
    case PS_HTTP_HEAD_FIELDS:
        return text.len > 0 ? add_field(head, line) : end_fields(head);
    case PS_HTTP_HEAD_ENDED:
        return add_trailer(head);
    }
    return true;
}
