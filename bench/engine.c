/* engine.c - Steps of a fake engine. */
#include "engine.h"

/* ---- Internal functions ----------------------------------------------- */

static void
admit(bench_engine_t *engine)
{
    while (engine->waiting.length > 0 &&
           (int)engine->running->len < engine->machine.batch) {
        bench_stream_t *stream = g_queue_pop_head(&engine->waiting);
        bench_request_t *request = stream->request;
        uint32_t cached =
            PsPrefixCache_GetCachedBlocks(&engine->cache, &request->ask);
        stream->prompt_left =
            (int64_t)request->prompt - (int64_t)cached * PS_TOKENS_PER_BLOCK;
        stream->prompt_left = MAX(stream->prompt_left, 1);
        PsPrefixCache_Add(&engine->cache, &request->ask);
        g_ptr_array_add(engine->running, stream);
    }
}

// Plans a step: prompt chunks in order of arrival, then one token each.
static double
plan_step(bench_engine_t *engine)
{
    int64_t room = BENCH_CHUNK_TOKENS;
    double ms = engine->machine.base_ms;
    for (guint i = 0; i < engine->running->len; i++) {
        bench_stream_t *stream = engine->running->pdata[i];
        int64_t n = MIN(stream->prompt_left, room);
        stream->is_new = stream->prompt_left > n;
        stream->prompt_left -= n;
        stream->request->prefilled += (uint32_t)n;
        engine->processed += (uint64_t)n;
        room -= n;
        ms += (double)n / engine->machine.prefill;
    }
    ms += engine->machine.slope_ms * engine->running->len;
    return ms * engine->slow;
}

static bench_request_t *
finish_step(bench_engine_t *engine, int64_t now_ms, bench_ended_t ended,
            void *user)
{
    for (guint i = 0; i < engine->running->len;) {
        bench_stream_t *stream = engine->running->pdata[i];
        bench_request_t *request = stream->request;
        if (stream->is_new) {
            i++;
            continue;
        }
        if (request->is_crasher) {
            return request;
        }
        request->made++;
        if (request->made == 1) {
            request->first_ms = now_ms;
        }
        if (request->made < request->output) {
            i++;
            continue;
        }
        g_ptr_array_remove_index(engine->running, i);
        g_free(stream);
        ended(user, request);
    }
    return NULL;
}

/* ---- Public functions ------------------------------------------------- */

void
BenchEngine_Init(bench_engine_t *engine, const bench_machine_t *machine)
{
    *engine = (bench_engine_t){.machine = *machine, .slow = 1.0};
    engine->running = g_ptr_array_new();
    g_queue_init(&engine->waiting);
    PsPrefixCache_Init(&engine->cache, (uint32_t)machine->cache_blocks);
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

bench_request_t *
BenchEngine_Run(bench_engine_t *engine, int64_t now_ms, bench_ended_t ended,
                void *user)
{
    while (now_ms >= engine->dead_until_ms) {
        if (engine->step_end_ms == 0) {
            admit(engine);
            if (engine->running->len == 0) {
                return NULL;
            }
            engine->step_end_ms = (double)now_ms + plan_step(engine);
        }
        if (engine->step_end_ms > (double)now_ms) {
            return NULL;
        }
        double end = engine->step_end_ms;
        bench_request_t *crasher = finish_step(engine, now_ms, ended, user);
        if (crasher) {
            return crasher;
        }
        admit(engine);
        engine->step_end_ms =
            engine->running->len > 0 ? end + plan_step(engine) : 0;
    }
    return NULL;
}

void
BenchEngine_Kill(bench_engine_t *engine, int64_t until_ms,
                 bench_ended_t broken, void *user)
{
    engine->dead_until_ms = until_ms;
    engine->step_end_ms = 0;
    PsPrefixCache_Clear(&engine->cache);
    while (engine->running->len > 0) {
        bench_stream_t *stream = g_ptr_array_remove_index(engine->running, 0);
        broken(user, stream->request);
        g_free(stream);
    }
    bench_stream_t *stream;
    while ((stream = g_queue_pop_head(&engine->waiting))) {
        broken(user, stream->request);
        g_free(stream);
    }
}
