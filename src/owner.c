/* owner.c - Ids, ledger and recovery around a pool's decisions. */
#include "owner.h"

#include <string.h>

#define IN_PROGRESS_RETRY_MS 1000 /* Retry-After of an id in progress */
#define RECOVER_AGAIN_MS 250      /* recovery questions are repeated */
#define LEDGER_RETRY_MS 3000      /* Retry-After without a ledger */

/* ---- Types ------------------------------------------------------------ */

typedef struct held_grant {
    ps_name_t ticket;
    ps_name_t id;
    uint64_t batch;
    int64_t since_ms;
} held_grant_t;

/* ---- Answers ---------------------------------------------------------- */

static bool
is_ledger_down(const ps_owner_t *owner, int64_t now_ms)
{
    const ps_ledger_t *ledger = &owner->ledger;
    return ledger->state != PS_LEDGER_READY ||
           (ledger->failing_since_ms > 0 &&
            now_ms - ledger->failing_since_ms > owner->ledger_timeout_ms);
}

// Tells whether an intent has to be written before a grant. Idempotent
// requests go on without one while the platform is away.
static bool
needs_ledger(const ps_owner_t *owner, const ps_grant_request_t *ask,
             int64_t now_ms)
{
    return owner->has_ledger && !PsName_IsEmpty(&ask->id) &&
           (!ask->idempotent || !is_ledger_down(owner, now_ms));
}

static ps_answer_t
new_answer(const ps_owner_t *owner, const ps_grant_request_t *ask,
           ps_verdict_t verdict, const char *reason)
{
    return (ps_answer_t){.pool = owner->name,
                         .epoch = owner->epoch,
                         .ticket = ask->ticket,
                         .attempt = ask->attempt,
                         .verdict = verdict,
                         .reason = PsName_FromC(reason)};
}

// Tells whether an id may have run through a member that has not been heard
// since the change of owner.
static bool
may_have_run(const ps_owner_t *owner, const ps_grant_request_t *ask)
{
    return !PsName_IsEmpty(&ask->id) &&
           (!owner->has_ledger || ask->idempotent) &&
           g_hash_table_size(owner->awaited_members) > 0;
}

static ps_ran_t
ran_of(const ps_owner_t *owner, const ps_grant_request_t *ask)
{
    return may_have_run(owner, ask) ? PS_RAN_UNKNOWN : PS_RAN_NO;
}

static void
send_wait(ps_owner_t *owner, const ps_grant_request_t *ask)
{
    ps_answer_t answer = new_answer(owner, ask, PS_VERDICT_WAIT, "queued");
    owner->events->answer(owner, &ask->entry, &answer);
}

static void
send_refusal(ps_owner_t *owner, const ps_grant_request_t *ask,
             const ps_refusal_t *refusal, const char *reason)
{
    ps_answer_t answer = new_answer(owner, ask, PS_VERDICT_REFUSE, reason);
    answer.code = PsName_FromC(refusal->code);
    answer.ran = refusal->ran == PS_RAN_NO ? ran_of(owner, ask) : refusal->ran;
    answer.retry_after_ms = refusal->retry_after_ms;
    owner->events->answer(owner, &ask->entry, &answer);
}

static void
refuse(ps_owner_t *owner, const ps_grant_request_t *ask, const char *code,
       ps_ran_t ran, int64_t retry_after_ms, const char *reason)
{
    ps_refusal_t refusal = {code, ran, retry_after_ms};
    send_refusal(owner, ask, &refusal, reason);
}

static ps_name_t
new_token(const ps_owner_t *owner, const ps_job_t *job)
{
    return PsName_Format("%.40s.%llu.%llu", owner->name.data,
                         (unsigned long long)owner->epoch,
                         (unsigned long long)job->grant_number);
}

