#include "soakrun.h"

#include "soakswitches.h"

#include "support/callers.h"
#include "support/directcluster.h"
#include "support/wait.h"

#include <algorithm>
#include <csignal>
#include <map>
#include <random>

namespace snipehill::soak
{

using namespace support;

namespace
{

constexpr milliseconds drainBound{2000}; // the entries' default, as that for new versions
constexpr milliseconds graceBound{8000}; // of the settings that the entries run with
constexpr milliseconds answerBound{5500}; // timeout of the routes and half a second
constexpr milliseconds recoverBound{12000};
constexpr milliseconds tick{5};
constexpr milliseconds thinkTime{20}; // of a caller between two requests; entries are busy, not flooded
constexpr milliseconds journalSlack{50}; // between a target's journal and the bounds' clock, both of this machine

const std::vector<DirectTarget> targets{{"p1", "plain", ""},
                                        {"p2", "plain", ""},
                                        {"p3", "plain", ""},
                                        {"e1", "engines", "prefill"},
                                        {"e2", "engines", "decode"},
                                        {"e3", "engines", "decode"},
                                        {"e4", "engines", "decode"}};

/** One run: the deployment, the traffic, and what has been done to it. Used by the main thread. */
class Soak
{
public:
    Soak(std::uint64_t seed, const SoakSize &size)
        : m_seed(seed), m_size(size), m_host(targets, DirectClusterOptions{.entries = size.entries, .useRelays = true})
    {
    }

    SoakOutcome play()
    {
        publish();
        for (std::size_t entry = 0; entry < m_size.entries; ++entry) {
            if (!m_host.waitUntilReady(entry)) {
                note("entry " + std::to_string(entry + 1) + " is not ready at the start");
            }
        }
        m_began = Clock::now();
        ClosedLoopCallers callers(static_cast<int>(m_size.callers), [this](int caller, int round) {
            return plan(caller, round);
        });
        for (const Fault &fault : planFaults(m_seed, m_size)) {
            schedule(fault);
        }
        passTime();
        checkRunning();
        checkRecovery();
        const std::vector<CallerRecord> records = callers.stop();
        check(records);
        return finish(records);
    }

private:
    struct Stopping
    {
        TimePoint since;
        bool disturbed = false; //!< paused or killed meanwhile
    };

    // Called by the callers' threads: depends on its arguments and the seed only.
    ClosedLoopCallers::PlannedCall plan(int caller, int round) const
    {
        sleepFor(thinkTime);
        static const std::vector<std::string> paths{"/read/x", "/post/x", "/ask/x", "/review/x"};
        std::mt19937_64 random(m_seed * 1000003 + static_cast<std::uint64_t>(caller) * 10007 + static_cast<std::uint64_t>(round));
        const std::string id = "c" + std::to_string(caller) + "r" + std::to_string(round);
        const std::string &path = paths[random() % paths.size()];
        const bool stream = path[1] == 'a' || path == "/review/x";
        const std::uint64_t tokens = random() % 2 == 0 ? 200 : 9000;
        ClosedLoopCallers::PlannedCall planned{m_host.callers(static_cast<std::size_t>(caller) % m_size.entries), "", {}};
        planned.call = stream ? promptCall(path, id, tokens) : directCall(path == "/post/x" ? "POST" : "GET", path, id, path == "/post/x" ? "fee" : "");
        planned.call.headers["X-Api-Key"] = random() % 4 == 0 ? "key-2" : "key-1";
        return planned;
    }

    void publish()
    {
        m_host.publish(defaultConfiguration(++m_version, m_secondKey ? R"(key-1","key-2)" : "key-1"));
    }

    void note(std::string violation)
    {
        m_outcome.violations.push_back(std::move(violation));
    }

    void schedule(const Fault &fault)
    {
        m_actions.emplace(fault.start, [this, fault] {
            m_outcome.faults.push_back(std::to_string(fault.start.count()) + " to " + std::to_string(fault.end.count()) + " ms: " + toString(fault.kind) + " "
                                       + std::to_string(fault.which));
            begin(fault);
        });
        m_actions.emplace(fault.end, [this, fault] {
            end(fault);
        });
    }

    /** An entry ends only when it is killed or told to stop. */
    void checkRunning()
    {
        for (std::size_t entry = 0; entry < m_size.entries; ++entry) {
            if (const auto code = m_host.entries[entry].waitForExit(milliseconds(0))) {
                note("entry " + std::to_string(entry + 1) + " ended by itself with code " + std::to_string(*code));
            }
        }
    }

