// test_mutations.cpp - Sends mutated bytes to every input of a gateway:
// settings, configuration, registrations and records of the store, requests,
// answers of backend servers and frames of peers. The gateway must not crash,
// must name a fault in settings and configuration, and must serve the next
// good request.
//
// CHECK_CASES sets the number of cases for each input, CHECK_SEED their seed.
#include "kernel.hpp"
#include "loopback.hpp"

extern "C" {
#include "allocator_rounds.h"
#include "clock.h"
#include "codec.h"
#include "dialect_fleet.h"
#include "endpoints.h"
#include "events_log.h"
#include "gateway.h"
}

namespace {

int
GetCaseCount()
{
    const char *text = getenv("CHECK_CASES");
    return text ? atoi(text) : 300;
}

/* ---- Mutations -------------------------------------------------------- */

class Mutator {
  public:
    Mutator()
    {
        const char *text = getenv("CHECK_SEED");
        random.seed(text ? (unsigned)atoi(text) : 1);
    }
    size_t
    DrawBelow(size_t n)
    {
        return n > 0 ? random() % n : 0;
    }
    std::string
    MutateBytes(std::string text)
    {
        for (size_t n = 1 + DrawBelow(4); n > 0; n--) {
            MutateOnce(&text);
        }
        return text;
    }
    // Replaces one value somewhere in a document by an odd one, such as one of
    // another type or out of range.
    void
    MutateValue(json_t *node)
    {
        size_t n = json_is_object(node)  ? json_object_size(node)
                   : json_is_array(node) ? json_array_size(node)
                                         : 0;
        size_t at = DrawBelow(n);
        if (json_is_array(node) && n > 0) {
            json_t *child = json_array_get(node, at);
            if (DrawBelow(4) > 0 && json_is_object(child)) {
                MutateValue(child);
            }
            else {
                json_array_set_new(node, at, MakeOddValue());
            }
        }
        else if (n > 0) {
            void *each = json_object_iter(node);
            while (at-- > 0) {
                each = json_object_iter_next(node, each);
            }
            json_t *child = json_object_iter_value(each);
            if (DrawBelow(4) > 0 &&
                (json_is_object(child) || json_is_array(child))) {
                MutateValue(child);
            }
            else {
                json_object_iter_set_new(node, each, MakeOddValue());
            }
        }
    }
    // Returns a document with changed bytes or one changed value; NULL when
    // the changed bytes are not JSON.
    json_t *
    MutateDocument(const std::string &text)
    {
        if (DrawBelow(2) == 0) {
            std::string changed = MutateBytes(text);
            return json_loadb(changed.data(), changed.size(), 0, nullptr);
        }
        json_t *whole = json_loadb(text.data(), text.size(), 0, nullptr);
        MutateValue(whole);
        return whole;
    }

