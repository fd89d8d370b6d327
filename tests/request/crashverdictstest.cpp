#include "fakes/crashevidencerun.h"

#include <request/crashevidence.h>

#include <catch2/catch.hpp>

#include <vector>

using namespace snipehill;
using namespace snipehill::fakes;

// Guards against sends of crashing parts later than the platform allows, with several of them, a part that all share, and long queues (BUDGET).
TEST_CASE("Several crashing parts at once are stopped three seconds after the third crash of each", "[crash][load]")
{
    struct Case
    {
        const char *what;
        CrashLoad load;
    };
    std::vector<Case> cases{
        {"two parts", {.targets = 12, .crashingPerSecond = 8, .culprits = 2, .slowness = 2}},
        {"two parts, one that all share", {.targets = 12, .crashingPerSecond = 8, .culprits = 2, .sharedPart = true, .slowness = 2}},
        {"queues", {.targets = 12, .crashingPerSecond = 10, .culprits = 2, .sharedPart = true, .slowness = 3}},
        {"rare", {.targets = 12, .crashingPerSecond = 2, .culprits = 2, .sharedPart = true, .slowness = 3}},
        {"three first parts", {.crashingPerSecond = 5, .culprits = 3, .crashingFirst = true, .sharedPart = true, .slowness = 2}},
        {"four targets", {.targets = 4, .entries = 3, .crashingPerSecond = 3, .culprits = 2, .sharedPart = true, .slowness = 2}},
        {"the same requests again", {.targets = 12, .crashingPerSecond = 8, .culprits = 2, .alike = true, .sharedPart = true, .slowness = 3}},
        {"sixty targets, 27 entries",
         {.targets = 60, .slots = 64, .entries = 27, .crashingPerSecond = 10, .culprits = 2, .sharedPart = true, .slowness = 2, .duration = seconds(20)}},
    };
    for (Case &c : cases) {
        for (std::uint64_t seed = 1; seed <= (c.load.entries < 20 ? 4U : 1U); ++seed) {
            c.load.seed = seed;
            const CrashOutcome outcome = CrashEvidenceRun(c.load).play();
            INFO(c.what << ", seed " << seed << ": at most " << outcome.mostCrashes << " crashes of a part, " << outcome.lateAfterThird << " late, "
                        << outcome.refusedLate << " sound requests refused at the end");
            CHECK(outcome.lateAfterThird <= 3);
            CHECK(outcome.refusedLate <= 5 + outcome.soundRequests / 500);
        }
    }
}
