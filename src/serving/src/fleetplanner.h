#pragma once

#include "targettable.h"

#include <process/configfollower.h>
#include <process/controlplane.h>
#include <request/roleplan.h>
#include <request/scaleplan.h>

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace snipehill
{

/**
 * Plans engine roles and scaling from the load reports of this entry's targets. The control plane issues the
 * planned orders, and only while it holds the lease. Every entry keeps its own averages, so that a new leaseholder
 * plans with what it has observed itself. Thread-safe, one lock.
 */
class FleetPlanner
{
public:
    FleetPlanner(const TargetTable &targets, const ConfigFollower &config);

    /** Returns the target groups whose engine roles are planned. */
    std::vector<std::string> roleGroups() const;
    std::optional<PlannedEngineOrder> planRoles(const std::string &group, const std::set<std::string> &busy, TimePoint now);
    void recordRoleOrder(const std::string &group, const PlannedEngineOrder &order, TimePoint now);
    std::optional<PlannedTargetOrder> planTargets(const std::string &failureDomain, TimePoint now);

private:
    struct Admitted
    {
        std::uint64_t incarnation = 0;
        std::uint64_t prefill = 0;
        std::uint64_t decode = 0;
    };
    struct Engine
    {
        TimePoint lastChange{};
        bool everChanged = false;
    };
    struct Group
    {
        RolePool pool;
        std::map<std::string, Admitted> admitted; //!< by instance, at the last measurement
        std::optional<TimePoint> measuredAt;
        std::map<std::string, Engine> engines;
        std::map<std::string, ScaleState> scale; //!< by failure domain
        std::map<std::string, TimePoint> starting; //!< failure domains in which a start was ordered
        std::size_t targetsAtStart = 0; //!< number of targets listed when the last start was ordered
    };
    void measureDemand(Group &group, const std::vector<TargetView> &views, TimePoint now) const;
    std::vector<ScaleTarget> scaleTargets(Group &group, const std::vector<TargetView> &views, TimePoint now) const;

    const TargetTable &m_targets;
    const ConfigFollower &m_config;
    std::mutex m_lock;
    std::map<std::string, Group> m_groups;
    RolePlanSettings m_roleSettings;
    ScaleSettings m_scaleSettings;
};

} // namespace snipehill