static void
send_grant(ps_owner_t *owner, const ps_job_t *job, const char *reason)
{
    const ps_server_t *server = &owner->pool.servers[job->server];
    ps_answer_t answer =
        new_answer(owner, &job->request, PS_VERDICT_GRANT, reason);
    answer.server = server->config.name;
    answer.address = server->config.address;
    answer.token = job->token;
    ps_id_record_t *record = PsIds_Get(&owner->ids, &job->request.id);
    if (record) {
        record->state = PS_ID_GRANTED;
        record->server = g_intern_string(answer.server.data);
        record->address = g_intern_string(answer.address.data);
        record->token = answer.token;
    }
    owner->events->answer(owner, &job->request.entry, &answer);
}

/* ---- Events of the pool ----------------------------------------------- */

static void
on_grant(ps_pool_t *pool, ps_job_t *job, const char *reason)
{
    ps_owner_t *owner = pool->user;
    job->token = new_token(owner, job);
    if (!needs_ledger(owner, &job->request, job->granted_ms)) {
        send_grant(owner, job, reason);
        return;
    }
    held_grant_t *held = g_new0(held_grant_t, 1);
    held->ticket = job->request.ticket;
    held->id = job->request.id;
    held->batch = PsLedger_AddIntent(&owner->ledger, &job->request.id,
                                     &job->request.ticket);
    held->since_ms = job->granted_ms;
    g_queue_push_tail(&owner->pending_grants, held);
}

static void
on_refuse(ps_pool_t *pool, const ps_grant_request_t *ask,
          const ps_refusal_t *refusal, const char *reason)
{
    ps_owner_t *owner = pool->user;
    PsIds_Remove(&owner->ids, &ask->id);
    send_refusal(owner, ask, refusal, reason);
}

static held_grant_t *
find_held(const ps_owner_t *owner, const ps_name_t *ticket)
{
    for (GList *l = owner->pending_grants.head; l; l = l->next) {
        held_grant_t *held = l->data;
        if (PsName_IsEqual(&held->ticket, ticket)) {
            return held;
        }
    }
    return NULL;
}

static void
on_cancel(ps_pool_t *pool, ps_job_t *job, const char *reason)
{
    ps_owner_t *owner = pool->user;
    owner->events->cancel(owner, &job->request.entry, &job->request.ticket,
                          reason);
}

static const ps_pool_events_t pool_events = {on_grant, on_refuse, on_cancel};

/* ---- Held grants ------------------------------------------------------ */

static void
drop_held(ps_owner_t *owner, held_grant_t *held)
{
    g_queue_remove(&owner->pending_grants, held);
    g_free(held);
}

// Gives a grant up whose intent could not be written: it was never sent.
static void
refuse_held(ps_owner_t *owner, held_grant_t *held, int64_t now_ms)
{
    ps_job_t *job = PsPool_GetJob(&owner->pool, &held->ticket);
    ps_dispatch_result_t end = {.outcome = PS_OUTCOME_NOT_SENT};
    refuse(owner, &job->request, "ledger_unavailable", PS_RAN_NO,
           LEDGER_RETRY_MS, "intent could not be written");
    PsIds_Remove(&owner->ids, &held->id);
    PsLedger_ReleaseIntent(&owner->ledger, &held->id);
    PsPool_EndDispatch(&owner->pool, &held->ticket, &end, now_ms);
    drop_held(owner, held);
}

static void
settle_held(ps_owner_t *owner, int64_t now_ms)
{
    GList *next;
    for (GList *l = owner->pending_grants.head; l; l = next) {
        next = l->next;
        held_grant_t *held = l->data;
        ps_job_t *job = PsPool_GetJob(&owner->pool, &held->ticket);
        if (!job) {
            drop_held(owner, held);
        }
        else if (owner->ledger.durable_batch >= held->batch) {
            send_grant(owner, job, "intent written");
            drop_held(owner, held);
        }
        else if (now_ms - held->since_ms > owner->ledger_timeout_ms) {
            refuse_held(owner, held, now_ms);
        }
    }
}

/* ---- Asks that came before -------------------------------------------- */

static void
send_resume(ps_owner_t *owner, const ps_id_record_t *record,
            const ps_grant_request_t *ask)
{
    ps_answer_t answer =
        new_answer(owner, ask, PS_VERDICT_RESUME, "its first entry has gone");
    answer.server = PsName_FromC(record->server);
    answer.address = PsName_FromC(record->address);
    answer.token = record->token;
    owner->events->answer(owner, &ask->entry, &answer);
}

