/*
 * quota_admission.h - This daemon's claims to quotas, and what it tells and
 * hears of them.
 *
 * Used with the setting quota_by_bucket. A request that fits this daemon's
 * claim is charged at once. Any other is asked of the allocator with the next
 * report and waits for its verdict. docs/design/quota-admission.md describes
 * the protocol.
 */
#ifndef PS_QUOTA_ADMISSION_H
#define PS_QUOTA_ADMISSION_H

#include "allocator.h"
#include "peer.pb-c.h"

struct ps_sharing;

/**
 * struct ps_quota_admission - Claims of this daemon, and its contact to the
 * allocator that has them.
 */
typedef struct ps_quota_admission {
    bool is_on;
    bool has_old_allocator; /* it grants units and knows no claims */
    bool has_spent_before;  /* daemons may have spent before this one started
                             */
    GHashTable *shares;     /* team to ps_quota_share_t */
    uint64_t epoch;         /* of the allocator's state; 0: no contact */
    uint32_t join;          /* rises each time claims are brought in */
    int64_t contact_ms;     /* the allocator had the claims then, or was first
                               heard */
    uint64_t last_round;    /* of the newest grant with ceilings */
    uint64_t next_epoch;    /* of this daemon's own pools */
} ps_quota_admission_t;

void PsQuotaAdmission_Init(ps_quota_admission_t *admission, bool is_on,
                           uint64_t incarnation);
void PsQuotaAdmission_Finish(ps_quota_admission_t *admission);

/**
 * PsQuotaAdmission_SetTeam() - Sets a team's quota, here and at the allocator
 * in this daemon.
 */
void PsQuotaAdmission_SetTeam(struct ps_sharing *sharing,
                              const ps_name_t *team,
                              const ps_quota_terms_t *terms, int64_t now_ms);

/**
 * PsQuotaAdmission_HandleStart() - Notes that the stored usage was read.
 * @is_first: no daemon of the deployment has run before
 */
void PsQuotaAdmission_HandleStart(struct ps_sharing *sharing, bool is_first,
                                  int64_t now_ms);

/**
 * PsQuotaAdmission_HandlePause() - Forgets what the allocator in this daemon
 * had, since the daemons have turned to another one.
 */
void PsQuotaAdmission_HandlePause(struct ps_sharing *sharing);

/**
 * PsQuotaAdmission_HandleChoice() - Takes back the claims, to bring them in at
 * another allocator.
 */
void PsQuotaAdmission_HandleChoice(struct ps_sharing *sharing);

/**
 * PsQuotaAdmission_AddUses() - Adds teams with news to a report.
 *
 * Return: false if the allocator knows no claims, so that the report has to
 * name all teams as for grants of units.
 */
bool PsQuotaAdmission_AddUses(struct ps_sharing *sharing,
                              Ps__ShareReport *report, int64_t now_ms);

/**
 * PsQuotaAdmission_HandleReport() - Takes a report's claims at the allocator.
 */
void PsQuotaAdmission_HandleReport(struct ps_sharing *sharing,
                                   const ps_name_t *from,
                                   const Ps__ShareReport *report,
                                   int64_t now_ms);

/**
 * PsQuotaAdmission_Divide() - Divides the quotas in a round of the allocator:
 * as claims, and as units for daemons that know no claims.
 * @n_daemons: all daemons, reporting or not
 */
void PsQuotaAdmission_Divide(struct ps_sharing *sharing, int n_daemons,
                             int64_t now_ms);

/**
 * PsQuotaAdmission_AddGrants() - Adds teams with news to a grant.
 *
 * Return: false if the receiver knows no claims, so that the grant has to name
 * units.
 */
bool PsQuotaAdmission_AddGrants(struct ps_sharing *sharing,
                                const ps_reporter_t *reporter,
                                Ps__ShareGrant *grant, int64_t now_ms);

/**
 * PsQuotaAdmission_FreeGrants() - Frees what PsQuotaAdmission_AddGrants()
 * added.
 */
void PsQuotaAdmission_FreeGrants(Ps__ShareGrant *grant);

/**
 * PsQuotaAdmission_HandleGrant() - Takes ceilings and verdicts.
 * @sent_ms: when the report that it answers was sent
 *
 * Return: false if the allocator knows no claims and grants units.
 */
bool PsQuotaAdmission_HandleGrant(struct ps_sharing *sharing,
                                  const Ps__ShareGrant *grant, int64_t sent_ms,
                                  int64_t now_ms);

/**
 * PsQuotaAdmission_IsUsed() - Tells whether requests are admitted by claims.
 */
bool PsQuotaAdmission_IsUsed(const struct ps_sharing *sharing);

/**
 * PsQuotaAdmission_Request() - Charges a request if it fits the claim, or else
 * asks the allocator.
 * @ask: set to what PsQuotaAdmission_Check() is to be called with; 0: too many
 * requests wait
 *
 * Return: true if it was charged.
 */
bool PsQuotaAdmission_Request(struct ps_sharing *sharing,
                              const ps_name_t *team, double units,
                              uint32_t *ask, int64_t now_ms);

/**
 * PsQuotaAdmission_Check() - Looks for the verdict for a request, and charges
 * it if it was granted.
 *
 * Return: PS_QUOTA_GRANTED if it was charged.
 */
ps_quota_verdict_t PsQuotaAdmission_Check(struct ps_sharing *sharing,
                                          const ps_name_t *team, double units,
                                          uint32_t ask, int64_t now_ms);

/**
 * PsQuotaAdmission_IsSpendingKnown() - Tells whether a request that was
 * refused exceeds the quota for certain: if not, the bucket may have been
 * filled with too little after a restart of daemons.
 */
bool PsQuotaAdmission_IsSpendingKnown(const struct ps_sharing *sharing,
                                      int64_t now_ms);

/**
 * PsQuotaAdmission_Withdraw() - Stops waiting for the verdict for a request.
 */
void PsQuotaAdmission_Withdraw(struct ps_sharing *sharing,
                               const ps_name_t *team, uint32_t ask);

#endif
