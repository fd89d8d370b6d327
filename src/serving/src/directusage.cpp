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

constexpr const char *countsStream = "usage-counts"; //!< counts as each run of an entry publishes them
constexpr milliseconds storeTimeout{1000};
constexpr milliseconds publishInterval{1000}; // a killed entry loses counts of at most this
constexpr milliseconds publishIntervalPerEntry{150}; // the more entries, the less of the whole one loses, and the more of them call the store
constexpr milliseconds reportInterval{500};
constexpr milliseconds closeDelay{1500}; // after a window's end: entries have published their last counts, clocks differ by less
constexpr milliseconds reportMargin{3000}; // before a report is due, windows are closed without those that told nothing
constexpr seconds heardLately{3}; // entries that are silent for longer count as gone
constexpr milliseconds reportTimeout{800}; // of one report; must fit into what is left of the lease
constexpr WindowNumber keptWindows = 12; // of this entry's own counts; reports of older ones are overdue
constexpr unsigned statusOk = 200;

/** Reads a stream from where the last call ended. */
struct StreamReader
{
    LogAccess log;
    std::string stream;
    Offset next = 0;
};

/** Reads to the end of the stream; false when the store did not answer. */
template<typename OnRecord> asio::awaitable<bool> readToEnd(StreamReader &reader, OnRecord onRecord)
{
    while (true) {
        Reason reason;
        const auto page = co_await reader.log.read(reader.stream, reader.next, milliseconds(0), reason);
        if (!page) {
            logEvent(Part::Usage, Level::Warning, "usage records not read", reason, {{"stream", reader.stream}});
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

/** Closes and reports windows from what the streams tell. */
class WindowReporter
{
public:
    explicit WindowReporter(UsageContext &context)
        : m_context(context), m_counts{accessStore(context.store), countsStream}, m_ledgerReader{accessStore(context.store), streams::usage}
    {
    }

    asio::awaitable<void> step()
    {
        const WindowNumber ended = newestEndedWindow(m_clock.now(), closeDelay, m_context.settings.usageWindow);
        const bool done = m_closed >= ended && m_ledger.unreported.empty();
        if (done || !m_context.leases.mayCall(scopes::duties, reportTimeout)) {
            co_return;
        }
        const bool read = co_await readToEnd(m_counts, [this](const Json::Value &value) {
            Reason ignored;
            if (const auto told = parsePublishedUsage(value, ignored)) {
                mergeUsage(m_context.counts, told->first, told->second);
            }
        });
        if (!read || !co_await readLedger()) {
            co_return;
        }
        co_await closeEnded();
        if (!co_await readLedger()) {
            co_return;
        }
        const std::map<WindowNumber, UsageByWorkspace> unreported = m_ledger.unreported;
        for (const auto &[window, figures] : unreported) {
            co_await report(window, figures);
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

    asio::awaitable<void> closeEnded()
    {
        const auto now = m_clock.now();
        const milliseconds window = m_context.settings.usageWindow;
        const WindowNumber overdue = newestEndedWindow(now, m_context.settings.usageLate - reportMargin, window);
        WindowNumber through = newestEndedWindow(now, closeDelay, window);
        while (through > overdue && !isWindowComplete(m_context.counts, through, Clock::now() - heardLately)) {
            --through;
        }
        CollectedUsage collected;
        collected.sidecars = m_context.counts.rows;
        std::vector<Json::Value> records;
        for (const ClosedWindow &closed : closeWindows(m_ledger, through, collected)) {
            records.push_back(toJson(closed));
        }
        std::erase_if(m_context.counts.rows, [through](const auto &row) {
            return row.first.window + keptWindows < through;
        });
        if (records.empty()) {
            m_closed = through;
            co_return;
        }
        Reason reason;
        // Whether or not an answer comes, the next read tells which record is the first to close a window.
        const auto appended = co_await m_ledgerReader.log.append(streams::usage, std::move(records), reason);
        if (appended) {
            m_closed = through;
        } else {
            logEvent(Part::Usage, Level::Warning, "closing a usage window has no answer", reason, {{"through", through}});
        }
    }

    asio::awaitable<void> report(WindowNumber window, UsageByWorkspace figures)
    {
        const auto fence = m_context.leases.epoch(scopes::duties);
        if (!fence || !m_context.leases.mayCall(scopes::duties, reportTimeout)) {
            co_return;
        }
        platform::UsageReport report{.identity = {m_context.settings.instance, *fence}, .window = window};
        std::uint64_t total = 0;
        ReportedWindow reported{.window = window};
        for (const auto &[workspace, used] : figures) {
            report.requests.emplace_back(workspace, used.requests);
            reported.workspaces.push_back(workspace);
            total += used.requests;
        }
        HttpCall call{.peer = m_context.settings.duties, .method = boost::beast::http::verb::post, .target = platform::usagePath, .timeout = reportTimeout};
        call.step = Step::Usage;
        call.body = platform::usageBody(report);
        call.headers = platform::dutyHeaders(report);
        call.maySend = [this, fence] {
            return m_context.leases.epoch(scopes::duties) == fence && m_context.leases.mayCall(scopes::duties, reportTimeout);
        };
        Reason reason;
        const auto answer = co_await httpCall(std::move(call), reason);
        const bool taken = answer && answer->result_int() == statusOk;
        processMetrics().count(Counter::UsageReports, {taken ? "acknowledged" : "not_answered"});
        if (!taken) {
            if (answer) {
                reason = {Step::Usage, toString(m_context.settings.duties), "answered " + std::to_string(answer->result_int())};
            }
            logEvent(Part::Usage, Level::Warning, "usage report not taken", reason, {{"window", window}, {"fence", *fence}});
            co_return;
        }
        logEvent(Part::Usage, Level::Info, "usage reported", {{"window", window}, {"requests", total}, {"fence", *fence}});
        std::vector<Json::Value> records;
        records.push_back(toJson(reported));
        // If this record is lost, the same figures are reported once more.
        co_await m_ledgerReader.log.append(streams::usage, std::move(records), reason);
    }

    UsageContext &m_context;
    const SteadyWallClock m_clock;
    StreamReader m_counts;
    StreamReader m_ledgerReader;
    UsageLedger m_ledger;
    WindowNumber m_closed = 0; //!< windows up to this one need no more work
};

} // namespace

LogAccess accessStore(platform::StoreClient &store)
{
    LogAccess access;
    access.read = [&store](std::string stream, Offset from, milliseconds wait, Reason &reason) -> asio::awaitable<std::optional<LogPage>> {
        auto page = co_await store.read(std::move(stream), from, wait, storeTimeout, reason);
        if (!page) {
            co_return std::nullopt;
        }
        LogPage converted{.firstRetained = page->first, .next = page->next};
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
    return access;
}

LeaseSettings leaseSettingsFor(const DirectSettings &settings) noexcept
{
    // Longer than the bound within which duties must not change hands twice; the margin covers the drift of two clocks.
    return {.duration = settings.leaseBound + seconds(1), .margin = milliseconds(700)};
}

asio::awaitable<void> flushUsage(UsageContext &context)
{
    const auto told = context.usage.unpublished();
    if (!told) {
        co_return;
    }
    Reason reason;
    std::vector<Json::Value> records;
    records.push_back(toJson(context.usage.self(), *told));
    const auto appended = co_await accessStore(context.store).append(countsStream, std::move(records), reason);
    if (appended) {
        context.usage.markPublished(*told);
    } else {
        logEvent(Part::Usage, Level::Warning, "usage counts not published", reason);
    }
}

asio::awaitable<void> publishUsage(UsageContext &context)
{
    while (!context.stopped) {
        const auto entries = static_cast<std::int64_t>(context.counts.lastHeard.size());
        co_await pauseFor(std::clamp(publishIntervalPerEntry * entries, publishInterval, std::max(publishInterval, context.settings.usageWindow / 2)));
        co_await flushUsage(context);
        context.usage.removeWindowsBefore(context.usage.currentWindow() - keptWindows);
    }
}

asio::awaitable<void> reportUsage(UsageContext &context)
{
    WindowReporter reporter(context);
    while (!context.stopped) {
        co_await reporter.step();
        co_await pauseFor(reportInterval);
    }
}

} // namespace snipehill
