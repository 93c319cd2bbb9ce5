/*
 * daemon.h - A daemon: its components on one event loop.
 *
 * Every daemon accepts callers' requests as an entry, may own pools, and is a
 * member of the deployment. All components run in one thread.
 */
#ifndef PS_DAEMON_H
#define PS_DAEMON_H

#include <ev.h>

#include "admin.h"
#include "cluster_state.h"
#include "entry.h"
#include "frontend.h"
#include "http_client.h"
#include "membership.h"
#include "owned_pools.h"
#include "peers.h"
#include "platform.h"
#include "settings.h"

/**
 * enum ps_heartbeat_target - Receivers of a heartbeat.
 */
typedef enum ps_heartbeat_target {
    PS_HEARTBEAT_IN_USE, /* peers in use; detects silent ones */
    PS_HEARTBEAT_RANDOM, /* a few random members */
    PS_HEARTBEAT_ALL     /* all members, at once after a change */
} ps_heartbeat_target_t;

/**
 * struct ps_daemon - A daemon; its user owns the memory.
 */
typedef struct ps_daemon {
    ps_settings_t settings;
    struct ev_loop *loop;
    uint64_t incarnation;         /* start time, us; differs at each start */
    ps_http_client_t http_client; /* of the platform and the backend servers */
    ps_platform_t platform;
    ps_peers_t peers;
    ps_membership_t membership;
    ps_cluster_state_t cluster;
    ps_owned_pools_t owned_pools;
    ps_entry_t entry;
    ps_frontend_t frontend;
    ps_admin_t admin;
    ev_timer tick_timer; /* runs periodic work of entry, pools and shutdown */
    ev_timer heartbeat_timer;
    ev_timer progress_timer;    /* reports token counts to pools' owners */
    ev_prepare prepare_watcher; /* runs the owned pools if a run is due */
    ev_check check_watcher;     /* detects pauses of this process */
    ev_signal sigterm_watcher;
    ev_signal sigint_watcher;
    int64_t last_iteration_ms; /* start of the loop's last iteration */
    bool is_shutting_down;     /* graceful shutdown in progress */
    int64_t shutdown_started_ms;
    int64_t last_busy_ms; /* last time that the shutdown had to wait */
    uint64_t pauses;      /* detected pauses of this process */
} ps_daemon_t;

/**
 * PsDaemon_Init() - Listens on all addresses and starts all components.
 * @settings: copied
 *
 * Return: PS_OK or PS_UNAVAILABLE with the reason.
 */
ps_status_t PsDaemon_Init(ps_daemon_t *daemon, const ps_settings_t *settings);

/**
 * PsDaemon_Run() - Runs the loop until a graceful shutdown has ended.
 *
 * SIGTERM, SIGINT and the operators' drain call start the shutdown.
 */
void PsDaemon_Run(ps_daemon_t *daemon);
void PsDaemon_Finish(ps_daemon_t *daemon);

/**
 * PsDaemon_StartShutdown() - Starts the graceful shutdown.
 *
 * Announces to all members that this daemon is leaving. The loop stops when
 * no caller can hold a list of entries that names it, open requests have ended
 * and other members own its pools, or after the drain_ms setting. Calls after
 * the first have no effect.
 */
void PsDaemon_StartShutdown(ps_daemon_t *daemon);

/**
 * PsDaemon_RefusesRequests() - Tells whether new requests are refused.
 *
 * A daemon that is shutting down accepts requests while callers may still use
 * a list of entries that names it.
 */
bool PsDaemon_RefusesRequests(const ps_daemon_t *daemon);

/**
 * PsDaemon_GetMonotonicMs() - Returns the time of the monotonic clock in
 * milliseconds.
 */
int64_t PsDaemon_GetMonotonicMs(void);

/* Called by components to notify the others */
void PsDaemon_HandleConfigChange(ps_daemon_t *daemon);
void PsDaemon_HandleOwnerChange(ps_daemon_t *daemon, const ps_name_t *pool,
                                uint64_t epoch);
void PsDaemon_SendHeartbeat(ps_daemon_t *daemon, ps_heartbeat_target_t to);

#endif