  private:
    json_t *
    MakeOddValue()
    {
        static const char *const texts[] = {
            "null",  "true", "-1",    "0",       "1e300",
            "\"\"",  "{}",   "[]",    "[[[]]]",  "9223372036854775807",
            "-0.5",  "1",    "\"x\"", "\"0:0\"", "\"127.0.0.1:1\"",
            "\"/\"", "65536"};
        const char *text = texts[DrawBelow(G_N_ELEMENTS(texts))];
        return DrawBelow(8) == 0 ? json_string(std::string(5000, 'a').c_str())
                                 : json_loads(text, JSON_DECODE_ANY, nullptr);
    }
    void
    MutateOnce(std::string *text)
    {
        static const std::string tokens[] = {"-1",
                                             "1e999",
                                             "null",
                                             "\"",
                                             "99999999999999999999",
                                             "\r\n",
                                             "%00",
                                             "{",
                                             "]",
                                             std::string("\0", 1),
                                             "\xff\xfe",
                                             ":",
                                             ",",
                                             std::string(3000, 'A')};
        size_t at = DrawBelow(text->size() + 1);
        size_t len = DrawBelow(16) + 1;
        switch (DrawBelow(7)) {
        case 0:
            text->insert(at, 1, (char)DrawBelow(256));
            break;
        case 1:
            text->erase(at, len);
            break;
        case 2:
            text->insert(at, text->substr(at, len));
            break;
        case 3:
            text->resize(at);
            break;
        case 4:
            text->insert(at, tokens[DrawBelow(G_N_ELEMENTS(tokens))]);
            break;
        default:
            if (at < text->size()) {
                (*text)[at] = (char)((*text)[at] ^ (1 << DrawBelow(8)));
            }
        }
    }
    std::mt19937 random;
};

/* ---- A gateway on loopback -------------------------------------------- */

const std::string kSettings =
    "[daemon]\nmode = gateway\nname = d1\ndomain = z1\n[listen]\n"
    "caller = 127.0.0.1:1\nready = 127.0.0.1:2\ndirectory = 127.0.0.1:3\n"
    "peer = 127.0.0.1:4\nadmin = 127.0.0.1:5\n[admin]\ntoken = none\n"
    "[platform]\naddress = 127.0.0.1:6\n[gateway]\nrevoke_ms = 5000\n"
    "grace_s = 4\nquota_window = 8\nretry_ratio = 0.2\nretry_slack = 50\n"
    "learned_limits = true\n";

std::string
MakeCatalogText(long long version)
{
    return "{\"version\":" + std::to_string(version) +
           ",\"routes\":[{\"name\":\"r\",\"host\":\"a.example\","
           "\"pathPrefix\":\"/safe/\",\"kind\":\"safe\",\"service\":\"s\","
           "\"timeoutMs\":2000,\"targetLatencyMs\":300,\"priority\":1,"
           "\"maxAttempts\":2},{\"name\":\"t\",\"host\":\"a.example\","
           "\"pathPrefix\":\"/stream/\",\"kind\":\"streaming\","
           "\"resumable\":true,\"sticky\":true,\"service\":\"m\","
           "\"timeoutMs\":2000,\"priority\":0}],\"services\":[{\"name\":"
           "\"s\"},{\"name\":\"m\",\"engine\":{\"slots\":8,\"stride\":5}}],"
           "\"limits\":{\"maxBodyBytes\":65536,\"idleTimeoutMs\":5000},"
           "\"tenants\":[{\"name\":\"team\",\"apiKeys\":[\"key\"],"
           "\"priority\":1,\"unit\":\"tokens\",\"plainTokens\":1,"
           "\"ratePerS\":1e9,\"burst\":1e9}]}";
}

// The body is the id, so that no two requests have the same content: the
// gateway refuses a content that was in flight at several crashes.
std::string
MakeRequest(const std::string &path, const std::string &id)
{
    return "POST " + path +
           " HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer key\r\n"
           "Request-Id: " +
           id +
           "\r\nDeadline-Ms: 1500\r\nToken-Counts: 100,20\r\n"
           "Prompt-Prefix: ab12:60,c3:40\r\nLength-Hint: 10\r\n"
           "Content-Length: " +
           std::to_string(id.size()) + "\r\n\r\n" + id;
}

std::string
GetHeader(const std::string &request, const std::string &name)
{
    size_t at = request.find(name + ": ");
    size_t from = at + name.size() + 2;
    return at == std::string::npos
               ? ""
               : request.substr(from, request.find("\r\n", from) - from);
}

std::string
MakeGoodAnswer(const std::string &request)
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: " +
           GetHeader(request, "Request-Id") +
           "\r\nResponse-Stamp: x\r\nContent-Length: 2\r\n\r\nok";
}

int
FindFreePort()
{
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    int port = BindToFreePort(fd);
    close(fd);
    return port;
}

// Sends bytes on a new connection; ReadAnswer() collects what has come back.
class RawCaller {
  public:
    RawCaller(int port, const std::string &text)
    {
        fd = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in in = {};
        in.sin_family = AF_INET;
        in.sin_port = htons((uint16_t)port);
        in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(connect(fd, (sockaddr *)&in, sizeof in), 0);
        EXPECT_EQ(send(fd, text.data(), text.size(), MSG_NOSIGNAL),
                  (ssize_t)text.size());
    }
    ~RawCaller()
    {
        close(fd);
    }
    const std::string &
    ReadAnswer()
    {
        char block[4096];
        ssize_t n;
        while ((n = recv(fd, block, sizeof block, MSG_DONTWAIT)) > 0) {
            answer.append(block, (size_t)n);
        }
        return answer;
    }

  private:
    int fd;
    std::string answer;
};

