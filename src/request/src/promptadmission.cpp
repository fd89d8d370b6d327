#include <request/promptadmission.h>

#include <algorithm>

namespace snipehill
{

Duration patienceOf(const RouteRule &route, const PromptAdmissionSettings &settings) noexcept
{
    return std::max({settings.minPatience, Duration(route.goal * settings.patienceGoals), Duration(route.gapGoal * settings.patienceGaps)});
}

Duration latestFirstEvent(const RouteRule &route, Duration remaining, const PromptAdmissionSettings &settings) noexcept
{
    return std::chrono::duration_cast<Duration>(std::min(patienceOf(route, settings), remaining) * settings.usable);
}

milliseconds retryAfterFor(Duration firstToken, Duration latest, const PromptAdmissionSettings &settings) noexcept
{
    return std::max(settings.minRetryAfter, std::chrono::duration_cast<milliseconds>(firstToken - latest));
}

} // namespace snipehill
