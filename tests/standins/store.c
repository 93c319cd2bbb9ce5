/*
 * store.c - Stand-in for the fleet platform's object store.
 *
 * GET /pearstair/objects/KIND[/NAME], lists with afterRev, watches with watch
 * and waitMs; POST, PUT, DELETE. Registrations of kind servers lapse.
 * POST /switch?down=&slow_ms=&hang=&lose=&compact= ; GET /counts.
 */
#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common.h"

#define PATH "/pearstair/objects/"
#define LOG_MAX 4000  /* changes kept for watches */
#define PAGE 500      /* objects in one list */
#define LAPSE_MS 1800 /* silence after which a server's entry is removed */

typedef struct change {
    char *kind;
    json_t *event;
    int64_t revision;
} change_t;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static GTree *objects;      /* "kind/name" to json_t */
static GHashTable *touched; /* the same to the time of the last write */
static GQueue changes;
static int64_t revision = 1;
static int64_t oldest = 1; /* watches from before it get 410 */
static bool is_down;
static bool hangs;
static int64_t slow_ms;
static int64_t lose;
static int64_t calls;

static void
note_change(const char *kind, json_t *object, bool is_deleted)
{
    change_t *change = g_new0(change_t, 1);
    change->kind = g_strdup(kind);
    change->revision = revision;
    change->event =
        json_pack("{s:O, s:b}", "object", object, "deleted", (int)is_deleted);
    g_queue_push_tail(&changes, change);
    if (changes.length > LOG_MAX) {
        change_t *old = g_queue_pop_head(&changes);
        oldest = old->revision;
        json_decref(old->event);
        g_free(old->kind);
        g_free(old);
    }
    pthread_cond_broadcast(&changed);
}

static void
touch(const char *key)
{
    int64_t now_ms = Standin_NowMs();
    g_hash_table_replace(touched, g_strdup(key),
                         g_memdup2(&now_ms, sizeof now_ms));
}

static json_t *
copy_with_revision(const char *name, json_t *spec, const json_t *old)
{
    const json_t *created =
        json_object_get(json_object_get(old, "metadata"), "created");
    revision++;
    return json_pack("{s:{s:s, s:I, s:I, s:[], s:b}, s:O, s:n}", "metadata",
                     "name", name, "revision", (json_int_t)revision, "created",
                     created ? json_integer_value(created)
                             : (json_int_t)revision,
                     "finalizers", "deleting", 0, "spec", spec, "status");
}

static void
remove_object(const char *key, const char *kind)
{
    json_t *object = g_tree_lookup(objects, key);
    revision++;
    json_t *last = json_deep_copy(object);
    json_object_set_new(json_object_get(last, "metadata"), "revision",
                        json_integer(revision));
    note_change(kind, last, true);
    json_decref(last);
    g_tree_remove(objects, key);
}

static enum MHD_Result
send_object(standin_request_t *request, unsigned status, const json_t *object)
{
    return Standin_SendJson(request, status, json_dumps(object, JSON_COMPACT));
}

// Puts a new spec; the same spec makes no change.
static enum MHD_Result
write_object(standin_request_t *request, const char *kind, const char *name,
             json_t *spec, bool is_new)
{
    char *key = g_strdup_printf("%s/%s", kind, name);
    json_t *old = g_tree_lookup(objects, key);
    enum MHD_Result result;
    if ((old != NULL) == is_new) {
        result = old ? send_object(request, 409, old)
                     : Standin_Send(request, 404, "{}", NULL);
    }
    else {
        touch(key);
        if (!old || !json_equal(json_object_get(old, "spec"), spec)) {
            json_t *object = copy_with_revision(name, spec, old);
            note_change(kind, object, false);
            g_tree_replace(objects, g_strdup(key), object);
        }
        result = send_object(request, 200, g_tree_lookup(objects, key));
    }
    g_free(key);
    return result;
}

