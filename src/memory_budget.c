/* memory_budget.c - Counts bytes held and derives limits from them. */
#include "memory_budget.h"

#include <glib.h>

#define MIB (1024.0 * 1024.0)

// Limit of the process's memory if the setting is missing.
#define DEFAULT_MEMORY_MB 256

// Part of the process's memory that the budget may use, less what the process
// needs without requests. The rest covers fragmentation of the heap.
#define USABLE_SHARE 0.7
#define IDLE_MEMORY_MB 14
#define USABLE_SHARE_MIN 0.25

// Bodies may use this part of the budget, and one body one part in so many of
// what is left.
#define BODY_SHARE 0.5
#define BODY_PARTS 4

// A paused server is read on when so much of the mark is free. Longer pauses
// would make servers cut answers of callers that read steadily.
#define READ_ON_BYTES ((size_t)64 * 1024)

// By level: an eighth, a quarter and a half of the budget are used. A server
// cuts answers that stay unread, so that much is buffered while there is room.
// 8 KiB is one read of the HTTP client.
static const size_t answer_marks[PS_MEMORY_LEVELS] = {1024 * 1024, 256 * 1024,
                                                      64 * 1024, 8 * 1024};
static const size_t event_maxima[PS_MEMORY_LEVELS] = {1024 * 1024, 1024 * 1024,
                                                      256 * 1024, 64 * 1024};
static const size_t field_maxima[PS_MEMORY_LEVELS] = {32 * 1024, 32 * 1024,
                                                      16 * 1024, 8 * 1024};

void
PsMemoryBudget_Init(ps_memory_budget_t *budget, double memory_mb)
{
    double memory = memory_mb > 0 ? memory_mb : DEFAULT_MEMORY_MB;
    double usable =
        MAX(memory * USABLE_SHARE - IDLE_MEMORY_MB, memory * USABLE_SHARE_MIN);
    *budget = (ps_memory_budget_t){.limit = (size_t)(usable * MIB)};
}

void
PsMemoryBudget_Set(ps_memory_budget_t *budget, ps_memory_use_t use,
                   size_t *counted, size_t bytes)
{
    if (!budget) {
        return;
    }
    g_assert(budget->held[use] >= *counted);
    budget->held[use] += bytes - *counted;
    *counted = bytes;
    budget->most_held = MAX(budget->most_held, PsMemoryBudget_GetHeld(budget));
}

size_t
PsMemoryBudget_GetHeld(const ps_memory_budget_t *budget)
{
    size_t sum = 0;
    for (int i = 0; i < PS_MEMORY_USES; i++) {
        sum += budget->held[i];
    }
    return sum;
}

static size_t
get_body_limit(const ps_memory_budget_t *budget)
{
    return (size_t)((double)budget->limit * BODY_SHARE);
}

bool
PsMemoryBudget_CanHold(const ps_memory_budget_t *budget, size_t bytes)
{
    size_t held = PsMemoryBudget_GetHeld(budget);
    size_t held_bodies = budget->held[PS_MEMORY_REQUEST_BODY];
    size_t body_limit = get_body_limit(budget);
    if (held >= budget->limit || bytes == 0) {
        return held < budget->limit;
    }
    size_t left =
        MIN(budget->limit - held, body_limit - MIN(body_limit, held_bodies));
    return bytes <= left / BODY_PARTS;
}

bool
PsMemoryBudget_CanEverHold(const ps_memory_budget_t *budget, size_t bytes)
{
    return bytes <= get_body_limit(budget) / BODY_PARTS;
}

int
PsMemoryBudget_GetLevel(const ps_memory_budget_t *budget)
{
    size_t held = PsMemoryBudget_GetHeld(budget);
    int level = 0;
    while (level < PS_MEMORY_LEVELS - 1 &&
           held >= budget->limit >> (PS_MEMORY_LEVELS - 1 - level)) {
        level++;
    }
    return level;
}

size_t
PsMemoryBudget_GetAnswerMark(const ps_memory_budget_t *budget)
{
    return answer_marks[PsMemoryBudget_GetLevel(budget)];
}

size_t
PsMemoryBudget_GetLowMark(size_t mark)
{
    return MAX(mark / 2, mark - MIN(mark, READ_ON_BYTES));
}

size_t
PsMemoryBudget_GetEventMax(const ps_memory_budget_t *budget)
{
    return event_maxima[PsMemoryBudget_GetLevel(budget)];
}

size_t
PsMemoryBudget_GetFieldsMax(const ps_memory_budget_t *budget)
{
    return field_maxima[budget ? PsMemoryBudget_GetLevel(budget) : 0];
}
