/*
 * bench.c - The real decision code against its baselines, in virtual time.
 *
 * Each policy sees the same requests. Prints goodput by tier, wasted prefill
 * with its causes, token times and refusals; the worst seed counts.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "engine.h"
#include "pool.h"
#include "workload.h"

#define ENTRIES 9 /* daemons; owners of a pool without sharing */
#define TIERS 3
#define REPORT_EVERY_MS 1000
#define REPORT_LAG 2 /* reports that a report is late by */
#define PROGRESS_EVERY_MS 250
#define RUN_EVERY_MS 100
#define CACHE_EVERY_MS 2000
#define CACHE_GAP 0.1       /* cache events that are lost */
#define OWNER_GAP_MS 1500   /* without an owner after its death */
#define TAIL_MS 130000      /* time after the last arrival */
#define CRASH_EVERY_MS 2000 /* the crashing request is sent again */
#define MS_STEP 1

/* ---- Types ------------------------------------------------------------ */

typedef struct policy {
    const char *name;
    const char *placement;
    bool is_shared; /* one owner for all entries */
    bool is_early;  /* early refusal, preemption, fairness */
    const char *what;
} policy_t;

typedef struct run {
    const bench_workload_t *workload;
    const policy_t *policy;
    const char *fault;
    bench_request_t *requests;
    int n;
    bench_engine_t engines[BENCH_SERVERS_MAX];
    bench_engine_t services[BENCH_SERVERS_MAX];
    ps_config_t config;
    ps_pool_t pools[ENTRIES];     /* of the model */
    ps_pool_t registers[ENTRIES]; /* of the plain service */
    int n_pools;
    int64_t now;
    GRand *dice;
    GPtrArray *open; /* requests that are running */
    GQueue returned; /* granted on a dead server */
    int64_t no_owner_until;
    int reports[BENCH_SERVERS_MAX][REPORT_LAG + 1][2];
    int deaths;
    uint64_t wasted[3]; /* deadline, preempted, server death */
    int64_t decide_us;  /* processor time spent in pools */
} run_t;

typedef struct result {
    double goodput[TIERS];
    double refused[TIERS];
    double first_p95[TIERS];
    double gap_p95[TIERS];
    double wasted;
    double wasted_by[3];
    double work;      /* in time, share of what could be had */
    double team_loss; /* filled by the fairness comparison */
    double by_team[TIERS][BENCH_TEAMS_MAX];
    int deaths;
    int n;
    double decide_us; /* processor time of decisions for a request */
} result_t;

/* ---- Globals ---------------------------------------------------------- */

static const policy_t policies[] = {
    {"pearstair", "finish", true, true, "owner's queue, the product"},
    {"alone", "finish", false, true, "the same, each entry on its own"},
    {"two-choices", "two-choices", false, false, "two random, less load"},
    {"least-reported", "least-reported", false, false, "least load"},
};

static char *workload_path;
static double load = 0.9;
static double loud = 1.0;
static int loud_tier = 1;
static int n_seeds = 5;
static int first_seed = 1;
static char *policy_names = "pearstair,alone,two-choices,least-reported";
static char *fault_name = "none";
static char *csv_path;
static char *without = "";
static double quantile_top = -1;
static double quantile_low = -1;
static double margin = -1;
static double margin_top = -1;
static double caution = -1;
static double grace = 1.0; /* as relay.c */
static int eager = -2;

