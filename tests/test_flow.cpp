// test_flow.cpp - Tests how answers are paced and end, and the memory budget:
// the decisions, and the HTTP server and client with slow readers.
#include <sys/wait.h>

#include <thread>

#include "kernel.hpp"
#include "loopback.hpp"

extern "C" {
#include "answer.h"
#include "http_client.h"
#include "http_server.h"
#include "memory_budget.h"
}

namespace {

const size_t kMiB = 1024 * 1024;
const int kPort = 3230;

} // namespace

/* ---- Memory budget ---------------------------------------------------- */

// The budget leaves room for the process itself, also when its limit is small
// or not known.
TEST(MemoryBudget, LimitStaysBelowTheProcessLimit)
{
    for (double memory_mb : {16.0, 64.0, 112.0, 260.0, 512.0}) {
        ps_memory_budget_t budget;
        PsMemoryBudget_Init(&budget, memory_mb);
        EXPECT_GT(budget.limit, 0u);
        EXPECT_LE((double)budget.limit, 0.7 * memory_mb * (double)kMiB);
    }
    ps_memory_budget_t unknown;
    ps_memory_budget_t known;
    PsMemoryBudget_Init(&unknown, 0);
    PsMemoryBudget_Init(&known, 256);
    EXPECT_EQ(unknown.limit, known.limit) << "protects a process of 256 MiB";
}

// Guards against bodies that fill the memory before small requests are served:
// large ones are refused first, then smaller ones, and those without a body
// only when nothing is left.
TEST(MemoryBudget, LargeBodiesAreRefusedFirst)
{
    ps_memory_budget_t budget;
    PsMemoryBudget_Init(&budget, 112);
    size_t last_max = SIZE_MAX;
    size_t counted = 0;
    for (size_t held = 0; held < budget.limit; held += kMiB) {
        PsMemoryBudget_Set(&budget, PS_MEMORY_ANSWER, &counted, held);
        size_t largest = 0;
        for (size_t body = 1024; body <= budget.limit; body += 1024) {
            largest = PsMemoryBudget_CanHold(&budget, body) ? body : largest;
        }
        EXPECT_LE(largest, last_max);
        EXPECT_TRUE(PsMemoryBudget_CanHold(&budget, 0));
        last_max = largest;
    }
    EXPECT_LT(last_max, 300u * 1024);
    PsMemoryBudget_Set(&budget, PS_MEMORY_ANSWER, &counted, budget.limit);
    EXPECT_FALSE(PsMemoryBudget_CanHold(&budget, 0));
    PsMemoryBudget_Set(&budget, PS_MEMORY_ANSWER, &counted, 0);
    EXPECT_EQ(PsMemoryBudget_GetHeld(&budget), 0u);
}

// 500 bodies of 4 MB at once take at most half of the budget.
TEST(MemoryBudget, BodiesLeaveRoomForAnswers)
{
    ps_memory_budget_t budget;
    PsMemoryBudget_Init(&budget, 112);
    size_t counted[500] = {};
    int n_held = 0;
    for (size_t &body : counted) {
        if (PsMemoryBudget_CanHold(&budget, 4000000)) {
            PsMemoryBudget_Set(&budget, PS_MEMORY_REQUEST_BODY, &body,
                               4000000);
            n_held++;
        }
    }
    EXPECT_GE(n_held, 4);
    EXPECT_LE(budget.held[PS_MEMORY_REQUEST_BODY], budget.limit / 2);
    EXPECT_TRUE(PsMemoryBudget_CanHold(&budget, 200 * 1024));
    EXPECT_TRUE(PsMemoryBudget_CanEverHold(&budget, 4000000));
    EXPECT_FALSE(PsMemoryBudget_CanEverHold(&budget, budget.limit / 4));
}

