/* peers.c - Connects to peers, frames messages and detects silent peers. */
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

#define FRAME_HEADER 4               /* bytes of the length before a frame */
#define UNSENT_MAX (4 * 1024 * 1024) /* bytes queued for one peer */
#define READ_SIZE_MAX (64 * 1024)    /* bytes read at a time */
#define RECONNECT_DELAY_MS 250       /* wait after a connection was closed */
#define UNACKED_TIMEOUT_MS 2000      /* for the TCP ACK of sent bytes */
#define IN_USE_MS 60000 /* how long a peer is in use after it was marked */

/* ---- Types ------------------------------------------------------------ */

typedef struct inbound {
    ev_io io;
    ps_peers_t *peers;
    ps_name_t peer; /* name of the sender; empty before its hello */
    ps_buf_t received;
    GList link;
} inbound_t;

/* ---- Sockets ---------------------------------------------------------- */

static struct sockaddr_in
parse_socket_address(const ps_name_t *address)
{
    ps_name_t host;
    int port;
    PsAddress_Split(address, &host, &port);
    struct sockaddr_in socket_address = {.sin_family = AF_INET,
                                         .sin_port = htons((uint16_t)port)};
    inet_pton(AF_INET, host.data, &socket_address.sin_addr);
    return socket_address;
}

static int64_t
get_now_ms(const ps_peers_t *peers)
{
    (void)peers;
    return g_get_monotonic_time() / 1000;
}

/* ---- Outbound --------------------------------------------------------- */

// Closes the connection to a peer and drops its unsent frames. No new
// connection is opened for RECONNECT_DELAY_MS unless the caller resets
// connect_after_ms.
static void
close_outbound(ps_peer_t *peer)
{
    if (peer->fd >= 0) {
        ev_io_stop(peer->peers->loop, &peer->io);
        close(peer->fd);
    }
    peer->fd = -1;
    peer->is_connected = false;
    PsBuf_Clear(&peer->unsent);
    peer->connect_after_ms = get_now_ms(peer->peers) + RECONNECT_DELAY_MS;
}

static void
watch_socket(ps_peer_t *peer, int events)
{
    ev_io_stop(peer->peers->loop, &peer->io);
    ev_io_set(&peer->io, peer->fd, events);
    ev_io_start(peer->peers->loop, &peer->io);
}

// Sends as many of the queued bytes as the socket takes, and waits for the
// socket to take more if some are left.
static void
send_unsent(ps_peer_t *peer)
{
    while (peer->unsent.len > 0) {
        ssize_t n_sent = send(peer->fd, peer->unsent.data, peer->unsent.len,
                              MSG_NOSIGNAL | MSG_DONTWAIT);
        if (n_sent < 0 && (errno == EAGAIN || errno == EINTR)) {
            break;
        }
        if (n_sent < 0) {
            PsLog_Info("peer", "Connection to %s failed: %s.", peer->name.data,
                       strerror(errno));
            close_outbound(peer);
            return;
        }
        peer->peers->bytes_sent += (uint64_t)n_sent;
        PsBuf_RemoveFront(&peer->unsent, (size_t)n_sent);
    }
    watch_socket(peer, peer->unsent.len > 0 ? EV_READ | EV_WRITE : EV_READ);
}

// Peers do not write to this connection: a read tells whether it was closed.
static void
on_connection_event(struct ev_loop *loop, ev_io *io, int events)
{
    (void)loop;
    (void)events;
    ps_peer_t *peer = io->data;
    if (!peer->is_connected) {
        int error = 0;
        socklen_t len = sizeof error;
        getsockopt(peer->fd, SOL_SOCKET, SO_ERROR, &error, &len);
        if (error != 0) {
            close_outbound(peer);
            return;
        }
        peer->is_connected = true;
    }
    char byte;
    ssize_t n_read = recv(peer->fd, &byte, 1, MSG_DONTWAIT);
    if (n_read == 0 || (n_read < 0 && errno != EAGAIN && errno != EINTR)) {
        close_outbound(peer);
        return;
    }
    send_unsent(peer);
}

// Appends a frame to a buffer: its length in 4 bytes, in network byte order,
// then the packed message.
static void
append_frame(ps_buf_t *out, const Ps__Frame *frame)
{
    size_t len = ps__frame__get_packed_size(frame);
    uint32_t length_field = htonl((uint32_t)len);
    uint8_t *bytes = g_malloc(len);
    ps__frame__pack(frame, bytes);
    PsBuf_Append(out, &length_field, FRAME_HEADER);
    PsBuf_Append(out, bytes, len);
    g_free(bytes);
}

