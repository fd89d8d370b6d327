#pragma once

#include <core/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace snipehill
{

/** Number of suppressed repetitions of one event. */
struct SuppressedEvents
{
    std::string event; //!< key that identifies equal events
    std::uint64_t count = 0;
};

/** Suppresses repetitions of an event within a time window and counts them. Not thread-safe. */
struct RepeatFilter
{
    struct Entry
    {
        TimePoint writtenAt;
        std::uint64_t suppressed = 0;
    };
    std::map<std::string, Entry, std::less<>> entries;
    std::size_t capacity = 1000; //!< maximum number of distinct events tracked; further ones are not filtered
};

/** Decides on one event: empty if it is to be suppressed, otherwise the number of repetitions suppressed since it was last written. */
std::optional<std::uint64_t> admitEvent(RepeatFilter &filter, const std::string &event, TimePoint now, milliseconds window);

/** Removes events whose window has passed and returns those with suppressed repetitions. */
std::vector<SuppressedEvents> expireEvents(RepeatFilter &filter, TimePoint now, milliseconds window);

} // namespace snipehill
