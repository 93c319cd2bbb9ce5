/*
 * bench.c - Compares pearstair's scheduling with baselines, in virtual time.
 *
 * Runs the daemon's own pool code (pool.h) against simulated backend servers.
 * Each policy gets the same requests. Prints a row for each policy: goodput
 * (share of requests answered before their deadline) and refusals by tier,
 * token times, and the share of prompt tokens that were processed in vain with
 * its causes. Each figure is the worst over all seeds.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "engine.h"
#include "pool.h"
#include "workload.h"

#define N_ENTRIES 9 /* daemons that receive requests */
#define N_TIERS 3
#define REPORT_EVERY_MS 1000 /* between load reports of the servers */
#define REPORT_LAG 2 /* intervals by which reports reach the pools late */
#define PROGRESS_EVERY_MS 250      /* between progress reports of requests */
#define POOL_RUN_EVERY_MS 100      /* between runs of pools without an event */
#define CACHE_EVENTS_EVERY_MS 2000 /* between reports of evicted blocks */
#define CACHE_EVENT_LOSS 0.1       /* share of cache events that are lost */
#define TAKEOVER_MS 1500           /* from a crash to a new owner or a retry */
#define TAIL_MS 130000             /* simulated after the last arrival */
#define CRASH_EVERY_MS 2000 /* interval of requests that crash a server */
#define STEP_MS 1           /* of virtual time */

/* ---- Types ------------------------------------------------------------ */

typedef struct policy {
    const char *name;
    const char *placement;
    bool has_one_owner;   /* one pool for all entries, as with an owner */
    bool has_queue_rules; /* early refusal, preemption, fair shares */
    const char *description;
} policy_t;

typedef struct run {
    const bench_workload_t *workload;
    const policy_t *policy;
    const char *fault;
    bench_request_t *requests;
    int n_requests;
    bench_engine_t engines[BENCH_SERVERS_MAX];
    bench_engine_t services[BENCH_SERVERS_MAX];
    ps_config_t config;
    ps_pool_t model_pools[N_ENTRIES];   /* the first n_pools are used */
    ps_pool_t service_pools[N_ENTRIES]; /* likewise */
    int n_pools;
    int64_t now_ms; /* virtual */
    GRand *rng;
    GPtrArray *dispatched; /* requests running or queued at a server */
    GQueue not_sent; /* granted on a crashed server; to be submitted again */
    int64_t no_owner_until_ms; /* model pools grant nothing before */
    /* running and waiting requests of each model server, newest first */
    int load_reports[BENCH_SERVERS_MAX][REPORT_LAG + 1][2];
    int n_crashes;             /* by crashing requests */
    uint64_t wasted_tokens[3]; /* of prompts; by deadline, preemption, crash */
    int64_t decision_us;       /* processor time spent in pool code */
} run_t;

typedef struct result {
    double goodput[N_TIERS];         /* share answered before the deadline */
    double refused[N_TIERS];         /* share refused */
    double first_token_p95[N_TIERS]; /* milliseconds, as the next */
    double token_gap_p95[N_TIERS];   /* mean time between output tokens */
    double wasted_share;             /* of all prompt tokens processed */
    double wasted_by_cause[3];       /* likewise; causes as in wasted_tokens */
    double work; /* work served in time, as a share of the work offered or of
                    the capacity, whichever is less */
    double team_loss; /* see compute_team_loss(); 0 without --loud */
    double goodput_by_team[N_TIERS][BENCH_TEAMS_MAX];
    int n_crashes;
    int n_requests;
    double decision_us; /* processor time in pool code per request */
} result_t;

/* ---- Globals ---------------------------------------------------------- */

static const policy_t policies[] = {
    {"pearstair", "finish", true, true,
     "pearstair: one owner's queue for all entries"},
    {"alone", "finish", false, true,
     "pearstair's code, run on each entry alone"},
    {"two-choices", "two-choices", false, false,
     "of two random servers, the one with less load"},
    {"least-reported", "least-reported", false, false,
     "the server with the least reported load"},
};

static char *workload_path;
static double load = 0.9;
static double noisy_factor = 1.0;
static int noisy_tier = 1;
static int n_seeds = 5;
static int first_seed = 1;
static char *policy_names = "pearstair,alone,two-choices,least-reported";
static char *fault_name = "none";
static char *csv_path;
static char *disabled_parts = "";
// A negative value of the next four and of wait_factor leaves the pool's own
// default.
static double quantile_top = -1;
static double quantile_low = -1;
static double margin_low = -1;
static double margin_top = -1;
static double wait_factor = -1;
static double late_share = 1.0;       /* as LATE_MODEL_SHARE in relay.c */
static int median_fallback_tier = -2; /* below -1: the pool's default */

