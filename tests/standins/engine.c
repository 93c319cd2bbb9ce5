/*
 * engine.c - Stand-in for a model engine with continuous batching.
 *
 * Usage: standin-engine IP:PORT [BASE_MS SLOPE_MS PREFILL_TOKENS_PER_MS]
 * POST /v1/completions and /v1/chat/completions, whole or streamed; GET and
 * DELETE /v1/streams/ID, GET /v1/streams; GET /v1/load?after= with a lag.
 * The answer's words are TAG:0, TAG:1, ... with TAG the prompt's first word,
 * so that a caller can tell whose answer it has.
 * POST /switch?slow=&cut=&cross=&own=&hang= ; a prompt with "CRASH" kills the
 * process. GET /counts.
 */
#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <xxhash.h>

#include "common.h"

#define BLOCK_BYTES 1024 /* prompt bytes in a cache block */
#define BYTES_PER_TOKEN 4
#define CACHE_BLOCKS 256 /* blocks kept */
#define CHUNK_TOKENS 512 /* prompt tokens processed in one step */
#define TOKENS_DEFAULT 16
#define REPORT_LAG_MS 1500
#define EVENTS_MAX 256

typedef struct stream {
    char *token;
    char *key;
    char *tag;
    int64_t prompt_left;
    int64_t prompt_done;
    int target;
    int made;
    bool is_cancelled;
    bool is_sse;
    bool was_counted;
} stream_t;

typedef struct reader {
    stream_t *stream;
    int next;
    bool has_ended;
    ps_buf_t out;
} reader_t;

typedef struct cache_event {
    int64_t seq;
    int64_t at_ms;
    uint64_t block;
    bool is_evicted;
} cache_event_t;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t turned = PTHREAD_COND_INITIALIZER;
static GHashTable *streams;
static GQueue active;
static GQueue cache; /* blocks, most recent first */
static GQueue events;
static int64_t event_seq;
static double base_ms = 8.0;
static double slope_ms = 0.3;
static double prefill_rate = 8.0;
static double slow = 1.0;
static int64_t cut;   /* next streams to break after some tokens */
static int64_t cross; /* next answers to give a wrong id */
static int64_t own;   /* next answers to give an id of the engine's own */
static int64_t hang;  /* no step is made */
static int64_t runs;
static int64_t prefill_tokens;
static int64_t wasted_tokens;
static int64_t reported_running;
static int64_t reported_at;

/* ---- Cache ------------------------------------------------------------ */

static void
add_event(uint64_t block, bool is_evicted)
{
    cache_event_t *event = g_new0(cache_event_t, 1);
    *event = (cache_event_t){++event_seq, Standin_NowMs(), block, is_evicted};
    g_queue_push_tail(&events, event);
    if (events.length > EVENTS_MAX) {
        g_free(g_queue_pop_head(&events));
    }
}

static bool
touch_block(uint64_t block)
{
    for (GList *l = cache.head; l; l = l->next) {
        if (*(uint64_t *)l->data == block) {
            g_queue_unlink(&cache, l);
            g_queue_push_head_link(&cache, l);
            return true;
        }
    }
    g_queue_push_head(&cache, g_memdup2(&block, sizeof block));
    add_event(block, false);
    if (cache.length > CACHE_BLOCKS) {
        uint64_t *old = g_queue_pop_tail(&cache);
        add_event(*old, true);
        g_free(old);
    }
    return false;
}

// Returns the prompt tokens that have to be processed.
static int64_t
uncached_tokens(const char *prompt)
{
    size_t len = strlen(prompt);
    int64_t cached = 0;
    uint64_t hash = 0;
    bool is_leading = true;
    for (size_t at = 0; at + BLOCK_BYTES <= len; at += BLOCK_BYTES) {
        hash = XXH3_64bits_withSeed(prompt + at, BLOCK_BYTES, hash);
        is_leading = touch_block(hash) && is_leading;
        cached += is_leading ? BLOCK_BYTES / BYTES_PER_TOKEN : 0;
    }
    return (int64_t)len / BYTES_PER_TOKEN + 1 - cached;
}

/* ---- Engine ----------------------------------------------------------- */

