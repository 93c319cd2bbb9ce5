/*
 * server_model.h - What has been learned of one backend server by all daemons.
 *
 * Daemons count samples of their own requests; the allocator adds them up and
 * derives the server's pace and the number of requests that it takes at a
 * time with its answers still on time. Load pattern: servers of one service
 * whose speeds differ several times over, and that slow down before all of
 * their slots are in use. Does no I/O; all times are passed in.
 */
#ifndef PS_SERVER_MODEL_H
#define PS_SERVER_MODEL_H

#include <stdbool.h>
#include <stdint.h>

#include "concurrency_limit.h"

// Time in which samples lose half of their weight. Slow periods of 600 ms
// then move a mean by an eighth of their excess, while a lasting change shows
// within two or three seconds.
#define PS_SERVER_MODEL_HALF_LIFE_MS 3000.0

/**
 * struct ps_server_sample - What one daemon has seen of a server since its
 * last report. All zero: nothing.
 */
typedef struct ps_server_sample {
    uint32_t events;       /* of streams, after the first ones */
    double event_ms;       /* sum of the times between them */
    uint32_t first_events; /* of streams; of plain requests, answers */
    double first_event_ms; /* sum of the times since they were sent */
    double prefill_tokens; /* sum of the prompt tokens read before them */
    uint32_t on_time;      /* ended answers that met objective and pauses */
    uint32_t late;         /* those that the server made late */
} ps_server_sample_t;

/**
 * struct ps_server_pace - Predicted speed of a server; sent with grants.
 */
typedef struct ps_server_pace {
    double event_ms;       /* between two events, at its present load */
    double first_base_ms;  /* to the first event of an empty prompt, or to a
                              plain answer */
    double first_slope_ms; /* that each thousand prompt tokens adds */
    int limit;             /* requests at a time with answers on time */
} ps_server_pace_t;

/**
 * struct ps_fitted_line - Line through samples, by weighted least squares.
 */
typedef struct ps_fitted_line {
    double weight; /* as the next four: decaying sums over samples */
    double sum_x;
    double sum_xx;
    double sum_y;
    double sum_xy;
    double count;    /* decaying number of samples */
    uint64_t n;      /* of them, without decay */
    int64_t last_ms; /* time of the last one; 0: none yet */
} ps_fitted_line_t;

/**
 * struct ps_server_model - What is known of one server. All zero: nothing.
 */
typedef struct ps_server_model {
    ps_fitted_line_t events; /* time between events, by running requests */
    ps_fitted_line_t firsts; /* time to first events, by thousands of prompt
                                tokens */
    double on_time;          /* decaying number of answers */
    double late;
    int64_t ended_ms;      /* time of the last ended answer; 0: none yet */
    int64_t decayed_ms;    /* the sums are as of this time */
    double running;        /* requests there in all, smoothed over rounds */
    int peak_running;      /* since the limit was last adjusted */
    ps_server_pace_t seed; /* assumed while nothing is known */
    bool has_seed;
    ps_concurrency_limit_t limit;
} ps_server_model_t;

/**
 * struct ps_model_round - What a round of the allocator knows of a server.
 */
typedef struct ps_model_round {
    int running;             /* requests of all daemons */
    int slots;               /* that the server has registered */
    double usual_late_share; /* of the good servers of its service */
    bool may_probe; /* it is this server's turn to run fewer requests */
} ps_model_round_t;

/**
 * PsServerSample_IsEmpty() - Tells whether a sample has nothing in it.
 */
bool PsServerSample_IsEmpty(const ps_server_sample_t *sample);

/**
 * PsServerModel_AddSample() - Adds what a daemon has reported. A sample with
 * numbers that are negative, not finite or far out of range is ignored.
 *
 * The samples count for the number of requests that the rounds have noted.
 */
void PsServerModel_AddSample(ps_server_model_t *model,
                             const ps_server_sample_t *sample, int64_t now_ms);

/**
 * PsServerModel_NoteRound() - Notes how many requests of all daemons run at
 * the server, and adjusts its limit.
 */
void PsServerModel_NoteRound(ps_server_model_t *model,
                             const ps_model_round_t *round, int64_t now_ms);

/**
 * PsServerModel_StartTrial() - Lowers the weight of all samples, so that those
 * of a single request outweigh them.
 */
void PsServerModel_StartTrial(ps_server_model_t *model);

/**
 * PsServerModel_HasSamples() - Tells whether there are enough samples to
 * predict from.
 */
bool PsServerModel_HasSamples(const ps_server_model_t *model);

/**
 * PsServerModel_IsKnown() - Tells whether there are enough samples, or a seed,
 * to predict from.
 */
bool PsServerModel_IsKnown(const ps_server_model_t *model);

/**
 * PsServerModel_GetEventMs() - Predicts the time between two events.
 * @running: requests there in all
 */
double PsServerModel_GetEventMs(const ps_server_model_t *model,
                                double running);

/**
 * PsServerModel_GetPace() - Predicts the server's speed at its present load.
 */
ps_server_pace_t PsServerModel_GetPace(const ps_server_model_t *model);

/**
 * PsServerModel_GetLateShare() - Returns the decayed share of late answers, 0
 * to 1.
 */
double PsServerModel_GetLateShare(const ps_server_model_t *model);

#endif
