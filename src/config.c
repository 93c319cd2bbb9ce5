/* config.c - Parses and checks the configuration object. */
#include "config.h"

#include <glib.h>
#include <string.h>

#include "settings.h"

#define QUEUE_LIMIT_DEFAULT 1000 /* value of queue_limit if not given */
#define QUEUE_LIMIT_MAX 100000   /* largest value of queue_limit */
#define SLOTS_MAX 1024           /* largest value of slots and kept_slots */

/* ---- Globals ---------------------------------------------------------- */

static const char *const state_names[] = {"joining", "leaving", "stopped"};

/* ---- Internal functions ----------------------------------------------- */

// Checks that a value is an object without keys other than @allowed, which
// are separated by spaces. @location begins the error message.
static ps_status_t
check_keys(const json_t *object, const char *location, const char *allowed)
{
    if (!json_is_object(object)) {
        return PsStatus_Fail(PS_INVALID, "%s: takes an object", location);
    }
    char **allowed_keys = g_strsplit(allowed, " ", -1);
    const char *key;
    json_t *value;
    ps_status_t status = PS_OK;
    json_object_foreach((json_t *)object, key, value)
    {
        if (!g_strv_contains((const char *const *)allowed_keys, key)) {
            status = PsStatus_Fail(PS_INVALID,
                                   "%s: unknown key '%s'; allowed are %s",
                                   location, key, allowed);
        }
    }
    g_strfreev(allowed_keys);
    return status;
}

static ps_status_t
parse_name(const json_t *object, const char *key, const char *location,
           ps_name_t *out)
{
    const char *text = json_string_value(json_object_get(object, key));
    if (!text || !*text || strlen(text) > 40) {
        return PsStatus_Fail(PS_INVALID,
                             "%s: key '%s' takes 1 to 40 characters", location,
                             key);
    }
    *out = PsName_FromC(text);
    return PS_OK;
}

// Parses a whole number; without the key, leaves @out as it is.
static ps_status_t
parse_int(const json_t *object, const char *key, const char *location,
          int64_t min, int64_t max, int64_t *out)
{
    const json_t *value = json_object_get(object, key);
    if (!value) {
        return PS_OK;
    }
    int64_t number = json_integer_value(value);
    if (!json_is_integer(value) || number < min || number > max) {
        return PsStatus_Fail(PS_INVALID,
                             "%s: key '%s' takes a whole number from %lld to "
                             "%lld",
                             location, key, (long long)min, (long long)max);
    }
    *out = number;
    return PS_OK;
}

// Returns the ps_server_state_t with a given name; -1: none.
static int
find_state(const char *name)
{
    for (int i = 0; name && i < (int)G_N_ELEMENTS(state_names); i++) {
        if (strcmp(name, state_names[i]) == 0) {
            return i;
        }
    }
    return -1;
}

static ps_status_t
parse_server(ps_server_config_t *server, const json_t *item,
             const char *pool_location)
{
    char location[200];
    g_snprintf(location, sizeof location, "%s server", pool_location);
    ps_status_t status =
        check_keys(item, location, "name address domain state");
    if (status == PS_OK) {
        status = parse_name(item, "name", location, &server->name);
    }
    if (status == PS_OK) {
        g_snprintf(location, sizeof location, "%s server '%s'", pool_location,
                   server->name.data);
        status = parse_name(item, "address", location, &server->address);
    }
    if (status == PS_OK) {
        status = parse_name(item, "domain", location, &server->domain);
    }
    if (status == PS_OK && !PsAddress_IsValid(server->address.data)) {
        status = PsStatus_Fail(PS_INVALID, "%s: key 'address' takes IP:PORT",
                               location);
    }
    json_t *state = json_object_get(item, "state");
    int index = state ? find_state(json_string_value(state)) : 0;
    if (status == PS_OK && index < 0) {
        status = PsStatus_Fail(PS_INVALID,
                               "%s: key 'state' takes joining, leaving or "
                               "stopped",
                               location);
    }
    server->state = (ps_server_state_t)index;
    return status;
}

static ps_status_t
parse_servers(ps_pool_config_t *pool, const json_t *list, const char *location)
{
    size_t n = json_array_size(list);
    if (n == 0 || n > PS_POOL_SERVERS_MAX) {
        return PsStatus_Fail(PS_INVALID,
                             "%s: key 'servers' takes 1 to %d servers",
                             location, PS_POOL_SERVERS_MAX);
    }
    pool->servers = g_new0(ps_server_config_t, n);
    pool->n_servers = (int)n;
    ps_status_t status = PS_OK;
    for (size_t i = 0; status == PS_OK && i < n; i++) {
        status =
            parse_server(&pool->servers[i], json_array_get(list, i), location);
    }
    return status;
}

