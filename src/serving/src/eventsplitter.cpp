#include "eventsplitter.h"

#include <core/jsontext.h>
#include <request/eventstream.h>

#include <algorithm>

namespace snipehill
{

namespace
{

constexpr std::string_view eventEnd = "\n\n";
constexpr std::string_view dataField = "data: ";
constexpr std::string_view doneEvent = "data: [DONE]";
constexpr std::string_view usageField = "\"usage\":{";

} // namespace

bool parseUsage(std::string_view json, EventProgress &progress)
{
    const auto value = parseJsonText(json);
    if (!value || !value->isObject() || !(*value)["usage"].isObject()) {
        return false;
    }
    progress.promptTokens = unsignedOf((*value)["usage"]["prompt_tokens"]);
    progress.outputTokens = unsignedOf((*value)["usage"]["completion_tokens"]);
    progress.hasUsage = true;
    return true;
}

void EventSplitter::updateProgress(std::string_view event)
{
    if (event == doneEvent) {
        m_progress.done = true;
        return;
    }
    if (!event.starts_with(dataField)) {
        return;
    }
    ++m_progress.dataEvents;
    // Only events with usage are parsed as JSON: most events of a stream have none.
    if (event.find(usageField) != std::string_view::npos) {
        parseUsage(event.substr(dataField.size()), m_progress);
    }
}

std::string EventSplitter::append(std::string_view bytes)
{
    const std::size_t unsearched = m_incompleteEvent.size() - std::min(m_incompleteEvent.size(), eventEnd.size() - 1);
    m_incompleteEvent += bytes;
    const auto last = std::string_view(m_incompleteEvent).substr(unsearched).rfind(eventEnd);
    if (last == std::string::npos) {
        return {};
    }
    std::string completeEvents = m_incompleteEvent.substr(0, unsearched + last + eventEnd.size());
    m_incompleteEvent.erase(0, completeEvents.size());
    for (std::string_view rest = completeEvents; !rest.empty();) {
        const auto end = rest.find(eventEnd);
        updateProgress(rest.substr(0, end));
        rest.remove_prefix(end + eventEnd.size());
    }
    return completeEvents;
}

const EventProgress &EventSplitter::progress() const noexcept
{
    return m_progress;
}

bool EventSplitter::isOverlong() const noexcept
{
    return m_incompleteEvent.size() > EventStream::maxEventBytes;
}

} // namespace snipehill
