#pragma once

#include <core/time.h>

#include <cstdint>
#include <string>

namespace snipehill
{

/** Work that an engine accepts: long prompts, token generation, or both. */
enum class EngineRole {
    Mixed,
    Prefill,
    Decode,
};

/** "mixed", "prefill" or "decode". */
const char *toString(EngineRole role) noexcept;

/** State of a sidecar and its target. The sidecar fills it in and sends it with every response and on request. */
struct LoadReport
{
    std::string instance; //!< of the reporting sidecar
    std::uint64_t incarnation = 0;
    std::string targetGroup;
    EngineRole role = EngineRole::Mixed;
    bool accepting = true; //!< false while the sidecar drains or shuts down, changes role, or its target is down
    std::uint32_t slots = 1; //!< requests that the target runs concurrently
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint64_t queuedPrefillTokens = 0; //!< prompt tokens whose prefill has not started
    std::uint64_t queuedDecodeTokens = 0; //!< estimated output tokens still to be generated
    double prefillTokensPerSecond = 0; //!< average over recent requests, 0 if unknown
    double decodeTokensPerSecond = 0; //!< sum over all requests of the target, 0 if unknown
    std::uint64_t admittedPrefillTokens = 0; //!< total since the sidecar started; its growth gives the demand
    std::uint64_t admittedDecodeTokens = 0; //!< estimated total since the sidecar started
    std::uint64_t cacheEpoch = 0; //!< incremented when cache events were lost; what was known of the cache before is invalid
};

} // namespace snipehill
