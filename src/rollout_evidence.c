/* rollout_evidence.c - Sequential test of a version by its answers. */
#include "rollout_evidence.h"

#include <math.h>
#include <stdlib.h>

// A route is held back once it has had more than this many times the mean of
// all routes, and some more.
#define HELD_FACTOR 1.2
#define HELD_MORE 4

// A time is slow beyond this many times the median of the old version: servers
// have slow periods of 2.5 times.
#define SLOW_FACTOR_BUCKETS 6 /* 2 ^ (6 / 4) = 2.83 */

#define OLD_SAMPLES_MIN 20.0 /* for a baseline of a route */
#define OLD_HALF_LIFE_MS 5000.0
#define OLD_SHORT_LIFE_MS 500.0 /* follows faults that strike both */
#define P0_MIN 0.01             /* assumed share of bad answers, at least */
#define P0_UNKNOWN 0.15         /* assumed without a baseline */
#define P_MAX 0.97

// Evidence of one server is at least this, so that a version that turns bad
// later is found as fast.
#define SERVER_FLOOR -1.0

// Thresholds of the sums of log-likelihood ratios; calibrated in
// tests/test_rollout.cpp. Slow answers follow each other more than failures.
#define FAILURE_THRESHOLD 11.0
#define TIME_THRESHOLD 12.0

// Part of the threshold that is too much at the end of a step: evidence at one
// time is more certain than the highest of all times.
#define END_EVIDENCE 0.5
#define END_TIME_EVIDENCE 0.7

// More bad answers than the old version has, over all routes, and standard
// deviations of their number, that are too many in any case: the version may
// have 50 for 5 s only.
#define EXCESS_MIN 25.0
#define EXCESS_SIGMAS 4.0
#define EXCESS_TIME_SIGMAS 5.0

// Evidence that slow answers of one server may add within a window, and their
// excess: servers have slow periods of 600 ms.
#define SLOW_WINDOW_MS 700
#define SLOW_WINDOW_EVIDENCE 3.5
#define SLOW_WINDOW_EXCESS 3.0

// Part of the target's servers, those with most evidence, that do not count:
// single servers may be sick. The part of sick servers of the old version is
// added.
#define TRIMMED_SHARE (1.0 / 3.0)
#define SICK_EVIDENCE 5.0 /* of one server, from which on it is sick */

#define ALTERNATIVES 3 /* rates of bad answers that are tested for */

// Of failures, and of slow answers: the target's servers are fully loaded, so
// that a few more of their answers are slow.
static const double failure_rates[ALTERNATIVES] = {0.08, 0.22, 0.5};
static const double slow_rates[ALTERNATIVES] = {0.1, 0.25, 0.5};

/* What is known of one server in one series. */
typedef struct server_stats {
    bool is_target;
    double evidence[ALTERNATIVES];
    double excess;     /* bad answers beyond those of the old version */
    double variance;   /* of @excess, if the versions are equal */
    int64_t window_ms; /* since when its evidence is bounded */
    double evidence_max[ALTERNATIVES]; /* in the window */
    double excess_max;
} server_stats_t;

/* Samples of one kind of one route. */
typedef struct series {
    uint64_t key;
    bool is_time;
    uint32_t route;
    uint64_t n_target; /* samples of the target */
    double n;          /* samples of the old version, decayed */
    double bad;        /* of these */
    double short_n;
    double short_bad;
    int64_t decayed_ms;
    double histogram[PS_ROLLOUT_BUCKETS]; /* times of the old version */
    GHashTable *servers;                  /* hash to server_stats_t */
} series_t;

/* ---- Series ----------------------------------------------------------- */

static void
free_series(gpointer data)
{
    series_t *series = data;
    g_hash_table_destroy(series->servers);
    g_free(series);
}

static bool
is_time_sample(ps_rollout_sample_t sample)
{
    return sample >= PS_ROLLOUT_FIRST_EVENT;
}

static series_t *
get_series(ps_rollout_evidence_t *evidence, uint32_t route,
           ps_rollout_sample_t sample)
{
    bool is_time = is_time_sample(sample);
    uint64_t key = (uint64_t)route << 8 | (is_time ? (uint64_t)sample : 0);
    series_t *series = g_hash_table_lookup(evidence->series, &key);
    if (!series) {
        series = g_new0(series_t, 1);
        series->key = key;
        series->is_time = is_time;
        series->route = route;
        series->servers =
            g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
        g_hash_table_insert(evidence->series, &series->key, series);
    }
    return series;
}

