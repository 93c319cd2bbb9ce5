/* config_edit.c - Conditional writes of the configuration. */
#include "config_edit.h"

#include <string.h>

#include "daemon.h"
#include "log.h"

// An edit that has no result after this time fails.
#define EDIT_TIMEOUT_MS 10000

// Delay before the object is read again after a failed call.
#define RETRY_DELAY_S 0.3

// A state change that meets conflicts is written at most this many times.
#define STATE_WRITES_MAX 8

/* ---- Types ------------------------------------------------------------ */

typedef struct edit {
    ps_daemon_t *daemon;
    ps_http_request_t *request; /* NULL once the operator has disconnected */
    ps_buf_t text;              /* new configuration, JSON */
    uint64_t version;    /* expected current version; 0: no object yet */
    ps_name_t server;    /* whose state changes; empty: the edit replaces
                            the whole configuration */
    ps_name_t state;     /* new state of @server */
    int writes;          /* writes sent to the platform so far */
    bool may_be_applied; /* the result of a write is unknown */
    int64_t started_ms;
    ev_timer retry_timer;
} edit_t;

/* ---- Answers ---------------------------------------------------------- */

// Answers the operator, unless the connection is closed, and frees the edit.
static void
end_edit(edit_t *edit, unsigned int status, json_t *root)
{
    char *text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    if (edit->request) {
        edit->request->user = NULL;
        PsHttpRequest_PrepareResponse(edit->request, status,
                                      "application/json", false);
        PsHttpRequest_SendResponse(edit->request, PsStr_FromC(text));
    }
    free(text);
    ev_timer_stop(edit->daemon->loop, &edit->retry_timer);
    PsBuf_Finish(&edit->text);
    g_free(edit);
}

// @applied tells the operator whether the edit is in force: "no" or "unknown".
static void
end_with_error(edit_t *edit, unsigned int status, const char *code,
               const char *applied, const char *message)
{
    end_edit(edit, status,
             json_pack("{s:{s:s, s:s, s:s}}", "error", "code", code, "message",
                       message, "applied", applied));
}

static void
end_with_conflict(edit_t *edit, const ps_platform_object_t *current)
{
    ps_buf_t changes;
    PsBuf_Init(&changes);
    PsConfig_ListChangedKeys(PsStr_FromC(current->value),
                             PsBuf_View(&edit->text), &changes);
    const char *applied = edit->may_be_applied ? "unknown" : "no";
    json_t *root =
        json_pack("{s:{s:s, s:s, s:s, s:I, s:I, s:s}}", "error", "code",
                  "conflict", "message", "another edit came first", "applied",
                  applied, "your_version", (json_int_t)edit->version,
                  "current_version", (json_int_t)current->version,
                  "differing_keys", changes.data ? changes.data : "");
    PsBuf_Finish(&changes);
    end_edit(edit, 409, root);
}

// Puts the edit's text in force at this daemon, announces it to the others and
// answers with its version.
static void
end_with_success(edit_t *edit, uint64_t version)
{
    ps_daemon_t *daemon = edit->daemon;
    PsLog_Info("config",
               "Accepted configuration version %llu from an operator.",
               (unsigned long long)version);
    PsClusterState_ApplyConfig(&daemon->cluster, PsBuf_View(&edit->text),
                               version, "an operator");
    PsDaemon_SendHeartbeat(daemon, PS_HEARTBEAT_ALL);
    end_edit(edit, 200, json_pack("{s:I}", "version", (json_int_t)version));
}

/* ---- Steps ------------------------------------------------------------ */

static void start_write(edit_t *edit);
static void start_read(edit_t *edit);

static void
on_retry_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    start_read(timer->data);
}

// Reads the object after RETRY_DELAY_S, or ends the edit with an error after
// EDIT_TIMEOUT_MS.
static void
retry_later(edit_t *edit)
{
    if (PsDaemon_GetMonotonicMs() - edit->started_ms > EDIT_TIMEOUT_MS) {
        end_with_error(edit, edit->may_be_applied ? 504 : 503,
                       "platform_unavailable",
                       edit->may_be_applied ? "unknown" : "no",
                       "the platform does not answer");
        return;
    }
    ev_timer_stop(edit->daemon->loop, &edit->retry_timer);
    ev_timer_set(&edit->retry_timer, RETRY_DELAY_S, 0.0);
    ev_timer_start(edit->daemon->loop, &edit->retry_timer);
}