static void
retire_stream(GList *link)
{
    stream_t *stream = link->data;
    if (stream->is_cancelled && !stream->was_counted) {
        stream->was_counted = true;
        wasted_tokens += stream->prompt_done;
    }
    g_queue_delete_link(&active, link);
}

// Makes one step for all active streams; returns its time.
static double
plan_step(void)
{
    int64_t room = CHUNK_TOKENS;
    int batch = 0;
    double ms = base_ms;
    for (GList *l = active.head; l; l = l->next) {
        stream_t *stream = l->data;
        int64_t n = MIN(stream->prompt_left, room);
        room -= n;
        stream->prompt_left -= n;
        stream->prompt_done += n;
        prefill_tokens += n;
        ms += (double)n / prefill_rate;
        batch++;
    }
    return (ms + slope_ms * batch) * slow;
}

static void
finish_step(void)
{
    GList *next;
    for (GList *l = active.head; l; l = next) {
        next = l->next;
        stream_t *stream = l->data;
        if (stream->prompt_left == 0 && !stream->is_cancelled) {
            stream->made++;
        }
        if (stream->made >= stream->target || stream->is_cancelled) {
            retire_stream(l);
        }
    }
}

static void *
run_engine(void *unused)
{
    (void)unused;
    pthread_mutex_lock(&lock);
    for (;;) {
        while (active.length == 0 || hang) {
            pthread_cond_wait(&turned, &lock);
        }
        double ms = plan_step();
        pthread_mutex_unlock(&lock);
        Standin_Sleep(ms);
        pthread_mutex_lock(&lock);
        finish_step();
        if (Standin_NowMs() - reported_at > REPORT_LAG_MS) {
            reported_at = Standin_NowMs();
            reported_running = active.length;
        }
        pthread_cond_broadcast(&turned);
    }
    return NULL;
}

/* ---- Answers ---------------------------------------------------------- */

static void
wait_turn(void)
{
    struct timespec wake;
    clock_gettime(CLOCK_REALTIME, &wake);
    wake.tv_sec += 1;
    pthread_cond_timedwait(&turned, &lock, &wake);
}

static ssize_t
read_events(void *user, uint64_t position, char *out, size_t max)
{
    (void)position;
    reader_t *reader = user;
    stream_t *stream = reader->stream;
    pthread_mutex_lock(&lock);
    while (reader->out.len == 0 && reader->next == stream->made &&
           reader->next < stream->target && !stream->is_cancelled) {
        wait_turn();
    }
    while (reader->next < stream->made) {
        PsBuf_AppendFormat(&reader->out,
                           "data: {\"choices\":[{\"text\":\"%s:%d \"}]}\n\n",
                           stream->tag, reader->next++);
        if (cut > 0 && reader->next == 3) {
            cut--;
            pthread_mutex_unlock(&lock);
            return MHD_CONTENT_READER_END_WITH_ERROR;
        }
    }
    bool is_over = reader->next == stream->target;
    bool is_cancelled = stream->is_cancelled;
    pthread_mutex_unlock(&lock);
    if (is_over && !reader->has_ended) {
        reader->has_ended = true;
        PsBuf_AppendC(&reader->out, "data: [DONE]\n\n");
    }
    if (reader->out.len == 0) {
        return is_cancelled ? MHD_CONTENT_READER_END_WITH_ERROR
                            : MHD_CONTENT_READER_END_OF_STREAM;
    }
    size_t n = MIN(reader->out.len, max);
    memcpy(out, reader->out.data, n);
    PsBuf_RemoveFront(&reader->out, n);
    return (ssize_t)n;
}

static void
free_reader(void *user)
{
    reader_t *reader = user;
    PsBuf_Finish(&reader->out);
    g_free(reader);
}

static enum MHD_Result
send_stream(standin_request_t *request, stream_t *stream, const char *id)
{
    reader_t *reader = g_new0(reader_t, 1);
    reader->stream = stream;
    struct MHD_Response *response = MHD_create_response_from_callback(
        MHD_SIZE_UNKNOWN, 4096, read_events, reader, free_reader);
    MHD_add_response_header(response, "Content-Type", "text/event-stream");
    MHD_add_response_header(response, "X-Request-Id", id);
    enum MHD_Result result =
        MHD_queue_response(request->connection, 200, response);
    MHD_destroy_response(response);
    return result;
}

