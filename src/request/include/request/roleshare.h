#pragma once

#include <core/loadreport.h>
#include <core/time.h>

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace snipehill
{

/** Snapshot of one engine for the role share plan. */
struct RoleShareEngine
{
    std::string id;
    std::string failureDomain;
    EngineRole role = EngineRole::Mixed; //!< the new role while a change is in progress
    std::uint32_t running = 0;
    std::uint32_t slots = 1;
    bool changing = false; //!< a role change was ordered and has not taken effect yet
};

/** Settings of the role share plan. */
struct RoleShareSettings
{
    double streamsPerPrefillEngine = 24; //!< streams that one busy prefill engine supplies; the decode engines need as many slots
    double minShare = 0.3; //!< minimum fraction of a group's engines in the prefill role
    double maxShare = 0.7; //!< maximum fraction
    double maxChangingShare
        = 0.06; //!< fraction of a group's engines, but at least one, that may change at a time under load, because each is unavailable for seconds
};

/** A role change to order. */
struct RoleOrder
{
    std::string id;
    EngineRole role = EngineRole::Prefill;
};

/** Number of prefill engines that a group should have, such that the others have enough slots for the resulting streams. */
std::size_t desiredPrefillEngines(std::span<const RoleShareEngine> engines, const RoleShareSettings &settings) noexcept;

/**
 * Returns the role changes to order now, which bring the number of prefill engines closer to desiredPrefillEngines().
 *
 * Handles loads that vary faster than a role change takes: the share is fixed to suit the average load, and prompt placement
 * absorbs the variation. Changes keep the prefill engines spread over the failure domains. An idle group changes all
 * engines at once, so that a newly started fleet has its roles before traffic arrives.
 *
 * @param serving whether the group is serving requests
 */
std::vector<RoleOrder> planRoleShare(std::span<const RoleShareEngine> engines, bool serving, const RoleShareSettings &settings);

} // namespace snipehill
