#include <request/roleshare.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace snipehill;

namespace
{

std::vector<RoleShareEngine> group(std::size_t readers, std::size_t others, std::uint32_t slots)
{
    std::vector<RoleShareEngine> engines;
    for (std::size_t i = 0; i < readers + others; ++i) {
        engines.push_back({.id = "e" + std::to_string(100 + i),
                           .failureDomain = "fd-" + std::to_string(i % 3),
                           .role = i < readers ? EngineRole::Prefill : EngineRole::Decode,
                           .slots = slots});
    }
    return engines;
}

} // namespace

TEST_CASE("Fewer slots on the decode engines mean fewer prefill engines", "[roles]")
{
    struct Case
    {
        std::size_t engines;
        std::uint32_t slots;
        std::size_t prefillEngines;
    };
    const std::vector<Case> cases{{1, 64, 0}, {2, 64, 1}, {9, 64, 6}, {18, 16, 7}, {48, 32, 27}, {60, 8, 18}};
    for (const Case &c : cases) {
        INFO(c.engines << " engines of " << c.slots << " slots");
        CHECK(desiredPrefillEngines(group(0, c.engines, c.slots), {}) == c.prefillEngines);
    }
}

TEST_CASE("Orders reach the desired share and then stop: all at once when idle, one of nine at a time under load", "[roles]")
{
    for (const bool serving : {false, true}) {
        for (const std::size_t readers : {0U, 3U, 6U, 9U}) {
            INFO(readers << " prefill engines at first, serving " << serving);
            auto engines = group(readers, 9 - readers, 64);
            std::size_t given = 0;
            std::size_t rounds = 0;
            for (auto orders = planRoleShare(engines, serving, {}); !orders.empty(); orders = planRoleShare(engines, serving, {})) {
                REQUIRE(++rounds <= 9);
                given += orders.size();
                for (const RoleOrder &order : orders) {
                    const auto engine = std::find_if(engines.begin(), engines.end(), [&order](const RoleShareEngine &candidate) {
                        return candidate.id == order.id;
                    });
                    CHECK(engine->role != order.role);
                    engine->role = order.role;
                }
            }
            const std::size_t missing = readers < 6 ? 6 - readers : readers - 6;
            CHECK(given == missing);
            CHECK(rounds == (serving ? missing : std::min<std::size_t>(missing, 1)));
        }
    }
}

TEST_CASE("Under load a small fraction of the engines changes at a time", "[roles]")
{
    struct Case
    {
        std::size_t engines;
        std::size_t changing;
        std::size_t orders;
    };
    const std::vector<Case> cases{{9, 0, 1}, {9, 1, 0}, {48, 0, 3}, {48, 1, 2}, {48, 3, 0}, {48, 5, 0}};
    for (const Case &c : cases) {
        INFO(c.engines << " engines, " << c.changing << " changing");
        auto engines = group(c.changing, c.engines - c.changing, 64);
        for (std::size_t i = 0; i < c.changing; ++i) {
            engines[i].changing = true;
        }
        CHECK(planRoleShare(engines, true, {}).size() == c.orders);
    }
}

TEST_CASE("Nothing is ordered while an engine has the mixed role", "[roles]")
{
    auto mixed = group(3, 6, 64);
    mixed[5].role = EngineRole::Mixed;
    CHECK(planRoleShare(mixed, false, {}).empty());
}
