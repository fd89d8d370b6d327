#include "support/directcluster.h"
#include "support/wait.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <string>

using namespace snipehill;
using namespace snipehill::support;

namespace
{

constexpr seconds handOverTime{4}; // an entry that keeps its lease while it drains holds it for longer
constexpr seconds exitTime{12};

/** Start of the log line that tells a change of the duties' lease. */
std::string leaseLine(const std::string &change, std::size_t entry)
{
    return "\"" + change + "\",\"scope\":\"duties\",\"holder\":\"entry-" + std::to_string(entry + 1) + "\"";
}

} // namespace

// Guards against a planned stop that costs the duties the rest of a lease.
TEST_CASE("An entry that is stopped hands the duties over at once", "[direct][lease]")
{
    DirectCluster host({{"p1", "plain", ""}}, 2);
    host.publish(defaultConfiguration(1));
    REQUIRE(host.waitUntilReady(0));
    REQUIRE(host.waitUntilReady(1));
    std::size_t holder = 0;
    REQUIRE(waitUntil([&] {
        const bool second = host.logOf(1).find(leaseLine("claimed", 1)) != std::string::npos;
        holder = second ? 1 : 0;
        return second || host.logOf(0).find(leaseLine("claimed", 0)) != std::string::npos;
    }));
    const std::size_t other = 1 - holder;
    host.entries[holder].signal(SIGTERM);
    const TimePoint stopped = Clock::now();
    CHECK(waitUntil([&] {
        return host.logOf(other).find(leaseLine("claimed", other)) != std::string::npos;
    }));
    CHECK(Clock::now() - stopped < handOverTime);
    CHECK(host.logOf(other).find(leaseLine("released", holder)) != std::string::npos);
    CHECK(host.entries[holder].waitForExit(exitTime) == 0);
}
