#include <request/promptadmission.h>

#include <request/promptplacement.h>

#include <algorithm>

namespace snipehill
{

Duration patienceOf(const RouteRule &route, const PromptAdmissionSettings &settings) noexcept
{
    return std::max({settings.minPatience, Duration(route.goal * settings.patienceGoals), Duration(route.gapGoal * settings.patienceGaps)});
}

PromptBounds boundsFor(const RouteRule &route, std::uint64_t promptTokens, Duration remaining, const PromptAdmissionSettings &settings) noexcept
{
    const Duration patience = std::min(patienceOf(route, settings), remaining);
    const bool isShort = promptTokens <= shortPromptTokens;
    PromptBounds bounds;
    bounds.latest = std::chrono::duration_cast<Duration>(patience * settings.usable);
    bounds.longestWait
        = std::chrono::duration_cast<Duration>(isShort ? Duration(patience) * settings.shortWaitPatience : Duration(route.goal) * settings.longWaitGoals);
    return bounds;
}

milliseconds retryAfterFor(Duration firstToken, Duration wait, const PromptBounds &bounds, const PromptAdmissionSettings &settings) noexcept
{
    const Duration excess = std::max(firstToken - bounds.latest, wait - bounds.longestWait);
    return std::max(settings.minRetryAfter, std::chrono::duration_cast<milliseconds>(excess));
}

} // namespace snipehill
