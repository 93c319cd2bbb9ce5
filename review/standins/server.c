/*
 * server.c - Stand-in for a backend server that fails some requests with a
 * status of its own.
 *
 * Usage: review-server IP:PORT STORE NAME SERVICE SLOTS LOG
 * Registers itself in the store at STORE every 1,200 ms. Runs each request for
 * 60 ms, or for what the switch work_ms says, and answers it with Request-Id and Response-Stamp. POST /switch?fail=S
 * has it fail 45 in 100 requests that it has run with status S (0: none); no
 * such answer has the header Not-Run, since the request has run. POST
 * /switch?endless=S has 45 in 100 of its answers, of status S then, come with
 * bodies without end, until the caller closes. A path with "/stream" is answered
 * with STREAM_EVENTS events of 6,000 bytes, at 10 MB/s as far as the caller
 * reads, and ends as whole. A request that names another server in Expect-Instance gets 421 with Not-Run. GET /health:
 * 200 with the server's name in Instance. Writes "ID TIME_MS NAME ran|rejected
 * STATUS" to LOG.
 */
#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common.h"

#define HEARTBEAT_MS 1200
#define WORK_MS 60 /* of a request, if the switch work_ms doesn't say otherwise */

#define FAILED_PERCENT 45 /* of the requests that it has run */

// Answers without end come at this rate on each connection: 31 of them fill a
// link of 1,000 Mbit/s.
#define ENDLESS_BYTES_PER_MS 4000
#define ENDLESS_PART 16384 /* bytes sent at a time */

#define STREAM_EVENTS 2600
#define EVENT_BYTES 6000
#define STREAM_PART_MS 6 /* between parts of ten events */

static const char *own_address;
static const char *store_address;
static const char *name;
static const char *service;
static int slots;
static FILE *arrival_log;
static int64_t born_ms;
static int64_t fail_status;
static int64_t endless_status;
static int64_t work_ms = WORK_MS;
static int64_t n_seen;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static size_t
discard(char *data, size_t size, size_t n, void *user)
{
    (void)data;
    (void)user;
    return size * n;
}

static long
send_to_store(const char *method, const char *path, const char *body)
{
    CURL *easy = curl_easy_init();
    char *url = g_strdup_printf("http://%s%s", store_address, path);
    curl_easy_setopt(easy, CURLOPT_URL, url);
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, discard);
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
run_registration(void *user)
{
    (void)user;
    char *path = g_strdup_printf("/pearstair/objects/servers/%s", name);
    for (int seq = 1;; seq++) {
        json_t *object = json_pack(
            "{s:{s:s}, s:{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:I, s:i}}",
            "metadata", "name", name, "spec", "service", service, "address",
            own_address, "zone", "z1", "version", "v1", "slots", slots,
            "state", "ready", "coldLeftMs", 0, "born", (json_int_t)born_ms,
            "seq", seq);
        char *text = json_dumps(object, JSON_COMPACT);
        json_decref(object);
        if (send_to_store("PUT", path, text) == 404) {
            send_to_store("POST", "/pearstair/objects/servers", text);
        }
        free(text);
        Standin_SleepMs(HEARTBEAT_MS);
    }
    return NULL;
}

static void
log_arrival(const char *id, const char *what, unsigned status)
{
    fprintf(arrival_log, "%s %lld %s %s %u\n", id,
            (long long)(g_get_real_time() / 1000), name, what, status);
}

static ssize_t
read_endless(void *user, uint64_t position, char *out, size_t max)
{
    (void)user;
    (void)position;
    size_t n = MIN(max, ENDLESS_PART);
    Standin_SleepMs((double)ENDLESS_PART / ENDLESS_BYTES_PER_MS);
    memset(out, 'x', n);
    return (ssize_t)n;
}

static enum MHD_Result
send_endless(standin_request_t *request, const char *id, unsigned status)
{
    struct MHD_Response *response = MHD_create_response_from_callback(
        MHD_SIZE_UNKNOWN, 16384, read_endless, NULL, NULL);
    char *stamp = g_strdup_printf("%s.%s", name, id);
    MHD_add_response_header(response, "Request-Id", id);
    MHD_add_response_header(response, "Response-Stamp", stamp);
    g_free(stamp);
    enum MHD_Result result =
        MHD_queue_response(request->connection, status, response);
    MHD_destroy_response(response);
    return result;
}

typedef struct stream {
    int next_event;
    size_t sent; // of the next event
    char event[EVENT_BYTES + 1];
} stream_t;

