/*
 * proxy3.c - Stands between daemons and the store, and loses an answer.
 *
 * Usage: proxy3 IP:PORT STORE KIND LATE_MS LOG
 *
 * Passes each call on, and its answer back. After SIGUSR1, the next write of
 * an object of KIND gets no answer, and is carried out LATE_MS later: a call
 * that gets no response may be executed seconds later if its condition still
 * holds. Writes a line to LOG for each write of KIND.
 */
#include "http3.h"

static const char *store;
static const char *kind_path;
static int late_ms;
static FILE *log_file;
static volatile sig_atomic_t must_lose;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static void
log_line(const char *what, const head_t *head, const char *body)
{
    pthread_mutex_lock(&lock);
    fprintf(log_file, "%lld %s %s %s %s\n", (long long)now_ms(), what,
            head->method, head->path, body);
    fflush(log_file);
    pthread_mutex_unlock(&lock);
}

// Passes a call on over a connection of its own; relays the answer to @to
// unless that is negative. The answer ends with the connection to the caller.
static void
pass_on(const head_t *head, const char *body, int to)
{
    int fd = connect_to(store, 40000);
    if (fd < 0) {
        return;
    }
    const char *rest = strchr(head->text, '\n') + 1;
    char start[1200];
    int len = snprintf(start, sizeof start,
                       "%s %s HTTP/1.1\r\nConnection: close\r\n", head->method,
                       head->path);
    bool is_open =
        send_all(fd, start, (size_t)len) &&
        send_all(fd, rest, head->len - (size_t)(rest - head->text)) &&
        send_all(fd, body, head->body_len);
    char data[16384];
    ssize_t n;
    while (is_open && (n = recv(fd, data, sizeof data, 0)) > 0) {
        is_open = to < 0 || send_all(to, data, (size_t)n);
    }
    close(fd);
}

static void
serve(conn_t *conn)
{
    head_t head;
    if (!read_head(conn, &head)) {
        return;
    }
    char *body = calloc(1, head.body_len + 1);
    if (read_body(conn, body, head.body_len)) {
        bool is_write = strcmp(head.method, "GET") != 0 &&
                        strncmp(head.path, kind_path, strlen(kind_path)) == 0;
        if (is_write && must_lose) {
            must_lose = 0;
            log_line("unanswered", &head, body);
            sleep_ms(late_ms);
            pass_on(&head, body, -1);
            log_line("done-late", &head, body);
        }
        else {
            if (is_write) {
                log_line("done", &head, body);
            }
            pass_on(&head, body, conn->fd);
        }
    }
    free(body);
    free(head.text);
}

static void
on_signal(int signal)
{
    (void)signal;
    must_lose = 1;
}

int
main(int argc, char **argv)
{
    if (argc != 6) {
        fprintf(stderr, "usage: proxy3 IP:PORT STORE KIND LATE_MS LOG\n");
        return 2;
    }
    static char path[256];
    store = argv[2];
    snprintf(path, sizeof path, "/pearstair/objects/%s", argv[3]);
    kind_path = path;
    late_ms = atoi(argv[4]);
    log_file = fopen(argv[5], "a");
    struct sigaction action = {.sa_handler = on_signal,
                               .sa_flags = SA_RESTART};
    sigaction(SIGUSR1, &action, NULL);
    signal(SIGPIPE, SIG_IGN);
    run_server(argv[1], serve);
    return 0;
}