// Marks shrink as the budget fills, and never to nothing.
TEST(MemoryBudget, MarksShrinkWithTheRoomLeft)
{
    ps_memory_budget_t budget;
    PsMemoryBudget_Init(&budget, 112);
    size_t counted = 0;
    size_t last_mark = SIZE_MAX;
    size_t last_event = SIZE_MAX;
    std::set<int> levels;
    for (size_t held = 0; held <= 2 * budget.limit; held += kMiB / 4) {
        PsMemoryBudget_Set(&budget, PS_MEMORY_ANSWER, &counted, held);
        levels.insert(PsMemoryBudget_GetLevel(&budget));
        EXPECT_LE(PsMemoryBudget_GetAnswerMark(&budget), last_mark);
        EXPECT_LE(PsMemoryBudget_GetEventMax(&budget), last_event);
        last_mark = PsMemoryBudget_GetAnswerMark(&budget);
        last_event = PsMemoryBudget_GetEventMax(&budget);
    }
    EXPECT_EQ(levels, (std::set<int>{0, 1, 2, 3}));
    EXPECT_EQ(last_mark, 8u * 1024);
    EXPECT_EQ(last_event, 64u * 1024) << "holds events of 60 KB";
}

/* ---- Decisions on answers --------------------------------------------- */

// Guards against a promise that a request has not run which the server did not
// give, and against holding answers of requests that are not sent again.
TEST(Answer, HandlingFollowsFromTheHead)
{
    struct Case {
        const char *name;
        ps_answer_head_t head;
        ps_answer_handling_t handling;
    };
    const Case cases[] = {
        {"stream",
         {PS_REPLY_ANSWER, 200, true, true, false},
         PS_ANSWER_EVENTS},
        {"stream goes on",
         {PS_REPLY_ANSWER, 200, true, true, true},
         PS_ANSWER_EVENTS},
        {"failure within a stream",
         {PS_REPLY_ANSWER, 500, true, true, true},
         PS_ANSWER_DROP},
        {"failure in place of a stream",
         {PS_REPLY_ANSWER, 500, true, true, false},
         PS_ANSWER_HOLD},
        {"plain, at most once",
         {PS_REPLY_ANSWER, 200, false, false, false},
         PS_ANSWER_PASS},
        {"plain failure, at most once",
         {PS_REPLY_ANSWER, 500, false, false, false},
         PS_ANSWER_PASS},
        {"plain", {PS_REPLY_ANSWER, 200, false, true, false}, PS_ANSWER_HOLD},
        {"429 of the server itself",
         {PS_REPLY_ANSWER, 429, false, false, false},
         PS_ANSWER_DROP},
        {"503 of the server itself",
         {PS_REPLY_ANSWER, 503, false, true, false},
         PS_ANSWER_DROP},
        {"not run",
         {PS_REPLY_NOT_RUN, 503, false, true, false},
         PS_ANSWER_DROP},
        {"wrong server",
         {PS_REPLY_WRONG_SERVER, 421, false, true, false},
         PS_ANSWER_DROP},
        {"mismatch",
         {PS_REPLY_MISMATCH, 200, true, true, false},
         PS_ANSWER_DROP},
    };
    for (const Case &c : cases) {
        SCOPED_TRACE(c.name);
        EXPECT_EQ(PsAnswer_Choose(&c.head), c.handling);
    }
}

namespace {

// Facts of a complete plain answer.
ps_answer_facts_t
MakeFacts()
{
    ps_answer_facts_t facts = {};
    facts.result = PS_TRANSFER_COMPLETE;
    facts.has_head = true;
    facts.reply = PS_REPLY_ANSWER;
    facts.status = 200;
    facts.handling = PS_ANSWER_PASS;
    facts.is_relaying = true;
    return facts;
}

} // namespace

