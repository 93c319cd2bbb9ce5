/* rollout_rounds.c - Orders, the allocator's roll-outs, and messages. */
#include "rollout_rounds.h"

#include <xxhash.h>

#include "events_log.h"
#include "gateway.h"

// Order as it is known from the store alone, before the allocator has told its
// identity.
#define ORDER_UNNAMED 1

// Longest time from the write of an order until the allocator, which watches
// the store, knows of it. The time limit counts from so long before.
#define ORDER_LAG_MS 400

#define RECORD_INTERVAL_MS 500 /* between writes of the record */
#define READ_INTERVAL_MS 1000  /* between reads of the record */
#define RETRY_MS 250           /* after a failed write */
#define CALL_MAX_MS 2000       /* a write that has not ended then is lost */

// A daemon that hasn't been the allocator for so long forgets its counts.
#define FORGET_MS 1500

#define ANSWERS_PER_REPORT 500

/* ---- The target's servers --------------------------------------------- */

static uint64_t
hash_version(const ps_name_t *service, const ps_name_t *version)
{
    ps_registration_t registration = {.service = *service,
                                      .version = *version};
    return PsRegistration_HashVersion(&registration);
}

static bool
takes_work(const ps_backend_t *backend)
{
    return backend->is_listed && !backend->registration.is_leaving;
}

// Returns a server's index among those of the target, by the hashes of their
// names: all allocators use the same ones first.
static int
get_index(const ps_rollout_round_t *round, const ps_scheduler_t *scheduler,
          const ps_backend_t *backend)
{
    uint32_t own = PsSharing_HashServer(backend);
    int index = 0;
    for (guint i = 0; i < scheduler->backends->len; i++) {
        const ps_backend_t *other = scheduler->backends->pdata[i];
        index += other->version == round->target && takes_work(other) &&
                         PsSharing_HashServer(other) < own
                     ? 1
                     : 0;
    }
    return index;
}

static void
set_servers(ps_rollout_round_t *round, const ps_scheduler_t *scheduler)
{
    int n_old = 0;
    int n_new = 0;
    int slots = 0;
    for (guint i = 0; i < scheduler->backends->len; i++) {
        const ps_backend_t *backend = scheduler->backends->pdata[i];
        bool is_target = backend->version == round->target;
        if (takes_work(backend)) {
            n_old += is_target ? 0 : 1;
            n_new += is_target ? 1 : 0;
            slots += is_target ? backend->registration.slots : 0;
        }
    }
    PsRollout_SetServers(&round->rollout, n_old, n_new,
                         n_new > 0 ? slots / n_new : 0);
}

bool
PsRolloutRounds_GrantsSlots(const ps_rollout_round_t *round,
                            const ps_scheduler_t *scheduler,
                            const ps_backend_t *backend, int64_t now_ms)
{
    const ps_rollout_use_t *use = &scheduler->rollout;
    if (PsRolloutUse_IsExcluded(use, backend->version, now_ms)) {
        return false;
    }
    if (!round || round->phase != PS_ROLLOUT_ACTIVE ||
        !PsRolloutUse_Prefers(use, backend->version)) {
        return true;
    }
    return PsRollout_IsInUse(&round->rollout,
                             get_index(round, scheduler, backend), now_ms);
}

/* ---- Start and end ---------------------------------------------------- */

ps_rollout_round_t *
PsRolloutRounds_New(void)
{
    return g_new0(ps_rollout_round_t, 1);
}

// Forgets what this daemon has counted as the allocator.
static void
forget_rollout(ps_rollout_round_t *round)
{
    if (round->phase == PS_ROLLOUT_ACTIVE) {
        PsRollout_Finish(&round->rollout);
    }
    round->phase = PS_ROLLOUT_IDLE;
    round->next_read_ms = 0;
    round->next_record_ms = 0;
    round->status_sent_ms = 0;
    round->record_sent_ms = 0;
}

void
PsRolloutRounds_Free(ps_rollout_round_t *round)
{
    if (round) {
        forget_rollout(round);
        g_free(round);
    }
}

