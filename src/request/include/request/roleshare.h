#pragma once

#include <core/loadreport.h>
#include <core/time.h>

#include <cstdint>
#include <optional>
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

/** How long callers of a group wait for its engines beyond what unloaded ones take, by phase; see typicalDelay(). */
struct RoleDelays
{
    Duration prefill{};
    Duration decode{}; //!< after the prefill on another engine, to the first event
};

/** Settings of the search for the share of prefill engines. */
struct RoleDemandSettings
{
    seconds minObservation{6}; //!< between two changes of the share; one change takes about 3 s, during which delays are longer
    double imbalance = 2; //!< ratio of the delays from which the share is changed; the effect of a smaller one is within its fluctuation
    milliseconds minDelay{40}; //!< a shorter mean delay leaves prompts within goals of a quarter of a second and is no reason to change roles
    double stepShare = 0.06; //!< fraction of the engines, but at least one, by which the share changes at once; twice that beyond the square of imbalance
    double minShare = 0.2; //!< minimum fraction of a group's engines in the prefill role
    double maxShare = 0.8; //!< maximum fraction
};

/** Search for the share of prefill engines of one group. Plain data, owned by the task that plans roles. */
struct RoleDemand
{
    std::optional<double> share; //!< found so far; empty until the first change: desiredPrefillEngines() holds
    TimePoint observedSince{}; //!< start of the current observation
};

/**
 * Changes the share of prefill engines if callers wait much longer for one role than for the other.
 *
 * Handles demand that swings between long and short prompts faster than engines can change roles: the delays span several
 * swings, so the share settles where both roles delay callers alike over the swings, and changes rarely.
 * Lasting shifts move it in steps, each of which is observed before the next.
 *
 * @param initial number of prefill engines before any change
 * @param engines number of engines of the group
 * @return whether the share has changed
 */
bool updateShare(RoleDemand &demand, const RoleDelays &delays, std::size_t initial, std::size_t engines, const RoleDemandSettings &settings, TimePoint now);

/** Number of prefill engines that the share found so far gives for this number of engines; initial if none was found. */
std::size_t plannedPrefillEngines(const RoleDemand &demand, std::size_t initial, std::size_t engines) noexcept;

/** A role change to order. */
struct RoleOrder
{
    std::string id;
    EngineRole role = EngineRole::Prefill;
};

/**
 * Number of prefill engines of a group whose demand is not known yet, such that the others have enough slots for the resulting
 * streams of a usual mix.
 */
std::size_t desiredPrefillEngines(std::span<const RoleShareEngine> engines, const RoleShareSettings &settings) noexcept;

/**
 * Returns the role changes to order now, which bring the number of prefill engines closer to the wanted one.
 *
 * Changes keep the prefill engines spread over the failure domains. An idle group changes all engines at once, so that a newly
 * started fleet has its roles before traffic arrives.
 *
 * @param wanted number of prefill engines, see plannedPrefillEngines()
 * @param serving whether the group is serving requests
 */
std::vector<RoleOrder> planRoleShare(std::span<const RoleShareEngine> engines, std::size_t wanted, bool serving, const RoleShareSettings &settings);

} // namespace snipehill
