/* forecast.c - Histograms of output lengths and their quantiles. */
#include "forecast.h"

#include <math.h>

#define BUCKET_RATIO 1.19    /* upper bounds of neighbouring buckets */
#define FADE 0.995f          /* weight kept of older samples */
#define SAMPLES_ENOUGH 12.0f /* weight at which a histogram answers */
#define KEYS_MAX 4096        /* histograms kept */
#define LENGTH_UNKNOWN 256.0 /* tokens assumed before any sample */

/* ---- Internal functions ----------------------------------------------- */

static int
bucket_of(double tokens)
{
    if (tokens <= 1.0) {
        return 0;
    }
    int bucket = (int)ceil(log(tokens) / log(BUCKET_RATIO));
    return MIN(bucket, PS_FORECAST_BUCKETS - 1);
}

static double
bucket_top(int bucket)
{
    return pow(BUCKET_RATIO, bucket);
}

static void
lengths_add(ps_length_histogram_t *lengths, uint32_t tokens)
{
    for (int i = 0; i < PS_FORECAST_BUCKETS; i++) {
        lengths->weight[i] *= FADE;
    }
    lengths->total = lengths->total * FADE + 1.0f;
    lengths->weight[bucket_of(tokens)] += 1.0f;
}

// Returns the quantile of the lengths above @done.
static double
lengths_quantile(const ps_length_histogram_t *lengths, double quantile,
                 double done)
{
    int first = done > 0 ? bucket_of(done + 1) : 0;
    double above = 0;
    for (int i = first; i < PS_FORECAST_BUCKETS; i++) {
        above += lengths->weight[i];
    }
    double sum = 0;
    for (int i = first; i < PS_FORECAST_BUCKETS && above > 0; i++) {
        sum += lengths->weight[i];
        if (sum >= quantile * above && lengths->weight[i] > 0) {
            return bucket_top(i);
        }
    }
    return done > 0 ? done * BUCKET_RATIO : LENGTH_UNKNOWN;
}

static ps_name_t
key_of(const ps_grant_request_t *ask, bool with_team)
{
    return PsName_Format("%.40s|%.40s|%.40s", ask->model.data, ask->rule.data,
                         with_team ? ask->team.data : "");
}

static void
evict_least_used(ps_forecast_t *forecast)
{
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    gpointer oldest = NULL;
    int64_t used = G_MAXINT64;
    g_hash_table_iter_init(&iter, forecast->by_key);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const ps_length_histogram_t *lengths = value;
        if (lengths->last_use < used) {
            used = lengths->last_use;
            oldest = key;
        }
    }
    g_hash_table_remove(forecast->by_key, oldest);
}

static ps_length_histogram_t *
find_lengths(ps_forecast_t *forecast, const ps_name_t *key, bool add)
{
    ps_length_histogram_t *lengths =
        g_hash_table_lookup(forecast->by_key, key);
    if (!lengths && add) {
        if (g_hash_table_size(forecast->by_key) >= KEYS_MAX) {
            evict_least_used(forecast);
        }
        lengths = g_new0(ps_length_histogram_t, 1);
        g_hash_table_insert(forecast->by_key, g_memdup2(key, sizeof *key),
                            lengths);
    }
    if (lengths) {
        lengths->last_use = ++forecast->use_counter;
    }
    return lengths;
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
PsForecast_Add(ps_forecast_t *forecast, const ps_grant_request_t *ask,
               uint32_t tokens)
{
    ps_name_t narrow = key_of(ask, true);
    ps_name_t wide = key_of(ask, false);
    lengths_add(find_lengths(forecast, &narrow, true), tokens);
    lengths_add(find_lengths(forecast, &wide, true), tokens);
    lengths_add(&forecast->all, tokens);
}

double
PsForecast_Get(ps_forecast_t *forecast, const ps_grant_request_t *ask,
               double quantile, double done)
{
    ps_name_t narrow = key_of(ask, true);
    const ps_length_histogram_t *lengths =
        find_lengths(forecast, &narrow, false);
    if (!lengths || lengths->total < SAMPLES_ENOUGH) {
        ps_name_t wide = key_of(ask, false);
        lengths = find_lengths(forecast, &wide, false);
    }
    if (!lengths || lengths->total < SAMPLES_ENOUGH) {
        lengths = &forecast->all;
    }
    double tokens = lengths_quantile(lengths, quantile, done);
    if (ask->max_tokens > 0) {
        tokens = MIN(tokens, (double)ask->max_tokens);
    }
    return MAX(tokens, done + 1);
}
