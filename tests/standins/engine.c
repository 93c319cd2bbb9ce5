/*
 * engine.c - Stand-in for a model's backend server with continuous batching.
 *
 * Usage: standin-engine IP:PORT [BASE_MS SLOPE_MS PREFILL_TOKENS_PER_MS]
 *
 * POST /v1/completions and /v1/chat/completions: a request, with or without
 * streaming. Its answer is the words TAG:0, TAG:1, ... with TAG the prompt's
 * first word, so that a caller can tell whose answer it has.
 *
 * GET /v1/streams lists the requests; GET /v1/streams/TOKEN sends a request's
 * answer again from its start, DELETE cancels the request.
 *
 * GET /v1/load?after=SEQ: running streams, counted every REPORT_LAG_MS, and
 * the cache events after SEQ that are at least that old.
 *
 * POST /switch sets faults: slow (factor on the time of each step), cut (the
 * next answers break off: a stream before its third word, a plain answer
 * before its head), cross (the next answers have another request's id), own
 * (the next answers have an id that the server has generated) and hang (no
 * step is made). A prompt that contains "CRASH" ends the process.
 *
 * GET /counts: requests and prompt tokens so far.
 */
#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <xxhash.h>

#include "common.h"

#define CACHE_BLOCK_BYTES 1024 /* prompt bytes in a prefix cache block */
#define BYTES_PER_TOKEN 4
#define CACHE_BLOCKS 256       /* blocks that the prefix cache holds */
#define STEP_PROMPT_TOKENS 512 /* prompt tokens processed in a step */
#define OUTPUT_TOKENS_DEFAULT 16
#define REPORT_LAG_MS 1500   /* see GET /v1/load */
#define CACHE_EVENTS_MAX 256 /* cache events kept */

typedef struct stream {
    char *token;   /* X-Request-Id: names this dispatch */
    char *call_id; /* X-Call-Id: names the caller's request, or NULL */
    char *tag;     /* first word of the prompt */
    int64_t prompt_tokens_left;
    int64_t prompt_tokens_done;
    int output_tokens;
    int generated_tokens;
    bool is_cancelled;
    bool is_sse;
    bool is_waste_counted;
} stream_t;

typedef struct stream_reader {
    stream_t *stream;
    int next; /* output token to be sent */
    bool has_sent_end;
    ps_buf_t out; /* events not yet handed to the HTTP server */
} stream_reader_t;

typedef struct cache_event {
    int64_t seq;
    int64_t at_ms;
    uint64_t block;
    bool is_evicted;
} cache_event_t;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t state_changed = PTHREAD_COND_INITIALIZER;
static GHashTable *streams;
static GQueue active_streams;
static GQueue cache_blocks; /* hashes, most recently used first */
static GQueue cache_events;
static int64_t last_event_seq;
static double step_base_ms = 8.0;
static double step_ms_per_stream = 0.3;
static double prefill_tokens_per_ms = 8.0;
static double slowdown = 1.0;     /* factor on the time of a step */
static int64_t answers_to_cut;    /* number of the next answers to cut */
static int64_t wrong_ids_to_send; /* the same, to send with a wrong id */
static int64_t own_ids_to_send;   /* the same, to send with a generated id */
static int64_t is_hung;           /* no step is made while set */
static int64_t n_runs;
static int64_t prefill_tokens;
static int64_t wasted_tokens;    /* processed for cancelled requests */
static int64_t reported_running; /* active streams at reported_at_ms */
static int64_t reported_at_ms;

/* ---- Cache ------------------------------------------------------------ */

static void
add_event(uint64_t block, bool is_evicted)
{
    cache_event_t *event = g_new0(cache_event_t, 1);
    *event = (cache_event_t){++last_event_seq, Standin_GetTimeMs(), block,
                             is_evicted};
    g_queue_push_tail(&cache_events, event);
    if (cache_events.length > CACHE_EVENTS_MAX) {
        g_free(g_queue_pop_head(&cache_events));
    }
}

