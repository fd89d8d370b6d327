#include <process/targetnotice.h>

#include <algorithm>

namespace snipehill
{

namespace
{

constexpr seconds unknownRunMemory{60}; // longer than targets take to end after they began to leave
constexpr seconds noticeMemory{3600}; // longer than any record of an ended run can come back from an older copy
constexpr seconds announcementTime{30}; // covers lost datagrams and entries that start meanwhile

} // namespace

const char *toString(SendBarReason reason) noexcept
{
    return reason == SendBarReason::Leaving ? "leaving" : "paused";
}

bool isLeaving(const TargetNotice &notice, bool startKnown, TimePoint now) noexcept
{
    return notice.leavingSince && (startKnown || now - *notice.leavingSince < unknownRunMemory);
}

bool recordLeaving(TargetNotice &notice, bool heardHere, TimePoint since) noexcept
{
    const bool added = !notice.leavingSince || (heardHere && !notice.heardHere);
    notice.leavingSince = std::min(notice.leavingSince.value_or(since), since);
    notice.heardHere = notice.heardHere || heardHere;
    return added;
}

bool recordPause(TargetNotice &notice, TimePoint until) noexcept
{
    const bool extended = until > notice.pausedUntil;
    notice.pausedUntil = std::max(notice.pausedUntil, until);
    return extended;
}

void mergeNotice(TargetNotice &notice, const TargetNotice &other) noexcept
{
    if (other.leavingSince) {
        recordLeaving(notice, other.heardHere, *other.leavingSince);
    }
    recordPause(notice, other.pausedUntil);
}

bool isCurrent(const TargetNotice &notice, TimePoint now) noexcept
{
    return now < notice.pausedUntil || (notice.leavingSince && now - *notice.leavingSince < noticeMemory);
}

bool isAnnounced(const TargetNotice &notice, TimePoint now) noexcept
{
    return notice.heardHere && notice.leavingSince && now - *notice.leavingSince < announcementTime;
}

} // namespace snipehill
