#pragma once

#include <core/time.h>

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace snipehill
{

/** What one run of a target has stated about itself in its responses. Plain data; its owner locks. */
struct TargetNotice
{
    std::optional<TimePoint> leavingSince; //!< when the run was first known to be leaving
    bool heardHere = false; //!< this instance has read that statement itself
    TimePoint pausedUntil{}; //!< until then the run wants no requests from this instance
};

/** Notices by run, see TargetRef::run. For runs without a registration record, whose target may be registered again. */
using TargetNotices = std::unordered_map<std::uint64_t, TargetNotice>;

/** Why a target must not be sent a request. */
enum class SendBarReason {
    Leaving, //!< it leaves, or is gone
    Paused, //!< it wants none from this instance for a time
};

/** "leaving" or "paused", for logs and metrics. */
const char *toString(SendBarReason reason) noexcept;

/** Forbids requests to a target. */
struct SendBar
{
    SendBarReason reason = SendBarReason::Leaving;
    TimePoint until = TimePoint::max(); //!< end of the pause
};

/**
 * Whether the run has stated that it is leaving. It stays so for as long as the run lives.
 *
 * @param startKnown false if the target's records don't tell its runs apart. The statement is then forgotten after a time
 *        in which a leaving target ends, because no record would show that a new run has taken its place.
 */
bool isLeaving(const TargetNotice &notice, bool startKnown, TimePoint now) noexcept;

/** Records that the run is leaving; false if that was known from the same kind of source. */
bool recordLeaving(TargetNotice &notice, bool heardHere, TimePoint since) noexcept;

/** Records that the run wants no requests for a time; a pause that ends earlier changes nothing. False in that case. */
bool recordPause(TargetNotice &notice, TimePoint until) noexcept;

/** Merges what two sources know of one run. */
void mergeNotice(TargetNotice &notice, const TargetNotice &other) noexcept;

/** Whether the notice still changes anything. */
bool isCurrent(const TargetNotice &notice, TimePoint now) noexcept;

/** Whether the statement of this run is to be sent to the other entries: it was heard here not long ago. */
bool isAnnounced(const TargetNotice &notice, TimePoint now) noexcept;

} // namespace snipehill