// Queues the hello, which is the first frame of a connection.
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

// Starts to connect unless there is a connection; returns whether there is
// one now, which may still be in progress.
static bool
connect_peer(ps_peer_t *peer, int64_t now_ms)
{
    if (peer->fd >= 0) {
        return true;
    }
    if (now_ms < peer->connect_after_ms || PsName_IsEmpty(&peer->address)) {
        return false;
    }
    struct sockaddr_in socket_address = parse_socket_address(&peer->address);
    peer->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int one = 1;
    setsockopt(peer->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    unsigned int unacked_timeout_ms = UNACKED_TIMEOUT_MS;
    setsockopt(peer->fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked_timeout_ms,
               sizeof unacked_timeout_ms);
    if (connect(peer->fd, (struct sockaddr *)&socket_address,
                sizeof socket_address) < 0 &&
        errno != EINPROGRESS) {
        close_outbound(peer);
        return false;
    }
    ev_io_init(&peer->io, on_connection_event, peer->fd, EV_READ | EV_WRITE);
    peer->io.data = peer;
    ev_io_start(peer->peers->loop, &peer->io);
    append_hello(peer);
    return true;
}

static ps_peer_t *
get_or_add_peer(ps_peers_t *peers, const ps_name_t *name)
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
close_inbound(inbound_t *inbound)
{
    ev_io_stop(inbound->peers->loop, &inbound->io);
    close(inbound->io.fd);
    g_queue_unlink(&inbound->peers->inbound, &inbound->link);
    PsBuf_Finish(&inbound->received);
    g_free(inbound);
}

// Notes that a frame came from a peer, which ends its silence.
static void
mark_received(ps_peers_t *peers, const ps_name_t *name)
{
    ps_peer_t *peer = get_or_add_peer(peers, name);
    peer->last_received_ms = get_now_ms(peers);
    if (peer->is_silent) {
        peer->is_silent = false;
        peers->events->silence_ended(peers, name);
    }
}

// Sets the peer's address from its hello, so that a daemon that cannot read
// the member list from the platform can still connect to it.
static void
handle_hello(inbound_t *inbound, const Ps__Hello *hello)
{
    inbound->peer = PsName_FromC(hello->daemon);
    if (PsAddress_IsValid(hello->address)) {
        ps_name_t address = PsName_FromC(hello->address);
        PsPeers_SetAddress(inbound->peers, &inbound->peer, &address);
    }
    if (hello->renew) {
        ps_peer_t *peer = get_or_add_peer(inbound->peers, &inbound->peer);
        close_outbound(peer);
        peer->connect_after_ms = 0;
    }
}

// Handles one frame; returns false when the connection must be closed.
static bool
handle_frame(inbound_t *inbound, const uint8_t *bytes, size_t len)
{
    Ps__Frame *frame = ps__frame__unpack(NULL, len, bytes);
    const char *reason = NULL;
    if (!frame) {
        reason = "a frame is not a valid protobuf message";
    }
    else if (frame->protocol != PS_PEER_PROTOCOL_VERSION) {
        reason = "it uses another protocol version";
    }
    else if (frame->body_case == PS__FRAME__BODY_HELLO) {
        handle_hello(inbound, frame->hello);
    }
    else if (PsName_IsEmpty(&inbound->peer)) {
        reason = "a message came before the hello";
    }
    if (reason) {
        PsLog_Warn("peer", "Closed the connection from %s: %s.",
                   PsName_IsEmpty(&inbound->peer) ? "an unknown peer"
                                                  : inbound->peer.data,
                   reason);
    }
    else {
        mark_received(inbound->peers, &inbound->peer);
        if (frame->body_case != PS__FRAME__BODY_HELLO) {
            inbound->peers->events->frame(inbound->peers, &inbound->peer,
                                          frame);
        }
    }
    if (frame) {
        ps__frame__free_unpacked(frame, NULL);
    }
    return !reason;
}

// Handles all whole frames that were received; returns false when the
// connection must be closed.
static bool
handle_received(inbound_t *inbound)
{
    size_t offset = 0;
    while (inbound->received.len - offset >= FRAME_HEADER) {
        uint32_t length_field;
        memcpy(&length_field, inbound->received.data + offset, FRAME_HEADER);
        size_t len = ntohl(length_field);
        if (len > PS_PEER_FRAME_MAX) {
            PsLog_Warn(
                "peer",
                "Closed the connection from %s: a frame of %zu bytes is "
                "too large.",
                inbound->peer.data, len);
            return false;
        }
        if (inbound->received.len - offset < FRAME_HEADER + len) {
            break;
        }
        const uint8_t *bytes =
            (const uint8_t *)inbound->received.data + offset + FRAME_HEADER;
        if (!handle_frame(inbound, bytes, len)) {
            return false;
        }
        offset += FRAME_HEADER + len;
    }
    PsBuf_RemoveFront(&inbound->received, offset);
    return true;
}

static void
on_inbound_readable(struct ev_loop *loop, ev_io *io, int events)
{
    (void)loop;
    (void)events;
    inbound_t *inbound = io->data;
    char chunk[READ_SIZE_MAX];
    ssize_t n_read = recv(io->fd, chunk, sizeof chunk, MSG_DONTWAIT);
    if (n_read < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (n_read <= 0) {
        if (inbound->received.len > 0) {
            PsLog_Warn("peer", "The connection from %s ended inside a frame.",
                       inbound->peer.data);
        }
        close_inbound(inbound);
        return;
    }
    inbound->peers->bytes_received += (uint64_t)n_read;
    PsBuf_Append(&inbound->received, chunk, (size_t)n_read);
    if (!handle_received(inbound)) {
        close_inbound(inbound);
    }
}

static void
on_accept_ready(struct ev_loop *loop, ev_io *io, int events)
{
    (void)events;
    ps_peers_t *peers = io->data;
    int fd = accept4(io->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
        return;
    }
    inbound_t *inbound = g_new0(inbound_t, 1);
    inbound->peers = peers;
    inbound->link.data = inbound;
    g_queue_push_tail_link(&peers->inbound, &inbound->link);
    ev_io_init(&inbound->io, on_inbound_readable, fd, EV_READ);
    inbound->io.data = inbound;
    ev_io_start(loop, &inbound->io);
}

/* ---- Frames to this daemon itself ------------------------------------- */

// Passes the frames to this daemon itself to the frame callback. Frames that
// the callbacks send are left for the next iteration of the loop.
static void
on_local_timer(struct ev_loop *loop, ev_timer *timer, int events)
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

// Queues a frame to this daemon itself. It is packed, since the caller keeps
// the original.
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
    ev_timer_init(&peers->local_timer, on_local_timer, 0.0, 0.0);
    peers->local_timer.data = peers;
    struct sockaddr_in socket_address = parse_socket_address(address);
    int one = 1;
    peers->listen_fd =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    setsockopt(peers->listen_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    if (bind(peers->listen_fd, (struct sockaddr *)&socket_address,
             sizeof socket_address) < 0 ||
        listen(peers->listen_fd, SOMAXCONN) < 0) {
        return PsStatus_Fail(PS_UNAVAILABLE, "cannot listen on %s: %s",
                             address->data, strerror(errno));
    }
    ev_io_init(&peers->listen_io, on_accept_ready, peers->listen_fd, EV_READ);
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
        close_outbound(peer);
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
    ps_peer_t *peer = get_or_add_peer(peers, name);
    if (!PsName_IsEqual(&peer->address, address)) {
        close_outbound(peer);
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
    int64_t now_ms = get_now_ms(peers);
    ps_peer_t *peer = get_or_add_peer(peers, to);
    if (frame->body_case != PS__FRAME__BODY_HEARTBEAT) {
        PsPeers_MarkUsed(peers, to, now_ms);
    }
    if (!connect_peer(peer, now_ms)) {
        return;
    }
    append_frame(&peer->unsent, frame);
    peers->frames_sent++;
    if (peer->unsent.len > UNSENT_MAX) {
        PsLog_Warn(
            "peer",
            "Closed the connection to %s: %zu unsent bytes are too many.",
            peer->name.data, peer->unsent.len);
        close_outbound(peer);
    }
    else if (peer->is_connected) {
        send_unsent(peer);
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
    ps_peer_t *peer = get_or_add_peer(peers, name);
    close_outbound(peer);
    peer->connect_after_ms = 0;
    peer->must_request_reconnect = true;
}

void
PsPeers_MarkUsed(ps_peers_t *peers, const ps_name_t *name, int64_t now_ms)
{
    if (PsName_IsEqual(name, &peers->self)) {
        return;
    }
    ps_peer_t *peer = get_or_add_peer(peers, name);
    if (peer->last_used_ms == 0 || now_ms - peer->last_used_ms > IN_USE_MS) {
        peer->last_received_ms = MAX(peer->last_received_ms, now_ms);
    }
    peer->last_used_ms = now_ms;
}
