/* forecast.c - Histograms of output lengths and their quantiles. */
#include "forecast.h"

#include <math.h>

// Ratio of the upper bounds of adjacent buckets.
#define BUCKET_RATIO 1.19

// Factor on the weight of all earlier samples when a new one is added.
#define SAMPLE_DECAY 0.995f

// A histogram with less weight is not used: a less specific one is.
#define MIN_SAMPLE_WEIGHT 12.0f

// Most histograms by key. When there are more, the least recently used one is
// evicted.
#define HISTOGRAMS_MAX 4096

// Forecast in tokens while there are no samples.
#define DEFAULT_OUTPUT_TOKENS 256.0

/* ---- Internal functions ----------------------------------------------- */

static int
get_bucket(double tokens)
{
    if (tokens <= 1.0) {
        return 0;
    }
    int bucket = (int)ceil(log(tokens) / log(BUCKET_RATIO));
    return MIN(bucket, PS_FORECAST_BUCKETS - 1);
}

static double
get_bucket_limit(int bucket)
{
    return pow(BUCKET_RATIO, bucket);
}

static void
add_sample(ps_length_histogram_t *histogram, uint32_t tokens)
{
    for (int i = 0; i < PS_FORECAST_BUCKETS; i++) {
        histogram->weight[i] *= SAMPLE_DECAY;
    }
    histogram->total = histogram->total * SAMPLE_DECAY + 1.0f;
    histogram->weight[get_bucket(tokens)] += 1.0f;
}

// Returns the quantile of the lengths above @done. When there are none,
// returns the length one bucket above @done, or the default if nothing was
// received.
static double
compute_quantile(const ps_length_histogram_t *histogram, double quantile,
                 double done)
{
    int first = done > 0 ? get_bucket(done + 1) : 0;
    double above = 0;
    for (int i = first; i < PS_FORECAST_BUCKETS; i++) {
        above += histogram->weight[i];
    }
    double sum = 0;
    for (int i = first; i < PS_FORECAST_BUCKETS && above > 0; i++) {
        sum += histogram->weight[i];
        if (sum >= quantile * above && histogram->weight[i] > 0) {
            return get_bucket_limit(i);
        }
    }
    return done > 0 ? done * BUCKET_RATIO : DEFAULT_OUTPUT_TOKENS;
}

static ps_name_t
format_key(const ps_grant_request_t *request, bool with_team)
{
    return PsName_Format("%.40s|%.40s|%.40s", request->model.data,
                         request->rule.data,
                         with_team ? request->team.data : "");
}

static void
evict_least_recent(ps_forecast_t *forecast)
{
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    gpointer oldest_key = NULL;
    int64_t oldest_use = G_MAXINT64;
    g_hash_table_iter_init(&iter, forecast->by_key);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const ps_length_histogram_t *histogram = value;
        if (histogram->last_use < oldest_use) {
            oldest_use = histogram->last_use;
            oldest_key = key;
        }
    }
    g_hash_table_remove(forecast->by_key, oldest_key);
}

static ps_length_histogram_t *
find_histogram(ps_forecast_t *forecast, const ps_name_t *key,
               bool add_if_missing)
{
    ps_length_histogram_t *histogram =
        g_hash_table_lookup(forecast->by_key, key);
    if (!histogram && add_if_missing) {
        if (g_hash_table_size(forecast->by_key) >= HISTOGRAMS_MAX) {
            evict_least_recent(forecast);
        }
        histogram = g_new0(ps_length_histogram_t, 1);
        g_hash_table_insert(forecast->by_key, g_memdup2(key, sizeof *key),
                            histogram);
    }
    if (histogram) {
        histogram->last_use = ++forecast->use_counter;
    }
    return histogram;
}

/* ---- Public functions ------------------------------------------------- */

void
PsForecast_Init(ps_forecast_t *forecast)
{
    *forecast = (ps_forecast_t){0};
    forecast->by_key =
        g_hash_table_new_full(PsName_Hash, PsName_EqualKeys, g_free, g_free);
}

void
PsForecast_Finish(ps_forecast_t *forecast)
{
    g_hash_table_destroy(forecast->by_key);
}

void
PsForecast_Add(ps_forecast_t *forecast, const ps_grant_request_t *request,
               uint32_t tokens)
{
    ps_name_t team_key = format_key(request, true);
    ps_name_t rule_key = format_key(request, false);
    add_sample(find_histogram(forecast, &team_key, true), tokens);
    add_sample(find_histogram(forecast, &rule_key, true), tokens);
    add_sample(&forecast->pool_histogram, tokens);
}

double
PsForecast_Get(ps_forecast_t *forecast, const ps_grant_request_t *request,
               double quantile, double done)
{
    ps_name_t team_key = format_key(request, true);
    const ps_length_histogram_t *histogram =
        find_histogram(forecast, &team_key, false);
    if (!histogram || histogram->total < MIN_SAMPLE_WEIGHT) {
        ps_name_t rule_key = format_key(request, false);
        histogram = find_histogram(forecast, &rule_key, false);
    }
    if (!histogram || histogram->total < MIN_SAMPLE_WEIGHT) {
        histogram = &forecast->pool_histogram;
    }
    double tokens = compute_quantile(histogram, quantile, done);
    if (request->max_tokens > 0) {
        tokens = MIN(tokens, (double)request->max_tokens);
    }
    return MAX(tokens, done + 1);
}
