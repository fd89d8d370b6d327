#pragma once

#include <core/ids.h>
#include <core/time.h>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace snipehill
{

/** Last known contact with one other member. */
struct MemberContact
{
    std::string instance;
    std::optional<TimePoint> heardAt; //!< send time of the last request that it answered; empty if none was answered
    Offset offset = noOffset; //!< config offset that it has applied
};

/** Inputs of evaluateFreshness. Times are those of the process's own steady clock. */
struct FreshnessInputs
{
    bool complete = false; //!< the own configuration includes every record of the stream up to offset
    std::optional<TimePoint> contactAt; //!< latest time at which the own configuration was known to be the newest in the log, from an own read or a peer's
    std::optional<TimePoint> partialReadAt; //!< time of the last read if it returned records, so that more may follow; empty if it reached the end of the log
    Offset offset = noOffset; //!< config offset that this process has applied
    Offset highestKnownOffset = noOffset; //!< highest config offset reported by the log or a peer
    std::vector<MemberContact> members; //!< all other members of the last known member list
};

/** Whether the configuration of a process is known to be recent. */
enum class Freshness {
    Fresh, //!< known to be the newest within the freshness time
    Outage, //!< the log is unreachable but a majority of the members answers: keep serving
    Stale, //!< requests to keyed routes must be refused without running them
};

/** "fresh", "outage" or "stale". */
const char *toString(Freshness freshness) noexcept;

/** Whether a process in this state may serve keyed routes (routes that require an API key). */
constexpr bool mayServeKeyed(Freshness freshness) noexcept
{
    return freshness != Freshness::Stale;
}

/**
 * Decides whether keyed routes may be served.
 *
 * A process whose configuration is incomplete, or that knows of a higher offset than its own, is stale in any case. One
 * that has recently read records from the log without reaching its end is not in an outage and therefore stale too. In
 * an outage no record can be appended, so no key can be withdrawn and serving may go on. The majority is counted over
 * the last known members and this process.
 */
Freshness evaluateFreshness(const FreshnessInputs &inputs, Duration freshness, TimePoint now) noexcept;

} // namespace snipehill
