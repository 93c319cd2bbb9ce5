/* estimate.c - Estimates of output lengths, service times and waits. */
#include "estimate.h"

#include <math.h>

#define FIXED_OUTPUT_TOKENS 512.0 /* output length if forecasts are off */

/* ---- Internal functions ----------------------------------------------- */

static double
get_quantile(const ps_pool_t *pool, const ps_grant_request_t *request)
{
    return request->tier == 0 ? pool->options.quantile_top
                              : pool->options.quantile_low;
}

/* ---- Public functions ------------------------------------------------- */

double
PsEstimate_GetOutputTokens(ps_pool_t *pool, const ps_grant_request_t *request,
                           double quantile, double done)
{
    if (!pool->is_model) {
        return 1.0;
    }
    if (!pool->options.use_forecast) {
        return MAX(FIXED_OUTPUT_TOKENS, done + 1);
    }
    return PsForecast_Get(&pool->forecast, request, quantile, done);
}

double
PsEstimate_GetServiceMs(ps_pool_t *pool, const ps_grant_request_t *request,
                        double tokens, bool is_busy)
{
    double shortest = INFINITY;
    for (int i = 0; i < pool->n_servers; i++) {
        const ps_server_t *server = &pool->servers[i];
        if (!server->is_listed || server->config.state != PS_SERVER_JOINING) {
            continue;
        }
        uint32_t cached =
            PsPrefixCache_GetCachedBlocks(&server->prefix_cache, request);
        double uncached = (double)request->prompt_tokens -
                          (double)cached * (double)PS_TOKENS_PER_BLOCK;
        double ms =
            PsSpeed_GetPrefillMs(&server->speed, MAX(uncached, 0.0)) +
            tokens * PsSpeed_GetStepMs(&server->speed,
                                       is_busy ? server->busy_batch : 1.0);
        shortest = MIN(shortest, ms);
    }
    return pool->is_model ? shortest : MIN(shortest, 1.0);
}

double
PsEstimate_GetForecastTokens(ps_pool_t *pool,
                             const ps_grant_request_t *request, int64_t now_ms)
{
    double tokens = PsEstimate_GetOutputTokens(
        pool, request, get_quantile(pool, request), 0.0);
    double time_left_ms =
        (double)(request->deadline_ms - now_ms) *
        (1.0 - 2.0 * PsEstimate_GetDeadlineMargin(pool, request));
    double needed_ms = PsEstimate_GetServiceMs(pool, request, tokens, false);
    if (needed_ms <= time_left_ms || isinf(needed_ms)) {
        return tokens;
    }
    double median = PsEstimate_GetOutputTokens(pool, request, 0.5, 0.0);
    double shortest = PsEstimate_GetServiceMs(pool, request, 1.0, false);
    double ms_per_token = (needed_ms - shortest) / MAX(tokens - 1.0, 1.0);
    double feasible = (time_left_ms - shortest) / MAX(ms_per_token, 1e-6);
    return MIN(tokens, MAX(median, feasible));
}

// Converts prompt tokens to decode tokens by the ratio of the mean decode rate
// to the mean prefill rate of the listed servers. In the mean decode rate,
// servers that take no new work count as 0.
double
PsEstimate_GetWorkTokens(const ps_pool_t *pool,
                         const ps_grant_request_t *request, double tokens)
{
    double prefill_rate = 0;
    int n = 0;
    for (int i = 0; i < pool->n_servers; i++) {
        if (pool->servers[i].is_listed) {
            prefill_rate += pool->servers[i].speed.prefill_rate;
            n++;
        }
    }
    double decode_rate = PsEstimate_GetDecodeRate(pool) / MAX(n, 1);
    double ratio = prefill_rate > 0 ? decode_rate / (prefill_rate / n) : 0.0;
    return tokens + request->prompt_tokens * ratio;
}

int64_t
PsEstimate_GetLatestStartMs(ps_pool_t *pool, const ps_job_t *job, bool is_busy)
{
    double needed_ms = PsEstimate_GetServiceMs(pool, &job->request,
                                               job->forecast_tokens, is_busy);
    if (isinf(needed_ms)) {
        return job->request.deadline_ms;
    }
    return job->request.deadline_ms - (int64_t)needed_ms;
}

double
PsEstimate_GetWaitMs(const ps_pool_t *pool, const ps_grant_request_t *request)
{
    double weight = PsConfig_GetTeamWeight(pool->config, &request->team);
    double ahead = PsQueue_GetWorkAhead(&pool->queue, request->tier,
                                        &request->team, weight);
    for (int t = 0; t < request->tier; t++) {
        ahead += pool->queue.tiers[t].work;
    }
    return ahead / MAX(PsEstimate_GetDecodeRate(pool), 1e-6);
}

double
PsEstimate_GetRemainingTokens(ps_pool_t *pool, const ps_job_t *job,
                              int64_t now_ms)
{
    const ps_server_t *server = &pool->servers[job->server];
    double done = job->output_tokens;
    if (job->first_token_ms > 0) {
        double step_ms =
            PsSpeed_GetStepMs(&server->speed, server->running.length);
        done += (double)(now_ms - job->output_tokens_ms) / step_ms;
    }
    double total = job->forecast_tokens;
    if (done >= total) {
        double quantile = get_quantile(pool, &job->request);
        total =
            PsEstimate_GetOutputTokens(pool, &job->request, quantile, done);
    }
    return MAX(total - done, 1.0);
}

double
PsEstimate_GetDecodeRate(const ps_pool_t *pool)
{
    double rate = 0;
    for (int i = 0; i < pool->n_servers; i++) {
        const ps_server_t *server = &pool->servers[i];
        if (server->is_listed && server->config.state == PS_SERVER_JOINING) {
            double n = server->busy_batch;
            rate += n / PsSpeed_GetStepMs(&server->speed, n);
        }
    }
    return rate;
}

double
PsEstimate_GetDeadlineMargin(const ps_pool_t *pool,
                             const ps_grant_request_t *request)
{
    return request->tier == 0 ? pool->options.deadline_margin_top
                              : pool->options.deadline_margin_low;
}