static ps_status_t
parse_pool_numbers(ps_pool_config_t *pool, const json_t *item,
                   const char *location)
{
    int64_t queue_limit = QUEUE_LIMIT_DEFAULT;
    int64_t slots = 0;
    int64_t reserved_slots = 0;
    ps_status_t status = parse_int(item, "queue_limit", location, 1,
                                   QUEUE_LIMIT_MAX, &queue_limit);
    if (status == PS_OK) {
        status = parse_int(item, "slots", location, 0, SLOTS_MAX, &slots);
    }
    if (status == PS_OK) {
        status = parse_int(item, "kept_slots", location, 0, SLOTS_MAX,
                           &reserved_slots);
    }
    pool->queue_limit = (int)queue_limit;
    pool->slots = (int)slots;
    pool->reserved_slots = (int)reserved_slots;
    return status;
}

static ps_status_t
parse_pool(ps_pool_config_t *pool, const json_t *item, size_t index)
{
    char location[120];
    g_snprintf(location, sizeof location, "pool %zu", index + 1);
    ps_status_t status = check_keys(
        item, location, "name kind queue_limit slots kept_slots servers");
    if (status == PS_OK) {
        status = parse_name(item, "name", location, &pool->name);
    }
    if (status == PS_OK) {
        g_snprintf(location, sizeof location, "pool '%s'", pool->name.data);
        status = parse_name(item, "kind", location, &pool->kind);
    }
    if (status == PS_OK && !PsName_IsEqualC(&pool->kind, "model") &&
        !PsName_IsEqualC(&pool->kind, "service")) {
        status = PsStatus_Fail(
            PS_INVALID, "%s: key 'kind' takes model or service", location);
    }
    if (status == PS_OK) {
        status = parse_pool_numbers(pool, item, location);
    }
    if (status == PS_OK) {
        status =
            parse_servers(pool, json_object_get(item, "servers"), location);
    }
    return status;
}

static ps_status_t
parse_pools(ps_config_t *config, const json_t *list)
{
    size_t n = json_array_size(list);
    if (n == 0) {
        return PsStatus_Fail(PS_INVALID, "key 'pools' takes a list of pools");
    }
    config->pools = g_new0(ps_pool_config_t, n);
    config->n_pools = (int)n;
    ps_status_t status = PS_OK;
    for (size_t i = 0; status == PS_OK && i < n; i++) {
        status = parse_pool(&config->pools[i], json_array_get(list, i), i);
    }
    return status;
}

static ps_status_t
parse_tiers(ps_config_t *config, const json_t *list)
{
    size_t n = json_array_size(list);
    if (n == 0 || n > PS_TIERS_MAX) {
        return PsStatus_Fail(PS_INVALID, "key 'tiers' takes 1 to %d tiers",
                             PS_TIERS_MAX);
    }
    config->n_tiers = (int)n;
    ps_status_t status = PS_OK;
    for (size_t i = 0; status == PS_OK && i < n; i++) {
        const json_t *item = json_array_get(list, i);
        char location[32];
        g_snprintf(location, sizeof location, "tier %zu", i);
        ps_tier_config_t *tier = &config->tiers[i];
        status = check_keys(item, location, "deadline_ms first_token_ms");
        if (status == PS_OK) {
            status = parse_int(item, "deadline_ms", location, 1, 86400000,
                               &tier->deadline_ms);
        }
        if (status == PS_OK) {
            status = parse_int(item, "first_token_ms", location, 0, 86400000,
                               &tier->first_token_ms);
        }
        if (status == PS_OK && tier->deadline_ms == 0) {
            status = PsStatus_Fail(PS_INVALID, "%s: key 'deadline_ms' missing",
                                   location);
        }
    }
    return status;
}

static ps_status_t
parse_teams(ps_config_t *config, const json_t *list)
{
    size_t n = json_array_size(list);
    config->teams = g_new0(ps_team_config_t, n);
    config->n_teams = (int)n;
    ps_status_t status = PS_OK;
    for (size_t i = 0; status == PS_OK && i < n; i++) {
        const json_t *item = json_array_get(list, i);
        char location[32];
        g_snprintf(location, sizeof location, "team %zu", i + 1);
        ps_team_config_t *team = &config->teams[i];
        status = check_keys(item, location, "name weight");
        if (status == PS_OK) {
            status = parse_name(item, "name", location, &team->name);
        }
        json_t *weight = json_object_get(item, "weight");
        team->weight = weight ? json_number_value(weight) : 1.0;
        if (status == PS_OK && !(team->weight > 0 && team->weight <= 1e6)) {
            status = PsStatus_Fail(PS_INVALID,
                                   "%s: key 'weight' takes a number above 0",
                                   location);
        }
    }
    return status;
}

