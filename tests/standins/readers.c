/*
 * readers.c - Stand-in for many callers that read slowly or send slowly.
 *
 * Usage: standin-readers COUNT RATE SECONDS METHOD PATH PREFIX BODY_BYTES
 *                        BODY_RATE TOKENS IP:PORT
 * Opens COUNT connections at once, each with a small receive buffer, sends one
 * request on each with the id PREFIX-N, BODY_BYTES of body at BODY_RATE bytes
 * a second, and reads RATE bytes a second of the answer. A rate of 0 means as
 * fast as possible, a RATE of -1 that nothing is read. TOKENS is the maximum
 * number of output tokens that the request names; 0: none is named. With
 * READERS_STALL_S in the environment, nothing is read for so long after the
 * first bytes; with READERS_LEAVE_S, all connections are closed after so long,
 * though the requests name SECONDS as their time limit. Else after
 * SECONDS all connections are closed. Prints how many answers were whole, cut,
 * refused (status 429 or 503), failed (another status than 200), closed
 * without a status, or still open; how many had a gap or a wrong byte, judged
 * by the bodies of standin-runner; how many of the whole ones had a
 * Content-Length; and the bytes of all bodies.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common.h"

#define WINDOW_BYTES (64 * 1024)
#define TICK_MS 10
#define READ_MAX (64 * 1024)

typedef enum framing {
    FRAMING_NONE,
    FRAMING_LENGTH,
    FRAMING_CHUNKS
} framing_t;

typedef struct caller {
    int fd; // -1: closed
    GString *unsent;
    int64_t body_sent;
    int64_t n_read;
    GString *head;
    bool has_head;
    int status;
    framing_t framing;
    int64_t left; // bytes of the body, or of a chunk and its end of line
    bool in_chunk;
    char size_line[32];
    bool is_whole;
    bool is_wrong;
    int64_t position; // in the body
    char line[32];    // start of a line of a stream
    size_t line_len;
    int last_event;
} caller_t;

static caller_t *callers;
static int count;
static double rate;
static int64_t body_bytes;
static double body_rate;
static bool is_stream;
static double stall_s;
static char block[READ_MAX];

static void
check_stream_byte(caller_t *caller, char c)
{
    if (c != '\n') {
        if (caller->line_len + 1 < sizeof caller->line) {
            caller->line[caller->line_len++] = c;
        }
        return;
    }
    caller->line[caller->line_len] = '\0';
    if (strncmp(caller->line, "id: ", 4) == 0) {
        int event = atoi(caller->line + 4);
        caller->is_wrong |= event != caller->last_event + 1;
        caller->last_event = event;
    }
    caller->line_len = 0;
}

static void
take_body(caller_t *caller, const char *data, size_t len)
{
    for (size_t i = 0; i < len; i++) {
        if (is_stream) {
            check_stream_byte(caller, data[i]);
        }
        else if (caller->status == 200 &&
                 data[i] !=
                     Standin_GetPatternByte((uint64_t)caller->position + i)) {
            caller->is_wrong = true;
        }
    }
    caller->position += (int64_t)len;
}

// Takes bytes of a chunk, or of a line with a chunk's size; returns how many.
static size_t
take_chunks(caller_t *caller, const char *data, size_t len)
{
    if (caller->in_chunk) {
        size_t n = (size_t)MIN((int64_t)len, caller->left);
        size_t n_body =
            caller->left > 2 ? (size_t)MIN((int64_t)n, caller->left - 2) : 0;
        take_body(caller, data, n_body);
        caller->left -= (int64_t)n;
        caller->in_chunk = caller->left > 0;
        return n;
    }
    size_t have = strlen(caller->size_line);
    if (*data != '\n') {
        if (have + 1 < sizeof caller->size_line) {
            caller->size_line[have] = *data;
            caller->size_line[have + 1] = '\0';
        }
        return 1;
    }
    int64_t size = (int64_t)strtoll(caller->size_line, NULL, 16);
    caller->is_whole = size == 0;
    caller->left = size + 2;
    caller->in_chunk = size > 0;
    caller->size_line[0] = '\0';
    return 1;
}

static void
take_head(caller_t *caller)
{
    char *text = g_ascii_strdown(caller->head->str, -1);
    caller->has_head = true;
    caller->status = atoi(text + strlen("http/1.1 "));
    const char *length = strstr(text, "\r\ncontent-length:");
    if (strstr(text, "\r\ntransfer-encoding: chunked")) {
        caller->framing = FRAMING_CHUNKS;
    }
    else if (length) {
        caller->framing = FRAMING_LENGTH;
        caller->left = strtoll(strchr(length, ':') + 1, NULL, 10);
        caller->is_whole = caller->left == 0;
    }
    g_free(text);
}

static void
take_bytes(caller_t *caller, const char *data, size_t len)
{
    size_t i = 0;
    while (i < len && !caller->has_head) {
        g_string_append_c(caller->head, data[i++]);
        if (g_str_has_suffix(caller->head->str, "\r\n\r\n")) {
            take_head(caller);
        }
    }
    while (i < len && !caller->is_whole) {
        if (caller->framing == FRAMING_CHUNKS) {
            i += take_chunks(caller, data + i, len - i);
            continue;
        }
        size_t n = len - i;
        if (caller->framing == FRAMING_LENGTH) {
            n = (size_t)MIN((int64_t)n, caller->left);
            caller->left -= (int64_t)n;
            caller->is_whole = caller->left == 0;
        }
        take_body(caller, data + i, n);
        i += n;
    }
}

static void
close_caller(caller_t *caller)
{
    close(caller->fd);
    caller->fd = -1;
}

static void
send_more(caller_t *caller, double passed_s)
{
    int64_t due = body_rate > 0 ? (int64_t)(passed_s * body_rate) : body_bytes;
    due = MIN(due, body_bytes);
    while (caller->unsent->len > 0) {
        ssize_t n = send(caller->fd, caller->unsent->str, caller->unsent->len,
                         MSG_DONTWAIT | MSG_NOSIGNAL);
        if (n <= 0) {
            return;
        }
        g_string_erase(caller->unsent, 0, n);
    }
    static const char zeros[READ_MAX];
    while (caller->body_sent < due) {
        ssize_t n = send(caller->fd, zeros,
                         (size_t)MIN(due - caller->body_sent, READ_MAX),
                         MSG_DONTWAIT | MSG_NOSIGNAL);
        if (n <= 0) {
            return;
        }
        caller->body_sent += n;
    }
}

static void
read_more(caller_t *caller, double passed_s)
{
    if (caller->n_read > 0 && passed_s < stall_s) {
        return;
    }
    while (caller->fd >= 0 && rate >= 0) {
        int64_t due = rate > 0 ? (int64_t)(passed_s * rate) : INT64_MAX;
        int64_t allowed = due - caller->n_read;
        if (allowed <= 0) {
            return;
        }
        ssize_t n = recv(caller->fd, block, (size_t)MIN(allowed, READ_MAX),
                         MSG_DONTWAIT);
        if (n < 0 && (errno == EAGAIN || errno == ENOTCONN)) {
            return;
        }
        if (n > 0) {
            caller->n_read += n;
            take_bytes(caller, block, (size_t)n);
            if (passed_s < stall_s) {
                return;
            }
        }
        if (n <= 0 || caller->is_whole) {
            close_caller(caller);
        }
    }
}

static void
open_caller(caller_t *caller, const char *address, const char *head)
{
    char **parts = g_strsplit(address, ":", 2);
    struct sockaddr_in in = {.sin_family = AF_INET,
                             .sin_port = htons((uint16_t)atoi(parts[1]))};
    inet_pton(AF_INET, parts[0], &in.sin_addr);
    g_strfreev(parts);
    int window = WINDOW_BYTES;
    caller->fd = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(caller->fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
    caller->unsent = g_string_new(head);
    caller->head = g_string_new(NULL);
    if (connect(caller->fd, (struct sockaddr *)&in, sizeof in) != 0) {
        close_caller(caller);
    }
}

static void
print_result(void)
{
    int whole = 0, cut = 0, refused = 0, failed = 0, none = 0, open = 0;
    int wrong = 0, with_length = 0;
    int64_t bytes = 0;
    for (int i = 0; i < count; i++) {
        const caller_t *caller = &callers[i];
        wrong += caller->is_wrong;
        bytes += caller->position;
        with_length +=
            caller->is_whole && caller->framing == FRAMING_LENGTH ? 1 : 0;
        if (caller->fd >= 0) {
            open++;
        }
        else if (!caller->has_head) {
            none++;
        }
        else if (caller->status == 429 || caller->status == 503) {
            refused++;
        }
        else if (caller->status != 200) {
            failed++;
        }
        else {
            whole += caller->is_whole ? 1 : 0;
            cut += caller->is_whole ? 0 : 1;
        }
    }
    printf("whole %d cut %d refused %d failed %d none %d open %d wrong %d "
           "lengths %d bytes %lld\n",
           whole, cut, refused, failed, none, open, wrong, with_length,
           (long long)bytes);
}

int
main(int argc, char **argv)
{
    if (argc != 11) {
        fprintf(stderr,
                "usage: standin-readers COUNT RATE SECONDS METHOD PATH PREFIX "
                "BODY_BYTES BODY_RATE TOKENS IP:PORT\n");
        return 2;
    }
    count = atoi(argv[1]);
    rate = atof(argv[2]);
    double seconds = atof(argv[3]);
    body_bytes = atoll(argv[7]);
    body_rate = atof(argv[8]);
    const char *stall = getenv("READERS_STALL_S");
    stall_s = stall ? atof(stall) : 0;
    const char *leave = getenv("READERS_LEAVE_S");
    double end_s = leave ? atof(leave) : seconds;
    is_stream = strstr(argv[5], "/stream/") != NULL;
    callers = g_new0(caller_t, (size_t)count);
    int64_t start_ms = Standin_GetTimeMs();
    for (int i = 0; i < count; i++) {
        char *tokens =
            atoi(argv[9]) > 0
                ? g_strdup_printf("Token-Counts: 100,%s\r\n", argv[9])
                : g_strdup("");
        char *head = g_strdup_printf(
            "%s %s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s-%d\r\n"
            "Authorization: Bearer key-1\r\nDeadline-Ms: %d\r\n%s"
            "Content-Length: %lld\r\n\r\n",
            argv[4], argv[5], argv[6], i + 1, (int)(seconds * 1000), tokens,
            (long long)body_bytes);
        open_caller(&callers[i], argv[10], head);
        g_free(head);
        g_free(tokens);
    }
    int n_open = count;
    double passed_s = 0;
    while (n_open > 0 && passed_s < end_s) {
        passed_s = (double)(Standin_GetTimeMs() - start_ms) / 1000.0;
        n_open = 0;
        for (int i = 0; i < count; i++) {
            if (callers[i].fd >= 0) {
                send_more(&callers[i], passed_s);
                read_more(&callers[i], passed_s);
            }
            n_open += callers[i].fd >= 0 ? 1 : 0;
        }
        Standin_SleepMs(rate == 0 && count == 1 ? 0 : TICK_MS);
    }
    print_result();
    return 0;
}
