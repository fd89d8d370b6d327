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

void insertHash(TargetPrefixes &prefixes, std::uint64_t hash, std::size_t limit)
{
    const auto known = prefixes.positions.find(hash);
    if (known != prefixes.positions.end()) {
        prefixes.recent.splice(prefixes.recent.begin(), prefixes.recent, known->second);
        return;
    }
    if (prefixes.recent.size() >= limit) {
        prefixes.positions.erase(prefixes.recent.back());
        prefixes.recent.pop_back();
    }
    prefixes.recent.push_front(hash);
    prefixes.positions[hash] = prefixes.recent.begin();
}

void removeHash(TargetPrefixes &prefixes, std::uint64_t hash)
{
    const auto known = prefixes.positions.find(hash);
    if (known != prefixes.positions.end()) {
        prefixes.recent.erase(known->second);
        prefixes.positions.erase(known);
    }
}

} // namespace

void noteRouted(PrefixIndex &index, std::string_view target, std::span<const std::uint64_t> hashes)
{
    TargetPrefixes &prefixes = prefixesOf(index, target);
    // Last block first: the leading blocks stay longest, since a block is of no use without those before it.
    for (auto hash = hashes.rbegin(); hash != hashes.rend(); ++hash) {
        insertHash(prefixes, *hash, index.hashesPerTarget);
    }
}

void noteCacheEvent(PrefixIndex &index, std::string_view target, std::uint64_t hash, bool stored)
{
    TargetPrefixes &prefixes = prefixesOf(index, target);
    if (stored) {
        insertHash(prefixes, hash, index.hashesPerTarget);
    } else {
        removeHash(prefixes, hash);
    }
}

void noteCacheEpoch(PrefixIndex &index, std::string_view target, std::uint64_t incarnation, std::uint64_t epoch)
{
    TargetPrefixes &prefixes = prefixesOf(index, target);
    if (prefixes.incarnation == incarnation && prefixes.cacheEpoch == epoch) {
        return;
    }
    prefixes.recent.clear();
    prefixes.positions.clear();
    prefixes.incarnation = incarnation;
    prefixes.cacheEpoch = epoch;
}

void forgetTarget(PrefixIndex &index, std::string_view target)
{
    const auto known = index.targets.find(target);
    if (known != index.targets.end()) {
        index.targets.erase(known);
    }
}

std::size_t coveredBlocks(const PrefixIndex &index, std::string_view target, std::span<const std::uint64_t> hashes)
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

} // namespace snipehill
