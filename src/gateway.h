/*
 * gateway.h - A daemon in gateway mode.
 *
 * Accepts callers' requests, finds their routes by host and path, sends each
 * to a backend server of its route's service and relays the response. A
 * gateway writes nothing to disk: durable state is in the platform's store.
 * Everything runs on one event loop.
 */
#ifndef PS_GATEWAY_H
#define PS_GATEWAY_H

#include <ev.h>

#include "address_choice.h"
#include "answer.h"
#include "backend_registry.h"
#include "catalog.h"
#include "changes.h"
#include "mark_crashes.h"
#include "dialect.h"
#include "fleet_waits.h"
#include "forward_server.h"
#include "forwarders.h"
#include "histogram.h"
#include "http_client.h"
#include "http_server.h"
#include "memory_budget.h"
#include "overcommit.h"
#include "quota.h"
#include "reach_checks.h"
#include "recent_members.h"
#include "retry_budget.h"
#include "rollout_rounds.h"
#include "scheduler.h"
#include "settings.h"
#include "sharing.h"
#include "store_events.h"
#include "stream_origins.h"
#include "version_history.h"

struct ps_gateway;

/**
 * struct ps_dispatcher - Scheduler and retry budget of one service.
 */
typedef struct ps_dispatcher {
    ps_name_t name;
    ps_scheduler_t scheduler;
    ps_retry_budget_t retry_budget;
    bool is_brittle; /* as the allocator: a server has told any daemon so */
    ps_overcommit_t overcommit;   /* of plain servers, as the allocator */
    ps_fleet_waits_t fleet_waits; /* as the allocator */
    ps_rank_wait_t waits[PS_RANKS_MAX]; /* for the grants of this round */
    int n_waits;
    int n_ended; /* requests that have ended at servers, by the reports since
                    the last round */
    ps_rollout_round_t *rollout; /* the service's order; NULL: none */
    int tokens_per_event;        /* output tokens in an event of a stream */
} ps_dispatcher_t;

/**
 * struct ps_gateway_stats - Counts and latencies since the start.
 */
typedef struct ps_gateway_stats {
    uint64_t requests;
    uint64_t answered;           /* a backend server's response was relayed */
    uint64_t refused;            /* refused without having run */
    uint64_t failed;             /* sent, but no usable response came back */
    uint64_t caller_disconnects; /* before their response was complete */
    uint64_t sends;              /* attempts, first ones and retries */
    uint64_t forwarded;          /* attempts by way of another daemon */
    uint64_t retries;
    uint64_t refused_retries;  /* over the retry budget */
    uint64_t lost_connections; /* before the end of a response */
    uint64_t banned_requests;  /* refused for their marks' crashes */
    uint64_t quota_asks;       /* requests whose quota the allocator was
                                  asked about */
    uint64_t quota_refusals;   /* requests that exceeded a quota */
    uint64_t quota_unknown;    /* requests refused as it isn't known whether
                                  they exceed one */
    uint64_t taken_up_streams; /* resumed by their callers */
    uint64_t unknown_origins;  /* of these, refused as it isn't known which
                                  version began them */
    uint64_t pauses;           /* of reading from servers */
    uint64_t cuts[PS_ANSWER_CUTS];      /* answers that broke off, by reason */
    ps_histogram_t wait_latency;        /* arrival to first send */
    ps_histogram_t first_event_latency; /* arrival to a stream's first event */
    ps_histogram_t total_latency;       /* arrival to the end */
} ps_gateway_stats_t;

/**
 * struct ps_store_summary - What the allocator last read from the store.
 *
 * Sent with each grant, so that other daemons can poll the store less often.
 */
typedef struct ps_store_summary {
    uint64_t version;      /* of the allocator's configuration */
    int64_t confirmed_ms;  /* when the allocator last knew it to be the newest,
                              on this daemon's clock */
    uint64_t servers_hash; /* the allocator's PsGateway_HashServers() */
    uint64_t members_hash; /* the allocator's PsGateway_HashMembers() */
    uint64_t
        store_era; /* of the store as the allocator reads it; 0: unknown */
} ps_store_summary_t;

