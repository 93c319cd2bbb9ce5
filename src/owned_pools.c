/* owned_pools.c - Claims pools; runs owners, ledgers and load polls. */
#include "owned_pools.h"

#include <string.h>
#include <time.h>

#include "counters.h"
#include "daemon.h"
#include "log.h"
#include "wire.h"

#define RECOVERY_TIMEOUT_MS 1500 /* to wait for members, then for servers */
#define LEDGER_TIMEOUT_MS 1500   /* longest wait of a grant for the ledger */
#define CLAIM_STEP_MS 700        /* wait before a claim, times the rank */
#define POLL_INTERVAL_MS 1000    /* between load reads of a pool's servers */
#define POLL_TIMEOUT_MS 900      /* of one load read */
#define POLL_BODY_MAX ((size_t)4 * 1024 * 1024)

/* ---- Types ------------------------------------------------------------ */

typedef struct claim {
    ps_owned_pools_t *owned_pools;
    ps_name_t pool;
    uint64_t epoch;
} claim_t;

// A read of a backend server's load or of its streams.
typedef struct server_poll {
    ps_transfer_t transfer;
    ps_owned_pool_t *owned_pool;
    ps_name_t server;
    GList link;
} server_poll_t;

/* ---- Globals ---------------------------------------------------------- */

static ps_counter_t grants_total = {"pearstair_grants_total",
                                    "Grants given as a pool's owner.", NULL, 0,
                                    NULL};
static ps_counter_t refusals_total = {"pearstair_refusals_total",
                                      "Refusals given as a pool's owner.",
                                      NULL, 0, NULL};
static ps_counter_t preempts_total = {"pearstair_preemptions_total",
                                      "Grants taken back for a higher tier.",
                                      NULL, 0, NULL};
static ps_counter_t claims_total = {
    "pearstair_claims_total", "Pools claimed by this daemon.", NULL, 0, NULL};

/* ---- Owner events ----------------------------------------------------- */

static ps_daemon_t *
get_daemon(const ps_owner_t *owner)
{
    const ps_owned_pool_t *owned_pool = owner->user;
    return owned_pool->owned_pools->daemon;
}

// Logs an answer and counts it as a refusal or as a grant, which includes
// RESUME and answers that are sent again; WAIT is neither logged nor counted.
static void
log_answer(const ps_owner_t *owner, const ps_answer_t *answer)
{
    if (answer->verdict == PS_VERDICT_REFUSE) {
        refusals_total.value++;
        PsLog_Info("place",
                   "Refused %s in pool %s: code %s, ran %s, reason: %s.",
                   answer->ticket.data, owner->name.data, answer->code.data,
                   PsRan_Name(answer->ran), answer->reason.data);
    }
    else if (answer->verdict != PS_VERDICT_WAIT) {
        grants_total.value++;
        PsLog_Info("place", "Placed %s of pool %s on %s as %s: %s.",
                   answer->ticket.data, owner->name.data, answer->server.data,
                   answer->token.data, answer->reason.data);
    }
}

static void
on_answer(ps_owner_t *owner, const ps_name_t *entry, const ps_answer_t *answer)
{
    log_answer(owner, answer);
    PsWire_SendAnswer(&get_daemon(owner)->peers, entry, answer);
}

static void
on_cancel(ps_owner_t *owner, const ps_name_t *entry, const ps_name_t *ticket,
          const char *reason)
{
    preempts_total.value++;
    PsLog_Info("place", "Cancelling %s of pool %s: %s.", ticket->data,
               owner->name.data, reason);
    PsWire_SendCancel(&get_daemon(owner)->peers, entry, &owner->name,
                      owner->epoch, ticket, reason);
}

static void
on_query_dispatches(ps_owner_t *owner, const ps_name_t *member)
{
    PsWire_SendRecoverAsk(&get_daemon(owner)->peers, member, &owner->name,
                          owner->epoch);
}

static void on_query_streams(ps_owner_t *owner,
                             const ps_server_config_t *server);

static const ps_owner_events_t owner_events = {
    on_answer, on_cancel, on_query_dispatches, on_query_streams};

/* ---- Ledger ----------------------------------------------------------- */

static void free_owned_pool(ps_owned_pool_t *owned_pool);

