#include "../../bench/bounds.h"

#include <fakes/rolerun.h>
#include <request/roleplan.h>

#include <catch2/catch.hpp>

#include <functional>
#include <string>
#include <vector>

using namespace snipehill;

namespace
{

const TimePoint start = TimePoint{} + std::chrono::hours(1);

/** Four prefill and four decode engines in four failure domains, with mostly prefill demand. */
struct Setup
{
    std::vector<EngineView> engines;
    RolePool pool;
    std::vector<std::string> busyDomains;
};

Setup shifted()
{
    Setup setup;
    for (int i = 0; i < 8; ++i) {
        EngineView view;
        view.instance = "e" + std::to_string(i);
        view.failureDomain = "d" + std::to_string(i / 2);
        view.role = i % 2 == 0 ? EngineRole::Prefill : EngineRole::Decode;
        view.reportAge = seconds(1);
        view.prefillTokensPerSecond = 1000;
        view.decodeTokensPerSecond = 100;
        setup.engines.push_back(view);
    }
    addDemand(setup.pool.demand, {4800, 150}, {}, start);
    return setup;
}

std::optional<RoleChange> plan(const Setup &setup)
{
    return planRoles(setup.engines, setup.pool, setup.busyDomains, {}, start + seconds(60));
}

} // namespace

TEST_CASE("Worst utilisation of dedicated and mixed engines", "[request]")
{
    struct Case
    {
        const char *name;
        std::vector<EngineRole> roles;
        TokenDemand demand;
        double utilisation;
    };
    RolePlanSettings settings;
    settings.mixedEfficiency = 0.8;
    for (const Case &c : std::vector<Case>{
             {"dedicated", {EngineRole::Prefill, EngineRole::Decode}, {500, 80}, 0.8},
             {"mixed", {EngineRole::Mixed}, {400, 40}, 1.0},
             {"mixed engine relieves the higher utilisation", {EngineRole::Prefill, EngineRole::Mixed}, {1000, 40}, 1400.0 / 1800},
             {"no demand", {EngineRole::Prefill}, {0, 0}, 0},
             {"nothing serves decode", {EngineRole::Prefill}, {10, 1}, std::numeric_limits<double>::infinity()},
         }) {
        INFO(c.name);
        std::vector<EngineView> engines;
        for (const EngineRole role : c.roles) {
            EngineView view;
            view.role = role;
            view.prefillTokensPerSecond = 1000;
            view.decodeTokensPerSecond = 100;
            engines.push_back(view);
        }
        const double utilisation = worstUtilisation(engines, c.demand, settings);
        CHECK((utilisation == c.utilisation || utilisation == Approx(c.utilisation)));
    }
}

TEST_CASE("A role change relieves the kind of work with the higher utilisation", "[request]")
{
    const auto change = plan(shifted());
    REQUIRE(change);
    CHECK(change->role != EngineRole::Decode);
    CHECK(change->utilisationAfter < change->utilisationBefore);
}

TEST_CASE("No role is changed while a change would be unsafe or would not pay off", "[request]")
{
    struct Case
    {
        const char *name;
        std::function<void(Setup &)> prepare;
    };
    for (const Case &c : std::vector<Case>{
             {"another engine is changing",
              [](Setup &setup) {
                  setup.engines[3].changing = true;
              }},
             {"the pool has just changed",
              [](Setup &setup) {
                  recordRoleChange(setup.pool, start + seconds(50));
              }},
             {"each engine has just changed",
              [](Setup &setup) {
                  for (EngineView &view : setup.engines) {
                      view.everChanged = true;
                      view.lastChange = start;
                  }
              }},
             {"every failure domain is busy",
              [](Setup &setup) {
                  setup.busyDomains = {"d0", "d1", "d2", "d3"};
              }},
             {"reports are missing",
              [](Setup &setup) {
                  for (int i = 0; i < 4; ++i) {
                      setup.engines[static_cast<std::size_t>(i)].reportAge.reset();
                  }
              }},
             {"reports are stale",
              [](Setup &setup) {
                  for (EngineView &view : setup.engines) {
                      view.reportAge = seconds(11);
                  }
              }},
             {"no demand is known",
              [](Setup &setup) {
                  setup.pool = {};
              }},
             {"the pool isn't busy",
              [](Setup &setup) {
                  setup.pool = {};
                  addDemand(setup.pool.demand, {2000, 50}, {}, start);
              }},
             {"prefill and decode are equally busy",
              [](Setup &setup) {
                  setup.pool = {};
                  addDemand(setup.pool.demand, {4000, 400}, {}, start);
              }},
             {"one engine",
              [](Setup &setup) {
                  setup.engines.resize(1);
              }},
             {"no engine",
              [](Setup &setup) {
                  setup.engines.clear();
              }},
         }) {
        INFO(c.name);
        Setup setup = shifted();
        c.prepare(setup);
        CHECK_FALSE(plan(setup));
    }
}

TEST_CASE("A regime is expected to end after the mean regime length", "[request]")
{
    DemandAverages averages;
    const RolePlanSettings settings;
    int second = 0;
    const auto run = [&](int length, TokenDemand demand) {
        for (int i = 0; i < length; ++i) {
            addDemand(averages, demand, settings, start + seconds(second++));
        }
    };
    CHECK(expectedRegimeDuration(averages, settings, start) == settings.horizon);
    for (int i = 0; i < 6; ++i) {
        run(60, {1000, 50});
        run(60, {500, 100});
    }
    CHECK(expectedRegimeDuration(averages, settings, start + seconds(second)) < seconds(60));
    run(400, {500, 100});
    CHECK(expectedRegimeDuration(averages, settings, start + seconds(second)) == settings.horizon);
}

TEST_CASE("Over seeded demand shifts the plan stays near the best split in hindsight", "[request]")
{
    using namespace fakes;
    for (const std::uint64_t seed : {1U, 2U}) {
        for (const RoleScenario &scenario : roleScenarios()) {
            if (scenario.length > 10000) {
                continue; // the day-long scenario runs in the bench only
            }
            INFO(scenario.name << ", seed " << seed);
            RoleRunSettings settings;
            settings.seed = seed;
            const RoleRunResult result = RoleRun(settings, scenario).run();
            settings.policy = RolePolicy::Hindsight;
            const RoleRunResult hindsight = RoleRun(settings, scenario).run();
            CHECK(result.goodput / hindsight.goodput >= bounds::goodFraction);
            CHECK(result.maxConcurrentChanges <= bounds::enginesChangingAtOnce);
            // A report still counts as fresh for the first seconds after an engine falls silent.
            CHECK(result.changesWhileReportsMissing <= bounds::changesWithoutReports);
        }
    }
}
