/*
 * dividing.h - The allocator's side of sharing.
 *
 * Any daemon that is reported to divides; its part is bounded by who reports.
 */
#ifndef PS_DIVIDING_H
#define PS_DIVIDING_H

#include "sharing.h"

/**
 * PsDividing_TakeReport() - Takes a daemon's report in.
 */
void PsDividing_TakeReport(ps_sharing_t *sharing, const ps_name_t *from,
                           const Ps__ShareReport *report, int64_t now_ms);

/**
 * PsDividing_Run() - Divides slots and quotas and sends the grants.
 */
void PsDividing_Run(ps_sharing_t *sharing, int64_t now_ms);

#endif
