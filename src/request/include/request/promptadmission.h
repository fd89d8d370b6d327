#pragma once

#include <core/time.h>
#include <version/routingversion.h>

namespace snipehill
{

/** Settings of the admission of prompts. */
struct PromptAdmissionSettings
{
    Duration minPatience = std::chrono::seconds(2); //!< callers leave a stream that is silent for longer; a rule of the platform
    int patienceGoals = 4; //!< or for so many goals of the route
    int patienceGaps = 8; //!< or so many of its longest wanted pauses
    double usable = 0.8; //!< part of the patience that a prediction may fill; the rest is its error
    milliseconds minRetryAfter{200};
};

/** How long callers of the route wait for the first event. */
Duration patienceOf(const RouteRule &route, const PromptAdmissionSettings &settings) noexcept;

/**
 * Latest predicted first event with which a prompt is placed. One that is predicted later is refused at once: its
 * caller would have left before it came.
 *
 * @param remaining time that the caller still has
 */
Duration latestFirstEvent(const RouteRule &route, Duration remaining, const PromptAdmissionSettings &settings) noexcept;

/** When the caller of a refused prompt should come back: when the work that is ahead of it now has shrunk enough. */
milliseconds retryAfterFor(Duration firstToken, Duration latest, const PromptAdmissionSettings &settings) noexcept;

} // namespace snipehill