// Passes the platform's answer to the ledger. A pool that is no longer owned
// was kept for this answer and is freed.
static void
on_ledger_done(void *user, const ps_platform_result_t *result)
{
    ps_owned_pool_t *owned_pool = user;
    owned_pool->is_ledger_busy = false;
    if (owned_pool->is_stopped) {
        free_owned_pool(owned_pool);
        return;
    }
    ps_ledger_object_t *objects =
        g_new0(ps_ledger_object_t, (gsize)result->n_objects + 1);
    for (int i = 0; i < result->n_objects; i++) {
        objects[i] = (ps_ledger_object_t){result->objects[i].key,
                                          result->objects[i].version,
                                          result->objects[i].value};
    }
    PsLedger_HandleOpResult(&owned_pool->owner.ledger, result->status,
                            result->version, objects, result->n_objects,
                            PsDaemon_GetMonotonicMs());
    g_free(objects);
    owned_pool->owned_pools->is_run_due = true;
}

static void
start_ledger_op(ps_owned_pool_t *owned_pool, int64_t now_ms)
{
    if (owned_pool->is_ledger_busy || !owned_pool->owner.has_ledger) {
        return;
    }
    ps_platform_t *platform = &owned_pool->owned_pools->daemon->platform;
    const ps_ledger_op_t *op = PsLedger_StartOp(&owned_pool->owner.ledger,
                                                now_ms, (int64_t)time(NULL));
    switch (op->kind) {
    case PS_LEDGER_OP_NONE:
        return;
    case PS_LEDGER_OP_LIST:
        PsPlatform_List(platform, op->key.data, on_ledger_done, owned_pool);
        break;
    case PS_LEDGER_OP_PUT:
        PsPlatform_Put(platform, op->key.data, op->version,
                       PsStr_FromC(op->value), on_ledger_done, owned_pool);
        break;
    case PS_LEDGER_OP_DELETE:
        PsPlatform_Delete(platform, op->key.data, op->version, on_ledger_done,
                          owned_pool);
        break;
    }
    owned_pool->is_ledger_busy = true;
}

/* ---- Polling servers' load -------------------------------------------- */

static void
free_poll(server_poll_t *poll)
{
    g_queue_unlink(&poll->owned_pool->polls, &poll->link);
    PsTransfer_Finish(&poll->transfer);
    g_free(poll);
}

// Handles a server's reports of evicted prefix blocks. After a gap in their
// sequence numbers the assumed cache content is cleared, since reports were
// missed.
static void
handle_cache_events(ps_owned_pool_t *owned_pool, ps_server_t *server,
                    const json_t *events)
{
    guint64 *last_seq =
        &owned_pool->last_cache_seq[server - owned_pool->owner.pool.servers];
    for (size_t i = 0; i < json_array_size(events); i++) {
        const json_t *event = json_array_get(events, i);
        guint64 seq =
            (guint64)json_integer_value(json_object_get(event, "seq"));
        const char *block =
            json_string_value(json_object_get(event, "evicted"));
        if (*last_seq > 0 && seq != *last_seq + 1) {
            PsPrefixCache_Clear(&server->prefix_cache);
        }
        *last_seq = seq;
        if (block) {
            PsPrefixCache_Remove(&server->prefix_cache,
                                 g_ascii_strtoull(block, NULL, 16));
        }
    }
}

// Returns the JSON of a complete answer with status 200, or NULL.
static json_t *
parse_answer(const ps_transfer_t *transfer, ps_transfer_result_t result)
{
    if (result != PS_TRANSFER_COMPLETE || transfer->status != 200 ||
        transfer->body.len == 0) {
        return NULL;
    }
    return json_loadb(transfer->body.data, transfer->body.len, 0, NULL);
}

// Handles the end of a load read; an answer that failed or is not valid has no
// effect.
static void
on_load_done(ps_transfer_t *transfer, ps_transfer_result_t result)
{
    server_poll_t *poll = transfer->user;
    ps_owned_pool_t *owned_pool = poll->owned_pool;
    json_t *root = parse_answer(transfer, result);
    ps_server_t *server =
        PsPool_GetServer(&owned_pool->owner.pool, &poll->server);
    json_t *running = json_object_get(root, "running");
    if (server && json_is_integer(running)) {
        int waiting =
            (int)json_integer_value(json_object_get(root, "waiting"));
        PsPool_HandleLoadReport(&owned_pool->owner.pool, &poll->server,
                                (int)json_integer_value(running), waiting,
                                PsDaemon_GetMonotonicMs());
        handle_cache_events(owned_pool, server,
                            json_object_get(root, "cache_events"));
    }
    json_decref(root);
    free_poll(poll);
}

