#include <request/roleshare.h>

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace snipehill;

namespace
{

std::vector<ShareEngine> group(std::size_t readers, std::size_t others, std::uint32_t slots)
{
    std::vector<ShareEngine> engines;
    for (std::size_t i = 0; i < readers + others; ++i) {
        engines.push_back({.id = "e" + std::to_string(100 + i),
                           .failureDomain = "fd-" + std::to_string(i % 3),
                           .role = i < readers ? EngineRole::Prefill : EngineRole::Decode,
                           .slots = slots});
    }
    return engines;
}

} // namespace

TEST_CASE("The fewer slots the other engines have, the fewer engines read", "[roles]")
{
    struct Case
    {
        std::size_t engines;
        std::uint32_t slots;
        std::size_t readers;
    };
    const std::vector<Case> cases{{1, 64, 0}, {2, 64, 1}, {9, 64, 6}, {18, 16, 7}, {48, 32, 27}, {60, 8, 18}};
    for (const Case &c : cases) {
        INFO(c.engines << " engines of " << c.slots << " slots");
        CHECK(wantedReaders(group(0, c.engines, c.slots), {}) == c.readers);
    }
}

TEST_CASE("Orders lead to the share one engine at a time, and then cease", "[roles]")
{
    for (const std::size_t readers : {0U, 3U, 6U, 9U}) {
        INFO(readers << " readers at first");
        auto engines = group(readers, 9 - readers, 64);
        int orders = 0;
        while (const auto order = nextShareOrder(engines, {})) {
            REQUIRE(++orders <= 9);
            for (ShareEngine &engine : engines) {
                if (engine.id == order->id) {
                    CHECK(engine.role != order->role);
                    engine.role = order->role;
                }
            }
        }
        CHECK(orders == std::abs(static_cast<int>(readers) - 6));
    }
}

TEST_CASE("Nothing is ordered while a change is under way or engines have no separate roles", "[roles]")
{
    auto changing = group(3, 6, 64);
    changing[0].changing = true;
    CHECK(!nextShareOrder(changing, {}));
    auto mixed = group(3, 6, 64);
    mixed[5].role = EngineRole::Mixed;
    CHECK(!nextShareOrder(mixed, {}));
}
