#include <request/promptadmission.h>

#include <request/promptplacement.h>

#include <algorithm>

namespace snipehill
{

Duration patienceOf(const RouteRule &route, const PromptAdmissionSettings &settings) noexcept
{
    return std::max({settings.minPatience, Duration(route.goal * settings.patienceGoals), Duration(route.gapGoal * settings.patienceGaps)});
}

bool isWithin(const PromptBounds &bounds, Duration firstToken, Duration wait) noexcept
{
    return firstToken <= bounds.latest && (firstToken <= bounds.inTime || wait <= bounds.longestWait);
}

PromptBounds boundsFor(const RouteRule &route, std::uint64_t promptTokens, Duration remaining, const PromptAdmissionSettings &settings) noexcept
{
    const Duration patience = std::min(patienceOf(route, settings), remaining);
    const bool isLarge = readingTime({}, EngineRole::Prefill, promptTokens, 0) > route.goal;
    const Duration shortWait = std::chrono::duration_cast<Duration>(patience * settings.shortWaitPatience);
    const Duration longWait = std::chrono::duration_cast<Duration>(Duration(route.goal) * (isLarge ? settings.largeWaitGoals : settings.longWaitGoals));
    PromptBounds bounds;
    bounds.inTime = std::chrono::duration_cast<Duration>(Duration(route.goal) * settings.inTime);
    bounds.latest = std::chrono::duration_cast<Duration>(patience * settings.usable);
    bounds.longestWait = promptTokens <= shortPromptTokens ? shortWait : longWait;
    return bounds;
}

milliseconds retryAfterFor(Duration firstToken, Duration wait, const PromptBounds &bounds, const PromptAdmissionSettings &settings) noexcept
{
    const Duration excess = std::max(firstToken - bounds.latest, wait - bounds.longestWait);
    return std::max(settings.minRetryAfter, std::chrono::duration_cast<milliseconds>(excess));
}

} // namespace snipehill