static const ps_transfer_events_t load_events = {.done = on_load_done};

static server_poll_t *
new_poll(ps_owned_pool_t *owned_pool, const ps_name_t *server,
         const ps_transfer_events_t *events)
{
    server_poll_t *poll = g_new0(server_poll_t, 1);
    poll->owned_pool = owned_pool;
    poll->server = *server;
    poll->link.data = poll;
    g_queue_push_tail_link(&owned_pool->polls, &poll->link);
    PsTransfer_Init(&poll->transfer, events, poll);
    return poll;
}

// Sends a poll; @url is freed.
static void
send_poll(server_poll_t *poll, char *url, int64_t timeout_ms)
{
    ps_daemon_t *daemon = poll->owned_pool->owned_pools->daemon;
    ps_transfer_request_t request = {.method = "GET",
                                     .url = url,
                                     .timeout_ms = timeout_ms,
                                     .body_max = POLL_BODY_MAX};
    PsTransfer_StartRequest(&daemon->http_client, &poll->transfer, &request);
    g_free(url);
}

static void
start_load_poll(ps_owned_pool_t *owned_pool, const ps_server_t *server)
{
    server_poll_t *poll =
        new_poll(owned_pool, &server->config.name, &load_events);
    guint64 last_seq =
        owned_pool->last_cache_seq[server - owned_pool->owner.pool.servers];
    char *url = g_strdup_printf("http://%s/v1/load?after=%" G_GUINT64_FORMAT,
                                server->config.address.data, last_seq);
    send_poll(poll, url, POLL_TIMEOUT_MS);
}

// Starts to read the load of all servers of a model pool, once the previous
// reads have ended.
static void
poll_servers(ps_owned_pool_t *owned_pool, int64_t now_ms)
{
    const ps_pool_t *pool = &owned_pool->owner.pool;
    if (!pool->is_model || owned_pool->polls.length > 0 ||
        now_ms - owned_pool->last_poll_ms < POLL_INTERVAL_MS) {
        return;
    }
    owned_pool->last_poll_ms = now_ms;
    for (int i = 0; i < pool->n_servers; i++) {
        if (pool->servers[i].is_listed &&
            pool->servers[i].config.state != PS_SERVER_STOPPED) {
            start_load_poll(owned_pool, &pool->servers[i]);
        }
    }
}

/* ---- Reading servers' streams in a recovery --------------------------- */

// Parses a server's list of streams. A server knows only the id and the token
// of a request. A stream that has not ended is reported as orphaned: those
// that an entry reads were reported by the members, which are queried first.
static ps_dispatch_t *
parse_streams(const json_t *list, const ps_name_t *server, int *n)
{
    *n = (int)json_array_size(list);
    ps_dispatch_t *dispatches = g_new0(ps_dispatch_t, (gsize)*n + 1);
    for (int i = 0; i < *n; i++) {
        const json_t *item = json_array_get(list, (size_t)i);
        ps_dispatch_t *dispatch = &dispatches[i];
        dispatch->request.id =
            PsName_FromC(json_string_value(json_object_get(item, "id")));
        dispatch->request.idempotent = true;
        dispatch->server = *server;
        dispatch->token =
            PsName_FromC(json_string_value(json_object_get(item, "token")));
        dispatch->outcome = json_is_true(json_object_get(item, "ended"))
                                ? PS_OUTCOME_COMPLETE
                                : PS_OUTCOME_ORPHANED;
    }
    return dispatches;
}

// Reports the streams of a server to the recovery. A server that cannot be
// reached has none; one whose answer broke off stays awaited until the
// timeout.
static void
on_streams_done(ps_transfer_t *transfer, ps_transfer_result_t result)
{
    server_poll_t *poll = transfer->user;
    ps_owned_pool_t *owned_pool = poll->owned_pool;
    json_t *root = parse_answer(transfer, result);
    if (root || result != PS_TRANSFER_INCOMPLETE) {
        int n;
        ps_dispatch_t *dispatches =
            parse_streams(json_object_get(root, "streams"), &poll->server, &n);
        PsOwner_HandleRecoveryAnswer(&owned_pool->owner, &poll->server,
                                     dispatches, n, PsDaemon_GetMonotonicMs());
        g_free(dispatches);
    }
    json_decref(root);
    owned_pool->owned_pools->is_run_due = true;
    free_poll(poll);
}