// Starts counting, from the record.
static void
start_rollout(ps_rollout_round_t *round, const ps_gateway_settings_t *settings,
              int64_t now_ms)
{
    const ps_rollout_record_t *record = &round->record;
    int64_t age_ms = g_get_real_time() / 1000 - record->started_unix_ms;
    ps_rollout_order_t order = {.started_ms = now_ms - age_ms,
                                .exposure = settings->rollout_exposure,
                                .slack = settings->rollout_slack};
    order.limit_ms = order.started_ms + round->object.duration_ms;
    PsRollout_Init(&round->rollout, &order, now_ms);
    PsRollout_Restore(&round->rollout, record->arrived, record->sent);
    round->phase = PS_ROLLOUT_ACTIVE;
    round->logged_step = PS_ROLLOUT_CANARY;
    PsEvents_Add("rollout.start", "{s:s,s:s,s:I,s:I,s:I,s:I}", "service",
                 record->service.data, "target", record->target.data, "age_ms",
                 (json_int_t)age_ms, "duration_ms",
                 (json_int_t)round->object.duration_ms, "arrived",
                 (json_int_t)record->arrived, "sent",
                 (json_int_t)record->sent);
}

// Takes a final status of the store.
static void
adopt_status(ps_rollout_round_t *round)
{
    bool is_final = round->object.state >= PS_ROLLOUT_STATE_DONE;
    if (is_final && round->phase == PS_ROLLOUT_ACTIVE) {
        round->rollout.step = round->object.state == PS_ROLLOUT_STATE_DONE
                                  ? PS_ROLLOUT_DONE
                                  : PS_ROLLOUT_BACK;
        round->rollout.is_written = true;
    }
}

/* ---- Events of the store ---------------------------------------------- */

// Tells this daemon's scheduler what the store says of the order.
static void
apply_object(const ps_rollout_round_t *round, ps_scheduler_t *scheduler)
{
    ps_rollout_use_t *use = &scheduler->rollout;
    ps_rollout_state_t state = round->object.state;
    bool is_known = use->order != 0 && use->target == round->target;
    uint64_t order = is_known ? use->order : ORDER_UNNAMED;
    ps_rollout_step_t step = PS_ROLLOUT_CANARY;
    if (state >= PS_ROLLOUT_STATE_DONE) {
        step =
            state == PS_ROLLOUT_STATE_DONE ? PS_ROLLOUT_DONE : PS_ROLLOUT_BACK;
    }
    else if (is_known && use->step >= PS_ROLLOUT_DONE &&
             state == PS_ROLLOUT_STATE_NONE) {
        order = use->order == ORDER_UNNAMED ? use->order + 1 : ORDER_UNNAMED;
    }
    PsRolloutUse_SetOrder(use, order, round->target, step);
}

void
PsRolloutRounds_HandleObject(ps_rollout_round_t *round,
                             ps_scheduler_t *scheduler,
                             const ps_rollout_object_t *object)
{
    bool is_same = PsName_IsEqual(&round->object.target, &object->target) &&
                   round->object.duration_ms == object->duration_ms &&
                   !(round->object.state >= PS_ROLLOUT_STATE_DONE &&
                     object->state == PS_ROLLOUT_STATE_NONE);
    if (!is_same || round->is_removed) {
        forget_rollout(round);
        PsEvents_Add("rollout.order", "{s:s,s:s,s:I,s:i}", "service",
                     object->service.data, "target", object->target.data,
                     "duration_ms", (json_int_t)object->duration_ms, "state",
                     (int)object->state);
    }
    round->object = *object;
    round->is_removed = false;
    round->target = hash_version(&object->service, &object->target);
    adopt_status(round);
    apply_object(round, scheduler);
}

void
PsRolloutRounds_HandleRemoval(ps_rollout_round_t *round,
                              ps_scheduler_t *scheduler)
{
    if (round->is_removed) {
        return;
    }
    PsEvents_Add("rollout.removed", "{s:s,s:s}", "service",
                 round->object.service.data, "target",
                 round->object.target.data);
    round->is_removed = true;
    if (round->phase == PS_ROLLOUT_ACTIVE) {
        PsRollout_RollBack(&round->rollout, "the order was removed");
    }
    if (scheduler->rollout.target == round->target) {
        PsRolloutUse_HandleRemoval(&scheduler->rollout);
    }
}

void
PsRolloutRounds_HandleStatusWritten(ps_rollout_round_t *round,
                                    ps_scheduler_t *scheduler,
                                    ps_store_result_t result,
                                    const ps_rollout_object_t *object,
                                    int64_t now_ms)
{
    if (result == PS_STORE_WRITTEN && round->status_sent_ms > 0 &&
        round->phase == PS_ROLLOUT_ACTIVE) {
        round->rollout.write_ms = now_ms - round->status_sent_ms;
    }
    round->status_sent_ms = 0;
    round->next_status_ms = result == PS_STORE_FAILED ? now_ms + RETRY_MS : 0;
    if (object && object->revision >= round->object.revision) {
        PsRolloutRounds_HandleObject(round, scheduler, object);
    }
}

