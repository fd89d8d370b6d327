#pragma once

#include <core/reason.h>
#include <core/time.h>

#include <optional>

namespace snipehill
{

/** What a refusal says about the request; the first is a promise that no target ran it. */
enum class Outcome {
    NotRun, //!< no target ran the request and none will; repeating is safe
    OutcomeUnknown, //!< a target may have run it
    Rejected, //!< the request itself is not acceptable, repeating does not help
};

/** "not_run", "outcome_unknown" or "rejected". */
const char *toString(Outcome outcome) noexcept;

/** A final answer that is not the target's: sent to callers as application/problem+json. */
struct Refusal
{
    Outcome outcome = Outcome::NotRun;
    unsigned status = 503; //!< HTTP status
    Reason reason;
    std::optional<seconds> retryAfter; //!< set where repeating helps
};

} // namespace snipehill