static const ps_transfer_events_t streams_events = {.done = on_streams_done};

static void
on_query_streams(ps_owner_t *owner, const ps_server_config_t *server)
{
    ps_owned_pool_t *owned_pool = owner->user;
    server_poll_t *poll = new_poll(owned_pool, &server->name, &streams_events);
    char *url = g_strdup_printf("http://%s/v1/streams", server->address.data);
    send_poll(poll, url, RECOVERY_TIMEOUT_MS);
}

/* ---- Owned pools ------------------------------------------------------ */

// Lists the names of the live members: this daemon first, whether or not it
// counts as live, then the others. Returns their number.
static int
list_live_members(const ps_daemon_t *daemon, ps_name_t *names, int max)
{
    const GArray *all = daemon->membership.members.all;
    int n = 0;
    names[n++] = daemon->settings.name;
    for (guint i = 0; i < all->len && n < max; i++) {
        const ps_member_t *member = &g_array_index(all, ps_member_t, i);
        if (!PsName_IsEqual(&member->name, &daemon->settings.name) &&
            PsMembers_IsLive(&daemon->membership.members, member)) {
            names[n++] = member->name;
        }
    }
    return n;
}

static void
free_owned_pool(ps_owned_pool_t *owned_pool)
{
    GList *next;
    for (GList *l = owned_pool->polls.head; l; l = next) {
        next = l->next;
        server_poll_t *poll = l->data;
        PsTransfer_Cancel(&owned_pool->owned_pools->daemon->http_client,
                          &poll->transfer);
        free_poll(poll);
    }
    PsOwner_Finish(&owned_pool->owner);
    g_free(owned_pool);
}

static void
add_owned_pool(ps_owned_pools_t *owned_pools, const ps_name_t *pool,
               uint64_t epoch)
{
    ps_daemon_t *daemon = owned_pools->daemon;
    ps_owned_pool_t *owned_pool = g_new0(ps_owned_pool_t, 1);
    owned_pool->owned_pools = owned_pools;
    g_queue_init(&owned_pool->polls);
    guint max = daemon->membership.members.all->len + 1;
    ps_name_t *names = g_new0(ps_name_t, max + 1);
    int n = list_live_members(daemon, names, (int)max);
    ps_owner_options_t options = {
        .recovery_timeout_ms = RECOVERY_TIMEOUT_MS,
        .id_window_ms = daemon->settings.id_window_ms,
        .ledger_batch_ms = daemon->settings.ledger_batch_ms,
        .ledger_timeout_ms = LEDGER_TIMEOUT_MS};
    PsOwner_Init(&owned_pool->owner, &owner_events, &options,
                 &daemon->settings.name, pool, epoch, owned_pool,
                 &daemon->cluster.config, names, n, PsDaemon_GetMonotonicMs());
    g_free(names);
    g_hash_table_insert(owned_pools->by_name, &owned_pool->owner.name,
                        owned_pool);
    claims_total.value++;
    PsLog_Info("owner",
               "Claimed pool %s with epoch %llu; querying %d members.",
               pool->data, (unsigned long long)epoch, n);
}

// Stops owning a pool. While a ledger operation runs, its memory is kept for
// the answer.
static void
remove_owned_pool(ps_owned_pools_t *owned_pools, ps_owned_pool_t *owned_pool)
{
    PsLog_Info("owner",
               "This daemon is no longer the owner of pool %s, epoch %llu.",
               owned_pool->owner.name.data,
               (unsigned long long)owned_pool->owner.epoch);
    PsOwner_Stop(&owned_pool->owner);
    g_hash_table_remove(owned_pools->by_name, &owned_pool->owner.name);
    owned_pool->is_stopped = true;
    if (!owned_pool->is_ledger_busy) {
        free_owned_pool(owned_pool);
    }
}

static void
run_owned_pool(ps_owned_pool_t *owned_pool, int64_t now_ms)
{
    PsOwner_Run(&owned_pool->owner, now_ms);
    start_ledger_op(owned_pool, now_ms);
    poll_servers(owned_pool, now_ms);
}

/* ---- Claims ----------------------------------------------------------- */

