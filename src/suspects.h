/*
 * suspects.h - Request contents that were in flight when a server crashed.
 *
 * A content that was in flight at several crashes may be their cause. The
 * first crash makes a content a suspect: a pool runs its suspects one at a
 * time. At PS_SUSPECT_CRASHES_MAX crashes the pool refuses the content until
 * PS_SUSPECT_TTL_MS after the last of them. A gateway refuses a content at
 * PS_SHARING_CRASHES_MAX crashes.
 */
#ifndef PS_SUSPECTS_H
#define PS_SUSPECTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "str.h"

#define PS_SUSPECT_TTL_MS (30 * 60 * 1000) /* after the last crash */
#define PS_SUSPECT_CRASHES_MAX 2           /* crashes until banned */

/**
 * struct ps_suspects - Contents and their crashes.
 */
typedef struct ps_suspects {
    GHashTable *by_hash; /* content hash to its suspect_t */
} ps_suspects_t;

void PsSuspects_Init(ps_suspects_t *suspects);
void PsSuspects_Finish(ps_suspects_t *suspects);

/**
 * PsSuspects_AddCrash() - Counts a server's crash with a content in flight.
 * @hash: content hash; 0 is ignored
 */
void PsSuspects_AddCrash(ps_suspects_t *suspects, uint64_t hash,
                         int64_t now_ms);

/**
 * PsSuspects_Remove() - Removes a content that has run to its end.
 */
void PsSuspects_Remove(ps_suspects_t *suspects, uint64_t hash);

/**
 * PsSuspects_GetCrashes() - Returns the crashes counted for a content; 0 after
 * PS_SUSPECT_TTL_MS without one.
 */
int PsSuspects_GetCrashes(const ps_suspects_t *suspects, uint64_t hash,
                          int64_t now_ms);

/**
 * PsSuspects_IsBanned() - Tells whether a content has PS_SUSPECT_CRASHES_MAX
 * crashes.
 */
bool PsSuspects_IsBanned(const ps_suspects_t *suspects, uint64_t hash,
                         int64_t now_ms);

/**
 * PsSuspects_FormatHash() - Returns a content hash as it appears in the log:
 * 16 hexadecimal digits.
 */
ps_name_t PsSuspects_FormatHash(uint64_t hash);

/**
 * PsSuspects_Expire() - Removes contents whose last crash is older than
 * PS_SUSPECT_TTL_MS.
 */
void PsSuspects_Expire(ps_suspects_t *suspects, int64_t now_ms);

#endif
