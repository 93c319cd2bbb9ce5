/*
 * exchange_task.h - What the scheduler is told of an exchange's request.
 */
#ifndef PS_EXCHANGE_TASK_H
#define PS_EXCHANGE_TASK_H

#include "exchange.h"

// Longest time that the request for a stream, or the retry of any request,
// waits for a backend server. Callers disconnect from a stream that has been
// silent for 2 s.
#define PS_STREAM_WAIT_MAX_MS 1400

// A response has to be back at the caller this long before the deadline.
#define PS_DEADLINE_MARGIN_MS 30

/**
 * PsExchangeTask_Init() - Sets an admitted exchange's deadline and task, from
 * its route, its team and the headers of its request.
 */
void PsExchangeTask_Init(ps_exchange_t *exchange, int64_t now_ms);

#endif
