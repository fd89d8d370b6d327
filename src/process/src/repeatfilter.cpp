#include <process/repeatfilter.h>

namespace snipehill
{

std::optional<std::uint64_t> admitEvent(RepeatFilter &filter, const std::string &event, TimePoint now, milliseconds window)
{
    const auto found = filter.entries.find(event);
    if (found == filter.entries.end()) {
        if (filter.entries.size() < filter.capacity) {
            filter.entries.emplace(event, RepeatFilter::Entry{now, 0});
        }
        return 0;
    }
    RepeatFilter::Entry &entry = found->second;
    if (now - entry.written < window) {
        ++entry.heldBack;
        return std::nullopt;
    }
    const std::uint64_t heldBack = entry.heldBack;
    entry = {now, 0};
    return heldBack;
}

std::vector<RepeatCount> expireEvents(RepeatFilter &filter, TimePoint now, milliseconds window)
{
    std::vector<RepeatCount> counts;
    for (auto at = filter.entries.begin(); at != filter.entries.end();) {
        if (now - at->second.written < window) {
            ++at;
            continue;
        }
        if (at->second.heldBack > 0) {
            counts.push_back({at->first, at->second.heldBack});
        }
        at = filter.entries.erase(at);
    }
    return counts;
}

} // namespace snipehill
