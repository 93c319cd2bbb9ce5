/*
 * memory_budget.h - Bytes held for the requests and answers of this process.
 *
 * One budget, derived from the process's memory limit, for all bodies of
 * requests and unsent bytes of answers. Load pattern: many callers or servers
 * that read slowly, large bodies, and servers that send without end. Does no
 * I/O.
 */
#ifndef PS_MEMORY_BUDGET_H
#define PS_MEMORY_BUDGET_H

#include <stdbool.h>
#include <stddef.h>

/**
 * enum ps_memory_use - What bytes are held for.
 */
typedef enum ps_memory_use {
    PS_MEMORY_REQUEST_BODY, /* received from a caller or another daemon */
    PS_MEMORY_ANSWER,       /* received from a server, not sent yet */
    PS_MEMORY_USES          /* their number */
} ps_memory_use_t;

/**
 * struct ps_memory_budget - Bytes held and their limit.
 */
typedef struct ps_memory_budget {
    size_t limit; /* bytes of all uses */
    size_t held[PS_MEMORY_USES];
} ps_memory_budget_t;

/**
 * PsMemoryBudget_Init() - Sets the budget.
 * @memory_mb: limit of the process's memory, in MiB; 0: not known
 */
void PsMemoryBudget_Init(ps_memory_budget_t *budget, double memory_mb);

/**
 * PsMemoryBudget_Change() - Counts bytes that are held from now on, or, if
 * negative, no longer.
 */
void PsMemoryBudget_Change(ps_memory_budget_t *budget, ps_memory_use_t use,
                           ptrdiff_t bytes);

/**
 * PsMemoryBudget_CanHold() - Tells whether new work with a body of this size
 * is accepted. Large bodies are refused first.
 */
bool PsMemoryBudget_CanHold(const ps_memory_budget_t *budget, size_t bytes);

#endif
