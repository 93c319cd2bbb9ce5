/*
 * runner.c - Stand-in for a backend server of the fleet's dialect.
 *
 * Registers itself in the store, serves plain answers and streams of events,
 * and counts how often each request id ran.
 * With LOG it writes a line for each run: its id, its time, its own name.
 * ADVERTISED is registered in place of IP:PORT.
 * POST /switch?leaving=&reject=&errors=&cut=&mute=&foreign= (the last four in
 * percent of requests); GET /counts.
 */
#include <glib.h>
#include <jansson.h>
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common.h"

#define BEAT_MS 400   /* between registrations */
#define PLAIN_MS 15   /* work of a plain answer */
#define EVENT_MS 12   /* between events of a stream */
#define MUTE_MS 2500  /* silence of a mute stream */
#define EVENT_MAX 200 /* bytes of one event */

typedef struct stream {
    char id[128];
    int next; /* event */
    int last;
    int cut_at; /* event in the middle of which it breaks off; 0: none */
    bool is_mute;
    size_t offset; /* in the current event */
} stream_t;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static GHashTable *runs; /* request id to its runs */
static const char *address;
static FILE *run_log;
static const char *store;
static const char *own_name;
static const char *service;
static int slots;
static int running;
static int64_t born;
static int64_t rejected;
static int64_t leaving;
static int64_t reject;
static int64_t errors;
static int64_t cut;
static int64_t mute;
static int64_t foreign;

static bool
draw(int64_t percent)
{
    return percent > 0 && rand() % 100 < percent;
}

static size_t
ignore(char *data, size_t size, size_t n, void *user)
{
    (void)data;
    (void)user;
    return size * n;
}

static long
call_store(const char *method, const char *path, const char *body)
{
    CURL *easy = curl_easy_init();
    char *url = g_strdup_printf("http://%s%s", store, path);
    curl_easy_setopt(easy, CURLOPT_URL, url);
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, ignore);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, 800L);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    long status = 0;
    curl_easy_perform(easy);
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    curl_easy_cleanup(easy);
    g_free(url);
    return status;
}

static void *
beat_loop(void *user)
{
    (void)user;
    char *path = g_strdup_printf("/pearstair/objects/servers/%s", own_name);
    for (;;) {
        json_t *object =
            json_pack("{s:{s:s}, s:{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:I}}",
                      "metadata", "name", own_name, "spec", "service", service,
                      "address", address, "zone", "z1", "version", "v1",
                      "slots", slots, "state", leaving ? "draining" : "ready",
                      "coldLeftMs", 0, "born", (json_int_t)born);
        char *text = json_dumps(object, JSON_COMPACT);
        json_decref(object);
        if (call_store("PUT", path, text) == 404) {
            call_store("POST", "/pearstair/objects/servers", text);
        }
        free(text);
        Standin_Sleep(BEAT_MS);
    }
    return NULL;
}