// A gateway on free ports of the loopback address. The test sends its store
// events, and one RawServer takes the place of its two backend servers.
class GatewayHarness {
  public:
    GatewayHarness()
    {
        // Operations that do nothing, as there is no store.
        static const ps_store_ops_t store = {
            [](const ps_store_ops_t *, const ps_daemon_info_t *member) {
                GetRemovedMembers().insert(member->name.data);
            },
            [](const ps_store_ops_t *, const ps_daemon_info_t *) {},
            [](const ps_store_ops_t *, const ps_stored_state_t *) {
                return true;
            },
            [](const ps_store_ops_t *, const ps_name_t *) {},
            [](const ps_store_ops_t *, bool, bool, bool) {},
            [](const ps_store_ops_t *, ps_poll_rate_t) {},
            [](const ps_store_ops_t *) {},
            [](const ps_store_ops_t *, const ps_origin_slot_t *) {},
            [](const ps_store_ops_t *) { return (uint64_t)0; },
            [](const ps_store_ops_t *, const ps_rollout_object_t *) {},
            [](const ps_store_ops_t *, const ps_name_t *) {},
            [](const ps_store_ops_t *, const ps_rollout_record_t *) {}};
        signal(SIGPIPE, SIG_IGN);
        // Starts the log once for all tests.
        static const bool is_logging = (PsEvents_Init("d1"), true);
        (void)is_logging;
        ps_settings_t settings = {};
        settings.name = ToName("d1");
        settings.domain = ToName("z1");
        ps_name_t *const addresses[] = {
            &settings.caller_address, &settings.peer_address,
            &settings.admin_address, &settings.gateway.ready_address,
            &settings.gateway.directory_address};
        for (ps_name_t *address : addresses) {
            *address = ToName("127.0.0.1:" + std::to_string(FindFreePort()));
        }
        settings.gateway.revoke_ms = 60000;
        settings.gateway.grace_s = 4;
        settings.gateway.quota_window_s = 8;
        settings.gateway.retry_window_s = 10;
        settings.gateway.retry_slack = 1000;
        settings.gateway.cpu_share = 1;
        EXPECT_EQ(PsGateway_Init(&gateway, GetLoop(), &settings,
                                 PsDialectFleet_Get(),
                                 PsEndpoints_GetReadinessEvents(),
                                 PsEndpoints_GetDirectoryEvents()),
                  PS_OK)
            << PsStatus_LastMessage();
        gateway.store_ops = &store;
        server.closes_after_answer = false;
        RestoreState();
    }
    ~GatewayHarness()
    {
        for (int i = 0; i < 500 && gateway.exchanges.length > 0; i++) {
            RunLoop(0.01);
        }
        EXPECT_EQ(gateway.exchanges.length, 0u)
            << "requests without an end after 5 s";
        PsGateway_Finish(&gateway);
    }
    // Names of the members whose registrations were to be removed.
    static std::set<std::string> &
    GetRemovedMembers()
    {
        static std::set<std::string> removed;
        return removed;
    }
    // Applies the good configuration and makes the two good servers and the
    // gateway itself the only registrations.
    void
    RestoreState()
    {
        const ps_store_events_t *store_events = PsGateway_GetStoreEvents();
        std::string text = MakeCatalogText(++version);
        json_t *spec = json_loads(text.c_str(), 0, nullptr);
        store_events->catalog_changed(&gateway, PsCodec_DecodeCatalog(spec));
        json_decref(spec);
        store_events->catalog_confirmed(&gateway, PsClock_Now());
        GHashTable *names = g_hash_table_new(PsName_Hash, PsName_EqualKeys);
        ps_name_t good[] = {ToName("good-s"), ToName("good-m")};
        for (ps_name_t &name : good) {
            ps_registration_t registration = {};
            registration.name = name;
            registration.service = ToName(name.data + strlen("good-"));
            registration.address = ToName(server.address);
            registration.slots = 8;
            g_hash_table_add(names, &name);
            store_events->servers_listed(&gateway, names);
            store_events->server_changed(&gateway, &registration);
        }
        g_hash_table_add(names, &gateway.self.name);
        store_events->servers_listed(&gateway, names);
        store_events->members_listed(&gateway, names);
        g_hash_table_destroy(names);
    }
    void
    RunLoop(double seconds)
    {
        ev_timer timer;
        ev_timer_init(
            &timer,
            [](struct ev_loop *loop, ev_timer *, int) {
                ev_break(loop, EVBREAK_ONE);
            },
            seconds, 0.0);
        ev_timer_start(GetLoop(), &timer);
        ev_run(GetLoop(), 0);
        ev_timer_stop(GetLoop(), &timer);
    }
    int
    GetCallerPort()
    {
        return GetPort(gateway.settings.caller_address);
    }
    int
    GetPeerPort()
    {
        return GetPort(gateway.settings.peer_address);
    }
    // Fails the test unless a good request is served. Tries for at least 11 s:
    // servers may be ejected, or a peer may have reported a quota's window as
    // spent.
    void
    ExpectGoodRequestServed(const std::string &after)
    {
        server.respond = MakeGoodAnswer;
        std::string seen;
        for (int attempt = 0; attempt < 55; attempt++) {
            RestoreState();
            RawCaller caller(
                GetCallerPort(),
                MakeRequest("/safe/x", "probe-" + std::to_string(attempt)));
            for (int i = 0; i < 100; i++) {
                RunLoop(0.005);
                seen = caller.ReadAnswer();
                if (seen.find("\r\n\r\n") != std::string::npos) {
                    break;
                }
            }
            if (seen.rfind("HTTP/1.1 200", 0) == 0 &&
                seen.find("\r\n\r\nok") != std::string::npos) {
                return;
            }
            RunLoop(0.2);
        }
        ADD_FAILURE() << "no good request served after " << after << ": "
                      << seen;
    }
    ps_gateway_t gateway;
    RawServer server;

