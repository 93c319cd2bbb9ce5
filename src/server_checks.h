/*
 * server_checks.h - Asks backend servers for their status to see whether this
 * daemon reaches them.
 *
 * A lost connection doesn't tell whether its server has ended, and the
 * server's registration lasts for some heartbeats after its end. A check opens
 * another connection: a refused one shows that no process listens there, or
 * that this daemon is cut off from the server. One that opens shows nothing
 * yet, as what is between may accept it: the server has to answer. Load
 * pattern: requests that crash servers come all the time, while other servers
 * cut connections and go on running; or all connections of this daemon are
 * lost at once.
 */
#ifndef PS_SERVER_CHECKS_H
#define PS_SERVER_CHECKS_H

#include "backend.h"
#include "http_client.h"

#define PS_SERVER_CHECKS_MAX 2048       /* waiting or in progress at a time */
#define PS_SERVER_CHECKS_RUNNING_MAX 64 /* in progress at a time */

// Delay of the check after a lost connection, so that a process that is ending
// has closed its socket.
#define PS_SERVER_CHECK_DELAY_MS 100

/**
 * enum ps_check_result - What a check has shown.
 */
typedef enum ps_check_result {
    PS_CHECK_REACHED, /* the server has answered; or it has accepted the check
                         and has not answered yet, as a busy one may */
    PS_CHECK_REFUSED, /* no process listens there, or something between
                         refuses */
    PS_CHECK_BROKEN,  /* a connection opened and was lost, or something else
                         answered */
    PS_CHECK_UNOPENED /* no connection opened within the check's time */
} ps_check_result_t;

/**
 * struct ps_server_checks_events - Callbacks of checks.
 * @is_needed: tells, when a check is due, whether it is still wanted
 * @find_path: returns the path of a server's status; NULL: it has none, and an
 *             open connection has to do
 * @is_own_answer: tells whether the response to a check is of this server
 * @checked: a check has ended
 */
typedef struct ps_server_checks_events {
    bool (*is_needed)(void *user, const ps_registration_t *server);
    const char *(*find_path)(void *user, const ps_registration_t *server);
    bool (*is_own_answer)(void *user, const ps_registration_t *server,
                          const ps_transfer_t *transfer);
    void (*checked)(void *user, const ps_registration_t *server,
                    ps_check_result_t result);
} ps_server_checks_events_t;

/**
 * struct ps_server_checks - The checks of one daemon; allocated by its user.
 */
typedef struct ps_server_checks {
    const ps_server_checks_events_t *events;
    void *user;
    ps_http_client_t *http_client;
    GQueue checks; /* waiting ones, and those in progress */
    int n_running;
} ps_server_checks_t;

/**
 * PsServerChecks_Init() - Initializes without any check.
 * @events: not copied
 * @user: for the callbacks
 * @http_client: must outlive the checks
 */
void PsServerChecks_Init(ps_server_checks_t *checks,
                         const ps_server_checks_events_t *events, void *user,
                         ps_http_client_t *http_client);
void PsServerChecks_Finish(ps_server_checks_t *checks);

/**
 * PsServerChecks_Add() - Has a server checked after a delay.
 *
 * Return: false if there are PS_SERVER_CHECKS_MAX checks; it is true, and
 * nothing more is done, if a check of this server is waiting already.
 */
bool PsServerChecks_Add(ps_server_checks_t *checks,
                        const ps_registration_t *server, int64_t delay_ms,
                        int64_t now_ms);

/**
 * PsServerChecks_Run() - Starts the checks that are due.
 */
void PsServerChecks_Run(ps_server_checks_t *checks, int64_t now_ms);

#endif
