#include "../../bench/bounds.h"

#include <fakes/scalerun.h>
#include <request/scaleplan.h>

#include <catch2/catch.hpp>

#include <map>
#include <string>
#include <vector>

using namespace snipehill;

namespace
{

const TimePoint start = TimePoint{} + std::chrono::hours(1);
const std::vector<std::string> domains{"a", "b", "c", "d"};

std::vector<ScaleTarget> targetsIn(const std::vector<std::string> &places)
{
    std::vector<ScaleTarget> targets;
    for (std::size_t i = 0; i < places.size(); ++i) {
        targets.push_back({"t" + std::to_string(i), places[i], true, false, false});
    }
    return targets;
}

TargetGroup groupOf(std::uint32_t least, std::uint32_t most)
{
    TargetGroup group;
    group.minTargets = least;
    group.maxTargets = most;
    return group;
}

/** First order of the plan if the inputs stay the same for ten minutes. */
std::optional<ScaleOrder> lastingOrder(const std::vector<ScaleTarget> &targets, std::optional<double> load, const TargetGroup &group)
{
    ScaleState state;
    std::optional<ScaleOrder> order;
    for (int second = 0; second < 600 && !order; ++second) {
        order = planScale(state, targets, domains, load, group, {}, start + seconds(second));
    }
    return order;
}

} // namespace

TEST_CASE("Targets needed for a load", "[request]")
{
    struct Case
    {
        const char *name;
        double load;
        std::uint32_t domains;
        std::uint32_t least;
        std::uint32_t most;
        std::uint32_t needed;
    };
    for (const Case &c : {
             Case{"none", 0, 4, 0, 9, 0},
             Case{"never below minTargets", 0, 4, 2, 9, 2},
             Case{"by utilisation", 7, 1, 1, 99, 10},
             Case{"loss of 3 of 11 in four domains", 7, 4, 1, 99, 11}, // 10 would leave 7 * 0.95
             Case{"never above maxTargets", 7, 4, 1, 6, 6},
             Case{"loss of one of two domains", 3, 2, 1, 99, 8},
             Case{"a single domain", 3, 1, 1, 99, 5},
             Case{"a small load also survives a loss", 0.5, 4, 1, 99, 2},
         }) {
        INFO(c.name);
        CHECK(targetsNeeded(c.load, c.domains, groupOf(c.least, c.most), {}) == c.needed);
    }
}

TEST_CASE("Targets are started in the smallest domain and stopped in the largest", "[request]")
{
    struct Case
    {
        const char *name;
        std::vector<std::string> places;
        std::optional<double> load;
        std::optional<ScaleOrder::Kind> kind;
        std::string domain;
    };
    for (const Case &c : std::vector<Case>{
             {"too few", {"a", "b", "c"}, 4, ScaleOrder::Kind::Start, "d"},
             {"enough", {"a", "b", "c", "d"}, 2.5, std::nullopt, ""},
             {"too many", {"a", "b", "b", "c", "d", "a", "a"}, 2, ScaleOrder::Kind::Stop, "a"},
             {"no report: nothing is stopped", {"a", "b", "c", "d", "a"}, std::nullopt, std::nullopt, ""},
             {"no report: minTargets is kept", {"a"}, std::nullopt, ScaleOrder::Kind::Start, "b"},
             {"all in one domain", {"a", "a", "a", "a"}, 1, ScaleOrder::Kind::Start, "b"},
         }) {
        INFO(c.name);
        const auto order = lastingOrder(targetsIn(c.places), c.load, groupOf(2, 20));
        REQUIRE(order.has_value() == c.kind.has_value());
        if (order) {
            CHECK(order->kind == *c.kind);
            CHECK(order->failureDomain == c.domain);
            CHECK(order->instance.empty() == (order->kind == ScaleOrder::Kind::Start));
        }
    }
}

TEST_CASE("A short peak starts no target and a short lull stops none", "[request]")
{
    ScaleState state;
    const auto targets = targetsIn({"a", "b", "c", "d"});
    for (int second = 0; second < 600; ++second) {
        const double load = second % 30 < 15 ? 6 : 0.5;
        CHECK_FALSE(planScale(state, targets, domains, load, groupOf(1, 20), {}, start + seconds(second)));
    }
}

TEST_CASE("Stops keep a minimum interval, and leaving and starting targets are counted correctly", "[request]")
{
    ScaleState state;
    auto targets = targetsIn({"a", "b", "c", "d", "a", "b", "c", "d"});
    targets[7].serving = false;
    targets[7].starting = true;
    int stops = 0;
    for (int second = 0; second < 150; ++second) {
        if (const auto order = planScale(state, targets, domains, 0.5, groupOf(1, 20), {}, start + seconds(second))) {
            CHECK(order->kind == ScaleOrder::Kind::Stop);
            if (stops++ == 0) {
                CHECK(order->instance == "t7"); // not serving yet
            }
            for (ScaleTarget &target : targets) {
                target.leaving = target.leaving || target.instance == order->instance;
            }
        }
    }
    CHECK(stops == 1); // the next one follows after minStopInterval
}

TEST_CASE("Over seeded loads the remaining targets serve everything after the loss of a domain", "[request]")
{
    using namespace fakes;
    for (const int domainCount : {3, 4}) {
        for (const std::uint64_t seed : {1U, 2U}) {
            for (const ScaleScenario &scenario : scaleScenarios()) {
                INFO(scenario.name << ", " << domainCount << " domains, seed " << seed);
                ScaleRunSettings settings;
                settings.domains = domainCount;
                settings.seed = seed;
                const ScaleResult figures = runScale(settings, scenario);
                CHECK(figures.servedDuringLoss >= bounds::servedAfterDomainLoss);
                CHECK(figures.served >= bounds::goodFraction);
            }
        }
    }
}
