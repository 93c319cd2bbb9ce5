/*
 * attempts.h - Whether a request has run, as its attempts show.
 *
 * The promise to a caller that its request has not run and never will, the
 * refund of what it was charged and a further attempt of a request that may
 * run only once all follow from this alone. Does no I/O.
 */
#ifndef PS_ATTEMPTS_H
#define PS_ATTEMPTS_H

#include <stdbool.h>

#include "request.h"

/**
 * struct ps_attempts - The attempts of one request. All zero: there was none.
 */
typedef struct ps_attempts {
    bool is_in_doubt;  /* the current one was handed to a connection */
    bool may_have_run; /* an earlier one did, or may have, or still may */
} ps_attempts_t;

/**
 * PsAttempts_HandleSent() - The current attempt is handed to a connection:
 * from now on, a backend server may run it.
 */
void PsAttempts_HandleSent(ps_attempts_t *attempts);

/**
 * PsAttempts_HandleEnd() - The current attempt has ended, or is given up.
 * @is_not_run: nothing of it was sent, or its backend server has said that it
 *              has not run it and will not
 */
void PsAttempts_HandleEnd(ps_attempts_t *attempts, bool is_not_run);

/**
 * PsAttempts_GetRan() - Tells whether the request has run, if the current
 * attempt is given up now.
 *
 * Return: PS_RAN_NO: no backend server has run it, or will; PS_RAN_UNKNOWN.
 */
ps_ran_t PsAttempts_GetRan(const ps_attempts_t *attempts);

#endif
