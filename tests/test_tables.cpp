// test_tables.cpp - Tests settings, configuration, rules and small modules,
// many of them with tables of cases.
#include <gtest/gtest.h>

#include <cmath>
#include <fstream>

#include "kernel.hpp"

namespace {

const char *kGoodSettings = "[daemon]\nname = d1\ndomain = a\n[listen]\n"
                            "caller = 127.0.0.1:1\nadmin = 127.0.0.1:2\n"
                            "peer = 127.0.0.1:3\n[platform]\n"
                            "address = 127.0.0.1:4\n[admin]\n"
                            "token = 12345678\n";

std::string
ReplaceFirst(std::string text, const std::string &from, const std::string &to)
{
    size_t at = text.find(from);
    EXPECT_NE(at, std::string::npos) << from;
    return text.replace(at, from.size(), to);
}

// Loads settings. Returns the error message without the file's name; empty if
// they are valid.
std::string
GetSettingsError(const std::string &text)
{
    std::string path = testing::TempDir() + "settings.ini";
    std::ofstream(path) << text;
    ps_settings_t settings;
    if (PsSettings_Load(&settings, path.c_str()) == PS_OK) {
        return "";
    }
    std::string message = PsStatus_LastMessage();
    EXPECT_EQ(message.find(path), 0u)
        << "the message starts with the file's name";
    return message.substr(path.size());
}

// Parses a configuration. Returns the error message; empty if it is valid.
std::string
GetConfigError(const std::string &text)
{
    ps_config_t config;
    if (PsConfig_Parse(&config, ToStr(text), 1) != PS_OK) {
        return PsStatus_LastMessage();
    }
    PsConfig_Finish(&config);
    return "";
}

} // namespace

// The caller's memory may hold anything before.
TEST(Settings, KeysWithoutAValueAreEmpty)
{
    const std::string path = testing::TempDir() + "settings-empty.ini";
    g_file_set_contents(path.c_str(), kGoodSettings, -1, nullptr);
    ps_settings_t settings;
    memset(&settings, 0xff, sizeof settings);
    ASSERT_EQ(PsSettings_Load(&settings, path.c_str()), PS_OK);
    EXPECT_TRUE(PsName_IsEmpty(&settings.gateway.forward_address));
    EXPECT_FALSE(settings.gateway.is_first_start);
    unlink(path.c_str());
}

TEST(Settings, ErrorsNameLineKeyAndAllowedValues)
{
    struct Case {
        std::string text;
        std::string message; // without the file's name
    };
    std::string good = kGoodSettings;
    const Case cases[] = {
        {good, ""},
        {good + "[timing]\nrenew = 500ms\n", ""},
        {good + "[timing]\nrenew = 500\n",
         ":13: [timing] renew = '500': allowed is a duration with unit ms, s, "
         "m or h; in milliseconds from 100 to 60000"},
        {good + "[timing]\nrenew = 5 weeks\n",
         ":13: [timing] renew = '5 weeks': allowed is a duration with unit "
         "ms, s, m or h; in milliseconds from 100 to 60000"},
        {good + "[timing]\nlease = 3s\n",
         ":13: [timing] lease must be at least twice renew"},
        {good + "[limits]\nbody = 1GB\n",
         ":13: [limits] body = '1GB': allowed is a size with unit B, KiB or "
         "MiB; in bytes from 1024 to 67108864"},
        {good + "[limits]\nbodies = 1\n",
         ":13: [limits]: unknown key 'bodies'; allowed are body "
         "open_requests"},
        {good + "[extra]\nx = 1\n",
         ":12: unknown section [extra]; allowed are daemon listen platform "
         "admin timing limits gateway"},
        {good + "[gateway]\nretry_ratio = 0.25\n", ""},
        {good + "[gateway]\nfirst_start = true\n", ""},
        {good + "[gateway]\nfirst_start = 1\n",
         ":13: [gateway] first_start = '1': allowed are true and false"},
        {good + "[gateway]\nretry_ratio = lots\n",
         ":13: [gateway] retry_ratio = 'lots': allowed is a number from 0 to "
         "10"},
        {good + "[gateway]\ngrace_s = -1\n",
         ":13: [gateway] grace_s = '-1': allowed is a number from 0 to 3600"},
        {ReplaceFirst(good, "name = d1", "mode = proxy\nname = d1"),
         ":2: [daemon] mode = 'proxy': a mode is pools or gateway"},
        {ReplaceFirst(good, "name = d1", "mode = gateway\nname = d1"),
         ": section [listen]: keys 'ready' and 'directory' are needed in "
         "gateway mode"},
        {ReplaceFirst(good, "domain = a\n", ""),
         ": section [daemon]: key 'domain' missing"},
        {ReplaceFirst(good, "caller = 127.0.0.1:1", "caller = localhost:1"),
         ":5: [listen] caller = 'localhost:1': an address is IP:PORT, such as "
         "10.0.0.1:8080"},
        {ReplaceFirst(good, "caller = 127.0.0.1:1",
                      "caller = 127.0.0.1:99999"),
         ":5: [listen] caller = '127.0.0.1:99999': an address is IP:PORT, "
         "such as 10.0.0.1:8080"},
        {ReplaceFirst(good, "name = d1", "name = d 1"),
         ":2: [daemon] name = 'd 1': a name has 1 to 40 letters, digits, "
         "'-', '_' or '.'"},
        {ReplaceFirst(good, "token = 12345678", "token = short"),
         ":11: [admin] token = 'short': a token has 8 to 127 characters"},
    };
    for (const Case &c : cases) {
        EXPECT_EQ(GetSettingsError(c.text), c.message);
    }
}

