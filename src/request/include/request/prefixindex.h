#pragma once

#include <cstdint>
#include <list>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

namespace snipehill
{

/** A leading piece of a prompt, named by the hash of itself and all pieces before it. */
struct PrefixBlock
{
    std::uint64_t hash = 0;
    std::uint64_t tokens = 0; //!< of this piece alone
};

/** Blocks believed to be in one target's prefix cache, most recently used first. */
struct TargetPrefixes
{
    std::uint64_t incarnation = 0; //!< of the sidecar whose target holds the cache
    std::uint64_t cacheEpoch = 0; //!< see LoadReport::cacheEpoch
    std::uint64_t tokens = 0; //!< of all blocks together
    std::list<PrefixBlock> recent;
    std::unordered_map<std::uint64_t, std::list<PrefixBlock>::iterator> positions;
};

/** Hash and equality that look up std::string keys by std::string_view. */
struct StringHash
{
    using is_transparent = void; // NOLINT(readability-identifier-naming) name demanded by the standard library
    std::size_t operator()(std::string_view text) const noexcept
    {
        return std::hash<std::string_view>{}(text);
    }
};

/** Bounded knowledge of which prompt prefixes each target has cached. Not thread safe; the owner locks. */
struct PrefixIndex
{
    std::size_t maxHashesPerTarget = 4096; //!< the least recently used hash is dropped beyond this
    std::uint64_t maxTokensPerTarget = 0; //!< likewise, beyond so many tokens; 0: not bounded
    std::unordered_map<std::string, TargetPrefixes, StringHash, std::equal_to<>> targets;
};

/** Notes that a request with these leading blocks was sent to a target, which will cache them. */
void recordRoutedPrefix(PrefixIndex &index, std::string_view target, std::span<const std::uint64_t> hashes);

/** The same for blocks of known and different sizes. */
void recordRoutedBlocks(PrefixIndex &index, std::string_view target, std::span<const PrefixBlock> blocks);

/** Notes a cache event: the target stored a block, or removed it. */
void recordCacheEvent(PrefixIndex &index, std::string_view target, std::uint64_t hash, bool stored);

/** Notes the cache epoch of a load report; a new epoch or incarnation voids what is known of the target. */
void applyCacheEpoch(PrefixIndex &index, std::string_view target, std::uint64_t incarnation, std::uint64_t epoch);

/** Drops a target that has left. */
void removeTarget(PrefixIndex &index, std::string_view target);

/** Number of leading blocks of a request that the target is believed to hold. */
std::size_t cachedBlocks(const PrefixIndex &index, std::string_view target, std::span<const std::uint64_t> hashes);

/** Tokens of the leading blocks of a request that the target is believed to hold. */
std::uint64_t cachedPromptTokens(const PrefixIndex &index, std::string_view target, std::span<const PrefixBlock> blocks);

} // namespace snipehill
