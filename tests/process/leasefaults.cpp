#include "leaserun.h"

#include <algorithm>

namespace snipehill::test
{

namespace
{

constexpr milliseconds minRetention{3000}; //!< longer than a lease on any of the drifting clocks

} // namespace

void LeaseSimulation::injectFault()
{
    ++m_history.faults;
    LeaseProcess &process = m_processes[m_choices.between(0, processCount - 1)];
    switch (m_choices.between(0, 5 + m_copyShare)) {
    case 0:
    case 1:
        process.pausedUntil = m_time.now() + m_choices.time(200, 6000);
        break;
    case 2:
        process.pausedUntil = {};
        startProcess(process);
        break;
    case 3:
        m_log.outageUntil = m_time.now() + m_choices.time(500, 5000);
        break;
    case 4:
        expireRecords(m_choices.between(1, 8));
        break;
    case 5:
        stopProcess(process);
        break;
    default:
        injectCopy();
        break;
    }
    m_time.after(m_choices.time(300, m_maxFaultInterval.count()), [this] {
        injectFault();
    });
}

void LeaseSimulation::injectCopy()
{
    const Duration beforeCopy = m_choices.time(0, 600);
    if (m_choices.percent(40)) {
        m_log.outageUntil = m_time.now() + beforeCopy;
    }
    if (m_choices.percent(30)) {
        m_processes[m_choices.between(0, processCount - 1)].cutUntil = m_time.now() + m_choices.time(500, 6000);
    }
    const bool restartAll = m_choices.percent(15);
    const bool restartOne = m_choices.percent(30);
    for (LeaseProcess &process : m_processes) {
        if (restartAll || (restartOne && m_choices.percent(40))) {
            m_time.after(m_choices.time(0, 2000), [this, &process] {
                process.pausedUntil = {};
                startProcess(process);
            });
        }
    }
    const auto returnFromCopy = [this] {
        ++m_history.copies;
        m_log.returnTo(m_time.now() - m_choices.time(200, 5000));
    };
    m_time.after(beforeCopy, returnFromCopy);
    if (m_choices.percent(35)) {
        m_time.after(beforeCopy + m_choices.time(20, 2500), returnFromCopy);
    }
}

void LeaseSimulation::stopProcess(LeaseProcess &process)
{
    if (process.stopping) {
        return;
    }
    process.stopping = true;
    const std::uint64_t incarnation = process.self.number;
    const auto callsEnded = std::chrono::duration_cast<Duration>(Duration(callTimeout) / process.clock.rate);
    m_time.after(callsEnded, [this, &process, incarnation] {
        if (process.self.number != incarnation) {
            return;
        }
        whenRunning(process, [this, &process] {
            releaseLease(process);
        });
    });
    m_time.after(callsEnded + m_choices.time(20, 1500), [this, &process, incarnation] {
        if (process.self.number == incarnation) {
            process.pausedUntil = {};
            startProcess(process);
        }
    });
}

void LeaseSimulation::releaseLease(LeaseProcess &process)
{
    const auto record = process.holder->release(process.table, process.clock.at(m_time.now()), m_choices.number());
    for (ValidPeriod &period : m_history.validPeriods) {
        if (period.incarnation == process.self.number) {
            period.until = std::min(period.until, m_time.now());
        }
    }
    recordValidity(process);
    if (record) {
        ++m_history.releases;
        sendAppend(process, *record);
    }
}

void LeaseSimulation::expireRecords(std::int64_t count)
{
    for (; count > 0 && m_log.firstRetained < static_cast<Offset>(m_log.records.size()); --count) {
        if (m_log.appended[static_cast<std::size_t>(m_log.firstRetained)] + minRetention > m_time.now()) {
            return;
        }
        ++m_log.firstRetained;
        m_log.firstRetainedSince[m_time.now()] = m_log.firstRetained;
    }
}

} // namespace snipehill::test
