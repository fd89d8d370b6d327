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

/** One place in which a request runs on the target: a strand and the connection kept on it. */
struct TargetSlot
{
    explicit TargetSlot(boost::asio::any_io_executor executor) : strand(boost::asio::make_strand(executor)) { }
    boost::asio::strand<boost::asio::any_io_executor> strand;
    std::unique_ptr<HttpConnection> connection; //!< kept from the last request, null or reusable
};

/** Takes the answer as it comes in. */
struct ResponseSink
{
    std::function<void(unsigned status, HeaderList headers, bool stream)> head;
    std::function<void(std::string data)> data;
};

/** How an exchange with the target ended. */
enum class ExchangeEnd {
    Complete, //!< the whole answer is in the sink
    NotSent, //!< no byte of the request left, so the target has not run it
    Failed, //!< the target may have run it, the answer is not whole
    Cancelled,
};

/** Result of an exchange. */
struct ExchangeResult
{
    ExchangeEnd end = ExchangeEnd::Complete;
    Reason reason; //!< of NotSent and Failed
    EventProgress progress; //!< of an engine's answer
    TimePoint firstByte{};
};

/** Where and how to send. */
struct ExchangeTarget
{
    Endpoint endpoint;
    bool engine = false;
    int priority = 0; //!< for engines
    std::string traceparent;
};

/**
 * Runs the attempt's request on the target over the lane's connection. On the lane's strand.
 * Requests that must run at most once go over a new connection, so that a failure to connect proves that
 * they were not sent.
 */
boost::asio::awaitable<ExchangeResult> exchangeWithTarget(TargetSlot &slot, AttemptPointer attempt, ExchangeTarget target, ResponseSink sink);

/** Body for an engine: priority, and the output to go on after. Empty if the body is no JSON object. */
std::string engineBody(const wire::Run &run, int priority);

} // namespace snipehill
