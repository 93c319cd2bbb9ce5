/*
 * store.c - Stand-in for the fleet platform's object store.
 *
 * Usage: standin-store IP:PORT [VIEW_IP]...
 * On each VIEW_IP, at the same port, it shows other addresses of servers:
 * their IP is VIEW_IP in place of IP. A test listens there and forwards, so
 * that it can cut off the daemons that read the store there. Under
 * /pearstair/objects/KIND: GET lists the objects (those with a name after
 * afterRev), GET with watch and waitMs waits for changes after the revision
 * watch, POST adds an object; GET, PUT and DELETE of /NAME; PUT of
 * /NAME/status replaces its status. A write that names a revision, in its
 * metadata or in the query, other than the object's gets status 409 with the
 * object. Objects of kind
 * "servers" that are not written for REGISTRATION_TTL_MS, or for what the
 * switch registration_ttl_ms says, are removed. POST /switch sets faults: down
 * (status 503), slow_ms (delay of each request), hang (requests wait; watches
 * end with status 503), lose (the next writes are carried out but not
 * answered) and compact (past changes are forgotten, so that watches get
 * status 410). With copy, it keeps a copy of all objects and of the revision;
 * with restore it goes back to that copy, as a store does that is restored
 * from a backup: what was written since is gone, revisions are given out
 * again, watches from later ones get status 410, and the header Store-Era of
 * all responses rises by one. list_max sets how many objects a list has.
 *
 * A spec that the JSON library can't hold is kept and shown as it was written.
 *
 * GET /counts: requests so far and the current revision.
 */
#include <arpa/inet.h>
#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "common.h"
#include "json_split.h"

#define OBJECTS_PATH "/pearstair/objects/"
#define CHANGES_MAX 4000         /* changes kept for watches */
#define LIST_OBJECTS_MAX 500     /* objects in one list, if not set */
#define RAW_MARK "@raw:"         /* stands for a spec that is kept as text */
#define REGISTRATION_TTL_MS 1800 /* since its last write, if not set */

typedef struct change {
    char *kind;
    json_t *event;
    int64_t revision;
} change_t;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t change_added = PTHREAD_COND_INITIALIZER;
static GTree *objects;          /* "KIND/NAME" to json_t */
static GHashTable *write_times; /* "KIND/NAME" to time in ms */
static GQueue changes;
static int64_t revision = 1;
static int64_t oldest_revision = 1; /* watches from before it get 410 */
static bool is_down;
static bool is_hung;
static int64_t slow_ms;
static int64_t registration_ttl_ms = REGISTRATION_TTL_MS;
static int64_t answers_to_lose; /* next writes to carry out unanswered */
static int64_t n_calls;
static int64_t era = 1;       /* value of the header Store-Era */
static GTree *copied_objects; /* like @objects; NULL: no copy was made */
static int64_t copied_revision;
static char own_ip[64];
static int64_t list_objects_max = LIST_OBJECTS_MAX;
static GHashTable *raw_marks; /* text of a spec to its mark */
static GPtrArray *raw_texts;  /* by the number in the mark */

static GTree *
new_object_tree(void)
{
    return g_tree_new_full((GCompareDataFunc)(void *)strcmp, NULL, g_free,
                           (GDestroyNotify)(void *)json_decref);
}

static gboolean
add_object_to(gpointer key, gpointer value, gpointer data)
{
    g_tree_insert(data, g_strdup(key), json_deep_copy(value));
    return FALSE;
}

static GTree *
copy_objects(GTree *from)
{
    GTree *copy = new_object_tree();
    g_tree_foreach(from, add_object_to, copy);
    return copy;
}

static void
free_change(change_t *change)
{
    json_decref(change->event);
    g_free(change->kind);
    g_free(change);
}

static void
set_era(int64_t value)
{
    era = value;
    char text[24];
    snprintf(text, sizeof text, "%lld", (long long)era);
    Standin_SetCommonHeader("Store-Era", text);
}