static const GOptionEntry options[] = {
    {"workload", 'w', 0, G_OPTION_ARG_FILENAME, &workload_path,
     "Workload file", "FILE"},
    {"load", 'l', 0, G_OPTION_ARG_DOUBLE, &load, "Share of capacity", "X"},
    {"loud", 0, 0, G_OPTION_ARG_DOUBLE, &loud,
     "Factor on the first team's model requests of one tier", "X"},
    {"loud-tier", 0, 0, G_OPTION_ARG_INT, &loud_tier, "That tier", "TIER"},
    {"seeds", 's', 0, G_OPTION_ARG_INT, &n_seeds, "Seeds", "N"},
    {"first-seed", 0, 0, G_OPTION_ARG_INT, &first_seed, "First seed", "N"},
    {"policies", 'p', 0, G_OPTION_ARG_STRING, &policy_names,
     "Names, separated by commas", "LIST"},
    {"fault", 'f', 0, G_OPTION_ARG_STRING, &fault_name,
     "none, die, slow, owner, entry or crash", "NAME"},
    {"without", 0, 0, G_OPTION_ARG_STRING, &without,
     "Leave out of the product: early, fair, preempt, forecast, prefix",
     "LIST"},
    {"quantile-top", 0, 0, G_OPTION_ARG_DOUBLE, &quantile_top,
     "Forecast quantile of tier 0", "Q"},
    {"quantile-low", 0, 0, G_OPTION_ARG_DOUBLE, &quantile_low,
     "Forecast quantile of the other tiers", "Q"},
    {"margin", 0, 0, G_OPTION_ARG_DOUBLE, &margin,
     "Share of the time left that is kept free", "X"},
    {"margin-top", 0, 0, G_OPTION_ARG_DOUBLE, &margin_top,
     "The same, for tier 0", "X"},
    {"eager", 0, 0, G_OPTION_ARG_INT, &eager,
     "Tiers up to it do not wait for caution", "TIER"},
    {"caution", 0, 0, G_OPTION_ARG_DOUBLE, &caution,
     "Factor on predicted waits", "X"},
    {"grace", 0, 0, G_OPTION_ARG_DOUBLE, &grace,
     "Share of the deadline that an answer may be late by", "X"},
    {"csv", 0, 0, G_OPTION_ARG_FILENAME, &csv_path, "Append rows", "FILE"},
    G_OPTION_ENTRY_NULL};

/* ---- Requests --------------------------------------------------------- */

static bool
is_service(const run_t *run, const bench_request_t *request)
{
    return run->workload->classes[request->class_index].is_service;
}

static bench_engine_t *
engine_of(run_t *run, const bench_request_t *request)
{
    return is_service(run, request) ? &run->services[request->server]
                                    : &run->engines[request->server];
}

static ps_pool_t *
pool_of(run_t *run, const bench_request_t *request)
{
    int index = run->n_pools > 1 ? request->entry : 0;
    return is_service(run, request) ? &run->registers[index]
                                    : &run->pools[index];
}

static void
end_at_pool(run_t *run, bench_request_t *request, ps_outcome_t outcome)
{
    ps_dispatch_result_t end = {.outcome = outcome,
                                .total_ms = run->now - request->granted_ms,
                                .output_tokens = request->made};
    if (request->first_ms > 0) {
        end.first_token_ms = request->first_ms - request->granted_ms;
    }
    request->is_running = false;
    request->end_ms = run->now;
    g_ptr_array_remove_fast(run->open, request);
    PsPool_EndDispatch(pool_of(run, request), &request->ask.ticket, &end,
                       run->now);
}

static void
on_ended(void *user, bench_request_t *request)
{
    run_t *run = user;
    request->is_done = true;
    end_at_pool(run, request, PS_OUTCOME_COMPLETE);
}

static void
on_broken(void *user, bench_request_t *request)
{
    run_t *run = user;
    request->was_killed = true;
    run->wasted[2] += request->prefilled;
    end_at_pool(run, request, PS_OUTCOME_BROKEN);
}

static void
cancel(run_t *run, bench_request_t *request, int cause)
{
    BenchEngine_Cancel(engine_of(run, request), request);
    request->is_cancelled = true;
    run->wasted[cause] += is_service(run, request) ? 0 : request->prefilled;
    end_at_pool(run, request, PS_OUTCOME_CANCELLED);
}

/* ---- Events of pools -------------------------------------------------- */

static bench_request_t *
request_of(run_t *run, const ps_grant_request_t *ask)
{
    return &run->requests[atoi(ask->ticket.data)];
}

static void
on_grant(ps_pool_t *pool, ps_job_t *job, const char *reason)
{
    (void)reason;
    run_t *run = pool->user;
    bench_request_t *request = request_of(run, &job->request);
    request->server = job->server;
    request->granted_ms = run->now;
    bench_engine_t *engine = engine_of(run, request);
    if (run->now < engine->dead_until_ms) {
        g_queue_push_tail(&run->returned, request);
        return;
    }
    request->is_running = true;
    g_ptr_array_add(run->open, request);
    BenchEngine_Start(engine, request);
}

