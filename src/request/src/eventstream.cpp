#include <request/eventstream.h>

#include <charconv>
#include <utility>

namespace snipehill
{

namespace
{

constexpr std::string_view lineEnds = "\r\n";
constexpr std::string_view idField = "id:";

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(' ');
    return first == std::string_view::npos ? std::string_view() : text.substr(first);
}

/** Value of an event id; empty if it is no number, in which case ids have no order. */
std::optional<std::uint64_t> parseNumber(std::string_view id)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(id.data(), id.data() + id.size(), value);
    return error == std::errc() && end == id.data() + id.size() ? std::optional(value) : std::nullopt;
}

} // namespace

std::string EventStream::append(std::string_view bytes)
{
    m_partial += bytes;
    std::size_t whole = 0;
    for (auto end = m_partial.find('\n', m_searched); end != std::string::npos; end = m_partial.find('\n', m_searched)) {
        const std::string_view line = std::string_view(m_partial).substr(m_lineStart, end - m_lineStart);
        m_lineStart = end + 1;
        m_searched = end + 1;
        if (line.empty() || line == "\r") {
            m_repeating = m_repeating || !recordEvent(std::string_view(m_partial).substr(whole, m_lineStart - whole));
            if (m_repeating) {
                break;
            }
            whole = m_lineStart;
        }
    }
    std::string events = m_partial.substr(0, whole);
    m_partial.erase(0, whole);
    m_lineStart -= whole;
    m_searched = m_partial.size();
    return events;
}

bool EventStream::isRepetition(std::string_view id) const noexcept
{
    const auto number = parseNumber(id);
    const auto last = parseNumber(m_lastId);
    return number && last && *number <= *last;
}

bool EventStream::recordEvent(std::string_view event)
{
    bool hasField = false;
    while (!event.empty()) {
        const auto end = event.find_first_of(lineEnds);
        const std::string_view line = event.substr(0, end);
        hasField = hasField || !line.empty();
        if (line.starts_with(idField)) {
            const std::string_view id = trimmed(line.substr(idField.size()));
            if (std::exchange(m_continuing, false) && isRepetition(id)) {
                return false;
            }
            m_lastId = id;
        }
        event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
    }
    m_events += hasField ? 1 : 0;
    return true;
}

const std::string &EventStream::lastId() const noexcept
{
    return m_lastId;
}

std::uint64_t EventStream::events() const noexcept
{
    return m_events;
}

void EventStream::dropPartial()
{
    m_partial.clear();
    m_lineStart = 0;
    m_searched = 0;
    m_continuing = true;
    m_repeating = false;
}

bool EventStream::isRepeating() const noexcept
{
    return m_repeating;
}

bool EventStream::hasPartial() const noexcept
{
    return !m_partial.empty();
}

std::size_t EventStream::bufferedBytes() const noexcept
{
    return m_partial.capacity() + m_lastId.capacity();
}

bool EventStream::isOverlong() const noexcept
{
    return m_partial.size() > maxEventBytes;
}

} // namespace snipehill
