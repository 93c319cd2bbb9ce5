/*
 * server_limit.h - The rate of requests that a backend server takes.
 *
 * A server in need names in its responses how many requests a second it takes
 * from all daemons together. A daemon believes the latest response, its own or
 * one that another daemon reports, and sends what the allocator permits.
 * Without fresh permits each daemon takes its turn: the turns of all daemons
 * add up to the rate without messages. Load pattern: a service's servers name
 * and withdraw limits under full load, while daemons start, stop, stand still
 * and are cut off. Does no I/O; all times are passed in.
 */
#ifndef PS_SERVER_LIMIT_H
#define PS_SERVER_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

// Smaller rates are taken for this one, in requests a second, so that a server
// is asked often enough to find out when its limit ends.
#define PS_SERVER_RATE_MIN 0.1

#define PS_SERVER_RATE_NONE (-1.0) /* the server names no limit */

#define PS_SERVER_LIMIT_ROUNDS 16 /* reports that a grant may answer */

/**
 * struct ps_limit_notice - What a server has said at some moment between two
 * times.
 */
typedef struct ps_limit_notice {
    double rate;         /* requests a second, or PS_SERVER_RATE_NONE */
    int64_t asked_ms;    /* the request that it answered was sent */
    int64_t answered_ms; /* its response was received; 0: nothing known */
} ps_limit_notice_t;

/**
 * struct ps_server_limit - One server's limit at one daemon.
 */
typedef struct ps_server_limit {
    ps_limit_notice_t notice; /* the latest one of all daemons */
    ps_limit_notice_t own;    /* the latest one of this daemon */
    int64_t ended_ms;         /* when the last limit ended; 0: none did */
    uint64_t starts;          /* requests sent there so far */
    uint64_t starts_at_report[PS_SERVER_LIMIT_ROUNDS]; /* by round */
    uint64_t permitted;     /* @starts may reach this many */
    int64_t permitted_ms;   /* when that was granted; 0: never */
    int n_daemons;          /* that take turns; 0: not known yet */
    int daemon_index;       /* among them */
    int64_t turns_from_ms;  /* turns are counted from then on */
    int64_t turn_origin_ms; /* origin of @last_turn */
    int64_t last_turn;      /* number of the last turn that was used */
} ps_server_limit_t;

/**
 * PsServerLimit_AddNotice() - Takes a notice from this daemon's own response.
 *
 * Of two notices whose order is not certain, the stricter one holds.
 *
 * Return: whether the limit in force has changed.
 */
bool PsServerLimit_AddNotice(ps_server_limit_t *limit,
                             const ps_limit_notice_t *notice, int64_t now_ms);

/**
 * PsServerLimit_MergeNotice() - Likewise, from another daemon.
 */
bool PsServerLimit_MergeNotice(ps_server_limit_t *limit,
                               const ps_limit_notice_t *notice,
                               int64_t now_ms);

bool PsServerLimit_IsLimited(const ps_server_limit_t *limit);

/**
 * PsServerLimit_IsTold() - Tells whether other daemons are to hear of it: of a
 * limit in force, or of one that has ended lately.
 */
bool PsServerLimit_IsTold(const ps_server_limit_t *limit, int64_t now_ms);

/**
 * PsServerLimit_SetDaemons() - Sets how many daemons take turns.
 * @n_daemons: 0: not known yet, so that nothing is sent without permits
 * @daemon_index: this daemon's index among them, from 0
 */
void PsServerLimit_SetDaemons(ps_server_limit_t *limit, int n_daemons,
                              int daemon_index, int64_t now_ms);

/**
 * PsServerLimit_NoteReport() - Notes what the report of a round says.
 */
void PsServerLimit_NoteReport(ps_server_limit_t *limit, uint64_t round);

/**
 * PsServerLimit_Permit() - Sets how many requests may be sent beyond those of
 * the report of a round, one of the last PS_SERVER_LIMIT_ROUNDS.
 */
void PsServerLimit_Permit(ps_server_limit_t *limit, uint64_t round, uint64_t n,
                          int64_t now_ms);

/**
 * PsServerLimit_MayStart() - Tells whether a request may be sent now.
 */
bool PsServerLimit_MayStart(const ps_server_limit_t *limit, int64_t now_ms);

/**
 * PsServerLimit_CountStart() - Counts a request that is sent.
 */
void PsServerLimit_CountStart(ps_server_limit_t *limit, int64_t now_ms);

/**
 * PsServerLimit_GetShare() - Returns this daemon's even part of the rate, in
 * requests a second.
 */
double PsServerLimit_GetShare(const ps_server_limit_t *limit);

#endif
