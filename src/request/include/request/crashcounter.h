#pragma once

#include <core/time.h>

#include <cstdint>
#include <unordered_map>

namespace snipehill
{

/** Targets lost to one request fingerprint since the last response to such a request. */
struct CrashCount
{
    std::uint32_t losses = 0;
    TimePoint last{};
};

/** Settings of CrashCounter. */
struct CrashCounterSettings
{
    std::uint32_t maxLosses = 3; //!< number of lost targets at which a fingerprint is refused; this limit is set by the platform
    seconds retention{120}; //!< a count expires after this time, which exceeds the time that callers keep retrying one request
    std::size_t maxFingerprints = 4096; //!< capacity; the least recently updated count is evicted first
};

/**
 * Counts the targets lost while a request with a fingerprint was in flight. Used by entries that call targets directly and
 * therefore can't isolate a suspect; see CrashSuspects for entries that can. Not thread-safe; the owner locks.
 */
struct CrashCounter
{
    std::unordered_map<std::uint64_t, CrashCount> counts;
};

/** Records that the connection to a target broke before it answered a request with the fingerprint. Returns the new count. */
std::uint32_t recordLoss(CrashCounter &counter, std::uint64_t fingerprint, const CrashCounterSettings &settings, TimePoint now);

/** Merges the count of another entry; the higher count wins. */
void mergePeerLosses(CrashCounter &counter, std::uint64_t fingerprint, std::uint32_t losses, const CrashCounterSettings &settings, TimePoint now);

/** Resets the count after a response to a request with the fingerprint. */
void clearLosses(CrashCounter &counter, std::uint64_t fingerprint);

/** Whether the fingerprint has reached maxLosses within the retention time. */
bool isBlocked(const CrashCounter &counter, std::uint64_t fingerprint, const CrashCounterSettings &settings, TimePoint now);

} // namespace snipehill
