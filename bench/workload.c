/*
 * workload.c - Reads workload files and draws requests from them. Arrivals are
 * a Poisson process with regular bursts.
 */
#include "workload.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define N_ENTRIES 9 /* daemons that receive requests, as in bench.c */
#define PROMPT_TOKENS_MAX 32000 /* longer draws are cut */
#define OUTPUT_TOKENS_MAX 6000  /* likewise */

/* ---- Reading ---------------------------------------------------------- */

// Returns a number of the workload file, or @fallback if the key is missing or
// has no number.
static double
get_number(GKeyFile *file, const char *group, const char *key, double fallback)
{
    GError *error = NULL;
    double value = g_key_file_get_double(file, group, key, &error);
    if (error) {
        g_error_free(error);
        return fallback;
    }
    return value;
}

// Reads at most @max numbers of a list; returns how many.
static int
get_list(GKeyFile *file, const char *group, const char *key, double *out,
         int max)
{
    gsize n = 0;
    gdouble *list = g_key_file_get_double_list(file, group, key, &n, NULL);
    for (gsize i = 0; i < n && i < (gsize)max; i++) {
        out[i] = list[i];
    }
    g_free(list);
    return (int)MIN(n, (gsize)max);
}

static void
load_engines(bench_workload_t *workload, GKeyFile *file)
{
    double base_ms[BENCH_SERVERS_MAX] = {0};
    double ms_per_request[BENCH_SERVERS_MAX] = {0};
    double prefill_tokens_per_ms[BENCH_SERVERS_MAX] = {0};
    double max_batch[BENCH_SERVERS_MAX] = {0};
    double cache_blocks[BENCH_SERVERS_MAX] = {0};
    workload->n_engines =
        get_list(file, "servers", "base_ms", base_ms, BENCH_SERVERS_MAX);
    get_list(file, "servers", "slope_ms", ms_per_request, BENCH_SERVERS_MAX);
    get_list(file, "servers", "prefill", prefill_tokens_per_ms,
             BENCH_SERVERS_MAX);
    get_list(file, "servers", "batch", max_batch, BENCH_SERVERS_MAX);
    get_list(file, "servers", "cache_blocks", cache_blocks, BENCH_SERVERS_MAX);
    for (int i = 0; i < workload->n_engines; i++) {
        workload->engines[i] = (bench_server_speed_t){
            base_ms[i], ms_per_request[i], prefill_tokens_per_ms[i],
            (int)max_batch[i], (int)cache_blocks[i]};
    }
}

// Loads the plain servers: a step takes service_ms, and 1 ms for each prompt
// token in it.
static void
load_services(bench_workload_t *workload, GKeyFile *file)
{
    double service_ms[BENCH_SERVERS_MAX] = {0};
    double max_batch[BENCH_SERVERS_MAX] = {0};
    workload->n_services = get_list(file, "services", "service_ms", service_ms,
                                    BENCH_SERVERS_MAX);
    get_list(file, "services", "batch", max_batch, BENCH_SERVERS_MAX);
    for (int i = 0; i < workload->n_services; i++) {
        workload->services[i] = (bench_server_speed_t){service_ms[i], 0.0, 1.0,
                                                       (int)max_batch[i], 1};
    }
}

static void
load_teams(bench_workload_t *workload, GKeyFile *file)
{
    gsize n = 0;
    char **names =
        g_key_file_get_string_list(file, "teams", "names", &n, NULL);
    workload->n_teams = get_list(file, "teams", "shares",
                                 workload->team_shares, BENCH_TEAMS_MAX);
    for (int i = 0; i < workload->n_teams && i < (int)n; i++) {
        workload->teams[i] = PsName_FromC(names[i]);
    }
    g_strfreev(names);
}

static void
load_class(bench_workload_t *workload, GKeyFile *file, const char *group)
{
    bench_class_t *class = &workload->classes[workload->n_classes++];
    char *kind = g_key_file_get_string(file, group, "kind", NULL);
    class->name = PsName_FromC(group + strlen("class "));
    class->share = get_number(file, group, "share", 0);
    class->tier = (int)get_number(file, group, "tier", 0);
    class->is_service = kind && strcmp(kind, "service") == 0;
    class->prompt_median = get_number(file, group, "prompt_median", 1);
    class->prompt_sigma = get_number(file, group, "prompt_sigma", 0);
    class->output_median = get_number(file, group, "output_median", 1);
    class->output_sigma = get_number(file, group, "output_sigma", 0);
    class->deadline_ms =
        (int64_t)get_number(file, group, "deadline_ms", 10000);
    class->n_prefixes = (int)get_number(file, group, "prefixes", 0);
    class->prefix_tokens = (int)get_number(file, group, "prefix_tokens", 0);
    g_free(kind);
}

