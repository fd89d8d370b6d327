#pragma once

#include <connection/endpoint.h>
#include <core/reason.h>
#include <core/time.h>
#include <process/cacheknowledge.h>
#include <process/peerupdate.h>
#include <process/targetnotice.h>
#include <request/directrequest.h>
#include <request/phasedelay.h>
#include <request/prefillrates.h>
#include <request/promptplacement.h>
#include <request/roleshare.h>
#include <request/targetchoice.h>
#include <request/targetpace.h>
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

/** Identifies a target, with its address and failure domain at the time it was chosen. */
struct TargetRef
{
    std::string group;
    std::string id;
    Endpoint endpoint;
    std::string failureDomain;
    std::uint64_t run = 0; //!< hash of the run of the target, which ends when the target restarts
};

/** Hash that identifies the run of a target in all processes. */
std::uint64_t targetRun(const TargetEntry &entry) noexcept;

/** Work that this entry has placed on a target and that counts towards its load until TargetRegistry::release(). */
struct WorkReservation
{
    TargetRef target;
    std::uint64_t id = 0; //!< unique within the target group; 0: no reservation
};

/** Placement of a request to a plain service. */
struct PlacedCall
{
    WorkReservation run;
    Duration predicted{}; //!< run time; zero: not known yet
    bool reserved = true; //!< false: no target is predicted to respond in time, so nothing was reserved
};

/** A call to a plain service. */
struct CallDemand
{
    std::uint64_t kind = 0; //!< hash of what takes about the same time on a target, such as the route; 0: unknown
    Duration remaining = Duration::max(); //!< until the caller needs the response
};

/** Placement of a prompt on one or two engines. */
struct PlacedPrompt
{
    WorkReservation run; //!< on the engine that generates the response
    std::optional<WorkReservation> prefill; //!< on a separate prefill engine; empty: the engine of run does the prefill
    std::optional<TargetRef> fetchFrom; //!< engine from whose KV cache the prefill engine fetches the shared prefix
    Duration firstToken{}; //!< predicted time to the first token
    Duration wait{}; //!< part of firstToken spent queued behind other prompts
    Duration idlePrefill{}; //!< predicted prefill time on an idle engine
    Duration idleDecode{}; //!< predicted time from there to the first event on an idle engine; zero without a separate prefill engine
    bool reserved = false; //!< false: the prediction exceeds the bounds of the demand, so nothing was reserved
};

/** Measured and predicted times of a prompt that one engine prefilled and another one decoded. */
struct PromptPhases
{
    Duration prefill{}; //!< from the placement to the end of the prefill
    Duration predictedPrefill{}; //!< on an idle engine
    Duration decode{}; //!< from there to the first event
    Duration predictedDecode{}; //!< on an idle engine
};

/** Load that a target reported with a response. */
struct ReportedLoad
{
    std::uint32_t running = 0; //!< requests being served
    std::uint32_t waiting = 0; //!< requests queued
    std::uint32_t slots = 0; //!< requests that can be served at once; 0: not stated
    std::uint32_t pacePercent = 0; //!< how long work takes; 100: as usual, 0: not stated
};

/** What this entry knows of the speed of a target, for operators. */
struct TargetSpeed
{
    std::string group;
    std::string id;
    double slowness = 1; //!< measured over predicted time
    std::optional<Duration> slownessAge; //!< since the last measurement; empty: none
    std::uint32_t statedPercent = 0; //!< by the target's own statement; 0: none
    std::optional<Duration> statedAge;
    std::uint32_t usableConcurrency = 0; //!< of a plain service with measured times; 0: not known
    bool contradicted = false; //!< measured times contradict the statement, so it is ignored
    double factor = 1; //!< resulting factor on predicted times
};

/** What this entry knows of the prefill rates of a target group, for operators. */
struct GroupSpeed
{
    std::string group;
    PrefillRates rates;
    std::uint32_t prefillSamples = 0; //!< own, of engines in the prefill role
    std::uint32_t otherSamples = 0; //!< own, of engines in other roles
    std::uint32_t adoptedSamples = 0; //!< of the other entry with most samples
    std::optional<Duration> age; //!< since the last own sample; empty: none
};

/** What a statement of a target has changed, and how its registration record differs from it. */
struct NoticeChange
{
    bool changed = false;
    const char *record = "none"; //!< what the registration record says of the target: "ready", "leaving", "other run" or "none"
};

