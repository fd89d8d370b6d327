#include <process/freshness.h>

#include <algorithm>
#include <array>

namespace snipehill
{

const char *toString(Freshness freshness) noexcept
{
    static constexpr std::array names{"fresh", "outage", "stale"};
    return names[static_cast<std::size_t>(freshness)];
}

Freshness evaluateFreshness(const FreshnessInputs &view, Duration freshness, TimePoint now) noexcept
{
    if (!view.complete || view.offset < view.highestKnownOffset) {
        return Freshness::Stale;
    }
    if (view.contactAt && now - *view.contactAt <= freshness) {
        return Freshness::Fresh;
    }
    if (view.partialReadAt && now - *view.partialReadAt <= freshness) {
        return Freshness::Stale;
    }
    const auto reached = std::count_if(view.members.begin(), view.members.end(), [&](const MemberContact &member) {
        return member.heardAt && now - *member.heardAt <= freshness;
    });
    const std::size_t memberCount = view.members.size() + 1;
    const bool majority = (static_cast<std::size_t>(reached) + 1) * 2 > memberCount;
    return majority ? Freshness::Outage : Freshness::Stale;
}

} // namespace snipehill
