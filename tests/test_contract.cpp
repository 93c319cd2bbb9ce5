// test_contract.cpp - The clients and links against peers that misbehave.
#include "kernel.hpp"
#include "loopback.hpp"

extern "C" {
#include "http_client.h"
#include "peers.h"
#include "platform.h"
}

namespace {

struct Result {
    bool is_done = false;
    ps_status_t status;
    uint64_t version;
    int n_objects;
};

void
OnPlatformDone(void *user, const ps_platform_result_t *result)
{
    *(Result *)user =
        Result{true, result->status, result->version, result->n_objects};
}

struct Transfer {
    bool is_done = false;
    ps_transfer_result_t result;
};

void
OnTransferDone(ps_transfer_t *transfer, ps_transfer_result_t result)
{
    auto *out = (Transfer *)transfer->user;
    out->is_done = true;
    out->result = result;
}

const ps_transfer_events_t kTransferEvents = {nullptr, nullptr,
                                              OnTransferDone};

ps_transfer_result_t
Post(ps_http_client_t *client, const std::string &address, bool is_single)
{
    Transfer out;
    ps_transfer_t transfer;
    PsTransfer_Init(&transfer, &kTransferEvents, &out);
    std::string url = "http://" + address + "/x";
    PsTransfer_Start(client, &transfer, "POST", url.c_str(), ToStr("body"),
                     3000, is_single);
    RunUntil([&] { return out.is_done; });
    PsTransfer_Finish(&transfer);
    return out.result;
}

} // namespace

TEST(Platform, FaultsBecomeStatuses)
{
    struct Case {
        const char *name;
        std::string answer; // empty: closes without a word
        ps_status_t read;
        ps_status_t write;
    };
    std::string whole = Response("200 OK", "{\"version\":7,\"objects\":[]}");
    const Case cases[] = {
        {"whole", whole, PS_OK, PS_OK},
        {"closes", "", PS_UNAVAILABLE, PS_UNKNOWN},
        {"cut body", whole.substr(0, whole.size() - 5), PS_UNAVAILABLE,
         PS_UNKNOWN},
        {"cut head", "HTTP/1.1 200", PS_UNAVAILABLE, PS_UNKNOWN},
        {"no HTTP", "hello\r\n\r\n", PS_UNAVAILABLE, PS_UNKNOWN},
        {"no JSON", Response("200 OK", "<p>"), PS_UNAVAILABLE, PS_UNKNOWN},
        {"not found", Response("404 Not Found", "{}"), PS_NOT_FOUND,
         PS_NOT_FOUND},
        {"too old", Response("410 Gone", "{}"), PS_NOT_FOUND, PS_NOT_FOUND},
        {"conflict", Response("412 Precondition Failed", "{}"), PS_CONFLICT,
         PS_CONFLICT},
        {"too large", Response("413 Too Large", "{}"), PS_INVALID, PS_INVALID},
        {"too many", Response("429 Too Many", "{}"), PS_UNAVAILABLE,
         PS_UNAVAILABLE},
        {"server error", Response("500 Error", "{}"), PS_UNAVAILABLE,
         PS_UNKNOWN},
        {"unavailable", Response("503 Away", "{}"), PS_UNAVAILABLE,
         PS_UNKNOWN},
    };
    ps_http_client_t client;
    PsHttpClient_Init(&client, Loop());
    for (const Case &c : cases) {
        SCOPED_TRACE(c.name);
        RawServer server;
        server.answer = c.answer;
        ps_name_t address = ToName(server.address);
        ps_platform_t platform;
        PsPlatform_Init(&platform, &client, &address);
        Result read;
        PsPlatform_Get(&platform, "k", OnPlatformDone, &read);
        RunUntil([&] { return read.is_done; });
        EXPECT_EQ(read.status, c.read);
        int before = server.requests;
        Result write;
        PsPlatform_Put(&platform, "k", 3, ToStr("v"), OnPlatformDone, &write);
        RunUntil([&] { return write.is_done; });
        EXPECT_EQ(write.status, c.write);
        EXPECT_EQ(server.requests - before, 1) << "written once";
        PsPlatform_Finish(&platform);
    }
    PsHttpClient_Finish(&client);
}

