/*
 * quota_messages.h - Quota claims in reports and grants.
 */
#ifndef PS_QUOTA_MESSAGES_H
#define PS_QUOTA_MESSAGES_H

#include "peer.pb-c.h"
#include "quota_pools.h"

/**
 * PsQuotaMessages_MakeUse() - Makes the part of a report about one team.
 * @team: must outlive the message
 *
 * Return: the message, freed with PsQuotaMessages_FreeUse().
 */
Ps__TeamUse *PsQuotaMessages_MakeUse(const ps_quota_share_t *share,
                                     const ps_name_t *team, double spent,
                                     double total, int64_t now_ms);
void PsQuotaMessages_FreeUse(Ps__TeamUse *message);

/**
 * PsQuotaMessages_ParseUse() - Reads the part of a report about one team.
 * @asks: receives the waiting requests, at most PS_QUOTA_ASKS_MAX; must
 * outlive the use
 *
 * Return: false if a number is negative or not finite, or if the lists of
 * requests differ in length.
 */
bool PsQuotaMessages_ParseUse(const Ps__TeamUse *message, ps_quota_use_t *use,
                              ps_quota_ask_t *asks, int64_t now_ms);

/**
 * PsQuotaMessages_MakeGrant() - Makes the part of a grant about one team.
 * @team: must outlive the message
 *
 * Return: the message, freed with PsQuotaMessages_FreeGrant().
 */
Ps__TeamGrant *PsQuotaMessages_MakeGrant(const ps_quota_claim_t *claim,
                                         const ps_name_t *team);
void PsQuotaMessages_FreeGrant(Ps__TeamGrant *message);

#endif
