/*
 * pace_messages.h - Samples of servers in reports, and paces in grants.
 */
#ifndef PS_PACE_MESSAGES_H
#define PS_PACE_MESSAGES_H

#include "allocator.h"
#include "peers.h"

/**
 * PsPaceMessages_AddSamples() - Moves the samples of a service's servers into
 * a report. A sample is held back for some rounds, until it is worth its
 * bytes.
 * @use: its samples are to be freed with PsPaceMessages_FreeSamples()
 */
void PsPaceMessages_AddSamples(Ps__ServiceUse *use,
                               const ps_scheduler_t *scheduler,
                               int64_t now_ms);
void PsPaceMessages_FreeSamples(Ps__ServiceUse *use);

/**
 * PsPaceMessages_HandleSamples() - Adds the samples of a report to the models.
 */
void PsPaceMessages_HandleSamples(ps_server_models_t *models,
                                  const Ps__ServiceUse *use, int64_t now_ms);

/**
 * PsPaceMessages_SetServer() - Makes a server known to the models before
 * slots are divided. One without samples starts from what this daemon was
 * told by another allocator.
 * @server: hash of its name
 */
void PsPaceMessages_SetServer(ps_server_models_t *models, uint32_t server,
                              const ps_backend_t *backend, bool is_engine,
                              int64_t now_ms);

/**
 * PsPaceMessages_PrintMetrics() - Prints how many servers are learned, slow
 * and limited, at the allocator.
 */
void PsPaceMessages_PrintMetrics(const ps_server_models_t *models,
                                 ps_buf_t *out);

/**
 * PsPaceMessages_AddPaces() - Adds to a daemon's grant the paces that it was
 * not told yet.
 * @grant: its paces are to be freed with PsPaceMessages_FreePaces()
 */
void PsPaceMessages_AddPaces(Ps__ServiceGrant *grant,
                             const ps_server_models_t *models,
                             const ps_scheduler_t *scheduler,
                             ps_service_use_t *use);
void PsPaceMessages_FreePaces(Ps__ServiceGrant *grant);

/**
 * PsPaceMessages_ApplyPaces() - Sets the paces of a grant.
 */
void PsPaceMessages_ApplyPaces(ps_scheduler_t *scheduler,
                               const Ps__ServiceGrant *grant, int64_t now_ms);

#endif
