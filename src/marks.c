/* marks.c - Hashes of what requests have in common. */
#include "marks.h"

#include <inttypes.h>
#include <xxhash.h>

#define SHARED UINT64_C(1) /* the bit that tells shared marks from others */

/* ---- Public functions ------------------------------------------------- */

uint64_t
PsMark_HashContent(ps_str_t path, ps_str_t team, ps_str_t body)
{
    uint64_t hash = XXH64(path.data, path.len, 0);
    if (team.len > 0) {
        hash = XXH64(team.data, team.len, hash);
    }
    if (body.len == 0) {
        return hash | SHARED;
    }
    return XXH64(body.data, body.len, hash) & ~SHARED;
}

bool
PsMark_IsShared(uint64_t mark)
{
    return (mark & SHARED) != 0;
}

ps_name_t
PsMark_Format(uint64_t mark)
{
    return PsName_Format("%016" PRIx64, mark);
}
