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
#include "feed.h"
#include "histogram.h"
#include "http_client.h"
#include "http_server.h"
#include "news.h"
#include "quota.h"
#include "retry_budget.h"
#include "roster.h"
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
    ps_retry_budget_t retries;
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
    uint64_t left;     /* callers that closed their connections before */
    uint64_t sends;
    uint64_t repeats;
    ps_histogram_t waits;  /* from arrival to the first send */
    ps_histogram_t firsts; /* from arrival to a stream's first event */
    ps_histogram_t totals; /* from arrival to the end */
} ps_gateway_stats_t;

/**
 * struct ps_proof - What the allocator believes of the store.
 */
typedef struct ps_proof {
    uint64_t version;      /* of the configuration in force there */
    int64_t proven_ms;     /* it was the newest at that time, by this clock */
    uint64_t servers_hash; /* PsGateway_HashServers() there */
    uint64_t members_hash; /* PsGateway_HashMembers() there */
} ps_proof_t;

/**
 * enum ps_read_pace - How often a daemon reads the store.
 */
typedef enum ps_read_pace {
    PS_READ_USUAL, /* for itself */
    PS_READ_OFTEN, /* for all: it is the allocator */
    PS_READ_RARELY /* the allocator does it */
} ps_read_pace_t;

/**
 * struct ps_gateway_store - What a gateway asks of the store's client.
 * @remove_member: removes a dead daemon's registration
 * @keep_spent: keeps the record of the quotas' use
 * @read_now: reads at once what is asked for
 * @set_pace: sets how often they are read
 */
typedef struct ps_gateway_store {
    void (*remove_member)(const struct ps_gateway_store *store,
                          const ps_daemon_info_t *member);
    void (*keep_spent)(const struct ps_gateway_store *store,
                       const ps_spent_record_t *records, int n);
    void (*read_now)(const struct ps_gateway_store *store, bool config,
                     bool servers, bool members);
    void (*set_pace)(const struct ps_gateway_store *store,
                     ps_read_pace_t pace);
} ps_gateway_store_t;

/**
 * struct ps_gateway - A gateway; memory of the caller.
 */
typedef struct ps_gateway {
    ps_settings_t settings;
    struct ev_loop *loop;
    const ps_dialect_t *dialect;
    ps_http_client_t client;
    ps_http_server_t callers;
    ps_http_server_t checks;    /* readiness */
    ps_http_server_t directory; /* addresses */
    ps_http_server_t metrics;
    ps_catalog_t *catalog;     /* NULL: none known yet */
    int64_t catalog_proven_ms; /* it was the newest at that time */
    ps_backend_registry_t roster;
    GHashTable *dispatchers; /* service name to ps_dispatcher_t */
    GHashTable *quotas;      /* team name to ps_quota_t */
    ps_suspects_t suspects;
    ps_daemon_info_t self;
    GHashTable *members; /* name to ps_daemon_info_t; with this daemon */
    ps_sharing_t sharing;
    const ps_gateway_store_t *store; /* set before the loop runs */
    int64_t news_ms;                 /* last news from the allocator */
    int64_t differ_ms; /* since when the allocator knows other servers or
                          members; 0: it knows the same */
    int64_t read_ms;   /* the store was last read because of a difference */
    int64_t watchful_until_ms; /* it is read often until then */
    bool is_applying_news;     /* of the allocator; not told on */
    ps_news_t news;
    GQueue exchanges; /* ps_exchange_t in progress */
    ev_timer tick;
    int64_t started_ms;
    bool is_leaving;
    int64_t leaving_ms;
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

const ps_feed_events_t *PsGateway_GetFeedEvents(void); /* @user: the gateway */

/**
 * PsGateway_Leave() - Starts the graceful shutdown.
 */
void PsGateway_Leave(ps_gateway_t *gateway);

/**
 * PsGateway_HasLeft() - Tells whether the graceful shutdown has ended.
 */
bool PsGateway_HasLeft(const ps_gateway_t *gateway);

/**
 * PsGateway_TakesRequests() - Tells whether there is time for new requests.
 *
 * Callers may send for a while on connections that they keep open.
 */
bool PsGateway_TakesRequests(const ps_gateway_t *gateway, int64_t now_ms);

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
 * PsGateway_TakeProof() - Takes in what the allocator believes of the store,
 * and reads it when that differs from what is believed here.
 */
void PsGateway_TakeProof(ps_gateway_t *gateway, const ps_proof_t *proof,
                         int64_t now_ms);

/**
 * PsGateway_TakeServerNews() - Takes in a change that the allocator has read.
 *
 * It may be older than what is known here, so it never brings a server back.
 */
void PsGateway_TakeServerNews(ps_gateway_t *gateway,
                              const ps_registration_t *told, bool is_gone,
                              int64_t now_ms);

/**
 * PsGateway_TakeMemberNews() - The same for a daemon.
 */
void PsGateway_TakeMemberNews(ps_gateway_t *gateway,
                              const ps_daemon_info_t *info, bool is_gone);

/**
 * PsGateway_IsProven() - Tells whether API keys may still be relied on.
 */
bool PsGateway_IsProven(const ps_gateway_t *gateway, int64_t now_ms);

#endif
