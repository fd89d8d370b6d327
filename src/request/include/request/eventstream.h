#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace snipehill
{

/**
 * Splits the body of an event stream into complete events and tracks the id of the last one, so that an interrupted stream can
 * be resumed on another target. Lives as long as the response; not thread-safe.
 */
class EventStream
{
public:
    static constexpr std::size_t maxEventBytes = 4U << 20U; //!< a longer event is no event; as much as the platform allows for a request body

    /** Appends bytes and returns all complete events that are buffered, possibly none. Events from a repetition on are not returned. */
    std::string append(std::string_view bytes);
    /** Id of the last complete event that had one; empty before the first. */
    const std::string &lastId() const noexcept;
    /** Number of complete events so far; empty lines alone don't count. */
    std::uint64_t events() const noexcept;
    /** Discards the incomplete event that remains after a connection to a target broke. What is appended next is the continuation. */
    void dropPartial();
    /** Whether the continuation began with an event whose id is not beyond that of the last event, so that nothing of it can be used. */
    bool isRepeating() const noexcept;
    /** Whether an incomplete event is buffered. */
    bool hasPartial() const noexcept;
    /** Memory that the incomplete event and the last id take, in bytes. */
    std::size_t bufferedBytes() const noexcept;
    /** Whether the incomplete event is longer than maxEventBytes; nothing that follows can be used. */
    bool isOverlong() const noexcept;

private:
    /** False if the event is not recorded because it repeats an earlier one. */
    bool recordEvent(std::string_view event);
    bool isRepetition(std::string_view id) const noexcept;

    std::string m_partial;
    std::size_t m_lineStart = 0; //!< in m_partial, of the line that is not complete yet
    std::size_t m_searched = 0; //!< bytes of m_partial that were searched for its end
    std::string m_lastId;
    bool m_continuing = false; //!< the next event with an id is the first one of a continuation
    bool m_repeating = false;
    std::uint64_t m_events = 0;
};

} // namespace snipehill
