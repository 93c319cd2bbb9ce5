/*
 * speed.h - Estimated speeds of one backend server.
 *
 * The time of a decode step is modelled as base + slope * batch, fitted to
 * observed token times by weighted least squares; the prefill rate is a moving
 * average. Older samples decay exponentially.
 */
#ifndef PS_SPEED_H
#define PS_SPEED_H

/**
 * struct ps_speed - Step time model and prefill rate of a server.
 */
typedef struct ps_speed {
    double step_weight; /* as the next four: decaying sums over step samples */
    double sum_n;       /* n: requests in the batch */
    double sum_nn;
    double sum_y; /* y: milliseconds of a step */
    double sum_ny;
    double base_ms;        /* fitted time of a step at batch 0 */
    double slope_ms;       /* fitted time that each request adds to a step */
    double prefill_rate;   /* tokens a millisecond */
    double prefill_weight; /* decaying number of prefill samples */
} ps_speed_t;

/**
 * PsSpeed_Init() - Sets the speeds assumed before the first sample.
 */
void PsSpeed_Init(ps_speed_t *speed);

/**
 * PsSpeed_AddStep() - Adds a sample of the step time.
 * @batch: mean number of concurrent requests while it was observed
 * @step_ms: mean milliseconds between tokens
 * @weight: 1 for a complete answer, less for a part of one
 */
void PsSpeed_AddStep(ps_speed_t *speed, double batch, double step_ms,
                     double weight);

/**
 * PsSpeed_AddPrefill() - Adds a sample of the prefill rate, from a first
 * token.
 * @tokens: prompt tokens processed before it
 * @ms: milliseconds since the dispatch
 */
void PsSpeed_AddPrefill(ps_speed_t *speed, double tokens, double ms);

/**
 * PsSpeed_GetStepMs() - Predicts the time between two tokens of an answer.
 * @batch: number of concurrent requests
 */
double PsSpeed_GetStepMs(const ps_speed_t *speed, double batch);

/**
 * PsSpeed_GetPrefillMs() - Predicts the time to process prompt tokens.
 */
double PsSpeed_GetPrefillMs(const ps_speed_t *speed, double tokens);

#endif
