#include "intentsimulation.h"

#include "intentprocess.h"

#include <process/intentwriterstate.h>

#include <array>
#include <map>
#include <memory>
#include <set>
#include <utility>

namespace snipehill::test
{

namespace
{

constexpr milliseconds faultsEnd{10000};
constexpr milliseconds runEnd{17000};
constexpr milliseconds tick{80};
constexpr milliseconds responseTimeout{1000}; //!< of a call to the log
constexpr milliseconds claimTimeout{2000};
constexpr milliseconds longestPause{4000};
constexpr milliseconds runDelay{20}; //!< from ownership to the target
constexpr std::size_t processCount = 3;
constexpr std::size_t pageRecords = 8;

class Simulation
{
public:
    Simulation(std::uint64_t seed, IntentMutation mutation) : m_choices(seed), m_mutation(mutation)
    {
        m_faults = {.lossPercent = static_cast<int>(m_choices.between(0, 25)),
                    .duplicatePercent = 10,
                    .slowPercent = static_cast<int>(m_choices.between(0, 20)),
                    .usualDelay = milliseconds(30),
                    .longDelay = milliseconds(4000)};
        // In half of the runs, retention removes records while callers still repeat their keys.
        m_retention = m_choices.percent(50) ? milliseconds(60000) : milliseconds(9000);
        for (std::size_t i = 0; i < processCount; ++i) {
            m_processes[i].intents.self = {"sc-" + std::to_string(i), 1};
        }
    }

    IntentRun run()
    {
        for (std::size_t i = 0; i < processCount; ++i) {
            m_time.after(m_choices.time(1, 50), [this, i] {
                processTick(i);
            });
        }
        m_time.after(milliseconds(10), [this] {
            callerTick();
        });
        m_time.after(m_choices.time(300, 3000), [this] {
            faultTick();
        });
        m_time.run(faultsEnd);
        m_faults = {.usualDelay = milliseconds(30)};
        m_outageUntil = {};
        for (IntentProcess &process : m_processes) {
            process.pausedUntil = {};
        }
        m_time.run(runEnd - seconds(4));
        for (std::size_t i = 0; i < processCount; ++i) {
            m_lastClaims[i] = startClaim(i, {"bureau", "fees", "last-" + std::to_string(i)});
        }
        m_time.run(runEnd);
        checkArrivals();
        checkEnd();
        return m_run;
    }

private:
    void addViolation(std::string what)
    {
        m_run.violations.push_back(std::move(what));
    }

    TimePoint clock(std::size_t index) const
    {
        return TimePoint(m_time.now() + seconds(1000 * static_cast<std::int64_t>(index + 1)));
    }

    bool outage() const
    {
        return m_time.now() < m_outageUntil;
    }

    Offset firstRetained() const
    {
        Offset first = 0;
        while (first < static_cast<Offset>(m_records.size()) && m_appendedAt[static_cast<std::size_t>(first)] + m_retention < m_time.now()) {
            ++first;
        }
        return first;
    }

    /** Runs the action now or at the end of a pause, unless the process was restarted. */
    void deliver(std::size_t index, std::uint64_t incarnation, const VirtualTime::Action &action)
    {
        IntentProcess &process = m_processes[index];
        if (process.incarnation != incarnation) {
            return;
        }
        if (m_time.now() < process.pausedUntil) {
            m_time.at(process.pausedUntil, [=, this] {
                deliver(index, incarnation, action);
            });
            return;
        }
        action();
    }

    void callerTick()
    {
        if (m_time.now() >= faultsEnd) {
            return;
        }
        m_time.after(m_choices.time(20, 800), [this] {
            callerTick();
        });
        const auto index = static_cast<std::size_t>(m_choices.between(0, processCount - 1));
        const std::string workspace = m_choices.percent(50) ? "bureau" : "kaspiy";
        const IntentKey key{workspace, "fees", std::to_string(m_choices.between(0, 4))};
        const std::uint64_t incarnation = m_processes[index].incarnation;
        deliver(index, incarnation, [=, this] {
            startClaim(index, key);
        });
    }

    std::uint64_t startClaim(std::size_t index, const IntentKey &key)
    {
        const std::uint64_t claim = m_choices.number();
        addClaim(m_processes[index].intents, claim, key, "hash", clock(index) + claimTimeout);
        ++m_run.claims;
        return claim;
    }

    void processTick(std::size_t index)
    {
        m_time.after(tick, [this, index] {
            processTick(index);
        });
        IntentProcess &process = m_processes[index];
        if (m_time.now() < process.pausedUntil) {
            return;
        }
        resolveAll(index);
        if (process.busy) {
            return;
        }
        const auto due = appendDueAt(process.intents, clock(index));
        if (due && *due <= clock(index)) {
            append(index);
        } else if (!process.intents.pendingClaims.empty()) {
            read(index);
        }
    }

