#pragma once

#include "random.h"

#include <request/scaleplan.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace snipehill::fakes
{

/** Load over time in units of one target's capacity, and faults. */
struct ScaleScenario
{
    std::string name;
    int length = 14400; //!< seconds
    std::function<double(int)> load;
    std::optional<std::pair<int, int>> domainLoss; //!< start and end second of the loss of the first domain, which has the most targets
    std::optional<std::pair<int, int>> reportsMissing; //!< start and end second
};

struct ScaleRunSettings
{
    ScaleSettings plan;
    int domains = 4;
    int startSeconds = 60; //!< time until a started target serves
    std::uint32_t minTargets = 2;
    std::uint32_t maxTargets = 24;
    std::uint64_t seed = 1;
};

/** Result of a ScaleRun. */
struct ScaleResult
{
    double targetSeconds = 0; //!< running time of all targets, starting ones included
    double minTargetSeconds = 0; //!< lower limit, known in hindsight, at the wanted utilisation
    double minSafeTargetSeconds = 0; //!< the same, with enough left in every second after the loss of a failure domain
    double served = 0; //!< fraction of the load
    double servedDuringLoss = 1; //!< fraction of the load in the first minute after the loss of the domain
    int starts = 0;
    int stops = 0;
};

/** Simulates planScale() in steps of one second with targets that take time to start. */
class ScaleRun
{
public:
    ScaleRun(const ScaleRunSettings &settings, ScaleScenario scenario) : m_settings(settings), m_scenario(std::move(scenario)), m_random{settings.seed}
    {
        m_group.minTargets = settings.minTargets;
        m_group.maxTargets = settings.maxTargets;
        m_domains.reserve(static_cast<std::size_t>(settings.domains));
        for (int i = 0; i < settings.domains; ++i) {
            m_domains.push_back("d" + std::to_string(i));
        }
        m_average = m_scenario.load(0);
        const std::uint32_t first = targetsNeeded(m_average, static_cast<std::uint32_t>(settings.domains), m_group, settings.plan);
        for (std::uint32_t i = 0; i < first; ++i) {
            addTarget(m_domains[i % m_domains.size()], -settings.startSeconds);
        }
    }

    ScaleResult run()
    {
        for (int second = 0; second < m_scenario.length; ++second) {
            const double load = m_scenario.load(second) * (0.95 + 0.1 * m_random.uniform());
            m_average += 0.1 * (load - m_average);
            loseDomain(second);
            finishStarts(second);
            recordSecond(load, second);
            control(second);
        }
        m_result.served = m_served / m_offered;
        m_result.servedDuringLoss = m_offeredInLoss > 0 ? m_servedInLoss / m_offeredInLoss : 1;
        return m_result;
    }

private:
    struct Running
    {
        ScaleTarget target;
        int readyAt = 0;
    };

    static bool contains(const std::optional<std::pair<int, int>> &span, int second)
    {
        return span && second >= span->first && second < span->second;
    }

    void addTarget(const std::string &domain, int orderedAt)
    {
        m_running.push_back({{"t" + std::to_string(m_next++), domain, false, true, false}, orderedAt + m_settings.startSeconds});
    }

    void loseDomain(int second)
    {
        m_domainsUp = m_domains;
        if (!contains(m_scenario.domainLoss, second)) {
            return;
        }
        const std::string lost = m_domains.front();
        std::erase(m_domainsUp, lost);
        std::erase_if(m_running, [&](const Running &item) {
            return item.target.failureDomain == lost;
        });
    }

    void finishStarts(int second)
    {
        for (Running &item : m_running) {
            if (item.target.starting && second >= item.readyAt) {
                item.target.starting = false;
                item.target.serving = true;
            }
        }
    }

    void recordSecond(double load, int second)
    {
        const auto serving = std::count_if(m_running.begin(), m_running.end(), [](const Running &item) {
            return item.target.serving;
        });
        const double served = std::min(load, static_cast<double>(serving));
        m_result.targetSeconds += static_cast<double>(m_running.size());
        m_result.minTargetSeconds += std::max<double>(m_settings.minTargets, std::ceil(load / m_settings.plan.targetUtilisation));
        m_result.minSafeTargetSeconds += targetsNeeded(load, static_cast<std::uint32_t>(m_domainsUp.size()), m_group, m_settings.plan);
        m_offered += load;
        m_served += served;
        if (contains(m_scenario.domainLoss, second) && second < m_scenario.domainLoss->first + 60) {
            m_offeredInLoss += load;
            m_servedInLoss += served;
        }
    }

    void control(int second)
    {
        std::vector<ScaleTarget> targets;
        targets.reserve(m_running.size());
        for (const Running &item : m_running) {
            targets.push_back(item.target);
        }
        const std::optional<double> load = contains(m_scenario.reportsMissing, second) ? std::nullopt : std::optional(m_average);
        const auto order = planScale(m_state, targets, m_domainsUp, load, m_group, m_settings.plan, TimePoint{} + seconds(1000 + second));
        if (!order) {
            return;
        }
        if (order->kind == ScaleOrder::Kind::Start) {
            addTarget(order->failureDomain, second);
            ++m_result.starts;
            return;
        }
        std::erase_if(m_running, [&](const Running &item) {
            return item.target.instance == order->instance;
        });
        ++m_result.stops;
    }

    ScaleRunSettings m_settings;
    ScaleScenario m_scenario;
    Random m_random;
    TargetGroup m_group;
    std::vector<std::string> m_domains;
    std::vector<std::string> m_domainsUp; //!< domains that are not lost
    std::vector<Running> m_running;
    ScaleState m_state;
    ScaleResult m_result;
    double m_average = 0; //!< moving average of the load, as reported
    double m_offered = 0;
    double m_served = 0;
    double m_offeredInLoss = 0;
    double m_servedInLoss = 0;
    int m_next = 0;
};

/** Runs one scenario. */
inline ScaleResult runScale(const ScaleRunSettings &settings, const ScaleScenario &scenario)
{
    return ScaleRun(settings, scenario).run();
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
