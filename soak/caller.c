/*
 * caller.c - Callers of a soak run: send requests and check each answer.
 *
 * Usage: soak-caller SECONDS THREADS SEED OUT DIRECTORY...
 * Runs for SECONDS, or until SIGTERM: then the requests in progress are ended
 * as usual and no others are sent.
 *
 * Each thread asks the directories for daemons' addresses, sends requests one
 * after another, and writes a line to OUT for each:
 * ID KIND KEY SENT_MS END_MS STATUS VERDICT
 * STATUS is 0 without a complete response. VERDICT is one of
 * whole: status 200 and the whole answer of this request
 * short: status 200 and a regular end, but events are missing or out of order
 * crossed: status 200 with a body that is not this request's
 * mixed: a stream with events of two versions of the servers' software
 * torn: the response was broken off, which the caller can detect
 * none: no response
 * refused: a complete response with another status than 200
 * KIND is once, safe, stream, take-up, or crash: one content that ends each
 * backend server that runs it, which SEED chooses, is sent again and again. A
 * stream that breaks off after an event is taken up at another address, once.
 * With SOAK_PARTS in the environment, streams have parts of a prompt, and
 * those of KIND part one that ends each server that begins to write on it.
 */
#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>
#include <pthread.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define ADDRESSES_MAX 64          /* of one directory's answer */
#define ADDRESSES_MAX_AGE_MS 1000 /* of a directory's answer */
#define REQUEST_TIMEOUT_MS 3000   /* also sent as Deadline-Ms */
#define STREAM_EVENTS 15          /* events requested of each stream */
#define MEAN_PAUSE_MS 30          /* between requests of a thread */
#define CRASH_ONE_IN 100 /* one of so many requests is a crashing one */
#define PART_ONE_IN 50   /* one of so many has the crashing part */

/* ---- Types ------------------------------------------------------------ */

typedef struct answer {
    GString *body;
    long status;
} answer_t;

// The part of a stream that a caller has.
typedef struct stream {
    char request_id[64]; // of the request that brought the first event
    char version[16];    // of the servers that wrote it; empty: no event yet
    int n_events;
} stream_t;

typedef struct caller {
    unsigned int seed;
    int index; /* of the thread; part of its requests' ids */
    char *addresses[ADDRESSES_MAX];
    int n_addresses;
    int64_t refreshed_ms; /* last query to a directory, answered or not */
    CURL *easy;
    int sends; /* times that libcurl began to send the current request */
} caller_t;

/* ---- Globals ---------------------------------------------------------- */

static int64_t end_ms;                    /* no request is sent after */
static volatile sig_atomic_t is_stopping; /* set by SIGTERM */
static const char *const kinds[] = {"once", "safe", "stream"};
static const char *crash_path; /* of the crashing content, a kind */
static char *crash_body;
static bool has_parts; /* SOAK_PARTS */
static FILE *results;  /* OUT; guarded by results_lock */
static char **directories;
static int n_directories;
static pthread_mutex_t results_lock = PTHREAD_MUTEX_INITIALIZER;

/* ---- Internal functions ----------------------------------------------- */

static int64_t
now_ms(void)
{
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static size_t
append_body(char *data, size_t size, size_t n, void *user)
{
    g_string_append_len(user, data, (gssize)(size * n));
    return size * n;
}

// Queries a random directory. Without an address in its answer the former
// addresses stay.
static void
refresh_addresses(caller_t *caller)
{
    GString *body = g_string_new(NULL);
    CURL *easy = curl_easy_init();
    int directory = rand_r(&caller->seed) % n_directories;
    char *url = g_strdup_printf(
        "http://%s/pearstair/resolve?name=a.example&region=r&zone=z1",
        directories[directory]);
    curl_easy_setopt(easy, CURLOPT_URL, url);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, 1000L);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, body);
    if (curl_easy_perform(easy) == CURLE_OK) {
        json_t *root = json_loads(body->str, 0, NULL);
        json_t *list = json_object_get(root, "addresses");
        size_t i;
        json_t *item;
        int n = 0;
        json_array_foreach(list, i, item)
        {
            if (n < ADDRESSES_MAX && json_is_string(item)) {
                g_free(caller->addresses[n]);
                caller->addresses[n++] = g_strdup(json_string_value(item));
            }
        }
        caller->n_addresses = n > 0 ? n : caller->n_addresses;
        json_decref(root);
    }
    caller->refreshed_ms = now_ms();
    curl_easy_cleanup(easy);
    g_free(url);
    g_string_free(body, TRUE);
}

