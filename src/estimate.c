/* estimate.c - Forecasts of lengths, service times and waits of a pool. */
#include "estimate.h"

#include <math.h>

#define LENGTH_FIXED 512.0 /* output tokens without a forecast */

/* ---- Internal functions ----------------------------------------------- */

static double
quantile_of(const ps_pool_t *pool, const ps_grant_request_t *ask)
{
    return ask->tier == 0 ? pool->options.quantile_top
                          : pool->options.quantile_low;
}

/* ---- Public functions ------------------------------------------------- */

double
PsEstimate_GetOutputTokens(ps_pool_t *pool, const ps_grant_request_t *ask,
                           double quantile, double done)
{
    if (!pool->is_model) {
        return 1.0;
    }
    if (!pool->options.use_forecast) {
        return MAX(LENGTH_FIXED, done + 1);
    }
    return PsForecast_Get(&pool->forecast, ask, quantile, done);
}

// Shortest time that any server of the pool would take: when it is empty, or
// with as many requests beside as are usual under load.
double
PsEstimate_GetServiceMs(ps_pool_t *pool, const ps_grant_request_t *ask,
                        double tokens, bool is_busy)
{
    double least = INFINITY;
    for (int i = 0; i < pool->n_servers; i++) {
        const ps_server_t *server = &pool->servers[i];
        if (!server->is_listed || server->config.state != PS_SERVER_JOINING) {
            continue;
        }
        uint32_t cached =
            PsPrefixCache_GetCachedBlocks(&server->prefix_cache, ask);
        double prompt = (double)ask->prompt_tokens -
                        (double)cached * (double)PS_TOKENS_PER_BLOCK;
        double ms =
            PsSpeed_GetPrefillMs(&server->speed, MAX(prompt, 0.0)) +
            tokens * PsSpeed_GetStepMs(&server->speed,
                                       is_busy ? server->busy_batch : 1.0);
        least = MIN(least, ms);
    }
    return pool->is_model ? least : MIN(least, 1.0);
}

// A forecast that no server can meet is cut to the longest one that can be,
// but not below the median.
double
PsEstimate_GetForecastTokens(ps_pool_t *pool, const ps_grant_request_t *ask,
                             int64_t now_ms)
{
    double tokens =
        PsEstimate_GetOutputTokens(pool, ask, quantile_of(pool, ask), 0.0);
    double time_left = (double)(ask->deadline_ms - now_ms) *
                       (1.0 - 2.0 * PsEstimate_GetDeadlineMargin(pool, ask));
    double needed = PsEstimate_GetServiceMs(pool, ask, tokens, false);
    if (needed <= time_left || isinf(needed)) {
        return tokens;
    }
    double median = PsEstimate_GetOutputTokens(pool, ask, 0.5, 0.0);
    double shortest = PsEstimate_GetServiceMs(pool, ask, 1.0, false);
    double per_token = (needed - shortest) / MAX(tokens - 1.0, 1.0);
    double fits = (time_left - shortest) / MAX(per_token, 1e-6);
    return MIN(tokens, MAX(median, fits));
}

// Work of a request in decode tokens: its prompt counts by relative speed.
double
PsEstimate_GetWorkTokens(const ps_pool_t *pool, const ps_grant_request_t *ask,
                         double tokens)
{
    double prefill = 0;
    int n = 0;
    for (int i = 0; i < pool->n_servers; i++) {
        if (pool->servers[i].is_listed) {
            prefill += pool->servers[i].speed.prefill_rate;
            n++;
        }
    }
    double decode = PsEstimate_GetDecodeRate(pool) / MAX(n, 1);
    double ratio = prefill > 0 ? decode / (prefill / n) : 0.0;
    return tokens + ask->prompt_tokens * ratio;
}

// Latest time at which a request can still be placed in time.
int64_t
PsEstimate_GetLatestStartMs(ps_pool_t *pool, const ps_job_t *job, bool is_busy)
{
    double needed = PsEstimate_GetServiceMs(pool, &job->request,
                                            job->forecast_tokens, is_busy);
    if (isinf(needed)) {
        return job->request.deadline_ms;
    }
    return job->request.deadline_ms - (int64_t)needed;
}

// Predicts how long a request waits behind its own and higher tiers.
double
PsEstimate_GetWaitMs(const ps_pool_t *pool, const ps_grant_request_t *ask)
{
    double weight = PsConfig_GetTeamWeight(pool->config, &ask->team);
    double ahead =
        PsQueue_GetWorkAhead(&pool->queue, ask->tier, &ask->team, weight);
    for (int t = 0; t < ask->tier; t++) {
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
        double step =
            PsSpeed_GetStepMs(&server->speed, server->running.length);
        done += (double)(now_ms - job->output_tokens_ms) / step;
    }
    double total = job->forecast_tokens;
    if (done >= total) {
        double quantile = quantile_of(pool, &job->request);
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
                             const ps_grant_request_t *ask)
{
    return ask->tier == 0 ? pool->options.deadline_margin_top
                          : pool->options.deadline_margin_low;
}
