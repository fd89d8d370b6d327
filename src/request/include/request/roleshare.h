#pragma once

#include <core/loadreport.h>
#include <core/time.h>

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace snipehill
{

/** One engine, as the share plan sees it. */
struct RoleShareEngine
{
    std::string id;
    std::string failureDomain;
    EngineRole role = EngineRole::Mixed; //!< the ordered one while it changes
    std::uint32_t running = 0;
    std::uint32_t slots = 1;
    bool changing = false; //!< an order was given and its effect is not seen yet
};

/** Settings of the share plan. */
struct RoleShareSettings
{
    double streamsPerPrefillEngine = 24; //!< streams that one reading engine feeds when it is busy; slots for them are kept on the others
    double minShare = 0.3; //!< of a group's engines that read prompts
    double maxShare = 0.7;
    double maxChangingShare = 0.06; //!< of a group's engines that change at a time while it serves, one at least: each is away for seconds
};

/** A role order that the plan wants given. */
struct RoleOrder
{
    std::string id;
    EngineRole role = EngineRole::Prefill;
};

/** Engines of a group that should read prompts, so that the others have slots for the streams that come of them. */
std::size_t desiredPrefillEngines(std::span<const RoleShareEngine> engines, const RoleShareSettings &settings) noexcept;

/**
 * Role orders to give now for a group of engines: they move the number of reading engines towards its share.
 *
 * Answers loads that swing faster than a role change takes: the share is fixed, fits the work of the mean, and placement
 * follows the swings. Changes keep the reading engines spread over the failure domains. A group that serves nothing
 * changes all at once, so that a fleet which has just started is in its roles when traffic comes.
 *
 * @param serving whether requests run on the group
 */
std::vector<RoleOrder> planRoleShare(std::span<const RoleShareEngine> engines, bool serving, const RoleShareSettings &settings);

} // namespace snipehill
