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
    if (now - entry.writtenAt < window) {
        ++entry.suppressed;
        return std::nullopt;
    }
    const std::uint64_t suppressed = entry.suppressed;
    entry = {now, 0};
    return suppressed;
}

std::vector<SuppressedEvents> expireEvents(RepeatFilter &filter, TimePoint now, milliseconds window)
{
    std::vector<SuppressedEvents> counts;
    for (auto at = filter.entries.begin(); at != filter.entries.end();) {
        if (now - at->second.writtenAt < window) {
            ++at;
            continue;
        }
        if (at->second.suppressed > 0) {
            counts.push_back({at->first, at->second.suppressed});
        }
        at = filter.entries.erase(at);
    }
    return counts;
}

} // namespace snipehill
