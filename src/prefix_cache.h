/*
 * prefix_cache.h - Prompt blocks believed to be in a backend server's cache.
 *
 * Follows the server's own prefix cache: a request's blocks are added when it
 * is granted, and the least recently used block is evicted when the cache is
 * full. Blocks that the server reports as evicted are removed.
 */
#ifndef PS_PREFIX_CACHE_H
#define PS_PREFIX_CACHE_H

#include <glib.h>

#include "request.h"

/* blocks that a server is assumed to cache */
#define PS_PREFIX_CACHE_BLOCKS_DEFAULT 4096

/**
 * struct ps_prefix_cache - Blocks of one backend server.
 */
typedef struct ps_prefix_cache {
    GHashTable *blocks; /* hash to its link in @lru */
    GQueue lru;         /* hashes, most recently used first */
    uint32_t max_blocks;
} ps_prefix_cache_t;

void PsPrefixCache_Init(ps_prefix_cache_t *cache, uint32_t max_blocks);
void PsPrefixCache_Finish(ps_prefix_cache_t *cache);
void PsPrefixCache_Clear(ps_prefix_cache_t *cache);

/**
 * PsPrefixCache_GetCachedBlocks() - Counts the leading blocks of a request
 * that are cached.
 */
uint32_t PsPrefixCache_GetCachedBlocks(const ps_prefix_cache_t *cache,
                                       const ps_grant_request_t *request);

/**
 * PsPrefixCache_Add() - Adds a request's blocks as the most recently used.
 */
void PsPrefixCache_Add(ps_prefix_cache_t *cache,
                       const ps_grant_request_t *request);

/**
 * PsPrefixCache_Remove() - Removes a block that the server has evicted.
 */
void PsPrefixCache_Remove(ps_prefix_cache_t *cache, uint64_t block);

#endif
