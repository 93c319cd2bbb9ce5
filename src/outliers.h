/*
 * outliers.h - Finds backend servers at which the requests of all daemons
 * fail.
 *
 * Daemons report to the allocator how requests ended at each server. A server
 * at which requests only fail gets no slots except one for a trial request,
 * which the daemons get in turn, until a request succeeds there. Load pattern:
 * a third of the servers crash in a burst. Without this, each of many daemons
 * would find each crashed server by itself, with requests that have no time
 * for a retry. If most servers of a service fail, none is an outlier, as the
 * cause is not the servers; unreachable servers are outliers in any number.
 * Does no I/O; all times are passed in.
 */
#ifndef PS_OUTLIERS_H
#define PS_OUTLIERS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * struct ps_outcomes - How requests ended at a server since the last report.
 */
typedef struct ps_outcomes {
    uint32_t good;
    uint32_t failed; /* errors and broken answers */
    uint32_t absent; /* unreachable, or another server answered */
} ps_outcomes_t;

/**
 * struct ps_outliers - Reported outcomes, by server.
 */
typedef struct ps_outliers {
    GHashTable *by_server; /* hash of a server's name to its record */
} ps_outliers_t;

void PsOutliers_Init(ps_outliers_t *outliers);
void PsOutliers_Finish(ps_outliers_t *outliers);

/**
 * PsOutliers_AddOutcomes() - Adds what one daemon reports of a server.
 * @server: hash of its name
 */
void PsOutliers_AddOutcomes(ps_outliers_t *outliers, uint32_t server,
                            const ps_outcomes_t *outcomes, int64_t now_ms);

/**
 * PsOutliers_Find() - Tells which servers of a service are outliers.
 * @servers: hashes of their names
 * @n: number of servers
 * @is_outlier: receives @n results
 */
void PsOutliers_Find(const ps_outliers_t *outliers, const uint32_t *servers,
                     int n, bool *is_outlier, int64_t now_ms);

#endif