// Marks a block as most recently used, and adds it if the cache lacks it.
// Returns whether it was in the cache.
static bool
use_cache_block(uint64_t block)
{
    for (GList *l = cache_blocks.head; l; l = l->next) {
        if (*(uint64_t *)l->data == block) {
            g_queue_unlink(&cache_blocks, l);
            g_queue_push_head_link(&cache_blocks, l);
            return true;
        }
    }
    g_queue_push_head(&cache_blocks, g_memdup2(&block, sizeof block));
    add_event(block, false);
    if (cache_blocks.length > CACHE_BLOCKS) {
        uint64_t *old = g_queue_pop_tail(&cache_blocks);
        add_event(*old, true);
        g_free(old);
    }
    return false;
}

// Adds the prompt's blocks to the prefix cache. Returns the prompt tokens that
// have to be processed: all but those of the leading blocks found in the
// cache.
static int64_t
add_prompt_to_cache(const char *prompt)
{
    size_t len = strlen(prompt);
    int64_t cached = 0;
    uint64_t hash = 0;
    bool is_prefix_cached = true;
    for (size_t offset = 0; offset + CACHE_BLOCK_BYTES <= len;
         offset += CACHE_BLOCK_BYTES) {
        hash = XXH3_64bits_withSeed(prompt + offset, CACHE_BLOCK_BYTES, hash);
        is_prefix_cached = use_cache_block(hash) && is_prefix_cached;
        cached += is_prefix_cached ? CACHE_BLOCK_BYTES / BYTES_PER_TOKEN : 0;
    }
    return (int64_t)len / BYTES_PER_TOKEN + 1 - cached;
}

/* ---- Steps ------------------------------------------------------------ */

static void
remove_stream(GList *link)
{
    stream_t *stream = link->data;
    if (stream->is_cancelled && !stream->is_waste_counted) {
        stream->is_waste_counted = true;
        wasted_tokens += stream->prompt_tokens_done;
    }
    g_queue_delete_link(&active_streams, link);
}

// Gives each active stream its prompt tokens of the next step, in order of
// arrival. Returns how long the step takes, in milliseconds.
static double
plan_step(void)
{
    int64_t room = STEP_PROMPT_TOKENS;
    int batch = 0;
    double ms = step_base_ms;
    for (GList *l = active_streams.head; l; l = l->next) {
        stream_t *stream = l->data;
        int64_t n = MIN(stream->prompt_tokens_left, room);
        room -= n;
        stream->prompt_tokens_left -= n;
        stream->prompt_tokens_done += n;
        prefill_tokens += n;
        ms += (double)n / prefill_tokens_per_ms;
        batch++;
    }
    return (ms + step_ms_per_stream * batch) * slowdown;
}

// Ends a step: every stream whose prompt is processed has one more token.
static void
finish_step(void)
{
    GList *next;
    for (GList *l = active_streams.head; l; l = next) {
        next = l->next;
        stream_t *stream = l->data;
        if (stream->prompt_tokens_left == 0 && !stream->is_cancelled) {
            stream->generated_tokens++;
        }
        if (stream->generated_tokens >= stream->output_tokens ||
            stream->is_cancelled) {
            remove_stream(l);
        }
    }
}

static void *
run_engine(void *unused)
{
    (void)unused;
    pthread_mutex_lock(&lock);
    for (;;) {
        while (active_streams.length == 0 || is_hung) {
            pthread_cond_wait(&state_changed, &lock);
        }
        double ms = plan_step();
        pthread_mutex_unlock(&lock);
        Standin_SleepMs(ms);
        pthread_mutex_lock(&lock);
        finish_step();
        if (Standin_GetTimeMs() - reported_at_ms > REPORT_LAG_MS) {
            reported_at_ms = Standin_GetTimeMs();
            reported_running = active_streams.length;
        }
        pthread_cond_broadcast(&state_changed);
    }
    return NULL;
}

/* ---- Answers ---------------------------------------------------------- */

