#pragma once

#include "sidecarattempt.h"

#include <array>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace snipehill
{

/**
 * The attempts that a sidecar knows, and the ids of those that must never run because their entry was told
 * "never seen". Sharded by id, each shard under its own lock.
 */
class AttemptTable
{
public:
    /** Adds the attempt; false when its id is known or must never run. */
    bool add(const AttemptPointer &attempt);
    /** The attempt, or null; an unknown id is marked so that it never runs. */
    AttemptPointer findOrTombstone(AttemptId attempt, TimePoint now);
    AttemptPointer find(AttemptId attempt) const;
    std::vector<AttemptPointer> all() const;
    /** Drops what nobody can ask for any more. */
    void sweep(TimePoint now);

private:
    struct Shard
    {
        mutable std::mutex lock;
        std::unordered_map<AttemptId, AttemptPointer> attempts;
        std::unordered_map<AttemptId, TimePoint> tombstones;
    };
    static constexpr std::size_t shardCount = 16;
    Shard &shardOf(AttemptId attempt);
    std::array<Shard, shardCount> m_shards;
};

} // namespace snipehill
