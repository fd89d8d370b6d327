#pragma once

#include "callerrequest.h"

#include <connection/httpserver.h>

#include <link.pb.h>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>

namespace snipehill
{

/** Output tokens in a run of server-sent events, one for each chunk with content. */
struct DeliveredOutput
{
    std::string text;
    std::uint32_t tokens = 0;
};

/** Reads the chat-completions chunks in a run of whole server-sent events. */
DeliveredOutput parseDeliveredOutput(std::string_view events);

/**
 * The answer to one caller, put together from the frames of one or more attempts. On the strand of the
 * caller's connection. A streamed answer is passed on as it comes; any other is held until it is whole, so
 * that it can still be replaced.
 */
class CallerResponse
{
public:
    CallerResponse(HttpExchange &exchange, std::string requestId);

    /** Takes the next frame; false when the caller is gone. */
    boost::asio::awaitable<bool> forwardFrame(const wire::Frame &frame);
    /** Sends a refusal, or cuts a stream that has begun after an event that says why. */
    boost::asio::awaitable<void> refuse(Refusal refusal);

    bool streaming() const noexcept;
    /** Drops what an attempt left of an answer that was held back. */
    void discardBuffered();
    /** Output that the caller has, read from the events passed on. */
    DeliveredOutput delivered() const;
    /** "complete", "not_run", "outcome_unknown", "rejected", or "cut" for one that did not end. */
    const char *outcome() const noexcept;
    /** Times between pieces of a stream are observed for this workspace. */
    void setMetricsWorkspace(std::string workspace);
    const wire::Usage &usage() const noexcept;
    std::optional<TimePoint> firstData() const noexcept;

private:
    boost::asio::awaitable<bool> handleHead(const wire::Head &head);
    boost::asio::awaitable<bool> handleEnd(const wire::Usage &usage);

    HttpExchange &m_exchange;
    std::string m_requestId;
    HeaderList m_headers;
    std::string m_workspace;
    std::optional<TimePoint> m_lastData;
    const char *m_outcome = "cut";
    unsigned m_status = 0;
    bool m_streaming = false; //!< the head has gone out
    std::string m_buffered; //!< body of an answer that is not streamed
    std::string m_events; //!< events passed on, to resume from
    wire::Usage m_usage;
    std::optional<TimePoint> m_firstData;
};

} // namespace snipehill
