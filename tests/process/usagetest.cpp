#include "usagesimulation.h"

#include <catch2/catch.hpp>

using namespace snipehill;
using namespace snipehill::test;

namespace
{

constexpr std::uint64_t usageRuns = 4000;
constexpr std::uint64_t mutationRuns = 100;
const Incarnation sidecarA{"sc-a", 1};
const Incarnation sidecarB{"sc-b", 1};
const UsageByWorkspace one{{"bureau", {1, 10, 20}}};

UsageRecord closedRecord(WindowNumber window, std::vector<UsageSource> sources, std::uint64_t requests)
{
    return {.closed = ClosedWindow{window, {{"bureau", {requests, 0, 0}}}, std::move(sources)}, .reported = {}};
}

} // namespace

TEST_CASE("a window that was read receives no more usage", "[usage]")
{
    UsageCounts counts;
    REQUIRE(addUsage(counts, 7, "bureau", {1, 0, 0}) == 7);
    REQUIRE(freezeUsage(counts, 7).at(7).at("bureau").requests == 1);
    REQUIRE(addUsage(counts, 7, "bureau", {1, 0, 0}) == 8);
    REQUIRE(addUsage(counts, 6, "bureau", {1, 0, 0}) == 8);
    REQUIRE(freezeUsage(counts, 5).empty());
    REQUIRE(freezeUsage(counts, 7).at(7).at("bureau").requests == 1);
    REQUIRE(addUsage(counts, 9, "bureau", {1, 0, 0}) == 9);
}

TEST_CASE("the first closed record determines the totals of a window and the window of each row", "[usage][usage-once]")
{
    struct Case
    {
        const char *name;
        UsageRecord second;
        bool effective;
    };
    for (const Case &c : {Case{"same window again", closedRecord(5, {{sidecarB, 5}}, 9), false},
                          {"earlier window", closedRecord(4, {{sidecarB, 4}}, 9), false},
                          {"row already included", closedRecord(6, {{sidecarA, 5}, {sidecarB, 6}}, 9), false},
                          {"late row of another sidecar", closedRecord(6, {{sidecarB, 5}}, 9), true}}) {
        INFO(c.name);
        UsageLedger ledger;
        REQUIRE(applyUsageRecord(ledger, closedRecord(5, {{sidecarA, 5}}, 3)));
        REQUIRE(applyUsageRecord(ledger, c.second) == c.effective);
        REQUIRE(ledger.unreported.at(5).at("bureau").requests == 3);
        REQUIRE(ledger.unreported.size() == (c.effective ? 2 : 1));
    }
}

TEST_CASE("reported workspaces are not reported again", "[usage]")
{
    UsageLedger ledger;
    applyUsageRecord(ledger, closedRecord(5, {{sidecarA, 5}}, 3));
    applyUsageRecord(ledger, {.closed = {}, .reported = ReportedWindow{5, {"kaspiy"}}});
    REQUIRE(ledger.unreported.contains(5));
    applyUsageRecord(ledger, {.closed = {}, .reported = ReportedWindow{5, {"bureau"}}});
    REQUIRE(ledger.unreported.empty());
}

TEST_CASE("each row goes into one closed record of the right window", "[usage]")
{
    struct Case
    {
        const char *name;
        CollectedUsage collected;
        std::vector<WindowNumber> windows;
        std::uint64_t requests; //!< over all records
    };
    for (const Case &c : {Case{"nothing", {}, {}, 0},
                          {"own window", {.sidecars = {{{sidecarA, 6}, one}}}, {6}, 1},
                          {"window not ended", {.sidecars = {{{sidecarA, 9}, one}}}, {}, 0},
                          {"late row", {.sidecars = {{{sidecarA, 4}, one}}}, {6}, 1},
                          {"already included", {.sidecars = {{{sidecarA, 5}, one}}}, {}, 0},
                          {"several windows", {.sidecars = {{{sidecarA, 6}, one}, {{sidecarB, 8}, one}}}, {6, 8}, 2},
                          {"copy of a running sidecar run", {.copies = {{{sidecarA, 6}, one}}}, {}, 0},
                          {"copy of an ended sidecar run", {.copies = {{{sidecarA, 6}, one}}, .endedRuns = {sidecarA}}, {6}, 1},
                          {"copy in addition to the sidecar's own row",
                           {.sidecars = {{{sidecarA, 6}, one}}, .copies = {{{sidecarA, 6}, one}}, .endedRuns = {sidecarA}},
                           {6},
                           1}}) {
        INFO(c.name);
        UsageLedger ledger;
        applyUsageRecord(ledger, closedRecord(5, {{sidecarA, 5}}, 3));
        std::vector<WindowNumber> windows;
        std::uint64_t requests = 0;
        for (const ClosedWindow &closed : closeWindows(ledger, 8, c.collected)) {
            windows.push_back(closed.window);
            requests += closed.totals.at("bureau").requests;
        }
        REQUIRE(windows == c.windows);
        REQUIRE(requests == c.requests);
    }
}

