#pragma once

#include "directcontext.h"

#include <connection/httpserver.h>
#include <core/refusal.h>
#include <process/log.h>
#include <request/directrequest.h>

#include <string>
#include <string_view>
#include <vector>

namespace snipehill
{

/** State of one request while it is served. Owned and used only by the coroutine that serves the request. */
struct DirectRequest
{
    DirectContext &context;
    HttpExchange &exchange;
    IncomingRequest caller;
    RoutingVersionPointer routing; //!< configuration version in effect when the request arrived
    const RouteRule *route = nullptr;
    const GroupRule *group = nullptr;
    std::string workspace; //!< empty on open routes
    const WorkspaceQuota *quota = nullptr; //!< of the workspace; null: no limit
    std::uint32_t priority = 0;
    TimePoint received{};
    TimePoint deadline{}; //!< time after which a response is of no use to the caller
    std::uint64_t fingerprint = 0; //!< of path, workspace and body
    bool crashTrial = false; //!< sent although its causes are blocked, to find out whether they are sound
    std::vector<CrashCause> causes; //!< what may crash a target: the fingerprint and the shared parts of the prompt, ascending
    std::vector<std::string> triedTargets; //!< ids of targets to avoid on retries
    std::uint32_t sendCount = 0; //!< sends that reached a target or may have reached it
    bool mayHaveRun = false;
    std::vector<HttpConnection *> activeConnections; //!< connections to abort when the caller disconnects
    MemoryBudget::Share responseMemory{&context.responseMemory}; //!< body or event that is being read, until it has been written to the caller
    std::size_t reservedBytes = 0; //!< of that share, taken before the request was sent
};

/** Response for a request that ends without a target's response. */
struct DirectRefusal
{
    unsigned status = 503;
    Reason reason;
    milliseconds retryAfter{0}; //!< 0: no Retry-After header
    std::string explanation{}; //!< for the caller, in the body
};

/** Why a request got no further attempt. */
enum class RetryDenial {
    None, //!< it was granted
    DeadlinePassed, //!< or too little time is left for another response
    CallerLeft,
    PlacementsUsed, //!< the limit of placements or of unreachable targets is reached
    AttemptsUsed, //!< the limit of the route is reached
    CrashSuspect, //!< targets ended under requests like it
    MustNotRepeat, //!< it may have run, and its route allows one run
    NoBudget, //!< the retry budget of the group is used up
    NoTarget, //!< no other target can take it in time
};

/** "no_budget" and so on, for logs and metrics. */
const char *toString(RetryDenial denial) noexcept;

/** Serves one caller request; always responds unless the caller has disconnected. */
boost::asio::awaitable<void> serveDirect(DirectContext &context, HttpExchange &exchange);

/** Makes the deadline of all requests pass whose response has not begun, so that they are refused. Called on the serving thread. */
void endUnanswered(const ActiveRequests &requests);

/** Serves a request to a plain service: one complete response, retried at other targets where allowed. */
boost::asio::awaitable<void> serveCall(DirectRequest &request);

/** Serves a prompt or any other request whose response is an event stream. */
boost::asio::awaitable<void> serveStream(DirectRequest &request);

/** Responds with a refusal. A status that guarantees that the request did not run becomes a 502 if it may have run. */
boost::asio::awaitable<void> refuse(DirectRequest &request, DirectRefusal refusal);

/** True for statuses that guarantee to callers that the request has not run and will not run. */
bool promisesNotRun(unsigned status) noexcept;

/** Time from now to the end, rounded up so that a wait of this length does not end early; at least one millisecond. */
milliseconds timeUntil(TimePoint end, TimePoint now) noexcept;

/** timeUntil() the deadline of the request. */
milliseconds remainingTime(const DirectRequest &request) noexcept;

/** True when the deadline of the request has passed. */
bool hasTimedOut(const DirectRequest &request) noexcept;

/** Whether another target could still respond before the deadline. */
bool hasTimeForRetry(const DirectRequest &request) noexcept;

/** Refusal of a request that must not be sent because requests like it crash targets; empty if it may be sent. */
std::optional<DirectRefusal> refusalForCrashes(const DirectRequest &request);

/**
 * Whether a request must not be sent to another target because it may be what crashes them.
 *
 * @param repeated a target has received it already; a first send is only denied if the request is blocked
 */
bool mayCrashTargets(const DirectRequest &request, bool repeated);

/** Names of the prompt parts of a request that are among the causes, for logs. */
std::string partNames(const DirectRequest &request, const std::vector<CrashCause> &causes);

/**
 * When a caller may come back whose request no target took: at the end of the shortest pause if all targets of the group want
 * one, else after the usual time.
 */
milliseconds retryAfterNoTarget(const DirectRequest &request, milliseconds usual);

/** Refusal for a request past its deadline: 504 if a target may have run it, else 503. */
DirectRefusal timeoutRefusal(const DirectRequest &request);

/** Logs a decision about a request with its id. */
void logRequest(const DirectRequest &request, LogLevel level, std::string_view message, LogFields fields = {});

/** Updates the request metrics and logs the final line of a request. */
void recordOutcome(const DirectRequest &request, std::string_view outcome, unsigned status);

} // namespace snipehill
