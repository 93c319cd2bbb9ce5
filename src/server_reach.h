/*
 * server_reach.h - What a daemon believes of its connections to one server.
 *
 * A connection that doesn't open may show that the server has ended, or that
 * this daemon is cut off from it while others are not. Only the others can
 * tell: a server that they reach is used by way of them until a connection of
 * this daemon opens again. Load pattern: some or most daemons lose all their
 * connections to servers at the same moment, or those to some servers, which
 * go on serving the others. Does no I/O; all times are passed in.
 */
#ifndef PS_SERVER_REACH_H
#define PS_SERVER_REACH_H

#include <stdbool.h>
#include <stdint.h>

// Time for which a server that other daemons did not reach is not sent
// requests by way of them.
#define PS_REACH_PEERS_LOST_MS 1000

// Shortest time between two checks of a server's connections.
#define PS_REACH_CHECK_INTERVAL_MS 500

/**
 * struct ps_server_reach - One server as this daemon reaches it. All zero: its
 * connections are believed to open.
 */
typedef struct ps_server_reach {
    int64_t answered_ms;   /* last answer or open connection of its own */
    int64_t lost_ms;       /* since when its connections don't open; 0: they
                              do */
    int64_t peers_ms;      /* when another daemon last reached it */
    int64_t peers_lost_ms; /* when all that were asked last did not */
    int64_t checked_ms;    /* when the last check was asked for */
    bool is_checking;      /* a check has no result yet */
} ps_server_reach_t;

/**
 * PsServerReach_HandleAnswer() - A connection of this daemon has opened, or an
 * answer has come on one.
 *
 * Return: whether connections had not opened before.
 */
bool PsServerReach_HandleAnswer(ps_server_reach_t *reach, int64_t now_ms);

/**
 * PsServerReach_HandleLost() - A connection of this daemon has not opened.
 *
 * Return: whether connections had opened before.
 */
bool PsServerReach_HandleLost(ps_server_reach_t *reach, int64_t now_ms);

/**
 * PsServerReach_HandlePeerAnswer() - Another daemon has reached the server, or
 * has said that it doesn't.
 *
 * Return: whether it follows that this daemon is cut off from the server, and
 * did not before.
 */
bool PsServerReach_HandlePeerAnswer(ps_server_reach_t *reach, bool is_reached,
                                    int64_t now_ms);

/**
 * PsServerReach_HandlePeerLost() - Another daemon that carried a request has
 * lost it: the server has failed, or that daemon. Until others are asked it
 * isn't known whether they reach the server.
 */
void PsServerReach_HandlePeerLost(ps_server_reach_t *reach);

/**
 * PsServerReach_IsCutOff() - Tells whether other daemons reach the server and
 * this one doesn't.
 */
bool PsServerReach_IsCutOff(const ps_server_reach_t *reach);

/**
 * PsServerReach_UsesPeers() - Tells whether requests go to the server by way
 * of other daemons.
 *
 * They also do while it isn't known yet whether those reach it.
 */
bool PsServerReach_UsesPeers(const ps_server_reach_t *reach, int64_t now_ms);

/**
 * PsServerReach_StartCheck() - Starts a check unless one is in progress or was
 * started shortly before.
 * @interval_ms: shortest time between the two starts
 *
 * Return: whether it started.
 */
bool PsServerReach_StartCheck(ps_server_reach_t *reach, int64_t interval_ms,
                              int64_t now_ms);

#endif
