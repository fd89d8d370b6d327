#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace snipehill
{

/**
 * Splits the body of an event stream into whole events and remembers the id of the last one, so that a stream which broke can
 * go on at another target. Lives as long as the answer; not thread-safe.
 */
class EventStream
{
public:
    /** Takes bytes; returns those up to the end of the last whole event, which may be none. */
    std::string consume(std::string_view bytes);
    /** Id of the last whole event; empty before the first. */
    const std::string &lastId() const noexcept;
    /** Whole events so far. */
    std::uint64_t events() const noexcept;
    /** Drops the part of an event that was left when a target broke off. */
    void dropPartial();
    /** Bytes of an event whose end hasn't arrived. */
    bool hasPartial() const noexcept;

private:
    void recordEvent(std::string_view event);

    std::string m_partial;
    std::string m_lastId;
    std::uint64_t m_events = 0;
};

} // namespace snipehill
