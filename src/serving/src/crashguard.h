#pragma once

#include <process/targetregistry.h>
#include <request/crashevidence.h>

#include <map>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace snipehill
{

/** What forbids sending a request with blocked causes. */
struct CrashBlock
{
    std::vector<CrashCause> causes; //!< that the request shares with requests under which targets ended
    std::uint32_t lostRuns = 0; //!< target runs that ended under them
    Duration wait{}; //!< until such a request may be sent again
};

/** Whether a request may be sent. */
struct CrashDecision
{
    std::optional<CrashBlock> block; //!< empty: it may
    bool trial = false; //!< its causes are blocked, and it is sent to find out whether they are sound
};

/**
 * Attributes crashes of targets to what the requests on them had in common, and blocks such requests.
 *
 * A broken connection alone is no crash: the entry that notices it finds out whether the target still accepts connections, and
 * then calls resolve(). Owned by the entry. Thread-safe.
 */
class CrashGuard
{
public:
    /**
     * A connection broke while the request was on the target.
     *
     * @param flowing time since the first event of the response; a response that had been flowing for a while is no suspect
     * @return true if nobody is finding out yet whether this run of the target has ended; the caller then does, and calls resolve()
     */
    bool recordBroken(const TargetRef &target, const CrashSuspect &suspect, Duration flowing, TimePoint now);
    /** Whether a run of a target with a broken connection has ended. */
    void resolve(const TargetRef &target, bool ended, TimePoint now);
    /** A request with these causes got a complete response; began is the time of its first event. */
    void recordSound(std::span<const CrashCause> causes, TimePoint began);
    /** Whether a request with these ascending causes must not be sent. */
    std::optional<CrashBlock> findBlock(std::span<const CrashCause> causes, TimePoint now);
    /** Like findBlock(), for a request that is going to be sent if nothing forbids it. */
    CrashDecision admit(std::span<const CrashCause> causes, TimePoint now);
    /** The trial of a request has ended; received: a target may have received it. */
    void endTrial(std::span<const CrashCause> causes, bool received, TimePoint now);
    /** Sets the names of the entries that live; they take turns in trying blocked requests. */
    void setPeers(std::string_view self, const std::vector<std::string> &peers);
    /** Whether one more crash of a request with these causes could block them, so that it must not be sent to another target after a crash. */
    bool isSuspect(std::span<const CrashCause> causes, TimePoint now);
    /** Releases a blocked cause, at the wish of an operator; the other entries learn of it. False if it is not blocked. */
    bool release(CrashCause cause, TimePoint now);
    /** Blocked combinations as JSON, for operators. */
    std::string blockedAsJson(TimePoint now);

    std::vector<CrashReport> takeReports(TimePoint now);
    void mergeReports(std::span<const CrashReport> reports, TimePoint now);

private:
    /** A broken connection whose target may still be alive. */
    struct Unresolved
    {
        TimePoint noticed{};
        std::vector<CrashSuspect> suspects;
    };

    /** findBlock() with the lock held. */
    std::optional<CrashBlock> findBlockLocked(std::span<const CrashCause> causes, TimePoint now);
    /** Brings the verdicts up to date and logs those that are new or withdrawn. The lock is held. */
    void evaluate(TimePoint now);

    const CrashEvidenceSettings m_settings{};
    std::mutex m_lock;
    CrashEvidence m_evidence;
    std::map<TargetRunHash, Unresolved> m_unresolved;
    std::map<std::vector<CrashCause>, std::uint64_t> m_refusals; //!< requests refused by the blocks in force, by causes
};

/** "5f2c…" for logs and for operators. */
std::string toString(std::span<const CrashCause> causes);

} // namespace snipehill
