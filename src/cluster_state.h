/*
 * cluster_state.h - Keeps configuration and pool owners current.
 *
 * Reads them from the platform, waits for changes with one watch, and takes a
 * newer configuration from a peer when the platform does not answer. Nothing
 * older than what is in force is ever applied.
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
 * struct ps_owner_record - Who owns a pool.
 */
typedef struct ps_owner_record {
    ps_name_t pool;
    ps_name_t owner; /* daemon's name */
    uint64_t epoch;
    uint64_t version; /* of the platform object; 0: not read */
} ps_owner_record_t;

/**
 * struct ps_cluster_state - What a daemon holds current.
 */
typedef struct ps_cluster_state {
    struct ps_daemon *daemon;
    ps_config_t config;    /* in force; version 0: none yet */
    GHashTable *owners;    /* pool's name to ps_owner_record_t */
    uint64_t seen_version; /* changes up to it are known */
    bool must_list;
    bool is_calling;
    ev_timer timer;
} ps_cluster_state_t;

void PsClusterState_Init(ps_cluster_state_t *keeper, struct ps_daemon *daemon);
void PsClusterState_Finish(ps_cluster_state_t *keeper);

/**
 * PsClusterState_ApplyConfig() - Puts a configuration in force if it is newer.
 * @source: where it came from, for the log
 *
 * Return: PS_OK when it is in force or older; PS_INVALID when it is refused.
 */
ps_status_t PsClusterState_ApplyConfig(ps_cluster_state_t *keeper,
                                       ps_str_t text, uint64_t version,
                                       const char *source);

/**
 * PsClusterState_SetOwner() - Notes a pool's owner if its epoch is newer.
 * @version: of the platform object; 0: learned from a peer
 */
void PsClusterState_SetOwner(ps_cluster_state_t *keeper, const ps_name_t *pool,
                             const ps_name_t *owner, uint64_t epoch,
                             uint64_t version);

/**
 * PsClusterState_GetOwner() - Returns what is known of a pool's owner, or
 * NULL.
 */
const ps_owner_record_t *
PsClusterState_GetOwner(const ps_cluster_state_t *keeper,
                        const ps_name_t *pool);

/**
 * PsClusterState_HandlePoolObject() - Takes a pool object of the platform in.
 */
void PsClusterState_HandlePoolObject(ps_cluster_state_t *keeper,
                                     const ps_platform_object_t *object);

#endif
