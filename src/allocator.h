/*
 * allocator.h - Divides slots and quotas among daemons by what they need.
 *
 * One daemon, the allocator, does this for all. In each round every daemon
 * reports its running requests at each backend server and its waiting
 * requests, and gets a limit for each server in return: its running requests
 * plus free slots. Free slots go to waiting requests in order of rank; the
 * rest is spread evenly. What is left of a team's quota is granted partly
 * evenly and partly in proportion to demand. An allocator gives out only the
 * part of slots and quotas that belongs to the daemons that report to it, so
 * that two allocators at once do not give out more than there is. Load
 * pattern: callers spread unevenly over many daemons, so that even shares
 * leave slots idle at some daemons while requests wait at others. Does no I/O;
 * all times are passed in.
 */
#ifndef PS_ALLOCATOR_H
#define PS_ALLOCATOR_H

#include <glib.h>

#include "outliers.h"
#include "quota.h"
#include "quota_pools.h"
#include "rate_bucket.h"
#include "scheduler.h"
#include "slot_order.h"
#include "store_events.h"
#include "team_division.h"

#define PS_REPORT_MAX_AGE_MS 500 /* daemons with older reports get nothing */

/**
 * struct ps_service_use - One daemon's use of one service.
 */
typedef struct ps_service_use {
    GArray *running; /* ps_slot_count_t: running requests of each server that
                        has any */
    GArray *waiting; /* ps_waiting_count_t: waiting requests of each rank */
    GArray *limits;  /* ps_slot_count_t, set by PsAllocator_DivideSlots() */
    ps_team_reports_t teams; /* the same requests by team */
    bool is_brittle;     /* a server has told the daemon that it is brittle */
    uint64_t told_paces; /* version of the last pace told to the daemon */
} ps_service_use_t;

/**
 * struct ps_team_use - One daemon's use of one team's quota.
 */
typedef struct ps_team_use {
    double spent;                /* units in the window before its report */
    double total;                /* units since the daemon's start */
    bool is_initial_use_charged; /* what it spent before its first report has
                                    been charged to the team's quota */
    double wanted;  /* decayed sum of units asked for, refused ones included */
    double granted; /* units it may spend now */
} ps_team_use_t;

/**
 * struct ps_reporter - A daemon that reports to the allocator.
 */
typedef struct ps_reporter {
    ps_name_t name;
    uint64_t incarnation; /* rises with each start of the daemon */
    int64_t reported_ms;  /* time of its last report */
    uint64_t round;       /* of its last report */
    int64_t age_ms;       /* since its start, as its last report says */
    bool is_leaving;
    bool is_quota_by_bucket; /* it holds claims to quotas */
    bool is_cut_off;         /* it reaches no server of some service */
    GHashTable *services;    /* name to ps_service_use_t */
    GHashTable *teams;       /* name to ps_team_use_t */
    GHashTable *starts; /* hash of a server with a limit to the requests that
                           the daemon has sent there, uint64_t */
} ps_reporter_t;

/**
 * struct ps_server_bucket - What may be sent to one server with a limit.
 */
typedef struct ps_server_bucket {
    double rate; /* requests a second over all daemons */
    ps_rate_bucket_t bucket;
} ps_server_bucket_t;

/**
 * struct ps_allocator - State of the allocator that outlasts a round.
 */
typedef struct ps_allocator {
    GHashTable *reporters;   /* name to ps_reporter_t */
    GHashTable *team_quotas; /* team to ps_quota_t, over all daemons */
    ps_quota_pools_t quota_pools;
    ps_outliers_t outliers;
    GHashTable *server_buckets; /* hash of a server with a limit to its
                                   ps_server_bucket_t */
    ps_server_models_t models;  /* empty unless switched on */
    GHashTable *team_divisions; /* service to ps_team_division_t */
    bool has_team_shares;       /* slots are divided by team within a rank */
    double window_s;            /* of the quotas, seconds */
    int64_t started_ms;       /* usage before then is unknown, except what was
                                 stored; 0: all usage is known */
    bool has_stored_usage;    /* the usage before the start was read from the
                                 store */
    int64_t stored_usage_ms;  /* when the stored usage was written, or read if
                                 it was empty */
    guint round_robin_offset; /* index of the daemon that gets the first odd
                                 slot */
} ps_allocator_t;

void PsAllocator_Init(ps_allocator_t *allocator);
void PsAllocator_Finish(ps_allocator_t *allocator);

/**
 * PsAllocator_StartReport() - Starts a report of a daemon.
 *
 * A daemon with another incarnation than before starts from empty state.
 *
 * Return: the daemon's reporter, owned by the allocator, with the running and
 * waiting requests of earlier reports removed.
 */
ps_reporter_t *PsAllocator_StartReport(ps_allocator_t *allocator,
                                       const ps_name_t *name,
                                       uint64_t incarnation, int64_t now_ms);

/**
 * PsReporter_IsFresh() - Tells whether a daemon has reported lately.
 */
bool PsReporter_IsFresh(const ps_reporter_t *reporter, int64_t now_ms);

/**
 * PsReporter_GetServiceUse() - Finds or adds a daemon's use of a service.
 *
 * Return: the use, owned by the reporter.
 */
ps_service_use_t *PsReporter_GetServiceUse(ps_reporter_t *reporter,
                                           const ps_name_t *service);

