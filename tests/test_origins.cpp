// test_origins.cpp - Which members keep and are asked for the records of
// streams' origins, and what a record says.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

#include "kernel.hpp"

extern "C" {
#include "origin_log.h"
#include "stream_origins.h"
#include "version_history.h"
}

namespace {

const int64_t kStart = 1000000;

std::vector<std::string>
ChooseHolders(uint64_t request, const std::set<std::string> &members,
              size_t max)
{
    std::vector<ps_name_t> names;
    for (const std::string &member : members) {
        names.push_back(ToName(member));
    }
    GPtrArray *pointers = g_ptr_array_new();
    for (ps_name_t &name : names) {
        g_ptr_array_add(pointers, &name);
    }
    const ps_name_t *holders[PS_ORIGIN_ASKED];
    size_t n = PsStreamOrigins_ChooseHolders(request, pointers, holders, max);
    std::vector<std::string> chosen;
    for (size_t i = 0; i < n; i++) {
        chosen.emplace_back(holders[i]->data);
    }
    g_ptr_array_unref(pointers);
    return chosen;
}

TEST(StreamOrigins, RecordNamesOneVersionOrNone)
{
    ps_stream_origins_t origins;
    PsStreamOrigins_Init(&origins);
    const ps_name_t id = ToName("a");
    const uint64_t a = PsStreamOrigins_HashId(&id), b = a + 1;
    EXPECT_EQ(PsStreamOrigins_Find(&origins, a, kStart), 0u);
    PsStreamOrigins_Add(&origins, a, 7, kStart);
    PsStreamOrigins_Add(&origins, a, 7, kStart + 10);
    PsStreamOrigins_Add(&origins, b, 8, kStart);
    EXPECT_EQ(PsStreamOrigins_Find(&origins, a, kStart + 20), 7u);
    EXPECT_EQ(PsStreamOrigins_Find(&origins, b, kStart + 20), 8u);
    PsStreamOrigins_Add(&origins, a, 8, kStart + 30);
    EXPECT_EQ(PsStreamOrigins_Find(&origins, a, kStart + 40), 0u)
        << "the id was used twice";
    EXPECT_EQ(PsStreamOrigins_Find(&origins, b, kStart + PS_STREAM_ORIGIN_MS),
              8u);
    EXPECT_EQ(
        PsStreamOrigins_Find(&origins, b, kStart + 3 * PS_STREAM_ORIGIN_MS),
        0u);
    PsStreamOrigins_Finish(&origins);
}

// The daemon that began a stream and one of its holders are lost, and others
// have joined: the other holder is among the members that are asked.
RC_GTEST_PROP(StreamOrigins, AnotherDaemonFindsAHolderAfterLosses, ())
{
    const int n = *rc::gen::inRange(5, 40);
    const uint64_t request = *rc::gen::arbitrary<uint64_t>();
    std::set<std::string> members;
    for (int i = 0; i < n; i++) {
        members.insert("d" + std::to_string(i));
    }
    std::set<std::string> others = members;
    others.erase("d0"); // began the stream
    const auto holders = ChooseHolders(request, others, PS_ORIGIN_HOLDERS);
    RC_ASSERT(holders.size() == (size_t)PS_ORIGIN_HOLDERS);
    const int lost = *rc::gen::inRange(0, PS_ORIGIN_HOLDERS);
    others.erase(holders[lost]);
    const int asker = *rc::gen::inRange(1, n);
    others.erase("d" + std::to_string(asker));
    others.insert("joined-1");
    others.insert("joined-2");
    const auto asked = ChooseHolders(request, others, PS_ORIGIN_ASKED);
    const std::string kept = holders[1 - lost];
    RC_ASSERT(kept == "d" + std::to_string(asker) ||
              std::count(asked.begin(), asked.end(), kept) == 1);
    RC_ASSERT(std::set<std::string>(asked.begin(), asked.end()).size() ==
              asked.size());
}

// Servers of one service come and go, daemons store each change and are all
// lost now and then. The one version that a daemon names has served alone for
// as long as streams live.
RC_GTEST_PROP(VersionHistory, OnlyVersionHasServedAloneThroughRestarts, ())
{
    const int64_t kept_ms = 30000;
    const ps_name_t service = ToName("m"), other = ToName("other");
    int64_t now = kStart;
    ps_version_history_t history;
    PsVersionHistory_Init(&history, kept_ms, now);
    PsVersionHistory_Restore(&history, nullptr, 0, now - kept_ms, now);
    std::set<uint64_t> serving = {1};
    std::vector<std::pair<uint64_t, int64_t>> served; // and until when
    ps_served_version_t stored[64];
    size_t n_stored = 0;
    int64_t stored_from_ms = 0;
    auto update = [&]() {
        const std::vector<uint64_t> list(serving.begin(), serving.end());
        PsVersionHistory_Update(&history, &service, list.data(), list.size(),
                                now);
        const uint64_t another = 77;
        PsVersionHistory_Update(&history, &other, &another, 1, now);
    };
    auto store = [&]() {
        n_stored = PsVersionHistory_List(&history, stored, 64, now);
        stored_from_ms = history.known_from_ms;
        history.is_unsaved = false;
    };
    update();
    store();
    int n_known = 0;
    for (int step = 0; step < 40; step++) {
        now += *rc::gen::inRange<int64_t>(1, 20000);
        const int act = *rc::gen::inRange(0, 5);
        if (act <= 1) { // a version comes or goes
            const uint64_t version = *rc::gen::inRange<uint64_t>(1, 4);
            if (serving.count(version) > 0) {
                serving.erase(version);
                served.emplace_back(version, now);
            }
            else {
                serving.insert(version);
            }
            update();
            if (history.is_unsaved) {
                store();
            }
        }
        else if (act == 2) { // all daemons are lost, a server may end too
            PsVersionHistory_Finish(&history);
            if (serving.size() > 1 && *rc::gen::arbitrary<bool>()) {
                served.emplace_back(*serving.begin(), now);
                serving.erase(serving.begin());
            }
            now += *rc::gen::inRange<int64_t>(1, 5000);
            PsVersionHistory_Init(&history, kept_ms, now);
            const bool is_read_first = *rc::gen::arbitrary<bool>();
            if (!is_read_first) {
                update();
            }
            PsVersionHistory_Restore(&history, stored, n_stored,
                                     stored_from_ms, now);
            update();
            store();
        }
        const uint64_t only =
            PsVersionHistory_FindOnly(&history, &service, now);
        if (only == 0) {
            continue;
        }
        n_known++;
        RC_ASSERT(serving == std::set<uint64_t>{only});
        for (const auto &[version, until_ms] : served) {
            RC_ASSERT(version == only || now - until_ms > kept_ms);
        }
    }
    RC_TAG(n_known > 0 ? "named" : "never named");
    PsVersionHistory_Finish(&history);
}

TEST(VersionHistory, NamesAVersionOnlyOnEvidence)
{
    const ps_name_t service = ToName("m");
    const uint64_t one = 1;
    ps_version_history_t history;
    PsVersionHistory_Init(&history, 30000, kStart);
    PsVersionHistory_Update(&history, &service, &one, 1, kStart);
    EXPECT_EQ(PsVersionHistory_FindOnly(&history, &service, kStart + 29999),
              0u)
        << "others may have left before the start";
    EXPECT_EQ(PsVersionHistory_FindOnly(&history, &service, kStart + 30000),
              1u);
    const ps_served_version_t stored = {service, 1, 0};
    PsVersionHistory_Finish(&history);
    PsVersionHistory_Init(&history, 30000, kStart);
    PsVersionHistory_Restore(&history, &stored, 1, kStart - 40000, kStart);
    EXPECT_EQ(PsVersionHistory_FindOnly(&history, &service, kStart), 0u)
        << "its servers may have left";
    PsVersionHistory_Update(&history, &service, &one, 1, kStart + 10);
    EXPECT_EQ(PsVersionHistory_FindOnly(&history, &service, kStart + 10), 1u);
    PsVersionHistory_Forget(&history, kStart + 20);
    EXPECT_EQ(PsVersionHistory_FindOnly(&history, &service, kStart + 30), 0u)
        << "changes may have been missed";
    PsVersionHistory_Finish(&history);
}

} // namespace

