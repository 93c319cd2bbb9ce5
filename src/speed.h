/*
 * speed.h - Estimated speeds of one backend server.
 *
 * The time of a decode step is modelled as base + slope * batch, fitted to
 * observed token times with fading weights; prefill as tokens a millisecond.
 */
#ifndef PS_SPEED_H
#define PS_SPEED_H

/**
 * struct ps_speed - Fitted speeds.
 */
typedef struct ps_speed {
    double weight; /* fading sums of the samples */
    double sum_n;  /* batch */
    double sum_nn;
    double sum_y; /* milliseconds of a step */
    double sum_ny;
    double base_ms; /* the fit */
    double slope_ms;
    double prefill_rate; /* tokens a millisecond */
    double prefill_weight;
} ps_speed_t;

/**
 * PsSpeed_Init() - Starts from the usual speeds of an engine.
 */
void PsSpeed_Init(ps_speed_t *speed);

/**
 * PsSpeed_AddStep() - Learns from observed token times.
 * @batch: mean requests at a time while they were observed
 * @step_ms: mean milliseconds between tokens
 * @weight: 1 for an ended answer, less for a part
 */
void PsSpeed_AddStep(ps_speed_t *speed, double batch, double step_ms,
                     double weight);

/**
 * PsSpeed_AddPrefill() - Learns from an observed first token.
 * @tokens: prompt tokens processed before it
 * @ms: milliseconds from dispatch
 */
void PsSpeed_AddPrefill(ps_speed_t *speed, double tokens, double ms);

/**
 * PsSpeed_GetStepMs() - Predicts milliseconds between tokens.
 * @batch: requests at a time
 */
double PsSpeed_GetStepMs(const ps_speed_t *speed, double batch);

/**
 * PsSpeed_GetPrefillMs() - Predicts milliseconds to process prompt tokens.
 */
double PsSpeed_GetPrefillMs(const ps_speed_t *speed, double tokens);

#endif
