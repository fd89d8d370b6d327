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

/** One request while this entry serves it. Lives in the coroutine that serves it and is used by that alone. */
struct DirectRequest
{
    DirectContext &context;
    HttpExchange &exchange;
    IncomingRequest caller;
    RoutingVersionPointer routing; //!< version that the request began under
    const RouteRule *route = nullptr;
    const GroupRule *group = nullptr;
    std::string workspace; //!< empty on open routes
    std::uint32_t priority = 0;
    TimePoint received{};
    TimePoint deadline{}; //!< no answer is of use later
    std::uint64_t fingerprint = 0;
    std::vector<std::string> triedTargets; //!< targets that it should not go to again
    std::uint32_t sendCount = 0; //!< targets that may have got it to run
    bool mayHaveRun = false;
    HttpConnection *activeConnection = nullptr; //!< exchange to abort when the caller leaves
};

/** Why a request ends without a target's answer. */
struct DirectRefusal
{
    unsigned status = 503;
    Reason reason;
    milliseconds retryAfter{0}; //!< 0: nothing is said
};

/** Serves one request of a caller; answers it in any case unless the caller has left. */
boost::asio::awaitable<void> serveDirect(DirectContext &context, HttpExchange &exchange);

/** A request of a plain service. */
boost::asio::awaitable<void> serveCall(DirectRequest &request);

/** A request that carries a prompt, or any other that is answered by events. */
boost::asio::awaitable<void> serveStream(DirectRequest &request);

/** Answers with a refusal. One that promises that nothing ran becomes a 502 when that is not certain. */
boost::asio::awaitable<void> refuse(DirectRequest &request, DirectRefusal refusal);

/** Statuses that promise callers that nothing ran and nothing will. */
bool promisesNotRun(unsigned status) noexcept;

/** Time until the request is given up; at least a millisecond, so that time limits made of it are valid. */
milliseconds remainingTime(const DirectRequest &request) noexcept;

/** True when the request is to be given up now. */
bool hasTimedOut(const DirectRequest &request) noexcept;

/** Status for a request whose time is up: 504 if a target may have run it, else 503. */
DirectRefusal timeoutRefusal(const DirectRequest &request);

/** Writes what was decided about a request. */
void logRequest(const DirectRequest &request, Level level, std::string_view message, LogFields fields = {});

/** Counts the outcome and writes the last line of a request. */
void recordOutcome(const DirectRequest &request, std::string_view outcome, unsigned status);

} // namespace snipehill
