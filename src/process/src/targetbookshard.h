#pragma once

#include <process/targetbook.h>

#include <algorithm>

namespace snipehill
{

/** Reading that one ticket has put on an engine. */
struct BookedRead
{
    Duration work{}; //!< time by which it delays those behind
    TimePoint since{};
    Duration expected{}; //!< until it is done, with what was ahead
};

struct PeerView
{
    EntryLoad load;
    TimePoint told{};
};

struct TargetBook::Target
{
    TargetEntry entry;
    TargetHash hash = 0;
    Endpoint endpoint;
    bool replaced = false; //!< another run holds its address
    EngineRole orderedRole = EngineRole::Mixed;
    TimePoint changingUntil{}; //!< to the ordered role
    bool orderedHere = false; //!< by this entry, which tells the others
    std::map<std::uint64_t, BookedRead> reads;
    std::uint32_t running = 0; //!< of this entry
    TimePoint readingSince{}; //!< the first of reads is being read since then
    double slowness = 1;
    std::uint32_t failuresInRow = 0;
    TimePoint suspectUntil{};
    std::uint32_t refusalsInRow = 0;
    TimePoint refusingUntil{};
    std::uint32_t lapsesInRow = 0; //!< of memory that others should have taken
    TimePoint lapsingUntil{};
    ToldLoad told;
    TimePoint toldAt{};
    std::uint32_t runningWhenTold = 0;
    std::map<std::string, PeerView> peers;
};

struct TargetBook::Shard
{
    std::mutex lock;
    std::map<std::string, Target, std::less<>> targets;
    PrefixIndex kept; //!< prompt parts by target
    std::uint64_t nextTicket = 1;
    std::vector<TargetReads> unsentReads; //!< for the other entries
    std::map<std::string, std::uint64_t> unsentShortTokens; //!< likewise, of short prompts by target id
};

/**
 * Reading left on a target of what this entry has placed. Only the oldest read can be partly done: an engine reads the
 * prompts of all entries in turn, so its progress with those of one entry is not the time that passes.
 */
template<typename Target> Duration ownBacklog(const Target &target, TimePoint now)
{
    Duration total{};
    for (const auto &[number, read] : target.reads) {
        total += read.work;
    }
    if (!target.reads.empty()) {
        total -= std::min(now - target.readingSince, target.reads.begin()->second.work);
    }
    return total;
}

/** The target was ordered into a role that its entry doesn't show yet. */
template<typename Target> bool isChanging(const Target &target, TimePoint now)
{
    return now < target.changingUntil && target.entry.role != target.orderedRole;
}

} // namespace snipehill
