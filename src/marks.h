/*
 * marks.h - What a request has in common with others that may crash servers.
 *
 * A request's first mark is its content; the others are the parts of its
 * prompt, without the last one, which is its own. Each mark is a hash, whose
 * lowest bits tell of what kind it is.
 */
#ifndef PS_MARKS_H
#define PS_MARKS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "str.h"

#define PS_MARK_PARTS_LOGGED_MAX 7 /* so many fit in a ps_name_t */

/**
 * PsMark_HashContent() - Returns the mark of a request's content.
 * @team: empty if the request has none
 * @body: many callers may send the same request without one
 */
uint64_t PsMark_HashContent(ps_str_t path, ps_str_t team, ps_str_t body);

/**
 * PsMark_HashPart() - Returns the mark of a part of a prompt, which is the
 * same after any other parts.
 */
uint64_t PsMark_HashPart(ps_str_t id);

/**
 * PsMark_IsPart() - Tells whether this is the mark of a part of a prompt.
 */
bool PsMark_IsPart(uint64_t mark);

/**
 * PsMark_IsShared() - Tells whether sound requests may have this mark too.
 */
bool PsMark_IsShared(uint64_t mark);

/**
 * PsMark_GetKind() - Returns the kind of a mark for the log: "part" or
 * "content".
 */
const char *PsMark_GetKind(uint64_t mark);

/**
 * PsMark_Format() - Returns a mark as it appears in the log: 16 hexadecimal
 * digits.
 */
ps_name_t PsMark_Format(uint64_t mark);

/**
 * PsMark_FormatParts() - Returns the marks of a request's parts as they appear
 * in the log, separated by commas; at most the first PS_MARK_PARTS_LOGGED_MAX.
 * @marks: array of uint64_t, the content's first
 */
ps_name_t PsMark_FormatParts(const GArray *marks);

#endif