// Starts a new order. Nothing is sent to the target before its record is
// written, so that another allocator knows when it began.
static void
write_first_record(ps_rollout_round_t *round,
                   const ps_rollout_context_t *context, uint64_t revision,
                   int64_t now_ms)
{
    int64_t unix_ms = g_get_real_time() / 1000 - ORDER_LAG_MS;
    ps_name_t text = PsName_Format("%s %lld", round->object.target.data,
                                   (long long)unix_ms);
    round->record = (ps_rollout_record_t){
        .service = round->object.service,
        .target = round->object.target,
        .order = XXH64(text.data, text.len, 0) | (1ULL << 63),
        .started_unix_ms = unix_ms,
        .revision = revision};
    round->phase = PS_ROLLOUT_STARTING;
    round->record_sent_ms = now_ms;
    context->store_ops->write_rollout_record(context->store_ops,
                                             &round->record);
}

void
PsRolloutRounds_HandleRecordRead(ps_rollout_round_t *round,
                                 const ps_rollout_context_t *context,
                                 const ps_rollout_record_t *record,
                                 int64_t now_ms)
{
    if (round->phase != PS_ROLLOUT_READING ||
        round->object.state >= PS_ROLLOUT_STATE_DONE) {
        return;
    }
    bool is_of_order = record->revision > 0 &&
                       PsName_IsEqual(&record->target, &round->object.target);
    int64_t age_ms = g_get_real_time() / 1000 - record->started_unix_ms;
    bool is_running = round->object.state == PS_ROLLOUT_STATE_RUNNING;
    if (is_of_order && (is_running || (record->step < PS_ROLLOUT_DONE &&
                                       age_ms < round->object.duration_ms))) {
        round->record = *record;
        start_rollout(round, context->settings, now_ms);
        if (record->step == PS_ROLLOUT_BACK) {
            PsRollout_RollBack(&round->rollout,
                               "another allocator has rolled it back");
        }
        return;
    }
    write_first_record(round, context, record->revision, now_ms);
}

void
PsRolloutRounds_HandleRecordWritten(ps_rollout_round_t *round,
                                    const ps_rollout_context_t *context,
                                    ps_store_result_t result,
                                    uint64_t revision, int64_t now_ms)
{
    round->record_sent_ms = 0;
    if (result != PS_STORE_FAILED) {
        round->record.revision = revision;
    }
    if (round->phase != PS_ROLLOUT_STARTING) {
        return;
    }
    if (result != PS_STORE_WRITTEN) {
        round->phase = PS_ROLLOUT_IDLE;
        round->next_read_ms = now_ms + RETRY_MS;
        return;
    }
    start_rollout(round, context->settings, now_ms);
    if (round->object.state == PS_ROLLOUT_STATE_RUNNING) {
        // When it began and what was sent isn't known.
        PsRollout_RollBack(&round->rollout, "the order's record was lost");
    }
}

/* ---- The allocator's round -------------------------------------------- */

static const char *
find_route_name(const ps_catalog_t *catalog, uint32_t hash)
{
    for (guint i = 0; catalog && hash != 0 && i < catalog->routes->len; i++) {
        const ps_route_t *route = catalog->routes->pdata[i];
        if (XXH32(route->name.data, route->name.len, 0) == hash) {
            return route->name.data;
        }
    }
    return hash == 0 ? "all" : "unknown";
}

static void
log_step(ps_rollout_round_t *round, const ps_rollout_context_t *context)
{
    static const char *const names[] = {"canary", "last", "done",
                                        "rolled_back"};
    static const char *const samples[] = {"failed", "failed", "first event",
                                          "pace", "total"};
    const ps_rollout_t *rollout = &round->rollout;
    if (rollout->step == round->logged_step) {
        return;
    }
    round->logged_step = rollout->step;
    const ps_rollout_evidence_t *evidence = &rollout->evidence;
    PsEvents_Add(
        "rollout.step", "{s:s,s:s,s:s,s:s,s:I,s:I,s:I,s:I,s:f,s:f,s:s,s:s}",
        "service", round->object.service.data, "target",
        round->object.target.data, "step", names[rollout->step], "reason",
        rollout->reason ? rollout->reason : "", "arrived",
        (json_int_t)PsRollout_CountArrived(rollout), "sent",
        (json_int_t)PsRollout_CountSent(rollout), "answers",
        (json_int_t)evidence->answers, "bad",
        (json_int_t)evidence->bad_answers, "expected_bad",
        evidence->expected_bad, "evidence", evidence->highest, "route",
        find_route_name(context->catalog, evidence->bad_route), "by",
        evidence->is_bad ? samples[evidence->bad_sample] : "");
}