static server_stats_t *
get_server(series_t *series, uint32_t server, bool is_target)
{
    gpointer key = GUINT_TO_POINTER(server);
    server_stats_t *stats = g_hash_table_lookup(series->servers, key);
    if (!stats) {
        stats = g_new0(server_stats_t, 1);
        stats->is_target = is_target;
        g_hash_table_insert(series->servers, key, stats);
    }
    return stats;
}

static void
decay_series(series_t *series, int64_t now_ms)
{
    double ms = (double)MAX(now_ms - series->decayed_ms, 0);
    double factor = exp2(-ms / OLD_HALF_LIFE_MS);
    double short_factor = exp2(-ms / OLD_SHORT_LIFE_MS);
    series->decayed_ms = now_ms;
    series->n *= factor;
    series->bad *= factor;
    series->short_n *= short_factor;
    series->short_bad *= short_factor;
    for (int i = 0; series->is_time && i < PS_ROLLOUT_BUCKETS; i++) {
        series->histogram[i] *= factor;
    }
}

// Returns the first bucket of slow times; PS_ROLLOUT_BUCKETS without a
// baseline.
static int
get_slow_bucket(const series_t *series)
{
    if (series->n < OLD_SAMPLES_MIN) {
        return PS_ROLLOUT_BUCKETS;
    }
    double sum = 0;
    int median = 0;
    while (median < PS_ROLLOUT_BUCKETS - 1 &&
           (sum += series->histogram[median]) < series->n / 2) {
        median++;
    }
    return median + SLOW_FACTOR_BUCKETS;
}

// Returns the share of bad answers that the old version has now: the higher
// one of two windows, plus the inaccuracy of the estimate.
static double
get_old_share(const series_t *series)
{
    if (series->n < OLD_SAMPLES_MIN) {
        return P0_UNKNOWN;
    }
    double share = (series->bad + 0.5) / (series->n + 1);
    share += sqrt(share * (1 - share) / series->n);
    if (series->short_n >= OLD_SAMPLES_MIN) {
        share = MAX(share, series->short_bad / series->short_n);
    }
    return CLAMP(share, P0_MIN, 0.9);
}

// Bounds what slow answers of a server add in a short time.
static void
bound_window(server_stats_t *stats, int64_t now_ms)
{
    bool is_new = now_ms - stats->window_ms >= SLOW_WINDOW_MS;
    stats->window_ms = is_new ? now_ms : stats->window_ms;
    if (is_new) {
        stats->excess_max = stats->excess + SLOW_WINDOW_EXCESS;
    }
    stats->excess = MIN(stats->excess, stats->excess_max);
    for (int i = 0; i < ALTERNATIVES; i++) {
        if (is_new) {
            stats->evidence_max[i] = stats->evidence[i] + SLOW_WINDOW_EVIDENCE;
        }
        stats->evidence[i] = MIN(stats->evidence[i], stats->evidence_max[i]);
    }
}

// Adds a sample to a server's evidence: the log-likelihood ratio of more bad
// answers than the old version has.
static void
add_evidence(server_stats_t *stats, double p0, bool is_time, bool is_bad,
             int64_t now_ms)
{
    const double *rates = is_time ? slow_rates : failure_rates;
    if (is_time) {
        bound_window(stats, now_ms);
    }
    stats->excess += (is_bad ? 1 : 0) - p0;
    stats->variance += p0 * (1 - p0);
    for (int i = 0; i < ALTERNATIVES; i++) {
        double p1 = MIN(p0 + rates[i], P_MAX);
        double step = is_bad ? log(p1 / p0) : log((1 - p1) / (1 - p0));
        stats->evidence[i] = MAX(stats->evidence[i] + step, SERVER_FLOOR);
    }
    if (is_time) {
        bound_window(stats, now_ms);
    }
}

static int
compare_numbers(const void *left, const void *right)
{
    double a = *(const double *)left;
    double b = *(const double *)right;
    return (a > b) - (a < b);
}

