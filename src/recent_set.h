/*
 * recent_set.h - Hashes that were added lately, in bounded memory.
 *
 * Kept in two generations, of which the older one is dropped when the newer
 * one is old or full. Does no I/O; all times are passed in.
 */
#ifndef PS_RECENT_SET_H
#define PS_RECENT_SET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define PS_RECENT_SET_MS                                                      \
    (60 * 1000) /* a hash is kept this long or longer,                        \
                   unless the set is full */
#define PS_RECENT_SET_GENERATION_MAX 4096 /* hashes in each generation */

/**
 * struct ps_recent_set - A set of hashes.
 */
typedef struct ps_recent_set {
    GHashTable *newer; /* keys: uint64_t */
    GHashTable *older;
    int64_t newer_since_ms;
} ps_recent_set_t;

void PsRecentSet_Init(ps_recent_set_t *set);
void PsRecentSet_Finish(ps_recent_set_t *set);

/**
 * PsRecentSet_Add() - Adds a hash, or renews it.
 */
void PsRecentSet_Add(ps_recent_set_t *set, uint64_t hash, int64_t now_ms);

/**
 * PsRecentSet_Contains() - Tells whether a hash was added lately: within
 * PS_RECENT_SET_MS surely, if the set was not full, and never after twice that
 * time.
 */
bool PsRecentSet_Contains(ps_recent_set_t *set, uint64_t hash, int64_t now_ms);

#endif
