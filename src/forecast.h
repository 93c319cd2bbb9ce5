/*
 * forecast.h - Forecasts of output length from observed lengths.
 *
 * Lengths are kept in histograms with logarithmic buckets: one for each model,
 * rule and team, one for each model and rule, and one for the pool. The most
 * specific histogram with enough samples gives the forecast. The weight of
 * older samples decays exponentially.
 */
#ifndef PS_FORECAST_H
#define PS_FORECAST_H

#include <glib.h>

#include "request.h"

#define PS_FORECAST_BUCKETS 64 /* logarithmic, from 1 token up */

/**
 * struct ps_length_histogram - Histogram of output lengths.
 */
typedef struct ps_length_histogram {
    float weight[PS_FORECAST_BUCKETS]; /* of each bucket's samples */
    float total;                       /* sum of @weight */
    int64_t last_use; /* @use_counter at the last use, for eviction */
} ps_length_histogram_t;

/**
 * struct ps_forecast - Histograms of one pool.
 */
typedef struct ps_forecast {
    GHashTable *by_key; /* "model|rule|team", or with an empty team, to
                           ps_length_histogram_t */
    ps_length_histogram_t pool_histogram;
    int64_t use_counter; /* lookups in @by_key so far */
} ps_forecast_t;

void PsForecast_Init(ps_forecast_t *forecast);
void PsForecast_Finish(ps_forecast_t *forecast);

/**
 * PsForecast_Add() - Adds the output length of a complete answer.
 * @tokens: output length
 */
void PsForecast_Add(ps_forecast_t *forecast, const ps_grant_request_t *request,
                    uint32_t tokens);

/**
 * PsForecast_Get() - Forecasts a request's output length.
 * @request: its max_tokens bounds the forecast
 * @quantile: from 0 to 1
 * @done: output tokens received already; shorter observed lengths do not count
 *
 * Return: tokens, at least @done + 1.
 */
double PsForecast_Get(ps_forecast_t *forecast,
                      const ps_grant_request_t *request, double quantile,
                      double done);

#endif