  private:
    static int
    GetPort(const ps_name_t &address)
    {
        return atoi(strchr(address.data, ':') + 1);
    }
    long long version = 1LL << 40; // above the versions that mutations set
};

} // namespace

/* ---- Reports ---------------------------------------------------------- */

// A peer that names services which no configuration has must not make this
// daemon keep anything for them.
TEST(AllocatorRounds, ReportOfAnUnknownServiceAddsNoDispatcher)
{
    GatewayHarness harness;
    guint before = g_hash_table_size(harness.gateway.dispatchers);
    char service[] = "unknown";
    Ps__ServerLimit limit = PS__SERVER_LIMIT__INIT;
    limit.has_notice = true;
    limit.rate = 1;
    Ps__ServerLimit *limits[] = {&limit};
    Ps__ServiceUse use = PS__SERVICE_USE__INIT;
    use.service = service;
    use.server_limits = limits;
    use.n_server_limits = 1;
    Ps__ServiceUse *uses[] = {&use};
    Ps__ShareReport report = PS__SHARE_REPORT__INIT;
    report.services = uses;
    report.n_services = 1;
    ps_name_t peer = ToName("d2");
    ps_sharing_t *sharing = &harness.gateway.sharing;
    PsAllocatorRounds_HandleReport(sharing, &peer, &report, PsClock_Now());
    PsAllocatorRounds_Run(sharing, PsClock_Now());
    EXPECT_EQ(g_hash_table_size(harness.gateway.dispatchers), before);
}

/* ---- Settings --------------------------------------------------------- */

TEST(Mutations, SettingsAreLoadedOrRefusedWithAReason)
{
    Mutator mutator;
    std::string path =
        testing::TempDir() + "/mutated-settings-" + std::to_string(getpid());
    int refused = 0;
    for (int i = 0; i < GetCaseCount(); i++) {
        std::string text = mutator.MutateBytes(kSettings);
        ASSERT_TRUE(g_file_set_contents(path.c_str(), text.data(),
                                        (gssize)text.size(), nullptr));
        ps_settings_t settings;
        if (PsSettings_Load(&settings, path.c_str()) != PS_OK) {
            refused++;
            ASSERT_STRNE(PsStatus_LastMessage(), "") << text;
        }
    }
    unlink(path.c_str());
    EXPECT_GT(refused, 0);
}

/* ---- The store -------------------------------------------------------- */

TEST(Mutations, ConfigurationsAreAppliedOrRefusedWithAReason)
{
    Mutator mutator;
    GatewayHarness harness;
    const ps_store_events_t *store_events = PsGateway_GetStoreEvents();
    int applied = 0;
    for (int i = 0; i < GetCaseCount(); i++) {
        json_t *spec = mutator.MutateDocument(MakeCatalogText(i + 1));
        ps_catalog_t *catalog = PsCodec_DecodeCatalog(spec);
        json_decref(spec);
        if (!catalog) {
            ASSERT_STRNE(PsStatus_LastMessage(), "");
            continue;
        }
        applied++;
        store_events->catalog_changed(&harness.gateway, catalog);
        RawCaller caller(harness.GetCallerPort(),
                         MakeRequest("/safe/x", "c-" + std::to_string(i)));
        harness.RunLoop(0.002);
        if (i % 100 == 99) {
            harness.ExpectGoodRequestServed("configuration " +
                                            std::to_string(i));
        }
    }
    EXPECT_GT(applied, 0);
    harness.ExpectGoodRequestServed("all configurations");
}