static void
on_refuse(ps_pool_t *pool, const ps_grant_request_t *ask,
          const ps_refusal_t *refusal, const char *reason)
{
    (void)reason;
    run_t *run = pool->user;
    bench_request_t *request = request_of(run, ask);
    request->is_refused = true;
    request->code = refusal->code;
    request->end_ms = run->now;
}

static void
on_cancel(ps_pool_t *pool, ps_job_t *job, const char *reason)
{
    (void)reason;
    run_t *run = pool->user;
    cancel(run, request_of(run, &job->request), 1);
}

static const ps_pool_events_t pool_events = {on_grant, on_refuse, on_cancel};

/* ---- Set-up ----------------------------------------------------------- */

static void
append_servers(GString *text, const char *prefix, int n)
{
    for (int i = 0; i < n; i++) {
        g_string_append_printf(
            text,
            "%s{\"name\":\"%s%d\",\"address\":\"127.0.0.1:%d\","
            "\"domain\":\"z%d\"}",
            i > 0 ? "," : "", prefix, i, 9000 + i, i % 3);
    }
}

static void
load_config(run_t *run)
{
    GString *text = g_string_new(
        "{\"tiers\":[{\"deadline_ms\":60000},{\"deadline_ms\":60000},"
        "{\"deadline_ms\":60000}],\"teams\":[");
    for (int i = 0; i < run->workload->n_teams; i++) {
        g_string_append_printf(text, "%s{\"name\":\"%s\",\"weight\":%g}",
                               i > 0 ? "," : "", run->workload->teams[i].data,
                               run->workload->team_shares[i]);
    }
    g_string_append(text, "],\"pools\":[{\"name\":\"m\",\"kind\":\"model\","
                          "\"queue_limit\":4000,\"servers\":[");
    append_servers(text, "e", run->workload->n_engines);
    g_string_append(text, "]},{\"name\":\"s\",\"kind\":\"service\","
                          "\"slots\":16,\"servers\":[");
    append_servers(text, "s", run->workload->n_services);
    g_string_append(text, "]}],\"rules\":[]}");
    ps_str_t view = {text->str, text->len};
    if (PsConfig_Parse(&run->config, view, 1) != PS_OK) {
        fprintf(stderr, "bench: %s\n", PsStatus_LastMessage());
        exit(1);
    }
    g_string_free(text, TRUE);
}

static void
set_options(ps_pool_t *pool, const policy_t *policy)
{
    ps_pool_options_t *chosen = &pool->options;
    chosen->early_refusal = policy->is_early && !strstr(without, "early");
    chosen->is_fair = policy->is_early && !strstr(without, "fair");
    chosen->can_preempt = policy->is_early && !strstr(without, "preempt");
    chosen->use_forecast = !strstr(without, "forecast");
    chosen->use_prefix = !strstr(without, "prefix");
    chosen->quantile_top =
        quantile_top >= 0 ? quantile_top : chosen->quantile_top;
    chosen->quantile_low =
        quantile_low >= 0 ? quantile_low : chosen->quantile_low;
    chosen->deadline_margin_low =
        margin >= 0 ? margin : chosen->deadline_margin_low;
    chosen->deadline_margin_top =
        margin_top >= 0 ? margin_top : chosen->deadline_margin_top;
    chosen->median_fallback_tier =
        eager >= -1 ? eager : chosen->median_fallback_tier;
    chosen->wait_factor = caution >= 0 ? caution : chosen->wait_factor;
}

static void
open_pool(run_t *run, ps_pool_t *pool, const char *name, int index)
{
    ps_name_t pool_name = PsName_FromC(name);
    PsPool_Init(pool, &pool_events, &pool_name);
    pool->user = run;
    pool->random_state = (uint32_t)index + 1;
    pool->placement = PsPlacement_Find(run->policy->placement);
    set_options(pool, run->policy);
    PsPool_Configure(pool, &run->config, run->now);
}

