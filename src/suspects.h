/*
 * suspects.h - Request contents that were in flight when a server crashed.
 *
 * A content that was in flight at several crashes may be their cause. The
 * first crash makes a content a suspect: a pool runs its suspects one at a
 * time. A content with as many crashes as are allowed is banned: it is refused
 * until PS_SUSPECT_TTL_MS after the last of them.
 */
#ifndef PS_SUSPECTS_H
#define PS_SUSPECTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "str.h"

#define PS_SUSPECT_TTL_MS (30 * 60 * 1000) /* after the last crash */
#define PS_SUSPECTS_MAX 4096               /* contents kept */
#define PS_SUSPECT_CRASHES_KEPT 4          /* crashes kept of one content */

/**
 * struct ps_crash - A server's crash with a content in flight.
 */
typedef struct ps_crash {
    uint64_t content; /* hash of the content; 0: no content */
    uint64_t id;      /* of the crash, the same for all who saw it */
    int64_t at_ms;    /* when it was seen */
    bool is_own;      /* seen here, not reported by another daemon */
} ps_crash_t;

/**
 * struct ps_suspects - Contents and their crashes.
 */
typedef struct ps_suspects {
    GHashTable *by_hash; /* content hash to its suspect_t */
    int crashes_max;     /* crashes until a content is banned */
} ps_suspects_t;

/**
 * PsSuspects_Init() - Initializes a set without contents.
 * @crashes_max: crashes until a content is banned, at most
 *               PS_SUSPECT_CRASHES_KEPT
 */
void PsSuspects_Init(ps_suspects_t *suspects, int crashes_max);
void PsSuspects_Finish(ps_suspects_t *suspects);

/**
 * PsSuspects_AddCrash() - Counts a server's crash with a content in flight.
 *
 * When PS_SUSPECTS_MAX contents are kept, the one with the oldest last crash
 * is removed, banned ones last.
 *
 * Return: false if it is not counted: it is known, has no content, or as many
 * crashes as are kept are known of the content.
 */
bool PsSuspects_AddCrash(ps_suspects_t *suspects, const ps_crash_t *crash);

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
 * PsSuspects_IsBanned() - Tells whether a content has as many crashes as are
 * allowed.
 */
bool PsSuspects_IsBanned(const ps_suspects_t *suspects, uint64_t hash,
                         int64_t now_ms);

/**
 * PsSuspects_ListCrashes() - Lists the crashes of banned contents, and others
 * that were seen here.
 * @own_since_ms: lists those that were seen here since; INT64_MAX: none
 * @crashes: receives at most @max crashes: those of banned contents first,
 *           then by age, the latest first
 *
 * Return: number of crashes.
 */
size_t PsSuspects_ListCrashes(const ps_suspects_t *suspects,
                              int64_t own_since_ms, ps_crash_t *crashes,
                              size_t max, int64_t now_ms);

/**
 * PsSuspects_ListAllCrashes() - Lists the crashes of all contents, those of
 * banned ones first, then by age, the latest first.
 * @crashes: receives at most @max crashes
 *
 * Return: number of crashes.
 */
size_t PsSuspects_ListAllCrashes(const ps_suspects_t *suspects,
                                 ps_crash_t *crashes, size_t max,
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
