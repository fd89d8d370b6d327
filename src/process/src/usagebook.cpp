#include <process/usagebook.h>

#include <core/boottime.h>

#include <algorithm>
#include <utility>

namespace snipehill
{

SteadyWallClock::SteadyWallClock() : m_start(std::chrono::system_clock::now()), m_bootAtStart(bootNow()) { }

std::chrono::system_clock::time_point SteadyWallClock::now() const
{
    return m_start + std::chrono::duration_cast<std::chrono::system_clock::duration>(bootNow() - m_bootAtStart);
}

void mergeUsage(CollectedCounts &counts, const Incarnation &entry, const ToldUsage &told)
{
    for (const auto &[source, figures] : told.rows) {
        UsageByWorkspace &known = counts.rows[source];
        for (const auto &[workspace, used] : figures) {
            known[workspace].requests = std::max(known[workspace].requests, used.requests);
        }
    }
    WindowNumber &open = counts.open[entry];
    open = std::max(open, told.open);
}

bool isComplete(const CollectedCounts &counts, WindowNumber window, TimePoint heardSince)
{
    return std::all_of(counts.heard.begin(), counts.heard.end(), [&](const auto &entry) {
        const auto &[run, heard] = entry.second;
        const auto open = counts.open.find(run);
        return heard < heardSince || (open != counts.open.end() && open->second > window);
    });
}

Json::Value toJson(const Incarnation &entry, const ToldUsage &told)
{
    Json::Value value;
    value["instance"] = entry.instance;
    value["incarnation"] = Json::UInt64(entry.number);
    value["open"] = Json::Int64(told.open);
    value["rows"] = toJson(told.rows);
    return value;
}

std::optional<std::pair<Incarnation, ToldUsage>> parseToldUsage(const Json::Value &value, Reason &reason)
{
    if (!value.isObject() || !value["instance"].isString() || !value["incarnation"].isUInt64() || !value["open"].isInt64()) {
        reason = {Step::Usage, "", "record of counts lacks a field"};
        return std::nullopt;
    }
    auto rows = parseUsageRows(value["rows"], reason);
    if (!rows) {
        return std::nullopt;
    }
    return std::pair(Incarnation{value["instance"].asString(), value["incarnation"].asUInt64()}, ToldUsage{std::move(*rows), value["open"].asInt64()});
}

UsageBook::UsageBook(Incarnation self, milliseconds windowLength) : m_self(std::move(self)), m_windowLength(windowLength) { }

void UsageBook::count(const std::string &workspace)
{
    const WindowNumber window = currentWindow();
    const std::lock_guard lock(m_lock);
    countUsage(m_counts, window, workspace, {.requests = 1});
}

std::optional<ToldUsage> UsageBook::unpublished()
{
    ToldUsage told{.open = currentWindow()};
    const std::lock_guard lock(m_lock);
    for (const auto &[window, figures] : m_counts.windows) {
        const auto published = m_published.rows.find({m_self, window});
        if (published == m_published.rows.end() || published->second != figures) {
            told.rows[{m_self, window}] = figures;
        }
    }
    if (told.rows.empty() && told.open == m_published.open) {
        return std::nullopt;
    }
    return told;
}

void UsageBook::notePublished(const ToldUsage &told)
{
    const std::lock_guard lock(m_lock);
    for (const auto &[source, figures] : told.rows) {
        m_published.rows[source] = figures;
    }
    m_published.open = told.open;
}

void UsageBook::forgetBefore(WindowNumber window)
{
    const std::lock_guard lock(m_lock);
    m_counts.windows.erase(m_counts.windows.begin(), m_counts.windows.lower_bound(window));
    std::erase_if(m_published.rows, [window](const auto &row) {
        return row.first.window < window;
    });
}

WindowNumber UsageBook::currentWindow() const
{
    return windowOf(m_clock.now(), m_windowLength);
}

const Incarnation &UsageBook::self() const noexcept
{
    return m_self;
}

} // namespace snipehill
