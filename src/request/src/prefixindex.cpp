#include <request/prefixindex.h>

#include <iterator>

namespace snipehill
{

namespace
{

TargetPrefixes &prefixesOf(PrefixIndex &index, std::string_view target)
{
    const auto known = index.targets.find(target);
    return known != index.targets.end() ? known->second : index.targets[std::string(target)];
}

void dropOldest(TargetPrefixes &prefixes)
{
    prefixes.tokens -= prefixes.recent.back().tokens;
    prefixes.positions.erase(prefixes.recent.back().hash);
    prefixes.recent.pop_back();
    prefixes.evicted = true;
}

void insertBlock(const PrefixIndex &index, TargetPrefixes &prefixes, const PrefixBlock &block)
{
    const auto known = prefixes.positions.find(block.hash);
    if (known != prefixes.positions.end()) {
        prefixes.recent.splice(prefixes.recent.begin(), prefixes.recent, known->second);
        return;
    }
    prefixes.recent.push_front(block);
    prefixes.positions[block.hash] = prefixes.recent.begin();
    prefixes.tokens += block.tokens;
    while (prefixes.recent.size() > index.maxHashesPerTarget || (index.maxTokensPerTarget > 0 && prefixes.tokens > index.maxTokensPerTarget)) {
        dropOldest(prefixes);
    }
}

void removeHash(TargetPrefixes &prefixes, std::uint64_t hash)
{
    const auto known = prefixes.positions.find(hash);
    if (known != prefixes.positions.end()) {
        prefixes.tokens -= known->second->tokens;
        prefixes.recent.erase(known->second);
        prefixes.positions.erase(known);
    }
}

} // namespace

void recordRoutedPrefix(PrefixIndex &index, std::string_view target, std::span<const std::uint64_t> hashes)
{
    TargetPrefixes &prefixes = prefixesOf(index, target);
    // Insert the last block first, so that leading blocks are evicted last: a block is useless without those before it.
    for (auto hash = hashes.rbegin(); hash != hashes.rend(); ++hash) {
        insertBlock(index, prefixes, {*hash, 0});
    }
}

void recordRoutedBlocks(PrefixIndex &index, std::string_view target, std::span<const PrefixBlock> blocks)
{
    TargetPrefixes &prefixes = prefixesOf(index, target);
    for (auto block = blocks.rbegin(); block != blocks.rend(); ++block) {
        insertBlock(index, prefixes, *block);
    }
}

void recordCacheEvent(PrefixIndex &index, std::string_view target, std::uint64_t hash, bool stored)
{
    TargetPrefixes &prefixes = prefixesOf(index, target);
    if (stored) {
        insertBlock(index, prefixes, {hash, 0});
    } else {
        removeHash(prefixes, hash);
    }
}

void applyCacheEpoch(PrefixIndex &index, std::string_view target, std::uint64_t incarnation, std::uint64_t epoch)
{
    TargetPrefixes &prefixes = prefixesOf(index, target);
    if (prefixes.incarnation == incarnation && prefixes.cacheEpoch == epoch) {
        return;
    }
    prefixes.recent.clear();
    prefixes.positions.clear();
    prefixes.tokens = 0;
    prefixes.evicted = false;
    prefixes.incarnation = incarnation;
    prefixes.cacheEpoch = epoch;
}

void removeTarget(PrefixIndex &index, std::string_view target)
{
    const auto known = index.targets.find(target);
    if (known != index.targets.end()) {
        index.targets.erase(known);
    }
}

bool hasEvicted(const PrefixIndex &index, std::string_view target)
{
    const auto known = index.targets.find(target);
    return known != index.targets.end() && known->second.evicted;
}

std::size_t cachedBlocks(const PrefixIndex &index, std::string_view target, std::span<const std::uint64_t> hashes)
{
    const auto known = index.targets.find(target);
    if (known == index.targets.end()) {
        return 0;
    }
    std::size_t covered = 0;
    while (covered < hashes.size() && known->second.positions.contains(hashes[covered])) {
        ++covered;
    }
    return covered;
}

std::uint64_t cachedPromptTokens(const PrefixIndex &index, std::string_view target, std::span<const PrefixBlock> blocks)
{
    const auto known = index.targets.find(target);
    std::uint64_t tokens = 0;
    for (const PrefixBlock &block : blocks) {
        if (known == index.targets.end() || !known->second.positions.contains(block.hash)) {
            break;
        }
        tokens += block.tokens;
    }
    return tokens;
}

} // namespace snipehill
