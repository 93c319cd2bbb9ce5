/* owner.c - Retries, ledger and recovery of one pool. */
#include "owner.h"

#include <string.h>

#define IN_PROGRESS_RETRY_MS 1000 /* Retry-After of "in_progress" */
#define QUERY_INTERVAL_MS 250     /* between queries to the same members */
#define LEDGER_RETRY_MS 3000      /* Retry-After of "ledger_unavailable" */

/* ---- Types ------------------------------------------------------------ */

typedef struct pending_grant {
    ps_name_t ticket;
    ps_name_t id;
    uint64_t batch;   /* batch of the ledger that writes its intent */
    int64_t since_ms; /* time at which the pool granted the request */
} pending_grant_t;

/* ---- Answers ---------------------------------------------------------- */

// Tells whether the ledger is not ready or has failed for longer than a grant
// may wait.
static bool
is_ledger_down(const ps_owner_t *owner, int64_t now_ms)
{
    const ps_ledger_t *ledger = &owner->ledger;
    return ledger->state != PS_LEDGER_READY ||
           (ledger->failing_since_ms > 0 &&
            now_ms - ledger->failing_since_ms > owner->ledger_timeout_ms);
}

// Tells whether an intent has to be written before a grant. Idempotent
// requests are granted without one while the ledger cannot be written.
static bool
needs_ledger(const ps_owner_t *owner, const ps_grant_request_t *request,
             int64_t now_ms)
{
    return owner->has_ledger && !PsName_IsEmpty(&request->id) &&
           (!request->idempotent || !is_ledger_down(owner, now_ms));
}

static ps_answer_t
make_answer(const ps_owner_t *owner, const ps_grant_request_t *request,
            ps_verdict_t verdict, const char *reason)
{
    return (ps_answer_t){.pool = owner->name,
                         .epoch = owner->epoch,
                         .ticket = request->ticket,
                         .attempt = request->attempt,
                         .verdict = verdict,
                         .reason = PsName_FromC(reason)};
}

// Tells whether a request may have been dispatched by a member that has not
// answered since the change of owner. Non-idempotent requests would be in the
// ledger, if there is one.
static bool
may_have_run(const ps_owner_t *owner, const ps_grant_request_t *request)
{
    return !PsName_IsEmpty(&request->id) &&
           (!owner->has_ledger || request->idempotent) &&
           g_hash_table_size(owner->awaited_members) > 0;
}

// Returns what a refusal says about whether the request has run.
static ps_ran_t
get_ran(const ps_owner_t *owner, const ps_grant_request_t *request)
{
    return may_have_run(owner, request) ? PS_RAN_UNKNOWN : PS_RAN_NO;
}

static void
send_wait(ps_owner_t *owner, const ps_grant_request_t *request)
{
    ps_answer_t answer =
        make_answer(owner, request, PS_VERDICT_WAIT, "queued");
    owner->events->answer(owner, &request->entry, &answer);
}

static void
send_refusal(ps_owner_t *owner, const ps_grant_request_t *request,
             const ps_refusal_t *refusal, const char *reason)
{
    ps_answer_t answer =
        make_answer(owner, request, PS_VERDICT_REFUSE, reason);
    answer.code = PsName_FromC(refusal->code);
    answer.ran =
        refusal->ran == PS_RAN_NO ? get_ran(owner, request) : refusal->ran;
    answer.retry_after_ms = refusal->retry_after_ms;
    owner->events->answer(owner, &request->entry, &answer);
}

static void
refuse_request(ps_owner_t *owner, const ps_grant_request_t *request,
               const char *code, ps_ran_t ran, int64_t retry_after_ms,
               const char *reason)
{
    ps_refusal_t refusal = {code, ran, retry_after_ms};
    send_refusal(owner, request, &refusal, reason);
}

// Makes the token that names a dispatch at the server: pool, epoch and grant
// number, separated by dots. A pool's name has at most 40 bytes, so that the
// token is never cut at PS_NAME_MAX.
static ps_name_t
make_token(const ps_owner_t *owner, const ps_job_t *job)
{
    return PsName_Format("%.40s.%llu.%llu", owner->name.data,
                         (unsigned long long)owner->epoch,
                         (unsigned long long)job->grant_number);
}

