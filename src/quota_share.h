/*
 * quota_share.h - One daemon's claim to a team's token bucket.
 *
 * A claim is a ceiling on the units that the daemon spends since its start.
 * The allocator raises and lowers it. A request that fits below it is admitted
 * at once; any other is asked of the allocator and waits for its verdict. The
 * claim outlasts the allocator: without one, it grows at the daemon's part of
 * the rate, and the next allocator's bucket is the sum of all claims. Load
 * pattern: a hundred daemons that each see a request of a team every few
 * seconds, and bursts at all of them at once. Does no I/O; all times are
 * passed in.
 */
#ifndef PS_QUOTA_SHARE_H
#define PS_QUOTA_SHARE_H

#include <glib.h>

#include "quota.h"

#define PS_QUOTA_ASKS_MAX 64 /* of one team at one daemon at a time */

/**
 * enum ps_quota_verdict - The allocator's answer for one request.
 */
typedef enum ps_quota_verdict {
    PS_QUOTA_PENDING,
    PS_QUOTA_GRANTED,
    PS_QUOTA_REFUSED,
    PS_QUOTA_UNKNOWN, /* no such request */
} ps_quota_verdict_t;

/**
 * struct ps_quota_ask - A request that waits for the allocator's verdict.
 */
typedef struct ps_quota_ask {
    uint32_t id; /* rises with each request of the team at this daemon */
    double units;
    int64_t asked_ms;
    ps_quota_verdict_t verdict;
    bool is_within; /* at the allocator: the reference bucket had room for it,
                       and is charged */
} ps_quota_ask_t;

/**
 * struct ps_quota_share - A daemon's claim to one team's bucket.
 *
 * Totals are units since the daemon's start, less refunds; the caller keeps
 * them.
 */
typedef struct ps_quota_share {
    ps_quota_terms_t terms;
    int n_daemons;   /* that share the bucket */
    double ceiling;  /* total up to which may be spent */
    double reserved; /* units below the ceiling for granted requests that are
                        not charged yet */
    int64_t refilled_ms; /* the own refill up to then is in the ceiling, or is
                            the allocator's */
    bool is_started;     /* the claim has its initial value */
    bool is_merged;      /* an allocator has had it */
    bool is_confirmed;   /* the present allocator has it */
    GArray *asks;        /* ps_quota_ask_t */
    uint32_t last_ask;
    double sent_total; /* in the last report that named the team */
    double sent_ceiling;
    uint64_t sent_round; /* 0: not named to this allocator yet */
    int64_t sent_ms;
    bool has_new_ask; /* since then */
    bool is_answered; /* that report was answered */
} ps_quota_share_t;

void PsQuotaShare_Init(ps_quota_share_t *share);
void PsQuotaShare_Finish(ps_quota_share_t *share);

/**
 * PsQuotaShare_SetTerms() - Sets the quota. A lowered one cuts the claim down
 * to the daemon's part of it.
 */
void PsQuotaShare_SetTerms(ps_quota_share_t *share,
                           const ps_quota_terms_t *terms, double total);

/**
 * PsQuotaShare_Start() - Gives the claim its initial value, once.
 * @known_ms: time for which the daemon has been running; what the daemons
 * before it spent is unknown. Negative: nothing was spent before.
 */
void PsQuotaShare_Start(ps_quota_share_t *share, double total,
                        int64_t known_ms, int64_t now_ms);

/**
 * PsQuotaShare_Refill() - Adds the daemon's part of the rate since the last
 * refill. To be called while no allocator refills the bucket for it.
 *
 * After a whole window without it the claim is void, since the other daemons
 * may have counted this one out.
 */
void PsQuotaShare_Refill(ps_quota_share_t *share, double total,
                         int64_t now_ms);

/**
 * PsQuotaShare_HasRoom() - Tells whether units fit below the ceiling.
 */
bool PsQuotaShare_HasRoom(const ps_quota_share_t *share, double units,
                          double total);

/**
 * PsQuotaShare_Ask() - Adds a request that waits for the allocator's verdict.
 *
 * Return: its id; 0: too many wait.
 */
uint32_t PsQuotaShare_Ask(ps_quota_share_t *share, double units,
                          int64_t now_ms);

/**
 * PsQuotaShare_GetVerdict() - Returns the verdict for a request.
 */
ps_quota_verdict_t PsQuotaShare_GetVerdict(const ps_quota_share_t *share,
                                           uint32_t id);

/**
 * PsQuotaShare_RemoveAsk() - Removes a request: it was charged or refused, or
 * it waits no longer.
 */
void PsQuotaShare_RemoveAsk(ps_quota_share_t *share, uint32_t id);

/**
 * PsQuotaShare_MustReport() - Tells whether the next report is to name the
 * team: something has changed, or a report of it got no answer.
 */
bool PsQuotaShare_MustReport(const ps_quota_share_t *share, double total,
                             int64_t now_ms);

/**
 * PsQuotaShare_NoteReport() - Notes that a report names the team.
 */
void PsQuotaShare_NoteReport(ps_quota_share_t *share, double total,
                             uint64_t round, int64_t now_ms);

/**
 * PsQuotaShare_HandleAnswer() - Notes that the allocator has answered a
 * report, whether the answer names the team or not.
 * @sent_ms: when the report was sent
 */
void PsQuotaShare_HandleAnswer(ps_quota_share_t *share, uint64_t round,
                               int64_t sent_ms);

/**
 * PsQuotaShare_Leave() - Notes that no allocator has the claim any more.
 */
void PsQuotaShare_Leave(ps_quota_share_t *share);

/**
 * PsQuotaShare_KeepUp() - Lets the ceiling follow what is spent by other
 * grants than of ceilings.
 */
void PsQuotaShare_KeepUp(ps_quota_share_t *share, double total,
                         int64_t now_ms);

/**
 * PsQuotaShare_ApplyGrant() - Takes a new ceiling and verdicts.
 */
void PsQuotaShare_ApplyGrant(ps_quota_share_t *share, double ceiling,
                             const uint32_t *granted, size_t n_granted,
                             const uint32_t *refused, size_t n_refused);

#endif