static void
set_write_time(const char *key)
{
    int64_t now_ms = Standin_GetTimeMs();
    g_hash_table_replace(write_times, g_strdup(key),
                         g_memdup2(&now_ms, sizeof now_ms));
}

static gboolean
renew(gpointer key, gpointer value, gpointer data)
{
    (void)value;
    (void)data;
    set_write_time(key);
    return FALSE;
}

// Goes back to the copy. Registrations in it count as written now.
static void
restore_copy(void)
{
    if (!copied_objects) {
        return;
    }
    g_tree_destroy(objects);
    objects = copy_objects(copied_objects);
    revision = copied_revision;
    change_t *last;
    while ((last = g_queue_peek_tail(&changes)) && last->revision > revision) {
        free_change(g_queue_pop_tail(&changes));
    }
    g_tree_foreach(objects, renew, NULL);
    set_era(era + 1);
}

static void
add_change(const char *kind, json_t *object, bool is_deleted)
{
    change_t *change = g_new0(change_t, 1);
    change->kind = g_strdup(kind);
    change->revision = revision;
    change->event =
        json_pack("{s:O, s:b}", "object", object, "deleted", (int)is_deleted);
    g_queue_push_tail(&changes, change);
    if (changes.length > CHANGES_MAX) {
        change_t *old = g_queue_pop_head(&changes);
        oldest_revision = old->revision;
        free_change(old);
    }
    pthread_cond_broadcast(&change_added);
}

static json_t *
make_object(const char *name, json_t *spec, const json_t *old)
{
    const json_t *created_revision =
        json_object_get(json_object_get(old, "metadata"), "created");
    revision++;
    return json_pack("{s:{s:s, s:I, s:I, s:[], s:b}, s:O, s:n}", "metadata",
                     "name", name, "revision", (json_int_t)revision, "created",
                     created_revision ? json_integer_value(created_revision)
                                      : (json_int_t)revision,
                     "finalizers", "deleting", 0, "spec", spec, "status");
}

static void
remove_object(const char *key, const char *kind)
{
    json_t *object = g_tree_lookup(objects, key);
    revision++;
    json_t *last_state = json_deep_copy(object);
    json_object_set_new(json_object_get(last_state, "metadata"), "revision",
                        json_integer(revision));
    add_change(kind, last_state, true);
    json_decref(last_state);
    g_tree_remove(objects, key);
}

// Returns the IP address at which a request has arrived.
static char *
get_local_ip(const standin_request_t *request)
{
    struct sockaddr_in local = {0};
    socklen_t len = sizeof local;
    getsockname(Standin_GetSocket(request), (struct sockaddr *)&local, &len);
    char text[INET_ADDRSTRLEN] = "";
    inet_ntop(AF_INET, &local.sin_addr, text, sizeof text);
    return g_strdup(text);
}

// Returns a mark for a text, the same one for the same text.
static json_t *
mark_raw(ps_str_t text)
{
    char *key = g_strndup(text.data, text.len);
    char *mark = g_hash_table_lookup(raw_marks, key);
    if (!mark) {
        mark = g_strdup_printf(RAW_MARK "%u", raw_texts->len);
        g_hash_table_insert(raw_marks, key, mark);
        g_ptr_array_add(raw_texts, key);
    }
    else {
        g_free(key);
    }
    return json_string(mark);
}

// Puts the texts in place of their marks.
static void
show_raw(GString *text)
{
    static const char quoted[] = "\"" RAW_MARK;
    size_t at = 0;
    const char *found;
    while ((found = strstr(text->str + at, quoted)) != NULL) {
        at = (size_t)(found - text->str);
        char *end;
        gint64 number = g_ascii_strtoll(found + strlen(quoted), &end, 10);
        const char *raw = g_ptr_array_index(raw_texts, number);
        g_string_erase(text, (gssize)at, end + 1 - found);
        g_string_insert(text, (gssize)at, raw);
        at += strlen(raw);
    }
}

