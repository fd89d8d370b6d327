#pragma once

#include <core/ids.h>
#include <core/loadreport.h>
#include <core/reason.h>
#include <core/time.h>
#include <process/usage.h>
#include <request/prefixindex.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipehill
{

/** Short name of a target between entries; a clash costs accuracy, never a rule. */
using TargetHash = std::uint32_t;

/** Short name of a target id. */
TargetHash targetHash(std::string_view id) noexcept;

/** Load that one entry has put on one target. */
struct EntryLoad
{
    Duration backlog{}; //!< reading still to do
    std::uint32_t running = 0;
};

/** Prompt blocks that an entry has sent to one target. */
struct RoutedBlocks
{
    TargetHash target = 0;
    std::vector<PrefixBlock> blocks;
};

/** Role that an engine was ordered into. */
struct PendingRoleChange
{
    EngineRole role = EngineRole::Prefill;
    Duration remaining{}; //!< longest that the change may still take
};

/** What one entry tells the others every now and then. Losing one costs accuracy only. */
struct PeerUpdate
{
    Incarnation sender;
    std::map<TargetHash, EntryLoad> loads; //!< targets without load are left out
    std::vector<RoutedBlocks> routedBlocks; //!< since the last news
    std::map<std::uint64_t, std::uint32_t> losses; //!< targets lost so far by request fingerprint, since the last news
    std::map<WindowNumber, UsageByWorkspace> usage; //!< counts that the sender could not publish yet
    std::map<TargetHash, PendingRoleChange> roleChanges; //!< those that the sender has ordered
    WindowNumber openWindow = 0; //!< counts of earlier windows are published or told here; 0: nothing is said
};

/** Bytes of one datagram. */
std::string encodePeerUpdate(const PeerUpdate &update);

/** Empty with a reason when the bytes are no news. */
std::optional<PeerUpdate> decodePeerUpdate(std::string_view bytes, Reason &reason);

} // namespace snipehill
