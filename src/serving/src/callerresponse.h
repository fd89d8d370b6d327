#pragma once

#include "callerrequest.h"

#include <connection/httpserver.h>

#include <link.pb.h>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>

namespace snipehill
{

/** Text and number of output tokens in a sequence of server-sent events; each chunk with content counts as one token. */
struct DeliveredOutput
{
    std::string text;
    std::uint32_t tokens = 0;
};

/** Parses the chat-completions chunks in a sequence of complete server-sent events. */
DeliveredOutput parseDeliveredOutput(std::string_view events);

/**
 * The response to one caller, assembled from the frames of one or more attempts. Used on the strand of the
 * caller's connection. A streamed response is forwarded as it arrives; any other is buffered until it is
 * complete, so that another attempt can still replace it.
 */
class CallerResponse
{
public:
    CallerResponse(HttpExchange &exchange, std::string requestId);

    /** Forwards or buffers the next frame; false if the caller has disconnected or the response exceeds the buffer limit. */
    boost::asio::awaitable<bool> forwardFrame(const wire::Frame &frame);
    /** Sends a refusal. A stream that has started gets an error event with the reason and is then cut off. */
    boost::asio::awaitable<void> refuse(Refusal refusal);

    bool isStreaming() const noexcept;
    /**
     * Whether what follows the head may be forwarded: not the response of an attempt that was to resume a stream and failed, and no status that HTTP
     * doesn't have, which a sidecar of an earlier version passes on.
     */
    bool accepts(const wire::Head &head) const noexcept;
    /** Discards the buffered part of a response whose attempt failed. */
    void discardBuffered();
    /** Output that the caller has received, parsed from the forwarded events. */
    DeliveredOutput deliveredOutput() const;
    /** "complete", "not_run", "outcome_unknown", "rejected", or "cut" for a response that was not completed. */
    const char *outcome() const noexcept;
    /** Sets the workspace label of the metric for the time between pieces of a stream. */
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
    bool m_streaming = false; //!< the head of a streamed response has been sent
    std::string m_buffered; //!< body of a response that is not streamed
    std::string m_events; //!< forwarded events, from which another attempt resumes the stream
    wire::Usage m_usage;
    std::optional<TimePoint> m_firstData;
};

} // namespace snipehill