// Every way an answer can end. An answer that breaks off is never relayed as
// whole, and one whose bytes the caller has is never replaced.
TEST(Answer, EndsFollowFromTheFacts)
{
    struct Case {
        const char *name;
        std::function<void(ps_answer_facts_t *)> change;
        ps_task_result_t result;
        bool is_whole;
        bool may_repeat;
        bool is_lost;
        ps_answer_cut_t cut;
    };
    const auto incomplete = [](ps_answer_facts_t *f) {
        f->result = PS_TRANSFER_INCOMPLETE;
    };
    const auto events = [](ps_answer_facts_t *f) {
        f->handling = PS_ANSWER_EVENTS;
    };
    const Case cases[] = {
        {"whole, passed on", [](ps_answer_facts_t *) {}, PS_TASK_SUCCEEDED,
         true, false, false, PS_ANSWER_CUT_SERVER},
        {"whole, held",
         [](ps_answer_facts_t *f) {
             f->handling = PS_ANSWER_HOLD;
             f->is_relaying = false;
         },
         PS_TASK_SUCCEEDED, true, true, false, PS_ANSWER_CUT_SERVER},
        {"whole stream", events, PS_TASK_SUCCEEDED, true, true, false,
         PS_ANSWER_CUT_SERVER},
        {"failure, held",
         [](ps_answer_facts_t *f) {
             f->status = 500;
             f->handling = PS_ANSWER_HOLD;
             f->is_relaying = false;
         },
         PS_TASK_FAILED, true, true, false, PS_ANSWER_CUT_SERVER},
        {"failure, passed on", [](ps_answer_facts_t *f) { f->status = 500; },
         PS_TASK_FAILED, true, false, false, PS_ANSWER_CUT_SERVER},
        {"failure within a stream",
         [](ps_answer_facts_t *f) {
             f->status = 500;
             f->handling = PS_ANSWER_DROP;
         },
         PS_TASK_FAILED, false, true, false, PS_ANSWER_CUT_SERVER},
        {"cut by the server", incomplete, PS_TASK_FAILED, false, false, true,
         PS_ANSWER_CUT_SERVER},
        {"stream cut by the server",
         [=](ps_answer_facts_t *f) {
             incomplete(f);
             events(f);
         },
         PS_TASK_FAILED, false, true, true, PS_ANSWER_CUT_SERVER},
        {"cut before the head",
         [=](ps_answer_facts_t *f) {
             incomplete(f);
             f->has_head = false;
             f->status = 0;
             f->handling = PS_ANSWER_DROP;
             f->is_relaying = false;
         },
         PS_TASK_FAILED, false, true, true, PS_ANSWER_CUT_SERVER},
        {"cut after a pause of this daemon",
         [=](ps_answer_facts_t *f) {
             incomplete(f);
             f->longest_pause_ms = 3000;
         },
         PS_TASK_CANCELLED, false, false, false, PS_ANSWER_CUT_UNREAD},
        {"stream cut after a pause of this daemon",
         [=](ps_answer_facts_t *f) {
             incomplete(f);
             events(f);
             f->longest_pause_ms = 3000;
         },
         PS_TASK_CANCELLED, false, true, false, PS_ANSWER_CUT_UNREAD},
        {"cut after a short pause",
         [=](ps_answer_facts_t *f) {
             incomplete(f);
             f->longest_pause_ms = 50;
         },
         PS_TASK_FAILED, false, false, true, PS_ANSWER_CUT_SERVER},
        {"without end",
         [=](ps_answer_facts_t *f) {
             incomplete(f);
             f->is_aborted = true;
             f->is_too_long = true;
         },
         PS_TASK_FAILED, false, false, false, PS_ANSWER_CUT_TOO_LONG},
        {"event without end, after a pause",
         [=](ps_answer_facts_t *f) {
             incomplete(f);
             events(f);
             f->is_aborted = true;
             f->is_too_long = true;
             f->longest_pause_ms = 3000;
         },
         PS_TASK_FAILED, false, true, false, PS_ANSWER_CUT_TOO_LONG},
        {"not sent",
         [](ps_answer_facts_t *f) {
             f->result = PS_TRANSFER_NOT_SENT;
             f->has_head = false;
             f->handling = PS_ANSWER_DROP;
             f->is_relaying = false;
         },
         PS_TASK_UNREACHABLE, false, true, false, PS_ANSWER_CUT_SERVER},
        {"not run",
         [](ps_answer_facts_t *f) {
             f->reply = PS_REPLY_NOT_RUN;
             f->status = 503;
             f->handling = PS_ANSWER_DROP;
             f->is_relaying = false;
         },
         PS_TASK_REJECTED, false, true, false, PS_ANSWER_CUT_SERVER},
        {"not run, with a pause asked for",
         [](ps_answer_facts_t *f) {
             f->reply = PS_REPLY_NOT_RUN;
             f->status = 503;
             f->handling = PS_ANSWER_DROP;
             f->is_relaying = false;
             f->is_server_asking_pause = true;
         },
         PS_TASK_PAUSED, false, true, false, PS_ANSWER_CUT_SERVER},
        {"wrong server",
         [](ps_answer_facts_t *f) {
             f->reply = PS_REPLY_WRONG_SERVER;
             f->status = 421;
             f->handling = PS_ANSWER_DROP;
             f->is_relaying = false;
         },
         PS_TASK_WRONG_SERVER, false, true, false, PS_ANSWER_CUT_SERVER},
        {"another request's answer",
         [=](ps_answer_facts_t *f) {
             incomplete(f);
             f->reply = PS_REPLY_MISMATCH;
             f->is_aborted = true;
             f->handling = PS_ANSWER_DROP;
             f->is_relaying = false;
         },
         PS_TASK_FAILED, false, true, false, PS_ANSWER_CUT_SERVER},
        {"429 of the server itself",
         [](ps_answer_facts_t *f) {
             f->status = 429;
             f->handling = PS_ANSWER_DROP;
             f->is_relaying = false;
         },
         PS_TASK_FAILED, false, true, false, PS_ANSWER_CUT_SERVER},
    };
    for (const Case &c : cases) {
        SCOPED_TRACE(c.name);
        ps_answer_facts_t facts = MakeFacts();
        c.change(&facts);
        ps_answer_verdict_t verdict = PsAnswer_Judge(&facts);
        EXPECT_EQ(verdict.task_result, c.result);
        EXPECT_EQ(verdict.is_whole, c.is_whole);
        EXPECT_EQ(verdict.may_repeat, c.may_repeat);
        EXPECT_EQ(verdict.is_lost, c.is_lost);
        EXPECT_EQ(verdict.cut, c.cut);
    }
}

