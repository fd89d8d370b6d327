#include "report.h"

#include <fakes/crashrun.h>

#include <string>
#include <vector>

using namespace snipehill;
using namespace snipehill::fakes;

namespace
{

constexpr std::uint64_t seeds[] = {41, 42, 43, 44, 45};

void compare(const bench::Report &report, const std::string &title, const RunSettings &settings)
{
    std::vector<bench::Row> rows;
    for (const CrashCase &crashCase : crashCases()) {
        CrashResult totals;
        for (const std::uint64_t seed : seeds) {
            const CrashResult result = runCrashCase(crashCase, settings, seed);
            totals.crashingRequests += result.crashingRequests;
            totals.targetsLost += result.targetsLost;
            totals.bystandersLost += result.bystandersLost;
            totals.secondsUntilBlocked = std::max(totals.secondsUntilBlocked, result.secondsUntilBlocked);
            totals.goodput += result.goodput / std::size(seeds);
            totals.baselineGoodput += result.baselineGoodput / std::size(seeds);
        }
        rows.push_back({crashCase.name,
                        {{"culprits", static_cast<double>(totals.crashingRequests)},
                         {"lost", static_cast<double>(totals.targetsLost)},
                         {"bystanders", static_cast<double>(totals.bystandersLost)},
                         {"refused_all_s", totals.secondsUntilBlocked},
                         {"goodput", totals.goodput},
                         {"without", totals.baselineGoodput}}});
    }
    report.table("targets and bystanders lost, " + title, rows);
}

} // namespace

int main(int argc, char **argv)
{
    const bench::Report report("crashes", argc, argv);
    for (const std::uint32_t before : {0U, 4U, 16U}) {
        RunSettings settings;
        settings.queue.maxDispatchesBeforeIsolated = before;
        compare(report, std::to_string(before) + " dispatches before one alone", settings);
    }
    RunSettings notColocated;
    notColocated.colocateDuplicates = false;
    compare(report, "copies go anywhere", notColocated);
    return 0;
}
