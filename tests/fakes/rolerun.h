#pragma once

#include "random.h"

#include <request/roleplan.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <vector>

namespace snipehill::fakes
{

/** How engine roles are changed. */
enum class RolePolicy {
    None,
    Threshold, //!< by utilisation, with hysteresis
    Plan, //!< by planRoles()
    Hindsight, //!< best assignment in every second, without the cost of changes
};

/** Offered load by second, and faults. */
struct RoleScenario
{
    std::string name;
    int length = 1800; //!< seconds
    std::function<TokenDemand(int)> demand;
    std::function<bool(int)> reportsMissing = [](int) {
        return false;
    };
    int reportLag = 1; //!< seconds
    std::optional<int> crashAfterChange; //!< number of the change (from 1) whose engine crashes during it
    std::optional<std::pair<int, int>> logOutage; //!< from and until, seconds
};

/** Settings of a RoleRun. */
struct RoleRunSettings
{
    RolePolicy policy = RolePolicy::Plan;
    RolePlanSettings plan;
    int engines = 10;
    int domains = 4;
    int slowEngines = 4;
    double slowSpeed = 0.6;
    double prefillRate = 8000;
    double decodeRate = 600;
    int changeSeconds = 20;
    int crashSeconds = 60;
    double maxBacklogSeconds = 1.5; //!< backlog in seconds of capacity that still counts as in time
    bool renewGrantsWithoutLog = true; //!< the lease holder renews grants without the log
    std::uint64_t seed = 1;
};

struct RoleRunResult
{
    double goodput = 0; //!< fraction of the offered work that is served in time
    int changes = 0;
    int changesWhileReportsMissing = 0;
    int maxConcurrentChanges = 0; //!< most engines changing at the same time
    std::vector<double> perSecond; //!< fraction served in time, by second
};

struct RoleEngine
{
    EngineView view;
    EngineRole next = EngineRole::Mixed;
    int readyAt = 0;
};

inline TokenDemand capacityFor(const std::vector<EngineView> &engines, const TokenDemand &demand, const RolePlanSettings &plan)
{
    // Capacity in the proportion of the demand: mixed engines divide their time accordingly.
    const double worst = worstUtilisation(engines, demand, plan);
    TokenDemand dedicated;
    for (const EngineView &engine : engines) {
        if (engine.live && !engine.changing) {
            dedicated.prefill += engine.role == EngineRole::Prefill ? engine.prefillTokensPerSecond : 0;
            dedicated.decode += engine.role == EngineRole::Decode ? engine.decodeTokensPerSecond : 0;
        }
    }
    if (worst <= 0 || std::isinf(worst)) {
        return dedicated;
    }
    return {std::max(dedicated.prefill, demand.prefill / worst), std::max(dedicated.decode, demand.decode / worst)};
}

/** Utilisation under the best assignment of roles, with all engines free to change. */
inline double bestUtilisation(std::vector<EngineView> engines, const TokenDemand &demand, const RolePlanSettings &plan)
{
    double best = std::numeric_limits<double>::infinity();
    const auto count = static_cast<int>(engines.size());
    for (int prefill = 0; prefill <= count; ++prefill) {
        for (int mixed = 0; mixed + prefill <= count; ++mixed) {
            for (int i = 0; i < count; ++i) {
                engines[static_cast<std::size_t>(i)].role = i < prefill ? EngineRole::Prefill : i < prefill + mixed ? EngineRole::Mixed : EngineRole::Decode;
            }
            best = std::min(best, worstUtilisation(engines, demand, plan));
        }
    }
    return best;
}

/** Fluid simulation of a pool in steps of one second: work beyond the capacity waits, and is refused beyond maxBacklogSeconds. */
class RoleRun
{
public:
    RoleRun(RoleRunSettings settings, RoleScenario scenario) : m_settings(settings), m_scenario(std::move(scenario)), m_random{m_settings.seed}
    {
        for (int i = 0; i < m_settings.engines; ++i) {
            const double speed = i < m_settings.slowEngines ? m_settings.slowSpeed : 1;
            EngineView view;
            view.instance = "e" + std::to_string(i);
            view.failureDomain = "d" + std::to_string(i % m_settings.domains);
            view.role = i % 2 == 0 ? EngineRole::Prefill : EngineRole::Decode;
            view.prefillTokensPerSecond = m_settings.prefillRate * speed;
            view.decodeTokensPerSecond = m_settings.decodeRate * speed;
            m_engines.push_back({view, view.role, 0});
        }
    }

