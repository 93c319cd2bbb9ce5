/*
 * proxy.c - Loopback proxy that delays, resets, cuts and silences.
 *
 * soak-proxy LISTEN TARGET CONTROL; each line sent to CONTROL is a command:
 * delay MS | drop PERCENT | reset | silence up|down|both | clear.
 * "drop" resets new connections, "reset" all open ones, "silence" stops one
 * direction or both, of open and new connections.
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

#define BLOCK (16 * 1024) /* bytes moved at a time */
#define BACKLOG 512

/* ---- Types ------------------------------------------------------------ */

typedef struct side {
    int fd;
    ev_io read;
    ev_io write;
    ev_timer delay;
    GByteArray *out; /* bytes for this side */
    bool is_ended;   /* nothing more will come for it */
    struct pair *pair;
    struct side *other;
} side_t;

typedef struct pair {
    side_t up;   /* towards the caller: what it sends goes up */
    side_t down; /* towards the target */
    GList link;
} pair_t;

/* ---- Globals ---------------------------------------------------------- */

static struct ev_loop *loop;
static struct sockaddr_in target;
static GQueue pairs;
static int delay_ms;
static int drop_percent;
static bool is_up_silent;
static bool is_down_silent;

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

static void
close_side(side_t *side, bool is_reset)
{
    struct linger hard = {1, 0};
    if (is_reset) {
        setsockopt(side->fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    }
    ev_io_stop(loop, &side->read);
    ev_io_stop(loop, &side->write);
    ev_timer_stop(loop, &side->delay);
    close(side->fd);
    g_byte_array_free(side->out, TRUE);
}

static void
close_pair(pair_t *pair, bool is_reset)
{
    close_side(&pair->up, is_reset);
    close_side(&pair->down, is_reset);
    g_queue_unlink(&pairs, &pair->link);
    g_free(pair);
}

static bool
is_silent(const side_t *from)
{
    return from == &from->pair->up ? is_up_silent : is_down_silent;
}

static void
on_read(struct ev_loop *unused, ev_io *io, int events)
{
    (void)unused;
    (void)events;
    side_t *side = io->data;
    if (is_silent(side)) {
        ev_io_stop(loop, &side->read);
        return;
    }
    uint8_t block[BLOCK];
    ssize_t n = recv(side->fd, block, sizeof block, MSG_DONTWAIT);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (n < 0) {
        close_pair(side->pair, true);
        return;
    }
    side_t *other = side->other;
    if (n == 0) {
        other->is_ended = true;
        ev_io_stop(loop, &side->read);
    }
    g_byte_array_append(other->out, block, (guint)n);
    if (delay_ms > 0 && !ev_is_active(&other->delay)) {
        ev_timer_set(&other->delay, delay_ms / 1000.0, 0.0);
        ev_timer_start(loop, &other->delay);
    }
    else if (delay_ms == 0) {
        ev_io_start(loop, &other->write);
    }
}

static void
on_delay(struct ev_loop *unused, ev_timer *timer, int events)
{
    (void)unused;
    (void)events;
    side_t *side = timer->data;
    ev_io_start(loop, &side->write);
}

static void
on_write(struct ev_loop *unused, ev_io *io, int events)
{
    (void)unused;
    (void)events;
    side_t *side = io->data;
    ssize_t n = send(side->fd, side->out->data, side->out->len,
                     MSG_DONTWAIT | MSG_NOSIGNAL);
    if (n < 0 && errno != EAGAIN && errno != EINTR) {
        close_pair(side->pair, true);
        return;
    }
    if (n > 0) {
        g_byte_array_remove_range(side->out, 0, (guint)n);
    }
    if (side->out->len > 0) {
        return;
    }
    ev_io_stop(loop, &side->write);
    if (side->is_ended) {
        shutdown(side->fd, SHUT_WR);
        if (side->other->is_ended && side->other->out->len == 0) {
            close_pair(side->pair, false);
        }
    }
}

static void
init_side(side_t *side, pair_t *pair, side_t *other, int fd)
{
    int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    side->fd = fd;
    side->pair = pair;
    side->other = other;
    side->out = g_byte_array_new();
    ev_io_init(&side->read, on_read, fd, EV_READ);
    ev_io_init(&side->write, on_write, fd, EV_WRITE);
    ev_timer_init(&side->delay, on_delay, 0.0, 0.0);
    side->read.data = side;
    side->write.data = side;
    side->delay.data = side;
    ev_io_start(loop, &side->read);
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
    if (rand() % 100 < drop_percent) {
        struct linger hard = {1, 0};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
        close(fd);
        return;
    }
    int out = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    connect(out, (struct sockaddr *)&target, sizeof target);
    pair_t *pair = g_new0(pair_t, 1);
    pair->link.data = pair;
    g_queue_push_tail_link(&pairs, &pair->link);
    init_side(&pair->up, pair, &pair->down, fd);
    init_side(&pair->down, pair, &pair->up, out);
}

static void
resume_reads(void)
{
    for (GList *l = pairs.head; l; l = l->next) {
        pair_t *pair = l->data;
        ev_io_start(loop, &pair->up.read);
        ev_io_start(loop, &pair->down.read);
    }
}

static void
obey(const char *line)
{
    char word[16] = "";
    if (sscanf(line, "delay %d", &delay_ms) == 1 ||
        sscanf(line, "drop %d", &drop_percent) == 1) {
        return;
    }
    if (sscanf(line, "silence %15s", word) == 1) {
        is_up_silent = strcmp(word, "down") != 0;
        is_down_silent = strcmp(word, "up") != 0;
    }
    else if (strncmp(line, "reset", 5) == 0) {
        while (pairs.head) {
            close_pair(pairs.head->data, true);
        }
    }
    else if (strncmp(line, "clear", 5) == 0) {
        delay_ms = 0;
        drop_percent = 0;
        is_up_silent = false;
        is_down_silent = false;
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
        obey(line);
    }
    close(fd);
}

static int
listen_on(const char *address, ev_io *io,
          void (*on_event)(struct ev_loop *, ev_io *, int))
{
    struct sockaddr_in in = parse_address(address);
    int one = 1;
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    if (bind(fd, (struct sockaddr *)&in, sizeof in) < 0 ||
        listen(fd, BACKLOG) < 0) {
        fprintf(stderr, "soak-proxy: cannot listen on %s\n", address);
        exit(1);
    }
    ev_io_init(io, on_event, fd, EV_READ);
    ev_io_start(loop, io);
    return fd;
}

/* ---- Program ---------------------------------------------------------- */

int
main(int argc, char **argv)
{
    if (argc != 4) {
        fprintf(stderr, "usage: soak-proxy LISTEN TARGET CONTROL\n");
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    loop = ev_default_loop(EVFLAG_AUTO);
    target = parse_address(argv[2]);
    g_queue_init(&pairs);
    ev_io accept_io;
    ev_io control_io;
    listen_on(argv[1], &accept_io, on_accept);
    listen_on(argv[3], &control_io, on_control);
    ev_run(loop, 0);
    return 0;
}
