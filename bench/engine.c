/* engine.c - Steps of a simulated backend server. */
#include "engine.h"

/* ---- Internal functions ----------------------------------------------- */

// Starts waiting requests while the batch has room; blocks in the prefix cache
// shorten their prompts.
static void
start_waiting(bench_engine_t *engine)
{
    while (engine->waiting.length > 0 &&
           (int)engine->running->len < engine->speed.max_batch) {
        bench_stream_t *stream = g_queue_pop_head(&engine->waiting);
        bench_request_t *request = stream->request;
        uint32_t cached = PsPrefixCache_GetCachedBlocks(
            &engine->cache, &request->grant_request);
        stream->prompt_tokens_left = (int64_t)request->prompt_tokens -
                                     (int64_t)cached * PS_TOKENS_PER_BLOCK;
        stream->prompt_tokens_left = MAX(stream->prompt_tokens_left, 1);
        PsPrefixCache_Add(&engine->cache, &request->grant_request);
        g_ptr_array_add(engine->running, stream);
    }
}

// Plans the next step: divides its prompt tokens among the running requests in
// order of arrival. Returns how long the step takes, in milliseconds.
static double
plan_step(bench_engine_t *engine)
{
    int64_t tokens_free = BENCH_CHUNK_TOKENS;
    double ms = engine->speed.base_ms;
    for (guint i = 0; i < engine->running->len; i++) {
        bench_stream_t *stream = engine->running->pdata[i];
        int64_t n = MIN(stream->prompt_tokens_left, tokens_free);
        stream->is_prefilling = stream->prompt_tokens_left > n;
        stream->prompt_tokens_left -= n;
        stream->request->prompt_tokens_done += (uint32_t)n;
        engine->prompt_tokens_done += (uint64_t)n;
        tokens_free -= n;
        ms += (double)n / engine->speed.prefill_tokens_per_ms;
    }
    ms += engine->speed.ms_per_request * engine->running->len;
    return ms * engine->slowdown;
}

// Adds a token to every request whose prompt is done. Returns the request that
// crashes the engine, or NULL.
static bench_request_t *
finish_step(bench_engine_t *engine, int64_t now_ms,
            bench_request_callback_t on_ended, void *user)
{
    for (guint i = 0; i < engine->running->len;) {
        bench_stream_t *stream = engine->running->pdata[i];
        bench_request_t *request = stream->request;
        if (stream->is_prefilling) {
            i++;
            continue;
        }
        if (request->crashes_server) {
            return request;
        }
        request->tokens_done++;
        if (request->tokens_done == 1) {
            request->first_token_ms = now_ms;
        }
        if (request->tokens_done < request->output_tokens) {
            i++;
            continue;
        }
        g_ptr_array_remove_index(engine->running, i);
        g_free(stream);
        on_ended(user, request);
    }
    return NULL;
}

/* ---- Public functions ------------------------------------------------- */

void
BenchEngine_Init(bench_engine_t *engine, const bench_server_speed_t *speed)
{
    *engine = (bench_engine_t){.speed = *speed, .slowdown = 1.0};
    engine->running = g_ptr_array_new();
    g_queue_init(&engine->waiting);
    PsPrefixCache_Init(&engine->cache, (uint32_t)speed->cache_blocks);
}

void
BenchEngine_Finish(bench_engine_t *engine)
{
    g_ptr_array_set_free_func(engine->running, g_free);
    g_ptr_array_free(engine->running, TRUE);
    g_queue_clear_full(&engine->waiting, g_free);
    PsPrefixCache_Finish(&engine->cache);
}

void
BenchEngine_Start(bench_engine_t *engine, bench_request_t *request)
{
    bench_stream_t *stream = g_new0(bench_stream_t, 1);
    stream->request = request;
    g_queue_push_tail(&engine->waiting, stream);
}

void
BenchEngine_Cancel(bench_engine_t *engine, bench_request_t *request)
{
    for (guint i = 0; i < engine->running->len; i++) {
        bench_stream_t *stream = engine->running->pdata[i];
        if (stream->request == request) {
            g_ptr_array_remove_index(engine->running, i);
            g_free(stream);
            return;
        }
    }
    for (GList *l = engine->waiting.head; l; l = l->next) {
        bench_stream_t *stream = l->data;
        if (stream->request == request) {
            g_queue_delete_link(&engine->waiting, l);
            g_free(stream);
            return;
        }
    }
}

// A step that ends between two calls is finished at the later call, but the
// next step starts at its end, so that no time is lost.
bench_request_t *
BenchEngine_Run(bench_engine_t *engine, int64_t now_ms,
                bench_request_callback_t on_ended, void *user)
{
    while (now_ms >= engine->down_until_ms) {
        if (engine->step_end_ms == 0) {
            start_waiting(engine);
            if (engine->running->len == 0) {
                return NULL;
            }
            engine->step_end_ms = (double)now_ms + plan_step(engine);
        }
        if (engine->step_end_ms > (double)now_ms) {
            return NULL;
        }
        double end = engine->step_end_ms;
        bench_request_t *crashing =
            finish_step(engine, now_ms, on_ended, user);
        if (crashing) {
            return crashing;
        }
        start_waiting(engine);
        engine->step_end_ms =
            engine->running->len > 0 ? end + plan_step(engine) : 0;
    }
    return NULL;
}

void
BenchEngine_Crash(bench_engine_t *engine, int64_t until_ms,
                  bench_request_callback_t on_broken, void *user)
{
    engine->down_until_ms = until_ms;
    engine->step_end_ms = 0;
    PsPrefixCache_Clear(&engine->cache);
    while (engine->running->len > 0) {
        bench_stream_t *stream = g_ptr_array_remove_index(engine->running, 0);
        on_broken(user, stream->request);
        g_free(stream);
    }
    bench_stream_t *stream;
    while ((stream = g_queue_pop_head(&engine->waiting))) {
        on_broken(user, stream->request);
        g_free(stream);
    }
}
