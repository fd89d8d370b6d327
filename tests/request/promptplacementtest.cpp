#include "fakes/promptrun.h"

#include <request/promptplacement.h>

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace snipehill;

namespace
{

PlacementEngine engine(std::string id, EngineRole role, milliseconds backlog = milliseconds(0), std::uint64_t covered = 0)
{
    return {.id = std::move(id), .failureDomain = "fd-a", .role = role, .backlog = backlog, .slots = 16, .cachedTokens = covered};
}

PlacementSettings linked()
{
    PlacementSettings settings;
    settings.kvBytesPerToken = 327680;
    settings.linkBitsPerSecond = 2.7e12;
    return settings;
}

constexpr auto prefill = EngineRole::Prefill;
constexpr auto decode = EngineRole::Decode;

} // namespace

TEST_CASE("A prompt is placed where its first event is predicted soonest", "[placement]")
{
    struct Case
    {
        const char *what;
        std::vector<PlacementEngine> engines;
        PromptDemand demand;
        std::string prefillEngine; //!< empty if decodeEngine also prefills
        std::string decodeEngine;
        std::string fetchFrom;
    };
    PlacementEngine suspect = engine("p1", prefill);
    suspect.suspect = true;
    PlacementEngine remote = engine("d1", decode);
    remote.failureDomain = "fd-b";
    PlacementEngine full = engine("d1", decode);
    full.running = 40;
    PlacementEngine slow = engine("p1", prefill);
    slow.slowness = 6;
    const PromptDemand longPrompt{.promptTokens = 17000, .bodyBytes = 34000, .failureDomain = "fd-a"};
    const std::vector<Case> cases{
        {"a long prompt is prefilled on a separate engine", {engine("p1", prefill), engine("d1", decode)}, longPrompt, "p1", "d1", ""},
        {"the prefill engine with the shorter backlog",
         {engine("p1", prefill, milliseconds(300)), engine("p2", prefill), engine("d1", decode)},
         longPrompt,
         "p2",
         "d1",
         ""},
        {"KV cache fetched from a busier prefill engine that has the prefix",
         {engine("p1", prefill, milliseconds(100), 13300), engine("p2", prefill), engine("d1", decode)},
         {.promptTokens = 17000, .failureDomain = "fd-a"},
         "p2",
         "d1",
         "p1"},
        {"KV cache from a prefill engine, not from a decode engine that may have evicted it",
         {engine("d1", decode, milliseconds(0), 13300), engine("p1", prefill, milliseconds(400), 13300), engine("p2", prefill)},
         {.promptTokens = 17000, .failureDomain = "fd-a"},
         "p2",
         "d1",
         "p1"},
        {"a short prompt on the decode engine while prefill engines are busy",
         {engine("p1", prefill, milliseconds(80)), engine("d1", decode)},
         {.promptTokens = 300, .failureDomain = "fd-a"},
         "",
         "d1",
         ""},
        {"a short prompt on a separate engine while prefill engines are idle",
         {engine("p1", prefill), engine("d1", decode)},
         {.promptTokens = 300, .failureDomain = "fd-a"},
         "p1",
         "d1",
         ""},
        {"on the decode engine if prefill engines have a long backlog",
         {engine("p1", prefill, milliseconds(9000)), engine("d1", decode)},
         longPrompt,
         "",
         "d1",
         ""},
        {"on the decode engine if disaggregation is not allowed",
         {engine("p1", prefill), engine("d1", decode)},
         {.promptTokens = 17000, .failureDomain = "fd-a", .allowDisaggregation = false},
         "",
         "d1",
         ""},
        {"no prefill engine that failed recently", {suspect, engine("p2", prefill, milliseconds(200)), engine("d1", decode)}, longPrompt, "p2", "d1", ""},
        {"no prefill engine that is slow", {slow, engine("p2", prefill, milliseconds(200)), engine("d1", decode)}, longPrompt, "p2", "d1", ""},
        {"a decode engine in the same failure domain", {engine("p1", prefill), remote, engine("d2", decode)}, longPrompt, "p1", "d2", ""},
        {"a decode engine with free slots", {engine("p1", prefill), full, engine("d2", decode)}, longPrompt, "p1", "d2", ""},
    };
    for (const Case &c : cases) {
        INFO(c.what);
        Reason reason;
        const auto placement = placePrompt(c.engines, c.demand, linked(), reason);
        REQUIRE(placement);
        CHECK((placement->prefillEngine ? c.engines[*placement->prefillEngine].id : "") == c.prefillEngine);
        CHECK(c.engines[placement->decodeEngine].id == c.decodeEngine);
        CHECK((placement->fetchFrom ? c.engines[*placement->fetchFrom].id : "") == c.fetchFrom);
    }
}

