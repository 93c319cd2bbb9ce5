/*
 * origin_records.h - Has the origins of streams kept in the store while
 * several versions of a service's software serve, and reads them after a
 * start.
 */
#ifndef PS_ORIGIN_RECORDS_H
#define PS_ORIGIN_RECORDS_H

#include "origin_log.h"
#include "store_events.h"

struct ps_gateway;

/**
 * PsOriginRecords_Tell() - Tells the allocator of a stream that has begun
 * here, if its service has had several versions lately.
 * @request: hash of its id
 */
void PsOriginRecords_Tell(struct ps_gateway *gateway, uint64_t request,
                          uint64_t version, int64_t now_ms);

/**
 * PsOriginRecords_Take() - Keeps an origin that another daemon has told of, if
 * this daemon is the allocator.
 */
void PsOriginRecords_Take(struct ps_gateway *gateway,
                          const ps_origin_t *origin, int64_t now_ms);

/**
 * PsOriginRecords_HandleChoice() - Has all origins that are known here told to
 * another allocator, or written again by this one.
 */
void PsOriginRecords_HandleChoice(struct ps_gateway *gateway);

/**
 * PsOriginRecords_Run() - Writes what is due. To be called at each tick.
 */
void PsOriginRecords_Run(struct ps_gateway *gateway, int64_t now_ms);

/**
 * PsOriginRecords_HandleStart() - Reads the stored origins unless the state
 * shows that no service has had several versions lately.
 */
void PsOriginRecords_HandleStart(struct ps_gateway *gateway,
                                 const ps_stored_state_t *state);

/**
 * PsOriginRecords_HandleRead() - Takes the slots that were read.
 * @is_done: all could be read
 */
void PsOriginRecords_HandleRead(struct ps_gateway *gateway,
                                const ps_origin_slot_t *slots, size_t n,
                                bool is_done);

#endif
