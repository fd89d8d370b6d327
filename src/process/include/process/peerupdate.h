#pragma once

#include <core/ids.h>
#include <core/loadreport.h>
#include <core/reason.h>
#include <core/time.h>
#include <process/usage.h>
#include <request/crashevidence.h>
#include <request/prefixindex.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipehill
{

/** Hash that identifies a target in peer updates. A collision makes load estimates less accurate but breaks no guarantee. */
using TargetHash = std::uint32_t;

/** Hash of a target id; the same in every process. */
TargetHash targetHash(std::string_view id) noexcept;

/** Load that one entry has placed on one target. */
struct EntryLoad
{
    Duration backlog{}; //!< remaining prefill time
    std::uint32_t running = 0; //!< requests in flight
};

/** Prompt blocks that an entry has routed to one target, which therefore has them in its KV cache. */
struct RoutedBlocks
{
    TargetHash target = 0;
    std::vector<PrefixBlock> blocks;
};

/** Role change that an entry has ordered and that has not finished. */
struct PendingRoleChange
{
    EngineRole role = EngineRole::Prefill;
    Duration remaining{}; //!< upper bound of the time until the change is done
};

/** How long work takes on a target by its own statement. */
struct StatedPace
{
    std::uint32_t percent = 100; //!< 100: as usual
    Duration age{}; //!< since the sender read the statement
};

/** Prefill rates of the engines of a group, as measured by one entry. */
struct MeasuredGroupRates
{
    double fixedMs = 0; //!< latency of a prompt that finds an engine idle, without its tokens
    double tokensPerMs = 0; //!< of an engine in the prefill role
    std::uint32_t samples = 0;
};

/** Parts of prompts that one engine holds in its prefix cache, whatever precedes them. */
struct HeldParts
{
    TargetHash target = 0;
    std::vector<PrefixBlock> parts; //!< hash of model and part, see PromptPart::hash
};

/** Hash that identifies a workspace or a target group in peer updates. */
using NameHash = std::uint32_t;

/** Hash of the name of a workspace or target group; the same in every process. */
NameHash nameHash(std::string_view name) noexcept;

/** State that each entry sends to all others at intervals, one datagram each. A lost update only makes estimates less accurate. */
struct PeerUpdate
{
    Incarnation sender;
    std::map<TargetHash, EntryLoad> loads; //!< targets without load are left out
    std::vector<RoutedBlocks> routedBlocks; //!< since the previous update
    std::vector<CrashReport> crashes; //!< crashes of targets, see takeCrashReports()
    std::map<WindowNumber, UsageByWorkspace> usage; //!< request counts that the sender has not published to the store yet
    std::map<WindowNumber, UsageByWorkspace> finalUsage; //!< request counts of windows that the sender has read back as closed
    std::map<TargetHash, PendingRoleChange> roleChanges; //!< changes that the sender has ordered
    std::map<std::uint64_t, Duration> leavingRuns; //!< runs of targets that told the sender that they are leaving, and how long ago; see TargetRef::run
    std::map<NameHash, std::uint64_t> quotaUse; //!< admitted by the sender since its start, by workspace, in the unit of its quota; see QuotaTable
    std::map<TargetHash, StatedPace> targetPaces; //!< read by the sender since the previous update
    std::map<NameHash, MeasuredGroupRates> groupRates; //!< by target group
    std::vector<HeldParts> heldParts; //!< what engines have stated of their prefix caches
    std::chrono::system_clock::time_point wallTime{}; //!< by the sender's usage clock; the epoch: no statement
    WindowNumber openWindow = 0; //!< all counts of earlier windows are published or in this update; 0: no statement
};

/** Serialises an update to the payload of one datagram. */
std::string encodePeerUpdate(const PeerUpdate &update);

/** Parses a datagram; empty with a reason if it is malformed or names no sender. */
std::optional<PeerUpdate> decodePeerUpdate(std::string_view bytes, Reason &reason);

} // namespace snipehill