// An answer without end is closed at a bound, and one of 1 GiB passes.
TEST(Answer, BoundsLetLongAnswersPass)
{
    EXPECT_GT(PsAnswer_GetBytesMax(PS_ANSWER_PASS, 200), 1024u * kMiB);
    EXPECT_GT(PsAnswer_GetBytesMax(PS_ANSWER_EVENTS, 200), 1024u * kMiB);
    EXPECT_LE(PsAnswer_GetBytesMax(PS_ANSWER_PASS, 500), 16u * kMiB);
    EXPECT_LE(PsAnswer_GetBytesMax(PS_ANSWER_DROP, 503), 64u * 1024);
    std::set<std::string> names;
    for (int i = 0; i < PS_ANSWER_CUTS; i++) {
        names.insert(PsAnswer_GetCutName((ps_answer_cut_t)i));
    }
    EXPECT_EQ(names.size(), (size_t)PS_ANSWER_CUTS);
}

/* ---- HTTP server ------------------------------------------------------ */

namespace {

// A server with a budget, the requests that it receives, and one caller with a
// small receive buffer.
struct SlowCaller {
    ps_http_server_t server;
    ps_memory_budget_t budget;
    std::vector<ps_http_request_t *> requests;
    std::function<void(ps_http_request_t *)> on_request;
    int n_closed = 0;
    int fd = -1;
    std::string received;
    bool is_ended = false; // by the server

