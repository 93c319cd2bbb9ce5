/*
 * peers.h - TCP frames between daemons.
 *
 * A daemon dials each peer that it sends to and reads from the connections
 * that its peers dial. Frames may be lost with a connection; every message is
 * safe to send again.
 */
#ifndef PS_PEERS_H
#define PS_PEERS_H

#include <ev.h>
#include <glib.h>

#include "peer.pb-c.h"
#include "status.h"
#include "str.h"

#define PS_PEER_PROTOCOL_VERSION 1          /* version of the messages */
#define PS_PEER_FRAME_MAX (2 * 1024 * 1024) /* bytes of one frame */

struct ps_peers;

/**
 * struct ps_peers_events - What the links tell their user.
 * @frame: a message of a peer
 * @silent: nothing has been heard from a peer in use for the silence time
 * @heard: a peer that was silent is heard again
 */
typedef struct ps_peers_events {
    void (*frame)(struct ps_peers *peers, const ps_name_t *from,
                  const Ps__Frame *frame);
    void (*silent)(struct ps_peers *peers, const ps_name_t *peer);
    void (*heard_again)(struct ps_peers *peers, const ps_name_t *peer);
} ps_peers_events_t;

/**
 * struct ps_peer - One peer.
 */
typedef struct ps_peer {
    struct ps_peers *peers;
    ps_name_t name;
    ps_name_t address;
    int fd; /* dialled connection; -1: none */
    bool is_connected;
    ev_io io;
    ps_buf_t unsent;
    int64_t connect_after_ms; /* not dialled before */
    int64_t last_received_ms; /* last frame from it, or start of its use */
    int64_t last_used_ms;     /* last frame to it other than a heartbeat */
    bool is_silent;
    bool must_request_reconnect; /* its own link to this daemon too */
} ps_peer_t;

/**
 * struct ps_peers - All links of a daemon.
 */
typedef struct ps_peers {
    const ps_peers_events_t *events;
    void *user;
    struct ev_loop *loop;
    ps_name_t self;
    ps_name_t listen_address; /* where this daemon listens */
    uint64_t incarnation;
    int listen_fd;
    ev_io listen_io;
    ev_timer local_timer;
    GQueue local_frames; /* frames to this daemon itself, GBytes */
    GHashTable *by_name; /* ps_name_t to ps_peer_t */
    GQueue inbound;      /* accepted connections */
    uint64_t bytes_sent;
    uint64_t bytes_received;
    uint64_t frames_sent;
} ps_peers_t;

/**
 * PsPeers_Init() - Listens for peers.
 * @address: IP:PORT
 * @self: this daemon's name
 *
 * Return: PS_OK or PS_UNAVAILABLE with the reason.
 */
ps_status_t PsPeers_Init(ps_peers_t *peers, const ps_peers_events_t *events,
                         void *user, struct ev_loop *loop,
                         const ps_name_t *address, const ps_name_t *self,
                         uint64_t incarnation);
void PsPeers_Finish(ps_peers_t *peers);

/**
 * PsPeers_SetAddress() - Sets where a peer is dialled.
 */
void PsPeers_SetAddress(ps_peers_t *peers, const ps_name_t *name,
                        const ps_name_t *address);

/**
 * PsPeers_Send() - Sends a frame; to this daemon itself it comes back later.
 * @frame: its protocol field is set here
 */
void PsPeers_Send(ps_peers_t *peers, const ps_name_t *to, Ps__Frame *frame);

/**
 * PsPeers_SendHeartbeats() - Sends a heartbeat to all peers in use; finds
 * silent ones.
 * @silence_ms: a peer in use is silent after this time
 */
void PsPeers_SendHeartbeats(ps_peers_t *peers, Ps__Frame *heartbeat,
                            int64_t silence_ms, int64_t now_ms);

/**
 * PsPeers_ResetSilence() - Starts all silence times anew, after this process
 * was paused itself.
 */
void PsPeers_ResetSilence(ps_peers_t *peers, int64_t now_ms);

/**
 * PsPeers_Reconnect() - Dials a peer anew and asks it to do the same, because
 * the links may have gone silent.
 */
void PsPeers_Reconnect(ps_peers_t *peers, const ps_name_t *name);

/**
 * PsPeers_MarkUsed() - Marks a peer as in use, so that its silence is noticed.
 */
void PsPeers_MarkUsed(ps_peers_t *peers, const ps_name_t *name,
                      int64_t now_ms);

#endif
