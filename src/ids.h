/*
 * ids.h - Requests with an id (Idempotency-Key) that a pool's owner knows.
 *
 * An id is kept while its request waits or runs, and for a window after its
 * end, so that a retry by the caller is not dispatched a second time.
 */
#ifndef PS_IDS_H
#define PS_IDS_H

#include <glib.h>

#include "request.h"

/**
 * enum ps_id_state - Progress of the request with an id.
 */
typedef enum ps_id_state {
    PS_ID_WAITING, /* queued, or its grant has not been sent */
    PS_ID_GRANTED, /* its grant was sent: it may run */
    PS_ID_ENDED    /* its dispatch has ended */
} ps_id_state_t;

/**
 * struct ps_id_record - One id and the latest request with it.
 */
typedef struct ps_id_record {
    ps_name_t id;
    ps_name_t ticket;    /* of the latest request */
    ps_name_t token;     /* names its dispatch at the server, once granted */
    const char *server;  /* backend server's name, once granted; interned */
    const char *address; /* its address, IP:PORT; interned */
    const char *entry;   /* daemon that took the request; interned */
    ps_id_state_t state;
    ps_outcome_t outcome; /* once ended */
    bool is_idempotent;
    bool is_orphan;   /* caller disconnected, or entry not live */
    int64_t ended_ms; /* time of the end of its dispatch */
} ps_id_record_t;

/**
 * struct ps_ids - Table of ids.
 */
typedef struct ps_ids {
    GHashTable *by_id;      /* ps_name_t to ps_id_record_t */
    int64_t window_ms;      /* ended ids are kept this long */
    int64_t next_expire_ms; /* time of the next scan for expired ids */
} ps_ids_t;

void PsIds_Init(ps_ids_t *ids, int64_t window_ms);
void PsIds_Finish(ps_ids_t *ids);

/* PsIds_Get() returns NULL for an empty or unknown id. PsIds_Add() replaces an
 * earlier record of the id and returns NULL for an empty one. Records belong
 * to the table. */
ps_id_record_t *PsIds_Get(const ps_ids_t *ids, const ps_name_t *id);
ps_id_record_t *PsIds_Add(ps_ids_t *ids, const ps_grant_request_t *request);
void PsIds_Remove(ps_ids_t *ids, const ps_name_t *id);
void PsIds_SetEnded(ps_id_record_t *record, ps_outcome_t outcome,
                    int64_t now_ms);
/* Removes ids that ended longer ago than the window; scans once a second. */
void PsIds_Expire(ps_ids_t *ids, int64_t now_ms);

#endif
