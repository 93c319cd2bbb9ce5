/*
 * gateway_metrics.h - Metrics of a daemon in gateway mode, as text.
 */
#ifndef PS_GATEWAY_METRICS_H
#define PS_GATEWAY_METRICS_H

#include "http_server.h"

/**
 * PsGatewayMetrics_GetEvents() - Returns the handlers of the metrics address.
 * The server's user is the gateway.
 */
const ps_http_server_events_t *PsGatewayMetrics_GetEvents(void);

#endif
