/*
 * allocator.h - Divides slots and quotas among daemons by what they need.
 *
 * One daemon runs it for all. Each round every daemon reports what it has at
 * each server and what waits, and gets limits in return: what it has, plus
 * free slots, first to the waiting requests that come first in order, then
 * evenly. What is left of a team's quota is granted in the same way. An
 * allocator gives out only the part of slots and quotas that belongs to the
 * daemons that report to it, so two at once do no harm. Load pattern: callers
 * spread unevenly over many daemons, so that even shares leave slots idle at
 * some while requests wait at others. Pure: time is an argument.
 */
#ifndef PS_ALLOCATOR_H
#define PS_ALLOCATOR_H

#include <glib.h>

#include "store_events.h"
#include "outliers.h"
#include "quota.h"
#include "scheduler.h"

#define PS_REPORT_MAX_AGE_MS 500 /* older reports count for nothing */

/**
 * struct ps_slot_count - A number of requests at one server.
 */
typedef struct ps_slot_count {
    uint32_t server; /* hash of its name */
    int count;
} ps_slot_count_t;

/**
 * struct ps_service_use - One daemon's use of one service.
 */
typedef struct ps_service_use {
    GArray *running; /* ps_slot_count_t; only servers in use */
    GArray *waiting; /* ps_waiting_count_t */
    GArray *limits;  /* ps_slot_count_t, set by the division */
} ps_service_use_t;

/**
 * struct ps_team_use - One daemon's use of one team's quota.
 */
typedef struct ps_team_use {
    double spent;                /* units in the window before its report */
    double total;                /* units since the daemon's start */
    bool is_initial_use_charged; /* what it spent before its first report is
                                    booked */
    double wanted;  /* units asked for lately, refused ones included */
    double granted; /* units it may spend now */
} ps_team_use_t;

/**
 * struct ps_reporter - One daemon as the allocator knows it.
 */
typedef struct ps_reporter {
    ps_name_t name;
    uint64_t incarnation;
    int64_t reported_ms;
    uint64_t round; /* of its last report */
    int64_t age_ms; /* since its start, by its last report */
    bool is_leaving;
    GHashTable *services; /* name to ps_service_use_t */
    GHashTable *teams;    /* name to ps_team_use_t */
} ps_reporter_t;

/**
 * struct ps_allocator - The state of all rounds.
 */
typedef struct ps_allocator {
    GHashTable *reporters;   /* name to ps_reporter_t */
    GHashTable *team_quotas; /* team to ps_quota_t, over all daemons */
    ps_outliers_t outliers;
    double window_s;    /* of the quotas */
    int64_t started_ms; /* what was spent before is unknown; 0: all is known */
    bool has_record;    /* but for what a record told */
    int64_t record_ms;  /* it tells of the time before */
    guint round_robin_offset; /* whose turn it is to get the odd slot */
} ps_allocator_t;

void PsAllocator_Init(ps_allocator_t *allocator);
void PsAllocator_Finish(ps_allocator_t *allocator);

/**
 * PsAllocator_StartReport() - Starts a report of a daemon.
 *
 * Return: its entry, with earlier uses and waits cleared.
 */
ps_reporter_t *PsAllocator_StartReport(ps_allocator_t *allocator,
                                       const ps_name_t *name,
                                       uint64_t incarnation, int64_t now_ms);
ps_service_use_t *PsReporter_GetServiceUse(ps_reporter_t *reporter,
                                           const ps_name_t *service);

/**
 * PsAllocator_SetTeamUse() - Takes a daemon's use of a team's quota in.
 * @spent: units in the window
 * @wanted: units asked for lately, refused ones included
 * @total: units since the daemon's start
 */
void PsAllocator_SetTeamUse(ps_allocator_t *allocator, ps_reporter_t *reporter,
                            const ps_name_t *team, double spent, double wanted,
                            double total, int64_t now_ms);

/**
 * PsAllocator_AddQuotaUsage() - Takes in what was spent before this daemon's
 * start.
 * @n: teams in the record; 0: none had spent much
 * @age_ms: of the record
 */
void PsAllocator_AddQuotaUsage(ps_allocator_t *allocator,
                               const ps_quota_usage_t *records, int n,
                               int64_t age_ms, int64_t now_ms);

/**
 * PsAllocator_GetQuotaUsage() - Lists the teams that have spent much of
 * theirs.
 *
 * Return: how many, at most @max.
 */
int PsAllocator_GetQuotaUsage(ps_allocator_t *allocator,
                              ps_quota_usage_t *records, int max,
                              int64_t now_ms);
void PsAllocator_RemoveReporter(ps_allocator_t *allocator,
                                const ps_name_t *name);

/**
 * PsAllocator_SetQuotaLimit() - Sets what all daemons may spend in a window.
 * @limit: units; 0: no quota
 */
void PsAllocator_SetQuotaLimit(ps_allocator_t *allocator,
                               const ps_name_t *team, double limit,
                               double window_s);

/**
 * PsAllocator_DivideSlots() - Works out the limits of one service.
 * @slots: of each server
 * @n_slots: how many servers
 * @n_daemons: all daemons, reporting or not
 */
void PsAllocator_DivideSlots(ps_allocator_t *allocator,
                             const ps_name_t *service,
                             const ps_slot_count_t *slots, int n_slots,
                             int n_daemons, int64_t now_ms);

/**
 * PsAllocator_DivideQuotas() - Works out what each daemon may spend.
 */
void PsAllocator_DivideQuotas(ps_allocator_t *allocator, int n_daemons,
                              int64_t now_ms);

#endif
