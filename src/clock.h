/*
 * clock.h - The clock of beliefs and deadlines.
 */
#ifndef PS_CLOCK_H
#define PS_CLOCK_H

#include <stdint.h>

/**
 * PsClock_Now() - Returns milliseconds since some start, suspension included.
 *
 * A VM that was suspended must find its beliefs old when it wakes.
 */
int64_t PsClock_Now(void);

#endif