typedef struct listing {
    const char *kind;
    const char *after;
    json_t *items;
    bool has_more;
} listing_t;

static gboolean
add_to_list(gpointer key, gpointer value, gpointer data)
{
    listing_t *listing = data;
    const char *name = strchr(key, '/') + 1;
    size_t len = strlen(listing->kind);
    if (strncmp(key, listing->kind, len) != 0 ||
        ((const char *)key)[len] != '/' ||
        (listing->after && strcmp(name, listing->after) <= 0)) {
        return FALSE;
    }
    if (json_array_size(listing->items) >= PAGE) {
        listing->has_more = true;
        return TRUE;
    }
    json_array_append(listing->items, value);
    return FALSE;
}

static enum MHD_Result
send_list(standin_request_t *request, const char *kind)
{
    listing_t listing = {kind, Standin_Query(request, "afterRev"),
                         json_array(), false};
    g_tree_foreach(objects, add_to_list, &listing);
    json_t *body =
        json_pack("{s:o, s:b, s:I}", "items", listing.items, "more",
                  (int)listing.has_more, "currentRev", (json_int_t)revision);
    enum MHD_Result result = send_object(request, 200, body);
    json_decref(body);
    return result;
}

static json_t *
list_changes(const char *kind, int64_t after)
{
    json_t *events = json_array();
    for (GList *l = changes.head; l; l = l->next) {
        const change_t *change = l->data;
        if (change->revision > after && strcmp(change->kind, kind) == 0) {
            json_array_append(events, change->event);
        }
    }
    return events;
}

static enum MHD_Result
send_changes(standin_request_t *request, const char *kind)
{
    int64_t after = Standin_Number(request, "watch", 0);
    int64_t until_ms = Standin_NowMs() + Standin_Number(request, "waitMs", 0);
    if (after < oldest) {
        return Standin_Send(request, 410, "{}", NULL);
    }
    json_t *events = list_changes(kind, after);
    while (json_array_size(events) == 0 && Standin_NowMs() < until_ms &&
           !is_down && !hangs) {
        struct timespec wake;
        clock_gettime(CLOCK_REALTIME, &wake);
        wake.tv_nsec += 50000000;
        wake.tv_sec += wake.tv_nsec / 1000000000;
        wake.tv_nsec %= 1000000000;
        pthread_cond_timedwait(&changed, &lock, &wake);
        json_decref(events);
        events = list_changes(kind, after);
    }
    if (is_down || hangs) {
        json_decref(events);
        return Standin_Send(request, 503, "{}", NULL);
    }
    json_t *body = json_pack("{s:o, s:I}", "events", events, "currentRev",
                             (json_int_t)revision);
    enum MHD_Result result = send_object(request, 200, body);
    json_decref(body);
    return result;
}

static gboolean
find_lapsed(gpointer key, gpointer value, gpointer data)
{
    (void)value;
    const int64_t *at = g_hash_table_lookup(touched, key);
    if (strncmp(key, "servers/", 8) == 0 && at &&
        Standin_NowMs() - *at > LAPSE_MS) {
        g_ptr_array_add(data, g_strdup(key));
    }
    return FALSE;
}

static void *
lapse_loop(void *user)
{
    (void)user;
    for (;;) {
        Standin_Sleep(200);
        pthread_mutex_lock(&lock);
        GPtrArray *lapsed = g_ptr_array_new_with_free_func(g_free);
        g_tree_foreach(objects, find_lapsed, lapsed);
        for (guint i = 0; i < lapsed->len; i++) {
            remove_object(lapsed->pdata[i], "servers");
        }
        g_ptr_array_unref(lapsed);
        pthread_mutex_unlock(&lock);
    }
    return NULL;
}

