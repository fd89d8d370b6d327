#include "leasesimulation.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <memory>

namespace snipehill::test
{

namespace
{

constexpr int processCount = 3;
constexpr milliseconds runTime{24000};
constexpr milliseconds callTimeout{300};
constexpr milliseconds readTimeout{1500};
constexpr milliseconds minRetention{3000}; //!< longer than a lease on any of the drifting clocks
constexpr std::size_t pageRecords = 20;
const LeaseSettings leaseSettings{.duration = milliseconds(2000), .margin = milliseconds(400)};

/** Log service that applies each append and read at the time of its arrival. */
struct FakeLog
{
    LogEra era = 0;
    Offset firstRetained = 0;
    std::vector<LeaseRecord> records;
    std::vector<Duration> appended;
    std::map<Duration, Offset> firstRetainedSince; //!< by time of change
    Duration outageUntil{};

    bool down(Duration now) const
    {
        return now < outageUntil;
    }

    /** Goes back to what was appended and retained at the given time. */
    void returnTo(Duration time)
    {
        ++era;
        while (!records.empty() && appended.back() > time) {
            records.pop_back();
            appended.pop_back();
        }
        const auto later = firstRetainedSince.upper_bound(time);
        firstRetained = later == firstRetainedSince.begin() ? 0 : std::prev(later)->second;
        firstRetainedSince.erase(later, firstRetainedSince.end());
    }
};

struct Process
{
    int index = 0;
    Incarnation self;
    DriftingClock clock;
    LeaseTable table;
    std::unique_ptr<LeaseStateMachine> holder;
    bool readOnce = false;
    bool caughtUp = false;
    bool stopping = false;
    Duration pausedUntil{};
    Duration cutUntil{}; //!< until then, neither calls to the log nor its responses arrive
    std::optional<std::uint64_t> awaitedRead;
    Duration readSent{};
    std::optional<TimePoint> mutatedValidUntil; //!< for the mutation ValidityFromReceipt
    std::optional<TimePoint> recordedValidUntil;
};

class LeaseSimulation
{
public:
    LeaseSimulation(std::uint64_t seed, LeaseMutation mutation, LeaseLogKind kind) : m_choices(seed), m_mutation(mutation), m_kind(kind)
    {
        m_faults.lossPercent = static_cast<int>(m_choices.between(0, 15));
        m_faults.duplicatePercent = static_cast<int>(m_choices.between(0, 10));
        m_faults.slowPercent = static_cast<int>(m_choices.between(0, 15));
        m_faults.usualDelay = m_choices.time(2, 300);
    }

    LeaseRunHistory run()
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
        m_time.run(runTime);
        return std::move(m_history);
    }

private:
    void startProcess(Process &process)
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
        process.awaitedRead.reset();
        process.mutatedValidUntil.reset();
    }

    LeaseSettings settings() const
    {
        LeaseSettings result = leaseSettings;
        if (m_mutation == LeaseMutation::NoMargin) {
            result.margin = milliseconds(0);
        }
        return result;
    }

