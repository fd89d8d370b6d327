#include <request/promptadmission.h>

#include <request/promptplacement.h>

#include <algorithm>

namespace snipehill
{

Duration abandonTimeoutOf(const RouteRule &route, const PromptAdmissionSettings &settings) noexcept
{
    return std::max(
        {settings.minAbandonTimeout, Duration(route.latencyGoal * settings.abandonTimeoutGoals), Duration(route.eventGapGoal * settings.abandonTimeoutGaps)});
}

bool isWithin(const PromptBounds &bounds, Duration firstToken, Duration wait) noexcept
{
    return firstToken <= bounds.latestFirstToken && (firstToken <= bounds.onTime || wait <= bounds.maxWait);
}

PromptBounds boundsFor(const RouteRule &route, std::uint64_t promptTokens, Duration remaining, const PromptAdmissionSettings &settings) noexcept
{
    return boundsFor(route, promptTokens, remaining, settings, PrefillRates{});
}

PromptBounds
boundsFor(const RouteRule &route, std::uint64_t promptTokens, Duration remaining, const PromptAdmissionSettings &settings, const PrefillRates &rates) noexcept
{
    const Duration abandonTimeout = std::min(abandonTimeoutOf(route, settings), remaining);
    const bool isLarge = estimatePrefillTime(rates, EngineRole::Prefill, promptTokens, 0) > route.latencyGoal;
    const Duration shortWait = std::chrono::duration_cast<Duration>(abandonTimeout * settings.shortWaitTimeoutShare);
    const Duration longWait = std::chrono::duration_cast<Duration>(Duration(route.latencyGoal) * (isLarge ? settings.largeWaitGoals : settings.longWaitGoals));
    PromptBounds bounds;
    bounds.onTime = std::chrono::duration_cast<Duration>(Duration(route.latencyGoal) * settings.onTimeGoalShare);
    bounds.latestFirstToken = std::chrono::duration_cast<Duration>(abandonTimeout * settings.usableTimeoutShare);
    bounds.maxWait = promptTokens <= shortPromptTokens ? shortWait : longWait;
    return bounds;
}

milliseconds retryAfterFor(Duration firstToken, Duration wait, const PromptBounds &bounds, const PromptAdmissionSettings &settings) noexcept
{
    const Duration excess = std::max(firstToken - bounds.latestFirstToken, wait - bounds.maxWait);
    return std::max(settings.minRetryAfter, std::chrono::duration_cast<milliseconds>(excess));
}

} // namespace snipehill
