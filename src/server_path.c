/* server_path.c - Sends a request directly, or by way of another daemon. */
#include "server_path.h"

#include "clock.h"
#include "events_log.h"
#include "gateway.h"

// Longest time to open a connection, if other daemons can carry the request
// instead, and to another daemon.
#define CONNECT_TIMEOUT_MS 400

/* ---- Connections of this daemon --------------------------------------- */

static void
prepare_own(ps_server_path_t *path, ps_transfer_t *transfer,
            ps_transfer_request_t *request)
{
    (void)transfer;
    path->url =
        PsName_Format("http://%s/", path->backend->registration.address.data);
    request->url = path->url.data;
    if (PsForwarders_HasAny(&path->gateway->forwarders)) {
        request->connect_timeout_ms = CONNECT_TIMEOUT_MS;
    }
}

static ps_transfer_result_t
finish_own(ps_server_path_t *path, ps_transfer_t *transfer,
           ps_transfer_result_t result, bool is_broken_off, int64_t now_ms)
{
    ps_reach_checks_t *reach = &path->gateway->reach_checks;
    if (path->is_own_cut) {
        return PS_TRANSFER_INCOMPLETE;
    }
    if (result == PS_TRANSFER_NOT_SENT) {
        PsReachChecks_HandleUnopened(reach, path->backend,
                                     transfer->is_refused, now_ms);
    }
    else if (is_broken_off ||
             (result == PS_TRANSFER_INCOMPLETE && !transfer->is_aborted)) {
        PsReachChecks_HandleLost(reach, path->backend, now_ms);
        return PS_TRANSFER_INCOMPLETE;
    }
    else if (path->has_mismatch || transfer->is_malformed) {
        PsReachChecks_HandleSilence(reach, path->backend, now_ms);
    }
    else {
        PsReachChecks_HandleAnswer(reach, path->backend, now_ms);
    }
    return result;
}

static bool
is_own_head(const ps_transfer_t *transfer)
{
    (void)transfer;
    return true;
}

static void
check_silent(ps_server_path_t *path, int64_t now_ms)
{
    PsReachChecks_HandleSilence(&path->gateway->reach_checks, path->backend,
                                now_ms);
}

static const ps_server_path_ops_t own_connection = {
    "own connection",
    prepare_own,
    finish_own,
    is_own_head,
    PsTransfer_EndsWithConnection,
    check_silent};

/* ---- Other daemons ---------------------------------------------------- */

static bool
has_result(const ps_transfer_t *transfer, const char *result)
{
    return PsStr_IsEqualC(
        PsTransfer_GetHeader(transfer, PS_FORWARD_RESULT_HEADER), result);
}

static bool
is_forwarded_head(const ps_transfer_t *transfer)
{
    return has_result(transfer, PS_FORWARD_ANSWERED) ||
           has_result(transfer, PS_FORWARD_ANSWERED_UNFRAMED);
}

static bool
ended_with_connection(const ps_transfer_t *transfer)
{
    return has_result(transfer, PS_FORWARD_ANSWERED_UNFRAMED);
}

static void
prepare_forward(ps_server_path_t *path, ps_transfer_t *transfer,
                ps_transfer_request_t *request)
{
    const ps_registration_t *server = &path->backend->registration;
    path->url = PsName_Format("http://%s/", path->forwarder->address.data);
    request->url = path->url.data;
    request->connect_timeout_ms = CONNECT_TIMEOUT_MS;
    char *order = g_strdup_printf("%s %lld %s", server->name.data,
                                  (long long)server->started_ms,
                                  path->gateway->self.name.data);
    PsTransfer_AddHeader(transfer, PS_FORWARD_HEADER, order);
    g_free(order);
}