/** What an update of another entry has told of targets that was not known before. */
struct PeerUpdateEffect
{
    std::vector<std::string> roleChanges; //!< ids of engines that change their role
    std::vector<std::string> leaving; //!< ids of targets that are leaving
    std::size_t heldPartTargets = 0; //!< targets whose held parts it names
    std::size_t newHeldParts = 0; //!< parts of these that were not known
};

/** Settings of TargetRegistry. */
struct TargetRegistrySettings
{
    std::string instance; //!< name of this entry
    std::string failureDomain; //!< of this entry
    milliseconds suspectBackoff{1000}; //!< after a failure; doubles with each consecutive one. One heartbeat: a restart is known by then
    milliseconds maxSuspectBackoff{8000};
    milliseconds refusalBackoff{250}; //!< the same after a refused prompt; short, because a full engine has capacity again soon
    milliseconds maxRefusalBackoff{2000}; //!< covers most of a role change, during which an engine refuses all prompts
    milliseconds reportedLoadMaxAge{500}; //!< older reports of a target are ignored; spans a few responses
    milliseconds peerLoadMaxAge{1500}; //!< older load in updates of other entries is ignored
    milliseconds crossDomainPenalty{25}; //!< cost of calling a plain service in another failure domain, as equivalent delay
    PhaseDelaySettings phaseDelay;
    milliseconds fullDecodePressure{20}; //!< recent delay at decode engines from which prefill there has its full cost
    PaceSettings pace;
    CallSettings calls;
    RateSettings rates; //!< for learning the rates of a group; placement.rates are the initial ones
    PlacementSettings placement; //!< kvBytesPerToken and linkBitsPerSecond are overridden by the configuration of the target group
};

/**
 * State of all targets as known to this entry: registration records, outstanding work, cached prompt prefixes and failures.
 *
 * Owned by the process. Updated from the targets' registration records, from responses and from updates of other entries.
 * Thread-safe: one shard per target group, each under its own lock. Times are passed in, so tests run under virtual time.
 */
class TargetRegistry
{
public:
    explicit TargetRegistry(TargetRegistrySettings settings);
    ~TargetRegistry();
    TargetRegistry(const TargetRegistry &) = delete;
    TargetRegistry &operator=(const TargetRegistry &) = delete;

    /**
     * Applies a target's registration record. A restart drops all other state of the target.
     *
     * @return true if the target is new or its run, address, role or leaving state changed; false also for a malformed address
     */
    bool apply(const TargetEntry &entry);
    /** Removes a target. False if it was not known. */
    bool remove(std::string_view id);
    /** Registration records of all targets, in no particular order. Targets that said that they leave are shown as draining. */
    std::vector<TargetEntry> entries(TimePoint now) const;

    /** Chooses a target of a plain service, other than those tried, and reserves the work on it. Empty with a reason if there is none. */
    std::optional<PlacedCall> placeCall(const std::string &group, std::span<const std::string> tried, std::uint64_t draw, TimePoint now, Reason &reason);
    /**
     * The same with the predicted time of the call. Not reserved if all targets run more than their usable concurrency and none is
     * predicted to respond in time.
     */
    std::optional<PlacedCall>
    placeCall(const std::string &group, const CallDemand &demand, std::span<const std::string> tried, std::uint64_t draw, TimePoint now, Reason &reason);
    /** The target has sent the complete response of a call that it ran; its time is a measurement. Call before release(). */
    void finishCall(const WorkReservation &reservation, TimePoint now);
    /**
     * Chooses engines for a prompt, other than those tried, and reserves the work on them. Empty with a reason if there is none.
     *
     * @param parts see IncomingRequest::promptParts; without them, only prompts routed since the start count as cached
     */
    std::optional<PlacedPrompt> placePrompt(const GroupRule &group,
                                            const PromptDemand &demand,
                                            std::span<const PrefixBlock> blocks,
                                            std::span<const std::string> tried,
                                            TimePoint now,
                                            Reason &reason,
                                            std::span<const PromptPart> parts = {});

    /** Whether any target of the group is known to run requests, of this entry or of others. */
    bool hasRunningRequests(const std::string &group, TimePoint now) const;
    /** Adds what the phases of a prompt took that one engine prefilled and another one decoded. */
    void recordPhaseDelays(const std::string &group, const PromptPhases &phases, TimePoint now);
    /** How long prompts of this entry wait for engines of each role, over some seconds. */
    RoleDelays roleDelays(const std::string &group) const;
    /** Whether the target may still be given work: it is registered, not leaving and not replaced. It may want a pause. */
    bool acceptsWork(const TargetRef &target, TimePoint now) const;