    SlowCaller()
    {
        static ps_http_server_events_t events = {};
        events.request = [](ps_http_server_t *from, ps_http_request_t *got) {
            auto *self = (SlowCaller *)from->user;
            self->requests.push_back(got);
            if (self->on_request) {
                self->on_request(got);
            }
        };
        events.closed = [](ps_http_server_t *from, ps_http_request_t *) {
            ((SlowCaller *)from->user)->n_closed++;
        };
        ps_name_t address = ToName("127.0.0.1:" + std::to_string(kPort));
        EXPECT_EQ(PsHttpServer_Init(&server, &events, this, GetLoop(),
                                    &address, 8 * kMiB),
                  PS_OK);
        PsMemoryBudget_Init(&budget, 112);
        PsHttpServer_SetBudget(&server, &budget);
        sockaddr_in in = {};
        in.sin_family = AF_INET;
        in.sin_port = htons(kPort);
        in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        fd = socket(AF_INET, SOCK_STREAM, 0);
        int window = 128 * 1024; // more than a segment of the loopback
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
        EXPECT_EQ(connect(fd, (sockaddr *)&in, sizeof in), 0);
    }
    ~SlowCaller()
    {
        if (fd >= 0) {
            close(fd);
        }
        PsHttpServer_Finish(&server);
        EXPECT_EQ(PsMemoryBudget_GetHeld(&budget), 0u)
            << "bytes stay counted after their request";
    }
    void
    Send(const std::string &text)
    {
        ASSERT_EQ(send(fd, text.data(), text.size(), MSG_NOSIGNAL),
                  (ssize_t)text.size());
    }
    // Sends a request without a body and waits until the server has it.
    ps_http_request_t *
    Request()
    {
        Send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
        RunUntil([&] { return requests.size() == 1; });
        return requests[0];
    }
    // Reads what has come, at most so much.
    void
    Read(size_t max)
    {
        std::string block(max, 0);
        ssize_t n = recv(fd, block.data(), max, MSG_DONTWAIT);
        received.append(block, 0, n > 0 ? (size_t)n : 0);
        is_ended |= n == 0 || (n < 0 && errno != EAGAIN);
    }
    // Reads until the end of the response or of the connection.
    void
    ReadToEnd()
    {
        int64_t end_ms = g_get_monotonic_time() / 1000 + 10000;
        while (!is_ended && !HasLastChunk() &&
               g_get_monotonic_time() / 1000 < end_ms) {
            ev_run(GetLoop(), EVRUN_NOWAIT);
            Read(64 * 1024);
        }
        EXPECT_TRUE(is_ended || HasLastChunk());
    }
    bool
    HasLastChunk() const
    {
        return received.size() > 5 &&
               received.substr(received.size() - 5) == "0\r\n\r\n";
    }
};

// Returns text in which a missing part shows.
std::string
MakeText(size_t size)
{
    std::string text;
    while (text.size() < size) {
        text += std::to_string(text.size()) + "\n";
    }
    return text.substr(0, size);
}

// Returns the data of a chunked body, without the chunks' sizes.
std::string
JoinChunks(const std::string &response)
{
    std::string text;
    size_t at = response.find("\r\n\r\n") + 4;
    while (at < response.size()) {
        size_t size = std::stoul(response.substr(at), nullptr, 16);
        at = response.find("\r\n", at) + 2;
        text += response.substr(at, size);
        at += size + 2;
    }
    return text;
}

int n_low;

} // namespace

// The fault of review/2: bytes that a slow caller had not read were dropped
// from the middle of a stream, and the stream could end as complete.
TEST(FlowServer, SlowReaderGetsAllInOrder)
{
    SlowCaller caller;
    ps_http_request_t *request = caller.Request();
    const std::string text = MakeText(3 * kMiB);
    PsHttpRequest_PrepareResponse(request, 200, "text/plain", true);
    size_t at = 0;
    size_t most_unsent = 0;
    RunUntil([&] {
        if (caller.n_closed > 0) {
            caller.Read(kMiB);
            return caller.HasLastChunk();
        }
        while (at < text.size() &&
               PsHttpRequest_GetUnsent(request) < 64 * 1024) {
            PsHttpRequest_WriteStream(request, ToStr(text.substr(at, 8192)));
            at += 8192;
        }
        most_unsent = MAX(most_unsent, PsHttpRequest_GetUnsent(request));
        if (at >= text.size() && !request->is_stream_ended) {
            PsHttpRequest_EndStream(request, true);
        }
        for (int i = 0; i < 20; i++) {
            caller.Read(4096);
        }
        return caller.HasLastChunk();
    });
    EXPECT_EQ(JoinChunks(caller.received), text);
    EXPECT_LT(most_unsent, 80u * 1024);
    EXPECT_LT(caller.budget.most_held, kMiB);
}

// A stream that has lost bytes must not look complete, whatever its writer
// says at its end, and must not go on after the gap.
TEST(FlowServer, OverrunStreamIsCutBeforeTheGap)
{
    SlowCaller caller;
    ps_http_request_t *request = caller.Request();
    const std::string text = MakeText(12 * kMiB);
    PsHttpRequest_PrepareResponse(request, 200, "text/plain", true);
    for (size_t at = 0; at < text.size(); at += kMiB) {
        PsHttpRequest_WriteStream(request, ToStr(text.substr(at, kMiB)));
    }
    PsHttpRequest_EndStream(request, true);
    caller.ReadToEnd();
    EXPECT_FALSE(caller.HasLastChunk());
    std::string got = JoinChunks(caller.received);
    EXPECT_EQ(got, text.substr(0, got.size()));
    EXPECT_LE(got.size(), 8u * kMiB);
}

