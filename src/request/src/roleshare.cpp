#include <request/roleshare.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <tuple>

namespace snipehill
{

namespace
{

/** Number of engines in the prefill role, or changing to it. */
std::size_t countPrefillEngines(std::span<const RoleShareEngine> engines)
{
    return static_cast<std::size_t>(std::count_if(engines.begin(), engines.end(), [](const RoleShareEngine &engine) {
        return engine.role == EngineRole::Prefill;
    }));
}

double inMilliseconds(Duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

/** Number of changes that may be ordered in addition to those in progress. */
std::size_t maxOrders(std::span<const RoleShareEngine> engines, bool serving, const RoleShareSettings &settings)
{
    if (!serving) {
        return engines.size();
    }
    const auto changing = std::count_if(engines.begin(), engines.end(), [](const RoleShareEngine &engine) {
        return engine.changing;
    });
    const auto orderLimit = std::max<std::ptrdiff_t>(1, std::lround(settings.maxChangingShare * static_cast<double>(engines.size())));
    return static_cast<std::size_t>(std::max<std::ptrdiff_t>(0, orderLimit - changing));
}

} // namespace

std::size_t desiredPrefillEngines(std::span<const RoleShareEngine> engines, const RoleShareSettings &settings) noexcept
{
    if (engines.size() < 2) {
        return 0;
    }
    double slots = 0;
    for (const RoleShareEngine &engine : engines) {
        slots += engine.slots;
    }
    const auto count = static_cast<double>(engines.size());
    const double share = 1 / (1 + settings.streamsPerPrefillEngine * count / slots);
    const double prefillEngines = std::round(std::clamp(share, settings.minShare, settings.maxShare) * count);
    return static_cast<std::size_t>(std::clamp(prefillEngines, 1.0, count - 1));
}

bool updateShare(RoleDemand &demand, const RoleDelays &delays, std::size_t initial, std::size_t engines, const RoleDemandSettings &settings, TimePoint now)
{
    if (demand.observedSince == TimePoint{}) {
        demand.observedSince = now;
    }
    if (engines < 2 || now - demand.observedSince < settings.minObservation) {
        return false;
    }
    const bool morePrefill = delays.prefill > delays.decode;
    const Duration longer = std::max(delays.prefill, delays.decode);
    const Duration shorter = std::min(delays.prefill, delays.decode);
    if (longer < settings.minDelay || inMilliseconds(longer) < settings.imbalance * inMilliseconds(shorter)) {
        return false;
    }
    const auto count = static_cast<double>(engines);
    const double current = demand.share.value_or(static_cast<double>(initial) / count);
    const bool severe = inMilliseconds(longer) >= settings.imbalance * settings.imbalance * inMilliseconds(shorter);
    const double step = std::max(settings.stepShare, 1 / count) * (severe ? 2 : 1);
    const double share = std::clamp(current + (morePrefill ? step : -step), settings.minShare, settings.maxShare);
    if (std::lround(share * count) == std::lround(current * count)) {
        return false;
    }
    demand.share = share;
    demand.observedSince = TimePoint{};
    return true;
}

std::size_t plannedPrefillEngines(const RoleDemand &demand, std::size_t initial, std::size_t engines) noexcept
{
    if (!demand.share || engines < 2) {
        return initial;
    }
    return static_cast<std::size_t>(std::clamp<long>(std::lround(*demand.share * static_cast<double>(engines)), 1, static_cast<long>(engines) - 1));
}

std::vector<RoleOrder> planRoleShare(std::span<const RoleShareEngine> engines, std::size_t wanted, bool serving, const RoleShareSettings &settings)
{
    const bool known = std::none_of(engines.begin(), engines.end(), [](const RoleShareEngine &engine) {
        return engine.role == EngineRole::Mixed;
    });
    if (!known || engines.size() < 2) {
        return {};
    }
    const std::size_t prefillEngines = countPrefillEngines(engines);
    const EngineRole role = prefillEngines < wanted ? EngineRole::Prefill : EngineRole::Decode;
    const std::size_t missing = prefillEngines < wanted ? wanted - prefillEngines : prefillEngines - wanted;
    std::map<std::string, int> sameInDomain;
    std::vector<const RoleShareEngine *> candidates;
    for (const RoleShareEngine &engine : engines) {
        sameInDomain[engine.failureDomain] += engine.role == role ? 1 : 0;
        if (engine.role != role && !engine.changing) {
            candidates.push_back(&engine);
        }
    }
    std::vector<RoleOrder> orders;
    const std::size_t orderLimit = std::min({missing, maxOrders(engines, serving, settings), candidates.size()});
    while (orders.size() < orderLimit) {
        const auto best = std::min_element(candidates.begin(), candidates.end(), [&](const RoleShareEngine *left, const RoleShareEngine *right) {
            return std::tuple(sameInDomain[left->failureDomain], left->running, left->id)
                < std::tuple(sameInDomain[right->failureDomain], right->running, right->id);
        });
        ++sameInDomain[(*best)->failureDomain];
        orders.push_back({(*best)->id, role});
        candidates.erase(best);
    }
    return orders;
}

} // namespace snipehill