TEST(Config, ErrorsNamePlaceAndKey)
{
    std::string good = MakeConfigText(2, 1);
    struct Case {
        std::string from;
        std::string to;
        std::string message;
    };
    const Case cases[] = {
        {"\"tiers\"", "\"tiers\"", ""},
        {"\"tiers\"", "\"tears\"",
         "configuration: unknown key 'tears'; allowed are tiers teams pools "
         "rules"},
        {"{\"deadline_ms\":20000}", "{\"deadline_ms\":-1}",
         "tier 0: key 'deadline_ms' takes a whole number from 1 to 86400000"},
        {"\"weight\":2", "\"weight\":0",
         "team 1: key 'weight' takes a number above 0"},
        {"\"kind\":\"model\"", "\"kind\":\"modal\"",
         "pool 'm': key 'kind' takes model or service"},
        {"\"name\":\"e2\"", "\"name\":\"e1\"", "server 'e1' stands twice"},
        {"127.0.0.1:9001", "nowhere",
         "pool 'm' server 'e1': key 'address' takes IP:PORT"},
        {"\"domain\":\"z\"", "\"state\":\"gone\",\"domain\":\"z\"",
         "pool 'm' server 'e1': key 'state' takes joining, leaving or "
         "stopped"},
        {"{\"pool\":\"m\"}", "{\"pool\":\"q\"}",
         "rule 'all': key 'pool': no pool 'q'"},
        {"{\"pool\":\"m\"}", "{\"pool\":\"m\",\"tier\":5}",
         "rule 'all': key 'tier': no tier 5"},
        {"{\"pool\":\"m\"}", "{\"pool\":\"m\",\"tier\":\"x\"}",
         "rule 'all': action 'tier' takes a tier from 0 to 7"},
        {"{\"pool\":\"m\"}", "{\"pool\":\"m\",\"color\":1}",
         "rule 'all': unknown action 'color'"},
        {"{\"pool\":\"m\"}", "{}",
         "rule 'all': 'then' needs either 'pool' or 'refuse'"},
        {"\"then\"", "\"when\":{\"mood\":1},\"then\"",
         "rule 'all': unknown condition 'mood'"},
        {"\"then\"", "\"when\":{\"tier\":\"x\"},\"then\"",
         "rule 'all': condition 'tier' takes a whole number"},
        {"\"name\":\"all\",", "",
         "rule 1: key 'name' takes 1 to 127 "
         "characters"},
    };
    for (const Case &c : cases) {
        EXPECT_EQ(GetConfigError(ReplaceFirst(good, c.from, c.to)), c.message);
    }
    EXPECT_NE(GetConfigError("{"), "");
    EXPECT_NE(GetConfigError("[]"), "");
}

