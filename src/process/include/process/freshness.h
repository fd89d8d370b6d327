#pragma once

#include <core/ids.h>
#include <core/time.h>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace snipehill
{

/** What one member said about its contact with the config stream. */
struct MemberContact
{
    std::string instance;
    std::optional<TimePoint> heardAt; //!< when the question was sent that it answered last, empty if none was answered
    Offset offset = noOffset; //!< config offset that it holds
};

/** What a process knows when it decides whether its configuration is provably fresh. */
struct FreshnessInputs
{
    bool complete = false; //!< own config is the fold of a whole prefix of the stream
    std::optional<TimePoint> contactAt; //!< latest moment at which own config was known to be the log's newest, by own read or a peer's
    std::optional<TimePoint> partialReadAt; //!< when the log last answered with records behind which there may be more
    Offset offset = noOffset; //!< own config offset
    Offset highestKnownOffset = noOffset; //!< highest config offset that any peer told of
    std::vector<MemberContact> members; //!< all other members last known
};

/** Answer of judgeFreshness. */
enum class Freshness {
    Fresh, //!< contact with the log within the freshness time
    Outage, //!< nobody reachable has contact, a majority is reached: nothing can be withdrawn, go on
    Stale, //!< keyed routes must be refused as not run
};

/** "fresh", "outage" or "stale". */
const char *toString(Freshness freshness) noexcept;

/** True if a process with this answer may serve keyed routes. */
constexpr bool mayServeKeyed(Freshness freshness) noexcept
{
    return freshness != Freshness::Stale;
}

/**
 * Decides whether keyed routes may be served. A process that still reads the log up to its end is in no outage. A process that knows of a higher offset than its own, or
 * that has no whole configuration, is stale whatever else holds. A majority is counted over all members last known and this process.
 */
Freshness evaluateFreshness(const FreshnessInputs &view, Duration freshness, TimePoint now) noexcept;

} // namespace snipehill
