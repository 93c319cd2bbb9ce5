/* request.c - Prefix hashes of a prompt and names of outcomes. */
#include "request.h"

#include <string.h>
#include <xxhash.h>

/* ---- Public functions ------------------------------------------------- */

void
PsGrantRequest_HashPrompt(ps_grant_request_t *request, ps_str_t prompt)
{
    uint64_t hash = 0;
    request->n_blocks = 0;
    for (size_t offset = 0; offset + PS_BLOCK_BYTES <= prompt.len &&
                            request->n_blocks < PS_BLOCKS_MAX;
         offset += PS_BLOCK_BYTES) {
        hash =
            XXH3_64bits_withSeed(prompt.data + offset, PS_BLOCK_BYTES, hash);
        request->blocks[request->n_blocks++] = hash;
    }
}

const char *
PsOutcome_Name(ps_outcome_t outcome)
{
    static const char *const names[] = {"running", "complete", "not sent",
                                        "refused", "broken",   "cancelled",
                                        "lost",    "orphaned"};
    return names[outcome];
}

const char *
PsRan_Name(ps_ran_t ran)
{
    static const char *const names[] = {"no", "yes", "unknown"};
    return names[ran];
}

ps_ran_t
PsRan_FromName(const char *name)
{
    if (strcmp(name, "no") == 0) {
        return PS_RAN_NO;
    }
    return strcmp(name, "yes") == 0 ? PS_RAN_YES : PS_RAN_UNKNOWN;
}
