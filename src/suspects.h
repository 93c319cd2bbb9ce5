/*
 * suspects.h - Marks of requests that were in flight when a server crashed.
 *
 * A mark that was in flight at several crashes may be their cause. The
 * first crash makes a mark a suspect: a pool runs its suspects one at a
 * time. A mark with as many crashes as are allowed is banned: it is refused
 * until PS_SUSPECT_TTL_MS after the last of them.
 */
#ifndef PS_SUSPECTS_H
#define PS_SUSPECTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "marks.h"

#define PS_SUSPECT_TTL_MS (30 * 60 * 1000) /* after the last crash */
#define PS_SUSPECTS_MAX 4096               /* marks kept */
#define PS_SUSPECT_CRASHES_KEPT 8          /* crashes kept of one mark */

/**
 * struct ps_crash - A server's crash with a mark in flight.
 */
typedef struct ps_crash {
    uint64_t mark;       /* 0: none */
    uint64_t id;         /* of the crash, the same for all who saw it */
    int64_t at_ms;       /* when it was seen */
    bool is_own;         /* seen here, not reported by another daemon */
    bool is_unconfirmed; /* the connection may have been lost for another
                            reason than a crash; not reported */
    bool is_trial; /* of a request that was sent to find out whether this mark
                      is the cause */
} ps_crash_t;

/**
 * struct ps_suspects - Marks and their crashes.
 */
typedef struct ps_suspects {
    GHashTable *by_hash;  /* mark to its suspect_t */
    int crashes_max;      /* crashes until a mark is banned */
    int part_crashes_max; /* the same, of the mark of a prompt's part */
} ps_suspects_t;

/**
 * PsSuspects_Init() - Initializes a set without marks.
 * @crashes_max: crashes until a mark is banned
 * @part_crashes_max: the same, of the mark of a prompt's part
 *
 * Both are at most PS_SUSPECT_CRASHES_KEPT.
 */
void PsSuspects_Init(ps_suspects_t *suspects, int crashes_max,
                     int part_crashes_max);
void PsSuspects_Finish(ps_suspects_t *suspects);

/**
 * PsSuspects_AddCrash() - Counts a server's crash with a mark in flight.
 *
 * When PS_SUSPECTS_MAX marks are kept, the one with the oldest last crash
 * is removed, banned ones last.
 *
 * Return: false if it brings nothing new: it is known, and also that it was a
 * trial; it has no mark; or as many crashes as are kept are known of the mark.
 */
bool PsSuspects_AddCrash(ps_suspects_t *suspects, const ps_crash_t *crash);

/**
 * PsSuspects_Settle() - Confirms or removes the unconfirmed crashes of a
 * server.
 * @id: of the crash
 * @is_crash: confirms them; false: removes them
 * @settled: of ps_crash_t; those that were unconfirmed are added to it
 */
void PsSuspects_Settle(ps_suspects_t *suspects, uint64_t id, bool is_crash,
                       GArray *settled);

/**
 * PsSuspects_Remove() - Removes a mark that has run to its end.
 */
void PsSuspects_Remove(ps_suspects_t *suspects, uint64_t hash);

/**
 * PsSuspects_GetCrashes() - Returns the crashes counted for a mark; 0 after
 * PS_SUSPECT_TTL_MS without one.
 */
int PsSuspects_GetCrashes(const ps_suspects_t *suspects, uint64_t hash,
                          int64_t now_ms);

/**
 * PsSuspects_CountTrials() - Returns how many requests that were sent to find
 * out whether a mark is the cause have crashed servers; 0 if each of them had
 * another banned part, which the request now in question lacks.
 * @marks: array of uint64_t; those of the request
 */
int PsSuspects_CountTrials(const ps_suspects_t *suspects, uint64_t hash,
                           const GArray *marks, int64_t now_ms);

/**
 * PsSuspects_CountCommon() - Returns at how many crashes both marks were in
 * flight.
 */
int PsSuspects_CountCommon(const ps_suspects_t *suspects, uint64_t left,
                           uint64_t right, int64_t now_ms);

/**
 * PsSuspects_GetLastCrash() - Returns when a mark was last in flight at a
 * crash; 0 if it was not.
 */
int64_t PsSuspects_GetLastCrash(const ps_suspects_t *suspects, uint64_t hash,
                                int64_t now_ms);

/**
 * PsSuspects_GetLimit() - Returns the crashes until a mark of this kind is
 * banned.
 */
int PsSuspects_GetLimit(const ps_suspects_t *suspects, uint64_t mark);

/**
 * PsSuspects_IsBanned() - Tells whether a mark has as many crashes as are
 * allowed.
 */
bool PsSuspects_IsBanned(const ps_suspects_t *suspects, uint64_t hash,
                         int64_t now_ms);

/**
 * enum ps_blame - What the crashes of other banned parts say of a banned part.
 */
typedef enum ps_blame {
    PS_BLAME_FULL,   /* no other part was in flight at the same crashes */
    PS_BLAME_SHARED, /* another one was in flight at just the same crashes */
    PS_BLAME_NONE /* another one was in flight at all of them, and at more or
                     in more trials */
} ps_blame_t;

/**
 * PsSuspects_GetBlame() - Compares the crashes of a banned part with those of
 * other banned parts.
 * @except: array of uint64_t; parts in it are not compared with for
 *          PS_BLAME_SHARED
 */
ps_blame_t PsSuspects_GetBlame(const ps_suspects_t *suspects, uint64_t part,
                               const GArray *except, int64_t now_ms);

/**
 * PsSuspects_ListCrashes() - Lists the crashes of banned marks, those of parts
 * that may be the cause of a banned one's, and others that were seen here.
 * @own_since_ms: lists those that were seen here since; INT64_MAX: none
 * @crashes: receives at most @max crashes: those of banned marks first,
 *           then by age, the latest first
 *
 * Return: number of crashes.
 */
size_t PsSuspects_ListCrashes(const ps_suspects_t *suspects,
                              int64_t own_since_ms, ps_crash_t *crashes,
                              size_t max, int64_t now_ms);

/**
 * PsSuspects_ListAllCrashes() - Lists the crashes of all marks, those of
 * banned ones first, then by age, the latest first.
 * @crashes: receives at most @max crashes
 *
 * Return: number of crashes.
 */
size_t PsSuspects_ListAllCrashes(const ps_suspects_t *suspects,
                                 ps_crash_t *crashes, size_t max,
                                 int64_t now_ms);

/**
 * PsSuspects_Expire() - Removes marks whose last crash is older than
 * PS_SUSPECT_TTL_MS.
 */
void PsSuspects_Expire(ps_suspects_t *suspects, int64_t now_ms);

#endif
