/*
 * backend.h - A backend server as one daemon sees it.
 *
 * Holds its registration, this daemon's work in progress there, its observed
 * speed, the prompt parts in its prefix cache, and how its answers turned out.
 * Does no I/O; all times are passed in.
 */
#ifndef PS_BACKEND_H
#define PS_BACKEND_H

#include <glib.h>

#include "outliers.h"
#include "server_limit.h"
#include "server_model.h"
#include "server_reach.h"
#include "server_room.h"
#include "speed.h"
#include "str.h"

/**
 * struct ps_registration - What a backend server has registered in the store.
 */
typedef struct ps_registration {
    ps_name_t name;
    int64_t started_ms; /* Unix time of its start; when it changes, the server
                           has restarted with an empty cache */
    ps_name_t service;
    ps_name_t address;
    ps_name_t domain;      /* failure domain */
    ps_name_t version;     /* of its software; has no order */
    int slots;             /* requests that it can run at once */
    bool is_leaving;       /* takes no new work */
    bool has_said_leaving; /* it has said so in a response: it leaves until it
                              starts again, whatever it registers */
    int64_t cold_left_ms;  /* it runs slowly for this long after the
                              registration is read */
} ps_registration_t;

/**
 * struct ps_backend - One backend server.
 */
typedef struct ps_backend {
    ps_registration_t registration;
    uint32_t instance_id;  /* differs for each start of each server */
    uint64_t version;      /* PsRegistration_HashVersion() */
    bool is_listed;        /* may get new work unless it is leaving */
    int64_t cold_until_ms; /* runs slowly until then */
    int ref_count;         /* of the registry and the tasks that run there */
    /* work of this daemon */
    int slot_limit; /* requests that this daemon may run there */
    int even_share; /* those of its slots that belong to this daemon without
                       grants */
    int running;
    ps_server_limit_t limit;  /* the rate that it takes from all daemons */
    bool has_malformed_limit; /* its last one was; it has been logged */
    int64_t paused_until_ms;  /* it has asked for no requests until then */
    bool is_brittle; /* it has said that it falls over when it has to reject
                        too many requests */
    bool has_malformed_brittle; /* likewise */
    ps_server_room_t room;      /* while its service is brittle */
    bool has_malformed_pause; /* the last one it asked for; it has been logged
                               */
    double pending_prefill_tokens; /* prefill of requests sent there that have
                                      no event yet */
    /* speeds */
    ps_speed_t first_event_time; /* milliseconds to the first event, by
                                    thousands of prompt tokens */
    ps_speed_t token_interval;   /* milliseconds between output tokens, by the
                                    number of this daemon's running requests */
    ps_server_sample_t sample;   /* of this daemon, not yet reported */
    int64_t sample_since_ms;     /* its oldest part */
    ps_server_pace_t pace;       /* learned over all daemons */
    int64_t pace_told_ms;        /* by the allocator; 0: never */
    GHashTable *cached_parts; /* hash of a prompt part to time of last use */
    /* health */
    double outcomes; /* successes and failures, with exponential decay */
    double failures; /* failures only, with exponential decay */
    ps_outcomes_t unreported_outcomes; /* not yet reported to the allocator */
    int64_t ejected_until_ms;          /* gets no work until then */
    int64_t ejected_for_ms;  /* length of the last ejection; 0: none since the
                                server was last readmitted */
    ps_server_reach_t reach; /* whether its connections open */
    bool is_on_trial;        /* one request at a time until one succeeds */
} ps_backend_t;

/**
 * PsRegistration_HashVersion() - Returns a hash of a server's service and of
 * the version of its software; never 0.
 *
 * What servers of two versions write doesn't fit together: a stream goes on
 * only at a server of the version that began it.
 */
uint64_t PsRegistration_HashVersion(const ps_registration_t *registration);

/**
 * PsBackend_New() - Creates a listed server.
 *
 * Return: the server with one reference, which PsBackend_Unlist() releases.
 */
ps_backend_t *PsBackend_New(const ps_registration_t *registration,
                            int64_t now_ms);

/**
 * PsBackend_Unlist() - Marks a server as no longer in use and releases the
 * reference of PsBackend_New(); the server is freed with its last reference.
 */
void PsBackend_Unlist(ps_backend_t *backend);

/**
 * PsBackend_Relist() - Marks a server as in use again, which was unlisted and
 * is still referenced; takes a reference.
 *
 * What it has said and how its work went is kept; whether its connections open
 * is to be found out again.
 */
void PsBackend_Relist(ps_backend_t *backend);
void PsBackend_Ref(ps_backend_t *backend);
void PsBackend_Unref(ps_backend_t *backend);

/**
 * PsBackend_CountOccupied() - Returns how many requests of this daemon take a
 * slot there: those in progress, and at a brittle server those that it may
 * still run.
 */
int PsBackend_CountOccupied(const ps_backend_t *backend, int64_t now_ms);

/**
 * PsBackend_Update() - Sets a newer registration of the same start.
 */
void PsBackend_Update(ps_backend_t *backend,
                      const ps_registration_t *registration, int64_t now_ms);

/**
 * PsBackend_AddCachedPart() - Records that a prompt part is in the server's
 * prefix cache and was used now.
 * @part: hash of the part and all parts before it
 */
void PsBackend_AddCachedPart(ps_backend_t *backend, uint64_t part,
                             int64_t now_ms);

/**
 * PsBackend_HasCachedPart() - Tells whether a prompt part was used recently
 * enough to be still in the server's prefix cache.
 */
bool PsBackend_HasCachedPart(const ps_backend_t *backend, uint64_t part,
                             int64_t now_ms);

/**
 * PsBackend_AddOutcome() - Counts a success or a failure.
 */
void PsBackend_AddOutcome(ps_backend_t *backend, bool is_good);
double PsBackend_GetFailureRate(const ps_backend_t *backend); /* 0 to 1 */

/**
 * PsBackend_Eject() - Sends the server no work for a time that doubles with
 * each ejection, and puts it on trial after that.
 */
void PsBackend_Eject(ps_backend_t *backend, int64_t now_ms);

/**
 * PsBackend_Readmit() - Ends the trial, and resets the ejection time and the
 * failure rate.
 */
void PsBackend_Readmit(ps_backend_t *backend);

#endif
