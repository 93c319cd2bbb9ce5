/*
 * queue.h - Waiting requests of a pool: strict by tier, fair between teams.
 *
 * Inside a tier each team has its own order of arrival. A team's virtual time
 * grows by the work it is granted over its weight; the team with the least
 * virtual time comes first.
 */
#ifndef PS_QUEUE_H
#define PS_QUEUE_H

#include <glib.h>

#include "config.h"
#include "request.h"

struct ps_team_queue;

/**
 * enum ps_job_state - Where a request stands at the pool owner.
 */
typedef enum ps_job_state { PS_JOB_QUEUED, PS_JOB_GRANTED } ps_job_state_t;

/**
 * struct ps_job - One request at the pool owner.
 */
typedef struct ps_job {
    ps_grant_request_t request;
    ps_job_state_t state;
    int64_t arrived_ms;
    double work; /* decode tokens it counts for */
    /* queued */
    struct ps_team_queue *team;
    GList team_link;         /* in the team's order of arrival */
    GList tier_link;         /* in the tier's order of arrival */
    int64_t latest_start_ms; /* estimate, never earlier than the last one */
    bool is_held;            /* a suspect that waits for another's end */
    /* granted */
    int server; /* index in the pool */
    int64_t granted_ms;
    int64_t first_token_ms;   /* 0: no token seen */
    uint32_t prefill_tokens;  /* prompt tokens the server has to process */
    uint32_t ahead_tokens;    /* prompt tokens before them at the grant */
    double output_tokens;     /* output tokens seen or estimated */
    int64_t output_tokens_ms; /* time of @tokens */
    uint32_t reported_tokens; /* output tokens at the last report */
    int64_t reported_ms;      /* time of the last report */
    double batch_integral;    /* server's batch integral at the grant */
    double forecast_tokens;   /* output tokens, by the tier's quantile */
    double median_tokens;     /* output tokens, by the median */
    GList server_link;        /* in the server's list */
    bool is_suspect;
    bool is_preempted;     /* cancelled for a higher tier */
    bool is_recovered;     /* taken over from an earlier owner */
    bool is_orphan;        /* its caller or its entry has gone */
    bool is_handed_over;   /* another entry reads its stream */
    uint64_t grant_number; /* grant's number */
    ps_name_t token;       /* names the dispatch at the server */
} ps_job_t;

/**
 * struct ps_team_queue - Waiting requests of one team in one tier.
 */
typedef struct ps_team_queue {
    ps_name_t name;
    double weight;
    double virtual_time;
    double work; /* of the waiting requests */
    GQueue jobs;
} ps_team_queue_t;

/**
 * struct ps_tier_queue - Waiting requests of one tier.
 */
typedef struct ps_tier_queue {
    GHashTable *teams; /* ps_name_t to ps_team_queue_t */
    GPtrArray *active; /* teams with waiting requests */
    GQueue jobs;       /* all, in order of arrival */
    double virtual_time;
    double work;
} ps_tier_queue_t;

/**
 * struct ps_queue - Waiting requests of a pool.
 */
typedef struct ps_queue {
    ps_tier_queue_t tiers[PS_TIERS_MAX];
    int len;
    bool is_fair; /* false: order of arrival inside a tier */
} ps_queue_t;

void PsQueue_Init(ps_queue_t *queue);
void PsQueue_Finish(ps_queue_t *queue); /* jobs are not freed */

/**
 * PsQueue_Add() - Appends a request.
 * @job: its ask and work are set
 * @weight: its team's weight
 */
void PsQueue_Add(ps_queue_t *queue, ps_job_t *job, double weight);

/**
 * PsQueue_Remove() - Takes a waiting request out.
 * @charged: whether its work counts as granted to its team
 */
void PsQueue_Remove(ps_queue_t *queue, ps_job_t *job, bool charged);

/**
 * PsQueue_GetHeads() - Lists the first request of each team that is not
 * held, fairest first.
 * @heads: receives at most @max requests
 *
 * Return: how many.
 */
int PsQueue_GetHeads(ps_queue_t *queue, int tier, ps_job_t **heads, int max);

/**
 * PsQueue_GetNextToShed() - Returns the request to shed first in a tier, or
 * NULL.
 *
 * It is the newest of the team that waits with most work for its weight.
 */
ps_job_t *PsQueue_GetNextToShed(const ps_queue_t *queue, int tier);

/**
 * PsQueue_GetWorkAhead() - Work of a tier served before a new request.
 * @team: team of the new request
 * @weight: its weight
 *
 * Return: decode tokens.
 */
double PsQueue_GetWorkAhead(const ps_queue_t *queue, int tier,
                            const ps_name_t *team, double weight);

#endif
