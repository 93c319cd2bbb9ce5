/* prefix_cache.c - A set of block hashes, least recently used evicted first.
 */
#include "prefix_cache.h"

/* ---- Internal functions ----------------------------------------------- */

static void
evict_last(ps_prefix_cache_t *prefix)
{
    uint64_t *block = g_queue_pop_tail(&prefix->lru);
    g_hash_table_remove(prefix->blocks, block);
    g_free(block);
}

static void
add_block(ps_prefix_cache_t *prefix, uint64_t block)
{
    GList *link = g_hash_table_lookup(prefix->blocks, &block);
    if (link) {
        g_queue_unlink(&prefix->lru, link);
        g_queue_push_head_link(&prefix->lru, link);
        return;
    }
    uint64_t *copy = g_memdup2(&block, sizeof block);
    g_queue_push_head(&prefix->lru, copy);
    g_hash_table_insert(prefix->blocks, copy, prefix->lru.head);
    if (prefix->lru.length > prefix->max_blocks) {
        evict_last(prefix);
    }
}

/* ---- Public functions ------------------------------------------------- */

void
PsPrefixCache_Init(ps_prefix_cache_t *prefix, uint32_t cap)
{
    prefix->blocks = g_hash_table_new(g_int64_hash, g_int64_equal);
    g_queue_init(&prefix->lru);
    prefix->max_blocks = cap;
}

void
PsPrefixCache_Clear(ps_prefix_cache_t *prefix)
{
    g_hash_table_remove_all(prefix->blocks);
    g_queue_clear_full(&prefix->lru, g_free);
}

void
PsPrefixCache_Finish(ps_prefix_cache_t *prefix)
{
    PsPrefixCache_Clear(prefix);
    g_hash_table_destroy(prefix->blocks);
}

uint32_t
PsPrefixCache_GetCachedBlocks(const ps_prefix_cache_t *prefix,
                              const ps_grant_request_t *ask)
{
    uint32_t n = 0;
    while (n < ask->n_blocks &&
           g_hash_table_contains(prefix->blocks, &ask->blocks[n])) {
        n++;
    }
    return n;
}

void
PsPrefixCache_Add(ps_prefix_cache_t *prefix, const ps_grant_request_t *ask)
{
    for (uint32_t i = ask->n_blocks; i-- > 0;) {
        add_block(prefix, ask->blocks[i]);
    }
}

void
PsPrefixCache_Remove(ps_prefix_cache_t *prefix, uint64_t block)
{
    GList *link = g_hash_table_lookup(prefix->blocks, &block);
    if (!link) {
        return;
    }
    uint64_t *copy = link->data;
    g_hash_table_remove(prefix->blocks, &block);
    g_queue_delete_link(&prefix->lru, link);
    g_free(copy);
}