/**
 * enum ps_poll_rate - How often a daemon polls the store.
 */
typedef enum ps_poll_rate {
    PS_POLL_NORMAL, /* it depends on its own reads alone */
    PS_POLL_FAST,   /* it is the allocator and reads for all daemons */
    PS_POLL_SLOW    /* the allocator's summaries and changes reach it */
} ps_poll_rate_t;

/**
 * struct ps_store_ops - Operations of the store's client.
 * @remove_member: removes a dead daemon's registration
 * @write_member: replaces another daemon's registration unless it has changed
 * @save_state: starts a write of the allocator's state; false if it can't yet
 * @forget_server: has the next list report a server that another daemon has
 *                 reported as removed, if it is registered
 * @read_now: lists the given kinds of objects as soon as possible
 * @set_poll_rate: sets how often the store is polled
 * @read_origins: reads the origins of streams
 * @write_origins: writes a slot of them
 * @get_era: returns a number that rises when the store is restored from an
 *           older copy; 0: not known
 * @write_rollout_status: writes an order's status unless the order has changed
 * @read_rollout_record: reads the record of a service's order
 * @write_rollout_record: adds the record if its revision is 0, or replaces the
 *                        one of its revision
 */
typedef struct ps_store_ops {
    void (*remove_member)(const struct ps_store_ops *ops,
                          const ps_daemon_info_t *member);
    void (*write_member)(const struct ps_store_ops *ops,
                         const ps_daemon_info_t *member);
    bool (*save_state)(const struct ps_store_ops *ops,
                       const ps_stored_state_t *state);
    void (*forget_server)(const struct ps_store_ops *ops,
                          const ps_name_t *name);
    void (*read_now)(const struct ps_store_ops *ops, bool config, bool servers,
                     bool members);
    void (*set_poll_rate)(const struct ps_store_ops *ops, ps_poll_rate_t rate);
    void (*read_origins)(const struct ps_store_ops *ops);
    void (*write_origins)(const struct ps_store_ops *ops,
                          const ps_origin_slot_t *slot);
    uint64_t (*get_era)(const struct ps_store_ops *ops);
    void (*write_rollout_status)(const struct ps_store_ops *ops,
                                 const ps_rollout_object_t *object);
    void (*read_rollout_record)(const struct ps_store_ops *ops,
                                const ps_name_t *service);
    void (*write_rollout_record)(const struct ps_store_ops *ops,
                                 const ps_rollout_record_t *record);
} ps_store_ops_t;

/**
 * struct ps_gateway - A gateway; allocated by its user.
 */
typedef struct ps_gateway {
    ps_settings_t settings;
    struct ev_loop *loop;
    const ps_dialect_t *dialect;
    ps_memory_budget_t memory; /* of callers' and other daemons' requests */
    int memory_level;          /* as logged last */
    int64_t memory_logged_ms;
    int64_t memory_trim_ms; /* free memory is not returned before */
    bool must_trim_again;
    ps_http_client_t http_client;
    ps_http_server_t caller_server;
    ps_http_server_t readiness_server;
    ps_http_server_t directory_server; /* lists daemons' addresses */
    ps_http_server_t metrics_server;
    ps_catalog_t *catalog;        /* NULL until one was read */
    int64_t catalog_confirmed_ms; /* when it was known to be the newest */
    ps_backend_registry_t backend_registry;
    GHashTable *dispatchers; /* service name to ps_dispatcher_t */
    GHashTable *quotas;      /* team name to ps_quota_t */
    ps_mark_crashes_t mark_crashes;
    ps_reach_checks_t reach_checks;
    ps_forwarders_t forwarders;         /* daemons that can carry requests */
    ps_forward_server_t forward_server; /* carries those of others */
    ps_stream_origins_t stream_origins;
    ps_version_history_t version_history;
    ps_origin_log_t origin_log; /* used while this daemon is the allocator */
    int n_mixed_services;       /* versions of services with several, of whose
                                   streams the allocator was told */
    bool must_read_origins;     /* those of before this daemon's start */
    ps_daemon_info_t self;
    GHashTable *members; /* name to ps_daemon_info_t, this daemon included */
    ps_recent_members_t recent_members; /* that left */
    bool has_listed_members;            /* @members was read from the store */
    ps_sharing_t sharing;
    const ps_store_ops_t *store_ops; /* set by the user before the loop runs */
    int64_t last_summary_ms;         /* when the allocator's last one came */
    int64_t mismatch_since_ms;    /* when a summary first had other servers or
                                     members than known here; 0: they match */
    int64_t last_summary_read_ms; /* when a summary last caused a read */
    int64_t slow_poll_after_ms;   /* the store is not polled slowly before */
    bool is_applying_change;      /* a change from the allocator is being
                                     applied; it is not forwarded */
    ps_changes_t changes;
    GQueue exchanges; /* ps_exchange_t in progress */
    ev_timer tick;
    int64_t last_tick_ms; /* 0: none yet */
    int64_t started_ms;
    bool is_shutting_down;
    int64_t shutdown_started_ms;
    bool has_stopped_requests;          /* the grace period is nearly over */
    ps_deadlines_seen_t deadlines_seen; /* by the callers of each route */
    ps_gateway_stats_t stats;
} ps_gateway_t;

