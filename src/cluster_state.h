/*
 * cluster_state.h - The deployment's configuration and pool owners.
 *
 * Both are listed from the platform at the start and kept current by a watch.
 * Peers and operators' edits may bring newer ones before the watch does, also
 * while the platform does not answer. An older version or epoch is never
 * applied.
 */
#ifndef PS_CLUSTER_STATE_H
#define PS_CLUSTER_STATE_H

#include <ev.h>

#include "config.h"
#include "platform.h"

#define PS_WATCHED_PREFIX "ps/"     /* platform keys that are watched */
#define PS_POOLS_PREFIX "ps/pools/" /* platform keys of pool owners */

struct ps_daemon;

/**
 * struct ps_owner_record - The known owner of a pool.
 */
typedef struct ps_owner_record {
    ps_name_t pool;
    ps_name_t owner; /* daemon's name */
    uint64_t epoch;
    uint64_t version; /* of the pool object; 0: learned from a peer */
} ps_owner_record_t;

/**
 * struct ps_cluster_state - A daemon's copy of the deployment's state.
 */
typedef struct ps_cluster_state {
    struct ps_daemon *daemon;
    ps_config_t config;    /* current one; version 0: none yet */
    GHashTable *owners;    /* pool's name to ps_owner_record_t */
    uint64_t seen_version; /* newest version listed or watched; the next watch
                              waits for later changes */
    bool must_list;        /* the next call is a list, not a watch */
    bool is_calling;       /* a platform call is in progress */
    ev_timer timer;        /* starts the next list or watch */
} ps_cluster_state_t;

void PsClusterState_Init(ps_cluster_state_t *cluster,
                         struct ps_daemon *daemon);
void PsClusterState_Finish(ps_cluster_state_t *cluster);

/**
 * PsClusterState_ApplyConfig() - Makes a configuration the current one if it
 * is newer.
 * @text: JSON text, copied
 * @version: version of the platform object
 * @source: where it came from, for the log
 *
 * Return: PS_OK, also when it is not newer; PS_INVALID when it has errors.
 */
ps_status_t PsClusterState_ApplyConfig(ps_cluster_state_t *cluster,
                                       ps_str_t text, uint64_t version,
                                       const char *source);

/**
 * PsClusterState_SetOwner() - Sets a pool's owner if its epoch is newer.
 * @version: version of the pool object; 0: learned from a peer
 *
 * For the known epoch it only records a newer version.
 */
void PsClusterState_SetOwner(ps_cluster_state_t *cluster,
                             const ps_name_t *pool, const ps_name_t *owner,
                             uint64_t epoch, uint64_t version);

/**
 * PsClusterState_FindOwner() - Returns the record of a pool's owner; NULL:
 * none known.
 */
const ps_owner_record_t *
PsClusterState_FindOwner(const ps_cluster_state_t *cluster,
                         const ps_name_t *pool);

/**
 * PsClusterState_HandlePoolObject() - Sets a pool's owner from its platform
 * object; a malformed one is logged and ignored.
 */
void PsClusterState_HandlePoolObject(ps_cluster_state_t *cluster,
                                     const ps_platform_object_t *object);

#endif
