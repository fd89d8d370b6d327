#include "configsimulation.h"

#include "configrecords.h"
#include "replicatedstate.h"

#include <process/configreplica.h>
#include <version/configsnapshot.h>

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <utility>

namespace snipehill::test
{

namespace
{

constexpr milliseconds faultsEnd{12000};
constexpr milliseconds runEnd{16000};
constexpr milliseconds freshness{3000};
constexpr milliseconds readInterval{300};
constexpr milliseconds peerInterval{500};
constexpr std::size_t processCount = 4;
constexpr std::size_t pageRecords = 8;

struct Process
{
    std::string name;
    int supportedSchemaVersion = 1;
    ConfigReplica replica;
    std::uint64_t incarnation = 0;
    Offset highest = noOffset; //!< highest offset of this incarnation
    Duration pausedUntil{};
    Duration cutUntil{}; //!< until when the process is cut off from the log
};

class Simulation
{
public:
    Simulation(std::uint64_t seed, ConfigMutation mutation) : m_choices(seed), m_mutation(mutation)
    {
        for (std::size_t i = 0; i < processCount; ++i) {
            m_processes[i].name = "p" + std::to_string(i);
            m_processes[i].supportedSchemaVersion = i % 2 == 0 ? 1 : 2;
            m_processes[i].replica.fold.config.supportedSchemaVersion = m_processes[i].supportedSchemaVersion;
        }
        for (const int supportedSchemaVersion : {1, 2}) {
            ConfigFold &fold = m_reference[supportedSchemaVersion];
            fold.config.supportedSchemaVersion = supportedSchemaVersion;
            beginPage(fold, 0);
            m_known[supportedSchemaVersion][noOffset] = replicatedStateOf(fold.config);
        }
        m_faults = {.lossPercent = static_cast<int>(m_choices.between(0, 20)),
                    .duplicatePercent = 10,
                    .slowPercent = static_cast<int>(m_choices.between(0, 20)),
                    .usualDelay = milliseconds(30),
                    .longDelay = milliseconds(2500)};
    }

    ConfigRun run()
    {
        for (std::size_t i = 0; i < processCount; ++i) {
            m_time.after(m_choices.time(0, 500), [this, i] {
                readTick(i);
            });
            m_time.after(m_choices.time(0, 500), [this, i] {
                peerTick(i);
            });
        }
        m_time.after(m_choices.time(0, 500), [this] {
            operatorTick();
        });
        m_time.after(m_choices.time(1000, 4000), [this] {
            snapshotTick();
        });
        m_time.after(m_choices.time(500, 3000), [this] {
            faultTick();
        });
        m_time.run(faultsEnd);
        m_faults = {.usualDelay = milliseconds(30)};
        m_outageUntil = {};
        for (Process &process : m_processes) {
            process.cutUntil = {};
            process.pausedUntil = {};
        }
        m_time.run(runEnd);
        checkEnd();
        m_run.records = m_records.size();
        return m_run;
    }

private:
    TimePoint clock(const Process &process) const
    {
        // Each process has its own clock; the clocks differ by far more than the length of a run.
        const auto index = static_cast<std::int64_t>(&process - m_processes.data());
        return TimePoint(m_time.now() + seconds(1000 * (index + 1)));
    }

    void addViolation(const std::string &what)
    {
        m_run.violations.push_back(what + " at " + std::to_string(std::chrono::duration_cast<milliseconds>(m_time.now()).count()) + " ms");
    }

    void append(const Json::Value &record)
    {
        m_records.push_back(record);
        m_appendedAt.push_back(m_time.now());
        const auto offset = static_cast<Offset>(m_records.size()) - 1;
        for (auto &[supportedSchemaVersion, fold] : m_reference) {
            advance(fold, offset, record);
            m_known[supportedSchemaVersion][offset] = replicatedStateOf(fold.config);
        }
        m_run.snapshots += m_reference[1].config.snapshotOffset == offset ? 1 : 0;
    }