static void
write_status(ps_rollout_round_t *round, const ps_rollout_context_t *context,
             ps_rollout_state_t state, int64_t now_ms)
{
    bool is_open = round->status_sent_ms > 0 &&
                   now_ms - round->status_sent_ms < CALL_MAX_MS;
    if (round->object.state == state || is_open ||
        now_ms < round->next_status_ms) {
        return;
    }
    ps_rollout_object_t object = round->object;
    object.state = state;
    round->status_sent_ms = now_ms;
    context->store_ops->write_rollout_status(context->store_ops, &object);
}

// Writes the record at intervals, and at once at each step.
static void
write_record(ps_rollout_round_t *round, const ps_rollout_context_t *context,
             int64_t now_ms)
{
    const ps_rollout_t *rollout = &round->rollout;
    ps_rollout_record_t *record = &round->record;
    bool is_open = round->record_sent_ms > 0 &&
                   now_ms - round->record_sent_ms < CALL_MAX_MS;
    bool is_due =
        now_ms >= round->next_record_ms || record->step != (int)rollout->step;
    if (is_open || !is_due || rollout->is_written) {
        return;
    }
    record->step = (int)rollout->step;
    record->arrived = PsRollout_CountArrived(rollout);
    record->sent = PsRollout_CountSent(rollout);
    record->answers = rollout->evidence.answers;
    round->next_record_ms = now_ms + RECORD_INTERVAL_MS;
    round->record_sent_ms = now_ms;
    context->store_ops->write_rollout_record(context->store_ops, record);
}

static void
run_rollout(ps_rollout_round_t *round, const ps_scheduler_t *scheduler,
            const ps_rollout_context_t *context, int64_t now_ms)
{
    static const ps_rollout_state_t states[] = {
        PS_ROLLOUT_STATE_RUNNING, PS_ROLLOUT_STATE_RUNNING,
        PS_ROLLOUT_STATE_DONE, PS_ROLLOUT_STATE_ROLLED_BACK};
    ps_rollout_t *rollout = &round->rollout;
    set_servers(round, scheduler);
    PsRollout_Run(rollout, now_ms);
    PsRollout_Divide(rollout, context->n_daemons, now_ms);
    log_step(round, context);
    if (!round->is_removed) {
        // A store that was restored may have an older status.
        write_status(round, context, states[rollout->step], now_ms);
        write_record(round, context, now_ms);
    }
}

void
PsRolloutRounds_Run(ps_rollout_round_t *round, const ps_scheduler_t *scheduler,
                    const ps_rollout_context_t *context, int64_t now_ms)
{
    if (!context->is_allocator) {
        if (round->phase != PS_ROLLOUT_IDLE &&
            now_ms - round->allocator_ms > FORGET_MS) {
            forget_rollout(round);
        }
        return;
    }
    round->allocator_ms = now_ms;
    if (round->phase == PS_ROLLOUT_ACTIVE) {
        run_rollout(round, scheduler, context, now_ms);
        return;
    }
    if (round->is_removed || round->object.state >= PS_ROLLOUT_STATE_DONE) {
        return;
    }
    if (round->object.duration_ms == 0) {
        write_status(round, context, PS_ROLLOUT_STATE_ROLLED_BACK, now_ms);
        return;
    }
    bool is_lost = round->phase == PS_ROLLOUT_STARTING &&
                   now_ms - round->record_sent_ms > CALL_MAX_MS;
    if ((round->phase != PS_ROLLOUT_STARTING || is_lost) &&
        now_ms >= round->next_read_ms) {
        round->phase = PS_ROLLOUT_READING;
        round->next_read_ms = now_ms + READ_INTERVAL_MS;
        context->store_ops->read_rollout_record(context->store_ops,
                                                &round->object.service);
    }
}