// Parses the body of a write. A spec that can't be held becomes a mark.
static json_t *
parse_body(ps_str_t text)
{
    json_t *body = PsJsonSplit_LoadMembers(text);
    ps_str_t spec = PsJsonSplit_FindMember(text, "spec");
    if (spec.len > 0 && !json_object_get(body, "spec")) {
        json_object_set_new(body, "spec", mark_raw(spec));
    }
    return body;
}

static enum MHD_Result
send_object(standin_request_t *request, unsigned status, const json_t *object)
{
    char *dump = json_dumps(object, JSON_COMPACT);
    char *local_ip = get_local_ip(request);
    char *own = g_strdup_printf("\"address\":\"%s:", own_ip);
    char *shown = g_strdup_printf("\"address\":\"%s:", local_ip);
    GString *text = g_string_new(dump);
    g_string_replace(text, own, shown, 0);
    show_raw(text);
    free(dump);
    g_free(local_ip);
    g_free(own);
    g_free(shown);
    enum MHD_Result result =
        Standin_SendText(request, status, text->str, NULL);
    g_string_free(text, TRUE);
    return result;
}

// Adds an object (@is_new) or sets its spec. A write of the same spec makes no
// new revision.
static enum MHD_Result
write_object(standin_request_t *request, const char *kind, const char *name,
             json_t *spec, bool is_new)
{
    char *key = g_strdup_printf("%s/%s", kind, name);
    json_t *old = g_tree_lookup(objects, key);
    enum MHD_Result result;
    if ((old != NULL) == is_new) {
        result = old ? send_object(request, 409, old)
                     : Standin_SendText(request, 404, "{}", NULL);
    }
    else {
        set_write_time(key);
        if (!old || !json_equal(json_object_get(old, "spec"), spec)) {
            json_t *object = make_object(name, spec, old);
            add_change(kind, object, false);
            g_tree_replace(objects, g_strdup(key), object);
        }
        result = send_object(request, 200, g_tree_lookup(objects, key));
    }
    g_free(key);
    return result;
}

// Replaces an object's status.
static enum MHD_Result
write_status(standin_request_t *request, const char *kind, const char *key,
             json_t *status)
{
    json_t *object = json_copy(g_tree_lookup(objects, key));
    json_t *meta = json_copy(json_object_get(object, "metadata"));
    revision++;
    json_object_set_new(meta, "revision", json_integer(revision));
    json_object_set_new(object, "metadata", meta);
    json_object_set(object, "status", status);
    add_change(kind, object, false);
    g_tree_replace(objects, g_strdup(key), object);
    return send_object(request, 200, object);
}

// Tells whether a write names another revision than the object has.
static bool
names_other_revision(standin_request_t *request, const json_t *body,
                     const json_t *object)
{
    int64_t named = Standin_GetQueryNumber(request, "revision", 0);
    const json_t *meta = json_object_get(body, "metadata");
    if (named == 0) {
        named = json_integer_value(json_object_get(meta, "revision"));
    }
    meta = json_object_get(object, "metadata");
    return object && named != 0 &&
           named != json_integer_value(json_object_get(meta, "revision"));
}

typedef struct object_list {
    const char *kind;
    const char *after;
    json_t *items;
    bool has_more;
} object_list_t;

static gboolean
add_to_list(gpointer key, gpointer value, gpointer data)
{
    object_list_t *object_list = data;
    const char *name = strchr(key, '/') + 1;
    size_t len = strlen(object_list->kind);
    if (strncmp(key, object_list->kind, len) != 0 ||
        ((const char *)key)[len] != '/' ||
        (object_list->after && strcmp(name, object_list->after) <= 0)) {
        return FALSE;
    }
    if ((int64_t)json_array_size(object_list->items) >= list_objects_max) {
        object_list->has_more = true;
        return TRUE;
    }
    json_array_append(object_list->items, value);
    return FALSE;
}

