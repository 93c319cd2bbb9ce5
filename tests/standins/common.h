/*
 * common.h - HTTP server that all stand-ins use, with a thread for each
 * connection.
 *
 * Stand-ins take the place of backend servers and stores in tests. Their
 * faults are switched on and off by POST /switch.
 */
#ifndef STANDIN_COMMON_H
#define STANDIN_COMMON_H

#include <microhttpd.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "str.h"

/**
 * struct standin_request - A request that was received in full.
 */
typedef struct standin_request {
    struct MHD_Connection *connection;
    const char *method;
    const char *path; /* without the query */
    ps_buf_t body;    /* a zero byte follows it */
} standin_request_t;

/* Responds to one request; called on the thread of its connection. Returns
 * the result of a Standin_Send function, or MHD_NO to close the connection
 * without a response. */
typedef enum MHD_Result (*standin_handler_t)(standin_request_t *request);

/**
 * Standin_Listen() - Starts to serve on threads of its own.
 * @address: IP:PORT; if it can't be bound, the process exits with status 1
 */
void Standin_Listen(const char *address, standin_handler_t handler);

/**
 * Standin_RunServer() - Serves until SIGTERM or SIGINT, then ends the process.
 * @address: IP:PORT; if it can't be bound, the process exits with status 1
 */
void Standin_RunServer(const char *address, standin_handler_t handler);

/**
 * Standin_SetCommonHeader() - Sets a header of all responses from now on.
 * @name: not copied
 * @value: copied
 */
void Standin_SetCommonHeader(const char *name, const char *value);

/**
 * Standin_SendText() - Sends a response of type application/json.
 * @text: the body, copied
 * @headers: name, value, name, value, ..., NULL; or NULL
 *
 * Return: what the handler must return.
 */
enum MHD_Result Standin_SendText(standin_request_t *request, unsigned status,
                                 const char *text, const char *const *headers);

/**
 * Standin_SendJson() - Sends a response as Standin_SendText() does, without
 * further headers, and frees its body.
 * @text: the body; freed with free()
 */
enum MHD_Result Standin_SendJson(standin_request_t *request, unsigned status,
                                 char *text);

/**
 * Standin_GetSocket() - Returns the socket of the request's connection.
 */
int Standin_GetSocket(const standin_request_t *request);

/**
 * Standin_GetQueryText() - Finds a parameter of the URL's query.
 *
 * Return: its value, valid as long as the request; NULL if absent.
 */
const char *Standin_GetQueryText(standin_request_t *request, const char *name);

/**
 * Standin_GetHeader() - Finds a request header.
 *
 * Return: its value, valid as long as the request; NULL if absent.
 */
const char *Standin_GetHeader(standin_request_t *request, const char *name);

/**
 * Standin_GetQueryNumber() - Reads a whole number from the URL's query.
 * @fallback: returned if the parameter is absent
 */
int64_t Standin_GetQueryNumber(standin_request_t *request, const char *name,
                               int64_t fallback);

/**
 * Standin_GetTimeMs() - Returns the time of the monotonic clock, in ms.
 */
int64_t Standin_GetTimeMs(void);
void Standin_SleepMs(double ms);

/**
 * Standin_GetPatternByte() - Returns the byte at a position of a long body, so
 * that a missing or repeated part shows.
 */
char Standin_GetPatternByte(uint64_t position);

#endif
