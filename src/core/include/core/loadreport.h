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

/** State of a sidecar and its target, sent with every answer and on request. Filled by the sidecar. */
struct LoadReport
{
    std::string instance; //!< the sidecar that reports
    std::uint64_t incarnation = 0;
    std::string targetGroup;
    EngineRole role = EngineRole::Mixed;
    bool accepting = true; //!< false while leaving, draining or changing role, or while the target is down
    std::uint32_t slots = 1; //!< requests that the target runs side by side
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint64_t queuedPrefillTokens = 0; //!< prompt tokens not yet started
    std::uint64_t queuedDecodeTokens = 0; //!< output tokens still to generate, estimated
    double prefillTokensPerSecond = 0; //!< measured over recent requests, 0 where unknown
    double decodeTokensPerSecond = 0; //!< of the whole target
    std::uint64_t admittedPrefillTokens = 0; //!< taken since the sidecar started, for demand
    std::uint64_t admittedDecodeTokens = 0; //!< estimated, likewise
    std::uint64_t cacheEpoch = 0; //!< rises when cache events had a gap; older knowledge is void
};

} // namespace snipehill
