/*
 * backend.h - A backend server as one daemon knows it.
 *
 * What its registration says, what this daemon has in progress there, how
 * fast it was seen to be, which prompt parts it has read, and how its answers
 * turned out. Pure: time is an argument.
 */
#ifndef PS_BACKEND_H
#define PS_BACKEND_H

#include <glib.h>

#include "outliers.h"
#include "speed.h"
#include "str.h"

/**
 * struct ps_registration - What a backend server says of itself.
 */
typedef struct ps_registration {
    ps_name_t name;
    int64_t started_ms; /* Unix time of its start; another one: it is empty */
    ps_name_t service;
    ps_name_t address;
    ps_name_t domain;
    int slots;
    bool is_leaving;      /* takes no new work */
    int64_t cold_left_ms; /* it is slow for so long */
} ps_registration_t;

/**
 * struct ps_backend - One backend server.
 */
typedef struct ps_backend {
    ps_registration_t registration;
    uint32_t instance_id;  /* differs for each start of each server */
    bool is_listed;        /* may get new work unless it leaves */
    int64_t cold_until_ms; /* slow until then */
    int ref_count;         /* requests that refer to it */
    /* work of this daemon */
    int slot_limit; /* requests that this daemon may have there */
    int running;
    double
        pending_prefill_tokens; /* prompts sent whose first event is missing */
    /* speeds */
    ps_speed_t
        first_event_time; /* first event, ms over thousands of prompt tokens */
    ps_speed_t token_interval; /* ms between output tokens, by own requests */
    GHashTable *cached_parts;  /* prompt part to the time of its last use */
    /* health */
    double outcomes;                   /* fading count */
    double failures;                   /* fading count */
    ps_outcomes_t unreported_outcomes; /* not reported to the allocator yet */
    int64_t ejected_until_ms;
    int64_t
        ejected_for_ms; /* length of the last ejection; 0: in good standing */
    bool is_on_trial;   /* one request at a time until one succeeds */
} ps_backend_t;

ps_backend_t *PsBackend_New(const ps_registration_t *told, int64_t now_ms);

/**
 * PsBackend_Unlist() - Unlists a server; it is freed with its last holder.
 */
void PsBackend_Unlist(ps_backend_t *backend);
void PsBackend_Ref(ps_backend_t *backend);
void PsBackend_Unref(ps_backend_t *backend);

/**
 * PsBackend_Update() - Takes a newer registration of the same start.
 */
void PsBackend_Update(ps_backend_t *backend, const ps_registration_t *told,
                      int64_t now_ms);

/**
 * PsBackend_AddCachedPart() - A prompt part is read there.
 */
void PsBackend_AddCachedPart(ps_backend_t *backend, uint64_t part,
                             int64_t now_ms);
bool PsBackend_HasCachedPart(const ps_backend_t *backend, uint64_t part,
                             int64_t now_ms);

/**
 * PsBackend_AddOutcome() - Counts a success or a failure.
 */
void PsBackend_AddOutcome(ps_backend_t *backend, bool is_good);
double PsBackend_GetFailureRate(const ps_backend_t *backend); /* 0 to 1 */

/**
 * PsBackend_Eject() - It gets no work for a pause that grows each time.
 */
void PsBackend_Eject(ps_backend_t *backend, int64_t now_ms);

/**
 * PsBackend_Readmit() - A request on trial has succeeded.
 */
void PsBackend_Readmit(ps_backend_t *backend);

#endif
