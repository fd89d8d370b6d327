#include "closingworld.h"

namespace snipehill::test
{

namespace
{

constexpr milliseconds runTime{110000};
constexpr milliseconds peerTimeout{3000};
constexpr std::size_t maxLosses = 4;
constexpr milliseconds retention{20000};

class ClosingSimulation : public ClosingWorld
{
public:
    using ClosingWorld::ClosingWorld;

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
    // One round of the window reporter; the decisions are those of windowclosing.h.

    void step(Entry &entry) override
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
        const std::int64_t fault = m_choices.between(0, 7); // drawn first: the order of arguments differs between processors
        injectFaultAt(anyEntry(), fault);
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
    void moment() override
    {
        if (m_loss != LogLoss::None && m_time.now() > seconds(10) && m_choices.percent(3)) {
            if (m_choices.percent(50)) {
                const std::int64_t fault = m_choices.between(0, 5); // drawn first: the order of arguments differs between processors
                injectFaultAt(anyEntry(), fault);
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
                const std::int64_t fault = m_choices.between(0, 5); // drawn first: the order of arguments differs between processors
                injectFaultAt(anyEntry(), fault);
            });
        }
        if (m_choices.percent(30)) {
            m_time.after(m_choices.time(100, 12000), [this] {
                loseRecords();
            });
        }
    }
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
