#include "attempttable.h"

namespace snipehill
{

namespace
{

constexpr seconds tombstoneLifetime{600}; //!< longer than any deadline: a Run message that arrives later has already expired

}

AttemptTable::Shard &AttemptTable::shardOf(AttemptId attempt)
{
    return m_shards[attempt % shardCount];
}

bool AttemptTable::add(const AttemptPointer &attempt)
{
    Shard &shard = shardOf(attempt->id());
    const std::lock_guard lock(shard.lock);
    return !shard.tombstones.contains(attempt->id()) && shard.attempts.emplace(attempt->id(), attempt).second;
}

AttemptPointer AttemptTable::findOrTombstone(AttemptId attempt, TimePoint now)
{
    Shard &shard = shardOf(attempt);
    const std::lock_guard lock(shard.lock);
    const auto found = shard.attempts.find(attempt);
    if (found != shard.attempts.end()) {
        return found->second;
    }
    shard.tombstones[attempt] = now;
    return nullptr;
}

AttemptPointer AttemptTable::find(AttemptId attempt) const
{
    const Shard &shard = m_shards[attempt % shardCount];
    const std::lock_guard lock(shard.lock);
    const auto found = shard.attempts.find(attempt);
    return found == shard.attempts.end() ? nullptr : found->second;
}

std::vector<AttemptPointer> AttemptTable::all() const
{
    std::vector<AttemptPointer> attempts;
    for (const Shard &shard : m_shards) {
        const std::lock_guard lock(shard.lock);
        for (const auto &[id, attempt] : shard.attempts) {
            attempts.push_back(attempt);
        }
    }
    return attempts;
}

void AttemptTable::sweep(TimePoint now)
{
    for (Shard &shard : m_shards) {
        const std::lock_guard lock(shard.lock);
        std::erase_if(shard.attempts, [now](const auto &entry) {
            return entry.second->isDisposable(now);
        });
        std::erase_if(shard.tombstones, [now](const auto &entry) {
            return now - entry.second > tombstoneLifetime;
        });
    }
}

} // namespace snipehill