    void passTime()
    {
        while (!m_actions.empty() || !m_stopping.empty() || Clock::now() < m_began + m_size.length) {
            while (!m_actions.empty() && Clock::now() >= m_began + m_actions.begin()->first) {
                const auto action = m_actions.extract(m_actions.begin());
                action.mapped()();
            }
            watchStopping();
            sleepFor(tick);
        }
    }

    std::size_t entryOf(const Fault &fault) const
    {
        return fault.which % m_size.entries;
    }

    static const DirectTarget &targetOf(const Fault &fault)
    {
        return targets[fault.which % targets.size()];
    }

    Relay &storeOf(const Fault &fault)
    {
        return m_host.storeRelay(entryOf(fault));
    }

    void setSwitch(const Fault &fault, const char *Switch::*state)
    {
        if (const Switch *found = switchOf(fault.kind)) {
            m_host.setFaults(found->ofStore ? "store" : targetOf(fault).id, found->*state);
        }
    }

    void begin(const Fault &fault);
    void end(const Fault &fault);

    void killEntry(std::size_t entry)
    {
        m_stopping.erase(entry);
        m_host.entries[entry].kill();
    }

    void restartEntry(std::size_t entry)
    {
        if (!m_host.entries[entry].running()) {
            m_stopping.erase(entry);
            m_host.restartEntry(entry);
        }
    }

    void pauseEntry(std::size_t entry)
    {
        if (m_stopping.contains(entry)) {
            m_stopping[entry].disturbed = true;
        }
        m_host.entries[entry].pause();
    }

    /** Entries that were told to stop end by themselves in time, and are started again. */
    void watchStopping()
    {
        for (auto stopping = m_stopping.begin(); stopping != m_stopping.end();) {
            const auto [entry, state] = *stopping;
            const bool late = Clock::now() - state.since > graceBound;
            const auto code = m_host.entries[entry].waitForExit(milliseconds(0));
            if (!code && !late) {
                ++stopping;
                continue;
            }
            if (!state.disturbed && (!code || *code != 0)) {
                note("entry " + std::to_string(entry + 1) + " did not end by itself after SIGTERM" + (code ? ", code " + std::to_string(*code) : ""));
            }
            stopping = m_stopping.erase(stopping);
            m_host.entries[entry].kill();
            m_host.restartEntry(entry);
        }
    }

    double now() const
    {
        return journalTime(Clock::now());
    }

    /** A promise with a bound is checked over a span only if nothing that may stretch it happens from the contact time before to its end. */
    bool isCalm(milliseconds from, milliseconds to) const
    {
        const std::set<FaultKind> harmless{FaultKind::ReloadEntry,
                                           FaultKind::FailWork,
                                           FaultKind::BreakStream,
                                           FaultKind::ExtraAnswers,
                                           FaultKind::RefuseWork,
                                           FaultKind::SlowTarget,
                                           FaultKind::PublishVersion,
                                           FaultKind::WithdrawKey,
                                           FaultKind::LeaveTarget};
        constexpr milliseconds contact{3000};
        const auto faults = planFaults(m_seed, m_size);
        return std::none_of(faults.begin(), faults.end(), [&](const Fault &fault) {
            return !harmless.contains(fault.kind) && fault.start < to && fault.end + contact > from;
        });
    }

    void checkRecovery()
    {
        for (const DirectTarget &target : targets) {
            m_host.registerTarget(target, "ready");
        }
        const TimePoint until = Clock::now() + recoverBound;
        for (std::size_t entry = 0; entry < m_size.entries; ++entry) {
            int round = 0;
            const bool served = waitUntil(
                [&] {
                    const Response answer = m_host.call(entry, directCall("GET", "/read/x", "last" + std::to_string(entry) + "r" + std::to_string(round++)));
                    return answer.status == 200;
                },
                std::max(milliseconds(1), std::chrono::duration_cast<milliseconds>(until - Clock::now())));
            if (!served) {
                note("entry " + std::to_string(entry + 1) + " serves nothing after all faults have ended");
            }
        }
    }

    void check(const std::vector<CallerRecord> &records)
    {
        const Journal journal = m_host.journal();
        for (std::size_t entry = 0; entry < m_size.entries; ++entry) {
            take(versionsGrow(m_host.logOf(entry)));
        }
        take(ranAtMostOnce(journal));
        take(promisesHold(records, journal));
        take(answersAreOwn(records, journal));
        Journal own = journal;
        std::erase_if(own, [](const Json::Value &event) {
            return event["id"].asString().starts_with("last");
        });
        take(keysStayHere(records, own));
        take(endInTime(records, answerBound + m_longestPause));
        take(usageReportedOnce(journal));
        take(ordersOfOneHolder(journal));
        take(leavingTargetsRest(m_leaving, journal));
        take(withdrawnKeysStop(m_withdrawn, records, journal));
    }