static void
start_run(run_t *run)
{
    load_config(run);
    run->dice = g_rand_new_with_seed(99);
    run->open = g_ptr_array_new();
    g_queue_init(&run->returned);
    run->n_pools = run->policy->is_shared ? 1 : ENTRIES;
    for (int i = 0; i < run->n_pools; i++) {
        open_pool(run, &run->pools[i], "m", i);
        open_pool(run, &run->registers[i], "s", i);
    }
    for (int i = 0; i < run->workload->n_engines; i++) {
        BenchEngine_Init(&run->engines[i], &run->workload->engines[i]);
    }
    for (int i = 0; i < run->workload->n_services; i++) {
        BenchEngine_Init(&run->services[i], &run->workload->services[i]);
    }
}

static void
finish_run(run_t *run)
{
    for (int i = 0; i < run->n_pools; i++) {
        PsPool_Finish(&run->pools[i]);
        PsPool_Finish(&run->registers[i]);
    }
    for (int i = 0; i < run->workload->n_engines; i++) {
        BenchEngine_Finish(&run->engines[i]);
    }
    for (int i = 0; i < run->workload->n_services; i++) {
        BenchEngine_Finish(&run->services[i]);
    }
    g_queue_clear(&run->returned);
    g_ptr_array_free(run->open, TRUE);
    g_rand_free(run->dice);
    PsConfig_Finish(&run->config);
}

/* ---- Steps ------------------------------------------------------------ */

static void
run_pools(run_t *run)
{
    for (int i = 0; i < run->n_pools; i++) {
        if (run->now >= run->no_owner_until) {
            PsPool_Run(&run->pools[i], run->now);
        }
        PsPool_Run(&run->registers[i], run->now);
    }
    bench_request_t *request;
    while ((request = g_queue_pop_head(&run->returned))) {
        ps_dispatch_result_t end = {.outcome = PS_OUTCOME_REFUSED};
        ps_pool_t *pool = pool_of(run, request);
        PsPool_EndDispatch(pool, &request->ask.ticket, &end, run->now);
        PsPool_Submit(pool, &request->ask, run->now);
    }
}

static void
run_engines(run_t *run)
{
    for (int i = 0; i < run->workload->n_services; i++) {
        BenchEngine_Run(&run->services[i], run->now, on_ended, run);
    }
    for (int i = 0; i < run->workload->n_engines; i++) {
        bench_engine_t *engine = &run->engines[i];
        if (BenchEngine_Run(engine, run->now, on_ended, run)) {
            run->deaths++;
            BenchEngine_Kill(engine, run->now + 30000, on_broken, run);
        }
    }
}

static void
check_deadlines(run_t *run)
{
    for (guint i = run->open->len; i-- > 0;) {
        if (i >= run->open->len) {
            continue;
        }
        bench_request_t *request = run->open->pdata[i];
        int64_t given = request->deadline_ms - request->arrive_ms;
        int64_t late = (int64_t)((double)given * grace);
        if (run->now > request->deadline_ms + late) {
            cancel(run, request, 0);
        }
    }
}

static void
send_progress(run_t *run)
{
    for (guint i = 0; i < run->open->len; i++) {
        bench_request_t *request = run->open->pdata[i];
        if (request->made > 0 && !is_service(run, request)) {
            PsPool_AddProgress(pool_of(run, request), &request->ask.ticket,
                               request->made, run->now);
        }
    }
}

static void
send_reports(run_t *run)
{
    for (int i = 0; i < run->workload->n_engines; i++) {
        bench_engine_t *engine = &run->engines[i];
        int(*kept)[2] = run->reports[i];
        for (int k = REPORT_LAG; k > 0; k--) {
            kept[k][0] = kept[k - 1][0];
            kept[k][1] = kept[k - 1][1];
        }
        kept[0][0] = (int)engine->running->len;
        kept[0][1] = (int)engine->waiting.length;
        ps_name_t name = PsName_Format("e%d", i);
        for (int p = 0; p < run->n_pools && run->now >= engine->dead_until_ms;
             p++) {
            PsPool_HandleLoadReport(&run->pools[p], &name, kept[REPORT_LAG][0],
                                    kept[REPORT_LAG][1], run->now);
        }
    }
}

