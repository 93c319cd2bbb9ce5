/*
 * estimate.h - Estimates of a pool's owner: output lengths, service times and
 * waits.
 *
 * Lengths are in output tokens, times in milliseconds. Work is in decode
 * tokens: a prompt counts as the tokens that could be decoded in the time
 * that its processing takes.
 */
#ifndef PS_ESTIMATE_H
#define PS_ESTIMATE_H

#include "pool.h"

/**
 * PsEstimate_GetOutputTokens() - Forecasts an output length.
 * @quantile: from 0 to 1
 * @done: output tokens received already
 *
 * Return: tokens; 1 for a pool of a plain service.
 */
double PsEstimate_GetOutputTokens(ps_pool_t *pool,
                                  const ps_grant_request_t *request,
                                  double quantile, double done);

/**
 * PsEstimate_GetForecastTokens() - Forecasts an output length at the tier's
 * quantile.
 *
 * When no server could finish that length by the deadline, with twice the
 * tier's margin in reserve, it is reduced to the longest length that one can
 * finish, but not below the median.
 *
 * Return: tokens.
 */
double PsEstimate_GetForecastTokens(ps_pool_t *pool,
                                    const ps_grant_request_t *request,
                                    int64_t now_ms);

/**
 * PsEstimate_GetServiceMs() - Estimates the shortest service time on any
 * server.
 * @tokens: output length
 * @is_busy: assumes the concurrent requests that are usual while the pool has
 *           a queue; otherwise that the request runs alone
 *
 * Return: milliseconds; infinite when no server of a model pool takes new
 * work; at most 1 for a pool of a plain service.
 */
double PsEstimate_GetServiceMs(ps_pool_t *pool,
                               const ps_grant_request_t *request,
                               double tokens, bool is_busy);

/**
 * PsEstimate_GetLatestStartMs() - Estimates the latest time at which a
 * request can be placed and still meet its deadline.
 * @is_busy: as in PsEstimate_GetServiceMs()
 *
 * Return: the deadline itself when no server of a model pool takes new work.
 */
int64_t PsEstimate_GetLatestStartMs(ps_pool_t *pool, const ps_job_t *job,
                                    bool is_busy);

/**
 * PsEstimate_GetWaitMs() - Estimates how long a request waits for the work of
 * its own and higher tiers.
 *
 * Return: milliseconds.
 */
double PsEstimate_GetWaitMs(const ps_pool_t *pool,
                            const ps_grant_request_t *request);

/**
 * PsEstimate_GetRemainingTokens() - Estimates the output tokens that a
 * running request has still to produce.
 *
 * Return: at least 1.
 */
double PsEstimate_GetRemainingTokens(ps_pool_t *pool, const ps_job_t *job,
                                     int64_t now_ms);

/**
 * PsEstimate_GetWorkTokens() - Estimates a request's work.
 * @tokens: output length
 *
 * Return: decode tokens.
 */
double PsEstimate_GetWorkTokens(const ps_pool_t *pool,
                                const ps_grant_request_t *request,
                                double tokens);

/**
 * PsEstimate_GetDecodeRate() - Estimates the pool's throughput under backlog.
 *
 * Return: decode tokens a millisecond, over all servers that take new work.
 */
double PsEstimate_GetDecodeRate(const ps_pool_t *pool);

/**
 * PsEstimate_GetDeadlineMargin() - Returns the share of the time left, from 0
 * to 1, that the tier keeps in reserve.
 */
double PsEstimate_GetDeadlineMargin(const ps_pool_t *pool,
                                    const ps_grant_request_t *request);

#endif
