/*
 * recent_set.h - Hashes that were added lately, and when, in bounded memory.
 *
 * Kept in two generations, of which the older one is dropped when the newer
 * one is old or full. Does no I/O; all times are passed in.
 */
#ifndef PS_RECENT_SET_H
#define PS_RECENT_SET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define PS_RECENT_SET_GENERATION_MAX 4096 /* hashes in each generation */

/**
 * struct ps_recent_set - A set of hashes.
 */
typedef struct ps_recent_set {
    GHashTable *newer; /* uint64_t to int64_t: when it was last added */
    GHashTable *older;
    int64_t newer_since_ms;
    int64_t kept_ms; /* a hash is kept this long, unless the set is full */
} ps_recent_set_t;

/**
 * PsRecentSet_Init() - Initializes an empty set.
 * @kept_ms: a hash is kept this long or longer, unless the set is full
 */
void PsRecentSet_Init(ps_recent_set_t *set, int64_t kept_ms);
void PsRecentSet_Finish(ps_recent_set_t *set);

/**
 * PsRecentSet_Add() - Adds a hash, or renews it.
 */
void PsRecentSet_Add(ps_recent_set_t *set, uint64_t hash, int64_t now_ms);

/**
 * PsRecentSet_Contains() - Tells whether a hash was added lately: within
 * the time of the set surely, if it was not full, and never after twice that
 * time.
 */
bool PsRecentSet_Contains(ps_recent_set_t *set, uint64_t hash, int64_t now_ms);

/**
 * PsRecentSet_GetTime() - Returns when a hash was last added; -1: the set does
 * not contain it.
 */
int64_t PsRecentSet_GetTime(ps_recent_set_t *set, uint64_t hash,
                            int64_t now_ms);

#endif
