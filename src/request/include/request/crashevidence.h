#pragma once

#include <core/time.h>

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace snipehill
{

/**
 * Hash of something that a request shares with others and that may be the cause of a crash: its path, workspace and body together,
 * or one block of its prompt whatever blocks stand before it.
 */
using CrashCause = std::uint64_t;

/** Hash of one run of a target. A crash ends a run, and each run crashes once. */
using TargetRunHash = std::uint64_t;

/** Settings of CrashEvidence. */
struct CrashEvidenceSettings
{
    std::uint32_t minCrashes = 3; //!< independent crashes without a complete response after which a cause is blocked
    std::uint32_t certainCrashes = 5; //!< target runs after which a blocked cause is not tried again; the platform allows no more
    milliseconds suspectTime{1000}; //!< a response that was flowing for longer than this did not crash its target
    seconds probation{30}; //!< a blocked cause that is not certain may run again this long after its last crash
    seconds retention{600}; //!< a crash is forgotten after this time without a further crash or refusal of the cause that explains it
    std::size_t maxCrashes = 512; //!< capacity; the crash that was needed least recently is dropped first
    std::size_t maxSuspectsPerCrash = 128; //!< requests that one target runs or queues
    std::size_t maxSoundCauses = 8192; //!< remembered times of complete responses; the older half is dropped at this number
    std::uint32_t sendsPerChange = 3; //!< peer updates that carry a change: one or two of them may be lost
    std::size_t changesPerUpdate = 256; //!< causes in the changes of one peer update; what is left goes with the next ones
    std::size_t repeatsPerUpdate = 64; //!< causes in the repeated crashes of one peer update, for entries that missed the changes
};

/** Request that was on a target when it crashed. */
struct CrashSuspect
{
    std::vector<CrashCause> causes; //!< ascending
    Duration sentBefore{}; //!< time from sending it to the target to the crash
};

/** What a crash record knows of one suspect. */
struct SuspectRecord
{
    Duration sentBefore{}; //!< shortest CrashSuspect::sentBefore
    bool local = false; //!< seen by this entry, which tells the others
};

/** Crash of one target run. Suspects and cleared causes only grow, so that reports can be merged in any order and more than once. */
struct CrashRecord
{
    TimePoint time{}; //!< earliest time at which an entry noticed it
    TimePoint lastNeeded{}; //!< of the crash, or of the latest refusal that it explains
    std::map<std::vector<CrashCause>, SuspectRecord> suspects; //!< by causes
    std::set<CrashCause> cleared; //!< a request with the cause began after the crash and got a complete response
    std::set<CrashCause> clearedLocally; //!< those of cleared that this entry tells the others
    std::uint32_t unsentUpdates = 0; //!< peer updates that still have to carry the record
};

/** A crash as told to other entries. Times are ages, as entries have no common clock. */
struct CrashReport
{
    TargetRunHash run = 0;
    milliseconds age{}; //!< since the crash
    milliseconds unneeded{}; //!< since CrashRecord::lastNeeded
    std::vector<CrashSuspect> suspects;
    std::vector<CrashCause> cleared;
};

/** A combination of causes that is refused. */
struct BlockedCauses
{
    std::vector<CrashCause> causes; //!< ascending; a request is refused if it has all of them
    std::uint32_t crashes = 0; //!< independent crashes
    std::uint32_t lostRuns = 0; //!< target runs that ended under it
    std::vector<TargetRunHash> runs; //!< some of these, enough to come to the same verdict; the independent ones first
    TimePoint lastCrash{};
    bool certain = false; //!< not tried again while such requests come
    CrashCause next = 0; //!< the cause that ranked second when this one was blocked; 0: none
    std::uint32_t nextCrashes = 0; //!< its independent crashes
};

/**
 * Finds out which cause crashes targets, from crashes seen by all entries.
 *
 * Each crash makes suspects of all requests that were on the target. A complete response clears the causes of its request of all
 * crashes before it began. Of the causes left, the one with most crashes explains them; then the next one is sought among the
 * crashes that are left. A cause is counted once for requests that were sent before the crash counted last, so that many targets that
 * end at one moment count as one crash.
 *
 * Verdicts follow from the evidence alone: merging another entry's evidence can add and withdraw them. Owned by the process,
 * not thread-safe; the owner locks. Times are passed in.
 */
struct CrashEvidence
{
    std::map<TargetRunHash, CrashRecord> crashes;
    std::unordered_map<CrashCause, TimePoint> sound; //!< latest begin of a complete response
    std::unordered_map<CrashCause, TimePoint> olderSound; //!< the older half of these
    std::vector<BlockedCauses> blocked; //!< as of the latest evaluation
    std::unordered_map<CrashCause, std::uint32_t> unexplained; //!< independent crashes that no blocked cause explains, by cause
    std::unordered_set<CrashCause> suspected; //!< causes that some crash may still be blamed on
    bool changed = false; //!< since the latest evaluation
    TargetRunHash nextReport = 0; //!< where the turn of unchanged crashes goes on
};

/** Records that a target run crashed while the request was on it. */
void recordCrash(CrashEvidence &evidence, TargetRunHash run, const CrashSuspect &suspect, const CrashEvidenceSettings &settings, TimePoint now);

/** Records a complete response to a request with these causes whose first event was received at the given time. */
void recordSound(CrashEvidence &evidence, std::span<const CrashCause> causes, TimePoint began, const CrashEvidenceSettings &settings);

/** Clears a cause of all crashes so far, with those that are blocked together with it, at the wish of an operator. False if no crash has it. */
bool releaseCause(CrashEvidence &evidence, CrashCause cause, const CrashEvidenceSettings &settings, TimePoint now);

/** Merges the report of another entry. */
void mergeCrashReport(CrashEvidence &evidence, const CrashReport &report, const CrashEvidenceSettings &settings, TimePoint now);

/** Reports for the next peer update: what this entry has seen since the last few updates, and in turn some of what verdicts and suspicion rest on. */
std::vector<CrashReport> takeCrashReports(CrashEvidence &evidence, const CrashEvidenceSettings &settings, TimePoint now);

/** Brings CrashEvidence::blocked up to date and forgets old crashes. Cheap if nothing has changed. */
void evaluateCrashes(CrashEvidence &evidence, const CrashEvidenceSettings &settings, TimePoint now);

/** The blocked combination that a request with these ascending causes has, in force now; null if it may be sent. Valid until the next call that changes the evidence. */
const BlockedCauses *
findBlocked(const CrashEvidence &evidence, std::span<const CrashCause> causes, const CrashEvidenceSettings &settings, TimePoint now) noexcept;

/** Records that a request was refused because of a blocked combination, which keeps its evidence. */
void recordRefusal(CrashEvidence &evidence, const BlockedCauses &blocked, TimePoint now);

/** The largest number of unexplained crashes of one of the causes, as of the latest evaluation. */
std::uint32_t suspicionOf(const CrashEvidence &evidence, std::span<const CrashCause> causes) noexcept;

/** Time until a request with the blocked causes may be sent again, if no more come. */
Duration blockedFor(const BlockedCauses &blocked, const CrashEvidenceSettings &settings, TimePoint now) noexcept;

} // namespace snipehill
