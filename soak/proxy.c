/*
 * proxy.c - TCP proxy that injects network faults.
 *
 * Usage: soak-proxy LISTEN TARGET CONTROL [LISTEN TARGET]..., each an IP:PORT.
 * Forwards connections to each LISTEN on to the TARGET after it. Each
 * connection to CONTROL sends one command, which holds for all of them:
 * delay MS: bytes are held for up to this many milliseconds; those that arrive
 *     while others are held are forwarded together with them
 * drop PERCENT: this percentage of new connections is reset
 * reset: all open connections are reset, once
 * silence up|down|both: bytes towards the target (up), towards the caller
 *     (down) or both are no longer read; connections stay open
 * refuse: new connections are refused
 * hang: new connections do not open; their first packets are dropped
 * break open|close|request|answer: open connections are reset; new ones open
 *     and are then reset (open), closed (close), reset when bytes have come
 *     (request), or these are answered here (answer)
 * clear: ends delay, drop, silence, refuse, hang and break.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <ev.h>
#include <fcntl.h>
#include <glib.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CHUNK_BYTES (16 * 1024) /* most bytes read at a time */
#define BACKLOG 512
#define LISTENERS_MAX 64
#define FILLERS 2 /* connections that fill the queue of a listener */

/* ---- Types ------------------------------------------------------------ */

// One of the two sockets of a link.
typedef struct endpoint {
    int fd;
    ev_io read;
    ev_io write;
    ev_timer delay;        /* until out is sent */
    GByteArray *out;       /* bytes to be sent to it */
    bool is_source_closed; /* peer sends no more: out gets no more bytes */
    struct link *link;
    struct endpoint *peer;
} endpoint_t;

// A connection from a caller and the connection to the target that its bytes
// are forwarded on.
typedef struct link {
    endpoint_t caller; /* socket that the proxy accepted */
    endpoint_t target; /* socket that the proxy connected */
    GList queue_link;  /* in links */
} link_t;

// An address at which connections are accepted.
typedef struct listener {
    struct sockaddr_in address;
    struct sockaddr_in target;
    int fd; /* -1: new connections are refused */
    ev_io io;
    int fillers[FILLERS]; /* while new connections hang; -1: none */
} listener_t;

/* ---- Globals ---------------------------------------------------------- */

static struct ev_loop *loop;
static listener_t listeners[LISTENERS_MAX];
static int n_listeners;
static GQueue links;
static int delay_ms;       /* before bytes are forwarded */
static int drop_percent;   /* of new connections, which are reset */
static char break_how[16]; /* of new connections; empty: they are not broken */
static bool is_caller_silenced; /* bytes that callers send are not read */
static bool is_target_silenced; /* bytes that the target sends are not read */

/* ---- Internal functions ----------------------------------------------- */

static struct sockaddr_in
parse_address(const char *text)
{
    char host[64] = {0};
    const char *colon = strrchr(text, ':');
    memcpy(host, text, (size_t)(colon - text));
    struct sockaddr_in in = {.sin_family = AF_INET,
                             .sin_port = htons((uint16_t)atoi(colon + 1))};
    inet_pton(AF_INET, host, &in.sin_addr);
    return in;
}

// Closes a socket: with a TCP reset if @is_reset.
static void
close_endpoint(endpoint_t *endpoint, bool is_reset)
{
    struct linger reset_on_close = {1, 0};
    if (is_reset) {
        setsockopt(endpoint->fd, SOL_SOCKET, SO_LINGER, &reset_on_close,
                   sizeof reset_on_close);
    }
    ev_io_stop(loop, &endpoint->read);
    ev_io_stop(loop, &endpoint->write);
    ev_timer_stop(loop, &endpoint->delay);
    close(endpoint->fd);
    g_byte_array_free(endpoint->out, TRUE);
}

static void
close_link(link_t *link, bool is_reset)
{
    close_endpoint(&link->caller, is_reset);
    close_endpoint(&link->target, is_reset);
    g_queue_unlink(&links, &link->queue_link);
    g_free(link);
}

// Tells whether the bytes that an endpoint sends must not be read now.
static bool
is_silenced(const endpoint_t *from)
{
    return from == &from->link->caller ? is_caller_silenced
                                       : is_target_silenced;
}