/* ---- Origins in the store --------------------------------------------- */

namespace {

// The store's slots, and the allocator that writes them.
struct StoredOrigins {
    StoredOrigins()
    {
        PsOriginLog_Init(&log);
    }
    ~StoredOrigins()
    {
        PsOriginLog_Finish(&log);
    }
    // Another daemon is the allocator, or this one after a loss of all.
    void
    Replace()
    {
        PsOriginLog_Finish(&log);
        PsOriginLog_Init(&log);
        due_ms = 0;
    }
    void
    Run(int64_t now)
    {
        ps_origin_slot_t slot;
        if (due_ms > 0 && now >= due_ms) {
            due_ms = 0;
            if (is_reading) {
                Read(now);
            }
            else if (is_kept) {
                slots[writing.first % PS_ORIGIN_SLOTS] = writing;
            }
            PsOriginLog_EndStep(&log, is_kept);
        }
        switch (PsOriginLog_GetStep(&log, now, now, &slot)) {
        case PS_ORIGIN_WAIT:
            return;
        case PS_ORIGIN_READ:
            is_reading = true;
            break;
        case PS_ORIGIN_WRITE:
            is_reading = false;
            writing = {slot.number, std::vector<ps_origin_t>(
                                        slot.origins, slot.origins + slot.n)};
            break;
        }
        calls++;
        due_ms = now + 100;
        is_kept = !is_down;
    }
    void
    Read(int64_t now)
    {
        for (const auto &[place, stored] : slots) {
            ps_origin_slot_t slot = {stored.first, stored.second.data(),
                                     stored.second.size()};
            PsOriginLog_HandleRead(&log, &slot, now);
        }
    }
    std::set<uint64_t>
    List() const
    {
        std::set<uint64_t> requests;
        for (const auto &[place, stored] : slots) {
            for (const ps_origin_t &origin : stored.second) {
                requests.insert(origin.request);
            }
        }
        return requests;
    }
    using Slot = std::pair<int64_t, std::vector<ps_origin_t>>;
    ps_origin_log_t log;
    std::map<int64_t, Slot> slots; // by place in the ring
    Slot writing;
    int64_t due_ms = 0;
    bool is_reading = false;
    bool is_kept = false;
    bool is_down = false;
    int calls = 0;
};

} // namespace

