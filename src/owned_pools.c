/* owned_pools.c - Claims pools, runs their owners and carries out ledgers. */
#include "owned_pools.h"

#include <string.h>
#include <time.h>

#include "counters.h"
#include "daemon.h"
#include "log.h"
#include "wire.h"

#define RECOVER_MS 1500     /* longest recovery round */
#define LEDGER_WAIT_MS 1500 /* a grant waits this long for the ledger */
#define CLAIM_STEP_MS 700   /* wait per rank before a claim */
#define POLL_EVERY_MS 1000  /* between load reads of one server */
#define POLL_TIMEOUT_MS 900 /* for one load read */

/* ---- Types ------------------------------------------------------------ */

typedef struct claim {
    ps_owned_pools_t *hosting;
    ps_name_t pool;
    uint64_t epoch;
} claim_t;

typedef struct load_poll {
    ps_transfer_t transfer;
    ps_owned_pool_t *hosted;
    ps_name_t server;
    GList link;
} load_poll_t;

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
daemon_of(const ps_owner_t *owner)
{
    const ps_owned_pool_t *hosted = owner->user;
    return hosted->owned_pools->daemon;
}

static void
log_answer(const ps_owner_t *owner, const ps_answer_t *answer)
{
    if (answer->verdict == PS_VERDICT_REFUSE) {
        refusals_total.value++;
        PsLog_Info("place", "Refused %s in pool %s: %s, ran %s, %s.",
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
    PsWire_SendAnswer(&daemon_of(owner)->peers, entry, answer);
}

static void
on_cancel(ps_owner_t *owner, const ps_name_t *entry, const ps_name_t *ticket,
          const char *reason)
{
    preempts_total.value++;
    PsLog_Info("place", "Takes %s of pool %s back: %s.", ticket->data,
               owner->name.data, reason);
    PsWire_SendCancel(&daemon_of(owner)->peers, entry, &owner->name,
                      owner->epoch, ticket, reason);
}

static void
on_ask_dispatches(ps_owner_t *owner, const ps_name_t *member)
{
    PsWire_SendRecoverAsk(&daemon_of(owner)->peers, member, &owner->name,
                          owner->epoch);
}

static void on_ask_streams(ps_owner_t *owner,
                           const ps_server_config_t *server);

static const ps_owner_events_t owner_events = {
    on_answer, on_cancel, on_ask_dispatches, on_ask_streams};

/* ---- Ledger ----------------------------------------------------------- */

static void free_hosted(ps_owned_pool_t *hosted);

static void
on_ledger_done(void *user, const ps_platform_result_t *result)
{
    ps_owned_pool_t *hosted = user;
    hosted->is_ledger_busy = false;
    if (hosted->is_stopped) {
        free_hosted(hosted);
        return;
    }
    ps_ledger_object_t *objects =
        g_new0(ps_ledger_object_t, (gsize)result->n_objects + 1);
    for (int i = 0; i < result->n_objects; i++) {
        objects[i] = (ps_ledger_object_t){result->objects[i].key,
                                          result->objects[i].version,
                                          result->objects[i].value};
    }
    PsLedger_HandleOpResult(&hosted->owner.ledger, result->status,
                            result->version, objects, result->n_objects,
                            PsDaemon_Now());
    g_free(objects);
    hosted->owned_pools->is_dirty = true;
}

static void
start_ledger_op(ps_owned_pool_t *hosted, int64_t now_ms)
{
    if (hosted->is_ledger_busy || !hosted->owner.has_ledger) {
        return;
    }
    ps_platform_t *platform = &hosted->owned_pools->daemon->platform;
    const ps_ledger_op_t *op =
        PsLedger_StartOp(&hosted->owner.ledger, now_ms, (int64_t)time(NULL));
    switch (op->kind) {
    case PS_LEDGER_OP_NONE:
        return;
    case PS_LEDGER_OP_LIST:
        PsPlatform_List(platform, op->key.data, on_ledger_done, hosted);
        break;
    case PS_LEDGER_OP_PUT:
        PsPlatform_Put(platform, op->key.data, op->version,
                       PsStr_FromC(op->value), on_ledger_done, hosted);
        break;
    case PS_LEDGER_OP_DELETE:
        PsPlatform_Delete(platform, op->key.data, op->version, on_ledger_done,
                          hosted);
        break;
    }
    hosted->is_ledger_busy = true;
}

/* ---- Load reads ------------------------------------------------------- */

static void
free_poll(load_poll_t *poll)
{
    g_queue_unlink(&poll->hosted->polls, &poll->link);
    PsTransfer_Finish(&poll->transfer);
    g_free(poll);
}

// Takes cache events in; a gap in their numbers clears what was believed.
static void
take_cache_events(ps_owned_pool_t *hosted, ps_server_t *server,
                  const json_t *events)
{
    guint64 *after =
        &hosted->last_cache_seq[server - hosted->owner.pool.servers];
    for (size_t i = 0; i < json_array_size(events); i++) {
        const json_t *event = json_array_get(events, i);
        guint64 seq =
            (guint64)json_integer_value(json_object_get(event, "seq"));
        const char *block =
            json_string_value(json_object_get(event, "evicted"));
        if (*after > 0 && seq != *after + 1) {
            PsPrefixCache_Clear(&server->prefix_cache);
        }
        *after = seq;
        if (block) {
            PsPrefixCache_Remove(&server->prefix_cache,
                                 g_ascii_strtoull(block, NULL, 16));
        }
    }
}

// Reads a JSON answer; NULL when there is none.
static json_t *
read_answer(const ps_transfer_t *transfer, ps_transfer_result_t result)
{
    if (result != PS_TRANSFER_COMPLETE || transfer->status != 200 ||
        transfer->body.len == 0) {
        return NULL;
    }
    return json_loadb(transfer->body.data, transfer->body.len, 0, NULL);
}

static void
on_poll_done(ps_transfer_t *transfer, ps_transfer_result_t result)
{
    load_poll_t *poll = transfer->user;
    ps_owned_pool_t *hosted = poll->hosted;
    json_t *root = read_answer(transfer, result);
    ps_server_t *server = PsPool_GetServer(&hosted->owner.pool, &poll->server);
    json_t *running = json_object_get(root, "running");
    if (server && json_is_integer(running)) {
        int waiting =
            (int)json_integer_value(json_object_get(root, "waiting"));
        PsPool_HandleLoadReport(&hosted->owner.pool, &poll->server,
                                (int)json_integer_value(running), waiting,
                                PsDaemon_Now());
        take_cache_events(hosted, server,
                          json_object_get(root, "cache_events"));
    }
    json_decref(root);
    free_poll(poll);
}

static const ps_transfer_events_t poll_events = {.done = on_poll_done};

static load_poll_t *
new_poll(ps_owned_pool_t *hosted, const ps_name_t *server,
         const ps_transfer_events_t *events)
{
    load_poll_t *poll = g_new0(load_poll_t, 1);
    poll->hosted = hosted;
    poll->server = *server;
    poll->link.data = poll;
    g_queue_push_tail_link(&hosted->polls, &poll->link);
    PsTransfer_Init(&poll->transfer, events, poll);
    return poll;
}

static void
start_poll(ps_owned_pool_t *hosted, const ps_server_t *server)
{
    load_poll_t *poll = new_poll(hosted, &server->config.name, &poll_events);
    guint64 after =
        hosted->last_cache_seq[server - hosted->owner.pool.servers];
    char *url = g_strdup_printf("http://%s/v1/load?after=%" G_GUINT64_FORMAT,
                                server->config.address.data, after);
    PsTransfer_Start(&hosted->owned_pools->daemon->client, &poll->transfer,
                     "GET", url, PsStr_FromC(NULL), POLL_TIMEOUT_MS, false);
    g_free(url);
}

static void
poll_servers(ps_owned_pool_t *hosted, int64_t now_ms)
{
    const ps_pool_t *pool = &hosted->owner.pool;
    if (!pool->is_model || hosted->polls.length > 0 ||
        now_ms - hosted->polled_ms < POLL_EVERY_MS) {
        return;
    }
    hosted->polled_ms = now_ms;
    for (int i = 0; i < pool->n_servers; i++) {
        if (pool->servers[i].is_listed &&
            pool->servers[i].config.state != PS_SERVER_STOPPED) {
            start_poll(hosted, &pool->servers[i]);
        }
    }
}

/* ---- Streams of engines, for recoveries ------------------------------- */

static ps_dispatch_t *
read_streams(const json_t *list, const ps_name_t *server, int *n)
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

static void
on_streams_done(ps_transfer_t *transfer, ps_transfer_result_t result)
{
    load_poll_t *poll = transfer->user;
    ps_owned_pool_t *hosted = poll->hosted;
    json_t *root = read_answer(transfer, result);
    if (root || result != PS_TRANSFER_INCOMPLETE) {
        int n;
        ps_dispatch_t *dispatches =
            read_streams(json_object_get(root, "streams"), &poll->server, &n);
        PsOwner_HandleRecoveryAnswer(&hosted->owner, &poll->server, dispatches,
                                     n, PsDaemon_Now());
        g_free(dispatches);
    }
    json_decref(root);
    hosted->owned_pools->is_dirty = true;
    free_poll(poll);
}

static const ps_transfer_events_t streams_events = {.done = on_streams_done};

static void
on_ask_streams(ps_owner_t *owner, const ps_server_config_t *server)
{
    ps_owned_pool_t *hosted = owner->user;
    load_poll_t *poll = new_poll(hosted, &server->name, &streams_events);
    char *url = g_strdup_printf("http://%s/v1/streams", server->address.data);
    PsTransfer_Start(&hosted->owned_pools->daemon->client, &poll->transfer,
                     "GET", url, PsStr_FromC(NULL), RECOVER_MS, false);
    g_free(url);
}

/* ---- Hosted pools ----------------------------------------------------- */

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
free_hosted(ps_owned_pool_t *hosted)
{
    GList *next;
    for (GList *l = hosted->polls.head; l; l = next) {
        next = l->next;
        load_poll_t *poll = l->data;
        PsTransfer_Cancel(&hosted->owned_pools->daemon->client,
                          &poll->transfer);
        free_poll(poll);
    }
    PsOwner_Finish(&hosted->owner);
    g_free(hosted);
}

static void
start_hosting(ps_owned_pools_t *hosting, const ps_name_t *pool, uint64_t epoch)
{
    ps_daemon_t *daemon = hosting->daemon;
    ps_owned_pool_t *hosted = g_new0(ps_owned_pool_t, 1);
    hosted->owned_pools = hosting;
    g_queue_init(&hosted->polls);
    guint max = daemon->membership.members.all->len + 1;
    ps_name_t *names = g_new0(ps_name_t, max + 1);
    int n = list_live_members(daemon, names, (int)max);
    ps_owner_options_t options = {
        .recovery_timeout_ms = RECOVER_MS,
        .id_window_ms = daemon->settings.id_window_ms,
        .ledger_batch_ms = daemon->settings.ledger_batch_ms,
        .ledger_timeout_ms = LEDGER_WAIT_MS};
    PsOwner_Init(&hosted->owner, &owner_events, &options,
                 &daemon->settings.name, pool, epoch, hosted,
                 &daemon->cluster.config, names, n, PsDaemon_Now());
    g_free(names);
    g_hash_table_insert(hosting->by_name, &hosted->owner.name, hosted);
    claims_total.value++;
    PsLog_Info("owner", "Owns pool %s from epoch %llu on, asks %d members.",
               pool->data, (unsigned long long)epoch, n);
}

static void
stop_hosting(ps_owned_pools_t *hosting, ps_owned_pool_t *hosted)
{
    PsLog_Info("owner", "Owns pool %s no longer, epoch %llu.",
               hosted->owner.name.data,
               (unsigned long long)hosted->owner.epoch);
    PsOwner_Stop(&hosted->owner);
    g_hash_table_remove(hosting->by_name, &hosted->owner.name);
    hosted->is_stopped = true;
    if (!hosted->is_ledger_busy) {
        free_hosted(hosted);
    }
}

static void
run_hosted(ps_owned_pool_t *hosted, int64_t now_ms)
{
    PsOwner_Run(&hosted->owner, now_ms);
    start_ledger_op(hosted, now_ms);
    poll_servers(hosted, now_ms);
}

/* ---- Claims ----------------------------------------------------------- */

static void
on_owner_read(void *user, const ps_platform_result_t *result)
{
    claim_t *claim = user;
    if (result->status == PS_OK && result->n_objects == 1) {
        PsClusterState_HandlePoolObject(&claim->hosting->daemon->cluster,
                                        &result->objects[0]);
    }
    g_hash_table_remove(claim->hosting->claiming, &claim->pool);
    g_free(claim);
}

static ps_name_t
pool_key(const ps_name_t *pool)
{
    return PsName_Format(PS_POOLS_PREFIX "%s", pool->data);
}

static void
on_claimed(void *user, const ps_platform_result_t *result)
{
    claim_t *claim = user;
    ps_owned_pools_t *hosting = claim->hosting;
    ps_daemon_t *daemon = hosting->daemon;
    if (result->status != PS_OK) {
        ps_name_t key = pool_key(&claim->pool);
        PsPlatform_Get(&daemon->platform, key.data, on_owner_read, claim);
        return;
    }
    const ps_owner_record_t *known =
        PsClusterState_GetOwner(&daemon->cluster, &claim->pool);
    bool is_newest = !known || known->epoch <= claim->epoch;
    if (is_newest && PsConfig_GetPool(&daemon->cluster.config, &claim->pool)) {
        start_hosting(hosting, &claim->pool, claim->epoch);
        PsClusterState_SetOwner(&daemon->cluster, &claim->pool,
                                &daemon->settings.name, claim->epoch,
                                result->version);
        PsDaemon_SendHeartbeat(daemon, PS_HEARTBEAT_ALL);
    }
    g_hash_table_remove(hosting->claiming, &claim->pool);
    g_free(claim);
}

static void
start_claim(ps_owned_pools_t *hosting, const ps_name_t *pool)
{
    ps_daemon_t *daemon = hosting->daemon;
    const ps_owner_record_t *known =
        PsClusterState_GetOwner(&daemon->cluster, pool);
    claim_t *claim = g_new0(claim_t, 1);
    claim->hosting = hosting;
    claim->pool = *pool;
    claim->epoch = known ? known->epoch + 1 : 1;
    g_hash_table_add(hosting->claiming, g_memdup2(pool, sizeof *pool));
    ps_name_t key = pool_key(pool);
    if (known && known->version == 0) {
        PsPlatform_Get(&daemon->platform, key.data, on_owner_read, claim);
        return;
    }
    char *text = g_strdup_printf("{\"owner\":\"%s\",\"epoch\":%llu}",
                                 daemon->settings.name.data,
                                 (unsigned long long)claim->epoch);
    PsPlatform_Put(&daemon->platform, key.data, known ? known->version : 0,
                   PsStr_FromC(text), on_claimed, claim);
    g_free(text);
}

static bool
has_live_owner(const ps_daemon_t *daemon, const ps_owner_record_t *known)
{
    if (!known || PsName_IsEqual(&known->owner, &daemon->settings.name)) {
        return false;
    }
    const ps_members_t *members = &daemon->membership.members;
    const ps_member_t *owner = PsMembers_Get(members, &known->owner);
    return owner && PsMembers_IsLive(members, owner) && !owner->is_leaving;
}

// Claims a pool that has been without a live owner for long enough for this
// daemon's rank.
static void
consider_claim(ps_owned_pools_t *hosting, const ps_name_t *pool,
               int64_t now_ms)
{
    ps_daemon_t *daemon = hosting->daemon;
    const ps_owner_record_t *known =
        PsClusterState_GetOwner(&daemon->cluster, pool);
    int64_t *since = g_hash_table_lookup(hosting->unowned_since, pool);
    if (has_live_owner(daemon, known)) {
        g_hash_table_remove(hosting->unowned_since, pool);
        return;
    }
    if (!since) {
        since = g_memdup2(&now_ms, sizeof now_ms);
        g_hash_table_insert(hosting->unowned_since,
                            g_memdup2(pool, sizeof *pool), since);
    }
    bool was_own =
        known && PsName_IsEqual(&known->owner, &daemon->settings.name);
    int rank = PsMembers_GetRank(&daemon->membership.members, pool,
                                 &daemon->settings.name);
    if (rank < 0 || daemon->is_shutting_down ||
        g_hash_table_contains(hosting->claiming, pool)) {
        return;
    }
    int64_t wait_ms = was_own ? 0 : (int64_t)rank * CLAIM_STEP_MS;
    if (now_ms - *since >= wait_ms) {
        start_claim(hosting, pool);
    }
}

static void
run_pool(ps_owned_pools_t *hosting, const ps_name_t *pool, int64_t now_ms)
{
    ps_owned_pool_t *hosted = g_hash_table_lookup(hosting->by_name, pool);
    const ps_owner_record_t *known =
        PsClusterState_GetOwner(&hosting->daemon->cluster, pool);
    if (hosted && ((known && known->epoch > hosted->owner.epoch) ||
                   hosted->owner.state == PS_OWNER_STOPPED)) {
        stop_hosting(hosting, hosted);
        hosted = NULL;
    }
    if (hosted) {
        run_hosted(hosted, now_ms);
    }
    else if (hosting->daemon->membership.members.listed_ms > 0) {
        consider_claim(hosting, pool, now_ms);
    }
}

/* ---- Frames ----------------------------------------------------------- */

static ps_owner_t *
owner_of(const ps_owned_pools_t *hosting, const char *pool)
{
    ps_name_t name = PsName_FromC(pool);
    return PsOwnedPools_Get(hosting, &name);
}

static void
take_ask(ps_owned_pools_t *hosting, const ps_name_t *from,
         const Ps__Ask *message, int64_t now_ms)
{
    ps_owner_t *owner = owner_of(hosting, message->pool);
    if (owner) {
        ps_grant_request_t ask = PsWire_ParseAsk(message, from, now_ms);
        PsOwner_HandleRequest(owner, &ask, now_ms);
    }
}

static void
take_done(ps_owned_pools_t *hosting, const ps_name_t *from,
          const Ps__Done *message, int64_t now_ms)
{
    ps_owner_t *owner = owner_of(hosting, message->pool);
    if (!owner || (owner->state != PS_OWNER_SERVING)) {
        return;
    }
    ps_name_t ticket = PsName_FromC(message->ticket);
    ps_name_t token = PsName_FromC(message->token);
    ps_name_t id = PsName_FromC(message->id);
    ps_dispatch_result_t end = PsWire_ParseDone(message);
    PsOwner_HandleDone(owner, &ticket, &token, &id, &end, now_ms);
    PsWire_SendDoneAck(&hosting->daemon->peers, from, message);
}

static void
take_withdraw(ps_owned_pools_t *hosting, const Ps__Withdraw *message)
{
    ps_owner_t *owner = owner_of(hosting, message->pool);
    if (owner) {
        ps_name_t ticket = PsName_FromC(message->ticket);
        ps_name_t id = PsName_FromC(message->id);
        PsOwner_HandleWithdraw(owner, &ticket, &id);
    }
}

static void
take_recovered(ps_owned_pools_t *hosting, const ps_name_t *from,
               const Ps__RecoverAnswer *message, int64_t now_ms)
{
    ps_owner_t *owner = owner_of(hosting, message->pool);
    if (owner && owner->epoch == message->epoch) {
        ps_dispatch_t *dispatches =
            PsWire_ParseRecoverAnswer(message, from, now_ms);
        PsOwner_HandleRecoveryAnswer(owner, from, dispatches,
                                     (int)message->n_dispatches, now_ms);
        g_free(dispatches);
    }
}

static void
take_progress(ps_owned_pools_t *hosting, const Ps__Progress *message,
              int64_t now_ms)
{
    ps_owner_t *owner = owner_of(hosting, message->pool);
    for (size_t i = 0; owner && i < message->n_streams; i++) {
        ps_name_t ticket = PsName_FromC(message->streams[i]->ticket);
        PsPool_AddProgress(&owner->pool, &ticket, message->streams[i]->tokens,
                           now_ms);
    }
}

/* ---- Public functions ------------------------------------------------- */

void
PsOwnedPools_Init(ps_owned_pools_t *hosting, ps_daemon_t *daemon)
{
    *hosting = (ps_owned_pools_t){.daemon = daemon};
    hosting->by_name = g_hash_table_new(PsName_Hash, PsName_EqualKeys);
    hosting->unowned_since =
        g_hash_table_new_full(PsName_Hash, PsName_EqualKeys, g_free, g_free);
    hosting->claiming =
        g_hash_table_new_full(PsName_Hash, PsName_EqualKeys, g_free, NULL);
    PsCounter_Register(&grants_total);
    PsCounter_Register(&refusals_total);
    PsCounter_Register(&preempts_total);
    PsCounter_Register(&claims_total);
}

void
PsOwnedPools_Finish(ps_owned_pools_t *hosting)
{
    GList *all = g_hash_table_get_values(hosting->by_name);
    g_list_free_full(all, (GDestroyNotify)free_hosted);
    g_hash_table_destroy(hosting->by_name);
    g_hash_table_destroy(hosting->unowned_since);
    g_hash_table_destroy(hosting->claiming);
}

ps_owner_t *
PsOwnedPools_Get(const ps_owned_pools_t *hosting, const ps_name_t *pool)
{
    ps_owned_pool_t *hosted = g_hash_table_lookup(hosting->by_name, pool);
    return hosted ? &hosted->owner : NULL;
}

void
PsOwnedPools_Configure(ps_owned_pools_t *hosting)
{
    const ps_config_t *config = &hosting->daemon->cluster.config;
    GList *all = g_hash_table_get_values(hosting->by_name);
    for (GList *l = all; l; l = l->next) {
        ps_owned_pool_t *hosted = l->data;
        if (PsConfig_GetPool(config, &hosted->owner.name)) {
            PsPool_Configure(&hosted->owner.pool, config, PsDaemon_Now());
        }
        else {
            stop_hosting(hosting, hosted);
        }
    }
    g_list_free(all);
}

void
PsOwnedPools_Run(ps_owned_pools_t *hosting, int64_t now_ms)
{
    const ps_config_t *config = &hosting->daemon->cluster.config;
    hosting->is_dirty = false;
    for (int i = 0; i < config->n_pools; i++) {
        run_pool(hosting, &config->pools[i].name, now_ms);
    }
}

void
PsOwnedPools_RemoveMember(ps_owned_pools_t *hosting, const ps_name_t *member,
                          int64_t now_ms)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, hosting->by_name);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ps_owned_pool_t *hosted = value;
        PsOwner_RemoveMember(&hosted->owner, member, now_ms);
    }
}

bool
PsOwnedPools_HandleFrame(ps_owned_pools_t *hosting, const ps_name_t *from,
                         const Ps__Frame *frame, int64_t now_ms)
{
    hosting->is_dirty = true;
    switch (frame->body_case) {
    case PS__FRAME__BODY_ASK:
        take_ask(hosting, from, frame->ask, now_ms);
        return true;
    case PS__FRAME__BODY_DONE:
        take_done(hosting, from, frame->done, now_ms);
        return true;
    case PS__FRAME__BODY_WITHDRAW:
        take_withdraw(hosting, frame->withdraw);
        return true;
    case PS__FRAME__BODY_RECOVER_ANSWER:
        take_recovered(hosting, from, frame->recover_answer, now_ms);
        return true;
    case PS__FRAME__BODY_PROGRESS:
        take_progress(hosting, frame->progress, now_ms);
        return true;
    default:
        return false;
    }
}
