/*
 * reader.c - Stand-in for a requester behind a slow link.
 *
 * Usage: review-reader IP:PORT ID RATE
 * Sends one request for a stream and reads RATE bytes a second of the answer, 0
 * for as many as come; its window is small, as a link's is. Prints the status,
 * the number of events that came in order, the last event's number, the number
 * of gaps, and "complete" if the chunked body ended with its last chunk, else
 * "cut".
 */
#include <arpa/inet.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#define WINDOW_BYTES (64 * 1024)
#define LIMIT_S 15

static int
connect_to(const char *address)
{
    char **parts = g_strsplit(address, ":", 2);
    struct sockaddr_in in = {.sin_family = AF_INET,
                             .sin_port = htons((uint16_t)atoi(parts[1]))};
    inet_pton(AF_INET, parts[0], &in.sin_addr);
    g_strfreev(parts);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    int window = WINDOW_BYTES;
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
    struct timeval limit = {.tv_sec = LIMIT_S};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    return connect(fd, (struct sockaddr *)&in, sizeof in) == 0 ? fd : -1;
}

static GString *
read_answer(int fd, double rate)
{
    GString *answer = g_string_new(NULL);
    char part[16384];
    double start_s = (double)g_get_monotonic_time() / 1e6;
    for (;;) {
        double now_s = (double)g_get_monotonic_time() / 1e6 - start_s;
        double ahead_s = rate > 0 ? (double)answer->len / rate - now_s : 0;
        if (now_s > LIMIT_S) {
            return answer;
        }
        if (ahead_s > 0) {
            g_usleep((gulong)(ahead_s * 1e6));
        }
        ssize_t n = recv(fd, part, sizeof part, 0);
        if (n <= 0) {
            return answer;
        }
        g_string_append_len(answer, part, n);
    }
}

// Joins the chunks of the body; returns whether its last chunk has come.
static gboolean
join_chunks(const GString *answer, GString *body)
{
    const char *at = strstr(answer->str, "\r\n\r\n");
    const char *end = answer->str + answer->len;
    at = at ? at + 4 : end;
    while (at < end) {
        char *data;
        unsigned long size = strtoul(at, &data, 16);
        data += 2;
        if (data == at + 2 || data + size > end) {
            return FALSE;
        }
        if (size == 0) {
            return TRUE;
        }
        g_string_append_len(body, data, (gssize)size);
        at = data + size + 2;
    }
    return FALSE;
}

int
main(int argc, char **argv)
{
    int fd = argc == 4 ? connect_to(argv[1]) : -1;
    if (fd < 0) {
        fprintf(stderr, "usage: review-reader IP:PORT ID RATE\n");
        return 2;
    }
    char *request = g_strdup_printf(
        "POST /stream/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\n"
        "Authorization: Bearer key-1\r\nDeadline-Ms: %d\r\nToken-Counts: "
        "6670,380\r\nConnection: close\r\nContent-Length: 6\r\n\r\nreport",
        argv[2], LIMIT_S * 1000);
    if (write(fd, request, strlen(request)) < 0) {
        return 2;
    }
    GString *answer = read_answer(fd, atof(argv[3]));
    GString *body = g_string_new(NULL);
    gboolean is_complete = join_chunks(answer, body);
    int events = 0;
    int last = 0;
    int gaps = 0;
    for (const char *at = body->str; (at = strstr(at, "id: ")); at++) {
        int number = atoi(at + 4);
        gaps += number != last + 1 ? 1 : 0;
        last = number;
        events++;
    }
    printf("status %.3s, %d events, the last one is %d, %d gaps, %s\n",
           answer->len > 12 ? answer->str + 9 : "000", events, last, gaps,
           is_complete ? "complete" : "cut");
    return 0;
}
