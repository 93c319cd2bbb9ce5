/* marks.c - Hashes of what requests have in common. */
#include "marks.h"

#include <inttypes.h>
#include <xxhash.h>

// Lowest bits of a mark. Of contents that are not shared, only the first
// counts.
#define SHARED UINT64_C(1)
#define PART UINT64_C(2)
#define KIND_BITS (SHARED | PART)

#define PART_SEED 1 /* keeps marks of parts apart from those of contents */

/* ---- Public functions ------------------------------------------------- */

uint64_t
PsMark_HashContent(ps_str_t path, ps_str_t team, ps_str_t body)
{
    uint64_t hash = XXH64(path.data, path.len, 0);
    if (team.len > 0) {
        hash = XXH64(team.data, team.len, hash);
    }
    if (body.len == 0) {
        return (hash & ~KIND_BITS) | SHARED;
    }
    return XXH64(body.data, body.len, hash) & ~SHARED;
}

uint64_t
PsMark_HashPart(ps_str_t id)
{
    return XXH64(id.data, id.len, PART_SEED) | SHARED | PART;
}

bool
PsMark_IsPart(uint64_t mark)
{
    return (mark & KIND_BITS) == (SHARED | PART);
}

bool
PsMark_IsShared(uint64_t mark)
{
    return (mark & SHARED) != 0;
}

const char *
PsMark_GetKind(uint64_t mark)
{
    return PsMark_IsPart(mark) ? "part" : "content";
}

ps_name_t
PsMark_Format(uint64_t mark)
{
    return PsName_Format("%016" PRIx64, mark);
}

ps_name_t
PsMark_FormatParts(const GArray *marks)
{
    ps_name_t text = PsName_FromC("");
    for (guint i = 1; i < MIN(marks->len, PS_MARK_PARTS_LOGGED_MAX + 1); i++) {
        text = PsName_Format("%s%s%016" PRIx64, text.data, i > 1 ? "," : "",
                             g_array_index(marks, uint64_t, i));
    }
    return text;
}
