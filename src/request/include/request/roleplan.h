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

/** Demand of one model in tokens a second. */
struct TokenDemand
{
    double prefill = 0;
    double decode = 0;
};

/** Fast and slow moving averages of a model's demand; the plan reckons with the fast one, the slow one tells shifts from swings. */
struct DemandAverages
{
    TokenDemand fast;
    TokenDemand slow;
    TimePoint updated{};
    TimePoint regimeSince{}; //!< since when the fast ratio of prefill to decode stands on one side of the slow one
    bool prefillAboveAverage = false; //!< the side
    double meanRegimeSeconds = 0; //!< how long the ratio stayed on a side before, moving average
    std::uint32_t regimeChanges = 0;
    bool started = false;
};

/** Settings of the role plan. */
struct RolePlanSettings
{
    seconds fastAverage{30}; //!< time constant
    seconds slowAverage{300};
    seconds changeTime{20}; //!< drain and change: the engine serves nothing for so long
    seconds horizon{180}; //!< a change must pay within this
    seconds engineDwell{120}; //!< least time between two changes of one engine
    seconds poolDwell{15}; //!< least time between two changes in one pool
    double regimeMargin = 0.05; //!< the ratio changes sides when it passes the slow one by this part
    double minGain = 0.05; //!< least drop of the worst utilisation
    double busyUtilisation = 0.85; //!< below this worst utilisation nothing is changed
    seconds freshReport{10}; //!< a report older than this counts as missing
    double minFreshShare = 0.7; //!< part of the engines that must have fresh reports
    double mixedEfficiency = 0.85; //!< of an engine that does both kinds of work
};

/** One engine of a pool, as the planner sees it. */
struct EngineView
{
    std::string instance;
    std::string failureDomain;
    EngineRole role = EngineRole::Mixed;
    bool live = true; //!< serves now
    bool changing = false; //!< an order is under way
    std::optional<Duration> reportAge; //!< empty: no report ever
    double prefillTokensPerSecond = 0; //!< when it did nothing else
    double decodeTokensPerSecond = 0;
    TimePoint lastChange{};
    bool everChanged = false;
};

/** A role order that the plan wants given. */
struct RoleChange
{
    std::string instance;
    EngineRole role = EngineRole::Mixed;
    double utilisationBefore = 0; //!< worst predicted one
    double utilisationAfter = 0;
};

/** What the planner remembers of one pool (the engines of one model). */
struct RolePool
{
    DemandAverages demand;
    TimePoint lastChange{};
    bool everChanged = false;
};

/** Adds a measurement of admitted work, taken over an interval that ends now. */
void addDemand(DemandAverages &averages, const TokenDemand &measured, const RolePlanSettings &settings, TimePoint now);

/**
 * How long the present mix of work is expected to last, at most the horizon: the rest of a usual stay on one
 * side, or as long again as the stay has lasted when it is longer than usual.
 */
Duration expectedRegimeDuration(const DemandAverages &averages, const RolePlanSettings &settings, TimePoint now) noexcept;

/** Worst utilisation of prefill and decode when the engines that serve carry the demand; infinite where nothing serves one kind. */
double worstUtilisation(std::span<const EngineView> engines, const TokenDemand &demand, const RolePlanSettings &settings);

/**
 * The next role change of a pool, or none. At most one engine of a pool and of a failure domain is in change
 * at a time; the caller keeps pools of one failure domain apart by passing the domains that are busy.
 */
std::optional<RoleChange>
planRoles(std::span<const EngineView> engines, const RolePool &pool, std::span<const std::string> busyDomains, const RolePlanSettings &settings, TimePoint now);

/** Notes that the order for a change was given. */
void recordRoleChange(RolePool &pool, TimePoint now) noexcept;

} // namespace snipehill
