#include "directusage.h"

#include <connection/httpclient.h>
#include <core/jsontext.h>
#include <platform/messages.h>
#include <process/log.h>
#include <process/metrics.h>
#include <process/pause.h>

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
constexpr milliseconds closeDelay{1500}; // after the end of a window: longer than the clock skew, and entries have published their last counts
constexpr milliseconds reportMargin{3000}; // this long before a report is due, windows are closed without the entries that sent no counts
constexpr seconds peerTimeout{3}; // entries without updates for longer count as gone
constexpr milliseconds reportTimeout{800}; // of one report; must fit into the remaining lease time
constexpr WindowNumber retainedWindows = 12; // retention of counts; reports for older windows are overdue
constexpr unsigned statusOk = 200;

/** Read position in a stream. */
struct StreamReader
{
    LogAccess log;
    std::string stream;
    Offset next = 0;
};

/** Reads from the saved position to the end of the stream; false if the store did not respond. */
template<typename OnRecord> asio::awaitable<bool> readToEnd(StreamReader &reader, OnRecord onRecord)
{
    while (true) {
        Reason reason;
        const auto page = co_await reader.log.read(reader.stream, reader.next, milliseconds(0), reason);
        if (!page) {
            logEvent(LogComponent::Usage, LogLevel::Warning, "cannot read usage records", reason, {{"stream", reader.stream}});
            co_return false;
        }
        for (const LogRecord &record : page->records) {
            onRecord(record.value);
        }
        const bool more = page->next > reader.next;
        reader.next = page->next;
        if (!more) {
            co_return true;
        }
    }
}

/** Closes and reports usage windows, based on the counts stream and the usage ledger stream. */
class WindowReporter
{
public:
    explicit WindowReporter(UsageContext &context)
        : m_context(context), m_countsReader{makeLogAccess(context.store), countsStream}, m_ledgerReader{makeLogAccess(context.store), streams::usage}
    {
    }

    asio::awaitable<void> runOnce()
    {
        const WindowNumber ended = newestEndedWindow(m_clock.now(), closeDelay, m_context.settings.usageWindow);
        const bool done = m_closedThrough >= ended && m_ledger.unreported.empty();
        if (done || !m_context.leases.mayCall(scopes::duties, reportTimeout)) {
            co_return;
        }
        const bool read = co_await readToEnd(m_countsReader, [this](const Json::Value &value) {
            Reason ignored;
            if (const auto usageCounts = parsePublishedUsage(value, ignored)) {
                mergeUsage(m_context.counts, usageCounts->first, usageCounts->second);
            }
        });
        if (!read || !co_await readLedger()) {
            co_return;
        }
        co_await closeEndedWindows();
        if (!co_await readLedger()) {
            co_return;
        }
        const std::map<WindowNumber, UsageByWorkspace> unreported = m_ledger.unreported;
        for (const auto &[window, totals] : unreported) {
            co_await report(window, totals);
        }
    }

private:
    asio::awaitable<bool> readLedger()
    {
        const bool read = co_await readToEnd(m_ledgerReader, [this](const Json::Value &value) {
            Reason ignored;
            if (const auto record = parseUsageRecord(value, ignored)) {
                applyUsageRecord(m_ledger, *record);
            }
        });
        co_return read;
    }

    asio::awaitable<void> closeEndedWindows()
    {
        const auto now = m_clock.now();
        const milliseconds window = m_context.settings.usageWindow;
        const WindowNumber overdue = newestEndedWindow(now, m_context.settings.usageReportDelay - reportMargin, window);
        WindowNumber through = newestEndedWindow(now, closeDelay, window);
        while (through > overdue && !isWindowComplete(m_context.counts, through, Clock::now() - peerTimeout)) {
            --through;
        }
        CollectedUsage collected;
        collected.sidecars = m_context.counts.rows;
        std::vector<Json::Value> records;
        for (const ClosedWindow &closed : closeWindows(m_ledger, through, collected)) {
            records.push_back(toJson(closed));
        }
        std::erase_if(m_context.counts.rows, [through](const auto &row) {
            return row.first.window + retainedWindows < through;
        });
        if (records.empty()) {
            m_closedThrough = through;
            co_return;
        }
        Reason reason;
        // With or without a response, the next read shows which record was the first to close a window.
        const auto appended = co_await m_ledgerReader.log.append(streams::usage, std::move(records), reason);
        if (appended) {
            m_closedThrough = through;
        } else {
            logEvent(LogComponent::Usage, LogLevel::Warning, "closing a usage window has no answer", reason, {{"through", through}});
        }
    }

    asio::awaitable<void> report(WindowNumber window, UsageByWorkspace totals)
    {
        const auto fencingToken = m_context.leases.epoch(scopes::duties);
        if (!fencingToken || !m_context.leases.mayCall(scopes::duties, reportTimeout)) {
            co_return;
        }
        platform::UsageReport report{.identity = {m_context.settings.instance, *fencingToken}, .window = window};
        std::uint64_t total = 0;
        ReportedWindow reported{.window = window};
        for (const auto &[workspace, workspaceTotals] : totals) {
            report.requests.emplace_back(workspace, workspaceTotals.requests);
            reported.workspaces.push_back(workspace);
            total += workspaceTotals.requests;
        }
        HttpCall call{.peer = m_context.settings.duties, .method = boost::beast::http::verb::post, .target = platform::usagePath, .timeout = reportTimeout};
        call.step = Step::Usage;
        call.body = platform::usageBody(report);
        call.headers = platform::leaseHeaders(report);
        call.maySend = [this, fencingToken] {
            return m_context.leases.epoch(scopes::duties) == fencingToken && m_context.leases.mayCall(scopes::duties, reportTimeout);
        };
        Reason reason;
        const auto response = co_await httpCall(std::move(call), reason);
        const bool acknowledged = response && response->result_int() == statusOk;
        processMetrics().count(Counter::UsageReports, {acknowledged ? "acknowledged" : "not_answered"});
        if (!acknowledged) {
            if (response) {
                reason = {Step::Usage, toString(m_context.settings.duties), "answered " + std::to_string(response->result_int())};
            }
            logEvent(LogComponent::Usage, LogLevel::Warning, "usage report not acknowledged", reason, {{"window", window}, {"fence", *fencingToken}});
            co_return;
        }
        logEvent(LogComponent::Usage, LogLevel::Info, "usage reported", {{"window", window}, {"requests", total}, {"fence", *fencingToken}});
        std::vector<Json::Value> records;
        records.push_back(toJson(reported));
        // If this record is lost, the same totals are reported once more.
        co_await m_ledgerReader.log.append(streams::usage, std::move(records), reason);
    }

    UsageContext &m_context;
    const SteadyWallClock m_clock;
    StreamReader m_countsReader;
    StreamReader m_ledgerReader;
    UsageLedger m_ledger;
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
    const auto usageCounts = context.usage.unpublished();
    if (!usageCounts) {
        co_return;
    }
    Reason reason;
    std::vector<Json::Value> records;
    records.push_back(toJson(context.usage.self(), *usageCounts));
    const auto appended = co_await makeLogAccess(context.store).append(countsStream, std::move(records), reason);
    if (appended) {
        context.usage.markPublished(*usageCounts);
    } else {
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
