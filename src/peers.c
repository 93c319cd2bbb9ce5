/* peers.c - Dials peers, frames messages and notices silence. */
#include "peers.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "log.h"
#include "settings.h"

#define FRAME_HEADER 4            /* bytes of a frame's length */
#define OUT_MAX (4 * 1024 * 1024) /* unsent bytes of one peer */
#define READ_BLOCK (64 * 1024)    /* bytes read at a time */
#define RETRY_MS 250              /* pause after a failed dial */
#define UNACKED_TIMEOUT_MS 2000   /* sent bytes that a peer's host ignores */
#define IN_USE_MS 60000           /* a peer is in use after a message */

/* ---- Types ------------------------------------------------------------ */

typedef struct inbound {
    ev_io io;
    ps_peers_t *peers;
    ps_name_t peer; /* empty before its hello */
    ps_buf_t in;
    GList link;
} inbound_t;

/* ---- Sockets ---------------------------------------------------------- */

static struct sockaddr_in
socket_address(const ps_name_t *address)
{
    ps_name_t host;
    int port;
    PsAddress_Split(address, &host, &port);
    struct sockaddr_in in = {.sin_family = AF_INET,
                             .sin_port = htons((uint16_t)port)};
    inet_pton(AF_INET, host.data, &in.sin_addr);
    return in;
}

static int64_t
loop_now_ms(const ps_peers_t *peers)
{
    (void)peers;
    return g_get_monotonic_time() / 1000;
}

/* ---- Outbound --------------------------------------------------------- */

static void
close_out(ps_peer_t *peer)
{
    if (peer->fd >= 0) {
        ev_io_stop(peer->peers->loop, &peer->io);
        close(peer->fd);
    }
    peer->fd = -1;
    peer->is_connected = false;
    PsBuf_Clear(&peer->unsent);
    peer->connect_after_ms = loop_now_ms(peer->peers) + RETRY_MS;
}

static void
set_events(ps_peer_t *peer, int events)
{
    ev_io_stop(peer->peers->loop, &peer->io);
    ev_io_set(&peer->io, peer->fd, events);
    ev_io_start(peer->peers->loop, &peer->io);
}

static void
flush_out(ps_peer_t *peer)
{
    while (peer->unsent.len > 0) {
        ssize_t n = send(peer->fd, peer->unsent.data, peer->unsent.len,
                         MSG_NOSIGNAL | MSG_DONTWAIT);
        if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
            break;
        }
        if (n < 0) {
            PsLog_Info("peer", "link to %s broke: %s", peer->name.data,
                       strerror(errno));
            close_out(peer);
            return;
        }
        peer->peers->bytes_sent += (uint64_t)n;
        PsBuf_RemoveFront(&peer->unsent, (size_t)n);
    }
    set_events(peer, peer->unsent.len > 0 ? EV_READ | EV_WRITE : EV_READ);
}

static void
on_out(struct ev_loop *loop, ev_io *io, int events)
{
    (void)loop;
    (void)events;
    ps_peer_t *peer = io->data;
    if (!peer->is_connected) {
        int error = 0;
        socklen_t len = sizeof error;
        getsockopt(peer->fd, SOL_SOCKET, SO_ERROR, &error, &len);
        if (error != 0) {
            close_out(peer);
            return;
        }
        peer->is_connected = true;
    }
    char byte;
    ssize_t n = recv(peer->fd, &byte, 1, MSG_DONTWAIT);
    if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR)) {
        close_out(peer);
        return;
    }
    flush_out(peer);
}

static void
append_frame(ps_buf_t *out, const Ps__Frame *frame)
{
    size_t len = ps__frame__get_packed_size(frame);
    uint32_t header = htonl((uint32_t)len);
    uint8_t *bytes = g_malloc(len);
    ps__frame__pack(frame, bytes);
    PsBuf_Append(out, &header, FRAME_HEADER);
    PsBuf_Append(out, bytes, len);
    g_free(bytes);
}