// Waits until a step ends, a request arrives or is cancelled, a fault is set
// or a second has passed.
static void
wait_for_change(void)
{
    struct timespec wake;
    clock_gettime(CLOCK_REALTIME, &wake);
    wake.tv_sec += 1;
    pthread_cond_timedwait(&state_changed, &lock, &wake);
}

static ssize_t
read_stream_events(void *user, uint64_t position, char *out, size_t max)
{
    (void)position;
    stream_reader_t *reader = user;
    stream_t *stream = reader->stream;
    pthread_mutex_lock(&lock);
    while (reader->out.len == 0 && reader->next == stream->generated_tokens &&
           reader->next < stream->output_tokens && !stream->is_cancelled) {
        wait_for_change();
    }
    while (reader->next < stream->generated_tokens) {
        PsBuf_AppendFormat(&reader->out,
                           "data: {\"choices\":[{\"text\":\"%s:%d \"}]}\n\n",
                           stream->tag, reader->next++);
        if (answers_to_cut > 0 && reader->next == 3) {
            answers_to_cut--;
            pthread_mutex_unlock(&lock);
            return MHD_CONTENT_READER_END_WITH_ERROR;
        }
    }
    bool is_complete = reader->next == stream->output_tokens;
    bool is_cancelled = stream->is_cancelled;
    pthread_mutex_unlock(&lock);
    if (is_complete && !reader->has_sent_end) {
        reader->has_sent_end = true;
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
    stream_reader_t *reader = user;
    PsBuf_Finish(&reader->out);
    g_free(reader);
}

static enum MHD_Result
send_stream_answer(standin_request_t *request, stream_t *stream,
                   const char *id)
{
    stream_reader_t *reader = g_new0(stream_reader_t, 1);
    reader->stream = stream;
    struct MHD_Response *response = MHD_create_response_from_callback(
        MHD_SIZE_UNKNOWN, 4096, read_stream_events, reader, free_reader);
    MHD_add_response_header(response, "Content-Type", "text/event-stream");
    MHD_add_response_header(response, "X-Request-Id", id);
    enum MHD_Result result =
        MHD_queue_response(request->connection, 200, response);
    MHD_destroy_response(response);
    return result;
}

static enum MHD_Result
send_plain_answer(standin_request_t *request, stream_t *stream, const char *id)
{
    pthread_mutex_lock(&lock);
    while (stream->generated_tokens < stream->output_tokens &&
           !stream->is_cancelled) {
        wait_for_change();
    }
    bool must_close = answers_to_cut > 0 || stream->is_cancelled;
    answers_to_cut -= answers_to_cut > 0 ? 1 : 0;
    pthread_mutex_unlock(&lock);
    if (must_close) {
        return MHD_NO;
    }
    ps_buf_t text;
    PsBuf_Init(&text);
    for (int i = 0; i < stream->output_tokens; i++) {
        PsBuf_AppendFormat(&text, "%s:%d ", stream->tag, i);
    }
    json_t *root =
        json_pack("{s:[{s:s}], s:{s:i}}", "choices", "text", text.data,
                  "usage", "completion_tokens", stream->output_tokens);
    PsBuf_Finish(&text);
    char *dump = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    const char *headers[] = {"X-Request-Id", id, NULL};
    enum MHD_Result result = Standin_SendText(request, 200, dump, headers);
    free(dump);
    return result;
}

static enum MHD_Result
send_answer(standin_request_t *request, stream_t *stream)
{
    const char *id = stream->token;
    pthread_mutex_lock(&lock);
    if (wrong_ids_to_send > 0) {
        wrong_ids_to_send--;
        id = "draft.999.999";
    }
    if (own_ids_to_send > 0) {
        own_ids_to_send--;
        id = "cmpl-8f2a";
    }
    pthread_mutex_unlock(&lock);
    return stream->is_sse ? send_stream_answer(request, stream, id)
                          : send_plain_answer(request, stream, id);
}

/* ---- Requests --------------------------------------------------------- */

static char *
get_prompt(const json_t *root)
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
handle_completion(standin_request_t *request)
{
    json_t *root = json_loadb(request->body.data, request->body.len, 0, NULL);
    char *prompt = get_prompt(root);
    const char *token = Standin_GetHeader(request, "X-Request-Id");
    const char *call_id = Standin_GetHeader(request, "X-Call-Id");
    if (strstr(prompt, "CRASH")) {
        _exit(9);
    }
    json_t *max_tokens = json_object_get(root, "max_tokens");
    stream_t *stream = g_new0(stream_t, 1);
    pthread_mutex_lock(&lock);
    n_runs++;
    stream->token = token ? g_strdup(token)
                          : g_strdup_printf("direct.%lld", (long long)n_runs);
    stream->call_id = g_strdup(call_id);
    stream->tag = g_strndup(prompt, strcspn(prompt, " \n"));
    stream->output_tokens = max_tokens ? (int)json_integer_value(max_tokens)
                                       : OUTPUT_TOKENS_DEFAULT;
    stream->is_sse = json_is_true(json_object_get(root, "stream"));
    stream->prompt_tokens_left = add_prompt_to_cache(prompt);
    g_hash_table_replace(streams, stream->token, stream);
    g_queue_push_tail(&active_streams, stream);
    pthread_cond_broadcast(&state_changed);
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
                            stream->call_id ? stream->call_id : "", "ended",
                            (int)(stream->generated_tokens >=
                                  stream->output_tokens)));
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
    if (stream && is_delete &&
        stream->generated_tokens < stream->output_tokens) {
        stream->is_cancelled = true;
        pthread_cond_broadcast(&state_changed);
    }
    pthread_mutex_unlock(&lock);
    if (!stream || (stream->is_cancelled && !is_delete)) {
        return Standin_SendText(request, 404, "{}", NULL);
    }
    return is_delete ? Standin_SendText(request, 200, "{}", NULL)
                     : send_answer(request, stream);
}

