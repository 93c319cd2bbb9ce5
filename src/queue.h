/*
 * queue.h - Waiting requests of a pool: strict priority between tiers,
 * weighted fair queuing between the teams of a tier.
 *
 * Inside a tier each team has its own queue, in order of arrival. A team's
 * virtual time grows by the work granted to it, divided by its weight; the
 * team with the least virtual time is served first.
 */
#ifndef PS_QUEUE_H
#define PS_QUEUE_H

#include <glib.h>

#include "config.h"
#include "request.h"

struct ps_team_queue;

/**
 * enum ps_job_state - Progress of a request at the pool's owner.
 */
typedef enum ps_job_state { PS_JOB_QUEUED, PS_JOB_GRANTED } ps_job_state_t;

/**
 * struct ps_job - One request at the pool's owner.
 *
 * Times are milliseconds of the owner's monotonic clock.
 */
typedef struct ps_job {
    ps_grant_request_t request;
    ps_job_state_t state;
    int64_t arrived_ms;
    double work; /* expected load, in decode tokens */
    /* while queued */
    struct ps_team_queue *team;
    GList team_link;         /* in the team's queue */
    GList tier_link;         /* in the tier's queue */
    int64_t latest_start_ms; /* latest start that meets the deadline; computed
                                anew when it has passed */
    bool is_held;            /* suspect, not placed while another one runs */
    /* once granted, except @forecast_tokens and @median_tokens, which are set
     * on submission */
    int server; /* index in the pool */
    int64_t granted_ms;
    int64_t first_token_ms;   /* 0: no token reported yet */
    uint32_t prefill_tokens;  /* prompt tokens that are not believed cached */
    uint32_t ahead_tokens;    /* prompt tokens the server had to process first,
                                 at the grant */
    double output_tokens;     /* as last reported */
    int64_t output_tokens_ms; /* time of @output_tokens */
    uint32_t reported_tokens; /* output tokens in the last progress report */
    int64_t reported_ms;      /* time of the last progress report */
    double batch_integral;    /* the server's batch integral at the grant */
    double forecast_tokens;   /* output length at the tier's quantile */
    double median_tokens;     /* median output length; 0 when recovered */
    GList server_link;        /* in the server's list */
    bool is_suspect;          /* its content was in flight at a crash */
    bool is_preempted;        /* cancelled for a higher tier */
    bool is_recovered;        /* dispatched by an earlier owner */
    bool is_orphan;           /* caller disconnected, or entry not live */
    bool is_handed_over;      /* another entry reads its stream */
    uint64_t grant_number;    /* unique in the owner's epoch */
    ps_name_t token;          /* names the dispatch at the server */
} ps_job_t;

/**
 * struct ps_team_queue - Waiting requests of one team in one tier.
 */
typedef struct ps_team_queue {
    ps_name_t name;
    double weight;
    double virtual_time;
    double work; /* of the waiting requests, in decode tokens */
    GQueue jobs; /* in order of arrival */
} ps_team_queue_t;

/**
 * struct ps_tier_queue - Waiting requests of one tier.
 */
typedef struct ps_tier_queue {
    GHashTable *teams;   /* ps_name_t to ps_team_queue_t */
    GPtrArray *active;   /* teams with waiting requests */
    GQueue jobs;         /* all, in order of arrival */
    double virtual_time; /* highest so far of the active teams' minimum */
    double work;         /* of the waiting requests, in decode tokens */
} ps_tier_queue_t;

/**
 * struct ps_queue - Waiting requests of a pool.
 */
typedef struct ps_queue {
    ps_tier_queue_t tiers[PS_TIERS_MAX];
    int len;      /* requests in all tiers */
    bool is_fair; /* false: order of arrival inside a tier */
} ps_queue_t;

void PsQueue_Init(ps_queue_t *queue);
void PsQueue_Finish(ps_queue_t *queue); /* jobs are not freed */

/**
 * PsQueue_Add() - Appends a request to its team's queue.
 * @job: its request and work are set; stays the caller's
 * @weight: its team's weight
 */
void PsQueue_Add(ps_queue_t *queue, ps_job_t *job, double weight);

/**
 * PsQueue_Remove() - Removes a waiting request.
 * @charge_team: adds its work to the team's virtual time: true for a grant,
 *               false for a refusal or a withdrawal
 */
void PsQueue_Remove(ps_queue_t *queue, ps_job_t *job, bool charge_team);

/**
 * PsQueue_GetHeads() - Lists each team's first request that is not held, in
 * order of the teams' virtual time.
 * @heads: receives at most @max requests; holds at least one
 *
 * Without fairness there is one head, the first of the tier.
 *
 * Return: number of requests listed.
 */
int PsQueue_GetHeads(ps_queue_t *queue, int tier, ps_job_t **heads, int max);

/**
 * PsQueue_FindNextToShed() - Returns the request of a tier to shed first.
 *
 * It is the newest request of the team with the most waiting work for its
 * weight; without fairness the newest of the tier.
 *
 * Return: NULL when nothing waits in the tier.
 */
ps_job_t *PsQueue_FindNextToShed(const ps_queue_t *queue, int tier);

/**
 * PsQueue_GetWorkAhead() - Estimates the work of a tier that is served before
 * a new request.
 * @team: team of the new request
 * @weight: its weight
 *
 * With fairness these are the team's own waiting requests and, of each other
 * team, at most as much work for its weight.
 *
 * Return: decode tokens.
 */
double PsQueue_GetWorkAhead(const ps_queue_t *queue, int tier,
                            const ps_name_t *team, double weight);

#endif
