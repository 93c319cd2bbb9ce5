/*
 * origin_log.h - Origins of streams that the allocator keeps in the store.
 *
 * While servers of several versions serve, nothing but these records tells at
 * which a stream may go on. Daemons keep them for each other
 * (stream_origins.h); the store keeps them for a loss of all daemons at once.
 * The log is written in slots, each an object with the origins of some
 * seconds, at most once a second, so that its cost depends neither on the
 * fleet's size nor on the number of streams. The slots form a ring that covers
 * the time in which callers take streams up. Does no I/O; all times are passed
 * in.
 */
#ifndef PS_ORIGIN_LOG_H
#define PS_ORIGIN_LOG_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define PS_ORIGIN_SLOT_MS 3000 /* that a slot covers, by the wall clock */
#define PS_ORIGIN_SLOTS 16     /* in the ring */
#define PS_ORIGIN_WRITERS                                                     \
    4                       /* rings: daemons that are allocators at the      \
                               same time seldom write the same one */
#define PS_ORIGINS_MAX 8000 /* in a slot; further ones are not kept */

/**
 * struct ps_origin - Which version began a stream.
 * @request: hash of the id of the request that brought its first event
 * @version: as in ps_backend_t
 */
typedef struct ps_origin {
    uint64_t request;
    uint64_t version;
} ps_origin_t;

/**
 * struct ps_origin_slot - A slot, as it is stored.
 * @number: of the time that it covers; of 0 ms at the Unix epoch: 0
 */
typedef struct ps_origin_slot {
    int64_t number;
    const ps_origin_t *origins;
    size_t n;
} ps_origin_slot_t;

/**
 * enum ps_origin_step - What the log needs next.
 */
typedef enum ps_origin_step {
    PS_ORIGIN_WAIT,
    PS_ORIGIN_READ, /* read the slots: another daemon may have written them */
    PS_ORIGIN_WRITE /* write the slot */
} ps_origin_step_t;

/**
 * struct ps_origin_log - The log at one daemon.
 */
typedef struct ps_origin_log {
    GArray *origins;      /* ps_origin_t, of the slot and since */
    GHashTable *requests; /* set of their requests */
    int64_t slot;         /* number of the last one written */
    size_t n_written;     /* of @origins, in it */
    size_t n_writing;     /* in the write in progress */
    bool is_busy;         /* a call is in progress */
    bool is_writing;      /* it is a write */
    bool has_read;        /* what others have written before is known */
    int64_t next_ms;      /* no call before */
    uint64_t n_dropped;   /* over PS_ORIGINS_MAX */
} ps_origin_log_t;

void PsOriginLog_Init(ps_origin_log_t *log);
void PsOriginLog_Finish(ps_origin_log_t *log);

/**
 * PsOriginLog_Add() - Adds an origin; one that is in the slot is left out.
 */
void PsOriginLog_Add(ps_origin_log_t *log, const ps_origin_t *origin);

/**
 * PsOriginLog_HandleChoice() - Notes that another daemon may write the log, or
 * may have written it.
 */
void PsOriginLog_HandleChoice(ps_origin_log_t *log);

/**
 * PsOriginLog_GetStep() - Returns what is to be done now, and counts it as
 * begun.
 * @unix_ms: the wall clock
 * @slot: receives what is to be written, valid until the next change
 */
ps_origin_step_t PsOriginLog_GetStep(ps_origin_log_t *log, int64_t unix_ms,
                                     int64_t now_ms, ps_origin_slot_t *slot);

/**
 * PsOriginLog_StartRead() - Begins to read the slots, whether or not anything
 * is to be written.
 *
 * Return: false if it can't be done now.
 */
bool PsOriginLog_StartRead(ps_origin_log_t *log, int64_t now_ms);

/**
 * PsOriginLog_HandleRead() - Takes a slot that was read.
 */
void PsOriginLog_HandleRead(ps_origin_log_t *log, const ps_origin_slot_t *slot,
                            int64_t unix_ms);

/**
 * PsOriginLog_EndStep() - Notes how the step has ended.
 */
void PsOriginLog_EndStep(ps_origin_log_t *log, bool is_done);

#endif
