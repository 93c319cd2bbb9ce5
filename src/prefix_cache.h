/*
 * prefix_cache.h - Prompt blocks believed to be in a backend server's cache.
 *
 * Blocks are added when a request is granted and dropped least recently used
 * first, as the server's own cache does; cache events correct the belief.
 */
#ifndef PS_PREFIX_CACHE_H
#define PS_PREFIX_CACHE_H

#include <glib.h>

#include "request.h"

#define PS_PREFIX_CACHE_BLOCKS_DEFAULT                                        \
    4096 /* blocks believed cached at a server */

/**
 * struct ps_prefix_cache - Blocks of one backend server.
 */
typedef struct ps_prefix_cache {
    GHashTable *blocks;  /* hash to link in order */
    GQueue lru;          /* most recently used first */
    uint32_t max_blocks; /* blocks */
} ps_prefix_cache_t;

void PsPrefixCache_Init(ps_prefix_cache_t *prefix, uint32_t cap);
void PsPrefixCache_Finish(ps_prefix_cache_t *prefix);
void PsPrefixCache_Clear(ps_prefix_cache_t *prefix);

/**
 * PsPrefixCache_GetCachedBlocks() - Counts a request's leading blocks that are
 * cached.
 */
uint32_t PsPrefixCache_GetCachedBlocks(const ps_prefix_cache_t *prefix,
                                       const ps_grant_request_t *ask);

/**
 * PsPrefixCache_Add() - Notes that a request's blocks are cached.
 */
void PsPrefixCache_Add(ps_prefix_cache_t *prefix,
                       const ps_grant_request_t *ask);

/**
 * PsPrefixCache_Remove() - Notes that a block has been evicted.
 */
void PsPrefixCache_Remove(ps_prefix_cache_t *prefix, uint64_t block);

#endif
