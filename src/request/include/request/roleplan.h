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

/** Demand for one model, in tokens per second. */
struct TokenDemand
{
    double prefill = 0;
    double decode = 0;
};

/**
 * Fast and slow moving averages of a model's demand. The plan uses the fast one as the current demand. A regime is a period in
 * which the prefill-to-decode ratio of the fast average stays above, or below, that of the slow average; the length of past
 * regimes separates lasting shifts from short swings.
 */
struct DemandAverages
{
    TokenDemand fast;
    TokenDemand slow;
    TimePoint updated{};
    TimePoint regimeSince{}; //!< start of the current regime
    bool prefillAboveAverage = false; //!< the current regime has a fast ratio above the slow one
    double meanRegimeSeconds = 0; //!< moving average of the length of past regimes
    std::uint32_t regimeChanges = 0;
    bool started = false;
};

/** Settings of the role plan. */
struct RolePlanSettings
{
    seconds fastAverage{30}; //!< time constant of the fast average
    seconds slowAverage{300}; //!< time constant of the slow average
    seconds changeTime{20}; //!< drain and role change, during which the engine serves nothing
    seconds horizon{180}; //!< a change must pay off within this time
    seconds engineDwell{120}; //!< minimum time between two changes of one engine
    seconds poolDwell{15}; //!< minimum time between two changes in one pool
    double regimeMargin = 0.05; //!< hysteresis: a new regime starts when the fast ratio crosses the slow one by this fraction
    double minGain = 0.05; //!< minimum decrease of the worst utilisation
    double busyUtilisation = 0.85; //!< no role is changed while the worst utilisation is below this
    seconds freshReport{10}; //!< a report older than this is stale
    double minFreshShare = 0.7; //!< fraction of the live engines that must have fresh reports
    double mixedEfficiency = 0.85; //!< throughput of a mixed engine relative to a dedicated one
};

/** Snapshot of one engine of a pool for the planner. */
struct EngineView
{
    std::string instance;
    std::string failureDomain;
    EngineRole role = EngineRole::Mixed;
    bool live = true; //!< able to serve requests
    bool changing = false; //!< a role change is in progress
    std::optional<Duration> reportAge; //!< empty if it never reported
    double prefillTokensPerSecond = 0; //!< rate if the engine did only prefill
    double decodeTokensPerSecond = 0; //!< rate if the engine did only decode
    TimePoint lastChange{};
    bool everChanged = false;
};

/** A role change proposed by the planner. */
struct RoleChange
{
    std::string instance;
    EngineRole role = EngineRole::Mixed;
    double utilisationBefore = 0; //!< worst utilisation without the change
    double utilisationAfter = 0; //!< predicted worst utilisation after the change
};

/** Planner state of one pool, which is the set of engines of one model. */
struct RolePool
{
    DemandAverages demand;
    TimePoint lastChange{};
    bool everChanged = false;
};

/** Adds a sample of admitted work, averaged over an interval that ends now. */
void addDemand(DemandAverages &averages, const TokenDemand &measured, const RolePlanSettings &settings, TimePoint now);

/**
 * Expected remaining time of the current regime, at most the horizon: what is left of the mean regime length or, if the
 * regime already exceeds the mean, as long as it has lasted so far.
 */
Duration expectedRegimeDuration(const DemandAverages &averages, const RolePlanSettings &settings, TimePoint now) noexcept;

/** Higher utilisation of prefill and decode if the serving engines carry the demand; infinite if a demanded kind has no engine. */
double worstUtilisation(std::span<const EngineView> engines, const TokenDemand &demand, const RolePlanSettings &settings);

/**
 * Returns the next role change of a pool, if any. At most one engine per pool and per failure domain changes its role at a
 * time; busyDomains are the failure domains in which another pool has a change in progress.
 */
std::optional<RoleChange>
planRoles(std::span<const EngineView> engines, const RolePool &pool, std::span<const std::string> busyDomains, const RolePlanSettings &settings, TimePoint now);

/** Records that a role change was ordered. */
void recordRoleChange(RolePool &pool, TimePoint now) noexcept;

} // namespace snipehill