    RoleRunResult run()
    {
        double offered = 0;
        double good = 0;
        for (m_second = 0; m_second < m_scenario.length; ++m_second) {
            TokenDemand demand = m_scenario.demand(m_second);
            demand.prefill *= 0.9 + 0.2 * m_random.uniform();
            demand.decode *= 0.9 + 0.2 * m_random.uniform();
            finishChanges();
            control(demand);
            const double inTimeFraction = serve(demand);
            // Work is counted in engine seconds, prefill and decode together.
            const double work = demand.prefill / m_settings.prefillRate + demand.decode / m_settings.decodeRate;
            offered += work;
            good += work * inTimeFraction;
            m_result.perSecond.push_back(inTimeFraction);
        }
        m_result.goodput = good / offered;
        return m_result;
    }

private:
    TimePoint now() const
    {
        return TimePoint{} + seconds(3600 + m_second);
    }

    std::vector<EngineView> views() const
    {
        std::vector<EngineView> views;
        for (const RoleEngine &engine : m_engines) {
            views.push_back(engine.view);
        }
        return views;
    }

    void finishChanges()
    {
        int changing = 0;
        for (RoleEngine &engine : m_engines) {
            if ((engine.view.changing || !engine.view.live) && m_second >= engine.readyAt) {
                engine.view.changing = false;
                engine.view.live = true;
                engine.view.role = engine.next;
            }
            changing += engine.view.changing ? 1 : 0;
        }
        m_result.maxConcurrentChanges = std::max(m_result.maxConcurrentChanges, changing);
    }

    void control(const TokenDemand &demand)
    {
        const bool missing = m_scenario.reportsMissing(m_second);
        m_reportAge = missing ? m_reportAge + 1 : m_scenario.reportLag;
        for (RoleEngine &engine : m_engines) {
            engine.view.reportAge = seconds(m_reportAge);
        }
        if (!missing) {
            addDemand(m_pool.demand, demand, m_settings.plan, now());
        }
        const bool outage = m_scenario.logOutage && m_second >= m_scenario.logOutage->first && m_second < m_scenario.logOutage->second;
        if (outage && !m_settings.renewGrantsWithoutLog) {
            return;
        }
        std::optional<RoleChange> change;
        if (m_settings.policy == RolePolicy::Plan) {
            change = planRoles(views(), m_pool, {}, m_settings.plan, now());
        } else if (m_settings.policy == RolePolicy::Threshold) {
            m_reported = missing ? m_reported : demand;
            change = thresholdChange(m_reported);
        }
        if (change) {
            start(*change, missing);
        }
    }

    /** Baseline: moves an engine to the role that is above 0.85 utilisation while the other is below 0.6. */
    std::optional<RoleChange> thresholdChange(const TokenDemand &demand)
    {
        double prefill = 0;
        double decode = 0;
        for (const RoleEngine &engine : m_engines) {
            if (engine.view.changing) {
                return std::nullopt;
            }
            prefill += engine.view.live && engine.view.role == EngineRole::Prefill ? engine.view.prefillTokensPerSecond : 0;
            decode += engine.view.live && engine.view.role == EngineRole::Decode ? engine.view.decodeTokensPerSecond : 0;
        }
        const double prefillUse = demand.prefill / std::max(prefill, 1.0);
        const double decodeUse = demand.decode / std::max(decode, 1.0);
        const bool toPrefill = prefillUse > 0.85 && decodeUse < 0.6;
        const bool toDecode = decodeUse > 0.85 && prefillUse < 0.6;
        for (const RoleEngine &engine : m_engines) {
            if (toPrefill && engine.view.live && engine.view.role == EngineRole::Decode) {
                return RoleChange{engine.view.instance, EngineRole::Prefill};
            }
            if (toDecode && engine.view.live && engine.view.role == EngineRole::Prefill) {
                return RoleChange{engine.view.instance, EngineRole::Decode};
            }
        }
        return std::nullopt;
    }

