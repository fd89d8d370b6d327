#pragma once

#include <core/ids.h>
#include <core/time.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace snipehill
{

/** A request queued at a sidecar. */
struct QueuedRequest
{
    AttemptId attempt = 0;
    std::string workspace;
    double weight = 1; //!< fair-share weight of the workspace
    std::uint64_t costTokens = 0; //!< estimated cost, see queueCost()
    TimePoint deadline{}; //!< a request that is still queued at this time is refused as not run
    bool isolated = false; //!< may run only with no other request on the target
    double startTag = 0; //!< virtual start time, set by the queue
};

/** Queue and virtual finish time of one workspace. */
struct WorkspaceQueue
{
    std::deque<QueuedRequest> waiting;
    double finishTag = 0; //!< virtual finish time of the last dispatched request
    std::uint32_t running = 0;
};

/** Settings of the queue. */
struct FairQueueSettings
{
    std::uint32_t slots = 8; //!< maximum number of concurrent requests on the target
    std::uint32_t reservedSlots = 2; //!< slots that one workspace must leave free while others also use the target
    std::uint32_t reserveWindow = 64; //!< number of dispatches after which the target no longer counts as shared if only one workspace was served
    std::uint32_t maxDispatchesBeforeIsolated = 0; //!< other requests that may start while an isolated request waits
    std::size_t maxWaiting = 4096; //!< queue capacity; further requests are refused at once
};

/**
 * Start-time fair queueing over workspaces, by token cost. One for each sidecar. Isolated requests wait in a separate FIFO
 * queue and take turns with the others. Not thread-safe; the owner locks.
 */
struct FairQueue
{
    std::unordered_map<std::string, WorkspaceQueue> workspaces;
    std::set<std::pair<double, std::string>> backlogged; //!< workspaces with waiting requests, ordered by the start tag of the first one
    std::deque<QueuedRequest> isolatedQueue;
    std::set<std::pair<TimePoint, AttemptId>> deadlines;
    std::unordered_map<AttemptId, std::string> workspaceByAttempt; //!< workspace of each waiting attempt
    double virtualTime = 0;
    std::uint32_t running = 0;
    bool isolatedRunning = false;
    std::string lastWorkspace; //!< workspace of the last dispatched request
    std::uint64_t dispatches = 0;
    std::uint64_t lastWorkspaceSwitch = 0; //!< value of dispatches when the workspace last differed from the previous one; 0 if it never did
    std::uint32_t dispatchesSinceIsolated = 0; //!< requests dispatched while an isolated request waited, since the last isolated one started
};

/** Cost of a request in output-token equivalents; a prompt token costs a fraction of an output token. */
std::uint64_t queueCost(std::uint64_t promptTokens, std::uint64_t outputTokens) noexcept;

/** Adds a request. Returns false if the queue is full or the attempt is already queued; the request must then be refused as not run. */
bool enqueue(FairQueue &queue, QueuedRequest request, const FairQueueSettings &settings);

/** Removes and returns the next request to send to the target; empty if none may start now. */
std::optional<QueuedRequest> dequeue(FairQueue &queue, const FairQueueSettings &settings);

/** Ends a dispatched request and corrects its workspace's finish tag by the actual cost. */
void finish(FairQueue &queue, const QueuedRequest &request, std::uint64_t actualCostTokens);

/** Removes and returns the waiting requests whose deadline has passed; the caller refuses them as not run. */
std::vector<QueuedRequest> takeExpired(FairQueue &queue, TimePoint now);

/** Removes and returns a waiting request; empty if the attempt is not queued, in which case it may have run. */
std::optional<QueuedRequest> cancelWaiting(FairQueue &queue, AttemptId attempt);

/** Number of waiting requests, isolated ones included. */
std::size_t waitingCount(const FairQueue &queue) noexcept;

/**
 * Engine priority of a request that was just dispatched, lowest value first: the number of slots that its workspace holds
 * besides this one.
 */
int enginePriority(const FairQueue &queue, const QueuedRequest &request, const FairQueueSettings &settings) noexcept;

} // namespace snipehill