    /** Starts a call that ends with its response or at its timeout; later responses are ignored. */
    std::uint64_t beginCall(std::size_t index, const std::function<void(IntentProcess &)> &lost)
    {
        IntentProcess &process = m_processes[index];
        process.busy = true;
        const std::uint64_t call = ++process.call;
        const std::uint64_t incarnation = process.incarnation;
        m_time.after(responseTimeout, [=, this] {
            deliver(index, incarnation, [=, this] {
                if (m_processes[index].call == call && m_processes[index].busy) {
                    m_processes[index].busy = false;
                    lost(m_processes[index]);
                }
            });
        });
        return call;
    }

    void endCall(std::size_t index, std::uint64_t incarnation, std::uint64_t call, const std::function<void(IntentProcess &)> &answered)
    {
        deliver(index, incarnation, [=, this] {
            IntentProcess &process = m_processes[index];
            if (process.busy && process.call == call) {
                process.busy = false;
                answered(process);
                resolveAll(index);
            }
        });
    }

    void append(std::size_t index)
    {
        IntentProcess &process = m_processes[index];
        process.batch = takeNextBatch(process.intents);
        const auto record = std::make_shared<const Json::Value>(writeIntentRecord(process.batch->record));
        const std::uint64_t incarnation = process.incarnation;
        const std::uint64_t call = beginCall(index, [](IntentProcess &own) {
            onAppendResult(own.intents, *own.batch, false);
            own.lost = true;
        });
        sendMessage(m_time, m_choices, m_faults, [=, this] {
            if (outage()) {
                return;
            }
            m_records.push_back(record);
            m_appendedAt.push_back(m_time.now());
            trackRecordedEntries(*record);
            sendMessage(m_time, m_choices, m_faults, [=, this] {
                endCall(index, incarnation, call, [](IntentProcess &own) {
                    for (const IntentEntry &entry : own.batch->record.entries) {
                        own.acknowledged[entry.claim] = entry.key;
                    }
                    onAppendResult(own.intents, *own.batch, true);
                    own.lost = false;
                });
            });
        });
    }

    void trackRecordedEntries(const Json::Value &record)
    {
        Reason reason;
        const auto parsed = parseIntentRecord(record, reason);
        for (const IntentEntry &entry : parsed->entries) {
            if (entry.verb == IntentVerb::NotRun) {
                m_notRun[entry.claim] = static_cast<Offset>(m_records.size()) - 1;
            }
        }
    }

    void read(std::size_t index)
    {
        const Offset from = m_processes[index].intents.table.next;
        const std::uint64_t incarnation = m_processes[index].incarnation;
        const std::uint64_t call = beginCall(index, [](IntentProcess &) {});
        sendMessage(m_time, m_choices, m_faults, [=, this] {
            if (outage()) {
                return;
            }
            const Offset first = firstRetained();
            const auto page = std::make_shared<std::vector<std::pair<Offset, Json::Value>>>();
            for (Offset offset = std::max(from, first); offset < static_cast<Offset>(m_records.size()) && page->size() < pageRecords; ++offset) {
                page->emplace_back(offset, *m_records[static_cast<std::size_t>(offset)]);
            }
            sendMessage(m_time, m_choices, m_faults, [=, this] {
                endCall(index, incarnation, call, [=, this](IntentProcess &own) {
                    applyPage(own, first, *page);
                });
            });
        });
    }

    void applyPage(IntentProcess &process, Offset first, const std::vector<std::pair<Offset, Json::Value>> &page)
    {
        applyIntentPage(process.intents, first, page);
        if (m_mutation == IntentMutation::LaterClaimsDropped) {
            for (auto &[key, claims] : process.intents.table.claims) {
                claims.resize(1, claims.front());
            }
        }
        if (page.empty()) {
            requeueMissingClaims(process.intents);
        }
    }

    void resolveAll(std::size_t index)
    {
        IntentProcess &process = m_processes[index];
        std::vector<std::pair<std::uint64_t, PendingClaim>> pendingClaims(process.intents.pendingClaims.begin(), process.intents.pendingClaims.end());
        for (const auto &[claim, details] : pendingClaims) {
            if (m_mutation == IntentMutation::AcknowledgedCountsAsOwned && process.acknowledged.contains(claim)) {
                process.intents.pendingClaims.erase(claim);
                onOwned(index, claim, details.key);
                continue;
            }
            const auto result = resolveClaim(process.intents, claim, clock(index));
            if (!result) {
                continue;
            }
            if (std::holds_alternative<IntentOwned>(*result)) {
                onOwned(index, claim, details.key);
            } else if (std::holds_alternative<IntentOwnedByOther>(*result)) {
                ++m_run.ownedByOther;
            } else {
                ++m_run.logUnavailable;
                handleExpiredClaim(index, claim, details);
            }
        }
    }

    void handleExpiredClaim(std::size_t index, std::uint64_t claim, const PendingClaim &details)
    {
        if (m_mutation == IntentMutation::ExpiredClaimRuns && details.sent) {
            arriveAtTarget(index, claim, details.key);
        }
    }

