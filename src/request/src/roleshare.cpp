#include <request/roleshare.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <tuple>

namespace snipehill
{

namespace
{

/** Engines that read, or will when their order has taken effect. */
std::size_t countReading(std::span<const ShareEngine> engines)
{
    return static_cast<std::size_t>(std::count_if(engines.begin(), engines.end(), [](const ShareEngine &engine) {
        return engine.role == EngineRole::Prefill;
    }));
}

/** Orders that may be given beside the changes under way. */
std::size_t mostOrders(std::span<const ShareEngine> engines, bool serving, const RoleShareSettings &settings)
{
    if (!serving) {
        return engines.size();
    }
    const auto changing = std::count_if(engines.begin(), engines.end(), [](const ShareEngine &engine) {
        return engine.changing;
    });
    const auto most = std::max<std::ptrdiff_t>(1, std::lround(settings.changingUnderLoad * static_cast<double>(engines.size())));
    return static_cast<std::size_t>(std::max<std::ptrdiff_t>(0, most - changing));
}

} // namespace

std::size_t wantedReaders(std::span<const ShareEngine> engines, const RoleShareSettings &settings) noexcept
{
    if (engines.size() < 2) {
        return 0;
    }
    double slots = 0;
    for (const ShareEngine &engine : engines) {
        slots += engine.slots;
    }
    const auto count = static_cast<double>(engines.size());
    const double share = 1 / (1 + settings.streamsPerReader * count / slots);
    const double readers = std::round(std::clamp(share, settings.minShare, settings.maxShare) * count);
    return static_cast<std::size_t>(std::clamp(readers, 1.0, count - 1));
}

std::vector<ShareOrder> shareOrders(std::span<const ShareEngine> engines, bool serving, const RoleShareSettings &settings)
{
    const bool known = std::none_of(engines.begin(), engines.end(), [](const ShareEngine &engine) {
        return engine.role == EngineRole::Mixed;
    });
    if (!known || engines.size() < 2) {
        return {};
    }
    const std::size_t wanted = wantedReaders(engines, settings);
    const std::size_t reading = countReading(engines);
    const EngineRole role = reading < wanted ? EngineRole::Prefill : EngineRole::Decode;
    const std::size_t missing = reading < wanted ? wanted - reading : reading - wanted;
    std::map<std::string, int> sameInDomain;
    std::vector<const ShareEngine *> candidates;
    for (const ShareEngine &engine : engines) {
        sameInDomain[engine.failureDomain] += engine.role == role ? 1 : 0;
        if (engine.role != role && !engine.changing) {
            candidates.push_back(&engine);
        }
    }
    std::vector<ShareOrder> orders;
    const std::size_t most = std::min({missing, mostOrders(engines, serving, settings), candidates.size()});
    while (orders.size() < most) {
        const auto best = std::min_element(candidates.begin(), candidates.end(), [&](const ShareEngine *left, const ShareEngine *right) {
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
