/* pace_messages.c - Messages of learned speeds. */
#include "pace_messages.h"

#include <math.h>

#include "events_log.h"
#include "placement.h"
#include "sharing.h"

// A sample is reported when its oldest part is this old: each message costs
// its server's hash and tags, so that fewer and larger ones are cheaper.
#define SAMPLE_HOLD_MS 150

// Older samples are dropped: no report was sent meanwhile.
#define SAMPLE_MAX_AGE_MS 1000

#define PACE_MAX_MS 1e6 /* larger times in a message are malformed */

void
PsPaceMessages_AddSamples(Ps__ServiceUse *use, const ps_scheduler_t *scheduler,
                          int64_t now_ms)
{
    use->samples = g_new0(Ps__ServerSample *, scheduler->backends->len + 1);
    for (guint i = 0; i < scheduler->backends->len; i++) {
        ps_backend_t *backend = scheduler->backends->pdata[i];
        const ps_server_sample_t *sample = &backend->sample;
        int64_t age_ms = now_ms - backend->sample_since_ms;
        if (PsServerSample_IsEmpty(sample) || age_ms < SAMPLE_HOLD_MS) {
            continue;
        }
        if (age_ms <= SAMPLE_MAX_AGE_MS) {
            Ps__ServerSample *message = g_new(Ps__ServerSample, 1);
            ps__server_sample__init(message);
            message->server = PsSharing_HashServer(backend);
            message->events = sample->events;
            message->event_ms = (float)sample->event_ms;
            message->first_events = sample->first_events;
            message->first_event_ms = (float)sample->first_event_ms;
            message->prefill_tokens = (float)sample->prefill_tokens;
            message->on_time = sample->on_time;
            message->late = sample->late;
            use->samples[use->n_samples++] = message;
        }
        backend->sample = (ps_server_sample_t){0};
    }
}

void
PsPaceMessages_FreeSamples(Ps__ServiceUse *use)
{
    for (size_t i = 0; i < use->n_samples; i++) {
        g_free(use->samples[i]);
    }
    g_free(use->samples);
}

void
PsPaceMessages_HandleSamples(ps_server_models_t *models,
                             const Ps__ServiceUse *use, int64_t now_ms)
{
    for (size_t i = 0; i < use->n_samples; i++) {
        const Ps__ServerSample *message = use->samples[i];
        ps_learned_server_t *server =
            PsServerModels_Find(models, message->server);
        if (server) {
            ps_server_sample_t sample = {
                .events = message->events,
                .event_ms = message->event_ms,
                .first_events = message->first_events,
                .first_event_ms = message->first_event_ms,
                .prefill_tokens = message->prefill_tokens,
                .on_time = message->on_time,
                .late = message->late};
            PsServerModel_AddSample(&server->model, &sample, now_ms);
        }
    }
}

static void
log_server(const ps_learned_server_t *server, const ps_backend_t *backend,
           int64_t now_ms)
{
    const ps_server_model_t *model = &server->model;
    ps_server_pace_t pace = PsServerModel_GetPace(model);
    int64_t trial_ms =
        server->next_trial_ms > 0 ? server->next_trial_ms - now_ms : 0;
    PsEvents_Add(
        "server.pace",
        "{s:s,s:s,s:s,s:f,s:f,s:f,s:i,s:i,s:i,s:i,s:f,s:I,s:I,s:I,s:i,s:I}",
        "name", backend->registration.name.data, "service",
        backend->registration.service.data, "state",
        PsSlotState_GetName(server->state), "event_ms", pace.event_ms,
        "first_ms", pace.first_base_ms, "first_ms_per_ktoken",
        pace.first_slope_ms, "running", server->running, "limit", pace.limit,
        "capacity", PsConcurrencyLimit_GetCapacity(&model->limit), "slots",
        server->slots, "late_share", PsServerModel_GetLateShare(model),
        "events", (json_int_t)model->events.n, "first_events",
        (json_int_t)model->firsts.n, "age_ms",
        (json_int_t)(now_ms - MAX(model->firsts.last_ms, server->added_ms)),
        "trials", (int)server->n_trials, "next_trial_ms",
        (json_int_t)trial_ms);
}