    void take(Violations found)
    {
        m_outcome.violations.insert(m_outcome.violations.end(), found.begin(), found.end());
    }

    SoakOutcome finish(const std::vector<CallerRecord> &records)
    {
        m_outcome.requests = records.size();
        m_outcome.served = static_cast<std::size_t>(std::count_if(records.begin(), records.end(), [](const CallerRecord &record) {
            return record.response.status == 200 && record.response.complete;
        }));
        if (!m_outcome.violations.empty()) {
            m_outcome.files = m_host.keepFiles();
        }
        return std::move(m_outcome);
    }

    const std::uint64_t m_seed;
    const SoakSize m_size;
    DirectCluster m_host;
    SoakOutcome m_outcome;
    TimePoint m_began{};
    int m_version = 0;
    bool m_secondKey = true;
    milliseconds m_longestPause{0};
    std::multimap<milliseconds, std::function<void()>> m_actions; //!< by time since the start
    std::map<std::size_t, Stopping> m_stopping; //!< by entry
    std::vector<CalmSpan> m_leaving;
    std::vector<CalmSpan> m_withdrawn;
};

void Soak::begin(const Fault &fault)
{
    const std::size_t entry = entryOf(fault);
    const DirectTarget &target = targetOf(fault);
    const milliseconds length = fault.end - fault.start;
    const auto span = [&](const std::string &subject) {
        return CalmSpan{subject, now() + static_cast<double>((drainBound + journalSlack).count()), now() + static_cast<double>(length.count())};
    };
    switch (fault.kind) {
    case FaultKind::KillEntry:
        killEntry(entry);
        break;
    case FaultKind::StopEntry:
        if (m_host.entries[entry].running() && m_stopping.try_emplace(entry, Stopping{Clock::now()}).second) {
            m_host.entries[entry].signal(SIGTERM);
        }
        break;
    case FaultKind::PauseEntry:
        m_longestPause += length;
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
    case FaultKind::KillTarget:
        m_host.targetProcesses.at(target.id).kill();
        break;
    case FaultKind::PauseTarget:
        m_host.targetProcesses.at(target.id).pause();
        break;
    case FaultKind::LeaveTarget:
        m_host.registerTarget(target, "draining");
        if (isCalm(fault.start, fault.end)) {
            m_leaving.push_back(span(target.id));
        }
        break;
    case FaultKind::DropTargetConnections:
        m_host.targetRelay(target.id).dropConnections();
        break;
    case FaultKind::SilenceTargetConnections:
        m_host.targetRelay(target.id).blackholeConnections();
        break;
    case FaultKind::CutTarget:
        m_host.targetRelay(target.id).blackhole(true);
        break;
    case FaultKind::DelayTarget:
        m_host.targetRelay(target.id).setDelay(length / 10);
        break;
    case FaultKind::DropStoreConnections:
        storeOf(fault).dropConnections();
        break;
    case FaultKind::SilenceStoreConnections:
        storeOf(fault).blackholeConnections();
        break;
    case FaultKind::CutStore:
        storeOf(fault).blackhole(true);
        break;
    case FaultKind::DelayStore:
        storeOf(fault).setDelay(length / 10);
        break;
    case FaultKind::PublishVersion:
        publish();
        break;
    case FaultKind::WithdrawKey:
        m_secondKey = false;
        publish();
        if (isCalm(fault.start, fault.end)) {
            m_withdrawn.push_back(span("key-2"));
        }
        break;
    default:
        setSwitch(fault, &Switch::on);
        break;
    }
}

void Soak::end(const Fault &fault)
{
    const std::size_t entry = entryOf(fault);
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
    case FaultKind::KillTarget:
        if (!m_host.targetProcesses.at(target.id).running()) {
            m_host.restartTarget(target.id);
        }
        break;
    case FaultKind::PauseTarget:
        m_host.targetProcesses.at(target.id).resume();
        break;
    case FaultKind::LeaveTarget:
        m_host.registerTarget(target, "ready");
        break;
    case FaultKind::CutTarget:
        m_host.targetRelay(target.id).blackhole(false);
        break;
    case FaultKind::DelayTarget:
        m_host.targetRelay(target.id).setDelay(milliseconds(0));
        break;
    case FaultKind::CutStore:
        storeOf(fault).blackhole(false);
        break;
    case FaultKind::DelayStore:
        storeOf(fault).setDelay(milliseconds(0));
        break;
    case FaultKind::WithdrawKey:
        m_secondKey = true;
        publish();
        break;
    default:
        setSwitch(fault, &Switch::off);
        break;
    }
}

} // namespace

SoakOutcome runSoak(std::uint64_t seed, const SoakSize &size)
{
    return Soak(seed, size).play();
}

} // namespace snipehill::soak
