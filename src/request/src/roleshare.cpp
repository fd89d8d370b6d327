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

std::vector<RoleOrder> planRoleShare(std::span<const RoleShareEngine> engines, bool serving, const RoleShareSettings &settings)
{
    const bool known = std::none_of(engines.begin(), engines.end(), [](const RoleShareEngine &engine) {
        return engine.role == EngineRole::Mixed;
    });
    if (!known || engines.size() < 2) {
        return {};
    }
    const std::size_t wanted = desiredPrefillEngines(engines, settings);
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
