// test_store_items.cpp - Tests that an entry of another writer takes no sound
// one with it, wherever objects of a store are read.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <chrono>
#include <set>

#include "loopback.hpp"

extern "C" {
#include <glib.h>

#include "codec.h"
#include "json_split.h"
#include "platform.h"
#include "store.h"
#include "store_items.h"
}

namespace {

// Values that a reader of a whole page can't hold, or that are of a type that
// no field has.
const std::vector<std::string> kForeignValues = {
    "18446744073709551616",
    "-18446744073709551617",
    "1" + std::string(400, '0'),
    "1e999",
    "-1e999",
    "1e308",
    "-1e308",
    "\"\\u0000\"",
    "\"\\ud800\"",
    "\"\xff\xfe\"",
    "\"}],\\\"items\\\":[{\"",
    std::string(10000, '[') + std::string(10000, ']'),
    std::string(3000, '[') + "1" + std::string(3000, ']'),
    "{\"metadata\":{\"name\":\"z\"}}",
    "{\"a\":1,\"a\":2}",
    "[]",
    "{}",
    "null",
    "true",
    "-1",
    "\"text\"",
    "9223372036854775807",
    "-9223372036854775808",
};

const std::vector<std::string> kFields = {
    "service",    "address", "zone", "version", "slots",       "state",
    "coldLeftMs", "seq",     "born", "domain",  "incarnation", "cpuShare"};

ps_str_t
View(const std::string &text)
{
    return {text.data(), text.size()};
}

std::string
MakeObject(const std::string &name, int revision, const std::string &spec)
{
    return "{\"metadata\":{\"name\":" + name +
           ",\"revision\":" + std::to_string(revision) +
           ",\"finalizers\":[]},\"spec\":" + spec + ",\"status\":null}";
}

std::string
MakeSpec(const std::string &state)
{
    return "{\"service\":\"s\",\"address\":\"127.0.0.1:9\",\"zone\":\"z1\","
           "\"version\":\"v1\",\"slots\":6,\"state\":\"" +
           state + "\",\"coldLeftMs\":0,\"seq\":7,\"born\":1700000000000}";
}

// A spec in which a field has a foreign value, is missing, or which is itself
// a foreign value.
std::string
MakeForeignSpec()
{
    std::string value = *rc::gen::elementOf(kForeignValues);
    if (*rc::gen::inRange(0, 4) == 0) {
        return value;
    }
    std::string field = *rc::gen::elementOf(kFields);
    std::string spec = MakeSpec("asleep");
    return "{\"" + field + "\":" + value + "," + spec.substr(1);
}

// The text of a string of any bytes, as JSON, and the bytes.
std::pair<std::string, std::string>
MakeName()
{
    if (*rc::gen::inRange(0, 8) == 0) {
        return {*rc::gen::elementOf(kForeignValues), "?"};
    }
    int len = *rc::gen::elementOf(std::vector<int>{1, 5, 90, 127, 128, 2000});
    std::string text = "\"";
    std::string bytes;
    for (int i = 0; i < len; i++) {
        int c = *rc::gen::inRange(1, 128);
        char escaped[8];
        snprintf(escaped, sizeof escaped, "\\u%04x", c);
        text += escaped;
        bytes += (char)c;
    }
    return {text + "\"", bytes};
}

struct Entry {
    std::string name;  // as JSON
    std::string bytes; // of the name
    bool is_sound;
    std::string text;
};

Entry
MakeEntry(int number)
{
    Entry entry;
    entry.is_sound = *rc::gen::inRange(0, 2) == 0;
    if (entry.is_sound) {
        entry.bytes = "r-" + std::to_string(number);
        entry.name = "\"" + entry.bytes + "\"";
        entry.text = MakeObject(entry.name, number + 1, MakeSpec("ready"));
    }
    else {
        std::tie(entry.name, entry.bytes) = MakeName();
        entry.text = MakeObject(entry.name, number + 1, MakeForeignSpec());
    }
    return entry;
}

// The store decodes what a path or a query holds.
std::string
Unescape(const std::string &text)
{
    GBytes *bytes = g_uri_unescape_bytes(text.data(), (gssize)text.size(),
                                         nullptr, nullptr);
    gsize len;
    const char *data = (const char *)g_bytes_get_data(bytes, &len);
    std::string result(data, len);
    g_bytes_unref(bytes);
    return result;
}

bool
IsServer(const ps_store_item_t *item)
{
    json_t *object = PsStoreItem_Parse(item);
    ps_registration_t registration;
    bool is_server =
        !PsName_IsEmpty(&item->name) &&
        PsCodec_DecodeRegistration(
            &item->name, json_object_get(object, "spec"), &registration);
    json_decref(object);
    return is_server;
}

// A store whose lists of servers the test sets, and the servers that its
// client has reported.
struct FollowedStore {
    FollowedStore()
    {
        server.closes_after_answer = true;
        server.respond = [this](const std::string &head) {
            if (head.find("watch=") != std::string::npos) {
                return MakeResponse("200 OK",
                                    "{\"events\":[],\"currentRev\":9}");
            }
            if (head.find("/servers") == std::string::npos) {
                return MakeResponse("200 OK", "{\"items\":[]}");
            }
            lists++;
            return MakeResponse("200 OK", list(head));
        };
        PsHttpClient_Init(&client, GetLoop());
        ps_name_t address = PsName_FromC(server.address.c_str());
        PsStore_Init(&store, &client, GetLoop(), &address, &events, this);
    }
    ~FollowedStore()
    {
        PsStore_Finish(&store);
        PsHttpClient_Finish(&client);
    }
    static FollowedStore *
    Get(void *user)
    {
        return (FollowedStore *)user;
    }
    RawServer server;
    std::function<std::string(const std::string &)> list;
    int lists = 0;       // pages requested
    int whole_lists = 0; // reported
    std::set<std::string> servers;
    ps_http_client_t client;
    ps_store_t store;
    ps_store_events_t events = [] {
        ps_store_events_t e = {};
        e.server_changed = [](void *user, const ps_registration_t *r) {
            Get(user)->servers.insert(r->name.data);
        };
        e.servers_listed = [](void *user, GHashTable *names) {
            Get(user)->whole_lists++;
            std::set<std::string> left;
            for (const std::string &name : Get(user)->servers) {
                ps_name_t key = PsName_FromC(name.c_str());
                if (g_hash_table_contains(names, &key)) {
                    left.insert(name);
                }
            }
            Get(user)->servers = left;
        };
        e.server_removed = [](void *user, const ps_name_t *name) {
            Get(user)->servers.erase(name->data);
        };
        e.state_read = [](void *, const ps_stored_state_t *, int64_t) {};
        e.members_listed = [](void *, GHashTable *) {};
        e.unavailable = [](void *, const char *) {};
        e.available = [](void *) {};
        return e;
    }();
};

std::string
MakeList(const std::vector<std::string> &items, bool has_more)
{
    std::string text;
    for (const std::string &item : items) {
        text += (text.empty() ? "" : ",") + item;
    }
    return "{\"items\":[" + text +
           "],\"more\":" + (has_more ? "true" : "false") +
           ",\"currentRev\":9}";
}

std::string
MakeServer(const std::string &name)
{
    return MakeObject("\"" + name + "\"", 1, MakeSpec("ready"));
}

} // namespace