static ps_transfer_result_t
finish_forward(ps_server_path_t *path, ps_transfer_t *transfer,
               ps_transfer_result_t result, bool is_broken_off, int64_t now_ms)
{
    ps_reach_checks_t *reach = &path->gateway->reach_checks;
    if (path->is_own_cut) {
        return PS_TRANSFER_INCOMPLETE;
    }
    if (is_broken_off) {
        PsReachChecks_HandlePeerLost(reach, path->backend, now_ms);
        return PS_TRANSFER_INCOMPLETE;
    }
    if (is_forwarded_head(transfer) &&
        (result == PS_TRANSFER_COMPLETE || transfer->is_aborted)) {
        PsReachChecks_HandlePeerReach(reach, path->backend, now_ms);
        return result;
    }
    // The other daemon may be cut off too, so this shows nothing of the server
    // yet.
    if (has_result(transfer, PS_FORWARD_UNREACHED)) {
        PsReachChecks_HandleSilence(reach, path->backend, now_ms);
        return PS_TRANSFER_NOT_SENT;
    }
    if (has_result(transfer, PS_FORWARD_REFUSED)) {
        PsForwarders_Avoid(path->forwarder, now_ms);
        return PS_TRANSFER_NOT_SENT;
    }
    if (!has_result(transfer, PS_FORWARD_LOST)) {
        PsForwarders_Avoid(path->forwarder, now_ms);
    }
    if (result != PS_TRANSFER_NOT_SENT) {
        PsReachChecks_HandlePeerLost(reach, path->backend, now_ms);
        return PS_TRANSFER_INCOMPLETE;
    }
    return result;
}

static void
avoid_silent(ps_server_path_t *path, int64_t now_ms)
{
    PsForwarders_Avoid(path->forwarder, now_ms);
}

static const ps_server_path_ops_t other_daemon = {
    "other daemon",    prepare_forward,       finish_forward,
    is_forwarded_head, ended_with_connection, avoid_silent};

/* ---- Choice ----------------------------------------------------------- */

// Tells whether a daemon is cut off, or was tried for this attempt.
static bool
is_last_choice(void *user, const ps_name_t *daemon)
{
    const ps_server_path_t *path = user;
    bool is_last = PsSharing_IsCutOff(&path->gateway->sharing, daemon);
    for (int i = 0; i < path->n_tried; i++) {
        is_last |= PsName_IsEqual(&path->tried[i], daemon);
    }
    return is_last;
}

// Returns whether another daemon was found.
static bool
open_forwarder(ps_server_path_t *path, int64_t now_ms)
{
    ps_gateway_t *gateway = path->gateway;
    ps_forwarder_t *forwarder = NULL;
    if (path->n_tried < PS_PATH_FORWARDERS_MAX) {
        forwarder = PsForwarders_Choose(&gateway->forwarders, is_last_choice,
                                        path, now_ms);
    }
    if (!forwarder) {
        return false;
    }
    PsForwarders_AddRequest(forwarder);
    path->ops = &other_daemon;
    path->forwarder = forwarder;
    path->tried[path->n_tried++] = forwarder->name;
    gateway->stats.forwarded++;
    return true;
}

/* ---- Public functions ------------------------------------------------- */

void
PsServerPath_Open(ps_server_path_t *path, ps_gateway_t *gateway,
                  ps_backend_t *backend, int64_t now_ms)
{
    *path = (ps_server_path_t){
        .ops = &own_connection, .gateway = gateway, .backend = backend};
    if (PsServerReach_UsesPeers(&backend->reach, now_ms)) {
        open_forwarder(path, now_ms);
    }
}

bool
PsServerPath_OpenNext(ps_server_path_t *path, int64_t now_ms)
{
    PsServerPath_Close(path);
    return PsServerReach_UsesPeers(&path->backend->reach, now_ms) &&
           open_forwarder(path, now_ms);
}

void
PsServerPath_Close(ps_server_path_t *path)
{
    if (path->forwarder) {
        PsForwarders_EndRequest(&path->gateway->forwarders, path->forwarder);
    }
    path->forwarder = NULL;
}
