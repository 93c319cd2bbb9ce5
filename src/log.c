/* log.c - Writes log lines to standard error without blocking. */
#include "log.h"

#include <fcntl.h>
#include <poll.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define LINE_BYTES_MAX 2048 /* longer lines are cut */

/* ---- Globals ---------------------------------------------------------- */

static const char *log_program = "pearstair"; /* printed in each line */
static gboolean log_verbose;
static uint64_t log_dropped;

/* ---- Internal functions ----------------------------------------------- */

// Tells whether a line can be written without blocking. A pipe counts as
// writable when it has room for PIPE_BUF bytes (4096 on Linux), which is more
// than LINE_BYTES_MAX.
static bool
can_write(void)
{
    struct pollfd out = {.fd = STDERR_FILENO, .events = POLLOUT};
    return poll(&out, 1, 0) == 1 && (out.revents & POLLOUT);
}

static const char *
get_level_name(GLogLevelFlags level)
{
    if (level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL)) {
        return "error";
    }
    if (level & G_LOG_LEVEL_WARNING) {
        return "warn";
    }
    return level & G_LOG_LEVEL_DEBUG ? "debug" : "info";
}

// GLib calls this for each message. Writes it as one line with the UTC time;
// drops and counts it if that would block or fails.
static void
write_line(const char *component, GLogLevelFlags level, const char *message,
           void *data)
{
    (void)data;
    if ((level & G_LOG_LEVEL_DEBUG) && !log_verbose) {
        return;
    }
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    struct tm utc;
    gmtime_r(&now.tv_sec, &utc);
    char line[LINE_BYTES_MAX];
    size_t len = strftime(line, sizeof line, "%Y-%m-%dT%H:%M:%S", &utc);
    len += (size_t)snprintf(line + len, sizeof line - len,
                            ".%03ldZ %s %s: %s: %s\n", now.tv_nsec / 1000000,
                            log_program, get_level_name(level),
                            component ? component : "main", message);
    if (len >= sizeof line) {
        len = sizeof line - 1;
        line[len - 1] = '\n';
    }
    if (!can_write() || write(STDERR_FILENO, line, len) < 0) {
        log_dropped++;
    }
}

/* ---- Public functions ------------------------------------------------- */

void
PsLog_Init(const char *program, gboolean verbose)
{
    log_program = program;
    log_verbose = verbose;
    g_log_set_default_handler(write_line, NULL);
}

uint64_t
PsLog_GetDropped(void)
{
    return log_dropped;
}