static const GOptionEntry option_entries[] = {
    {"workload", 'w', 0, G_OPTION_ARG_FILENAME, &workload_path,
     "Workload file", "FILE"},
    {"load", 'l', 0, G_OPTION_ARG_DOUBLE, &load,
     "Arrival rate as a share of the capacity", "X"},
    {"loud", 0, 0, G_OPTION_ARG_DOUBLE, &noisy_factor,
     "Factor on the first team's model requests of one tier (--loud-tier)",
     "X"},
    {"loud-tier", 0, 0, G_OPTION_ARG_INT, &noisy_tier,
     "Tier that --loud applies to", "TIER"},
    {"seeds", 's', 0, G_OPTION_ARG_INT, &n_seeds, "Number of seeds", "N"},
    {"first-seed", 0, 0, G_OPTION_ARG_INT, &first_seed, "First seed", "N"},
    {"policies", 'p', 0, G_OPTION_ARG_STRING, &policy_names,
     "Names of policies, separated by commas", "LIST"},
    {"fault", 'f', 0, G_OPTION_ARG_STRING, &fault_name,
     "none, die, slow, owner, entry or crash", "NAME"},
    {"without", 0, 0, G_OPTION_ARG_STRING, &disabled_parts,
     "Parts to switch off: early, fair, preempt, forecast, prefix", "LIST"},
    {"quantile-top", 0, 0, G_OPTION_ARG_DOUBLE, &quantile_top,
     "Forecast quantile of tier 0", "Q"},
    {"quantile-low", 0, 0, G_OPTION_ARG_DOUBLE, &quantile_low,
     "Forecast quantile of the other tiers", "Q"},
    {"margin", 0, 0, G_OPTION_ARG_DOUBLE, &margin_low,
     "Share of the time left to the deadline that is kept free, tiers 1 up",
     "X"},
    {"margin-top", 0, 0, G_OPTION_ARG_DOUBLE, &margin_top,
     "The same, for tier 0", "X"},
    {"eager", 0, 0, G_OPTION_ARG_INT, &median_fallback_tier,
     "Last tier that falls back to the median forecast", "TIER"},
    {"caution", 0, 0, G_OPTION_ARG_DOUBLE, &wait_factor,
     "Factor on predicted waits in early refusals", "X"},
    {"grace", 0, 0, G_OPTION_ARG_DOUBLE, &late_share,
     "Share of the deadline that an answer may be late by", "X"},
    {"csv", 0, 0, G_OPTION_ARG_FILENAME, &csv_path,
     "Append a row for each seed and policy to a CSV file", "FILE"},
    G_OPTION_ENTRY_NULL};

/* ---- Requests --------------------------------------------------------- */

static bool
is_service(const run_t *run, const bench_request_t *request)
{
    return run->workload->classes[request->class_index].is_service;
}

static bench_engine_t *
get_engine(run_t *run, const bench_request_t *request)
{
    return is_service(run, request) ? &run->services[request->server]
                                    : &run->engines[request->server];
}

static ps_pool_t *
get_pool(run_t *run, const bench_request_t *request)
{
    int index = run->n_pools > 1 ? request->entry : 0;
    return is_service(run, request) ? &run->service_pools[index]
                                    : &run->model_pools[index];
}

// Tells the pool that a dispatch has ended.
static void
end_dispatch(run_t *run, bench_request_t *request, ps_outcome_t outcome)
{
    ps_dispatch_result_t result = {.outcome = outcome,
                                   .total_ms =
                                       run->now_ms - request->granted_ms,
                                   .output_tokens = request->tokens_done};
    if (request->first_token_ms > 0) {
        result.first_token_ms = request->first_token_ms - request->granted_ms;
    }
    request->is_running = false;
    request->end_ms = run->now_ms;
    g_ptr_array_remove_fast(run->dispatched, request);
    PsPool_EndDispatch(get_pool(run, request), &request->grant_request.ticket,
                       &result, run->now_ms);
}

static void
on_ended(void *user, bench_request_t *request)
{
    run_t *run = user;
    request->is_complete = true;
    end_dispatch(run, request, PS_OUTCOME_COMPLETE);
}

