#pragma once

#include "eventsplitter.h"
#include "sidecarattempt.h"

#include <connection/httpclient.h>
#include <connection/httpserver.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/strand.hpp>

#include <functional>
#include <memory>
#include <string>

namespace snipehill
{

/** One of the target's slots for concurrent requests: a strand and the connection used on it. */
struct TargetSlot
{
    explicit TargetSlot(boost::asio::any_io_executor executor) : strand(boost::asio::make_strand(executor)) { }
    boost::asio::strand<boost::asio::any_io_executor> strand;
    std::unique_ptr<HttpConnection> connection; //!< connection of the last request; null or reusable
    bool echoesIds = false; //!< the target has sent a request's id with its response
};

/** Receives the response as it arrives. */
struct ResponseSink
{
    std::function<void(unsigned status, HeaderList headers, bool stream)> head;
    std::function<void(std::string data)> data;
};

/** How an exchange with the target ended. */
enum class ExchangeEnd {
    Complete, //!< the whole response was passed to the sink
    NotSent, //!< no byte of the request was sent, so the target has not run it
    Failed, //!< the target may have run the request; the response is incomplete
    Cancelled,
};

/** Result of an exchange. */
struct ExchangeResult
{
    ExchangeEnd end = ExchangeEnd::Complete;
    Reason reason; //!< set for NotSent and Failed
    EventProgress progress; //!< of an engine's response
    TimePoint firstByte{};
};

/** Where and how the request is sent. */
struct ExchangeTarget
{
    Endpoint endpoint;
    bool engine = false;
    int priority = 0; //!< scheduling priority, for engines only
    std::string traceparent;
};

/**
 * Runs the attempt's request on the target over the slot's connection. Runs on the slot's strand.
 * Requests that must run at most once use a new connection, so that a failure to connect proves that they were not
 * sent.
 */
boost::asio::awaitable<ExchangeResult> exchangeWithTarget(TargetSlot &slot, AttemptPointer attempt, ExchangeTarget target, ResponseSink sink);

/** Returns the body for an engine, with the priority and the output to resume after added. Empty if the body is not a JSON object. */
std::string engineBody(const wire::Run &run, int priority);

} // namespace snipehill
