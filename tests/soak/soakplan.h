#pragma once

#include <core/time.h>

#include <cstdint>
#include <vector>

namespace snipehill::soak
{

/** What a fault does. Each lasts from its start to its end, and may overlap with any other. */
enum class FaultKind {
    KillEntry, //!< SIGKILL; started again at the end
    StopEntry, //!< SIGTERM; started again when it has ended by itself
    PauseEntry, //!< SIGSTOP, SIGCONT at the end
    ReloadEntry, //!< SIGHUP
    KillAllEntries,
    KillTarget, //!< SIGKILL; started again at the end
    PauseTarget,
    DrainTarget, //!< announces that it leaves; registered again at the end
    DropTargetConnections, //!< reset
    SilenceTargetConnections, //!< those that are open swallow everything for good
    CutTarget, //!< all connections swallow everything
    DelayTarget,
    RefuseWork, //!< the target answers that it runs nothing
    FailWork, //!< the target runs requests and answers 500
    BreakStream, //!< the target's next stream ends within an event
    DuplicateResponses, //!< the target answers some requests twice
    SlowTarget,
    DropStoreConnections, //!< of one entry
    SilenceStoreConnections,
    CutStore, //!< from one entry
    DelayStore,
    StoreDown, //!< for all
    LoseStoreResponses, //!< appends that take effect without an answer
    PublishVersion,
    WithdrawKey, //!< the second key; it comes back at the end
};

constexpr int faultKindCount = static_cast<int>(FaultKind::WithdrawKey) + 1;

const char *toString(FaultKind kind) noexcept;

/** One fault of a run. */
struct Fault
{
    FaultKind kind = FaultKind::KillEntry;
    milliseconds start{0};
    milliseconds end{0};
    std::size_t index = 0; //!< entry or target, modulo their number
};

/** Size of a run. */
struct SoakSize
{
    std::size_t entries = 3;
    std::size_t callers = 12;
    milliseconds duration{10000}; //!< of the time in which faults may be in force
    std::size_t faults = 12;
};

/** The faults of a seed, by start. Some come in series: the same kind again shortly after. */
std::vector<Fault> planFaults(std::uint64_t seed, const SoakSize &size);

} // namespace snipehill::soak
