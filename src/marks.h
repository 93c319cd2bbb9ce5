/*
 * marks.h - What a request has in common with others that may crash servers.
 *
 * A request's first mark is its content. Each mark is a hash; that of a mark
 * that sound requests may have too is odd, all others are even.
 */
#ifndef PS_MARKS_H
#define PS_MARKS_H

#include <stdbool.h>
#include <stdint.h>

#include "str.h"

/**
 * PsMark_HashContent() - Returns the mark of a request's content.
 * @team: empty if the request has none
 * @body: many callers may send the same request without one
 */
uint64_t PsMark_HashContent(ps_str_t path, ps_str_t team, ps_str_t body);

/**
 * PsMark_IsShared() - Tells whether sound requests may have this mark too.
 */
bool PsMark_IsShared(uint64_t mark);

/**
 * PsMark_Format() - Returns a mark as it appears in the log: 16 hexadecimal
 * digits.
 */
ps_name_t PsMark_Format(uint64_t mark);

#endif