// Checks that names of pools and servers are unique and that rules refer to
// pools and tiers that exist.
static ps_status_t
check_references(const ps_config_t *config)
{
    GHashTable *server_names = g_hash_table_new(PsName_Hash, PsName_EqualKeys);
    ps_status_t status = PS_OK;
    for (int p = 0; config->pools && p < config->n_pools; p++) {
        const ps_pool_config_t *pool = &config->pools[p];
        if (PsConfig_FindPool(config, &pool->name) != pool) {
            status = PsStatus_Fail(PS_INVALID, "pool '%s' stands twice",
                                   pool->name.data);
        }
        for (int s = 0; s < pool->n_servers; s++) {
            if (!g_hash_table_add(server_names, &pool->servers[s].name)) {
                status = PsStatus_Fail(PS_INVALID, "server '%s' stands twice",
                                       pool->servers[s].name.data);
            }
        }
    }
    g_hash_table_destroy(server_names);
    for (int i = 0; status == PS_OK && i < config->rules.n_rules; i++) {
        const ps_rule_t *rule = &config->rules.rules[i];
        if (PsName_IsEmpty(&rule->action.refuse) &&
            !PsConfig_FindPool(config, &rule->action.pool)) {
            status = PsStatus_Fail(PS_INVALID,
                                   "rule '%s': key 'pool': no pool '%s'",
                                   rule->name.data, rule->action.pool.data);
        }
        else if (rule->action.tier >= config->n_tiers) {
            status =
                PsStatus_Fail(PS_INVALID, "rule '%s': key 'tier': no tier %d",
                              rule->name.data, rule->action.tier);
        }
    }
    return status;
}

static ps_status_t
parse_root(ps_config_t *config, const json_t *root)
{
    ps_status_t status =
        check_keys(root, "configuration", "tiers teams pools rules");
    if (status == PS_OK) {
        status = parse_tiers(config, json_object_get(root, "tiers"));
    }
    if (status == PS_OK) {
        status = parse_teams(config, json_object_get(root, "teams"));
    }
    if (status == PS_OK) {
        status = parse_pools(config, json_object_get(root, "pools"));
    }
    if (status == PS_OK) {
        status = PsRules_Parse(&config->rules, json_object_get(root, "rules"));
    }
    return status == PS_OK ? check_references(config) : status;
}

/* ---- Public functions ------------------------------------------------- */

ps_status_t
PsConfig_Parse(ps_config_t *config, ps_str_t text, uint64_t version)
{
    *config = (ps_config_t){.version = version};
    json_error_t error;
    json_t *root =
        json_loadb(text.data, text.len, JSON_REJECT_DUPLICATES, &error);
    if (!root) {
        return PsStatus_Fail(PS_INVALID, "line %d: %s", error.line,
                             error.text);
    }
    ps_status_t status = parse_root(config, root);
    json_decref(root);
    config->text = g_strndup(text.data, text.len);
    if (status != PS_OK) {
        PsConfig_Finish(config);
    }
    return status;
}

void
PsConfig_Finish(ps_config_t *config)
{
    for (int i = 0; i < config->n_pools; i++) {
        g_free(config->pools[i].servers);
    }
    g_free(config->pools);
    g_free(config->teams);
    PsRules_Finish(&config->rules);
    g_free(config->text);
    *config = (ps_config_t){0};
}

const ps_pool_config_t *
PsConfig_FindPool(const ps_config_t *config, const ps_name_t *name)
{
    for (int i = 0; i < config->n_pools; i++) {
        if (PsName_IsEqual(&config->pools[i].name, name)) {
            return &config->pools[i];
        }
    }
    return NULL;
}

double
PsConfig_GetTeamWeight(const ps_config_t *config, const ps_name_t *team)
{
    for (int i = 0; i < config->n_teams; i++) {
        if (PsName_IsEqual(&config->teams[i].name, team)) {
            return config->teams[i].weight;
        }
    }
    return 1.0;
}

ps_status_t
PsConfig_SetServerState(ps_str_t text, const char *server, const char *state,
                        ps_buf_t *out)
{
    if (find_state(state) < 0) {
        return PsStatus_Fail(PS_INVALID, "unknown state '%s'", state);
    }
    json_t *root = json_loadb(text.data, text.len, 0, NULL);
    bool found = false;
    size_t p;
    size_t s;
    json_t *pool;
    json_t *item;
    json_array_foreach(json_object_get(root, "pools"), p, pool)
    {
        json_array_foreach(json_object_get(pool, "servers"), s, item)
        {
            const char *name =
                json_string_value(json_object_get(item, "name"));
            if (name && strcmp(name, server) == 0) {
                json_object_set_new(item, "state", json_string(state));
                found = true;
            }
        }
    }
    char *new_text = json_dumps(root, JSON_INDENT(2));
    json_decref(root);
    if (found) {
        PsBuf_AppendC(out, new_text);
    }
    free(new_text);
    return found
               ? PS_OK
               : PsStatus_Fail(PS_NOT_FOUND, "no backend server '%s'", server);
}

void
PsConfig_ListChangedKeys(ps_str_t left, ps_str_t right, ps_buf_t *out)
{
    json_t *left_root = json_loadb(left.data, left.len, 0, NULL);
    json_t *right_root = json_loadb(right.data, right.len, 0, NULL);
    static const char *const keys[] = {"tiers", "teams", "pools", "rules"};
    for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
        json_t *left_value = json_object_get(left_root, keys[i]);
        json_t *right_value = json_object_get(right_root, keys[i]);
        if ((left_value || right_value) &&
            !(left_value && right_value &&
              json_equal(left_value, right_value))) {
            PsBuf_AppendFormat(out, "%s%s", out->len ? " " : "", keys[i]);
        }
    }
    json_decref(left_root);
    json_decref(right_root);
}

const char *
PsServerState_Name(ps_server_state_t state)
{
    return state_names[state];
}
