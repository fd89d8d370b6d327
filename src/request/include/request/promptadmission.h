#pragma once

#include <core/time.h>
#include <version/routingversion.h>

#include <cstdint>

namespace snipehill
{

/** Settings of the admission of prompts. */
struct PromptAdmissionSettings
{
    Duration minAbandonTimeout = std::chrono::seconds(2); //!< callers leave a stream that is silent for longer; a rule of the platform
    int abandonTimeoutGoals = 4; //!< or for so many goals of the route
    int abandonTimeoutGaps = 8; //!< or so many of its longest wanted pauses
    double usableTimeoutShare = 0.8; //!< part of the patience that a prediction may fill; the rest is its error
    double onTimeGoalShare = 0.7; //!< part of the goal that a prediction may fill to count as in time
    double longWaitGoals = 0.15; //!< goals of the route that a long prompt may wait for those ahead of it
    double largeWaitGoals = 1; //!< likewise for one so large that it can't be in time anyway: it would be refused more often than others
    double shortWaitTimeoutShare = 0.12; //!< part of the patience that a short prompt may wait
    milliseconds minRetryAfter{200};
};

/** How long callers of the route wait for the first event. */
Duration abandonTimeoutOf(const RouteRule &route, const PromptAdmissionSettings &settings) noexcept;

/** Predictions with which a prompt is placed. */
struct PromptBounds
{
    Duration onTime = Duration::max(); //!< first event up to which the wait doesn't matter
    Duration latestFirstToken = Duration::max(); //!< first event
    Duration maxWait = Duration::max(); //!< for the prompts ahead of it
};

/** Whether a prompt with these predictions is placed. */
bool isWithin(const PromptBounds &bounds, Duration firstToken, Duration wait) noexcept;

/**
 * Bounds for one prompt; it is refused at once when they are exceeded.
 *
 * Answers more long prompts than the engines can read: those that are placed are answered in time, the others learn at once
 * that they have to come back. The bound is on the wait and not on the time that a prompt needs by itself, so prompts of all
 * sizes are refused alike. Short prompts wait longer, since refusing them would free next to nothing.
 *
 * @param remaining time that the caller still has
 */
PromptBounds boundsFor(const RouteRule &route, std::uint64_t promptTokens, Duration remaining, const PromptAdmissionSettings &settings) noexcept;

/** When the caller of a refused prompt should come back: when the work that is ahead of it now has shrunk enough. */
milliseconds retryAfterFor(Duration firstToken, Duration wait, const PromptBounds &bounds, const PromptAdmissionSettings &settings) noexcept;

} // namespace snipehill