TEST(Platform, NobodyListensAndNoAnswer)
{
    ps_http_client_t client;
    PsHttpClient_Init(&client, Loop());
    ps_name_t nobody = ToName("127.0.0.1:1");
    ps_platform_t platform;
    PsPlatform_Init(&platform, &client, &nobody);
    Result result;
    PsPlatform_Put(&platform, "k", 0, ToStr("v"), OnPlatformDone, &result);
    RunUntil([&] { return result.is_done; });
    EXPECT_EQ(result.status, PS_UNAVAILABLE);
    PsPlatform_Finish(&platform);

    RawServer mute;
    mute.is_mute = true;
    ps_name_t address = ToName(mute.address);
    PsPlatform_Init(&platform, &client, &address);
    Result late;
    PsPlatform_Put(&platform, "k", 0, ToStr("v"), OnPlatformDone, &late);
    RunUntil([&] { return late.is_done; });
    EXPECT_EQ(late.status, PS_UNKNOWN);
    PsPlatform_Finish(&platform);
    PsHttpClient_Finish(&client);
}

// The library repeats a request on a kept connection that has died; a single
// one must not be.
TEST(HttpClient, ASingleRequestIsSentOnce)
{
    ps_http_client_t client;
    PsHttpClient_Init(&client, Loop());
    RawServer server;
    server.answer = Response("200 OK", "ok");
    server.closes = false;
    EXPECT_EQ(Post(&client, server.address, false), PS_TRANSFER_COMPLETE);
    server.answer = "";
    server.closes = true;
    int before = server.requests;
    EXPECT_EQ(Post(&client, server.address, true), PS_TRANSFER_INCOMPLETE);
    EXPECT_EQ(server.requests - before, 1);
    before = server.requests;
    EXPECT_EQ(Post(&client, server.address, false), PS_TRANSFER_INCOMPLETE);
    EXPECT_GT(server.requests - before, 1) << "what a shared one does";
    EXPECT_EQ(Post(&client, "127.0.0.1:1", true), PS_TRANSFER_NOT_SENT);
    PsHttpClient_Finish(&client);
}

namespace {

struct Heard {
    std::vector<std::string> frames; // sender's names
    std::vector<std::string> silent;
    std::vector<std::string> heard;
};

void
OnFrame(ps_peers_t *peers, const ps_name_t *from, const Ps__Frame *)
{
    ((Heard *)peers->user)->frames.push_back(ToString(*from));
}

void
OnSilent(ps_peers_t *peers, const ps_name_t *peer)
{
    ((Heard *)peers->user)->silent.push_back(ToString(*peer));
}

void
OnHeard(ps_peers_t *peers, const ps_name_t *peer)
{
    ((Heard *)peers->user)->heard.push_back(ToString(*peer));
}

const ps_peers_events_t kPeersEvents = {OnFrame, OnSilent, OnHeard};

const char *kAddressA = "127.0.0.1:17941";
const char *kAddressB = "127.0.0.1:17942";

void
Open(ps_peers_t *peers, Heard *heard, const char *name, const char *address)
{
    ps_name_t self = ToName(name);
    ps_name_t at = ToName(address);
    ASSERT_EQ(PsPeers_Init(peers, &kPeersEvents, heard, Loop(), &at, &self, 1),
              PS_OK)
        << PsStatus_LastMessage();
}

void
SendBeat(ps_peers_t *peers, const char *to)
{
    Ps__Heartbeat beat = PS__HEARTBEAT__INIT;
    Ps__Frame frame = PS__FRAME__INIT;
    frame.body_case = PS__FRAME__BODY_HEARTBEAT;
    frame.heartbeat = &beat;
    ps_name_t name = ToName(to);
    PsPeers_Send(peers, &name, &frame);
}

std::string
Pack(uint32_t protocol, bool is_hello)
{
    Ps__Hello hello = PS__HELLO__INIT;
    hello.daemon = (char *)"x";
    Ps__Heartbeat beat = PS__HEARTBEAT__INIT;
    Ps__Frame frame = PS__FRAME__INIT;
    frame.protocol = protocol;
    frame.body_case =
        is_hello ? PS__FRAME__BODY_HELLO : PS__FRAME__BODY_HEARTBEAT;
    if (is_hello) {
        frame.hello = &hello;
    }
    else {
        frame.heartbeat = &beat;
    }
    std::string body(ps__frame__get_packed_size(&frame), 0);
    ps__frame__pack(&frame, (uint8_t *)body.data());
    uint32_t header = htonl((uint32_t)body.size());
    return std::string((char *)&header, 4) + body;
}

} // namespace