// Ends a claim after the pool object was read instead of written. The next run
// claims the pool again if it still has no live owner.
static void
on_owner_read(void *user, const ps_platform_result_t *result)
{
    claim_t *claim = user;
    if (result->status == PS_OK && result->n_objects == 1) {
        PsClusterState_HandlePoolObject(&claim->owned_pools->daemon->cluster,
                                        &result->objects[0]);
    }
    g_hash_table_remove(claim->owned_pools->claiming, &claim->pool);
    g_free(claim);
}

static ps_name_t
pool_key(const ps_name_t *pool)
{
    return PsName_Format(PS_POOLS_PREFIX "%s", pool->data);
}

// Handles the result of a claim. The pool is owned unless a later owner has
// become known or the configuration no longer lists the pool.
static void
on_claimed(void *user, const ps_platform_result_t *result)
{
    claim_t *claim = user;
    ps_owned_pools_t *owned_pools = claim->owned_pools;
    ps_daemon_t *daemon = owned_pools->daemon;
    if (result->status != PS_OK) {
        ps_name_t key = pool_key(&claim->pool);
        PsPlatform_Get(&daemon->platform, key.data, on_owner_read, claim);
        return;
    }
    const ps_owner_record_t *record =
        PsClusterState_FindOwner(&daemon->cluster, &claim->pool);
    bool is_newest = !record || record->epoch <= claim->epoch;
    if (is_newest &&
        PsConfig_FindPool(&daemon->cluster.config, &claim->pool)) {
        add_owned_pool(owned_pools, &claim->pool, claim->epoch);
        PsClusterState_SetOwner(&daemon->cluster, &claim->pool,
                                &daemon->settings.name, claim->epoch,
                                result->version);
        PsDaemon_SendHeartbeat(daemon, PS_HEARTBEAT_ALL);
    }
    g_hash_table_remove(owned_pools->claiming, &claim->pool);
    g_free(claim);
}

// Claims a pool by writing this daemon as its owner, under the next epoch. The
// write fails if another daemon has written the pool object first.
static void
start_claim(ps_owned_pools_t *owned_pools, const ps_name_t *pool)
{
    ps_daemon_t *daemon = owned_pools->daemon;
    const ps_owner_record_t *record =
        PsClusterState_FindOwner(&daemon->cluster, pool);
    claim_t *claim = g_new0(claim_t, 1);
    claim->owned_pools = owned_pools;
    claim->pool = *pool;
    claim->epoch = record ? record->epoch + 1 : 1;
    g_hash_table_add(owned_pools->claiming, g_memdup2(pool, sizeof *pool));
    ps_name_t key = pool_key(pool);
    if (record && record->version == 0) {
        // The owner is known from a peer: the object's version has to be read.
        PsPlatform_Get(&daemon->platform, key.data, on_owner_read, claim);
        return;
    }
    char *text = g_strdup_printf("{\"owner\":\"%s\",\"epoch\":%llu}",
                                 daemon->settings.name.data,
                                 (unsigned long long)claim->epoch);
    PsPlatform_Put(&daemon->platform, key.data, record ? record->version : 0,
                   PsStr_FromC(text), on_claimed, claim);
    g_free(text);
}

static bool
has_live_owner(const ps_daemon_t *daemon, const ps_owner_record_t *record)
{
    if (!record || PsName_IsEqual(&record->owner, &daemon->settings.name)) {
        return false;
    }
    const ps_members_t *members = &daemon->membership.members;
    const ps_member_t *owner = PsMembers_Get(members, &record->owner);
    return owner && PsMembers_IsLive(members, owner) && !owner->is_leaving;
}