/* ---- Lists and watches ------------------------------------------------ */

// Guards against a page that is lost with an entry that can't be read: the
// sound entries are found, no other one names a server, and the next page
// starts after the last name.
RC_GTEST_PROP(StoreItems, ForeignEntriesTakeNoOtherWithThem, ())
{
    bool are_events = *rc::gen::arbitrary<bool>();
    std::vector<Entry> entries;
    std::string items;
    std::string last_name;
    int n = *rc::gen::inRange(0, 12);
    for (int i = 0; i < n; i++) {
        entries.push_back(MakeEntry(i));
        const Entry &entry = entries.back();
        items += i > 0 ? " ,\n" : "";
        items += are_events
                     ? "{\"object\":" + entry.text + ",\"deleted\":false}"
                     : entry.text;
        if (entry.bytes != "?") {
            last_name = entry.bytes;
        }
    }
    std::string text = (are_events ? "{\"events\":[" : "{ \"items\" : [") +
                       items + "],\"more\":true,\"currentRev\":77}\n";
    ps_store_page_t page;
    bool is_page = are_events ? PsStorePage_InitEvents(&page, View(text))
                              : PsStorePage_InitList(&page, View(text));
    RC_ASSERT(is_page);
    RC_ASSERT(page.items->len == entries.size());
    RC_ASSERT(page.revision == 77U);
    RC_ASSERT(page.has_more);
    bool is_foreign_last = n > 0 && entries.back().bytes == "?";
    if (!is_foreign_last) {
        RC_ASSERT(std::string(PsBuf_View(&page.last_name).data,
                              page.last_name.len) == last_name);
    }
    for (size_t i = 0; i < entries.size(); i++) {
        const auto *item = &g_array_index(page.items, ps_store_item_t, i);
        RC_ASSERT(item->revision == i + 1);
        RC_ASSERT(IsServer(item) == entries[i].is_sound);
        if (entries[i].is_sound) {
            RC_ASSERT(PsName_IsEqualC(&item->name, entries[i].bytes.c_str()));
        }
        else if (entries[i].bytes.size() > PS_NAME_MAX) {
            RC_ASSERT(PsName_IsEmpty(&item->name));
        }
    }
    PsStorePage_Finish(&page);
}

