/*
 * estimate.h - What a pool's owner expects: lengths, times and waits.
 *
 * Lengths are in output tokens, times in milliseconds, work in decode tokens
 * (a prompt counts by the relative speed of its processing).
 */
#ifndef PS_ESTIMATE_H
#define PS_ESTIMATE_H

#include "pool.h"

/**
 * PsEstimate_GetOutputTokens() - Forecasts an output length.
 * @quantile: from 0 to 1
 * @done: tokens seen already
 */
double PsEstimate_GetOutputTokens(ps_pool_t *pool,
                                  const ps_grant_request_t *ask,
                                  double quantile, double done);

/**
 * PsEstimate_GetForecastTokens() - Forecasts by the tier's quantile, cut to
 * what some server can do by the deadline, but not below the median.
 */
double PsEstimate_GetForecastTokens(ps_pool_t *pool,
                                    const ps_grant_request_t *ask,
                                    int64_t now_ms);

/**
 * PsEstimate_GetServiceMs() - Shortest time that any server would take.
 * @tokens: output length
 * @is_busy: with as many requests beside as are usual under load; else alone
 *
 * Return: infinite when no server takes new work.
 */
double PsEstimate_GetServiceMs(ps_pool_t *pool, const ps_grant_request_t *ask,
                               double tokens, bool is_busy);

/**
 * PsEstimate_GetLatestStartMs() - Latest time for a placement that is in time.
 */
int64_t PsEstimate_GetLatestStartMs(ps_pool_t *pool, const ps_job_t *job,
                                    bool is_busy);

/**
 * PsEstimate_GetWaitMs() - Wait behind a request's own and higher tiers.
 */
double PsEstimate_GetWaitMs(const ps_pool_t *pool,
                            const ps_grant_request_t *ask);

/**
 * PsEstimate_GetRemainingTokens() - Output tokens that a running request
 * lacks.
 */
double PsEstimate_GetRemainingTokens(ps_pool_t *pool, const ps_job_t *job,
                                     int64_t now_ms);

double PsEstimate_GetWorkTokens(const ps_pool_t *pool,
                                const ps_grant_request_t *ask, double tokens);
double
PsEstimate_GetDecodeRate(const ps_pool_t *pool); /* decode tokens a ms */
double PsEstimate_GetDeadlineMargin(const ps_pool_t *pool,
                                    const ps_grant_request_t *ask);

#endif
