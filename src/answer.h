/*
 * answer.h - How a server's answer is handled, and how it ends.
 *
 * Whether an answer is relayed as complete, may be replaced by another
 * attempt's, or breaks off, and what its end says of the server, is decided
 * here alone. Does no I/O.
 */
#ifndef PS_ANSWER_H
#define PS_ANSWER_H

#include "dialect.h"

/**
 * enum ps_answer_handling - What is done with the body of an answer.
 */
typedef enum ps_answer_handling {
    PS_ANSWER_DROP,  /* it never goes to the caller, or has no head yet */
    PS_ANSWER_HOLD,  /* it is held, as the request may be sent again */
    PS_ANSWER_PASS,  /* its bytes go to the caller as they come */
    PS_ANSWER_EVENTS /* whole events of a stream go to the caller */
} ps_answer_handling_t;

/**
 * enum ps_answer_cut - Why an answer breaks off after its head was relayed.
 */
typedef enum ps_answer_cut {
    PS_ANSWER_CUT_SERVER,   /* the server has lost or not completed it */
    PS_ANSWER_CUT_UNREAD,   /* the server has cut it while this daemon had
                               paused reading */
    PS_ANSWER_CUT_TOO_LONG, /* it exceeds a bound of this daemon */
    PS_ANSWER_CUT_TIME,     /* the request's time is over */
    PS_ANSWER_CUT_ENDING,   /* this daemon's process ends */
    PS_ANSWER_CUTS          /* their number */
} ps_answer_cut_t;

/**
 * struct ps_answer_head - What is known when the head of an answer is there.
 */
typedef struct ps_answer_head {
    ps_reply_t reply;
    long status;
    bool is_stream_route;
    bool may_retry;   /* the route allows it */
    bool is_relaying; /* an earlier attempt's head has gone to the caller */
} ps_answer_head_t;

/**
 * PsAnswer_Choose() - Chooses how the body of an answer is handled.
 */
ps_answer_handling_t PsAnswer_Choose(const ps_answer_head_t *head);

/**
 * PsAnswer_PromisesNotRun() - Tells whether a status promises callers that the
 * request has not run. One that a backend server gives without saying that it
 * has not run the request counts as a failure of the server, and is not
 * relayed.
 */
bool PsAnswer_PromisesNotRun(long status);

/**
 * struct ps_answer_facts - How the transfer of an answer has ended.
 */
typedef struct ps_answer_facts {
    ps_transfer_result_t result;
    bool has_head;
    ps_reply_t reply; /* with @has_head */
    long status;
    ps_answer_handling_t handling;
    bool is_relaying; /* the head has gone to the caller */
    bool is_aborted;  /* this daemon has closed the connection */
    bool is_server_asking_pause;
    bool is_too_long;         /* @is_aborted for a bound of this daemon */
    int64_t longest_pause_ms; /* for which this daemon did not read it */
} ps_answer_facts_t;

/**
 * struct ps_answer_verdict - How an answer ends.
 */
typedef struct ps_answer_verdict {
    ps_task_result_t task_result;
    bool is_whole;       /* it may be relayed as complete */
    bool may_repeat;     /* another attempt may take its place */
    bool is_lost;        /* its loss may be a crash of the server */
    ps_answer_cut_t cut; /* why the caller's answer breaks off, if it does */
} ps_answer_verdict_t;

/**
 * PsAnswer_Judge() - Decides how an answer ends.
 */
ps_answer_verdict_t PsAnswer_Judge(const ps_answer_facts_t *facts);

/**
 * PsAnswer_IsOwnCut() - Tells whether a lost connection follows from a pause
 * of this daemon, so that it says nothing of the server.
 */
bool PsAnswer_IsOwnCut(ps_transfer_result_t result, bool is_aborted,
                       int64_t longest_pause_ms);

/**
 * PsAnswer_GetBytesMax() - Returns the most bytes of an answer. One without
 * end is closed there.
 */
uint64_t PsAnswer_GetBytesMax(ps_answer_handling_t handling, long status);

/**
 * PsAnswer_GetCutName() - Returns a cut's name for logs and metrics.
 */
const char *PsAnswer_GetCutName(ps_answer_cut_t cut);

#endif
