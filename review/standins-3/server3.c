/*
 * server3.c - Stand-in for a server, as PROTOCOL.md tells, with two faults.
 *
 * Usage: server3 IP:PORT STORE NAME SERVICE SLOTS LOG HEARTBEAT_MS
 *
 * Writes its entry in the store at each heartbeat. Answers requests for the
 * path /health with its name in Instance. Answers all others: on a path that
 * begins with /stream a stream of 10 events, 20 ms apart; on others a body of
 * two bytes after 60 ms. Both have a Response-Stamp and the request's id.
 * Writes to LOG a line for each request that it begins to run: time in ms,
 * name, "ran", id; and "ended" when its answer is out.
 *
 * SIGUSR1: it leaves without reporting `draining`: its entry is removed, and
 * it goes on serving until it is ended (SIGTERM). SIGUSR2: its trouble begins:
 * each 20th answer goes on without end. After the last chunk come lines
 * without end, in place of the trailer fields that its head has announced, at
 * 500 Mbit/s, until the caller closes. A second SIGUSR2 ends the trouble for
 * new answers.
 */
#include "http3.h"

#define ENDLESS_EVERY 20
#define ENDLESS_BYTES_PER_MS 62500 /* 500 Mbit/s */

static const char *store;
static const char *name;
static const char *service;
static const char *address;
static int slots;
static int heartbeat_ms;
static int64_t born_ms;
static FILE *log_file;
static volatile sig_atomic_t is_leaving;
static volatile sig_atomic_t is_troubled;
static int n_answers;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static void
log_line(const char *what, const char *id)
{
    pthread_mutex_lock(&lock);
    fprintf(log_file, "%lld %s %s %s\n", (long long)now_ms(), name, what, id);
    fflush(log_file);
    pthread_mutex_unlock(&lock);
}

// Returns the status of a call to the store; 0 without an answer.
static int
call_store(const char *method, const char *path, const char *body)
{
    int fd = connect_to(store, 800);
    if (fd < 0) {
        return 0;
    }
    char text[2048];
    int len = snprintf(text, sizeof text,
                       "%s %s HTTP/1.1\r\nHost: store\r\nConnection: close\r\n"
                       "Content-Type: application/json\r\n"
                       "Content-Length: %zu\r\n\r\n%s",
                       method, path, strlen(body), body);
    int status = 0;
    char answer[512] = "";
    if (send_all(fd, text, (size_t)len)) {
        ssize_t n = recv(fd, answer, sizeof answer - 1, 0);
        answer[n > 0 ? n : 0] = '\0';
        sscanf(answer, "HTTP/1.1 %d", &status);
    }
    close(fd);
    return status;
}

static void *
run_registration(void *user)
{
    (void)user;
    char path[256];
    char body[1024];
    snprintf(path, sizeof path, "/pearstair/objects/servers/%s", name);
    for (long long seq = 0; !is_leaving; seq++) {
        snprintf(
            body, sizeof body,
            "{\"metadata\":{\"name\":\"%s\"},\"spec\":{\"service\":\"%s\","
            "\"address\":\"%s\",\"zone\":\"z1\",\"version\":\"v1\","
            "\"slots\":%d,\"state\":\"ready\",\"coldLeftMs\":0,"
            "\"seq\":1,\"born\":%lld}}",
            name, service, address, slots, (long long)born_ms);
        if (call_store("PUT", path, body) == 404) {
            call_store("POST", "/pearstair/objects/servers", body);
        }
        for (int i = 0; i < heartbeat_ms / 20 && !is_leaving; i++) {
            sleep_ms(20);
        }
    }
    log_line("left", "-");
    call_store("DELETE", path, "");
    return NULL;
}

// Sends lines until the caller closes the connection.
static void
send_endless(int fd, const char *id)
{
    static const char line[] = "X-Check: 0123456789abcdef0123456789abcdef\r\n";
    char block[(sizeof line - 1) * 256];
    for (size_t i = 0; i < 256; i++) {
        memcpy(block + i * (sizeof line - 1), line, sizeof line - 1);
    }
    log_line("endless", id);
    int64_t start_ms = now_ms();
    int64_t n_sent = 0;
    while (send_all(fd, block, sizeof block)) {
        n_sent += (int64_t)sizeof block;
        int64_t ahead_ms =
            n_sent / ENDLESS_BYTES_PER_MS - (now_ms() - start_ms);
        if (ahead_ms > 0) {
            sleep_ms((int)ahead_ms);
        }
    }
    log_line("closed", id);
}

