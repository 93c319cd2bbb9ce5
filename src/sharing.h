/*
 * sharing.h - Reports to the allocator, and the grants that come back.
 *
 * Rendezvous hashing over the members, weighted by processor share, names the
 * allocator. A daemon that misses its grants goes on with even shares of
 * slots and quotas until they come again, and turns to the next candidate.
 * Nothing here waits for the store.
 */
#ifndef PS_SHARING_H
#define PS_SHARING_H

#include "allocator.h"
#include "store_events.h"
#include "peers.h"

struct ps_gateway;

#define PS_SHARING_ROUNDS_KEPT 16 /* rounds whose spending is remembered */
#define PS_SHARING_CRASHES_MAX                                                \
    3 /* lost connections until a content is refused */

/**
 * struct ps_spending - What this daemon has spent of one team's quota.
 */
typedef struct ps_spending {
    ps_name_t team;
    double wanted; /* fading sum of units asked for */
    double total_at_report[PS_SHARING_ROUNDS_KEPT]; /* total spent, at each
                                                       round */
    double granted; /* may be spent beyond @granted_from */
    double grant_base;
    int64_t granted_ms; /* 0: never */
} ps_spending_t;

/**
 * struct ps_sharing - One daemon's side and, when chosen, the allocator's.
 */
typedef struct ps_sharing {
    struct ps_gateway *gateway;
    ps_peers_t peers;
    ps_allocator_t allocator;
    ps_name_t allocator_name; /* the allocator; may be this daemon */
    int64_t allocator_since_ms;
    int64_t granted_ms;     /* last grant; 0: never */
    int64_t reconnected_ms; /* its links were dialled anew */
    uint64_t round;
    int64_t sent_ms[PS_SHARING_ROUNDS_KEPT]; /* reports of the last rounds */
    int64_t last_run_ms;                     /* last turn of the loop */
    int64_t next_round_ms;
    int64_t next_choice_ms;
    int64_t next_record_ms;
    bool is_record_empty; /* the last record named no team */
    GHashTable *avoided;  /* name to the time until which it is avoided */
    GHashTable *silent_members;  /* names of members that do not report */
    GHashTable *spending;        /* team to ps_spending_t */
    GArray *unreported_suspects; /* uint64_t, to be reported */
    bool uses_even_shares;       /* even shares are in use */
    uint64_t grants_received;
} ps_sharing_t;

/**
 * PsSharing_HashServer() - Names a backend server in reports and grants.
 */
uint32_t PsSharing_HashServer(const ps_backend_t *backend);

/**
 * PsSharing_Init() - Listens for peers.
 *
 * Return: PS_OK or PS_UNAVAILABLE with the reason.
 */
ps_status_t PsSharing_Init(ps_sharing_t *sharing, struct ps_gateway *gateway,
                           struct ev_loop *loop);
void PsSharing_Finish(ps_sharing_t *sharing);

/**
 * PsSharing_Run() - Reports, divides and falls back as due; call each tick.
 */
void PsSharing_Run(ps_sharing_t *sharing, int64_t now_ms);
void PsSharing_HandleMemberChange(ps_sharing_t *sharing,
                                  const ps_daemon_info_t *member);
bool PsSharing_IsSilent(const ps_sharing_t *sharing, const ps_name_t *member);

/**
 * PsSharing_ChargeQuota() - Spends units of a team's quota: of what was
 * granted or, without a fresh grant, of this daemon's even part.
 */
bool PsSharing_ChargeQuota(ps_sharing_t *sharing, const ps_name_t *team,
                           double units, int64_t now_ms);

/**
 * PsSharing_IsSpendingKnown() - Tells whether this daemon knows what teams
 * have spent: from grants, or from its own books of a whole window.
 */
bool PsSharing_IsSpendingKnown(const ps_sharing_t *sharing, int64_t now_ms);

/**
 * PsSharing_AddSuspect() - A content was in flight at a lost connection.
 */
void PsSharing_AddSuspect(ps_sharing_t *sharing, uint64_t content);

#endif
