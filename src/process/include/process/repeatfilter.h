#pragma once

#include <core/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace snipehill
{

/** Events of one kind that were held back. */
struct SuppressedEvents
{
    std::string event; //!< key of the event
    std::uint64_t count = 0;
};

/** Recent events and how often each was held back. Not thread-safe. */
struct RepeatFilter
{
    struct Entry
    {
        TimePoint writtenAt;
        std::uint64_t suppressed = 0;
    };
    std::map<std::string, Entry, std::less<>> entries;
    std::size_t capacity = 1000; //!< kinds remembered; with more, new kinds are written unfiltered
};

/** Number of equal events held back before this one if it is to be written; empty if it is held back too. */
std::optional<std::uint64_t> admitEvent(RepeatFilter &filter, const std::string &event, TimePoint now, milliseconds window);

/** Forgets kinds whose window has passed; returns those with events held back. */
std::vector<SuppressedEvents> expireEvents(RepeatFilter &filter, TimePoint now, milliseconds window);

} // namespace snipehill
