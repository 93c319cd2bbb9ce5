/*
 * slot_order.h - In which order the allocator hands out free slots.
 *
 * Without learned servers, the server with the largest part of its slots free
 * comes first. With them, the one with the lowest predicted time, to which
 * its load adds; slots beyond a server's learned limit are handed out only to
 * requests that wait and that no server within its limit takes, and slots at
 * slow servers are not spread in advance while faster ones are left. Does no
 * I/O; all times are passed in.
 */
#ifndef PS_SLOT_ORDER_H
#define PS_SLOT_ORDER_H

#include "server_models.h"

/**
 * struct ps_slot_count - Number of slots or requests at one server.
 */
typedef struct ps_slot_count {
    uint32_t server; /* hash of its name */
    int count;
} ps_slot_count_t;

/**
 * PsSlotCounts_Find() - Returns a server's number in an array of
 * ps_slot_count_t; NULL: it has none.
 */
int *PsSlotCounts_Find(GArray *counts, uint32_t server);

/**
 * PsSlotCounts_Add() - Adds one to a server's number.
 */
void PsSlotCounts_Add(GArray *counts, uint32_t server);

/**
 * struct ps_ordered_server - One server in a division.
 */
typedef struct ps_ordered_server {
    uint32_t server;              /* hash of its name */
    int slots;                    /* that may be granted in all */
    int running;                  /* requests of all daemons */
    int n_free;                   /* free slots before any was handed out */
    ps_learned_server_t *learned; /* NULL: not learned */
    double base_ms;  /* predicted for a usual request, the first one there */
    double slope_ms; /* that each further request adds */
    int withheld;    /* free slots that are not handed out now */
} ps_ordered_server_t;

/**
 * struct ps_slot_order - The servers of one service in one division.
 */
typedef struct ps_slot_order {
    ps_ordered_server_t *servers;
    int n;
    bool is_learned; /* the predicted times are set */
    bool are_most_known;
    int trial; /* index of a slow server that may have a trial; -1: none */
    bool is_last_rank; /* slots are being given to the last rank in which
                          requests wait: one of them may be the trial */
} ps_slot_order_t;

/**
 * PsSlotOrder_Init() - Starts a division.
 * @slots: of each server
 * @n: number of servers; the user sets how many requests run at each
 */
void PsSlotOrder_Init(ps_slot_order_t *order, const ps_slot_count_t *slots,
                      int n);
void PsSlotOrder_Finish(ps_slot_order_t *order);

/**
 * PsSlotOrder_Predict() - Predicts times from the models, and notes there how
 * many requests run.
 */
void PsSlotOrder_Predict(ps_slot_order_t *order,
                         const ps_server_models_t *models, int64_t now_ms);

/**
 * PsSlotOrder_Withhold() - Takes the free slots beyond each server's limit
 * out of @free_slots, of which none was handed out yet.
 */
void PsSlotOrder_Withhold(ps_slot_order_t *order, int *free_slots);

/**
 * PsSlotOrder_Release() - Puts the withheld slots up to each server's capacity
 * back, for requests that still wait.
 *
 * Return: whether there were any.
 */
bool PsSlotOrder_Release(ps_slot_order_t *order, int *free_slots);

/**
 * PsSlotOrder_LimitSpare() - Takes out of @free_slots what is not to be
 * spread in advance: beyond limits, and at slow servers while faster ones
 * have slots left.
 * @n_daemons: among which the rest is spread
 */
void PsSlotOrder_LimitSpare(ps_slot_order_t *order, int *free_slots,
                            int n_daemons);

/**
 * PsSlotOrder_NoteStates() - Notes in the learned servers what decides about
 * their slots, for operators.
 */
void PsSlotOrder_NoteStates(const ps_slot_order_t *order);

/**
 * PsSlotOrder_TakeSpareTrial() - Returns the index of the slow server for
 * which one daemon is to get a slot and no other spare ones, so that its next
 * request is the trial; -1: none. To be called after
 * PsSlotOrder_LimitSpare().
 */
int PsSlotOrder_TakeSpareTrial(const ps_slot_order_t *order);

/**
 * PsSlotOrder_WeighSlots() - Moves slots of plain servers, which are granted
 * several times over, from slow ones to fast ones; their sum stays.
 * @slots: of each server
 */
void PsSlotOrder_WeighSlots(const ps_server_models_t *models,
                            ps_slot_count_t *slots, int n);

/**
 * PsSlotOrder_FindBest() - Returns the index of the server whose free slot is
 * handed out next; -1: none is free.
 */
int PsSlotOrder_FindBest(const ps_slot_order_t *order, const int *free_slots);

#endif
