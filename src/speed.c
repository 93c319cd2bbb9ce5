/* speed.c - Linear fit of step times and moving average of prefill rate. */
#include "speed.h"

#include <glib.h>

#define DEFAULT_BASE_MS 20.0     /* step time at batch 0 */
#define DEFAULT_SLOPE_MS 0.5     /* added to a step by each request */
#define DEFAULT_PREFILL_RATE 4.0 /* prompt tokens a millisecond */
#define PRIOR_BATCH_LOW 1.0      /* the prior has samples at two batches */
#define PRIOR_BATCH_HIGH 16.0
#define PRIOR_WEIGHT 2.0  /* samples at each of these two batches */
#define STEP_DECAY 0.97   /* factor on older ones for a sample of weight 1 */
#define PREFILL_DECAY 0.9 /* factor on older samples */
#define STEP_MIN_MS 0.05  /* shortest step predicted */
#define PREFILL_RATE_MIN 0.01 /* tokens a millisecond; least for a sample */

/* ---- Internal functions ----------------------------------------------- */

// Fits base and slope by least squares. The prior is the default model, scaled
// to the mean of the samples: without it, samples at a single batch size would
// leave the slope undetermined.
static void
fit_step_model(ps_speed_t *speed)
{
    double n_mean = speed->sum_n / speed->step_weight;
    double y_mean = speed->sum_y / speed->step_weight;
    double scale = y_mean / (DEFAULT_BASE_MS + DEFAULT_SLOPE_MS * n_mean);
    double weight = speed->step_weight;
    double sum_n = speed->sum_n;
    double sum_nn = speed->sum_nn;
    double sum_y = speed->sum_y;
    double sum_ny = speed->sum_ny;
    const double prior_batches[] = {PRIOR_BATCH_LOW, PRIOR_BATCH_HIGH};
    for (int i = 0; i < 2; i++) {
        double n = prior_batches[i];
        double y = scale * (DEFAULT_BASE_MS + DEFAULT_SLOPE_MS * n);
        weight += PRIOR_WEIGHT;
        sum_n += PRIOR_WEIGHT * n;
        sum_nn += PRIOR_WEIGHT * n * n;
        sum_y += PRIOR_WEIGHT * y;
        sum_ny += PRIOR_WEIGHT * n * y;
    }
    double determinant = weight * sum_nn - sum_n * sum_n;
    double slope = (weight * sum_ny - sum_n * sum_y) / determinant;
    speed->slope_ms = MAX(slope, 0.0);
    speed->base_ms = MAX((sum_y - speed->slope_ms * sum_n) / weight, 0.0);
}

/* ---- Public functions ------------------------------------------------- */

void
PsSpeed_Init(ps_speed_t *speed)
{
    *speed = (ps_speed_t){0};
    speed->base_ms = DEFAULT_BASE_MS;
    speed->slope_ms = DEFAULT_SLOPE_MS;
    speed->prefill_rate = DEFAULT_PREFILL_RATE;
}

void
PsSpeed_AddStep(ps_speed_t *speed, double batch, double step_ms, double weight)
{
    if (!(step_ms > 0) || !(batch > 0) || !(weight > 0)) {
        return;
    }
    double keep = 1.0 - (1.0 - STEP_DECAY) * weight;
    speed->step_weight = speed->step_weight * keep + weight;
    speed->sum_n = speed->sum_n * keep + weight * batch;
    speed->sum_nn = speed->sum_nn * keep + weight * batch * batch;
    speed->sum_y = speed->sum_y * keep + weight * step_ms;
    speed->sum_ny = speed->sum_ny * keep + weight * batch * step_ms;
    fit_step_model(speed);
}

void
PsSpeed_AddPrefill(ps_speed_t *speed, double tokens, double ms)
{
    if (!(tokens > 0) || !(ms > 0)) {
        return;
    }
    double keep = speed->prefill_weight * PREFILL_DECAY;
    double rate = MAX(tokens / ms, PREFILL_RATE_MIN);
    speed->prefill_weight = keep + 1.0;
    speed->prefill_rate =
        (speed->prefill_rate * keep + rate) / speed->prefill_weight;
}

double
PsSpeed_GetStepMs(const ps_speed_t *speed, double batch)
{
    return MAX(speed->base_ms + speed->slope_ms * batch, STEP_MIN_MS);
}

double
PsSpeed_GetPrefillMs(const ps_speed_t *speed, double tokens)
{
    return tokens / speed->prefill_rate;
}
