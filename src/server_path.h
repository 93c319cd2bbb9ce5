/*
 * server_path.h - The path of a request to its backend server.
 *
 * It is a connection of this daemon or, to a server from which this daemon is
 * cut off, another daemon. A path that could not be taken, so that nothing was
 * sent to the server, is followed by the next one.
 */
#ifndef PS_SERVER_PATH_H
#define PS_SERVER_PATH_H

#include "backend.h"
#include "forwarders.h"
#include "http_client.h"

#define PS_PATH_FORWARDERS_MAX 3 /* daemons tried for one attempt */

struct ps_gateway;
struct ps_server_path;

/**
 * struct ps_server_path_ops - One kind of path.
 * @name: for logs
 * @prepare: sets where a transfer goes, and adds its headers
 * @finish: learns from the end of a transfer, and whether the server broke off
 *          an answer whose transfer is complete; returns how it ended for the
 *          server
 * @is_server_head: tells whether a response's headers are the server's
 * @ends_with_connection: tells whether the server's response had neither a
 *                        length nor chunks
 * @handle_silence: the server has been silent for longer than usual
 */
typedef struct ps_server_path_ops {
    const char *name;
    void (*prepare)(struct ps_server_path *path, ps_transfer_t *transfer,
                    ps_transfer_request_t *request);
    ps_transfer_result_t (*finish)(struct ps_server_path *path,
                                   ps_transfer_t *transfer,
                                   ps_transfer_result_t result,
                                   bool is_broken_off, int64_t now_ms);
    bool (*is_server_head)(const ps_transfer_t *transfer);
    bool (*ends_with_connection)(const ps_transfer_t *transfer);
    void (*handle_silence)(struct ps_server_path *path, int64_t now_ms);
} ps_server_path_ops_t;

/**
 * struct ps_server_path - The path of one attempt of a request. All zero: none
 * is open.
 */
typedef struct ps_server_path {
    const ps_server_path_ops_t *ops;
    struct ps_gateway *gateway;
    ps_backend_t *backend;
    ps_forwarder_t *forwarder; /* that carries it; NULL: none does */
    ps_name_t tried[PS_PATH_FORWARDERS_MAX]; /* daemons, this one included */
    int n_tried;
    bool has_mismatch; /* something else than the server's answer came */
    bool is_own_cut;   /* the connection was lost since this daemon had paused
                          reading; nothing is learned from that */
    ps_name_t url;
} ps_server_path_t;

/**
 * PsServerPath_Open() - Chooses the first path of an attempt.
 * @backend: outlives the path
 */
void PsServerPath_Open(ps_server_path_t *path, struct ps_gateway *gateway,
                       ps_backend_t *backend, int64_t now_ms);

/**
 * PsServerPath_OpenNext() - Chooses the next path after one over which nothing
 * was sent to the server.
 *
 * Return: false if there is none; the server counts as not reached then.
 */
bool PsServerPath_OpenNext(ps_server_path_t *path, int64_t now_ms);

/**
 * PsServerPath_Close() - Ends the path; does nothing if none is open.
 */
void PsServerPath_Close(ps_server_path_t *path);

#endif
