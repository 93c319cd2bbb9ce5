/* common.c - HTTP server that all stand-ins use. */
#include "common.h"

#include <arpa/inet.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define COMMON_VALUE_MAX 32 /* bytes of the common header's value */

static const char *common_name; /* NULL: there is no common header */
static char common_value[COMMON_VALUE_MAX];

static enum MHD_Result
on_request_data(void *user, struct MHD_Connection *connection, const char *url,
                const char *method, const char *version, const char *data,
                size_t *len, void **state)
{
    (void)version;
    // libmicrohttpd calls this for a request's head, then for each block of
    // its body, and at its end with *len 0.
    standin_request_t *request = *state;
    if (!request) {
        request = calloc(1, sizeof *request);
        PsBuf_Init(&request->body);
        *state = request;
        return MHD_YES;
    }
    if (*len > 0) {
        PsBuf_Append(&request->body, data, *len);
        *len = 0;
        return MHD_YES;
    }
    PsBuf_Append(&request->body, "", 0); // a zero byte, also without a body
    request->connection = connection;
    request->method = method;
    request->path = url;
    return ((standin_handler_t)user)(request);
}

static void
on_completed(void *user, struct MHD_Connection *connection, void **state,
             enum MHD_RequestTerminationCode code)
{
    (void)user;
    (void)connection;
    (void)code;
    standin_request_t *request = *state;
    if (request) {
        PsBuf_Finish(&request->body);
        free(request);
    }
}

void
Standin_Listen(const char *address, standin_handler_t handler)
{
    char host[64] = {0};
    const char *port_separator = strrchr(address, ':');
    memcpy(host, address, (size_t)(port_separator - address));
    struct sockaddr_in in = {.sin_family = AF_INET,
                             .sin_port =
                                 htons((uint16_t)atoi(port_separator + 1))};
    inet_pton(AF_INET, host, &in.sin_addr);
    struct MHD_Daemon *daemon = MHD_start_daemon(
        MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD, 0,
        NULL, NULL, on_request_data, (void *)handler, MHD_OPTION_SOCK_ADDR,
        &in, MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL,
        MHD_OPTION_CONNECTION_LIMIT, 4096U, MHD_OPTION_THREAD_STACK_SIZE,
        (size_t)(256 * 1024), MHD_OPTION_LISTEN_BACKLOG_SIZE, 1024U,
        MHD_OPTION_END);
    if (!daemon) {
        fprintf(stderr, "cannot listen on %s\n", address);
        exit(1);
    }
}

void
Standin_RunServer(const char *address, standin_handler_t handler)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, NULL);
    signal(SIGPIPE, SIG_IGN);
    Standin_Listen(address, handler);
    int signal_number;
    sigwait(&signals, &signal_number);
    _exit(0);
}

void
Standin_SetCommonHeader(const char *name, const char *value)
{
    common_name = name;
    snprintf(common_value, sizeof common_value, "%s", value);
}

enum MHD_Result
Standin_SendText(standin_request_t *request, unsigned status, const char *text,
                 const char *const *headers)
{
    struct MHD_Response *response = MHD_create_response_from_buffer(
        strlen(text), (void *)(uintptr_t)text, MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(response, "Content-Type", "application/json");
    for (int i = 0; headers && headers[i]; i += 2) {
        MHD_add_response_header(response, headers[i], headers[i + 1]);
    }
    if (common_name) {
        MHD_add_response_header(response, common_name, common_value);
    }
    enum MHD_Result result =
        MHD_queue_response(request->connection, status, response);
    MHD_destroy_response(response);
    return result;
}

enum MHD_Result
Standin_SendJson(standin_request_t *request, unsigned status, char *text)
{
    enum MHD_Result result = Standin_SendText(request, status, text, NULL);
    free(text);
    return result;
}

int
Standin_GetSocket(const standin_request_t *request)
{
    return MHD_get_connection_info(request->connection,
                                   MHD_CONNECTION_INFO_CONNECTION_FD)
        ->connect_fd;
}

const char *
Standin_GetQueryText(standin_request_t *request, const char *name)
{
    return MHD_lookup_connection_value(request->connection,
                                       MHD_GET_ARGUMENT_KIND, name);
}

const char *
Standin_GetHeader(standin_request_t *request, const char *name)
{
    return MHD_lookup_connection_value(request->connection, MHD_HEADER_KIND,
                                       name);
}

int64_t
Standin_GetQueryNumber(standin_request_t *request, const char *name,
                       int64_t fallback)
{
    const char *text = Standin_GetQueryText(request, name);
    return text ? strtoll(text, NULL, 10) : fallback;
}

int64_t
Standin_GetTimeMs(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void
Standin_SleepMs(double ms)
{
    struct timespec wait = {
        (time_t)(ms / 1000.0),
        (long)((ms - 1000.0 * (time_t)(ms / 1000.0)) * 1e6)};
    nanosleep(&wait, NULL);
}

char
Standin_GetPatternByte(uint64_t position)
{
    return (char)('a' + (position + position / 4099) % 26);
}
