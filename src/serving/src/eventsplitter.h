#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace snipehill
{

/** Progress of a response, read from its events so far. */
struct EventProgress
{
    bool done = false; //!< "data: [DONE]" was seen, so the response is complete
    std::uint64_t dataEvents = 0;
    std::uint64_t promptTokens = 0; //!< from the event that carries the engine's usage
    std::uint64_t outputTokens = 0;
    bool hasUsage = false;
};

/**
 * Splits a stream of server-sent events at event boundaries, so that an entry never forwards part of an event.
 * Owned by the coroutine of one attempt.
 */
class EventSplitter
{
public:
    /** Adds bytes and returns all events that they complete; an incomplete event is kept for the next call. */
    std::string append(std::string_view bytes);
    const EventProgress &progress() const noexcept;
    /** Whether the incomplete event is longer than any event may be; nothing that follows can be used. */
    bool isOverlong() const noexcept;

private:
    void updateProgress(std::string_view event);

    std::string m_incompleteEvent;
    EventProgress m_progress;
};

/** Parses "usage" of a chat-completions object; false if there is none. */
bool parseUsage(std::string_view json, EventProgress &progress);

} // namespace snipehill
