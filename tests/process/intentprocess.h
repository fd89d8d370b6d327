#pragma once

#include <core/time.h>
#include <process/intentwriterstate.h>

#include <cstdint>
#include <map>
#include <optional>

namespace snipehill::test
{

/** One simulated sidecar. */
struct IntentProcess
{
    std::uint64_t incarnation = 1;
    IntentWriterState intents;
    Duration pausedUntil{};
    bool busy = false; //!< a call to the log is under way
    std::uint64_t call = 0; //!< number of the call, to tell late answers
    std::optional<IntentBatch> batch; //!< of an append under way
    bool lost = false; //!< the last append had no answer
    bool readNeeded = false;
    std::map<std::uint64_t, IntentKey> acknowledged; //!< claims in answered appends, for a mutation
};

/** One request that reached a target. */
struct TargetArrival
{
    IntentKey key;
    std::uint64_t claim = 0;
    Duration at{};
};

} // namespace snipehill::test