// Late cache events with gaps: blocks that the engine has evicted are dropped.
static void
send_cache_events(run_t *run)
{
    for (int p = 0; p < run->n_pools; p++) {
        for (int i = 0; i < run->pools[p].n_servers; i++) {
            ps_prefix_cache_t *believed =
                &run->pools[p].servers[i].prefix_cache;
            GList *next;
            for (GList *l = believed->lru.head; l; l = next) {
                next = l->next;
                uint64_t block = *(uint64_t *)l->data;
                if (!g_hash_table_contains(run->engines[i].cache.blocks,
                                           &block) &&
                    g_rand_double(run->dice) > CACHE_GAP) {
                    PsPrefixCache_Remove(believed, block);
                }
            }
        }
    }
}

/* ---- Processor time --------------------------------------------------- */

static int64_t
processor_us(void)
{
    struct timespec spent;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &spent);
    return (int64_t)spent.tv_sec * 1000000 + spent.tv_nsec / 1000;
}

/* ---- Faults ----------------------------------------------------------- */

static ps_job_t *
first_waiting(const ps_pool_t *pool)
{
    for (int t = 0; t < TIERS; t++) {
        if (pool->queue.tiers[t].jobs.length > 0) {
            return pool->queue.tiers[t].jobs.head->data;
        }
    }
    return NULL;
}

// A new owner knows nothing but what entries report: it adopts what runs.
static void
change_owner(run_t *run)
{
    ps_pool_t *pool = &run->pools[0];
    GArray *waiting = g_array_new(FALSE, FALSE, sizeof(ps_grant_request_t));
    ps_job_t *job;
    while ((job = first_waiting(pool))) {
        ps_grant_request_t ask = job->request;
        g_array_append_val(waiting, ask);
        PsPool_Withdraw(pool, &ask.ticket);
    }
    PsPool_Finish(pool);
    open_pool(run, pool, "m", 0);
    for (guint i = 0; i < run->open->len; i++) {
        bench_request_t *request = run->open->pdata[i];
        if (!is_service(run, request)) {
            ps_name_t server = PsName_Format("e%d", request->server);
            PsPool_AddRecovered(pool, &request->ask, &server,
                                run->now - request->granted_ms, run->now);
        }
    }
    for (guint i = 0; i < waiting->len; i++) {
        PsPool_Submit(pool, &g_array_index(waiting, ps_grant_request_t, i),
                      run->now);
    }
    g_array_free(waiting, TRUE);
    run->no_owner_until = run->now + OWNER_GAP_MS;
}

static void
lose_entry(run_t *run, int entry)
{
    for (int i = 0; i < run->n; i++) {
        bench_request_t *request = &run->requests[i];
        ps_pool_t *pool = pool_of(run, request);
        if (request->entry == entry && request->arrive_ms <= run->now &&
            PsPool_Withdraw(pool, &request->ask.ticket)) {
            request->entry = (entry + 1) % ENTRIES;
            request->arrive_ms = run->now + OWNER_GAP_MS;
        }
    }
}

// Faults come in the middle of a burst.
static int64_t
fault_start(const run_t *run)
{
    double at_s = (double)run->workload->duration_ms * 0.4 / 1000.0;
    double bursts = floor(at_s / run->workload->burst_every_s);
    double end_s = (bursts + 1.0) * run->workload->burst_every_s;
    return (int64_t)(1000.0 * (end_s - run->workload->burst_s / 2.0));
}

static void
apply_fault(run_t *run)
{
    int64_t start = fault_start(run);
    int64_t end = run->workload->duration_ms * 7 / 10;
    if (strcmp(run->fault, "die") == 0 && run->now == start) {
        BenchEngine_Kill(&run->engines[0], run->now + 60000, on_broken, run);
    }
    else if (strcmp(run->fault, "slow") == 0 && run->now == start) {
        run->engines[0].slow = 5.0;
    }
    else if (strcmp(run->fault, "slow") == 0 && run->now == end) {
        run->engines[0].slow = 1.0;
    }
    else if (strcmp(run->fault, "owner") == 0 && run->now == start &&
             run->n_pools == 1) {
        change_owner(run);
    }
    else if (strcmp(run->fault, "entry") == 0 && run->now == start) {
        lose_entry(run, 3);
    }
}

