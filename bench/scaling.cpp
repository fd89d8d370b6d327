#include "report.h"

#include <fakes/scalerun.h>

#include <string>
#include <vector>

using namespace snipehill;
using namespace snipehill::fakes;

namespace
{

bench::Row rowOf(const std::string &label, const ScaleResult &result)
{
    return {label,
            {{"of_least", result.targetSeconds / result.minTargetSeconds},
             {"of_safe", result.targetSeconds / result.minSafeTargetSeconds},
             {"served", result.served},
             {"in_loss", result.servedDuringLoss},
             {"starts", static_cast<double>(result.starts)},
             {"stops", static_cast<double>(result.stops)}}};
}

} // namespace

int main(int argc, char **argv)
{
    const bench::Report report("scaling", argc, argv);
    for (const int domains : {4, 3}) {
        std::vector<bench::Row> rows;
        for (const ScaleScenario &scenario : scaleScenarios()) {
            ScaleRunSettings settings;
            settings.domains = domains;
            rows.push_back(rowOf(scenario.name, runScale(settings, scenario)));
        }
        report.table("target-seconds against hindsight, " + std::to_string(domains) + " failure domains", rows);
    }
    std::vector<bench::Row> rows;
    for (const int sustain : {60, 120, 300, 600}) {
        for (const std::size_t scenario : {0U, 2U}) {
            ScaleRunSettings settings;
            settings.plan.stopSustain = seconds(sustain);
            rows.push_back(
                rowOf("stop after " + std::to_string(sustain) + " s, " + scaleScenarios()[scenario].name, runScale(settings, scaleScenarios()[scenario])));
        }
    }
    report.table("by the time that one target too many must last", rows);
    return 0;
}
