#include "report.h"
#include "svg.h"

#include <fakes/rolerun.h>

#include <string>
#include <utility>
#include <vector>

using namespace snipehill;
using namespace snipehill::fakes;

namespace
{

RoleRunResult runWith(RolePolicy policy, const RoleScenario &scenario, RoleRunSettings settings = {})
{
    settings.policy = policy;
    return RoleRun(settings, scenario).run();
}

bench::Row compare(const RoleScenario &scenario)
{
    const double hindsight = runWith(RolePolicy::Hindsight, scenario).goodput;
    const RoleRunResult none = runWith(RolePolicy::None, scenario);
    const RoleRunResult threshold = runWith(RolePolicy::Threshold, scenario);
    const RoleRunResult plan = runWith(RolePolicy::Plan, scenario);
    return {scenario.name,
            {{"none", none.goodput / hindsight},
             {"threshold", threshold.goodput / hindsight},
             {"plan", plan.goodput / hindsight},
             {"changes_thr", static_cast<double>(threshold.changes)},
             {"changes_plan", static_cast<double>(plan.changes)},
             {"unreported", static_cast<double>(plan.changesWhileReportsMissing)},
             {"at_once", static_cast<double>(plan.maxConcurrentChanges)}}};
}

void compareBusy(const bench::Report &report)
{
    std::vector<bench::Row> rows;
    for (const double busy : {0.6, 0.7, 0.8, 0.85, 0.9}) {
        RoleRunSettings settings;
        settings.plan.busyUtilisation = busy;
        bench::Row row{"busy " + std::to_string(busy).substr(0, 4), {}};
        for (const RoleScenario &scenario : roleScenarios()) {
            if (scenario.name == "step" || scenario.name.rfind("sawtooth", 0) == 0) {
                const RoleRunResult result = runWith(RolePolicy::Plan, scenario, settings);
                row.values.emplace_back(scenario.name.substr(0, 4), result.goodput);
                row.values.emplace_back("changes", result.changes);
            }
        }
        rows.push_back(row);
    }
    report.table("plan by the utilisation that counts as busy: step, sawtooth of 40 s, of 300 s", rows);
}

void compareOutage(const bench::Report &report)
{
    std::vector<bench::Row> rows;
    const RoleScenario outage = roleScenarios().back();
    for (const bool outlive : {true, false}) {
        RoleRunSettings settings;
        settings.renewGrantsWithoutLog = outlive;
        const RoleRunResult result = runWith(RolePolicy::Plan, outage, settings);
        rows.push_back({outlive ? "grants renewed without the log" : "no orders without the log",
                        {{"goodput", result.goodput}, {"changes", static_cast<double>(result.changes)}}});
    }
    report.table("log outage of an hour over the step", rows);
}

void drawStep(const std::string &path)
{
    const RoleScenario step = roleScenarios().front();
    bench::Chart chart{"Goodput over a step of the prefill part from 0.5 to 0.8", "seconds", "goodput"};
    for (const auto &[name, policy] : std::vector<std::pair<std::string, RolePolicy>>{
             {"no changes", RolePolicy::None}, {"threshold", RolePolicy::Threshold}, {"plan", RolePolicy::Plan}, {"hindsight", RolePolicy::Hindsight}}) {
        chart.series.push_back({name, bench::smooth(runWith(policy, step).perSecond, 10)});
    }
    bench::writeSvg(path, chart);
}

} // namespace

int main(int argc, char **argv)
{
    const bench::Report report("roleplan", argc, argv);
    for (const double load : {5.0, 6.5, 7.5}) {
        std::vector<bench::Row> rows;
        for (const RoleScenario &scenario : roleScenarios(load)) {
            rows.push_back(compare(scenario));
        }
        report.table("goodput as a share of hindsight, and role changes, at a load of " + std::to_string(load).substr(0, 3) + " of 8.4 engines", rows);
    }
    compareBusy(report);
    compareOutage(report);
    for (int i = 1; i + 1 < argc; ++i) {
        if (std::string(argv[i]) == "--svg") {
            drawStep(argv[i + 1]);
        }
    }
    return 0;
}