// Ends a connection whose bytes have come, as "break request" and "break
// answer" say.
static void
break_link(link_t *link)
{
    static const char answer[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                                 "Response-Stamp: another\r\n\r\nno";
    bool is_answered = strcmp(break_how, "answer") == 0;
    if (is_answered &&
        send(link->caller.fd, answer, sizeof answer - 1, MSG_NOSIGNAL) < 0) {
        fprintf(stderr, "soak-proxy: not answered: %s\n", strerror(errno));
    }
    close_link(link, !is_answered);
}

// Reads bytes of one endpoint and queues them for the other one.
static void
on_read(struct ev_loop *unused, ev_io *io, int events)
{
    (void)unused;
    (void)events;
    endpoint_t *endpoint = io->data;
    if (is_silenced(endpoint)) {
        ev_io_stop(loop, &endpoint->read);
        return;
    }
    uint8_t chunk[CHUNK_BYTES];
    ssize_t n = recv(endpoint->fd, chunk, sizeof chunk, MSG_DONTWAIT);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (n < 0) {
        close_link(endpoint->link, true);
        return;
    }
    if (n > 0 && *break_how && endpoint == &endpoint->link->caller) {
        break_link(endpoint->link);
        return;
    }
    endpoint_t *peer = endpoint->peer;
    if (n == 0) {
        peer->is_source_closed = true;
        ev_io_stop(loop, &endpoint->read);
    }
    g_byte_array_append(peer->out, chunk, (guint)n);
    if (delay_ms > 0 && !ev_is_active(&peer->delay)) {
        ev_timer_set(&peer->delay, delay_ms / 1000.0, 0.0);
        ev_timer_start(loop, &peer->delay);
    }
    else if (delay_ms == 0) {
        ev_io_start(loop, &peer->write);
    }
}

static void
on_delay(struct ev_loop *unused, ev_timer *timer, int events)
{
    (void)unused;
    (void)events;
    endpoint_t *endpoint = timer->data;
    ev_io_start(loop, &endpoint->write);
}

// Sends an endpoint's queued bytes. When its source has closed and all bytes
// are sent, the endpoint is closed for writing; when both are, so is the link.
static void
on_write(struct ev_loop *unused, ev_io *io, int events)
{
    (void)unused;
    (void)events;
    endpoint_t *endpoint = io->data;
    ssize_t n = send(endpoint->fd, endpoint->out->data, endpoint->out->len,
                     MSG_DONTWAIT | MSG_NOSIGNAL);
    if (n < 0 && errno != EAGAIN && errno != EINTR) {
        close_link(endpoint->link, true);
        return;
    }
    if (n > 0) {
        g_byte_array_remove_range(endpoint->out, 0, (guint)n);
    }
    if (endpoint->out->len > 0) {
        return;
    }
    ev_io_stop(loop, &endpoint->write);
    if (endpoint->is_source_closed) {
        shutdown(endpoint->fd, SHUT_WR);
        if (endpoint->peer->is_source_closed &&
            endpoint->peer->out->len == 0) {
            close_link(endpoint->link, false);
        }
    }
}

static void
init_endpoint(endpoint_t *endpoint, link_t *link, endpoint_t *peer, int fd)
{
    int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    endpoint->fd = fd;
    endpoint->link = link;
    endpoint->peer = peer;
    endpoint->out = g_byte_array_new();
    ev_io_init(&endpoint->read, on_read, fd, EV_READ);
    ev_io_init(&endpoint->write, on_write, fd, EV_WRITE);
    ev_timer_init(&endpoint->delay, on_delay, 0.0, 0.0);
    endpoint->read.data = endpoint;
    endpoint->write.data = endpoint;
    endpoint->delay.data = endpoint;
    ev_io_start(loop, &endpoint->read);
}

static void
on_accept(struct ev_loop *unused, ev_io *io, int events)
{
    (void)unused;
    (void)events;
    int fd = accept4(io->fd, NULL, NULL, SOCK_NONBLOCK);
    if (fd < 0) {
        return;
    }
    if (strcmp(break_how, "close") == 0) {
        close(fd);
        return;
    }
    if (rand() % 100 < drop_percent || strcmp(break_how, "open") == 0) {
        struct linger reset_on_close = {1, 0};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset_on_close,
                   sizeof reset_on_close);
        close(fd);
        return;
    }
    const listener_t *listener = io->data;
    int target_fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    connect(target_fd, (const struct sockaddr *)&listener->target,
            sizeof listener->target);
    link_t *link = g_new0(link_t, 1);
    link->queue_link.data = link;
    g_queue_push_tail_link(&links, &link->queue_link);
    init_endpoint(&link->caller, link, &link->target, fd);
    init_endpoint(&link->target, link, &link->caller, target_fd);
}

