/* pool.c - Queue, grants, refusals and preemption of one pool. */
#include "pool.h"

#include <math.h>
#include <string.h>

#include "estimate.h"

// Quantile of the forecast output length that counts as a request's work; near
// the mean, as lengths are skewed.
#define WORK_QUANTILE 0.6
#define TEAMS_PER_PASS_MAX 64    /* teams whose first request is tried */
#define CRASHES_MAX 2            /* of servers, until a content is banned */
#define CHECK_INTERVAL_MS 100    /* between deadline checks of the queue */
#define RETRY_AFTER_MIN_MS 500   /* least Retry-After */
#define RETRY_AFTER_MAX_MS 60000 /* most Retry-After */
#define PREEMPT_SLACK_MS 1500    /* preempt this close to the latest start */
// From the deadline to the removal of an orphaned or preempted request whose
// end was not reported.
#define ORPHAN_GRACE_MS 30000
// Weight of the step time sample of a progress report; that of a complete
// answer has weight 1.
#define PROGRESS_SAMPLE_WEIGHT 0.15
#define STEP_TOKENS_MIN 4 /* fewer tokens give no step time sample */

/* ---- Globals ---------------------------------------------------------- */

static ps_placement_t *placements;

/* ---- Servers ---------------------------------------------------------- */

// Returns the server of that name, or a new entry for it: one of a server that
// is no longer listed and runs nothing, or the next free one. Returns NULL
// when the pool is full.
static ps_server_t *
find_or_add_server(ps_pool_t *pool, const ps_name_t *name, int64_t now_ms)
{
    ps_server_t *server = PsPool_GetServer(pool, name);
    for (int i = 0; !server && i < pool->n_servers; i++) {
        ps_server_t *slot = &pool->servers[i];
        if (!slot->is_listed && slot->running.length == 0) {
            PsPrefixCache_Finish(&slot->prefix_cache);
            PsServer_Init(slot, now_ms);
            server = slot;
        }
    }
    if (!server && pool->n_servers < PS_POOL_SERVERS_MAX) {
        server = &pool->servers[pool->n_servers++];
        PsServer_Init(server, now_ms);
    }
    return server;
}

/* ---- Suspects -------------------------------------------------------- */

// Tells whether the content of a request was in flight at a recent crash of a
// server.
static bool
is_suspect(const ps_pool_t *pool, const ps_grant_request_t *request,
           int64_t now_ms)
{
    return PsSuspects_GetCrashes(&pool->suspects, request->content_hash,
                                 now_ms) > 0;
}

/* ---- Refusals --------------------------------------------------------- */

