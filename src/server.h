/*
 * server.h - A backend server as its pool's owner sees it.
 *
 * What runs on it, how fast it is, which prompt blocks it has, and whether it
 * can be reached.
 */
#ifndef PS_SERVER_H
#define PS_SERVER_H

#include "config.h"
#include "prefix_cache.h"
#include "queue.h"
#include "speed.h"

/**
 * struct ps_server - A backend server as its pool's owner sees it.
 */
typedef struct ps_server {
    ps_server_config_t config;
    bool is_listed; /* in the current configuration */
    ps_speed_t speed;
    ps_prefix_cache_t prefix_cache;
    GQueue running;            /* jobs by server_link */
    int concurrency_limit;     /* learned; requests at a time */
    double batch_integral;     /* of requests at a time, over milliseconds */
    int64_t batch_integral_ms; /* time of @batch_integral */
    double prefill_end_ms; /* prompts granted so far are processed by then */
    double busy_batch;     /* mean requests at a time under backlog */
    int64_t last_activity_ms; /* last sign of work done */
    int64_t idle_since_ms;    /* since when nothing runs */
    int64_t down_until_ms;    /* refuses connections: not used until then */
    int64_t down_backoff_ms;  /* 0: up */
    int reported_running;     /* last load report; -1: none */
    int reported_waiting;
} ps_server_t;

void PsServer_Init(ps_server_t *server, int64_t now_ms);
void PsServer_Finish(ps_server_t *server);

/**
 * PsServer_UpdateBatchIntegral() - Brings the batch integral up to now.
 */
void PsServer_UpdateBatchIntegral(ps_server_t *server, int64_t now_ms);

/**
 * PsServer_UpdatePrefillEnd() - Estimates anew when the prompts in hand will
 * have been processed.
 */
void PsServer_UpdatePrefillEnd(ps_server_t *server, int64_t now_ms);

/**
 * PsServer_MarkDown() - It refuses connections: not used for a growing pause.
 */
void PsServer_MarkDown(ps_server_t *server, int64_t now_ms);

/**
 * PsServer_MarkUp() - It has given a sign of work or health.
 */
void PsServer_MarkUp(ps_server_t *server, int64_t now_ms);

/**
 * PsServer_HandleLoadReport() - Takes in a load report, which may be old: it
 * only bounds the requests at a time.
 */
void PsServer_HandleLoadReport(ps_server_t *server, int running, int waiting,
                               int64_t now_ms);

/**
 * PsServer_GetPrefilledTokens() - Estimates how many of a running request's
 * prompt tokens have been processed.
 */
uint32_t PsServer_GetPrefilledTokens(const ps_server_t *server,
                                     const ps_job_t *job, int64_t now_ms);

/**
 * PsServer_FindVictim() - Chooses the running request of a lower tier whose
 * loss wastes least, the newest among equals.
 *
 * Return: NULL when none may be taken back.
 */
ps_job_t *PsServer_FindVictim(ps_server_t *server, int tier, int64_t now_ms);

#endif