    void injectFault()
    {
        ++m_history.faults;
        Process &process = m_processes[m_choices.between(0, processCount - 1)];
        switch (m_choices.between(0, m_kind == LeaseLogKind::Copied ? 8 : 5)) {
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
        m_time.after(m_choices.time(300, 4000), [this] {
            injectFault();
        });
    }

    /** The log comes back from an older copy; beside it, by chance: again soon after, restarts, a process without the log. */
    void injectCopy()
    {
        const Duration beforeCopy = m_choices.time(0, 1000);
        if (m_choices.percent(50)) {
            m_log.outageUntil = m_time.now() + beforeCopy;
        }
        if (m_choices.percent(30)) {
            m_processes[m_choices.between(0, processCount - 1)].cutUntil = m_time.now() + m_choices.time(500, 6000);
        }
        const bool restartAll = m_choices.percent(15);
        const bool restartOne = m_choices.percent(40);
        for (Process &process : m_processes) {
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

    /** Planned stop: no calls any more, then the release, then a new incarnation. */
    void stopProcess(Process &process)
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

    void releaseLease(Process &process)
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

    void expireRecords(std::int64_t count)
    {
        for (; count > 0 && m_log.firstRetained < static_cast<Offset>(m_log.records.size()); --count) {
            if (m_log.appended[static_cast<std::size_t>(m_log.firstRetained)] + minRetention > m_time.now()) {
                return;
            }
            ++m_log.firstRetained;
            m_log.firstRetainedSince[m_time.now()] = m_log.firstRetained;
        }
    }

    bool isCut(const Process &process) const
    {
        return m_time.now() < process.cutUntil;
    }

    bool paused(const Process &process) const
    {
        return m_time.now() < process.pausedUntil;
    }

    /** Runs the action now, or at the end of a pause unless the process is restarted before. */
    void whenRunning(Process &process, const VirtualTime::Action &action)
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

    void tick(Process &process)
    {
        if (!paused(process)) {
            appendDueRecord(process);
            readNext(process);
            callPlatform(process);
        }
        m_time.after(m_choices.time(60, 240), [this, &process] {
            tick(process);
        });
    }

    void appendDueRecord(Process &process)
    {
        const TimePoint now = process.clock.at(m_time.now());
        const auto record = process.stopping ? std::nullopt : process.holder->nextRecord(process.table, now, m_choices.number());
        if (!record) {
            return;
        }
        m_history.claims += record->action == LeaseAction::Claim ? 1 : 0;
        sendAppend(process, *record);
    }

    void sendAppend(const Process &process, const LeaseRecord &record)
    {
        if (isCut(process)) {
            return;
        }
        sendMessage(m_time, m_choices, m_faults, [this, record] {
            if (!m_log.down(m_time.now())) {
                m_log.records.push_back(record);
                m_log.appended.push_back(m_time.now());
            }
        });
    }

    void readNext(Process &process)
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
        sendMessage(m_time, m_choices, m_faults, [this, &process, id, from] {
            if (m_log.down(m_time.now()) || isCut(process)) {
                return;
            }
            LeasePageCopy page = readPage(from);
            sendMessage(m_time, m_choices, m_faults, [this, &process, id, page = std::move(page)] {
                whenRunning(process, [this, &process, id, page] {
                    applyPage(process, id, page);
                });
            });
        });
    }

    struct LeasePageCopy
    {
        Offset from = 0;
        Offset firstRetained = 0;
        Offset first = 0;
        std::vector<LeaseRecord> records;
    };

    LeasePageCopy readPage(Offset from) const
    {
        LeasePageCopy page{.from = from, .firstRetained = m_log.firstRetained, .first = std::max(from, m_log.firstRetained), .records = {}};
        for (std::size_t offset = static_cast<std::size_t>(page.first); offset < m_log.records.size() && page.records.size() < pageRecords; ++offset) {
            page.records.push_back(m_log.records[offset]);
        }
        return page;
    }

    void applyPage(Process &process, std::uint64_t id, const LeasePageCopy &page)
    {
        if (process.awaitedRead != id || isCut(process)) {
            return;
        }
        process.awaitedRead.reset();
        const TimePoint now = process.clock.at(m_time.now());
        if (!process.readOnce || page.from < page.firstRetained) {
            process.table = startLeaseTable(page.firstRetained);
            process.readOnce = true;
            process.caughtUp = false;
            process.holder->onGap();
        }
        for (std::size_t i = 0; i < page.records.size(); ++i) {
            applyRecord(process, page.first + static_cast<Offset>(i), page.records[i], now);
        }
        advanceReadPosition(process.table, page.firstRetained, page.first + static_cast<Offset>(page.records.size()));
        process.caughtUp = process.caughtUp || page.records.empty();
        if (process.caughtUp) {
            process.holder->onCaughtUp(process.table, now);
        }
        recordValidity(process);
    }

    void applyRecord(Process &process, Offset offset, LeaseRecord record, TimePoint now)
    {
        if (m_mutation == LeaseMutation::AnyClaimHasEffect && record.action == LeaseAction::Claim) {
            record.replaces = noOffset;
            record.firstRetained = offset;
        }
        const LeaseEffect effect = applyLeaseRecord(process.table, offset, record);
        if (m_mutation == LeaseMutation::NoClaimDelay) {
            record.duration = -leaseSettings.margin;
        }
        process.holder->onRecord(process.table, effect, record, now);
        if (effect == LeaseEffect::Effective) {
            process.mutatedValidUntil.reset();
            if (record.holder == process.self) {
                process.mutatedValidUntil = now + leaseSettings.duration - leaseSettings.margin;
            }
        }
    }

    std::optional<TimePoint> validUntil(const Process &process) const
    {
        return m_mutation == LeaseMutation::ValidityFromReceipt ? process.mutatedValidUntil : process.holder->validUntil();
    }

    bool mayCall(const Process &process) const
    {
        const milliseconds timeout = m_mutation == LeaseMutation::NoCallTimeout ? milliseconds(0) : callTimeout;
        const TimePoint now = process.clock.at(m_time.now());
        if (m_mutation == LeaseMutation::ValidityFromReceipt) {
            return process.mutatedValidUntil && now + timeout <= *process.mutatedValidUntil;
        }
        return !process.stopping && process.holder->mayCall(now, timeout);
    }

    void callPlatform(Process &process)
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
            const CallArrival arrival{process.index, process.self.number, process.holder->epoch().value_or(noOffset), m_time.now() + travel};
            m_history.callArrivals.push_back(arrival);
        });
    }

    // A period is recorded to its full end even if the process dies earlier, since its calls may still be in flight.
    void recordValidity(Process &process)
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

    VirtualTime m_time;
    SeededRandom m_choices;
    LeaseMutation m_mutation;
    LeaseLogKind m_kind;
    NetworkFaults m_faults;
    FakeLog m_log;
    Process m_processes[processCount];
    LeaseRunHistory m_history;
};