// Returns the part of the old version's servers that are sick.
static double
get_sick_share(const series_t *series, int alternative)
{
    int n_old = 0;
    int n_sick = 0;
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, series->servers);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        const server_stats_t *stats = value;
        if (!stats->is_target) {
            n_old++;
            n_sick += stats->evidence[alternative] >= SICK_EVIDENCE ? 1 : 0;
        }
    }
    return n_old > 0 ? (double)n_sick / n_old : 0;
}

// Returns how many of the target's servers don't count, those with most
// evidence. Servers that are in use but have no sample yet count as sound.
static int
count_trimmed(const ps_rollout_evidence_t *evidence, const series_t *series,
              int alternative, int n)
{
    double share = TRIMMED_SHARE + get_sick_share(series, alternative);
    int n_used = MAX(n, evidence->n_used);
    return n_used < 2 ? 0 : (int)ceil(share * n_used - 1e-9);
}

// Tells whether the target has had so many more bad answers than the old
// version that it can't go on, though no rate that is tested for fits.
static bool
has_excess(const ps_rollout_evidence_t *evidence, const series_t *series)
{
    double *values = g_new(double, g_hash_table_size(series->servers) + 1);
    double variance = 0;
    int n = 0;
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, series->servers);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        const server_stats_t *stats = value;
        if (stats->is_target) {
            values[n++] = stats->excess;
            variance += stats->variance;
        }
    }
    qsort(values, (size_t)n, sizeof *values, compare_numbers);
    double sum = 0;
    int n_kept = n - count_trimmed(evidence, series, 0, n);
    for (int i = 0; i < n_kept; i++) {
        sum += values[i];
    }
    g_free(values);
    double z_max = series->is_time ? EXCESS_TIME_SIGMAS : EXCESS_SIGMAS;
    return sum >= EXCESS_MIN && sum >= z_max * sqrt(variance);
}

// Returns the evidence of the target's servers without those that have most
// of it, in units of the threshold.
static double
get_trimmed_evidence(const ps_rollout_evidence_t *evidence,
                     const series_t *series, int alternative)
{
    double *values = g_new(double, g_hash_table_size(series->servers) + 1);
    int n = 0;
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, series->servers);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        const server_stats_t *stats = value;
        if (stats->is_target) {
            values[n++] = stats->evidence[alternative];
        }
    }
    qsort(values, (size_t)n, sizeof *values, compare_numbers);
    int n_trimmed = count_trimmed(evidence, series, alternative, n);
    double sum = 0;
    for (int i = 0; i < n - n_trimmed; i++) {
        sum += values[i];
    }
    g_free(values);
    return sum / (series->is_time ? TIME_THRESHOLD : FAILURE_THRESHOLD);
}

// Returns the evidence of a series: the highest of the rates tested for.
static double
get_evidence(const ps_rollout_evidence_t *evidence, const series_t *series)
{
    double highest = 0;
    for (int i = 0; i < ALTERNATIVES; i++) {
        highest = MAX(highest, get_trimmed_evidence(evidence, series, i));
    }
    return highest;
}

/* ---- Evidence --------------------------------------------------------- */

static void
condemn(ps_rollout_evidence_t *evidence, const series_t *series)
{
    evidence->bad_route = series->route;
    evidence->bad_sample = (ps_rollout_sample_t)(series->key & 0xff);
    evidence->is_bad = true;
}

static void
check_evidence(ps_rollout_evidence_t *evidence, const series_t *series)
{
    double found = get_evidence(evidence, series);
    evidence->highest = MAX(evidence->highest, found);
    bool is_excess = series->route == 0 && has_excess(evidence, series);
    if ((found >= 1 || is_excess) && !evidence->is_bad) {
        condemn(evidence, series);
    }
}

static void
add_old_sample(series_t *series, const ps_rollout_answer_t *answer,
               bool is_bad)
{
    series->n += 1;
    series->short_n += 1;
    series->bad += is_bad ? 1 : 0;
    series->short_bad += is_bad ? 1 : 0;
    if (series->is_time) {
        series->histogram[MIN(answer->bucket, PS_ROLLOUT_BUCKETS - 1)] += 1;
    }
}

