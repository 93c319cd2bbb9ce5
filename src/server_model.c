/* server_model.c - Decaying fits of one server's speed. */
#include "server_model.h"

#include <glib.h>
#include <math.h>

// A model is known from this weight of first events on. Fewer may all be of a
// slow period or of one large prompt.
#define KNOWN_FIRSTS 3.0

// The sums stop decaying at this weight, so that a server that is no longer
// used keeps its last known speed until new samples outweigh it. They are
// lowered to TRIAL_WEIGHT for a trial: a short stream has less than half a
// sample's time between its events.
#define WEIGHT_MIN 0.2
#define TRIAL_WEIGHT 0.03

// Prior of the line of event times: this many samples at no and at
// PRIOR_RUNNING requests, with the slope that PRIOR_SLOPE of the mean gives.
// Without it, samples at a single number of requests leave the slope open.
#define PRIOR_WEIGHT 8.0
#define PRIOR_RUNNING 10.0
#define PRIOR_SLOPE 0.02

// The same for the time to first events: prompts of most services vary
// enough, so that a small prior suffices.
#define PRIOR_FIRST_WEIGHT 0.5
#define PRIOR_KTOKENS 8.0
#define PRIOR_FIRST_SLOPE 0.3

// Times between events count by the time that they took, this much being one
// sample: counted singly, the many short ones from before a server turned slow
// would outweigh the few long ones since.
#define EVENT_WEIGHT_MS 100.0

#define RUNNING_DECAY 0.7 /* weight kept by older rounds */

// Larger numbers in one sample are malformed: a daemon reports several times
// a second.
#define COUNT_MAX 100000
#define MS_MAX 1e8
#define TOKENS_MAX 1e10

/* ---- Internal functions ----------------------------------------------- */

static void
scale_line(ps_fitted_line_t *line, double keep)
{
    line->count *= keep;
    line->weight *= keep;
    line->sum_x *= keep;
    line->sum_xx *= keep;
    line->sum_y *= keep;
    line->sum_xy *= keep;
}

static void
decay_line(ps_fitted_line_t *line, double keep)
{
    if (line->weight * keep >= WEIGHT_MIN) {
        scale_line(line, keep);
    }
}

static void
decay_to(ps_server_model_t *model, int64_t now_ms)
{
    if (model->decayed_ms > 0 && now_ms > model->decayed_ms) {
        double keep = exp2(-(double)(now_ms - model->decayed_ms) /
                           PS_SERVER_MODEL_HALF_LIFE_MS);
        decay_line(&model->events, keep);
        decay_line(&model->firsts, keep);
        PsConcurrencyLimit_Decay(&model->limit, keep);
        model->on_time *= keep;
        model->late *= keep;
    }
    model->decayed_ms = MAX(model->decayed_ms, now_ms);
}

// Adds @n samples with the means @x and @y.
static void
add_to_line(ps_fitted_line_t *line, uint32_t n, double weight, double x,
            double y, int64_t now_ms)
{
    line->count += n;
    line->weight += weight;
    line->sum_x += weight * x;
    line->sum_xx += weight * x * x;
    line->sum_y += weight * y;
    line->sum_xy += weight * x * y;
    line->n += n;
    line->last_ms = now_ms;
}

// Fits a line with prior samples at 0 and at @prior_x, which rise by
// @prior_slope of the mean for each unit of x.
static void
fit_line(const ps_fitted_line_t *line, double prior_weight, double prior_x,
         double prior_slope, double *base, double *slope)
{
    double x_mean = line->sum_x / line->weight;
    double y_mean = line->sum_y / line->weight;
    double y_zero = y_mean / (1.0 + prior_slope * x_mean);
    double y_high = y_zero * (1.0 + prior_slope * prior_x);
    double weight = line->weight + 2.0 * prior_weight;
    double sum_x = line->sum_x + prior_weight * prior_x;
    double sum_xx = line->sum_xx + prior_weight * prior_x * prior_x;
    double sum_y = line->sum_y + prior_weight * (y_zero + y_high);
    double sum_xy = line->sum_xy + prior_weight * prior_x * y_high;
    double determinant = weight * sum_xx - sum_x * sum_x;
    *slope = MAX((weight * sum_xy - sum_x * sum_y) / determinant, 0.0);
    *base = (sum_y - *slope * sum_x) / weight;
    if (*base < 0) {
        // Through the origin.
        *base = 0;
        *slope = sum_xy / sum_xx;
    }
}

