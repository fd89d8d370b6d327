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

Freshness evaluateFreshness(const FreshnessInputs &inputs, Duration freshness, TimePoint now) noexcept
{
    if (!inputs.complete || inputs.offset < inputs.highestKnownOffset) {
        return Freshness::Stale;
    }
    if (inputs.contactAt && now - *inputs.contactAt <= freshness) {
        return Freshness::Fresh;
    }
    if (inputs.partialReadAt && now - *inputs.partialReadAt <= freshness) {
        return Freshness::Stale;
    }
    const auto reached = std::count_if(inputs.members.begin(), inputs.members.end(), [&](const MemberContact &member) {
        return member.heardAt && now - *member.heardAt <= freshness;
    });
    const std::size_t memberCount = inputs.members.size() + 1;
    const bool majority = (static_cast<std::size_t>(reached) + 1) * 2 > memberCount;
    return majority ? Freshness::Outage : Freshness::Stale;
}

} // namespace snipehill
