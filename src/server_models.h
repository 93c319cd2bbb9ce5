/*
 * server_models.h - Models of all backend servers, at the allocator.
 *
 * Adds up the samples that daemons report and decides which paces are told to
 * daemons: those that have changed by more than a tenth, and each of them
 * again from time to time, as a grant may be lost. Empty unless learned limits
 * are switched on. Does no I/O; all times are passed in.
 */
#ifndef PS_SERVER_MODELS_H
#define PS_SERVER_MODELS_H

#include <glib.h>

#include "server_model.h"

/**
 * struct ps_learned_server - One server.
 */
typedef struct ps_learned_server {
    ps_server_model_t model;
    int64_t started_ms;    /* Unix time of the server's start */
    int slots;             /* that it has registered */
    bool is_engine;        /* false: its limit has no effect */
    bool is_slow;          /* much slower than the fast ones of its service, by
                              the last round */
    int64_t added_ms;      /* when this start of it became known here */
    int64_t trial_ms;      /* when it last had a slot for a trial; 0: never */
    uint32_t n_trials;     /* of these */
    ps_server_pace_t told; /* as last told */
    int64_t told_ms;       /* 0: never */
    uint64_t told_version; /* of @told, among all servers */
    int64_t logged_ms;     /* for the user's log */
    int logged_limit;
    bool was_logged_slow;
} ps_learned_server_t;

/**
 * struct ps_server_models - All servers.
 */
typedef struct ps_server_models {
    bool is_enabled;       /* set by the user; false: nothing is kept */
    GHashTable *by_server; /* hash of a server's name to ps_learned_server_t */
    uint64_t last_version; /* of a told pace */
} ps_server_models_t;

void PsServerModels_Init(ps_server_models_t *models);
void PsServerModels_Finish(ps_server_models_t *models);

/**
 * PsServerModels_Set() - Adds a server, or sets what it has registered. One
 * that has started again is learned anew.
 * @server: hash of its name
 *
 * Return: the server, owned by the models; NULL if they are not enabled.
 */
ps_learned_server_t *PsServerModels_Set(ps_server_models_t *models,
                                        uint32_t server, int64_t started_ms,
                                        int slots, bool is_engine,
                                        int64_t now_ms);

/**
 * PsServerModels_Find() - Returns a server; NULL if it is not known.
 */
ps_learned_server_t *PsServerModels_Find(const ps_server_models_t *models,
                                         uint32_t server);
void PsServerModels_Remove(ps_server_models_t *models, uint32_t server);

/**
 * PsLearnedServer_Seed() - Sets a pace that another allocator has told, to be
 * used until there are samples.
 */
void PsLearnedServer_Seed(ps_learned_server_t *server,
                          const ps_server_pace_t *pace);

/**
 * PsServerModels_UpdateTold() - Decides whether a server's pace is to be told
 * again. To be called once in a round.
 */
void PsServerModels_UpdateTold(ps_server_models_t *models,
                               ps_learned_server_t *server, int64_t now_ms);

#endif
