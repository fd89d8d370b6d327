#include "closingsimulation.h"

#include "leaseoracle.h"
#include "simulatedlog.h"

#include <process/windowclosing.h>

#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <utility>

namespace snipehill::test
{

namespace
{

constexpr std::size_t entryCount = 4;
constexpr WindowTimes windows{};
constexpr milliseconds runTime{110000};
constexpr milliseconds servingTime{85000};
constexpr milliseconds reportTimeout{800};
constexpr milliseconds storeTimeout{1000};
constexpr milliseconds peerTimeout{3000};
constexpr const char *countsStream = "usage-counts";
constexpr std::size_t maxLosses = 4;
constexpr milliseconds retention{20000};

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
using OnPage = std::function<void(const std::optional<LogPage> &)>;

class ClosingSimulation
{
public:
    ClosingSimulation(std::uint64_t seed, LogLoss loss, std::set<ClosingMutation> leftOut) : m_choices(seed), m_loss(loss), m_leftOut(std::move(leftOut))
    {
        m_lossPercent = static_cast<int>(m_choices.between(0, 4));
        m_latePercent = static_cast<int>(m_choices.between(0, 8));
        const bool isolated = m_choices.percent(50) && loss != LogLoss::Expiry;
        m_peerLossPercent = isolated ? 100 : static_cast<int>(m_choices.between(0, 30));
    }

    /** Plays entries of an earlier version that are replaced one after another; quiet means without any other fault. */
    ClosingResult runUpgrade(bool quiet)
    {
        m_upgrade = true;
        m_quiet = quiet;
        if (quiet) {
            m_lossPercent = 0;
            m_latePercent = 0;
            m_peerLossPercent = 0;
        }
        for (std::size_t index = 0; index < entryCount; ++index) {
            m_time.after(seconds(15) + index * m_choices.time(8000, 14000), [this, index] {
                m_upgraded.insert(index);
                stop(m_entries[index], m_choices.percent(50));
            });
        }
        return run();
    }

    ClosingResult run()
    {
        for (std::size_t index = 0; index < entryCount; ++index) {
            m_entries[index].index = index;
            start(index);
        }
        serve();
        if (!m_quiet) {
            scheduleFault();
        }
        if (m_loss == LogLoss::Expiry) {
            expire();
        } else if (m_loss != LogLoss::None) {
            m_time.after(m_choices.time(10000, 80000), [this] {
                loseRecords();
            });
        }
        m_time.run(runTime);
        return std::move(m_result);
    }

private:
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

    // One round of the window reporter; the decisions are those of windowclosing.h.

    void nextStep(Entry &entry)
    {
        after(entry, milliseconds(500), [this, &entry] {
            step(entry);
        });
    }

    void step(Entry &entry)
    {
        const auto held = hold(entry);
        if (!held) {
            nextStep(entry);
            return;
        }
        readCounts(entry, [this, &entry, held] {
            readLedger(entry, *held, [this, &entry, held] {
                write(entry, *held);
            });
        });
    }

    void readCounts(Entry &entry, const Action &atEnd)
    {
        const auto onPage = [&entry](const LogPage &page) {
            const LogRestart restart = advancePosition(entry.countsPosition, page);
            for (const LogRecord &record : page.records) {
                Reason ignored;
                const auto published = restart == LogRestart::None ? parsePublishedUsage(record.value, ignored) : std::nullopt;
                if (published) {
                    mergeUsage(entry.merged, published->first, published->second);
                }
            }
            return restart;
        };
        read(entry, countsStream, entry.countsPosition, onPage, atEnd);
    }

    void readLedger(Entry &entry, const LeaseHold &held, const Action &atEnd)
    {
        const auto onPage = [this, &entry](LogPage page) {
            if (entry.earlier) {
                asEarlierVersion(page);
            }
            LogPosition &position = entry.closing.position;
            if (leftOut(ClosingMutation::NoRestart) && position.started) {
                position.era = page.era;
            }
            if (leftOut(ClosingMutation::GapIgnored) && position.started) {
                page.firstRetained = std::min(page.firstRetained, position.next);
            }
            const LogRestart restart = applyLedgerPage(entry.closing, page);
            if (leftOut(ClosingMutation::TrimmedTaken)) {
                position.trimmed = false;
            }
            return restart;
        };
        read(entry, streams::usage, entry.closing.position, onPage, [this, &entry, held, atEnd] {
            const auto after = leftOut(ClosingMutation::FiguresWithoutLease) ? std::optional(held) : hold(entry);
            if (leftOut(ClosingMutation::NoOpening) || entry.earlier) {
                entry.closing.complete = true;
            }
            FinalFigures untold;
            if (confirmLedger(entry.closing, held, after, entry.earlier ? untold : entry.merged.finalFigures, windows, now())
                || leftOut(ClosingMutation::ReportUnconfirmed)) {
                atEnd();
            } else {
                nextStep(entry);
            }
        });
    }