void
PsPaceMessages_SetServer(ps_server_models_t *models, uint32_t server,
                         const ps_backend_t *backend, bool is_engine,
                         int64_t now_ms)
{
    ps_learned_server_t *learned =
        PsServerModels_Set(models, server, backend->registration.started_ms,
                           backend->registration.slots, is_engine, now_ms);
    if (!learned) {
        return;
    }
    if (backend->pace_told_ms > 0 &&
        now_ms - backend->pace_told_ms < PS_PACE_TTL_MS &&
        !PsServerModel_HasSamples(&learned->model)) {
        PsLearnedServer_Seed(learned, &backend->pace);
    }
    PsServerModels_UpdateTold(models, learned, now_ms);
    if (PsLearnedServer_TakeLogTurn(learned, now_ms)) {
        log_server(learned, backend, now_ms);
    }
}

void
PsPaceMessages_PrintMetrics(const ps_server_models_t *models, ps_buf_t *out)
{
    if (!models->is_enabled) {
        return;
    }
    ps_server_counts_t counts = PsServerModels_Count(models);
    const struct {
        const char *name;
        const char *type;
        double value;
    } metrics[] = {
        {"pearstair_servers_learned", "gauge", counts.known},
        {"pearstair_servers_slow", "gauge", counts.slow},
        {"pearstair_servers_below_slots", "gauge", counts.limited},
        {"pearstair_server_trials", "gauge", (double)counts.trials}};
    for (size_t i = 0; i < G_N_ELEMENTS(metrics); i++) {
        PsBuf_AppendFormat(out, "# TYPE %s %s\n%s %.0f\n", metrics[i].name,
                           metrics[i].type, metrics[i].name, metrics[i].value);
    }
}

void
PsPaceMessages_AddPaces(Ps__ServiceGrant *grant,
                        const ps_server_models_t *models,
                        const ps_scheduler_t *scheduler, ps_service_use_t *use)
{
    if (!models->is_enabled) {
        return;
    }
    grant->paces = g_new0(Ps__ServerPace *, scheduler->backends->len + 1);
    for (guint i = 0; i < scheduler->backends->len; i++) {
        uint32_t hash = PsSharing_HashServer(scheduler->backends->pdata[i]);
        const ps_learned_server_t *server = PsServerModels_Find(models, hash);
        if (!server || server->told_version <= use->told_paces) {
            continue;
        }
        Ps__ServerPace *message = g_new(Ps__ServerPace, 1);
        ps__server_pace__init(message);
        message->server = hash;
        message->event_ms = (float)server->told.event_ms;
        message->first_base_ms = (float)server->told.first_base_ms;
        message->first_slope_ms = (float)server->told.first_slope_ms;
        message->limit = (uint32_t)MAX(server->told.limit, 0);
        grant->paces[grant->n_paces++] = message;
    }
    use->told_paces = models->last_version;
}

void
PsPaceMessages_FreePaces(Ps__ServiceGrant *grant)
{
    for (size_t i = 0; i < grant->n_paces; i++) {
        g_free(grant->paces[i]);
    }
    g_free(grant->paces);
}

static bool
is_valid(const Ps__ServerPace *message)
{
    const double all[] = {message->event_ms, message->first_base_ms,
                          message->first_slope_ms};
    for (size_t i = 0; i < G_N_ELEMENTS(all); i++) {
        if (!isfinite(all[i]) || all[i] < 0 || all[i] > PACE_MAX_MS) {
            return false;
        }
    }
    return true;
}

void
PsPaceMessages_ApplyPaces(ps_scheduler_t *scheduler,
                          const Ps__ServiceGrant *grant, int64_t now_ms)
{
    for (size_t k = 0; k < grant->n_paces; k++) {
        const Ps__ServerPace *message = grant->paces[k];
        for (guint i = 0; is_valid(message) && i < scheduler->backends->len;
             i++) {
            ps_backend_t *backend = scheduler->backends->pdata[i];
            if (PsSharing_HashServer(backend) == message->server) {
                ps_server_pace_t pace = {
                    .event_ms = message->event_ms,
                    .first_base_ms = message->first_base_ms,
                    .first_slope_ms = message->first_slope_ms,
                    .limit = (int)MIN(message->limit, INT16_MAX)};
                PsPlacement_SetPace(backend, &pace, now_ms);
            }
        }
    }
    if (grant->n_paces > 0) {
        PsPlacement_UpdateMedian(scheduler, now_ms);
    }
}
