/*
 * clock.h - Monotonic clock for deadlines and the age of data.
 */
#ifndef PS_CLOCK_H
#define PS_CLOCK_H

#include <stdint.h>

/**
 * PsClock_Now() - Returns the milliseconds of CLOCK_BOOTTIME.
 *
 * This clock goes on while the VM is suspended, so that data from before the
 * suspension is stale when the VM resumes.
 */
int64_t PsClock_Now(void);

#endif
