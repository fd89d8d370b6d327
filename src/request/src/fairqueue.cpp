#include <request/fairqueue.h>

#include <algorithm>

namespace snipehill
{

namespace
{

double weightedCost(const QueuedRequest &request, std::uint64_t cost)
{
    return static_cast<double>(cost) / std::max(request.weight, 1e-6);
}

/** Assigns the start tag of a workspace's first waiting request and adds the workspace to the backlogged ones. */
void activate(FairQueue &queue, const std::string &name, WorkspaceQueue &workspace)
{
    QueuedRequest &first = workspace.waiting.front();
    first.startTag = std::max(queue.virtualTime, workspace.finishTag);
    queue.backlogged.emplace(first.startTag, name);
}

void deactivate(FairQueue &queue, const std::string &name, const WorkspaceQueue &workspace)
{
    queue.backlogged.erase({workspace.waiting.front().startTag, name});
}

/** Removes an idle workspace whose finish tag has passed, so that memory use is bounded by the active workspaces. */
void dropIfIdle(FairQueue &queue, const std::string &name)
{
    const auto found = queue.workspaces.find(name);
    if (found == queue.workspaces.end() || !found->second.waiting.empty() || found->second.running > 0) {
        return;
    }
    const bool idleTarget = queue.running == 0 && queue.workspaceByAttempt.empty();
    if (idleTarget || found->second.finishTag <= queue.virtualTime) {
        queue.workspaces.erase(found);
    }
    if (idleTarget) {
        queue.workspaces.clear();
        queue.virtualTime = 0;
    }
}

bool isSharedTarget(const FairQueue &queue, const std::string &name, const FairQueueSettings &settings)
{
    if (name != queue.lastWorkspace) {
        return !queue.lastWorkspace.empty();
    }
    return queue.lastWorkspaceSwitch > 0 && queue.dispatches - queue.lastWorkspaceSwitch <= settings.reserveWindow;
}

bool mayTakeSlot(const FairQueue &queue, const std::string &name, const WorkspaceQueue &workspace, const FairQueueSettings &settings)
{
    const bool reserves = settings.slots > 2 * settings.reservedSlots && isSharedTarget(queue, name, settings);
    const std::uint32_t slotLimit = reserves ? settings.slots - settings.reservedSlots : settings.slots;
    return workspace.running < slotLimit;
}

void startRequest(FairQueue &queue, WorkspaceQueue &workspace, const QueuedRequest &request)
{
    queue.virtualTime = std::max(queue.virtualTime, request.startTag);
    workspace.finishTag = request.startTag + weightedCost(request, request.costTokens);
    ++workspace.running;
    ++queue.running;
    ++queue.dispatches;
    if (request.workspace != queue.lastWorkspace) {
        queue.lastWorkspaceSwitch = queue.lastWorkspace.empty() ? 0 : queue.dispatches;
        queue.lastWorkspace = request.workspace;
    }
    queue.deadlines.erase({request.deadline, request.attempt});
    queue.workspaceByAttempt.erase(request.attempt);
}

QueuedRequest startIsolated(FairQueue &queue)
{
    QueuedRequest request = std::move(queue.isolatedQueue.front());
    queue.isolatedQueue.pop_front();
    WorkspaceQueue &workspace = queue.workspaces[request.workspace];
    request.startTag = std::max(queue.virtualTime, workspace.finishTag);
    startRequest(queue, workspace, request);
    queue.isolatedRunning = true;
    queue.dispatchesSinceIsolated = 0;
    return request;
}

std::optional<QueuedRequest> startNext(FairQueue &queue, const FairQueueSettings &settings)
{
    for (const auto &[tag, name] : queue.backlogged) {
        WorkspaceQueue &workspace = queue.workspaces.at(name);
        if (!mayTakeSlot(queue, name, workspace, settings)) {
            continue;
        }
        const std::string owner = name; // copied, because deactivate() erases the set's element
        deactivate(queue, owner, workspace);
        QueuedRequest request = std::move(workspace.waiting.front());
        workspace.waiting.pop_front();
        startRequest(queue, workspace, request);
        if (!workspace.waiting.empty()) {
            activate(queue, owner, workspace);
        }
        return request;
    }
    return std::nullopt;
}

template<typename Queue> std::optional<QueuedRequest> extractFrom(Queue &waiting, AttemptId attempt)
{
    const auto found = std::find_if(waiting.begin(), waiting.end(), [attempt](const QueuedRequest &request) {
        return request.attempt == attempt;
    });
    if (found == waiting.end()) {
        return std::nullopt;
    }
    QueuedRequest request = std::move(*found);
    waiting.erase(found);
    return request;
}

} // namespace

std::uint64_t queueCost(std::uint64_t promptTokens, std::uint64_t outputTokens) noexcept
{
    constexpr std::uint64_t promptTokensPerOutputToken = 20; // prefill is batched, decode takes a step for each token
    return promptTokens / promptTokensPerOutputToken + outputTokens + 1;
}

std::size_t waitingCount(const FairQueue &queue) noexcept
{
    return queue.workspaceByAttempt.size();
}

bool enqueue(FairQueue &queue, QueuedRequest request, const FairQueueSettings &settings)
{
    if (waitingCount(queue) >= settings.maxWaiting || !queue.workspaceByAttempt.emplace(request.attempt, request.workspace).second) {
        return false;
    }
    queue.deadlines.emplace(request.deadline, request.attempt);
    const std::string name = request.workspace;
    WorkspaceQueue &workspace = queue.workspaces[name];
    if (request.isolated) {
        queue.isolatedQueue.push_back(std::move(request));
        return true;
    }
    workspace.waiting.push_back(std::move(request));
    if (workspace.waiting.size() == 1) {
        activate(queue, name, workspace);
    }
    return true;
}

std::optional<QueuedRequest> dequeue(FairQueue &queue, const FairQueueSettings &settings)
{
    if (queue.isolatedRunning) {
        return std::nullopt;
    }
    const bool isolatedTurn = !queue.isolatedQueue.empty()
        && (queue.backlogged.empty() || queue.dispatchesSinceIsolated >= settings.maxDispatchesBeforeIsolated);
    if (isolatedTurn) {
        // Let the target drain: no other request starts until the isolated one has run.
        return queue.running == 0 ? std::optional(startIsolated(queue)) : std::nullopt;
    }
    if (queue.running >= settings.slots) {
        return std::nullopt;
    }
    std::optional<QueuedRequest> next = startNext(queue, settings);
    if (next && !queue.isolatedQueue.empty()) {
        ++queue.dispatchesSinceIsolated;
    }
    return next;
}

void finish(FairQueue &queue, const QueuedRequest &request, std::uint64_t actualCostTokens)
{
    queue.running -= std::min(queue.running, 1U);
    if (request.isolated) {
        queue.isolatedRunning = false;
    }
    const auto found = queue.workspaces.find(request.workspace);
    if (found == queue.workspaces.end()) {
        return;
    }
    WorkspaceQueue &workspace = found->second;
    workspace.running -= std::min(workspace.running, 1U);
    const bool waits = !workspace.waiting.empty();
    if (waits) {
        deactivate(queue, request.workspace, workspace);
    }
    workspace.finishTag += weightedCost(request, actualCostTokens) - weightedCost(request, request.costTokens);
    if (waits) {
        activate(queue, request.workspace, workspace);
    }
    dropIfIdle(queue, request.workspace);
}

std::optional<QueuedRequest> cancelWaiting(FairQueue &queue, AttemptId attempt)
{
    const auto owner = queue.workspaceByAttempt.find(attempt);
    if (owner == queue.workspaceByAttempt.end()) {
        return std::nullopt;
    }
    const std::string name = owner->second;
    queue.workspaceByAttempt.erase(owner);
    std::optional<QueuedRequest> request = extractFrom(queue.isolatedQueue, attempt);
    if (!request) {
        WorkspaceQueue &workspace = queue.workspaces.at(name);
        deactivate(queue, name, workspace);
        request = extractFrom(workspace.waiting, attempt);
        if (!workspace.waiting.empty()) {
            activate(queue, name, workspace);
        }
    }
    if (request) {
        queue.deadlines.erase({request->deadline, attempt});
    }
    dropIfIdle(queue, name);
    return request;
}

std::vector<QueuedRequest> takeExpired(FairQueue &queue, TimePoint now)
{
    std::vector<QueuedRequest> expired;
    while (!queue.deadlines.empty() && queue.deadlines.begin()->first <= now) {
        const AttemptId attempt = queue.deadlines.begin()->second;
        queue.deadlines.erase(queue.deadlines.begin());
        if (auto request = cancelWaiting(queue, attempt)) {
            expired.push_back(std::move(*request));
        }
    }
    return expired;
}

int enginePriority(const FairQueue &queue, const QueuedRequest &request, const FairQueueSettings &settings) noexcept
{
    const auto found = queue.workspaces.find(request.workspace);
    if (found == queue.workspaces.end() || found->second.running == 0) {
        return 0;
    }
    return static_cast<int>(std::min(found->second.running - 1, settings.slots));
}

} // namespace snipehill
