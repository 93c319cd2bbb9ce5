/*
 * daemon.h - One daemon: its parts and how they are joined.
 *
 * Every daemon is an entry for callers, may own pools, and is a member of the
 * deployment. All parts run on one loop in one thread.
 */
#ifndef PS_DAEMON_H
#define PS_DAEMON_H

#include <ev.h>

#include "admin.h"
#include "entry.h"
#include "frontend.h"
#include "owned_pools.h"
#include "http_client.h"
#include "cluster_state.h"
#include "membership.h"
#include "peers.h"
#include "platform.h"
#include "settings.h"

/**
 * enum ps_heartbeat_target - Whom a heartbeat is sent to.
 */
typedef enum ps_heartbeat_target {
    PS_HEARTBEAT_IN_USE, /* peers in use; finds silent ones */
    PS_HEARTBEAT_RANDOM, /* a few members drawn at random */
    PS_HEARTBEAT_ALL     /* all members, with news */
} ps_heartbeat_target_t;

/**
 * struct ps_daemon - A daemon; memory of the caller.
 */
typedef struct ps_daemon {
    ps_settings_t settings;
    struct ev_loop *loop;
    uint64_t incarnation; /* differs at each start */
    ps_http_client_t client;
    ps_platform_t platform;
    ps_peers_t peers;
    ps_membership_t membership;
    ps_cluster_state_t cluster;
    ps_owned_pools_t owned_pools;
    ps_entry_t entry;
    ps_frontend_t frontend;
    ps_admin_t admin;
    ev_timer tick_timer;
    ev_timer heartbeat_timer;
    ev_timer progress_timer;
    ev_prepare prepare;
    ev_check check;
    ev_signal sigterm_watcher;
    ev_signal sigint_watcher;
    int64_t last_iteration_ms; /* last time the loop was seen to turn */
    bool is_shutting_down;     /* graceful shutdown in progress */
    int64_t shutdown_started_ms;
    int64_t last_busy_ms; /* last time that leaving had to wait */
    uint64_t pauses;      /* times this process was found paused */
} ps_daemon_t;

/**
 * PsDaemon_Init() - Listens on all addresses and starts all parts.
 * @settings: copied
 *
 * Return: PS_OK or PS_UNAVAILABLE with the reason.
 */
ps_status_t PsDaemon_Init(ps_daemon_t *daemon, const ps_settings_t *settings);

/**
 * PsDaemon_Run() - Runs until a graceful shutdown has ended.
 */
void PsDaemon_Run(ps_daemon_t *daemon);
void PsDaemon_Finish(ps_daemon_t *daemon);

/**
 * PsDaemon_StartShutdown() - Starts the graceful shutdown.
 */
void PsDaemon_StartShutdown(ps_daemon_t *daemon);

/**
 * PsDaemon_RefusesRequests() - Tells whether new requests are refused.
 *
 * A leaving daemon takes requests while callers may still hold a list of
 * entries that names it.
 */
bool PsDaemon_RefusesRequests(const ps_daemon_t *daemon);

/**
 * PsDaemon_Now() - Returns the monotonic clock in milliseconds.
 */
int64_t PsDaemon_Now(void);

/* Changes that one part tells the others */
void PsDaemon_HandleConfigChange(ps_daemon_t *daemon);
void PsDaemon_HandleOwnerChange(ps_daemon_t *daemon, const ps_name_t *pool,
                                uint64_t epoch);
void PsDaemon_SendHeartbeat(ps_daemon_t *daemon, ps_heartbeat_target_t to);

#endif
