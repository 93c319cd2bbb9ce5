/*
 * origin_lookups.h - Sends records of streams' origins to other daemons, and
 * asks them for one when a caller takes up a stream that began elsewhere.
 */
#ifndef PS_ORIGIN_LOOKUPS_H
#define PS_ORIGIN_LOOKUPS_H

#include "peer.pb-c.h"
#include "str.h"

struct ps_gateway;

/**
 * PsOriginLookups_Record() - Keeps a record here and at its holders.
 * @version: of the server that wrote the stream's first event
 */
void PsOriginLookups_Record(struct ps_gateway *gateway,
                            const ps_name_t *request_id, uint64_t version,
                            int64_t now_ms);

/**
 * PsOriginLookups_SendOrigin() - Sends a record to a member.
 * @request: hash of the request's id
 */
void PsOriginLookups_SendOrigin(struct ps_gateway *gateway,
                                const ps_name_t *to, uint64_t request,
                                uint64_t version);

/**
 * PsOriginLookups_Ask() - Asks other members for a record. Answers are passed
 * to PsExchange_HandleOrigin().
 * @request: hash of the request's id
 *
 * Return: number of members asked.
 */
int PsOriginLookups_Ask(struct ps_gateway *gateway, uint64_t request);

/**
 * PsOriginLookups_Probe() - Asks a member for a record that nobody keeps: its
 * answer shows that it is alive.
 */
void PsOriginLookups_Probe(struct ps_gateway *gateway,
                           const ps_name_t *member);

/**
 * PsOriginLookups_HandleFrame() - Handles a frame of another daemon.
 *
 * Return: false if it is about something else.
 */
bool PsOriginLookups_HandleFrame(struct ps_gateway *gateway,
                                 const ps_name_t *from, const Ps__Frame *frame,
                                 int64_t now_ms);

#endif
