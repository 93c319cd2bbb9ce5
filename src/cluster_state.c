/* cluster_state.c - List, watch and versions of configuration and owners. */
#include "cluster_state.h"

#include <string.h>

#include "daemon.h"
#include "log.h"

#define WATCH_WAIT_MS 20000 /* longest wait of one watch */
#define WATCH_PAUSE_S 0.1   /* between two watches */
#define RETRY_S 0.5         /* after a failed call */

/* ---- Owners ----------------------------------------------------------- */

void
PsClusterState_SetOwner(ps_cluster_state_t *keeper, const ps_name_t *pool,
                        const ps_name_t *owner, uint64_t epoch,
                        uint64_t version)
{
    ps_owner_record_t *known = g_hash_table_lookup(keeper->owners, pool);
    if (!known) {
        known = g_new0(ps_owner_record_t, 1);
        known->pool = *pool;
        g_hash_table_insert(keeper->owners, &known->pool, known);
    }
    if (epoch == known->epoch && version > known->version) {
        known->version = version;
    }
    if (epoch <= known->epoch) {
        return;
    }
    known->owner = *owner;
    known->epoch = epoch;
    known->version = version;
    PsLog_Info("owner", "pool %s is owned by %s, epoch %llu", pool->data,
               owner->data, (unsigned long long)epoch);
    PsDaemon_HandleOwnerChange(keeper->daemon, pool, epoch);
}

const ps_owner_record_t *
PsClusterState_GetOwner(const ps_cluster_state_t *keeper,
                        const ps_name_t *pool)
{
    return g_hash_table_lookup(keeper->owners, pool);
}

void
PsClusterState_HandlePoolObject(ps_cluster_state_t *keeper,
                                const ps_platform_object_t *object)
{
    json_t *root = json_loads(object->value, 0, NULL);
    const char *name = json_string_value(json_object_get(root, "owner"));
    if (!name) {
        PsLog_Warn("owner", "object %s is not valid", object->key.data);
        json_decref(root);
        return;
    }
    ps_name_t pool = PsName_FromC(object->key.data + strlen(PS_POOLS_PREFIX));
    ps_name_t owner = PsName_FromC(name);
    uint64_t epoch =
        (uint64_t)json_integer_value(json_object_get(root, "epoch"));
    json_decref(root);
    PsClusterState_SetOwner(keeper, &pool, &owner, epoch, object->version);
}

/* ---- Configuration ---------------------------------------------------- */

ps_status_t
PsClusterState_ApplyConfig(ps_cluster_state_t *keeper, ps_str_t text,
                           uint64_t version, const char *source)
{
    if (version <= keeper->config.version) {
        return PS_OK;
    }
    ps_config_t fresh;
    ps_status_t status = PsConfig_Parse(&fresh, text, version);
    if (status != PS_OK) {
        PsLog_Warn("config", "version %llu from %s is refused: %s",
                   (unsigned long long)version, source,
                   PsStatus_LastMessage());
        return status;
    }
    ps_config_t old = keeper->config;
    keeper->config = fresh;
    PsLog_Info("config", "version %llu from %s is in force",
               (unsigned long long)version, source);
    PsDaemon_HandleConfigChange(keeper->daemon);
    PsConfig_Finish(&old);
    return PS_OK;
}

/* ---- Platform --------------------------------------------------------- */

static void
schedule(ps_cluster_state_t *keeper, double seconds)
{
    struct ev_loop *loop = keeper->daemon->loop;
    ev_timer_stop(loop, &keeper->timer);
    ev_timer_set(&keeper->timer, seconds, 0.0);
    ev_timer_start(loop, &keeper->timer);
}

static void
take_object(ps_cluster_state_t *keeper, const ps_platform_object_t *object)
{
    if (!object->value) {
        return;
    }
    if (PsName_IsEqualC(&object->key, PS_CONFIG_KEY)) {
        PsClusterState_ApplyConfig(keeper, PsStr_FromC(object->value),
                                   object->version, "the platform");
    }
    else if (g_str_has_prefix(object->key.data, PS_POOLS_PREFIX)) {
        PsClusterState_HandlePoolObject(keeper, object);
    }
}

static void
on_answer(void *user, const ps_platform_result_t *result)
{
    ps_cluster_state_t *keeper = user;
    keeper->is_calling = false;
    if (result->status != PS_OK) {
        keeper->must_list =
            keeper->must_list || result->status == PS_NOT_FOUND;
        schedule(keeper, RETRY_S);
        return;
    }
    for (int i = 0; i < result->n_objects; i++) {
        take_object(keeper, &result->objects[i]);
    }
    keeper->seen_version = MAX(keeper->seen_version, result->version);
    keeper->must_list = false;
    schedule(keeper, WATCH_PAUSE_S);
}

static void
on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    ps_cluster_state_t *keeper = timer->data;
    ps_platform_t *platform = &keeper->daemon->platform;
    if (keeper->is_calling) {
        return;
    }
    keeper->is_calling = true;
    if (keeper->must_list) {
        PsPlatform_List(platform, PS_WATCHED_PREFIX, on_answer, keeper);
    }
    else {
        PsPlatform_Watch(platform, PS_WATCHED_PREFIX, keeper->seen_version,
                         WATCH_WAIT_MS, on_answer, keeper);
    }
}

/* ---- Public functions ------------------------------------------------- */

void
PsClusterState_Init(ps_cluster_state_t *keeper, ps_daemon_t *daemon)
{
    *keeper = (ps_cluster_state_t){.daemon = daemon, .must_list = true};
    keeper->owners =
        g_hash_table_new_full(PsName_Hash, PsName_EqualKeys, NULL, g_free);
    ev_timer_init(&keeper->timer, on_timer, 0.0, 0.0);
    keeper->timer.data = keeper;
    ev_timer_start(daemon->loop, &keeper->timer);
}

void
PsClusterState_Finish(ps_cluster_state_t *keeper)
{
    ev_timer_stop(keeper->daemon->loop, &keeper->timer);
    g_hash_table_destroy(keeper->owners);
    PsConfig_Finish(&keeper->config);
}