// Sends a grant and notes in the record of its id where the request runs.
static void
send_grant(ps_owner_t *owner, const ps_job_t *job, const char *reason)
{
    const ps_server_t *server = &owner->pool.servers[job->server];
    ps_answer_t answer =
        make_answer(owner, &job->request, PS_VERDICT_GRANT, reason);
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

/* ---- Callbacks of the pool -------------------------------------------- */

// Sends a grant, or lets it wait until the ledger has stored its intent.
static void
on_grant(ps_pool_t *pool, ps_job_t *job, const char *reason)
{
    ps_owner_t *owner = pool->user;
    job->token = make_token(owner, job);
    if (!needs_ledger(owner, &job->request, job->granted_ms)) {
        send_grant(owner, job, reason);
        return;
    }
    pending_grant_t *grant = g_new0(pending_grant_t, 1);
    grant->ticket = job->request.ticket;
    grant->id = job->request.id;
    grant->batch = PsLedger_AddIntent(&owner->ledger, &job->request.id,
                                      &job->request.ticket);
    grant->since_ms = job->granted_ms;
    g_queue_push_tail(&owner->pending_grants, grant);
}

static void
on_refuse(ps_pool_t *pool, const ps_grant_request_t *request,
          const ps_refusal_t *refusal, const char *reason)
{
    ps_owner_t *owner = pool->user;
    PsIds_Remove(&owner->ids, &request->id);
    send_refusal(owner, request, refusal, reason);
}

static pending_grant_t *
find_pending_grant(const ps_owner_t *owner, const ps_name_t *ticket)
{
    for (GList *l = owner->pending_grants.head; l; l = l->next) {
        pending_grant_t *grant = l->data;
        if (PsName_IsEqual(&grant->ticket, ticket)) {
            return grant;
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

/* ---- Grants that wait for the ledger ---------------------------------- */

static void
remove_pending_grant(ps_owner_t *owner, pending_grant_t *grant)
{
    g_queue_remove(&owner->pending_grants, grant);
    g_free(grant);
}

// Refuses a request whose intent could not be written in time. Its grant was
// never sent, so it has not run.
static void
refuse_pending_grant(ps_owner_t *owner, pending_grant_t *grant, int64_t now_ms)
{
    ps_job_t *job = PsPool_GetJob(&owner->pool, &grant->ticket);
    ps_dispatch_result_t result = {.outcome = PS_OUTCOME_NOT_SENT};
    refuse_request(owner, &job->request, "ledger_unavailable", PS_RAN_NO,
                   LEDGER_RETRY_MS, "intent could not be written");
    PsIds_Remove(&owner->ids, &grant->id);
    PsLedger_ReleaseIntent(&owner->ledger, &grant->id);
    PsPool_EndDispatch(&owner->pool, &grant->ticket, &result, now_ms);
    remove_pending_grant(owner, grant);
}

// Sends the grants whose intents are stored, refuses those that have waited
// for longer than the ledger timeout, and drops those without a job.
static void
run_pending_grants(ps_owner_t *owner, int64_t now_ms)
{
    GList *next;
    for (GList *l = owner->pending_grants.head; l; l = next) {
        next = l->next;
        pending_grant_t *grant = l->data;
        ps_job_t *job = PsPool_GetJob(&owner->pool, &grant->ticket);
        if (!job) {
            remove_pending_grant(owner, grant);
        }
        else if (owner->ledger.durable_batch >= grant->batch) {
            send_grant(owner, job, "intent written");
            remove_pending_grant(owner, grant);
        }
        else if (now_ms - grant->since_ms > owner->ledger_timeout_ms) {
            refuse_pending_grant(owner, grant, now_ms);
        }
    }
}

/* ---- Grant requests --------------------------------------------------- */

// Tells the entry of a retry to read the stream of the earlier dispatch.
static void
send_resume(ps_owner_t *owner, const ps_id_record_t *record,
            const ps_grant_request_t *request)
{
    ps_answer_t answer = make_answer(owner, request, PS_VERDICT_RESUME,
                                     "its first entry has gone");
    answer.server = PsName_FromC(record->server);
    answer.address = PsName_FromC(record->address);
    answer.token = record->token;
    owner->events->answer(owner, &request->entry, &answer);
}

// Answers a request whose ticket is in the pool already. One that is being
// preempted gets no answer.
static void
answer_known_ticket(ps_owner_t *owner, ps_job_t *job,
                    const ps_grant_request_t *request)
{
    job->request.attempt = request->attempt;
    if (job->state == PS_JOB_QUEUED ||
        find_pending_grant(owner, &request->ticket)) {
        send_wait(owner, request);
    }
    else if (job->is_handed_over) {
        send_resume(owner, PsIds_Get(&owner->ids, &request->id), request);
    }
    else if (!job->is_preempted) {
        send_grant(owner, job, "granted before");
    }
}

// Hands the stream of an id over to the entry of a retry.
static void
hand_over_stream(ps_owner_t *owner, ps_id_record_t *record,
                 const ps_grant_request_t *request)
{
    PsPool_Reassign(&owner->pool, &record->ticket, &request->ticket,
                    &request->entry);
    record->ticket = request->ticket;
    record->entry = g_intern_string(request->entry.data);
    record->is_orphan = false;
    send_resume(owner, record, request);
}

// Tells whether the entry of a retry can read the answer of its id's earlier
// dispatch in a model pool: it is complete, or it runs for no other caller.
static bool
can_resume(const ps_owner_t *owner, const ps_id_record_t *record,
           const ps_grant_request_t *request)
{
    if (!owner->pool.is_model || !*record->address) {
        return false;
    }
    if (record->state == PS_ID_ENDED) {
        return record->outcome == PS_OUTCOME_COMPLETE;
    }
    return record->state == PS_ID_GRANTED &&
           (record->is_orphan ||
            PsName_IsEqual(&record->ticket, &request->ticket));
}

// Answers a request whose id is known, under another ticket or after its job
// has left the pool.
static void
answer_retry(ps_owner_t *owner, ps_id_record_t *record,
             const ps_grant_request_t *request)
{
    if (can_resume(owner, record, request)) {
        hand_over_stream(owner, record, request);
    }
    else if (record->state != PS_ID_ENDED) {
        refuse_request(owner, request, "in_progress", PS_RAN_UNKNOWN,
                       IN_PROGRESS_RETRY_MS, "its id is in progress");
    }
    else if (record->outcome == PS_OUTCOME_COMPLETE) {
        refuse_request(owner, request, "already_done", PS_RAN_YES, 0,
                       "its id has been answered");
    }
    else {
        refuse_request(owner, request, "outcome_unknown", PS_RAN_UNKNOWN, 0,
                       "its id was dispatched and its end is not known");
    }
}

// Tells whether the ledger has an intent of the id under another ticket that
// was not released: the request may have run.
static bool
has_other_intent(const ps_owner_t *owner, const ps_grant_request_t *request)
{
    if (!owner->has_ledger) {
        return false;
    }
    const ps_ledger_record_t *record =
        PsLedger_GetRecord(&owner->ledger, &request->id);
    return record && !record->is_released &&
           !PsName_IsEqual(&record->ticket, &request->ticket);
}

// Handles a grant request while serving. A ticket or id that is known is a
// retry; only a new one is passed to the pool.
static void
handle_request(ps_owner_t *owner, const ps_grant_request_t *request,
               int64_t now_ms)
{
    ps_job_t *job = PsPool_GetJob(&owner->pool, &request->ticket);
    if (job) {
        answer_known_ticket(owner, job, request);
        return;
    }
    ps_id_record_t *record = PsIds_Get(&owner->ids, &request->id);
    if (record) {
        answer_retry(owner, record, request);
    }
    else if (has_other_intent(owner, request)) {
        refuse_request(owner, request, "outcome_unknown", PS_RAN_UNKNOWN, 0,
                       "its id is in the ledger");
    }
    else if (needs_ledger(owner, request, now_ms) &&
             is_ledger_down(owner, now_ms)) {
        refuse_request(owner, request, "ledger_unavailable", PS_RAN_NO,
                       LEDGER_RETRY_MS, "the platform does not take intents");
    }
    else {
        PsIds_Add(&owner->ids, request);
        PsPool_Submit(&owner->pool, request, now_ms);
        if (PsPool_GetJob(&owner->pool, &request->ticket)) {
            g_queue_push_tail(
                &owner->unanswered,
                g_memdup2(&request->ticket, sizeof request->ticket));
        }
    }
}

// Sends WAIT for the requests since the last run that still wait for a server
// or for the ledger.
static void
send_waits(ps_owner_t *owner)
{
    ps_name_t *ticket;
    while ((ticket = g_queue_pop_head(&owner->unanswered))) {
        const ps_job_t *job = PsPool_GetJob(&owner->pool, ticket);
        if (job && (job->state == PS_JOB_QUEUED ||
                    find_pending_grant(owner, ticket))) {
            send_wait(owner, &job->request);
        }
        g_free(ticket);
    }
}

/* ---- Recovery --------------------------------------------------------- */

// Adds a reported dispatch to the pool, if it runs and has a ticket, and its
// id to the known ids. A granted or ended id is replaced only by such a
// dispatch.
static void
add_recovered_dispatch(ps_owner_t *owner, const ps_dispatch_t *dispatch,
                       int64_t now_ms)
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
    ps_id_record_t *known_record =
        PsIds_Get(&owner->ids, &dispatch->request.id);
    if (known_record && known_record->state != PS_ID_WAITING &&
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

// Ends the recovery and handles the requests that came during it.
static void
start_serving(ps_owner_t *owner, int64_t now_ms)
{
    owner->state = PS_OWNER_SERVING;
    ps_grant_request_t *request;
    while ((request = g_queue_pop_head(&owner->deferred_requests))) {
        handle_request(owner, request, now_ms);
        g_free(request);
    }
}

// Sends the recovery query to each member that has not answered.
static void
query_members(ps_owner_t *owner, int64_t now_ms)
{
    GHashTableIter iter;
    gpointer member;
    owner->last_query_ms = now_ms;
    g_hash_table_iter_init(&iter, owner->awaited_members);
    while (g_hash_table_iter_next(&iter, &member, NULL)) {
        owner->events->query_dispatches(owner, member);
    }
}

// Queries the servers of a model pool for their streams, which include those
// whose entry is not live. This comes after the queries to members: an entry
// that has answered one uses no more grants of an earlier owner.
static void
query_servers(ps_owner_t *owner, int64_t now_ms)
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

// Advances the recovery. When all members have answered or their time is over,
// the servers are queried. When the same holds for the servers and the ledger
// has been read, the owner starts to serve. Members that have not answered are
// queried again, also while serving.
static void
run_recovery(ps_owner_t *owner, int64_t now_ms)
{
    bool is_timed_out = now_ms >= owner->recovery_deadline_ms;
    bool is_ledger_read =
        !owner->has_ledger || owner->ledger.state != PS_LEDGER_LOADING;
    if (owner->state == PS_OWNER_QUERYING_MEMBERS &&
        (is_timed_out || g_hash_table_size(owner->awaited_members) == 0)) {
        query_servers(owner, now_ms);
        is_timed_out = false;
    }
    if (owner->state == PS_OWNER_QUERYING_SERVERS && is_ledger_read &&
        (is_timed_out || g_hash_table_size(owner->awaited_servers) == 0)) {
        start_serving(owner, now_ms);
    }
    if (g_hash_table_size(owner->awaited_members) > 0 &&
        now_ms - owner->last_query_ms >= QUERY_INTERVAL_MS) {
        query_members(owner, now_ms);
    }
}

/* ---- Removed members -------------------------------------------------- */

// Removes a lost member's requests from the queue.
static void
remove_waiting_requests(ps_owner_t *owner, const ps_name_t *member)
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

// Marks the dispatches of a lost member as orphans. They go on at their
// servers, and a retry with the same id can take them over.
static void
mark_orphans(ps_owner_t *owner, const ps_name_t *member)
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
    query_members(owner, now_ms);
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
PsOwner_HandleRequest(ps_owner_t *owner, const ps_grant_request_t *request,
                      int64_t now_ms)
{
    if (owner->state == PS_OWNER_SERVING) {
        handle_request(owner, request, now_ms);
    }
    else if (owner->state != PS_OWNER_STOPPED) {
        g_queue_push_tail(&owner->deferred_requests,
                          g_memdup2(request, sizeof *request));
        send_wait(owner, request);
    }
}

void
PsOwner_HandleWithdraw(ps_owner_t *owner, const ps_name_t *ticket,
                       const ps_name_t *id)
{
    for (GList *l = owner->deferred_requests.head; l; l = l->next) {
        ps_grant_request_t *request = l->data;
        if (PsName_IsEqual(&request->ticket, ticket)) {
            g_queue_delete_link(&owner->deferred_requests, l);
            g_free(request);
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
                   const ps_dispatch_result_t *result, int64_t now_ms)
{
    const ps_job_t *job = PsPool_GetJob(&owner->pool, ticket);
    if (job && !PsName_IsEqual(&job->token, token)) {
        return;
    }
    ps_id_record_t *record = PsIds_Get(&owner->ids, id);
    bool is_current = record && PsName_IsEqual(&record->ticket, ticket) &&
                      PsName_IsEqual(&record->token, token);
    bool was_sent = result->outcome != PS_OUTCOME_NOT_SENT &&
                    result->outcome != PS_OUTCOME_UNREACHABLE;
    pending_grant_t *grant = find_pending_grant(owner, ticket);
    if (grant) {
        remove_pending_grant(owner, grant);
    }
    // A request that was not sent, or that the server refused, has not run, so
    // a retry with its id may be dispatched.
    if (is_current && !was_sent) {
        PsLedger_ReleaseIntent(&owner->ledger, id);
        PsIds_Remove(&owner->ids, id);
    }
    else if (is_current && result->outcome == PS_OUTCOME_ORPHANED) {
        record->is_orphan = true;
    }
    else if (is_current && record->state != PS_ID_ENDED) {
        PsIds_SetEnded(record, result->outcome, now_ms);
    }
    PsPool_EndDispatch(&owner->pool, ticket, result, now_ms);
}

void
PsOwner_HandleRecoveryAnswer(ps_owner_t *owner, const ps_name_t *member,
                             const ps_dispatch_t *dispatches, int n_dispatches,
                             int64_t now_ms)
{
    for (int i = 0; i < n_dispatches; i++) {
        add_recovered_dispatch(owner, &dispatches[i], now_ms);
    }
    g_hash_table_remove(owner->awaited_members, member);
    g_hash_table_remove(owner->awaited_servers, member);
    run_recovery(owner, now_ms);
}

void
PsOwner_RemoveMember(ps_owner_t *owner, const ps_name_t *member,
                     int64_t now_ms)
{
    remove_waiting_requests(owner, member);
    mark_orphans(owner, member);
    g_hash_table_remove(owner->awaited_members, member);
    run_recovery(owner, now_ms);
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
    run_recovery(owner, now_ms);
    if (owner->state != PS_OWNER_SERVING) {
        return;
    }
    PsIds_Expire(&owner->ids, now_ms);
    run_pending_grants(owner, now_ms);
    PsPool_Run(&owner->pool, now_ms);
    send_waits(owner);
}

bool
PsOwner_IsToken(const ps_name_t *text)
{
    // Parsed from the end, since the pool's name may contain dots.
    const char *last_dot = strrchr(text->data, '.');
    if (!last_dot || last_dot[1] == '\0' ||
        strspn(last_dot + 1, "0123456789") != strlen(last_dot + 1)) {
        return false;
    }
    const char *digits = last_dot;
    while (digits > text->data && g_ascii_isdigit(digits[-1])) {
        digits--;
    }
    return digits < last_dot && digits - text->data >= 2 && digits[-1] == '.';
}
