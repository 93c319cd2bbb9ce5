/* server_room.c - Abandoned runs and rejections of one server. */
#include "server_room.h"

#include <glib.h>

// Time without requests after a rejection: servers count their rejections by
// the second.
#define FULL_MS 1000

void
PsServerRoom_AddAbandoned(ps_server_room_t *room, int64_t until_ms)
{
    room->abandoned_until_ms[room->next_abandoned] = until_ms;
    room->next_abandoned = (room->next_abandoned + 1) % PS_ROOM_ABANDONED_MAX;
    room->last_abandoned_ms = MAX(room->last_abandoned_ms, until_ms);
}

int
PsServerRoom_CountAbandoned(const ps_server_room_t *room, int64_t now_ms)
{
    if (now_ms >= room->last_abandoned_ms) {
        return 0;
    }
    int n = 0;
    for (int i = 0; i < PS_ROOM_ABANDONED_MAX; i++) {
        n += room->abandoned_until_ms[i] > now_ms ? 1 : 0;
    }
    return n;
}

void
PsServerRoom_HandleRejection(ps_server_room_t *room, int64_t now_ms)
{
    room->full_until_ms = now_ms + FULL_MS;
}

bool
PsServerRoom_IsFull(const ps_server_room_t *room, int64_t now_ms)
{
    return now_ms < room->full_until_ms;
}