// Samples are also counted in series of all routes, each by the share of its
// own route: those of one route may be too few for a verdict.
static void
add_to_all_routes(ps_rollout_evidence_t *evidence,
                  const ps_rollout_answer_t *answer, double p0, bool is_bad,
                  int64_t now_ms)
{
    ps_rollout_sample_t sample = answer->sample == PS_ROLLOUT_TOTAL
                                     ? PS_ROLLOUT_FIRST_EVENT
                                     : answer->sample;
    series_t *all = get_series(evidence, 0, sample);
    add_evidence(get_server(all, answer->server, answer->is_target), p0,
                 all->is_time, is_bad, now_ms);
    if (answer->is_target && is_bad) {
        check_evidence(evidence, all);
    }
}

uint8_t
PsRolloutEvidence_GetBucket(double ratio)
{
    double bucket = 4 * log2(MAX(ratio, 1e-9)) + PS_ROLLOUT_BUCKETS / 2.0;
    return (uint8_t)CLAMP(bucket, 0, PS_ROLLOUT_BUCKETS - 1);
}

void
PsRolloutEvidence_AddAnswer(ps_rollout_evidence_t *evidence,
                            const ps_rollout_answer_t *answer, int64_t now_ms)
{
    if (answer->sample >= PS_ROLLOUT_SAMPLES) {
        return;
    }
    series_t *series = get_series(evidence, answer->route, answer->sample);
    decay_series(series, now_ms);
    bool is_bad = series->is_time ? answer->bucket >= get_slow_bucket(series)
                                  : answer->sample == PS_ROLLOUT_FAILED;
    double p0 = get_old_share(series);
    bool is_bad_possible = !series->is_time || series->n >= OLD_SAMPLES_MIN;
    bool has_baseline = series->n >= OLD_SAMPLES_MIN;
    if (!answer->is_target) {
        add_old_sample(series, answer, is_bad);
    }
    else {
        series->n_target++;
        evidence->answers += series->is_time ? 0 : 1;
        evidence->bad_answers += is_bad ? 1 : 0;
        evidence->expected_bad += is_bad_possible ? p0 : 0;
    }
    if (series->is_time && !has_baseline) {
        return;
    }
    add_evidence(get_server(series, answer->server, answer->is_target), p0,
                 series->is_time, is_bad, now_ms);
    if (answer->is_target && is_bad) {
        check_evidence(evidence, series);
    }
    add_to_all_routes(evidence, answer, p0, is_bad, now_ms);
}

// Counts the requests of each route that have begun at the target.
static bool
counts_starts(const series_t *series)
{
    uint64_t sample = series->key & 0xff;
    return series->route != 0 &&
           (sample == PS_ROLLOUT_FIRST_EVENT || sample == PS_ROLLOUT_TOTAL);
}

int
PsRolloutEvidence_ListHeldRoutes(const ps_rollout_evidence_t *evidence,
                                 uint32_t *routes)
{
    double sum = 0;
    int n_routes = 0;
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, evidence->series);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        const series_t *series = value;
        sum += counts_starts(series) ? (double)series->n_target : 0;
        n_routes += counts_starts(series) ? 1 : 0;
    }
    int n = 0;
    g_hash_table_iter_init(&each, evidence->series);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        const series_t *series = value;
        if (counts_starts(series) && n < PS_ROLLOUT_HELD_MAX &&
            (double)series->n_target >
                HELD_FACTOR * sum / n_routes + HELD_MORE) {
            routes[n++] = series->route;
        }
    }
    return n;
}

bool
PsRolloutEvidence_CheckEnd(ps_rollout_evidence_t *evidence)
{
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, evidence->series);
    while (!evidence->is_bad && g_hash_table_iter_next(&each, NULL, &value)) {
        const series_t *series = value;
        double too_much = series->is_time ? END_TIME_EVIDENCE : END_EVIDENCE;
        if (get_evidence(evidence, series) >= too_much) {
            condemn(evidence, value);
        }
    }
    return evidence->is_bad;
}

double
PsRolloutEvidence_GetSickShare(const ps_rollout_evidence_t *evidence)
{
    uint64_t key = PS_ROLLOUT_FIRST_EVENT;
    const series_t *times = g_hash_table_lookup(evidence->series, &key);
    return times ? get_sick_share(times, 0) : 0;
}

void
PsRolloutEvidence_Init(ps_rollout_evidence_t *evidence)
{
    *evidence = (ps_rollout_evidence_t){0};
    evidence->series =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_series);
}

void
PsRolloutEvidence_Finish(ps_rollout_evidence_t *evidence)
{
    g_hash_table_destroy(evidence->series);
}