static json_t *
list_cache_events(int64_t after)
{
    json_t *list = json_array();
    int64_t now = Standin_GetTimeMs();
    for (GList *l = cache_events.head; l; l = l->next) {
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
    int64_t after = Standin_GetQueryNumber(request, "after", 0);
    pthread_mutex_lock(&lock);
    json_t *root =
        json_pack("{s:I, s:i, s:o}", "running", (json_int_t)reported_running,
                  "waiting", 0, "cache_events", list_cache_events(after));
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
                        (long long)n_runs, active_streams.length,
                        (long long)prefill_tokens, (long long)wasted_tokens);
    pthread_mutex_unlock(&lock);
    return Standin_SendJson(request, 200, text);
}

static enum MHD_Result
handle_switch(standin_request_t *request)
{
    pthread_mutex_lock(&lock);
    slowdown =
        (double)Standin_GetQueryNumber(request, "slow", (int64_t)slowdown);
    answers_to_cut = Standin_GetQueryNumber(request, "cut", answers_to_cut);
    wrong_ids_to_send =
        Standin_GetQueryNumber(request, "cross", wrong_ids_to_send);
    own_ids_to_send = Standin_GetQueryNumber(request, "own", own_ids_to_send);
    is_hung = Standin_GetQueryNumber(request, "hang", is_hung);
    pthread_cond_broadcast(&state_changed);
    pthread_mutex_unlock(&lock);
    return Standin_SendText(request, 200, "{}", NULL);
}

static enum MHD_Result
handle_request(standin_request_t *request)
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
    return handle_completion(request);
}

int
main(int argc, char **argv)
{
    if (argc > 4) {
        step_base_ms = atof(argv[2]);
        step_ms_per_stream = atof(argv[3]);
        prefill_tokens_per_ms = atof(argv[4]);
    }
    streams = g_hash_table_new(g_str_hash, g_str_equal);
    g_queue_init(&active_streams);
    g_queue_init(&cache_blocks);
    g_queue_init(&cache_events);
    pthread_t thread;
    pthread_create(&thread, NULL, run_engine, NULL);
    Standin_RunServer(argc > 1 ? argv[1] : "127.0.0.1:7100", handle_request);
    return 0;
}