    void write(Entry &entry, const LeaseHold &held)
    {
        if (const auto opened = opening(entry, held)) {
            ++m_result.openings;
            append(entry, streams::usage, {toJson(*opened)}, [this, &entry, held](bool) {
                readBack(entry, held);
            });
            return;
        }
        const WindowNumber through = closableThrough(entry.merged, wallTime(entry, m_time.now()), now() - peerTimeout, windows);
        if (leftOut(ClosingMutation::FloorIgnored)) {
            entry.closing.ledger.floor.reset();
        }
        if (leftOut(ClosingMutation::DecidedAnew)) {
            entry.closing.decided.clear();
        }
        std::vector<Json::Value> records;
        for (ClosedWindow &closed : dueClosings(entry.closing, held, through, entry.merged.rows)) {
            markDecision(entry, closed);
            records.push_back(toJson(closed));
            if (leftOut(ClosingMutation::FiguresUnread)) {
                addFinalFigures(entry.merged.finalFigures, {{closed.window, closed.totals}}, now());
            }
        }
        std::erase_if(entry.merged.rows, [through](const auto &row) {
            return row.first.window + retainedWindows < through;
        });
        if (records.empty()) {
            reportDue(entry, held);
            return;
        }
        append(entry, streams::usage, std::move(records), [this, &entry, held](bool) {
            readBack(entry, held);
        });
    }

    /** Makes the figures of each decision differ from those of all others, so that the checker sees it if a window is decided twice. */
    void markDecision(Entry &entry, ClosedWindow &closed)
    {
        UsageTotals &first = closed.totals.begin()->second;
        if (first.promptTokens == 0) {
            first.promptTokens = ++m_decisions;
            entry.closing.decided[closed.window] = closed;
        }
    }

    std::optional<OpenedLedger> opening(Entry &entry, const LeaseHold &held)
    {
        HoldTimes times{.since = wallTime(entry, held.since.time_since_epoch()), .eraKnownSince = wallTime(entry, held.eraKnownSince.time_since_epoch())};
        if (leftOut(ClosingMutation::OpeningOfOwnLedger) && entry.closing.confirmed) {
            entry.closing.confirmed->tenure = held.tenure;
        }
        if (leftOut(ClosingMutation::OpeningWithoutClockError)) {
            times.since -= seconds(4);
            times.eraKnownSince -= seconds(4);
        }
        if (leftOut(ClosingMutation::EraBoundAfterTrimming)) {
            times.since = times.eraKnownSince;
        }
        auto opened = dueOpening(entry.closing, held, times, entry.merged.finalFigures, windows);
        if (opened && leftOut(ClosingMutation::UnreportedKept)) {
            opened->windows.insert(entry.closing.ledger.unreported.begin(), entry.closing.ledger.unreported.end());
        }
        return opened;
    }

    void readBack(Entry &entry, const LeaseHold &held)
    {
        readLedger(entry, held, [this, &entry, held] {
            reportDue(entry, held);
        });
    }

    void reportDue(Entry &entry, const LeaseHold &held)
    {
        std::vector<ReceivedReport> due;
        const bool unconfirmed = leftOut(ClosingMutation::ReportUnconfirmed);
        for (const auto &[window, totals] : unconfirmed ? entry.closing.ledger.unreported : dueReports(entry.closing, held)) {
            if (isTold(entry.merged.finalFigures, window, now())) {
                due.push_back({window, totals});
            }
        }
        report(entry, held, std::move(due));
    }

    void report(Entry &entry, const LeaseHold &held, std::vector<ReceivedReport> due)
    {
        const auto current = hold(entry);
        const bool allowed = current && (leftOut(ClosingMutation::ReportUnconfirmed) || isSameLease(*current, held));
        if (due.empty() || !allowed) {
            nextStep(entry);
            return;
        }
        const ReceivedReport sent = due.front();
        due.erase(due.begin());
        const bool lost = m_choices.percent(m_lossPercent);
        m_time.after(m_choices.time(1, 400), [this, sent, lost] {
            if (!lost) {
                m_result.reports.push_back(sent);
                moment();
            }
        });
        if (lost || m_choices.percent(m_lossPercent)) {
            after(entry, reportTimeout, [this, &entry, held, due] {
                report(entry, held, due);
            });
            return;
        }
        ReportedWindow reported{.window = sent.window, .era = held.era};
        for (const auto &[workspace, totals] : sent.totals) {
            reported.workspaces.push_back(workspace);
        }
        after(entry, milliseconds(450), [this, &entry, held, due, reported] {
            append(entry, streams::usage, {toJson(reported)}, [this, &entry, held, due](bool) {
                report(entry, held, due);
            });
        });
    }

    // Faults.

