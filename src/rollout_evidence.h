/*
 * rollout_evidence.h - Compares the answers of two versions of a service.
 *
 * Samples of answers are kept by route. For each route, and for all together,
 * a sequential test compares failures and times of the target version with
 * those of the old version at the same time. docs/design/rollouts.md has the
 * figures of the test. Does no I/O; all times are passed in.
 */
#ifndef PS_ROLLOUT_EVIDENCE_H
#define PS_ROLLOUT_EVIDENCE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define PS_ROLLOUT_BUCKETS 96  /* of times, four to a doubling */
#define PS_ROLLOUT_HELD_MAX 16 /* routes that are held back at a time */

/**
 * enum ps_rollout_sample - What an answer has shown.
 */
typedef enum ps_rollout_sample {
    PS_ROLLOUT_GOOD,        /* ended without a fault of the server */
    PS_ROLLOUT_FAILED,      /* ended with one */
    PS_ROLLOUT_FIRST_EVENT, /* time to a stream's first event */
    PS_ROLLOUT_PACE,        /* time for a stream's next events */
    PS_ROLLOUT_TOTAL,       /* time of a plain answer */
    PS_ROLLOUT_SAMPLES      /* their number */
} ps_rollout_sample_t;

/**
 * struct ps_rollout_answer - A sample of one answer.
 */
typedef struct ps_rollout_answer {
    uint32_t route;  /* hash of its name */
    uint32_t server; /* hash of its name */
    bool is_target;  /* the server has the target version */
    uint8_t sample;  /* ps_rollout_sample_t */
    uint8_t bucket;  /* of a time: PsRollout_GetBucket(); else 0 */
} ps_rollout_answer_t;

/**
 * struct ps_rollout_evidence - What is known of both versions.
 */
typedef struct ps_rollout_evidence {
    GHashTable *series;   /* by route and sample */
    int n_used;           /* servers of the target that are in use */
    uint64_t answers;     /* of the target */
    uint64_t bad_answers; /* of these, failed or slow */
    double expected_bad;  /* if the target were as good as the old version */
    double highest;       /* evidence so far, in units of the threshold */
    bool is_bad;          /* the verdict */
    uint32_t bad_route;   /* that has led to it; 0: all together */
    ps_rollout_sample_t bad_sample;
} ps_rollout_evidence_t;

void PsRolloutEvidence_Init(ps_rollout_evidence_t *evidence);
void PsRolloutEvidence_Finish(ps_rollout_evidence_t *evidence);

/**
 * PsRolloutEvidence_GetBucket() - Returns the bucket of a time.
 * @ratio: the time by a measure of the request's work, as only the ratio of
 * two versions' times counts
 */
uint8_t PsRolloutEvidence_GetBucket(double ratio);

/**
 * PsRolloutEvidence_AddAnswer() - Takes a sample; sets the verdict if the
 * target has become too bad.
 */
void PsRolloutEvidence_AddAnswer(ps_rollout_evidence_t *evidence,
                                 const ps_rollout_answer_t *answer,
                                 int64_t now_ms);

/**
 * PsRolloutEvidence_CheckEnd() - Sets the verdict at the end of a step, with
 * less evidence.
 *
 * Return: whether the target is bad.
 */
bool PsRolloutEvidence_CheckEnd(ps_rollout_evidence_t *evidence);

/**
 * PsRolloutEvidence_GetSickShare() - Returns the part of the old version's
 * servers that are slow.
 */
double PsRolloutEvidence_GetSickShare(const ps_rollout_evidence_t *evidence);

/**
 * PsRolloutEvidence_ListHeldRoutes() - Lists the routes of which the target
 * has had clearly more requests than of others.
 * @routes: receives at most PS_ROLLOUT_HELD_MAX hashes
 *
 * Return: their number.
 */
int PsRolloutEvidence_ListHeldRoutes(const ps_rollout_evidence_t *evidence,
                                     uint32_t *routes);

#endif