TEST(Mutations, RegistrationsAndRecordsDoNotStopService)
{
    Mutator mutator;
    GatewayHarness harness;
    const ps_store_events_t *store_events = PsGateway_GetStoreEvents();
    const std::string texts[] = {
        "{\"service\":\"s\",\"address\":\"127.0.0.1:9\",\"slots\":4,"
        "\"state\":\"ready\",\"zone\":\"z1\",\"born\":1700000000000,"
        "\"coldLeftMs\":100}",
        "{\"domain\":\"z2\",\"caller\":\"127.0.0.1:9\",\"peer\":"
        "\"127.0.0.1:9\",\"incarnation\":12345,\"cpuShare\":0.5}",
        "{\"writtenMs\":1700000000000,\"teams\":[{\"team\":\"team\","
        "\"spent\":[1,2,3,4,5,6,7,8]}],\"crashes\":[{\"content\":"
        "\"000000000000002a\",\"crash\":\"0000000000000007\",\"ageMs\":5}]}"};
    int accepted = 0;
    for (int i = 0; i < GetCaseCount(); i++) {
        size_t kind = mutator.DrawBelow(G_N_ELEMENTS(texts));
        json_t *spec = mutator.MutateDocument(texts[kind]);
        ps_name_t name = ToName("x" + std::to_string(mutator.DrawBelow(8)));
        ps_registration_t registration;
        ps_daemon_info_t member;
        ps_stored_state_t state;
        int64_t age_ms;
        if (kind == 0 &&
            PsCodec_DecodeRegistration(&name, spec, &registration)) {
            store_events->server_changed(&harness.gateway, &registration);
            accepted++;
        }
        else if (kind == 1 && PsCodec_DecodeMember(&name, spec, &member)) {
            store_events->member_changed(&harness.gateway, &member);
            accepted++;
        }
        else if (kind == 2) {
            PsCodec_DecodeState(spec, &state, &age_ms, PsClock_Now());
            store_events->state_read(&harness.gateway, &state, age_ms);
        }
        json_decref(spec);
        RawCaller caller(harness.GetCallerPort(),
                         MakeRequest("/stream/x", "e-" + std::to_string(i)));
        harness.RunLoop(0.002);
        if (i % 100 == 99) {
            state.n_teams = 0;
            state.n_crashes = 0;
            store_events->state_read(&harness.gateway, &state, 0);
            harness.ExpectGoodRequestServed("object " + std::to_string(i));
        }
    }
    EXPECT_GT(accepted, 0);
    harness.ExpectGoodRequestServed("all objects");
}

TEST(Codec, StateIsReadAsItWasWritten)
{
    ps_stored_state_t written = {}, read;
    written.n_teams = 1;
    written.teams[0].team = ToName("team");
    written.teams[0].used_units[3] = 12.5;
    written.n_crashes = 2;
    written.crashes[0].mark = UINT64_MAX;
    written.crashes[0].id = 1;
    written.crashes[0].at_ms = 100000;
    written.crashes[1].mark = 0x123456789abcdef;
    written.crashes[1].id = UINT64_MAX - 1;
    written.crashes[1].at_ms = 90000;
    written.has_versions = true;
    written.n_versions = 2;
    written.versions[0] = {ToName("m"), UINT64_MAX, 0};
    written.versions[1] = {ToName("m"), 7, 96000};
    written.versions_from_ms = 51000;
    memset(&read, 0xff, sizeof read);
    json_t *object = PsCodec_EncodeState("spent", &written, 101000);
    int64_t age_ms = -1;
    PsCodec_DecodeState(json_object_get(object, "spec"), &read, &age_ms,
                        501000);
    json_decref(object);
    EXPECT_LT(age_ms, 1000);
    ASSERT_EQ(read.n_teams, 1);
    EXPECT_EQ(ToString(read.teams[0].team), "team");
    EXPECT_EQ(read.teams[0].used_units[3], 12.5);
    ASSERT_EQ(read.n_crashes, 2u);
    for (int i = 0; i < 2; i++) {
        EXPECT_EQ(read.crashes[i].mark, written.crashes[i].mark);
        EXPECT_EQ(read.crashes[i].id, written.crashes[i].id);
        EXPECT_NEAR((double)read.crashes[i].at_ms,
                    (double)written.crashes[i].at_ms + 400000, 1000);
        EXPECT_FALSE(read.crashes[i].is_own);
        unsigned char is_trial; // as a bool, 0xff may look like false
        memcpy(&is_trial, &read.crashes[i].is_trial, 1);
        EXPECT_EQ(is_trial, 0);
    }
    EXPECT_TRUE(read.is_stored);
    ASSERT_TRUE(read.has_versions);
    ASSERT_EQ(read.n_versions, 2u);
    EXPECT_EQ(ToString(read.versions[0].service), "m");
    EXPECT_EQ(read.versions[0].version, UINT64_MAX);
    EXPECT_EQ(read.versions[0].left_ms, 0);
    EXPECT_EQ(read.versions[1].version, 7u);
    EXPECT_NEAR((double)read.versions[1].left_ms, 496000, 1000);
    EXPECT_NEAR((double)read.versions_from_ms, 451000, 1000);
}

