/*
 * team_messages.h - Fair sharing among teams in reports and grants.
 *
 * Teams are named by hashes of 4 bytes, and only while requests of the service
 * wait anywhere.
 */
#ifndef PS_TEAM_MESSAGES_H
#define PS_TEAM_MESSAGES_H

#include "gateway.h"
#include "peer.pb-c.h"

/**
 * PsTeamMessages_ApplySettings() - Switches fair sharing and planned returns
 * of a service on or off.
 */
void PsTeamMessages_ApplySettings(ps_dispatcher_t *dispatcher,
                                  const ps_gateway_settings_t *settings);

/**
 * PsTeamMessages_AddToReport() - Adds waiting, started and running requests
 * by team. Freed with PsTeamMessages_FreeInReport().
 * @round: of the report
 */
void PsTeamMessages_AddToReport(Ps__ServiceUse *use,
                                ps_dispatcher_t *dispatcher, uint64_t round,
                                int64_t now_ms);
void PsTeamMessages_FreeInReport(Ps__ServiceUse *use);

/**
 * PsTeamMessages_HandleReport() - Takes a daemon's requests by team. Those of
 * a daemon that names no teams count as one team's.
 * @use: receives them
 */
void PsTeamMessages_HandleReport(ps_allocator_t *allocator,
                                 const ps_name_t *service,
                                 const Ps__ServiceUse *message,
                                 ps_service_use_t *use, int64_t now_ms);

/**
 * PsTeamMessages_StartRound() - Sets the teams' weights and logs the division
 * of a service at intervals. To be called before its slots are divided.
 */
void PsTeamMessages_StartRound(ps_allocator_t *allocator,
                               const ps_name_t *service,
                               const ps_catalog_t *catalog, int64_t now_ms);

/**
 * PsTeamMessages_AddToGrant() - Adds the counters of teams with waiting
 * requests, if any wait. Freed with PsTeamMessages_FreeInGrant().
 * @round: of the report that is answered
 */
void PsTeamMessages_AddToGrant(ps_allocator_t *allocator,
                               const ps_name_t *service,
                               Ps__ServiceGrant *grant, uint64_t round,
                               int64_t now_ms);
void PsTeamMessages_FreeInGrant(Ps__ServiceGrant *grant);

/**
 * PsTeamMessages_HandleGrant() - Takes the counters of teams.
 * @until_ms: they are too old then
 */
void PsTeamMessages_HandleGrant(ps_scheduler_t *scheduler,
                                const Ps__ServiceGrant *grant,
                                int64_t until_ms);

#endif