// Makes the new text of a state change from the current configuration. If that
// fails, ends the edit with an error and returns false.
static bool
rebuild_text(edit_t *edit, const ps_platform_object_t *current)
{
    PsBuf_Clear(&edit->text);
    ps_status_t status =
        PsConfig_SetServerState(PsStr_FromC(current->value), edit->server.data,
                                edit->state.data, &edit->text);
    edit->version = current->version;
    if (status != PS_OK) {
        end_with_error(edit, status == PS_NOT_FOUND ? 404 : 400,
                       PsStatus_Name(status), "no", PsStatus_LastMessage());
    }
    return status == PS_OK;
}

// Continues an edit after the object was read. The edit has succeeded if a
// newer version has its text, and is written if the version is still the
// expected one. Otherwise a state change is made again on the newer text, for
// at most STATE_WRITES_MAX writes, and any other edit ends with a conflict.
static void
continue_edit(edit_t *edit, const ps_platform_object_t *current)
{
    bool is_state_change = !PsName_IsEmpty(&edit->server);
    if (current->version > edit->version &&
        PsStr_IsEqualC(PsBuf_View(&edit->text), current->value)) {
        end_with_success(edit, current->version);
    }
    else if (current->version == edit->version) {
        start_write(edit);
    }
    else if (is_state_change && edit->writes < STATE_WRITES_MAX) {
        if (rebuild_text(edit, current)) {
            start_write(edit);
        }
    }
    else {
        end_with_conflict(edit, current);
    }
}

static void
on_read(void *user, const ps_platform_result_t *result)
{
    edit_t *edit = user;
    if (result->status == PS_OK && result->n_objects == 1) {
        continue_edit(edit, &result->objects[0]);
    }
    else if (result->status == PS_NOT_FOUND && edit->version == 0) {
        start_write(edit);
    }
    else if (result->status == PS_NOT_FOUND) {
        end_with_error(edit, 404, "not_found", "no",
                       "there is no configuration");
    }
    else {
        retry_later(edit);
    }
}

static void
start_read(edit_t *edit)
{
    PsPlatform_Get(&edit->daemon->platform, PS_CONFIG_KEY, on_read, edit);
}

static void
on_written(void *user, const ps_platform_result_t *result)
{
    edit_t *edit = user;
    switch (result->status) {
    case PS_OK:
        end_with_success(edit, result->version);
        break;
    case PS_CONFLICT:
        start_read(edit);
        break;
    case PS_UNKNOWN:
        edit->may_be_applied = true;
        retry_later(edit);
        break;
    case PS_INVALID:
        end_with_error(edit, 400, "invalid", "no", "the platform refuses it");
        break;
    default:
        retry_later(edit);
        break;
    }
}

static void
start_write(edit_t *edit)
{
    edit->writes++;
    PsPlatform_Put(&edit->daemon->platform, PS_CONFIG_KEY, edit->version,
                   PsBuf_View(&edit->text), on_written, edit);
}

static edit_t *
new_edit(ps_daemon_t *daemon, ps_http_request_t *request)
{
    edit_t *edit = g_new0(edit_t, 1);
    edit->daemon = daemon;
    edit->request = request;
    edit->started_ms = PsDaemon_GetMonotonicMs();
    ev_timer_init(&edit->retry_timer, on_retry_timer, RETRY_DELAY_S, 0.0);
    edit->retry_timer.data = edit;
    PsBuf_Init(&edit->text);
    request->user = edit;
    return edit;
}

/* ---- Public functions ------------------------------------------------- */

void
PsConfigEdit_Replace(ps_daemon_t *daemon, ps_http_request_t *request,
                     ps_str_t text, uint64_t version)
{
    edit_t *edit = new_edit(daemon, request);
    ps_config_t checked;
    if (PsConfig_Parse(&checked, text, version) != PS_OK) {
        end_with_error(edit, 400, "invalid", "no", PsStatus_LastMessage());
        return;
    }
    PsConfig_Finish(&checked);
    edit->version = version;
    PsBuf_Append(&edit->text, text.data, text.len);
    start_write(edit);
}

void
PsConfigEdit_SetServerState(ps_daemon_t *daemon, ps_http_request_t *request,
                            const char *server, const char *state)
{
    edit_t *edit = new_edit(daemon, request);
    edit->server = PsName_FromC(server);
    edit->state = PsName_FromC(state);
    ps_platform_object_t current = {.version = daemon->cluster.config.version,
                                    .value = daemon->cluster.config.text
                                                 ? daemon->cluster.config.text
                                                 : "{}"};
    if (rebuild_text(edit, &current)) {
        start_write(edit);
    }
}

void
PsConfigEdit_Detach(ps_http_request_t *request)
{
    edit_t *edit = request->user;
    if (edit) {
        edit->request = NULL;
        request->user = NULL;
    }
}
