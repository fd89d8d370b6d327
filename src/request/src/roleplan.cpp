#include <request/roleplan.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace snipehill
{

namespace
{

constexpr double leastRate = 1e-6; // tokens a second; what is below is rounding
constexpr double infiniteUtilisation = 10; // stands for "nothing serves it" where gains are compared

double inSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

double approach(double average, double measured, double elapsed, seconds constant)
{
    const double weight = 1 - std::exp(-elapsed / static_cast<double>(constant.count()));
    return average + weight * (measured - average);
}

TokenDemand approach(const TokenDemand &average, const TokenDemand &measured, double elapsed, seconds constant)
{
    return {approach(average.prefill, measured.prefill, elapsed, constant), approach(average.decode, measured.decode, elapsed, constant)};
}

/** True when the fast average leans to the other side of the slow one than before, by more than the margin. */
bool hasChangedSides(const DemandAverages &averages, const RolePlanSettings &settings)
{
    const double fast = averages.fast.prefill * averages.slow.decode;
    const double slow = averages.slow.prefill * averages.fast.decode;
    return averages.prefillRises ? fast < slow * (1 - settings.sideMargin) : fast > slow * (1 + settings.sideMargin);
}

void changeSides(DemandAverages &averages, TimePoint now)
{
    constexpr double newest = 0.3; // weight of the last stay
    const double stay = inSeconds(now - averages.sideSince);
    averages.sideSeconds += (averages.sideChanges > 0 ? newest : 1) * (stay - averages.sideSeconds);
    ++averages.sideChanges;
    averages.prefillRises = !averages.prefillRises;
    averages.sideSince = now;
}

struct Capacity
{
    TokenDemand dedicated;
    TokenDemand mixed; //!< if all mixed engines did only the one or the other
};

/** Adds an engine's rates in a role to a capacity, or takes them out with a sign of -1. */
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
    return capacity > leastRate ? demand / capacity : std::numeric_limits<double>::infinity();
}

double utilisationOf(const Capacity &capacity, const TokenDemand &demand)
{
    const double prefill = ratio(demand.prefill, capacity.dedicated.prefill + capacity.mixed.prefill);
    const double decode = ratio(demand.decode, capacity.dedicated.decode + capacity.mixed.decode);
    double joint = 0;
    if (capacity.mixed.prefill > leastRate && capacity.mixed.decode > leastRate) {
        // Mixed engines give each kind the part of their time that evens out both utilisations.
        const double work = demand.prefill / capacity.mixed.prefill + demand.decode / capacity.mixed.decode;
        const double room = 1 + capacity.dedicated.prefill / capacity.mixed.prefill + capacity.dedicated.decode / capacity.mixed.decode;
        joint = work / room;
    }
    return std::max({prefill, decode, joint});
}

bool hasFreshReport(const EngineView &engine, const RolePlanSettings &settings)
{
    return engine.reportAge && *engine.reportAge <= settings.freshReport;
}

/** Enough of the engines have reported lately, and none is in change. */
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
    return live > 1 && static_cast<double>(fresh) >= settings.minFresh * static_cast<double>(live);
}

bool mayChange(const EngineView &engine, std::span<const std::string> busyDomains, const RolePlanSettings &settings, TimePoint now)
{
    const bool dwells = engine.everChanged && now - engine.lastChange < settings.engineDwell;
    const bool busy = std::find(busyDomains.begin(), busyDomains.end(), engine.failureDomain) != busyDomains.end();
    return engine.live && hasFreshReport(engine, settings) && !dwells && !busy;
}

/** Utilisation as far as it hurts: nothing is gained below the busy mark. */
double felt(double utilisation, const RolePlanSettings &settings)
{
    return std::clamp(utilisation, settings.busy, infiniteUtilisation);
}

/** Gain of a change over the stay in utilisation-seconds, less what the change itself costs. */
double netGain(double before, double during, double after, Duration stay, const RolePlanSettings &settings)
{
    const double change = static_cast<double>(settings.changeTime.count());
    const double rest = std::max(0.0, inSeconds(stay) - change);
    const double gain = (felt(before, settings) - felt(after, settings)) * rest;
    const double loss = (felt(during, settings) - felt(before, settings)) * change;
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
        averages.sideSince = now;
        averages.started = true;
        return;
    }
    const double elapsed = inSeconds(now - averages.updated);
    averages.fast = approach(averages.fast, measured, elapsed, settings.fastAverage);
    averages.slow = approach(averages.slow, measured, elapsed, settings.slowAverage);
    averages.updated = now;
    if (hasChangedSides(averages, settings)) {
        changeSides(averages, now);
    }
}

Duration expectedStay(const DemandAverages &averages, const RolePlanSettings &settings, TimePoint now) noexcept
{
    if (averages.sideChanges < 2) {
        return settings.horizon;
    }
    const double lasted = inSeconds(now - averages.sideSince);
    const double expected = lasted < averages.sideSeconds ? averages.sideSeconds - lasted : lasted;
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
    if (before < settings.busy) {
        return std::nullopt;
    }
    const Duration stay = expectedStay(pool.demand, settings, now);
    std::optional<RoleChange> best;
    double bestGain = 0;
    for (const EngineView &engine : engines) {
        if (!mayChange(engine, busyDomains, settings, now)) {
            continue;
        }
        Capacity without = capacity;
        addEngine(without, engine, engine.role, -1, settings);
        const double during = utilisationOf(without, demand);
        for (const EngineRole role : {EngineRole::Mixed, EngineRole::Prefill, EngineRole::Decode}) {
            Capacity changed = without;
            addEngine(changed, engine, role, 1, settings);
            const double after = utilisationOf(changed, demand);
            const double gain = netGain(before, during, after, stay, settings);
            if (role != engine.role && gain > bestGain && std::min(before, infiniteUtilisation) - after >= settings.minGain) {
                bestGain = gain;
                best = RoleChange{engine.instance, role, before, after};
            }
        }
    }
    return best;
}

void noteRoleChange(RolePool &pool, TimePoint now) noexcept
{
    pool.lastChange = now;
    pool.everChanged = true;
}

} // namespace snipehill
