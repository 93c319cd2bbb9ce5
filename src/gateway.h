/*
 * gateway.h - A daemon in gateway mode.
 *
 * Takes callers' requests by host and path, places each on a backend server
 * of its route's service, and relays the answer. What must last lives in the
 * platform's store; a gateway keeps nothing. All parts run on one loop.
 */
#ifndef PS_GATEWAY_H
#define PS_GATEWAY_H

#include <ev.h>

#include "catalog.h"
#include "dialect.h"
#include "store_events.h"
#include "histogram.h"
#include "http_client.h"
#include "http_server.h"
#include "changes.h"
#include "quota.h"
#include "retry_budget.h"
#include "backend_registry.h"
#include "scheduler.h"
#include "sharing.h"
#include "settings.h"
#include "suspects.h"

struct ps_gateway;

/**
 * struct ps_dispatcher - One service: its scheduler and its retry budget.
 */
typedef struct ps_dispatcher {
    ps_name_t name;
    ps_scheduler_t scheduler;
    ps_retry_budget_t retry_budget;
    int tokens_per_event;
} ps_dispatcher_t;

/**
 * struct ps_gateway_stats - Counts and latencies since the start.
 */
typedef struct ps_gateway_stats {
    uint64_t requests;
    uint64_t answered; /* with a server's answer */
    uint64_t refused;  /* not run */
    uint64_t failed;   /* sent, without a server's answer */
    uint64_t
        caller_disconnects; /* callers that closed their connections before */
    uint64_t sends;
    uint64_t retries;
    ps_histogram_t wait_latency; /* from arrival to the first send */
    ps_histogram_t
        first_event_latency;      /* from arrival to a stream's first event */
    ps_histogram_t total_latency; /* from arrival to the end */
} ps_gateway_stats_t;

/**
 * struct ps_store_summary - What the allocator believes of the store.
 */
typedef struct ps_store_summary {
    uint64_t version;      /* of the configuration in force there */
    int64_t confirmed_ms;  /* it was the newest at that time, by this clock */
    uint64_t servers_hash; /* PsGateway_HashServers() there */
    uint64_t members_hash; /* PsGateway_HashMembers() there */
} ps_store_summary_t;

/**
 * enum ps_poll_rate - How often a daemon reads the store.
 */
typedef enum ps_poll_rate {
    PS_POLL_NORMAL, /* for itself */
    PS_POLL_FAST,   /* for all: it is the allocator */
    PS_POLL_SLOW    /* the allocator does it */
} ps_poll_rate_t;

/**
 * struct ps_store_ops - What a gateway asks of the store's client.
 * @remove_member: removes a dead daemon's registration
 * @keep_spent: keeps the record of the quotas' use
 * @read_now: reads at once what is asked for
 * @set_pace: sets how often they are read
 */
typedef struct ps_store_ops {
    void (*remove_member)(const struct ps_store_ops *store,
                          const ps_daemon_info_t *member);
    void (*save_quota_usage)(const struct ps_store_ops *store,
                             const ps_quota_usage_t *records, int n);
    void (*read_now)(const struct ps_store_ops *store, bool config,
                     bool servers, bool members);
    void (*set_poll_rate)(const struct ps_store_ops *store,
                          ps_poll_rate_t pace);
} ps_store_ops_t;

/**
 * struct ps_gateway - A gateway; memory of the caller.
 */
