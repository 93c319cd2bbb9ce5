/* workload.c - Draws requests; arrivals are Poisson with regular bursts. */
#include "workload.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ENTRIES 9        /* daemons that take requests */
#define PROMPT_MAX 32000 /* tokens */
#define OUTPUT_MAX 6000  /* tokens */

/* ---- Reading ---------------------------------------------------------- */

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
    double base[BENCH_SERVERS_MAX] = {0};
    double slope[BENCH_SERVERS_MAX] = {0};
    double prefill[BENCH_SERVERS_MAX] = {0};
    double batch[BENCH_SERVERS_MAX] = {0};
    double cache[BENCH_SERVERS_MAX] = {0};
    workload->n_engines =
        get_list(file, "servers", "base_ms", base, BENCH_SERVERS_MAX);
    get_list(file, "servers", "slope_ms", slope, BENCH_SERVERS_MAX);
    get_list(file, "servers", "prefill", prefill, BENCH_SERVERS_MAX);
    get_list(file, "servers", "batch", batch, BENCH_SERVERS_MAX);
    get_list(file, "servers", "cache_blocks", cache, BENCH_SERVERS_MAX);
    for (int i = 0; i < workload->n_engines; i++) {
        workload->engines[i] = (bench_machine_t){base[i], slope[i], prefill[i],
                                                 (int)batch[i], (int)cache[i]};
    }
}