// Adds the whole events of a response to what the caller has of the stream;
// returns a verdict on them.
static const char *
add_events(stream_t *stream, const char *id, const char *body)
{
    const char *position = body;
    for (; (position = strstr(position, "data: ")); position++) {
        char event_id[64];
        char version[16];
        int number;
        if (!strstr(position, "\n\n")) {
            break;
        }
        if (sscanf(position, "data: %63s %d %15s", event_id, &number,
                   version) != 3 ||
            strcmp(event_id, id) != 0) {
            return "crossed";
        }
        if (number != stream->n_events + 1) {
            return "short";
        }
        if (stream->n_events++ == 0) {
            g_strlcpy(stream->request_id, id, sizeof stream->request_id);
            g_strlcpy(stream->version, version, sizeof stream->version);
        }
        if (strcmp(stream->version, version) != 0) {
            return "mixed";
        }
    }
    return stream->n_events == STREAM_EVENTS ? "whole" : "short";
}

static const char *
check_plain(const char *id, const char *body)
{
    char *expected = g_strdup_printf("ok %s", id);
    bool is_expected = strcmp(body, expected) == 0;
    g_free(expected);
    return is_expected ? "whole" : "crossed";
}

static void
write_result(const char *id, const char *kind, const char *key,
             int64_t sent_ms, long status, const char *verdict)
{
    pthread_mutex_lock(&results_lock);
    fprintf(results, "%s %s %s %lld %lld %ld %s\n", id, kind, key,
            (long long)sent_ms, (long long)now_ms(), status, verdict);
    pthread_mutex_unlock(&results_lock);
}

// Stops libcurl from sending a request again when a connection that it reuses
// turns out to be closed: that would be a second request with the same id.
static int
on_before_send(void *user, char *remote_ip, char *local_ip, int remote_port,
               int local_port)
{
    (void)remote_ip;
    (void)local_ip;
    (void)remote_port;
    (void)local_port;
    caller_t *caller = user;
    return caller->sends++ == 0 ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

// Makes the headers of a request; one for a stream takes it up after the
// events that the caller has.
static struct curl_slist *
make_headers(const char *id, const char *kind, const char *key,
             const stream_t *stream)
{
    struct curl_slist *headers = NULL;
    char *parts =
        has_parts
            ? g_strdup_printf("Prompt-Prefix: 5a11:10,%s%x:10",
                              strcmp(kind, "part") == 0 ? "dead7:10," : "",
                              g_str_hash(id) | 0x10000000)
            : g_strdup("Prompt-Prefix;");
    headers = curl_slist_append(headers, parts);
    g_free(parts);
    if (stream->n_events > 0) {
        char *resumes = g_strdup_printf("Resumes: %s", stream->request_id);
        char *after = g_strdup_printf("Last-Event-Id: %d", stream->n_events);
        headers = curl_slist_append(headers, resumes);
        headers = curl_slist_append(headers, after);
        g_free(resumes);
        g_free(after);
    }
    // The backend servers of the tests send one event for 5 output tokens.
    char *lines[] = {g_strdup_printf("Request-Id: %s", id),
                     g_strdup_printf("Authorization: Bearer %s", key),
                     g_strdup_printf("Deadline-Ms: %d", REQUEST_TIMEOUT_MS),
                     g_strdup_printf("Token-Counts: 50,%d", STREAM_EVENTS * 5),
                     g_strdup("Host: a.example"),
                     g_strdup("Expect:")};
    for (size_t i = 0; i < G_N_ELEMENTS(lines); i++) {
        headers = curl_slist_append(headers, lines[i]);
        g_free(lines[i]);
    }
    return headers;
}

// Sends a request to a random daemon and writes its result.
// @stream: what the caller has of the stream, if it is one
static void
send_request(caller_t *caller, const char *id, const char *kind,
             const char *key, stream_t *stream)
{
    const char *address =
        caller->addresses[rand_r(&caller->seed) % caller->n_addresses];
    bool is_crashing = strcmp(kind, "crash") == 0;
    bool is_stream = strcmp(kind, "stream") == 0 ||
                     strcmp(kind, "take-up") == 0 || strcmp(kind, "part") == 0;
    char *url = g_strdup_printf("http://%s/%s/a", address,
                                is_crashing ? crash_path
                                : is_stream ? "stream"
                                            : kind);
    GString *body = g_string_new(NULL);
    struct curl_slist *headers = make_headers(id, kind, key, stream);
    CURL *easy = caller->easy;
    curl_easy_reset(easy);
    curl_easy_setopt(easy, CURLOPT_URL, url);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, 1000L);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)REQUEST_TIMEOUT_MS);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, body);
    caller->sends = 0;
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_before_send);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, caller);
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT,
                     rand_r(&caller->seed) % 2 ? 1L : 0L);
    if (strcmp(kind, "safe") != 0) {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS,
                         is_crashing ? crash_body : id);
    }
    int64_t sent_ms = now_ms();
    CURLcode code = curl_easy_perform(easy);
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    const char *verdict = code == CURLE_OK ? "refused"
                          : status > 0     ? "torn"
                                           : "none";
    const char *found = "";
    if (status == 200) {
        found = is_stream ? add_events(stream, id, body->str)
                          : check_plain(id, body->str);
    }
    if ((code == CURLE_OK && status == 200) || strcmp(found, "mixed") == 0) {
        verdict = found;
    }
    write_result(id, kind, key, sent_ms, code == CURLE_OK ? status : 0,
                 verdict);
    curl_slist_free_all(headers);
    g_string_free(body, TRUE);
    g_free(url);
}

