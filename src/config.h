/*
 * config.h - The configuration that operators edit.
 *
 * It is one JSON object in the platform: tiers, teams, pools with their
 * backend servers, and ordered rules. A configuration that has any error is
 * refused whole. A parsed one never changes; a new version is parsed into
 * another ps_config_t.
 */
#ifndef PS_CONFIG_H
#define PS_CONFIG_H

#include <jansson.h>

#include "rules.h"
#include "status.h"
#include "str.h"

#define PS_TIERS_MAX 8            /* tiers 0 (highest) to 7 */
#define PS_POOL_SERVERS_MAX 64    /* backend servers in a pool */
#define PS_CONFIG_KEY "ps/config" /* the platform object's key */

/**
 * enum ps_server_state - State that operators give a backend server.
 */
typedef enum ps_server_state {
    PS_SERVER_JOINING, /* gets requests; the usual state */
    PS_SERVER_LEAVING, /* finishes its requests, gets no new ones */
    PS_SERVER_STOPPED  /* gets no requests, and its load is not polled */
} ps_server_state_t;

/**
 * struct ps_server_config - One backend server of a pool.
 */
typedef struct ps_server_config {
    ps_name_t name;
    ps_name_t address; /* IP:PORT */
    ps_name_t domain;  /* failure domain */
    ps_server_state_t state;
} ps_server_config_t;

/**
 * struct ps_pool_config - One pool of backend servers.
 */
typedef struct ps_pool_config {
    ps_name_t name;
    ps_name_t kind;     /* "model" or "service" */
    int queue_limit;    /* most requests that wait */
    int slots;          /* most requests at a time on one server; 0: learned */
    int reserved_slots; /* slots of each server that only tier 0 may use */
    ps_server_config_t *servers;
    int n_servers;
} ps_pool_config_t;

/**
 * struct ps_tier_config - Default deadlines of a tier, from acceptance.
 */
typedef struct ps_tier_config {
    int64_t deadline_ms;    /* of the whole answer */
    int64_t first_token_ms; /* of the first token; 0: none */
} ps_tier_config_t;

/**
 * struct ps_team_config - A team and the weight of its share of the pools.
 */
typedef struct ps_team_config {
    ps_name_t name;
    double weight;
} ps_team_config_t;

/**
 * struct ps_config - A checked configuration.
 */
typedef struct ps_config {
    uint64_t version; /* the platform object's version */
    ps_tier_config_t tiers[PS_TIERS_MAX];
    int n_tiers;
    ps_team_config_t *teams;
    int n_teams;
    ps_pool_config_t *pools;
    int n_pools;
    ps_rules_t rules;
    char *text; /* the JSON it was loaded from */
} ps_config_t;

/**
 * PsConfig_Parse() - Parses and checks a configuration.
 * @config: filled on PS_OK; release it with PsConfig_Finish()
 * @text: JSON text
 * @version: version of the platform object
 *
 * Return: PS_OK, or PS_INVALID with a message that names the wrong key.
 */
ps_status_t PsConfig_Parse(ps_config_t *config, ps_str_t text,
                           uint64_t version);

/**
 * PsConfig_Finish() - Frees the memory that a configuration holds.
 */
void PsConfig_Finish(ps_config_t *config);

/**
 * PsConfig_FindPool() - Returns the pool with a given name.
 *
 * Return: the pool, owned by @config, or NULL.
 */
const ps_pool_config_t *PsConfig_FindPool(const ps_config_t *config,
                                          const ps_name_t *name);

/**
 * PsConfig_GetTeamWeight() - Returns a team's weight; 1 for an unlisted team.
 */
double PsConfig_GetTeamWeight(const ps_config_t *config,
                              const ps_name_t *team);

/**
 * PsConfig_SetServerState() - Changes a backend server's state in JSON text.
 * @text: JSON text of a valid configuration
 * @server: backend server's name, in any pool
 * @state: one of "joining", "leaving", "stopped"
 * @out: buffer appended to: the whole new text, indented
 *
 * Return: PS_OK, PS_NOT_FOUND (no such server) or PS_INVALID (no such state).
 */
ps_status_t PsConfig_SetServerState(ps_str_t text, const char *server,
                                    const char *state, ps_buf_t *out);

/**
 * PsConfig_ListChangedKeys() - Lists the top-level keys whose values differ.
 * @left: JSON text
 * @right: JSON text
 * @out: buffer appended to, names separated by a space
 */
void PsConfig_ListChangedKeys(ps_str_t left, ps_str_t right, ps_buf_t *out);

/**
 * PsServerState_Name() - Returns a state's name in the configuration.
 */
const char *PsServerState_Name(ps_server_state_t state);

#endif