    Entry &anyEntry()
    {
        for (Entry &entry : m_entries) {
            if (hold(entry) && m_choices.percent(70)) {
                return entry;
            }
        }
        return m_entries[static_cast<std::size_t>(m_choices.between(0, entryCount - 1))];
    }

    void scheduleFault()
    {
        m_time.after(m_choices.time(1000, 12000), [this] {
            if (m_time.now() < servingTime) {
                injectFault();
                scheduleFault();
            }
        });
    }

    void injectFault()
    {
        injectFaultAt(anyEntry(), m_choices.between(0, 7));
    }

    void injectFaultAt(Entry &entry, std::int64_t kind)
    {
        switch (kind) {
        case 0:
        case 1:
            stop(entry, m_choices.percent(50));
            break;
        case 2:
            for (Entry &each : m_entries) {
                stop(each, m_choices.percent(50));
            }
            break;
        case 3:
            m_logDownUntil = m_time.now() + m_choices.time(200, 3000);
            break;
        case 4:
            entry.frozenUntil = m_time.now() + m_choices.time(200, 9000);
            break;
        default:
            entry.cutUntil = m_time.now() + m_choices.time(500, 10000);
            break;
        }
    }

    /** Called at each append and report: the log loses records at such moments more often than at others. */
    void moment()
    {
        if (m_loss != LogLoss::None && m_time.now() > seconds(10) && m_choices.percent(3)) {
            if (m_choices.percent(50)) {
                injectFaultAt(anyEntry(), m_choices.between(0, 5));
            }
            m_time.after(m_choices.time(0, 1500), [this] {
                loseRecords();
            });
        }
    }

    void expire()
    {
        m_log.expire(m_time.now() - retention);
        m_time.after(milliseconds(500), [this] {
            expire();
        });
    }

    void loseRecords()
    {
        if (m_loss == LogLoss::Expiry || m_result.losses >= maxLosses || m_time.now() > servingTime) {
            return;
        }
        ++m_result.losses;
        const bool tail = m_loss == LogLoss::Tail || (m_loss == LogLoss::Both && m_choices.percent(50));
        if (tail) {
            m_log.returnTo(m_time.now() - m_choices.time(200, 5000));
            m_logDownUntil = m_choices.percent(50) ? m_time.now() + m_choices.time(50, 2000) : m_logDownUntil;
        } else {
            m_log.trim(streams::usage, static_cast<std::size_t>(m_choices.percent(60) ? 0 : m_choices.between(0, 8)));
        }
        if (m_choices.percent(60)) {
            m_time.after(m_choices.percent(50) ? milliseconds(0) : m_choices.time(0, 6000), [this] {
                injectFaultAt(anyEntry(), m_choices.between(0, 5));
            });
        }
        if (m_choices.percent(30)) {
            m_time.after(m_choices.time(100, 12000), [this] {
                loseRecords();
            });
        }
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

} // namespace

ClosingResult simulateClosing(std::uint64_t seed, LogLoss loss, std::set<ClosingMutation> leftOut)
{
    return ClosingSimulation(seed, loss, std::move(leftOut)).run();
}

ClosingResult simulateUpgrade(std::uint64_t seed, bool quiet, std::set<ClosingMutation> leftOut)
{
    return ClosingSimulation(seed, LogLoss::None, std::move(leftOut)).runUpgrade(quiet);
}

std::vector<std::string> checkClosing(const ClosingResult &result)
{
    std::vector<std::string> violations;
    std::map<WindowNumber, UsageByWorkspace> fixed;
    UsageByWorkspace sums;
    for (const ReceivedReport &report : result.reports) {
        const auto [known, first] = fixed.try_emplace(report.window, report.totals);
        if (!first && known->second != report.totals) {
            violations.push_back("window " + std::to_string(report.window) + " reported with two sets of figures");
        }
        for (const auto &[workspace, totals] : first ? report.totals : UsageByWorkspace{}) {
            sums[workspace] += totals;
        }
    }
    for (const auto &[workspace, sum] : sums) {
        const auto truth = result.ran.find(workspace);
        if (truth == result.ran.end() || sum.requests > truth->second.requests) {
            violations.push_back("more reported than ran for " + workspace);
        }
    }
    return violations;
}

std::uint64_t uncountedRequests(const ClosingResult &result)
{
    std::map<WindowNumber, UsageByWorkspace> fixed;
    std::uint64_t count = 0;
    for (const auto &[workspace, totals] : result.ran) {
        count += totals.requests;
    }
    for (const ReceivedReport &report : result.reports) {
        if (fixed.try_emplace(report.window, report.totals).second) {
            for (const auto &[workspace, totals] : report.totals) {
                count -= std::min(count, totals.requests);
            }
        }
    }
    return count;
}

std::size_t missedWindows(const ClosingResult &result)
{
    std::set<WindowNumber> missed = result.dueWindows;
    for (const ReceivedReport &report : result.reports) {
        missed.erase(report.window);
    }
    return missed.size();
}

} // namespace snipehill::test
