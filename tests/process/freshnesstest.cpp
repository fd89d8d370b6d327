#include <process/freshness.h>

#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <vector>

using namespace snipehill;

namespace
{

constexpr seconds freshness{3};
const TimePoint now(seconds(1000));

std::optional<TimePoint> ago(int age)
{
    return now - milliseconds(age);
}

std::vector<MemberContact> members(std::size_t reached, std::size_t silent)
{
    std::vector<MemberContact> list;
    for (std::size_t i = 0; i < reached; ++i) {
        list.push_back({"r" + std::to_string(i), ago(2000), 7});
    }
    for (std::size_t i = 0; i < silent; ++i) {
        list.push_back({"s" + std::to_string(i), i % 2 == 0 ? std::nullopt : ago(3001), 7});
    }
    return list;
}

} // namespace

TEST_CASE("keyed routes are served only while the configuration is provably fresh", "[config][key-isolation]")
{
    struct Case
    {
        const char *what;
        FreshnessInputs inputs;
        Freshness expected;
    };
    const Case cases[] = {
        {"contact exactly at the freshness time", {true, ago(3000), std::nullopt, 7, 7, members(0, 3)}, Freshness::Fresh},
        {"contact older than the freshness time, no member reached", {true, ago(3001), std::nullopt, 7, 7, members(0, 3)}, Freshness::Stale},
        {"no contact yet, no member reached", {true, std::nullopt, std::nullopt, 7, 7, members(0, 1)}, Freshness::Stale},
        {"contact, but a peer has a higher offset", {true, ago(100), std::nullopt, 7, 8, members(3, 0)}, Freshness::Stale},
        {"contact, but records are missing", {false, ago(100), std::nullopt, 7, 7, members(3, 0)}, Freshness::Stale},
        {"outage, all members reached", {true, ago(60000), std::nullopt, 7, 7, members(3, 0)}, Freshness::Outage},
        {"outage, two of four including this process", {true, ago(60000), std::nullopt, 7, 7, members(1, 2)}, Freshness::Stale},
        {"outage, three of four including this process", {true, ago(60000), std::nullopt, 7, 7, members(2, 1)}, Freshness::Outage},
        {"outage, three of five including this process", {true, ago(60000), std::nullopt, 7, 7, members(2, 2)}, Freshness::Outage},
        {"outage, a peer has a higher offset", {true, ago(60000), std::nullopt, 7, 8, members(3, 0)}, Freshness::Stale},
        {"outage, no configuration", {false, std::nullopt, std::nullopt, noOffset, noOffset, members(3, 0)}, Freshness::Stale},
        {"outage, no other members", {true, ago(60000), std::nullopt, 7, 7, {}}, Freshness::Outage},
        {"no other members, the log is being read", {true, std::nullopt, ago(10), 7, 7, {}}, Freshness::Stale},
        {"the log became unreachable during a read", {true, std::nullopt, ago(3001), 7, 7, members(3, 0)}, Freshness::Outage},
    };
    for (const Case &c : cases) {
        INFO(c.what);
        REQUIRE(evaluateFreshness(c.inputs, freshness, now) == c.expected);
    }
}