void
BenchWorkload_Load(bench_workload_t *workload, const char *path)
{
    *workload = (bench_workload_t){0};
    GKeyFile *file = g_key_file_new();
    GError *error = NULL;
    if (!g_key_file_load_from_file(file, path, G_KEY_FILE_NONE, &error)) {
        fprintf(stderr, "%s: %s\n", path, error->message);
        exit(2);
    }
    char *name = g_key_file_get_string(file, "deployment", "name", NULL);
    workload->name = PsName_FromC(name);
    g_free(name);
    workload->duration_ms =
        (int64_t)(1000 * get_number(file, "deployment", "duration_s", 300));
    workload->burst_factor = get_number(file, "deployment", "burst_factor", 1);
    workload->burst_s = get_number(file, "deployment", "burst_s", 0);
    workload->burst_every_s =
        get_number(file, "deployment", "burst_every_s", 60);
    load_engines(workload, file);
    load_services(workload, file);
    load_teams(workload, file);
    char **groups = g_key_file_get_groups(file, NULL);
    for (int i = 0; groups[i]; i++) {
        if (g_str_has_prefix(groups[i], "class ") &&
            workload->n_classes < BENCH_CLASSES_MAX) {
            load_class(workload, file, groups[i]);
        }
    }
    g_strfreev(groups);
    g_key_file_free(file);
}

/* ---- Capacity --------------------------------------------------------- */

static double
get_lognormal_mean(double median, double sigma)
{
    return median * exp(sigma * sigma / 2.0);
}

// Returns how much of an engine's time a request takes in a full batch, in
// milliseconds.
static double
get_cost_ms(const bench_server_speed_t *engine, double prompt_tokens,
            double output_tokens)
{
    double step = engine->base_ms + engine->ms_per_request * engine->max_batch;
    return prompt_tokens / engine->prefill_tokens_per_ms +
           output_tokens * step / engine->max_batch;
}

double
BenchWorkload_GetCost(const bench_workload_t *workload, uint32_t prompt_tokens,
                      uint32_t output_tokens)
{
    double rate_per_s = 0;
    for (int i = 0; i < workload->n_engines; i++) {
        rate_per_s += 1000.0 / get_cost_ms(&workload->engines[i],
                                           prompt_tokens, output_tokens);
    }
    return 1.0 / rate_per_s;
}

double
BenchWorkload_GetCapacity(const bench_workload_t *workload)
{
    double prompt_tokens = 0;
    double output_tokens = 0;
    double share = 0;
    for (int i = 0; i < workload->n_classes; i++) {
        const bench_class_t *class = &workload->classes[i];
        if (class->is_service) {
            continue;
        }
        share += class->share;
        prompt_tokens +=
            class->share *
            get_lognormal_mean(class->prompt_median, class->prompt_sigma);
        output_tokens +=
            class->share *
            get_lognormal_mean(class->output_median, class->output_sigma);
    }
    double rate_per_s = 0;
    for (int i = 0; i < workload->n_engines; i++) {
        rate_per_s +=
            1000.0 / get_cost_ms(&workload->engines[i], prompt_tokens / share,
                                 output_tokens / share);
    }
    return rate_per_s / share;
}

/* ---- Drawing ---------------------------------------------------------- */

// Draws from the standard normal distribution, by the Box-Muller transform.
static double
draw_normal(GRand *rng)
{
    double u = 1.0 - g_rand_double(rng);
    double v = g_rand_double(rng);
    return sqrt(-2.0 * log(u)) * cos(2.0 * G_PI * v);
}

// Draws a number of tokens from a lognormal distribution, cut at 1 and @max.
static uint32_t
draw_length(GRand *rng, double median, double sigma, double max)
{
    double length = median * exp(sigma * draw_normal(rng));
    return (uint32_t)CLAMP(length, 1.0, max);
}

// Draws an index below @n, with probabilities in proportion to @shares.
static int
draw_index(GRand *rng, const double *shares, int n)
{
    double sum = 0;
    for (int i = 0; i < n; i++) {
        sum += shares[i];
    }
    double point = g_rand_double(rng) * sum;
    for (int i = 0; i < n - 1; i++) {
        point -= shares[i];
        if (point < 0) {
            return i;
        }
    }
    return n - 1;
}

// Sets the hashes of the prompt's blocks: first those of a shared prefix, if
// the class has any, then hashes that no other request has. The factors keep
// the hashes of different classes, prefixes and requests apart.
static void
draw_blocks(GRand *rng, bench_request_t *request, const bench_class_t *class,
            int index)
{
    ps_grant_request_t *grant_request = &request->grant_request;
    int prefix = class->n_prefixes > 0
                     ? g_rand_int_range(rng, 0, class->n_prefixes)
                     : -1;
    uint32_t n = request->prompt_tokens / PS_TOKENS_PER_BLOCK;
    grant_request->n_blocks = MIN(n, (uint32_t)PS_BLOCKS_MAX);
    for (uint32_t i = 0; i < grant_request->n_blocks; i++) {
        bool is_shared = prefix >= 0 && (int)((i + 1) * PS_TOKENS_PER_BLOCK) <=
                                            class->prefix_tokens;
        grant_request->blocks[i] =
            is_shared ? (uint64_t)(request->class_index + 1) * 1000000u +
                            (uint64_t)prefix * 1000u + i
                      : ((uint64_t)index + 1) * 100000000u + i;
    }
}