TEST(Config, SetsServerStateAndListsChangedKeys)
{
    std::string text = MakeConfigText(2, 1);
    ps_buf_t out;
    PsBuf_Init(&out);
    EXPECT_EQ(PsConfig_SetServerState(ToStr(text), "e9", "leaving", &out),
              PS_NOT_FOUND);
    EXPECT_EQ(PsConfig_SetServerState(ToStr(text), "e2", "flying", &out),
              PS_INVALID);
    ASSERT_EQ(PsConfig_SetServerState(ToStr(text), "e2", "leaving", &out),
              PS_OK);
    ps_config_t config;
    ASSERT_EQ(PsConfig_Parse(&config, PsBuf_View(&out), 2), PS_OK);
    EXPECT_EQ(config.pools[0].servers[0].state, PS_SERVER_JOINING);
    EXPECT_EQ(config.pools[0].servers[1].state, PS_SERVER_LEAVING);
    ps_buf_t changes;
    PsBuf_Init(&changes);
    PsConfig_ListChangedKeys(ToStr(text), PsBuf_View(&out), &changes);
    EXPECT_STREQ(changes.data, "pools");
    PsBuf_Finish(&changes);
    PsConfig_Finish(&config);
    PsBuf_Finish(&out);
}

TEST(Rules, FirstMatchApplies)
{
    const char *text =
        "[{\"name\":\"blocked\",\"when\":{\"team\":\"bad\"},"
        "\"then\":{\"refuse\":\"no\"}},"
        "{\"name\":\"long\",\"when\":{\"model\":\"draft*\","
        "\"prompt_tokens_at_least\":1000},\"then\":{\"pool\":\"p\"}},"
        "{\"name\":\"short\",\"when\":{\"model\":[\"draft*\",\"tag\"],"
        "\"prompt_tokens_below\":1000},\"then\":{\"pool\":\"p\"}},"
        "{\"name\":\"top\",\"when\":{\"tier\":0},\"then\":{\"pool\":\"p\"}},"
        "{\"name\":\"reads\",\"when\":{\"path\":\"/r/*\",\"method\":\"GET\","
        "\"idempotent\":true},\"then\":{\"pool\":\"p\"}}]";
    json_t *list = json_loads(text, 0, nullptr);
    ps_rules_t rules;
    ASSERT_EQ(PsRules_Parse(&rules, list), PS_OK) << PsStatus_LastMessage();
    struct Case {
        const char *model, *path, *method, *team;
        int tier;
        uint32_t prompt;
        bool idempotent;
        const char *rule;
    };
    const Case cases[] = {
        {"draft-1", "/v1", "POST", "bad", 0, 5000, true, "blocked"},
        {"draft-1", "/v1", "POST", "good", 0, 5000, true, "long"},
        {"draft-1", "/v1", "POST", "good", 0, 1000, true, "long"},
        {"draft-1", "/v1", "POST", "good", 0, 999, true, "short"},
        {"tag", "/v1", "POST", "good", 1, 10, true, "short"},
        {"tag", "/v1", "POST", "good", 0, 1000, true, "top"},
        {"other", "/v1", "POST", "good", 1, 10, true, nullptr},
        {"", "/r/7", "GET", "good", 1, 0, true, "reads"},
        {"", "/r/7", "GET", "good", 1, 0, false, nullptr},
        {"", "/r/7", "PUT", "good", 1, 0, true, nullptr},
        {"", "/s/7", "GET", "good", 1, 0, true, nullptr},
    };
    for (const Case &c : cases) {
        ps_rule_input_t request = {};
        request.model = ToName(c.model);
        request.path = ToName(c.path);
        request.method = ToName(c.method);
        request.team = ToName(c.team);
        request.tier = c.tier;
        request.prompt_tokens = c.prompt;
        request.idempotent = c.idempotent;
        const ps_rule_t *rule = PsRules_Match(&rules, &request);
        EXPECT_STREQ(rule ? rule->name.data : nullptr, c.rule);
    }
    PsRules_Finish(&rules);
    json_decref(list);
}

