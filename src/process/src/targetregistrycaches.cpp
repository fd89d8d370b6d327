#include "targetregistryshard.h"

#include <algorithm>
#include <utility>

namespace snipehill
{

namespace
{

constexpr std::size_t maxSmallBlocks = 64; // the beginnings that prompts share are among the most recently used blocks

/**
 * Blocks that a target has cached as prompts were routed to it, most recently used first: all that are large, and of the others
 * only the most recent, because long prompts may have a small shared beginning before their large parts.
 */
std::vector<PrefixBlock> listRoutedBlocks(const PrefixIndex &index, std::string_view id)
{
    std::vector<PrefixBlock> blocks;
    const auto known = index.targets.find(id);
    if (known == index.targets.end()) {
        return blocks;
    }
    std::size_t small = 0;
    for (const PrefixBlock &block : known->second.recent) {
        if (block.tokens >= minHeldPartTokens || small++ < maxSmallBlocks) {
            blocks.push_back(block);
        }
    }
    return blocks;
}

} // namespace

std::size_t TargetRegistry::applyHeldParts(const TargetRef &ref, std::span<const PrefixBlock> parts, TimePoint now)
{
    const auto shard = shardOf(ref.group);
    if (!shard) {
        return 0;
    }
    const std::lock_guard lock(shard->lock);
    const auto found = shard->targets.find(ref.id);
    if (found == shard->targets.end() || found->second.run != ref.run) {
        return 0;
    }
    return replaceHeldParts(found->second.held, parts, now);
}

bool TargetRegistry::isCacheKnown(const std::string &group, std::string_view id) const
{
    const auto shard = shardOf(group);
    if (!shard) {
        return false;
    }
    const std::lock_guard lock(shard->lock);
    const auto found = shard->targets.find(id);
    return found != shard->targets.end() && found->second.held.known;
}

CacheKnowledge TargetRegistry::cacheKnowledge(std::span<const std::string> ids, TimePoint now) const
{
    CacheKnowledge knowledge;
    for (const auto &shard : shards()) {
        const std::lock_guard lock(shard->lock);
        for (const std::string &id : ids) {
            const auto target = shard->targets.find(id);
            if (target == shard->targets.end()) {
                continue;
            }
            const bool evicted = hasEvicted(shard->prefixIndex, id);
            knowledge.heldParts.push_back({target->second.hash, evicted ? std::vector<PrefixBlock>() : listHeldParts(target->second.held, now)});
            std::vector<PrefixBlock> blocks = listRoutedBlocks(shard->prefixIndex, id);
            if (!blocks.empty()) {
                knowledge.routedBlocks.push_back({target->second.hash, std::move(blocks)});
            }
        }
    }
    return knowledge;
}

} // namespace snipehill
