#pragma once

#include <process/targetregistry.h>
#include <request/directrequest.h>

#include <string_view>

namespace snipehill
{

/** What a request to a target is for, in logs and metrics. */
enum class SendPurpose {
    Run, //!< the caller's request, for the first time
    Retry, //!< the same after another target received it
    Takeover, //!< the same while another target that received it is silent
    Prefill, //!< prefill for another engine
    Decode, //!< the caller's request, after a prefill on another engine
    RoleOrder,
    KvRelease, //!< frees the KV cache of a prefill that is not used
    KvList, //!< lists the parts of prompts in the prefix cache
};

/** "run", "retry" and so on. */
const char *toString(SendPurpose purpose) noexcept;

/**
 * Records what a target states about itself in the head of a response, whoever the response is for. Logs and counts what is new.
 *
 * @param status of the response
 * @param purpose of the request that was sent last
 */
void recordStatement(TargetRegistry &targets,
                     const TargetRef &target,
                     const TargetStatement &statement,
                     unsigned status,
                     SendPurpose purpose,
                     std::string_view requestId);

/**
 * Whether a request may be sent to the target now; false if it has said that it leaves or wants a pause. Counts and logs what is stopped.
 * Call right before sending: connecting, a prefill on another engine or a wait may have taken seconds since the target was chosen.
 */
bool maySendTo(const TargetRegistry &targets, const TargetRef &target, SendPurpose purpose, std::string_view requestId);

} // namespace snipehill
