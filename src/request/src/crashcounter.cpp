#include <request/crashcounter.h>

#include <algorithm>

namespace snipehill
{

namespace
{

/** Returns the count of a fingerprint, created if missing and reset if expired. */
CrashCount &countFor(CrashCounter &counter, std::uint64_t fingerprint, const CrashCounterSettings &settings, TimePoint now)
{
    if (counter.counts.size() >= settings.maxFingerprints && !counter.counts.contains(fingerprint)) {
        counter.counts.erase(std::min_element(counter.counts.begin(), counter.counts.end(), [](const auto &left, const auto &right) {
            return left.second.last < right.second.last;
        }));
    }
    CrashCount &count = counter.counts[fingerprint];
    if (now - count.last > settings.retention) {
        count.losses = 0;
    }
    count.last = now;
    return count;
}

} // namespace

std::uint32_t recordLoss(CrashCounter &counter, std::uint64_t fingerprint, const CrashCounterSettings &settings, TimePoint now)
{
    return ++countFor(counter, fingerprint, settings, now).losses;
}

void mergePeerLosses(CrashCounter &counter, std::uint64_t fingerprint, std::uint32_t losses, const CrashCounterSettings &settings, TimePoint now)
{
    CrashCount &count = countFor(counter, fingerprint, settings, now);
    count.losses = std::max(count.losses, losses);
}

void clearLosses(CrashCounter &counter, std::uint64_t fingerprint)
{
    counter.counts.erase(fingerprint);
}

bool isBlocked(const CrashCounter &counter, std::uint64_t fingerprint, const CrashCounterSettings &settings, TimePoint now)
{
    const auto found = counter.counts.find(fingerprint);
    return found != counter.counts.end() && found->second.losses >= settings.maxLosses && now - found->second.last <= settings.retention;
}

} // namespace snipehill