// Turns every so many milliseconds one model request into the crashing one.
static void
mark_crashers(run_t *run)
{
    int64_t next = CRASH_EVERY_MS;
    for (int i = 0; i < run->n; i++) {
        bench_request_t *request = &run->requests[i];
        if (request->arrive_ms >= next && !is_service(run, request)) {
            request->is_crasher = true;
            request->hash = 0xbadbad;
            request->ask.content_hash = request->hash;
            next += CRASH_EVERY_MS;
        }
    }
}

/* ---- One run ---------------------------------------------------------- */

static bool
submit_due(run_t *run, int *next)
{
    bool has_any = false;
    while (*next < run->n && run->requests[*next].arrive_ms <= run->now) {
        bench_request_t *request = &run->requests[(*next)++];
        PsPool_Submit(pool_of(run, request), &request->ask, run->now);
        has_any = true;
    }
    return has_any;
}

// Requests that came back after their entry was lost are out of order.
static void
submit_returned(run_t *run, int next)
{
    for (int i = 0; i < next; i++) {
        bench_request_t *request = &run->requests[i];
        if (request->arrive_ms == run->now && !request->is_refused) {
            PsPool_Submit(pool_of(run, request), &request->ask, run->now);
        }
    }
}

static void
run_all(run_t *run)
{
    int next = 0;
    int64_t end = run->workload->duration_ms + TAIL_MS;
    for (run->now = 1; run->now < end; run->now += MS_STEP) {
        guint before = run->open->len;
        int64_t before_us = processor_us();
        bool is_dirty = submit_due(run, &next);
        run->decide_us += processor_us() - before_us;
        if (strcmp(run->fault, "entry") == 0 &&
            run->now == fault_start(run) + OWNER_GAP_MS) {
            submit_returned(run, next);
        }
        run_engines(run);
        apply_fault(run);
        before_us = processor_us();
        if (run->now % PROGRESS_EVERY_MS == 0) {
            check_deadlines(run);
            send_progress(run);
        }
        if (run->now % REPORT_EVERY_MS == 0) {
            send_reports(run);
        }
        if (run->now % CACHE_EVERY_MS == 0) {
            send_cache_events(run);
        }
        if (is_dirty || run->open->len != before ||
            run->now % RUN_EVERY_MS == 0) {
            run_pools(run);
        }
        run->decide_us += processor_us() - before_us;
    }
}

/* ---- Results ---------------------------------------------------------- */

static int
compare_doubles(const void *left, const void *right)
{
    double a = *(const double *)left;
    double b = *(const double *)right;
    return (a > b) - (a < b);
}

static double
percentile(GArray *values, double share)
{
    if (values->len == 0) {
        return 0;
    }
    g_array_sort(values, compare_doubles);
    guint at = (guint)((double)(values->len - 1) * share);
    return g_array_index(values, double, at);
}

static bool
is_good(const bench_request_t *request)
{
    return request->is_done && request->end_ms <= request->deadline_ms;
}

