/*
 * event_stream.h - Events in the bytes of a text/event-stream.
 */
#ifndef PS_EVENT_STREAM_H
#define PS_EVENT_STREAM_H

#include "str.h"

/**
 * PsEventStream_FindEnd() - Finds the end of an event.
 * @from: index at which the event begins
 *
 * Return: index after the blank line that ends it; 0: it is incomplete.
 */
size_t PsEventStream_FindEnd(ps_str_t data, size_t from);

/**
 * PsEventStream_ParseId() - Sets the id from the event's last id line; keeps
 * it if there is none.
 */
void PsEventStream_ParseId(ps_str_t event, ps_name_t *id);

#endif