static void
on_broken(void *user, bench_request_t *request)
{
    run_t *run = user;
    request->is_broken = true;
    run->wasted_tokens[2] += request->prompt_tokens_done; // crash
    end_dispatch(run, request, PS_OUTCOME_BROKEN);
}

// Cancels a running request at its server. @cause is its index in
// wasted_tokens: 0 deadline, 1 preemption.
static void
cancel_request(run_t *run, bench_request_t *request, int cause)
{
    BenchEngine_Cancel(get_engine(run, request), request);
    request->is_cancelled = true;
    run->wasted_tokens[cause] +=
        is_service(run, request) ? 0 : request->prompt_tokens_done;
    end_dispatch(run, request, PS_OUTCOME_CANCELLED);
}

/* ---- Events of pools -------------------------------------------------- */

// Returns the request that a grant request is for; the ticket is its index.
static bench_request_t *
find_request(run_t *run, const ps_grant_request_t *grant_request)
{
    return &run->requests[atoi(grant_request->ticket.data)];
}

// Starts a granted request at its server. If the server is down, the
// connection is refused, and run_pools() submits the request again.
static void
on_grant(ps_pool_t *pool, ps_job_t *job, const char *reason)
{
    (void)reason;
    run_t *run = pool->user;
    bench_request_t *request = find_request(run, &job->request);
    request->server = job->server;
    request->granted_ms = run->now_ms;
    bench_engine_t *engine = get_engine(run, request);
    if (run->now_ms < engine->down_until_ms) {
        g_queue_push_tail(&run->not_sent, request);
        return;
    }
    request->is_running = true;
    g_ptr_array_add(run->dispatched, request);
    BenchEngine_Start(engine, request);
}

static void
on_refuse(ps_pool_t *pool, const ps_grant_request_t *grant_request,
          const ps_refusal_t *refusal, const char *reason)
{
    (void)reason;
    run_t *run = pool->user;
    bench_request_t *request = find_request(run, grant_request);
    request->is_refused = true;
    request->code = refusal->code;
    request->end_ms = run->now_ms;
}

static void
on_cancel(ps_pool_t *pool, ps_job_t *job, const char *reason)
{
    (void)reason;
    run_t *run = pool->user;
    cancel_request(run, find_request(run, &job->request), 1); // preemption
}

static const ps_pool_events_t pool_events = {on_grant, on_refuse, on_cancel};

/* ---- Set-up ----------------------------------------------------------- */

// Appends the JSON of @n servers, spread over three failure domains.
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

// Builds the configuration that the pools get: a pool "m" of model servers and
// a pool "s" of plain servers. The requests bring their own deadlines.
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

// Sets a pool's options by the policy and the command line.
static void
set_options(ps_pool_t *pool, const policy_t *policy)
{
    ps_pool_options_t *pool_options = &pool->options;
    pool_options->early_refusal =
        policy->has_queue_rules && !strstr(disabled_parts, "early");
    pool_options->is_fair =
        policy->has_queue_rules && !strstr(disabled_parts, "fair");
    pool_options->can_preempt =
        policy->has_queue_rules && !strstr(disabled_parts, "preempt");
    pool_options->use_forecast = !strstr(disabled_parts, "forecast");
    pool_options->use_prefix = !strstr(disabled_parts, "prefix");
    pool_options->quantile_top =
        quantile_top >= 0 ? quantile_top : pool_options->quantile_top;
    pool_options->quantile_low =
        quantile_low >= 0 ? quantile_low : pool_options->quantile_low;
    pool_options->deadline_margin_low =
        margin_low >= 0 ? margin_low : pool_options->deadline_margin_low;
    pool_options->deadline_margin_top =
        margin_top >= 0 ? margin_top : pool_options->deadline_margin_top;
    pool_options->median_fallback_tier =
        median_fallback_tier >= -1 ? median_fallback_tier
                                   : pool_options->median_fallback_tier;
    pool_options->wait_factor =
        wait_factor >= 0 ? wait_factor : pool_options->wait_factor;
}

static void
init_pool(run_t *run, ps_pool_t *pool, const char *name, int index)
{
    ps_name_t pool_name = PsName_FromC(name);
    PsPool_Init(pool, &pool_events, &pool_name);
    pool->user = run;
    pool->random_state = (uint32_t)index + 1;
    pool->placement = PsPlacement_Find(run->policy->placement);
    set_options(pool, run->policy);
    PsPool_Configure(pool, &run->config, run->now_ms);
}

