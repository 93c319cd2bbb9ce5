/*
 * sharing.h - Reports to the allocator, and the grants that it sends back.
 *
 * The allocator is chosen by rendezvous hashing over the members, weighted by
 * processor share. A daemon that gets no grants uses even shares of slots and
 * quotas until grants arrive again, and after a while reports to the next
 * candidate. Nothing here waits for the store.
 */
#ifndef PS_SHARING_H
#define PS_SHARING_H

#include "allocator.h"
#include "election.h"
#include "peers.h"
#include "quota_admission.h"
#include "store_events.h"

struct ps_gateway;

// Rounds whose reports are remembered. A grant that answers an older report is
// ignored.
#define PS_SHARING_ROUNDS_KEPT 16

/**
 * struct ps_spending - What this daemon has spent of one team's quota.
 */
typedef struct ps_spending {
    ps_name_t team;
    double requested_units; /* decayed sum of units asked for, refused ones
                               included */
    double total_at_report[PS_SHARING_ROUNDS_KEPT]; /* total spent when the
                                                       report of each round
                                                       was sent */
    double granted;     /* units that may be spent beyond @grant_base */
    double grant_base;  /* total spent at the report that the grant answers */
    int64_t granted_ms; /* time of the last grant; 0: never */
} ps_spending_t;

/**
 * struct ps_sharing - Sharing state of one daemon, including its allocator.
 */
typedef struct ps_sharing {
    struct ps_gateway *gateway;
    ps_peers_t peers;
    ps_allocator_t allocator; /* used while daemons report here */
    ps_name_t allocator_name; /* daemon that is reported to; may be this one */
    int64_t allocator_since_ms; /* when it was chosen, or this daemon's last
                                   pause if that was later */
    int64_t woken_ms;           /* end of this daemon's last pause; 0: none */
    int64_t granted_ms;         /* time of the last grant; 0: never */
    int64_t reconnected_ms;     /* last reconnect to the allocator */
    uint64_t round;             /* number of the last report */
    int64_t sent_ms[PS_SHARING_ROUNDS_KEPT]; /* when each report was sent */
    int64_t next_round_ms;
    int64_t next_choice_ms;      /* next check for a better allocator */
    int64_t next_state_save_ms;  /* the state is not saved before */
    int64_t next_doubt_ms;       /* no member is doubted before */
    bool is_stored_usage_empty;  /* the usage in the store names no team */
    ps_election_t election;      /* which members are not chosen */
    GHashTable *cut_off_members; /* names of members that reach no server of
                                    some service */
    GHashTable *silent_members;  /* names of members that do not report */
    GHashTable *spending;        /* team to ps_spending_t */
    ps_quota_admission_t quota_admission; /* used with quota_by_bucket */
    bool uses_even_shares;                /* no fresh grant */
    uint64_t grants_received;
} ps_sharing_t;

/**
 * PsSharing_HashServer() - Returns the hash of a backend server's name, which
 * identifies it in reports and grants.
 */
uint32_t PsSharing_HashServer(const ps_backend_t *backend);

/**
 * PsSharing_SetLimitNotice() - Sets a message from a notice of a server.
 */
void PsSharing_SetLimitNotice(Ps__ServerLimit *message,
                              const ps_backend_t *backend,
                              const ps_limit_notice_t *notice, int64_t now_ms);

/**
 * PsSharing_MergeServerLimit() - Takes a notice that another daemon has.
 * @from: that daemon
 * @sent_ms: earliest time at which the message can have been made
 *
 * Return: the server; NULL: that start of it is not known here.
 */
ps_backend_t *PsSharing_MergeServerLimit(const ps_scheduler_t *scheduler,
                                         const Ps__ServerLimit *message,
                                         const ps_name_t *from,
                                         int64_t sent_ms, int64_t now_ms);

/**
 * PsSharing_Init() - Starts listening for peers. Even shares are used until
 * the first grant.
 *
 * Return: PS_OK or PS_UNAVAILABLE with the reason.
 */
ps_status_t PsSharing_Init(ps_sharing_t *sharing, struct ps_gateway *gateway,
                           struct ev_loop *loop);
void PsSharing_Finish(ps_sharing_t *sharing);

/**
 * PsSharing_Run() - Sends reports, runs allocator rounds and falls back to
 * even shares, each when it is due. To be called at each tick.
 */
void PsSharing_Run(ps_sharing_t *sharing, int64_t now_ms);

/**
 * PsSharing_HandlePause() - Gives the allocator and the members time to be
 * heard again after a pause of this daemon.
 */
void PsSharing_HandlePause(ps_sharing_t *sharing, int64_t now_ms);

/**
 * PsSharing_HandleMemberChange() - Sets a member's peer address and chooses
 * the allocator again.
 */
void PsSharing_HandleMemberChange(ps_sharing_t *sharing,
                                  const ps_daemon_info_t *member);

/**
 * PsSharing_IsSilent() - Tells whether the allocator's last grant names a
 * member as one that does not report.
 */
bool PsSharing_IsSilent(const ps_sharing_t *sharing, const ps_name_t *member);

/**
 * PsSharing_IsCutOff() - Tells whether the allocator's last grant names a
 * member as one that reaches no server of some service.
 */
bool PsSharing_IsCutOff(const ps_sharing_t *sharing, const ps_name_t *member);

/**
 * PsSharing_ChargeQuota() - Charges units to a team's quota if the grant
 * allows it or, without a fresh grant, this daemon's even share.
 *
 * A grant allows a request as long as any of its units are left, so it may be
 * exceeded by one request.
 *
 * Return: false if the quota is used up; nothing is charged then.
 */
bool PsSharing_ChargeQuota(ps_sharing_t *sharing, const ps_name_t *team,
                           double units, int64_t now_ms);

/**
 * PsSharing_IsSpendingKnown() - Tells whether this daemon knows what teams
 * have spent in the window: from grants, or because it has been running for a
 * whole window.
 */
bool PsSharing_IsSpendingKnown(const ps_sharing_t *sharing, int64_t now_ms);

#endif
