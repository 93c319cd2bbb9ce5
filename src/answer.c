/* answer.c - Decisions on answers of servers. */
#include "answer.h"

// A server cuts an answer that stays unread for some seconds. A loss after a
// pause at least this long is not counted against it.
#define OWN_PAUSE_MS 500

// Most bytes of an answer, by what is done with it: one that the caller gets,
// one with a status of 500 or higher, and one that nobody gets.
#define BYTES_MAX ((uint64_t)4 * 1024 * 1024 * 1024)
#define FAILURE_BYTES_MAX ((uint64_t)16 * 1024 * 1024)
#define DROPPED_BYTES_MAX ((uint64_t)64 * 1024)

bool
PsAnswer_PromisesNotRun(long status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

ps_answer_handling_t
PsAnswer_Choose(const ps_answer_head_t *head)
{
    if (head->reply != PS_REPLY_ANSWER) {
        return PS_ANSWER_DROP;
    }
    if (head->is_stream_route && head->status == 200) {
        return PS_ANSWER_EVENTS;
    }
    if (head->is_relaying || PsAnswer_PromisesNotRun(head->status)) {
        return PS_ANSWER_DROP;
    }
    return head->may_retry ? PS_ANSWER_HOLD : PS_ANSWER_PASS;
}

bool
PsAnswer_IsOwnCut(ps_transfer_result_t result, bool is_aborted,
                  int64_t longest_pause_ms)
{
    return result == PS_TRANSFER_INCOMPLETE && !is_aborted &&
           longest_pause_ms >= OWN_PAUSE_MS;
}

static ps_task_result_t
get_task_result(const ps_answer_facts_t *facts, bool is_complete)
{
    if (facts->result == PS_TRANSFER_NOT_SENT) {
        return PS_TASK_UNREACHABLE;
    }
    if (facts->has_head && facts->reply == PS_REPLY_NOT_RUN) {
        return facts->is_server_asking_pause ? PS_TASK_PAUSED
                                             : PS_TASK_REJECTED;
    }
    if (facts->has_head && facts->reply == PS_REPLY_WRONG_SERVER) {
        return PS_TASK_WRONG_SERVER;
    }
    if (is_complete && facts->status < 500 &&
        !PsAnswer_PromisesNotRun(facts->status)) {
        return PS_TASK_SUCCEEDED;
    }
    return PsAnswer_IsOwnCut(facts->result, facts->is_aborted,
                             facts->longest_pause_ms)
               ? PS_TASK_CANCELLED
               : PS_TASK_FAILED;
}

static ps_answer_cut_t
get_cut(const ps_answer_facts_t *facts)
{
    if (facts->is_too_long) {
        return PS_ANSWER_CUT_TOO_LONG;
    }
    return PsAnswer_IsOwnCut(facts->result, facts->is_aborted,
                             facts->longest_pause_ms)
               ? PS_ANSWER_CUT_UNREAD
               : PS_ANSWER_CUT_SERVER;
}

ps_answer_verdict_t
PsAnswer_Judge(const ps_answer_facts_t *facts)
{
    bool is_complete = facts->result == PS_TRANSFER_COMPLETE &&
                       facts->has_head && facts->reply == PS_REPLY_ANSWER;
    bool is_lost = facts->result == PS_TRANSFER_INCOMPLETE &&
                   !facts->is_aborted &&
                   (!facts->has_head || facts->reply == PS_REPLY_ANSWER);
    ps_answer_verdict_t verdict = {
        .task_result = get_task_result(facts, is_complete),
        .is_whole = is_complete && facts->handling != PS_ANSWER_DROP,
        // Of an answer that is passed on, the caller has a part that no other
        // attempt continues.
        .may_repeat =
            !(facts->is_relaying && facts->handling == PS_ANSWER_PASS),
        .cut = get_cut(facts)};
    verdict.is_lost = is_lost && verdict.task_result != PS_TASK_CANCELLED;
    return verdict;
}

uint64_t
PsAnswer_GetBytesMax(ps_answer_handling_t handling, long status)
{
    if (handling == PS_ANSWER_DROP) {
        return DROPPED_BYTES_MAX;
    }
    return status >= 500 ? FAILURE_BYTES_MAX : BYTES_MAX;
}

const char *
PsAnswer_GetCutName(ps_answer_cut_t cut)
{
    static const char *const names[PS_ANSWER_CUTS] = {
        "server failed", "unread for too long", "too long", "time is over",
        "daemon ends"};
    return names[cut];
}
