#pragma once

#include <process/peerupdate.h>

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace snipehill
{

/** Largest payload of a peer update that carries cache knowledge, bytes; a datagram holds 65,507. */
constexpr std::size_t maxUpdateBytes = 60000;

/** What an entry knows of the prefix caches of some targets, to be sent to other entries. */
struct CacheKnowledge
{
    std::vector<HeldParts> heldParts; //!< by the targets' own statements; an empty list says that the sender knows the target
    std::vector<RoutedBlocks> routedBlocks; //!< by the prompts that were routed to the targets
};

bool isEmpty(const CacheKnowledge &knowledge) noexcept;

/** Appends the second to the first. */
void append(CacheKnowledge &knowledge, const CacheKnowledge &added);

/** Moves as much from the queue to the update as takes at most the given number of bytes there; lists are split between updates. */
void moveToUpdate(CacheKnowledge &queue, PeerUpdate &update, std::size_t maxBytes);

/**
 * The targets that an entry owns: that it asks for their caches, and tells others of. Rendezvous hashing, so that entries which know
 * the same live entries agree, and the owners of most targets stay when an entry comes or goes.
 *
 * @param self instance of the entry
 * @param peers instances of the other entries that are considered
 */
std::vector<std::string> ownedTargets(std::string_view self, std::span<const std::string> peers, std::span<const std::string> targets);

} // namespace snipehill
