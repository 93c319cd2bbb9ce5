/*
 * platform.c - Stand-in for the platform's object API, a key-value store.
 *
 * GET, PUT and DELETE /v1/objects/KEY: one object; PUT and DELETE need the
 * header If-Match or If-None-Match. GET /v1/objects?prefix= lists objects;
 * GET /v1/watch?prefix=&from=&wait_ms= waits for changes after version "from".
 * POST /switch sets faults: down (connections are closed without a response),
 * slow_ms (delay of each request), lose (the next writes are carried out but
 * not answered) and stale (reads of objects, but not watches, see the state at
 * the latest POST /switch).
 * GET /counts: reads and writes so far.
 */
#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "common.h"

#define CHANGES_MAX 2000 /* changes kept for watches; older ones get 410 */

typedef struct object {
    char *value; /* NULL in a change: deleted */
    char *key;
    int64_t version;
} object_t;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t change_added = PTHREAD_COND_INITIALIZER;
static GTree *objects;
static GTree *stale_snapshot; /* copy that reads see; NULL: they see objects */
static GQueue changes;
static int64_t version; /* of the last write */
static bool is_down;
static int64_t slow_ms;
static int64_t answers_to_lose; /* next writes to carry out unanswered */
static int64_t n_reads;
static int64_t n_writes;

static object_t *
new_object(const char *key, const char *value, int64_t object_version)
{
    object_t *object = g_new0(object_t, 1);
    object->key = g_strdup(key);
    object->value = g_strdup(value);
    object->version = object_version;
    return object;
}

static GTree *
new_tree(void)
{
    return g_tree_new((GCompareFunc)strcmp);
}

static gboolean
copy_object(gpointer key, gpointer value, gpointer tree)
{
    (void)key;
    const object_t *object = value;
    object_t *copy = new_object(object->key, object->value, object->version);
    g_tree_insert(tree, copy->key, copy);
    return FALSE;
}

static void
add_change(const char *key, const char *value)
{
    g_queue_push_tail(&changes, new_object(key, value, version));
    if (changes.length > CHANGES_MAX) {
        object_t *old = g_queue_pop_head(&changes);
        g_free(old->key);
        g_free(old->value);
        g_free(old);
    }
    pthread_cond_broadcast(&change_added);
}

static json_t *
object_to_json(const object_t *object)
{
    json_t *item = json_pack("{s:s, s:I}", "key", object->key, "version",
                             (json_int_t)object->version);
    json_object_set_new(item, "value",
                        object->value ? json_string(object->value)
                                      : json_null());
    return item;
}

static char *
format_list(json_t *list)
{
    json_t *root = json_pack("{s:I, s:o}", "version", (json_int_t)version,
                             "objects", list);
    char *text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    return text;
}

typedef struct prefix_list {
    const char *prefix;
    json_t *list;
} prefix_list_t;

static gboolean
add_if_prefixed(gpointer key, gpointer value, gpointer data)
{
    prefix_list_t *prefix_list = data;
    if (g_str_has_prefix(key, prefix_list->prefix)) {
        json_array_append_new(prefix_list->list, object_to_json(value));
    }
    return FALSE;
}

static enum MHD_Result
handle_list(standin_request_t *request)
{
    const char *prefix = Standin_GetQueryText(request, "prefix");
    prefix_list_t prefix_list = {prefix ? prefix : "", json_array()};
    g_tree_foreach(stale_snapshot ? stale_snapshot : objects, add_if_prefixed,
                   &prefix_list);
    return Standin_SendJson(request, 200, format_list(prefix_list.list));
}

static enum MHD_Result
handle_get(standin_request_t *request, const char *key)
{
    object_t *object =
        g_tree_lookup(stale_snapshot ? stale_snapshot : objects, key);
    if (!object) {
        return Standin_SendText(request, 404, "{}", NULL);
    }
    return Standin_SendJson(
        request, 200, format_list(json_pack("[o]", object_to_json(object))));
}

static bool
meets_condition(standin_request_t *request, const object_t *object)
{
    const char *match = Standin_GetHeader(request, "If-Match");
    const char *none_match = Standin_GetHeader(request, "If-None-Match");
    if (none_match) {
        return object == NULL;
    }
    return object && match &&
           strtoll(match + (*match == '"'), NULL, 10) == object->version;
}

