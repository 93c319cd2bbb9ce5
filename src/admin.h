/*
 * admin.h - HTTP server for operators: configuration, backend servers, status,
 * metrics.
 *
 * All paths but /healthz and /metrics need the bearer token of the settings.
 * An edit of the configuration is accepted when its conditional write to the
 * platform has succeeded; when that result is lost, the object is read again.
 */
#ifndef PS_ADMIN_H
#define PS_ADMIN_H

#include "http_server.h"

struct ps_daemon;

/**
 * struct ps_admin - A daemon's HTTP server for operators.
 */
typedef struct ps_admin {
    struct ps_daemon *daemon;
    ps_http_server_t server;
} ps_admin_t;

/**
 * PsAdmin_Init() - Listens on the operators' address.
 *
 * Return: PS_OK or PS_UNAVAILABLE with the reason.
 */
ps_status_t PsAdmin_Init(ps_admin_t *admin, struct ps_daemon *daemon);
void PsAdmin_Finish(ps_admin_t *admin);

#endif