static void
append_hello(ps_peer_t *peer)
{
    Ps__Hello hello = PS__HELLO__INIT;
    hello.daemon = peer->peers->self.data;
    hello.address = peer->peers->listen_address.data;
    hello.incarnation = peer->peers->incarnation;
    hello.renew = peer->must_request_reconnect;
    peer->must_request_reconnect = false;
    Ps__Frame frame = PS__FRAME__INIT;
    frame.protocol = PS_PEER_PROTOCOL_VERSION;
    frame.body_case = PS__FRAME__BODY_HELLO;
    frame.hello = &hello;
    append_frame(&peer->unsent, &frame);
}

static bool
dial(ps_peer_t *peer, int64_t now_ms)
{
    if (peer->fd >= 0) {
        return true;
    }
    if (now_ms < peer->connect_after_ms || PsName_IsEmpty(&peer->address)) {
        return false;
    }
    struct sockaddr_in in = socket_address(&peer->address);
    peer->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int one = 1;
    setsockopt(peer->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    unsigned int unacked = UNACKED_TIMEOUT_MS;
    setsockopt(peer->fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked,
               sizeof unacked);
    if (connect(peer->fd, (struct sockaddr *)&in, sizeof in) < 0 &&
        errno != EINPROGRESS) {
        close_out(peer);
        return false;
    }
    ev_io_init(&peer->io, on_out, peer->fd, EV_READ | EV_WRITE);
    peer->io.data = peer;
    ev_io_start(peer->peers->loop, &peer->io);
    append_hello(peer);
    return true;
}

static ps_peer_t *
get_peer(ps_peers_t *peers, const ps_name_t *name)
{
    ps_peer_t *peer = g_hash_table_lookup(peers->by_name, name);
    if (!peer) {
        peer = g_new0(ps_peer_t, 1);
        peer->peers = peers;
        peer->name = *name;
        peer->fd = -1;
        g_hash_table_insert(peers->by_name, &peer->name, peer);
    }
    return peer;
}

/* ---- Inbound ---------------------------------------------------------- */

static void
close_inbound(inbound_t *in)
{
    ev_io_stop(in->peers->loop, &in->io);
    close(in->io.fd);
    g_queue_unlink(&in->peers->inbound, &in->link);
    PsBuf_Finish(&in->in);
    g_free(in);
}

static void
note_heard(ps_peers_t *peers, const ps_name_t *name)
{
    ps_peer_t *peer = get_peer(peers, name);
    peer->last_received_ms = loop_now_ms(peers);
    if (peer->is_silent) {
        peer->is_silent = false;
        peers->events->heard_again(peers, name);
    }
}

// A daemon that cannot read the member list learns addresses this way.
static void
take_hello(inbound_t *in, const Ps__Hello *hello)
{
    in->peer = PsName_FromC(hello->daemon);
    if (PsAddress_IsValid(hello->address)) {
        ps_name_t address = PsName_FromC(hello->address);
        PsPeers_SetAddress(in->peers, &in->peer, &address);
    }
    if (hello->renew) {
        ps_peer_t *peer = get_peer(in->peers, &in->peer);
        close_out(peer);
        peer->connect_after_ms = 0;
    }
}

// Takes one frame in; false when the connection has to be dropped.
static bool
take_frame(inbound_t *in, const uint8_t *bytes, size_t len)
{
    Ps__Frame *frame = ps__frame__unpack(NULL, len, bytes);
    const char *fault = NULL;
    if (!frame) {
        fault = "a frame that cannot be read";
    }
    else if (frame->protocol != PS_PEER_PROTOCOL_VERSION) {
        fault = "another protocol version";
    }
    else if (frame->body_case == PS__FRAME__BODY_HELLO) {
        take_hello(in, frame->hello);
    }
    else if (PsName_IsEmpty(&in->peer)) {
        fault = "a message before its hello";
    }
    if (fault) {
        PsLog_Warn("peer", "dropped connection of %s: %s",
                   PsName_IsEmpty(&in->peer) ? "a stranger" : in->peer.data,
                   fault);
    }
    else {
        note_heard(in->peers, &in->peer);
        if (frame->body_case != PS__FRAME__BODY_HELLO) {
            in->peers->events->frame(in->peers, &in->peer, frame);
        }
    }
    if (frame) {
        ps__frame__free_unpacked(frame, NULL);
    }
    return !fault;
}

static bool
take_frames(inbound_t *in)
{
    size_t at = 0;
    while (in->in.len - at >= FRAME_HEADER) {
        uint32_t header;
        memcpy(&header, in->in.data + at, FRAME_HEADER);
        size_t len = ntohl(header);
        if (len > PS_PEER_FRAME_MAX) {
            PsLog_Warn("peer",
                       "dropped connection of %s: a frame of %zu "
                       "bytes",
                       in->peer.data, len);
            return false;
        }
        if (in->in.len - at < FRAME_HEADER + len) {
            break;
        }
        const uint8_t *bytes =
            (const uint8_t *)in->in.data + at + FRAME_HEADER;
        if (!take_frame(in, bytes, len)) {
            return false;
        }
        at += FRAME_HEADER + len;
    }
    PsBuf_RemoveFront(&in->in, at);
    return true;
}

static void
on_inbound(struct ev_loop *loop, ev_io *io, int events)
{
    (void)loop;
    (void)events;
    inbound_t *in = io->data;
    char block[READ_BLOCK];
    ssize_t n = recv(io->fd, block, sizeof block, MSG_DONTWAIT);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (n <= 0) {
        if (in->in.len > 0) {
            PsLog_Warn("peer", "connection of %s ended inside a frame",
                       in->peer.data);
        }
        close_inbound(in);
        return;
    }
    in->peers->bytes_received += (uint64_t)n;
    PsBuf_Append(&in->in, block, (size_t)n);
    if (!take_frames(in)) {
        close_inbound(in);
    }
}

static void
on_accept(struct ev_loop *loop, ev_io *io, int events)
{
    (void)events;
    ps_peers_t *peers = io->data;
    int fd = accept4(io->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
        return;
    }
    inbound_t *in = g_new0(inbound_t, 1);
    in->peers = peers;
    in->link.data = in;
    g_queue_push_tail_link(&peers->inbound, &in->link);
    ev_io_init(&in->io, on_inbound, fd, EV_READ);
    in->io.data = in;
    ev_io_start(loop, &in->io);
}

/* ---- Frames to this daemon itself ------------------------------------- */

static void
on_local(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    ps_peers_t *peers = timer->data;
    guint n = peers->local_frames.length;
    for (guint i = 0; i < n; i++) {
        GBytes *bytes = g_queue_pop_head(&peers->local_frames);
        gsize len;
        const uint8_t *data = g_bytes_get_data(bytes, &len);
        Ps__Frame *frame = ps__frame__unpack(NULL, len, data);
        g_assert(frame);
        peers->events->frame(peers, &peers->self, frame);
        ps__frame__free_unpacked(frame, NULL);
        g_bytes_unref(bytes);
    }
    if (peers->local_frames.length > 0) {
        ev_timer_set(&peers->local_timer, 0.0, 0.0);
        ev_timer_start(peers->loop, &peers->local_timer);
    }
}

static void
send_local(ps_peers_t *peers, const Ps__Frame *frame)
{
    size_t len = ps__frame__get_packed_size(frame);
    uint8_t *bytes = g_malloc(len);
    ps__frame__pack(frame, bytes);
    g_queue_push_tail(&peers->local_frames, g_bytes_new_take(bytes, len));
    if (!ev_is_active(&peers->local_timer)) {
        ev_timer_set(&peers->local_timer, 0.0, 0.0);
        ev_timer_start(peers->loop, &peers->local_timer);
    }
}

/* ---- Public functions ------------------------------------------------- */

ps_status_t
PsPeers_Init(ps_peers_t *peers, const ps_peers_events_t *events, void *user,
             struct ev_loop *loop, const ps_name_t *address,
             const ps_name_t *self, uint64_t incarnation)
{
    *peers = (ps_peers_t){.events = events,
                          .user = user,
                          .loop = loop,
                          .self = *self,
                          .listen_address = *address,
                          .incarnation = incarnation};
    peers->by_name = g_hash_table_new(PsName_Hash, PsName_EqualKeys);
    g_queue_init(&peers->inbound);
    g_queue_init(&peers->local_frames);
    ev_timer_init(&peers->local_timer, on_local, 0.0, 0.0);
    peers->local_timer.data = peers;
    struct sockaddr_in in = socket_address(address);
    int one = 1;
    peers->listen_fd =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    setsockopt(peers->listen_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    if (bind(peers->listen_fd, (struct sockaddr *)&in, sizeof in) < 0 ||
        listen(peers->listen_fd, SOMAXCONN) < 0) {
        return PsStatus_Fail(PS_UNAVAILABLE, "cannot listen on %s: %s",
                             address->data, strerror(errno));
    }
    ev_io_init(&peers->listen_io, on_accept, peers->listen_fd, EV_READ);
    peers->listen_io.data = peers;
    ev_io_start(loop, &peers->listen_io);
    return PS_OK;
}

void
PsPeers_Finish(ps_peers_t *peers)
{
    ev_io_stop(peers->loop, &peers->listen_io);
    close(peers->listen_fd);
    ev_timer_stop(peers->loop, &peers->local_timer);
    GList *next;
    for (GList *l = peers->inbound.head; l; l = next) {
        next = l->next;
        close_inbound(l->data);
    }
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, peers->by_name);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ps_peer_t *peer = value;
        close_out(peer);
        PsBuf_Finish(&peer->unsent);
        g_free(peer);
    }
    g_hash_table_destroy(peers->by_name);
    g_queue_clear_full(&peers->local_frames, (GDestroyNotify)g_bytes_unref);
}

