/*
 * allocator_rounds.h - Runs the allocator's rounds: reports in, grants out.
 *
 * Every daemon that gets reports acts as an allocator. What it gives out is
 * bounded by how many daemons report to it.
 */
#ifndef PS_ALLOCATOR_ROUNDS_H
#define PS_ALLOCATOR_ROUNDS_H

#include "sharing.h"

/**
 * PsAllocatorRounds_HandleReport() - Handles the report of a daemon.
 */
void PsAllocatorRounds_HandleReport(ps_sharing_t *sharing,
                                    const ps_name_t *from,
                                    const Ps__ShareReport *report,
                                    int64_t now_ms);

/**
 * PsAllocatorRounds_Run() - Divides slots and quotas, and sends a grant to
 * each daemon with a fresh report.
 */
void PsAllocatorRounds_Run(ps_sharing_t *sharing, int64_t now_ms);

#endif
