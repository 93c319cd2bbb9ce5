/*
 * forward_server.h - Carries requests of other daemons to backend servers.
 *
 * A daemon that is cut off from a server sends a request to another one, over
 * HTTP, just as it would send it to the server, and names the server in a
 * header. The other daemon sends it on over a connection of its own, once, and
 * relays the answer as it comes. Admission, quotas, slots, retries, limits and
 * crashes stay with the first daemon. A request is carried by one daemon only:
 * here it goes to the server or is turned away.
 */
#ifndef PS_FORWARD_SERVER_H
#define PS_FORWARD_SERVER_H

#include <glib.h>

#include "http_server.h"

#define PS_FORWARDS_MAX 512 /* requests carried at a time */

struct ps_gateway;

/**
 * struct ps_forward_server - The requests that a daemon carries for others.
 */
typedef struct ps_forward_server {
    struct ps_gateway *gateway;
    ps_http_server_t server;
    GQueue forwards;
    uint64_t carried; /* requests sent on so far */
    uint64_t refused; /* turned away so far */
} ps_forward_server_t;

/**
 * PsForwardServer_Init() - Starts to listen at the settings' forward address;
 * without one, no requests are carried.
 *
 * Return: PS_OK or PS_UNAVAILABLE with the reason.
 */
ps_status_t PsForwardServer_Init(ps_forward_server_t *forwarding,
                                 struct ps_gateway *gateway);
void PsForwardServer_Finish(ps_forward_server_t *forwarding);

/**
 * PsForwardServer_Stop() - Gives up all requests that are carried, because
 * this daemon's process ends, and says of each whether it was sent to its
 * server.
 */
void PsForwardServer_Stop(ps_forward_server_t *forwarding);

/**
 * PsForwardServer_IsIdle() - Tells whether nothing is being carried.
 */
bool PsForwardServer_IsIdle(const ps_forward_server_t *forwarding);

#endif
