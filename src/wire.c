/* wire.c - Converts between protobuf messages and the scheduler's types. */
#include "wire.h"

/* ---- Internal functions ----------------------------------------------- */

// Sends any message: the frame's message pointers share one union, so @message
// is set through one of them.
static void
send_message(ps_peers_t *peers, const ps_name_t *to,
             Ps__Frame__BodyCase body_case, void *message)
{
    Ps__Frame frame = PS__FRAME__INIT;
    frame.body_case = body_case;
    frame.ask = message;
    PsPeers_Send(peers, to, &frame);
}

// Protobuf-c declares strings as mutable, but does not change them.
static char *
get_mutable_text(const ps_name_t *name)
{
    return (char *)(uintptr_t)name->data;
}

static Ps__Ask
build_ask(const ps_grant_request_t *request, const ps_name_t *pool,
          int64_t now_ms)
{
    Ps__Ask message = PS__ASK__INIT;
    message.pool = get_mutable_text(pool);
    message.ticket = get_mutable_text(&request->ticket);
    message.id = get_mutable_text(&request->id);
    message.team = get_mutable_text(&request->team);
    message.rule = get_mutable_text(&request->rule);
    message.model = get_mutable_text(&request->model);
    message.tier = (uint32_t)request->tier;
    message.attempt = request->attempt;
    message.deadline_in_ms = request->deadline_ms - now_ms;
    // 0 means no first-token deadline, so one that has passed is sent as 1.
    message.first_token_in_ms = request->first_token_ms > 0
                                    ? MAX(request->first_token_ms - now_ms, 1)
                                    : 0;
    message.prompt_tokens = request->prompt_tokens;
    message.max_tokens = request->max_tokens;
    message.idempotent = request->idempotent;
    message.content_hash = request->content_hash;
    message.n_blocks = request->n_blocks;
    message.blocks = (uint64_t *)(uintptr_t)request->blocks;
    return message;
}

/* ---- From an entry to an owner ---------------------------------------- */

void
PsWire_SendAsk(ps_peers_t *peers, const ps_name_t *to, const ps_call_t *call,
               int64_t now_ms)
{
    Ps__Ask message = build_ask(&call->request, &call->pool, now_ms);
    send_message(peers, to, PS__FRAME__BODY_ASK, &message);
}

void
PsWire_SendDone(ps_peers_t *peers, const ps_name_t *to,
                const ps_ended_dispatch_t *ended)
{
    Ps__Done message = PS__DONE__INIT;
    message.pool = get_mutable_text(&ended->pool);
    message.ticket = get_mutable_text(&ended->ticket);
    message.id = get_mutable_text(&ended->id);
    message.token = get_mutable_text(&ended->token);
    message.outcome = ended->result.outcome;
    message.first_token_ms = ended->result.first_token_ms;
    message.total_ms = ended->result.total_ms;
    message.output_tokens = ended->result.output_tokens;
    send_message(peers, to, PS__FRAME__BODY_DONE, &message);
}

void
PsWire_SendWithdraw(ps_peers_t *peers, const ps_name_t *to,
                    const ps_call_t *call)
{
    Ps__Withdraw message = PS__WITHDRAW__INIT;
    message.pool = get_mutable_text(&call->pool);
    message.ticket = get_mutable_text(&call->request.ticket);
    message.id = get_mutable_text(&call->request.id);
    send_message(peers, to, PS__FRAME__BODY_WITHDRAW, &message);
}

void
PsWire_SendRecoverAnswer(ps_peers_t *peers, const ps_name_t *to,
                         const ps_name_t *pool, uint64_t epoch,
                         const ps_dispatch_t *dispatches, int n,
                         int64_t now_ms)
{
    Ps__RecoverAnswer message = PS__RECOVER_ANSWER__INIT;
    Ps__Dispatch *dispatch_messages = g_new0(Ps__Dispatch, (gsize)n + 1);
    Ps__Ask *ask_messages = g_new0(Ps__Ask, (gsize)n + 1);
    Ps__Dispatch **list = g_new0(Ps__Dispatch *, (gsize)n + 1);
    for (int i = 0; i < n; i++) {
        ps__dispatch__init(&dispatch_messages[i]);
        ask_messages[i] = build_ask(&dispatches[i].request, pool, now_ms);
        dispatch_messages[i].ask = &ask_messages[i];
        dispatch_messages[i].server = get_mutable_text(&dispatches[i].server);
        dispatch_messages[i].token = get_mutable_text(&dispatches[i].token);
        dispatch_messages[i].outcome = dispatches[i].outcome;
        dispatch_messages[i].age_ms = dispatches[i].age_ms;
        list[i] = &dispatch_messages[i];
    }
    message.pool = get_mutable_text(pool);
    message.epoch = epoch;
    message.n_dispatches = (size_t)n;
    message.dispatches = list;
    send_message(peers, to, PS__FRAME__BODY_RECOVER_ANSWER, &message);
    g_free(list);
    g_free(ask_messages);
    g_free(dispatch_messages);
}

/* ---- From an owner to an entry ---------------------------------------- */

void
PsWire_SendAnswer(ps_peers_t *peers, const ps_name_t *to,
                  const ps_answer_t *answer)
{
    Ps__Answer message = PS__ANSWER__INIT;
    message.pool = get_mutable_text(&answer->pool);
    message.epoch = answer->epoch;
    message.ticket = get_mutable_text(&answer->ticket);
    message.attempt = answer->attempt;
    message.verdict = (Ps__Answer__Verdict)answer->verdict;
    message.server = get_mutable_text(&answer->server);
    message.address = get_mutable_text(&answer->address);
    message.token = get_mutable_text(&answer->token);
    message.code = get_mutable_text(&answer->code);
    message.ran = (char *)(uintptr_t)PsRan_Name(answer->ran);
    message.retry_after_ms = answer->retry_after_ms;
    message.reason = get_mutable_text(&answer->reason);
    send_message(peers, to, PS__FRAME__BODY_ANSWER, &message);
}

