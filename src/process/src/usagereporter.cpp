#include "usagereporter.h"

#include <process/log.h>
#include <process/logclient.h>
#include <process/metrics.h>

#include <utility>

namespace snipehill
{

namespace asio = boost::asio;

namespace
{

std::vector<UsageSource> sourcesOf(const UsageRows &rows)
{
    std::vector<UsageSource> sources;
    for (const auto &[source, totals] : rows) {
        sources.push_back(source);
    }
    return sources;
}

void addRows(UsageRows &sum, const UsageRows &rows)
{
    for (const auto &[source, totals] : rows) {
        for (const auto &[workspace, used] : totals) {
            sum[source][workspace] += used;
        }
    }
}

/** Sidecar runs that entries hold copies of and that have ended: another run of the instance answered, or the instance is no longer a member. */
std::set<Incarnation> findEndedRuns(const UsageRows &copies, const std::vector<Member> &members, const std::map<std::string, std::uint64_t> &answered)
{
    std::set<std::string> listed;
    for (const Member &member : members) {
        listed.insert(member.instance);
    }
    std::set<Incarnation> endedRuns;
    for (const auto &[source, totals] : copies) {
        const auto run = answered.find(source.sidecar.instance);
        const bool replaced = run != answered.end() && run->second != source.sidecar.number;
        if (replaced || !listed.contains(source.sidecar.instance)) {
            endedRuns.insert(source.sidecar);
        }
    }
    return endedRuns;
}

} // namespace

UsageReporter::UsageReporter(const ControlSettings &settings, const ControlHooks &hooks, LeaseManager &leases, EntryUsage &copies, PeerCall call)
    : m_settings(settings), m_hooks(hooks), m_leases(leases), m_copies(copies), m_call(std::move(call))
{
    m_reader.log = settings.log;
    m_reader.stream = streams::usage;
    m_reader.onGap = [this] {
        m_ledger = {};
    };
    m_reader.onRecord = [this](Offset, const Json::Value &value) {
        Reason reason;
        if (const auto record = parseUsageRecord(value, reason)) {
            applyUsageRecord(m_ledger, *record);
        }
    };
}

asio::awaitable<void> UsageReporter::step()
{
    if (!m_leases.mayCall(scopes::usage, m_settings.callTimeout)) {
        m_collectedThrough.reset();
        co_return;
    }
    const bool read = co_await readStream();
    if (!read) {
        co_return;
    }
    co_await removeClosed();
    co_await report();
    co_await closeEndedWindows();
}

asio::awaitable<bool> UsageReporter::readStream()
{
    Reason reason;
    const bool read = co_await readLogToEnd(m_reader, reason);
    if (!read) {
        logEvent(LogComponent::Usage, LogLevel::Warning, "could not read usage records", reason);
    }
    co_return read;
}

asio::awaitable<void> UsageReporter::report()
{
    const std::map<WindowNumber, UsageByWorkspace> unreported = m_ledger.unreported;
    for (const auto &[window, totals] : unreported) {
        if (!m_leases.mayCall(scopes::usage, m_settings.callTimeout)) {
            co_return;
        }
        co_await reportWindow(window, totals);
    }
}

asio::awaitable<void> UsageReporter::reportWindow(WindowNumber window, UsageByWorkspace totals)
{
    ReportedWindow reported;
    reported.window = window;
    for (const auto &[workspace, used] : totals) {
        PlatformCall call{.service = m_settings.usage, .path = "/usage", .scope = scopes::usage, .timeout = m_settings.callTimeout, .step = Step::Usage};
        call.body["workspace"] = workspace;
        call.body["window"] = Json::Int64(window);
        call.body["requests"] = Json::UInt64(used.requests);
        call.body["promptTokens"] = Json::UInt64(used.promptTokens);
        call.body["outputTokens"] = Json::UInt64(used.outputTokens);
        Reason reason;
        const auto response = co_await callPlatform(m_leases, std::move(call), reason);
        processMetrics().count(Counter::UsageReports, {response ? "acknowledged" : "not_answered"});
        if (!response) {
            logEvent(LogComponent::Usage, LogLevel::Warning, "usage report has no answer yet", reason, {{"workspace", workspace}, {"window", window}});
            break;
        }
        reported.workspaces.push_back(workspace);
    }
    if (reported.workspaces.empty()) {
        co_return;
    }
    // If this record is lost, the same totals are reported again.
    Reason reason;
    std::vector<Json::Value> records;
    records.push_back(toJson(reported));
    co_await appendLog(m_settings.log, streams::usage, std::move(records), reason);
}

asio::awaitable<void> UsageReporter::closeEndedWindows()
{
    const auto now = std::chrono::system_clock::now();
    const WindowNumber through = newestEndedWindow(now, m_settings.usageGrace, m_settings.usageWindow);
    if (m_collectedThrough && *m_collectedThrough >= through) {
        co_return;
    }
    Collection collection = co_await collect(through);
    // Windows that ended long enough ago are closed without the processes that do not answer.
    const WindowNumber overdueThrough = newestEndedWindow(now, m_settings.usageReadTimeout, m_settings.usageWindow);
    const WindowNumber closable = collection.complete ? through : overdueThrough;
    std::vector<Json::Value> records;
    for (const ClosedWindow &closed : closeWindows(m_ledger, closable, collection.usage)) {
        records.push_back(toJson(closed));
    }
    m_collectedRows = std::move(collection.peerRows);
    if (collection.complete) {
        m_collectedThrough = through;
    }
    if (records.empty()) {
        co_return;
    }
    Reason reason;
    const auto appended = co_await appendLog(m_settings.log, streams::usage, std::move(records), reason);
    if (!appended) {
        // The record may have been appended. The next step reads the stream and collects what is still not closed.
        m_collectedThrough.reset();
    }
}

asio::awaitable<UsageReporter::Collection> UsageReporter::collect(WindowNumber through)
{
    const MemberList list = m_hooks.members();
    Json::Value params;
    params["through"] = Json::Int64(through);
    std::vector<Member> asked;
    std::vector<PeerRequest> requests;
    for (const Member &member : *list) {
        if (member.instance != m_settings.self.instance) {
            asked.push_back(member);
            requests.push_back({member.link, "usage.read", params});
        }
    }
    const std::vector<std::optional<Json::Value>> responses = co_await callPeers(m_call, std::move(requests), m_settings.callTimeout);
    Collection collection;
    std::map<std::string, std::uint64_t> answered;
    for (std::size_t i = 0; i < responses.size(); ++i) {
        if (!responses[i] || !responses[i]->isObject()) {
            collection.complete = false;
            continue;
        }
        addResponse(collection, asked[i], *responses[i]);
        if ((*responses[i])["incarnation"].isUInt64()) {
            answered[asked[i].instance] = (*responses[i])["incarnation"].asUInt64();
        }
    }
    Reason reason;
    if (const auto own = parseUsageRows(m_copies.read(params)["copies"], reason)) {
        addRows(collection.usage.copies, *own);
    }
    collection.usage.endedRuns = findEndedRuns(collection.usage.copies, *list, answered);
    co_return collection;
}

void UsageReporter::addResponse(Collection &collection, const Member &member, const Json::Value &response) const
{
    Reason reason;
    const bool entry = response.isMember("copies");
    const auto rows = parseUsageRows(entry ? response["copies"] : response["rows"], reason);
    if (!rows) {
        logEvent(LogComponent::Usage, LogLevel::Warning, "usage rows of a process are malformed", reason, {{"instance", member.instance}});
        collection.complete = false;
        return;
    }
    addRows(entry ? collection.usage.copies : collection.usage.sidecars, *rows);
    if (!rows->empty()) {
        collection.peerRows.push_back({member.link, sourcesOf(*rows)});
    }
}

asio::awaitable<void> UsageReporter::removeClosed()
{
    m_copies.removeClosed({m_ledger.closedSources.begin(), m_ledger.closedSources.end()});
    std::vector<PeerRequest> requests;
    for (const PeerRows &rows : std::exchange(m_collectedRows, {})) {
        UsageRows closedRows;
        for (const UsageSource &source : rows.sources) {
            if (m_ledger.closedSources.contains(source)) {
                closedRows[source] = {};
            }
        }
        if (!closedRows.empty()) {
            Json::Value params;
            params["sources"] = toJson(closedRows);
            requests.push_back({rows.peer, "usage.settled", std::move(params)});
        }
    }
    // A lost call is harmless: the process returns the rows again for the next window, and they are removed then.
    co_await callPeers(m_call, std::move(requests), m_settings.callTimeout);
}

} // namespace snipehill
