#include "leasemanagerstate.h"

#include <process/log.h>
#include <process/metrics.h>

#include <algorithm>
#include <utility>

namespace snipehill
{

namespace
{

void recordLeaseChange(Offset offset, const LeaseRecord &record)
{
    if (record.action == LeaseAction::Renew) {
        processMetrics().count(Counter::LeaseChanges, {record.scope, "renewed"});
        return;
    }
    const char *change = record.action == LeaseAction::Claim ? "claimed" : "released";
    processMetrics().count(Counter::LeaseChanges, {record.scope, change});
    logEvent(
        LogComponent::Lease, LogLevel::Info, change, {{"scope", record.scope}, {"holder", record.holder.instance}, {"offset", offset}, {"era", record.era}});
}

} // namespace

bool LeaseManager::State::tellsEra() const
{
    return era && (log.era || *era > 0);
}

LeaseStateMachine LeaseManager::State::startMachine(const std::string &scope) const
{
    LeaseStateMachine machine(scope, self, settings);
    if (tellsEra()) {
        machine.onEra(*era, eraKnownSince);
    }
    return machine;
}

bool LeaseManager::State::learnEra(LogEra told, TimePoint now)
{
    if (era && told <= *era) {
        return told == *era;
    }
    if (era) {
        processMetrics().count(Counter::LogEraEvents, {"leases_restarted"});
        for (const auto &[scope, holder] : holders) {
            const auto lease = table.scopes.find(scope);
            logEvent(LogComponent::Lease,
                     LogLevel::Warning,
                     "log came back from an older copy, reading the leases from the start",
                     {{"stream", streams::leases},
                      {"era", told},
                      {"eraBefore", *era},
                      {"position", table.next},
                      {"scope", scope},
                      {"holder", lease == table.scopes.end() ? "" : lease->second.holder.instance},
                      {"token", lease == table.scopes.end() ? noOffset : lease->second.epoch},
                      {"valid", holder.validUntil() && now <= *holder.validUntil() ? 1 : 0}});
        }
    }
    era = told;
    eraKnownSince = now;
    table = startLeaseTable(0, told);
    readOnce = false;
    caughtUp = false;
    tokensExhausted = false;
    if (tellsEra()) {
        for (auto &[scope, holder] : holders) {
            holder.onEra(told, now);
        }
    }
    return true;
}

void LeaseManager::State::checkEra(TimePoint now)
{
    const LogEra told = log.era ? log.era() : 0;
    const std::lock_guard lock(mutex);
    // Before the first response the log's access tells era 0.
    if (era || told > 0) {
        learnEra(std::max(told, era.value_or(0)), now);
    }
}

void LeaseManager::State::applyEntry(const LogRecord &entry, TimePoint received)
{
    Reason reason;
    const auto record = parseLeaseRecord(entry.value, reason);
    if (!record) {
        return;
    }
    const LeaseEffect effect = applyLeaseRecord(table, entry.offset, *record);
    // Records read during startup are not reported as changes.
    if (caughtUp && effect == LeaseEffect::Effective) {
        recordLeaseChange(entry.offset, *record);
    }
    const auto holder = holders.find(record->scope);
    if (holder != holders.end()) {
        holder->second.onRecord(table, effect, *record, received);
    }
}

void LeaseManager::State::applyPage(const LogPage &page, const ReadPosition &position, TimePoint received)
{
    const std::lock_guard lock(mutex);
    if (!learnEra(page.era, received) || (position.era && *position.era != page.era)) {
        return;
    }
    if (!readOnce || position.from < page.firstRetained) {
        table = startLeaseTable(page.firstRetained, page.era);
        caughtUp = false;
        if (readOnce) {
            for (auto &[scope, holder] : holders) {
                holder.onGap();
            }
        }
        readOnce = true;
    }
    for (const LogRecord &entry : page.records) {
        applyEntry(entry, received);
    }
    const Offset next = page.records.empty() ? page.next : page.records.back().offset + 1;
    advanceReadPosition(table, page.firstRetained, next);
    // A page that only moves the position past removed records says nothing about those after them.
    caughtUp = caughtUp || (page.records.empty() && page.next <= position.from);
    if (caughtUp) {
        for (auto &[scope, holder] : holders) {
            holder.onCaughtUp(table, received);
        }
    }
}

std::vector<Json::Value> LeaseManager::State::dueRecords(TimePoint now)
{
    const std::lock_guard lock(mutex);
    std::vector<Json::Value> due;
    if (stopping) {
        return due;
    }
    if (!tokensExhausted && !canIssueToken(table)) {
        tokensExhausted = true;
        logEvent(LogComponent::Lease,
                 LogLevel::Error,
                 "era or offset is too large for a fencing token, nothing is claimed",
                 {{"era", table.era}, {"offset", table.next}});
    }
    for (auto &[scope, holder] : holders) {
        if (const auto record = holder.nextRecord(table, now, randomId())) {
            due.push_back(toJson(*record));
        }
    }
    return due;
}

std::vector<Json::Value> LeaseManager::State::releases(TimePoint now)
{
    const std::lock_guard lock(mutex);
    std::vector<Json::Value> due;
    for (auto &[scope, holder] : holders) {
        if (const auto record = holder.release(table, now, randomId())) {
            due.push_back(toJson(*record));
        }
    }
    return due;
}

ReadPosition LeaseManager::State::readPosition()
{
    const std::lock_guard lock(mutex);
    return {readOnce ? table.next : 0, era};
}

bool LeaseManager::State::hasCaughtUp()
{
    const std::lock_guard lock(mutex);
    return caughtUp;
}

bool LeaseManager::State::isActive()
{
    const std::lock_guard lock(mutex);
    return !caughtUp || std::any_of(holders.begin(), holders.end(), [](const auto &entry) {
        return entry.second.phase() == LeasePhase::Holding || entry.second.phase() == LeasePhase::Claiming;
    });
}

bool LeaseManager::State::isStopped()
{
    const std::lock_guard lock(mutex);
    return stopped;
}

} // namespace snipehill
