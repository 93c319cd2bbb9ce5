/*
 * request.h - A request as a pool owner sees it, and how a dispatch ended.
 */
#ifndef PS_REQUEST_H
#define PS_REQUEST_H

#include "str.h"

#define PS_BLOCK_BYTES 1024     /* prompt bytes in one prefix block */
#define PS_BLOCKS_MAX 64        /* prefix blocks named in one request */
#define PS_BYTES_PER_TOKEN 4    /* prompt bytes counted as one token */
#define PS_TOKENS_PER_BLOCK 256 /* a block by PS_BYTES_PER_TOKEN */

/**
 * struct ps_grant_request - One request that needs a grant.
 *
 * Times are absolute, in milliseconds of the receiver's monotonic clock.
 */
typedef struct ps_grant_request {
    ps_name_t ticket; /* unique; made by the entry */
    ps_name_t entry;  /* daemon that holds the caller */
    ps_name_t id;     /* team and Idempotency-Key; empty without key */
    ps_name_t team;
    ps_name_t rule;
    ps_name_t model;
    int tier;
    uint32_t attempt;       /* grows when the entry asks anew */
    int64_t deadline_ms;    /* whole answer */
    int64_t first_token_ms; /* first token; 0: no bound */
    uint32_t prompt_tokens;
    uint32_t max_tokens; /* 0: not given */
    bool idempotent;
    uint64_t content_hash; /* of path and body; 0: none */
    uint32_t n_blocks;
    uint64_t blocks[PS_BLOCKS_MAX]; /* chained hashes of prompt blocks */
} ps_grant_request_t;

/**
 * enum ps_outcome - How a grant ended at the entry.
 */
typedef enum ps_outcome {
    PS_OUTCOME_RUNNING,   /* not ended */
    PS_OUTCOME_COMPLETE,  /* the whole answer was received */
    PS_OUTCOME_NOT_SENT,  /* not dispatched; nothing said of the server */
    PS_OUTCOME_REFUSED,   /* not dispatched: connection refused */
    PS_OUTCOME_BROKEN,    /* dispatched; the connection broke */
    PS_OUTCOME_CANCELLED, /* dispatched, then cancelled */
    PS_OUTCOME_LOST,      /* dispatched; the stream could not be resumed */
    PS_OUTCOME_ORPHANED   /* dispatched and running, its caller has left */
} ps_outcome_t;

/**
 * struct ps_dispatch_result - An entry's report of an ended dispatch.
 */
typedef struct ps_dispatch_result {
    ps_outcome_t outcome;
    int64_t first_token_ms; /* from dispatch; 0: none seen */
    int64_t total_ms;       /* from dispatch */
    uint32_t output_tokens;
} ps_dispatch_result_t;

/**
 * enum ps_ran - What is known of whether a request ran.
 */
typedef enum ps_ran { PS_RAN_NO, PS_RAN_YES, PS_RAN_UNKNOWN } ps_ran_t;

/**
 * struct ps_refusal - Final answer to a request that is not served.
 */
typedef struct ps_refusal {
    const char *code; /* stable code, static text */
    ps_ran_t ran;
    int64_t retry_after_ms; /* 0: coming back does not help */
} ps_refusal_t;

/**
 * PsGrantRequest_HashPrompt() - Names the prefix blocks of a prompt.
 * @ask: its n_blocks and blocks are set; each hash covers all bytes before
 * @prompt: bytes of the prompt
 */
void PsGrantRequest_HashPrompt(ps_grant_request_t *ask, ps_str_t prompt);

const char *PsOutcome_Name(ps_outcome_t outcome);
const char *PsRan_Name(ps_ran_t ran);
ps_ran_t PsRan_FromName(const char *name); /* unknown for other words */

#endif
