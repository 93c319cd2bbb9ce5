/* stream_origins.c - Records of the versions that began streams. */
#include "stream_origins.h"

#include <xxhash.h>

/* ---- Public functions ------------------------------------------------- */

void
PsStreamOrigins_Init(ps_stream_origins_t *origins)
{
    PsRecentMap_Init(&origins->versions, PS_STREAM_ORIGIN_MS);
}

void
PsStreamOrigins_Finish(ps_stream_origins_t *origins)
{
    PsRecentMap_Finish(&origins->versions);
}

uint64_t
PsStreamOrigins_HashId(const ps_name_t *request_id)
{
    return XXH64(request_id->data, request_id->len, 0);
}

void
PsStreamOrigins_Add(ps_stream_origins_t *origins, uint64_t request,
                    uint64_t version, int64_t now_ms)
{
    uint64_t known;
    if (PsRecentMap_Get(&origins->versions, request, &known, now_ms) &&
        known != version) {
        version = 0;
    }
    PsRecentMap_Put(&origins->versions, request, version, now_ms);
}

uint64_t
PsStreamOrigins_Find(ps_stream_origins_t *origins, uint64_t request,
                     int64_t now_ms)
{
    uint64_t version = 0;
    PsRecentMap_Get(&origins->versions, request, &version, now_ms);
    return version;
}

void
PsStreamOrigins_ForEach(const ps_stream_origins_t *origins,
                        void (*visit)(void *user, uint64_t request,
                                      uint64_t version),
                        void *user)
{
    PsRecentMap_ForEach(&origins->versions, visit, user);
}

size_t
PsStreamOrigins_ChooseHolders(uint64_t request, const GPtrArray *members,
                              const ps_name_t **holders, size_t max)
{
    uint64_t scores[PS_ORIGIN_ASKED];
    size_t n = 0;
    max = MIN(max, PS_ORIGIN_ASKED);
    for (guint i = 0; i < members->len; i++) {
        const ps_name_t *name = members->pdata[i];
        uint64_t score = XXH64(name->data, name->len, request);
        size_t at = n < max ? n++ : max;
        for (; at > 0 && score > scores[at - 1]; at--) {
            if (at < max) {
                scores[at] = scores[at - 1];
                holders[at] = holders[at - 1];
            }
        }
        if (at < max) {
            scores[at] = score;
            holders[at] = name;
        }
    }
    return n;
}