TEST_CASE("usage records and rows round-trip through JSON", "[usage]")
{
    Reason reason;
    const ClosedWindow closed{7, one, {{sidecarA, 6}, {sidecarB, 7}}};
    const auto parsed = parseUsageRecord(toJson(closed), reason);
    REQUIRE(parsed);
    REQUIRE(toJson(*parsed->closed) == toJson(closed));
    const auto reported = parseUsageRecord(toJson(ReportedWindow{7, {"bureau"}}), reason);
    REQUIRE(reported);
    REQUIRE(reported->reported->workspaces == std::vector<std::string>{"bureau"});
    const UsageRows rows{{{sidecarA, 7}, one}};
    REQUIRE(parseUsageRows(toJson(rows), reason) == rows);
    for (const char *field : {"kind", "window", "workspaces", "sources"}) {
        Json::Value broken = toJson(closed);
        broken[field] = 3.5;
        INFO(field);
        REQUIRE_FALSE(parseUsageRecord(broken, reason));
    }
    REQUIRE_FALSE(parseUsageRecord(Json::Value("closed"), reason));
    REQUIRE_FALSE(parseUsageRows(Json::Value(3), reason));
}

TEST_CASE("window bounds are consistent", "[usage]")
{
    using std::chrono::system_clock;
    const milliseconds length(60000);
    const system_clock::time_point start{};
    REQUIRE(windowOf(start + milliseconds(59999), length) == 0);
    REQUIRE(windowOf(start + milliseconds(60000), length) == 1);
    REQUIRE(endOfWindow(1, length) == start + milliseconds(120000));
    REQUIRE(newestEndedWindow(start + milliseconds(124999), milliseconds(5000), length) == 0);
    REQUIRE(newestEndedWindow(start + milliseconds(125000), milliseconds(5000), length) == 1);
}

TEST_CASE("a usage window is reported with one set of totals in any interleaving", "[usage][usage-once]")
{
    std::size_t reports = 0;
    std::size_t faults = 0;
    for (const std::uint64_t seed : seedsToRun(usageRuns)) {
        const UsageSimulationResult result = simulateUsage(seed, UsageMutation::None);
        const auto violations = checkUsage(result);
        if (!violations.empty()) {
            FAIL("SNIPEHILL_SEED=" << seed << ": " << violations.front());
        }
        reports += result.reports.size();
        faults += result.faults;
    }
    CHECK(reports > 0);
    WARN("usage: reports " << reports << ", faults " << faults);
}

TEST_CASE("the usage checker detects each violated rule", "[usage]")
{
    struct Case
    {
        const char *name;
        UsageMutation mutation;
    };
    for (const Case &c : {Case{"totals reported without reading the record back", UsageMutation::ReportUnreadTotals},
                          {"later closed record wins", UsageMutation::LaterClosedWins},
                          {"sources ignored", UsageMutation::SourcesIgnored},
                          {"windows not frozen", UsageMutation::NoFreeze},
                          {"copies of running sidecar runs", UsageMutation::CopiesOfLiveRuns}}) {
        INFO(c.name);
        std::size_t flagged = 0;
        for (std::uint64_t seed = 1; seed <= mutationRuns; ++seed) {
            flagged += checkUsage(simulateUsage(seed, c.mutation)).empty() ? 0 : 1;
        }
        CHECK(flagged > 0);
        WARN(c.name << ": flagged in " << flagged << " of " << mutationRuns << " runs");
    }
}
