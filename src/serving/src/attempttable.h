#pragma once

#include "sidecarattempt.h"

#include <array>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace snipehill
{

/**
 * The attempts known to a sidecar, and tombstones for ids that must never run because their entry got the answer
 * "never seen". Sharded by id, with one lock per shard. Thread-safe.
 */
class AttemptTable
{
public:
    /** Adds the attempt; false if its id is already known or has a tombstone. */
    bool add(const AttemptPointer &attempt);
    /** Returns the attempt, or null after adding a tombstone for the unknown id, so that it never runs. */
    AttemptPointer findOrTombstone(AttemptId attempt, TimePoint now);
    AttemptPointer find(AttemptId attempt) const;
    std::vector<AttemptPointer> all() const;
    /** Removes attempts that no entry can resolve any more, and expired tombstones. */
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