    void sendToLog(Json::Value value)
    {
        // Shared, because events are copied while they are delivered.
        const auto record = std::make_shared<const Json::Value>(std::move(value));
        sendMessage(m_time, m_choices, m_faults, [this, record] {
            if (!outage()) {
                append(*record);
            }
        });
    }

    bool outage() const
    {
        return m_time.now() < m_outageUntil;
    }

    /** Runs the action now, or after the end of a pause of the process; not at all if the process was restarted meanwhile. */
    void deliver(std::size_t index, std::uint64_t incarnation, const VirtualTime::Action &action)
    {
        Process &process = m_processes[index];
        if (process.incarnation != incarnation) {
            return;
        }
        if (m_time.now() < process.pausedUntil) {
            m_time.at(process.pausedUntil, [this, index, incarnation, action] {
                deliver(index, incarnation, action);
            });
            return;
        }
        action();
        check(process);
    }

    void readTick(std::size_t index)
    {
        m_time.after(readInterval, [this, index] {
            readTick(index);
        });
        Process &process = m_processes[index];
        if (m_time.now() < process.pausedUntil || m_time.now() < process.cutUntil) {
            return;
        }
        const Offset from = process.replica.fold.nextRead;
        const TimePoint sentAt = clock(process);
        const std::uint64_t incarnation = process.incarnation;
        sendMessage(m_time, m_choices, m_faults, [this, index, incarnation, from, sentAt] {
            respondToRead(index, incarnation, from, sentAt);
        });
    }

    void respondToRead(std::size_t index, std::uint64_t incarnation, Offset from, TimePoint sentAt)
    {
        if (outage()) {
            return;
        }
        const auto page = std::make_shared<LogPage>(LogPage{.firstRetained = m_firstRetained, .next = static_cast<Offset>(m_records.size())});
        for (Offset offset = std::max(from, m_firstRetained); offset < page->next && page->records.size() < pageRecords; ++offset) {
            page->records.push_back({offset, m_records[static_cast<std::size_t>(offset)]});
        }
        if (!page->records.empty()) {
            page->next = page->records.back().offset + 1;
        }
        sendMessage(m_time, m_choices, m_faults, [this, index, incarnation, page, sentAt] {
            deliver(index, incarnation, [this, index, page, sentAt] {
                applyResponse(m_processes[index], *page, sentAt);
            });
        });
    }

    void applyResponse(Process &process, const LogPage &page, TimePoint sentAt)
    {
        const TimePoint now = clock(process);
        const TimePoint contactAt = m_mutation == ConfigMutation::ContactFromResponseTime ? now : sentAt;
        if (m_mutation == ConfigMutation::GapIgnored && !page.records.empty()) {
            process.replica.fold.nextRead = page.records.front().offset;
            process.replica.fold.complete = true;
            LogPage joined = page;
            joined.firstRetained = 0;
            applyPage(process.replica, joined, contactAt, now, {});
            return;
        }
        applyPage(process.replica, page, contactAt, now, {});
    }

    void peerTick(std::size_t index)
    {
        m_time.after(peerInterval, [this, index] {
            peerTick(index);
        });
        Process &process = m_processes[index];
        if (m_time.now() < process.pausedUntil) {
            return;
        }
        const auto other = static_cast<std::size_t>(m_choices.between(0, processCount - 1));
        if (other == index) {
            return;
        }
        if (m_choices.percent(30)) {
            pushTo(index, other);
        } else {
            pullFrom(index, other);
        }
    }

    void pullFrom(std::size_t index, std::size_t other)
    {
        const Process &process = m_processes[index];
        const TimePoint sentAt = clock(process);
        const Offset from = pullOffset(process.replica);
        const std::uint64_t incarnation = process.incarnation;
        const std::uint64_t otherIncarnation = m_processes[other].incarnation;
        sendMessage(m_time, m_choices, m_faults, [=, this] {
            deliver(other, otherIncarnation, [=, this] {
                const auto update = std::make_shared<const Json::Value>(makeUpdate(m_processes[other], from));
                sendMessage(m_time, m_choices, m_faults, [=, this] {
                    deliver(index, incarnation, [=, this] {
                        applyUpdate(m_processes[index], *update, sentAt);
                    });
                });
            });
        });
    }

