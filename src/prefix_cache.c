/* prefix_cache.c - LRU set of block hashes. */
#include "prefix_cache.h"

/* ---- Internal functions ----------------------------------------------- */

static void
evict_least_recent(ps_prefix_cache_t *cache)
{
    uint64_t *block = g_queue_pop_tail(&cache->lru);
    g_hash_table_remove(cache->blocks, block);
    g_free(block);
}

// Makes a block the most recently used one; evicts the least recently used one
// if the cache is over its size.
static void
add_block(ps_prefix_cache_t *cache, uint64_t block)
{
    GList *link = g_hash_table_lookup(cache->blocks, &block);
    if (link) {
        g_queue_unlink(&cache->lru, link);
        g_queue_push_head_link(&cache->lru, link);
        return;
    }
    uint64_t *copy = g_memdup2(&block, sizeof block);
    g_queue_push_head(&cache->lru, copy);
    g_hash_table_insert(cache->blocks, copy, cache->lru.head);
    if (cache->lru.length > cache->max_blocks) {
        evict_least_recent(cache);
    }
}

/* ---- Public functions ------------------------------------------------- */

void
PsPrefixCache_Init(ps_prefix_cache_t *cache, uint32_t max_blocks)
{
    cache->blocks = g_hash_table_new(g_int64_hash, g_int64_equal);
    g_queue_init(&cache->lru);
    cache->max_blocks = max_blocks;
}

void
PsPrefixCache_Clear(ps_prefix_cache_t *cache)
{
    g_hash_table_remove_all(cache->blocks);
    g_queue_clear_full(&cache->lru, g_free);
}

void
PsPrefixCache_Finish(ps_prefix_cache_t *cache)
{
    PsPrefixCache_Clear(cache);
    g_hash_table_destroy(cache->blocks);
}

uint32_t
PsPrefixCache_GetCachedBlocks(const ps_prefix_cache_t *cache,
                              const ps_grant_request_t *request)
{
    uint32_t n = 0;
    while (n < request->n_blocks &&
           g_hash_table_contains(cache->blocks, &request->blocks[n])) {
        n++;
    }
    return n;
}

// Adds the blocks from the last to the first, so that the ends of prompts are
// evicted before their beginnings: a block counts as cached only if all blocks
// before it are.
void
PsPrefixCache_Add(ps_prefix_cache_t *cache, const ps_grant_request_t *request)
{
    for (uint32_t i = request->n_blocks; i-- > 0;) {
        add_block(cache, request->blocks[i]);
    }
}

void
PsPrefixCache_Remove(ps_prefix_cache_t *cache, uint64_t block)
{
    GList *link = g_hash_table_lookup(cache->blocks, &block);
    if (!link) {
        return;
    }
    uint64_t *copy = link->data;
    g_hash_table_remove(cache->blocks, &block);
    g_queue_delete_link(&cache->lru, link);
    g_free(copy);
}
