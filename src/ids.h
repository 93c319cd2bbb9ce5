/*
 * ids.h - What a pool's owner knows of requests that carry an id.
 *
 * An id is kept while its request waits or runs, and for a window after its
 * end, so that a request that is sent again is not dispatched again.
 */
#ifndef PS_IDS_H
#define PS_IDS_H

#include <glib.h>

#include "request.h"

/**
 * enum ps_id_state - Where an id stands.
 */
typedef enum ps_id_state {
    PS_ID_WAITING, /* queued, or its grant has not been sent */
    PS_ID_GRANTED, /* its grant was sent: it may run */
    PS_ID_ENDED    /* its dispatch has ended */
} ps_id_state_t;

/**
 * struct ps_id_record - One id.
 */
typedef struct ps_id_record {
    ps_name_t id;
    ps_name_t ticket;   /* of the request that holds it */
    ps_name_t token;    /* once granted */
    const char *server; /* once granted; interned, as are the next two */
    const char *address;
    const char *entry;
    ps_id_state_t state;
    ps_outcome_t outcome; /* once ended */
    bool is_idempotent;
    bool is_orphan; /* its caller or its entry has gone */
    int64_t ended_ms;
} ps_id_record_t;

/**
 * struct ps_ids - Table of ids.
 */
typedef struct ps_ids {
    GHashTable *by_id; /* ps_name_t to ps_id_record_t */
    int64_t window_ms; /* ended ids are kept this long */
    int64_t next_expire_ms;
} ps_ids_t;

void PsIds_Init(ps_ids_t *ids, int64_t window_ms);
void PsIds_Finish(ps_ids_t *ids);

/* An empty id is never found and never added. */
ps_id_record_t *PsIds_Get(const ps_ids_t *ids, const ps_name_t *id);
ps_id_record_t *PsIds_Add(ps_ids_t *ids, const ps_grant_request_t *ask);
void PsIds_Remove(ps_ids_t *ids, const ps_name_t *id);
void PsIds_SetEnded(ps_id_record_t *record, ps_outcome_t outcome,
                    int64_t now_ms);
void PsIds_Expire(ps_ids_t *ids, int64_t now_ms); /* once a second at most */

#endif