static void
init_run(run_t *run)
{
    load_config(run);
    // Draws only the lost cache events, with the same seed in each run.
    run->rng = g_rand_new_with_seed(99);
    run->dispatched = g_ptr_array_new();
    g_queue_init(&run->not_sent);
    run->n_pools = run->policy->has_one_owner ? 1 : N_ENTRIES;
    for (int i = 0; i < run->n_pools; i++) {
        init_pool(run, &run->model_pools[i], "m", i);
        init_pool(run, &run->service_pools[i], "s", i);
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
        PsPool_Finish(&run->model_pools[i]);
        PsPool_Finish(&run->service_pools[i]);
    }
    for (int i = 0; i < run->workload->n_engines; i++) {
        BenchEngine_Finish(&run->engines[i]);
    }
    for (int i = 0; i < run->workload->n_services; i++) {
        BenchEngine_Finish(&run->services[i]);
    }
    g_queue_clear(&run->not_sent);
    g_ptr_array_free(run->dispatched, TRUE);
    g_rand_free(run->rng);
    PsConfig_Finish(&run->config);
}

/* ---- Steps ------------------------------------------------------------ */

// Lets the pools place requests, except model pools that have no owner, and
// submits requests again that were granted on a crashed server.
static void
run_pools(run_t *run)
{
    for (int i = 0; i < run->n_pools; i++) {
        if (run->now_ms >= run->no_owner_until_ms) {
            PsPool_Run(&run->model_pools[i], run->now_ms);
        }
        PsPool_Run(&run->service_pools[i], run->now_ms);
    }
    bench_request_t *request;
    while ((request = g_queue_pop_head(&run->not_sent))) {
        ps_dispatch_result_t result = {.outcome = PS_OUTCOME_UNREACHABLE};
        ps_pool_t *pool = get_pool(run, request);
        PsPool_EndDispatch(pool, &request->grant_request.ticket, &result,
                           run->now_ms);
        PsPool_Submit(pool, &request->grant_request, run->now_ms);
    }
}

// Finishes the steps of all servers that end by now. A model server that a
// request has crashed stays down for 30 s.
static void
run_engines(run_t *run)
{
    for (int i = 0; i < run->workload->n_services; i++) {
        BenchEngine_Run(&run->services[i], run->now_ms, on_ended, run);
    }
    for (int i = 0; i < run->workload->n_engines; i++) {
        bench_engine_t *engine = &run->engines[i];
        if (BenchEngine_Run(engine, run->now_ms, on_ended, run)) {
            run->n_crashes++;
            BenchEngine_Crash(engine, run->now_ms + 30000, on_broken, run);
        }
    }
}

// Cancels requests that are late by more than late_share of their time limit.
static void
check_deadlines(run_t *run)
{
    for (guint i = run->dispatched->len; i-- > 0;) {
        if (i >= run->dispatched->len) {
            continue;
        }
        bench_request_t *request = run->dispatched->pdata[i];
        int64_t time_limit_ms = request->deadline_ms - request->arrival_ms;
        int64_t late_ms = (int64_t)((double)time_limit_ms * late_share);
        if (run->now_ms > request->deadline_ms + late_ms) {
            cancel_request(run, request, 0); // deadline
        }
    }
}

static void
send_progress(run_t *run)
{
    for (guint i = 0; i < run->dispatched->len; i++) {
        bench_request_t *request = run->dispatched->pdata[i];
        if (request->tokens_done > 0 && !is_service(run, request)) {
            PsPool_AddProgress(get_pool(run, request),
                               &request->grant_request.ticket,
                               request->tokens_done, run->now_ms);
        }
    }
}

// Sends each model server's load to the pools, REPORT_LAG reports late.
static void
send_reports(run_t *run)
{
    for (int i = 0; i < run->workload->n_engines; i++) {
        bench_engine_t *engine = &run->engines[i];
        int(*reports)[2] = run->load_reports[i];
        for (int k = REPORT_LAG; k > 0; k--) {
            reports[k][0] = reports[k - 1][0];
            reports[k][1] = reports[k - 1][1];
        }
        reports[0][0] = (int)engine->running->len;
        reports[0][1] = (int)engine->waiting.length;
        ps_name_t name = PsName_Format("e%d", i);
        for (int p = 0;
             p < run->n_pools && run->now_ms >= engine->down_until_ms; p++) {
            PsPool_HandleLoadReport(&run->model_pools[p], &name,
                                    reports[REPORT_LAG][0],
                                    reports[REPORT_LAG][1], run->now_ms);
        }
    }
}

