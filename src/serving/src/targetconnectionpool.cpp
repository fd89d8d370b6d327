#include "targetconnectionpool.h"

namespace snipehill
{

HttpConnectionPointer TargetConnectionPool::take(const Endpoint &target, milliseconds maxIdle, std::uint64_t requestFingerprint)
{
    const TimePoint now = Clock::now();
    const std::lock_guard lock(m_lock);
    const auto found = m_idle.find(target);
    if (found == m_idle.end()) {
        return nullptr;
    }
    std::deque<Idle> &idle = found->second;
    while (!idle.empty()) {
        if (now - idle.back().since > maxIdle) {
            return nullptr;
        }
        Idle newest = std::move(idle.back());
        idle.pop_back();
        if (now < newest.until && !newest.connection->hasRefused(requestFingerprint) && newest.connection->isIdle()) {
            return std::move(newest.connection);
        }
    }
    return nullptr;
}

void TargetConnectionPool::put(HttpConnectionPointer connection, milliseconds usable)
{
    const TimePoint now = Clock::now();
    const Endpoint target = connection->peer();
    const std::lock_guard lock(m_lock);
    m_idle[target].push_back({std::move(connection), now, now + usable});
}

void TargetConnectionPool::sweep(TimePoint now)
{
    const std::lock_guard lock(m_lock);
    for (auto &[target, idle] : m_idle) {
        std::erase_if(idle, [now](const Idle &entry) {
            return now >= entry.until || !entry.connection->isIdle();
        });
    }
    std::erase_if(m_idle, [](const auto &item) {
        return item.second.empty();
    });
}

} // namespace snipehill
