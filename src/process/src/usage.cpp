#include <process/usage.h>

#include <algorithm>
#include <utility>

namespace snipehill
{

WindowNumber windowOf(std::chrono::system_clock::time_point time, milliseconds windowLength) noexcept
{
    return std::chrono::floor<milliseconds>(time.time_since_epoch()) / windowLength;
}

std::chrono::system_clock::time_point endOfWindow(WindowNumber window, milliseconds windowLength) noexcept
{
    return std::chrono::system_clock::time_point((window + 1) * windowLength);
}

UsageTotals &operator+=(UsageTotals &sum, const UsageTotals &totals) noexcept
{
    sum.requests += totals.requests;
    sum.promptTokens += totals.promptTokens;
    sum.outputTokens += totals.outputTokens;
    return sum;
}

WindowNumber addUsage(UsageCounts &counts, WindowNumber current, const std::string &workspace, const UsageTotals &totals)
{
    const WindowNumber window = std::max(current, counts.frozenThrough + 1);
    counts.windows[window][workspace] += totals;
    return window;
}

std::map<WindowNumber, UsageByWorkspace> freezeUsage(UsageCounts &counts, WindowNumber through)
{
    counts.frozenThrough = std::max(counts.frozenThrough, through);
    return {counts.windows.begin(), counts.windows.upper_bound(through)};
}

namespace
{

void removeExpiredSources(UsageLedger &ledger)
{
    const WindowNumber oldest = *ledger.lastClosed - usageRetentionWindows;
    std::erase_if(ledger.closedSources, [oldest](const UsageSource &source) {
        return source.window < oldest;
    });
}

/** False if the record may have been appended late, after the log came back from an older copy. */
bool isOfEra(const UsageLedger &ledger, const std::optional<LogEra> &era)
{
    return !era || *era >= ledger.era;
}

void keepRecent(UsageLedger &ledger, WindowNumber window, const UsageByWorkspace &totals)
{
    ledger.recent[window] = totals;
    ledger.recent.erase(ledger.recent.begin(), ledger.recent.upper_bound(*ledger.lastClosed - recentWindows));
}

void applyOpened(UsageLedger &ledger, const OpenedLedger &opened)
{
    if (opened.era < ledger.era) {
        return;
    }
    // A retry, or a late record of an earlier holder, must not remove windows that were closed since.
    const bool superseded = opened.era == ledger.era && ledger.openedBy != noOffset && opened.token <= ledger.openedBy;
    ledger.era = opened.era;
    ledger.lastClosed = std::max(ledger.lastClosed.value_or(opened.through), opened.through);
    ledger.floor = std::max(ledger.floor.value_or(opened.through), opened.through);
    ledger.firstWindow = ledger.firstWindow.value_or(opened.through);
    if (superseded && opened.token < ledger.openedBy) {
        removeExpiredSources(ledger);
        return;
    }
    ledger.openedBy = opened.token;
    if (!superseded) {
        ledger.unreported.clear();
        ledger.recent.clear();
    }
    ledger.unreported.insert(opened.windows.begin(), opened.windows.end());
    for (const auto &[window, totals] : opened.windows) {
        keepRecent(ledger, window, totals);
    }
    removeExpiredSources(ledger);
}

bool applyClosed(UsageLedger &ledger, const ClosedWindow &closed)
{
    if (!isOfEra(ledger, closed.era)) {
        return false;
    }
    ledger.era = std::max(ledger.era, closed.era.value_or(ledger.era));
    if (ledger.lastClosed && closed.window <= *ledger.lastClosed) {
        return false;
    }
    const bool alreadyIncluded = std::any_of(closed.sources.begin(), closed.sources.end(), [&ledger](const UsageSource &source) {
        return ledger.closedSources.contains(source);
    });
    if (alreadyIncluded) {
        return false;
    }
    ledger.lastClosed = closed.window;
    ledger.firstWindow = ledger.firstWindow.value_or(closed.window);
    ledger.closedSources.insert(closed.sources.begin(), closed.sources.end());
    if (!closed.totals.empty()) {
        ledger.unreported[closed.window] = closed.totals;
        keepRecent(ledger, closed.window, closed.totals);
    }
    removeExpiredSources(ledger);
    return true;
}

void applyReported(UsageLedger &ledger, const ReportedWindow &reported)
{
    const auto window = ledger.unreported.find(reported.window);
    if (window == ledger.unreported.end()) {
        return;
    }
    for (const std::string &workspace : reported.workspaces) {
        window->second.erase(workspace);
    }
    if (window->second.empty()) {
        ledger.unreported.erase(window);
    }
}

} // namespace

bool applyUsageRecord(UsageLedger &ledger, const UsageRecord &record)
{
    if (record.opened) {
        applyOpened(ledger, *record.opened);
    }
    if (record.reported && isOfEra(ledger, record.reported->era)) {
        applyReported(ledger, *record.reported);
    }
    return record.closed && applyClosed(ledger, *record.closed);
}

namespace
{

/** Rows that may go into a closed record, each once: a sidecar's own row takes precedence over copies. */
UsageRows rowsToClose(const UsageLedger &ledger, WindowNumber through, const CollectedUsage &collected)
{
    UsageRows rows = collected.sidecars;
    for (const auto &[source, totals] : collected.copies) {
        if (collected.endedRuns.contains(source.sidecar)) {
            rows.try_emplace(source, totals);
        }
    }
    const WindowNumber newestExcluded = std::max(through - usageRetentionWindows, ledger.floor.value_or(through - usageRetentionWindows));
    std::erase_if(rows, [&ledger, through, newestExcluded](const auto &row) {
        const WindowNumber window = row.first.window;
        return window > through || window <= newestExcluded || ledger.closedSources.contains(row.first);
    });
    return rows;
}

} // namespace

std::vector<ClosedWindow> closeWindows(const UsageLedger &ledger, WindowNumber through, const CollectedUsage &collected)
{
    const WindowNumber firstOpen = ledger.lastClosed ? *ledger.lastClosed + 1 : 0;
    if (through < firstOpen) {
        return {};
    }
    std::map<WindowNumber, ClosedWindow> closed;
    for (const auto &[source, totals] : rowsToClose(ledger, through, collected)) {
        const WindowNumber window = std::max(source.window, firstOpen);
        ClosedWindow &record = closed[window];
        record.window = window;
        record.sources.push_back(source);
        for (const auto &[workspace, used] : totals) {
            record.totals[workspace] += used;
        }
    }
    std::vector<ClosedWindow> records;
    records.reserve(closed.size());
    for (auto &[window, record] : closed) {
        records.push_back(std::move(record));
    }
    return records;
}

WindowNumber newestEndedWindow(std::chrono::system_clock::time_point now, milliseconds grace, milliseconds windowLength) noexcept
{
    return windowOf(now - grace, windowLength) - 1;
}

SidecarUsage::SidecarUsage(Incarnation self, milliseconds windowLength) : m_self(std::move(self)), m_windowLength(windowLength) { }

WindowNumber SidecarUsage::count(const std::string &workspace, const UsageTotals &totals)
{
    const std::lock_guard lock(m_mutex);
    return addUsage(m_counts, windowOf(std::chrono::system_clock::now(), m_windowLength), workspace, totals);
}

Json::Value SidecarUsage::read(const Json::Value &params)
{
    const WindowNumber through = params.isObject() && params["through"].isInt64() ? params["through"].asInt64() : 0;
    UsageRows rows;
    {
        const std::lock_guard lock(m_mutex);
        for (auto &[window, totals] : freezeUsage(m_counts, through)) {
            rows[{m_self, window}] = totals;
        }
    }
    Json::Value response;
    response["instance"] = m_self.instance;
    response["incarnation"] = Json::UInt64(m_self.number);
    response["rows"] = toJson(rows);
    return response;
}

void SidecarUsage::removeClosed(const std::vector<UsageSource> &sources)
{
    const std::lock_guard lock(m_mutex);
    for (const UsageSource &source : sources) {
        if (source.sidecar == m_self && source.window <= m_counts.frozenThrough) {
            m_counts.windows.erase(source.window);
        }
    }
}

std::size_t SidecarUsage::windows() const
{
    const std::lock_guard lock(m_mutex);
    return m_counts.windows.size();
}

void EntryUsage::count(const UsageSource &source, const std::string &workspace, const UsageTotals &totals)
{
    const std::lock_guard lock(m_mutex);
    m_rows[source][workspace] += totals;
}

Json::Value EntryUsage::read(const Json::Value &params) const
{
    const WindowNumber through = params.isObject() && params["through"].isInt64() ? params["through"].asInt64() : 0;
    UsageRows rows;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &[source, totals] : m_rows) {
            if (source.window <= through) {
                rows[source] = totals;
            }
        }
    }
    Json::Value response;
    response["copies"] = toJson(rows);
    return response;
}

void EntryUsage::removeClosed(const std::vector<UsageSource> &sources)
{
    const std::lock_guard lock(m_mutex);
    for (const UsageSource &source : sources) {
        m_rows.erase(source);
    }
}

} // namespace snipehill