// Sends a request of a random kind and key, and takes up a stream that breaks
// off.
static void
send_any_request(caller_t *caller, const char *id)
{
    const char *kind = kinds[rand_r(&caller->seed) % 3];
    const char *key = rand_r(&caller->seed) % 4 == 0 ? "key-2" : "key-1";
    bool is_crashing = rand_r(&caller->seed) % CRASH_ONE_IN == 0;
    bool has_crashing_part =
        has_parts && rand_r(&caller->seed) % PART_ONE_IN == 0;
    if (is_crashing || has_crashing_part) {
        kind = is_crashing ? "crash" : "part";
        key = "key-1";
    }
    stream_t stream = {.n_events = 0};
    send_request(caller, id, kind, key, &stream);
    if (strcmp(kind, "stream") == 0 && stream.n_events > 0 &&
        stream.n_events < STREAM_EVENTS) {
        char *second = g_strdup_printf("%s-up", id);
        send_request(caller, second, "take-up", key, &stream);
        g_free(second);
    }
}

static void *
run_caller(void *user)
{
    caller_t *caller = user;
    caller->easy = curl_easy_init();
    for (int i = 0; !is_stopping && now_ms() < end_ms; i++) {
        if (now_ms() - caller->refreshed_ms > ADDRESSES_MAX_AGE_MS) {
            refresh_addresses(caller);
        }
        if (caller->n_addresses > 0) {
            char *id = g_strdup_printf("c%d-%d-%lld", caller->index, i,
                                       (long long)now_ms());
            send_any_request(caller, id);
            g_free(id);
        }
        g_usleep((gulong)(rand_r(&caller->seed) % (2 * MEAN_PAUSE_MS)) * 1000);
    }
    curl_easy_cleanup(caller->easy);
    return NULL;
}

static void
on_term(int signal)
{
    (void)signal;
    is_stopping = 1;
}

/* ---- Program ---------------------------------------------------------- */

int
main(int argc, char **argv)
{
    if (argc < 6) {
        fprintf(stderr, "usage: soak-caller SECONDS THREADS SEED OUT "
                        "DIRECTORY...\n");
        return 2;
    }
    curl_global_init(CURL_GLOBAL_ALL);
    signal(SIGTERM, on_term);
    has_parts = getenv("SOAK_PARTS") != NULL;
    end_ms = now_ms() + atoi(argv[1]) * 1000;
    crash_path = kinds[atoi(argv[3]) % 3];
    // A stream's server ends within the stream, after as many events.
    bool is_stream = strcmp(crash_path, "stream") == 0;
    crash_body =
        g_strdup_printf("CRASH %d", is_stream ? atoi(argv[3]) / 3 % 4 : 0);
    int n = atoi(argv[2]);
    results = fopen(argv[4], "w");
    directories = argv + 5;
    n_directories = argc - 5;
    pthread_t *threads = g_new(pthread_t, n);
    caller_t *callers = g_new0(caller_t, n);
    for (int i = 0; i < n; i++) {
        callers[i].seed = (unsigned int)(atoi(argv[3]) * 1000 + i);
        callers[i].index = i;
        pthread_create(&threads[i], NULL, run_caller, &callers[i]);
    }
    for (int i = 0; i < n; i++) {
        pthread_join(threads[i], NULL);
    }
    fclose(results);
    return 0;
}