static ssize_t
read_stream(void *user, uint64_t position, char *out, size_t max)
{
    (void)position;
    stream_t *stream = user;
    if (stream->next_event > STREAM_EVENTS) {
        return MHD_CONTENT_READER_END_OF_STREAM;
    }
    if (stream->sent == 0) {
        if (stream->next_event % 10 == 0) {
            Standin_SleepMs(STREAM_PART_MS);
        }
        memset(stream->event, 'x', EVENT_BYTES);
        int n = snprintf(stream->event, 64, "id: %d\ndata: ",
                         stream->next_event);
        stream->event[n] = 'x';
        memcpy(stream->event + EVENT_BYTES - 2, "\n\n", 2);
    }
    size_t n = MIN(max, EVENT_BYTES - stream->sent);
    memcpy(out, stream->event + stream->sent, n);
    stream->sent = (stream->sent + n) % EVENT_BYTES;
    stream->next_event += stream->sent == 0 ? 1 : 0;
    return (ssize_t)n;
}

static enum MHD_Result
send_stream(standin_request_t *request, const char *id)
{
    const char *last = Standin_GetHeader(request, "Last-Event-Id");
    stream_t *stream = g_new0(stream_t, 1);
    stream->next_event = last ? atoi(last) + 1 : 1;
    struct MHD_Response *response = MHD_create_response_from_callback(
        MHD_SIZE_UNKNOWN, 8192, read_stream, stream, g_free);
    char *stamp = g_strdup_printf("%s.%s", name, id);
    MHD_add_response_header(response, "Content-Type", "text/event-stream");
    MHD_add_response_header(response, "Request-Id", id);
    MHD_add_response_header(response, "Response-Stamp", stamp);
    g_free(stamp);
    enum MHD_Result result =
        MHD_queue_response(request->connection, 200, response);
    MHD_destroy_response(response);
    return result;
}

static enum MHD_Result
run_request(standin_request_t *request, const char *id)
{
    pthread_mutex_lock(&lock);
    n_seen++;
    bool is_chosen = n_seen * FAILED_PERCENT / 100 !=
                     (n_seen - 1) * FAILED_PERCENT / 100;
    bool must_fail = is_chosen && fail_status > 0;
    unsigned status = must_fail ? (unsigned)fail_status : 200;
    unsigned endless = is_chosen ? (unsigned)endless_status : 0;
    log_arrival(id, "ran", endless > 0 ? endless : status);
    pthread_mutex_unlock(&lock);
    Standin_SleepMs((double)work_ms);
    if (endless > 0) {
        return send_endless(request, id, endless);
    }
    if (strstr(request->path, "/stream")) {
        return send_stream(request, id);
    }
    char *stamp = g_strdup_printf("%s.%s", name, id);
    char *text = g_strdup_printf("%s %s", must_fail ? "failed" : "ok", id);
    const char *headers[] = {"Request-Id", id, "Response-Stamp", stamp, NULL};
    enum MHD_Result result = Standin_SendText(request, status, text, headers);
    g_free(text);
    g_free(stamp);
    return result;
}

static enum MHD_Result
handle_request(standin_request_t *request)
{
    if (strcmp(request->path, "/switch") == 0) {
        fail_status =
            Standin_GetQueryNumber(request, "fail", fail_status);
        work_ms = Standin_GetQueryNumber(request, "work_ms", work_ms);
        endless_status =
            Standin_GetQueryNumber(request, "endless", endless_status);
        return Standin_SendText(request, 200, "{}", NULL);
    }
    if (strcmp(request->path, "/health") == 0) {
        const char *headers[] = {"Instance", name, NULL};
        return Standin_SendText(request, 200, "{}", headers);
    }
    const char *id = Standin_GetHeader(request, "Request-Id");
    const char *expected = Standin_GetHeader(request, "Expect-Instance");
    if (!id) {
        const char *headers[] = {"Not-Run", "1", NULL};
        return Standin_SendText(request, 400, "", headers);
    }
    if (expected && strcmp(expected, name) != 0) {
        const char *headers[] = {"Request-Id", id, "Not-Run", "1", NULL};
        log_arrival(id, "rejected", 421);
        return Standin_SendText(request, 421, "", headers);
    }
    return run_request(request, id);
}

int
main(int argc, char **argv)
{
    if (argc != 7) {
        fprintf(stderr, "usage: review-server IP:PORT STORE NAME SERVICE "
                        "SLOTS LOG\n");
        return 2;
    }
    own_address = argv[1];
    store_address = argv[2];
    name = argv[3];
    service = argv[4];
    slots = atoi(argv[5]);
    arrival_log = fopen(argv[6], "a");
    setvbuf(arrival_log, NULL, _IOLBF, 0);
    born_ms = g_get_real_time() / 1000;
    curl_global_init(CURL_GLOBAL_ALL);
    pthread_t thread;
    pthread_create(&thread, NULL, run_registration, NULL);
    Standin_RunServer(own_address, handle_request);
    return 0;
}