static bool
is_valid(const ps_server_sample_t *sample)
{
    const double sums[] = {sample->event_ms, sample->first_event_ms,
                           sample->prefill_tokens};
    for (size_t i = 0; i < G_N_ELEMENTS(sums); i++) {
        if (!isfinite(sums[i]) || sums[i] < 0) {
            return false;
        }
    }
    return sample->events <= COUNT_MAX && sample->first_events <= COUNT_MAX &&
           sample->on_time <= COUNT_MAX && sample->late <= COUNT_MAX &&
           sample->event_ms <= MS_MAX && sample->first_event_ms <= MS_MAX &&
           sample->prefill_tokens <= TOKENS_MAX;
}

/* ---- Public functions ------------------------------------------------- */

bool
PsServerSample_IsEmpty(const ps_server_sample_t *sample)
{
    return sample->events + sample->first_events + sample->on_time +
               sample->late ==
           0;
}

void
PsServerModel_AddSample(ps_server_model_t *model,
                        const ps_server_sample_t *sample, int64_t now_ms)
{
    if (!is_valid(sample)) {
        return;
    }
    decay_to(model, now_ms);
    if (sample->events > 0) {
        add_to_line(&model->events, sample->events,
                    sample->event_ms / EVENT_WEIGHT_MS,
                    MAX(model->running, 1.0),
                    sample->event_ms / sample->events, now_ms);
        PsConcurrencyLimit_AddEvents(&model->limit, model->running,
                                     sample->events, sample->event_ms);
    }
    if (sample->first_events > 0) {
        double ktokens =
            sample->prefill_tokens / 1000.0 / sample->first_events;
        add_to_line(&model->firsts, sample->first_events, sample->first_events,
                    ktokens, sample->first_event_ms / sample->first_events,
                    now_ms);
    }
    if (sample->on_time + sample->late > 0) {
        model->on_time += sample->on_time;
        model->late += sample->late;
        model->ended_ms = now_ms;
    }
}

void
PsServerModel_NoteRound(ps_server_model_t *model,
                        const ps_model_round_t *round, int64_t now_ms)
{
    decay_to(model, now_ms);
    model->running = model->running * RUNNING_DECAY +
                     (1.0 - RUNNING_DECAY) * round->running;
    model->peak_running = MAX(model->peak_running, round->running);
    ps_limit_evidence_t evidence = {.on_time = model->on_time,
                                    .late = model->late,
                                    .usual_late_share =
                                        round->usual_late_share,
                                    .peak_running = model->peak_running,
                                    .may_probe = round->may_probe};
    if (PsConcurrencyLimit_Update(&model->limit, &evidence, round->slots,
                                  now_ms)) {
        model->peak_running = round->running;
    }
}

void
PsServerModel_StartTrial(ps_server_model_t *model)
{
    ps_fitted_line_t *lines[] = {&model->events, &model->firsts};
    for (size_t i = 0; i < G_N_ELEMENTS(lines); i++) {
        if (lines[i]->weight > TRIAL_WEIGHT) {
            scale_line(lines[i], TRIAL_WEIGHT / lines[i]->weight);
        }
    }
    model->on_time = 0;
    model->late = 0;
}

bool
PsServerModel_HasSamples(const ps_server_model_t *model)
{
    return model->firsts.n >= KNOWN_FIRSTS;
}

bool
PsServerModel_IsKnown(const ps_server_model_t *model)
{
    return model->has_seed || PsServerModel_HasSamples(model);
}

double
PsServerModel_GetEventMs(const ps_server_model_t *model, double running)
{
    if (model->events.weight <= 0) {
        return model->has_seed ? model->seed.event_ms : 0.0;
    }
    double base;
    double slope;
    fit_line(&model->events, PRIOR_WEIGHT, PRIOR_RUNNING, PRIOR_SLOPE, &base,
             &slope);
    return base + slope * running;
}

ps_server_pace_t
PsServerModel_GetPace(const ps_server_model_t *model)
{
    ps_server_pace_t pace = model->seed;
    pace.event_ms = PsServerModel_GetEventMs(model, MAX(model->running, 1.0));
    if (PsServerModel_HasSamples(model)) {
        fit_line(&model->firsts, PRIOR_FIRST_WEIGHT, PRIOR_KTOKENS,
                 PRIOR_FIRST_SLOPE, &pace.first_base_ms, &pace.first_slope_ms);
    }
    pace.limit = PsConcurrencyLimit_Get(&model->limit);
    return pace;
}

double
PsServerModel_GetLateShare(const ps_server_model_t *model)
{
    double all = model->on_time + model->late;
    return all > 0 ? model->late / all : 0.0;
}