    void start(const RoleChange &change, bool reportsMissing)
    {
        ++m_result.changes;
        m_result.changesWhileReportsMissing += reportsMissing ? 1 : 0;
        recordRoleChange(m_pool, now());
        for (RoleEngine &engine : m_engines) {
            if (engine.view.instance != change.instance) {
                continue;
            }
            engine.view.changing = true;
            engine.view.lastChange = now();
            engine.view.everChanged = true;
            engine.next = change.role;
            engine.readyAt = m_second + m_settings.changeSeconds;
            if (m_scenario.crashAfterChange == m_result.changes) {
                // The engine crashes and restarts in its old role.
                engine.view.changing = false;
                engine.view.live = false;
                engine.next = engine.view.role;
                engine.readyAt = m_second + m_settings.crashSeconds;
            }
        }
    }

    /** Serves one second; returns the fraction of the new work that is served in time. */
    double serve(const TokenDemand &demand)
    {
        std::vector<EngineView> engines = views();
        TokenDemand capacity;
        if (m_settings.policy == RolePolicy::Hindsight) {
            const double worst = bestUtilisation(engines, demand, m_settings.plan);
            capacity = {demand.prefill / worst, demand.decode / worst};
        } else {
            const TokenDemand wanted{demand.prefill + m_backlog.prefill, demand.decode + m_backlog.decode};
            capacity = capacityFor(engines, wanted, m_settings.plan);
        }
        const double prefill = inTime(demand.prefill, capacity.prefill, m_backlog.prefill);
        const double decode = inTime(demand.decode, capacity.decode, m_backlog.decode);
        return std::min(prefill, decode);
    }

    double inTime(double demand, double capacity, double &backlog) const
    {
        const double served = std::min(demand + backlog, capacity);
        backlog = demand + backlog - served;
        // Work that would wait too long is refused and does not count towards goodput.
        const double maxBacklog = capacity * m_settings.maxBacklogSeconds;
        const double refused = std::max(0.0, backlog - maxBacklog);
        backlog -= refused;
        return demand > 0 ? std::clamp(1 - refused / demand, 0.0, 1.0) : 1;
    }

    RoleRunSettings m_settings;
    RoleScenario m_scenario;
    Random m_random;
    std::vector<RoleEngine> m_engines;
    RolePool m_pool;
    TokenDemand m_backlog;
    TokenDemand m_reported;
    int m_second = 0;
    int m_reportAge = 0;
    RoleRunResult m_result;
};

/** Token demand of a load in engine seconds per second, of which the given fraction is prefill. */
inline TokenDemand demandOf(double engineTime, double prefillFraction, const RoleRunSettings &settings = {})
{
    return {engineTime * prefillFraction * settings.prefillRate, engineTime * (1 - prefillFraction) * settings.decodeRate};
}

/** Scenarios with a shifting fraction of prefill work. The load is in engine seconds per second, of 8.4 available. */
inline std::vector<RoleScenario> roleScenarios(double load = 6.5)
{
    const auto step = [load](int second) {
        return demandOf(load, second < 300 ? 0.5 : 0.8);
    };
    std::vector<RoleScenario> scenarios;
    scenarios.push_back({"step", 1800, step});
    scenarios.push_back({"slow swing of half in a day", 86400, [load](int second) {
                             return demandOf(load, 0.5 + 0.25 * std::sin(2 * 3.14159265 * second / 86400));
                         }});
    scenarios.push_back({"sawtooth of 40 s", 1800, [load](int second) {
                             return demandOf(load, 0.25 + 0.5 * (second % 40) / 40.0);
                         }});
    scenarios.push_back({"sawtooth of 300 s", 3600, [load](int second) {
                             return demandOf(load, 0.25 + 0.5 * (second % 300) / 300.0);
                         }});
    scenarios.push_back({"engine crash in mid-change", 1800, step});
    scenarios.back().crashAfterChange = 1;
    scenarios.push_back({"reports 8 s late", 1800, step});
    scenarios.back().reportLag = 8;
    scenarios.push_back({"reports missing for 300 s at the step", 1800, step});
    scenarios.back().reportsMissing = [](int second) {
        return second >= 290 && second < 590;
    };
    scenarios.push_back({"log outage of an hour", 5400, step});
    scenarios.back().logOutage = std::pair(200, 3800);
    return scenarios;
}

} // namespace snipehill::fakes
