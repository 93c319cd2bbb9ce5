/*
 * outliers.h - Which backend servers fail for all daemons that try them.
 *
 * Daemons report how requests ended at each server. A server at which they
 * only fail gets no slots but one for a trial, which goes round the daemons,
 * until a request succeeds there. Load pattern: a third of the servers crash
 * in a burst; without it each of many daemons finds each of them out by
 * itself, with requests that have no time to lose. Failures that strike most
 * servers eject none; servers that are not there are left out in any number.
 * Pure: time is an argument.
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
    uint32_t failed; /* errors, and answers broken off */
    uint32_t absent; /* not reached, or another server answered */
} ps_outcomes_t;

/**
 * struct ps_outliers - Reported outcomes by server.
 */
typedef struct ps_outliers {
    GHashTable *by_server; /* hash of its name to its state */
} ps_outliers_t;

void PsOutliers_Init(ps_outliers_t *outliers);
void PsOutliers_Finish(ps_outliers_t *outliers);

/**
 * PsOutliers_AddOutcomes() - Takes one daemon's outcomes at a server in.
 */
void PsOutliers_AddOutcomes(ps_outliers_t *outliers, uint32_t server,
                            const ps_outcomes_t *outcomes, int64_t now_ms);

/**
 * PsOutliers_Find() - Tells which servers of a service are to be left out.
 * @servers: hashes of their names
 * @n: how many
 * @is_out: set for each server
 */
void PsOutliers_Find(const ps_outliers_t *outliers, const uint32_t *servers,
                     int n, bool *is_out, int64_t now_ms);

#endif
