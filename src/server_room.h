/*
 * server_room.h - Room at a server that falls over when it rejects requests.
 *
 * A request whose connection was lost, or that was given up, still runs at the
 * server for a while, and takes a slot there. A rejection shows that the
 * server has less room than the daemons believe. Load pattern: daemons lose
 * their connections to servers that are full, or wake from a pause, and go on
 * sending what waits, so that one rejection follows the other. Does no I/O;
 * all times are passed in.
 */
#ifndef PS_SERVER_ROOM_H
#define PS_SERVER_ROOM_H

#include <stdbool.h>
#include <stdint.h>

// Abandoned runs that are counted at a time.
#define PS_ROOM_ABANDONED_MAX 64

/**
 * struct ps_server_room - What one daemon believes of the room at one server.
 * All zero: nothing runs there but its own requests in progress.
 */
typedef struct ps_server_room {
    int64_t abandoned_until_ms[PS_ROOM_ABANDONED_MAX]; /* expected ends, in a
                                                          ring */
    int next_abandoned;
    int64_t last_abandoned_ms; /* the latest of these ends */
    int64_t full_until_ms;     /* gets no requests until then */
} ps_server_room_t;

/**
 * PsServerRoom_AddAbandoned() - Counts a request that may still run there.
 * @until_ms: when its run is expected to end; the past: not counted
 */
void PsServerRoom_AddAbandoned(ps_server_room_t *room, int64_t until_ms);

/**
 * PsServerRoom_CountAbandoned() - Returns how many abandoned requests still
 * run there.
 */
int PsServerRoom_CountAbandoned(const ps_server_room_t *room, int64_t now_ms);

/**
 * PsServerRoom_HandleRejection() - The server has turned a request away.
 */
void PsServerRoom_HandleRejection(ps_server_room_t *room, int64_t now_ms);

/**
 * PsServerRoom_IsFull() - Tells whether the server has rejected a request
 * lately.
 */
bool PsServerRoom_IsFull(const ps_server_room_t *room, int64_t now_ms);

#endif