/**
 * PsGateway_Init() - Starts listening on all addresses.
 * @settings: copied
 * @dialect: must outlive the gateway
 * @readiness_events: handle requests to the readiness address
 * @directory_events: handle requests to the directory address
 *
 * Return: PS_OK, or PS_UNAVAILABLE with the reason in PsStatus_LastMessage().
 */
ps_status_t PsGateway_Init(ps_gateway_t *gateway, struct ev_loop *loop,
                           const ps_settings_t *settings,
                           const ps_dialect_t *dialect,
                           const ps_http_server_events_t *readiness_events,
                           const ps_http_server_events_t *directory_events);
void PsGateway_Finish(ps_gateway_t *gateway);

/**
 * PsGateway_GetStoreEvents() - Returns the handlers for the store's events.
 *
 * Their user pointer is the gateway.
 */
const ps_store_events_t *PsGateway_GetStoreEvents(void);

/**
 * PsGateway_StartShutdown() - Starts the graceful shutdown.
 *
 * It lasts at most the grace period of the settings. New requests are accepted
 * for the first part of it. Those that have not ended shortly before its end
 * are stopped, and their callers told.
 */
void PsGateway_StartShutdown(ps_gateway_t *gateway);

/**
 * PsGateway_HasShutDown() - Tells whether the process may end now.
 */
bool PsGateway_HasShutDown(const ps_gateway_t *gateway);

/**
 * PsGateway_AcceptsRequests() - Tells whether new requests are accepted.
 *
 * They still are in the first part of a shutdown, because callers go on
 * sending on connections that they keep open.
 */
bool PsGateway_AcceptsRequests(const ps_gateway_t *gateway, int64_t now_ms);

/**
 * PsGateway_IsReady() - Tells whether callers should be directed here.
 *
 * A gateway is ready unless it is shutting down, has no configuration, or has
 * not confirmed recently that its configuration is the newest.
 */
bool PsGateway_IsReady(const ps_gateway_t *gateway);

/**
 * PsGateway_ListAddresses() - Lists the addresses for callers of the daemons
 * that are available: this one if it is ready, others if they are not silent.
 * Those that are cut off from a service's servers are left out unless all are.
 * With the setting address_sample a caller gets so many, by what daemons can
 * carry.
 * @domain: failure domain whose daemons come first; may be NULL
 * @caller: hash that identifies the caller
 * @addresses: receives at most @max pointers, valid until members change
 *
 * Return: number of addresses.
 */
int PsGateway_ListAddresses(const ps_gateway_t *gateway, const char *domain,
                            uint64_t caller, const ps_name_t **addresses,
                            int max);

/**
 * PsGateway_FindDispatcher() - Returns a service's dispatcher, or NULL if it
 * has none yet. Owned by the gateway.
 */
ps_dispatcher_t *PsGateway_FindDispatcher(const ps_gateway_t *gateway,
                                          const ps_name_t *service);

/**
 * PsGateway_GetDispatcher() - Returns a service's dispatcher, made at first
 * use; never NULL. Owned by the gateway.
 */
