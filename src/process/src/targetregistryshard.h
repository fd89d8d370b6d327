#pragma once

#include <process/targetregistry.h>
#include <request/heldparts.h>

#include <algorithm>

namespace snipehill
{

/** Prefill of one reservation that an engine has not finished. */
struct PendingPrefill
{
    Duration work{}; //!< time by which it delays the prompts queued behind it
    TimePoint placedAt{};
    Duration predicted{}; //!< time from placement to completion, including the backlog ahead
    Duration ownTime{}; //!< part of predicted without the backlog
    double slowness = 1; //!< factor of the engine in ownTime, including its pace
    Duration idleWork{}; //!< at the initial rates, if the engine was idle and the cached tokens are known; otherwise zero
    double usedPace = 1; //!< factor by the engine's statement in ownTime
    double statedPace = 1; //!< factor that the engine stated, whether it was believed or not
};

/** Call of this entry that a plain service runs. */
struct PendingCall
{
    std::uint64_t kind = 0;
    TimePoint placedAt{};
    Duration predicted{}; //!< zero: not known
    std::uint32_t requests = 1; //!< on the target, this one included
    double statedPace = 1; //!< factor that the target stated, whether it was believed or not
    double usedPace = 1; //!< factor by the target's statement in predicted
};

/** Load that another entry has placed on a target, and when its update arrived. */
struct PeerLoadReport
{
    EntryLoad load;
    TimePoint receivedAt{};
};

struct TargetRegistry::Target
{
    TargetEntry entry;
    TargetHash hash = 0;
    std::uint64_t run = 0; //!< hash of id and start time
    Endpoint endpoint;
    TargetNotice notice; //!< what this run has stated
    bool replaced = false; //!< another run of a target holds the address, or the target takes no more work
    EngineRole orderedRole = EngineRole::Mixed; //!< of the last role change
    TimePoint roleChangeUntil{}; //!< end of the time allowed for the change to orderedRole
    bool orderedLocally = false; //!< this entry ordered the change and announces it to the others
    std::map<std::uint64_t, PendingPrefill> pendingPrefills; //!< of this entry, by reservation id and so oldest first
    std::map<std::uint64_t, PendingCall> pendingCalls; //!< of this entry, by reservation id
    double meanOthers = 0; //!< moving average of the requests of other entries, see expectedRequests()
    TimePoint meanOthersAt{};
    CallPace callPace; //!< measured times of calls
    std::uint32_t running = 0; //!< requests of this entry
    TimePoint prefillStartedAt{}; //!< since when the oldest pending prefill has been processed
    double slowness = 1; //!< moving average of measured over predicted prefill time, see slownessOf()
    TimePoint slownessAt{}; //!< time of the last measurement
    std::uint32_t failuresInRow = 0;
    TimePoint suspectUntil{}; //!< end of the backoff after failures
    std::uint32_t refusalsInRow = 0;
    TimePoint refusalBackoffUntil{}; //!< end of the backoff after refused prompts
    std::uint32_t kvTransferFailuresInRow = 0; //!< consecutive failures of other engines to fetch a KV cache from this one
    TimePoint kvTransferSuspectUntil{}; //!< end of the backoff after failed transfers
    TargetPace pace; //!< how long work takes by the target's own statement
    ReportedLoad reportedLoad;
    TimePoint reportedLoadAt{};
    std::uint32_t runningWhenReported = 0; //!< value of running when reportedLoad arrived
    std::map<std::string, PeerLoadReport> peers; //!< by instance of the other entry
    TargetHeldParts held; //!< its prefix cache by its own statement
};

struct TargetRegistry::Shard
{
    std::mutex lock;
    std::map<std::string, Target, std::less<>> targets;
    TargetNotices absentNotices; //!< of runs that are not registered
    std::map<std::uint64_t, CallTime> callTimes; //!< by kind of call
    ConcurrencyShape callShape; //!< of all targets of the group
    GroupRates rates; //!< measured prefill rates of the group's engines
    PrefixIndex prefixIndex; //!< prompt blocks that each target has cached
    PhaseDelay prefillDelay; //!< of prompts that one engine prefilled and another one decoded
    PhaseDelay decodeDelay;
    std::uint64_t nextReservationId = 1;
    std::optional<TimePoint> firstPrompt; //!< time of the first placement of a prompt
    std::vector<RoutedBlocks> unsentBlocks; //!< for the next peer update
    std::map<std::string, std::uint64_t> unsentShortPromptTokens; //!< tokens of short prompts for the next peer update, by target id
};

/** How far decode engines delay prompts, from 0 to 1; 1 also while that is not known. */
template<typename Shard> double decodePressure(const Shard &shard, const TargetRegistrySettings &settings, TimePoint now)
{
    if (shard.decodeDelay.samples == 0) {
        return 1;
    }
    const Duration delay = recentDelay(shard.decodeDelay, settings.phaseDelay, now);
    return std::min(1.0, std::chrono::duration<double>(delay) / std::chrono::duration<double>(settings.fullDecodePressure));
}

/** Factor of an engine on predicted times by measured ones; without new measurements it approaches 1, so that the engine is tried again. */
template<typename Target> double slownessOf(const Target &target, const PaceSettings &settings, TimePoint now)
{
    return decayedFactor(target.slowness, now - target.slownessAt, settings.slownessHalfLife);
}

/** Work of a prompt at the initial rates, if the engine has no known work ahead of it and its cached tokens are known; otherwise zero. */
Duration idleWorkOf(const PlacementEngine &engine,
                    const PromptDemand &demand,
                    std::span<const PrefixBlock> blocks,
                    const PromptPlacement &placement,
                    const TargetRegistrySettings &settings);

/** Whether the records of the target tell its runs apart. */
template<typename Target> bool isStartKnown(const Target &target)
{
    return target.entry.startTimeMs != 0;
}

/** Whether the target may be given work, now or after a pause. */
template<typename Target> bool isUsable(const Target &target, TimePoint now)
{
    return !target.entry.draining && !target.replaced && !isLeaving(target.notice, isStartKnown(target), now);
}

/**
 * Leading prompt tokens in the prefix cache of a target: as routed to it or as stated by it, whichever is larger. Its statement is not
 * used once it has evicted blocks that were routed to it, since it has then evicted what it stated before.
 */
template<typename Shard, typename Target>
std::uint64_t cachedTokensOn(const Shard &shard, const Target &target, std::span<const PrefixBlock> blocks, std::span<const PromptPart> parts, TimePoint now)
{
    const std::uint64_t routed = cachedPromptTokens(shard.prefixIndex, target.entry.id, blocks);
    if (target.held.parts.empty() || hasEvicted(shard.prefixIndex, target.entry.id)) {
        return routed;
    }
    return std::max(routed, heldPromptTokens(target.held, parts, blocks, now));
}

/** Whether the target wants no requests from this entry for now. */
template<typename Target> bool isPaused(const Target &target, TimePoint now)
{
    return now < target.notice.pausedUntil;
}

/**
 * Remaining prefill time on a target for prompts of this entry. Only the oldest prefill is counted as partly done: an
 * engine prefills the prompts of all entries in turn, so its progress on those of one entry is less than the elapsed time.
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

/**
 * Remaining prefill time on a target for prompts of all entries. The backlog in other entries' updates is not reduced by
 * its age, as those entries have placed more since then.
 */
template<typename Target> Duration backlogOf(const Target &target, const TargetRegistrySettings &settings, TimePoint now)
{
    Duration total = ownBacklog(target, now);
    for (const auto &[peer, view] : target.peers) {
        if (now - view.receivedAt < settings.peerLoadMaxAge) {
            total += view.load.backlog;
        }
    }
    return total;
}

/** Requests that all entries run on a target, from the larger of the peers' updates and the target's own report. */
template<typename Target> std::uint32_t runningOn(const Target &target, const TargetRegistrySettings &settings, TimePoint now)
{
    std::uint32_t others = 0;
    for (const auto &[peer, view] : target.peers) {
        others += now - view.receivedAt < settings.peerLoadMaxAge ? view.load.running : 0;
    }
    if (now - target.reportedLoadAt < settings.reportedLoadMaxAge) {
        const std::uint32_t reportedRequests = target.reportedLoad.running + target.reportedLoad.waiting;
        others = std::max(others, reportedRequests - std::min(reportedRequests, target.runningWhenReported));
    }
    return target.running + others;
}

/** Whether a role change was ordered that the target's registration record does not show yet. */
template<typename Target> bool isChanging(const Target &target, TimePoint now)
{
    return now < target.roleChangeUntil && target.entry.role != target.orderedRole;
}

template<typename Target> TargetRef makeTargetRef(const Target &target)
{
    return {target.entry.group, target.entry.id, target.endpoint, target.entry.failureDomain, target.run};
}

} // namespace snipehill
