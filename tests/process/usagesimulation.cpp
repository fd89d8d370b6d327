#include "usagesimulation.h"

#include <algorithm>
#include <memory>

namespace snipehill::test
{

namespace
{

constexpr int closerCount = 2;
constexpr int sidecarCount = 3;
constexpr milliseconds windowLength{1000};
constexpr milliseconds servingTime{8000};
constexpr milliseconds runTime{24000};
constexpr milliseconds grace{200};

struct Sidecar
{
    Incarnation self;
    std::int64_t clockOffsetMs = 0;
    UsageCounts counts;
    Duration unreachableUntil{};
};

/** Process that closes and reports windows and, as an entry, keeps copies of sidecars' rows. */
struct Closer
{
    UsageLedger ledger;
    std::size_t next = 0; //!< position in the log of the next record to read
    UsageRows copies;
    Duration pausedUntil{};
    bool holder = true;
    std::map<WindowNumber, UsageByWorkspace> unreadTotals; //!< closed records that it appended; used by the mutation ReportUnreadTotals
};

class UsageSimulation
{
public:
    UsageSimulation(std::uint64_t seed, UsageMutation mutation) : m_choices(seed), m_mutation(mutation)
    {
        m_faults.lossPercent = static_cast<int>(m_choices.between(0, 20));
        m_faults.duplicatePercent = static_cast<int>(m_choices.between(0, 15));
        m_faults.slowPercent = static_cast<int>(m_choices.between(0, 20));
        m_faults.usualDelay = m_choices.time(2, 300);
        m_restarts = m_choices.percent(50);
    }

    UsageSimulationResult run()
    {
        for (int index = 0; index < sidecarCount; ++index) {
            startSidecar(index);
        }
        serve();
        for (int index = 0; index < closerCount; ++index) {
            tick(m_closers[index]);
        }
        m_time.after(m_choices.time(500, 3000), [this] {
            injectFault();
        });
        m_time.run(runTime);
        return std::move(m_result);
    }

private:
    std::chrono::system_clock::time_point wallTime(std::int64_t offsetMs) const
    {
        return std::chrono::system_clock::time_point(std::chrono::duration_cast<std::chrono::system_clock::duration>(m_time.now()))
            + milliseconds(100000 + offsetMs);
    }

    void startSidecar(int index)
    {
        Sidecar &sidecar = m_sidecars[index];
        sidecar = Sidecar{};
        sidecar.self = {"sc-" + std::to_string(index), m_choices.number()};
        sidecar.clockOffsetMs = m_choices.between(-700, 700);
    }

    void serve()
    {
        Sidecar &sidecar = m_sidecars[m_choices.between(0, sidecarCount - 1)];
        const std::string workspace = m_choices.percent(50) ? "bureau" : "kaspiy";
        const UsageTotals totals{1, static_cast<std::uint64_t>(m_choices.between(1, 50)), static_cast<std::uint64_t>(m_choices.between(1, 50))};
        if (m_mutation == UsageMutation::NoFreeze) {
            sidecar.counts.frozenThrough = 0;
        }
        const WindowNumber window = addUsage(sidecar.counts, windowOf(wallTime(sidecar.clockOffsetMs), windowLength), workspace, totals);
        m_result.served[workspace] += totals;
        Closer &entry = m_closers[m_choices.between(0, closerCount - 1)];
        const UsageSource source{sidecar.self, window};
        m_time.after(m_choices.time(1, 100), [&entry, source, workspace, totals] {
            entry.copies[source][workspace] += totals;
        });
        if (m_time.now() < servingTime) {
            m_time.after(m_choices.time(5, 120), [this] {
                serve();
            });
        }
    }

    void injectFault()
    {
        if (m_time.now() > servingTime) {
            for (Closer &closer : m_closers) {
                closer.pausedUntil = {};
            }
            return;
        }
        ++m_result.faults;
        switch (m_choices.between(0, 4)) {
        case 0:
            if (m_restarts) {
                m_result.sidecarsLost = true;
                startSidecar(static_cast<int>(m_choices.between(0, sidecarCount - 1)));
            }
            break;
        case 1:
            m_sidecars[m_choices.between(0, sidecarCount - 1)].unreachableUntil = m_time.now() + m_choices.time(200, 4000);
            break;
        case 2:
            m_logDownUntil = m_time.now() + m_choices.time(200, 4000);
            break;
        default:
            m_closers[m_choices.between(0, closerCount - 1)].pausedUntil = m_time.now() + m_choices.time(200, 4000);
            break;
        }
        m_time.after(m_choices.time(200, 2500), [this] {
            injectFault();
        });
    }

    void tick(Closer &closer)
    {
        if (m_time.now() >= closer.pausedUntil) {
            if (m_choices.percent(60)) {
                readLog(closer);
            }
            if (m_choices.percent(50)) {
                report(closer);
            }
            if (m_choices.percent(40)) {
                close(closer);
            }
        }
        m_time.after(m_choices.time(50, 500), [this, &closer] {
            tick(closer);
        });
    }

