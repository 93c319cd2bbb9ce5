/* server_reach.c - Whether a server is reached directly or by other daemons.
 */
#include "server_reach.h"

#include <glib.h>

bool
PsServerReach_HandleAnswer(ps_server_reach_t *reach, int64_t now_ms)
{
    bool was_lost = reach->lost_ms > 0;
    reach->answered_ms = now_ms;
    reach->lost_ms = 0;
    return was_lost;
}

bool
PsServerReach_HandleLost(ps_server_reach_t *reach, int64_t now_ms)
{
    bool was_lost = reach->lost_ms > 0;
    if (!was_lost) {
        reach->lost_ms = MAX(now_ms, 1);
    }
    return !was_lost;
}

bool
PsServerReach_HandlePeerAnswer(ps_server_reach_t *reach, bool is_reached,
                               int64_t now_ms)
{
    bool was_cut_off = PsServerReach_IsCutOff(reach);
    if (is_reached) {
        reach->peers_ms = now_ms;
    }
    else {
        reach->peers_lost_ms = now_ms;
    }
    return !was_cut_off && PsServerReach_IsCutOff(reach);
}

void
PsServerReach_HandlePeerLost(ps_server_reach_t *reach)
{
    reach->peers_ms = 0;
}

bool
PsServerReach_IsCutOff(const ps_server_reach_t *reach)
{
    return reach->lost_ms > 0 && reach->peers_ms >= reach->lost_ms &&
           reach->peers_ms >= reach->peers_lost_ms;
}

bool
PsServerReach_UsesPeers(const ps_server_reach_t *reach, int64_t now_ms)
{
    bool is_lost_to_peers =
        reach->peers_lost_ms > reach->peers_ms &&
        now_ms - reach->peers_lost_ms < PS_REACH_PEERS_LOST_MS;
    return reach->lost_ms > 0 && !is_lost_to_peers;
}

bool
PsServerReach_StartCheck(ps_server_reach_t *reach, int64_t interval_ms,
                         int64_t now_ms)
{
    bool is_due =
        reach->checked_ms == 0 || now_ms - reach->checked_ms >= interval_ms;
    if (reach->is_checking || !is_due) {
        return false;
    }
    reach->is_checking = true;
    reach->checked_ms = now_ms;
    return true;
}
