/*
 * events_log.h - Structured log lines on standard output.
 *
 * One JSON object a line: time, daemon, event, and the event's own fields.
 * Lines are collected and written in blocks without blocking; above a rate,
 * or when the reader is slow, lines are dropped and counted by a line of
 * their own.
 */
#ifndef PS_EVENTS_LOG_H
#define PS_EVENTS_LOG_H

#include <jansson.h>
#include <stdint.h>

/**
 * PsEvents_Init() - Starts the log.
 * @daemon: name in each line; kept
 */
void PsEvents_Init(const char *daemon);

/**
 * PsEvents_Add() - Adds a line.
 * @event: what happened, such as "request.start"
 * @format: a format of jansson's json_pack() for one object, with its values
 */
void PsEvents_Add(const char *event, const char *format, ...);

/**
 * PsEvents_Flush() - Writes what the reader takes; the rest waits.
 */
void PsEvents_Flush(void);
uint64_t PsEvents_GetDropped(void);

#endif
