/*
 * overcommit.h - How many times the slots of plain servers are granted.
 *
 * A slot that is granted for a round of the allocator works only while its
 * daemon has a request, and plain requests are much shorter than a round. So
 * more slots are granted than there are, as long as few requests run: servers
 * queue the few that come at the same moment. Load pattern: few servers, some
 * of whose slots are free all the time, before many more daemons than slots,
 * each with a request now and then. Does no I/O.
 */
#ifndef PS_OVERCOMMIT_H
#define PS_OVERCOMMIT_H

// Times that a plain server's slots are granted at least: it queues as many
// requests as it runs.
#define PS_OVERCOMMIT_MIN 2.0

/**
 * struct ps_overcommit - State of one service. All zero: nothing is known yet.
 */
typedef struct ps_overcommit {
    double factor;  /* slots granted for each slot; 0: not set yet */
    double running; /* requests at the servers, smoothed over rounds */
    double ended;   /* requests that end in a round, smoothed likewise */
} ps_overcommit_t;

/**
 * PsOvercommit_Update() - Sets the factor for the next round.
 * @n_running: requests at the service's servers, as reported for this round
 * @n_ended: requests that have ended there, as reported since the last round
 * @n_slots: slots of these servers
 * @n_daemons: that share them
 *
 * Return: the factor, PS_OVERCOMMIT_MIN or more.
 */
double PsOvercommit_Update(ps_overcommit_t *overcommit, int n_running,
                           int n_ended, int n_slots, int n_daemons);

#endif