// A record of a build that doesn't know versions, or a damaged one, is no
// evidence of which have served.
TEST(Codec, VersionsOfADamagedStateAreNotKnown)
{
    const char *specs[] = {
        R"({"writtenMs":1,"teams":[],"crashes":[]})",
        R"({"versions":[{"service":"m","version":"zz"}],"versionsKnownMs":9})",
        R"({"versions":[{"version":"1"}],"versionsKnownMs":9})",
        R"({"versions":[],"versionsKnownMs":-1})",
        R"({"versions":[]})",
        R"({"versions":7,"versionsKnownMs":9})"};
    for (const char *text : specs) {
        json_t *spec = json_loads(text, 0, nullptr);
        ps_stored_state_t read;
        int64_t age_ms;
        PsCodec_DecodeState(spec, &read, &age_ms, 1000);
        EXPECT_FALSE(read.has_versions) << text;
        json_decref(spec);
    }
    ps_stored_state_t none;
    int64_t age_ms;
    PsCodec_DecodeState(nullptr, &none, &age_ms, 1000);
    EXPECT_FALSE(none.is_stored);
    EXPECT_FALSE(none.has_versions);
}

/* ---- Members ---------------------------------------------------------- */

// A member that reports to another allocator is alive: this one hears its
// other frames. One that sends nothing is removed.
TEST(Members, OnlyThoseThatSendNothingAreRemoved)
{
    GatewayHarness harness;
    ps_gateway_t *gateway = &harness.gateway;
    const ps_store_events_t *store_events = PsGateway_GetStoreEvents();
    const ps_name_t names[] = {ToName("d2"), ToName("d3"), ToName("d4"),
                               ToName("d5")};
    for (const ps_name_t &name : names) {
        ps_daemon_info_t info = {};
        info.name = name;
        info.domain = ToName("z");
        store_events->member_changed(gateway, &info);
    }
    GatewayHarness::GetRemovedMembers().clear();
    const int64_t start_ms = PsClock_Now();
    for (uint64_t round = 1; PsClock_Now() - start_ms < 3800; round++) {
        Ps__ShareReport report = PS__SHARE_REPORT__INIT;
        report.round = round;
        for (int i = 0; i < 2; i++) { // d4 and d5 do not report
            PsAllocatorRounds_HandleReport(&gateway->sharing, &names[i],
                                           &report, PsClock_Now());
        }
        if (round % 4 == 0) { // d4 answers probes
            Ps__StreamOrigin origin = PS__STREAM_ORIGIN__INIT;
            Ps__Frame frame = PS__FRAME__INIT;
            frame.body_case = PS__FRAME__BODY_STREAM_ORIGIN;
            frame.stream_origin = &origin;
            gateway->sharing.peers.events->frame(&gateway->sharing.peers,
                                                 &names[2], &frame);
        }
        harness.RunLoop(0.05);
    }
    EXPECT_EQ(GatewayHarness::GetRemovedMembers(),
              std::set<std::string>{"d5"});
}

// A daemon that is killed and starts again within the time until it counts as
// dead reports anew what it has spent since its start. What it had spent
// before stays charged.
TEST(Members, UsageOfADaemonThatStartsAgainStaysCharged)
{
    GatewayHarness harness;
    ps_sharing_t *sharing = &harness.gateway.sharing;
    const ps_name_t d2 = ToName("d2"), team = ToName("team");
    PsAllocator_SetQuotaLimit(&sharing->allocator, &team, 1000000, 8);
    const std::pair<uint64_t, double> reports[] = {
        {20000, 0}, {20050, 50000}, {20100, 90000}, {100, 0}, {150, 1000}};
    for (const auto &[age_ms, total] : reports) {
        Ps__TeamUse use = PS__TEAM_USE__INIT;
        use.team = (char *)"team";
        use.spent = use.total = total;
        Ps__TeamUse *uses[] = {&use};
        Ps__ShareReport report = PS__SHARE_REPORT__INIT;
        report.age_ms = age_ms;
        report.teams = uses;
        report.n_teams = 1;
        PsAllocatorRounds_HandleReport(sharing, &d2, &report, PsClock_Now());
    }
    auto *quota = (ps_quota_t *)g_hash_table_lookup(
        sharing->allocator.team_quotas, &team);
    EXPECT_EQ(PsQuota_GetSpent(quota, PsClock_Now()), 91000);
}