// Answers an ask whose ticket is in the pool already.
static void
answer_again(ps_owner_t *owner, ps_job_t *job, const ps_grant_request_t *ask)
{
    job->request.attempt = ask->attempt;
    if (job->state == PS_JOB_QUEUED || find_held(owner, &ask->ticket)) {
        send_wait(owner, ask);
    }
    else if (job->is_handed_over) {
        send_resume(owner, PsIds_Get(&owner->ids, &ask->id), ask);
    }
    else if (!job->is_preempted) {
        send_grant(owner, job, "granted before");
    }
}

// Hands the stream of an id over to the entry that asks now.
static void
hand_over(ps_owner_t *owner, ps_id_record_t *record,
          const ps_grant_request_t *ask)
{
    PsPool_Reassign(&owner->pool, &record->ticket, &ask->ticket, &ask->entry);
    record->ticket = ask->ticket;
    record->entry = g_intern_string(ask->entry.data);
    record->is_orphan = false;
    send_resume(owner, record, ask);
}

static bool
can_resume(const ps_owner_t *owner, const ps_id_record_t *record,
           const ps_grant_request_t *ask)
{
    if (!owner->pool.is_model || !*record->address) {
        return false;
    }
    if (record->state == PS_ID_ENDED) {
        return record->outcome == PS_OUTCOME_COMPLETE;
    }
    return record->state == PS_ID_GRANTED &&
           (record->is_orphan ||
            PsName_IsEqual(&record->ticket, &ask->ticket));
}

// Decides on an id that another ticket holds.
static void
answer_resend(ps_owner_t *owner, ps_id_record_t *record,
              const ps_grant_request_t *ask)
{
    if (can_resume(owner, record, ask)) {
        hand_over(owner, record, ask);
    }
    else if (record->state != PS_ID_ENDED) {
        refuse(owner, ask, "in_progress", PS_RAN_UNKNOWN, IN_PROGRESS_RETRY_MS,
               "its id is in progress");
    }
    else if (record->outcome == PS_OUTCOME_COMPLETE) {
        refuse(owner, ask, "already_done", PS_RAN_YES, 0,
               "its id has been answered");
    }
    else {
        refuse(owner, ask, "outcome_unknown", PS_RAN_UNKNOWN, 0,
               "its id was dispatched and its end is not known");
    }
}

// Tells whether an earlier owner's ledger forbids a grant.
static bool
is_in_ledger(const ps_owner_t *owner, const ps_grant_request_t *ask)
{
    if (!owner->has_ledger) {
        return false;
    }
    const ps_ledger_record_t *record =
        PsLedger_GetRecord(&owner->ledger, &ask->id);
    return record && !record->is_released &&
           !PsName_IsEqual(&record->ticket, &ask->ticket);
}

static void
take_ask(ps_owner_t *owner, const ps_grant_request_t *ask, int64_t now_ms)
{
    ps_job_t *job = PsPool_GetJob(&owner->pool, &ask->ticket);
    if (job) {
        answer_again(owner, job, ask);
        return;
    }
    ps_id_record_t *record = PsIds_Get(&owner->ids, &ask->id);
    if (record) {
        answer_resend(owner, record, ask);
    }
    else if (is_in_ledger(owner, ask)) {
        refuse(owner, ask, "outcome_unknown", PS_RAN_UNKNOWN, 0,
               "its id is in the ledger");
    }
    else if (needs_ledger(owner, ask, now_ms) &&
             is_ledger_down(owner, now_ms)) {
        refuse(owner, ask, "ledger_unavailable", PS_RAN_NO, LEDGER_RETRY_MS,
               "the platform does not take intents");
    }
    else {
        PsIds_Add(&owner->ids, ask);
        PsPool_Submit(&owner->pool, ask, now_ms);
        if (PsPool_GetJob(&owner->pool, &ask->ticket)) {
            g_queue_push_tail(&owner->unanswered,
                              g_memdup2(&ask->ticket, sizeof ask->ticket));
        }
    }
}

