/* str.c - Views, names by value and growing buffers. */
#include "str.h"

#include <glib.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>
#include <xxhash.h>

#define BUF_PAGE 4096
#define BUF_FIRST_CAP 256 /* fewest bytes allocated for a buffer */

/* ---- Views ------------------------------------------------------------ */

ps_str_t
PsStr_FromC(const char *text)
{
    return (ps_str_t){text, text ? strlen(text) : 0};
}

bool
PsStr_IsEqual(ps_str_t left, ps_str_t right)
{
    return left.len == right.len &&
           (left.len == 0 || memcmp(left.data, right.data, left.len) == 0);
}

bool
PsStr_IsEqualC(ps_str_t left, const char *right)
{
    return PsStr_IsEqual(left, PsStr_FromC(right));
}

bool
PsStr_IsEqualNoCase(ps_str_t left, const char *right)
{
    return left.len == strlen(right) &&
           (left.len == 0 || strncasecmp(left.data, right, left.len) == 0);
}

/* ---- Names ------------------------------------------------------------ */

ps_name_t
PsName_FromStr(ps_str_t text)
{
    ps_name_t name = {0};
    name.len = (uint8_t)MIN(text.len, (size_t)PS_NAME_MAX);
    if (name.len > 0) {
        memcpy(name.data, text.data, name.len);
    }
    return name;
}

ps_name_t
PsName_FromC(const char *text)
{
    return PsName_FromStr(PsStr_FromC(text));
}

ps_name_t
PsName_Format(const char *format, ...)
{
    ps_name_t name = {0};
    va_list args;
    va_start(args, format);
    int len = vsnprintf(name.data, sizeof name.data, format, args);
    va_end(args);
    name.len = (uint8_t)CLAMP(len, 0, PS_NAME_MAX);
    return name;
}

ps_str_t
PsName_View(const ps_name_t *name)
{
    return (ps_str_t){name->data, name->len};
}

bool
PsName_IsEqual(const ps_name_t *left, const ps_name_t *right)
{
    return PsStr_IsEqual(PsName_View(left), PsName_View(right));
}

bool
PsName_IsEqualC(const ps_name_t *left, const char *right)
{
    return PsStr_IsEqualC(PsName_View(left), right);
}

bool
PsName_IsEmpty(const ps_name_t *name)
{
    return name->len == 0;
}

unsigned int
PsName_Hash(const void *name)
{
    const ps_name_t *key = name;
    return (unsigned int)XXH3_64bits(key->data, key->len);
}

int
PsName_EqualKeys(const void *left, const void *right)
{
    return PsName_IsEqual(left, right);
}

/* ---- Buffers ---------------------------------------------------------- */

void
PsBuf_Init(ps_buf_t *buf)
{
    *buf = (ps_buf_t){0};
}

void
PsBuf_Finish(ps_buf_t *buf)
{
    g_free(buf->data);
    PsBuf_Init(buf);
}

void
PsBuf_Append(ps_buf_t *buf, const void *data, size_t len)
{
    if (buf->len + len + 1 > buf->cap) {
        size_t cap = MAX(buf->cap * 2, (size_t)BUF_FIRST_CAP);
        buf->cap = MAX(cap, buf->len + len + 1);
        buf->data = g_realloc(buf->data, buf->cap);
    }
    if (len > 0) {
        memcpy(buf->data + buf->len, data, len);
    }
    buf->len += len;
    buf->data[buf->len] = '\0';
}

// Rounds up to whole pages, so that buffers of many lengths fragment the heap
// less.
void
PsBuf_SetCapacity(ps_buf_t *buf, size_t bytes)
{
    buf->cap = (MAX(bytes, buf->len) / BUF_PAGE + 1) * BUF_PAGE;
    buf->data = g_realloc(buf->data, buf->cap);
    buf->data[buf->len] = '\0';
}

// Lets the buffer grow by an eighth, where PsBuf_Append() doubles it.
void
PsBuf_AppendTightly(ps_buf_t *buf, const void *data, size_t len)
{
    size_t needed = buf->len + len;
    if (needed >= buf->cap) {
        PsBuf_SetCapacity(buf, needed + needed / 8);
    }
    PsBuf_Append(buf, data, len);
}

void
PsBuf_AppendC(ps_buf_t *buf, const char *text)
{
    PsBuf_Append(buf, text, strlen(text));
}

void
PsBuf_AppendFormat(ps_buf_t *buf, const char *format, ...)
{
    va_list args;
    va_start(args, format);
    char *text = g_strdup_vprintf(format, args);
    va_end(args);
    PsBuf_AppendC(buf, text);
    g_free(text);
}

void
PsBuf_RemoveFront(ps_buf_t *buf, size_t len)
{
    g_assert(len <= buf->len);
    if (len == 0) {
        return;
    }
    memmove(buf->data, buf->data + len, buf->len - len);
    buf->len -= len;
    buf->data[buf->len] = '\0';
}

void
PsBuf_Clear(ps_buf_t *buf)
{
    buf->len = 0;
    if (buf->data) {
        buf->data[0] = '\0';
    }
}

ps_str_t
PsBuf_View(const ps_buf_t *buf)
{
    return (ps_str_t){buf->data ? buf->data : "", buf->len};
}
