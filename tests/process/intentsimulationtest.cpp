#include "intentsimulation.h"

#include <catch2/catch.hpp>

using namespace snipehill;
using namespace snipehill::test;

namespace
{

constexpr std::uint64_t seeds = 5000;
constexpr std::uint64_t mutationSeeds = 3000;

} // namespace

TEST_CASE("a key runs at most once under seeded faults", "[intents][at-most-once][not-run][interleavings]")
{
    IntentRun total;
    for (const std::uint64_t seed : seedsToRun(seeds)) {
        const IntentRun run = simulateIntents(seed, IntentMutation::None);
        INFO("run again with SNIPEHILL_SEED=" << seed << ": " << (run.violations.empty() ? "" : run.violations.front()));
        REQUIRE(run.violations.empty());
        total.claims += run.claims;
        total.runs += run.runs;
        total.freed += run.freed;
        total.logUnavailable += run.logUnavailable;
        total.ownedByOther += run.ownedByOther;
        total.faults += run.faults;
    }
    INFO("claims " << total.claims << ", ran " << total.runs << ", owned by another " << total.ownedByOther << ", log unavailable " << total.logUnavailable
                   << ", freed " << total.freed << ", faults " << total.faults);
    CHECK(total.runs > 0);
    CHECK(total.ownedByOther > 0);
    CHECK(total.logUnavailable > 0);
    CHECK(total.freed > 0);
}

TEST_CASE("the intent checks detect each omitted rule", "[intents][at-most-once][interleavings]")
{
    struct Case
    {
        const char *name;
        IntentMutation mutation;
    };
    for (const Case &c : {Case{"an answered append counts as ownership", IntentMutation::AcknowledgedCountsAsOwned},
                          {"a request runs after its claim timed out", IntentMutation::ExpiredClaimRuns},
                          {"a request that ran is reported as not run", IntentMutation::RunThenNotRun},
                          {"later claims are dropped", IntentMutation::LaterClaimsDropped}}) {
        std::uint64_t seed = 1;
        while (seed <= mutationSeeds && simulateIntents(seed, c.mutation).violations.empty()) {
            ++seed;
        }
        INFO(c.name << ": first detected with seed " << seed);
        CHECK(seed <= mutationSeeds);
    }
}
