#pragma once

#include <cstdint>
#include <list>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

namespace snipehill
{

/** A block of a prompt, identified by the chained hash of itself and all blocks before it. */
struct PrefixBlock
{
    std::uint64_t hash = 0;
    std::uint64_t tokens = 0; //!< tokens in this block
};

/** Estimated content of one target's prefix cache, with LRU eviction. */
struct TargetPrefixes
{
    std::uint64_t incarnation = 0; //!< incarnation of the target's sidecar
    std::uint64_t cacheEpoch = 0; //!< see LoadReport::cacheEpoch
    std::uint64_t tokens = 0; //!< total of all blocks
    bool evicted = false; //!< a block was evicted for lack of capacity
    std::list<PrefixBlock> recent; //!< most recently used first
    std::unordered_map<std::uint64_t, std::list<PrefixBlock>::iterator> positions; //!< elements of recent by block hash
};

/** Transparent hash that looks up std::string keys by std::string_view. */
struct StringHash
{
    using is_transparent = void; // NOLINT(readability-identifier-naming) name required by the standard library
    std::size_t operator()(std::string_view text) const noexcept
    {
        return std::hash<std::string_view>{}(text);
    }
};

/** Bounded estimate of the prompt prefixes that each target has cached. Not thread-safe; the owner locks. */
struct PrefixIndex
{
    std::size_t maxHashesPerTarget = 4096; //!< capacity in blocks; the least recently used block is evicted first
    std::uint64_t maxTokensPerTarget = 0; //!< capacity in tokens; 0 for no limit
    std::unordered_map<std::string, TargetPrefixes, StringHash, std::equal_to<>> targets;
};

/** Records that a request with these leading blocks was sent to a target, which will cache them. Block sizes are unknown. */
void recordRoutedPrefix(PrefixIndex &index, std::string_view target, std::span<const std::uint64_t> hashes);

/** Records that a request with these leading blocks, whose sizes are known, was sent to a target. */
void recordRoutedBlocks(PrefixIndex &index, std::string_view target, std::span<const PrefixBlock> blocks);

/** Applies a cache event: the target stored or evicted a block. */
void recordCacheEvent(PrefixIndex &index, std::string_view target, std::uint64_t hash, bool stored);

/** Applies the cache epoch of a load report; a new epoch or incarnation invalidates all blocks of the target. */
void applyCacheEpoch(PrefixIndex &index, std::string_view target, std::uint64_t incarnation, std::uint64_t epoch);

/** Removes a target. */
void removeTarget(PrefixIndex &index, std::string_view target);

/** Whether the target has evicted blocks by this estimate, so that earlier knowledge of its cache is outdated. */
bool hasEvicted(const PrefixIndex &index, std::string_view target);

/** Number of leading blocks of a request that are expected in the target's cache. */
std::size_t cachedBlocks(const PrefixIndex &index, std::string_view target, std::span<const std::uint64_t> hashes);

/** Tokens of the leading blocks of a request that are expected in the target's cache. */
std::uint64_t cachedPromptTokens(const PrefixIndex &index, std::string_view target, std::span<const PrefixBlock> blocks);

} // namespace snipehill
