/*
 * version_history.h - Which versions of services' software have served lately.
 *
 * A stream whose origin nobody remembers may go on only where one version is
 * known to have served since before it began. That there are no servers of
 * another version now doesn't show it: they may have left just before this
 * daemon started. So each daemon keeps the versions that it has seen and when
 * their last servers left, and the allocator stores them at each change for a
 * start of all daemons. Load pattern: all daemons are lost at once while the
 * servers' software is being replaced. Does no I/O; all times are passed in.
 */
#ifndef PS_VERSION_HISTORY_H
#define PS_VERSION_HISTORY_H

#include <glib.h>
#include <stdbool.h>

#include "str.h"

/**
 * struct ps_served_version - A version that has servers or had some lately.
 */
typedef struct ps_served_version {
    ps_name_t service;
    uint64_t version; /* as in ps_backend_t */
    int64_t left_ms;  /* when its last server left; 0: it has servers */
} ps_served_version_t;

/**
 * struct ps_version_history - The versions that one daemon knows of.
 */
typedef struct ps_version_history {
    GArray *versions;      /* ps_served_version_t */
    int64_t kept_ms;       /* a version is kept this long after it has left */
    int64_t known_from_ms; /* all versions that served since are known */
    bool is_unsaved;       /* it differs from what was stored last */
} ps_version_history_t;

/**
 * PsVersionHistory_Init() - Initializes a history that begins now.
 */
void PsVersionHistory_Init(ps_version_history_t *history, int64_t kept_ms,
                           int64_t now_ms);
void PsVersionHistory_Finish(ps_version_history_t *history);

/**
 * PsVersionHistory_Update() - Takes the versions that a service has servers of
 * now. Others that had servers have left.
 * @versions: may name a version more than once
 */
void PsVersionHistory_Update(ps_version_history_t *history,
                             const ps_name_t *service,
                             const uint64_t *versions, size_t n,
                             int64_t now_ms);

/**
 * PsVersionHistory_Restore() - Takes a history that was stored.
 * @known_from_ms: all versions that served since then are in it, up to when it
 *                 was stored
 *
 * Versions that had servers when it was stored have left now, unless they are
 * known to have some: when they did isn't known.
 */
void PsVersionHistory_Restore(ps_version_history_t *history,
                              const ps_served_version_t *versions, size_t n,
                              int64_t known_from_ms, int64_t now_ms);

/**
 * PsVersionHistory_Forget() - Begins anew, as changes may have been missed
 * until now.
 */
void PsVersionHistory_Forget(ps_version_history_t *history, int64_t now_ms);

/**
 * PsVersionHistory_List() - Lists the versions that are still kept.
 * @versions: receives at most @max of them
 *
 * Return: their number, which is larger than @max if not all were listed.
 */
size_t PsVersionHistory_List(ps_version_history_t *history,
                             ps_served_version_t *versions, size_t max,
                             int64_t now_ms);

/**
 * PsVersionHistory_FindOnly() - Returns the only version of a service that has
 * served within the time for which versions are kept; 0: there were several,
 * or it isn't known whether there were.
 */
uint64_t PsVersionHistory_FindOnly(ps_version_history_t *history,
                                   const ps_name_t *service, int64_t now_ms);

/**
 * PsVersionHistory_IsMixed() - Tells whether the service of a version is known
 * to have had another one within the time for which versions are kept.
 */
bool PsVersionHistory_IsMixed(ps_version_history_t *history, uint64_t version,
                              int64_t now_ms);

/**
 * PsVersionHistory_CountMixed() - Counts the versions of such services.
 */
int PsVersionHistory_CountMixed(ps_version_history_t *history, int64_t now_ms);

#endif
