/*
 * gateway_memory.h - Periodic work on a gateway's memory.
 */
#ifndef PS_GATEWAY_MEMORY_H
#define PS_GATEWAY_MEMORY_H

#include "gateway.h"

/**
 * PsGatewayMemory_Run() - Logs the level of the memory budget when it has
 * changed, and returns free memory to the system after a peak. To be called at
 * each tick.
 */
void PsGatewayMemory_Run(ps_gateway_t *gateway, int64_t now_ms);

#endif
