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
    for (const auto &[source, figures] : rows) {
        sources.push_back(source);
    }
    return sources;
}

void addRows(UsageRows &sum, const UsageRows &rows)
{
    for (const auto &[source, figures] : rows) {
        for (const auto &[workspace, used] : figures) {
            sum[source][workspace] += used;
        }
    }
}

/** Runs that entries hold copies of and that have ended: another run answered, or the instance is no member any more. */
std::set<Incarnation> goneRuns(const UsageRows &copies, const std::vector<Member> &members, const std::map<std::string, std::uint64_t> &answered)
{
    std::set<std::string> listed;
    for (const Member &member : members) {
        listed.insert(member.instance);
    }
    std::set<Incarnation> gone;
    for (const auto &[source, figures] : copies) {
        const auto run = answered.find(source.sidecar.instance);
        const bool replaced = run != answered.end() && run->second != source.sidecar.number;
        if (replaced || !listed.contains(source.sidecar.instance)) {
            gone.insert(source.sidecar);
        }
    }
    return gone;
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
    const bool read = co_await readBack();
    if (!read) {
        co_return;
    }
    co_await settle();
    co_await report();
    co_await close();
}

asio::awaitable<bool> UsageReporter::readBack()
{
    Reason reason;
    const bool read = co_await readLogToEnd(m_reader, reason);
    if (!read) {
        logEvent(Part::Usage, Level::Warning, "could not read usage records", reason);
    }
    co_return read;
}

asio::awaitable<void> UsageReporter::report()
{
    const std::map<WindowNumber, UsageByWorkspace> unreported = m_ledger.unreported;
    for (const auto &[window, figures] : unreported) {
        if (!m_leases.mayCall(scopes::usage, m_settings.callTimeout)) {
            co_return;
        }
        co_await reportWindow(window, figures);
    }
}

asio::awaitable<void> UsageReporter::reportWindow(WindowNumber window, UsageByWorkspace figures)
{
    ReportedWindow reported;
    reported.window = window;
    for (const auto &[workspace, used] : figures) {
        PlatformCall call{.service = m_settings.usage, .path = "/usage", .scope = scopes::usage, .bound = m_settings.callTimeout, .step = Step::Usage};
        call.body["workspace"] = workspace;
        call.body["window"] = Json::Int64(window);
        call.body["requests"] = Json::UInt64(used.requests);
        call.body["promptTokens"] = Json::UInt64(used.promptTokens);
        call.body["outputTokens"] = Json::UInt64(used.outputTokens);
        Reason reason;
        const auto answer = co_await callPlatform(m_leases, std::move(call), reason);
        processMetrics().count(Counter::UsageReports, {answer ? "acknowledged" : "not_answered"});
        if (!answer) {
            logEvent(Part::Usage, Level::Warning, "usage report has no answer yet", reason, {{"workspace", workspace}, {"window", window}});
            break;
        }
        reported.workspaces.push_back(workspace);
    }
    if (reported.workspaces.empty()) {
        co_return;
    }
    // If this record is lost, the same figures are reported once more.
    Reason reason;
    std::vector<Json::Value> records;
    records.push_back(toJson(reported));
    co_await appendLog(m_settings.log, streams::usage, std::move(records), reason);
}

asio::awaitable<void> UsageReporter::close()
{
    const auto now = std::chrono::system_clock::now();
    const WindowNumber through = newestEndedWindow(now, m_settings.usageGrace, m_settings.usageWindow);
    if (m_collectedThrough && *m_collectedThrough >= through) {
        co_return;
    }
    Collection collection = co_await collect(through);
    // Windows that ended long enough ago are closed without those that do not answer.
    const WindowNumber waitedThrough = newestEndedWindow(now, m_settings.usageReadTimeout, m_settings.usageWindow);
    const WindowNumber closable = collection.complete ? through : waitedThrough;
    std::vector<Json::Value> records;
    for (const ClosedWindow &closed : closeWindows(m_ledger, closable, collection.usage)) {
        records.push_back(toJson(closed));
    }
    m_told = std::move(collection.told);
    if (collection.complete) {
        m_collectedThrough = through;
    }
    if (records.empty()) {
        co_return;
    }
    Reason reason;
    const auto appended = co_await appendLog(m_settings.log, streams::usage, std::move(records), reason);
    if (!appended) {
        // Maybe appended: the next round reads back and collects again what is not closed then.
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
    const std::vector<std::optional<Json::Value>> answers = co_await callPeers(m_call, std::move(requests), m_settings.callTimeout);
    Collection collection;
    std::map<std::string, std::uint64_t> answered;
    for (std::size_t i = 0; i < answers.size(); ++i) {
        if (!answers[i] || !answers[i]->isObject()) {
            collection.complete = false;
            continue;
        }
        takeAnswer(collection, asked[i], *answers[i]);
        if ((*answers[i])["incarnation"].isUInt64()) {
            answered[asked[i].instance] = (*answers[i])["incarnation"].asUInt64();
        }
    }
    Reason reason;
    if (const auto own = parseUsageRows(m_copies.read(params)["copies"], reason)) {
        addRows(collection.usage.copies, *own);
    }
    collection.usage.gone = goneRuns(collection.usage.copies, *list, answered);
    co_return collection;
}

void UsageReporter::takeAnswer(Collection &collection, const Member &member, const Json::Value &answer) const
{
    Reason reason;
    const bool entry = answer.isMember("copies");
    const auto rows = parseUsageRows(entry ? answer["copies"] : answer["rows"], reason);
    if (!rows) {
        logEvent(Part::Usage, Level::Warning, "usage of a process could not be read", reason, {{"instance", member.instance}});
        collection.complete = false;
        return;
    }
    addRows(entry ? collection.usage.copies : collection.usage.sidecars, *rows);
    if (!rows->empty()) {
        collection.told.push_back({member.link, sourcesOf(*rows)});
    }
}

asio::awaitable<void> UsageReporter::settle()
{
    m_copies.settle({m_ledger.included.begin(), m_ledger.included.end()});
    std::vector<PeerRequest> requests;
    for (const Told &told : std::exchange(m_told, {})) {
        UsageRows included;
        for (const UsageSource &source : told.sources) {
            if (m_ledger.included.contains(source)) {
                included[source] = {};
            }
        }
        if (!included.empty()) {
            Json::Value params;
            params["sources"] = toJson(included);
            requests.push_back({told.peer, "usage.settled", std::move(params)});
        }
    }
    // An answer that is lost costs nothing: the rows are told again with the next window and settled then.
    co_await callPeers(m_call, std::move(requests), m_settings.callTimeout);
}

} // namespace snipehill
