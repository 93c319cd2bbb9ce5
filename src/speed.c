/* speed.c - Weighted fit of step times and a fading mean of prefill speed. */
#include "speed.h"

#include <glib.h>

#define USUAL_BASE_MS 20.0  /* step of an empty engine */
#define USUAL_SLOPE_MS 0.5  /* step added by one more request */
#define USUAL_PREFILL 4.0   /* prompt tokens a millisecond */
#define PRIOR_BATCH_LOW 1.0 /* the shape is anchored at two batches */
#define PRIOR_BATCH_HIGH 16.0
#define PRIOR_WEIGHT 2.0   /* samples that each anchor counts for */
#define STEP_FADE 0.97     /* weight kept of older step samples */
#define PREFILL_FADE 0.9   /* weight kept of older prefill samples */
#define STEP_LEAST_MS 0.05 /* shortest step believed */
#define PREFILL_LEAST 0.01 /* tokens a millisecond */

/* ---- Internal functions ----------------------------------------------- */

// Fits base and slope; the usual shape, scaled to the samples, is the prior.
static void
fit(ps_speed_t *speed)
{
    double n_mean = speed->sum_n / speed->weight;
    double y_mean = speed->sum_y / speed->weight;
    double scale = y_mean / (USUAL_BASE_MS + USUAL_SLOPE_MS * n_mean);
    double weight = speed->weight;
    double sum_n = speed->sum_n;
    double sum_nn = speed->sum_nn;
    double sum_y = speed->sum_y;
    double sum_ny = speed->sum_ny;
    const double anchors[] = {PRIOR_BATCH_LOW, PRIOR_BATCH_HIGH};
    for (int i = 0; i < 2; i++) {
        double n = anchors[i];
        double y = scale * (USUAL_BASE_MS + USUAL_SLOPE_MS * n);
        weight += PRIOR_WEIGHT;
        sum_n += PRIOR_WEIGHT * n;
        sum_nn += PRIOR_WEIGHT * n * n;
        sum_y += PRIOR_WEIGHT * y;
        sum_ny += PRIOR_WEIGHT * n * y;
    }
    double spread = weight * sum_nn - sum_n * sum_n;
    double slope = (weight * sum_ny - sum_n * sum_y) / spread;
    speed->slope_ms = MAX(slope, 0.0);
    speed->base_ms = MAX((sum_y - speed->slope_ms * sum_n) / weight, 0.0);
}

/* ---- Public functions ------------------------------------------------- */

void
PsSpeed_Init(ps_speed_t *speed)
{
    *speed = (ps_speed_t){0};
    speed->base_ms = USUAL_BASE_MS;
    speed->slope_ms = USUAL_SLOPE_MS;
    speed->prefill_rate = USUAL_PREFILL;
}

void
PsSpeed_AddStep(ps_speed_t *speed, double batch, double step_ms, double weight)
{
    if (!(step_ms > 0) || !(batch > 0) || !(weight > 0)) {
        return;
    }
    double keep = 1.0 - (1.0 - STEP_FADE) * weight;
    speed->weight = speed->weight * keep + weight;
    speed->sum_n = speed->sum_n * keep + weight * batch;
    speed->sum_nn = speed->sum_nn * keep + weight * batch * batch;
    speed->sum_y = speed->sum_y * keep + weight * step_ms;
    speed->sum_ny = speed->sum_ny * keep + weight * batch * step_ms;
    fit(speed);
}

void
PsSpeed_AddPrefill(ps_speed_t *speed, double tokens, double ms)
{
    if (!(tokens > 0) || !(ms > 0)) {
        return;
    }
    double keep = speed->prefill_weight * PREFILL_FADE;
    double rate = MAX(tokens / ms, PREFILL_LEAST);
    speed->prefill_weight = keep + 1.0;
    speed->prefill_rate =
        (speed->prefill_rate * keep + rate) / speed->prefill_weight;
}

double
PsSpeed_GetStepMs(const ps_speed_t *speed, double batch)
{
    return MAX(speed->base_ms + speed->slope_ms * batch, STEP_LEAST_MS);
}

double
PsSpeed_GetPrefillMs(const ps_speed_t *speed, double tokens)
{
    return tokens / speed->prefill_rate;
}
