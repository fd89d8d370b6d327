#include "targetregistryshard.h"

#include <algorithm>

namespace snipehill
{

bool TargetRegistry::acceptsWork(const TargetRef &ref, TimePoint now) const
{
    const auto bar = sendBar(ref, now);
    return !bar || bar->reason == SendBarReason::Paused;
}

template<typename Function> NoticeChange TargetRegistry::updateNotice(const TargetRef &ref, TimePoint now, Function function)
{
    const auto shard = shardOf(ref.group);
    if (!shard) {
        return {};
    }
    const std::lock_guard lock(shard->lock);
    const auto found = shard->targets.find(ref.id);
    if (found != shard->targets.end() && found->second.run == ref.run) {
        return {function(found->second.notice), found->second.entry.draining ? "leaving" : "ready"};
    }
    std::erase_if(shard->absentNotices, [now](const auto &notice) {
        return !isCurrent(notice.second, now);
    });
    return {function(shard->absentNotices[ref.run]), found == shard->targets.end() ? "none" : "other run"};
}

NoticeChange TargetRegistry::recordLeaving(const TargetRef &ref, TimePoint now)
{
    return updateNotice(ref, now, [now](TargetNotice &notice) {
        return snipehill::recordLeaving(notice, true, now);
    });
}

NoticeChange TargetRegistry::recordPause(const TargetRef &ref, TimePoint until, TimePoint now)
{
    return updateNotice(ref, now, [until](TargetNotice &notice) {
        return snipehill::recordPause(notice, until);
    });
}

std::optional<SendBar> TargetRegistry::sendBar(const TargetRef &ref, TimePoint now) const
{
    const auto shard = shardOf(ref.group);
    if (!shard) {
        return SendBar{};
    }
    const std::lock_guard lock(shard->lock);
    const auto found = shard->targets.find(ref.id);
    if (found == shard->targets.end() || !isUsable(found->second, now)) {
        return SendBar{};
    }
    return isPaused(found->second, now) ? std::optional(SendBar{SendBarReason::Paused, found->second.notice.pausedUntil}) : std::nullopt;
}

std::optional<Duration> TargetRegistry::shortestPause(const std::string &group, TimePoint now) const
{
    const auto shard = shardOf(group);
    if (!shard) {
        return std::nullopt;
    }
    const std::lock_guard lock(shard->lock);
    std::optional<Duration> shortest;
    for (const auto &[id, target] : shard->targets) {
        if (!isUsable(target, now) || target.entry.role == EngineRole::Prefill) {
            continue;
        }
        if (!isPaused(target, now)) {
            return std::nullopt;
        }
        shortest = std::min(shortest.value_or(Duration::max()), target.notice.pausedUntil - now);
    }
    return shortest;
}

} // namespace snipehill