// Removes evicted blocks from the pools' view of the prefix caches. Some of
// the cache events are lost, and the rest come up to CACHE_EVENTS_EVERY_MS
// late.
static void
send_cache_events(run_t *run)
{
    for (int p = 0; p < run->n_pools; p++) {
        for (int i = 0; i < run->model_pools[p].n_servers; i++) {
            ps_prefix_cache_t *believed_cache =
                &run->model_pools[p].servers[i].prefix_cache;
            GList *next;
            for (GList *l = believed_cache->lru.head; l; l = next) {
                next = l->next;
                uint64_t block = *(uint64_t *)l->data;
                if (!g_hash_table_contains(run->engines[i].cache.blocks,
                                           &block) &&
                    g_rand_double(run->rng) > CACHE_EVENT_LOSS) {
                    PsPrefixCache_Remove(believed_cache, block);
                }
            }
        }
    }
}

/* ---- Processor time --------------------------------------------------- */

static int64_t
get_cpu_us(void)
{
    struct timespec spent;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &spent);
    return (int64_t)spent.tv_sec * 1000000 + spent.tv_nsec / 1000;
}

/* ---- Faults ----------------------------------------------------------- */

static ps_job_t *
find_first_waiting(const ps_pool_t *pool)
{
    for (int t = 0; t < N_TIERS; t++) {
        if (pool->queue.tiers[t].jobs.length > 0) {
            return pool->queue.tiers[t].jobs.head->data;
        }
    }
    return NULL;
}

// Replaces the crashed owner of the model pool. The new owner knows only what
// the entries report: running requests are recovered, waiting ones are
// submitted again.
static void
replace_owner(run_t *run)
{
    ps_pool_t *pool = &run->model_pools[0];
    GArray *waiting = g_array_new(FALSE, FALSE, sizeof(ps_grant_request_t));
    ps_job_t *job;
    while ((job = find_first_waiting(pool))) {
        ps_grant_request_t grant_request = job->request;
        g_array_append_val(waiting, grant_request);
        PsPool_Withdraw(pool, &grant_request.ticket);
    }
    PsPool_Finish(pool);
    init_pool(run, pool, "m", 0);
    for (guint i = 0; i < run->dispatched->len; i++) {
        bench_request_t *request = run->dispatched->pdata[i];
        if (!is_service(run, request)) {
            ps_name_t server = PsName_Format("e%d", request->server);
            PsPool_AddRecovered(pool, &request->grant_request, &server,
                                run->now_ms - request->granted_ms,
                                run->now_ms);
        }
    }
    for (guint i = 0; i < waiting->len; i++) {
        PsPool_Submit(pool, &g_array_index(waiting, ps_grant_request_t, i),
                      run->now_ms);
    }
    g_array_free(waiting, TRUE);
    run->no_owner_until_ms = run->now_ms + TAKEOVER_MS;
}

// Withdraws the waiting requests of a crashed entry; their callers retry
// through the next entry.
static void
crash_entry(run_t *run, int entry)
{
    for (int i = 0; i < run->n_requests; i++) {
        bench_request_t *request = &run->requests[i];
        ps_pool_t *pool = get_pool(run, request);
        if (request->entry == entry && request->arrival_ms <= run->now_ms &&
            PsPool_Withdraw(pool, &request->grant_request.ticket)) {
            request->entry = (entry + 1) % N_ENTRIES;
            request->arrival_ms = run->now_ms + TAKEOVER_MS;
        }
    }
}

// Returns when faults start: in the middle of the first burst that ends after
// 40 % of the run.
static int64_t
get_fault_start(const run_t *run)
{
    double time_s = (double)run->workload->duration_ms * 0.4 / 1000.0;
    double bursts = floor(time_s / run->workload->burst_every_s);
    double end_s = (bursts + 1.0) * run->workload->burst_every_s;
    return (int64_t)(1000.0 * (end_s - run->workload->burst_s / 2.0));
}

// Applies the fault of --fault when its time has come:
// die: model server 0 crashes and stays down for 60 s
// slow: model server 0 is slower by a factor of 5 until 70 % of the run
// owner: the model pool's owner crashes; only for policies with one owner
// entry: entry 3 crashes
// The fault "crash" is prepared by mark_crashing_requests().
static void
apply_fault(run_t *run)
{
    int64_t start = get_fault_start(run);
    int64_t end = run->workload->duration_ms * 7 / 10;
    if (strcmp(run->fault, "die") == 0 && run->now_ms == start) {
        BenchEngine_Crash(&run->engines[0], run->now_ms + 60000, on_broken,
                          run);
    }
    else if (strcmp(run->fault, "slow") == 0 && run->now_ms == start) {
        run->engines[0].slowdown = 5.0;
    }
    else if (strcmp(run->fault, "slow") == 0 && run->now_ms == end) {
        run->engines[0].slowdown = 1.0;
    }
    else if (strcmp(run->fault, "owner") == 0 && run->now_ms == start &&
             run->n_pools == 1) {
        replace_owner(run);
    }
    else if (strcmp(run->fault, "entry") == 0 && run->now_ms == start) {
        crash_entry(run, 3);
    }
}