    void readLog(Closer &closer)
    {
        if (m_time.now() < m_logDownUntil) {
            return;
        }
        for (; closer.next < m_log.size(); ++closer.next) {
            applyRecord(closer, m_log[closer.next]);
        }
    }

    void applyRecord(Closer &closer, const UsageRecord &record)
    {
        if (record.closed && m_mutation == UsageMutation::SourcesIgnored) {
            closer.ledger.closedSources.clear();
        }
        if (record.closed && m_mutation == UsageMutation::LaterClosedWins) {
            closer.ledger.lastClosed.reset();
            closer.ledger.closedSources.clear();
        }
        applyUsageRecord(closer.ledger, record);
    }

    void report(Closer &closer)
    {
        const auto &unreported = m_mutation == UsageMutation::ReportUnreadTotals ? closer.unreadTotals : closer.ledger.unreported;
        for (const auto &[window, totals] : unreported) {
            ReportedWindow reported{.window = window, .workspaces = {}};
            for (const auto &[workspace, used] : totals) {
                const UsageReport sent{window, workspace, used};
                sendMessage(m_time, m_choices, m_faults, [this, sent] {
                    m_result.reports.push_back(sent);
                });
                // A report without a response is sent again, even if it arrived.
                if (m_choices.percent(50)) {
                    m_result.reports.push_back(sent);
                    reported.workspaces.push_back(workspace);
                }
            }
            append({.closed = {}, .reported = reported});
        }
        closer.unreadTotals.clear();
    }

    void close(Closer &closer)
    {
        const WindowNumber window = newestEndedWindow(wallTime(0), grace, windowLength);
        CollectedUsage collected;
        for (Sidecar &sidecar : m_sidecars) {
            if (m_time.now() < sidecar.unreachableUntil) {
                continue;
            }
            for (const auto &[booked, totals] : freezeUsage(sidecar.counts, window)) {
                collected.sidecars[{sidecar.self, booked}] = totals;
                if (closer.ledger.closedSources.contains({sidecar.self, booked})) {
                    sidecar.counts.windows.erase(booked);
                }
            }
        }
        for (Closer &entry : m_closers) {
            removeClosed(closer, entry.copies);
            for (const auto &[source, totals] : entry.copies) {
                for (const auto &[workspace, used] : totals) {
                    collected.copies[source][workspace] += used;
                }
                if (hasEnded(source.sidecar) || m_mutation == UsageMutation::CopiesOfLiveRuns) {
                    collected.endedRuns.insert(source.sidecar);
                }
            }
        }
        for (const ClosedWindow &record : closeWindows(closer.ledger, window, collected)) {
            closer.unreadTotals[record.window] = record.totals;
            append({.closed = record, .reported = {}});
        }
    }

    static void removeClosed(const Closer &closer, UsageRows &copies)
    {
        std::erase_if(copies, [&closer](const auto &row) {
            return closer.ledger.closedSources.contains(row.first);
        });
    }

    bool hasEnded(const Incarnation &run) const
    {
        return std::none_of(std::begin(m_sidecars), std::end(m_sidecars), [&run](const Sidecar &sidecar) {
            return sidecar.self == run;
        });
    }

    void append(const UsageRecord &record)
    {
        sendMessage(m_time, m_choices, m_faults, [this, shared = std::make_shared<const UsageRecord>(record)] {
            if (m_time.now() >= m_logDownUntil) {
                m_log.push_back(*shared);
            }
        });
    }

    VirtualTime m_time;
    SeededRandom m_choices;
    UsageMutation m_mutation;
    NetworkFaults m_faults;
    bool m_restarts = false;
    Sidecar m_sidecars[sidecarCount];
    Closer m_closers[closerCount];
    std::vector<UsageRecord> m_log;
    Duration m_logDownUntil{};
    UsageSimulationResult m_result;
};

} // namespace

UsageSimulationResult simulateUsage(std::uint64_t seed, UsageMutation mutation)
{
    return UsageSimulation(seed, mutation).run();
}

std::vector<std::string> checkUsage(const UsageSimulationResult &result)
{
    std::vector<std::string> violations;
    std::map<std::pair<WindowNumber, std::string>, UsageTotals> fixed;
    for (const UsageReport &report : result.reports) {
        const auto [known, first] = fixed.try_emplace({report.window, report.workspace}, report.totals);
        if (!first && known->second != report.totals) {
            violations.push_back("window " + std::to_string(report.window) + " of " + report.workspace + " reported with two different totals");
        }
    }
    UsageByWorkspace sums;
    for (const auto &[key, totals] : fixed) {
        sums[key.second] += totals;
    }
    for (const auto &[workspace, truth] : result.served) {
        const UsageTotals &sum = sums[workspace];
        if (sum.requests > truth.requests || sum.promptTokens > truth.promptTokens || sum.outputTokens > truth.outputTokens) {
            violations.push_back("more reported than served for " + workspace);
        }
        if (!result.sidecarsLost && sum != truth) {
            violations.push_back("less reported than served for " + workspace);
        }
    }
    return violations;
}

} // namespace snipehill::test
