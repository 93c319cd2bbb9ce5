// test_addresses.cpp - Which daemons callers get: by capacity, stable, and
// with some of other failure domains.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <vector>

#include "kernel.hpp"

extern "C" {
#include "address_choice.h"
}

namespace {

const int kSample = 8;

struct Daemon {
    ps_name_t name;
    ps_name_t address;
    bool is_local;
    double capacity;
};

// A failure domain of 33 small VMs and 2 large ones, and two other domains.
std::vector<Daemon>
MakeDaemons()
{
    std::vector<Daemon> daemons;
    for (int domain = 0; domain < 3; domain++) {
        for (int i = 0; i < 35; i++) {
            const std::string id =
                std::to_string(domain) + "-" + std::to_string(i);
            daemons.push_back({ToName("d" + id), ToName("a" + id),
                               domain == 0, i < 2 ? 0.5 : 0.084});
        }
    }
    return daemons;
}

std::vector<const Daemon *>
Pick(const std::vector<Daemon> &daemons, uint64_t caller)
{
    std::vector<ps_address_candidate_t> candidates;
    for (const Daemon &daemon : daemons) {
        candidates.push_back({&daemon.name, &daemon.address, daemon.is_local,
                              daemon.capacity, 0});
    }
    const ps_name_t *addresses[kSample];
    const int n =
        PsAddressChoice_Pick(candidates.data(), (int)candidates.size(), caller,
                             addresses, kSample);
    std::vector<const Daemon *> picked;
    for (int i = 0; i < n; i++) {
        for (const Daemon &daemon : daemons) {
            if (&daemon.address == addresses[i]) {
                picked.push_back(&daemon);
            }
        }
    }
    return picked;
}

std::set<std::string>
GetNames(const std::vector<const Daemon *> &daemons)
{
    std::set<std::string> names;
    for (const Daemon *daemon : daemons) {
        names.insert(daemon->name.data);
    }
    return names;
}

// Guards against callers spread evenly over daemons of unequal capacity. Each
// caller connects to its addresses at random.
TEST(Addresses, LargeDaemonsGetSeveralTimesTheCallersOfSmallOnes)
{
    const std::vector<Daemon> daemons = MakeDaemons();
    std::map<double, int> callers;
    for (uint64_t caller = 0; caller < 2000; caller++) {
        for (const Daemon *daemon : Pick(daemons, caller)) {
            callers[daemon->capacity] += daemon->is_local ? 1 : 0;
        }
    }
    EXPECT_GT(callers[0.5] / 2.0, 3.0 * callers[0.084] / 33.0);
}

// Guards against callers without any address when their domain is lost, and
// against traffic that crosses domains without need.
TEST(Addresses, MostAreOfTheCallersDomainAndSomeOfOthers)
{
    const std::vector<Daemon> daemons = MakeDaemons();
    for (uint64_t caller = 0; caller < 200; caller++) {
        const auto picked = Pick(daemons, caller);
        ASSERT_EQ(picked.size(), (size_t)kSample);
        EXPECT_EQ(std::count_if(picked.begin(), picked.end(),
                                [](const Daemon *d) { return d->is_local; }),
                  6);
    }
}

// Guards against callers that drop their connections at each change of the
// daemons.
TEST(Addresses, LossOfADaemonMovesOnlyItsCallers)
{
    const std::vector<Daemon> daemons = MakeDaemons();
    std::vector<Daemon> others = daemons;
    others.erase(others.begin() + 3);
    int moved = 0;
    for (uint64_t caller = 0; caller < 2000; caller++) {
        const auto before = GetNames(Pick(daemons, caller));
        auto after = GetNames(Pick(others, caller));
        if (before.count(daemons[3].name.data) == 0) {
            EXPECT_EQ(before, after);
            continue;
        }
        moved++;
        int kept = 0;
        for (const std::string &name : before) {
            kept += (int)after.count(name);
        }
        EXPECT_EQ(kept, kSample - 1);
    }
    EXPECT_GT(moved, 0);
    EXPECT_LT(moved, 1000);
}

// Guards against a short list where one domain is lost.
TEST(Addresses, OtherDomainsFillTheListWhenTheCallersIsLost)
{
    std::vector<Daemon> daemons = MakeDaemons();
    daemons.erase(daemons.begin(), daemons.begin() + 34);
    EXPECT_EQ(Pick(daemons, 1).size(), (size_t)kSample);
    daemons.resize(3);
    EXPECT_EQ(Pick(daemons, 1).size(), 3U);
}

} // namespace
