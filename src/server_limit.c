/* server_limit.c - Notices of a server's limit, and what may be sent there. */
#include "server_limit.h"

#include <glib.h>
#include <math.h>

#define PERMIT_TTL_MS 400 /* as of the allocator's other grants */

// A turn that was not used by then is lost, so that daemons don't use saved
// turns all at once.
#define TURN_TTL_MS 1000

#define ENDED_TOLD_MS 10000 /* time in which others hear of a limit's end */

/* ---- Internal functions ----------------------------------------------- */

static bool
is_limit(const ps_limit_notice_t *notice)
{
    return notice->answered_ms > 0 && notice->rate >= 0;
}

// Tells whether a rate is lower than another one; none is the highest.
static bool
is_stricter(double rate, double than)
{
    return rate >= 0 && (than < 0 || rate < than);
}

// Replaces a known notice by a later one. If their order is not certain, the
// stricter one stays.
static void
merge(ps_limit_notice_t *known, const ps_limit_notice_t *notice)
{
    if (known->answered_ms == 0 || notice->asked_ms >= known->answered_ms) {
        *known = *notice;
        return;
    }
    if (notice->answered_ms <= known->asked_ms) {
        return;
    }
    if (is_stricter(notice->rate, known->rate)) {
        *known = *notice;
    }
    else if (notice->rate == known->rate) {
        known->asked_ms = MAX(known->asked_ms, notice->asked_ms);
        known->answered_ms = MAX(known->answered_ms, notice->answered_ms);
    }
}

static bool
has_fresh_permits(const ps_server_limit_t *limit, int64_t now_ms)
{
    return limit->permitted_ms > 0 &&
           now_ms - limit->permitted_ms <= PERMIT_TTL_MS;
}

// Returns the time from which turns are counted, which is when permits ended.
static int64_t
get_turn_origin(const ps_server_limit_t *limit)
{
    int64_t permits_end_ms =
        limit->permitted_ms > 0 ? limit->permitted_ms + PERMIT_TTL_MS : 0;
    return MAX(limit->turns_from_ms, permits_end_ms);
}

// Returns the number of this daemon's turn, and its age. The daemons' turns
// follow one another at the server's rate. Returns 0 before the first one.
static int64_t
get_turn(const ps_server_limit_t *limit, int64_t now_ms, double *age_ms)
{
    double passed_s = (double)(now_ms - get_turn_origin(limit)) / 1000.0;
    double per_s = PsServerLimit_GetShare(limit);
    if (per_s <= 0 || passed_s < 0) {
        return 0;
    }
    double offset = (double)limit->daemon_index / limit->n_daemons;
    double turns = passed_s * per_s + offset;
    *age_ms = (turns - floor(turns)) / per_s * 1000.0;
    return (int64_t)turns;
}

/* ---- Public functions ------------------------------------------------- */

bool
PsServerLimit_MergeNotice(ps_server_limit_t *limit,
                          const ps_limit_notice_t *notice, int64_t now_ms)
{
    ps_limit_notice_t before = limit->notice;
    merge(&limit->notice, notice);
    bool was_limit = is_limit(&before);
    bool is_changed = was_limit != is_limit(&limit->notice) ||
                      (was_limit && before.rate != limit->notice.rate);
    if (is_changed) {
        limit->turns_from_ms = now_ms;
        limit->ended_ms = was_limit ? now_ms : 0;
    }
    return is_changed;
}

bool
PsServerLimit_AddNotice(ps_server_limit_t *limit,
                        const ps_limit_notice_t *notice, int64_t now_ms)
{
    merge(&limit->own, notice);
    return PsServerLimit_MergeNotice(limit, notice, now_ms);
}

bool
PsServerLimit_IsLimited(const ps_server_limit_t *limit)
{
    return is_limit(&limit->notice);
}

bool
PsServerLimit_IsTold(const ps_server_limit_t *limit, int64_t now_ms)
{
    return is_limit(&limit->notice) ||
           (limit->ended_ms > 0 && now_ms - limit->ended_ms <= ENDED_TOLD_MS);
}

void
PsServerLimit_SetDaemons(ps_server_limit_t *limit, int n_daemons,
                         int daemon_index, int64_t now_ms)
{
    if (limit->n_daemons != n_daemons || limit->daemon_index != daemon_index) {
        limit->n_daemons = n_daemons;
        limit->daemon_index = daemon_index;
        limit->turns_from_ms = now_ms;
    }
}

void
PsServerLimit_NoteReport(ps_server_limit_t *limit, uint64_t round)
{
    limit->starts_at_report[round % PS_SERVER_LIMIT_ROUNDS] = limit->starts;
}

void
PsServerLimit_Permit(ps_server_limit_t *limit, uint64_t round, uint64_t n,
                     int64_t now_ms)
{
    limit->permitted =
        limit->starts_at_report[round % PS_SERVER_LIMIT_ROUNDS] + n;
    limit->permitted_ms = now_ms;
}

bool
PsServerLimit_MayStart(const ps_server_limit_t *limit, int64_t now_ms)
{
    if (!is_limit(&limit->notice)) {
        return true;
    }
    if (has_fresh_permits(limit, now_ms)) {
        return limit->starts < limit->permitted;
    }
    double age_ms = 0;
    int64_t turn = get_turn(limit, now_ms, &age_ms);
    bool is_used = limit->turn_origin_ms == get_turn_origin(limit) &&
                   limit->last_turn >= turn;
    return turn > 0 && age_ms <= TURN_TTL_MS && !is_used;
}

void
PsServerLimit_CountStart(ps_server_limit_t *limit, int64_t now_ms)
{
    limit->starts++;
    if (is_limit(&limit->notice) && !has_fresh_permits(limit, now_ms)) {
        double age_ms;
        limit->last_turn = get_turn(limit, now_ms, &age_ms);
        limit->turn_origin_ms = get_turn_origin(limit);
    }
}

double
PsServerLimit_GetShare(const ps_server_limit_t *limit)
{
    if (!is_limit(&limit->notice) || limit->n_daemons == 0) {
        return 0;
    }
    return MAX(limit->notice.rate, PS_SERVER_RATE_MIN) / limit->n_daemons;
}