    void pushTo(std::size_t index, std::size_t other)
    {
        const auto update = std::make_shared<const Json::Value>(makeUpdate(m_processes[index], m_processes[other].replica.fold.config.offset));
        const std::uint64_t otherIncarnation = m_processes[other].incarnation;
        sendMessage(m_time, m_choices, m_faults, [=, this] {
            deliver(other, otherIncarnation, [=, this] {
                const bool provesContact = m_mutation == ConfigMutation::PushProvesContact;
                const TimePoint now = clock(m_processes[other]);
                applyUpdate(m_processes[other], *update, provesContact ? std::optional(now) : std::nullopt);
            });
        });
    }

    Json::Value makeUpdate(const Process &process, Offset from)
    {
        Json::Value update = makeConfigUpdate(process.replica, process.name, from, clock(process));
        if (m_mutation == ConfigMutation::WithdrawalsDropped && update.isMember("copy")) {
            update["copy"] = writeSnapshot(process.replica.fold.config);
            Json::Value kept(Json::arrayValue);
            for (const Json::Value &entry : update["copy"]["entries"]) {
                if (!entry["record"]["withdrawn"].asBool()) {
                    kept.append(entry);
                }
            }
            update["copy"]["entries"] = kept;
        }
        return update;
    }

    void applyUpdate(Process &process, const Json::Value &update, std::optional<TimePoint> sentAt)
    {
        if (m_mutation == ConfigMutation::OlderCopyApplied && update.isMember("copy")) {
            process.replica.fold.config.offset = noOffset;
        }
        applyConfigUpdate(process.replica, update, sentAt, {});
    }

    Json::Value randomRecord()
    {
        static constexpr std::array kinds{"workspace", "key", "targetGroup", "route"};
        static constexpr std::array kindValues{RecordKind::Workspace, RecordKind::Key, RecordKind::TargetGroup, RecordKind::Route};
        const auto kind = static_cast<std::size_t>(m_choices.between(0, 3));
        Json::Value record(Json::objectValue);
        record["kind"] = kinds[kind];
        record["name"] = randomName(m_choices, kinds[kind]);
        const int version = m_choices.percent(25) ? 2 : 1;
        record["schemaVersion"] = version;
        // An operator sees the configuration in force in some process, which may be old.
        const Process &observed = m_processes[static_cast<std::size_t>(m_choices.between(0, processCount - 1))];
        const auto replaces = replaceableOffset(observed.replica.fold.config, {kindValues[kind], record["name"].asString()}, version);
        record["replaces"] = replaces ? Json::Value(Json::Int64(*replaces)) : Json::Value();
        if (replaces && m_choices.percent(30)) {
            record["withdrawn"] = true;
        } else {
            record["spec"] = randomSpec(m_choices, kinds[kind]);
        }
        return record;
    }

    void operatorTick()
    {
        if (m_time.now() >= faultsEnd) {
            return;
        }
        m_time.after(m_choices.time(50, 1200), [this] {
            operatorTick();
        });
        const bool late = !m_records.empty() && m_choices.percent(10);
        const auto again = static_cast<std::size_t>(m_choices.between(0, static_cast<std::int64_t>(m_records.size()) - (m_records.empty() ? 0 : 1)));
        sendToLog(late ? m_records[again] : randomRecord());
    }

    void snapshotTick()
    {
        if (m_time.now() >= faultsEnd) {
            return;
        }
        m_time.after(m_choices.time(500, 4000), [this] {
            snapshotTick();
        });
        const Process &writer = m_processes[static_cast<std::size_t>(m_choices.between(0, processCount - 1))];
        if (!writer.replica.fold.complete || writer.replica.fold.config.offset == noOffset) {
            return;
        }
        sendToLog(writeSnapshot(writer.replica.fold.config));
    }