/* ---- Callers and servers ---------------------------------------------- */

TEST(Mutations, RequestsEndAndDoNotStopService)
{
    Mutator mutator;
    GatewayHarness harness;
    harness.server.respond = MakeGoodAnswer;
    for (int i = 0; i < GetCaseCount(); i++) {
        const char *path = mutator.DrawBelow(2) == 0 ? "/safe/x" : "/stream/x";
        RawCaller caller(
            harness.GetCallerPort(),
            mutator.MutateBytes(MakeRequest(path, "m-" + std::to_string(i))));
        harness.RunLoop(0.002);
        caller.ReadAnswer();
        if (i % 100 == 99) {
            harness.ExpectGoodRequestServed("request " + std::to_string(i));
            harness.server.respond = MakeGoodAnswer;
        }
    }
    harness.ExpectGoodRequestServed("all requests");
}

// Whatever a server answers, a caller of a route without streams gets status
// 200 only with a body of the length that the header announces.
TEST(Mutations, AnswersAreCompleteOrFailures)
{
    Mutator mutator;
    GatewayHarness harness;
    for (int i = 0; i < GetCaseCount(); i++) {
        bool is_stream = mutator.DrawBelow(2) == 0;
        harness.server.respond = [&](const std::string &request) {
            std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: " +
                               GetHeader(request, "Request-Id") +
                               "\r\nResponse-Stamp: x\r\n";
            std::string events =
                "Content-Type: text/event-stream\r\nContent-Length: 34\r\n"
                "\r\nid: 1\ndata: a b\n\nid: 2\ndata: c d\n\n";
            return mutator.MutateBytes(
                head + (is_stream ? events : "Content-Length: 2\r\n\r\nok"));
        };
        RawCaller caller(harness.GetCallerPort(),
                         MakeRequest(is_stream ? "/stream/x" : "/safe/x",
                                     "a-" + std::to_string(i)));
        harness.RunLoop(0.004);
        std::string seen = caller.ReadAnswer();
        size_t body = seen.find("\r\n\r\n");
        if (!is_stream && seen.rfind("HTTP/1.1 200", 0) == 0 &&
            body != std::string::npos) {
            std::string length = GetHeader(seen, "Content-Length");
            ASSERT_EQ(seen.size() - body - 4, (size_t)atoi(length.c_str()))
                << seen;
        }
        if (i % 100 == 99) {
            harness.ExpectGoodRequestServed("answer " + std::to_string(i));
        }
    }
    harness.ExpectGoodRequestServed("all answers");
}

/* ---- Peers ------------------------------------------------------------ */