TEST_CASE("Without a decode engine there is no placement", "[placement]")
{
    const std::vector<std::vector<PlacementEngine>> groups{{}, {engine("p1", prefill), engine("p2", prefill)}};
    for (const auto &engines : groups) {
        Reason reason;
        CHECK(!placePrompt(engines, {.promptTokens = 100}, linked(), reason));
        CHECK(reason.step == Step::ChooseTarget);
    }
}

TEST_CASE("Short prompts precede long ones of the same priority, but not those of a higher priority", "[placement]")
{
    CHECK(urgencyOf(0, 300) < urgencyOf(0, 17000));
    CHECK(urgencyOf(0, 17000) < urgencyOf(1, 300));
}

TEST_CASE("Under an overload of long prompts admitted ones are on time, and large and short prompts keep their share", "[placement][load]")
{
    for (const std::uint64_t seed : {1, 2, 3, 4}) {
        INFO("seed " << seed);
        fakes::PromptLoad load{.seed = seed, .longPerSecond = 40, .burst = 3};
        const auto bounded = fakes::PromptRun(load).run();
        load.limitAdmission = false;
        const auto unbounded = fakes::PromptRun(load).run();
        const auto share = [](std::size_t part, std::size_t whole) {
            return static_cast<double>(part) / static_cast<double>(whole);
        };
        const auto &longs = bounded.longPrompts;
        // Without the bounds the engines prefill prompts whose callers have already left.
        CHECK(longs.onTime > unbounded.longPrompts.onTime);
        CHECK(longs.abandoned < unbounded.longPrompts.abandoned / 3);
        CHECK(share(bounded.shortPrompts.onTime, bounded.shortPrompts.offered) > share(unbounded.shortPrompts.onTime, unbounded.shortPrompts.offered));
        // The largest tenth must be served at least half as often as long prompts overall.
        CHECK(share(longs.largestServed, longs.largestOffered) > 0.5 * share(longs.offered - longs.refused - longs.abandoned, longs.offered));
    }
}

// Long and short prompts together use half of the prefill capacity while the prefix caches are empty.
TEST_CASE("A load within capacity is served on time for any group size", "[placement][load]")
{
    struct Case
    {
        std::size_t prefillEngines;
        std::size_t decodeEngines;
        std::uint32_t slots;
        double longs;
        double shorts;
    };
    const std::vector<Case> cases{{1, 1, 64, 0.4, 20}, {6, 3, 64, 4.5, 150}, {7, 11, 16, 5, 180}, {20, 12, 32, 15, 500}};
    for (const Case &c : cases) {
        INFO(c.prefillEngines << " readers, " << c.decodeEngines << " runners");
        fakes::PromptLoad load{.seed = 7,
                               .prefillEngines = c.prefillEngines,
                               .decodeEngines = c.decodeEngines,
                               .slots = c.slots,
                               .longPerSecond = c.longs,
                               .shortPerSecond = c.shorts};
        load.length = seconds(120);
        const auto outcome = fakes::PromptRun(load).run();
        CHECK(static_cast<double>(outcome.longPrompts.refused + outcome.longPrompts.abandoned) < 0.15 * static_cast<double>(outcome.longPrompts.offered));
        CHECK(static_cast<double>(outcome.shortPrompts.onTime) > 0.9 * static_cast<double>(outcome.shortPrompts.offered));
    }
}
