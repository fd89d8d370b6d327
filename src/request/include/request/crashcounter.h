#pragma once

#include <core/time.h>

#include <cstdint>
#include <unordered_map>

namespace snipehill
{

/** Losses of one request fingerprint since a request of it last ended well. */
struct CrashCount
{
    std::uint32_t losses = 0;
    TimePoint last{};
};

/** Settings of the tally. */
struct CrashCounterSettings
{
    std::uint32_t maxLosses = 3; //!< targets that a fingerprint may take down before it is refused; a bound of the platform
    seconds retention{120}; //!< longer than a caller goes on with one request
    std::size_t maxFingerprints = 4096; //!< beyond this the oldest is dropped
};

/**
 * Counts targets that went down with a request of a fingerprint in flight. For entries that talk to targets directly and so
 * can't run a suspect alone, see CrashSuspects for those that can. Not thread-safe; the owner locks.
 */
struct CrashCounter
{
    std::unordered_map<std::uint64_t, CrashCount> counts;
};

/** Notes that a target's connection broke before it answered a request of the fingerprint. Returns the losses so far. */
std::uint32_t recordLoss(CrashCounter &counter, std::uint64_t fingerprint, const CrashCounterSettings &settings, TimePoint now);

/** Takes the losses that another entry has counted; the higher count holds. */
void mergePeerLosses(CrashCounter &counter, std::uint64_t fingerprint, std::uint32_t losses, const CrashCounterSettings &settings, TimePoint now);

/** Notes an answer: the fingerprint is harmless. */
void clearLosses(CrashCounter &counter, std::uint64_t fingerprint);

/** The fingerprint has taken down as many targets as it may. */
bool isBlocked(const CrashCounter &counter, std::uint64_t fingerprint, const CrashCounterSettings &settings, TimePoint now);

} // namespace snipehill
