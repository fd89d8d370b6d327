#include <request/roleplan.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace snipehill
{

namespace
{

constexpr double minRate = 1e-6; // tokens per second; smaller values are rounding errors
constexpr double infiniteUtilisation = 10; // stands for infinity where gains are compared

double inSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

double updateAverage(double average, double measured, double elapsed, seconds timeConstant)
{
    const double weight = 1 - std::exp(-elapsed / static_cast<double>(timeConstant.count()));
    return average + weight * (measured - average);
}

TokenDemand updateAverage(const TokenDemand &average, const TokenDemand &measured, double elapsed, seconds timeConstant)
{
    return {updateAverage(average.prefill, measured.prefill, elapsed, timeConstant), updateAverage(average.decode, measured.decode, elapsed, timeConstant)};
}

/** Whether the fast prefill-to-decode ratio has crossed the slow one by more than the margin. */
bool hasChangedRegime(const DemandAverages &averages, const RolePlanSettings &settings)
{
    const double fast = averages.fast.prefill * averages.slow.decode;
    const double slow = averages.slow.prefill * averages.fast.decode;
    return averages.prefillAboveAverage ? fast < slow * (1 - settings.regimeMargin) : fast > slow * (1 + settings.regimeMargin);
}

void startNextRegime(DemandAverages &averages, TimePoint now)
{
    constexpr double latestWeight = 0.3; // weight of the regime that has just ended
    const double regimeDuration = inSeconds(now - averages.regimeSince);
    averages.meanRegimeSeconds += (averages.regimeChanges > 0 ? latestWeight : 1) * (regimeDuration - averages.meanRegimeSeconds);
    ++averages.regimeChanges;
    averages.prefillAboveAverage = !averages.prefillAboveAverage;
    averages.regimeSince = now;
}

struct Capacity
{
    TokenDemand dedicated;
    TokenDemand mixed; //!< if all mixed engines did only prefill, or only decode
};

/** Adds an engine's rates in a role to a capacity, or subtracts them if sign is -1. */
void addEngine(Capacity &capacity, const EngineView &engine, EngineRole role, double sign, const RolePlanSettings &settings)
{
    if (role == EngineRole::Prefill) {
        capacity.dedicated.prefill += sign * engine.prefillTokensPerSecond;
    } else if (role == EngineRole::Decode) {
        capacity.dedicated.decode += sign * engine.decodeTokensPerSecond;
    } else {
        capacity.mixed.prefill += sign * settings.mixedEfficiency * engine.prefillTokensPerSecond;
        capacity.mixed.decode += sign * settings.mixedEfficiency * engine.decodeTokensPerSecond;
    }
}

Capacity capacityOf(std::span<const EngineView> engines, const RolePlanSettings &settings)
{
    Capacity capacity;
    for (const EngineView &engine : engines) {
        if (engine.live && !engine.changing) {
            addEngine(capacity, engine, engine.role, 1, settings);
        }
    }
    return capacity;
}

double ratio(double demand, double capacity)
{
    if (demand <= 0) {
        return 0;
    }
    return capacity > minRate ? demand / capacity : std::numeric_limits<double>::infinity();
}

double utilisationOf(const Capacity &capacity, const TokenDemand &demand)
{
    const double prefill = ratio(demand.prefill, capacity.dedicated.prefill + capacity.mixed.prefill);
    const double decode = ratio(demand.decode, capacity.dedicated.decode + capacity.mixed.decode);
    double joint = 0;
    if (capacity.mixed.prefill > minRate && capacity.mixed.decode > minRate) {
        // Mixed engines divide their time such that both utilisations are equal.
        const double work = demand.prefill / capacity.mixed.prefill + demand.decode / capacity.mixed.decode;
        const double headroom = 1 + capacity.dedicated.prefill / capacity.mixed.prefill + capacity.dedicated.decode / capacity.mixed.decode;
        joint = work / headroom;
    }
    return std::max({prefill, decode, joint});
}

bool hasFreshReport(const EngineView &engine, const RolePlanSettings &settings)
{
    return engine.reportAge && *engine.reportAge <= settings.freshReport;
}

/** Whether enough engines have fresh reports, no engine is changing and the pool's dwell time is over. */
bool mayPlan(std::span<const EngineView> engines, const RolePool &pool, const RolePlanSettings &settings, TimePoint now)
{
    if (pool.everChanged && now - pool.lastChange < settings.poolDwell) {
        return false;
    }
    std::size_t live = 0;
    std::size_t fresh = 0;
    for (const EngineView &engine : engines) {
        if (engine.changing) {
            return false;
        }
        live += engine.live ? 1 : 0;
        fresh += engine.live && hasFreshReport(engine, settings) ? 1 : 0;
    }
    return live > 1 && static_cast<double>(fresh) >= settings.minFreshShare * static_cast<double>(live);
}

bool mayChange(const EngineView &engine, std::span<const std::string> busyDomains, const RolePlanSettings &settings, TimePoint now)
{
    const bool inDwellTime = engine.everChanged && now - engine.lastChange < settings.engineDwell;
    const bool domainBusy = std::find(busyDomains.begin(), busyDomains.end(), engine.failureDomain) != busyDomains.end();
    return engine.live && hasFreshReport(engine, settings) && !inDwellTime && !domainBusy;
}

/** Utilisation limited to the range that matters for gains: a decrease below busyUtilisation gains nothing. */
double effectiveUtilisation(double utilisation, const RolePlanSettings &settings)
{
    return std::clamp(utilisation, settings.busyUtilisation, infiniteUtilisation);
}

/** Gain of a change over the regime in utilisation-seconds, minus the loss while the engine changes. */
double netGain(double before, double duringChange, double after, Duration regimeDuration, const RolePlanSettings &settings)
{
    const double change = static_cast<double>(settings.changeTime.count());
    const double rest = std::max(0.0, inSeconds(regimeDuration) - change);
    const double gain = (effectiveUtilisation(before, settings) - effectiveUtilisation(after, settings)) * rest;
    const double loss = (effectiveUtilisation(duringChange, settings) - effectiveUtilisation(before, settings)) * change;
    return gain - loss;
}

} // namespace

void addDemand(DemandAverages &averages, const TokenDemand &measured, const RolePlanSettings &settings, TimePoint now)
{
    if (!averages.started) {
        averages = DemandAverages{};
        averages.fast = measured;
        averages.slow = measured;
        averages.updated = now;
        averages.regimeSince = now;
        averages.started = true;
        return;
    }
    const double elapsed = inSeconds(now - averages.updated);
    averages.fast = updateAverage(averages.fast, measured, elapsed, settings.fastAverage);
    averages.slow = updateAverage(averages.slow, measured, elapsed, settings.slowAverage);
    averages.updated = now;
    if (hasChangedRegime(averages, settings)) {
        startNextRegime(averages, now);
    }
}

Duration expectedRegimeDuration(const DemandAverages &averages, const RolePlanSettings &settings, TimePoint now) noexcept
{
    if (averages.regimeChanges < 2) {
        return settings.horizon;
    }
    const double elapsedInRegime = inSeconds(now - averages.regimeSince);
    const double expected = elapsedInRegime < averages.meanRegimeSeconds ? averages.meanRegimeSeconds - elapsedInRegime : elapsedInRegime;
    return std::min<Duration>(settings.horizon, std::chrono::duration_cast<Duration>(std::chrono::duration<double>(expected)));
}

double worstUtilisation(std::span<const EngineView> engines, const TokenDemand &demand, const RolePlanSettings &settings)
{
    return utilisationOf(capacityOf(engines, settings), demand);
}

std::optional<RoleChange>
planRoles(std::span<const EngineView> engines, const RolePool &pool, std::span<const std::string> busyDomains, const RolePlanSettings &settings, TimePoint now)
{
    if (!pool.demand.started || !mayPlan(engines, pool, settings, now)) {
        return std::nullopt;
    }
    const TokenDemand demand = pool.demand.fast;
    const Capacity capacity = capacityOf(engines, settings);
    const double before = utilisationOf(capacity, demand);
    if (before < settings.busyUtilisation) {
        return std::nullopt;
    }
    const Duration regimeDuration = expectedRegimeDuration(pool.demand, settings, now);
    std::optional<RoleChange> best;
    double bestGain = 0;
    for (const EngineView &engine : engines) {
        if (!mayChange(engine, busyDomains, settings, now)) {
            continue;
        }
        Capacity without = capacity;
        addEngine(without, engine, engine.role, -1, settings);
        const double duringChange = utilisationOf(without, demand);
        for (const EngineRole role : {EngineRole::Mixed, EngineRole::Prefill, EngineRole::Decode}) {
            Capacity changed = without;
            addEngine(changed, engine, role, 1, settings);
            const double after = utilisationOf(changed, demand);
            const double gain = netGain(before, duringChange, after, regimeDuration, settings);
            if (role != engine.role && gain > bestGain && std::min(before, infiniteUtilisation) - after >= settings.minGain) {
                bestGain = gain;
                best = RoleChange{engine.instance, role, before, after};
            }
        }
    }
    return best;
}

void recordRoleChange(RolePool &pool, TimePoint now) noexcept
{
    pool.lastChange = now;
    pool.everChanged = true;
}

} // namespace snipehill
