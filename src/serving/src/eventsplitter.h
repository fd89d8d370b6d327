#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace snipehill
{

/** What the events passed on so far say about the answer. */
struct EventProgress
{
    bool done = false; //!< "data: [DONE]" was seen, so the answer is whole
    std::uint64_t dataEvents = 0;
    std::uint64_t promptTokens = 0; //!< from the event with the engine's usage
    std::uint64_t outputTokens = 0;
    bool usageSeen = false;
};

/**
 * Cuts a stream of server-sent events into runs of whole events, so that what an entry passes on always ends
 * between two events. Owned by the coroutine of one attempt.
 */
class EventSplitter
{
public:
    /** Adds bytes; returns all whole events that are complete now. */
    std::string append(std::string_view bytes);
    const EventProgress &progress() const noexcept;

private:
    void updateProgress(std::string_view event);

    std::string m_partial;
    EventProgress m_progress;
};

/** Reads "usage" of a chat-completions object; false if it has none. */
bool parseUsage(std::string_view json, EventProgress &progress);

} // namespace snipehill
