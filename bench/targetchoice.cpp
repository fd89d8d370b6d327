#include "report.h"

#include <fakes/routingrun.h>

#include <string>
#include <vector>

using namespace snipehill;
using namespace snipehill::fakes;

namespace
{

constexpr std::uint64_t seeds[] = {11, 12, 13};

std::vector<Arrival> traffic(double rate, std::uint32_t entries, std::uint64_t seed)
{
    TrafficSettings settings;
    settings.requestsPerSecond = rate;
    settings.entries = entries;
    return makeTraffic(settings, seed);
}

bench::Row measure(const std::string &label, RunSettings settings, double rate)
{
    std::vector<RequestRecord> records;
    double cached = 0;
    double prompt = 0;
    for (const std::uint64_t seed : seeds) {
        settings.seed = seed;
        const RunResult result = RoutingRun(settings, traffic(rate, settings.entries, seed)).run();
        records.insert(records.end(), result.records.begin(), result.records.end());
        cached += static_cast<double>(result.cachedTokens);
        prompt += static_cast<double>(result.cachedTokens + result.prefilledTokens);
    }
    const Summary all = summarise(records);
    return {label,
            {{"p50_s", all.p50},
             {"p95_s", all.p95},
             {"p99_s", all.p99},
             {"goodput", all.goodput},
             {"refused", static_cast<double>(all.refused) / static_cast<double>(all.requests)},
             {"cache_hit", cached / prompt}}};
}

RunSettings withPolicy(Policy policy)
{
    RunSettings settings;
    settings.policy = policy;
    return settings;
}

void comparePolicies(const bench::Report &report, double rate)
{
    std::vector<bench::Row> rows;
    const std::vector<std::pair<std::string, Policy>> policies{
        {"random", Policy::Random}, {"round robin", Policy::RoundRobin}, {"least outstanding", Policy::LeastOutstanding}, {"predicted", Policy::Predicted}};
    for (const auto &[name, policy] : policies) {
        RunSettings settings = withPolicy(policy);
        settings.deadlineAdmission = false;
        rows.push_back(measure(name, settings, rate));
    }
    rows.push_back(measure("predicted, with admission", withPolicy(Policy::Predicted), rate));
    report.table("policies at " + std::to_string(static_cast<int>(rate)) + " requests/s, 10 engines", rows);
}

void compareParts(const bench::Report &report, double rate)
{
    std::vector<bench::Row> rows;
    const RunSettings base;
    rows.push_back(measure("predicted, as shipped", base, rate));
    RunSettings changed = base;
    changed.prefixIndex = false;
    rows.push_back(measure("without prefix index", changed, rate));
    changed = base;
    changed.choice.interference = 0;
    rows.push_back(measure("without interference", changed, rate));
    changed = base;
    changed.choice.staleness = 0;
    rows.push_back(measure("without staleness", changed, rate));
    for (const std::uint32_t choices : {1U, 2U, 3U, 4U, 8U, 64U}) {
        changed = base;
        changed.choice.choices = choices;
        rows.push_back(measure("choices " + std::to_string(choices), changed, rate));
    }
    for (const std::size_t subset : {4U, 6U}) {
        changed = base;
        changed.subset = subset;
        rows.push_back(measure("subset of " + std::to_string(subset), changed, rate));
    }
    report.table("parts at " + std::to_string(static_cast<int>(rate)) + " requests/s", rows);
}

void compareAdmission(const bench::Report &report)
{
    std::vector<bench::Row> rows;
    for (const int wait : {500, 1000, 1250, 1500, 1000000}) {
        for (const double rate : {18.0, 24.0, 30.0, 36.0}) {
            RunSettings settings;
            settings.admission.maxPressure = milliseconds(wait);
            rows.push_back(measure("at most " + std::to_string(wait) + " ms, " + std::to_string(static_cast<int>(rate)) + " requests/s", settings, rate));
        }
    }
    report.table("refusal at once by predicted wait", rows);
}

void compareReports(const bench::Report &report, double rate)
{
    std::vector<bench::Row> rows;
    for (const double every : {1.0, 2.0, 5.0, 15.0}) {
        for (const double staleness : {0.0, 0.25}) {
            RunSettings settings;
            settings.piggybackReports = false;
            settings.reportEvery = every;
            settings.choice.staleness = staleness;
            rows.push_back(measure("every " + std::to_string(static_cast<int>(every)) + " s, staleness " + std::to_string(staleness), settings, rate));
        }
    }
    report.table("platform reports only, no piggyback", rows);
}

void compareSubsets(const bench::Report &report)
{
    std::vector<bench::Row> rows;
    for (const std::size_t subset : {8U, 12U, 16U, 24U, 40U}) {
        RunSettings settings;
        settings.targets = 40;
        settings.slowTargets = 16;
        settings.entries = 16;
        settings.subset = subset;
        rows.push_back(measure("subset of " + std::to_string(subset), settings, 88));
    }
    report.table("subsets of 40 engines, 16 entries, 88 requests/s", rows);
}

} // namespace

int main(int argc, char **argv)
{
    const bench::Report report("targetchoice", argc, argv);
    for (const double rate : {12.0, 18.0, 24.0, 30.0}) {
        comparePolicies(report, rate);
    }
    compareParts(report, 24);
    compareAdmission(report);
    compareReports(report, 18);
    compareSubsets(report);
    return 0;
}