static enum MHD_Result
send_list(standin_request_t *request, const char *kind)
{
    object_list_t object_list = {
        kind, Standin_GetQueryText(request, "afterRev"), json_array(), false};
    g_tree_foreach(objects, add_to_list, &object_list);
    json_t *body = json_pack("{s:o, s:b, s:I}", "items", object_list.items,
                             "more", (int)object_list.has_more, "currentRev",
                             (json_int_t)revision);
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
    int64_t after = Standin_GetQueryNumber(request, "watch", 0);
    int64_t end_ms =
        Standin_GetTimeMs() + Standin_GetQueryNumber(request, "waitMs", 0);
    int64_t first_era = era;
    if (after < oldest_revision || after > revision) {
        return Standin_SendText(request, 410, "{}", NULL);
    }
    json_t *events = list_changes(kind, after);
    while (json_array_size(events) == 0 && Standin_GetTimeMs() < end_ms &&
           !is_down && !is_hung && era == first_era) {
        struct timespec wake;
        clock_gettime(CLOCK_REALTIME, &wake);
        wake.tv_nsec += 50000000;
        wake.tv_sec += wake.tv_nsec / 1000000000;
        wake.tv_nsec %= 1000000000;
        pthread_cond_timedwait(&change_added, &lock, &wake);
        json_decref(events);
        events = list_changes(kind, after);
    }
    if (is_down || is_hung || era != first_era) {
        json_decref(events);
        return Standin_SendText(request, 503, "{}", NULL);
    }
    json_t *body = json_pack("{s:o, s:I}", "events", events, "currentRev",
                             (json_int_t)revision);
    enum MHD_Result result = send_object(request, 200, body);
    json_decref(body);
    return result;
}

static gboolean
add_if_expired(gpointer key, gpointer value, gpointer data)
{
    (void)value;
    const int64_t *written_ms = g_hash_table_lookup(write_times, key);
    if (strncmp(key, "servers/", 8) == 0 && written_ms &&
        Standin_GetTimeMs() - *written_ms > registration_ttl_ms) {
        g_ptr_array_add(data, g_strdup(key));
    }
    return FALSE;
}

// Removes registrations that were not renewed in time.
static void *
run_expiry(void *user)
{
    (void)user;
    for (;;) {
        Standin_SleepMs(200);
        pthread_mutex_lock(&lock);
        GPtrArray *expired = g_ptr_array_new_with_free_func(g_free);
        g_tree_foreach(objects, add_if_expired, expired);
        for (guint i = 0; i < expired->len; i++) {
            remove_object(expired->pdata[i], "servers");
        }
        g_ptr_array_unref(expired);
        pthread_mutex_unlock(&lock);
    }
    return NULL;
}

static enum MHD_Result
handle_switch(standin_request_t *request)
{
    is_down = Standin_GetQueryNumber(request, "down", is_down) != 0;
    is_hung = Standin_GetQueryNumber(request, "hang", is_hung) != 0;
    slow_ms = Standin_GetQueryNumber(request, "slow_ms", slow_ms);
    registration_ttl_ms = Standin_GetQueryNumber(
        request, "registration_ttl_ms", registration_ttl_ms);
    answers_to_lose = Standin_GetQueryNumber(request, "lose", answers_to_lose);
    list_objects_max =
        Standin_GetQueryNumber(request, "list_max", list_objects_max);
    pthread_mutex_lock(&lock);
    if (Standin_GetQueryNumber(request, "copy", 0) != 0) {
        if (copied_objects) {
            g_tree_destroy(copied_objects);
        }
        copied_objects = copy_objects(objects);
        copied_revision = revision;
    }
    if (Standin_GetQueryNumber(request, "restore", 0) != 0) {
        restore_copy();
    }
    pthread_mutex_unlock(&lock);
    if (Standin_GetQueryNumber(request, "compact", 0) != 0) {
        oldest_revision = revision + 1;
        revision += 2;
    }
    pthread_cond_broadcast(&change_added);
    return Standin_SendText(request, 200, "{}", NULL);
}

