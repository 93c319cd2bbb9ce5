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
 * enum ps_slot_state - What decides about a server's slots.
 */
typedef enum ps_slot_state {
    PS_SLOTS_OPEN,    /* free slots within its limit */
    PS_SLOTS_NEW,     /* not known yet: few requests at a time */
    PS_SLOTS_LIMITED, /* it runs as many as its limit or more: only requests
                          that no other server takes */
    PS_SLOTS_FULL,    /* it runs as many as its capacity */
    PS_SLOTS_SLOW,    /* only requests that no fast server takes, and trials
                       */
    PS_SLOTS_ON_TRIAL /* slow, and a slot for a trial is handed out */
} ps_slot_state_t;

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
    int64_t next_trial_ms; /* of a slow server without requests; 0: none */
    int64_t trial_interval_ms; /* until the one after that */
    bool is_on_trial;          /* a slot for a trial has been handed out */
    uint32_t n_trials;
    ps_server_pace_t told; /* as last told */
    int64_t told_ms;       /* 0: never */
    uint64_t told_version; /* of @told, among all servers */
    int running;           /* requests of all daemons, by the last round */
    ps_slot_state_t state; /* likewise */
    ps_slot_state_t logged_state; /* for the user's log */
    int logged_limit;
    int64_t logged_ms; /* 0: never */
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
 * PsSlotState_GetName() - Returns a state's name in logs.
 */
const char *PsSlotState_GetName(ps_slot_state_t state);

/**
 * PsLearnedServer_TakeLogTurn() - Tells whether a line about a server is to
 * be logged now: it has become slow or fast, its limit has
 * changed, or it was not logged lately. Only the allocator logs.
 */
bool PsLearnedServer_TakeLogTurn(ps_learned_server_t *server, int64_t now_ms);

/**
 * struct ps_server_counts - Numbers of servers, for metrics.
 */
typedef struct ps_server_counts {
    int known;
    int slow;
    int limited; /* their limit is below their slots */
    uint64_t trials;
} ps_server_counts_t;

ps_server_counts_t PsServerModels_Count(const ps_server_models_t *models);

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
