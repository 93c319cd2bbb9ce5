/* cluster_state.c - Lists and watches configuration and pool owners. */
#include "cluster_state.h"

#include <string.h>

#include "daemon.h"
#include "log.h"

#define WATCH_WAIT_MS 20000 /* time limit of a watch without changes */
#define WATCH_PAUSE_S 0.1   /* delay from a list or watch to the next watch */
#define RETRY_S 0.5         /* delay after a failed call */

/* ---- Owners ----------------------------------------------------------- */

void
PsClusterState_SetOwner(ps_cluster_state_t *cluster, const ps_name_t *pool,
                        const ps_name_t *owner, uint64_t epoch,
                        uint64_t version)
{
    ps_owner_record_t *record = g_hash_table_lookup(cluster->owners, pool);
    if (!record) {
        record = g_new0(ps_owner_record_t, 1);
        record->pool = *pool;
        g_hash_table_insert(cluster->owners, &record->pool, record);
    }
    if (epoch == record->epoch && version > record->version) {
        record->version = version;
    }
    if (epoch <= record->epoch) {
        return;
    }
    record->owner = *owner;
    record->epoch = epoch;
    record->version = version;
    PsLog_Info("owner", "Pool %s is owned by %s, epoch %llu.", pool->data,
               owner->data, (unsigned long long)epoch);
    PsDaemon_HandleOwnerChange(cluster->daemon, pool, epoch);
}

const ps_owner_record_t *
PsClusterState_FindOwner(const ps_cluster_state_t *cluster,
                         const ps_name_t *pool)
{
    return g_hash_table_lookup(cluster->owners, pool);
}

void
PsClusterState_HandlePoolObject(ps_cluster_state_t *cluster,
                                const ps_platform_object_t *object)
{
    json_t *root = json_loads(object->value, 0, NULL);
    const char *name = json_string_value(json_object_get(root, "owner"));
    if (!name) {
        PsLog_Warn("owner", "Pool object %s names no owner; it is ignored.",
                   object->key.data);
        json_decref(root);
        return;
    }
    ps_name_t pool = PsName_FromC(object->key.data + strlen(PS_POOLS_PREFIX));
    ps_name_t owner = PsName_FromC(name);
    uint64_t epoch =
        (uint64_t)json_integer_value(json_object_get(root, "epoch"));
    json_decref(root);
    PsClusterState_SetOwner(cluster, &pool, &owner, epoch, object->version);
}

/* ---- Configuration ---------------------------------------------------- */

ps_status_t
PsClusterState_ApplyConfig(ps_cluster_state_t *cluster, ps_str_t text,
                           uint64_t version, const char *source)
{
    if (version <= cluster->config.version) {
        return PS_OK;
    }
    ps_config_t loaded;
    ps_status_t status = PsConfig_Parse(&loaded, text, version);
    if (status != PS_OK) {
        PsLog_Warn(
            "config", "Configuration version %llu from %s is invalid: %s",
            (unsigned long long)version, source, PsStatus_LastMessage());
        return status;
    }
    ps_config_t old = cluster->config;
    cluster->config = loaded;
    PsLog_Info("config", "Configuration version %llu from %s is in force.",
               (unsigned long long)version, source);
    PsDaemon_HandleConfigChange(cluster->daemon);
    PsConfig_Finish(&old);
    return PS_OK;
}

/* ---- Platform --------------------------------------------------------- */

static void
schedule_call(ps_cluster_state_t *cluster, double seconds)
{
    struct ev_loop *loop = cluster->daemon->loop;
    ev_timer_stop(loop, &cluster->timer);
    ev_timer_set(&cluster->timer, seconds, 0.0);
    ev_timer_start(loop, &cluster->timer);
}

static void
handle_object(ps_cluster_state_t *cluster, const ps_platform_object_t *object)
{
    if (!object->value) {
        return;
    }
    if (PsName_IsEqualC(&object->key, PS_CONFIG_KEY)) {
        PsClusterState_ApplyConfig(cluster, PsStr_FromC(object->value),
                                   object->version, "the platform");
    }
    else if (g_str_has_prefix(object->key.data, PS_POOLS_PREFIX)) {
        PsClusterState_HandlePoolObject(cluster, object);
    }
}

static void
on_result(void *user, const ps_platform_result_t *result)
{
    ps_cluster_state_t *cluster = user;
    cluster->is_calling = false;
    if (result->status != PS_OK) {
        // PS_NOT_FOUND: the platform no longer has all changes after
        // seen_version, so that a watch would miss some.
        cluster->must_list =
            cluster->must_list || result->status == PS_NOT_FOUND;
        schedule_call(cluster, RETRY_S);
        return;
    }
    for (int i = 0; i < result->n_objects; i++) {
        handle_object(cluster, &result->objects[i]);
    }
    cluster->seen_version = MAX(cluster->seen_version, result->version);
    cluster->must_list = false;
    schedule_call(cluster, WATCH_PAUSE_S);
}

static void
on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    ps_cluster_state_t *cluster = timer->data;
    ps_platform_t *platform = &cluster->daemon->platform;
    if (cluster->is_calling) {
        return;
    }
    cluster->is_calling = true;
    if (cluster->must_list) {
        PsPlatform_List(platform, PS_WATCHED_PREFIX, on_result, cluster);
    }
    else {
        PsPlatform_Watch(platform, PS_WATCHED_PREFIX, cluster->seen_version,
                         WATCH_WAIT_MS, on_result, cluster);
    }
}

/* ---- Public functions ------------------------------------------------- */

void
PsClusterState_Init(ps_cluster_state_t *cluster, ps_daemon_t *daemon)
{
    *cluster = (ps_cluster_state_t){.daemon = daemon, .must_list = true};
    cluster->owners =
        g_hash_table_new_full(PsName_Hash, PsName_EqualKeys, NULL, g_free);
    ev_timer_init(&cluster->timer, on_timer, 0.0, 0.0);
    cluster->timer.data = cluster;
    ev_timer_start(daemon->loop, &cluster->timer);
}

void
PsClusterState_Finish(ps_cluster_state_t *cluster)
{
    ev_timer_stop(cluster->daemon->loop, &cluster->timer);
    g_hash_table_destroy(cluster->owners);
    PsConfig_Finish(&cluster->config);
}
