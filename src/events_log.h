/*
 * events_log.h - Event log on standard output.
 *
 * Each line is a JSON object with the time, the daemon's name, the event and
 * the event's own fields. Lines are buffered and written without blocking.
 * Lines above a rate limit, and lines that the reader is too slow for, are
 * dropped; a line "log.dropped" says how many.
 */
#ifndef PS_EVENTS_LOG_H
#define PS_EVENTS_LOG_H

#include <jansson.h>
#include <stdint.h>

/**
 * PsEvents_Init() - Starts the log.
 * @daemon: daemon's name, must outlive the log
 */
void PsEvents_Init(const char *daemon);

/**
 * PsEvents_Add() - Logs an event.
 * @event: what happened, such as "request.end"
 * @format: format of jansson's json_pack() for an object of the event's
 * fields, followed by their values
 */
void PsEvents_Add(const char *event, const char *format, ...);

/**
 * PsEvents_Flush() - Writes what standard output accepts without blocking; the
 * rest stays buffered.
 */
void PsEvents_Flush(void);

/**
 * PsEvents_GetDropped() - Returns the lines dropped since the start.
 */
uint64_t PsEvents_GetDropped(void);

#endif
