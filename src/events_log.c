/* events_log.c - JSON log lines, buffered and written without blocking. */
#include "events_log.h"

#include <fcntl.h>
#include <poll.h>
#include <stdarg.h>
#include <time.h>
#include <unistd.h>

#include "clock.h"
#include "log.h"
#include "str.h"

// Lines beyond this number in a second are dropped.
#define LINES_PER_S 600

// A line that fills the buffer to this size causes a write.
#define FLUSH_BYTES (16 * 1024)

// Lines are dropped while the buffer holds this much, because the reader of
// standard output is too slow.
#define BUFFER_BYTES_MAX (256 * 1024)

/* ---- Globals ---------------------------------------------------------- */

static const char *daemon_name = "pearstair";
static ps_buf_t buffer;
static uint64_t dropped;        /* lines dropped since the start */
static uint64_t dropped_logged; /* of these, named in "log.dropped" lines */
static int64_t current_second;  /* of PsClock_Now() */
static int lines_in_second;     /* lines in it, dropped ones included */

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
        &buffer, "{\"t\":%lld.%03ld,\"daemon\":\"%s\",\"event\":\"%s\"",
        (long long)now.tv_sec, now.tv_nsec / 1000000, daemon_name, event);
    PsBuf_AppendC(&buffer, text[1] == '}' ? "" : ",");
    PsBuf_AppendC(&buffer, text + 1);
    PsBuf_AppendC(&buffer, "\n");
    free(text);
}

// Counts a line and returns whether it is within the limits. At the start of a
// second, logs how many lines were dropped before.
static bool
admit_line(void)
{
    int64_t now_s = PsClock_Now() / 1000;
    if (now_s != current_second) {
        current_second = now_s;
        lines_in_second = 0;
        if (dropped > dropped_logged) {
            json_t *fields = json_pack("{s:I}", "lines",
                                       (json_int_t)(dropped - dropped_logged));
            dropped_logged = dropped;
            add_line("log.dropped", fields);
            json_decref(fields);
        }
    }
    return ++lines_in_second <= LINES_PER_S && buffer.len < BUFFER_BYTES_MAX;
}

/* ---- Public functions ------------------------------------------------- */

void
PsEvents_Init(const char *daemon)
{
    daemon_name = daemon;
    PsBuf_Init(&buffer);
}

void
PsEvents_Add(const char *event, const char *format, ...)
{
    if (!admit_line()) {
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
        PsLog_Warn("log",
                   "The event %s was not written; its fields do not fit the "
                   "format: %s",
                   event, error.text);
        return;
    }
    add_line(event, fields);
    json_decref(fields);
    if (buffer.len >= FLUSH_BYTES) {
        PsEvents_Flush();
    }
}

void
PsEvents_Flush(void)
{
    struct pollfd out = {.fd = STDOUT_FILENO, .events = POLLOUT};
    if (buffer.len == 0 || poll(&out, 1, 0) != 1 || !(out.revents & POLLOUT)) {
        return;
    }
    // Other processes may share standard output, and its flags with it: it is
    // non-blocking only during the write.
    int flags = fcntl(STDOUT_FILENO, F_GETFL);
    fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    ssize_t n = write(STDOUT_FILENO, buffer.data, buffer.len);
    fcntl(STDOUT_FILENO, F_SETFL, flags);
    if (n > 0) {
        PsBuf_RemoveFront(&buffer, (size_t)n);
    }
}

uint64_t
PsEvents_GetDropped(void)
{
    return dropped;
}
