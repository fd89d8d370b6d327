#pragma once

#include <process/targetregistry.h>

#include <algorithm>

namespace snipehill
{

/** Reading that one ticket has put on an engine. */
struct PendingPrefill
{
    Duration work{}; //!< time by which it delays those behind
    TimePoint startedAt{};
    Duration predicted{}; //!< until it is done, with what was ahead
};

struct PeerLoadReport
{
    EntryLoad load;
    TimePoint receivedAt{};
};

struct TargetRegistry::Target
{
    TargetEntry entry;
    TargetHash hash = 0;
    Endpoint endpoint;
    bool replaced = false; //!< another run holds its address
    EngineRole orderedRole = EngineRole::Mixed;
    TimePoint roleChangeUntil{}; //!< to the ordered role
    bool orderedLocally = false; //!< by this entry, which tells the others
    std::map<std::uint64_t, PendingPrefill> pendingPrefills;
    std::uint32_t running = 0; //!< of this entry
    TimePoint prefillStartedAt{}; //!< the first of reads is being read since then
    double slowness = 1;
    std::uint32_t failuresInRow = 0;
    TimePoint suspectUntil{};
    std::uint32_t refusalsInRow = 0;
    TimePoint refusalBackoffUntil{};
    std::uint32_t kvTransferFailuresInRow = 0; //!< of memory that others should have taken
    TimePoint kvTransferSuspectUntil{};
    ReportedLoad reportedLoad;
    TimePoint reportedLoadAt{};
    std::uint32_t runningWhenReported = 0;
    std::map<std::string, PeerLoadReport> peers;
};

struct TargetRegistry::Shard
{
    std::mutex lock;
    std::map<std::string, Target, std::less<>> targets;
    PrefixIndex prefixIndex; //!< prompt parts by target
    std::uint64_t nextReservationId = 1;
    std::vector<RoutedBlocks> unsentBlocks; //!< for the other entries
    std::map<std::string, std::uint64_t> unsentShortPromptTokens; //!< likewise, of short prompts by target id
};

/**
 * Reading left on a target of what this entry has placed. Only the oldest read can be partly done: an engine reads the
 * prompts of all entries in turn, so its progress with those of one entry is not the time that passes.
 */
template<typename Target> Duration ownBacklog(const Target &target, TimePoint now)
{
    Duration total{};
    for (const auto &[id, prefill] : target.pendingPrefills) {
        total += prefill.work;
    }
    if (!target.pendingPrefills.empty()) {
        total -= std::min(now - target.prefillStartedAt, target.pendingPrefills.begin()->second.work);
    }
    return total;
}

/** The target was ordered into a role that its entry doesn't show yet. */
template<typename Target> bool isChanging(const Target &target, TimePoint now)
{
    return now < target.roleChangeUntil && target.entry.role != target.orderedRole;
}

} // namespace snipehill
