#include <request/heldparts.h>

#include <algorithm>
#include <iterator>

namespace snipehill
{

namespace
{

constexpr seconds expiryInterval{1};

bool isExpired(const HeldPart &part, TimePoint now)
{
    return now - part.lastUsed >= heldPartLifetime;
}

/** The record of a part; null if there is none in force. */
const HeldPart *findPart(const TargetHeldParts &held, std::uint64_t hash, TimePoint now)
{
    const auto found = held.parts.find(hash);
    return found == held.parts.end() || isExpired(found->second, now) ? nullptr : &found->second;
}

} // namespace

std::size_t replaceHeldParts(TargetHeldParts &held, std::span<const PrefixBlock> list, TimePoint now)
{
    std::vector<PrefixBlock> large;
    std::copy_if(list.begin(), list.end(), std::back_inserter(large), [](const PrefixBlock &part) {
        return part.tokens >= minHeldPartTokens;
    });
    if (large.size() > maxHeldParts) {
        const auto end = large.begin() + static_cast<std::ptrdiff_t>(maxHeldParts);
        std::nth_element(large.begin(), end, large.end(), [](const PrefixBlock &left, const PrefixBlock &right) {
            return left.tokens > right.tokens;
        });
        large.erase(end, large.end());
    }
    held.parts.clear();
    mergeHeldParts(held, large, now);
    return held.parts.size();
}

std::size_t mergeHeldParts(TargetHeldParts &held, std::span<const PrefixBlock> list, TimePoint now)
{
    held.known = true;
    std::size_t added = 0;
    for (const PrefixBlock &part : list) {
        if (part.tokens < minHeldPartTokens) {
            continue;
        }
        const auto known = held.parts.find(part.hash);
        if (known != held.parts.end()) {
            known->second = {std::max(known->second.tokens, part.tokens), now};
        } else if (held.parts.size() < maxHeldParts) {
            held.parts[part.hash] = {part.tokens, now};
            ++added;
        }
    }
    return added;
}

std::uint64_t heldPromptTokens(const TargetHeldParts &held, std::span<const PromptPart> parts, std::span<const PrefixBlock> blocks, TimePoint now)
{
    if (held.parts.empty()) {
        return 0;
    }
    std::uint64_t tokens = 0;
    std::uint64_t unrecorded = 0; // of small parts since the last held one
    for (std::size_t i = 0; i < std::min(parts.size(), blocks.size()); ++i) {
        if (blocks[i].tokens < minHeldPartTokens) {
            unrecorded += blocks[i].tokens;
            continue;
        }
        const HeldPart *part = findPart(held, parts[i].hash, now);
        if (part == nullptr) {
            break;
        }
        tokens += unrecorded + std::min(part->tokens, blocks[i].tokens);
        unrecorded = 0;
        if (part->tokens < blocks[i].tokens) {
            break;
        }
    }
    return tokens;
}

void recordPartUse(TargetHeldParts &held, std::span<const PromptPart> parts, TimePoint now)
{
    if (held.parts.empty()) {
        return;
    }
    for (const PromptPart &part : parts) {
        const auto known = held.parts.find(part.hash);
        if (known != held.parts.end() && !isExpired(known->second, now)) {
            known->second.lastUsed = now;
        }
    }
}

void expireHeldParts(TargetHeldParts &held, TimePoint now)
{
    if (held.parts.empty() || now - held.lastExpiry < expiryInterval) {
        return;
    }
    held.lastExpiry = now;
    std::erase_if(held.parts, [now](const auto &part) {
        return isExpired(part.second, now);
    });
}

std::vector<PrefixBlock> listHeldParts(const TargetHeldParts &held, TimePoint now)
{
    std::vector<PrefixBlock> list;
    for (const auto &[hash, part] : held.parts) {
        if (!isExpired(part, now)) {
            list.push_back({hash, part.tokens});
        }
    }
    return list;
}

} // namespace snipehill
