/*
 * owned_pools.h - The pools that this daemon owns.
 *
 * Claims pools without a live owner by a conditional write of the pool object,
 * runs their owners and ledger operations, and polls the load of their backend
 * servers.
 */
#ifndef PS_OWNED_POOLS_H
#define PS_OWNED_POOLS_H

#include "http_client.h"
#include "owner.h"
#include "peers.h"
#include "platform.h"

struct ps_daemon;

/**
 * struct ps_owned_pool - A pool owned by this daemon.
 */
typedef struct ps_owned_pool {
    struct ps_owned_pools *owned_pools;
    ps_owner_t owner;
    bool is_ledger_busy;  /* a ledger operation is in progress */
    bool is_stopped;      /* not owned any more; freed once not busy */
    GQueue polls;         /* reads of servers' load or streams in progress */
    int64_t last_poll_ms; /* last start of load reads */
    guint64 last_cache_seq[PS_POOL_SERVERS_MAX]; /* last cache event read */
} ps_owned_pool_t;

/**
 * struct ps_owned_pools - All pools owned by this daemon.
 */
typedef struct ps_owned_pools {
    struct ps_daemon *daemon;
    GHashTable *by_name;       /* ps_name_t to ps_owned_pool_t */
    GHashTable *unowned_since; /* pool's name to start, in ms, of its time
                                  without a live owner */
    GHashTable *claiming;      /* names of pools with a claim in progress */
    bool is_run_due;           /* a run is due before the loop waits */
} ps_owned_pools_t;

void PsOwnedPools_Init(ps_owned_pools_t *owned_pools,
                       struct ps_daemon *daemon);
void PsOwnedPools_Finish(ps_owned_pools_t *owned_pools);

/**
 * PsOwnedPools_Get() - Returns the owner of a pool; NULL: not owned here.
 */
ps_owner_t *PsOwnedPools_Get(const ps_owned_pools_t *owned_pools,
                             const ps_name_t *pool);

/**
 * PsOwnedPools_Configure() - Applies the current configuration to all owned
 * pools; a pool that it does not list is no longer owned.
 */
void PsOwnedPools_Configure(ps_owned_pools_t *owned_pools);

/**
 * PsOwnedPools_Run() - Runs all owned pools and claims those without a live
 * owner.
 */
void PsOwnedPools_Run(ps_owned_pools_t *owned_pools, int64_t now_ms);

/**
 * PsOwnedPools_RemoveMember() - Calls PsOwner_RemoveMember() for all owned
 * pools.
 */
void PsOwnedPools_RemoveMember(ps_owned_pools_t *owned_pools,
                               const ps_name_t *member, int64_t now_ms);

/**
 * PsOwnedPools_HandleFrame() - Handles a message from an entry to a pool's
 * owner.
 *
 * Return: false when the frame is of another kind.
 */
bool PsOwnedPools_HandleFrame(ps_owned_pools_t *owned_pools,
                              const ps_name_t *from, const Ps__Frame *frame,
                              int64_t now_ms);

#endif