// The writer is told, once, when the caller has read down to the mark.
TEST(FlowServer, WriterIsNotifiedBelowTheMark)
{
    SlowCaller caller;
    ps_http_request_t *request = caller.Request();
    PsHttpRequest_PrepareResponse(request, 200, "text/plain", true);
    PsHttpRequest_WriteStream(request, ToStr(MakeText(2 * kMiB)));
    n_low = 0;
    static size_t unsent_at_call;
    PsHttpRequest_NotifyBelow(request, 64 * 1024, [](ps_http_request_t *from) {
        n_low++;
        unsent_at_call = PsHttpRequest_GetUnsent(from);
        PsHttpRequest_WriteStream(from, ToStr("more"));
    });
    for (int i = 0; i < 20; i++) {
        ev_run(GetLoop(), EVRUN_NOWAIT);
    }
    EXPECT_EQ(n_low, 0) << "the caller has not read yet";
    RunUntil([&] {
        caller.Read(64 * 1024);
        return n_low > 0;
    });
    EXPECT_LE(unsent_at_call, 64u * 1024);
    EXPECT_GT(unsent_at_call, 32u * 1024) << "it is told at once";
    PsHttpRequest_EndStream(request, true);
    caller.ReadToEnd();
    EXPECT_EQ(n_low, 1);
    EXPECT_EQ(JoinChunks(caller.received), MakeText(2 * kMiB) + "more");
}

// A stream of known length ends as complete only with all its bytes and after
// its writer has said so: until then the server may still lose it.
TEST(FlowServer, KnownLengthIsCompleteOnlyAtItsEnd)
{
    struct Case {
        const char *name;
        uint64_t length;
        bool is_complete; // as the writer says
        bool is_whole;    // as the caller sees
    };
    const std::string text = MakeText(20000);
    const Case cases[] = {{"whole", text.size(), true, true},
                          {"lost at the last byte", text.size(), false, false},
                          {"too short", text.size() + 1, true, false},
                          {"too long", text.size() - 1, true, false}};
    for (const Case &c : cases) {
        SCOPED_TRACE(c.name);
        SlowCaller caller;
        ps_http_request_t *request = caller.Request();
        PsHttpRequest_PrepareStream(request, 201, c.length);
        PsHttpRequest_AddResponseHeader(request, "Connection", "close");
        PsHttpRequest_WriteStream(request, ToStr(text));
        for (int i = 0; i < 50; i++) {
            ev_run(GetLoop(), EVRUN_NOWAIT);
            caller.Read(4096);
        }
        size_t head = caller.received.find("\r\n\r\n") + 4;
        EXPECT_LT(caller.received.size() - head, c.length)
            << "complete before its end";
        if (caller.n_closed == 0) {
            PsHttpRequest_EndStream(request, c.is_complete);
        }
        caller.ReadToEnd();
        EXPECT_NE(caller.received.find("Content-Length: " +
                                       std::to_string(c.length)),
                  std::string::npos);
        size_t n_body = caller.received.size() - head;
        if (c.is_whole) {
            EXPECT_EQ(caller.received.substr(head), text);
        }
        else {
            EXPECT_LT(n_body, c.length);
        }
    }
}

// A caller that leaves while the server waits until it can send is noticed
// within half a second, although nothing is read from it.
TEST(FlowServer, CallerThatLeavesUnreadIsNoticed)
{
    for (bool is_half_closed : {false, true}) {
        SCOPED_TRACE(is_half_closed ? "half-closed" : "closed");
        SlowCaller caller;
        ps_http_request_t *request = caller.Request();
        PsHttpRequest_PrepareResponse(request, 200, "text/plain", true);
        PsHttpRequest_WriteStream(request, ToStr(MakeText(2 * kMiB)));
        for (int i = 0; i < 50; i++) {
            ev_run(GetLoop(), EVRUN_NOWAIT);
        }
        ASSERT_GT(PsHttpRequest_GetUnsent(request), kMiB);
        ASSERT_FALSE(request->is_suspended);
        int64_t start_ms = g_get_monotonic_time() / 1000;
        if (is_half_closed) {
            shutdown(caller.fd, SHUT_WR);
        }
        else {
            close(caller.fd);
            caller.fd = -1;
        }
        RunUntil([&] { return caller.n_closed == 1; });
        EXPECT_LT(g_get_monotonic_time() / 1000 - start_ms, 500);
        EXPECT_EQ(caller.budget.held[PS_MEMORY_ANSWER], 0u);
    }
}