// Returns the time that the servers need for the work of the whole queue,
// within the bounds of Retry-After.
static int64_t
compute_retry_after_ms(const ps_pool_t *pool)
{
    double work = 0;
    for (int t = 0; t < PS_TIERS_MAX; t++) {
        work += pool->queue.tiers[t].work;
    }
    double ms = work / MAX(PsEstimate_GetDecodeRate(pool), 1e-6);
    return (int64_t)CLAMP(ms, RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
}

static void
refuse_request(ps_pool_t *pool, const ps_grant_request_t *request,
               const char *code, int64_t retry_after_ms, const char *reason)
{
    ps_refusal_t refusal = {code, PS_RAN_NO, retry_after_ms};
    pool->stats.refused++;
    pool->events->refuse(pool, request, &refusal, reason);
}

// Refuses a waiting request. Its job leaves the table before the callback and
// is freed after it.
static void
refuse_job(ps_pool_t *pool, ps_job_t *job, const char *code,
           int64_t retry_after_ms, const char *reason)
{
    PsQueue_Remove(&pool->queue, job, false);
    g_hash_table_steal(pool->jobs, &job->request.ticket);
    refuse_request(pool, &job->request, code, retry_after_ms, reason);
    g_free(job);
}

// Tells whether a lower tier has waiting or granted requests.
static bool
has_lower_tier(const ps_pool_t *pool, int tier)
{
    for (int t = tier + 1; t < PS_TIERS_MAX; t++) {
        if (pool->granted_by_tier[t] > 0 ||
            pool->queue.tiers[t].jobs.length > 0) {
            return true;
        }
    }
    return false;
}

// Tells whether a request would miss its latest start on a busy server by the
// wait for the work ahead of it.
static bool
would_wait_too_long(ps_pool_t *pool, const ps_job_t *job, int64_t now_ms)
{
    double wait_ms = PsEstimate_GetWaitMs(pool, &job->request);
    return wait_ms > 0 &&
           (double)now_ms + wait_ms * pool->options.wait_factor >
               (double)PsEstimate_GetLatestStartMs(pool, job, true);
}

// Refuses requests of lower tiers that would wait past their deadlines, from
// the lowest tier up; none of a tier while a still lower one has waiting or
// granted requests.
static void
shed_lower_tiers(ps_pool_t *pool, int tier, int64_t now_ms)
{
    for (int t = PS_TIERS_MAX - 1; t > tier; t--) {
        ps_job_t *candidate;
        while ((candidate = PsQueue_FindNextToShed(&pool->queue, t)) &&
               !has_lower_tier(pool, t) &&
               would_wait_too_long(pool, candidate, now_ms)) {
            refuse_job(pool, candidate, "capacity",
                       compute_retry_after_ms(pool),
                       "would wait past its deadline");
        }
    }
}

// Refuses a new request that would wait past its deadline, but not while a
// lower tier has waiting or granted requests: those are shed or preempted
// first.
static bool
refuse_if_wait_too_long(ps_pool_t *pool, ps_job_t *job, int64_t now_ms)
{
    int tier = job->request.tier;
    if (!pool->options.early_refusal ||
        !would_wait_too_long(pool, job, now_ms)) {
        return false;
    }
    shed_lower_tiers(pool, tier, now_ms);
    if (has_lower_tier(pool, tier)) {
        return false;
    }
    refuse_request(pool, &job->request, "capacity",
                   compute_retry_after_ms(pool),
                   "would wait past its deadline");
    return true;
}

// Refuses requests while the queue is over its limit, from the lowest tier
// that waits; none while a still lower tier has granted requests.
static void
shed_overflow(ps_pool_t *pool)
{
    while (pool->queue.len > pool->queue_limit) {
        int tier = PS_TIERS_MAX - 1;
        while (tier > 0 && pool->queue.tiers[tier].jobs.length == 0) {
            tier--;
        }
        if (has_lower_tier(pool, tier)) {
            return;
        }
        refuse_job(pool, PsQueue_FindNextToShed(&pool->queue, tier),
                   "capacity", compute_retry_after_ms(pool), "queue is full");
    }
}

// Refuses a waiting request whose content is banned or whose deadline no
// server can meet any more.
static bool
refuse_if_infeasible(ps_pool_t *pool, ps_job_t *job, int64_t now_ms)
{
    if (PsSuspects_IsBanned(&pool->suspects, job->request.content_hash,
                            now_ms)) {
        refuse_job(pool, job, "crashes_servers", 0,
                   "content was in flight at two server deaths");
        return true;
    }
    if (now_ms <= job->latest_start_ms) {
        return false;
    }
    job->latest_start_ms = PsEstimate_GetLatestStartMs(pool, job, false);
    if (now_ms <= job->latest_start_ms) {
        return false;
    }
    bool is_new = job->arrived_ms == now_ms;
    refuse_job(pool, job, "deadline",
               is_new ? 0 : compute_retry_after_ms(pool),
               is_new ? "no server is fast enough for the deadline"
                      : "deadline can no longer be met");
    return true;
}

// Refuses all waiting requests that cannot be served any more; checks the
// queue once every CHECK_INTERVAL_MS.
static void
refuse_all_infeasible(ps_pool_t *pool, int64_t now_ms)
{
    if (now_ms < pool->next_check_ms) {
        return;
    }
    pool->next_check_ms = now_ms + CHECK_INTERVAL_MS;
    for (int t = 0; t < PS_TIERS_MAX; t++) {
        GList *next;
        for (GList *l = pool->queue.tiers[t].jobs.head; l; l = next) {
            next = l->next;
            refuse_if_infeasible(pool, l->data, now_ms);
        }
    }
}

/* ---- Grants ----------------------------------------------------------- */

// Makes a job one of the running requests of a server.
static void
add_to_server(ps_pool_t *pool, ps_job_t *job, int index, int64_t now_ms)
{
    ps_server_t *server = &pool->servers[index];
    PsServer_UpdateBatchIntegral(server, now_ms);
    job->state = PS_JOB_GRANTED;
    job->server = index;
    job->granted_ms = now_ms;
    job->output_tokens_ms = now_ms;
    job->batch_integral = server->batch_integral;
    job->grant_number = ++pool->last_grant_number;
    job->is_suspect = is_suspect(pool, &job->request, now_ms);
    job->server_link = (GList){.data = job};
    if (server->running.length == 0) {
        server->last_activity_ms = now_ms;
    }
    g_queue_push_tail_link(&server->running, &job->server_link);
    pool->granted_by_tier[job->request.tier]++;
    pool->n_suspects_running += job->is_suspect ? 1 : 0;
}

// Grants a waiting request to the chosen server, and adds the time for its
// uncached prompt tokens to the prompts that the server has to process.
static void
grant_job(ps_pool_t *pool, ps_job_t *job, const ps_server_choice_t *choice,
          int64_t now_ms)
{
    ps_server_t *server = &pool->servers[choice->server];
    PsQueue_Remove(&pool->queue, job, true);
    uint32_t cached_tokens =
        MIN(choice->cached_tokens, job->request.prompt_tokens);
    job->prefill_tokens = job->request.prompt_tokens - cached_tokens;
    double wait_ms = server->prefill_end_ms - (double)now_ms;
    job->ahead_tokens =
        (uint32_t)(MAX(wait_ms, 0.0) * server->speed.prefill_rate);
    server->prefill_end_ms =
        MAX(server->prefill_end_ms, (double)now_ms) +
        PsSpeed_GetPrefillMs(&server->speed, job->prefill_tokens);
    add_to_server(pool, job, choice->server, now_ms);
    PsPrefixCache_Add(&server->prefix_cache, &job->request);
    pool->stats.granted++;
    pool->stats.prefill_tokens += job->prefill_tokens;
    pool->stats.cached_tokens += cached_tokens;
    pool->events->grant(pool, job, choice->reason);
}

// Preempts a request of a lower tier when a waiting request is about to miss
// its latest start: one at a time in the pool, on the server with the shortest
// step time.
static void
preempt_for_request(ps_pool_t *pool, const ps_job_t *waiting, int64_t now_ms)
{
    int64_t slack_ms =
        PsEstimate_GetLatestStartMs(pool, waiting, false) - now_ms;
    if (!pool->options.can_preempt || pool->n_preempting > 0 ||
        slack_ms > PREEMPT_SLACK_MS ||
        !has_lower_tier(pool, waiting->request.tier)) {
        return;
    }
    ps_job_t *victim = NULL;
    double min_step_ms = INFINITY;
    for (int i = 0; i < pool->n_servers; i++) {
        ps_server_t *server = &pool->servers[i];
        ps_job_t *job =
            PsServer_FindVictim(server, waiting->request.tier, now_ms);
        if (!job || !server->is_listed ||
            server->config.state != PS_SERVER_JOINING) {
            continue;
        }
        double step_ms =
            PsSpeed_GetStepMs(&server->speed, server->running.length);
        if (step_ms < min_step_ms) {
            min_step_ms = step_ms;
            victim = job;
        }
    }
    if (victim) {
        pool->stats.preempted++;
        pool->n_preempting++;
        victim->is_preempted = true;
        pool->events->cancel(pool, victim, "preempted by a higher tier");
    }
}

// Holds the waiting suspects while one runs: suspects run one at a time, and a
// held request does not block the ones behind it.
static void
hold_suspects(ps_pool_t *pool, int tier, int64_t now_ms)
{
    if (g_hash_table_size(pool->suspects.by_hash) == 0) {
        return;
    }
    for (GList *l = pool->queue.tiers[tier].jobs.head; l; l = l->next) {
        ps_job_t *job = l->data;
        job->is_held = pool->n_suspects_running > 0 &&
                       is_suspect(pool, &job->request, now_ms);
    }
}

// Places requests of one tier. Returns true when some that are not held still
// wait for a server.
static bool
place_tier(ps_pool_t *pool, int tier, int64_t now_ms)
{
    ps_job_t *heads[TEAMS_PER_PASS_MAX];
    bool has_placed = true;
    bool has_waiting = false;
    while (has_placed) {
        has_placed = false;
        has_waiting = false;
        hold_suspects(pool, tier, now_ms);
        int n =
            PsQueue_GetHeads(&pool->queue, tier, heads, TEAMS_PER_PASS_MAX);
        for (int i = 0; i < n && !has_placed; i++) {
            ps_server_choice_t choice =
                pool->placement->pick(pool, heads[i], now_ms);
            if (choice.server >= 0) {
                grant_job(pool, heads[i], &choice, now_ms);
                has_placed = true;
            }
            else {
                has_waiting = true;
            }
        }
    }
    if (has_waiting) {
        ps_job_t *oldest = pool->queue.tiers[tier].jobs.head->data;
        preempt_for_request(pool, oldest, now_ms);
    }
    return has_waiting;
}

// Updates the moving average of running requests of each server, with weight
// 0.02 (1/50) for each run. Only runs with a queue count, as only then the
// servers are fully used.
static void
update_busy_batches(ps_pool_t *pool)
{
    if (pool->queue.len == 0) {
        return;
    }
    for (int i = 0; i < pool->n_servers; i++) {
        ps_server_t *server = &pool->servers[i];
        double n = MAX(server->running.length, 1);
        server->busy_batch += (n - server->busy_batch) * 0.02;
    }
}

/* ---- Results of dispatches -------------------------------------------- */

// Adds a sample of the prefill rate: the time from the grant to the first
// token, for the own prompt tokens and those ahead of them.
static void
add_prefill_sample(ps_pool_t *pool, ps_job_t *job, int64_t ms)
{
    ps_server_t *server = &pool->servers[job->server];
    if (!job->is_recovered) {
        PsSpeed_AddPrefill(&server->speed,
                           job->prefill_tokens + job->ahead_tokens,
                           (double)ms);
    }
}

// Adds the samples that a result gives: prefill rate and, of a complete
// answer, step time and output length.
static void
add_result_samples(ps_pool_t *pool, ps_job_t *job,
                   const ps_dispatch_result_t *result, int64_t now_ms)
{
    ps_server_t *server = &pool->servers[job->server];
    bool is_complete = result->outcome == PS_OUTCOME_COMPLETE;
    if (!pool->is_model || job->is_recovered) {
        return;
    }
    if (job->first_token_ms == 0 && result->first_token_ms > 0) {
        add_prefill_sample(pool, job, result->first_token_ms);
    }
    int64_t first_token_ms = result->first_token_ms;
    if (first_token_ms == 0) {
        first_token_ms = (int64_t)PsSpeed_GetPrefillMs(
            &server->speed, job->prefill_tokens + job->ahead_tokens);
    }
    int64_t decode_ms = result->total_ms - first_token_ms;
    if (is_complete && decode_ms > 0 &&
        result->output_tokens > STEP_TOKENS_MIN) {
        PsServer_UpdateBatchIntegral(server, now_ms);
        double elapsed_ms = (double)(now_ms - job->granted_ms);
        double batch = (server->batch_integral - job->batch_integral) /
                       MAX(elapsed_ms, 1.0);
        double step_ms = (double)decode_ms / (result->output_tokens - 1);
        PsSpeed_AddStep(&server->speed, MAX(batch, 1.0), step_ms, 1.0);
    }
    if (is_complete && result->output_tokens > 0) {
        PsForecast_Add(&pool->forecast, &job->request, result->output_tokens);
    }
}

// Handles a connection that broke during a dispatch as a crash of the server:
// the request's content becomes a suspect, the server is down for a while, and
// its cache is assumed to be lost. Does nothing for a plain service.
static void
handle_crash(ps_pool_t *pool, ps_job_t *job, int64_t now_ms)
{
    if (!pool->is_model) {
        return;
    }
    ps_crash_t crash = {.mark = job->request.content_hash,
                        .id = ++pool->last_crash_id,
                        .at_ms = now_ms,
                        .is_own = true};
    PsSuspects_AddCrash(&pool->suspects, &crash);
    PsServer_MarkDown(&pool->servers[job->server], now_ms);
    PsPrefixCache_Clear(&pool->servers[job->server].prefix_cache);
}

static void
remove_from_server(ps_pool_t *pool, ps_job_t *job, int64_t now_ms)
{
    ps_server_t *server = &pool->servers[job->server];
    PsServer_UpdateBatchIntegral(server, now_ms);
    g_queue_unlink(&server->running, &job->server_link);
    if (server->running.length == 0) {
        server->idle_since_ms = now_ms;
    }
    pool->granted_by_tier[job->request.tier]--;
    pool->n_suspects_running -= job->is_suspect ? 1 : 0;
    pool->n_preempting -= job->is_preempted ? 1 : 0;
    PsServer_UpdatePrefillEnd(server, now_ms);
}

// Removes orphaned and preempted requests whose end has not been reported in
// time.
static void
remove_lost_jobs(ps_pool_t *pool, int64_t now_ms)
{
    for (int i = 0; i < pool->n_servers; i++) {
        GList *next;
        for (GList *l = pool->servers[i].running.head; l; l = next) {
            next = l->next;
            ps_job_t *job = l->data;
            if ((job->is_orphan || job->is_preempted) &&
                now_ms > job->request.deadline_ms + ORPHAN_GRACE_MS) {
                ps_dispatch_result_t result = {.outcome = PS_OUTCOME_LOST};
                PsPool_EndDispatch(pool, &job->request.ticket, &result,
                                   now_ms);
            }
        }
    }
}

/* ---- Public functions ------------------------------------------------- */

void
PsPlacement_Register(ps_placement_t *placement)
{
    placement->next = placements;
    placements = placement;
}

const ps_placement_t *
PsPlacement_Find(const char *name)
{
    const ps_placement_t *placement = placements;
    while (placement && strcmp(placement->name, name) != 0) {
        placement = placement->next;
    }
    return placement;
}

void
PsPool_Init(ps_pool_t *pool, const ps_pool_events_t *events,
            const ps_name_t *name)
{
    *pool = (ps_pool_t){
        .events = events,
        .placement = PsPlacement_Find("finish"),
        .name = *name,
        .random_state = 1,
        .options = {.early_refusal = true,
                    .is_fair = true,
                    .can_preempt = true,
                    .use_forecast = true,
                    .use_prefix = true,
                    .quantile_top = 0.9,
                    .quantile_low = 0.8,
                    .deadline_margin_top = 0.15,
                    .deadline_margin_low = 0.05,
                    .wait_factor = 2.0,
                    .median_fallback_tier = 1},
    };
    pool->jobs =
        g_hash_table_new_full(PsName_Hash, PsName_EqualKeys, NULL, g_free);
    PsQueue_Init(&pool->queue);
    PsForecast_Init(&pool->forecast);
    PsSuspects_Init(&pool->suspects, CRASHES_MAX, CRASHES_MAX);
}

void
PsPool_Finish(ps_pool_t *pool)
{
    for (int i = 0; i < pool->n_servers; i++) {
        PsServer_Finish(&pool->servers[i]);
    }
    PsQueue_Finish(&pool->queue);
    PsForecast_Finish(&pool->forecast);
    PsSuspects_Finish(&pool->suspects);
    g_hash_table_destroy(pool->jobs);
}

void
PsPool_Configure(ps_pool_t *pool, const ps_config_t *config, int64_t now_ms)
{
    const ps_pool_config_t *pool_config =
        PsConfig_FindPool(config, &pool->name);
    g_assert(pool_config);
    pool->config = config;
    pool->is_model = PsName_IsEqualC(&pool_config->kind, "model");
    pool->queue_limit = pool_config->queue_limit;
    pool->slots = pool_config->slots;
    pool->reserved_slots = pool_config->reserved_slots;
    pool->queue.is_fair = pool->options.is_fair;
    for (int i = 0; i < pool->n_servers; i++) {
        pool->servers[i].is_listed = false;
    }
    for (int i = 0; i < pool_config->n_servers; i++) {
        ps_server_t *server =
            find_or_add_server(pool, &pool_config->servers[i].name, now_ms);
        if (server) {
            server->config = pool_config->servers[i];
            server->is_listed = true;
        }
    }
}

void
PsPool_Submit(ps_pool_t *pool, const ps_grant_request_t *request,
              int64_t now_ms)
{
    g_assert(request->tier >= 0 && request->tier < PS_TIERS_MAX);
    ps_job_t *job = g_new0(ps_job_t, 1);
    job->request = *request;
    job->arrived_ms = now_ms;
    job->forecast_tokens = PsEstimate_GetForecastTokens(pool, request, now_ms);
    job->median_tokens = PsEstimate_GetOutputTokens(pool, request, 0.5, 0.0);
    job->work = PsEstimate_GetWorkTokens(
        pool, request,
        PsEstimate_GetOutputTokens(pool, request, WORK_QUANTILE, 0.0));
    if (refuse_if_wait_too_long(pool, job, now_ms)) {
        g_free(job);
        return;
    }
    job->latest_start_ms = PsEstimate_GetLatestStartMs(pool, job, false);
    double weight = PsConfig_GetTeamWeight(pool->config, &request->team);
    g_hash_table_insert(pool->jobs, &job->request.ticket, job);
    PsQueue_Add(&pool->queue, job, weight);
    if (!refuse_if_infeasible(pool, job, now_ms)) {
        shed_overflow(pool);
    }
}

ps_job_t *
PsPool_AddRecovered(ps_pool_t *pool, const ps_grant_request_t *request,
                    const ps_name_t *server_name, int64_t age_ms,
                    int64_t now_ms)
{
    ps_server_t *server = PsPool_GetServer(pool, server_name);
    if (!server || PsPool_GetJob(pool, &request->ticket)) {
        return NULL;
    }
    ps_job_t *job = g_new0(ps_job_t, 1);
    job->request = *request;
    job->is_recovered = true;
    job->forecast_tokens = PsEstimate_GetForecastTokens(pool, request, now_ms);
    g_hash_table_insert(pool->jobs, &job->request.ticket, job);
    add_to_server(pool, job, (int)(server - pool->servers), now_ms);
    job->granted_ms = now_ms - age_ms;
    return job;
}

void
PsPool_Reassign(ps_pool_t *pool, const ps_name_t *ticket,
                const ps_name_t *new_ticket, const ps_name_t *new_entry)
{
    ps_job_t *job = PsPool_GetJob(pool, ticket);
    if (!job || job->state != PS_JOB_GRANTED ||
        PsPool_GetJob(pool, new_ticket)) {
        return;
    }
    g_hash_table_steal(pool->jobs, ticket);
    job->request.ticket = *new_ticket;
    job->request.entry = *new_entry;
    job->is_orphan = false;
    job->is_handed_over = true;
    g_hash_table_insert(pool->jobs, &job->request.ticket, job);
}

bool
PsPool_Withdraw(ps_pool_t *pool, const ps_name_t *ticket)
{
    ps_job_t *job = PsPool_GetJob(pool, ticket);
    if (!job || job->state != PS_JOB_QUEUED) {
        return false;
    }
    PsQueue_Remove(&pool->queue, job, false);
    g_hash_table_remove(pool->jobs, ticket);
    return true;
}

void
PsPool_AddProgress(ps_pool_t *pool, const ps_name_t *ticket, uint32_t tokens,
                   int64_t now_ms)
{
    ps_job_t *job = PsPool_GetJob(pool, ticket);
    if (!job || job->state != PS_JOB_GRANTED || tokens == 0) {
        return;
    }
    ps_server_t *server = &pool->servers[job->server];
    PsServer_MarkUp(server, now_ms);
    PsServer_UpdateBatchIntegral(server, now_ms);
    if (job->first_token_ms == 0) {
        job->first_token_ms = now_ms;
        add_prefill_sample(pool, job, now_ms - job->granted_ms);
        PsServer_UpdatePrefillEnd(server, now_ms);
    }
    else if (tokens >= job->reported_tokens + STEP_TOKENS_MIN) {
        double step_ms = (double)(now_ms - job->reported_ms) /
                         (tokens - job->reported_tokens);
        PsSpeed_AddStep(&server->speed, server->running.length, step_ms,
                        PROGRESS_SAMPLE_WEIGHT);
    }
    else {
        return;
    }
    job->reported_tokens = tokens;
    job->reported_ms = now_ms;
    job->output_tokens = tokens;
    job->output_tokens_ms = now_ms;
}

void
PsPool_EndDispatch(ps_pool_t *pool, const ps_name_t *ticket,
                   const ps_dispatch_result_t *result, int64_t now_ms)
{
    ps_job_t *job = PsPool_GetJob(pool, ticket);
    if (!job || job->state != PS_JOB_GRANTED) {
        return;
    }
    if (result->outcome == PS_OUTCOME_ORPHANED) {
        job->is_orphan = true;
        return;
    }
    ps_server_t *server = &pool->servers[job->server];
    bool was_sent = result->outcome != PS_OUTCOME_NOT_SENT &&
                    result->outcome != PS_OUTCOME_UNREACHABLE;
    if (was_sent && result->outcome != PS_OUTCOME_COMPLETE) {
        pool->stats.discarded_prefill_tokens +=
            PsServer_GetPrefilledTokens(server, job, now_ms);
    }
    add_result_samples(pool, job, result, now_ms);
    remove_from_server(pool, job, now_ms);
    if (result->outcome == PS_OUTCOME_BROKEN) {
        handle_crash(pool, job, now_ms);
    }
    else if (result->outcome == PS_OUTCOME_UNREACHABLE) {
        PsServer_MarkDown(server, now_ms);
    }
    else if (result->outcome == PS_OUTCOME_COMPLETE) {
        PsServer_MarkUp(server, now_ms);
        PsSuspects_Remove(&pool->suspects, job->request.content_hash);
    }
    g_hash_table_remove(pool->jobs, ticket);
}

void
PsPool_HandleLoadReport(ps_pool_t *pool, const ps_name_t *name, int running,
                        int waiting, int64_t now_ms)
{
    ps_server_t *server = PsPool_GetServer(pool, name);
    if (!server) {
        return;
    }
    PsServer_HandleLoadReport(server, running, waiting, now_ms);
}

void
PsPool_Run(ps_pool_t *pool, int64_t now_ms)
{
    PsSuspects_Expire(&pool->suspects, now_ms);
    remove_lost_jobs(pool, now_ms);
    refuse_all_infeasible(pool, now_ms);
    update_busy_batches(pool);
    for (int t = 0; t < PS_TIERS_MAX; t++) {
        if (place_tier(pool, t, now_ms)) {
            return;
        }
    }
}

ps_job_t *
PsPool_GetJob(const ps_pool_t *pool, const ps_name_t *ticket)
{
    return g_hash_table_lookup(pool->jobs, ticket);
}

ps_server_t *
PsPool_GetServer(ps_pool_t *pool, const ps_name_t *name)
{
    for (int i = 0; i < pool->n_servers; i++) {
        if (PsName_IsEqual(&pool->servers[i].config.name, name)) {
            return &pool->servers[i];
        }
    }
    return NULL;
}

bool
PsPool_IsEligible(const ps_pool_t *pool, int index, const ps_job_t *job,
                  int64_t now_ms)
{
    const ps_server_t *server = &pool->servers[index];
    int running = (int)server->running.length;
    int limit = pool->slots > 0 ? MIN(pool->slots, server->concurrency_limit)
                                : server->concurrency_limit;
    if (job->request.tier > 0) {
        limit -= pool->reserved_slots;
    }
    if (!server->is_listed || server->config.state != PS_SERVER_JOINING ||
        now_ms < server->down_until_ms || running >= limit) {
        return false;
    }
    bool is_after_failure = server->down_backoff_ms > 0;
    if (is_after_failure && running > 0) {
        return false;
    }
    return pool->n_suspects_running == 0 ||
           !is_suspect(pool, &job->request, now_ms);
}
