#include "soakrun.h"

#include "soaktraffic.h"
#include "targetfaults.h"

#include "support/callers.h"
#include "support/directcluster.h"
#include "support/onechecker.h"
#include "support/wait.h"

#include <algorithm>
#include <csignal>
#include <map>

namespace snipehill::soak
{

using namespace support;

namespace
{

constexpr milliseconds drainTimeout{2000}; // the entries' default, for draining targets and for new configuration versions
constexpr milliseconds shutdownTimeout{8000}; // longest shutdown allowed by the settings of the entries
constexpr milliseconds routeTimeout{5000}; // of all routes in the configuration
constexpr milliseconds responseTimeout = routeTimeout + milliseconds(500);
constexpr milliseconds recoveryTimeout{12000};
constexpr milliseconds pollInterval{5};
constexpr milliseconds journalTolerance{50}; // between the times of a target's journal and the clock of this process, on the same machine
constexpr milliseconds logDelay{5000}; // longest time from a response until its lines are in the log of a busy entry

/** Whether the store is away from the start of the fault to its end, and only then comes back; else it comes back at the start. */
bool comesBackAtEnd(const Fault &fault)
{
    return fault.index % 2 == 1;
}

milliseconds copyAge(const Fault &fault)
{
    constexpr milliseconds youngest{50};
    constexpr milliseconds step{250};
    constexpr std::size_t steps = 17;
    return youngest + fault.index / 2 % steps * step;
}

/** One soak run: the deployment, its traffic and the injected faults. Used by the main thread. */
class SoakRun
{
public:
    SoakRun(std::uint64_t seed, const SoakSize &size)
        : m_seed(seed)
        , m_size(size)
        , m_faults(planFaults(seed, size))
        , m_host(soakTargets(), DirectClusterOptions{.entries = size.entries, .ownAddresses = true, .useRelays = true})
    {
    }

    SoakOutcome run()
    {
        publishConfiguration();
        for (std::size_t entry = 0; entry < m_size.entries; ++entry) {
            if (!m_host.waitUntilReady(entry)) {
                recordViolation("entry " + std::to_string(entry + 1) + " is not ready at the start");
            }
        }
        m_startTime = Clock::now();
        ClosedLoopCallers callers(static_cast<int>(m_size.callers), [this](int caller, int round) {
            return planCall(m_seed, m_host.callers(static_cast<std::size_t>(caller) % m_size.entries), caller, round);
        });
        for (const Fault &fault : m_faults) {
            schedule(fault);
        }
        runFaultSchedule();
        checkRunning();
        checkRecovery();
        const std::vector<CallerRecord> records = callers.stop();
        check(records);
        return makeOutcome(records);
    }

private:
    struct StoppingEntry
    {
        TimePoint since;
        bool disturbed = false; //!< paused during the shutdown, so the shutdown is not checked
    };

    void publishConfiguration()
    {
        m_host.publish(defaultConfiguration(++m_version, m_withdrawals == 0 ? R"(key-1","key-2)" : "key-1"));
    }

    void recordViolation(std::string violation)
    {
        m_outcome.violations.push_back(std::move(violation));
    }

    void schedule(const Fault &fault)
    {
        m_actions.emplace(fault.start, [this, fault] {
            m_outcome.faults.push_back(std::to_string(fault.start.count()) + " to " + std::to_string(fault.end.count()) + " ms: " + toString(fault.kind) + " "
                                       + std::to_string(fault.index));
            startFault(fault);
        });
        m_actions.emplace(fault.end, [this, fault] {
            endFault(fault);
        });
    }

    /** Reports entries that exited without having been killed or sent SIGTERM. */
    void checkRunning()
    {
        for (std::size_t entry = 0; entry < m_size.entries; ++entry) {
            if (const auto code = m_host.entries[entry].waitForExit(milliseconds(0))) {
                recordViolation("entry " + std::to_string(entry + 1) + " exited unexpectedly with code " + std::to_string(*code));
            }
        }
    }

