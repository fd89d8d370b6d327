#include <request/eventstream.h>

namespace snipehill
{

namespace
{

constexpr std::string_view lineEnds = "\r\n";
constexpr std::string_view idField = "id:";

/** Offset just after the empty line that ends the first event; npos if the event is incomplete. */
std::size_t endOfEvent(std::string_view text)
{
    std::size_t start = 0;
    while (true) {
        const auto end = text.find('\n', start);
        if (end == std::string_view::npos) {
            return end;
        }
        const std::string_view line = text.substr(start, end - start);
        if (line.empty() || line == "\r") {
            return end + 1;
        }
        start = end + 1;
    }
}

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
    while (true) {
        const std::string_view rest = std::string_view(m_partial).substr(whole);
        const std::size_t size = endOfEvent(rest);
        if (size == std::string_view::npos) {
            break;
        }
        recordEvent(rest.substr(0, size));
        whole += size;
    }
    std::string events = m_partial.substr(0, whole);
    m_partial.erase(0, whole);
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
}

bool EventStream::hasPartial() const noexcept
{
    return !m_partial.empty();
}

} // namespace snipehill
