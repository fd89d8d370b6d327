#include "support/directcluster.h"
#include "support/wait.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <string>

using namespace snipehill;
using namespace snipehill::support;

namespace
{

constexpr seconds handoverTime{2}; // after the end of the process: one read interval of a standby, the claim and reading it back
constexpr seconds drainingTime{3}; // shorter than an entry goes on accepting after SIGTERM
constexpr seconds exitTime{12};

/** Start of the log line that tells a change of the duties' lease. */
std::string leaseLine(const std::string &change, std::size_t entry)
{
    return "\"" + change + "\",\"scope\":\"duties\",\"holder\":\"entry-" + std::to_string(entry + 1) + "\"";
}

} // namespace

// Guards against a planned stop that costs the duties the rest of a lease, or the time in which the entry drains.
TEST_CASE("An entry that is stopped keeps the duties while it drains and hands them over as it ends", "[direct][lease]")
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
    sleepFor(drainingTime);
    CHECK(host.logOf(other).find(leaseLine("released", holder)) == std::string::npos);
    CHECK(host.entries[holder].waitForExit(exitTime) == 0);
    const TimePoint ended = Clock::now();
    CHECK(waitUntil([&] {
        return host.logOf(other).find(leaseLine("claimed", other)) != std::string::npos;
    }));
    CHECK(Clock::now() - ended < handoverTime);
    CHECK(host.logOf(other).find(leaseLine("released", holder)) != std::string::npos);
}
