/* attempts.c - What the ends of attempts show. */
#include "attempts.h"

void
PsAttempts_HandleSent(ps_attempts_t *attempts)
{
    attempts->may_have_run |= attempts->is_in_doubt;
    attempts->is_in_doubt = true;
}

void
PsAttempts_HandleEnd(ps_attempts_t *attempts, bool is_not_run)
{
    attempts->may_have_run |= attempts->is_in_doubt && !is_not_run;
    attempts->is_in_doubt = false;
}

ps_ran_t
PsAttempts_GetRan(const ps_attempts_t *attempts)
{
    return attempts->is_in_doubt || attempts->may_have_run ? PS_RAN_UNKNOWN
                                                           : PS_RAN_NO;
}
