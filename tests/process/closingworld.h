#pragma once

#include "closingsimulation.h"
#include "leaseoracle.h"
#include "simulatedlog.h"

#include <process/windowclosing.h>

#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace snipehill::test
{

/** Entries that count, publish and tell each other their counts, and their calls to a log that may lose answers or append late. */
class ClosingWorld
{
public:
    ClosingWorld(std::uint64_t seed, LogLoss loss, std::set<ClosingMutation> leftOut) : m_choices(seed), m_loss(loss), m_leftOut(std::move(leftOut))
    {
        m_lossPercent = static_cast<int>(m_choices.between(0, 4));
        m_latePercent = static_cast<int>(m_choices.between(0, 8));
        const bool isolated = m_choices.percent(50) && loss != LogLoss::Expiry;
        m_peerLossPercent = isolated ? 100 : static_cast<int>(m_choices.between(0, 30));
    }
    virtual ~ClosingWorld() = default;
    ClosingWorld(const ClosingWorld &) = delete;
    ClosingWorld &operator=(const ClosingWorld &) = delete;

protected:
    static constexpr std::size_t entryCount = 4;
    static constexpr WindowTimes windows{};
    static constexpr milliseconds servingTime{85000};
    static constexpr milliseconds reportTimeout{800};
    static constexpr milliseconds storeTimeout{1000};
    static constexpr const char *countsStream = "usage-counts";

    struct Entry
    {
        std::size_t index = 0;
        bool alive = false;
        bool earlier = false; //!< version that knows no era, no opening record and no final figures
        std::int64_t clockOffsetMs = 0;
        LeaseOracle::Candidate candidate;
        UsageCounts counts;
        UsageRows published;
        WindowNumber publishedOpen = 0;
        LogEra publishedEra = 0;
        MergedUsage merged;
        LogPosition countsPosition;
        WindowClosing closing;
        Duration frozenUntil{};
        Duration cutUntil{};
    };

    using Action = std::function<void()>;

    /** One round of the window reporter of an entry. */
    virtual void step(Entry &entry) = 0;
    /** Called at each append to the ledger and each report. */
    virtual void moment() = 0;

    bool leftOut(ClosingMutation rule) const
    {
        return m_leftOut.contains(rule);
    }

    std::chrono::system_clock::time_point wallTime(const Entry &entry, Duration time) const
    {
        return std::chrono::system_clock::time_point(std::chrono::duration_cast<std::chrono::system_clock::duration>(time))
            + milliseconds(1000000 + entry.clockOffsetMs);
    }

    WindowNumber currentWindow(const Entry &entry) const
    {
        return windowOf(wallTime(entry, m_time.now()), windows.window);
    }

    TimePoint now() const
    {
        return TimePoint(m_time.now());
    }

    /** Runs the action of an entry after a delay, unless it is no longer the same run; frozen entries go on when they thaw. */
    void after(Entry &entry, Duration delay, Action action)
    {
        m_time.after(delay, [this, &entry, run = entry.candidate.self, action = std::move(action)] {
            if (!entry.alive || !(entry.candidate.self == run)) {
                return;
            }
            if (m_time.now() < entry.frozenUntil) {
                after(entry, entry.frozenUntil - m_time.now(), action);
                return;
            }
            action();
        });
    }

    void repeat(Entry &entry, milliseconds interval, const Action &action)
    {
        after(entry, interval, [this, &entry, interval, action] {
            action();
            repeat(entry, interval, action);
        });
    }

    void start(std::size_t index)
    {
        Entry &entry = m_entries[index];
        entry = {
            .index = index, .alive = true, .clockOffsetMs = m_choices.percent(50) ? m_choices.between(-2000, 2000) : 2000 * (2 * m_choices.between(0, 1) - 1)};
        entry.earlier = m_upgrade && !m_upgraded.contains(index);
        entry.candidate.self = {"entry-" + std::to_string(index), ++m_runs};
        repeat(entry, milliseconds(400), [this, &entry] {
            followLease(entry);
        });
        repeat(entry, milliseconds(1000), [this, &entry] {
            publish(entry);
        });
        repeat(entry, milliseconds(200), [this, &entry] {
            tellPeers(entry);
        });
        after(entry, m_choices.time(0, 500), [this, &entry] {
            step(entry);
        });
    }

    void stop(Entry &entry, bool planned)
    {
        if (!entry.alive) {
            return;
        }
        if (planned) {
            m_leases.release(entry.candidate.self, m_time.now());
        }
        entry.alive = false;
        m_time.after(m_choices.time(300, 6000), [this, index = entry.index] {
            start(index);
        });
    }

    bool reachesLog(const Entry &entry) const
    {
        return m_time.now() >= entry.cutUntil && m_time.now() >= m_logDownUntil;
    }

    /** Learns the era of a response; false if it is earlier than one already received. */
    bool learnEra(Entry &entry, LogEra era)
    {
        if (era > entry.candidate.era) {
            entry.candidate.era = era;
            entry.candidate.eraKnownSince = m_time.now();
        }
        return era == entry.candidate.era;
    }

    void followLease(Entry &entry)
    {
        if (reachesLog(entry) && !m_choices.percent(m_lossPercent)) {
            learnEra(entry, m_log.era());
            m_leases.reach(entry.candidate, m_log.era(), m_time.now());
        }
    }

    std::optional<LeaseHold> hold(const Entry &entry) const
    {
        return m_leases.hold(entry.candidate, reportTimeout, m_time.now());
    }

    /** One call to the log: the work is done at its arrival, perhaps late; the answer may be lost. */
    void callLog(Entry &entry, const Action &atLog, const std::function<void(bool answered)> &onAnswer)
    {
        const auto fail = [this, &entry, onAnswer] {
            after(entry, storeTimeout, [onAnswer] {
                onAnswer(false);
            });
        };
        if (!reachesLog(entry) || m_choices.percent(m_lossPercent)) {
            fail();
            return;
        }
        if (m_choices.percent(m_latePercent)) {
            m_time.after(m_choices.time(1000, 6000), atLog);
            fail();
            return;
        }
        const bool answerLost = m_choices.percent(m_lossPercent);
        m_time.after(m_choices.time(2, 60), [this, &entry, run = entry.candidate.self, atLog, onAnswer, answerLost] {
            atLog();
            if (!entry.alive || !(entry.candidate.self == run)) {
                return;
            }
            after(entry, answerLost ? storeTimeout : m_choices.time(2, 60), [this, &entry, onAnswer, answerLost, era = m_log.era()] {
                onAnswer(!answerLost && learnEra(entry, era));
            });
        });
    }

    /** An earlier version ignores opening records and the eras of others. */
    static void asEarlierVersion(LogPage &page)
    {
        for (LogRecord &record : page.records) {
            if (record.value["kind"].asString() == "opened") {
                record.value = Json::Value("unknown");
            } else {
                record.value.removeMember("era");
            }
        }
    }

    void append(Entry &entry, const std::string &stream, std::vector<Json::Value> records, const std::function<void(bool)> &onAnswer)
    {
        if (leftOut(ClosingMutation::RecordsWithoutEra) || entry.earlier) {
            for (Json::Value &record : records) {
                if (record["kind"].asString() == "closed") {
                    record.removeMember("era");
                }
            }
        }
        callLog(
            entry,
            [this, stream, records = std::move(records)] {
                m_log.append(stream, records, m_time.now());
                if (stream == streams::usage) {
                    moment();
                }
            },
            onAnswer);
    }

    void read(Entry &entry, const std::string &stream, LogPosition &position, const std::function<LogRestart(LogPage)> &onPage, const Action &atEnd)
    {
        const auto page = std::make_shared<LogPage>();
        callLog(
            entry,
            [this, page, stream, next = position.next] {
                *page = m_log.read(stream, next);
            },
            [this, &entry, page, stream, &position, onPage, atEnd](bool answered) {
                if (!answered) {
                    nextStep(entry);
                    return;
                }
                const Offset before = position.next;
                if (onPage(*page) != LogRestart::None || position.next > before) {
                    read(entry, stream, position, onPage, atEnd);
                } else {
                    atEnd();
                }
            });
    }

    void publish(Entry &entry)
    {
        const LogEra era = entry.candidate.era;
        if (entry.publishedEra != era && !leftOut(ClosingMutation::CountsNotRepublished)) {
            entry.publishedEra = era;
            entry.published.clear();
            entry.publishedOpen = 0;
        }
        entry.counts.windows.erase(entry.counts.windows.begin(), entry.counts.windows.lower_bound(currentWindow(entry) - retainedWindows));
        const PublishedUsage published = unpublished(entry);
        if (published.rows.empty() && published.openWindow == entry.publishedOpen) {
            return;
        }
        append(entry, countsStream, {toJson(entry.candidate.self, published)}, [&entry, published, era](bool answered) {
            if (answered && entry.candidate.era == era) {
                for (const auto &[source, totals] : published.rows) {
                    entry.published[source] = totals;
                }
                entry.publishedOpen = published.openWindow;
            }
        });
    }

    PublishedUsage unpublished(const Entry &entry) const
    {
        PublishedUsage result{.openWindow = currentWindow(entry)};
        for (const auto &[window, totals] : entry.counts.windows) {
            const UsageSource source{entry.candidate.self, window};
            const auto known = entry.published.find(source);
            if (known == entry.published.end() || known->second != totals) {
                result.rows[source] = totals;
            }
        }
        return result;
    }

    void tellPeers(Entry &entry)
    {
        auto figures = takeFinalFigures(entry.merged.finalFigures, now());
        if (leftOut(ClosingMutation::FiguresNotTold)) {
            figures.clear();
        }
        const PublishedUsage usage = unpublished(entry);
        for (Entry &peer : m_entries) {
            if (&peer == &entry || !peer.alive || m_choices.percent(m_peerLossPercent)) {
                continue;
            }
            after(peer, m_choices.time(1, 150), [this, &peer, sender = entry.candidate.self, figures, usage] {
                recordHeard(peer.merged, sender, now());
                mergeUsage(peer.merged, sender, usage);
                mergeFinalFigures(peer.merged.finalFigures, figures);
            });
        }
    }

    void serve()
    {
        Entry &entry = m_entries[static_cast<std::size_t>(m_choices.between(0, entryCount - 1))];
        if (entry.alive && m_time.now() >= entry.frozenUntil) {
            const std::string workspace = m_choices.percent(50) ? "bureau" : "kaspiy";
            const WindowNumber window = addUsage(entry.counts, currentWindow(entry), workspace, {.requests = 1});
            m_result.ran[workspace].requests += 1;
            m_result.dueWindows.insert(window);
        }
        if (m_time.now() < servingTime) {
            m_time.after(m_choices.time(20, 300), [this] {
                serve();
            });
        }
    }

    void nextStep(Entry &entry)
    {
        after(entry, milliseconds(500), [this, &entry] {
            step(entry);
        });
    }

    VirtualTime m_time;
    SeededRandom m_choices;
    LogLoss m_loss;
    std::set<ClosingMutation> m_leftOut;
    bool m_upgrade = false;
    bool m_quiet = false;
    std::set<std::size_t> m_upgraded;
    int m_lossPercent = 0;
    int m_latePercent = 0;
    int m_peerLossPercent = 0;
    std::uint64_t m_runs = 0;
    std::uint64_t m_decisions = 0;
    std::array<Entry, entryCount> m_entries;
    SimulatedLog m_log;
    LeaseOracle m_leases;
    Duration m_logDownUntil{};
    ClosingResult m_result;
};

} // namespace snipehill::test
