// test_origins.cpp - Which members keep and are asked for the records of
// streams' origins, and what a record says.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>

#include "kernel.hpp"

extern "C" {
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