static enum MHD_Result
send_whole(standin_request_t *request, stream_t *stream, const char *id)
{
    pthread_mutex_lock(&lock);
    while (stream->made < stream->target && !stream->is_cancelled) {
        wait_turn();
    }
    bool is_cut = cut > 0 || stream->is_cancelled;
    cut -= cut > 0 ? 1 : 0;
    pthread_mutex_unlock(&lock);
    if (is_cut) {
        return MHD_NO;
    }
    ps_buf_t text;
    PsBuf_Init(&text);
    for (int i = 0; i < stream->target; i++) {
        PsBuf_AppendFormat(&text, "%s:%d ", stream->tag, i);
    }
    json_t *root =
        json_pack("{s:[{s:s}], s:{s:i}}", "choices", "text", text.data,
                  "usage", "completion_tokens", stream->target);
    PsBuf_Finish(&text);
    char *dump = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    const char *headers[] = {"X-Request-Id", id, NULL};
    enum MHD_Result result = Standin_Send(request, 200, dump, headers);
    free(dump);
    return result;
}

static enum MHD_Result
send_answer(standin_request_t *request, stream_t *stream)
{
    const char *id = stream->token;
    pthread_mutex_lock(&lock);
    if (cross > 0) {
        cross--;
        id = "draft.999.999";
    }
    if (own > 0) {
        own--;
        id = "cmpl-8f2a";
    }
    pthread_mutex_unlock(&lock);
    return stream->is_sse ? send_stream(request, stream, id)
                          : send_whole(request, stream, id);
}

/* ---- Requests --------------------------------------------------------- */

static char *
prompt_of(const json_t *root)
{
    const char *prompt = json_string_value(json_object_get(root, "prompt"));
    if (prompt) {
        return g_strdup(prompt);
    }
    GString *joined = g_string_new(NULL);
    const json_t *messages = json_object_get(root, "messages");
    for (size_t i = 0; i < json_array_size(messages); i++) {
        const json_t *item = json_array_get(messages, i);
        g_string_append(joined,
                        json_string_value(json_object_get(item, "content")));
    }
    return g_string_free(joined, FALSE);
}

static enum MHD_Result
complete(standin_request_t *request)
{
    json_t *root = json_loadb(request->body.data, request->body.len, 0, NULL);
    char *prompt = prompt_of(root);
    const char *token = Standin_Header(request, "X-Request-Id");
    const char *key = Standin_Header(request, "X-Call-Id");
    if (strstr(prompt, "CRASH")) {
        _exit(9);
    }
    json_t *max_tokens = json_object_get(root, "max_tokens");
    stream_t *stream = g_new0(stream_t, 1);
    pthread_mutex_lock(&lock);
    runs++;
    stream->token = token ? g_strdup(token)
                          : g_strdup_printf("direct.%lld", (long long)runs);
    stream->key = g_strdup(key);
    stream->tag = g_strndup(prompt, strcspn(prompt, " \n"));
    stream->target =
        max_tokens ? (int)json_integer_value(max_tokens) : TOKENS_DEFAULT;
    stream->is_sse = json_is_true(json_object_get(root, "stream"));
    stream->prompt_left = uncached_tokens(prompt);
    g_hash_table_replace(streams, stream->token, stream);
    g_queue_push_tail(&active, stream);
    pthread_cond_broadcast(&turned);
    pthread_mutex_unlock(&lock);
    g_free(prompt);
    json_decref(root);
    return send_answer(request, stream);
}

static enum MHD_Result
list_streams(standin_request_t *request)
{
    json_t *list = json_array();
    pthread_mutex_lock(&lock);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, streams);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const stream_t *stream = value;
        json_array_append_new(
            list, json_pack("{s:s, s:s, s:b}", "token", stream->token, "id",
                            stream->key ? stream->key : "", "ended",
                            (int)(stream->made >= stream->target)));
    }
    pthread_mutex_unlock(&lock);
    json_t *root = json_pack("{s:o}", "streams", list);
    char *text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    return Standin_SendJson(request, 200, text);
}