    void runFaultSchedule()
    {
        while (!m_actions.empty() || !m_stopping.empty() || Clock::now() < m_startTime + m_size.duration) {
            while (!m_actions.empty() && Clock::now() >= m_startTime + m_actions.begin()->first) {
                const auto action = m_actions.extract(m_actions.begin());
                action.mapped()();
            }
            restartStoppedEntries();
            sleepFor(pollInterval);
        }
    }

    std::size_t entryIndexOf(const Fault &fault) const
    {
        return fault.index % m_size.entries;
    }

    Relay &storeRelayOf(const Fault &fault)
    {
        return m_host.storeRelay(entryIndexOf(fault));
    }

    void startFault(const Fault &fault);
    void endFault(const Fault &fault);

    void killEntry(std::size_t entry)
    {
        m_stopping.erase(entry);
        m_absentSince.try_emplace(entry, journalNow());
        m_endingFaults.kills.push_back(noticedFrom(entryName(entry), journalNow()));
        m_host.entries[entry].kill();
    }

    std::string entryName(std::size_t entry) const
    {
        return toString(m_host.callers(entry));
    }

    void startAgain(std::size_t entry)
    {
        m_host.restartEntry(entry);
        m_endingFaults.absences.push_back(noticedFrom(entryName(entry), m_absentSince[entry]));
        m_absentSince.erase(entry);
    }

    void restartEntry(std::size_t entry)
    {
        if (!m_host.entries[entry].running()) {
            m_stopping.erase(entry);
            startAgain(entry);
        }
    }

    void pauseEntry(std::size_t entry)
    {
        if (m_stopping.contains(entry)) {
            m_stopping[entry].disturbed = true;
        }
        m_host.entries[entry].pause();
    }

    /** Checks that entries sent SIGTERM exit with code 0 in time, and restarts them. */
    void restartStoppedEntries()
    {
        for (auto stopping = m_stopping.begin(); stopping != m_stopping.end();) {
            const auto [entry, state] = *stopping;
            const bool timedOut = Clock::now() - state.since > shutdownTimeout;
            const auto code = m_host.entries[entry].waitForExit(milliseconds(0));
            if (!code && !timedOut) {
                ++stopping;
                continue;
            }
            if (!state.disturbed && (!code || *code != 0)) {
                recordViolation("entry " + std::to_string(entry + 1) + " did not exit cleanly after SIGTERM" + (code ? ", code " + std::to_string(*code) : ""));
            }
            stopping = m_stopping.erase(stopping);
            if (!code) {
                m_endingFaults.kills.push_back(noticedFrom(entryName(entry), journalNow()));
            }
            m_host.entries[entry].kill();
            startAgain(entry);
        }
    }

    double journalNow() const
    {
        return journalTime(Clock::now());
    }

    void checkRecovery()
    {
        m_host.writeAgain();
        for (const DirectTarget &target : soakTargets()) {
            m_host.registerTarget(target, "ready");
        }
        const TimePoint until = Clock::now() + recoveryTimeout;
        for (std::size_t entry = 0; entry < m_size.entries; ++entry) {
            int round = 0;
            const bool served = waitUntil(
                [&] {
                    const Response response = m_host.call(entry, directCall("GET", "/read/x", "last" + std::to_string(entry) + "r" + std::to_string(round++)));
                    return response.status == 200;
                },
                std::max(milliseconds(1), std::chrono::duration_cast<milliseconds>(until - Clock::now())));
            if (!served) {
                recordViolation("entry " + std::to_string(entry + 1) + " serves no request after all faults have ended");
            }
        }
        if (m_size.copies > 0 && !m_host.waitForReport(openUsageWindow(), reportRecoveryTime)) {
            recordViolation("no usage window is reported after all faults have ended");
        }
    }

