#pragma once

#include <core/time.h>

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace snipehill
{

/** Crash status of a request fingerprint. Within one generation, later enumerators override earlier ones. */
enum class CrashStatus : std::uint32_t {
    Suspect = 0, //!< was in flight when a target crashed
    Cleared = 1, //!< completed while isolated on a target
    Blocked = 2, //!< the target crashed while the request was isolated on it
};

/**
 * Version of a fingerprint's record: generation and CrashStatus in one number. Higher ranks override lower ones, so
 * updates can arrive in any order and more than once.
 */
using SuspectRank = std::uint32_t;

/** Crash record of one fingerprint. */
struct SuspectRecord
{
    SuspectRank rank = 0;
    TimePoint since{}; //!< time at which the rank was assigned
};

/** Update about one fingerprint, exchanged between processes together with load reports. */
struct SuspectUpdate
{
    std::uint64_t fingerprint = 0;
    SuspectRank rank = 0;
    milliseconds age{}; //!< time since the rank was assigned
};

/** Settings of crash isolation. */
struct CrashSettings
{
    seconds suspectTime{600}; //!< lifetime of a Suspect or Cleared record
    seconds blockTime{600}; //!< how long a Blocked fingerprint is refused
    seconds probationTime{3600}; //!< how long the fingerprint may only run isolated after blockTime
    seconds updateMargin{30}; //!< records that expire within this time are not sent to other processes
    std::size_t maxRecords = 4096; //!< capacity; the oldest records are evicted first
};

/** Crash records known to one process, by fingerprint. Not thread-safe; the owner locks. */
struct CrashSuspects
{
    std::unordered_map<std::uint64_t, SuspectRecord> records;
};

/** Whether and how a request may run. */
enum class RunPermission {
    Clear, //!< without restriction
    Isolated, //!< only with no other request on the target
    Blocked, //!< must be refused with Outcome::Rejected
};

/** Returns how a request with the fingerprint may run; checked before the request is sent to a target. */
RunPermission runPermissionFor(const CrashSuspects &suspects, std::uint64_t fingerprint, const CrashSettings &settings, TimePoint now);

/**
 * Records that a target crashed.
 *
 * @param inFlight fingerprints of the requests in flight on the target
 * @param isolated the only request was isolated on the target and so is the cause
 */
void recordCrash(CrashSuspects &suspects, std::span<const std::uint64_t> inFlight, bool isolated, const CrashSettings &settings, TimePoint now);

/** Clears a suspect that completed while isolated. */
void recordIsolatedSuccess(CrashSuspects &suspects, std::uint64_t fingerprint, TimePoint now);

/** Merges updates of another process. Commutative and idempotent. */
void mergeSuspectUpdates(CrashSuspects &suspects, std::span<const SuspectUpdate> updates, const CrashSettings &settings, TimePoint now);

/** Returns up to max updates to send to other processes, most recent first. */
std::vector<SuspectUpdate> suspectUpdates(const CrashSuspects &suspects, std::size_t max, const CrashSettings &settings, TimePoint now);

/** Removes records that no longer have an effect. Called periodically. */
void removeExpired(CrashSuspects &suspects, const CrashSettings &settings, TimePoint now);

/** Extracts the status from a rank. */
CrashStatus crashStatusOf(SuspectRank rank) noexcept;

} // namespace snipehill
