#include <core/memorybudget.h>

#include <catch2/catch.hpp>

#include <vector>

using namespace snipehill;

namespace
{

/** Size of a share of which the given number of bytes is counted. */
constexpr std::size_t sizeFor(std::size_t counted)
{
    return counted == 0 ? 0 : counted + MemoryBudget::uncountedBytes;
}

} // namespace

// Guards against shares that are counted twice, not given back, or granted beyond the budget.
TEST_CASE("Shares of a memory budget grow up to its limit and are given back", "[memory]")
{
    struct Case
    {
        const char *what;
        std::vector<std::size_t> counted; //!< of the first share, in turn
        std::vector<bool> granted;
        std::size_t used; //!< with another share of which 40 bytes are counted
    };
    const std::vector<Case> cases{
        {"nothing", {}, {}, 40},
        {"up to the limit", {60}, {true}, 100},
        {"beyond the limit", {61}, {false}, 40},
        {"growth beyond the limit keeps what was granted", {30, 61}, {true, false}, 70},
        {"growth and decline", {10, 60, 20}, {true, true, true}, 60},
        {"decline to nothing", {60, 0}, {true, true}, 40},
        {"far beyond the limit", {~std::size_t(0) / 2}, {false}, 40},
    };
    for (const Case &c : cases) {
        INFO(c.what);
        MemoryBudget budget(100);
        {
            MemoryBudget::Share other(&budget);
            REQUIRE(other.resize(sizeFor(40)));
            MemoryBudget::Share share(&budget);
            for (std::size_t i = 0; i < c.counted.size(); ++i) {
                CHECK(share.resize(sizeFor(c.counted[i])) == c.granted[i]);
            }
            CHECK(budget.usedBytes() == c.used);
        }
        CHECK(budget.usedBytes() == 0);
    }
    MemoryBudget::Share unlimited(nullptr);
    CHECK(unlimited.resize(~std::size_t(0)));
}

// Guards against a peer whose large messages shut out the small ones of all others.
TEST_CASE("A small share is granted when large ones have used up the budget", "[memory]")
{
    MemoryBudget budget(100);
    MemoryBudget::Share large(&budget);
    REQUIRE(large.resize(sizeFor(100)));
    MemoryBudget::Share small(&budget);
    CHECK(small.resize(MemoryBudget::uncountedBytes));
    CHECK(!small.resize(MemoryBudget::uncountedBytes + 1));
}