static void
judge_tier(const run_t *run, int tier, result_t *result)
{
    GArray *firsts = g_array_new(FALSE, FALSE, sizeof(double));
    GArray *gaps = g_array_new(FALSE, FALSE, sizeof(double));
    int all = 0;
    int good = 0;
    int refused = 0;
    int team_all[BENCH_TEAMS_MAX] = {0};
    int team_good[BENCH_TEAMS_MAX] = {0};
    for (int i = 0; i < run->n; i++) {
        const bench_request_t *request = &run->requests[i];
        if (request->tier != tier || request->is_crasher) {
            continue;
        }
        all++;
        team_all[request->team]++;
        refused += request->is_refused ? 1 : 0;
        if (!is_good(request)) {
            continue;
        }
        good++;
        team_good[request->team]++;
        if (!is_service(run, request)) {
            double first = (double)(request->first_ms - request->arrive_ms);
            double gap = (double)(request->end_ms - request->first_ms) /
                         MAX((double)request->output - 1.0, 1.0);
            g_array_append_val(firsts, first);
            g_array_append_val(gaps, gap);
        }
    }
    result->goodput[tier] = all > 0 ? (double)good / all : 1.0;
    result->refused[tier] = all > 0 ? (double)refused / all : 0.0;
    result->first_p95[tier] = percentile(firsts, 0.95);
    result->gap_p95[tier] = percentile(gaps, 0.95);
    for (int t = 0; t < run->workload->n_teams; t++) {
        result->by_team[tier][t] =
            team_all[t] > 0 ? (double)team_good[t] / team_all[t] : 1.0;
    }
    g_array_free(firsts, TRUE);
    g_array_free(gaps, TRUE);
}

static result_t
judge(const run_t *run)
{
    result_t result = {.deaths = run->deaths,
                       .n = run->n,
                       .decide_us = (double)run->decide_us / MAX(run->n, 1)};
    double good = 0;
    double offered = 0;
    double processed = 0;
    for (int t = 0; t < TIERS; t++) {
        judge_tier(run, t, &result);
    }
    for (int i = 0; i < run->n; i++) {
        const bench_request_t *request = &run->requests[i];
        if (is_service(run, request)) {
            continue;
        }
        double cost = BenchWorkload_GetCost(run->workload, request->prompt,
                                            request->output);
        offered += cost;
        good += is_good(request) ? cost : 0;
    }
    for (int i = 0; i < run->workload->n_engines; i++) {
        processed += (double)run->engines[i].processed;
    }
    double seconds = (double)run->workload->duration_ms / 1000.0;
    result.work = good / MIN(offered, seconds);
    for (int c = 0; c < 3; c++) {
        result.wasted_by[c] = (double)run->wasted[c] / MAX(processed, 1.0);
        result.wasted += result.wasted_by[c];
    }
    return result;
}

static result_t
run_once(const bench_workload_t *workload, const policy_t *policy,
         uint32_t seed, double loud_factor)
{
    run_t *run = g_new0(run_t, 1);
    run->workload = workload;
    run->policy = policy;
    run->fault = fault_name;
    run->requests = BenchWorkload_Draw(workload, load, loud_factor, loud_tier,
                                       seed, &run->n);
    if (strcmp(run->fault, "crash") == 0) {
        mark_crashers(run);
    }
    start_run(run);
    run_all(run);
    result_t result = judge(run);
    finish_run(run);
    g_free(run->requests);
    g_free(run);
    return result;
}

/* ---- Printing --------------------------------------------------------- */

// Keeps the worst of each figure.
static void
take_worst(result_t *worst, const result_t *one)
{
    for (int t = 0; t < TIERS; t++) {
        worst->goodput[t] = MIN(worst->goodput[t], one->goodput[t]);
        worst->refused[t] = MAX(worst->refused[t], one->refused[t]);
        worst->first_p95[t] = MAX(worst->first_p95[t], one->first_p95[t]);
        worst->gap_p95[t] = MAX(worst->gap_p95[t], one->gap_p95[t]);
    }
    for (int c = 0; c < 3; c++) {
        worst->wasted_by[c] = MAX(worst->wasted_by[c], one->wasted_by[c]);
    }
    worst->wasted = MAX(worst->wasted, one->wasted);
    worst->work = MIN(worst->work, one->work);
    worst->team_loss = MAX(worst->team_loss, one->team_loss);
    worst->deaths = MAX(worst->deaths, one->deaths);
    worst->decide_us = MAX(worst->decide_us, one->decide_us);
}

// The largest loss that another team has in the loud tier.
static double
team_loss(const bench_workload_t *workload, const result_t *calm,
          const result_t *noisy)
{
    double loss = 0;
    for (int team = 1; team < workload->n_teams; team++) {
        loss = MAX(loss, calm->by_team[loud_tier][team] -
                             noisy->by_team[loud_tier][team]);
    }
    return loss;
}

