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

std::optional<ShareOrder> nextShareOrder(std::span<const ShareEngine> engines, const RoleShareSettings &settings)
{
    const bool known = std::none_of(engines.begin(), engines.end(), [](const ShareEngine &engine) {
        return engine.changing || engine.role == EngineRole::Mixed;
    });
    if (!known || engines.size() < 2) {
        return std::nullopt;
    }
    const std::size_t wanted = wantedReaders(engines, settings);
    const std::size_t reading = countReading(engines);
    if (reading == wanted) {
        return std::nullopt;
    }
    const EngineRole role = reading < wanted ? EngineRole::Prefill : EngineRole::Decode;
    std::map<std::string, int> sameInDomain;
    for (const ShareEngine &engine : engines) {
        sameInDomain[engine.failureDomain] += engine.role == role ? 1 : 0;
    }
    const ShareEngine *best = nullptr;
    for (const ShareEngine &engine : engines) {
        const auto rank = [&sameInDomain](const ShareEngine &candidate) {
            return std::tuple(sameInDomain[candidate.failureDomain], candidate.running, candidate.id);
        };
        if (engine.role != role && (!best || rank(engine) < rank(*best))) {
            best = &engine;
        }
    }
    return best ? std::optional(ShareOrder{best->id, role}) : std::nullopt;
}

} // namespace snipehill
