/*
 * stream_origins.h - Which version of its service's software began a stream.
 *
 * What servers of two versions write doesn't fit together, so that a stream
 * goes on only at the version that began it, also where its caller takes it up
 * at another daemon. The daemon that relays a stream's first event keeps a
 * record of it, and has some other members keep one, chosen by rendezvous
 * hashing of the request's id. Load pattern: many starts and few resumptions,
 * most of these after a daemon was killed. Does no I/O; all times are passed
 * in.
 */
#ifndef PS_STREAM_ORIGINS_H
#define PS_STREAM_ORIGINS_H

#include "recent_map.h"
#include "str.h"

// Longest time from a stream's first event until its caller takes it up.
#define PS_STREAM_ORIGIN_MS 30000

#define PS_ORIGIN_HOLDERS 2 /* other members that keep a record */
#define PS_ORIGIN_ASKED 4   /* members that are asked for one */

/**
 * struct ps_stream_origins - The records of one daemon.
 */
typedef struct ps_stream_origins {
    ps_recent_map_t versions; /* by hash of the request's id; 0: ambiguous */
} ps_stream_origins_t;

void PsStreamOrigins_Init(ps_stream_origins_t *origins);
void PsStreamOrigins_Finish(ps_stream_origins_t *origins);

/**
 * PsStreamOrigins_HashId() - Returns the hash under which a request's record
 * is kept.
 */
uint64_t PsStreamOrigins_HashId(const ps_name_t *request_id);

/**
 * PsStreamOrigins_Add() - Adds a record. Two of one request that name
 * different versions make it ambiguous: its id was used twice.
 * @version: as in ps_backend_t
 */
void PsStreamOrigins_Add(ps_stream_origins_t *origins, uint64_t request,
                         uint64_t version, int64_t now_ms);

/**
 * PsStreamOrigins_Find() - Returns the version that began a request's stream;
 * 0: it is not known here, or ambiguous.
 */
uint64_t PsStreamOrigins_Find(ps_stream_origins_t *origins, uint64_t request,
                              int64_t now_ms);

/**
 * PsStreamOrigins_ForEach() - Visits all records; version 0: ambiguous.
 */
void PsStreamOrigins_ForEach(const ps_stream_origins_t *origins,
                             void (*visit)(void *user, uint64_t request,
                                           uint64_t version),
                             void *user);

/**
 * PsStreamOrigins_ChooseHolders() - Chooses members by rendezvous hashing of a
 * request.
 * @members: their names, ps_name_t
 * @holders: receives at most @max of them, the first choice first
 *
 * Return: number of holders.
 */
size_t PsStreamOrigins_ChooseHolders(uint64_t request,
                                     const GPtrArray *members,
                                     const ps_name_t **holders, size_t max);

#endif
