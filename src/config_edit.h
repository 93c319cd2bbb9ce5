/*
 * config_edit.h - Operators' edits of the configuration object.
 *
 * An edit is a conditional write to the platform. When the write's result is
 * unknown or a conflict, the object is read to find out what happened.
 */
#ifndef PS_CONFIG_EDIT_H
#define PS_CONFIG_EDIT_H

#include "http_server.h"

struct ps_daemon;

/**
 * PsConfigEdit_Replace() - Replaces the configuration if its version is as
 * expected.
 * @request: answered when the edit has succeeded or failed
 * @text: new configuration, JSON; checked and copied
 * @version: version that the operator has edited; 0: none must exist
 */
void PsConfigEdit_Replace(struct ps_daemon *daemon, ps_http_request_t *request,
                          ps_str_t text, uint64_t version);

/**
 * PsConfigEdit_SetServerState() - Sets a backend server's state in the
 * configuration.
 *
 * After a conflict the change is made again on the newer configuration, since
 * changes of different servers' states do not exclude each other.
 *
 * @request: answered when the edit has succeeded or failed
 * @server: backend server's name
 * @state: "joining", "leaving" or "stopped"
 */
void PsConfigEdit_SetServerState(struct ps_daemon *daemon,
                                 ps_http_request_t *request,
                                 const char *server, const char *state);

/**
 * PsConfigEdit_Detach() - Ends an edit's use of its request, because the
 * operator has disconnected; the edit goes on without an answer.
 */
void PsConfigEdit_Detach(ps_http_request_t *request);

#endif
