#include "targetstatements.h"

#include <process/log.h>
#include <process/metrics.h>

#include <array>

namespace snipehill
{

const char *toString(SendPurpose purpose) noexcept
{
    static constexpr std::array names{"run", "retry", "takeover", "prefill", "decode", "role_order", "kv_release", "kv_list"};
    return names[static_cast<std::size_t>(purpose)];
}

void recordStatement(TargetRegistry &targets,
                     const TargetRef &target,
                     const TargetStatement &statement,
                     unsigned status,
                     SendPurpose purpose,
                     std::string_view requestId)
{
    const TimePoint now = Clock::now();
    if (statement.leaving) {
        const NoticeChange change = targets.recordLeaving(target, now);
        processMetrics().count(Counter::TargetStatements, {"leaving"});
        if (change.changed) {
            logDistinctEvent(LogComponent::Entry,
                             LogLevel::Info,
                             "target states that it leaves",
                             {{"target", target.id},
                              {"run", target.run},
                              {"status", status},
                              {"purpose", toString(purpose)},
                              {"request", requestId},
                              {"record", change.record}});
        }
    }
    if (statement.pause) {
        const NoticeChange change = targets.recordPause(target, now + statement.pause->length, now);
        processMetrics().count(Counter::TargetStatements, {"paused"});
        logDistinctEvent(LogComponent::Entry,
                         LogLevel::Info,
                         "target asks for a pause",
                         {{"target", target.id},
                          {"run", target.run},
                          {"status", status},
                          {"purpose", toString(purpose)},
                          {"request", requestId},
                          {"asked", statement.pause->asked},
                          {"pauseMs", statement.pause->length.count()},
                          {"adjusted", statement.pause->adjusted},
                          {"extends", change.changed ? 1 : 0}});
    }
}

bool maySendTo(const TargetRegistry &targets, const TargetRef &target, SendPurpose purpose, std::string_view requestId)
{
    const auto bar = targets.sendBar(target, Clock::now());
    if (!bar) {
        return true;
    }
    processMetrics().count(Counter::BarredSends, {toString(bar->reason), toString(purpose)});
    logRequestEvent(LogComponent::Entry,
                    LogLevel::Info,
                    "not sent, the target wants no requests",
                    requestId,
                    {{"target", target.id}, {"why", toString(bar->reason)}, {"purpose", toString(purpose)}});
    return false;
}

} // namespace snipehill
