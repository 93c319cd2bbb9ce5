/*
 * service.c - Stand-in for a plain service that counts the requests it runs.
 *
 * Usage: standin-service IP:PORT
 * Runs every request other than those below; the answer holds its method, path
 * and body, and how often its Idempotency-Key has run.
 * POST /switch?delay_ms=&cut= sets faults: the time that each request takes;
 * cut=N runs the next N requests and closes their connections unanswered.
 * GET /counts: runs in all and by Idempotency-Key.
 */
#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "common.h"

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static GHashTable *runs_by_key;
static int64_t total_runs;
static int64_t delay_ms;
static int64_t answers_to_cut;

static enum MHD_Result
send_counts(standin_request_t *request)
{
    json_t *by_key = json_object();
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    pthread_mutex_lock(&lock);
    g_hash_table_iter_init(&iter, runs_by_key);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        json_object_set_new(by_key, key, json_integer(GPOINTER_TO_INT(value)));
    }
    json_t *root = json_pack("{s:I, s:o}", "total", (json_int_t)total_runs,
                             "runs", by_key);
    pthread_mutex_unlock(&lock);
    char *text = json_dumps(root, JSON_COMPACT | JSON_SORT_KEYS);
    json_decref(root);
    return Standin_SendJson(request, 200, text);
}

// Returns how often a request with this key has run, this run included; 1
// without a key.
static int
count_run(const char *key)
{
    total_runs++;
    if (!key) {
        return 1;
    }
    int run_number =
        GPOINTER_TO_INT(g_hash_table_lookup(runs_by_key, key)) + 1;
    g_hash_table_insert(runs_by_key, g_strdup(key),
                        GINT_TO_POINTER(run_number));
    return run_number;
}

static enum MHD_Result
run_request(standin_request_t *request)
{
    const char *token = Standin_GetHeader(request, "X-Request-Id");
    pthread_mutex_lock(&lock);
    int run_number = count_run(Standin_GetHeader(request, "Idempotency-Key"));
    int64_t wait_ms = delay_ms;
    bool must_close = answers_to_cut > 0;
    answers_to_cut -= must_close ? 1 : 0;
    pthread_mutex_unlock(&lock);
    if (wait_ms > 0) {
        Standin_SleepMs((double)wait_ms);
    }
    if (must_close) {
        return MHD_NO;
    }
    json_t *root = json_pack("{s:s, s:s, s:i, s:s}", "method", request->method,
                             "path", request->path, "run", run_number, "echo",
                             request->body.data);
    char *text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    const char *headers[] = {"X-Request-Id", token ? token : "", NULL};
    enum MHD_Result result =
        Standin_SendText(request, 200, text, token ? headers : NULL);
    free(text);
    return result;
}

static enum MHD_Result
handle_request(standin_request_t *request)
{
    if (strcmp(request->path, "/switch") == 0) {
        delay_ms = Standin_GetQueryNumber(request, "delay_ms", delay_ms);
        answers_to_cut =
            Standin_GetQueryNumber(request, "cut", answers_to_cut);
        return Standin_SendText(request, 200, "{}", NULL);
    }
    if (strcmp(request->path, "/counts") == 0) {
        return send_counts(request);
    }
    return run_request(request);
}

int
main(int argc, char **argv)
{
    runs_by_key = g_hash_table_new(g_str_hash, g_str_equal);
    Standin_RunServer(argc > 1 ? argv[1] : "127.0.0.1:7200", handle_request);
    return 0;
}
