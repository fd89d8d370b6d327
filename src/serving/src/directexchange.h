#pragma once

#include "directrequest.h"
#include "targetstatements.h"

namespace snipehill
{

/** How far a request got with one target. */
enum class SendResult {
    ResponseReceived, //!< the response head was read
    NotSent, //!< no byte reached the target, which couldn't be reached or wants no requests
    OutcomeUnknown, //!< the target may have run the request, but no response was received
};

/** One request sent to a target, with its connection and response. */
struct DirectExchange
{
    TargetRef target;
    HttpConnectionPointer connection;
    TargetResponse response;
    TimePoint sent{}; //!< time of the send
    TimePoint firstEvent{}; //!< time of the first part of the body; unset before
    bool barred = false; //!< nothing was sent because the target wants no requests
    bool mayRun = false; //!< the target runs the request, it does not only prefill the prompt
    TimePoint lastHeard{}; //!< latest time at which the target sent something; the time of the connect or send before that
    ConnectionResult result = ConnectionResult::Success; //!< of a connection that was closed
    Duration longestPause{}; //!< longest time in which nothing was read because the caller was slow
};

constexpr std::size_t maxBufferedBodyBytes = 32U << 20U; // of one response
constexpr milliseconds targetConnectTimeout{400}; // below the one-second TCP SYN retransmission: trying another target is faster

/** Timeouts of one exchange, and what it is for. */
struct ExchangeOptions
{
    SendPurpose purpose = SendPurpose::Run;
    milliseconds connectTimeout = targetConnectTimeout;
    milliseconds headTimeout{0}; //!< until the response head has been read
    milliseconds maxIdle{3000}; //!< longest idle time of a pooled connection to be reused
};

/** Sends a request to a target and reads the head of the response that carries its id; skips responses to other requests. */
boost::asio::awaitable<SendResult>
sendToTarget(DirectRequest &request, TargetRef target, HttpRequest message, ExchangeOptions options, DirectExchange &exchange, Reason &reason);

/** Reads the next part of the body, like HttpConnection::readSome(), until the deadline of the request. */
boost::asio::awaitable<std::optional<std::string>> readPiece(DirectRequest &request, DirectExchange &exchange, Reason &reason);

/**
 * Reads the rest of a response body into memory, which stays charged to the request until that ends. Empty with a reason if the body is incomplete,
 * too long, or too long for the memory that the bodies of all requests may take.
 */
boost::asio::awaitable<std::optional<std::string>>
readBody(DirectRequest &request, DirectExchange &exchange, Reason &reason, std::size_t maxBytes = maxBufferedBodyBytes);

/** Reads the rest of a response body and discards it; false with a reason if it is incomplete or too long. */
boost::asio::awaitable<bool> skipBody(DirectRequest &request, DirectExchange &exchange, Reason &reason);

/** Returns the connection to the pool if the response was read completely, else closes it. */
void finishExchange(DirectRequest &request, DirectExchange &exchange);

/** Closes the connection immediately, which makes the target cancel the request. */
void abortExchange(DirectRequest &request, DirectExchange &exchange);

/** Target and result of an exchange that was aborted, without its connection. */
DirectExchange endedCopy(const DirectExchange &exchange);

/** Makes the request a suspect if its target turns out to have ended. No-op if the response had been flowing for a while. */
void recordPossibleCrash(DirectRequest &request, const DirectExchange &exchange);

/** Records that the target is alive, and the load it reported. */
void recordTargetResponse(DirectRequest &request, const DirectExchange &exchange);

/**
 * Whether a failed exchange counts as a failure of its target. A time limit does only after a long silence: a sound target may
 * be silent for a moment, and the time that the caller gave may end while the target is serving.
 *
 * @param silence time since the target was last heard
 */
bool isTargetFailure(SendResult result, ConnectionResult connection, Duration silence) noexcept;

/** Counts and logs a failed exchange, and records a failure of its target if it is one. No-op if the caller has disconnected. */
void recordFailedExchange(DirectRequest &request, const DirectExchange &exchange, SendResult result, const Reason &reason);

} // namespace snipehill