void
PsRolloutRounds_HandleUse(ps_rollout_round_t *round, const ps_name_t *from,
                          const Ps__RolloutUse *use, int64_t now_ms)
{
    if (!round || !use || round->phase != PS_ROLLOUT_ACTIVE ||
        use->order != round->record.order || use->step > PS_ROLLOUT_BACK) {
        return;
    }
    ps_rollout_t *rollout = &round->rollout;
    PsRollout_HandleUse(rollout, from, use->arrived, use->sent,
                        (int)MIN(use->running_old, INT32_MAX), now_ms);
    PsRollout_HandleStep(rollout, (ps_rollout_step_t)use->step);
    ps_rollout_daemon_t *daemon = PsRollout_GetDaemon(rollout, from);
    for (size_t i = 0; i < use->n_answers; i++) {
        const Ps__RolloutAnswer *each = use->answers[i];
        if (use->first_answer + i < daemon->next_answer ||
            each->sample >= PS_ROLLOUT_SAMPLES) {
            continue;
        }
        daemon->next_answer = use->first_answer + i + 1;
        ps_rollout_answer_t answer = {
            .route = each->route,
            .server = each->server,
            .is_target = each->target,
            .sample = (uint8_t)each->sample,
            .bucket = (uint8_t)MIN(each->bucket, PS_ROLLOUT_BUCKETS - 1)};
        PsRollout_HandleAnswer(rollout, &answer, now_ms);
    }
}

void
PsRolloutRounds_SetFreeSlots(ps_rollout_round_t *round,
                             const ps_name_t *daemon, int n)
{
    if (round && round->phase == PS_ROLLOUT_ACTIVE) {
        PsRollout_GetDaemon(&round->rollout, daemon)->free_slots = n;
    }
}

/* ---- Messages --------------------------------------------------------- */

Ps__RolloutGrant *
PsRolloutRounds_MakeGrant(const ps_rollout_round_t *round,
                          const ps_name_t *daemon, int64_t now_ms)
{
    if (!round || round->phase != PS_ROLLOUT_ACTIVE) {
        return NULL;
    }
    const ps_rollout_t *rollout = &round->rollout;
    const ps_rollout_daemon_t *known =
        g_hash_table_lookup(rollout->daemons, daemon);
    Ps__RolloutGrant *grant = g_new(Ps__RolloutGrant, 1);
    ps__rollout_grant__init(grant);
    grant->order = round->record.order;
    grant->target = round->target;
    grant->step = PsRollout_GetToldStep(rollout);
    grant->removed = round->is_removed;
    grant->limit = known && rollout->step < PS_ROLLOUT_BACK ? known->limit : 0;
    int64_t left_ms = PsRollout_GetDoneTime(rollout) - now_ms;
    grant->done_in_ms = (uint32_t)CLAMP(left_ms, 0, INT32_MAX);
    uint32_t *routes = g_new(uint32_t, PS_ROLLOUT_HELD_MAX);
    grant->n_held_routes = (size_t)PsRollout_ListHeldRoutes(rollout, routes);
    grant->held_routes = routes;
    return grant;
}

void
PsRolloutRounds_FreeGrant(Ps__RolloutGrant *grant)
{
    if (grant) {
        g_free(grant->held_routes);
        g_free(grant);
    }
}

// Returns how many requests run at servers of other versions than the target.
static uint32_t
count_running_old(const ps_scheduler_t *scheduler)
{
    uint32_t n = 0;
    for (guint i = 0; i < scheduler->backends->len; i++) {
        const ps_backend_t *backend = scheduler->backends->pdata[i];
        if (backend->version != scheduler->rollout.target) {
            n += (uint32_t)MAX(backend->running, 0);
        }
    }
    return n;
}

static Ps__RolloutAnswer *
make_answer(const ps_rollout_answer_t *answer)
{
    Ps__RolloutAnswer *message = g_new(Ps__RolloutAnswer, 1);
    ps__rollout_answer__init(message);
    message->server = answer->server;
    message->route = answer->route;
    message->sample = answer->sample;
    message->bucket = answer->bucket;
    message->target = answer->is_target;
    return message;
}

