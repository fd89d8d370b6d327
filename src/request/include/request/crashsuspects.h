#pragma once

#include <core/time.h>

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace snipehill
{

/** What is held against a request fingerprint; later values override earlier ones of one generation. */
enum class CrashStatus : std::uint32_t {
    Suspect = 0, //!< was in flight when a target died
    Cleared = 1, //!< ran alone to its end
    Blocked = 2, //!< the target died while it ran alone
};

/**
 * Rank of the knowledge of a fingerprint: a generation and a verdict in one number. Higher ranks override
 * lower ones, so news can arrive in any order and more than once.
 */
using SuspectRank = std::uint32_t;

/** Knowledge of one fingerprint. */
struct SuspectRecord
{
    SuspectRank rank = 0;
    TimePoint since{}; //!< when the rank was reached
};

/** News of one fingerprint, as it travels with load news between processes. */
struct SuspectUpdate
{
    std::uint64_t fingerprint = 0;
    SuspectRank rank = 0;
    milliseconds age{}; //!< since the rank was reached
};

/** Settings of the judgement. */
struct CrashSettings
{
    seconds suspectTime{600}; //!< a suspicion or clearance is forgotten after this
    seconds blockTime{600}; //!< a blocked fingerprint is refused for this long
    seconds probationTime{3600}; //!< after a block has ended, the fingerprint runs only alone for this long
    seconds updateMargin{30}; //!< knowledge this close to its end is no longer passed on
    std::size_t maxRecords = 4096; //!< the oldest are dropped beyond this
};

/** Fingerprints under suspicion as one process knows them. Not thread safe; the owner locks. */
struct CrashSuspects
{
    std::unordered_map<std::uint64_t, SuspectRecord> records;
};

/** How a request may run. */
enum class RunPermission {
    Clear, //!< like any other
    Isolated, //!< with nothing else on the target
    Blocked, //!< not at all: refuse with Outcome::Rejected
};

/** Judges a request before it is sent to a target. */
RunPermission runPermissionFor(const CrashSuspects &suspects, std::uint64_t fingerprint, const CrashSettings &settings, TimePoint now);

/**
 * Notes that a target died with these requests in flight.
 * @param alone the only request ran alone, so it is the cause
 */
void recordCrash(CrashSuspects &suspects, std::span<const std::uint64_t> inFlight, bool isolated, const CrashSettings &settings, TimePoint now);

/** Notes that a suspect ran alone to its end. */
void recordIsolatedSuccess(CrashSuspects &suspects, std::uint64_t fingerprint, TimePoint now);

/** Takes news from another process. Commutative and idempotent. */
void mergeSuspectUpdates(CrashSuspects &suspects, std::span<const SuspectUpdate> updates, const CrashSettings &settings, TimePoint now);

/** News to pass on, the most recent first, at most so many. */
std::vector<SuspectUpdate> suspectUpdates(const CrashSuspects &suspects, std::size_t max, const CrashSettings &settings, TimePoint now);

/** Drops records that have no effect any more. To be called now and then. */
void removeExpired(CrashSuspects &suspects, const CrashSettings &settings, TimePoint now);

/** Verdict in a rank. */
CrashStatus crashStatusOf(SuspectRank rank) noexcept;

} // namespace snipehill
