/*
 * catalog.h - Routes, services and teams of one configuration version.
 *
 * A request's route is the one of its host with the longest path prefix that
 * matches. A route leads to one service or is split over several by weight.
 * Teams are found by their API keys.
 */
#ifndef PS_CATALOG_H
#define PS_CATALOG_H

#include <glib.h>

#include "str.h"

#define PS_ROUTE_TARGETS_MAX 8 /* services of one route */

/**
 * enum ps_retry_policy - Whether a request that may have run is retried.
 */
typedef enum ps_retry_policy {
    PS_RETRY_NEVER,  /* no: it runs at most once */
    PS_RETRY_ALWAYS, /* yes: it is idempotent */
    PS_RETRY_RESUME  /* yes: the stream resumes after the last event relayed */
} ps_retry_policy_t;

/**
 * struct ps_route_target - One service of a route.
 */
typedef struct ps_route_target {
    ps_name_t service;
    uint32_t weight;
} ps_route_target_t;

/**
 * struct ps_route - How requests for a host and path prefix are served.
 */
typedef struct ps_route {
    ps_name_t name;
    char *host;   /* lower case, without port */
    char *prefix; /* begins and ends with a slash */
    ps_route_target_t targets[PS_ROUTE_TARGETS_MAX];
    int n_targets;
    ps_retry_policy_t retry_policy;
    bool is_stream;
    bool is_generation; /* prompts for model engines, sent where parts of them
                           are cached */
    bool is_public;     /* needs no API key */
    int attempts_max;   /* backend servers that one request may be sent to */
    int tier;           /* 0 is the highest */
    int64_t timeout_ms; /* for the whole response; 0: not set */
    int64_t target_latency_ms; /* for the whole response, or for a stream's
                                  first event; 0: not set */
    int64_t gap_target_ms; /* longest pause between events of a stream; 0: not
                              set */
} ps_route_t;

/**
 * struct ps_service - A set of interchangeable backend servers.
 */
typedef struct ps_service {
    ps_name_t name;
    ps_name_t check_path; /* of status checks; empty: none */
    bool is_engine;       /* model engines that run requests in batches */
    int tokens_per_event; /* output tokens in a stream's event; 0: not known */
} ps_service_t;

/**
 * struct ps_team - A team of callers, with its priority and quota.
 */
typedef struct ps_team {
    ps_name_t name;
    int tier;                /* ranks before the route's; -1: none */
    bool is_quota_in_tokens; /* the quota's unit: tokens or requests */
    double default_tokens;   /* charged for a request without token counts */
    double rate;  /* units per second over all daemons; 0: no quota */
    double burst; /* units in any quota window beyond the rate */
} ps_team_t;

/**
 * struct ps_caller_limits - Limits on callers' requests and connections.
 */
typedef struct ps_caller_limits {
    int64_t body_bytes; /* largest request body; 0: not set */
    int64_t idle_ms;    /* idle time until a connection is closed */
} ps_caller_limits_t;

/**
 * struct ps_catalog - One configuration version; reference counted.
 *
 * Requests in progress keep the version that was in force at their arrival.
 */
typedef struct ps_catalog {
    uint64_t version;
    GPtrArray *routes;          /* ps_route_t */
    GPtrArray *services;        /* ps_service_t */
    GPtrArray *teams;           /* ps_team_t */
    GHashTable *routes_by_path; /* host, space and prefix to ps_route_t */
    GHashTable *teams_by_key;   /* API key to ps_team_t */
    bool has_teams; /* requests need an API key unless the route is public */
    ps_caller_limits_t limits;
    int ref_count;
} ps_catalog_t;

/**
 * PsCatalog_New() - Creates an empty catalog.
 *
 * Return: the catalog with one reference; drop it with PsCatalog_Unref().
 */
ps_catalog_t *PsCatalog_New(uint64_t version);
ps_catalog_t *PsCatalog_Ref(ps_catalog_t *catalog);

/**
 * PsCatalog_Unref() - Drops a reference; the last one frees the catalog.
 * @catalog: may be NULL
 */
void PsCatalog_Unref(ps_catalog_t *catalog);

/**
 * PsCatalog_AddRoute() - Adds a copy of a route.
 * @route: copied; its host and prefix are ignored
 * @host: in any case, with or without port
 * @prefix: begins and ends with a slash; one that does not end with one is
 *          accepted but never matches
 *
 * Return: 0, or -1 if there already is a route with this host and prefix.
 */
int PsCatalog_AddRoute(ps_catalog_t *catalog, const ps_route_t *route,
                       const char *host, const char *prefix);

/**
 * PsCatalog_AddService() - Adds a copy of a service.
 *
 * Return: the copy, owned by the catalog.
 */
ps_service_t *PsCatalog_AddService(ps_catalog_t *catalog,
                                   const ps_service_t *service);

/**
 * PsCatalog_AddTeam() - Adds a copy of a team.
 *
 * Return: the copy, owned by the catalog.
 */
ps_team_t *PsCatalog_AddTeam(ps_catalog_t *catalog, const ps_team_t *team);

/**
 * PsCatalog_AddKey() - Adds an API key of a team.
 * @key: copied; a key that is known already passes to this team
 * @team: one that PsCatalog_AddTeam() returned
 */
void PsCatalog_AddKey(ps_catalog_t *catalog, const char *key, ps_team_t *team);

/**
 * PsCatalog_FindRoute() - Finds the route with the longest matching prefix.
 * @host: in any case, with or without port
 * @path: without query
 *
 * Return: NULL if no route matches.
 */
const ps_route_t *PsCatalog_FindRoute(const ps_catalog_t *catalog,
                                      const char *host, ps_str_t path);

/**
 * PsCatalog_FindTeam() - Finds the team that an API key belongs to.
 *
 * Return: NULL if the key is unknown.
 */
const ps_team_t *PsCatalog_FindTeam(const ps_catalog_t *catalog,
                                    const char *key);

/**
 * PsRoute_PickService() - Picks one of a route's services by weight.
 * @hash: of the request; the same hash gives the same service
 *
 * Return: the service's name, owned by the route.
 */
const ps_name_t *PsRoute_PickService(const ps_route_t *route, uint64_t hash);

#endif
