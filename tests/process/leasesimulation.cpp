#include "leaserun.h"

#include <algorithm>
#include <utility>

namespace snipehill::test
{

namespace
{

constexpr milliseconds runTimeWithCopies{40000}; //!< each copy costs a lease at least
constexpr milliseconds longMaxFaultInterval{9000}; //!< leases last for several renewals
constexpr milliseconds readTimeout{1500};
constexpr std::size_t pageRecordsOfMany = 500; //!< the whole stream in one page
const LeaseSettings leaseSettings{.duration = milliseconds(2000), .margin = milliseconds(400)};

} // namespace

LeaseSimulation::LeaseSimulation(std::uint64_t seed, LeaseMutation mutation, LeaseLogKind kind) : m_choices(seed), m_mutation(mutation), m_kind(kind)
{
    m_faults.lossPercent = static_cast<int>(m_choices.between(0, 15));
    m_faults.duplicatePercent = static_cast<int>(m_choices.between(0, 10));
    m_faults.slowPercent = static_cast<int>(m_choices.between(0, 15));
    m_faults.usualDelay = m_choices.time(2, 300);
    if (kind == LeaseLogKind::Copied) {
        m_copyShare = m_choices.between(1, 3);
        m_pageRecords = m_choices.percent(50) ? pageRecordsOfMany : m_pageRecords;
        m_maxFaultInterval = m_choices.percent(50) ? longMaxFaultInterval : m_maxFaultInterval;
        m_runTime = runTimeWithCopies;
        // On a slow network no lease would last until the claim in the new era was read back.
        m_faults.usualDelay = m_choices.percent(50) ? m_choices.time(2, 30) : m_faults.usualDelay;
    }
    m_history.kind = kind;
}

LeaseRunHistory LeaseSimulation::run()
{
    for (int index = 0; index < processCount; ++index) {
        m_processes[index].index = index;
        startProcess(m_processes[index]);
        m_time.after(m_choices.time(0, 200), [this, index] {
            tick(m_processes[index]);
        });
    }
    m_time.after(m_choices.time(500, 3000), [this] {
        injectFault();
    });
    m_time.run(m_runTime);
    return std::move(m_history);
}

void LeaseSimulation::startProcess(LeaseProcess &process)
{
    // Clocks drift by up to 8% in either direction; the margin of a fifth of the duration covers two such clocks.
    process.clock = {TimePoint(seconds(m_choices.between(0, 100000))), 1.0 + static_cast<double>(m_choices.between(-80, 80)) / 1000};
    process.clock.start -= std::chrono::duration_cast<Duration>(m_time.now() * process.clock.rate);
    process.self = {"entry-" + std::to_string(process.index), m_choices.number()};
    process.table = {};
    process.holder = std::make_unique<LeaseStateMachine>("usage", process.self, settings());
    process.readOnce = false;
    process.caughtUp = false;
    process.stopping = false;
    process.era.reset();
    process.awaitedRead.reset();
    process.mutatedValidUntil.reset();
}

LeaseSettings LeaseSimulation::settings() const
{
    LeaseSettings result = leaseSettings;
    if (m_mutation == LeaseMutation::NoMargin) {
        result.margin = milliseconds(0);
    }
    return result;
}

bool LeaseSimulation::learnEra(LeaseProcess &process, LogEra era)
{
    if (m_kind == LeaseLogKind::Lasting || process.era == era) {
        return true;
    }
    if (process.era && era < *process.era) {
        return m_mutation == LeaseMutation::PageOfEarlierEra;
    }
    const bool first = !process.era;
    process.era = era;
    if (m_mutation == LeaseMutation::SameTableInNewEra) {
        return true;
    }
    const TimePoint now = process.clock.at(m_time.now());
    const bool waits = !(m_mutation == LeaseMutation::NoWaitAfterRise && !first) && !(m_mutation == LeaseMutation::NoWaitAfterStart && first)
        && !(m_mutation == LeaseMutation::FormerHolderClaims && process.recordedValidUntil);
    process.table = startLeaseTable(0, era);
    process.readOnce = false;
    process.caughtUp = false;
    process.holder->onEra(era, waits ? now : now - seconds(60));
    return true;
}

void LeaseSimulation::callLog(LeaseProcess &process)
{
    const std::uint64_t incarnation = process.self.number;
    sendMessage(m_time, m_choices, m_faults, [this, &process, incarnation] {
        if (m_log.down(m_time.now()) || isCut(process)) {
            return;
        }
        sendMessage(m_time, m_choices, m_faults, [this, &process, incarnation, era = m_log.era] {
            whenRunning(process, [this, &process, incarnation, era] {
                if (process.self.number == incarnation && !isCut(process)) {
                    learnEra(process, era);
                }
            });
        });
    });
}

bool LeaseSimulation::isCut(const LeaseProcess &process) const
{
    return m_time.now() < process.cutUntil;
}

bool LeaseSimulation::paused(const LeaseProcess &process) const
{
    return m_time.now() < process.pausedUntil;
}

void LeaseSimulation::whenRunning(LeaseProcess &process, const VirtualTime::Action &action)
{
    const std::uint64_t incarnation = process.self.number;
    if (!paused(process)) {
        action();
        return;
    }
    m_time.at(process.pausedUntil, [this, &process, incarnation, action] {
        if (process.self.number == incarnation) {
            whenRunning(process, action);
        }
    });
}

void LeaseSimulation::tick(LeaseProcess &process)
{
    if (!paused(process)) {
        appendDueRecord(process);
        readNext(process);
        if (m_choices.percent(15)) {
            callLog(process);
        }
        callPlatform(process);
    }
    m_time.after(m_choices.time(60, 240), [this, &process] {
        tick(process);
    });
}

void LeaseSimulation::appendDueRecord(LeaseProcess &process)
{
    const TimePoint now = process.clock.at(m_time.now());
    const auto record = process.stopping ? std::nullopt : process.holder->nextRecord(process.table, now, m_choices.number());
    if (!record) {
        return;
    }
    m_history.claims += record->action == LeaseAction::Claim ? 1 : 0;
    sendAppend(process, *record);
}

void LeaseSimulation::sendAppend(const LeaseProcess &process, LeaseRecord record)
{
    if (isCut(process)) {
        return;
    }
    if (m_mutation == LeaseMutation::ReplacesByOffset) {
        record.replacesNonce = 0;
    }
    sendMessage(m_time, m_choices, m_faults, [this, record] {
        if (!m_log.down(m_time.now())) {
            m_log.records.push_back(record);
            m_log.appended.push_back(m_time.now());
        }
    });
}

void LeaseSimulation::readNext(LeaseProcess &process)
{
    if (process.awaitedRead && m_time.now() - process.readSent < readTimeout) {
        return;
    }
    const std::uint64_t id = m_choices.number();
    process.awaitedRead = id;
    process.readSent = m_time.now();
    const Offset from = process.readOnce ? process.table.next : 0;
    if (isCut(process)) {
        return;
    }
    sendMessage(m_time, m_choices, m_faults, [this, &process, id, from, era = process.era] {
        if (m_log.down(m_time.now()) || isCut(process)) {
            return;
        }
        LeasePageCopy page = readPage(from);
        page.requestedEra = era;
        sendMessage(m_time, m_choices, m_faults, [this, &process, id, page = std::move(page)] {
            whenRunning(process, [this, &process, id, page] {
                applyPage(process, id, page);
            });
        });
    });
}

LeasePageCopy LeaseSimulation::readPage(Offset from) const
{
    LeasePageCopy page{
        .era = m_log.era, .requestedEra = {}, .from = from, .firstRetained = m_log.firstRetained, .first = std::max(from, m_log.firstRetained), .records = {}};
    for (std::size_t offset = static_cast<std::size_t>(page.first); offset < m_log.records.size() && page.records.size() < m_pageRecords; ++offset) {
        page.records.push_back(m_log.records[offset]);
    }
    return page;
}

void LeaseSimulation::applyPage(LeaseProcess &process, std::uint64_t id, const LeasePageCopy &page)
{
    if (process.awaitedRead != id || isCut(process)) {
        return;
    }
    process.awaitedRead.reset();
    const TimePoint now = process.clock.at(m_time.now());
    if (!learnEra(process, page.era)) {
        return;
    }
    const bool otherEra = page.requestedEra && *page.requestedEra != page.era;
    if (otherEra && m_mutation != LeaseMutation::PageOfEarlierEra && m_mutation != LeaseMutation::SameTableInNewEra) {
        readNext(process);
        return;
    }
    if (!process.readOnce || page.from < page.firstRetained) {
        process.table = startLeaseTable(page.firstRetained, process.table.era);
        if (process.readOnce) {
            process.holder->onGap();
        }
        process.readOnce = true;
        process.caughtUp = false;
    }
    for (std::size_t i = 0; i < page.records.size(); ++i) {
        applyRecord(process, page.first + static_cast<Offset>(i), page.records[i], now);
    }
    advanceReadPosition(process.table, page.firstRetained, page.first + static_cast<Offset>(page.records.size()));
    process.caughtUp = process.caughtUp || (page.records.empty() && page.first <= page.from);
    if (process.caughtUp) {
        process.holder->onCaughtUp(process.table, now);
    }
    compareTables(process);
    recordValidity(process);
    if (!process.caughtUp && m_kind == LeaseLogKind::Copied) {
        readNext(process);
    }
}

void LeaseSimulation::compareTables(const LeaseProcess &process)
{
    for (const LeaseProcess &other : m_processes) {
        const auto own = process.table.scopes.find("usage");
        const auto others = other.table.scopes.find("usage");
        const bool comparable = process.table.era == other.table.era && process.table.next == other.table.next && own != process.table.scopes.end()
            && others != other.table.scopes.end() && own->second.certain && others->second.certain;
        m_history.disagreements += comparable && own->second.latest != others->second.latest ? 1 : 0;
    }
}

void LeaseSimulation::applyRecord(LeaseProcess &process, Offset offset, LeaseRecord record, TimePoint now)
{
    if (m_mutation == LeaseMutation::AnyClaimHasEffect && record.action == LeaseAction::Claim) {
        record.replaces = noOffset;
        record.firstRetained = offset;
    }
    const LeaseEffect effect = applyLeaseRecord(process.table, offset, record);
    if (m_mutation == LeaseMutation::NoClaimDelay) {
        record.duration = -leaseSettings.margin;
    }
    if (m_mutation == LeaseMutation::EarlierRecordHolds && record.holder == process.self) {
        record.era = process.table.era;
    }
    if (m_mutation == LeaseMutation::QuickReturn && record.action == LeaseAction::Release && effect == LeaseEffect::Effective && record.era == process.table.era
        && !process.stopping) {
        forgetLease(process);
    }
    const std::optional<TimePoint> validBefore = process.holder->validUntil();
    process.holder->onRecord(process.table, effect, record, now);
    const bool ownClaim = effect == LeaseEffect::Effective && record.action == LeaseAction::Claim && record.holder == process.self;
    if (ownClaim && record.era == process.table.era && validBefore && now < *validBefore) {
        ++m_history.continued;
    }
    if (effect == LeaseEffect::Effective) {
        process.mutatedValidUntil.reset();
        if (record.holder == process.self) {
            process.mutatedValidUntil = now + leaseSettings.duration - leaseSettings.margin;
        }
    }
}

void LeaseSimulation::forgetLease(LeaseProcess &process)
{
    process.holder = std::make_unique<LeaseStateMachine>("usage", process.self, settings());
    if (process.era) {
        process.holder->onEra(*process.era, process.clock.at(m_time.now()) - seconds(60));
    }
}

std::optional<TimePoint> LeaseSimulation::validUntil(const LeaseProcess &process) const
{
    return m_mutation == LeaseMutation::ValidityFromReceipt ? process.mutatedValidUntil : process.holder->validUntil();
}

bool LeaseSimulation::mayCall(LeaseProcess &process) const
{
    const milliseconds timeout = m_mutation == LeaseMutation::NoCallTimeout ? milliseconds(0) : callTimeout;
    const TimePoint now = process.clock.at(m_time.now());
    if (m_mutation == LeaseMutation::ValidityFromReceipt) {
        return process.mutatedValidUntil && now + timeout <= *process.mutatedValidUntil;
    }
    if (m_mutation == LeaseMutation::TokenChangesInCall) {
        const auto until = process.holder->validUntil();
        return !process.stopping && until && now + timeout <= *until;
    }
    return !process.stopping && process.holder->mayCall(now, timeout);
}

void LeaseSimulation::callPlatform(LeaseProcess &process)
{
    if (!mayCall(process) || m_choices.percent(50)) {
        return;
    }
    // The process may be paused between the decision to call and the send.
    if (m_choices.percent(10)) {
        process.pausedUntil = m_time.now() + m_choices.time(100, 5000);
    }
    whenRunning(process, [this, &process] {
        if (m_mutation != LeaseMutation::NoCheckBeforeSend && !mayCall(process)) {
            return;
        }
        // The caller aborts the call at its timeout, by its own clock, so it arrives before that or never.
        const auto travel = std::chrono::duration_cast<Duration>(m_choices.time(0, callTimeout.count()) / process.clock.rate);
        m_history.callArrivals.push_back({process.index, process.self.number, tokenOf(process), tenureOf(process), m_time.now() + travel});
    });
}

Offset LeaseSimulation::tokenOf(const LeaseProcess &process) const
{
    constexpr Offset offsetMask = 0xffffffff;
    const Offset token = process.holder->epoch().value_or(noOffset);
    return m_mutation == LeaseMutation::TokenWithoutEra ? token & offsetMask : token;
}

std::uint64_t LeaseSimulation::tenureOf(LeaseProcess &process) const
{
    const auto hold = process.holder->hold(process.clock.at(m_time.now()), milliseconds(0));
    return m_mutation == LeaseMutation::OneTenure || !hold ? 0 : hold->tenure;
}

void LeaseSimulation::recordValidity(LeaseProcess &process)
{
    const auto until = validUntil(process);
    if (until == process.recordedValidUntil) {
        return;
    }
    process.recordedValidUntil = until;
    if (until && process.clock.trueTimeOf(*until) > m_time.now()) {
        m_history.validPeriods.push_back(
            {process.index, process.self.number, process.holder->epoch().value_or(noOffset), m_time.now(), process.clock.trueTimeOf(*until)});
    }
}

LeaseRunHistory simulateLease(std::uint64_t seed, LeaseMutation mutation, LeaseLogKind kind)
{
    return LeaseSimulation(seed, mutation, kind).run();
}

} // namespace snipehill::test
