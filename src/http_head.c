/* http_head.c - Checks the head of an HTTP/1.1 message. */
#include "http_head.h"

#include <string.h>

#include <glib.h>

#define LENGTH "Content-Length"
#define ENCODING "Transfer-Encoding"

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

// Tells whether a name only begins as a field that gives a length. The server
// library appends the next line to a field's name if that begins with a blank,
// so that "Content-Length:", " 5" is the field "Content-Length5".
static bool
extends_length_name(ps_str_t name)
{
    static const char *const fields[] = {LENGTH, ENCODING};
    for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
        size_t len = strlen(fields[i]);
        if (name.len > len &&
            PsStr_IsEqualNoCase((ps_str_t){name.data, len}, fields[i])) {
            return true;
        }
    }
    return false;
}

static bool
add_request_field(ps_http_head_t *head, ps_str_t name)
{
    if (extends_length_name(name)) {
        return reject(head, "length over several lines");
    }
    if (PsStr_IsEqualNoCase(name, "Host")) {
        if (head->has_host) {
            return reject(head, "more than one Host");
        }
        head->has_host = true;
    }
    return true;
}

// Takes the line with its end: a second CR before it is a control byte.
static bool
add_field_line(ps_http_head_t *head, ps_str_t line)
{
    ps_str_t name;
    ps_str_t value;
    if (!PsHttpHead_SplitField(line, &name, &value)) {
        return reject(head, "line without a colon");
    }
    return PsHttpHead_AddField(head, name, value);
}

// Curl takes a chunk's size that is damaged after a leading zero for the end
// of the body, and the chunk for trailer fields. Sound servers announce these.
static bool
add_trailer(ps_http_head_t *head)
{
    return head->has_trailers ||
           reject(head, "trailer fields that are not announced");
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
PsHttpHead_InitRequest(ps_http_head_t *head, ps_str_t method, ps_str_t target,
                       ps_str_t version)
{
    *head = (ps_http_head_t){.part = PS_HTTP_HEAD_FIELDS, .is_request = true};
    head->is_http_1_0 = PsStr_IsEqualC(version, "HTTP/1.0");
    if (!head->is_http_1_0 && !PsStr_IsEqualC(version, "HTTP/1.1")) {
        return reject(head, "version is neither HTTP/1.0 nor HTTP/1.1");
    }
    if (!is_token(method)) {
        return reject(head, "method is not a token");
    }
    if (target.len == 0 || has_control_byte(target) ||
        memchr(target.data, ' ', target.len) ||
        memchr(target.data, '\t', target.len)) {
        return reject(head, "blank or control byte in the target");
    }
    return true;
}

bool
PsHttpHead_AddField(ps_http_head_t *head, ps_str_t name, ps_str_t value)
{
    if (!is_token(name)) {
        return reject(head, "field name is not a token");
    }
    if (has_control_byte(value)) {
        return reject(head, "control byte in a field value");
    }
    if (head->is_request && !add_request_field(head, name)) {
        return false;
    }
    if (PsStr_IsEqualNoCase(name, LENGTH)) {
        return add_length(head, value);
    }
    if (PsStr_IsEqualNoCase(name, ENCODING)) {
        return add_encoding(head, value);
    }
    head->has_trailers |= PsStr_IsEqualNoCase(name, "Trailer");
    return true;
}

// An interim response (1xx) is followed by another one.
bool
PsHttpHead_EndFields(ps_http_head_t *head)
{
    if (head->has_length && head->is_chunked) {
        return reject(head, "both Content-Length and Transfer-Encoding");
    }
    if (head->is_http_1_0 && head->is_chunked) {
        return reject(head, "Transfer-Encoding in HTTP/1.0");
    }
    head->part = !head->is_request && head->status < 200 ? PS_HTTP_HEAD_START
                                                         : PS_HTTP_HEAD_ENDED;
    return true;
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
        return text.len > 0 ? add_field_line(head, line)
                            : PsHttpHead_EndFields(head);
    case PS_HTTP_HEAD_ENDED:
        return add_trailer(head);
    }
    return true;
}