    void check(const std::vector<CallerRecord> &records)
    {
        const Journal journal = m_host.journal();
        std::set<std::string> received;
        for (std::size_t entry = 0; entry < m_size.entries; ++entry) {
            addViolations(versionsIncrease(m_host.logOf(entry)));
            checkEnds(entry);
            received.merge(requestsInLog(m_host.logOf(entry)));
        }
        addViolations(receivedRequestsAreAnswered(records, journal, received, m_endingFaults, routeTimeout));
        addViolations(ranAtMostOnce(journal));
        addViolations(refusalsDidNotRun(records, journal));
        addViolations(responsesMatchRequests(records, journal));
        addViolations(brokenResponsesReachNoCaller(records));
        Journal trafficJournal = journal;
        std::erase_if(trafficJournal, [](const Json::Value &event) {
            return event["id"].asString().starts_with("last");
        });
        addViolations(keysAreNotForwarded(records, trafficJournal));
        addViolations(requestsEndInTime(records, responseTimeout + m_totalPause));
        addViolations(oneHolder(journal, leaseTimeout));
        addViolations(drainingTargetsGetNoWork(m_drainIntervals, journal));
        std::vector<CheckInterval> excuses = m_entryPauses;
        for (const auto *faults : {&m_endingFaults.kills, &m_endingFaults.absences, &m_endingFaults.brokenTargets}) {
            excuses.insert(excuses.end(), faults->begin(), faults->end());
        }
        addViolations(leavingTargetsGetNoWork(m_leavingRuns, records, journal, excuses, static_cast<double>((drainTimeout + journalTolerance).count())));
        addViolations(pausedTargetsGetNoWork(records, journal, excuses));
        addViolations(withdrawnKeysRunNothing(m_withdrawnKeyIntervals, records, journal));
    }

    /** Checks that all requests of an idle entry have ended, by its log and its metrics, which may lag behind the responses. */
    void checkEnds(std::size_t entry)
    {
        Violations found;
        waitUntil(
            [&] {
                found = requestsEndOnceInLog(m_host.logOf(entry));
                const Violations uneven = requestsAddUpInMetrics(m_host.metricsOf(entry));
                found.insert(found.end(), uneven.begin(), uneven.end());
                return found.empty();
            },
            logDelay);
        for (const std::string &violation : found) {
            recordViolation("entry " + std::to_string(entry + 1) + ": " + violation);
        }
    }

    void addViolations(Violations found)
    {
        m_outcome.violations.insert(m_outcome.violations.end(), found.begin(), found.end());
    }

    SoakOutcome makeOutcome(const std::vector<CallerRecord> &records)
    {
        m_outcome.requests = records.size();
        m_outcome.served = static_cast<std::size_t>(std::count_if(records.begin(), records.end(), [](const CallerRecord &record) {
            return record.response.status == 200 && record.response.complete;
        }));
        if (!m_outcome.violations.empty()) {
            m_outcome.artifactFolder = m_host.keepFiles();
        }
        return std::move(m_outcome);
    }