// Makes one model request in every CRASH_EVERY_MS crash its server. All have
// the same content, so that the pool can recognize them.
static void
mark_crashing_requests(run_t *run)
{
    int64_t next = CRASH_EVERY_MS;
    for (int i = 0; i < run->n_requests; i++) {
        bench_request_t *request = &run->requests[i];
        if (request->arrival_ms >= next && !is_service(run, request)) {
            request->crashes_server = true;
            request->content_hash = 0xbadbad;
            request->grant_request.content_hash = request->content_hash;
            next += CRASH_EVERY_MS;
        }
    }
}

/* ---- One run ---------------------------------------------------------- */

// Submits the requests that have arrived, from index *next on; returns whether
// there were any.
static bool
submit_arrivals(run_t *run, int *next)
{
    bool has_arrivals = false;
    while (*next < run->n_requests &&
           run->requests[*next].arrival_ms <= run->now_ms) {
        bench_request_t *request = &run->requests[(*next)++];
        PsPool_Submit(get_pool(run, request), &request->grant_request,
                      run->now_ms);
        has_arrivals = true;
    }
    return has_arrivals;
}

// Submits the requests that crash_entry() rescheduled. Their new arrival times
// are out of order, so submit_arrivals() does not see them.
static void
submit_retries(run_t *run, int next)
{
    for (int i = 0; i < next; i++) {
        bench_request_t *request = &run->requests[i];
        if (request->arrival_ms == run->now_ms && !request->is_refused) {
            PsPool_Submit(get_pool(run, request), &request->grant_request,
                          run->now_ms);
        }
    }
}

