/*
 * suspects.h - Request contents that were in flight when a server died.
 *
 * The first death makes a content a suspect: suspects of a pool run one at a
 * time. A second death with the same content bans it for a set time.
 */
#ifndef PS_SUSPECTS_H
#define PS_SUSPECTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define PS_SUSPECT_TTL_MS (30 * 60 * 1000) /* memory of a death */
#define PS_SUSPECT_CRASHES_MAX 2           /* deaths until banned */

/**
 * struct ps_suspects - Contents with deaths; owned by the caller.
 */
typedef struct ps_suspects {
    GHashTable *by_hash; /* content hash to its record */
} ps_suspects_t;

void PsSuspects_Init(ps_suspects_t *suspects);
void PsSuspects_Finish(ps_suspects_t *suspects);

/**
 * PsSuspects_AddCrash() - Notes a server's death with a content in flight.
 * @hash: content hash; 0 is ignored
 */
void PsSuspects_AddCrash(ps_suspects_t *suspects, uint64_t hash,
                         int64_t now_ms);

/**
 * PsSuspects_Remove() - Forgets a content that has run to its end.
 */
void PsSuspects_Remove(ps_suspects_t *suspects, uint64_t hash);

/**
 * PsSuspects_GetCrashes() - Returns the deaths remembered of a content.
 */
int PsSuspects_GetCrashes(const ps_suspects_t *suspects, uint64_t hash,
                          int64_t now_ms);

/**
 * PsSuspects_IsBanned() - Tells whether a content is refused.
 */
bool PsSuspects_IsBanned(const ps_suspects_t *suspects, uint64_t hash,
                         int64_t now_ms);

/**
 * PsSuspects_Expire() - Drops records older than PS_SUSPECT_TTL_MS.
 */
void PsSuspects_Expire(ps_suspects_t *suspects, int64_t now_ms);

#endif
