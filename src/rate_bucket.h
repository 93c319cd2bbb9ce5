/*
 * rate_bucket.h - Token bucket: how many requests a rate allows now.
 *
 * Requests are counted when they are reported, after they were sent. The
 * bucket may therefore be overdrawn for a moment; what is missing is made up
 * for before more is allowed. In any time t, at most rate x t + burst requests
 * and those overdrawn are allowed. Does no I/O; all times are passed in.
 */
#ifndef PS_RATE_BUCKET_H
#define PS_RATE_BUCKET_H

#include <stdint.h>

/**
 * struct ps_rate_bucket - A token for each request that is allowed now.
 */
typedef struct ps_rate_bucket {
    double rate;   /* tokens a second */
    double tokens; /* negative when overdrawn */
    int64_t at_ms; /* time for which @tokens holds */
} ps_rate_bucket_t;

/**
 * PsRateBucket_Init() - Initializes an empty bucket.
 * @rate: tokens a second
 */
void PsRateBucket_Init(ps_rate_bucket_t *bucket, double rate, int64_t now_ms);

/**
 * PsRateBucket_SetRate() - Changes the rate from now on.
 */
void PsRateBucket_SetRate(ps_rate_bucket_t *bucket, double rate,
                          int64_t now_ms);

/**
 * PsRateBucket_Charge() - Counts requests that were sent.
 */
void PsRateBucket_Charge(ps_rate_bucket_t *bucket, double n, int64_t now_ms);

/**
 * PsRateBucket_CountAllowed() - Returns how many requests may be sent now.
 */
int PsRateBucket_CountAllowed(ps_rate_bucket_t *bucket, int64_t now_ms);

#endif
