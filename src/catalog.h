/*
 * catalog.h - Routes, services and teams of one configuration version.
 *
 * A route is chosen by host and longest path prefix; it leads to one service
 * or, by weight, to several. Teams are found by their API keys.
 */
#ifndef PS_CATALOG_H
#define PS_CATALOG_H

#include <glib.h>

#include "str.h"

#define PS_ROUTE_TARGETS_MAX 8 /* services that one route is split over */

/**
 * enum ps_retry_policy - What may be repeated of a request.
 */
typedef enum ps_retry_policy {
    PS_RETRY_NEVER,  /* runs once at most */
    PS_RETRY_ALWAYS, /* idempotent */
    PS_RETRY_RESUME  /* a stream that goes on after its last event */
} ps_retry_policy_t;

/**
 * struct ps_route_target - One service of a route.
 */
typedef struct ps_route_target {
    ps_name_t service;
    uint32_t weight;
} ps_route_target_t;

/**
 * struct ps_route - How requests of one host and path prefix are served.
 */
typedef struct ps_route {
    ps_name_t name;
    char *host;   /* lower case, without port */
    char *prefix; /* begins and ends with a slash */
    ps_route_target_t targets[PS_ROUTE_TARGETS_MAX];
    int n_targets;
    ps_retry_policy_t retry_policy;
    bool is_stream;
    bool is_generation;        /* prompts; served by model engines */
    bool is_public;            /* needs no API key */
    int attempts_max;          /* backend servers that may get one request */
    int tier;                  /* 0 is the highest */
    int64_t timeout_ms;        /* longest time for the whole answer */
    int64_t target_latency_ms; /* objective: whole answer, or a stream's first
                                  event */
} ps_route_t;

/**
 * struct ps_service - A pool of equal backend servers.
 */
typedef struct ps_service {
    ps_name_t name;
    bool is_engine;       /* model engines with batches */
    int tokens_per_event; /* of a stream; 0: not an engine */
} ps_service_t;

/**
 * struct ps_team - A team that shares the services.
 */
typedef struct ps_team {
    ps_name_t name;
    int tier;                /* -1: the route's */
    bool is_quota_in_tokens; /* quota counts tokens, not requests */
    double default_tokens;   /* counted for a request without token counts */
    double rate;             /* per second, over all daemons; 0: no quota */
    double burst;
} ps_team_t;

/**
 * struct ps_caller_limits - What callers may send, and how slowly.
 */
typedef struct ps_caller_limits {
    int64_t body_bytes;
    int64_t idle_ms;
} ps_caller_limits_t;

/**
 * struct ps_catalog - One version, whole; on the heap, shared by reference.
 */
typedef struct ps_catalog {
    uint64_t version;
    GPtrArray *routes;          /* ps_route_t */
    GPtrArray *services;        /* ps_service_t */
    GPtrArray *teams;           /* ps_team_t */
    GHashTable *routes_by_path; /* "host prefix" to ps_route_t */
    GHashTable *teams_by_key;   /* API key to ps_team_t */
    bool has_teams; /* requests need an API key unless the route is public */
    ps_caller_limits_t limits;
    int ref_count;
} ps_catalog_t;

ps_catalog_t *PsCatalog_New(uint64_t version); /* one reference */
ps_catalog_t *PsCatalog_Ref(ps_catalog_t *catalog);
void PsCatalog_Unref(ps_catalog_t *catalog); /* NULL is allowed */

/**
 * PsCatalog_AddRoute() - Adds a copy of a route.
 * @host: any case
 * @prefix: begins and ends with a slash
 *
 * Return: PS_OK's value 0, or -1 when host and prefix are taken already.
 */
int PsCatalog_AddRoute(ps_catalog_t *catalog, const ps_route_t *route,
                       const char *host, const char *prefix);
ps_service_t *PsCatalog_AddService(ps_catalog_t *catalog,
                                   const ps_service_t *service);
ps_team_t *PsCatalog_AddTeam(ps_catalog_t *catalog, const ps_team_t *team);
void PsCatalog_AddKey(ps_catalog_t *catalog, const char *key, ps_team_t *team);

/**
 * PsCatalog_FindRoute() - Finds the route with the longest matching prefix.
 * @host: as a caller sent it, with or without port
 * @path: without query
 *
 * Return: NULL when none matches.
 */
const ps_route_t *PsCatalog_FindRoute(const ps_catalog_t *catalog,
                                      const char *host, ps_str_t path);
const ps_team_t *PsCatalog_FindTeam(const ps_catalog_t *catalog,
                                    const char *key); /* or NULL */
/* or NULL */

/**
 * PsRoute_PickService() - Chooses a service of a route by weight.
 * @hash: of the request; the same hash gives the same service
 */
const ps_name_t *PsRoute_PickService(const ps_route_t *route, uint64_t hash);

#endif