typedef struct ps_gateway {
    ps_settings_t settings;
    struct ev_loop *loop;
    const ps_dialect_t *dialect;
    ps_http_client_t http_client;
    ps_http_server_t caller_server;
    ps_http_server_t readiness_server; /* readiness */
    ps_http_server_t directory_server; /* addresses */
    ps_http_server_t metrics_server;
    ps_catalog_t *catalog;        /* NULL: none known yet */
    int64_t catalog_confirmed_ms; /* it was the newest at that time */
    ps_backend_registry_t backend_registry;
    GHashTable *dispatchers; /* service name to ps_dispatcher_t */
    GHashTable *quotas;      /* team name to ps_quota_t */
    ps_suspects_t suspects;
    ps_daemon_info_t self;
    GHashTable *members; /* name to ps_daemon_info_t; with this daemon */
    ps_sharing_t sharing;
    const ps_store_ops_t *store_ops; /* set before the loop runs */
    int64_t last_summary_ms;         /* last news from the allocator */
    int64_t mismatch_since_ms; /* since when the allocator knows other servers
                          or members; 0: it knows the same */
    int64_t
        mismatch_read_ms; /* the store was last read because of a difference */
    int64_t slow_poll_after_ms; /* it is read often until then */
    bool is_applying_change;    /* of the allocator; not told on */
    ps_changes_t changes;
    GQueue exchanges; /* ps_exchange_t in progress */
    ev_timer tick;
    int64_t started_ms;
    bool is_shutting_down;
    int64_t shutdown_started_ms;
    ps_gateway_stats_t stats;
} ps_gateway_t;

/**
 * PsGateway_Init() - Listens on all addresses.
 * @settings: copied
 * @dialect: kept
 *
 * Return: PS_OK or PS_UNAVAILABLE with the reason.
 */
ps_status_t PsGateway_Init(ps_gateway_t *gateway, struct ev_loop *loop,
                           const ps_settings_t *settings,
                           const ps_dialect_t *dialect,
                           const ps_http_server_events_t *check_events,
                           const ps_http_server_events_t *directory_events);
void PsGateway_Finish(ps_gateway_t *gateway);

const ps_store_events_t *
PsGateway_GetStoreEvents(void); /* @user: the gateway */

/**
 * PsGateway_StartShutdown() - Starts the graceful shutdown.
 */
void PsGateway_StartShutdown(ps_gateway_t *gateway);

/**
 * PsGateway_HasShutDown() - Tells whether the graceful shutdown has ended.
 */
bool PsGateway_HasShutDown(const ps_gateway_t *gateway);

/**
 * PsGateway_AcceptsRequests() - Tells whether there is time for new requests.
 *
 * Callers may send for a while on connections that they keep open.
 */
bool PsGateway_AcceptsRequests(const ps_gateway_t *gateway, int64_t now_ms);

/**
 * PsGateway_IsReady() - Tells whether callers should be sent here.
 */
bool PsGateway_IsReady(const ps_gateway_t *gateway);

/**
 * PsGateway_ListAddresses() - Lists callers' addresses, the given failure
 * domain's first.
 * @addresses: receives at most @max pointers, valid until members change
 */
int PsGateway_ListAddresses(const ps_gateway_t *gateway, const char *domain,
                            const ps_name_t **addresses, int max);

/* For the exchanges */
ps_dispatcher_t *PsGateway_GetDispatcher(ps_gateway_t *gateway,
                                         const ps_name_t *service);
ps_quota_t *PsGateway_GetQuota(ps_gateway_t *gateway, const ps_name_t *team);

/**
 * PsGateway_HashServers() - Names the set of known backend servers and their
 * states; the same for two daemons that know the same.
 */
uint64_t PsGateway_HashServers(const ps_gateway_t *gateway);

uint64_t PsGateway_HashMembers(const ps_gateway_t *gateway); /* likewise */

/**
 * PsGateway_HandleStoreSummary() - Takes in what the allocator believes of the
 * store, and reads it when that differs from what is believed here.
 */
void PsGateway_HandleStoreSummary(ps_gateway_t *gateway,
                                  const ps_store_summary_t *proof,
                                  int64_t now_ms);

/**
 * PsGateway_ApplyServerChange() - Takes in a change that the allocator has
 * read.
 *
 * It may be older than what is known here, so it never brings a server back.
 */
void PsGateway_ApplyServerChange(ps_gateway_t *gateway,
                                 const ps_registration_t *told, bool is_gone,
                                 int64_t now_ms);

/**
 * PsGateway_ApplyMemberChange() - The same for a daemon.
 */
void PsGateway_ApplyMemberChange(ps_gateway_t *gateway,
                                 const ps_daemon_info_t *info, bool is_gone);

/**
 * PsGateway_IsCatalogFresh() - Tells whether API keys may still be relied on.
 */
bool PsGateway_IsCatalogFresh(const ps_gateway_t *gateway, int64_t now_ms);

#endif