void
PsPeers_SetAddress(ps_peers_t *peers, const ps_name_t *name,
                   const ps_name_t *address)
{
    ps_peer_t *peer = get_peer(peers, name);
    if (!PsName_IsEqual(&peer->address, address)) {
        close_out(peer);
        peer->address = *address;
        peer->connect_after_ms = 0;
    }
}

void
PsPeers_Send(ps_peers_t *peers, const ps_name_t *to, Ps__Frame *frame)
{
    frame->protocol = PS_PEER_PROTOCOL_VERSION;
    if (PsName_IsEqual(to, &peers->self)) {
        send_local(peers, frame);
        return;
    }
    int64_t now_ms = loop_now_ms(peers);
    ps_peer_t *peer = get_peer(peers, to);
    if (frame->body_case != PS__FRAME__BODY_HEARTBEAT) {
        PsPeers_MarkUsed(peers, to, now_ms);
    }
    if (!dial(peer, now_ms)) {
        return;
    }
    append_frame(&peer->unsent, frame);
    peers->frames_sent++;
    if (peer->unsent.len > OUT_MAX) {
        PsLog_Warn("peer", "link to %s dropped: %zu bytes unsent",
                   peer->name.data, peer->unsent.len);
        close_out(peer);
    }
    else if (peer->is_connected) {
        flush_out(peer);
    }
}