void
PsWire_SendDoneAck(ps_peers_t *peers, const ps_name_t *to,
                   const Ps__Done *done)
{
    Ps__DoneAck message = PS__DONE_ACK__INIT;
    message.pool = done->pool;
    message.ticket = done->ticket;
    message.token = done->token;
    message.outcome = done->outcome;
    send_message(peers, to, PS__FRAME__BODY_DONE_ACK, &message);
}

void
PsWire_SendCancel(ps_peers_t *peers, const ps_name_t *to,
                  const ps_name_t *pool, uint64_t epoch,
                  const ps_name_t *ticket, const char *reason)
{
    Ps__Cancel message = PS__CANCEL__INIT;
    message.pool = get_mutable_text(pool);
    message.epoch = epoch;
    message.ticket = get_mutable_text(ticket);
    message.reason = (char *)(uintptr_t)reason;
    send_message(peers, to, PS__FRAME__BODY_CANCEL, &message);
}

void
PsWire_SendRecoverAsk(ps_peers_t *peers, const ps_name_t *to,
                      const ps_name_t *pool, uint64_t epoch)
{
    Ps__RecoverAsk message = PS__RECOVER_ASK__INIT;
    message.pool = get_mutable_text(pool);
    message.epoch = epoch;
    send_message(peers, to, PS__FRAME__BODY_RECOVER_ASK, &message);
}

/* ---- Between any two daemons ------------------------------------------ */

void
PsWire_SendConfigFetch(ps_peers_t *peers, const ps_name_t *to,
                       uint64_t newer_than)
{
    Ps__ConfigFetch message = PS__CONFIG_FETCH__INIT;
    message.newer_than = newer_than;
    send_message(peers, to, PS__FRAME__BODY_CONFIG_FETCH, &message);
}

void
PsWire_SendConfig(ps_peers_t *peers, const ps_name_t *to,
                  const ps_config_t *config)
{
    Ps__Config message = PS__CONFIG__INIT;
    message.version = config->version;
    message.text = config->text;
    send_message(peers, to, PS__FRAME__BODY_CONFIG, &message);
}

/* ---- Received messages ------------------------------------------------ */

ps_grant_request_t
PsWire_ParseAsk(const Ps__Ask *message, const ps_name_t *from, int64_t now_ms)
{
    ps_grant_request_t request = {
        .ticket = PsName_FromC(message->ticket),
        .entry = *from,
        .id = PsName_FromC(message->id),
        .team = PsName_FromC(message->team),
        .rule = PsName_FromC(message->rule),
        .model = PsName_FromC(message->model),
        .tier = (int)MIN(message->tier, (uint32_t)PS_TIERS_MAX - 1),
        .attempt = message->attempt,
        .deadline_ms = now_ms + message->deadline_in_ms,
        .prompt_tokens = message->prompt_tokens,
        .max_tokens = message->max_tokens,
        .idempotent = message->idempotent,
        .content_hash = message->content_hash,
        .n_blocks = (uint32_t)MIN(message->n_blocks, (size_t)PS_BLOCKS_MAX),
    };
    if (message->first_token_in_ms > 0) {
        request.first_token_ms = now_ms + message->first_token_in_ms;
    }
    for (uint32_t i = 0; i < request.n_blocks; i++) {
        request.blocks[i] = message->blocks[i];
    }
    return request;
}

ps_answer_t
PsWire_ParseAnswer(const Ps__Answer *message)
{
    return (ps_answer_t){
        .pool = PsName_FromC(message->pool),
        .epoch = message->epoch,
        .ticket = PsName_FromC(message->ticket),
        .attempt = message->attempt,
        .verdict = (ps_verdict_t)message->verdict,
        .server = PsName_FromC(message->server),
        .address = PsName_FromC(message->address),
        .token = PsName_FromC(message->token),
        .code = PsName_FromC(message->code),
        .ran = PsRan_FromName(message->ran),
        .retry_after_ms = message->retry_after_ms,
        .reason = PsName_FromC(message->reason),
    };
}

ps_dispatch_result_t
PsWire_ParseDone(const Ps__Done *message)
{
    return (ps_dispatch_result_t){
        .outcome =
            (ps_outcome_t)MIN(message->outcome, (uint32_t)PS_OUTCOME_ORPHANED),
        .first_token_ms = message->first_token_ms,
        .total_ms = message->total_ms,
        .output_tokens = message->output_tokens,
    };
}

ps_dispatch_t *
PsWire_ParseRecoverAnswer(const Ps__RecoverAnswer *message,
                          const ps_name_t *from, int64_t now_ms)
{
    ps_dispatch_t *dispatches =
        g_new0(ps_dispatch_t, message->n_dispatches + 1);
    for (size_t i = 0; i < message->n_dispatches; i++) {
        const Ps__Dispatch *item = message->dispatches[i];
        if (item->ask) {
            dispatches[i].request = PsWire_ParseAsk(item->ask, from, now_ms);
        }
        dispatches[i].server = PsName_FromC(item->server);
        dispatches[i].token = PsName_FromC(item->token);
        dispatches[i].outcome =
            (ps_outcome_t)MIN(item->outcome, (uint32_t)PS_OUTCOME_ORPHANED);
        dispatches[i].age_ms = item->age_ms;
    }
    return dispatches;
}
