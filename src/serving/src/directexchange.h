#pragma once

#include "directrequest.h"

namespace snipehill
{

/** How far a request got with one target. */
enum class SendResult {
    Answered, //!< the head of its answer was read
    NotSent, //!< no byte reached the target
    Unknown, //!< the target may have run it and will not be heard again
};

/** One exchange with a target. */
struct DirectExchange
{
    TargetRef target;
    HttpConnectionPointer connection;
    TargetResponse answer;
};

/** Time limits of one exchange. */
struct ExchangeBounds
{
    milliseconds connect{400}; //!< the first packet is repeated after a second; another target is quicker
    milliseconds head{0}; //!< until the head of the answer
    milliseconds maxIdle{3000}; //!< of a kept connection that may be used
};

/** Sends a request to a target and reads the head of the answer that names it; other answers are passed over. */
boost::asio::awaitable<SendResult>
sendToTarget(DirectRequest &request, TargetRef target, HttpRequest message, ExchangeBounds bounds, DirectExchange &exchange, Reason &reason);

/** Reads the rest of a body that is to be held; empty with a reason when it isn't whole. */
boost::asio::awaitable<std::optional<std::string>> readBody(DirectRequest &request, DirectExchange &exchange, Reason &reason);

/** Keeps the connection for the next request if the answer was read to its end, else closes it. */
void finishExchange(DirectRequest &request, DirectExchange &exchange);

/** Closes the connection at once, which makes the target drop the request. */
void abortExchange(DirectRequest &request, DirectExchange &exchange);

/** What the target told of its load, and that it is alive. */
void noteAlive(DirectRequest &request, const DirectExchange &exchange);

/** Writes and counts that a target failed a request. */
void noteTargetFailure(DirectRequest &request, const TargetRef &target, SendResult result, const Reason &reason);

} // namespace snipehill
