#include "directusage.h"

#include <connection/httpclient.h>
#include <core/boottime.h>
#include <core/jsontext.h>
#include <platform/messages.h>
#include <process/log.h>
#include <process/metrics.h>
#include <process/pause.h>
#include <process/windowclosing.h>

namespace snipehill
{

namespace asio = boost::asio;

namespace
{

constexpr const char *countsStream = "usage-counts"; //!< counts published by each incarnation of an entry
constexpr milliseconds storeTimeout{1000};
constexpr milliseconds minPublishInterval{1000}; // a killed entry loses at most the counts of this period
constexpr milliseconds publishIntervalPerEntry{150}; // with more entries, each holds a smaller part of the counts and the store gets more calls
constexpr milliseconds reportInterval{500};
constexpr milliseconds closeDelay{1500}; // after the end of a window: entries have published their last counts
constexpr milliseconds reportMargin{3000}; // this long before a report is due, windows are closed without the entries that sent no counts
constexpr seconds peerTimeout{3}; // entries without updates for longer count as gone
constexpr milliseconds reportTimeout{800}; // of one report; must fit into the remaining lease time
constexpr unsigned statusOk = 200;

/** Logs that a reader starts anew, because records that it had read or would have read next are gone. */
void logRestart(const std::string &stream, LogRestart restart, const LogPosition &before, const LogPage &page)
{
    const bool era = restart == LogRestart::Era;
    processMetrics().count(Counter::LogEraEvents, {era ? "reader_restart" : "reader_gap"});
    logEvent(LogComponent::Usage,
             LogLevel::Warning,
             "reader starts anew",
             {{"stream", stream},
              {"reason", era ? "older copy" : "records removed"},
              {"eraBefore", before.era},
              {"era", page.era},
              {"next", before.next},
              {"firstRetained", page.firstRetained}});
}

/** Reads to the end of a stream. onPage returns why the reader must start anew; false if the store did not respond. */
template<typename OnPage> asio::awaitable<bool> readToEnd(LogAccess &log, std::string stream, LogPosition &position, OnPage onPage)
{
    while (true) {
        Reason reason;
        const LogPosition before = position;
        const auto page = co_await log.read(stream, before.next, milliseconds(0), reason);
        if (!page) {
            logEvent(LogComponent::Usage, LogLevel::Warning, "cannot read usage records", reason, {{"stream", stream}});
            co_return false;
        }
        const LogRestart restart = onPage(*page);
        if (restart != LogRestart::None) {
            logRestart(stream, restart, before, *page);
        } else if (position.next <= before.next) {
            co_return true;
        }
    }
}

std::uint64_t requestsOf(const UsageByWorkspace &totals)
{
    std::uint64_t requests = 0;
    for (const auto &[workspace, used] : totals) {
        requests += used.requests;
    }
    return requests;
}

/** Closes and reports usage windows, based on the counts stream and the usage ledger stream. */
class WindowReporter
{
public:
    explicit WindowReporter(UsageContext &context)
        : m_context(context)
        , m_log(makeLogAccess(context.store))
        , m_windows{.window = context.settings.usageWindow, .closeDelay = closeDelay, .overdueAfter = context.settings.usageReportDelay - reportMargin}
    {
    }

    asio::awaitable<void> runOnce()
    {
        const auto hold = m_context.leases.hold(scopes::duties, reportTimeout);
        const bool clockSettled = m_context.usage.currentWindow() != 0;
        if (!hold || !clockSettled || isDone(*hold)) {
            co_return;
        }
        if (!co_await readCounts() || !co_await readLedger(*hold)) {
            co_return;
        }
        if (const auto opened = dueOpening(m_closing, *hold, timesOf(*hold), m_context.counts.finalFigures, m_windows)) {
            co_await open(*opened, *hold);
        } else if (!co_await closeEndedWindows(*hold)) {
            co_await reportDue(*hold);
            co_return;
        }
        // With or without a response, only reading back shows which records took effect.
        if (co_await readLedger(*hold)) {
            co_await reportDue(*hold);
        }
    }

private:
    asio::awaitable<void> reportDue(const LeaseHold &hold)
    {
        const TimePoint now = Clock::now();
        for (const auto &[window, totals] : dueReports(m_closing, hold)) {
            if (isTold(m_context.counts.finalFigures, window, now)) {
                co_await report(window, totals, hold);
            }
        }
    }

    bool isDone(const LeaseHold &hold) const
    {
        const WindowNumber ended = newestEndedWindow(m_context.usage.wallTime(), closeDelay, m_windows.window);
        return m_closing.complete && m_closing.position.era == hold.era && m_closedThrough >= ended && m_closing.ledger.unreported.empty();
    }

