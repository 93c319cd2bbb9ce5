// kernel.hpp - Headers of the C modules that need no network, and helpers to
// use them from C++ tests.
#pragma once

#include <glib.h>
#include <jansson.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "config.h"
#include "entry.h"
#include "forecast.h"
#include "ledger.h"
#include "members.h"
#include "owner.h"
#include "pool.h"
#include "rules.h"
#include "settings.h"
}

inline ps_name_t
ToName(const std::string &text)
{
    return PsName_FromC(text.c_str());
}

inline std::string
ToString(const ps_name_t &name)
{
    return std::string(name.data, name.len);
}

// The view is valid as long as the text.
inline ps_str_t
ToStr(const std::string &text)
{
    return ps_str_t{text.data(), text.size()};
}

// Returns a configuration as JSON: a model pool "m" with @engines servers
// "e1", "e2", ... and a service pool "s" with @services servers "s1", "s2",
// ... of 8 slots each; team "big" has weight 2. @pool_extra adds keys to the
// model pool, each as ",\"key\":value".
inline std::string
MakeConfigText(int engines, int services, const std::string &pool_extra = "")
{
    auto list_servers = [](const std::string &prefix, int n) {
        std::string list;
        for (int i = 1; i <= n; i++) {
            list += (i > 1 ? "," : "") + std::string("{\"name\":\"") + prefix +
                    std::to_string(i) +
                    "\",\"address\":\"127.0.0.1:" + std::to_string(9000 + i) +
                    "\",\"domain\":\"z\"}";
        }
        return list;
    };
    return "{\"tiers\":[{\"deadline_ms\":20000},{\"deadline_ms\":40000},"
           "{\"deadline_ms\":60000}],\"teams\":[{\"name\":\"big\","
           "\"weight\":2}],\"pools\":[{\"name\":\"m\",\"kind\":\"model\"" +
           pool_extra + ",\"servers\":[" + list_servers("e", engines) +
           "]},{\"name\":\"s\",\"kind\":\"service\",\"slots\":8,"
           "\"servers\":[" +
           list_servers("s", services) +
           "]}],\"rules\":[{\"name\":\"all\",\"then\":{\"pool\":\"m\"}}]}";
}