static ssize_t
read_stream(void *user, uint64_t position, char *out, size_t max)
{
    (void)position;
    stream_t *stream = user;
    // The caller's close is not seen here; its slot is free after a while.
    if (stream->is_mute) {
        Standin_Sleep(MUTE_MS);
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    if (stream->next > stream->last) {
        return MHD_CONTENT_READER_END_OF_STREAM;
    }
    char event[EVENT_MAX];
    int len = snprintf(event, sizeof event, "id: %d\ndata: %s %d\n\n",
                       stream->next, stream->id, stream->next);
    if (stream->next == stream->cut_at && stream->offset > 0) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    if (stream->offset == 0) {
        Standin_Sleep(EVENT_MS);
    }
    size_t n = MIN((size_t)len - stream->offset, max);
    if (stream->next == stream->cut_at) {
        n = MIN(n, 7);
    }
    memcpy(out, event + stream->offset, n);
    stream->offset += n;
    if (stream->offset == (size_t)len) {
        stream->offset = 0;
        stream->next++;
    }
    return (ssize_t)n;
}

static void
free_stream(void *user)
{
    pthread_mutex_lock(&lock);
    running--;
    pthread_mutex_unlock(&lock);
    g_free(user);
}

static enum MHD_Result
send_stream(standin_request_t *request, const char *id)
{
    const char *counts = Standin_Header(request, "Token-Counts");
    const char *last = Standin_Header(request, "Last-Event-Id");
    const char *comma = counts ? strchr(counts, ',') : NULL;
    stream_t *stream = g_new0(stream_t, 1);
    g_strlcpy(stream->id, id, sizeof stream->id);
    stream->last = comma ? MAX(atoi(comma + 1) / 5, 1) : 5;
    stream->next = last ? atoi(last) + 1 : 1;
    stream->cut_at = draw(cut) ? stream->next + rand() % 4 : 0;
    stream->is_mute = draw(mute);
    struct MHD_Response *response = MHD_create_response_from_callback(
        MHD_SIZE_UNKNOWN, 1024, read_stream, stream, free_stream);
    char *proof = g_strdup_printf("%s.%s", own_name, id);
    MHD_add_response_header(response, "Content-Type", "text/event-stream");
    MHD_add_response_header(response, "Request-Id",
                            draw(foreign) ? "another" : id);
    MHD_add_response_header(response, "Response-Stamp", proof);
    g_free(proof);
    enum MHD_Result result =
        MHD_queue_response(request->connection, 200, response);
    MHD_destroy_response(response);
    return result;
}

static enum MHD_Result
send_plain(standin_request_t *request, const char *id)
{
    Standin_Sleep(PLAIN_MS);
    while (draw(mute)) {
        Standin_Sleep(2000);
    }
    pthread_mutex_lock(&lock);
    running--;
    pthread_mutex_unlock(&lock);
    char *proof = g_strdup_printf("%s.%s", own_name, id);
    char *text = g_strdup_printf("ok %s", id);
    const char *headers[] = {"Request-Id", draw(foreign) ? "another" : id,
                             "Response-Stamp", proof, NULL};
    enum MHD_Result result = MHD_NO;
    if (!draw(cut)) {
        result =
            Standin_Send(request, draw(errors) ? 500 : 200, text, headers);
    }
    g_free(text);
    g_free(proof);
    return result;
}

static enum MHD_Result
refuse(standin_request_t *request, const char *id, unsigned status)
{
    pthread_mutex_lock(&lock);
    rejected++;
    pthread_mutex_unlock(&lock);
    const char *headers[] = {"Request-Id", id,       "Not-Run", "1",
                             "Instance",   own_name, NULL};
    return Standin_Send(request, status, "", headers);
}

static enum MHD_Result
on_work(standin_request_t *request)
{
    const char *id = Standin_Header(request, "Request-Id");
    const char *expected = Standin_Header(request, "Expect-Instance");
    if (!id) {
        return Standin_Send(request, 400, "", NULL);
    }
    if (expected && strcmp(expected, own_name) != 0) {
        return refuse(request, id, 421);
    }
    pthread_mutex_lock(&lock);
    bool is_full = reject || running >= slots;
    if (!is_full) {
        running++;
        int n = GPOINTER_TO_INT(g_hash_table_lookup(runs, id));
        g_hash_table_replace(runs, g_strdup(id), GINT_TO_POINTER(n + 1));
        if (run_log) {
            fprintf(run_log, "%s %lld %s\n", id,
                    (long long)(g_get_real_time() / 1000), own_name);
        }
    }
    pthread_mutex_unlock(&lock);
    if (is_full) {
        return refuse(request, id, 503);
    }
    bool is_stream = strstr(request->path, "/stream") && !draw(errors);
    return is_stream ? send_stream(request, id) : send_plain(request, id);
}

static enum MHD_Result
send_counts(standin_request_t *request)
{
    json_t *each = json_object();
    GHashTableIter iter;
    gpointer id;
    gpointer n;
    pthread_mutex_lock(&lock);
    g_hash_table_iter_init(&iter, runs);
    while (g_hash_table_iter_next(&iter, &id, &n)) {
        json_object_set_new(each, id, json_integer(GPOINTER_TO_INT(n)));
    }
    json_t *body = json_pack("{s:o, s:I, s:i}", "runs", each, "rejected",
                             (json_int_t)rejected, "running", running);
    pthread_mutex_unlock(&lock);
    char *text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    return Standin_SendJson(request, 200, text);
}

static enum MHD_Result
on_request(standin_request_t *request)
{
    if (strcmp(request->path, "/switch") == 0) {
        leaving = Standin_Number(request, "leaving", leaving);
        reject = Standin_Number(request, "reject", reject);
        errors = Standin_Number(request, "errors", errors);
        cut = Standin_Number(request, "cut", cut);
        mute = Standin_Number(request, "mute", mute);
        foreign = Standin_Number(request, "foreign", foreign);
        return Standin_Send(request, 200, "{}", NULL);
    }
    if (strcmp(request->path, "/counts") == 0) {
        return send_counts(request);
    }
    return on_work(request);
}

int
main(int argc, char **argv)
{
    if (argc < 6 || argc > 8) {
        fprintf(stderr, "usage: standin-runner IP:PORT STORE NAME SERVICE "
                        "SLOTS [ADVERTISED [LOG]]\n");
        return 2;
    }
    address = argc > 6 ? argv[6] : argv[1];
    run_log = argc > 7 ? fopen(argv[7], "a") : NULL;
    if (run_log) {
        setvbuf(run_log, NULL, _IOLBF, 0);
    }
    store = argv[2];
    own_name = argv[3];
    service = argv[4];
    slots = atoi(argv[5]);
    born = g_get_real_time() / 1000;
    srand((unsigned)born);
    runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    curl_global_init(CURL_GLOBAL_ALL);
    pthread_t thread;
    pthread_create(&thread, NULL, beat_loop, NULL);
    Standin_Serve(argv[1], on_request);
    return 0;
}