static void
load_services(bench_workload_t *workload, GKeyFile *file)
{
    double time[BENCH_SERVERS_MAX] = {0};
    double batch[BENCH_SERVERS_MAX] = {0};
    workload->n_services =
        get_list(file, "services", "service_ms", time, BENCH_SERVERS_MAX);
    get_list(file, "services", "batch", batch, BENCH_SERVERS_MAX);
    for (int i = 0; i < workload->n_services; i++) {
        workload->services[i] =
            (bench_machine_t){time[i], 0.0, 1.0, (int)batch[i], 1};
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
    class->prefixes = (int)get_number(file, group, "prefixes", 0);
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
lognormal_mean(double median, double sigma)
{
    return median * exp(sigma * sigma / 2.0);
}

// Milliseconds of one engine, with a full batch, that a request takes.
static double
engine_cost_ms(const bench_machine_t *engine, double prompt, double output)
{
    double step = engine->base_ms + engine->slope_ms * engine->batch;
    return prompt / engine->prefill + output * step / engine->batch;
}

double
BenchWorkload_GetCost(const bench_workload_t *workload, uint32_t prompt,
                      uint32_t output)
{
    double rate = 0;
    for (int i = 0; i < workload->n_engines; i++) {
        rate += 1000.0 / engine_cost_ms(&workload->engines[i], prompt, output);
    }
    return 1.0 / rate;
}

double
BenchWorkload_GetCapacity(const bench_workload_t *workload)
{
    double prompt = 0;
    double output = 0;
    double share = 0;
    for (int i = 0; i < workload->n_classes; i++) {
        const bench_class_t *class = &workload->classes[i];
        if (class->is_service) {
            continue;
        }
        share += class->share;
        prompt += class->share *
                  lognormal_mean(class->prompt_median, class->prompt_sigma);
        output += class->share *
                  lognormal_mean(class->output_median, class->output_sigma);
    }
    double rate = 0;
    for (int i = 0; i < workload->n_engines; i++) {
        rate += 1000.0 / engine_cost_ms(&workload->engines[i], prompt / share,
                                        output / share);
    }
    return rate / share;
}

/* ---- Drawing ---------------------------------------------------------- */

static double
draw_normal(GRand *dice)
{
    double u = 1.0 - g_rand_double(dice);
    double v = g_rand_double(dice);
    return sqrt(-2.0 * log(u)) * cos(2.0 * G_PI * v);
}

static uint32_t
draw_length(GRand *dice, double median, double sigma, double most)
{
    double length = median * exp(sigma * draw_normal(dice));
    return (uint32_t)CLAMP(length, 1.0, most);
}

static int
draw_index(GRand *dice, const double *shares, int n)
{
    double sum = 0;
    for (int i = 0; i < n; i++) {
        sum += shares[i];
    }
    double drawn = g_rand_double(dice) * sum;
    for (int i = 0; i < n - 1; i++) {
        drawn -= shares[i];
        if (drawn < 0) {
            return i;
        }
    }
    return n - 1;
}

// Names the prompt's blocks: a shared prefix first, then its own text.
static void
draw_blocks(GRand *dice, bench_request_t *request, const bench_class_t *class,
            int number)
{
    ps_grant_request_t *ask = &request->ask;
    int shared =
        class->prefixes > 0 ? g_rand_int_range(dice, 0, class->prefixes) : -1;
    uint32_t n = request->prompt / PS_TOKENS_PER_BLOCK;
    ask->n_blocks = MIN(n, (uint32_t)PS_BLOCKS_MAX);
    for (uint32_t i = 0; i < ask->n_blocks; i++) {
        bool is_shared = shared >= 0 && (int)((i + 1) * PS_TOKENS_PER_BLOCK) <=
                                            class->prefix_tokens;
        ask->blocks[i] =
            is_shared ? (uint64_t)(request->class_index + 1) * 1000000u +
                            (uint64_t)shared * 1000u + i
                      : ((uint64_t)number + 1) * 100000000u + i;
    }
}

static void
fill_ask(const bench_workload_t *workload, bench_request_t *request,
         int number)
{
    ps_grant_request_t *ask = &request->ask;
    const bench_class_t *class = &workload->classes[request->class_index];
    ask->ticket = PsName_Format("%d", number);
    ask->entry = PsName_Format("entry%d", request->entry);
    ask->team = workload->teams[request->team];
    ask->rule = class->name;
    ask->model = class->name;
    ask->tier = request->tier;
    ask->idempotent = true;
    ask->deadline_ms = request->deadline_ms;
    ask->prompt_tokens = request->prompt;
    ask->content_hash = request->hash;
}

// Draws a class: of all, or of the model's in one tier.
static int
draw_class(const bench_workload_t *workload, GRand *dice, int tier)
{
    double shares[BENCH_CLASSES_MAX];
    for (int i = 0; i < workload->n_classes; i++) {
        const bench_class_t *class = &workload->classes[i];
        bool is_meant =
            tier < 0 || (class->tier == tier && !class->is_service);
        shares[i] = is_meant ? class->share : 0.0;
    }
    return draw_index(dice, shares, workload->n_classes);
}

static void
draw_request(const bench_workload_t *workload, GRand *dice,
             bench_request_t *request, int number, int64_t at_ms,
             int loud_tier)
{
    *request = (bench_request_t){.arrive_ms = at_ms};
    request->team = loud_tier >= 0 ? 0
                                   : draw_index(dice, workload->team_shares,
                                                workload->n_teams);
    request->class_index = draw_class(workload, dice, loud_tier);
    const bench_class_t *class = &workload->classes[request->class_index];
    request->entry = g_rand_int_range(dice, 0, ENTRIES);
    request->tier = class->tier;
    request->prompt = draw_length(dice, class->prompt_median,
                                  class->prompt_sigma, PROMPT_MAX);
    request->output = draw_length(dice, class->output_median,
                                  class->output_sigma, OUTPUT_MAX);
    request->deadline_ms = at_ms + class->deadline_ms;
    request->hash = (uint64_t)number + 1;
    draw_blocks(dice, request, class, number);
    fill_ask(workload, request, number);
}

// Share of the first team's model requests of a tier among all requests.
static double
loud_share(const bench_workload_t *workload, int tier)
{
    double classes = 0;
    double teams = 0;
    for (int i = 0; i < workload->n_classes; i++) {
        const bench_class_t *class = &workload->classes[i];
        classes +=
            class->tier == tier && !class->is_service ? class->share : 0.0;
    }
    for (int i = 0; i < workload->n_teams; i++) {
        teams += workload->team_shares[i];
    }
    return classes * workload->team_shares[0] / teams;
}

bench_request_t *
BenchWorkload_Draw(const bench_workload_t *workload, double load, double loud,
                   int loud_tier, uint32_t seed, int *n)
{
    GRand *dice = g_rand_new_with_seed(seed);
    GArray *all = g_array_new(FALSE, TRUE, sizeof(bench_request_t));
    double extra = (loud - 1.0) * loud_share(workload, loud_tier);
    double burst_share = workload->burst_s / workload->burst_every_s;
    double quiet_rate = BenchWorkload_GetCapacity(workload) * load *
                        (1.0 + extra) /
                        (1.0 + burst_share * (workload->burst_factor - 1.0));
    double at_s = 0;
    while (at_s * 1000.0 < (double)workload->duration_ms) {
        bool is_burst = fmod(at_s, workload->burst_every_s) >=
                        workload->burst_every_s - workload->burst_s;
        double rate = quiet_rate * (is_burst ? workload->burst_factor : 1.0);
        at_s += -log(1.0 - g_rand_double(dice)) / rate;
        bool is_extra =
            extra > 0 && g_rand_double(dice) < extra / (1.0 + extra);
        bench_request_t request;
        draw_request(workload, dice, &request, (int)all->len,
                     (int64_t)(at_s * 1000.0), is_extra ? loud_tier : -1);
        g_array_append_val(all, request);
    }
    g_rand_free(dice);
    *n = (int)all->len;
    return (bench_request_t *)(void *)g_array_free(all, FALSE);
}
