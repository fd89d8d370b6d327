#pragma once

#include <connection/endpoint.h>
#include <core/reason.h>
#include <core/time.h>
#include <process/peerupdate.h>
#include <request/promptplacement.h>
#include <request/targetchoice.h>
#include <version/routingversion.h>
#include <version/targetentry.h>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace snipehill
{

/** Names one target and where it was when it was chosen. */
struct TargetRef
{
    std::string group;
    std::string id;
    Endpoint endpoint;
    std::string failureDomain;
};

/** Work that an entry has placed on a target; ended by TargetBook::end(). */
struct WorkReservation
{
    TargetRef target;
    std::uint64_t id = 0; //!< 0: none
};

/** A request of a plain service on its target. */
struct PlacedCall
{
    WorkReservation run;
};

/** A prompt on its engines. */
struct PlacedPrompt
{
    WorkReservation run; //!< on the engine that answers
    std::optional<WorkReservation> prefill; //!< on the engine that reads the prompt first
    std::optional<TargetRef> fetchFrom; //!< engine that the reading one takes memory from
    Duration firstToken{}; //!< predicted
    Duration wait{}; //!< predicted part of it, for prompts ahead
    bool reserved = false; //!< false: predicted too late, nothing is placed
};

/** What the last answer of a target told of its load. */
struct ReportedLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

/** Settings of the book. */
struct TargetRegistrySettings
{
    std::string instance; //!< of this entry
    std::string failureDomain; //!< of this entry
    milliseconds suspectTime{1000}; //!< after a failure; doubles with each further one in a row. One heartbeat: news of a restart takes that long
    milliseconds maxSuspectBackoff{8000};
    milliseconds refusalBackoff{250}; //!< likewise after an engine refused a prompt: short, as a full engine has room again soon
    milliseconds maxRefusalBackoff{2000}; //!< most of a role change, during which an engine refuses everything
    milliseconds reportedLoadMaxAge{500}; //!< a told load is used for so long: a few answers' time
    milliseconds peerLoadMaxAge{1500}; //!< likewise for what another entry told
    milliseconds crossDomainPenalty{25}; //!< price of a call to a plain service in another failure domain, as time
    PlacementSettings placement; //!< the transfer figures come with the configuration
};

/**
 * What this entry believes of all targets: registered entries, work placed, kept prompt parts, failures.
 *
 * Owned by the process, filled by the watch of the targets' entries, by answers and by what other entries tell.
 * Thread-safe: one shard a target group, each under its own lock. Times are passed in, so tests run under virtual time.
 */
class TargetRegistry
{
public:
    explicit TargetRegistry(TargetRegistrySettings settings);
    ~TargetRegistry();
    TargetRegistry(const TargetRegistry &) = delete;
    TargetRegistry &operator=(const TargetRegistry &) = delete;

    /** Takes a target's entry. True if something that matters for choices has changed. */
    bool apply(const TargetEntry &entry);
    /** Drops a target that is gone. False if it was not known. */
    bool remove(std::string_view id);
    /** All targets, in no order. */
    std::vector<TargetEntry> entries() const;

    /** Chooses a target for a call and books the work on it. */
    std::optional<PlacedCall> placeCall(const std::string &group, std::span<const std::string> tried, std::uint64_t draw, TimePoint now, Reason &reason);
    /** Chooses engines for a prompt and books the work on them. */
    std::optional<PlacedPrompt> placePrompt(const GroupRule &group,
                                            const PromptDemand &demand,
                                            std::span<const PrefixBlock> blocks,
                                            std::span<const std::string> tried,
                                            TimePoint now,
                                            Reason &reason);

    /** Whether requests of this entry or others run on the group, as far as is known. */
    bool hasRunningRequests(const std::string &group, TimePoint now) const;
    /** Whether the target may still get the work that was placed on it: it has neither announced to leave nor gone. */
    bool acceptsWork(const TargetRef &target);

    /** The target has read the prompt of the work, or will not. */
    void finishPrefill(const WorkReservation &reservation, TimePoint now);
    /** The work has ended. */
    void release(const WorkReservation &reservation, TimePoint now);
    /**
     * The engine changes its role and takes no work until its entry shows the new one, or the time is over.
     * Other entries are told.
     */
    void noteRoleChange(std::string_view id, EngineRole role, TimePoint until);
    /** The engine refused a prompt without running it. */
    void recordPromptRefused(const TargetRef &target, TimePoint now);
    /** The engine has begun a prompt. */
    void recordPromptAccepted(const TargetRef &target);
    /** A prompt that the engine read for another one could be taken from it, or not. */
    void recordKvTransfer(const TargetRef &prefillEngine, bool fetched, TimePoint now);
    /** The target answered; a whole answer clears suspicion. */
    void recordResponse(const TargetRef &target, const std::optional<ReportedLoad> &load, TimePoint now);
    /** The target failed a request or a connection. */
    void recordFailure(const TargetRef &target, TimePoint now);
    /** Another target answered at its address, or it no longer takes work: it gets none until its entry changes. */
    void markReplaced(const TargetRef &target);

    /** Adds this entry's load and what it has placed since the last call to news for the other entries. */
    void fillPeerUpdate(PeerUpdate &update, TimePoint now);
    /** Takes what another entry told. Returns the engines that are learnt to change their role. */
    std::vector<std::string> applyPeerUpdate(const PeerUpdate &update, TimePoint now);

private:
    struct Target;
    struct Shard;
    std::shared_ptr<Shard> shardOf(const std::string &group) const;
    std::vector<std::shared_ptr<Shard>> shards() const;
    /** Runs the function on a target under its shard's lock; does nothing when the target is gone. */
    template<typename Function> void withTarget(const TargetRef &ref, Function function);

    const TargetRegistrySettings m_settings;
    mutable std::mutex m_lock; //!< of the map, not of what it holds
    std::map<std::string, std::shared_ptr<Shard>, std::less<>> m_shards;
    std::map<std::string, std::string, std::less<>> m_groups; //!< group of each target id
};

} // namespace snipehill