static void
fill_grant_request(const bench_workload_t *workload, bench_request_t *request,
                   int index)
{
    ps_grant_request_t *grant_request = &request->grant_request;
    const bench_class_t *class = &workload->classes[request->class_index];
    grant_request->ticket = PsName_Format("%d", index);
    grant_request->entry = PsName_Format("entry%d", request->entry);
    grant_request->team = workload->teams[request->team];
    grant_request->rule = class->name;
    grant_request->model = class->name;
    grant_request->tier = request->tier;
    grant_request->idempotent = true;
    grant_request->deadline_ms = request->deadline_ms;
    grant_request->prompt_tokens = request->prompt_tokens;
    grant_request->content_hash = request->content_hash;
}

// Draws a class by share: any if @tier is negative, else a model class of that
// tier.
static int
draw_class(const bench_workload_t *workload, GRand *rng, int tier)
{
    double shares[BENCH_CLASSES_MAX];
    for (int i = 0; i < workload->n_classes; i++) {
        const bench_class_t *class = &workload->classes[i];
        bool is_eligible =
            tier < 0 || (class->tier == tier && !class->is_service);
        shares[i] = is_eligible ? class->share : 0.0;
    }
    return draw_index(rng, shares, workload->n_classes);
}

// Draws a request. If @noisy_tier is not negative, it is one that the noisy
// team adds: a model request of that tier.
static void
draw_request(const bench_workload_t *workload, GRand *rng,
             bench_request_t *request, int index, int64_t arrival_ms,
             int noisy_tier)
{
    *request = (bench_request_t){.arrival_ms = arrival_ms};
    request->team = noisy_tier >= 0 ? 0
                                    : draw_index(rng, workload->team_shares,
                                                 workload->n_teams);
    request->class_index = draw_class(workload, rng, noisy_tier);
    const bench_class_t *class = &workload->classes[request->class_index];
    request->entry = g_rand_int_range(rng, 0, N_ENTRIES);
    request->tier = class->tier;
    request->prompt_tokens = draw_length(
        rng, class->prompt_median, class->prompt_sigma, PROMPT_TOKENS_MAX);
    request->output_tokens = draw_length(
        rng, class->output_median, class->output_sigma, OUTPUT_TOKENS_MAX);
    request->deadline_ms = arrival_ms + class->deadline_ms;
    request->content_hash = (uint64_t)index + 1;
    draw_blocks(rng, request, class, index);
    fill_grant_request(workload, request, index);
}

// Returns the first team's model requests of a tier, as a share of all
// requests.
static double
get_noisy_share(const bench_workload_t *workload, int tier)
{
    double class_share = 0;
    double all_teams = 0;
    for (int i = 0; i < workload->n_classes; i++) {
        const bench_class_t *class = &workload->classes[i];
        class_share +=
            class->tier == tier && !class->is_service ? class->share : 0.0;
    }
    for (int i = 0; i < workload->n_teams; i++) {
        all_teams += workload->team_shares[i];
    }
    return class_share * workload->team_shares[0] / all_teams;
}

bench_request_t *
BenchWorkload_DrawRequests(const bench_workload_t *workload, double load,
                           double noisy_factor, int noisy_tier, uint32_t seed,
                           int *n)
{
    GRand *rng = g_rand_new_with_seed(seed);
    GArray *all = g_array_new(FALSE, TRUE, sizeof(bench_request_t));
    // Requests that the noisy team adds, as a share of those without them.
    double extra_share =
        (noisy_factor - 1.0) * get_noisy_share(workload, noisy_tier);
    double burst_share = workload->burst_s / workload->burst_every_s;
    // Arrival rate outside bursts.
    double base_rate_per_s =
        BenchWorkload_GetCapacity(workload) * load * (1.0 + extra_share) /
        (1.0 + burst_share * (workload->burst_factor - 1.0));
    double time_s = 0;
    while (time_s * 1000.0 < (double)workload->duration_ms) {
        bool is_burst = fmod(time_s, workload->burst_every_s) >=
                        workload->burst_every_s - workload->burst_s;
        double rate_per_s =
            base_rate_per_s * (is_burst ? workload->burst_factor : 1.0);
        time_s += -log(1.0 - g_rand_double(rng)) / rate_per_s;
        bool is_noisy = extra_share > 0 &&
                        g_rand_double(rng) < extra_share / (1.0 + extra_share);
        bench_request_t request;
        draw_request(workload, rng, &request, (int)all->len,
                     (int64_t)(time_s * 1000.0), is_noisy ? noisy_tier : -1);
        g_array_append_val(all, request);
    }
    g_rand_free(rng);
    *n = (int)all->len;
    return (bench_request_t *)(void *)g_array_free(all, FALSE);
}
