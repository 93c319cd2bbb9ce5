/*
 * reach_checks.h - Finds out which backend servers this daemon reaches.
 *
 * A server whose connection was lost, doesn't open or is silent is checked by
 * opening another one. If that fails, other daemons are asked whether they
 * reach the server: if one does, this daemon is cut off from it; if they reach
 * other servers but not this one, it has ended. What was lost there counts as
 * the server's failure only when it is known that this daemon is not cut off.
 * While a server is lost, a few checks a second look whether it is back.
 */
#ifndef PS_REACH_CHECKS_H
#define PS_REACH_CHECKS_H

#include "peers.h"
#include "server_checks.h"

struct ps_gateway;

/**
 * struct ps_reach_checks - Checks and questions in progress at a daemon.
 */
typedef struct ps_reach_checks {
    struct ps_gateway *gateway;
    ps_server_checks_t checks;
    GArray *lookups;    /* what others were asked and have not all answered */
    unsigned n_lookups; /* so far */
    GArray *questions;  /* of other daemons, to be answered after a check */
    int64_t next_return_ms; /* next check whether a lost server is back */
} ps_reach_checks_t;

void PsReachChecks_Init(ps_reach_checks_t *reach, struct ps_gateway *gateway);
void PsReachChecks_Finish(ps_reach_checks_t *reach);

/**
 * PsReachChecks_HandleLost() - A connection was lost before the end of an
 * answer: has the server checked.
 */
void PsReachChecks_HandleLost(ps_reach_checks_t *reach, ps_backend_t *backend,
                              int64_t now_ms);

/**
 * PsReachChecks_HandleSilence() - A server has been silent for longer than
 * usual: has it checked, unless that was done shortly before.
 */
void PsReachChecks_HandleSilence(ps_reach_checks_t *reach,
                                 ps_backend_t *backend, int64_t now_ms);

/**
 * PsReachChecks_HandleUnopened() - A connection for a request didn't open.
 * @is_refused: no process listens there, or something between refuses
 */
void PsReachChecks_HandleUnopened(ps_reach_checks_t *reach,
                                  ps_backend_t *backend, bool is_refused,
                                  int64_t now_ms);

/**
 * PsReachChecks_HandleAnswer() - A server has answered on a connection of this
 * daemon.
 */
void PsReachChecks_HandleAnswer(ps_reach_checks_t *reach,
                                ps_backend_t *backend, int64_t now_ms);

/**
 * PsReachChecks_HandlePeerReach() - Another daemon has reached the server.
 */
void PsReachChecks_HandlePeerReach(ps_reach_checks_t *reach,
                                   ps_backend_t *backend, int64_t now_ms);

/**
 * PsReachChecks_HandlePeerLost() - A request was lost at the server or at the
 * daemon that carried it: has the server checked, and others asked.
 */
void PsReachChecks_HandlePeerLost(ps_reach_checks_t *reach,
                                  ps_backend_t *backend, int64_t now_ms);

/**
 * PsReachChecks_HandleFrame() - Handles a question or an answer of another
 * daemon.
 *
 * Return: false if the frame is neither.
 */
bool PsReachChecks_HandleFrame(ps_reach_checks_t *reach, const ps_name_t *from,
                               const Ps__Frame *frame, int64_t now_ms);

/**
 * PsReachChecks_Run() - Runs the checks that are due, and ends lookups that
 * got no answer. To be called at each tick.
 */
void PsReachChecks_Run(ps_reach_checks_t *reach, int64_t now_ms);

/**
 * PsReachChecks_IsCutOff() - Tells whether this daemon is cut off from all
 * servers of some service that other daemons reach.
 */
bool PsReachChecks_IsCutOff(const ps_reach_checks_t *reach);

#endif
