/*
 * roster.h - The backend servers that a daemon believes in.
 *
 * Follows registrations. A server whose registration lapsed while the store
 * was away is kept for a moment after the store's return, because a living
 * server registers again. Pure: time is an argument.
 */
#ifndef PS_ROSTER_H
#define PS_ROSTER_H

#include "backend.h"

struct ps_roster;

/**
 * struct ps_roster_events - What a roster tells its user.
 * @listed: a server is new or its registration has changed
 * @unlisted: a server is gone; it is freed with its last holder
 */
typedef struct ps_roster_events {
    void (*listed)(struct ps_roster *roster, ps_backend_t *backend,
                   bool is_new);
    void (*unlisted)(struct ps_roster *roster, ps_backend_t *backend,
                     const char *reason);
} ps_roster_events_t;

/**
 * struct ps_roster - All servers, by name.
 */
typedef struct ps_roster {
    const ps_roster_events_t *events;
    void *user;
    GHashTable *by_name; /* ps_name_t to its entry */
    bool is_store_lost;
    int64_t hold_until_ms; /* missing servers are kept until then */
} ps_roster_t;

void PsRoster_Init(ps_roster_t *roster, const ps_roster_events_t *events,
                   void *user);
void PsRoster_Finish(ps_roster_t *roster);
void PsRoster_Put(ps_roster_t *roster, const ps_registration_t *told,
                  int64_t now_ms);
ps_backend_t *PsRoster_Find(const ps_roster_t *roster,
                            const ps_name_t *name); /* or NULL */
void PsRoster_Remove(ps_roster_t *roster, const ps_name_t *name,
                     int64_t now_ms);

/**
 * PsRoster_Retain() - Removes all servers whose names are not in a set.
 */
void PsRoster_Retain(ps_roster_t *roster, GHashTable *names, int64_t now_ms);
void PsRoster_StoreLost(ps_roster_t *roster);
void PsRoster_StoreBack(ps_roster_t *roster, int64_t now_ms);

/**
 * PsRoster_Run() - Drops servers that are still missing after the store's
 * return.
 */
void PsRoster_Run(ps_roster_t *roster, int64_t now_ms);

#endif
