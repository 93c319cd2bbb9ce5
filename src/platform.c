/* platform.c - Calls the platform's object API and maps its HTTP statuses. */
#include "platform.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "json_split.h"
#include "log.h"

#define CALL_TIMEOUT_MS 2000 /* of a call; a watch's wait is added to it */

/* ---- Types ------------------------------------------------------------ */

typedef struct platform_call {
    ps_transfer_t transfer;
    ps_platform_t *platform;
    bool is_write;
    ps_platform_done_t done;
    void *user;
    GList link;
} platform_call_t;

/* ---- Answers ---------------------------------------------------------- */

// A write that was sent and got no clear answer may have taken effect, so it
// is PS_UNKNOWN; a read is PS_UNAVAILABLE.
static ps_status_t
get_status(const platform_call_t *call, ps_transfer_result_t result)
{
    if (result == PS_TRANSFER_NOT_SENT) {
        return PsStatus_Fail(PS_UNAVAILABLE, "platform: no connection");
    }
    if (result == PS_TRANSFER_INCOMPLETE) {
        return PsStatus_Fail(call->is_write ? PS_UNKNOWN : PS_UNAVAILABLE,
                             "platform: no answer");
    }
    switch (call->transfer.status) {
    case 200:
    case 201:
        return PS_OK;
    case 404:
    case 410:
        return PsStatus_Fail(PS_NOT_FOUND, "platform: not found");
    case 409:
    case 412:
        return PsStatus_Fail(PS_CONFLICT, "platform: version differs");
    case 400:
    case 413:
        return PsStatus_Fail(PS_INVALID, "platform: call is not valid");
    case 429:
        return PsStatus_Fail(PS_UNAVAILABLE, "platform: unavailable");
    default:
        return PsStatus_Fail(call->is_write ? PS_UNKNOWN : PS_UNAVAILABLE,
                             "platform: HTTP status %ld",
                             call->transfer.status);
    }
}

// Reads objects one by one: one that can't be held has no value. Returns what
// the values point into.
static json_t *
parse_objects(ps_platform_t *platform, ps_str_t list,
              ps_platform_result_t *result)
{
    GArray *objects = g_array_new(TRUE, TRUE, sizeof(ps_platform_object_t));
    json_t *items = json_array();
    int n_nameless = 0;
    ps_json_split_t split;
    PsJsonSplit_Init(&split, list);
    ps_str_t no_key;
    ps_str_t text;
    while (PsJsonSplit_Next(&split, &no_key, &text)) {
        json_t *item = PsJsonSplit_LoadMembers(text);
        const char *key = json_string_value(json_object_get(item, "key"));
        if (!key || !*key || strlen(key) > PS_NAME_MAX) {
            n_nameless++;
            json_decref(item);
            continue;
        }
        ps_platform_object_t object = {
            .key = PsName_FromC(key),
            .version =
                (uint64_t)json_integer_value(json_object_get(item, "version")),
            .value = json_string_value(json_object_get(item, "value"))};
        g_array_append_val(objects, object);
        json_array_append_new(items, item);
    }
    if (n_nameless > platform->logged_nameless) {
        PsLog_Warn("platform", "%d objects without a usable key are ignored.",
                   n_nameless);
        platform->logged_nameless = n_nameless;
    }
    result->n_objects = (int)objects->len;
    result->objects =
        (ps_platform_object_t *)(void *)g_array_free(objects, FALSE);
    return items;
}

static void
free_call(platform_call_t *call)
{
    g_queue_unlink(&call->platform->calls, &call->link);
    PsTransfer_Finish(&call->transfer);
    g_free(call);
}

// Calls the done callback with the parsed answer. The call is freed before, so
// that the callback can start another one or stop the client.
static void
on_transfer_done(ps_transfer_t *transfer, ps_transfer_result_t transfer_result)
{
    platform_call_t *call = transfer->user;
    ps_platform_result_t result = {.status =
                                       get_status(call, transfer_result)};
    json_t *items = NULL;
    ps_str_t body = PsBuf_View(&transfer->body);
    if (result.status == PS_OK) {
        if (!PsJsonSplit_IsObject(body)) {
            result.status =
                PsStatus_Fail(call->is_write ? PS_UNKNOWN : PS_UNAVAILABLE,
                              "platform: answer is not JSON");
        }
        json_t *version =
            PsJsonSplit_Load(PsJsonSplit_FindMember(body, "version"));
        result.version = (uint64_t)json_integer_value(version);
        json_decref(version);
        items = parse_objects(
            call->platform, PsJsonSplit_FindMember(body, "objects"), &result);
    }
    if (result.status == PS_UNAVAILABLE || result.status == PS_UNKNOWN) {
        call->platform->failures++;
    }
    ps_platform_done_t done = call->done;
    void *user = call->user;
    free_call(call);
    done(user, &result);
    g_free(result.objects);
    json_decref(items);
}

