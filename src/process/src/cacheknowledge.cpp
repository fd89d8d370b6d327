#include <process/cacheknowledge.h>

#include <request/targetchoice.h>

#include <algorithm>
#include <iterator>

namespace snipehill
{

namespace
{

constexpr std::size_t listBytes = 24; // upper bound of the encoded target, field tags and lengths of one list
constexpr std::size_t blockBytes = 13; // of a hash and a number of tokens

/** Moves blocks from the front of the lists; returns the number of bytes that are left. */
template<typename List> std::size_t moveLists(std::vector<List> &from, std::vector<PrefixBlock> List::*blocks, std::vector<List> &to, std::size_t maxBytes)
{
    std::size_t moved = 0;
    while (moved < from.size() && maxBytes >= listBytes + blockBytes) {
        std::vector<PrefixBlock> &source = from[moved].*blocks;
        maxBytes -= listBytes;
        const std::size_t count = std::min(source.size(), maxBytes / blockBytes);
        maxBytes -= count * blockBytes;
        if (count == source.size()) {
            to.push_back(std::move(from[moved]));
            ++moved;
            continue;
        }
        const auto end = source.begin() + static_cast<std::ptrdiff_t>(count);
        List part{.target = from[moved].target};
        (part.*blocks).assign(source.begin(), end);
        to.push_back(std::move(part));
        source.erase(source.begin(), end);
        break;
    }
    from.erase(from.begin(), from.begin() + static_cast<std::ptrdiff_t>(moved));
    return from.empty() ? maxBytes : 0;
}

} // namespace

bool isEmpty(const CacheKnowledge &knowledge) noexcept
{
    return knowledge.heldParts.empty() && knowledge.routedBlocks.empty();
}

void append(CacheKnowledge &knowledge, const CacheKnowledge &added)
{
    std::copy(added.heldParts.begin(), added.heldParts.end(), std::back_inserter(knowledge.heldParts));
    std::copy(added.routedBlocks.begin(), added.routedBlocks.end(), std::back_inserter(knowledge.routedBlocks));
}

void moveToUpdate(CacheKnowledge &queue, PeerUpdate &update, std::size_t maxBytes)
{
    const std::size_t left = moveLists(queue.heldParts, &HeldParts::parts, update.heldParts, maxBytes);
    moveLists(queue.routedBlocks, &RoutedBlocks::blocks, update.routedBlocks, left);
}

std::vector<std::string> ownedTargets(std::string_view self, std::span<const std::string> peers, std::span<const std::string> targets)
{
    std::vector<TargetMember> members{{std::string(self), {}}};
    for (const std::string &peer : peers) {
        members.push_back({peer, {}});
    }
    std::vector<std::string> owned;
    std::copy_if(targets.begin(), targets.end(), std::back_inserter(owned), [&members](const std::string &target) {
        return rendezvousOwner(target, members) == std::size_t(0);
    });
    return owned;
}

} // namespace snipehill
