/* rate_bucket.c - Token bucket of a rate of requests. */
#include "rate_bucket.h"

#include <glib.h>

#define BURST_S 0.25    /* seconds of the rate that the bucket holds */
#define BURST_MIN 1.0   /* tokens; a request needs a whole one */
#define OVERDRAWN_S 4.0 /* seconds of the rate that can be missing at most */

/* ---- Internal functions ----------------------------------------------- */

static void
refill(ps_rate_bucket_t *bucket, int64_t now_ms)
{
    double passed_ms = (double)MAX(now_ms - bucket->at_ms, 0);
    bucket->tokens += bucket->rate * passed_ms / 1000.0;
    bucket->tokens =
        MIN(bucket->tokens, MAX(bucket->rate * BURST_S, BURST_MIN));
    bucket->at_ms = MAX(bucket->at_ms, now_ms);
}

/* ---- Public functions ------------------------------------------------- */

void
PsRateBucket_Init(ps_rate_bucket_t *bucket, double rate, int64_t now_ms)
{
    *bucket = (ps_rate_bucket_t){.rate = rate, .at_ms = now_ms};
}

void
PsRateBucket_SetRate(ps_rate_bucket_t *bucket, double rate, int64_t now_ms)
{
    refill(bucket, now_ms);
    bucket->rate = rate;
}

void
PsRateBucket_Charge(ps_rate_bucket_t *bucket, double n, int64_t now_ms)
{
    refill(bucket, now_ms);
    bucket->tokens =
        MAX(bucket->tokens - n, -MAX(bucket->rate * OVERDRAWN_S, BURST_MIN));
}

int
PsRateBucket_CountAllowed(ps_rate_bucket_t *bucket, int64_t now_ms)
{
    refill(bucket, now_ms);
    return (int)MAX(bucket->tokens, 0.0);
}
