/*
 * request.h - Grant requests, which entries send to a pool's owner, and the
 * results of dispatches.
 *
 * The entry is the daemon that holds the caller's connection. The ticket is
 * the entry's name for the request, the token the owner's name for one
 * dispatch.
 */
#ifndef PS_REQUEST_H
#define PS_REQUEST_H

#include "str.h"

#define PS_BLOCK_BYTES 1024     /* prompt bytes in one prefix block */
#define PS_BLOCKS_MAX 64        /* prefix blocks listed in one request */
#define PS_BYTES_PER_TOKEN 4    /* estimate: prompt bytes a token */
#define PS_TOKENS_PER_BLOCK 256 /* PS_BLOCK_BYTES / PS_BYTES_PER_TOKEN */

/**
 * struct ps_grant_request - Request of an entry for a grant (message Ask).
 *
 * Times are absolute, in milliseconds of the receiver's monotonic clock.
 */
typedef struct ps_grant_request {
    ps_name_t ticket; /* unique; set by the entry */
    ps_name_t entry;  /* daemon that holds the caller's connection */
    ps_name_t id;     /* team and Idempotency-Key; empty without key */
    ps_name_t team;
    ps_name_t rule;
    ps_name_t model;
    int tier;
    uint32_t attempt;       /* counts the entry's attempts, from 1 */
    int64_t deadline_ms;    /* for the whole answer */
    int64_t first_token_ms; /* deadline of the first token; 0: none */
    uint32_t prompt_tokens;
    uint32_t max_tokens; /* 0: not given */
    bool idempotent;
    uint64_t content_hash; /* of path and body; 0: none */
    uint32_t n_blocks;
    uint64_t blocks[PS_BLOCKS_MAX]; /* each covers all bytes up to its end */
} ps_grant_request_t;

/**
 * enum ps_outcome - How a granted request ended at its entry.
 */
typedef enum ps_outcome {
    PS_OUTCOME_RUNNING,     /* has not ended */
    PS_OUTCOME_COMPLETE,    /* the whole answer was received */
    PS_OUTCOME_NOT_SENT,    /* not dispatched, without a fault of the server */
    PS_OUTCOME_UNREACHABLE, /* not dispatched: connection refused */
    PS_OUTCOME_BROKEN,      /* dispatched; the connection broke, or no answer
                               came in time */
    PS_OUTCOME_CANCELLED,   /* dispatched, then cancelled */
    PS_OUTCOME_LOST,        /* dispatched; the stream could not be resumed, or
                               another request's answer came */
    PS_OUTCOME_ORPHANED     /* still running; its caller has disconnected */
} ps_outcome_t;

/**
 * struct ps_dispatch_result - Result of a dispatch, reported by its entry.
 */
typedef struct ps_dispatch_result {
    ps_outcome_t outcome;
    int64_t first_token_ms; /* since the dispatch; 0: no token received */
    int64_t total_ms;       /* since the dispatch */
    uint32_t output_tokens;
} ps_dispatch_result_t;

/**
 * enum ps_ran - Whether a request has run at a backend server.
 */
typedef enum ps_ran { PS_RAN_NO, PS_RAN_YES, PS_RAN_UNKNOWN } ps_ran_t;

/**
 * struct ps_refusal - Final answer to a request that is not served.
 */
typedef struct ps_refusal {
    const char *code; /* part of the interface; not owned */
    ps_ran_t ran;
    int64_t retry_after_ms; /* 0: a retry does not help */
} ps_refusal_t;

/**
 * PsGrantRequest_HashPrompt() - Hashes the whole prefix blocks of a prompt.
 * @request: receives n_blocks and blocks, at most PS_BLOCKS_MAX
 * @prompt: bytes of the prompt
 *
 * Each hash covers all bytes up to the end of its block, so equal hashes mean
 * equal prefixes. A last, partial block is left out.
 */
void PsGrantRequest_HashPrompt(ps_grant_request_t *request, ps_str_t prompt);

const char *PsOutcome_Name(ps_outcome_t outcome);
const char *PsRan_Name(ps_ran_t ran);
ps_ran_t PsRan_FromName(const char *name); /* PS_RAN_UNKNOWN for others */

#endif