static enum MHD_Result
handle_stream(standin_request_t *request)
{
    const char *token = request->path + strlen("/v1/streams/");
    pthread_mutex_lock(&lock);
    stream_t *stream = g_hash_table_lookup(streams, token);
    bool is_delete = strcmp(request->method, "DELETE") == 0;
    if (stream && is_delete && stream->made < stream->target) {
        stream->is_cancelled = true;
        pthread_cond_broadcast(&turned);
    }
    pthread_mutex_unlock(&lock);
    if (!stream || (stream->is_cancelled && !is_delete)) {
        return Standin_Send(request, 404, "{}", NULL);
    }
    return is_delete ? Standin_Send(request, 200, "{}", NULL)
                     : send_answer(request, stream);
}

static json_t *
events_after(int64_t after)
{
    json_t *list = json_array();
    int64_t now = Standin_NowMs();
    for (GList *l = events.head; l; l = l->next) {
        const cache_event_t *event = l->data;
        if (event->seq <= after || now - event->at_ms < REPORT_LAG_MS) {
            continue;
        }
        char block[20];
        g_snprintf(block, sizeof block, "%016llx",
                   (unsigned long long)event->block);
        json_array_append_new(
            list, json_pack("{s:I, s:s}", "seq", (json_int_t)event->seq,
                            event->is_evicted ? "evicted" : "stored", block));
    }
    return list;
}

static enum MHD_Result
send_load(standin_request_t *request)
{
    int64_t after = Standin_Number(request, "after", 0);
    pthread_mutex_lock(&lock);
    json_t *root =
        json_pack("{s:I, s:i, s:o}", "running", (json_int_t)reported_running,
                  "waiting", 0, "cache_events", events_after(after));
    pthread_mutex_unlock(&lock);
    char *text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    return Standin_SendJson(request, 200, text);
}

static enum MHD_Result
send_counts(standin_request_t *request)
{
    pthread_mutex_lock(&lock);
    char *text =
        g_strdup_printf("{\"runs\":%lld,\"active\":%u,\"prefill_tokens\":%lld,"
                        "\"wasted_tokens\":%lld}",
                        (long long)runs, active.length,
                        (long long)prefill_tokens, (long long)wasted_tokens);
    pthread_mutex_unlock(&lock);
    return Standin_SendJson(request, 200, text);
}

static enum MHD_Result
handle_switch(standin_request_t *request)
{
    pthread_mutex_lock(&lock);
    slow = (double)Standin_Number(request, "slow", (int64_t)slow);
    cut = Standin_Number(request, "cut", cut);
    cross = Standin_Number(request, "cross", cross);
    own = Standin_Number(request, "own", own);
    hang = Standin_Number(request, "hang", hang);
    pthread_cond_broadcast(&turned);
    pthread_mutex_unlock(&lock);
    return Standin_Send(request, 200, "{}", NULL);
}

static enum MHD_Result
handle(standin_request_t *request)
{
    if (g_str_has_prefix(request->path, "/v1/streams/")) {
        return handle_stream(request);
    }
    if (strcmp(request->path, "/v1/streams") == 0) {
        return list_streams(request);
    }
    if (strcmp(request->path, "/v1/load") == 0) {
        return send_load(request);
    }
    if (strcmp(request->path, "/counts") == 0) {
        return send_counts(request);
    }
    if (strcmp(request->path, "/switch") == 0) {
        return handle_switch(request);
    }
    return complete(request);
}

int
main(int argc, char **argv)
{
    if (argc > 4) {
        base_ms = atof(argv[2]);
        slope_ms = atof(argv[3]);
        prefill_rate = atof(argv[4]);
    }
    streams = g_hash_table_new(g_str_hash, g_str_equal);
    g_queue_init(&active);
    g_queue_init(&cache);
    g_queue_init(&events);
    pthread_t thread;
    pthread_create(&thread, NULL, run_engine, NULL);
    Standin_Serve(argc > 1 ? argv[1] : "127.0.0.1:7100", handle);
    return 0;
}
