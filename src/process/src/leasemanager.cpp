#include <process/leasemanager.h>

#include "leasemanagerstate.h"

#include <process/pause.h>

#include <core/boottime.h>
#include <process/logclient.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace snipehill
{

namespace asio = boost::asio;

namespace
{

constexpr milliseconds readWait{1000};
constexpr milliseconds retryDelay{200};
constexpr milliseconds tickInterval{50};
constexpr milliseconds minStandbyReadInterval{1000}; // for a process that neither holds nor claims a lease
constexpr int minReadsPerLease = 2; // with fewer reads a candidate would miss renewals and send claims that have no effect
constexpr milliseconds readIntervalPerCandidate{200}; // limits the reads of all candidates together to about five per second

} // namespace

std::string scopes::targets(const std::string &failureDomain)
{
    return "targets/" + failureDomain;
}

std::string scopes::roles(const std::string &targetGroup)
{
    return "roles/" + targetGroup;
}

namespace
{

using StatePointer = std::shared_ptr<LeaseManager::State>;

asio::awaitable<void> followStream(StatePointer state)
{
    while (!state->isStopped()) {
        const ReadPosition position = state->readPosition();
        const milliseconds wait = state->hasCaughtUp() ? readWait : milliseconds(0);
        const TimePoint sent = bootNow();
        Reason reason;
        const auto page = co_await state->log.read(streams::leases, position.from, wait, reason);
        if (!page) {
            co_await pauseFor(retryDelay);
            continue;
        }
        state->applyPage(*page, position, bootNow());
        // The log answers at once if it has no record at the position; the loop must not spin then.
        if (page->records.empty() && bootNow() - sent < wait / 2) {
            co_await pauseFor(retryDelay);
        }
        const milliseconds pause = std::clamp(readIntervalPerCandidate * static_cast<std::int64_t>(state->candidates),
                                              minStandbyReadInterval,
                                              std::max(minStandbyReadInterval, state->settings.duration / minReadsPerLease));
        for (milliseconds paused{0}; paused < pause && !state->isActive(); paused += tickInterval) {
            co_await pauseFor(tickInterval);
        }
    }
}

asio::awaitable<void> append(StatePointer state, std::vector<Json::Value> records)
{
    Reason reason;
    // The result is ignored: followStream() reads the records back and learns their effect, even if the response is lost.
    co_await state->log.append(streams::leases, std::move(records), reason);
}

asio::awaitable<void> appendDueRecords(StatePointer state)
{
    while (!state->isStopped()) {
        state->checkEra(bootNow());
        std::vector<Json::Value> records = state->dueRecords(bootNow());
        if (!records.empty()) {
            // Not awaited, so that an append without a response does not delay the next renewal.
            asio::co_spawn(state->executor, append(state, std::move(records)), asio::detached);
        }
        co_await pauseFor(tickInterval);
    }
}

} // namespace

LeaseManager::LeaseManager(asio::any_io_executor executor, LogAccess log, Incarnation self, LeaseSettings settings)
    : m_state(std::make_shared<State>(std::move(executor), std::move(log), std::move(self), settings))
{
}

LeaseManager::~LeaseManager()
{
    const std::lock_guard lock(m_state->mutex);
    m_state->stopping = true;
    m_state->stopped = true;
}

void LeaseManager::addScope(const std::string &scope)
{
    const std::lock_guard lock(m_state->mutex);
    if (m_state->holders.contains(scope)) {
        return;
    }
    const auto holder = m_state->holders.emplace(scope, m_state->startMachine(scope)).first;
    // The actual receive time of earlier records is unknown. Using the current time is safe: it only delays a claim.
    const auto lease = m_state->table.scopes.find(scope);
    if (lease != m_state->table.scopes.end()) {
        LeaseRecord record;
        record.scope = scope;
        record.holder = lease->second.holder;
        record.action = lease->second.released ? LeaseAction::Release : LeaseAction::Renew;
        record.era = lease->second.era;
        record.duration = lease->second.duration;
        holder->second.onRecord(m_state->table, lease->second.certain ? LeaseEffect::Effective : LeaseEffect::Unknown, record, bootNow());
    }
    if (m_state->caughtUp) {
        holder->second.onCaughtUp(m_state->table, bootNow());
    }
}

void LeaseManager::start()
{
    asio::co_spawn(m_state->executor, followStream(m_state), asio::detached);
    asio::co_spawn(m_state->executor, appendDueRecords(m_state), asio::detached);
}

void LeaseManager::setCandidates(std::size_t candidates)
{
    m_state->candidates = candidates;
}

asio::awaitable<void> LeaseManager::stop()
{
    const StatePointer state = m_state;
    TimePoint lastCallEnd;
    {
        const std::lock_guard lock(state->mutex);
        state->stopping = true;
        lastCallEnd = state->lastCallEnd;
    }
    const auto remaining = std::chrono::ceil<milliseconds>(lastCallEnd - bootNow());
    if (remaining > milliseconds(0)) {
        co_await pauseFor(remaining);
    }
    std::vector<Json::Value> records = state->releases(bootNow());
    if (!records.empty()) {
        co_await append(state, std::move(records));
    }
    const std::lock_guard lock(state->mutex);
    state->stopped = true;
}

bool LeaseManager::mayCall(const std::string &scope, milliseconds callTimeout) const
{
    const std::lock_guard lock(m_state->mutex);
    const TimePoint now = bootNow();
    const auto holder = m_state->holders.find(scope);
    if (m_state->stopping || holder == m_state->holders.end() || !holder->second.mayCall(now, callTimeout)) {
        return false;
    }
    m_state->lastCallEnd = std::max(m_state->lastCallEnd, now + callTimeout);
    return true;
}

std::optional<LeaseHold> LeaseManager::hold(const std::string &scope, milliseconds callTimeout) const
{
    const std::lock_guard lock(m_state->mutex);
    const TimePoint now = bootNow();
    const auto holder = m_state->holders.find(scope);
    if (m_state->stopping || holder == m_state->holders.end()) {
        return std::nullopt;
    }
    const auto held = holder->second.hold(now, callTimeout);
    if (held) {
        m_state->lastCallEnd = std::max(m_state->lastCallEnd, now + callTimeout);
    }
    return held;
}

std::optional<Offset> LeaseManager::epoch(const std::string &scope) const
{
    const std::lock_guard lock(m_state->mutex);
    const auto holder = m_state->holders.find(scope);
    if (holder == m_state->holders.end()) {
        return std::nullopt;
    }
    return holder->second.epoch();
}

std::optional<Offset> LeaseManager::highestKnownEpoch(const std::string &scope) const
{
    const std::lock_guard lock(m_state->mutex);
    if (!m_state->caughtUp) {
        return std::nullopt;
    }
    const auto lease = m_state->table.scopes.find(scope);
    return lease == m_state->table.scopes.end() ? noOffset : lease->second.epoch;
}

const Incarnation &LeaseManager::self() const noexcept
{
    return m_state->self;
}

std::vector<LeaseStatus> LeaseManager::status() const
{
    const std::lock_guard lock(m_state->mutex);
    std::vector<LeaseStatus> statuses;
    for (const auto &[scope, holder] : m_state->holders) {
        LeaseStatus status;
        status.scope = scope;
        status.phase = holder.phase();
        const auto rest = holder.validUntil() ? std::chrono::floor<milliseconds>(*holder.validUntil() - bootNow()) : milliseconds(0);
        status.valid = rest > milliseconds(0);
        status.validFor = std::max(rest, milliseconds(0));
        status.era = m_state->era.value_or(0);
        status.epoch = holder.epoch().value_or(noOffset);
        const auto lease = m_state->table.scopes.find(scope);
        if (lease != m_state->table.scopes.end()) {
            status.holder = lease->second.holder.instance;
        }
        statuses.push_back(std::move(status));
    }
    return statuses;
}

} // namespace snipehill
