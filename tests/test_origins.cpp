// test_origins.cpp - Which members keep and are asked for the records of
// streams' origins, and what a record says.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>

#include "kernel.hpp"

extern "C" {
#include "stream_origins.h"
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

} // namespace