// Tells the entries of requests that were not granted at once to wait.
static void
answer_waiting(ps_owner_t *owner)
{
    ps_name_t *ticket;
    while ((ticket = g_queue_pop_head(&owner->unanswered))) {
        const ps_job_t *job = PsPool_GetJob(&owner->pool, ticket);
        if (job && (job->state == PS_JOB_QUEUED || find_held(owner, ticket))) {
            send_wait(owner, &job->request);
        }
        g_free(ticket);
    }
}

/* ---- Recovery --------------------------------------------------------- */

static void
adopt(ps_owner_t *owner, const ps_dispatch_t *dispatch, int64_t now_ms)
{
    bool is_running = dispatch->outcome == PS_OUTCOME_RUNNING ||
                      dispatch->outcome == PS_OUTCOME_ORPHANED;
    if (is_running && !PsName_IsEmpty(&dispatch->request.ticket)) {
        ps_job_t *job =
            PsPool_AddRecovered(&owner->pool, &dispatch->request,
                                &dispatch->server, dispatch->age_ms, now_ms);
        if (job) {
            job->token = dispatch->token;
            job->is_orphan = dispatch->outcome == PS_OUTCOME_ORPHANED;
        }
    }
    ps_id_record_t *known = PsIds_Get(&owner->ids, &dispatch->request.id);
    if (known && known->state != PS_ID_WAITING &&
        (!is_running || PsName_IsEmpty(&dispatch->request.ticket))) {
        return;
    }
    ps_id_record_t *record = PsIds_Add(&owner->ids, &dispatch->request);
    if (!record) {
        return;
    }
    const ps_server_t *server =
        PsPool_GetServer(&owner->pool, &dispatch->server);
    record->state = PS_ID_GRANTED;
    record->server = g_intern_string(dispatch->server.data);
    record->token = dispatch->token;
    record->is_orphan = dispatch->outcome == PS_OUTCOME_ORPHANED;
    if (server) {
        record->address = g_intern_string(server->config.address.data);
    }
    if (!is_running) {
        PsIds_SetEnded(record, dispatch->outcome, now_ms);
    }
}

static void
start_serving(ps_owner_t *owner, int64_t now_ms)
{
    owner->state = PS_OWNER_SERVING;
    ps_grant_request_t *ask;
    while ((ask = g_queue_pop_head(&owner->deferred_requests))) {
        take_ask(owner, ask, now_ms);
        g_free(ask);
    }
}

static void
ask_members(ps_owner_t *owner, int64_t now_ms)
{
    GHashTableIter iter;
    gpointer member;
    owner->last_query_ms = now_ms;
    g_hash_table_iter_init(&iter, owner->awaited_members);
    while (g_hash_table_iter_next(&iter, &member, NULL)) {
        owner->events->query_dispatches(owner, member);
    }
}

// Model engines are read once no entry dispatches by older grants any more:
// they know of dispatches whose entry is gone.
static void
start_reading(ps_owner_t *owner, int64_t now_ms)
{
    owner->state = PS_OWNER_QUERYING_SERVERS;
    owner->recovery_deadline_ms = now_ms + owner->recovery_timeout_ms;
    for (int i = 0; owner->pool.is_model && i < owner->pool.n_servers; i++) {
        const ps_server_config_t *server = &owner->pool.servers[i].config;
        if (server->state != PS_SERVER_STOPPED) {
            g_hash_table_add(owner->awaited_servers,
                             g_memdup2(&server->name, sizeof server->name));
            owner->events->query_streams(owner, server);
        }
    }
}

static void
check_recovery(ps_owner_t *owner, int64_t now_ms)
{
    bool is_over = now_ms >= owner->recovery_deadline_ms;
    bool is_ledger_read =
        !owner->has_ledger || owner->ledger.state != PS_LEDGER_LOADING;
    if (owner->state == PS_OWNER_QUERYING_MEMBERS &&
        (is_over || g_hash_table_size(owner->awaited_members) == 0)) {
        start_reading(owner, now_ms);
        is_over = false;
    }
    if (owner->state == PS_OWNER_QUERYING_SERVERS && is_ledger_read &&
        (is_over || g_hash_table_size(owner->awaited_servers) == 0)) {
        start_serving(owner, now_ms);
    }
    if (g_hash_table_size(owner->awaited_members) > 0 &&
        now_ms - owner->last_query_ms >= RECOVER_AGAIN_MS) {
        ask_members(owner, now_ms);
    }
}