namespace {

// Returns a frame's bytes without their length; see AddLengthPrefix().
std::string
PackFrame(Ps__Frame frame)
{
    frame.protocol = PS_PEER_PROTOCOL_VERSION;
    std::string body(ps__frame__get_packed_size(&frame), 0);
    ps__frame__pack(&frame, (uint8_t *)body.data());
    return body;
}

std::string
AddLengthPrefix(const std::string &body)
{
    uint32_t header = htonl((uint32_t)body.size());
    return std::string((char *)&header, 4) + body;
}

std::string
MakeHelloFrame()
{
    Ps__Hello hello = PS__HELLO__INIT;
    hello.daemon = (char *)"d2";
    Ps__Frame frame = PS__FRAME__INIT;
    frame.body_case = PS__FRAME__BODY_HELLO;
    frame.hello = &hello;
    return PackFrame(frame);
}

std::string
MakeReportFrame()
{
    Ps__ServerCount running = PS__SERVER_COUNT__INIT;
    running.server = 7;
    running.count = 2;
    Ps__ServerCount *all_running[] = {&running};
    Ps__WaitingCount waiting = PS__WAITING_COUNT__INIT;
    waiting.rank = 3;
    waiting.count = 4;
    Ps__WaitingCount *all_waiting[] = {&waiting};
    Ps__ServerOutcomes outcomes = PS__SERVER_OUTCOMES__INIT;
    outcomes.server = 7;
    outcomes.absent = 1;
    Ps__ServerOutcomes *all_outcomes[] = {&outcomes};
    Ps__ServiceUse use = PS__SERVICE_USE__INIT;
    use.service = (char *)"s";
    use.running = all_running;
    use.waiting = all_waiting;
    use.outcomes = all_outcomes;
    use.n_running = use.n_waiting = use.n_outcomes = 1;
    Ps__ServerSample sample = PS__SERVER_SAMPLE__INIT;
    sample.server = running.server;
    sample.events = sample.first_events = sample.on_time = 5;
    sample.event_ms = sample.first_event_ms = 200;
    sample.prefill_tokens = 3000;
    Ps__ServerSample *samples[] = {&sample};
    use.samples = samples;
    use.n_samples = 1;
    Ps__ServiceUse *uses[] = {&use};
    Ps__TeamUse team = PS__TEAM_USE__INIT;
    team.team = (char *)"team";
    team.spent = team.total = team.wanted = 100;
    Ps__TeamUse *teams[] = {&team};
    Ps__ContentCrash crash = PS__CONTENT_CRASH__INIT;
    crash.content = 42;
    crash.crash = 7;
    Ps__ContentCrash *crashes[] = {&crash};
    Ps__ShareReport report = PS__SHARE_REPORT__INIT;
    report.round = 1;
    report.services = uses;
    report.teams = teams;
    report.crashes = crashes;
    report.n_services = report.n_teams = report.n_crashes = 1;
    Ps__Frame frame = PS__FRAME__INIT;
    frame.body_case = PS__FRAME__BODY_SHARE_REPORT;
    frame.share_report = &report;
    return PackFrame(frame);
}

std::string
MakeGrantFrame()
{
    Ps__ServerCount limit = PS__SERVER_COUNT__INIT;
    limit.server = 7;
    limit.count = 2;
    Ps__ServerCount *limits[] = {&limit};
    Ps__ServiceGrant service = PS__SERVICE_GRANT__INIT;
    service.service = (char *)"s";
    service.limits = limits;
    service.n_limits = 1;
    Ps__ServerPace pace = PS__SERVER_PACE__INIT;
    pace.server = limit.server;
    pace.event_ms = pace.first_base_ms = pace.first_slope_ms = 30;
    pace.limit = 4;
    Ps__ServerPace *paces[] = {&pace};
    service.paces = paces;
    service.n_paces = 1;
    Ps__ServiceGrant *services[] = {&service};
    Ps__TeamGrant team = PS__TEAM_GRANT__INIT;
    team.team = (char *)"team";
    team.units = 1000;
    Ps__TeamGrant *teams[] = {&team};
    Ps__ServerNews change = PS__SERVER_NEWS__INIT;
    change.name = (char *)"x1";
    change.service = (char *)"s";
    change.address = (char *)"127.0.0.1:9";
    change.domain = (char *)"z2";
    change.slots = 4;
    Ps__ServerNews *all_changes[] = {&change};
    Ps__ContentCrash crash = PS__CONTENT_CRASH__INIT;
    crash.content = 42;
    crash.crash = 7;
    Ps__ContentCrash *crashes[] = {&crash};
    Ps__ShareGrant grant = PS__SHARE_GRANT__INIT;
    grant.round = 1;
    grant.crashes = crashes;
    grant.services = services;
    grant.teams = teams;
    grant.news = all_changes;
    grant.n_services = grant.n_teams = grant.n_news = grant.n_crashes = 1;
    Ps__Frame frame = PS__FRAME__INIT;
    frame.body_case = PS__FRAME__BODY_SHARE_GRANT;
    frame.share_grant = &grant;
    return PackFrame(frame);
}

} // namespace

TEST(Mutations, PeerFramesDoNotStopService)
{
    Mutator mutator;
    GatewayHarness harness;
    const ps_store_events_t *store_events = PsGateway_GetStoreEvents();
    for (int i = 0; i < GetCaseCount(); i++) {
        // In half of the cases the peer has the most CPU and is the allocator,
        // so that the gateway accepts its grants.
        ps_daemon_info_t member = {};
        member.name = ToName("d2");
        member.caller_address = member.peer_address = ToName("127.0.0.1:9");
        member.incarnation = (uint64_t)i;
        member.cpu_share = mutator.DrawBelow(2) == 0 ? 100.0 : 0.01;
        store_events->member_changed(&harness.gateway, &member);
        const std::string good =
            mutator.DrawBelow(2) == 0 ? MakeReportFrame() : MakeGrantFrame();
        std::string text = AddLengthPrefix(MakeHelloFrame());
        text += mutator.DrawBelow(4) == 0
                    ? mutator.MutateBytes(AddLengthPrefix(good))
                    : AddLengthPrefix(mutator.MutateBytes(good));
        RawCaller peer(harness.GetPeerPort(), text);
        harness.RunLoop(0.002);
        if (i % 100 == 99) {
            harness.ExpectGoodRequestServed("frame " + std::to_string(i));
        }
    }
    harness.ExpectGoodRequestServed("all frames");
}
