/*
 * caller.c - Callers of a soak run: send, judge each answer, write it down.
 *
 * soak-caller SECONDS THREADS SEED OUT DIRECTORY...; asks the directories for
 * addresses, keeps connections, and writes a line for each request:
 * ID KIND KEY SENT_MS END_MS STATUS JUDGEMENT
 * with whole, short (looks complete and is not), crossed (another's answer),
 * torn (seen to be cut), none (no answer) or refused.
 */
#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define ADDRESSES_MAX 64
#define REFRESH_MS 1000 /* an answer of a directory is kept for so long */
#define LIMIT_MS 3000   /* a caller's time for one request */
#define STREAM_EVENTS 15
#define PAUSE_MS 30 /* between a caller's requests, mean */

/* ---- Types ------------------------------------------------------------ */

typedef struct answer {
    GString *body;
    long status;
} answer_t;

typedef struct caller {
    unsigned int seed;
    int number;
    char *addresses[ADDRESSES_MAX];
    int n_addresses;
    int64_t asked_ms;
    CURL *easy;
} caller_t;

/* ---- Globals ---------------------------------------------------------- */

static int64_t end_ms;
static FILE *out;
static char **directories;
static int n_directories;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

/* ---- Internal functions ----------------------------------------------- */

static int64_t
now_ms(void)
{
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static size_t
on_data(char *data, size_t size, size_t n, void *user)
{
    g_string_append_len(user, data, (gssize)(size * n));
    return size * n;
}

static void
ask_directory(caller_t *caller)
{
    GString *body = g_string_new(NULL);
    CURL *easy = curl_easy_init();
    int at = rand_r(&caller->seed) % n_directories;
    char *url = g_strdup_printf(
        "http://%s/pearstair/resolve?name=a.example&region=r&zone=z1",
        directories[at]);
    curl_easy_setopt(easy, CURLOPT_URL, url);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, 1000L);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_data);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, body);
    if (curl_easy_perform(easy) == CURLE_OK) {
        json_t *root = json_loads(body->str, 0, NULL);
        json_t *list = json_object_get(root, "addresses");
        size_t i;
        json_t *each;
        int n = 0;
        json_array_foreach(list, i, each)
        {
            if (n < ADDRESSES_MAX && json_is_string(each)) {
                g_free(caller->addresses[n]);
                caller->addresses[n++] = g_strdup(json_string_value(each));
            }
        }
        caller->n_addresses = n > 0 ? n : caller->n_addresses;
        json_decref(root);
    }
    caller->asked_ms = now_ms();
    curl_easy_cleanup(easy);
    g_free(url);
    g_string_free(body, TRUE);
}

// Tells what a success's body is worth.
static const char *
judge_body(const char *kind, const char *id, const char *body)
{
    if (strcmp(kind, "stream") != 0) {
        char *expected = g_strdup_printf("ok %s", id);
        bool is_own = strcmp(body, expected) == 0;
        g_free(expected);
        return is_own ? "whole" : "crossed";
    }
    int good = 0;
    for (const char *at = body; (at = strstr(at, "data: ")); at++) {
        char other[64];
        int number;
        if (sscanf(at, "data: %63s %d", other, &number) != 2 ||
            strcmp(other, id) != 0) {
            return "crossed";
        }
        if (number != ++good) {
            return "short";
        }
    }
    return good == STREAM_EVENTS ? "whole" : "short";
}

static void
write_line(const char *id, const char *kind, const char *key, int64_t sent,
           long status, const char *judgement)
{
    pthread_mutex_lock(&lock);
    fprintf(out, "%s %s %s %lld %lld %ld %s\n", id, kind, key, (long long)sent,
            (long long)now_ms(), status, judgement);
    pthread_mutex_unlock(&lock);
}

static struct curl_slist *
make_head(const char *id, const char *key)
{
    struct curl_slist *head = NULL;
    char *lines[] = {g_strdup_printf("Request-Id: %s", id),
                     g_strdup_printf("Authorization: Bearer %s", key),
                     g_strdup_printf("Deadline-Ms: %d", LIMIT_MS),
                     g_strdup_printf("Token-Counts: 50,%d", STREAM_EVENTS * 5),
                     g_strdup("Host: a.example"),
                     g_strdup("Expect:")};
    for (size_t i = 0; i < G_N_ELEMENTS(lines); i++) {
        head = curl_slist_append(head, lines[i]);
        g_free(lines[i]);
    }
    return head;
}

static void
send_one(caller_t *caller, const char *id)
{
    static const char *const kinds[] = {"once", "safe", "stream"};
    const char *kind = kinds[rand_r(&caller->seed) % 3];
    const char *key = rand_r(&caller->seed) % 4 == 0 ? "key-2" : "key-1";
    const char *address =
        caller->addresses[rand_r(&caller->seed) % caller->n_addresses];
    char *url = g_strdup_printf("http://%s/%s/a", address, kind);
    GString *body = g_string_new(NULL);
    struct curl_slist *head = make_head(id, key);
    CURL *easy = caller->easy;
    curl_easy_reset(easy);
    curl_easy_setopt(easy, CURLOPT_URL, url);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, head);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, 1000L);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)LIMIT_MS);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_data);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, body);
    // A resend by the library would be a second request with the same id.
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT,
                     rand_r(&caller->seed) % 2 ? 1L : 0L);
    if (strcmp(kind, "safe") != 0) {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, id);
    }
    int64_t sent = now_ms();
    CURLcode code = curl_easy_perform(easy);
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    const char *judgement = code == CURLE_OK && status == 200
                                ? judge_body(kind, id, body->str)
                            : code == CURLE_OK ? "refused"
                            : status > 0       ? "torn"
                                               : "none";
    write_line(id, kind, key, sent, code == CURLE_OK ? status : 0, judgement);
    curl_slist_free_all(head);
    g_string_free(body, TRUE);
    g_free(url);
}

static void *
run_caller(void *user)
{
    caller_t *caller = user;
    caller->easy = curl_easy_init();
    for (int i = 0; now_ms() < end_ms; i++) {
        if (now_ms() - caller->asked_ms > REFRESH_MS) {
            ask_directory(caller);
        }
        if (caller->n_addresses > 0) {
            char *id = g_strdup_printf("c%d-%d-%lld", caller->number, i,
                                       (long long)now_ms());
            send_one(caller, id);
            g_free(id);
        }
        g_usleep((gulong)(rand_r(&caller->seed) % (2 * PAUSE_MS)) * 1000);
    }
    curl_easy_cleanup(caller->easy);
    return NULL;
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
    end_ms = now_ms() + atoi(argv[1]) * 1000;
    int n = atoi(argv[2]);
    out = fopen(argv[4], "w");
    directories = argv + 5;
    n_directories = argc - 5;
    pthread_t *threads = g_new(pthread_t, n);
    caller_t *callers = g_new0(caller_t, n);
    for (int i = 0; i < n; i++) {
        callers[i].seed = (unsigned int)(atoi(argv[3]) * 1000 + i);
        callers[i].number = i;
        pthread_create(&threads[i], NULL, run_caller, &callers[i]);
    }
    for (int i = 0; i < n; i++) {
        pthread_join(threads[i], NULL);
    }
    fclose(out);
    return 0;
}