// A lease must not end during a platform outage, when no member can renew it:
// however long the outage was, the next list ages a member by at most one
// step, here 400 ms of a lease of 1000 ms.
TEST(Members, LeaseAgesOnlyWhileThePlatformAnswers)
{
    ps_members_t members;
    PsMembers_Init(&members, 1000);
    const char *text = "{\"domain\":\"a\",\"caller\":\"1.1.1.1:1\","
                       "\"peer\":\"1.1.1.1:2\",\"incarnation\":1}";
    ps_name_t name = ToName("d1");
    auto is_live_after_list = [&](uint64_t version, int64_t now) {
        PsMembers_BeginList(&members);
        EXPECT_EQ(PsMembers_Add(&members, "d1", text, version), PS_OK);
        PsMembers_EndList(&members, 400, now);
        return PsMembers_IsLive(&members, PsMembers_Get(&members, &name));
    };
    EXPECT_TRUE(is_live_after_list(1, 1000));
    EXPECT_TRUE(is_live_after_list(1, 1200));
    EXPECT_TRUE(is_live_after_list(1, 60000))
        << "an outage counts as one step at most";
    EXPECT_TRUE(is_live_after_list(2, 60200));
    EXPECT_TRUE(is_live_after_list(2, 60600));
    EXPECT_TRUE(is_live_after_list(2, 61000));
    EXPECT_FALSE(is_live_after_list(2, 61400));
    EXPECT_TRUE(is_live_after_list(3, 61500));
    EXPECT_EQ(PsMembers_Add(&members, "d2", "nonsense", 1), PS_INVALID);
    PsMembers_Finish(&members);
}

// Pools are assigned to members by rendezvous hashing.
TEST(Members, SilentMemberMovesOnlyItsOwnPools)
{
    ps_members_t members;
    PsMembers_Init(&members, 1000);
    PsMembers_BeginList(&members);
    for (int i = 0; i < 9; i++) {
        std::string name = "d" + std::to_string(i);
        PsMembers_Add(&members, name.c_str(), "{}", 1);
    }
    PsMembers_EndList(&members, 400, 1000);
    auto owner = [&](int pool) {
        ps_name_t key = ToName("pool" + std::to_string(pool));
        for (int i = 0; i < 9; i++) {
            ps_name_t name = ToName("d" + std::to_string(i));
            if (PsMembers_GetRank(&members, &key, &name) == 0) {
                return i;
            }
        }
        return -1;
    };
    std::map<int, int> owned;
    std::vector<int> before;
    for (int pool = 0; pool < 900; pool++) {
        before.push_back(owner(pool));
        owned[before.back()]++;
    }
    for (auto &[daemon, n] : owned) {
        EXPECT_NEAR(n, 100, 50) << daemon;
    }
    ps_name_t silent = ToName("d4");
    PsMembers_Get(&members, &silent)->is_silent = true;
    for (int pool = 0; pool < 900; pool++) {
        if (before[(size_t)pool] != 4) {
            EXPECT_EQ(owner(pool), before[(size_t)pool]);
        }
    }
    PsMembers_Finish(&members);
}