/* ---- Members that are gone -------------------------------------------- */

static void
withdraw_all_of(ps_owner_t *owner, const ps_name_t *member)
{
    for (int t = 0; t < PS_TIERS_MAX; t++) {
        GList *next;
        for (GList *l = owner->pool.queue.tiers[t].jobs.head; l; l = next) {
            next = l->next;
            ps_job_t *job = l->data;
            if (PsName_IsEqual(&job->request.entry, member)) {
                ps_name_t ticket = job->request.ticket;
                PsIds_Remove(&owner->ids, &job->request.id);
                PsPool_Withdraw(&owner->pool, &ticket);
            }
        }
    }
}

static void
orphan_all_of(ps_owner_t *owner, const ps_name_t *member)
{
    for (int i = 0; i < owner->pool.n_servers; i++) {
        for (GList *l = owner->pool.servers[i].running.head; l; l = l->next) {
            ps_job_t *job = l->data;
            if (!PsName_IsEqual(&job->request.entry, member)) {
                continue;
            }
            job->is_orphan = true;
            ps_id_record_t *record = PsIds_Get(&owner->ids, &job->request.id);
            if (record) {
                record->is_orphan = true;
            }
        }
    }
}

/* ---- Public functions ------------------------------------------------- */

void
PsOwner_Init(ps_owner_t *owner, const ps_owner_events_t *events,
             const ps_owner_options_t *options, const ps_name_t *self,
             const ps_name_t *pool, uint64_t epoch, void *user,
             const ps_config_t *config, const ps_name_t *members,
             int n_members, int64_t now_ms)
{
    *owner = (ps_owner_t){.events = events,
                          .user = user,
                          .name = *pool,
                          .self = *self,
                          .epoch = epoch,
                          .recovery_timeout_ms = options->recovery_timeout_ms,
                          .recovery_deadline_ms =
                              now_ms + options->recovery_timeout_ms,
                          .ledger_timeout_ms = options->ledger_timeout_ms};
    PsPool_Init(&owner->pool, &pool_events, pool);
    owner->pool.user = owner;
    PsPool_Configure(&owner->pool, config, now_ms);
    PsIds_Init(&owner->ids, options->id_window_ms);
    owner->has_ledger = !owner->pool.is_model;
    PsLedger_Init(&owner->ledger, pool, epoch, options->ledger_batch_ms,
                  options->id_window_ms / 1000);
    g_queue_init(&owner->deferred_requests);
    g_queue_init(&owner->pending_grants);
    g_queue_init(&owner->unanswered);
    owner->awaited_members =
        g_hash_table_new_full(PsName_Hash, PsName_EqualKeys, g_free, NULL);
    owner->awaited_servers =
        g_hash_table_new_full(PsName_Hash, PsName_EqualKeys, g_free, NULL);
    for (int i = 0; i < n_members; i++) {
        g_hash_table_add(owner->awaited_members,
                         g_memdup2(&members[i], sizeof members[i]));
    }
    ask_members(owner, now_ms);
}

void
PsOwner_Finish(ps_owner_t *owner)
{
    g_queue_clear_full(&owner->deferred_requests, g_free);
    g_queue_clear_full(&owner->pending_grants, g_free);
    g_queue_clear_full(&owner->unanswered, g_free);
    g_hash_table_destroy(owner->awaited_members);
    g_hash_table_destroy(owner->awaited_servers);
    PsLedger_Finish(&owner->ledger);
    PsIds_Finish(&owner->ids);
    PsPool_Finish(&owner->pool);
}

