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

/**
 * struct ps_server_sample - What one daemon has seen of a server since its
 * last report. All zero: nothing.
 */
typedef struct ps_server_sample {
    uint32_t events;       /* of streams, after the first ones */
    double event_ms;       /* sum of the times between them */
    double event_running;  /* sum, over @events, of the requests that ran
                              there, of all daemons as far as known */
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
    double event_base_ms;  /* between two events, without other requests */
    double event_slope_ms; /* that each running request adds */
    double first_base_ms;  /* to the first event of an empty prompt, or to a
                              plain answer */
    double first_slope_ms; /* that each thousand prompt tokens adds */
    int limit;             /* requests at a time with answers on time */
} ps_server_pace_t;

#endif