    HoldTimes timesOf(const LeaseHold &hold) const
    {
        const auto wallTime = [this](TimePoint time) {
            return m_context.usage.wallTime() - std::chrono::duration_cast<std::chrono::system_clock::duration>(bootNow() - time);
        };
        return {.since = wallTime(hold.since), .eraKnownSince = wallTime(hold.eraKnownSince)};
    }

    asio::awaitable<bool> readCounts()
    {
        co_return co_await readToEnd(m_log, countsStream, m_countsPosition, [this](const LogPage &page) {
            const LogRestart restart = advancePosition(m_countsPosition, page);
            if (restart == LogRestart::None) {
                mergePublished(page);
            }
            return restart;
        });
    }

    void mergePublished(const LogPage &page)
    {
        for (const LogRecord &record : page.records) {
            Reason ignored;
            if (const auto published = parsePublishedUsage(record.value, ignored)) {
                mergeUsage(m_context.counts, published->first, published->second);
            }
        }
    }

    /** Reads the ledger to its end; false if that failed or the lease is no longer the same. */
    asio::awaitable<bool> readLedger(const LeaseHold &hold)
    {
        const bool read = co_await readToEnd(m_log, streams::usage, m_closing.position, [this](const LogPage &page) {
            const LogRestart restart = applyLedgerPage(m_closing, page);
            if (restart != LogRestart::None) {
                m_closedThrough = 0;
            }
            return restart;
        });
        if (!read) {
            co_return false;
        }
        const auto after = m_context.leases.hold(scopes::duties, reportTimeout);
        co_return confirmLedger(m_closing, hold, after, m_context.counts.finalFigures, m_windows, Clock::now());
    }

    asio::awaitable<void> open(OpenedLedger opened, const LeaseHold &hold)
    {
        processMetrics().count(Counter::LogEraEvents, {"ledger_opened"});
        logEvent(LogComponent::Usage,
                 LogLevel::Warning,
                 "opening the ledger; windows up to this one are given up unless closed or listed",
                 {{"through", opened.through},
                  {"closed", m_closing.ledger.lastClosed.value_or(0)},
                  {"listed", opened.windows.size()},
                  {"era", opened.era},
                  {"fence", opened.token},
                  {"sameTenure", m_closing.confirmed && m_closing.confirmed->tenure == hold.tenure}});
        for (const auto &[window, totals] : opened.windows) {
            logEvent(LogComponent::Usage,
                     LogLevel::Info,
                     "taking over the figures of a window",
                     {{"window", window}, {"requests", requestsOf(totals)}, {"era", opened.era}});
        }
        Reason reason;
        std::vector<Json::Value> records;
        records.push_back(toJson(opened));
        if (!co_await m_log.append(streams::usage, std::move(records), reason)) {
            logEvent(LogComponent::Usage, LogLevel::Warning, "opening the ledger has no answer", reason, {{"through", opened.through}});
        }
    }

    /** Appends closed records for ended windows; false if there is nothing to close. */
    asio::awaitable<bool> closeEndedWindows(const LeaseHold &hold)
    {
        const WindowNumber through = closableThrough(m_context.counts, m_context.usage.wallTime(), Clock::now() - peerTimeout, m_windows);
        const std::vector<ClosedWindow> closings = dueClosings(m_closing, hold, through, m_context.counts.rows);
        std::erase_if(m_context.counts.rows, [through](const auto &row) {
            return row.first.window + retainedWindows < through;
        });
        if (closings.empty()) {
            m_closedThrough = m_closing.complete ? through : m_closedThrough;
            co_return false;
        }
        std::vector<Json::Value> records;
        records.reserve(closings.size());
        for (const ClosedWindow &closed : closings) {
            records.push_back(toJson(closed));
        }
        Reason reason;
        const auto appended = co_await m_log.append(streams::usage, std::move(records), reason);
        if (!appended) {
            logEvent(LogComponent::Usage, LogLevel::Warning, "closing a usage window has no answer", reason, {{"through", through}});
            co_return true;
        }
        for (std::size_t i = 0; i < closings.size(); ++i) {
            logEvent(LogComponent::Usage,
                     LogLevel::Info,
                     "closed record of a usage window appended",
                     {{"window", closings[i].window},
                      {"offset", *appended + static_cast<Offset>(i)},
                      {"era", hold.era},
                      {"requests", requestsOf(closings[i].totals)},
                      {"fence", hold.token}});
        }
        co_return true;
    }

