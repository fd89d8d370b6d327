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
        CrashResult figures;
        for (const std::uint64_t seed : seeds) {
            const CrashResult one = runCrashCase(crashCase, settings, seed);
            figures.crashingRequests += one.crashingRequests;
            figures.targetsLost += one.targetsLost;
            figures.bystandersLost += one.bystandersLost;
            figures.secondsUntilBlocked = std::max(figures.secondsUntilBlocked, one.secondsUntilBlocked);
            figures.goodput += one.goodput / std::size(seeds);
            figures.baselineGoodput += one.baselineGoodput / std::size(seeds);
        }
        rows.push_back({crashCase.name,
                        {{"culprits", static_cast<double>(figures.crashingRequests)},
                         {"lost", static_cast<double>(figures.targetsLost)},
                         {"bystanders", static_cast<double>(figures.bystandersLost)},
                         {"refused_all_s", figures.secondsUntilBlocked},
                         {"goodput", figures.goodput},
                         {"without", figures.baselineGoodput}}});
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
    RunSettings apart;
    apart.colocateDuplicates = false;
    compare(report, "copies go anywhere", apart);
    return 0;
}