    /** The prefill has finished or will not take place. Compares its duration with the prediction to update the engine's slowness factor. */
    void finishPrefill(const WorkReservation &reservation, TimePoint now);
    /** The prefill has failed or was refused. It counts as a measurement only if it took longer than predicted. */
    void cancelPrefill(const WorkReservation &reservation, TimePoint now);
    /** Prefill rates of the group's engines as far as they are known; the initial ones for an unknown group. */
    PrefillRates prefillRates(const std::string &group) const;
    /** Targets whose predictions have a factor or whose statement is contradicted, slowest first. */
    std::vector<TargetSpeed> targetSpeeds(TimePoint now) const;
    /** Groups for which prefill rates were learned or adopted. */
    std::vector<GroupSpeed> groupSpeeds(TimePoint now) const;
    /** The work has ended; it no longer counts towards the load of the target. */
    void release(const WorkReservation &reservation, TimePoint now);
    /**
     * This entry has ordered a role change. The engine gets no work until its registration record shows the new role
     * or the time is over. Other entries learn of the change with the next peer update.
     */
    void recordRoleChange(std::string_view id, EngineRole role, TimePoint until);
    /** The engine refused a prompt without running it. */
    void recordPromptRefused(const TargetRef &target, TimePoint now);
    /** The engine accepted a prompt; ends the backoff after refusals. */
    void recordPromptAccepted(const TargetRef &target);
    /** Whether another engine could fetch the KV cache of a prompt that this engine prefilled for it. */
    void recordKvTransfer(const TargetRef &prefillEngine, bool fetched, TimePoint now);
    /** The target sent a complete response, so it is no longer suspect. */
    void recordResponse(const TargetRef &target, const std::optional<ReportedLoad> &load, TimePoint now);
    /** A request to the target or the connection to it failed; the target is suspect for a time. No-op if it is suspect already. */
    void recordFailure(const TargetRef &target, TimePoint now);
    /** The target, or another entry to which it said so, states that it is leaving. The statement outlives the target's registration record. */
    NoticeChange recordLeaving(const TargetRef &target, TimePoint now);
    /** The target wants no requests from this entry until the given time. */
    NoticeChange recordPause(const TargetRef &target, TimePoint until, TimePoint now);
    /** Why the target must not be sent anything now; empty if it may be. */
    std::optional<SendBar> sendBar(const TargetRef &target, TimePoint now) const;
    /**
     * If all targets of the group that could respond want no requests for a time, the time until the first one takes requests again.
     * Empty if one takes requests now, or all are leaving.
     */
    std::optional<Duration> shortestPause(const std::string &group, TimePoint now) const;
    /** Another target responded at the address, or the target accepts no more work: it gets none until its registration record shows a restart. */
    void markReplaced(const TargetRef &target);

    /** Applies the list of the parts that a target holds. Returns the number of records; none if this run of the target has ended. */
    std::size_t applyHeldParts(const TargetRef &target, std::span<const PrefixBlock> parts, TimePoint now);
    /** Whether the target, or another entry, has stated what the target's prefix cache holds. */
    bool isCacheKnown(const std::string &group, std::string_view id) const;
    /** What is known of the prefix caches of these targets, for another entry. */
    CacheKnowledge cacheKnowledge(std::span<const std::string> ids, TimePoint now) const;

    /** Adds this entry's load, the role changes it ordered and the blocks it routed since the last call to an update for the other entries. */
    void fillPeerUpdate(PeerUpdate &update, TimePoint now);
    /** Applies an update of another entry. */
    PeerUpdateEffect applyPeerUpdate(const PeerUpdate &update, TimePoint now);

private:
    struct Target;
    struct Shard;
    std::shared_ptr<Shard> shardOf(const std::string &group) const;
    std::vector<std::shared_ptr<Shard>> shards() const;
    /** Runs the function on a target under its shard's lock; does nothing if the target is not registered. */
    template<typename Function> void withTarget(const TargetRef &ref, Function function);
    /** Runs the function on the notice of the target's run under its shard's lock, whether the run is registered or not. */
    template<typename Function> NoticeChange updateNotice(const TargetRef &ref, TimePoint now, Function function);

    void fillGroupRates(PeerUpdate &update) const;
    void applyGroupRates(const PeerUpdate &update, TimePoint now);

    const TargetRegistrySettings m_settings;
    mutable std::mutex m_lock; //!< guards the two maps; each shard has its own lock
    std::map<std::string, std::shared_ptr<Shard>, std::less<>> m_shards; //!< by target group
    std::map<std::string, std::string, std::less<>> m_groups; //!< target group by target id
};

} // namespace snipehill