static void
append_csv(const bench_workload_t *workload, const policy_t *policy,
           uint32_t seed, const result_t *r)
{
    FILE *file = csv_path ? fopen(csv_path, "a") : NULL;
    if (!file) {
        return;
    }
    fprintf(file, "%s,%s,%s,%.2f,%u,%d", workload->name.data, policy->name,
            fault_name, load, seed, r->n);
    for (int t = 0; t < TIERS; t++) {
        fprintf(file, ",%.4f,%.4f,%.0f,%.1f", r->goodput[t], r->refused[t],
                r->first_p95[t], r->gap_p95[t]);
    }
    fprintf(file, ",%.5f,%.5f,%.5f,%.5f,%.4f,%.4f,%d\n", r->wasted,
            r->wasted_by[0], r->wasted_by[1], r->wasted_by[2], r->work,
            r->team_loss, r->deaths);
    fclose(file);
}

static void
print_header(const bench_workload_t *workload)
{
    printf("%s, load %.2f of %.1f requests/s, fault %s%s%s, worst of %d "
           "seeds\n",
           workload->name.data, load, BenchWorkload_GetCapacity(workload),
           fault_name, *without ? ", without " : "", without, n_seeds);
    printf("%-15s %-17s %-17s %-23s %-17s %6s %-20s %6s%s\n", "policy",
           "goodput by tier", "refused", "first token p95 ms",
           "between p95 ms", "wasted", "deadline/pre/death", "work",
           loud > 1 ? "  team loss  us" : "    us");
}

static void
print_row(const policy_t *policy, const result_t *r)
{
    printf("%-15s %.3f %.3f %.3f %.3f %.3f %.3f %7.0f %7.0f %7.0f ",
           policy->name, r->goodput[0], r->goodput[1], r->goodput[2],
           r->refused[0], r->refused[1], r->refused[2], r->first_p95[0],
           r->first_p95[1], r->first_p95[2]);
    printf("%5.1f %5.1f %5.1f %5.2f%% %5.2f%% %5.2f%% %5.2f%% %6.3f",
           r->gap_p95[0], r->gap_p95[1], r->gap_p95[2], 100 * r->wasted,
           100 * r->wasted_by[0], 100 * r->wasted_by[1], 100 * r->wasted_by[2],
           r->work);
    if (loud > 1) {
        printf("  %.3f", r->team_loss);
    }
    printf("  %4.0f", r->decide_us);
    if (r->deaths > 0) {
        printf("  %d servers lost", r->deaths);
    }
    printf("\n");
    fflush(stdout);
}

static void
run_policy(const bench_workload_t *workload, const policy_t *policy)
{
    result_t worst = {.goodput = {1, 1, 1}, .work = 10};
    for (int i = 0; i < n_seeds; i++) {
        uint32_t seed = (uint32_t)(first_seed + i);
        result_t one = run_once(workload, policy, seed, loud);
        if (loud > 1) {
            result_t calm = run_once(workload, policy, seed, 1.0);
            one.team_loss = team_loss(workload, &calm, &one);
        }
        append_csv(workload, policy, seed, &one);
        take_worst(&worst, &one);
    }
    print_row(policy, &worst);
}

/* ---- Program ---------------------------------------------------------- */

int
main(int argc, char **argv)
{
    GError *error = NULL;
    GOptionContext *context =
        g_option_context_new("- policies in virtual time");
    g_option_context_add_main_entries(context, options, NULL);
    if (!g_option_context_parse(context, &argc, &argv, &error) ||
        !workload_path) {
        fprintf(stderr, "bench: %s\n",
                error ? error->message : "--workload FILE is needed");
        return 2;
    }
    g_option_context_free(context);
    bench_workload_t workload;
    BenchWorkload_Load(&workload, workload_path);
    print_header(&workload);
    char **names = g_strsplit(policy_names, ",", -1);
    for (size_t i = 0; i < G_N_ELEMENTS(policies); i++) {
        if (g_strv_contains((const char *const *)names, policies[i].name)) {
            run_policy(&workload, &policies[i]);
        }
    }
    g_strfreev(names);
    return 0;
}
