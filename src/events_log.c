/* events_log.c - JSON lines, collected and written without blocking. */
#include "events_log.h"

#include <fcntl.h>
#include <poll.h>
#include <stdarg.h>
#include <time.h>
#include <unistd.h>

#include "clock.h"
#include "log.h"
#include "str.h"

#define LINES_PER_S 600                /* above it lines are dropped */
#define BLOCK_BYTES (16 * 1024)        /* written at once when so much waits */
#define WAITING_BYTES_MAX (256 * 1024) /* for a reader that is slow */

/* ---- Globals ---------------------------------------------------------- */

static const char *log_daemon = "pearstair";
static ps_buf_t waiting;
static uint64_t dropped;
static uint64_t dropped_told;
static int64_t second;
static int lines_in_second;

/* ---- Internal functions ----------------------------------------------- */

static void
add_line(const char *event, json_t *fields)
{
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    char *text = json_dumps(fields, JSON_COMPACT);
    if (!text) {
        dropped++;
        return;
    }
    PsBuf_AppendFormat(
        &waiting, "{\"t\":%lld.%03ld,\"daemon\":\"%s\",\"event\":\"%s\"",
        (long long)now.tv_sec, now.tv_nsec / 1000000, log_daemon, event);
    PsBuf_AppendC(&waiting, text[1] == '}' ? "" : ",");
    PsBuf_AppendC(&waiting, text + 1);
    PsBuf_AppendC(&waiting, "\n");
    free(text);
}

static bool
may_add(void)
{
    int64_t now_s = PsClock_Now() / 1000;
    if (now_s != second) {
        second = now_s;
        lines_in_second = 0;
        if (dropped > dropped_told) {
            json_t *fields = json_pack("{s:I}", "lines",
                                       (json_int_t)(dropped - dropped_told));
            dropped_told = dropped;
            add_line("log.dropped", fields);
            json_decref(fields);
        }
    }
    return ++lines_in_second <= LINES_PER_S && waiting.len < WAITING_BYTES_MAX;
}

/* ---- Public functions ------------------------------------------------- */

void
PsEvents_Init(const char *daemon)
{
    log_daemon = daemon;
    PsBuf_Init(&waiting);
}

void
PsEvents_Add(const char *event, const char *format, ...)
{
    if (!may_add()) {
        dropped++;
        return;
    }
    va_list values;
    va_start(values, format);
    json_error_t error;
    json_t *fields = json_vpack_ex(&error, 0, format, values);
    va_end(values);
    if (!fields) {
        dropped++;
        PsLog_Warn("log", "line %s not written: %s", event, error.text);
        return;
    }
    add_line(event, fields);
    json_decref(fields);
    if (waiting.len >= BLOCK_BYTES) {
        PsEvents_Flush();
    }
}

void
PsEvents_Flush(void)
{
    struct pollfd out = {.fd = STDOUT_FILENO, .events = POLLOUT};
    if (waiting.len == 0 || poll(&out, 1, 0) != 1 ||
        !(out.revents & POLLOUT)) {
        return;
    }
    int flags = fcntl(STDOUT_FILENO, F_GETFL);
    fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    ssize_t n = write(STDOUT_FILENO, waiting.data, waiting.len);
    fcntl(STDOUT_FILENO, F_SETFL, flags);
    if (n > 0) {
        PsBuf_RemoveFront(&waiting, (size_t)n);
    }
}

uint64_t
PsEvents_GetDropped(void)
{
    return dropped;
}