void
PsOwner_HandleRequest(ps_owner_t *owner, const ps_grant_request_t *ask,
                      int64_t now_ms)
{
    if (owner->state == PS_OWNER_SERVING) {
        take_ask(owner, ask, now_ms);
    }
    else if (owner->state != PS_OWNER_STOPPED) {
        g_queue_push_tail(&owner->deferred_requests,
                          g_memdup2(ask, sizeof *ask));
        send_wait(owner, ask);
    }
}

void
PsOwner_HandleWithdraw(ps_owner_t *owner, const ps_name_t *ticket,
                       const ps_name_t *id)
{
    for (GList *l = owner->deferred_requests.head; l; l = l->next) {
        ps_grant_request_t *ask = l->data;
        if (PsName_IsEqual(&ask->ticket, ticket)) {
            g_queue_delete_link(&owner->deferred_requests, l);
            g_free(ask);
            return;
        }
    }
    if (PsPool_Withdraw(&owner->pool, ticket)) {
        PsIds_Remove(&owner->ids, id);
    }
}

void
PsOwner_HandleDone(ps_owner_t *owner, const ps_name_t *ticket,
                   const ps_name_t *token, const ps_name_t *id,
                   const ps_dispatch_result_t *end, int64_t now_ms)
{
    const ps_job_t *job = PsPool_GetJob(&owner->pool, ticket);
    if (job && !PsName_IsEqual(&job->token, token)) {
        return;
    }
    ps_id_record_t *record = PsIds_Get(&owner->ids, id);
    bool holds = record && PsName_IsEqual(&record->ticket, ticket) &&
                 PsName_IsEqual(&record->token, token);
    bool was_sent = end->outcome != PS_OUTCOME_NOT_SENT &&
                    end->outcome != PS_OUTCOME_REFUSED;
    held_grant_t *held = find_held(owner, ticket);
    if (held) {
        drop_held(owner, held);
    }
    if (holds && !was_sent) {
        PsLedger_ReleaseIntent(&owner->ledger, id);
        PsIds_Remove(&owner->ids, id);
    }
    else if (holds && end->outcome == PS_OUTCOME_ORPHANED) {
        record->is_orphan = true;
    }
    else if (holds && record->state != PS_ID_ENDED) {
        PsIds_SetEnded(record, end->outcome, now_ms);
    }
    PsPool_EndDispatch(&owner->pool, ticket, end, now_ms);
}

void
PsOwner_HandleRecoveryAnswer(ps_owner_t *owner, const ps_name_t *member,
                             const ps_dispatch_t *dispatches, int n_dispatches,
                             int64_t now_ms)
{
    for (int i = 0; i < n_dispatches; i++) {
        adopt(owner, &dispatches[i], now_ms);
    }
    g_hash_table_remove(owner->awaited_members, member);
    g_hash_table_remove(owner->awaited_servers, member);
    check_recovery(owner, now_ms);
}

void
PsOwner_RemoveMember(ps_owner_t *owner, const ps_name_t *member,
                     int64_t now_ms)
{
    withdraw_all_of(owner, member);
    orphan_all_of(owner, member);
    g_hash_table_remove(owner->awaited_members, member);
    check_recovery(owner, now_ms);
}

void
PsOwner_Stop(ps_owner_t *owner)
{
    owner->state = PS_OWNER_STOPPED;
}

void
PsOwner_Run(ps_owner_t *owner, int64_t now_ms)
{
    if (owner->has_ledger && owner->ledger.state == PS_LEDGER_FENCED) {
        PsOwner_Stop(owner);
    }
    check_recovery(owner, now_ms);
    if (owner->state != PS_OWNER_SERVING) {
        return;
    }
    PsIds_Expire(&owner->ids, now_ms);
    settle_held(owner, now_ms);
    PsPool_Run(&owner->pool, now_ms);
    answer_waiting(owner);
}

bool
PsOwner_IsToken(const ps_name_t *text)
{
    const char *last = strrchr(text->data, '.');
    if (!last || last[1] == '\0' ||
        strspn(last + 1, "0123456789") != strlen(last + 1)) {
        return false;
    }
    const char *at = last;
    while (at > text->data && g_ascii_isdigit(at[-1])) {
        at--;
    }
    return at < last && at - text->data >= 2 && at[-1] == '.';
}
