/* gateway_memory.c - Logs the memory budget and returns free memory. */
#include "gateway_memory.h"

#include <malloc.h>

#include "events_log.h"

#define TRIM_MS 1500       /* between returns of free memory */
#define MEMORY_LOG_MS 1000 /* between lines on the memory's level */

// A fall by this part of the memory's limit has it returned.
#define TRIM_PART 4

/* ---- Internal functions ----------------------------------------------- */

// Logs how much of the memory budget is used when its level has changed, and
// each second while it is the highest: under such load lines may be dropped.
static void
log_memory(ps_gateway_t *gateway, int64_t now_ms)
{
    const ps_memory_budget_t *memory = &gateway->memory;
    int level = PsMemoryBudget_GetLevel(memory);
    bool is_due =
        level != gateway->memory_level || level == PS_MEMORY_LEVELS - 1;
    if (!is_due || now_ms - gateway->memory_logged_ms < MEMORY_LOG_MS) {
        return;
    }
    gateway->memory_level = level;
    gateway->memory_logged_ms = now_ms;
    PsEvents_Add(
        "memory.level", "{s:i,s:I,s:I,s:I,s:I,s:I}", "level", level,
        "request_body", (json_int_t)memory->held[PS_MEMORY_REQUEST_BODY],
        "answer", (json_int_t)memory->held[PS_MEMORY_ANSWER], "overhead",
        (json_int_t)memory->held[PS_MEMORY_OVERHEAD], "limit",
        (json_int_t)memory->limit, "refused", (json_int_t)memory->n_refused);
}

// Returns free memory to the system after a peak: the heap keeps it otherwise,
// and the next peak may need it for blocks of another size. Does so once more
// a little later, when the libraries have freed what they need no more.
static void
trim_memory(ps_gateway_t *gateway, int64_t now_ms)
{
    ps_memory_budget_t *memory = &gateway->memory;
    size_t held = PsMemoryBudget_GetHeld(memory);
    bool has_fallen = memory->recent_peak - held > memory->limit / TRIM_PART;
    if (now_ms < gateway->memory_trim_ms ||
        (!has_fallen && !gateway->must_trim_again)) {
        return;
    }
    malloc_trim(0);
    memory->recent_peak = held;
    gateway->must_trim_again = has_fallen;
    gateway->memory_trim_ms = now_ms + TRIM_MS;
}

/* ---- Public functions ------------------------------------------------- */

void
PsGatewayMemory_Run(ps_gateway_t *gateway, int64_t now_ms)
{
    log_memory(gateway, now_ms);
    trim_memory(gateway, now_ms);
}