ps_dispatcher_t *PsGateway_GetDispatcher(ps_gateway_t *gateway,
                                         const ps_name_t *service);

/**
 * PsGateway_ForEachBackend() - Calls a function for each backend server of all
 * services.
 * @visit: must not add or remove servers; called with @user
 */
void PsGateway_ForEachBackend(const ps_gateway_t *gateway,
                              void (*visit)(void *user, ps_backend_t *backend),
                              void *user);

/**
 * PsGateway_ListOthers() - Lists the names of the other members that are not
 * silent.
 *
 * Return: array of ps_name_t pointers, valid until members change; to be
 * released with g_ptr_array_unref().
 */
GPtrArray *PsGateway_ListOthers(const ps_gateway_t *gateway);

/**
 * PsGateway_GetQuota() - Returns a team's quota, made at first use; never
 * NULL. Owned by the gateway.
 */
ps_quota_t *PsGateway_GetQuota(ps_gateway_t *gateway, const ps_name_t *team);

/**
 * PsGateway_CountQuotaDaemons() - Counts the daemons that quotas are divided
 * among: the members, and those that have left within the quotas' window.
 */
int PsGateway_CountQuotaDaemons(ps_gateway_t *gateway, int64_t now_ms);

/**
 * PsGateway_GetRolloutContext() - Returns what roll-outs need of this daemon,
 * without the number of daemons.
 */
ps_rollout_context_t PsGateway_GetRolloutContext(ps_gateway_t *gateway);

/**
 * PsGateway_LogServerLimit() - Logs a limit that was learned, has changed or
 * has ended.
 * @from: where it was learned: this daemon, or a peer that reported it
 */
void PsGateway_LogServerLimit(const ps_backend_t *backend, const char *from,
                              int64_t now_ms);

/**
 * PsGateway_MarkServerLeaving() - Sends a server no new requests until it has
 * started again, as it has said in a response that it leaves.
 * @server: the start of it that said so
 * @from: where it was learned: this daemon, or a peer that reported it
 */
void PsGateway_MarkServerLeaving(ps_gateway_t *gateway,
                                 const ps_registration_t *server,
                                 const char *from, int64_t now_ms);

/**
 * PsGateway_HashServers() - Hashes names, start times and states of the known
 * backend servers.
 *
 * Two daemons that know the same servers get the same hash.
 */
uint64_t PsGateway_HashServers(const ps_gateway_t *gateway);

/**
 * PsGateway_HashMembers() - Hashes the names of the known daemons.
 */
uint64_t PsGateway_HashMembers(const ps_gateway_t *gateway);

/**
 * PsGateway_HandleStoreSummary() - Compares the allocator's view of the store
 * with this daemon's own.
 *
 * Reads the store when the allocator has a newer configuration, or when
 * servers or members have differed for longer than a change takes to arrive.
 */
void PsGateway_HandleStoreSummary(ps_gateway_t *gateway,
                                  const ps_store_summary_t *summary,
                                  int64_t now_ms);

/**
 * PsGateway_ApplyServerChange() - Applies a change of a backend server that
 * the allocator has read from the store.
 *
 * The change may be older than what is known here. So it never replaces a
 * server's known start by another one, nor brings back a removed one.
 */
void PsGateway_ApplyServerChange(ps_gateway_t *gateway,
                                 const ps_registration_t *registration,
                                 bool is_removed, int64_t now_ms);

/**
 * PsGateway_ApplyMemberChange() - Applies a change of a daemon that the
 * allocator has read from the store.
 *
 * A removal counts only for the start of the daemon that it names, and a
 * registration only when it is of a newer start than the known one.
 */
void PsGateway_ApplyMemberChange(ps_gateway_t *gateway,
                                 const ps_daemon_info_t *info,
                                 bool is_removed);

/**
 * PsGateway_IsCatalogFresh() - Tells whether the configuration was confirmed
 * recently enough to rely on its API keys.
 *
 * A key that was removed from the configuration must be refused within the
 * setting revoke_ms.
 */
bool PsGateway_IsCatalogFresh(const ps_gateway_t *gateway, int64_t now_ms);

#endif
