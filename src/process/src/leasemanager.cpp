#include <process/leasemanager.h>

#include <process/pause.h>

#include <core/boottime.h>
#include <process/log.h>
#include <process/logclient.h>
#include <process/metrics.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
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

/** Where the next read starts, and the era in which that offset is valid. */
struct ReadPosition
{
    Offset from = 0;
    std::optional<LogEra> era; //!< empty before the first response
};

} // namespace

/** State shared by the coroutines, which keep it alive. */
struct LeaseManager::State
{
    State(asio::any_io_executor ioExecutor, LogAccess logAccess, Incarnation own, LeaseSettings leaseSettings)
        : executor(std::move(ioExecutor)), log(std::move(logAccess)), self(std::move(own)), settings(leaseSettings)
    {
    }

    /** Applies a page, unless it was read in another era than the table. */
    void applyPage(const LogPage &page, const ReadPosition &position, TimePoint received);
    /** Starts anew if the era is higher than the known one; false if it is lower. */
    bool learnEra(LogEra told, TimePoint now);
    /** Learns the era from responses to any call of this process. */
    void checkEra(TimePoint now);
    bool tellsEra() const;
    LeaseStateMachine startMachine(const std::string &scope) const;
    void applyEntry(const LogRecord &entry, TimePoint received);
    std::vector<Json::Value> dueRecords(TimePoint now);
    std::vector<Json::Value> releases(TimePoint now);
    ReadPosition readPosition();
    bool hasCaughtUp();
    bool isStopped();
    /** True if the stream must be read without delay: before the first catch-up, or while a lease is held or claimed. */
    bool isActive();

    const asio::any_io_executor executor;
    const LogAccess log;
    const Incarnation self;
    const LeaseSettings settings;
    std::atomic<std::size_t> candidates{1};

    std::mutex mutex;
    std::map<std::string, LeaseStateMachine> holders;
    LeaseTable table;
    std::optional<LogEra> era; //!< of the table; empty before the first response
    TimePoint eraKnownSince{};
    bool tokensExhausted = false; //!< logged once per era
    bool readOnce = false;
    bool caughtUp = false;
    bool stopping = false;
    bool stopped = false;
    TimePoint lastCallEnd{}; //!< latest end of a call that mayCall() allowed
};

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
