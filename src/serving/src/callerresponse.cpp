#include "callerresponse.h"

#include "wireconvert.h"

#include <connection/httpstatus.h>
#include <core/jsontext.h>
#include <process/metrics.h>

namespace snipehill
{

namespace asio = boost::asio;

namespace
{

constexpr std::size_t maxBufferedBytes = 32U << 20U;
constexpr std::string_view eventEnd = "\n\n";
constexpr std::string_view dataField = "data: ";

} // namespace

CallerResponse::CallerResponse(HttpExchange &exchange, std::string requestId) : m_exchange(exchange), m_requestId(std::move(requestId)) { }

asio::awaitable<bool> CallerResponse::handleHead(const wire::Head &head)
{
    if (m_streaming) {
        co_return true; // a resumed stream continues under the head that was already sent
    }
    m_status = head.status();
    m_headers = readHeaders(head.headers());
    m_headers.emplace_back("X-Request-Id", m_requestId);
    if (!head.stream()) {
        co_return true;
    }
    m_streaming = true;
    const bool sent = co_await m_exchange.beginStream(m_status, m_headers);
    co_return sent;
}

asio::awaitable<bool> CallerResponse::handleEnd(const wire::Usage &usage)
{
    m_usage.set_prompt_tokens(m_usage.prompt_tokens() + usage.prompt_tokens());
    m_usage.set_output_tokens(m_usage.output_tokens() + usage.output_tokens());
    if (m_streaming) {
        const bool finished = co_await m_exchange.finish();
        m_outcome = finished ? "complete" : "cut";
        co_return finished;
    }
    const bool sent = co_await m_exchange.respond(m_status, m_headers, std::move(m_buffered));
    m_outcome = sent ? "complete" : "cut";
    co_return sent;
}

asio::awaitable<bool> CallerResponse::forwardFrame(const wire::Frame &frame)
{
    if (frame.has_head()) {
        const bool sent = co_await handleHead(frame.head());
        co_return sent;
    }
    if (frame.has_end()) {
        const bool sent = co_await handleEnd(frame.end());
        co_return sent;
    }
    const TimePoint now = Clock::now();
    if (m_streaming && m_lastData) {
        processMetrics().observe(Timing::BetweenTokens, {m_workspace}, now - *m_lastData);
    }
    m_lastData = now;
    if (!m_firstData) {
        m_firstData = now;
    }
    if (!m_streaming) {
        m_buffered += frame.data();
        co_return m_buffered.size() <= maxBufferedBytes;
    }
    if (m_events.size() + frame.data().size() > maxBufferedBytes) {
        co_return false; // what was delivered could not be told to another engine
    }
    m_events += frame.data();
    const bool sent = co_await m_exchange.write(frame.data());
    co_return sent;
}

asio::awaitable<void> CallerResponse::refuse(Refusal refusal)
{
    processMetrics().count(Counter::Refusals, {toString(refusal.outcome), toString(refusal.reason.step)});
    m_outcome = toString(refusal.outcome);
    if (!m_streaming) {
        co_await m_exchange.respond(refusal.status, problemHeaders(refusal, m_requestId), problemBody(refusal, m_requestId));
        co_return;
    }
    // The missing final HTTP chunk tells the caller that the response is incomplete; the event tells why.
    const std::string event = "event: error\ndata: " + problemBody(refusal, m_requestId) + "\n\n";
    co_await m_exchange.write(event);
    m_exchange.abort();
}

bool CallerResponse::isStreaming() const noexcept
{
    return m_streaming;
}

bool CallerResponse::accepts(const wire::Head &head) const noexcept
{
    return isFinalStatus(head.status()) && (!m_streaming || (head.stream() && head.status() == m_status));
}

void CallerResponse::discardBuffered()
{
    m_buffered.clear();
}

DeliveredOutput CallerResponse::deliveredOutput() const
{
    return parseDeliveredOutput(m_events);
}

const char *CallerResponse::outcome() const noexcept
{
    return m_outcome;
}

void CallerResponse::setMetricsWorkspace(std::string workspace)
{
    m_workspace = std::move(workspace);
}

const wire::Usage &CallerResponse::usage() const noexcept
{
    return m_usage;
}

std::optional<TimePoint> CallerResponse::firstData() const noexcept
{
    return m_firstData;
}

DeliveredOutput parseDeliveredOutput(std::string_view events)
{
    DeliveredOutput output;
    while (!events.empty()) {
        const auto end = events.find(eventEnd);
        std::string_view event = events.substr(0, end);
        events = end == std::string_view::npos ? std::string_view() : events.substr(end + eventEnd.size());
        if (!event.starts_with(dataField)) {
            continue;
        }
        event.remove_prefix(dataField.size());
        const auto chunk = parseJsonText(event);
        const Json::Value &choices = chunk && chunk->isObject() ? (*chunk)["choices"] : Json::Value::nullSingleton();
        if (choices.isArray() && !choices.empty() && choices[0].isObject() && choices[0]["delta"].isObject()) {
            const std::string content = stringOf(choices[0]["delta"]["content"]);
            output.text += content;
            output.tokens += content.empty() ? 0 : 1;
        }
    }
    return output;
}

} // namespace snipehill