// Claims a pool that has had no live owner for a time that grows with this
// daemon's rank, so that the members do not all claim it at once. Its last
// known owner claims it without a wait.
static void
claim_if_due(ps_owned_pools_t *owned_pools, const ps_name_t *pool,
             int64_t now_ms)
{
    ps_daemon_t *daemon = owned_pools->daemon;
    const ps_owner_record_t *record =
        PsClusterState_FindOwner(&daemon->cluster, pool);
    int64_t *unowned_from_ms =
        g_hash_table_lookup(owned_pools->unowned_since, pool);
    if (has_live_owner(daemon, record)) {
        g_hash_table_remove(owned_pools->unowned_since, pool);
        return;
    }
    if (!unowned_from_ms) {
        unowned_from_ms = g_memdup2(&now_ms, sizeof now_ms);
        g_hash_table_insert(owned_pools->unowned_since,
                            g_memdup2(pool, sizeof *pool), unowned_from_ms);
    }
    bool was_owner =
        record && PsName_IsEqual(&record->owner, &daemon->settings.name);
    int rank = PsMembers_GetRank(&daemon->membership.members, pool,
                                 &daemon->settings.name);
    if (rank < 0 || daemon->is_shutting_down ||
        g_hash_table_contains(owned_pools->claiming, pool)) {
        return;
    }
    int64_t wait_ms = was_owner ? 0 : (int64_t)rank * CLAIM_STEP_MS;
    if (now_ms - *unowned_from_ms >= wait_ms) {
        start_claim(owned_pools, pool);
    }
}

// Runs a pool if this daemon owns it, else claims it if that is due. Without a
// list of members, nothing is known about other owners, so no pool is claimed.
static void
run_pool(ps_owned_pools_t *owned_pools, const ps_name_t *pool, int64_t now_ms)
{
    ps_owned_pool_t *owned_pool =
        g_hash_table_lookup(owned_pools->by_name, pool);
    const ps_owner_record_t *record =
        PsClusterState_FindOwner(&owned_pools->daemon->cluster, pool);
    if (owned_pool && ((record && record->epoch > owned_pool->owner.epoch) ||
                       owned_pool->owner.state == PS_OWNER_STOPPED)) {
        remove_owned_pool(owned_pools, owned_pool);
        owned_pool = NULL;
    }
    if (owned_pool) {
        run_owned_pool(owned_pool, now_ms);
    }
    else if (owned_pools->daemon->membership.members.listed_ms > 0) {
        claim_if_due(owned_pools, pool, now_ms);
    }
}

/* ---- Frames ----------------------------------------------------------- */

static ps_owner_t *
find_owner(const ps_owned_pools_t *owned_pools, const char *pool)
{
    ps_name_t name = PsName_FromC(pool);
    return PsOwnedPools_Get(owned_pools, &name);
}

static void
handle_grant_request(ps_owned_pools_t *owned_pools, const ps_name_t *from,
                     const Ps__Ask *message, int64_t now_ms)
{
    ps_owner_t *owner = find_owner(owned_pools, message->pool);
    if (owner) {
        ps_grant_request_t request = PsWire_ParseAsk(message, from, now_ms);
        PsOwner_HandleRequest(owner, &request, now_ms);
    }
}

// Handles the end of a dispatch. It is not acknowledged during a recovery, so
// that the entry sends it again later.
static void
handle_done(ps_owned_pools_t *owned_pools, const ps_name_t *from,
            const Ps__Done *message, int64_t now_ms)
{
    ps_owner_t *owner = find_owner(owned_pools, message->pool);
    if (!owner || (owner->state != PS_OWNER_SERVING)) {
        return;
    }
    ps_name_t ticket = PsName_FromC(message->ticket);
    ps_name_t token = PsName_FromC(message->token);
    ps_name_t id = PsName_FromC(message->id);
    ps_dispatch_result_t result = PsWire_ParseDone(message);
    PsOwner_HandleDone(owner, &ticket, &token, &id, &result, now_ms);
    PsWire_SendDoneAck(&owned_pools->daemon->peers, from, message);
}

static void
handle_withdraw(ps_owned_pools_t *owned_pools, const Ps__Withdraw *message)
{
    ps_owner_t *owner = find_owner(owned_pools, message->pool);
    if (owner) {
        ps_name_t ticket = PsName_FromC(message->ticket);
        ps_name_t id = PsName_FromC(message->id);
        PsOwner_HandleWithdraw(owner, &ticket, &id);
    }
}

// Handles a member's answer in a recovery; one to an earlier owner's query is
// ignored.
static void
handle_recover_answer(ps_owned_pools_t *owned_pools, const ps_name_t *from,
                      const Ps__RecoverAnswer *message, int64_t now_ms)
{
    ps_owner_t *owner = find_owner(owned_pools, message->pool);
    if (owner && owner->epoch == message->epoch) {
        ps_dispatch_t *dispatches =
            PsWire_ParseRecoverAnswer(message, from, now_ms);
        PsOwner_HandleRecoveryAnswer(owner, from, dispatches,
                                     (int)message->n_dispatches, now_ms);
        g_free(dispatches);
    }
}