    void faultTick()
    {
        if (m_time.now() >= faultsEnd) {
            return;
        }
        m_time.after(m_choices.time(300, 4000), [this] {
            faultTick();
        });
        ++m_run.faults;
        const auto index = static_cast<std::size_t>(m_choices.between(0, processCount - 1));
        Process &process = m_processes[index];
        switch (m_choices.between(0, 4)) {
        case 0:
            process.pausedUntil = m_time.now() + m_choices.time(100, 6000);
            break;
        case 1:
            restart(process);
            break;
        case 2:
            m_outageUntil = m_time.now() + m_choices.time(100, 6000);
            break;
        case 3:
            process.cutUntil = m_time.now() + m_choices.time(1000, 6000);
            break;
        default:
            // Retention also removes records in force, but never the newest snapshot.
            m_firstRetained = m_choices.between(m_firstRetained, std::max(m_firstRetained, m_reference[1].config.snapshotOffset));
        }
    }

    void restart(Process &process)
    {
        process.replica = m_emptyReplica;
        process.replica.fold.config.supportedSchemaVersion = process.supportedSchemaVersion;
        process.highest = noOffset;
        process.pausedUntil = {};
        ++process.incarnation;
    }

    void check(Process &process)
    {
        const ConfigFold &fold = process.replica.fold;
        if (fold.config.offset < process.highest) {
            addViolation(process.name + " went back from " + std::to_string(process.highest) + " to " + std::to_string(fold.config.offset));
        }
        const bool changed = fold.config.offset != process.highest;
        process.highest = fold.config.offset;
        if (changed && !(replicatedStateOf(fold.config) == m_known[process.supportedSchemaVersion][fold.config.offset])) {
            addViolation(process.name + " differs from the others at " + std::to_string(fold.config.offset));
        }
        checkFreshness(process);
    }

    Freshness currentFreshness(const Process &process) const
    {
        std::vector<std::string> others;
        for (const Process &other : m_processes) {
            if (other.name != process.name) {
                others.push_back(other.name);
            }
        }
        return evaluateFreshness(freshnessInputs(process.replica, others), freshness, clock(process));
    }

    void checkFreshness(const Process &process)
    {
        if (currentFreshness(process) != Freshness::Fresh) {
            return;
        }
        const auto next = static_cast<std::size_t>(process.replica.fold.config.offset + 1);
        if (next < m_records.size() && m_appendedAt[next] < m_time.now() - freshness) {
            addViolation(process.name + " reports itself as fresh without record " + std::to_string(next));
        }
    }

    void checkEnd()
    {
        for (const Process &process : m_processes) {
            if (process.replica.fold.config.offset + 1 != static_cast<Offset>(m_records.size())) {
                addViolation(process.name + " does not have the newest configuration");
            } else if (currentFreshness(process) != Freshness::Fresh) {
                addViolation(process.name + " is not fresh");
            }
        }
    }

    VirtualTime m_time;
    SeededRandom m_choices;
    ConfigMutation m_mutation;
    NetworkFaults m_faults;
    std::vector<Json::Value> m_records;
    std::vector<Duration> m_appendedAt;
    Offset m_firstRetained = 0;
    Duration m_outageUntil{};
    std::array<Process, processCount> m_processes;
    ConfigReplica m_emptyReplica; //!< replica of a process that starts
    std::map<int, ConfigFold> m_reference; //!< by schema version understood; has read all records
    std::map<int, std::map<Offset, ReplicatedState>> m_known;
    ConfigRun m_run;
};

} // namespace

ConfigRun simulateConfig(std::uint64_t seed, ConfigMutation mutation)
{
    return Simulation(seed, mutation).run();
}

} // namespace snipehill::test
