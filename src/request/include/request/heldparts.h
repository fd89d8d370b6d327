#pragma once

#include <core/time.h>
#include <request/directrequest.h>
#include <request/prefixindex.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace snipehill
{

/** Parts with fewer tokens are not recorded: to prefill them takes about the fixed time of one prompt, and there are many of them. */
constexpr std::uint64_t minHeldPartTokens = 512;

/** Records of one target; a list that names more is false, as a cache of 4096 such parts has over 2 million tokens. */
constexpr std::size_t maxHeldParts = 4096;

/** A record that no prompt has used for this time is dropped: the engine may have evicted the part in the meantime. */
constexpr seconds heldPartLifetime{20};

/** A part of prompts that a target has stated to hold. */
struct HeldPart
{
    std::uint64_t tokens = 0;
    TimePoint lastUsed{}; //!< when it was stated, or placed on the target by this entry, whichever is later
};

/**
 * Parts of prompts that one target holds in its prefix cache by its own statement, whatever precedes them in a prompt. Complements
 * PrefixIndex, which knows only prompts that were routed since this entry started. Belongs to one run of the target. Not thread-safe.
 *
 * Addresses the load after a start of many entries at once: each long prompt whose shared part is taken for not cached costs its engine
 * several times as much as one whose shared part is known, and the engines were at full load before the start.
 */
struct TargetHeldParts
{
    bool known = false; //!< a statement was received, possibly of an empty cache
    std::unordered_map<std::uint64_t, HeldPart> parts; //!< by PromptPart::hash
    TimePoint lastExpiry{};
};

/** Replaces the records by a target's list; of an overlong list the largest parts are kept. Returns the number of records. */
std::size_t replaceHeldParts(TargetHeldParts &held, std::span<const PrefixBlock> list, TimePoint now);

/** Adds records from another entry, as far as there is room. Returns the number of new records. */
std::size_t mergeHeldParts(TargetHeldParts &held, std::span<const PrefixBlock> list, TimePoint now);

/**
 * Leading tokens of a prompt that the target holds: of its parts from the first one on that are all held. A part that is too small
 * to be recorded counts as held if a later part of the prompt is held, as a target that holds a part has computed it after a beginning
 * of the same kind. A part held with fewer tokens than the prompt has counts with these and ends the sequence.
 *
 * @param blocks sizes of the parts, in the same order; additional elements of either are ignored
 */
std::uint64_t heldPromptTokens(const TargetHeldParts &held, std::span<const PromptPart> parts, std::span<const PrefixBlock> blocks, TimePoint now);

/** Records that a prompt with these parts was placed on the target, so that the records of its parts are kept. Adds no records. */
void recordPartUse(TargetHeldParts &held, std::span<const PromptPart> parts, TimePoint now);

/** Drops records past their lifetime. Checks them at most once a second, so that it may be called often. */
void expireHeldParts(TargetHeldParts &held, TimePoint now);

/** Records that have not expired, as sent to other entries. */
std::vector<PrefixBlock> listHeldParts(const TargetHeldParts &held, TimePoint now);

} // namespace snipehill