bool overlap(const ValidPeriod &left, const ValidPeriod &right)
{
    return left.from < right.until && right.from < left.until;
}

bool covers(const ValidPeriod &period, const CallArrival &arrival)
{
    return period.incarnation == arrival.incarnation && period.from <= arrival.at && arrival.at <= period.until;
}

} // namespace

LeaseRunHistory simulateLease(std::uint64_t seed, LeaseMutation mutation, LeaseLogKind kind)
{
    return LeaseSimulation(seed, mutation, kind).run();
}

std::vector<std::string> checkLease(const LeaseRunHistory &history)
{
    std::vector<std::string> violations;
    for (std::size_t i = 0; i < history.validPeriods.size(); ++i) {
        for (std::size_t j = i + 1; j < history.validPeriods.size(); ++j) {
            const ValidPeriod &left = history.validPeriods[i];
            const ValidPeriod &right = history.validPeriods[j];
            if (left.incarnation != right.incarnation && overlap(left, right)) {
                violations.push_back("two valid leases at the same time: " + std::to_string(left.process) + " and " + std::to_string(right.process));
            }
        }
    }
    for (const CallArrival &arrival : history.callArrivals) {
        const bool covered = std::any_of(history.validPeriods.begin(), history.validPeriods.end(), [&arrival](const ValidPeriod &period) {
            return covers(period, arrival);
        });
        if (!covered) {
            violations.push_back("call of process " + std::to_string(arrival.process) + " outside its valid period");
        }
    }
    return violations;
}

std::vector<std::string> checkTokens(const LeaseRunHistory &history)
{
    std::vector<CallArrival> calls = history.callArrivals;
    std::stable_sort(calls.begin(), calls.end(), [](const CallArrival &left, const CallArrival &right) {
        return left.at < right.at;
    });
    std::vector<std::string> violations;
    const auto violated = [&violations](const char *rule, const CallArrival &call) {
        violations.push_back(std::string(rule) + ": process " + std::to_string(call.process) + ", token " + std::to_string(call.epoch));
    };
    std::map<Offset, std::uint64_t> users;
    std::map<int, CallArrival> latestCalls; // by process
    Offset highest = noOffset;
    for (const CallArrival &call : calls) {
        if (users.try_emplace(call.epoch, call.incarnation).first->second != call.incarnation) {
            violated("token of two incarnations", call);
        }
        if (call.epoch < highest) {
            violated("token lower than an earlier one", call);
        }
        highest = std::max(highest, call.epoch);
        const auto before = latestCalls.find(call.process);
        const bool returns = before != latestCalls.end() && call.at - before->second.at < simulatedTurnPeriod
            && std::any_of(latestCalls.begin(), latestCalls.end(), [&](const auto &entry) {
                                 return entry.first != call.process && entry.second.at > before->second.at;
                             });
        if (returns) {
            violated("holder returned within the turn period", call);
        }
        latestCalls[call.process] = call;
    }
    return violations;
}

} // namespace snipehill::test