    asio::awaitable<void> report(WindowNumber window, UsageByWorkspace totals, const LeaseHold &hold)
    {
        if (!mayReport(hold)) {
            co_return;
        }
        platform::UsageReport report{.identity = {m_context.settings.instance, hold.token}, .window = window};
        ReportedWindow reported{.window = window, .era = hold.era};
        for (const auto &[workspace, workspaceTotals] : totals) {
            report.requests.emplace_back(workspace, workspaceTotals.requests);
            reported.workspaces.push_back(workspace);
        }
        HttpCall call{.peer = m_context.settings.duties, .method = boost::beast::http::verb::post, .target = platform::usagePath, .timeout = reportTimeout};
        call.step = Step::Usage;
        call.bodyLimit = shortBodyBytes;
        call.body = platform::usageBody(report);
        call.headers = platform::leaseHeaders(report);
        call.maySend = [this, hold] {
            return mayReport(hold);
        };
        Reason reason;
        const auto response = co_await httpCall(std::move(call), reason);
        const bool acknowledged = response && response->result_int() == statusOk;
        processMetrics().count(Counter::UsageReports, {acknowledged ? "acknowledged" : "not_answered"});
        if (!acknowledged) {
            if (response) {
                reason = {Step::Usage, toString(m_context.settings.duties), "answered " + std::to_string(response->result_int())};
            }
            logEvent(LogComponent::Usage, LogLevel::Warning, "usage report not acknowledged", reason, {{"window", window}, {"fence", hold.token}});
            co_return;
        }
        logEvent(LogComponent::Usage,
                 LogLevel::Info,
                 "usage reported",
                 {{"window", window}, {"requests", requestsOf(totals)}, {"fence", hold.token}, {"era", hold.era}});
        std::vector<Json::Value> records;
        records.push_back(toJson(reported));
        // If this record is lost, the same totals are reported once more.
        co_await m_log.append(streams::usage, std::move(records), reason);
    }

    /** Whether the ledger that was read under the lease may still be reported from. */
    bool mayReport(const LeaseHold &hold) const
    {
        const auto current = m_context.leases.hold(scopes::duties, reportTimeout);
        return current && isSameLease(*current, hold);
    }

    UsageContext &m_context;
    LogAccess m_log;
    const WindowTimes m_windows;
    LogPosition m_countsPosition;
    WindowClosing m_closing;
    WindowNumber m_closedThrough = 0; //!< windows up to this one need no further closing
};

} // namespace

LogAccess makeLogAccess(platform::StoreClient &store)
{
    LogAccess access;
    access.read = [&store](std::string stream, Offset from, milliseconds wait, Reason &reason) -> asio::awaitable<std::optional<LogPage>> {
        auto page = co_await store.read(std::move(stream), from, wait, storeTimeout, reason);
        if (!page) {
            co_return std::nullopt;
        }
        LogPage converted{.era = page->era, .firstRetained = page->firstRetained, .next = page->next};
        for (const platform::StoreRecord &record : page->records) {
            if (auto value = parseJsonText(record.value)) {
                converted.records.push_back({record.offset, std::move(*value)});
            }
        }
        co_return converted;
    };
    access.append = [&store](std::string stream, std::vector<Json::Value> records, Reason &reason) -> asio::awaitable<std::optional<Offset>> {
        std::vector<platform::StoreRecord> converted;
        converted.reserve(records.size());
        for (const Json::Value &record : records) {
            converted.push_back({.value = writeJsonText(record)});
        }
        co_return co_await store.append(std::move(stream), std::move(converted), storeTimeout, reason);
    };
    access.era = [&store] {
        return store.era();
    };
    return access;
}

LeaseSettings leaseSettingsFor(const DirectSettings &settings) noexcept
{
    // Longer than the period in which the duty holder must not change twice; the margin covers the drift between two clocks.
    return {.duration = settings.leaseTimeout + seconds(1), .margin = milliseconds(700)};
}

asio::awaitable<void> flushUsage(UsageContext &context)
{
    const LogEra era = context.store.era();
    if (context.publishedEra.exchange(era) != era) {
        context.usage.republish(); // with the next call that is due anyway, so that a rise adds no calls
    }
    const auto usageCounts = context.usage.unpublished();
    if (!usageCounts) {
        co_return;
    }
    Reason reason;
    std::vector<Json::Value> records;
    records.push_back(toJson(context.usage.self(), *usageCounts));
    const auto appended = co_await makeLogAccess(context.store).append(countsStream, std::move(records), reason);
    if (appended && context.store.era() == era) {
        context.usage.markPublished(*usageCounts);
    } else if (!appended) {
        logEvent(LogComponent::Usage, LogLevel::Warning, "cannot publish usage counts", reason);
    }
}

asio::awaitable<void> publishUsage(UsageContext &context)
{
    while (!context.stopped) {
        const auto entries = static_cast<std::int64_t>(context.counts.lastHeard.size());
        co_await pauseFor(std::clamp(publishIntervalPerEntry * entries, minPublishInterval, std::max(minPublishInterval, context.settings.usageWindow / 2)));
        co_await flushUsage(context);
        context.usage.removeWindowsBefore(context.usage.currentWindow() - retainedWindows);
    }
}

asio::awaitable<void> reportUsage(UsageContext &context)
{
    WindowReporter reporter(context);
    while (!context.stopped) {
        co_await reporter.runOnce();
        co_await pauseFor(reportInterval);
    }
}

} // namespace snipehill