/**
 * PsAllocator_SetTeamUse() - Sets a daemon's use of a team's quota and charges
 * what is new in it to the quota over all daemons.
 * @spent: units in the window
 * @wanted: decayed sum of units asked for, refused ones included
 * @total: units since the daemon's start
 */
void PsAllocator_SetTeamUse(ps_allocator_t *allocator, ps_reporter_t *reporter,
                            const ps_name_t *team, double spent, double wanted,
                            double total, int64_t now_ms);

/**
 * PsAllocator_AddQuotaUsage() - Charges the quotas with the usage from before
 * this daemon's start, as read from the store.
 * @records: one for each team that had spent much
 * @n: number of teams; 0: no team had spent much
 * @age_ms: time since the usage was written
 */
void PsAllocator_AddQuotaUsage(ps_allocator_t *allocator,
                               const ps_quota_usage_t *records, int n,
                               int64_t age_ms, int64_t now_ms);

/**
 * PsAllocator_GetQuotaUsage() - Lists the usage of teams that have spent much
 * of their quota, to be saved in the store.
 * @records: receives the usage of at most @max teams
 *
 * Return: number of teams, at most @max.
 */
int PsAllocator_GetQuotaUsage(ps_allocator_t *allocator,
                              ps_quota_usage_t *records, int max,
                              int64_t now_ms);

/**
 * PsAllocator_GetQuotaCredit() - Returns what a team's token bucket holds
 * after a restart of all daemons, by the stored usage.
 */
double PsAllocator_GetQuotaCredit(ps_allocator_t *allocator,
                                  const ps_name_t *team,
                                  const ps_quota_terms_t *terms,
                                  int64_t now_ms);

/**
 * PsAllocator_RemoveReporter() - Removes a daemon. What its reports charged to
 * quotas stays charged.
 */
void PsAllocator_RemoveReporter(ps_allocator_t *allocator,
                                const ps_name_t *name);

/**
 * PsAllocator_SetServerRate() - Sets how many requests a second a server takes
 * from all daemons.
 * @server: hash of its name
 * @rate: negative: no limit
 *
 * Nothing may be sent to a server at first, since what was sent before is not
 * known.
 */
void PsAllocator_SetServerRate(ps_allocator_t *allocator, uint32_t server,
                               double rate, int64_t now_ms);

/**
 * PsAllocator_RemoveServer() - Forgets the limit of a server that has left.
 */
void PsAllocator_RemoveServer(ps_allocator_t *allocator, uint32_t server);

/**
 * PsAllocator_SetStarts() - Counts what a daemon has sent to a server with a
 * limit since its last report.
 * @starts: requests since the daemon's start
 */
void PsAllocator_SetStarts(ps_allocator_t *allocator, ps_reporter_t *reporter,
                           uint32_t server, uint64_t starts, int64_t now_ms);

/**
 * PsAllocator_SetQuotaLimit() - Sets what all daemons together may spend of a
 * team's quota in a window.
 * @limit: units; 0: no quota
 * @window_s: seconds; applies to all teams
 */
void PsAllocator_SetQuotaLimit(ps_allocator_t *allocator,
                               const ps_name_t *team, double limit,
                               double window_s);

/**
 * PsServiceUse_CountGranted() - Returns how many slots of a server a daemon
 * was granted beyond those in which its requests run.
 */
int PsServiceUse_CountGranted(const ps_service_use_t *use, uint32_t server);

/**
 * PsAllocator_CountWaiting() - Counts the requests of each rank that wait for
 * a service, by the fresh reports. To be called before their slots are
 * divided.
 * @counts: receives at most @max counts
 *
 * Return: number of counts.
 */
int PsAllocator_CountWaiting(ps_allocator_t *allocator,
                             const ps_name_t *service,
                             ps_waiting_count_t *counts, int max,
                             int64_t now_ms);

/**
 * PsAllocator_CountRunning() - Returns how many requests run at a service's
 * servers, by the fresh reports.
 */
int PsAllocator_CountRunning(ps_allocator_t *allocator,
                             const ps_name_t *service, int64_t now_ms);

/**
 * PsAllocator_GetTeamDivision() - Finds or adds the division of a service by
 * team; NULL: slots are not divided by team.
 */
ps_team_division_t *PsAllocator_GetTeamDivision(ps_allocator_t *allocator,
                                                const ps_name_t *service);

/**
 * PsAllocator_DivideSlots() - Computes each daemon's limits for one service.
 * @slots: slots of each server
 * @n_slots: number of servers
 * @n_daemons: all daemons, reporting or not
 *
 * Sets the limits of the service's ps_service_use_t of each daemon with a
 * fresh report.
 */
void PsAllocator_DivideSlots(ps_allocator_t *allocator,
                             const ps_name_t *service,
                             const ps_slot_count_t *slots, int n_slots,
                             int n_daemons, int64_t now_ms);

/**
 * PsAllocator_DivideQuotas() - Computes what each daemon may spend of each
 * team's quota.
 * @n_daemons: all daemons, reporting or not
 *
 * Sets the granted units of each ps_team_use_t of daemons with a fresh report.
 */
void PsAllocator_DivideQuotas(ps_allocator_t *allocator, int n_daemons,
                              int64_t now_ms);

#endif