// Guards against a cut response that counts as a short list.
RC_GTEST_PROP(StoreItems, APageThatIsCutIsNone, ())
{
    std::string text = "{\"items\":[" + MakeEntry(0).text + "," +
                       MakeEntry(1).text + "],\"more\":false}";
    size_t len = *rc::gen::inRange((size_t)0, text.size());
    ps_store_page_t page;
    RC_ASSERT(!PsStorePage_InitList(&page, {text.data(), len}));
    RC_ASSERT(page.items->len == 0U);
    PsStorePage_Finish(&page);
}

// Guards against names that end a query or a path early, or go on in it.
RC_GTEST_PROP(StoreItems, AnyNameComesBackFromAPath, ())
{
    auto bytes = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
    ps_buf_t path;
    PsBuf_Init(&path);
    PsStorePath_AppendName(&path, View(bytes));
    std::string text(PsBuf_View(&path).data, path.len);
    PsBuf_Finish(&path);
    RC_ASSERT(text.find_first_of("/?#&+= ") == std::string::npos);
    RC_ASSERT(Unescape(text) == bytes);
}

// Guards against a call that reaches another object than it names.
TEST(StoreItems, PathsNameOneObject)
{
    ps_name_t name = PsName_FromC("d1?revision=1");
    ps_buf_t path;
    PsStorePath_Init(&path, "members", PsName_View(&name));
    EXPECT_STREQ(path.data, "/pearstair/objects/members/d1%3Frevision%3D1");
    PsBuf_Finish(&path);
    std::string long_name(PS_NAME_MAX, 'n');
    PsStorePath_Init(&path, "members", View(long_name));
    EXPECT_EQ(path.data, "/pearstair/objects/members/" + long_name);
    PsBuf_Finish(&path);
    for (const char *text : {"", ".", "..", "a/b", "/", "d1/status"}) {
        name = PsName_FromC(text);
        EXPECT_FALSE(PsStorePath_CanHold(&name)) << text;
    }
}

