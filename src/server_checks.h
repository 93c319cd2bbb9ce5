/*
 * server_checks.h - Finds out whether backend servers still run.
 *
 * A lost connection doesn't tell whether its server has ended, and the
 * server's registration lasts for some heartbeats after its end. A check opens
 * another connection: a refused one shows that no process listens there. Load
 * pattern: requests that crash servers come all the time, while other servers
 * cut connections and go on running.
 */
#ifndef PS_SERVER_CHECKS_H
#define PS_SERVER_CHECKS_H

#include "backend.h"
#include "http_client.h"

#define PS_SERVER_CHECKS_MAX 64 /* waiting or in progress at a time */

// Delay of a check, so that a process that is ending has closed its socket.
#define PS_SERVER_CHECK_DELAY_MS 100

/**
 * struct ps_server_checks - The checks of one daemon; allocated by its user.
 */
typedef struct ps_server_checks {
    ps_http_client_t *http_client;
    void (*ended)(void *user, const ps_registration_t *server);
    void *user;
    GQueue checks; /* waiting ones, and those in progress */
} ps_server_checks_t;

/**
 * PsServerChecks_Init() - Initializes without any check.
 * @http_client: must outlive the checks
 * @ended: called for each server that has ended
 */
void
PsServerChecks_Init(ps_server_checks_t *checks, ps_http_client_t *http_client,
                    void (*ended)(void *user, const ps_registration_t *server),
                    void *user);
void PsServerChecks_Finish(ps_server_checks_t *checks);

/**
 * PsServerChecks_Add() - Has a server checked after the delay.
 *
 * Nothing is done if a check of this server is waiting already, or if there
 * are PS_SERVER_CHECKS_MAX of them; its end is then known from its
 * registration.
 */
void PsServerChecks_Add(ps_server_checks_t *checks,
                        const ps_registration_t *server, int64_t now_ms);

/**
 * PsServerChecks_Run() - Starts the checks that are due.
 */
void PsServerChecks_Run(ps_server_checks_t *checks, int64_t now_ms);

#endif