namespace {

void
Refuse(ps_http_request_t *request)
{
    PsHttpRequest_PrepareResponse(request, 503, nullptr, false);
    PsHttpRequest_AddResponseHeader(request, "Retry-After", "0.2");
    PsHttpRequest_SendResponse(request, ToStr("no memory"));
}

} // namespace

// A body for which there is no room is refused by its announced length, before
// it is sent.
TEST(FlowServer, LargeBodyIsRefusedBeforeItComes)
{
    SlowCaller caller;
    size_t counted = 0;
    PsMemoryBudget_Set(&caller.budget, PS_MEMORY_ANSWER, &counted,
                       caller.budget.limit - kMiB);
    caller.on_request = [&](ps_http_request_t *request) {
        EXPECT_TRUE(request->is_over_budget);
        Refuse(request);
    };
    caller.Send("POST /x HTTP/1.1\r\nHost: a\r\n"
                "Content-Length: 4000000\r\n\r\nfirst bytes");
    caller.ReadToEnd();
    EXPECT_EQ(caller.received.rfind("HTTP/1.1 503", 0), 0u) << caller.received;
    EXPECT_NE(caller.received.find("Retry-After: 0.2"), std::string::npos);
    EXPECT_EQ(caller.budget.n_refused, 1u);
    PsMemoryBudget_Set(&caller.budget, PS_MEMORY_ANSWER, &counted, 0);
}

// A body that was accepted is held to its end, and its length is counted from
// the start: others must not be accepted for the same memory.
TEST(FlowServer, AcceptedBodyIsCountedFromTheStart)
{
    SlowCaller caller;
    caller.Send("POST /x HTTP/1.1\r\nHost: a\r\n"
                "Content-Length: 4000000\r\n\r\nfirst bytes");
    RunUntil(
        [&] { return caller.budget.held[PS_MEMORY_REQUEST_BODY] == 4000000; });
    size_t counted = 0;
    PsMemoryBudget_Set(&caller.budget, PS_MEMORY_ANSWER, &counted,
                       caller.budget.limit);
    const std::string rest(4000000 - strlen("first bytes"), 'x');
    std::thread sender([&] { caller.Send(rest); });
    RunUntil([&] { return caller.requests.size() == 1; });
    sender.join();
    EXPECT_FALSE(caller.requests[0]->is_over_budget);
    EXPECT_EQ(caller.requests[0]->body.len, 4000000u);
    Refuse(caller.requests[0]);
    PsMemoryBudget_Set(&caller.budget, PS_MEMORY_ANSWER, &counted, 0);
}

// The length of a chunked body is not announced: it is dropped when there is
// no more room.
TEST(FlowServer, ChunkedBodyIsDroppedWhenThereIsNoRoom)
{
    SlowCaller caller;
    size_t counted = 0;
    PsMemoryBudget_Set(&caller.budget, PS_MEMORY_ANSWER, &counted,
                       caller.budget.limit - 300 * 1024);
    caller.Send("POST /x HTTP/1.1\r\nHost: a\r\n"
                "Transfer-Encoding: chunked\r\n\r\n");
    std::thread sender([&] {
        for (int i = 0; i < 60; i++) {
            caller.Send("2000\r\n" + std::string(0x2000, 'x') + "\r\n");
        }
        caller.Send("0\r\n\r\n");
    });
    RunUntil([&] { return caller.requests.size() == 1; });
    sender.join();
    EXPECT_TRUE(caller.requests[0]->is_over_budget);
    EXPECT_EQ(caller.requests[0]->body.len, 0u);
    EXPECT_LT(caller.budget.most_held, caller.budget.limit);
    Refuse(caller.requests[0]);
    PsMemoryBudget_Set(&caller.budget, PS_MEMORY_ANSWER, &counted, 0);
}

/* ---- HTTP client ------------------------------------------------------ */

namespace {

// A server on a thread of its own that sends a response and then closes the
// connection.
class SendingServer {
  public:
    explicit SendingServer(std::string text) : response(std::move(text))
    {
        fd = socket(AF_INET, SOCK_STREAM, 0);
        url = "http://127.0.0.1:" + std::to_string(BindToFreePort(fd)) + "/x";
        int buffer = 64 * 1024; // what waits here is not the client's
        setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &buffer, sizeof buffer);
        listen(fd, 1);
        thread = std::thread([this] { Serve(); });
    }
    ~SendingServer()
    {
        thread.join();
        close(fd);
    }
    std::string url;
    std::atomic<size_t> n_sent{0};