static void
run_requests(run_t *run)
{
    int next = 0;
    int64_t end = run->workload->duration_ms + TAIL_MS;
    for (run->now_ms = 1; run->now_ms < end; run->now_ms += STEP_MS) {
        guint n_before = run->dispatched->len;
        int64_t start_us = get_cpu_us();
        bool has_arrivals = submit_arrivals(run, &next);
        run->decision_us += get_cpu_us() - start_us;
        if (strcmp(run->fault, "entry") == 0 &&
            run->now_ms == get_fault_start(run) + TAKEOVER_MS) {
            submit_retries(run, next);
        }
        run_engines(run);
        apply_fault(run);
        start_us = get_cpu_us();
        if (run->now_ms % PROGRESS_EVERY_MS == 0) {
            check_deadlines(run);
            send_progress(run);
        }
        if (run->now_ms % REPORT_EVERY_MS == 0) {
            send_reports(run);
        }
        if (run->now_ms % CACHE_EVENTS_EVERY_MS == 0) {
            send_cache_events(run);
        }
        if (has_arrivals || run->dispatched->len != n_before ||
            run->now_ms % POOL_RUN_EVERY_MS == 0) {
            run_pools(run);
        }
        run->decision_us += get_cpu_us() - start_us;
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

// Returns the value below which @share of the values are; 0 without values.
// Sorts the values.
static double
compute_percentile(GArray *values, double share)
{
    if (values->len == 0) {
        return 0;
    }
    g_array_sort(values, compare_doubles);
    guint at = (guint)((double)(values->len - 1) * share);
    return g_array_index(values, double, at);
}

static bool
is_in_time(const bench_request_t *request)
{
    return request->is_complete && request->end_ms <= request->deadline_ms;
}

// Computes a tier's figures over the requests that do not crash servers. Token
// times are of model requests answered in time only.
static void
compute_tier_result(const run_t *run, int tier, result_t *result)
{
    GArray *first_tokens = g_array_new(FALSE, FALSE, sizeof(double));
    GArray *token_gaps = g_array_new(FALSE, FALSE, sizeof(double));
    int all = 0;
    int good = 0;
    int refused = 0;
    int team_all[BENCH_TEAMS_MAX] = {0};
    int team_good[BENCH_TEAMS_MAX] = {0};
    for (int i = 0; i < run->n_requests; i++) {
        const bench_request_t *request = &run->requests[i];
        if (request->tier != tier || request->crashes_server) {
            continue;
        }
        all++;
        team_all[request->team]++;
        refused += request->is_refused ? 1 : 0;
        if (!is_in_time(request)) {
            continue;
        }
        good++;
        team_good[request->team]++;
        if (!is_service(run, request)) {
            double first_token =
                (double)(request->first_token_ms - request->arrival_ms);
            double token_gap =
                (double)(request->end_ms - request->first_token_ms) /
                MAX((double)request->output_tokens - 1.0, 1.0);
            g_array_append_val(first_tokens, first_token);
            g_array_append_val(token_gaps, token_gap);
        }
    }
    result->goodput[tier] = all > 0 ? (double)good / all : 1.0;
    result->refused[tier] = all > 0 ? (double)refused / all : 0.0;
    result->first_token_p95[tier] = compute_percentile(first_tokens, 0.95);
    result->token_gap_p95[tier] = compute_percentile(token_gaps, 0.95);
    for (int t = 0; t < run->workload->n_teams; t++) {
        result->goodput_by_team[tier][t] =
            team_all[t] > 0 ? (double)team_good[t] / team_all[t] : 1.0;
    }
    g_array_free(first_tokens, TRUE);
    g_array_free(token_gaps, TRUE);
}

static result_t
compute_result(const run_t *run)
{
    result_t result = {.n_crashes = run->n_crashes,
                       .n_requests = run->n_requests,
                       .decision_us =
                           (double)run->decision_us / MAX(run->n_requests, 1)};
    double good = 0;      // work served in time, s of all model servers
    double offered = 0;   // work of all model requests, in the same unit
    double processed = 0; // prompt tokens
    for (int t = 0; t < N_TIERS; t++) {
        compute_tier_result(run, t, &result);
    }
    for (int i = 0; i < run->n_requests; i++) {
        const bench_request_t *request = &run->requests[i];
        if (is_service(run, request)) {
            continue;
        }
        double cost = BenchWorkload_GetCost(
            run->workload, request->prompt_tokens, request->output_tokens);
        offered += cost;
        good += is_in_time(request) ? cost : 0;
    }
    for (int i = 0; i < run->workload->n_engines; i++) {
        processed += (double)run->engines[i].prompt_tokens_done;
    }
    double seconds = (double)run->workload->duration_ms / 1000.0;
    result.work = good / MIN(offered, seconds);
    for (int c = 0; c < 3; c++) {
        result.wasted_by_cause[c] =
            (double)run->wasted_tokens[c] / MAX(processed, 1.0);
        result.wasted_share += result.wasted_by_cause[c];
    }
    return result;
}

// Runs a policy with the requests of one seed. @factor is the factor on the
// noisy team's requests.
static result_t
run_seed(const bench_workload_t *workload, const policy_t *policy,
         uint32_t seed, double factor)
{
    run_t *run = g_new0(run_t, 1);
    run->workload = workload;
    run->policy = policy;
    run->fault = fault_name;
    run->requests = BenchWorkload_DrawRequests(
        workload, load, factor, noisy_tier, seed, &run->n_requests);
    if (strcmp(run->fault, "crash") == 0) {
        mark_crashing_requests(run);
    }
    init_run(run);
    run_requests(run);
    result_t result = compute_result(run);
    finish_run(run);
    g_free(run->requests);
    g_free(run);
    return result;
}

/* ---- Printing --------------------------------------------------------- */

// Keeps the worse value of each figure.
static void
keep_worst(result_t *worst, const result_t *result)
{
    for (int t = 0; t < N_TIERS; t++) {
        worst->goodput[t] = MIN(worst->goodput[t], result->goodput[t]);
        worst->refused[t] = MAX(worst->refused[t], result->refused[t]);
        worst->first_token_p95[t] =
            MAX(worst->first_token_p95[t], result->first_token_p95[t]);
        worst->token_gap_p95[t] =
            MAX(worst->token_gap_p95[t], result->token_gap_p95[t]);
    }
    for (int c = 0; c < 3; c++) {
        worst->wasted_by_cause[c] =
            MAX(worst->wasted_by_cause[c], result->wasted_by_cause[c]);
    }
    worst->wasted_share = MAX(worst->wasted_share, result->wasted_share);
    worst->work = MIN(worst->work, result->work);
    worst->team_loss = MAX(worst->team_loss, result->team_loss);
    worst->n_crashes = MAX(worst->n_crashes, result->n_crashes);
    worst->decision_us = MAX(worst->decision_us, result->decision_us);
}

// Returns the most goodput in the noisy tier that another team loses when the
// first team sends noisy_factor times its requests.
static double
compute_team_loss(const bench_workload_t *workload, const result_t *normal,
                  const result_t *noisy)
{
    double loss = 0;
    for (int team = 1; team < workload->n_teams; team++) {
        loss = MAX(loss, normal->goodput_by_team[noisy_tier][team] -
                             noisy->goodput_by_team[noisy_tier][team]);
    }
    return loss;
}

static void
append_csv(const bench_workload_t *workload, const policy_t *policy,
           uint32_t seed, const result_t *result)
{
    FILE *file = csv_path ? fopen(csv_path, "a") : NULL;
    if (!file) {
        return;
    }
    fprintf(file, "%s,%s,%s,%.2f,%u,%d", workload->name.data, policy->name,
            fault_name, load, seed, result->n_requests);
    for (int t = 0; t < N_TIERS; t++) {
        fprintf(file, ",%.4f,%.4f,%.0f,%.1f", result->goodput[t],
                result->refused[t], result->first_token_p95[t],
                result->token_gap_p95[t]);
    }
    fprintf(file, ",%.5f,%.5f,%.5f,%.5f,%.4f,%.4f,%d\n", result->wasted_share,
            result->wasted_by_cause[0], result->wasted_by_cause[1],
            result->wasted_by_cause[2], result->work, result->team_loss,
            result->n_crashes);
    fclose(file);
}

static void
print_header(const bench_workload_t *workload)
{
    printf("%s, load %.2f of %.1f requests/s, fault %s%s%s, worst of %d "
           "seeds\n",
           workload->name.data, load, BenchWorkload_GetCapacity(workload),
           fault_name, *disabled_parts ? ", without " : "", disabled_parts,
           n_seeds);
    printf("%-15s %-17s %-17s %-23s %-17s %6s %-20s %6s%s\n", "policy",
           "goodput by tier", "refused", "first token p95 ms",
           "token gap p95 ms", "wasted", "deadline/pre/crash", "work",
           noisy_factor > 1 ? "  team loss  us" : "    us");
}

static void
print_row(const policy_t *policy, const result_t *result)
{
    printf("%-15s %.3f %.3f %.3f %.3f %.3f %.3f %7.0f %7.0f %7.0f ",
           policy->name, result->goodput[0], result->goodput[1],
           result->goodput[2], result->refused[0], result->refused[1],
           result->refused[2], result->first_token_p95[0],
           result->first_token_p95[1], result->first_token_p95[2]);
    printf("%5.1f %5.1f %5.1f %5.2f%% %5.2f%% %5.2f%% %5.2f%% %6.3f",
           result->token_gap_p95[0], result->token_gap_p95[1],
           result->token_gap_p95[2], 100 * result->wasted_share,
           100 * result->wasted_by_cause[0], 100 * result->wasted_by_cause[1],
           100 * result->wasted_by_cause[2], result->work);
    if (noisy_factor > 1) {
        printf("  %.3f", result->team_loss);
    }
    printf("  %4.0f", result->decision_us);
    if (result->n_crashes > 0) {
        printf("  %d servers lost", result->n_crashes);
    }
    printf("\n");
    fflush(stdout);
}

static void
run_policy(const bench_workload_t *workload, const policy_t *policy)
{
    // Starts at or above any goodput and work that a run can have.
    result_t worst = {.goodput = {1, 1, 1}, .work = 10};
    for (int i = 0; i < n_seeds; i++) {
        uint32_t seed = (uint32_t)(first_seed + i);
        result_t result = run_seed(workload, policy, seed, noisy_factor);
        if (noisy_factor > 1) {
            result_t normal = run_seed(workload, policy, seed, 1.0);
            result.team_loss = compute_team_loss(workload, &normal, &result);
        }
        append_csv(workload, policy, seed, &result);
        keep_worst(&worst, &result);
    }
    print_row(policy, &worst);
}

/* ---- Program ---------------------------------------------------------- */

int
main(int argc, char **argv)
{
    GError *error = NULL;
    GOptionContext *context =
        g_option_context_new("- compare scheduling policies in virtual time");
    g_option_context_add_main_entries(context, option_entries, NULL);
    if (!g_option_context_parse(context, &argc, &argv, &error) ||
        !workload_path) {
        fprintf(stderr, "bench: %s\n",
                error ? error->message : "--workload FILE is required");
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
