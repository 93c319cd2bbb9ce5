/*
 * owned_pools.h - The pools that this daemon owns.
 *
 * Claims pools without a live owner by conditional update of the pool object,
 * carries out their ledgers' operations, and reads their servers' load.
 */
#ifndef PS_OWNED_POOLS_H
#define PS_OWNED_POOLS_H

#include "http_client.h"
#include "owner.h"
#include "peers.h"
#include "platform.h"

struct ps_daemon;

/**
 * struct ps_owned_pool - One owned pool.
 */
typedef struct ps_owned_pool {
    struct ps_owned_pools *owned_pools;
    ps_owner_t owner;
    bool is_ledger_busy;
    bool is_stopped; /* retired; freed when its calls have ended */
    GQueue polls;    /* load reads in progress */
    int64_t polled_ms;
    guint64 last_cache_seq[PS_POOL_SERVERS_MAX]; /* cache events known */
} ps_owned_pool_t;

/**
 * struct ps_owned_pools - All owned pools of a daemon.
 */
typedef struct ps_owned_pools {
    struct ps_daemon *daemon;
    GHashTable *by_name; /* ps_name_t to ps_owned_pool_t */
    GHashTable
        *unowned_since;   /* pool's name to time when first seen unowned */
    GHashTable *claiming; /* names of pools with a claim in progress */
    bool is_dirty;        /* something has come in since the last run */
} ps_owned_pools_t;

void PsOwnedPools_Init(ps_owned_pools_t *hosting, struct ps_daemon *daemon);
void PsOwnedPools_Finish(ps_owned_pools_t *hosting);

/**
 * PsOwnedPools_Get() - Returns the owner of a pool, or NULL when not here.
 */
ps_owner_t *PsOwnedPools_Get(const ps_owned_pools_t *hosting,
                             const ps_name_t *pool);

/**
 * PsOwnedPools_Configure() - Applies the configuration in force.
 */
void PsOwnedPools_Configure(ps_owned_pools_t *hosting);

/**
 * PsOwnedPools_Run() - Decides for all owned pools and claims unowned ones.
 */
void PsOwnedPools_Run(ps_owned_pools_t *hosting, int64_t now_ms);

/**
 * PsOwnedPools_RemoveMember() - Tells all owners that a member is not live.
 */
void PsOwnedPools_RemoveMember(ps_owned_pools_t *hosting,
                               const ps_name_t *member, int64_t now_ms);

/**
 * PsOwnedPools_HandleFrame() - Takes a message for an owner.
 *
 * Return: false when the frame is not for an owner.
 */
bool PsOwnedPools_HandleFrame(ps_owned_pools_t *hosting, const ps_name_t *from,
                              const Ps__Frame *frame, int64_t now_ms);

#endif