static int
open_listener(const struct sockaddr_in *address)
{
    int one = 1;
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    if (bind(fd, (const struct sockaddr *)address, sizeof *address) < 0 ||
        listen(fd, BACKLOG) < 0) {
        fprintf(stderr, "soak-proxy: cannot listen: %s\n", strerror(errno));
        exit(1);
    }
    return fd;
}

static void
start_accepting(listener_t *listener)
{
    listener->fd = open_listener(&listener->address);
    ev_io_init(&listener->io, on_accept, listener->fd, EV_READ);
    listener->io.data = listener;
    ev_io_start(loop, &listener->io);
}

static void
stop_accepting(listener_t *listener)
{
    ev_io_stop(loop, &listener->io);
    for (int i = 0; i < FILLERS; i++) {
        if (listener->fillers[i] >= 0) {
            close(listener->fillers[i]);
        }
        listener->fillers[i] = -1;
    }
    if (listener->fd >= 0) {
        close(listener->fd);
    }
    listener->fd = -1;
}

// Fills the queue of connections that wait to be accepted. The kernel drops
// the first packets of others then, so that they do not open.
static void
hang_connects(listener_t *listener)
{
    if (listener->fd < 0) {
        start_accepting(listener);
    }
    ev_io_stop(loop, &listener->io);
    listen(listener->fd, 0);
    for (int i = 0; i < FILLERS; i++) {
        listener->fillers[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        connect(listener->fillers[i], (struct sockaddr *)&listener->address,
                sizeof listener->address);
    }
}

static void
resume_reads(void)
{
    for (GList *l = links.head; l; l = l->next) {
        link_t *link = l->data;
        ev_io_start(loop, &link->caller.read);
        ev_io_start(loop, &link->target.read);
    }
}

static void
reset_links(void)
{
    while (links.head) {
        close_link(links.head->data, true);
    }
}

static void
handle_command(const char *line)
{
    char direction[16] = "";
    if (sscanf(line, "delay %d", &delay_ms) == 1 ||
        sscanf(line, "drop %d", &drop_percent) == 1) {
        return;
    }
    if (sscanf(line, "silence %15s", direction) == 1) {
        is_caller_silenced = strcmp(direction, "down") != 0;
        is_target_silenced = strcmp(direction, "up") != 0;
    }
    else if (strncmp(line, "reset", 5) == 0) {
        reset_links();
    }
    else if (sscanf(line, "break %15s", break_how) == 1) {
        reset_links();
    }
    else if (strncmp(line, "refuse", 6) == 0) {
        for (int i = 0; i < n_listeners; i++) {
            stop_accepting(&listeners[i]);
        }
    }
    else if (strncmp(line, "hang", 4) == 0) {
        for (int i = 0; i < n_listeners; i++) {
            hang_connects(&listeners[i]);
        }
    }
    else if (strncmp(line, "clear", 5) == 0) {
        for (int i = 0; i < n_listeners; i++) {
            stop_accepting(&listeners[i]);
            start_accepting(&listeners[i]);
        }
        delay_ms = 0;
        drop_percent = 0;
        *break_how = '\0';
        is_caller_silenced = false;
        is_target_silenced = false;
        resume_reads();
    }
}

static void
on_control(struct ev_loop *unused, ev_io *io, int events)
{
    (void)unused;
    (void)events;
    int fd = accept(io->fd, NULL, NULL);
    char line[128] = {0};
    if (fd >= 0 && recv(fd, line, sizeof line - 1, 0) > 0) {
        handle_command(line);
    }
    close(fd);
}

/* ---- Program ---------------------------------------------------------- */

int
main(int argc, char **argv)
{
    if (argc < 4 || argc % 2 != 0 || argc / 2 - 1 > LISTENERS_MAX) {
        fprintf(stderr, "usage: soak-proxy LISTEN TARGET CONTROL "
                        "[LISTEN TARGET]...\n");
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    loop = ev_default_loop(EVFLAG_AUTO);
    g_queue_init(&links);
    for (int i = 1; i < argc; i += i == 1 ? 3 : 2) {
        listener_t *listener = &listeners[n_listeners++];
        *listener = (listener_t){.address = parse_address(argv[i]),
                                 .target = parse_address(argv[i + 1]),
                                 .fd = -1};
        memset(listener->fillers, -1, sizeof listener->fillers);
        start_accepting(listener);
    }
    struct sockaddr_in control_address = parse_address(argv[3]);
    ev_io control_io;
    ev_io_init(&control_io, on_control, open_listener(&control_address),
               EV_READ);
    ev_io_start(loop, &control_io);
    ev_run(loop, 0);
    return 0;
}
