#pragma once

#include "directexchange.h"
#include "streamwriter.h"

#include <request/eventstream.h>

#include <string>

namespace snipehill
{

/** Outcome of one placement. */
enum class PlacementOutcome {
    Done, //!< the caller has the response or has disconnected; the outcome is recorded
    Complete, //!< the engine has sent its whole stream; what is queued must still be written and the response finished
    NotRun, //!< no engine ran it
    Interrupted, //!< an engine may have run it without a complete response
};

/** State of a stream that is forwarded to the caller. */
struct StreamProgress
{
    EventWriter &writer; //!< outlives the placements, so that what an engine has sent is written although another one goes on
    EventStream events{};
    bool headSent = false; //!< the response head was sent to the caller
    bool usageCounted = false; //!< the request was counted in the usage of the workspace
    bool kvCacheOffered = false; //!< the KV cache of the placement's prefill was named to an engine, which may take it
    bool allowDisaggregation = true; //!< prefill may run on a different engine than decode
    std::uint32_t placements = 0; //!< so far
    std::uint32_t downEngines = 0; //!< engines that refused the connection or wanted no requests when it stood
    std::uint32_t countedPrefills = 0; //!< separate prefills that count as attempts, because their engine may not have accepted them
    TimePoint placedAt{}; //!< of the current placement
    TimePoint prefilledAt{}; //!< end of its separate prefill; unset without one
    TimePoint lastEvent{};
    Duration longestGap{}; //!< between two forwarded events
    std::uint32_t pauses = 0; //!< of reading, because the caller was slow
    Duration paused{}; //!< time of all pauses
    RetryDenial denial = RetryDenial::None; //!< of the latest retry
    bool retryGranted = false; //!< the next placement is already taken from the budget
    Reason reason;
};

/** Headers of a request to an engine that continues after the events forwarded so far. */
TargetRequestHeaders headersFor(const DirectRequest &request, const TargetRef &target, const StreamProgress &progress);

/**
 * Decides whether the request may be placed once more, and takes the retry from the budget if so.
 *
 * @param pendingSends sends in progress, which count like those that have ended
 */
RetryDenial decidePlacement(DirectRequest &request, const StreamProgress &progress, std::uint32_t pendingSends);

/**
 * Runs the request on the decode engine of a placement and forwards the response. A request that may be repeated goes on at
 * another engine if its own is silent and another one accepts it.
 *
 * @param placed replaced by the placement at the other engine in that case; the reservation on the first one is then released
 * @param kvCacheRef KV cache of a separate prefill; empty if there is none
 */
boost::asio::awaitable<PlacementOutcome> runOnEngine(DirectRequest &request, PlacedPrompt &placed, std::string kvCacheRef, StreamProgress &progress);

} // namespace snipehill
