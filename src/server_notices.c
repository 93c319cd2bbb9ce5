/* server_notices.c - Limits, pauses and leaving that servers announce. */
#include "server_notices.h"

#include <math.h>

#include "events_log.h"

// Longest pause that a server may ask for.
#define PAUSE_MAX_MS (60 * 60 * 1000.0)

/* ---- Internal functions ----------------------------------------------- */

// Logs a malformed header once until the server's next valid one.
static void
log_malformed(const char *event, bool *is_logged, const ps_backend_t *backend,
              const ps_name_t *request_id)
{
    if (!*is_logged) {
        PsEvents_Add(event, "{s:s,s:s}", "name",
                     backend->registration.name.data, "id", request_id->data);
    }
    *is_logged = true;
}

// Takes a limit. Only a response to a request that the server has run shows,
// without one, that it names none.
static void
take_limit(ps_backend_t *backend, ps_header_reading_t reading, double rate,
           bool has_run, int64_t asked_ms, int64_t now_ms)
{
    if (reading == PS_HEADER_ABSENT && !has_run) {
        return;
    }
    backend->has_malformed_limit = false;
    ps_limit_notice_t notice = {
        .rate = reading == PS_HEADER_NAMED ? rate : PS_SERVER_RATE_NONE,
        .asked_ms = asked_ms,
        .answered_ms = now_ms};
    if (PsServerLimit_AddNotice(&backend->limit, &notice, now_ms)) {
        PsGateway_LogServerLimit(backend, "this daemon", now_ms);
    }
}

// Takes a pause. A shorter one, such as that of another request in flight,
// doesn't end a longer one.
static void
take_pause(ps_backend_t *backend, double seconds, const ps_name_t *request_id,
           int64_t now_ms)
{
    double pause_ms = MIN(seconds * 1000.0, PAUSE_MAX_MS);
    int64_t until_ms = now_ms + (int64_t)ceil(pause_ms);
    backend->has_malformed_pause = false;
    backend->paused_until_ms = MAX(backend->paused_until_ms, until_ms);
    PsEvents_Add("server.pause", "{s:s,s:s,s:I}", "name",
                 backend->registration.name.data, "id", request_id->data, "ms",
                 (json_int_t)pause_ms);
}

// Takes whether the server is brittle. Only a response to a request that it
// has run shows, without the header, that it isn't any more.
static void
take_brittle(ps_gateway_t *gateway, ps_backend_t *backend,
             ps_header_reading_t reading, double rejections, bool has_run)
{
    bool is_brittle = reading == PS_HEADER_NAMED;
    if (is_brittle == backend->is_brittle || (!is_brittle && !has_run)) {
        return;
    }
    backend->is_brittle = is_brittle;
    backend->has_malformed_brittle = false;
    PsEvents_Add("server.brittle", "{s:s,s:s,s:b,s:f}", "name",
                 backend->registration.name.data, "service",
                 backend->registration.service.data, "brittle",
                 (int)is_brittle, "rejections", rejections);
    PsScheduler_UpdateBrittle(
        &PsGateway_GetDispatcher(gateway, &backend->registration.service)
             ->scheduler);
}

/* ---- Public functions ------------------------------------------------- */

void
PsServerNotices_Take(ps_gateway_t *gateway, ps_backend_t *backend,
                     const ps_transfer_t *transfer, ps_reply_t reply,
                     const ps_name_t *request_id, int64_t asked_ms,
                     int64_t now_ms)
{
    const ps_dialect_t *dialect = gateway->dialect;
    bool has_run = reply == PS_REPLY_ANSWER && transfer->status < 300;
    double rate = 0;
    ps_header_reading_t reading = dialect->read_limit(transfer, &rate);
    if (reading == PS_HEADER_MALFORMED) {
        log_malformed("server.limit_malformed", &backend->has_malformed_limit,
                      backend, request_id);
    }
    else {
        take_limit(backend, reading, rate, has_run, asked_ms, now_ms);
    }
    double seconds = 0;
    reading = dialect->read_pause(transfer, &seconds);
    if (reading == PS_HEADER_MALFORMED) {
        log_malformed("server.pause_malformed", &backend->has_malformed_pause,
                      backend, request_id);
    }
    else if (reading == PS_HEADER_NAMED) {
        take_pause(backend, seconds, request_id, now_ms);
    }
    double rejections = 0;
    reading = dialect->read_brittle(transfer, &rejections);
    if (reading == PS_HEADER_MALFORMED) {
        log_malformed("server.brittle_malformed",
                      &backend->has_malformed_brittle, backend, request_id);
    }
    else {
        take_brittle(gateway, backend, reading, rejections, has_run);
    }
    if (dialect->says_leaving(transfer)) {
        PsGateway_MarkServerLeaving(gateway, &backend->registration,
                                    "this daemon", now_ms);
    }
}