void
PsPeers_SendHeartbeats(ps_peers_t *peers, Ps__Frame *heartbeat,
                       int64_t silence_ms, int64_t now_ms)
{
    GList *all = g_hash_table_get_values(peers->by_name);
    for (GList *l = all; l; l = l->next) {
        ps_peer_t *peer = l->data;
        if (peer->last_used_ms == 0 ||
            now_ms - peer->last_used_ms > IN_USE_MS) {
            continue;
        }
        PsPeers_Send(peers, &peer->name, heartbeat);
        if (!peer->is_silent && now_ms - peer->last_received_ms > silence_ms) {
            peer->is_silent = true;
            peers->events->silent(peers, &peer->name);
        }
    }
    g_list_free(all);
}

void
PsPeers_ResetSilence(ps_peers_t *peers, int64_t now_ms)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, peers->by_name);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ps_peer_t *peer = value;
        peer->last_received_ms = now_ms;
    }
}

void
PsPeers_Reconnect(ps_peers_t *peers, const ps_name_t *name)
{
    if (PsName_IsEqual(name, &peers->self)) {
        return;
    }
    ps_peer_t *peer = get_peer(peers, name);
    close_out(peer);
    peer->connect_after_ms = 0;
    peer->must_request_reconnect = true;
}

void
PsPeers_MarkUsed(ps_peers_t *peers, const ps_name_t *name, int64_t now_ms)
{
    if (PsName_IsEqual(name, &peers->self)) {
        return;
    }
    ps_peer_t *peer = get_peer(peers, name);
    if (peer->last_used_ms == 0 || now_ms - peer->last_used_ms > IN_USE_MS) {
        peer->last_received_ms = MAX(peer->last_received_ms, now_ms);
    }
    peer->last_used_ms = now_ms;
}
