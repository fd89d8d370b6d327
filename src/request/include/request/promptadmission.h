#pragma once

#include <core/time.h>
#include <version/routingversion.h>

#include <cstdint>

namespace snipehill
{

struct PrefillRates;

/** Settings of prompt admission. */
struct PromptAdmissionSettings
{
    Duration minAbandonTimeout = std::chrono::seconds(2); //!< minimum abandon timeout: callers drop a stream that stays silent for longer; set by the platform
    int abandonTimeoutGoals = 4; //!< abandon timeout in multiples of the route's first-event goal, if that is longer
    int abandonTimeoutGaps = 8; //!< abandon timeout in multiples of the route's goal for the gap between events, if that is longer
    double usableTimeoutShare = 0.8; //!< share of the abandon timeout that a predicted first event may use; the rest allows for prediction error
    double onTimeGoalShare = 0.7; //!< share of the goal within which a predicted first event counts as on time
    double longWaitGoals = 0.15; //!< maximum wait of a long prompt for earlier prompts, in multiples of the route's goal
    double largeWaitGoals = 1; //!< the same for a prompt too large to meet the goal, which would otherwise be refused more often than others
    double shortWaitTimeoutShare = 0.12; //!< maximum wait of a short prompt, as share of the abandon timeout
    milliseconds minRetryAfter{200};
};

/** Time after which callers of the route abandon a stream without events. */
Duration abandonTimeoutOf(const RouteRule &route, const PromptAdmissionSettings &settings) noexcept;

/** Limits on the predictions for a prompt; a prompt outside them is refused. */
struct PromptBounds
{
    Duration onTime = Duration::max(); //!< if the first event is predicted within this time, maxWait doesn't apply
    Duration latestFirstToken = Duration::max(); //!< latest predicted time to the first event
    Duration maxWait = Duration::max(); //!< longest predicted wait for earlier prompts
};

/** Whether a prompt with these predictions is within the bounds. */
bool isWithin(const PromptBounds &bounds, Duration firstToken, Duration wait) noexcept;

/**
 * Bounds for one prompt; a prompt that exceeds them is refused at once.
 *
 * Handles overload by long prompts: admitted prompts are answered in time, and the others are refused at once with a retry delay.
 * The bound applies to the wait and not to the prompt's own prefill time, so prompts of all sizes are refused at the same
 * rate. Short prompts may wait longer, because refusing them would free hardly any capacity.
 *
 * @param remaining time left until the caller's deadline
 */
PromptBounds boundsFor(const RouteRule &route, std::uint64_t promptTokens, Duration remaining, const PromptAdmissionSettings &settings) noexcept;

/** The same with the rates of the group's engines, which tell whether a prompt is too large to meet the goal; without, the initial rates. */
PromptBounds
boundsFor(const RouteRule &route, std::uint64_t promptTokens, Duration remaining, const PromptAdmissionSettings &settings, const PrefillRates &rates) noexcept;

/** Retry delay for a refused prompt: the time until the work ahead of it has shrunk enough to meet the bounds. */
milliseconds retryAfterFor(Duration firstToken, Duration wait, const PromptBounds &bounds, const PromptAdmissionSettings &settings) noexcept;

} // namespace snipehill
