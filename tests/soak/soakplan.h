#pragma once

#include <core/time.h>

#include <cstdint>
#include <vector>

namespace snipehill::soak
{

/** Kinds of injected faults. A fault lasts from its start to its end and may overlap with others. */
enum class FaultKind {
    KillEntry, //!< SIGKILL; restarted at the end
    StopEntry, //!< SIGTERM; restarted once the process has exited
    PauseEntry, //!< SIGSTOP, SIGCONT at the end
    ReloadEntry, //!< SIGHUP
    KillAllEntries,
    KillTarget, //!< SIGKILL; restarted at the end
    PauseTarget,
    DrainTarget, //!< registered as draining; registered as ready at the end
    DropTargetConnections, //!< connections to the target are reset
    SilenceTargetConnections, //!< open connections discard all data and never recover
    CutTarget, //!< all connections discard all data; those open at the end stay silent
    DelayTarget,
    RefuseWork, //!< the target refuses requests without running them
    FailWork, //!< the target runs requests and responds with status 500
    BreakStream, //!< the target's next stream ends within an event
    DuplicateResponses, //!< the target responds to some requests twice
    SlowTarget,
    DropStoreConnections, //!< store connections of one entry are reset
    SilenceStoreConnections,
    CutStore, //!< one entry cannot reach the store
    DelayStore,
    StoreDown, //!< the store is down for all processes
    LoseStoreResponses, //!< the store appends records but sends no response
    PublishVersion,
    WithdrawKey, //!< withdraws the second API key; published again at the end
    SilentTarget, //!< each run that starts at the target, or at any of its group, sends nothing for a while and then goes on
    LeavingTarget, //!< the target says in its responses that it leaves, its entry stays ready; registered as a new run at the end
    PausingTarget, //!< the target refuses some requests with 503 and asks for a pause
    OlderStoreCopy, //!< the store comes back from a copy up to some seconds old, half of the times after it was away; written again at the end
    BrokenResponses, //!< what comes from the target is no response of HTTP, or part of one
};

constexpr int faultKindCount = static_cast<int>(FaultKind::BrokenResponses) + 1;

const char *toString(FaultKind kind) noexcept;

/** A scheduled fault; times count from the start of the run. */
struct Fault
{
    FaultKind kind = FaultKind::KillEntry;
    milliseconds start{0};
    milliseconds end{0};
    std::size_t index = 0; //!< index of the entry or target, taken modulo their number
};

/** Parameters of a soak run. */
struct SoakSize
{
    std::size_t entries = 3;
    std::size_t callers = 12;
    milliseconds duration{10000}; //!< period within which faults start and end
    std::size_t faults = 12; //!< of any kind before SilentTarget
    std::size_t plannedWork = 10; //!< in addition: planned work and silent targets, after which every request must be answered
    std::size_t copies = 4; //!< in addition: older copies of the store, and kills and restarts of entries beside them
    std::size_t statements = 4; //!< in addition: targets that say that they leave or want a pause, and kills and restarts beside them
    std::size_t brokenResponses = 3; //!< in addition
};

/**
 * Returns the faults for a seed, sorted by start. Some are repeated: the same kind occurs again shortly after. Neither the
 * faults of planned work nor those of older copies nor statements nor broken responses of targets change the others of the same seed.
 */
std::vector<Fault> planFaults(std::uint64_t seed, const SoakSize &size);

/** True if no fault that may delay a time-limited guarantee is active from shortly before the interval until its end. */
bool isUndisturbed(const std::vector<Fault> &faults, milliseconds from, milliseconds to);

} // namespace snipehill::soak
