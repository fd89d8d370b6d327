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

/** A request that waits at a sidecar for its target. */
struct QueuedRequest
{
    AttemptId attempt = 0;
    std::string workspace;
    double weight = 1; //!< of the workspace
    std::uint64_t costTokens = 0; //!< estimated work; prompt tokens count less than output tokens, see queueCost()
    TimePoint deadline{}; //!< a request that still waits then is refused as not run
    bool isolated = false; //!< runs only with nothing else on the target
    double startTag = 0; //!< virtual start time, set by the queue
};

/** Waiting requests of one workspace and its virtual time. */
struct WorkspaceQueue
{
    std::deque<QueuedRequest> waiting;
    double finishTag = 0; //!< virtual time at which the last dispatched request ends
    std::uint32_t running = 0;
};

/** Settings of the queue. */
struct FairQueueSettings
{
    std::uint32_t slots = 8; //!< requests that the target may run at once
    std::uint32_t reservedSlots = 2; //!< slots that one workspace leaves free while others use the target too
    std::uint32_t reserveWindow = 64; //!< dispatches for which another workspace counts as using the target
    std::uint32_t maxDispatchesBeforeIsolated = 0; //!< others that may still start while a request waits to run alone
    std::size_t maxWaiting = 4096; //!< requests beyond this are refused at once
};

/**
 * Start-time fair queue over workspaces in token cost. One for each sidecar. Requests that must run alone
 * wait in their own line and are served in turn with the others. Not thread safe; the owner locks.
 */
struct FairQueue
{
    std::unordered_map<std::string, WorkspaceQueue> workspaces;
    std::set<std::pair<double, std::string>> backlogged; //!< by start tag of the first waiting request
    std::deque<QueuedRequest> isolatedQueue;
    std::set<std::pair<TimePoint, AttemptId>> deadlines;
    std::unordered_map<AttemptId, std::string> workspaceByAttempt; //!< workspace of each waiting request
    double virtualTime = 0;
    std::uint32_t running = 0;
    bool isolatedRunning = false;
    std::string lastWorkspace; //!< of the last request dispatched
    std::uint64_t dispatches = 0;
    std::uint64_t lastWorkspaceSwitch = 0; //!< dispatch at which the workspace last differed from the one before
    std::uint32_t dispatchesSinceIsolated = 0; //!< requests dispatched while one that must run alone waited
};

/** Cost of a request in the queue's unit: output tokens, with prompt tokens counted by their relative price. */
std::uint64_t queueCost(std::uint64_t promptTokens, std::uint64_t outputTokens) noexcept;

/** Adds a request. False: the queue is full and the request must be refused as not run. */
bool enqueue(FairQueue &queue, QueuedRequest request, const FairQueueSettings &settings);

/** Takes the next request that may go to the target now; empty when none waits or no slot is free for it. */
std::optional<QueuedRequest> dequeue(FairQueue &queue, const FairQueueSettings &settings);

/** Notes that a dispatched request has ended and corrects its workspace's account by the real cost. */
void finish(FairQueue &queue, const QueuedRequest &request, std::uint64_t actualCostTokens);

/** Removes the waiting requests whose deadline has passed; each is to be refused as not run. */
std::vector<QueuedRequest> takeExpired(FairQueue &queue, TimePoint now);

/** Removes a waiting request; empty if it doesn't wait (any more), so it may have run. */
std::optional<QueuedRequest> cancelWaiting(FairQueue &queue, AttemptId attempt);

/** Waiting requests. */
std::size_t waitingCount(const FairQueue &queue) noexcept;

/**
 * Engine priority of a request that was just dispatched, lower values first: 0 for a workspace that holds
 * no other slot, more for each part of the target that it already holds.
 */
int enginePriority(const FairQueue &queue, const QueuedRequest &request, const FairQueueSettings &settings) noexcept;

} // namespace snipehill