    void onOwned(std::size_t index, std::uint64_t claim, const IntentKey &key)
    {
        m_owned.insert(claim);
        const std::uint64_t incarnation = m_processes[index].incarnation;
        if (m_choices.percent(15)) {
            // The target can't be reached: the request was not sent.
            addOutcome(m_processes[index].intents, {.verb = IntentVerb::NotRun, .key = key, .claim = claim}, clock(index));
            return;
        }
        m_time.after(runDelay, [=, this] {
            deliver(index, incarnation, [=, this] {
                arriveAtTarget(index, claim, key);
            });
        });
    }

    void arriveAtTarget(std::size_t index, std::uint64_t claim, const IntentKey &key)
    {
        m_arrivals.push_back({key, claim, m_time.now()});
        ++m_run.runs;
        const std::uint64_t incarnation = m_processes[index].incarnation;
        IntentEntry outcome{.verb = IntentVerb::Finished, .key = key, .claim = claim, .response = {200, "text/plain", "done", true}};
        if (m_mutation == IntentMutation::RunThenNotRun && m_choices.percent(20)) {
            outcome.verb = IntentVerb::NotRun;
        }
        m_time.after(m_choices.time(5, 1500), [=, this] {
            deliver(index, incarnation, [=, this] {
                addOutcome(m_processes[index].intents, outcome, clock(index));
            });
        });
    }

    void faultTick()
    {
        if (m_time.now() >= faultsEnd) {
            return;
        }
        m_time.after(m_choices.time(300, 3000), [this] {
            faultTick();
        });
        ++m_run.faults;
        IntentProcess &process = m_processes[static_cast<std::size_t>(m_choices.between(0, processCount - 1))];
        switch (m_choices.between(0, 2)) {
        case 0:
            process.pausedUntil = m_time.now() + m_choices.time(50, longestPause.count());
            break;
        case 1:
            restart(process);
            break;
        default:
            m_outageUntil = m_time.now() + m_choices.time(50, 4000);
        }
    }

    void restart(IntentProcess &process)
    {
        const Incarnation self{process.intents.self.instance, process.incarnation + 1};
        process = m_freshProcess;
        process.intents.self = self;
        process.incarnation = self.number;
    }

    void checkArrivals()
    {
        std::map<IntentKey, Duration> last;
        for (const TargetArrival &arrival : m_arrivals) {
            const auto before = last.find(arrival.key);
            // Repeats are recognized for the retention less the longest time between a claim and its run.
            if (before != last.end() && arrival.at - before->second < m_retention - longestPause - claimTimeout) {
                addViolation("key " + arrival.key.key + " of " + arrival.key.workspace + " ran twice");
            }
            last[arrival.key] = arrival.at;
            if (m_notRun.contains(arrival.claim)) {
                addViolation("a claim recorded as not run ran");
            }
        }
        m_run.freed = m_notRun.size();
    }

    void checkEnd()
    {
        for (std::size_t i = 0; i < processCount; ++i) {
            if (!m_owned.contains(m_lastClaims[i])) {
                addViolation("process " + std::to_string(i) + " could not claim a new key");
            }
        }
        IntentTable table;
        const Offset first = firstRetained();
        expireIntents(table, first);
        for (Offset offset = first; offset < static_cast<Offset>(m_records.size()); ++offset) {
            applyIntentRecord(table, offset, *m_records[static_cast<std::size_t>(offset)]);
        }
        for (const auto &[key, claims] : table.claims) {
            checkOwner(key, claims.front(), first);
        }
    }

    /**
     * Only claims that ran, or whose process is gone, may own a key permanently. A claim that arrives late may also own
     * it until retention removes the claim, if the "not run" record of that claim was removed before.
     */
    void checkOwner(const IntentKey &key, const IntentState &state, Offset first)
    {
        const auto notRun = m_notRun.find(state.claim);
        if (notRun != m_notRun.end() && notRun->second < first) {
            return;
        }
        for (const IntentProcess &process : m_processes) {
            if (process.intents.self == state.owner && !m_owned.contains(state.claim)) {
                addViolation("key " + key.key + " is held by a claim that will never run");
            }
        }
    }

    VirtualTime m_time;
    SeededRandom m_choices;
    IntentMutation m_mutation;
    NetworkFaults m_faults;
    Duration m_retention{};
    Duration m_outageUntil{};
    std::vector<std::shared_ptr<const Json::Value>> m_records;
    std::vector<Duration> m_appendedAt;
    std::array<IntentProcess, processCount> m_processes;
    IntentProcess m_freshProcess; //!< initial state of a restarted process
    std::array<std::uint64_t, processCount> m_lastClaims{};
    std::vector<TargetArrival> m_arrivals;
    std::map<std::uint64_t, Offset> m_notRun; //!< offset of the latest "not run" record by claim
    std::set<std::uint64_t> m_owned;
    IntentRun m_run;
};

} // namespace

IntentRun simulateIntents(std::uint64_t seed, IntentMutation mutation)
{
    return Simulation(seed, mutation).run();
}

} // namespace snipehill::test