static void
handle_progress(ps_owned_pools_t *owned_pools, const Ps__Progress *message,
                int64_t now_ms)
{
    ps_owner_t *owner = find_owner(owned_pools, message->pool);
    for (size_t i = 0; owner && i < message->n_streams; i++) {
        ps_name_t ticket = PsName_FromC(message->streams[i]->ticket);
        PsPool_AddProgress(&owner->pool, &ticket, message->streams[i]->tokens,
                           now_ms);
    }
}

/* ---- Public functions ------------------------------------------------- */

void
PsOwnedPools_Init(ps_owned_pools_t *owned_pools, ps_daemon_t *daemon)
{
    *owned_pools = (ps_owned_pools_t){.daemon = daemon};
    owned_pools->by_name = g_hash_table_new(PsName_Hash, PsName_EqualKeys);
    owned_pools->unowned_since =
        g_hash_table_new_full(PsName_Hash, PsName_EqualKeys, g_free, g_free);
    owned_pools->claiming =
        g_hash_table_new_full(PsName_Hash, PsName_EqualKeys, g_free, NULL);
    PsCounter_Register(&grants_total);
    PsCounter_Register(&refusals_total);
    PsCounter_Register(&preempts_total);
    PsCounter_Register(&claims_total);
}

void
PsOwnedPools_Finish(ps_owned_pools_t *owned_pools)
{
    GList *all = g_hash_table_get_values(owned_pools->by_name);
    g_list_free_full(all, (GDestroyNotify)free_owned_pool);
    g_hash_table_destroy(owned_pools->by_name);
    g_hash_table_destroy(owned_pools->unowned_since);
    g_hash_table_destroy(owned_pools->claiming);
}

ps_owner_t *
PsOwnedPools_Get(const ps_owned_pools_t *owned_pools, const ps_name_t *pool)
{
    ps_owned_pool_t *owned_pool =
        g_hash_table_lookup(owned_pools->by_name, pool);
    return owned_pool ? &owned_pool->owner : NULL;
}

void
PsOwnedPools_Configure(ps_owned_pools_t *owned_pools)
{
    const ps_config_t *config = &owned_pools->daemon->cluster.config;
    GList *all = g_hash_table_get_values(owned_pools->by_name);
    for (GList *l = all; l; l = l->next) {
        ps_owned_pool_t *owned_pool = l->data;
        if (PsConfig_FindPool(config, &owned_pool->owner.name)) {
            PsPool_Configure(&owned_pool->owner.pool, config,
                             PsDaemon_GetMonotonicMs());
        }
        else {
            remove_owned_pool(owned_pools, owned_pool);
        }
    }
    g_list_free(all);
}

void
PsOwnedPools_Run(ps_owned_pools_t *owned_pools, int64_t now_ms)
{
    const ps_config_t *config = &owned_pools->daemon->cluster.config;
    owned_pools->is_run_due = false;
    for (int i = 0; i < config->n_pools; i++) {
        run_pool(owned_pools, &config->pools[i].name, now_ms);
    }
}

void
PsOwnedPools_RemoveMember(ps_owned_pools_t *owned_pools,
                          const ps_name_t *member, int64_t now_ms)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, owned_pools->by_name);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ps_owned_pool_t *owned_pool = value;
        PsOwner_RemoveMember(&owned_pool->owner, member, now_ms);
    }
}

bool
PsOwnedPools_HandleFrame(ps_owned_pools_t *owned_pools, const ps_name_t *from,
                         const Ps__Frame *frame, int64_t now_ms)
{
    owned_pools->is_run_due = true;
    switch (frame->body_case) {
    case PS__FRAME__BODY_ASK:
        handle_grant_request(owned_pools, from, frame->ask, now_ms);
        return true;
    case PS__FRAME__BODY_DONE:
        handle_done(owned_pools, from, frame->done, now_ms);
        return true;
    case PS__FRAME__BODY_WITHDRAW:
        handle_withdraw(owned_pools, frame->withdraw);
        return true;
    case PS__FRAME__BODY_RECOVER_ANSWER:
        handle_recover_answer(owned_pools, from, frame->recover_answer,
                              now_ms);
        return true;
    case PS__FRAME__BODY_PROGRESS:
        handle_progress(owned_pools, frame->progress, now_ms);
        return true;
    default:
        return false;
    }
}