TEST(Peers, FramesThatCannotBeTrustedAreDropped)
{
    struct Case {
        const char *name;
        std::string bytes;
        size_t frames; // taken
    };
    std::string hello = Pack(PS_PEER_PROTOCOL_VERSION, true);
    std::string beat = Pack(PS_PEER_PROTOCOL_VERSION, false);
    const Case cases[] = {
        {"good", hello + beat + beat, 2},
        {"before hello", beat, 0},
        {"other version", Pack(99, true) + beat, 0},
        {"garbage", hello + std::string("\0\0\0\x05zzzzz", 9) + beat, 0},
        {"too long", hello + std::string("\x7f\0\0\0", 4) + beat, 0},
        {"torn", hello + beat + beat.substr(0, beat.size() - 1), 1},
    };
    for (const Case &c : cases) {
        SCOPED_TRACE(c.name);
        Heard heard;
        ps_peers_t peers;
        Open(&peers, &heard, "a", kAddressA);
        int fd = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in in = {};
        in.sin_family = AF_INET;
        in.sin_port = htons(17941);
        in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        ASSERT_EQ(connect(fd, (sockaddr *)&in, sizeof in), 0);
        ASSERT_EQ(send(fd, c.bytes.data(), c.bytes.size(), 0),
                  (ssize_t)c.bytes.size());
        shutdown(fd, SHUT_WR);
        RunUntil([&] { return peers.bytes_received >= c.bytes.size(); });
        RunUntil([&] { return peers.inbound.length == 0; });
        close(fd);
        EXPECT_EQ(heard.frames.size(), c.frames);
        PsPeers_Finish(&peers);
    }
}

TEST(Peers, SilenceAndReturnAreNoticed)
{
    Heard heard_a;
    Heard heard_b;
    ps_peers_t a;
    ps_peers_t b;
    Open(&a, &heard_a, "a", kAddressA);
    Open(&b, &heard_b, "b", kAddressB);
    ps_name_t name_a = ToName("a");
    ps_name_t name_b = ToName("b");
    ps_name_t at_a = ToName(kAddressA);
    ps_name_t at_b = ToName(kAddressB);
    PsPeers_SetAddress(&a, &name_b, &at_b);
    PsPeers_SetAddress(&b, &name_a, &at_a);
    int64_t now = g_get_monotonic_time() / 1000;
    PsPeers_MarkUsed(&a, &name_b, now);
    SendBeat(&a, "b");
    SendBeat(&b, "a");
    RunUntil(
        [&] { return !heard_a.frames.empty() && !heard_b.frames.empty(); });
    Ps__Heartbeat beat = PS__HEARTBEAT__INIT;
    Ps__Frame frame = PS__FRAME__INIT;
    frame.body_case = PS__FRAME__BODY_HEARTBEAT;
    frame.heartbeat = &beat;
    now = g_get_monotonic_time() / 1000;
    PsPeers_SendHeartbeats(&a, &frame, 5000, now);
    EXPECT_TRUE(heard_a.silent.empty());
    PsPeers_SendHeartbeats(&a, &frame, 5000, now + 6000);
    EXPECT_EQ(heard_a.silent, std::vector<std::string>{"b"});
    SendBeat(&b, "a");
    RunUntil([&] { return !heard_a.heard.empty(); });
    EXPECT_EQ(heard_a.heard, std::vector<std::string>{"b"});
    size_t before = heard_a.frames.size();
    SendBeat(&a, "a");
    RunUntil([&] { return heard_a.frames.size() > before; });
    EXPECT_EQ(heard_a.frames.back(), "a") << "frames to itself";
    PsPeers_Finish(&a);
    PsPeers_Finish(&b);
}
