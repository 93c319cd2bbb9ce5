/*
 * log.h - Log lines, written through GLib's logging to standard error.
 *
 * Each component logs under its own fixed name. When standard error is a pipe
 * that is full, lines are dropped and counted, so that logging never blocks
 * the event loop.
 */
#ifndef PS_LOG_H
#define PS_LOG_H

#include <glib.h>
#include <stdint.h>

/**
 * PsLog_Init() - Makes GLib's log messages go through this module.
 * @program: name printed in each line; not copied
 * @verbose: whether debug lines are written
 */
void PsLog_Init(const char *program, gboolean verbose);

/**
 * PsLog_GetDropped() - Returns the number of lines that were dropped.
 */
uint64_t PsLog_GetDropped(void);

/* Each writes one line; @component is a short fixed word such as "route". */
#define PsLog_Info(component, ...)                                            \
    g_log(component, G_LOG_LEVEL_INFO, __VA_ARGS__)
#define PsLog_Warn(component, ...)                                            \
    g_log(component, G_LOG_LEVEL_WARNING, __VA_ARGS__)
#define PsLog_Debug(component, ...)                                           \
    g_log(component, G_LOG_LEVEL_DEBUG, __VA_ARGS__)

#endif
