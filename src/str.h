/*
 * str.h - Length-counted strings.
 *
 * ps_str_t is a view of bytes owned elsewhere, ps_name_t a short string held
 * by value, ps_buf_t a growing buffer. Names, and buffers once appended to,
 * have a NUL after their bytes, so that they can be printed with %s.
 */
#ifndef PS_STR_H
#define PS_STR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define PS_NAME_MAX 127 /* bytes in a name, without its NUL */

/**
 * struct ps_str - View of bytes owned elsewhere; a NUL need not follow.
 */
typedef struct ps_str {
    const char *data;
    size_t len;
} ps_str_t;

/**
 * struct ps_name - Short string held by value, such as a name or an address.
 */
typedef struct ps_name {
    uint8_t len;
    char data[PS_NAME_MAX + 1];
} ps_name_t;

/**
 * struct ps_buf - Growing buffer, released with PsBuf_Finish().
 */
typedef struct ps_buf {
    char *data;
    size_t len;
    size_t cap; /* bytes allocated */
} ps_buf_t;

/* Views */
ps_str_t PsStr_FromC(const char *text);            /* NULL: an empty view */
bool PsStr_IsEqual(ps_str_t left, ps_str_t right); /* same bytes */
bool PsStr_IsEqualC(ps_str_t left, const char *right);
bool PsStr_IsEqualNoCase(ps_str_t left, const char *right); /* of ASCII */

/* Names */
ps_name_t PsName_FromC(const char *text); /* cuts at PS_NAME_MAX */
ps_name_t PsName_FromStr(ps_str_t text);  /* cuts at PS_NAME_MAX */
ps_name_t PsName_Format(const char *format, ...)
    __attribute__((format(printf, 1, 2)));   /* cuts at PS_NAME_MAX */
ps_str_t PsName_View(const ps_name_t *name); /* valid while @name is */
bool PsName_IsEqual(const ps_name_t *left, const ps_name_t *right);
bool PsName_IsEqualC(const ps_name_t *left, const char *right);
bool PsName_IsEmpty(const ps_name_t *name);
unsigned int PsName_Hash(const void *name); /* for GHashTable, of ps_name_t */
int PsName_EqualKeys(const void *left, const void *right); /* GEqualFunc */

/* Buffers */
void PsBuf_Init(ps_buf_t *buf);   /* allocates nothing */
void PsBuf_Finish(ps_buf_t *buf); /* frees the memory */
void PsBuf_Append(ps_buf_t *buf, const void *data, size_t len);
void PsBuf_AppendTightly(ps_buf_t *buf, const void *data, size_t len);
void PsBuf_SetCapacity(ps_buf_t *buf, size_t bytes); /* at least its length */
void PsBuf_AppendC(ps_buf_t *buf, const char *text);
void PsBuf_AppendFormat(ps_buf_t *buf, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
void PsBuf_RemoveFront(ps_buf_t *buf, size_t len); /* at most buf->len */
void PsBuf_Clear(ps_buf_t *buf);          /* keeps the memory allocated */
ps_str_t PsBuf_View(const ps_buf_t *buf); /* valid until the next change */

#endif
