#pragma once

#include <core/time.h>
#include <version/records.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace snipehill
{

/** Snapshot of one target of a group for the scale plan. */
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
    double targetUtilisation = 0.7; //!< desired utilisation of the serving targets
    double lossUtilisation = 0.95; //!< maximum utilisation after the loss of the largest failure domain
    seconds startSustain{20}; //!< how long there must be too few targets before one is started
    seconds stopSustain{120}; //!< how long there must be too many targets before one is stopped
    seconds minStopInterval{30}; //!< minimum time between two stops
};

/** Planner state of one target group. */
struct ScaleState
{
    std::optional<TimePoint> shortageSince; //!< start of the current shortage of targets
    std::optional<TimePoint> surplusSince; //!< start of the current surplus of targets
    std::optional<TimePoint> lastStop;
};

/** A target to start or stop. */
struct ScaleOrder
{
    enum class Kind {
        Start,
        Stop,
    };
    Kind kind = Kind::Start;
    std::string failureDomain; //!< where to start a target, or the domain of the target to stop
    std::string instance; //!< target to stop; empty for Start
};

/**
 * Minimum number of targets for a load: keeps utilisation within targetUtilisation and, after the loss of the failure domain
 * with the most targets, within lossUtilisation, assuming an even spread. Limited to the group's minTargets and maxTargets.
 *
 * @param load demand in units of one target's capacity
 * @param domains number of failure domains in which targets can be started
 */
std::uint32_t targetsNeeded(double load, std::uint32_t domains, const TargetGroup &group, const ScaleSettings &settings) noexcept;

/**
 * Returns the next start or stop for a group, if any. Deterministic: a target is started in the domain with the fewest
 * targets and stopped in the domain with the most.
 *
 * @param load demand in units of one target's capacity; empty if load reports are missing, in which case nothing is stopped
 */
std::optional<ScaleOrder> planScale(ScaleState &state,
                                    std::span<const ScaleTarget> targets,
                                    std::span<const std::string> domains,
                                    std::optional<double> load,
                                    const TargetGroup &group,
                                    const ScaleSettings &settings,
                                    TimePoint now);

} // namespace snipehill
