/*
 * allocator_rounds.h - The allocator's side of sharing.
 *
 * Any daemon that is reported to divides; its part is bounded by who reports.
 */
#ifndef PS_ALLOCATOR_ROUNDS_H
#define PS_ALLOCATOR_ROUNDS_H

#include "sharing.h"

/**
 * PsAllocatorRounds_HandleReport() - Takes a daemon's report in.
 */
void PsAllocatorRounds_HandleReport(ps_sharing_t *sharing,
                                    const ps_name_t *from,
                                    const Ps__ShareReport *report,
                                    int64_t now_ms);

/**
 * PsAllocatorRounds_Run() - Divides slots and quotas and sends the grants.
 */
void PsAllocatorRounds_Run(ps_sharing_t *sharing, int64_t now_ms);

#endif
