/* status.c - Keeps the message of the last failure and names the codes. */
#include "status.h"

#include <stdarg.h>
#include <stdio.h>

/* ---- Globals ---------------------------------------------------------- */

static char last_message[PS_MESSAGE_MAX];

/* ---- Public functions ------------------------------------------------- */

ps_status_t
PsStatus_Fail(ps_status_t status, const char *format, ...)
{
    va_list args;
    va_start(args, format);
    vsnprintf(last_message, sizeof last_message, format, args);
    va_end(args);
    return status;
}

const char *
PsStatus_LastMessage(void)
{
    return last_message;
}

const char *
PsStatus_Name(ps_status_t status)
{
    static const char *const names[] = {"ok",       "invalid",     "not found",
                                        "conflict", "unavailable", "unknown",
                                        "full",     "denied"};
    return names[status];
}