static const ps_transfer_events_t call_events = {.done = on_transfer_done};

/* ---- Calls ------------------------------------------------------------ */

static platform_call_t *
new_call(ps_platform_t *platform, bool is_write, ps_platform_done_t done,
         void *user)
{
    platform_call_t *call = g_new0(platform_call_t, 1);
    call->platform = platform;
    call->is_write = is_write;
    call->done = done;
    call->user = user;
    call->link.data = call;
    g_queue_push_tail_link(&platform->calls, &call->link);
    PsTransfer_Init(&call->transfer, &call_events, call);
    if (is_write) {
        platform->writes++;
    }
    else {
        platform->reads++;
    }
    return call;
}

// A write gets its own connection, so that curl does not send it twice.
static void
start_call(platform_call_t *call, const char *method, ps_str_t body,
           int64_t timeout_ms, const char *path)
{
    char *url =
        g_strdup_printf("http://%s%s", call->platform->address.data, path);
    PsTransfer_Start(call->platform->client, &call->transfer, method, url,
                     body, timeout_ms, call->is_write);
    g_free(url);
}

// Starts a call about an object.
static void
start_object_call(platform_call_t *call, const char *method, const char *key,
                  ps_str_t body)
{
    char *escaped = g_uri_escape_string(key, "/", FALSE);
    char *path = g_strdup_printf("/v1/objects/%s", escaped);
    start_call(call, method, body, CALL_TIMEOUT_MS, path);
    g_free(path);
    g_free(escaped);
}

// Makes a write fail unless the object has the given version or, for version
// 0, does not exist.
static void
add_version_condition(platform_call_t *call, uint64_t version)
{
    if (version == 0) {
        PsTransfer_AddHeader(&call->transfer, "If-None-Match", "*");
        return;
    }
    char text[32];
    g_snprintf(text, sizeof text, "\"%llu\"", (unsigned long long)version);
    PsTransfer_AddHeader(&call->transfer, "If-Match", text);
}

/* ---- Public functions ------------------------------------------------- */

void
PsPlatform_Init(ps_platform_t *platform, ps_http_client_t *client,
                const ps_name_t *address)
{
    *platform = (ps_platform_t){.client = client, .address = *address};
    g_queue_init(&platform->calls);
}

void
PsPlatform_Finish(ps_platform_t *platform)
{
    GList *next;
    for (GList *l = platform->calls.head; l; l = next) {
        next = l->next;
        platform_call_t *call = l->data;
        PsTransfer_Cancel(platform->client, &call->transfer);
        free_call(call);
    }
}

void
PsPlatform_Get(ps_platform_t *platform, const char *key,
               ps_platform_done_t done, void *user)
{
    platform_call_t *call = new_call(platform, false, done, user);
    start_object_call(call, "GET", key, PsStr_FromC(NULL));
}

void
PsPlatform_List(ps_platform_t *platform, const char *prefix,
                ps_platform_done_t done, void *user)
{
    platform_call_t *call = new_call(platform, false, done, user);
    char *escaped = g_uri_escape_string(prefix, "/", FALSE);
    char *path = g_strdup_printf("/v1/objects?prefix=%s", escaped);
    start_call(call, "GET", PsStr_FromC(NULL), CALL_TIMEOUT_MS, path);
    g_free(path);
    g_free(escaped);
}

void
PsPlatform_Put(ps_platform_t *platform, const char *key, uint64_t version,
               ps_str_t value, ps_platform_done_t done, void *user)
{
    platform_call_t *call = new_call(platform, true, done, user);
    add_version_condition(call, version);
    start_object_call(call, "PUT", key, value);
}

void
PsPlatform_Delete(ps_platform_t *platform, const char *key, uint64_t version,
                  ps_platform_done_t done, void *user)
{
    platform_call_t *call = new_call(platform, true, done, user);
    add_version_condition(call, version);
    start_object_call(call, "DELETE", key, PsStr_FromC(NULL));
}

void
PsPlatform_Watch(ps_platform_t *platform, const char *prefix, uint64_t from,
                 int64_t wait_ms, ps_platform_done_t done, void *user)
{
    platform_call_t *call = new_call(platform, false, done, user);
    char *escaped = g_uri_escape_string(prefix, "/", FALSE);
    char *path =
        g_strdup_printf("/v1/watch?prefix=%s&from=%llu&wait_ms=%lld", escaped,
                        (unsigned long long)from, (long long)wait_ms);
    start_call(call, "GET", PsStr_FromC(NULL), wait_ms + CALL_TIMEOUT_MS,
               path);
    g_free(path);
    g_free(escaped);
}
