#include <request/crashtally.h>

#include <algorithm>

namespace snipehill
{

namespace
{

/** The count of a fingerprint, begun anew when it has been forgotten. */
CrashCount &countOf(CrashTally &tally, std::uint64_t fingerprint, const CrashTallySettings &settings, TimePoint now)
{
    if (tally.counts.size() >= settings.maxFingerprints && !tally.counts.contains(fingerprint)) {
        tally.counts.erase(std::min_element(tally.counts.begin(), tally.counts.end(), [](const auto &left, const auto &right) {
            return left.second.last < right.second.last;
        }));
    }
    CrashCount &count = tally.counts[fingerprint];
    if (now - count.last > settings.memory) {
        count.losses = 0;
    }
    count.last = now;
    return count;
}

} // namespace

std::uint32_t noteLoss(CrashTally &tally, std::uint64_t fingerprint, const CrashTallySettings &settings, TimePoint now)
{
    return ++countOf(tally, fingerprint, settings, now).losses;
}

void notePeerLosses(CrashTally &tally, std::uint64_t fingerprint, std::uint32_t losses, const CrashTallySettings &settings, TimePoint now)
{
    CrashCount &count = countOf(tally, fingerprint, settings, now);
    count.losses = std::max(count.losses, losses);
}

void noteHarmless(CrashTally &tally, std::uint64_t fingerprint)
{
    tally.counts.erase(fingerprint);
}

bool isBlocked(const CrashTally &tally, std::uint64_t fingerprint, const CrashTallySettings &settings, TimePoint now)
{
    const auto found = tally.counts.find(fingerprint);
    return found != tally.counts.end() && found->second.losses >= settings.maxLosses && now - found->second.last <= settings.memory;
}

} // namespace snipehill