  private:
    void
    Serve()
    {
        int peer = accept(fd, nullptr, nullptr);
        char block[4096];
        recv(peer, block, sizeof block, 0);
        while (n_sent < response.size()) {
            ssize_t n = send(peer, response.data() + n_sent,
                             MIN(response.size() - n_sent, (size_t)16384),
                             MSG_NOSIGNAL);
            if (n <= 0) {
                break;
            }
            n_sent += (size_t)n;
        }
        close(peer);
    }
    std::string response;
    int fd;
    std::thread thread;
};

struct PausingReader {
    ps_transfer_t transfer;
    std::string received;
    size_t pause_at = 0; // bytes
    bool is_done = false;
    ps_transfer_result_t result;
};

void
OnPausingData(ps_transfer_t *transfer, const char *data, size_t len)
{
    auto *reader = (PausingReader *)transfer->user;
    reader->received.append(data, len);
    if (reader->received.size() >= reader->pause_at) {
        PsTransfer_SetPaused(transfer, true);
    }
}

void
OnPausingDone(ps_transfer_t *transfer, ps_transfer_result_t result)
{
    auto *reader = (PausingReader *)transfer->user;
    reader->is_done = true;
    reader->result = result;
}

const ps_transfer_events_t kPausingEvents = {nullptr, nullptr, OnPausingData,
                                             OnPausingDone};

} // namespace

// While a transfer is paused its server is blocked, and nothing is lost,
// repeated or reported; afterwards the whole response comes, or the loss of a
// response that its server has cut meanwhile.
TEST(FlowClient, PausedTransferGoesOnWhereItStopped)
{
    const std::string text = MakeText(6 * kMiB);
    const std::string head =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(text.size()) +
        "\r\n\r\n";
    std::string chunked = "HTTP/1.1 200 OK\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n";
    for (size_t at = 0; at < text.size(); at += 30000) {
        std::string part = text.substr(at, 30000);
        char size[16];
        snprintf(size, sizeof size, "%zx\r\n", part.size());
        chunked += size + part + "\r\n";
    }
    struct Case {
        const char *name;
        std::string response;
        ps_transfer_result_t result;
    };
    const Case cases[] = {
        {"length", head + text, PS_TRANSFER_COMPLETE},
        {"chunks", chunked + "0\r\n\r\n", PS_TRANSFER_COMPLETE},
        {"length, cut", head + text.substr(0, text.size() - 1),
         PS_TRANSFER_INCOMPLETE},
        {"chunks, cut", chunked, PS_TRANSFER_INCOMPLETE},
    };
    ps_http_client_t client;
    PsHttpClient_Init(&client, GetLoop());
    for (const Case &c : cases) {
        SCOPED_TRACE(c.name);
        SendingServer server(c.response);
        PausingReader reader;
        reader.pause_at = 500000;
        PsTransfer_Init(&reader.transfer, &kPausingEvents, &reader);
        PsTransfer_Start(&client, &reader.transfer, "GET", server.url.c_str(),
                         ToStr(""), 0, true);
        while (!reader.is_done) {
            RunUntil(
                [&] { return reader.transfer.is_paused || reader.is_done; });
            size_t before = reader.received.size();
            for (int i = 0; i < 5 && reader.transfer.is_paused; i++) {
                ev_run(GetLoop(), EVRUN_NOWAIT);
                g_usleep(2000);
            }
            EXPECT_EQ(reader.received.size(), before);
            if (reader.transfer.is_paused && !reader.is_done) {
                EXPECT_LT(server.n_sent - before, kMiB)
                    << "the kernel holds more than is wanted";
                reader.pause_at = before + 700000;
                PsTransfer_SetPaused(&reader.transfer, false);
            }
        }
        EXPECT_EQ(reader.result, c.result);
        EXPECT_EQ(reader.received, text.substr(0, reader.received.size()));
        if (c.result == PS_TRANSFER_COMPLETE) {
            EXPECT_EQ(reader.received.size(), text.size());
        }
        PsTransfer_Finish(&reader.transfer);
    }
    PsHttpClient_Finish(&client);
}