TEST(Forecast, UsesTheNarrowestHistoryWithEnoughSamples)
{
    ps_forecast_t forecast;
    PsForecast_Init(&forecast);
    ps_grant_request_t request = {};
    request.model = ToName("m");
    request.team = ToName("a");
    request.rule = ToName("r");
    ps_grant_request_t other = request;
    other.team = ToName("b");
    for (int i = 1; i <= 100; i++) {
        PsForecast_Add(&forecast, &request, (uint32_t)(i * 10));
        PsForecast_Add(&forecast, &other, 2000);
    }
    double median = PsForecast_Get(&forecast, &request, 0.5, 0);
    double upper = PsForecast_Get(&forecast, &request, 0.9, 0);
    EXPECT_NEAR(median, 500, 150);
    EXPECT_NEAR(upper, 900, 250);
    EXPECT_NEAR(PsForecast_Get(&forecast, &other, 0.5, 0), 2000, 400);
    EXPECT_GT(PsForecast_Get(&forecast, &request, 0.5, 900), 900);
    request.max_tokens = 64;
    EXPECT_EQ(PsForecast_Get(&forecast, &request, 0.9, 0), 64);
    ps_grant_request_t fresh = request;
    fresh.max_tokens = 0;
    fresh.team = ToName("c");
    EXPECT_GT(PsForecast_Get(&forecast, &fresh, 0.9, 0), 900);
    PsForecast_Finish(&forecast);
}

// Streams of other clients of a server may have ids of any form. Only an id of
// the form pool.epoch.number is a grant's token.
TEST(Owner, RecognizesTokensByTheirFormat)
{
    struct Case {
        const char *text;
        bool is_token;
    };
    const Case cases[] = {
        {"draft.3.17", true}, {"a.b.3.17", true},
        {"draft.3.", false},  {"draft.17", false},
        {"3.17", false},      {"", false},
        {"cmpl-8f2a", false}, {"draft.x.17", false},
        {".3.17", false},     {"1f0c9b2e-5b1d-4a53-9f7e", false},
    };
    for (const Case &c : cases) {
        ps_name_t text = ToName(c.text);
        EXPECT_EQ(PsOwner_IsToken(&text), c.is_token) << c.text;
    }
}

TEST(Speed, FitsBaseTimeAndTimePerRequest)
{
    ps_speed_t speed;
    PsSpeed_Init(&speed);
    for (int i = 0; i < 400; i++) {
        double batch = 1 + i % 24;
        PsSpeed_AddStep(&speed, batch, 10 + 1.5 * batch, 1.0);
        PsSpeed_AddPrefill(&speed, 1000, 500);
    }
    EXPECT_NEAR(PsSpeed_GetStepMs(&speed, 4), 16, 2);
    EXPECT_NEAR(PsSpeed_GetStepMs(&speed, 20), 40, 4);
    EXPECT_NEAR(PsSpeed_GetPrefillMs(&speed, 100), 50, 5);
}

TEST(PrefixCache, CountsLeadingBlocksAndEvictsLeastRecentlyUsed)
{
    ps_prefix_cache_t prefix;
    PsPrefixCache_Init(&prefix, 4);
    ps_grant_request_t request = {};
    std::string prompt(PS_BLOCK_BYTES * 3 + 10, 'a');
    PsGrantRequest_HashPrompt(&request, ToStr(prompt));
    ASSERT_EQ(request.n_blocks, 3u);
    EXPECT_EQ(PsPrefixCache_GetCachedBlocks(&prefix, &request), 0u);
    PsPrefixCache_Add(&prefix, &request);
    EXPECT_EQ(PsPrefixCache_GetCachedBlocks(&prefix, &request), 3u);
    ps_grant_request_t other = {};
    std::string longer =
        std::string(PS_BLOCK_BYTES, 'a') + std::string(PS_BLOCK_BYTES, 'b');
    PsGrantRequest_HashPrompt(&other, ToStr(longer));
    EXPECT_EQ(PsPrefixCache_GetCachedBlocks(&prefix, &other), 1u);
    PsPrefixCache_Remove(&prefix, request.blocks[1]);
    EXPECT_EQ(PsPrefixCache_GetCachedBlocks(&prefix, &request), 1u);
    for (uint64_t i = 0; i < 4; i++) {
        ps_grant_request_t filler = {};
        filler.n_blocks = 1;
        filler.blocks[0] = 1000 + i;
        PsPrefixCache_Add(&prefix, &filler);
    }
    EXPECT_EQ(PsPrefixCache_GetCachedBlocks(&prefix, &request), 0u);
    PsPrefixCache_Finish(&prefix);
}
