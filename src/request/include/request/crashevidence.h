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
    std::uint32_t suspectCrashes = 2; //!< the same after which an entry sends one request with the cause at a time
    std::uint32_t certainCrashes = 5; //!< target runs after which a blocked cause is not tried again unless other causes explain the crashes
    milliseconds suspectTime{1000}; //!< a response that was flowing for longer than this did not crash its target
    milliseconds simultaneous{30}; //!< crashes under requests sent before the first of them count once within this time
    seconds probation{30}; //!< a blocked cause that is not certain may be tried this long after its last crash
    milliseconds doubtfulPause{300}; //!< the same if likelier causes explain the crashes; eight times as long after each failed trial
    milliseconds contestedPause{3000}; //!< the same if other causes are nearly as likely; grows alike
    seconds maxTrialPause{60}; //!< bounds the pauses, so that a sound cause is not blocked for long
    milliseconds trialTime{10000}; //!< a trial whose end is not known counts as one that has ended after this time
    milliseconds trialWait{500}; //!< what a request is told to wait for the result of another one's trial
    milliseconds trialResultTime{200}; //!< after the end of a trial, until a crash of its target is known
    milliseconds trialTurn{500}; //!< for each entry that lives, as each gets so much less of the requests; the time between the turns of two entries ...
    seconds maxTrialTurn{10}; //!< ... is at most this
    milliseconds blockSpread{500}; //!< after the crash that makes a cause a suspect, until all entries know of it
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

/** A combination of causes that is refused, or sent one request at a time if it has fewer than CrashEvidenceSettings::minCrashes. */
struct BlockedCauses
{
    std::vector<CrashCause> causes; //!< ascending; a request is refused if it has all of them
    std::uint32_t crashes = 0; //!< independent crashes
    std::uint32_t lostRuns = 0; //!< target runs that ended under it
    std::vector<TargetRunHash> runs; //!< some of these, enough to come to the same verdict; the independent ones first
    TimePoint lastCrash{};
    bool certain = false; //!< not tried again while such requests come, unless other causes explain the crashes
    bool doubtful = false; //!< likelier causes leave it fewer than minCrashes, or it has fewer
    double improbability = 0; //!< logarithm of how much likelier its crashes are if it caused them than if it was there by chance
    std::vector<std::size_t> evidence; //!< its independent crashes, as indices of CrashEvidence::candidates
    std::uint32_t failedTrials = 0; //!< crashes that nothing else explains under requests that were sent when the causes were suspected already
    CrashCause next = 0; //!< the cause that ranked second when this one was blocked; 0: none
    std::uint32_t nextCrashes = 0; //!< its independent crashes
};

/** A cause that may have crashed a target run. */
struct CrashCandidate
{
    CrashCause cause = 0;
    std::uint32_t crashes = 0; //!< independent ones in which it is a suspect
    double improbability = 0; //!< as in BlockedCauses
};

/**
 * Finds out which cause crashes targets, from crashes seen by all entries.
 *
 * Each crash makes suspects of all requests that were on the target. A complete response clears the causes of its request of all
 * crashes before it began. Of the causes left, the one that is least likely to be there by chance explains its crashes; then the next
 * one is sought among the crashes that are left. A cause that has enough crashes of its own is blocked as well, although others explain
 * them: they may have stood on the same targets. Such a doubtful block is tried soon, by a request without which the crashes would be
 * explained too, one at a time and by one entry after the other. Causes with fewer crashes are sent one request at a time. Crashes at
 * one moment count once.
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
    std::vector<std::vector<CrashCandidate>> candidates; //!< causes with two crashes or more, of each crash
    std::unordered_map<CrashCause, std::uint32_t> unexplained; //!< independent crashes that no blocked cause explains, by cause
    std::unordered_set<CrashCause> suspected; //!< causes that some crash may still be blamed on
    bool changed = false; //!< since the latest evaluation
    std::map<std::vector<CrashCause>, TimePoint> trials; //!< by blocked causes: until when a trial of this entry forbids another one
    std::uint64_t self = 0; //!< hash of this entry's name
    std::vector<std::uint64_t> peers; //!< the same of the other entries that are known to live; with them it takes turns in trials
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

/** Begins a trial if a request that findBlocked() lets through has blocked causes, and returns whether it does. */
bool beginTrial(CrashEvidence &evidence, std::span<const CrashCause> causes, const CrashEvidenceSettings &settings, TimePoint now);

/** Ends the trial of a request; the next one need not wait for its result if no target has received it. */
void endTrial(CrashEvidence &evidence, std::span<const CrashCause> causes, bool received, const CrashEvidenceSettings &settings, TimePoint now);

/** Records that a request was refused because of a blocked combination, which keeps its evidence. */
void recordRefusal(CrashEvidence &evidence, const BlockedCauses &blocked, TimePoint now);

/** The largest number of unexplained crashes of one of the causes, as of the latest evaluation. */
std::uint32_t suspicionOf(const CrashEvidence &evidence, std::span<const CrashCause> causes) noexcept;

/** Time until a request with the blocked causes may be sent again, if no more come. */
Duration blockedFor(const CrashEvidence &evidence,
                    const BlockedCauses &blocked,
                    std::span<const CrashCause> causes,
                    const CrashEvidenceSettings &settings,
                    TimePoint now) noexcept;

} // namespace snipehill
