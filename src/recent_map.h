/*
 * recent_map.h - Values by hash that were put lately, in bounded memory.
 *
 * Kept in two generations, of which the older one is dropped when the newer
 * one is old or full. Does no I/O; all times are passed in.
 */
#ifndef PS_RECENT_MAP_H
#define PS_RECENT_MAP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define PS_RECENT_MAP_GENERATION_MAX 4096 /* hashes in each generation */

/**
 * struct ps_recent_map - A map of hashes to values.
 */
typedef struct ps_recent_map {
    GHashTable *newer; /* uint64_t to uint64_t */
    GHashTable *older;
    int64_t newer_since_ms;
    int64_t kept_ms; /* a hash is kept this long, unless the map is full */
} ps_recent_map_t;

/**
 * PsRecentMap_Init() - Initializes an empty map.
 * @kept_ms: a hash is kept this long or longer, unless the map is full
 */
void PsRecentMap_Init(ps_recent_map_t *map, int64_t kept_ms);
void PsRecentMap_Finish(ps_recent_map_t *map);

/**
 * PsRecentMap_Put() - Adds a hash, or renews it and replaces its value.
 */
void PsRecentMap_Put(ps_recent_map_t *map, uint64_t hash, uint64_t value,
                     int64_t now_ms);

/**
 * PsRecentMap_Get() - Finds a hash that was put lately: within the time of the
 * map surely, if it was not full, and never after twice that time.
 * @value: receives its value if it is found; may be NULL
 *
 * Return: whether it is found.
 */
bool PsRecentMap_Get(ps_recent_map_t *map, uint64_t hash, uint64_t *value,
                     int64_t now_ms);

/**
 * PsRecentMap_ForEach() - Visits all hashes that are kept.
 */
void PsRecentMap_ForEach(const ps_recent_map_t *map,
                         void (*visit)(void *user, uint64_t hash,
                                       uint64_t value),
                         void *user);

#endif
