/*
 * http3.h - Small HTTP/1.1 reading and writing for the stand-ins of this
 * review. One thread for each connection; blocking sockets.
 */
#ifndef HTTP3_H
#define HTTP3_H

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define HEAD_MAX (64 * 1024)

// A connection with bytes that were received and not taken yet.
typedef struct conn {
    int fd;
    size_t len;
    char data[HEAD_MAX];
} conn_t;

typedef struct head {
    char method[16];
    char path[1024];
    char *text; // the whole head with its end, and a zero byte
    size_t len;
    size_t body_len;
} head_t;

static inline int64_t
now_ms(void)
{
    struct timespec t;
    clock_gettime(CLOCK_REALTIME, &t);
    return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

static inline void
sleep_ms(int ms)
{
    struct timespec t = {ms / 1000, (long)(ms % 1000) * 1000000};
    while (nanosleep(&t, &t) != 0 && errno == EINTR) {
    }
}

static inline struct sockaddr_in
parse_address(const char *text)
{
    char host[64];
    const char *colon = strrchr(text, ':');
    snprintf(host, sizeof host, "%.*s", (int)(colon - text), text);
    struct sockaddr_in in = {.sin_family = AF_INET,
                             .sin_port = htons((uint16_t)atoi(colon + 1))};
    inet_pton(AF_INET, host, &in.sin_addr);
    return in;
}

static inline int
connect_to(const char *address, int timeout_ms)
{
    struct sockaddr_in in = parse_address(address);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    struct timeval t = {timeout_ms / 1000, (timeout_ms % 1000) * 1000};
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &t, sizeof t);
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &t, sizeof t);
    if (connect(fd, (struct sockaddr *)&in, sizeof in) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

static inline bool
send_all(int fd, const char *data, size_t len)
{
    while (len > 0) {
        ssize_t n = send(fd, data, len, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        data += n;
        len -= (size_t)n;
    }
    return true;
}

// Copies a header's value; an empty text if there is none.
static inline void
get_header(const head_t *head, const char *name, char *out, size_t max)
{
    size_t name_len = strlen(name);
    out[0] = '\0';
    for (const char *line = strchr(head->text, '\n'); line && line[1];
         line = strchr(line + 1, '\n')) {
        if (strncasecmp(line + 1, name, name_len) == 0 &&
            line[1 + name_len] == ':') {
            const char *value = line + 2 + name_len;
            value += strspn(value, " ");
            snprintf(out, max, "%.*s", (int)strcspn(value, "\r\n"), value);
            return;
        }
    }
}

// Reads a head, which free(head->text) releases; false at the connection's
// end.
static inline bool
read_head(conn_t *conn, head_t *head)
{
    char *end;
    conn->data[conn->len] = '\0';
    while (!(end = strstr(conn->data, "\r\n\r\n"))) {
        if (conn->len >= HEAD_MAX - 1) {
            return false;
        }
        ssize_t n = recv(conn->fd, conn->data + conn->len,
                         HEAD_MAX - 1 - conn->len, 0);
        if (n <= 0) {
            return false;
        }
        conn->len += (size_t)n;
        conn->data[conn->len] = '\0';
    }
    head->len = (size_t)(end + 4 - conn->data);
    head->text = malloc(head->len + 1);
    memcpy(head->text, conn->data, head->len);
    head->text[head->len] = '\0';
    conn->len -= head->len;
    memmove(conn->data, conn->data + head->len, conn->len + 1);
    head->method[0] = head->path[0] = '\0';
    sscanf(head->text, "%15s %1023s", head->method, head->path);
    char length[32];
    get_header(head, "Content-Length", length, sizeof length);
    head->body_len = strtoul(length, NULL, 10);
    return true;
}

// Reads so many bytes of a body; @out may be NULL.
static inline bool
read_body(conn_t *conn, char *out, size_t len)
{
    while (len > 0) {
        if (conn->len == 0) {
            ssize_t n = recv(conn->fd, conn->data, HEAD_MAX - 1, 0);
            if (n <= 0) {
                return false;
            }
            conn->len = (size_t)n;
        }
        size_t n = conn->len < len ? conn->len : len;
        if (out) {
            memcpy(out, conn->data, n);
            out += n;
        }
        conn->len -= n;
        memmove(conn->data, conn->data + n, conn->len);
        len -= n;
    }
    conn->data[conn->len] = '\0';
    return true;
}

// Serves until the process ends; @serve runs on a thread of its own for each
// connection and closes nothing.
static inline void run_server(const char *address,
                              void (*serve)(conn_t *conn));

typedef struct accepted {
    int fd;
    void (*serve)(conn_t *conn);
} accepted_t;

static inline void *
run_connection(void *user)
{
    accepted_t accepted = *(accepted_t *)user;
    free(user);
    conn_t *conn = calloc(1, sizeof *conn);
    conn->fd = accepted.fd;
    accepted.serve(conn);
    close(conn->fd);
    free(conn);
    return NULL;
}

static inline void
run_server(const char *address, void (*serve)(conn_t *conn))
{
    struct sockaddr_in in = parse_address(address);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (bind(fd, (struct sockaddr *)&in, sizeof in) != 0 ||
        listen(fd, 512) != 0) {
        fprintf(stderr, "cannot listen on %s\n", address);
        exit(1);
    }
    for (;;) {
        int client = accept(fd, NULL, NULL);
        if (client < 0) {
            continue;
        }
        setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        accepted_t *accepted = malloc(sizeof *accepted);
        *accepted = (accepted_t){client, serve};
        pthread_t thread;
        if (pthread_create(&thread, NULL, run_connection, accepted) == 0) {
            pthread_detach(thread);
        }
        else {
            close(client);
            free(accepted);
        }
    }
}

#endif
