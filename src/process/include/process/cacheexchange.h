#pragma once

#include <process/cacheknowledge.h>
#include <process/targetregistry.h>

#include <cstddef>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace snipehill
{

/** An entry that runs for longer has learned from its own prompts and from peer updates what the engines have cached. */
constexpr seconds establishedTime{5};

/** Another entry, as far as it matters for the exchange of cache knowledge. */
struct CachePeer
{
    std::uint64_t incarnation = 0;
    TimePoint firstHeard{}; //!< of this incarnation
    TimePoint lastHeard{};
    CacheKnowledge queue; //!< to be sent to this peer alone
};

/**
 * State of an entry for learning what engines hold in their prefix caches, from the engines and from other entries, and for telling other
 * entries. Not thread-safe.
 *
 * Addresses the start of all entries at once, when each engine must be asked, but by one entry only, as a call delays its work; and the
 * start of one entry among others, which learns from these.
 */
struct CacheExchange
{
    std::string self; //!< instance of this entry
    TimePoint started{};
    std::map<std::string, CachePeer> peers; //!< by instance
    std::set<std::string> answered; //!< engines whose lists this entry has received
    CacheKnowledge announcements; //!< for all peers
};

/** What was queued for a peer, for logs. */
struct QueuedKnowledge
{
    std::size_t targets = 0;
    std::size_t parts = 0;
    std::size_t blocks = 0;
};

/**
 * Records that an update of another entry was received. A new incarnation of it gets what this entry knows of the engines that it owns among
 * the established entries. While this entry is not established itself, the peer gets the lists that it has received from engines.
 *
 * @param engines ids of all engines
 */
QueuedKnowledge
recordPeer(CacheExchange &exchange, const TargetRegistry &registry, const Incarnation &peer, std::span<const std::string> engines, TimePoint now);

/** The engines that a starting entry asks: those that it owns among the live entries, without those that other entries have told it of. */
std::vector<TargetEntry> enginesToAsk(const CacheExchange &exchange, const TargetRegistry &registry, const std::vector<TargetEntry> &engines, TimePoint now);

/** Applies the list of an engine and announces it with the next peer updates. Returns the number of parts. */
std::size_t recordAnswer(CacheExchange &exchange, TargetRegistry &registry, const TargetRef &engine, std::span<const PrefixBlock> parts, TimePoint now);

} // namespace snipehill
