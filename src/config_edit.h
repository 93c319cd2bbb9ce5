/*
 * config_edit.h - One operator's edit of the configuration object.
 */
#ifndef PS_CONFIG_EDIT_H
#define PS_CONFIG_EDIT_H

#include "http_server.h"

struct ps_daemon;

/**
 * PsConfigEdit_Replace() - Replaces the configuration if its version is as
 * expected.
 * @request: answered when the edit is settled
 * @text: new configuration, checked here
 * @version: version that the operator has edited; 0: none must exist
 */
void PsConfigEdit_Replace(struct ps_daemon *daemon, ps_http_request_t *request,
                          ps_str_t text, uint64_t version);

/**
 * PsConfigEdit_SetServerState() - Marks a backend server; repeated after a
 * lost race, since marks of different servers do not conflict.
 * @server: backend server's name
 * @state: "joining", "leaving" or "stopped"
 */
void PsConfigEdit_SetServerState(struct ps_daemon *daemon,
                                 ps_http_request_t *request,
                                 const char *server, const char *state);

/**
 * PsConfigEdit_Detach() - The operator has left; the edit goes on.
 */
void PsConfigEdit_Detach(ps_http_request_t *request);

#endif
