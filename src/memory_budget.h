/*
 * memory_budget.h - Bytes held for the requests and answers of this process.
 *
 * One budget, derived from the process's memory limit, for all bodies of
 * requests, unsent bytes of answers and what else an open request needs. Load
 * pattern: many callers or servers that read slowly, large bodies, and servers
 * that send without end. Does no I/O.
 */
#ifndef PS_MEMORY_BUDGET_H
#define PS_MEMORY_BUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * enum ps_memory_use - What bytes are held for.
 */
typedef enum ps_memory_use {
    PS_MEMORY_REQUEST_BODY, /* received from a caller or another daemon, or
                               announced by its Content-Length */
    PS_MEMORY_ANSWER,       /* received from a server, not sent yet, and all
                               lines of its heads and trailer */
    PS_MEMORY_OVERHEAD,     /* of open requests: buffers of the libraries */
    PS_MEMORY_USES          /* their number */
} ps_memory_use_t;

#define PS_MEMORY_LEVELS 4

/**
 * struct ps_memory_budget - Bytes held and their limit.
 */
typedef struct ps_memory_budget {
    size_t limit; /* bytes of all uses */
    size_t held[PS_MEMORY_USES];
    size_t most_held;   /* at a time, of all uses */
    size_t recent_peak; /* likewise; lowered by the user */
    uint64_t n_refused; /* requests that were not accepted */
} ps_memory_budget_t;

/**
 * PsMemoryBudget_Init() - Sets the budget.
 * @memory_mb: limit of the process's memory, in MiB; 0: not known
 */
void PsMemoryBudget_Init(ps_memory_budget_t *budget, double memory_mb);

/**
 * PsMemoryBudget_Set() - Changes how many bytes one holder holds.
 * @budget: may be NULL: nothing is counted
 * @counted: the holder's bytes as counted so far; 0 at first
 */
void PsMemoryBudget_Set(ps_memory_budget_t *budget, ps_memory_use_t use,
                        size_t *counted, size_t bytes);

/**
 * PsMemoryBudget_GetHeld() - Returns the bytes held for all uses.
 */
size_t PsMemoryBudget_GetHeld(const ps_memory_budget_t *budget);

/**
 * PsMemoryBudget_CanHold() - Tells whether new work with a body of this size
 * is accepted.
 *
 * A body may take a part of what is left only, so that large bodies are
 * refused first. Work without a body is refused when nothing is left.
 */
bool PsMemoryBudget_CanHold(const ps_memory_budget_t *budget, size_t bytes);

/**
 * PsMemoryBudget_CanEverHold() - Tells whether a body of this size would be
 * accepted if nothing else was held.
 */
bool PsMemoryBudget_CanEverHold(const ps_memory_budget_t *budget,
                                size_t bytes);

/**
 * PsMemoryBudget_GetLevel() - Returns how much of the budget is used, from 0
 * to PS_MEMORY_LEVELS - 1.
 */
int PsMemoryBudget_GetLevel(const ps_memory_budget_t *budget);

/**
 * PsMemoryBudget_GetAnswerMark() - Returns for how many unsent bytes of one
 * answer its server is read on. It is lower when more of the budget is used.
 */
size_t PsMemoryBudget_GetAnswerMark(const ps_memory_budget_t *budget);

/**
 * PsMemoryBudget_GetLowMark() - Returns at how many unsent bytes a paused
 * server is read on.
 * @mark: above which it was paused
 */
size_t PsMemoryBudget_GetLowMark(size_t mark);

/**
 * PsMemoryBudget_GetEventMax() - Returns the largest event of a stream. It is
 * lower when more of the budget is used, as an event is held until it is
 * whole.
 */
size_t PsMemoryBudget_GetEventMax(const ps_memory_budget_t *budget);

/**
 * PsMemoryBudget_GetFieldsMax() - Returns the most bytes that the lines of one
 * answer may take: its head, interim ones and trailer fields. It is lower when
 * more of the budget is used, as all lines are held until the answer ends.
 * @budget: NULL: nothing is counted
 */
size_t PsMemoryBudget_GetFieldsMax(const ps_memory_budget_t *budget);

#endif
