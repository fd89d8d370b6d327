#pragma once

#include "random.h"

#include <request/scaleplan.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace snipehill::fakes
{

/** Load of a day in units of one target's capacity, and a failure domain that is lost. */
struct ScaleScenario
{
    std::string name;
    int length = 14400; //!< seconds
    std::function<double(int)> load;
    std::optional<std::pair<int, int>> domainLoss; //!< from and until, of the domain with the most targets
    std::optional<std::pair<int, int>> reportsMissing;
};

struct ScaleRunSettings
{
    ScaleSettings plan;
    int domains = 4;
    int startSeconds = 60; //!< until a started target serves
    std::uint32_t minTargets = 2;
    std::uint32_t maxTargets = 24;
    std::uint64_t seed = 1;
};

struct ScaleFigures
{
    double targetSeconds = 0; //!< spent, while starting too
    double leastSeconds = 0; //!< that would have served in hindsight at the wanted utilisation
    double leastSafeSeconds = 0; //!< and survived the loss of a failure domain at each moment
    double served = 0; //!< part of the load
    double servedInLoss = 1; //!< part of the load in the minute after the domain was lost
    int starts = 0;
    int stops = 0;
};

/** Runs the plan second by second; no stop may leave too little for the loss of one domain, which the caller checks by the figures. */
inline ScaleFigures runScale(const ScaleRunSettings &settings, const ScaleScenario &scenario)
{
    TargetGroup group;
    group.minTargets = settings.minTargets;
    group.maxTargets = settings.maxTargets;
    std::vector<std::string> domains;
    domains.reserve(static_cast<std::size_t>(settings.domains));
    for (int i = 0; i < settings.domains; ++i) {
        domains.push_back("d" + std::to_string(i));
    }
    struct Running
    {
        ScaleTarget target;
        int readyAt = 0;
    };
    std::vector<Running> running;
    Random random{settings.seed};
    const std::uint32_t first = targetsNeeded(scenario.load(0), static_cast<std::uint32_t>(settings.domains), group, settings.plan);
    int next = 0;
    for (; next < static_cast<int>(first); ++next) {
        running.push_back({{"t" + std::to_string(next), domains[static_cast<std::size_t>(next % settings.domains)], true, false, false}, 0});
    }
    ScaleState state;
    ScaleFigures figures;
    double offered = 0;
    double served = 0;
    double offeredInLoss = 0;
    double servedInLoss = 0;
    double average = scenario.load(0);
    std::string lostDomain;
    for (int second = 0; second < scenario.length; ++second) {
        const double load = scenario.load(second) * (0.95 + 0.1 * random.uniform());
        average += 0.1 * (load - average);
        const bool lost = scenario.domainLoss && second >= scenario.domainLoss->first && second < scenario.domainLoss->second;
        if (lost && lostDomain.empty()) {
            lostDomain = domains.front();
            std::erase_if(running, [&](const Running &item) {
                return item.target.failureDomain == lostDomain;
            });
        }
        std::vector<std::string> open;
        for (const std::string &domain : domains) {
            if (!lost || domain != lostDomain) {
                open.push_back(domain);
            }
        }
        std::vector<ScaleTarget> targets;
        double capacity = 0;
        for (Running &item : running) {
            if (item.target.starting && second >= item.readyAt) {
                item.target.starting = false;
                item.target.serving = true;
            }
            capacity += item.target.serving ? 1 : 0;
            targets.push_back(item.target);
        }
        figures.targetSeconds += static_cast<double>(running.size());
        const auto domainCount = static_cast<std::uint32_t>(open.size());
        figures.leastSeconds += std::max<double>(settings.minTargets, std::ceil(load / settings.plan.targetUtilisation));
        figures.leastSafeSeconds += targetsNeeded(load, domainCount, group, settings.plan);
        offered += load;
        served += std::min(load, capacity);
        if (lost && second < scenario.domainLoss->first + 60) {
            offeredInLoss += load;
            servedInLoss += std::min(load, capacity);
        }
        const bool missing = scenario.reportsMissing && second >= scenario.reportsMissing->first && second < scenario.reportsMissing->second;
        const auto order
            = planScale(state, targets, open, missing ? std::nullopt : std::optional(average), group, settings.plan, TimePoint{} + seconds(1000 + second));
        if (!order) {
            continue;
        }
        if (order->kind == ScaleOrder::Kind::Start) {
            running.push_back({{"t" + std::to_string(next++), order->failureDomain, false, true, false}, second + settings.startSeconds});
            ++figures.starts;
        } else {
            std::erase_if(running, [&](const Running &item) {
                return item.target.instance == order->instance;
            });
            ++figures.stops;
        }
    }
    figures.served = served / offered;
    figures.servedInLoss = offeredInLoss > 0 ? servedInLoss / offeredInLoss : 1;
    return figures;
}

inline std::vector<ScaleScenario> scaleScenarios()
{
    const auto day = [](int second) {
        return 6 - 4 * std::cos(2 * 3.14159265 * second / 14400);
    };
    std::vector<ScaleScenario> scenarios;
    scenarios.push_back({"day of 2 to 10 targets in 4 h", 14400, day});
    scenarios.push_back({"step from 3 to 9", 7200, [](int second) {
                             return second < 1800 || second > 5400 ? 3.0 : 9.0;
                         }});
    scenarios.push_back({"bursts of 60 s each 10 min", 14400, [](int second) {
                             return second % 600 < 60 ? 6.0 : 3.0;
                         }});
    scenarios.push_back({"day with a failure domain lost at the peak", 14400, day, std::pair(7200, 9000)});
    scenarios.push_back({"day with reports missing while it falls", 14400, day, std::nullopt, std::pair(9000, 10800)});
    scenarios.push_back({"night at a twentieth of a target", 7200, [](int) {
                             return 0.05;
                         }});
    return scenarios;
}

} // namespace snipehill::fakes