    const std::uint64_t m_seed;
    const SoakSize m_size;
    const std::vector<Fault> m_faults;
    DirectCluster m_host;
    SoakOutcome m_outcome;
    TimePoint m_startTime{};
    int m_version = 0;
    int m_withdrawals = 0; //!< of the second key, in force
    milliseconds m_totalPause{0};
    std::multimap<milliseconds, std::function<void()>> m_actions; //!< by time since the start of the run
    std::map<std::size_t, StoppingEntry> m_stopping; //!< by index of the entry
    std::map<std::size_t, double> m_absentSince; //!< time of the SIGTERM or kill, by index of the entry
    EndingFaults m_endingFaults;
    std::vector<CheckInterval> m_drainIntervals;
    std::vector<CheckInterval> m_entryPauses; //!< by address of the entry
    std::vector<CheckInterval> m_leavingRuns; //!< by id of the target, until its next run
    std::vector<CheckInterval> m_withdrawnKeyIntervals;
};

void SoakRun::startFault(const Fault &fault)
{
    const std::size_t entry = entryIndexOf(fault);
    const DirectTarget &target = targetOf(fault);
    const milliseconds duration = fault.end - fault.start;
    const double now = journalNow();
    const auto checkInterval = [&](const std::string &subject) {
        return CheckInterval{
            subject, journalNow() + static_cast<double>((drainTimeout + journalTolerance).count()), journalNow() + static_cast<double>(duration.count())};
    };
    switch (fault.kind) {
    case FaultKind::KillEntry:
        killEntry(entry);
        break;
    case FaultKind::StopEntry:
        if (m_host.entries[entry].running() && m_stopping.try_emplace(entry, StoppingEntry{Clock::now()}).second) {
            m_absentSince.try_emplace(entry, now);
            m_host.entries[entry].signal(SIGTERM);
        }
        break;
    case FaultKind::PauseEntry:
        m_totalPause += duration;
        m_entryPauses.push_back({entryName(entry), now, now + static_cast<double>((duration + journalTolerance).count())});
        pauseEntry(entry);
        break;
    case FaultKind::ReloadEntry:
        m_host.entries[entry].signal(SIGHUP);
        break;
    case FaultKind::KillAllEntries:
        for (std::size_t i = 0; i < m_size.entries; ++i) {
            killEntry(i);
        }
        break;
    case FaultKind::DrainTarget:
        m_host.registerTarget(target, "draining");
        if (isUndisturbed(m_faults, fault.start, fault.end)) {
            m_drainIntervals.push_back(checkInterval(target.id));
        }
        break;
    case FaultKind::DropStoreConnections:
        storeRelayOf(fault).dropConnections();
        break;
    case FaultKind::SilenceStoreConnections:
        storeRelayOf(fault).blackholeConnections();
        break;
    case FaultKind::CutStore:
        storeRelayOf(fault).blackhole(true);
        break;
    case FaultKind::DelayStore:
        storeRelayOf(fault).setDelay(duration / 10);
        break;
    case FaultKind::PublishVersion:
        publishConfiguration();
        break;
    case FaultKind::WithdrawKey:
        ++m_withdrawals;
        publishConfiguration();
        if (isUndisturbed(m_faults, fault.start, fault.end)) {
            m_withdrawnKeyIntervals.push_back(checkInterval("key-2"));
        }
        break;
    case FaultKind::LeavingTarget:
        startTargetFault(m_host, fault, m_endingFaults.brokenTargets);
        m_leavingRuns.push_back({target.id, journalNow(), journalNow() + static_cast<double>(duration.count())});
        break;
    case FaultKind::OlderStoreCopy:
        if (comesBackAtEnd(fault)) {
            m_host.setFaults("store", R"({"down": true})");
        } else {
            m_host.bringBackCopy(copyAge(fault));
        }
        break;
    default:
        startTargetFault(m_host, fault, m_endingFaults.brokenTargets);
        break;
    }
}

void SoakRun::endFault(const Fault &fault)
{
    const std::size_t entry = entryIndexOf(fault);
    const DirectTarget &target = targetOf(fault);
    switch (fault.kind) {
    case FaultKind::KillEntry:
        restartEntry(entry);
        break;
    case FaultKind::KillAllEntries:
        for (std::size_t i = 0; i < m_size.entries; ++i) {
            restartEntry(i);
        }
        break;
    case FaultKind::PauseEntry:
        m_host.entries[entry].resume();
        break;
    case FaultKind::DrainTarget:
        m_host.registerTarget(target, "ready");
        break;
    case FaultKind::CutStore:
        storeRelayOf(fault).blackhole(false);
        break;
    case FaultKind::DelayStore:
        storeRelayOf(fault).setDelay(milliseconds(0));
        break;
    case FaultKind::WithdrawKey:
        --m_withdrawals;
        publishConfiguration();
        break;
    case FaultKind::LeavingTarget:
        endTargetFault(m_host, fault);
        m_host.registerNewRun(target.id);
        endLeavingRuns(m_leavingRuns, target.id, journalNow());
        break;
    case FaultKind::OlderStoreCopy:
        if (comesBackAtEnd(fault)) {
            m_host.bringBackCopy(copyAge(fault));
            m_host.setFaults("store", R"({"down": null})");
        }
        m_host.writeAgain();
        break;
    default:
        endTargetFault(m_host, fault);
        break;
    }
}

} // namespace

SoakOutcome runSoak(std::uint64_t seed, const SoakSize &size)
{
    return SoakRun(seed, size).run();
}

} // namespace snipehill::soak
