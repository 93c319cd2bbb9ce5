/* catalog.c - Lookup of routes by path and of teams by API key. */
#include "catalog.h"

#include <string.h>

/* ---- Internal functions ----------------------------------------------- */

static void
free_route(gpointer data)
{
    ps_route_t *route = data;
    g_free(route->host);
    g_free(route->prefix);
    g_free(route);
}

// Returns the host in lower case and without its port; free it with g_free().
static char *
normalize_host(const char *host)
{
    return g_ascii_strdown(host, (gssize)strcspn(host, ":"));
}

/* ---- Public functions ------------------------------------------------- */

ps_catalog_t *
PsCatalog_New(uint64_t version)
{
    ps_catalog_t *catalog = g_new0(ps_catalog_t, 1);
    catalog->version = version;
    catalog->ref_count = 1;
    catalog->routes = g_ptr_array_new_with_free_func(free_route);
    catalog->services = g_ptr_array_new_with_free_func(g_free);
    catalog->teams = g_ptr_array_new_with_free_func(g_free);
    catalog->routes_by_path =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    catalog->teams_by_key =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return catalog;
}

ps_catalog_t *
PsCatalog_Ref(ps_catalog_t *catalog)
{
    catalog->ref_count++;
    return catalog;
}

void
PsCatalog_Unref(ps_catalog_t *catalog)
{
    if (!catalog || --catalog->ref_count > 0) {
        return;
    }
    g_hash_table_destroy(catalog->teams_by_key);
    g_hash_table_destroy(catalog->routes_by_path);
    g_ptr_array_unref(catalog->teams);
    g_ptr_array_unref(catalog->services);
    g_ptr_array_unref(catalog->routes);
    g_free(catalog);
}

int
PsCatalog_AddRoute(ps_catalog_t *catalog, const ps_route_t *route,
                   const char *host, const char *prefix)
{
    char *normalized = normalize_host(host);
    char *key = g_strconcat(normalized, " ", prefix, NULL);
    if (g_hash_table_contains(catalog->routes_by_path, key)) {
        g_free(key);
        g_free(normalized);
        return -1;
    }
    ps_route_t *copy = g_new(ps_route_t, 1);
    *copy = *route;
    copy->host = normalized;
    copy->prefix = g_strdup(prefix);
    g_ptr_array_add(catalog->routes, copy);
    g_hash_table_insert(catalog->routes_by_path, key, copy);
    return 0;
}

ps_service_t *
PsCatalog_AddService(ps_catalog_t *catalog, const ps_service_t *service)
{
    ps_service_t *copy = g_new(ps_service_t, 1);
    *copy = *service;
    g_ptr_array_add(catalog->services, copy);
    return copy;
}

ps_team_t *
PsCatalog_AddTeam(ps_catalog_t *catalog, const ps_team_t *team)
{
    ps_team_t *copy = g_new(ps_team_t, 1);
    *copy = *team;
    g_ptr_array_add(catalog->teams, copy);
    return copy;
}

void
PsCatalog_AddKey(ps_catalog_t *catalog, const char *key, ps_team_t *team)
{
    g_hash_table_replace(catalog->teams_by_key, g_strdup(key), team);
}

const ps_route_t *
PsCatalog_FindRoute(const ps_catalog_t *catalog, const char *host,
                    ps_str_t path)
{
    char *normalized = normalize_host(host);
    GString *key = g_string_new(normalized);
    g_string_append_c(key, ' ');
    size_t host_len = key->len;
    g_string_append_len(key, path.data, (gssize)path.len);
    const ps_route_t *route = NULL;
    for (size_t len = path.len; len > 0 && !route; len--) {
        if (path.data[len - 1] == '/') {
            g_string_truncate(key, host_len + len);
            route = g_hash_table_lookup(catalog->routes_by_path, key->str);
        }
    }
    g_string_free(key, TRUE);
    g_free(normalized);
    return route;
}

const ps_team_t *
PsCatalog_FindTeam(const ps_catalog_t *catalog, const char *key)
{
    return g_hash_table_lookup(catalog->teams_by_key, key);
}

const ps_name_t *
PsRoute_PickService(const ps_route_t *route, uint64_t hash)
{
    uint64_t total = 0;
    for (int i = 0; i < route->n_targets; i++) {
        total += route->targets[i].weight;
    }
    uint64_t position = total > 0 ? hash % total : 0;
    for (int i = 0; i < route->n_targets; i++) {
        if (position < route->targets[i].weight) {
            return &route->targets[i].service;
        }
        position -= route->targets[i].weight;
    }
    return &route->targets[0].service;
}
