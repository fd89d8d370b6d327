#include "streamrun.h"

#include <request/promptplacement.h>

#include <algorithm>

namespace snipehill
{

namespace
{

constexpr std::uint32_t maxPlacements = 4; // placements of one request, regardless of remaining time and budget
constexpr std::uint32_t maxDownEngines = 32; // engines that refused the connection, which takes a few ms, and don't count as placements

} // namespace

TargetRequestHeaders headersFor(const DirectRequest &request, const TargetRef &target, const StreamProgress &progress)
{
    TargetRequestHeaders headers;
    headers.targetId = target.id;
    headers.workspace = request.workspace;
    headers.remaining = remainingTime(request);
    headers.urgency = urgencyOf(request.priority, request.caller.promptTokens);
    if (request.route->resumable) {
        headers.lastEventId = progress.events.lastId().empty() ? request.caller.lastEventId : progress.events.lastId();
    }
    return headers;
}

RetryDenial decidePlacement(DirectRequest &request, const StreamProgress &progress, std::uint32_t pendingSends)
{
    const bool mayHaveRun = request.mayHaveRun || pendingSends > 0;
    if (!hasTimeForRetry(request)) {
        return RetryDenial::DeadlinePassed;
    }
    if (request.exchange.isDisconnected()) {
        return RetryDenial::CallerLeft;
    }
    if (progress.placements >= maxPlacements + std::min(progress.downEngines, maxDownEngines)) {
        return RetryDenial::PlacementsUsed;
    }
    const bool repeated = request.sendCount + pendingSends + progress.countedPrefills > 0;
    if (mayCrashTargets(request, repeated)) {
        return RetryDenial::CrashSuspect;
    }
    if (mayHaveRun && !mayRepeat(*request.route)) {
        return RetryDenial::MustNotRepeat;
    }
    if (mayHaveRun && request.sendCount + pendingSends >= request.route->maxAttempts) {
        return RetryDenial::AttemptsUsed;
    }
    return !repeated || request.context.budgets.tryConsume(request.group->name) ? RetryDenial::None : RetryDenial::NoBudget;
}

} // namespace snipehill
