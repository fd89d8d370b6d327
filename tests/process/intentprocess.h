#pragma once

#include <core/time.h>
#include <process/intentwriterstate.h>

#include <cstdint>
#include <map>
#include <optional>

namespace snipehill::test
{

/** A simulated sidecar. */
struct IntentProcess
{
    std::uint64_t incarnation = 1;
    IntentWriterState intents;
    Duration pausedUntil{};
    bool busy = false; //!< a call to the log is in flight
    std::uint64_t call = 0; //!< sequence number of the call, to recognize late responses
    std::optional<IntentBatch> batch; //!< content of the append in flight
    bool lost = false; //!< the last append was not answered
    bool readNeeded = false;
    std::map<std::uint64_t, IntentKey> acknowledged; //!< claims in answered appends, for the mutation AcknowledgedCountsAsOwned
};

/** Arrival of a request at a target. */
struct TargetArrival
{
    IntentKey key;
    std::uint64_t claim = 0;
    Duration at{};
};

} // namespace snipehill::test
