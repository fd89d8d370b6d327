#pragma once

#include "random.h"
#include "runtypes.h"
#include "workload.h"

#include <algorithm>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace snipehill::fakes
{

/** Load report that the sidecar of a target would send now. */
inline LoadReport makeReport(const FakeTarget &target, const std::string &instance, std::span<const Arrival> arrivals, std::uint32_t slots)
{
    LoadReport report;
    report.instance = instance;
    report.accepting = !target.down;
    report.slots = slots;
    report.running = target.queue.running;
    report.queued = static_cast<std::uint32_t>(waitingCount(target.queue));
    report.queuedPrefillTokens = prefillLeft(target.engine);
    report.queuedDecodeTokens = decodeLeft(target.engine);
    for (const auto &[name, workspace] : target.queue.workspaces) {
        for (const QueuedRequest &waiting : workspace.waiting) {
            report.queuedPrefillTokens += arrivals[waiting.attempt].promptTokens;
            report.queuedDecodeTokens += arrivals[waiting.attempt].outputTokens;
        }
    }
    report.prefillTokensPerSecond = target.engine.prefillRate;
    report.decodeTokensPerSecond = fullDecodeRate(target.engine.settings);
    report.cacheEpoch = target.cacheEpoch;
    return report;
}

/** Removes a request from those that the engine runs and returns it. */
inline QueuedRequest removeFromEngine(FakeTarget &target, std::uint64_t request)
{
    const auto found = std::find_if(target.onEngine.begin(), target.onEngine.end(), [request](const QueuedRequest &queued) {
        return queued.attempt == request;
    });
    QueuedRequest queued = *found;
    target.onEngine.erase(found);
    return queued;
}

/** Removes all requests of a crashed target and returns them: running ones first, then queued ones. */
inline std::vector<std::size_t> removeAllRequests(FakeTarget &target)
{
    std::vector<std::size_t> lost;
    for (const QueuedRequest &queued : target.onEngine) {
        lost.push_back(queued.attempt);
    }
    for (const auto &[name, workspace] : target.queue.workspaces) {
        for (const QueuedRequest &waiting : workspace.waiting) {
            lost.push_back(waiting.attempt);
        }
    }
    for (const QueuedRequest &waiting : target.queue.isolatedQueue) {
        lost.push_back(waiting.attempt);
    }
    target.onEngine.clear();
    target.queue = {};
    return lost;
}

/** Index of the view that a baseline policy chooses. */
inline std::optional<std::size_t> pickByBaseline(FakeEntry &entry, Policy policy, std::span<const std::string> tried, Random &random)
{
    std::vector<std::size_t> candidates;
    for (std::size_t i = 0; i < entry.views.size(); ++i) {
        if (isEligible(entry.views[i]) && std::find(tried.begin(), tried.end(), entry.views[i].instance) == tried.end()) {
            candidates.push_back(i);
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    if (policy == Policy::Random) {
        return candidates[random.next() % candidates.size()];
    }
    const std::uint64_t start = entry.roundRobinNext++;
    std::size_t best = candidates[start % candidates.size()];
    for (std::size_t i = 0; policy == Policy::LeastOutstanding && i < candidates.size(); ++i) {
        const std::size_t index = candidates[(start + i) % candidates.size()];
        best = entry.inFlight[index] < entry.inFlight[best] ? index : best;
    }
    return best;
}

/** Index of the view that chooseTarget() chooses. */
inline std::optional<std::size_t>
pickByPrediction(const FakeEntry &entry, const PlacementRequest &request, std::span<const std::string> tried, const ChoiceSettings &settings, Random &random)
{
    Reason reason;
    const auto choice = chooseTarget(entry.views, request, tried, random.next(), settings, reason);
    if (!choice) {
        return std::nullopt;
    }
    const auto found = std::find_if(entry.views.begin(), entry.views.end(), [&](const TargetView &view) {
        return view.instance == choice->instance;
    });
    return static_cast<std::size_t>(found - entry.views.begin());
}

} // namespace snipehill::fakes