static enum MHD_Result
handle_object(standin_request_t *request)
{
    char **parts = g_strsplit(request->path + strlen(OBJECTS_PATH), "/", 3);
    const char *kind = parts[0];
    const char *name = parts[0] ? parts[1] : NULL;
    bool is_status = name && parts[2] && strcmp(parts[2], "status") == 0;
    json_t *body = parse_body(PsBuf_View(&request->body));
    json_t *spec = json_object_get(body, "spec");
    const char *new_name = json_string_value(
        json_object_get(json_object_get(body, "metadata"), "name"));
    char *key = g_strdup_printf("%s/%s", kind, name ? name : "");
    json_t *object = g_tree_lookup(objects, key);
    enum MHD_Result result;
    if (strcmp(request->method, "POST") == 0 && spec && new_name) {
        result = write_object(request, kind, new_name, spec, true);
    }
    else if (strcmp(request->method, "GET") != 0 &&
             names_other_revision(request, body, object)) {
        result = send_object(request, 409, object);
    }
    else if (strcmp(request->method, "PUT") == 0 && is_status && object &&
             json_object_get(body, "status")) {
        result =
            write_status(request, kind, key, json_object_get(body, "status"));
    }
    else if (strcmp(request->method, "PUT") == 0 && spec && name) {
        result = write_object(request, kind, name, spec, false);
    }
    else if (strcmp(request->method, "DELETE") == 0 && object) {
        remove_object(key, kind);
        result = Standin_SendText(request, 200, "{}", NULL);
    }
    else if (strcmp(request->method, "GET") != 0 || (name && !object)) {
        result = Standin_SendText(request, 404, "{}", NULL);
    }
    else if (name) {
        result = send_object(request, 200, object);
    }
    else if (Standin_GetQueryText(request, "watch")) {
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
handle_request(standin_request_t *request)
{
    if (strcmp(request->path, "/switch") == 0) {
        return handle_switch(request);
    }
    if (strcmp(request->path, "/counts") == 0) {
        json_t *counts = json_pack("{s:I, s:I}", "calls", (json_int_t)n_calls,
                                   "revision", (json_int_t)revision);
        enum MHD_Result result = send_object(request, 200, counts);
        json_decref(counts);
        return result;
    }
    if (strncmp(request->path, OBJECTS_PATH, strlen(OBJECTS_PATH)) != 0) {
        return Standin_SendText(request, 404, "{}", NULL);
    }
    Standin_SleepMs((double)slow_ms);
    while (is_hung) {
        Standin_SleepMs(50);
    }
    pthread_mutex_lock(&lock);
    n_calls++;
    bool is_write = strcmp(request->method, "GET") != 0;
    bool must_close = is_write && answers_to_lose > 0 && !is_down;
    answers_to_lose -= must_close ? 1 : 0;
    enum MHD_Result result = is_down
                                 ? Standin_SendText(request, 503, "{}", NULL)
                                 : handle_object(request);
    pthread_mutex_unlock(&lock);
    return must_close ? MHD_NO : result;
}

int
main(int argc, char **argv)
{
    if (argc < 2) {
        fprintf(stderr, "usage: standin-store IP:PORT [VIEW_IP]...\n");
        return 2;
    }
    const char *port = strrchr(argv[1], ':');
    g_strlcpy(own_ip, argv[1],
              MIN(sizeof own_ip, (size_t)(port - argv[1]) + 1));
    objects = new_object_tree();
    raw_marks = g_hash_table_new(g_str_hash, g_str_equal);
    raw_texts = g_ptr_array_new();
    set_era(era);
    write_times =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_queue_init(&changes);
    pthread_t thread;
    pthread_create(&thread, NULL, run_expiry, NULL);
    for (int i = 2; i < argc; i++) {
        char *view = g_strconcat(argv[i], port, NULL);
        Standin_Listen(view, handle_request);
        g_free(view);
    }
    Standin_RunServer(argv[1], handle_request);
    return 0;
}
