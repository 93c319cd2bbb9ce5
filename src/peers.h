/*
 * peers.h - TCP connections that carry protobuf frames between daemons.
 *
 * A daemon connects to each peer that it sends to and receives on the
 * connections that its peers open; a connection carries frames one way only.
 * Frames may be lost when a connection fails, so every message must be safe
 * to send more than once.
 */
#ifndef PS_PEERS_H
#define PS_PEERS_H

#include <ev.h>
#include <glib.h>

#include "peer.pb-c.h"
#include "status.h"
#include "str.h"

#define PS_PEER_PROTOCOL_VERSION 1          /* version of peer.proto */
#define PS_PEER_FRAME_MAX (2 * 1024 * 1024) /* bytes of a received frame */

struct ps_peers;

/**
 * struct ps_peers_events - Callbacks of ps_peers_t.
 * @frame: a frame other than a hello was received; valid in the callback
 * @silent: no frame was received from a peer in use for longer than the
 *          silence_ms of PsPeers_SendHeartbeats()
 * @silence_ended: a frame was received from a peer reported silent
 */
typedef struct ps_peers_events {
    void (*frame)(struct ps_peers *peers, const ps_name_t *from,
                  const Ps__Frame *frame);
    void (*silent)(struct ps_peers *peers, const ps_name_t *peer);
    void (*silence_ended)(struct ps_peers *peers, const ps_name_t *peer);
} ps_peers_events_t;

/**
 * struct ps_peer - A peer and the connection to it; owned by ps_peers_t.
 *
 * Times are milliseconds of g_get_monotonic_time().
 */
typedef struct ps_peer {
    struct ps_peers *peers;
    ps_name_t name;
    ps_name_t address;
    int fd; /* connection opened to the peer; -1: none */
    bool is_connected;
    ev_io io;
    ps_buf_t unsent;
    int64_t connect_after_ms; /* no connection attempt before this time */
    int64_t last_received_ms; /* last frame from it, or start of its use */
    int64_t last_used_ms; /* last PsPeers_MarkUsed(), or last frame sent to it
                             other than a heartbeat; 0: never */
    bool is_silent;       /* has been reported silent */
    bool must_request_reconnect; /* the next hello asks the peer to reconnect
                                    to this daemon */
} ps_peer_t;

/**
 * struct ps_peers - All peer connections of a daemon.
 */
typedef struct ps_peers {
    const ps_peers_events_t *events;
    void *user;
    struct ev_loop *loop;
    ps_name_t self;
    ps_name_t listen_address; /* IP:PORT, sent to peers in the hello */
    uint64_t incarnation;     /* of this daemon's process, sent likewise */
    int listen_fd;
    ev_io listen_io;
    ev_timer local_timer; /* passes on @local_frames in the next iteration */
    GQueue local_frames;  /* frames to this daemon itself, packed, GBytes */
    GHashTable *by_name;  /* ps_name_t to ps_peer_t */
    GQueue inbound;       /* accepted connections */
    uint64_t bytes_sent;  /* this and the next two are without frames to this
                             daemon itself */
    uint64_t bytes_received;
    uint64_t frames_sent; /* queued for a connection */
} ps_peers_t;

/**
 * PsPeers_Init() - Starts to listen for connections of peers.
 * @events: not copied
 * @user: for the callbacks, as peers->user
 * @address: IP:PORT to listen on
 * @self: this daemon's name
 * @incarnation: number of this daemon's process, sent in each hello
 *
 * Return: PS_OK or PS_UNAVAILABLE with the reason.
 */
ps_status_t PsPeers_Init(ps_peers_t *peers, const ps_peers_events_t *events,
                         void *user, struct ev_loop *loop,
                         const ps_name_t *address, const ps_name_t *self,
                         uint64_t incarnation);
void PsPeers_Finish(ps_peers_t *peers); /* closes all connections */

/**
 * PsPeers_SetAddress() - Sets the address of a peer, IP:PORT.
 *
 * Closes the connection to its earlier address, if there was another.
 */
void PsPeers_SetAddress(ps_peers_t *peers, const ps_name_t *name,
                        const ps_name_t *address);

/**
 * PsPeers_Send() - Sends a frame to a peer, connecting to it if needed.
 * @frame: not kept; its protocol field is set here
 *
 * A frame to this daemon itself is passed to the frame callback in a later
 * iteration of the loop. A frame is dropped, without an error, when the peer's
 * address is unknown, less than 250 ms after the connection to the peer was
 * closed or failed, and when the connection fails or has more than 4 MiB to
 * send.
 */
void PsPeers_Send(ps_peers_t *peers, const ps_name_t *to, Ps__Frame *frame);

/**
 * PsPeers_SendHeartbeats() - Sends a heartbeat to each peer in use and
 * reports those that are silent.
 * @heartbeat: not kept; its protocol field is set here
 * @silence_ms: a peer is silent when no frame came from it for longer
 * @now_ms: g_get_monotonic_time() in milliseconds
 */
void PsPeers_SendHeartbeats(ps_peers_t *peers, Ps__Frame *heartbeat,
                            int64_t silence_ms, int64_t now_ms);

/**
 * PsPeers_ResetSilence() - Restarts the silence time of all peers.
 * @now_ms: g_get_monotonic_time() in milliseconds
 *
 * To be called after this process was paused: frames that arrived during the
 * pause have not been read yet.
 */
void PsPeers_ResetSilence(ps_peers_t *peers, int64_t now_ms);

/**
 * PsPeers_Reconnect() - Replaces the connections to and from a peer.
 *
 * Closes the connection to the peer. The next frame sent opens a new one, with
 * a hello that asks the peer to reconnect to this daemon. For a peer that does
 * not answer: its connections may have failed without an error.
 */
void PsPeers_Reconnect(ps_peers_t *peers, const ps_name_t *name);

/**
 * PsPeers_MarkUsed() - Marks a peer as in use for the next 60 s.
 * @now_ms: g_get_monotonic_time() in milliseconds
 *
 * Peers in use are sent heartbeats and reported when they are silent. The
 * silence time of a peer that was not in use starts at @now_ms.
 */
void PsPeers_MarkUsed(ps_peers_t *peers, const ps_name_t *name,
                      int64_t now_ms);

#endif