static enum MHD_Result
handle_write(standin_request_t *request, const char *key, bool is_delete)
{
    object_t *object = g_tree_lookup(objects, key);
    if (!meets_condition(request, object)) {
        return Standin_SendText(request, 412, "{}", NULL);
    }
    version++;
    const char *value = is_delete ? NULL : request->body.data;
    if (is_delete) {
        g_tree_remove(objects, key);
    }
    else {
        object_t *new_one = new_object(key, value, version);
        g_tree_replace(objects, new_one->key, new_one);
    }
    add_change(key, value);
    if (answers_to_lose > 0) {
        answers_to_lose--;
        return MHD_NO;
    }
    return Standin_SendJson(
        request, 200,
        g_strdup_printf("{\"version\":%lld}", (long long)version));
}

static json_t *
list_changes(const char *prefix, int64_t after_version)
{
    json_t *list = json_array();
    for (GList *l = changes.head; l; l = l->next) {
        const object_t *change = l->data;
        if (change->version > after_version &&
            g_str_has_prefix(change->key, prefix)) {
            json_array_append_new(list, object_to_json(change));
        }
    }
    return list;
}

static enum MHD_Result
handle_watch(standin_request_t *request)
{
    const char *prefix = Standin_GetQueryText(request, "prefix");
    int64_t after_version = Standin_GetQueryNumber(request, "from", 0);
    int64_t end_ms =
        Standin_GetTimeMs() + Standin_GetQueryNumber(request, "wait_ms", 0);
    const object_t *oldest = g_queue_peek_head(&changes);
    if (oldest && after_version < oldest->version - 1) {
        return Standin_SendText(request, 410, "{}", NULL);
    }
    json_t *list = list_changes(prefix, after_version);
    while (json_array_size(list) == 0 && Standin_GetTimeMs() < end_ms &&
           !is_down) {
        struct timespec wake;
        clock_gettime(CLOCK_REALTIME, &wake);
        wake.tv_nsec += 100000000;
        wake.tv_sec += wake.tv_nsec / 1000000000;
        wake.tv_nsec %= 1000000000;
        pthread_cond_timedwait(&change_added, &lock, &wake);
        json_decref(list);
        list = list_changes(prefix, after_version);
    }
    if (is_down) {
        json_decref(list);
        return MHD_NO;
    }
    return Standin_SendJson(request, 200, format_list(list));
}

static enum MHD_Result
handle_switch(standin_request_t *request)
{
    is_down = Standin_GetQueryNumber(request, "down", is_down);
    slow_ms = Standin_GetQueryNumber(request, "slow_ms", slow_ms);
    answers_to_lose = Standin_GetQueryNumber(request, "lose", answers_to_lose);
    if (Standin_GetQueryNumber(request, "stale", stale_snapshot != NULL)) {
        stale_snapshot = new_tree();
        g_tree_foreach(objects, copy_object, stale_snapshot);
    }
    else {
        stale_snapshot = NULL;
    }
    pthread_cond_broadcast(&change_added);
    return Standin_SendText(request, 200, "{}", NULL);
}

static enum MHD_Result
route_request(standin_request_t *request)
{
    const char *key = request->path + strlen("/v1/objects/");
    bool is_get = strcmp(request->method, "GET") == 0;
    if (strcmp(request->path, "/switch") == 0) {
        return handle_switch(request);
    }
    if (strcmp(request->path, "/counts") == 0) {
        return Standin_SendJson(
            request, 200,
            g_strdup_printf("{\"reads\":%lld,\"writes\":%lld}",
                            (long long)n_reads, (long long)n_writes));
    }
    if (is_down) {
        return MHD_NO;
    }
    if (is_get) {
        n_reads++;
    }
    else {
        n_writes++;
    }
    if (is_get && strcmp(request->path, "/v1/objects") == 0) {
        return handle_list(request);
    }
    if (is_get && strcmp(request->path, "/v1/watch") == 0) {
        return handle_watch(request);
    }
    if (!g_str_has_prefix(request->path, "/v1/objects/")) {
        return Standin_SendText(request, 404, "{}", NULL);
    }
    return is_get ? handle_get(request, key)
                  : handle_write(request, key,
                                 strcmp(request->method, "DELETE") == 0);
}

static enum MHD_Result
handle_request(standin_request_t *request)
{
    if (slow_ms > 0 && strcmp(request->path, "/switch") != 0) {
        Standin_SleepMs((double)slow_ms);
    }
    pthread_mutex_lock(&lock);
    enum MHD_Result result = route_request(request);
    pthread_mutex_unlock(&lock);
    return result;
}

int
main(int argc, char **argv)
{
    objects = new_tree();
    g_queue_init(&changes);
    Standin_RunServer(argc > 1 ? argv[1] : "127.0.0.1:7000", handle_request);
    return 0;
}
