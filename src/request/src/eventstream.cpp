#include <request/eventstream.h>

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
            recordEvent(std::string_view(m_partial).substr(whole, m_lineStart - whole));
            whole = m_lineStart;
        }
    }
    std::string events = m_partial.substr(0, whole);
    m_partial.erase(0, whole);
    m_lineStart -= whole;
    m_searched = m_partial.size();
    return events;
}

void EventStream::recordEvent(std::string_view event)
{
    bool hasField = false;
    while (!event.empty()) {
        const auto end = event.find_first_of(lineEnds);
        const std::string_view line = event.substr(0, end);
        hasField = hasField || !line.empty();
        if (line.starts_with(idField)) {
            m_lastId = trimmed(line.substr(idField.size()));
        }
        event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
    }
    m_events += hasField ? 1 : 0;
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
}

bool EventStream::hasPartial() const noexcept
{
    return !m_partial.empty();
}

std::size_t EventStream::partialBytes() const noexcept
{
    return m_partial.size();
}

bool EventStream::isOverlong() const noexcept
{
    return m_partial.size() > maxEventBytes;
}

} // namespace snipehill