static enum MHD_Result
on_switch(standin_request_t *request)
{
    is_down = Standin_Number(request, "down", is_down) != 0;
    hangs = Standin_Number(request, "hang", hangs) != 0;
    slow_ms = Standin_Number(request, "slow_ms", slow_ms);
    lose = Standin_Number(request, "lose", lose);
    if (Standin_Number(request, "compact", 0) != 0) {
        oldest = revision + 1;
        revision += 2;
    }
    pthread_cond_broadcast(&changed);
    return Standin_Send(request, 200, "{}", NULL);
}

static enum MHD_Result
on_object(standin_request_t *request)
{
    char **parts = g_strsplit(request->path + strlen(PATH), "/", 2);
    const char *kind = parts[0];
    const char *name = parts[0] ? parts[1] : NULL;
    json_t *body = json_loadb(request->body.data ? request->body.data : "",
                              request->body.len, 0, NULL);
    json_t *spec = json_object_get(body, "spec");
    const char *given = json_string_value(
        json_object_get(json_object_get(body, "metadata"), "name"));
    char *key = g_strdup_printf("%s/%s", kind, name ? name : "");
    json_t *object = g_tree_lookup(objects, key);
    enum MHD_Result result;
    if (strcmp(request->method, "POST") == 0 && spec && given) {
        result = write_object(request, kind, given, spec, true);
    }
    else if (strcmp(request->method, "PUT") == 0 && spec && name) {
        result = write_object(request, kind, name, spec, false);
    }
    else if (strcmp(request->method, "DELETE") == 0 && object) {
        int64_t expected = Standin_Number(request, "revision", 0);
        int64_t actual = json_integer_value(
            json_object_get(json_object_get(object, "metadata"), "revision"));
        if (expected != 0 && expected != actual) {
            result = send_object(request, 409, object);
        }
        else {
            remove_object(key, kind);
            result = Standin_Send(request, 200, "{}", NULL);
        }
    }
    else if (strcmp(request->method, "GET") != 0 || (name && !object)) {
        result = Standin_Send(request, 404, "{}", NULL);
    }
    else if (name) {
        result = send_object(request, 200, object);
    }
    else if (Standin_Query(request, "watch")) {
        result = send_changes(request, kind);
    }
    else {
        result = send_list(request, kind);
    }
    json_decref(body);
    g_free(key);
    g_strfreev(parts);
    return result;
}

static enum MHD_Result
on_request(standin_request_t *request)
{
    if (strcmp(request->path, "/switch") == 0) {
        return on_switch(request);
    }
    if (strcmp(request->path, "/counts") == 0) {
        json_t *counts = json_pack("{s:I, s:I}", "calls", (json_int_t)calls,
                                   "revision", (json_int_t)revision);
        enum MHD_Result result = send_object(request, 200, counts);
        json_decref(counts);
        return result;
    }
    if (strncmp(request->path, PATH, strlen(PATH)) != 0) {
        return Standin_Send(request, 404, "{}", NULL);
    }
    Standin_Sleep((double)slow_ms);
    while (hangs) {
        Standin_Sleep(50);
    }
    pthread_mutex_lock(&lock);
    calls++;
    bool is_write = strcmp(request->method, "GET") != 0;
    bool is_lost = is_write && lose > 0 && !is_down;
    lose -= is_lost ? 1 : 0;
    enum MHD_Result result =
        is_down ? Standin_Send(request, 503, "{}", NULL) : on_object(request);
    pthread_mutex_unlock(&lock);
    return is_lost ? MHD_NO : result;
}

int
main(int argc, char **argv)
{
    if (argc != 2) {
        fprintf(stderr, "usage: standin-store IP:PORT\n");
        return 2;
    }
    objects = g_tree_new_full((GCompareDataFunc)(void *)strcmp, NULL, g_free,
                              (GDestroyNotify)(void *)json_decref);
    touched = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_queue_init(&changes);
    pthread_t thread;
    pthread_create(&thread, NULL, lapse_loop, NULL);
    Standin_Serve(argv[1], on_request);
    return 0;
}
