/* exchange_task.c - Deadlines, objective and size of one request. */
#include "exchange_task.h"

#include <string.h>
#include <xxhash.h>

#include "team_shares.h"

// Part of its time limit that a request without a stream may wait for a
// backend server.
#define PLAIN_WAIT_SHARE 0.5

// Time limit of a request if its route sets none. The caller may set a shorter
// one.
#define DEFAULT_TIMEOUT_MS 15000

// Expected output tokens as a share of the maximum, when the caller gives no
// estimate.
#define OUTPUT_SHARE 0.3

/* ---- Internal functions ----------------------------------------------- */

// Sets by whom and when the request was asked for first, as far as the
// settings use it. How long ago that was is known from the time that the
// caller has left.
static void
set_asking_times(ps_exchange_t *exchange, int64_t now_ms)
{
    const ps_gateway_settings_t *settings =
        &exchange->gateway->settings.gateway;
    ps_task_t *task = &exchange->task;
    task->deadline_ms = exchange->deadline_ms;
    task->first_asked_ms = now_ms;
    // A stream that its caller takes up has begun: it doesn't come late.
    bool is_taken_up = !PsName_IsEmpty(&exchange->last_event_id);
    if ((settings->has_planned_returns || settings->has_team_shares) &&
        !is_taken_up) {
        const ps_route_t *route = exchange->route;
        int64_t left_ms = exchange->inbound.time_left_ms;
        int64_t limit_ms =
            PsDeadlinesSeen_Add(&exchange->gateway->deadlines_seen,
                                PsTeamShares_HashTeam(&route->name),
                                route->timeout_ms, left_ms, now_ms);
        task->first_asked_ms =
            PsReturnPlan_GetFirstAskedMs(limit_ms, left_ms, now_ms);
    }
    if (settings->has_team_shares) {
        const ps_name_t none = {0};
        task->team = PsTeamShares_HashTeam(
            exchange->team ? &exchange->team->name : &none);
    }
}

/* ---- Public functions ------------------------------------------------- */

void
PsExchangeTask_Init(ps_exchange_t *exchange, int64_t now_ms)
{
    const ps_route_t *route = exchange->route;
    const ps_inbound_request_t *inbound = &exchange->inbound;
    int64_t limit_ms =
        route->timeout_ms > 0 ? route->timeout_ms : DEFAULT_TIMEOUT_MS;
    if (inbound->time_left_ms > 0) {
        limit_ms = MIN(limit_ms, inbound->time_left_ms);
    }
    exchange->deadline_ms = now_ms + limit_ms;
    ps_task_t *task = &exchange->task;
    task->user = exchange;
    task->is_generation = route->is_generation;
    task->route = XXH32(route->name.data, route->name.len, 0);
    task->arrived_ms = now_ms;
    set_asking_times(exchange, now_ms);
    task->objective_ms =
        (exchange->gateway->settings.gateway.has_planned_returns
             ? task->first_asked_ms
             : now_ms) +
        (route->target_latency_ms > 0 ? route->target_latency_ms : limit_ms);
    task->gap_target_ms = route->gap_target_ms;
    int64_t wait_max_ms = route->is_stream
                              ? PS_STREAM_WAIT_MAX_MS
                              : (int64_t)((double)limit_ms * PLAIN_WAIT_SHARE);
    task->wait_deadline_ms =
        now_ms + MIN(wait_max_ms, limit_ms - PS_DEADLINE_MARGIN_MS);
    task->prompt_tokens = inbound->prompt_tokens;
    task->output_tokens = inbound->output_tokens_hint > 0
                              ? inbound->output_tokens_hint
                              : inbound->output_tokens_max * OUTPUT_SHARE;
    task->n_parts = inbound->n_parts;
    memcpy(task->part_hashes, inbound->parts, sizeof task->part_hashes);
    memcpy(task->part_tokens, inbound->part_tokens, sizeof task->part_tokens);
    task->tier = route->tier;
    // The team's tier ranks before the route's, if that is below 16.
    if (exchange->team && exchange->team->tier >= 0) {
        task->tier += exchange->team->tier * 16;
    }
}