// Guards against a page of 1 MB that stops a daemon or its stack.
TEST(StoreItems, LargePagesAreReadInTime)
{
    for (const char *unit : {"[", "{\"a\":", "\"\\\"\",", "{},", "[[[]]],"}) {
        std::string value;
        while (value.size() < 1000000) {
            value += unit;
        }
        std::string closed = *unit == '[' && !unit[1]
                                 ? value + std::string(1000000, ']')
                                 : "[" + value + "0]";
        for (const std::string &spec : {value, closed}) {
            std::string text = "{\"items\":[" + MakeObject("\"x\"", 1, spec) +
                               "," +
                               MakeObject("\"r\"", 2, MakeSpec("ready")) +
                               "],\"more\":false,\"currentRev\":3}";
            auto start = std::chrono::steady_clock::now();
            ps_store_page_t page;
            if (PsStorePage_InitList(&page, View(text))) {
                for (guint i = 0; i < page.items->len; i++) {
                    IsServer(&g_array_index(page.items, ps_store_item_t, i));
                }
            }
            PsStorePage_Finish(&page);
            EXPECT_LT(std::chrono::steady_clock::now() - start,
                      std::chrono::seconds(1));
        }
    }
}

// Guards against a page that ends in entries without a readable name: the list
// went on from nowhere, or counted as whole, so that servers of the pages
// after it counted as gone.
TEST(StoreItems, AListThatEndsEarlyRemovesNothing)
{
    FollowedStore followed;
    followed.list = [](const std::string &) {
        return MakeList({MakeServer("r1"), MakeServer("r2")}, false);
    };
    RunUntil([&] { return followed.whole_lists > 0; });
    const std::set<std::string> both = {"r1", "r2"};
    EXPECT_EQ(followed.servers, both);
    const std::string nameless = MakeObject("\"\\ud800\"", 3, "{}");
    int first = followed.lists;
    followed.list = [&](const std::string &) {
        return MakeList({MakeServer("r3"), nameless, nameless}, true);
    };
    PsStore_ReadNow(&followed.store, false, true, false);
    RunUntil([&] { return followed.lists >= first + 4; });
    int whole = followed.whole_lists;
    const std::set<std::string> all = {"r1", "r2", "r3"};
    EXPECT_EQ(followed.servers, all);
    followed.list = [&](const std::string &head) {
        bool is_next = head.find("afterRev=r3") != std::string::npos;
        return is_next ? MakeList({MakeServer("r4")}, false)
                       : MakeList({MakeServer("r3"), nameless}, true);
    };
    PsStore_ReadNow(&followed.store, false, true, false);
    RunUntil([&] { return followed.whole_lists > whole; });
    const std::set<std::string> last = {"r3", "r4"};
    EXPECT_EQ(followed.servers, last);
}

// Guards against pages that repeat themselves without end.
TEST(StoreItems, AListThatRepeatsItselfEnds)
{
    FollowedStore followed;
    followed.list = [](const std::string &) {
        return MakeList({MakeServer("r1"), MakeServer("r2")}, true);
    };
    RunUntil([&] { return followed.lists >= 2; });
    int64_t end_ms = g_get_monotonic_time() / 1000 + 1500;
    RunUntil([&] { return g_get_monotonic_time() / 1000 > end_ms; });
    EXPECT_LE(followed.lists, 12);
    EXPECT_EQ(followed.whole_lists, 0);
    EXPECT_EQ(followed.servers.size(), 2U);
}

/* ---- Objects ---------------------------------------------------------- */

