/* quota_pools.c - The token buckets of all teams at the allocator. */
#include "quota_pools.h"

/* ---- Internal functions ----------------------------------------------- */

static ps_quota_pool_t *
get_pool(ps_quota_pools_t *pools, const ps_name_t *team)
{
    ps_quota_pool_t *pool = g_hash_table_lookup(pools->pools, team);
    if (!pool) {
        pool = PsQuotaPool_New();
        g_hash_table_insert(pools->pools, g_memdup2(team, sizeof *team), pool);
    }
    return pool;
}

static void
remove_claims(ps_quota_pools_t *pools, const ps_quota_daemon_t *daemon,
              int64_t now_ms)
{
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, pools->pools);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        PsQuotaPool_RemoveDaemon(value, daemon, now_ms);
    }
}

/* ---- Public functions ------------------------------------------------- */

void
PsQuotaPools_Init(ps_quota_pools_t *pools)
{
    *pools = (ps_quota_pools_t){0};
    pools->daemons =
        g_hash_table_new_full(PsName_Hash, PsName_EqualKeys, NULL, g_free);
    pools->pools = g_hash_table_new_full(PsName_Hash, PsName_EqualKeys, g_free,
                                         PsQuotaPool_Free);
}

void
PsQuotaPools_Finish(ps_quota_pools_t *pools)
{
    g_hash_table_destroy(pools->pools);
    g_hash_table_destroy(pools->daemons);
}

void
PsQuotaPools_Reset(ps_quota_pools_t *pools, uint64_t epoch)
{
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, pools->pools);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        PsQuotaPool_Empty(value);
    }
    g_hash_table_remove_all(pools->daemons);
    pools->epoch = epoch;
}

void
PsQuotaPools_SetTerms(ps_quota_pools_t *pools, const ps_name_t *team,
                      const ps_quota_terms_t *terms)
{
    get_pool(pools, team)->terms = *terms;
}

void
PsQuotaPools_SetCredit(ps_quota_pools_t *pools, const ps_name_t *team,
                       double units)
{
    get_pool(pools, team)->credit = units;
}

ps_quota_daemon_t *
PsQuotaPools_HandleReport(ps_quota_pools_t *pools, const ps_name_t *name,
                          uint32_t join, int64_t now_ms)
{
    ps_quota_daemon_t *daemon = g_hash_table_lookup(pools->daemons, name);
    if (!daemon) {
        daemon = g_new0(ps_quota_daemon_t, 1);
        daemon->name = *name;
        daemon->join = join;
        g_hash_table_insert(pools->daemons, &daemon->name, daemon);
    }
    if (daemon->join != join) {
        remove_claims(pools, daemon, now_ms);
        daemon->join = join;
    }
    if (daemon->left_join == join) {
        return NULL;
    }
    daemon->heard_ms = now_ms;
    return daemon;
}

ps_quota_daemon_t *
PsQuotaPools_FindDaemon(const ps_quota_pools_t *pools, const ps_name_t *name)
{
    ps_quota_daemon_t *daemon = g_hash_table_lookup(pools->daemons, name);
    return daemon && daemon->left_join != daemon->join ? daemon : NULL;
}

void
PsQuotaPools_RemoveDaemon(ps_quota_pools_t *pools, const ps_name_t *name,
                          int64_t now_ms)
{
    ps_quota_daemon_t *daemon = g_hash_table_lookup(pools->daemons, name);
    if (daemon) {
        remove_claims(pools, daemon, now_ms);
        g_hash_table_remove(pools->daemons, name);
    }
}

void
PsQuotaPools_SetUse(ps_quota_pools_t *pools, ps_quota_daemon_t *daemon,
                    const ps_name_t *team, const ps_quota_use_t *use)
{
    PsQuotaPool_SetUse(get_pool(pools, team), daemon, use);
}

void
PsQuotaPools_Divide(ps_quota_pools_t *pools, int n_daemons, int64_t now_ms)
{
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, pools->pools);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        ps_quota_pool_t *pool = value;
        if (pool->terms.rate > 0) {
            PsQuotaPool_Divide(pool, n_daemons, now_ms);
        }
    }
}