// Guards against streams whose origin is lost with all daemons: each one that
// began two seconds before or earlier, and within the time in which callers
// take streams up, is stored, whoever was the allocator; and against a call to
// the store for each stream.
RC_GTEST_PROP(OriginLog, OriginsOfTheLastHalfMinuteAreStored, ())
{
    StoredOrigins stored;
    std::map<uint64_t, int64_t> begun; // request to time
    const int64_t start = 1700000000000 + *rc::gen::inRange(0, 3000);
    const int64_t end = start + *rc::gen::inRange(5000, 90000);
    const int per_second = *rc::gen::inRange(1, 150);
    int64_t trouble_until = 0;
    int64_t replaced = start;
    std::mt19937 random(*rc::gen::inRange(0, 1000));
    for (int64_t now = start; now < end; now += 20) {
        if (random() % 50 < (unsigned)per_second) {
            for (int i = 0; i <= per_second / 50; i++) {
                ps_origin_t origin = {begun.size() + 1, 1 + random() % 2};
                begun[origin.request] = now;
                PsOriginLog_Add(&stored.log, &origin);
            }
        }
        if (random() % 1000 == 0) {
            stored.is_down = !stored.is_down && now < end - 8000;
            trouble_until = now + 2500;
        }
        if (random() % 800 == 0 && now > replaced + 4000 &&
            now > trouble_until && !stored.is_down) {
            // Daemons tell the next allocator of the streams that they know.
            replaced = now;
            stored.Replace();
            for (const auto &[request, at] : begun) {
                if (now - at < PS_STREAM_ORIGIN_MS) {
                    ps_origin_t origin = {request, 1};
                    PsOriginLog_Add(&stored.log, &origin);
                }
            }
        }
        stored.is_down = stored.is_down && now < end - 4000;
        stored.Run(now);
    }
    const std::set<uint64_t> kept = stored.List();
    for (const auto &[request, at] : begun) {
        if (at < end - 2200 && at > end - PS_STREAM_ORIGIN_MS) {
            RC_ASSERT(kept.count(request) == 1U);
        }
    }
    RC_ASSERT(stored.calls <= (end - start) / 900 + 40);
}
