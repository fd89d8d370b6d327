#pragma once

#include <core/time.h>
#include <version/records.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace snipehill
{

/** One target of a group, as the scale plan sees it. */
struct ScaleTarget
{
    std::string instance;
    std::string failureDomain;
    bool serving = false;
    bool starting = false;
    bool leaving = false;
};

/** Settings of the scale plan. */
struct ScaleSettings
{
    double targetUtilisation = 0.7; //!< of the serving targets
    double lossUtilisation = 0.95; //!< allowed after the loss of the largest failure domain
    seconds startSustain{20}; //!< too few targets for this long before one is started
    seconds stopSustain{120}; //!< one too many for this long before it is stopped
    seconds minStopInterval{30}; //!< least time between two stops
};

/** What the planner remembers of one group. */
struct ScaleState
{
    std::optional<TimePoint> shortageSince; //!< more targets were needed since
    std::optional<TimePoint> surplusSince; //!< fewer targets would do since
    std::optional<TimePoint> lastStop;
};

/** A start or stop that the plan wants. */
struct ScaleOrder
{
    enum class Kind {
        Start,
        Stop,
    };
    Kind kind = Kind::Start;
    std::string failureDomain; //!< where to start, or where the stopped target stands
    std::string instance; //!< target to stop
};

/**
 * Least number of targets for a load: utilisation in bounds, also after the loss of the failure domain with
 * the most targets when they are spread evenly, and within the group's bounds.
 *
 * @param load in units of one target's capacity
 * @param domains failure domains that targets can be started in
 */
std::uint32_t targetsNeeded(double load, std::uint32_t domains, const TargetGroup &group, const ScaleSettings &settings) noexcept;

/**
 * The next start or stop of a group, or none. Deterministic: the domain with the fewest targets gets the next
 * one, the domain with the most loses one.
 *
 * @param load demand in units of one target's capacity; empty when load reports are missing, then nothing is stopped
 */
std::optional<ScaleOrder> planScale(ScaleState &state,
                                    std::span<const ScaleTarget> targets,
                                    std::span<const std::string> domains,
                                    std::optional<double> load,
                                    const TargetGroup &group,
                                    const ScaleSettings &settings,
                                    TimePoint now);

} // namespace snipehill