// Guards against a state that is never read, and so never written again, since
// one of its values can't be held.
RC_GTEST_PROP(StoreItems, AStateIsReadAsFarAsItCanBe, ())
{
    std::string value = *rc::gen::elementOf(kForeignValues);
    std::string key = *rc::gen::elementOf(
        std::vector<std::string>{"writtenMs", "crashes", "versions",
                                 "versionsKnownMs", "era", "other"});
    std::string text =
        "{\"teams\":[{\"team\":\"t\",\"spent\":[1,2,3,4,5,6,7,8]}],\"" + key +
        "\":" + value + "}";
    json_t *spec = PsJsonSplit_LoadMembers(View(text));
    RC_ASSERT(spec != nullptr);
    ps_stored_state_t state;
    int64_t age_ms = -1;
    PsCodec_DecodeState(spec, &state, &age_ms, 5000);
    json_decref(spec);
    RC_ASSERT(state.n_teams == 1);
    RC_ASSERT(age_ms >= 0);
}

// Guards against numbers that no field can hold.
RC_GTEST_PROP(StoreItems, AnyObjectIsDecodedOrLeftOut, ())
{
    std::string text = MakeObject("\"x\"", 1, MakeForeignSpec());
    json_t *object = PsJsonSplit_Load(View(text));
    const json_t *spec = json_object_get(object, "spec");
    ps_name_t name = PsName_FromC("x");
    ps_registration_t registration;
    RC_ASSERT(!PsCodec_DecodeRegistration(&name, spec, &registration));
    ps_daemon_info_t member;
    RC_ASSERT(!PsCodec_DecodeMember(&name, spec, &member));
    ps_rollout_object_t order;
    PsCodec_DecodeRollout(object, &order);
    ps_rollout_record_t record;
    PsCodec_DecodeRolloutRecord(object, &record);
    ps_catalog_t *catalog = PsCodec_DecodeCatalog(spec);
    RC_ASSERT(catalog == nullptr);
    json_decref(object);
}

// Guards against a revision that is lost with an object that can't be read:
// the object could not be replaced then.
TEST(StoreItems, TheRevisionOfAnUnreadableObjectIsKnown)
{
    for (const std::string &value : kForeignValues) {
        std::string text = MakeObject("\"x\"", 12, value);
        EXPECT_EQ(PsStoreItem_ReadRevision(View(text)), 12U);
    }
}

/* ---- The product's own platform --------------------------------------- */

// Guards against a list that is lost with one object, in pools mode.
TEST(StoreItems, PlatformListsHoldBesideForeignObjects)
{
    for (const std::string &value : kForeignValues) {
        SCOPED_TRACE(value.substr(0, 40));
        std::string long_key(200, 'k');
        RawServer server;
        server.answer = MakeResponse(
            "200 OK",
            "{\"version\":9,\"objects\":[{\"key\":\"a\",\"version\":1,"
            "\"value\":\"one\"},{\"key\":\"b\",\"version\":2,\"value\":" +
                value + "},{\"key\":" + value + "},{\"key\":\"" + long_key +
                "\",\"value\":\"x\"},{\"key\":\"c\",\"version\":3,"
                "\"value\":\"three\"}]}");
        ps_http_client_t client;
        PsHttpClient_Init(&client, GetLoop());
        ps_platform_t platform;
        ps_name_t address = PsName_FromC(server.address.c_str());
        PsPlatform_Init(&platform, &client, &address);
        std::string seen;
        PsPlatform_List(
            &platform, "a&b",
            [](void *user, const ps_platform_result_t *result) {
                auto *out = (std::string *)user;
                *out = std::to_string(result->status) + " " +
                       std::to_string(result->version);
                for (int i = 0; i < result->n_objects; i++) {
                    const ps_platform_object_t *object = &result->objects[i];
                    bool is_foreign = object->version == 2 ||
                                      (object->version == 0 && !object->value);
                    if (!is_foreign) {
                        *out += std::string(" ") + object->key.data + "=" +
                                (object->value ? object->value : "");
                    }
                }
            },
            &seen);
        RunUntil([&] { return !seen.empty(); });
        EXPECT_EQ(seen, "0 9 a=one c=three");
        PsPlatform_Finish(&platform);
        PsHttpClient_Finish(&client);
    }
}