static bool
answer(conn_t *conn, const head_t *head)
{
    char text[2048];
    char id[256];
    get_header(head, "Request-Id", id, sizeof id);
    if (strcmp(head->path, "/health") == 0) {
        int len = snprintf(text, sizeof text,
                           "HTTP/1.1 200 OK\r\nInstance: %s\r\n"
                           "Content-Length: 0\r\n\r\n",
                           name);
        return send_all(conn->fd, text, (size_t)len);
    }
    char expected[256];
    get_header(head, "Expect-Instance", expected, sizeof expected);
    if (*expected && strcmp(expected, name) != 0) {
        int len = snprintf(text, sizeof text,
                           "HTTP/1.1 421 Misdirected Request\r\n"
                           "Request-Id: %s\r\nNot-Run: 1\r\n"
                           "Content-Length: 0\r\n\r\n",
                           id);
        return send_all(conn->fd, text, (size_t)len);
    }
    log_line("ran", id);
    pthread_mutex_lock(&lock);
    n_answers += is_troubled ? 1 : 0;
    bool is_endless = is_troubled && n_answers % ENDLESS_EVERY == 0;
    pthread_mutex_unlock(&lock);
    bool is_stream = strncmp(head->path, "/stream", 7) == 0;
    bool is_chunked = is_stream || is_endless;
    if (!is_stream) {
        sleep_ms(60);
    }
    int len = snprintf(
        text, sizeof text,
        "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: %s.1\r\n"
        "Content-Type: %s\r\n%s%s\r\n%s",
        id, name, is_stream ? "text/event-stream" : "text/plain",
        is_chunked ? "Transfer-Encoding: chunked\r\n"
                   : "Content-Length: 2\r\n",
        is_endless ? "Trailer: X-Check\r\n" : "",
        is_stream    ? ""
        : is_chunked ? "2\r\nok\r\n"
                     : "ok");
    bool is_sent = send_all(conn->fd, text, (size_t)len);
    for (int i = 1; is_stream && is_sent && i <= 10; i++) {
        char event[128];
        int n =
            snprintf(event, sizeof event, "id: %d\ndata: %s %d\n\n", i, id, i);
        len = snprintf(text, sizeof text, "%x\r\n%s\r\n", (unsigned)n, event);
        is_sent = send_all(conn->fd, text, (size_t)len);
        sleep_ms(20);
    }
    if (is_sent && is_endless) {
        send_all(conn->fd, "0\r\n", 3);
        send_endless(conn->fd, id);
        return false;
    }
    is_sent = is_sent && (!is_chunked || send_all(conn->fd, "0\r\n\r\n", 5));
    log_line("ended", id);
    return is_sent;
}

static void
serve(conn_t *conn)
{
    head_t head;
    while (read_head(conn, &head)) {
        bool goes_on =
            read_body(conn, NULL, head.body_len) && answer(conn, &head);
        free(head.text);
        if (!goes_on) {
            return;
        }
    }
}

static void
on_signal(int signal)
{
    if (signal == SIGUSR1) {
        is_leaving = 1;
    }
    else {
        is_troubled = !is_troubled;
    }
}

int
main(int argc, char **argv)
{
    if (argc != 8) {
        fprintf(stderr, "usage: server3 IP:PORT STORE NAME SERVICE SLOTS LOG "
                        "HEARTBEAT_MS\n");
        return 2;
    }
    address = argv[1];
    store = argv[2];
    name = argv[3];
    service = argv[4];
    slots = atoi(argv[5]);
    log_file = fopen(argv[6], "a");
    heartbeat_ms = atoi(argv[7]);
    born_ms = now_ms();
    struct sigaction action = {.sa_handler = on_signal,
                               .sa_flags = SA_RESTART};
    sigaction(SIGUSR1, &action, NULL);
    sigaction(SIGUSR2, &action, NULL);
    signal(SIGPIPE, SIG_IGN);
    pthread_t thread;
    pthread_create(&thread, NULL, run_registration, NULL);
    run_server(address, serve);
    return 0;
}
