/* clock.c - Reads CLOCK_BOOTTIME. */
#include "clock.h"

#include <time.h>

int64_t
PsClock_Now(void)
{
    struct timespec now;
    clock_gettime(CLOCK_BOOTTIME, &now);
    return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}