Ps__RolloutUse *
PsRolloutRounds_MakeUse(ps_scheduler_t *scheduler, const ps_name_t *allocator)
{
    ps_rollout_use_t *use = &scheduler->rollout;
    // The identities that allocators give have the highest bit set.
    if (use->order >> 63 == 0) {
        return NULL;
    }
    uint64_t hash = XXH64(allocator->data, allocator->len, 0);
    if (use->reported_to != hash) {
        use->reported_to = hash;
        use->next_report = use->first_answer;
    }
    Ps__RolloutUse *message = g_new(Ps__RolloutUse, 1);
    ps__rollout_use__init(message);
    message->order = use->order;
    message->arrived = use->arrived;
    message->sent = use->sent;
    message->step = use->step;
    message->running_old = count_running_old(scheduler);
    message->first_answer = use->next_report;
    uint64_t end = use->first_answer + use->answers->len;
    size_t n = (size_t)MIN(end - use->next_report, ANSWERS_PER_REPORT);
    message->answers = g_new0(Ps__RolloutAnswer *, n + 1);
    for (size_t i = 0; i < n; i++) {
        guint at = (guint)(use->next_report++ - use->first_answer);
        message->answers[i] =
            make_answer(&g_array_index(use->answers, ps_rollout_answer_t, at));
    }
    message->n_answers = n;
    return message;
}

void
PsRolloutRounds_FreeUse(Ps__RolloutUse *use)
{
    if (use) {
        for (size_t i = 0; i < use->n_answers; i++) {
            g_free(use->answers[i]);
        }
        g_free(use->answers);
        g_free(use);
    }
}

void
PsRolloutRounds_ApplyGrant(ps_scheduler_t *scheduler,
                           const Ps__RolloutGrant *grant, int64_t ttl_ms,
                           int64_t now_ms)
{
    ps_rollout_use_t *use = &scheduler->rollout;
    if (!grant || !use->is_on || grant->order >> 63 == 0 ||
        grant->step > PS_ROLLOUT_BACK) {
        return;
    }
    // An allocator that has not read the final status yet.
    bool is_outdated = use->order != 0 && use->order >> 63 == 0 &&
                       use->target == grant->target &&
                       use->step >= PS_ROLLOUT_DONE &&
                       grant->step < PS_ROLLOUT_DONE;
    if (is_outdated) {
        return;
    }
    PsRolloutUse_SetOrder(use, grant->order, grant->target,
                          (ps_rollout_step_t)grant->step);
    if (grant->removed) {
        PsRolloutUse_HandleRemoval(use);
    }
    PsRolloutUse_SetLimit(use, grant->limit, now_ms + ttl_ms);
    use->done_ms = now_ms + (int64_t)grant->done_in_ms;
    use->n_held_routes = (int)MIN(grant->n_held_routes, PS_ROLLOUT_HELD_MAX);
    for (int i = 0; i < use->n_held_routes; i++) {
        use->held_routes[i] = grant->held_routes[i];
    }
}

void
PsRolloutRounds_UpdateVersions(ps_scheduler_t *scheduler, int64_t now_ms)
{
    if (!scheduler->rollout.is_on) {
        return;
    }
    uint64_t versions[PS_ROLLOUT_VERSIONS_MAX];
    int n = 0;
    for (guint i = 0; i < scheduler->backends->len; i++) {
        const ps_backend_t *backend = scheduler->backends->pdata[i];
        bool is_listed = false;
        for (int k = 0; k < n; k++) {
            is_listed |= versions[k] == backend->version;
        }
        if (takes_work(backend) && !is_listed && n < PS_ROLLOUT_VERSIONS_MAX) {
            versions[n++] = backend->version;
        }
    }
    PsRolloutUse_SetVersions(&scheduler->rollout, versions, n, now_ms);
}

void
PsRolloutRounds_PrintMetrics(const ps_rollout_round_t *round, ps_buf_t *out)
{
    if (!round || round->phase != PS_ROLLOUT_ACTIVE) {
        return;
    }
    const ps_rollout_t *rollout = &round->rollout;
    const struct {
        const char *name;
        double value;
    } gauges[] = {{"step", rollout->step},
                  {"arrived", (double)PsRollout_CountArrived(rollout)},
                  {"sent", (double)PsRollout_CountSent(rollout)},
                  {"answers", (double)rollout->evidence.answers},
                  {"bad_answers", (double)rollout->evidence.bad_answers},
                  {"evidence", rollout->evidence.highest}};
    char *label = g_strescape(round->object.service.data, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(gauges); i++) {
        PsBuf_AppendFormat(out, "pearstair_rollout_%s{service=\"%s\"} %.17g\n",
                           gauges[i].name, label, gauges[i].value);
    }
    g_free(label);
}
